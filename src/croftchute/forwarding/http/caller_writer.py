"""The writing side of a caller's connection: what the caller has not read yet is held, bounded.

Where answers are bounded, the transport gets one block at a time and the rest is held here. Both
are counted, and so is what was read from a worker and waits while reading is paused. Where they are
not, the transport buffers as it does by itself, and only the rest of a large answer is held here.
"""

from __future__ import annotations

import asyncio
import contextlib
import socket
import struct
from collections import deque
from collections.abc import Callable

from croftchute.forwarding.http.held_answers import HeldAnswers

RESET_ON_CLOSE = struct.pack("ii", 1, 0)
HIGH_WATER_BYTES = 65536

BLOCK_BYTES = 16384
"""Size of the pieces that are held, and given to the transport one at a time. Buffers that grow and
shrink leave memory in fragments: the process took over twice what was counted."""

UNSENT_KERNEL_BYTES = 65536
"""Most bytes that the kernel takes beyond the caller's receive window. It would take megabytes
for each caller, which count towards the memory of the box but not towards its bounds."""


class CallerWriter:
    """Writes the answers of one connection, one after the other.

    ``held`` counts them; None if this connection's answers are not for callers. ``on_change`` is
    called when more or less is held.
    """

    def __init__(
        self, *, held: HeldAnswers | None, on_change: Callable[[], None] = lambda: None
    ) -> None:
        self.on_change = on_change
        self.is_bounded = False
        self.is_cut_off = False
        self.request_id = ""
        self._held = held
        self._transport: asyncio.Transport | None = None
        self._number: int | None = None
        self._blocks: deque[bytearray] = deque()
        self._blocks_bytes = 0
        self._unread = 0
        self._answer_bytes = 0
        self._total_bytes = 0
        self._is_paused = False
        self._is_serving = False
        self._is_over = False
        self._closes_when_sent = False
        self._room = asyncio.Event()
        self._room.set()
        self._sent = asyncio.Event()
        self._sent.set()

    @property
    def size(self) -> int:
        """Bytes held for the caller: here, in the transport, and read from a worker."""
        return self._unsent_bytes + self._unread + self._answer_bytes

    @property
    def moved_bytes(self) -> int:
        """Bytes that came for the caller so far, and those of them that it took."""
        waiting = self._unsent_bytes + self._answer_bytes
        return 2 * self._total_bytes - min(waiting, self._total_bytes)

    @property
    def is_held_up(self) -> bool:
        """Whether the caller reads too slowly for more to be written now."""
        return not self._room.is_set()

    @property
    def has_unsent(self) -> bool:
        """Whether a bounded answer is not with the kernel yet; always False without bounds."""
        return self.is_bounded and not self._is_over and self._unsent_bytes > 0

    @property
    def holds_blocks(self) -> bool:
        """Whether some of an answer waits here for the transport."""
        return self._blocks_bytes > 0

    def attach(self, transport: asyncio.Transport) -> None:
        """The connection is up."""
        self._transport = transport
        transport.set_write_buffer_limits(high=HIGH_WATER_BYTES)
        self._limit_unsent()

    def begin(self) -> None:
        """A request is about to be served; the bounds in force now hold for its answer."""
        self._is_serving = True
        self.request_id = ""
        wants_bounds = self._held is not None and self._held.is_bounded
        if wants_bounds != self.is_bounded and self._unsent_bytes == 0:
            self._set_bounded(wants_bounds)

    def end(self) -> None:
        """The request has been served; what is held of its answer is still counted."""
        self._is_serving = False
        self._answer_bytes = 0
        if self.is_bounded and not self._is_over:
            self._note()

    def write(self, data: bytes) -> None:
        """Send bytes, or hold them, if the caller is still there."""
        if self._transport is None or self._is_over:
            return
        # What was read from a worker goes out with this.
        self._total_bytes += max(0, len(data) - self._answer_bytes)
        self._answer_bytes = 0
        if self.is_bounded:
            self._hold(data)
            self._pump()
            self._note()
        elif len(data) > HIGH_WATER_BYTES or self._blocks:
            self._hold(data)
            self._pump()
        else:
            self._transport.write(data)
        self.on_change()

    def note_answer_bytes(self, size: int) -> None:
        """So many bytes of an answer were read from a worker, and are not written yet."""
        self._total_bytes += max(0, size - self._answer_bytes)
        self._answer_bytes = 0 if self._is_over else size
        self.on_change()

    def note_unread(self, size: int) -> None:
        """So many bytes were read from a worker and wait for the caller elsewhere."""
        self._unread = size
        if self.is_bounded and not self._is_over:
            self._note()
        self.on_change()

    async def drained(self) -> None:
        """Wait until the caller has read enough for more to be written."""
        await self._room.wait()

    async def flushed(self) -> None:
        """Wait until all of a bounded answer is with the kernel; returns at once without bounds."""
        await self._sent.wait()

    def pause_writing(self) -> None:
        """The transport holds as much as it is to hold."""
        self._is_paused = True
        if not self.is_bounded:
            self._room.clear()

    def resume_writing(self) -> None:
        """The transport takes more."""
        self._is_paused = False
        if not self._is_over:
            self._pump()
        if not self.is_bounded:
            self._resume_unbounded()
        elif not self._is_over:
            self._note()
        self.on_change()

    def _resume_unbounded(self) -> None:
        """Wake those who wait, and close if that was asked for, once all is with the transport."""
        if self._blocks or self._is_paused:
            return
        self._room.set()
        if self._closes_when_sent and self._transport is not None:
            self._transport.close()

    def close_soon(self) -> None:
        """Close once everything has been sent."""
        if self._transport is None:
            return
        if self.has_unsent or self._blocks:
            self._closes_when_sent = True
        else:
            self._transport.close()

    def abort(self) -> None:
        """Reset the connection, so that an answer without a length cannot look whole."""
        if self._transport is None:
            return
        raw = self._transport.get_extra_info("socket")
        if raw is not None:
            with contextlib.suppress(OSError):
                raw.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, RESET_ON_CLOSE)
        self._free()
        self._transport.abort()
        self.on_change()

    def cut_off(self) -> None:
        """Break the connection off, as this answer holds the most of all."""
        self.is_cut_off = True
        self.abort()

    def lost(self) -> None:
        """The connection is gone: nothing is held, and nobody waits for it."""
        self._free()
        self._room.set()
        self._sent.set()

    @property
    def _unsent_bytes(self) -> int:
        in_transport = 0
        if self._transport is not None:
            in_transport = self._transport.get_write_buffer_size()
        return self._blocks_bytes + in_transport

    def _set_bounded(self, is_bounded: bool) -> None:
        assert self._transport is not None
        self.is_bounded = is_bounded
        self._transport.set_write_buffer_limits(high=0 if is_bounded else HIGH_WATER_BYTES)

    def _limit_unsent(self) -> None:
        """Bound what the kernel takes for the caller."""
        assert self._transport is not None
        raw = self._transport.get_extra_info("socket")
        with contextlib.suppress(OSError):
            raw.setsockopt(socket.IPPROTO_TCP, socket.TCP_NOTSENT_LOWAT, UNSENT_KERNEL_BYTES)

    def _hold(self, data: bytes) -> None:
        """Add bytes in pieces of one size; small ones share a piece."""
        self._blocks_bytes += len(data)
        begin = 0
        if self._blocks:
            begin = BLOCK_BYTES - len(self._blocks[-1])
            self._blocks[-1] += data[:begin]
        for at in range(begin, len(data), BLOCK_BYTES):
            self._blocks.append(bytearray(data[at : at + BLOCK_BYTES]))

    def _pump(self) -> None:
        """Give the transport what it takes."""
        transport = self._transport
        assert transport is not None
        while self._blocks and not self._is_paused and not transport.is_closing():
            block = self._blocks.popleft()
            self._blocks_bytes -= len(block)
            transport.write(block)

    def _note(self) -> None:
        """Count what is held now, and wake those who wait for less."""
        assert self._held is not None and self._transport is not None
        unsent = self._unsent_bytes
        if self._number is None and (unsent or self._is_serving):
            self._number = self._held.open(self)
        bound = self._held.count.stream_bound
        if unsent > bound:
            self._room.clear()
        elif unsent <= bound // 2:
            self._room.set()
        if unsent:
            self._sent.clear()
        else:
            self._sent.set()
            if self._closes_when_sent:
                self._transport.close()
        if self._number is None:
            return
        if unsent or self._is_serving:
            self._held.note(self._number, unsent + self._unread)
        else:
            self._close_count()

    def _free(self) -> None:
        """Let go of all that is held, at once."""
        self._is_over = True
        self._blocks.clear()
        self._blocks_bytes = 0
        self._unread = 0
        self._answer_bytes = 0
        self._close_count()

    def _close_count(self) -> None:
        if self._number is not None and self._held is not None:
            self._held.close(self._number)
            self._number = None
