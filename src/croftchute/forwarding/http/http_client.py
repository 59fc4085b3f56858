"""HTTP/1.1 towards workers and the store, on asyncio: one connection and its answers.

llhttp (``httptools``) reads the answers. urllib3 was the house's choice; it blocks a thread for
each call and cannot see a caller leave meanwhile. docs/DESIGN.md has the measurement.
"""

from __future__ import annotations

import asyncio
import socket
from collections import deque
from collections.abc import Callable
from dataclasses import dataclass

import httptools

from croftchute.answer_bounds import FIRST_STATUS, LAST_STATUS, MAX_HEADERS, ReceivedBytes
from croftchute.forwarding.http.failures import (
    AnswerEndlessError,
    ConnectFailedError,
    ConnectionBrokenError,
)
from croftchute.forwarding.http.sent_ids import SentIds
from croftchute.forwarding.http.silence import WORK, SilenceLimits, watch_for_silence
from croftchute.tables.routing import HeaderList

MAX_WAITING_PARTS = 64

MAX_WAITING_BYTES = 65_536
"""Bytes of a body that wait for their reader, beyond which nothing more is read."""

SEND_BYTES = 65_536
"""Bytes of a request's body that are given to the transport at once, as it copies what the kernel
does not take."""

MAX_JOINED_BYTES = 16_384
"""Longest body that is copied behind its head, so that both are sent at once."""

NOTHING = memoryview(b"")

RECEIVE_BYTES = 65536
"""Most bytes that are read from a socket at once: what a reader that stops leaves unread. The event
loop's own way takes four times as much, in a new piece of memory for each reading."""

RECEIVE_WINDOW_BYTES = 65_536
"""Bytes that the kernel keeps of what a server sends and nobody has read. It would keep megabytes
for each connection, which count towards the memory of the box but not towards its bounds."""

HEAD_PIECE_BYTES = 4096
"""Bytes that are parsed at once until the head of the answer has come, so that little is parsed
beyond the bounds of an answer."""

RECEIVED = memoryview(bytearray(RECEIVE_BYTES))
"""What was read last, by any connection: it is parsed before the event loop reads again. A process
has one event loop."""

DEFAULT_KEEP_ALIVE_S = 2.0
KEEP_ALIVE_SHARE = 0.8
FIRST_FINAL_STATUS = 200
BODILESS_STATUSES = frozenset({204, 304})


@dataclass(frozen=True, kw_only=True, slots=True)
class ResponseHead:
    """Status and headers of an answer; header names are in lower case."""

    status: int
    reason: bytes
    headers: HeaderList

    def get(self, name: bytes) -> bytes | None:
        """The first header of that name, which must be given in lower case."""
        for key, value in self.headers:
            if key == name:
                return value
        return None


class ClientConnection(asyncio.BufferedProtocol):
    """One connection to a server, for one exchange at a time.

    ``expected`` names a header and the value it must have in an answer: answers with another
    value belong to earlier requests and are passed over. An empty value stands for no such header.
    The value tells the answers of a connection apart only if it was sent there once, so it is
    never sent twice on one connection (``has_sent``).
    """

    def __init__(self, *, limits: SilenceLimits = WORK) -> None:
        self.limits = limits
        self.transport: asyncio.Transport | None = None
        self.head: ResponseHead | None = None
        self.is_complete = False
        self.is_lost = False
        self.is_tainted = False
        self.keep_alive_s = DEFAULT_KEEP_ALIVE_S
        self.idle_since = 0.0
        self.uses = 0
        self.skipped_answers = 0
        self.number = 0
        self.is_endless = False
        self.on_surplus: Callable[[int], None] = lambda _: None
        self._sent_ids = SentIds()
        self._received = ReceivedBytes()
        self._piece_content = 0
        self._piece_skipped = 0
        self._is_in_head = False
        self._chunks = 0
        self._is_chunk_empty = False
        self._is_behind_last_chunk = False
        self.body_bytes = 0
        self._expected: tuple[bytes, bytes] | None = None
        self._is_open_ended = False
        self._is_skipping = False
        self._is_active = False
        self._is_bodiless = False
        self._error = ""
        self._status_text = b""
        self._headers: HeaderList = []
        self._parts: deque[bytes] = deque()
        self._parts_bytes = 0
        self._unsent = NOTHING
        self._is_write_paused = False
        self._changed = asyncio.Event()
        self._parser = httptools.HttpResponseParser(self)

    # What asyncio calls.

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Keep the transport, bound what it receives, and let a dead peer be noticed."""
        assert isinstance(transport, asyncio.Transport)
        self.transport = transport
        raw = transport.get_extra_info("socket")
        watch_for_silence(raw, self.limits)
        if raw is not None:
            raw.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, RECEIVE_WINDOW_BYTES)

    def get_buffer(self, sizehint: int) -> memoryview:
        """Where the event loop reads the next bytes to."""
        return RECEIVED

    def buffer_updated(self, nbytes: int) -> None:
        """Parse; bytes that no request asked for make the connection unusable."""
        if not self._is_active:
            self.on_surplus(nbytes)
            self.is_tainted = True
            self.abort()
            return
        start = 0
        while start < nbytes and not self.is_tainted:
            size = nbytes - start if self.head is not None else HEAD_PIECE_BYTES
            self._parse(RECEIVED[start : min(start + size, nbytes)])
            if self.is_tainted and self.is_complete:
                self.on_surplus(nbytes - start - self._piece_content)
            start += size
        is_unread = len(self._parts) > MAX_WAITING_PARTS or self._parts_bytes > MAX_WAITING_BYTES
        if is_unread and self.transport is not None:
            self.transport.pause_reading()

    def pause_writing(self) -> None:
        """The server reads too slowly."""
        self._is_write_paused = True

    def resume_writing(self) -> None:
        """The server has caught up."""
        self._is_write_paused = False
        self._send_body()

    def _parse(self, piece: memoryview) -> None:
        """Parse a piece of what has come, and close the connection if there is too much of it."""
        self._piece_content = self._piece_skipped = 0
        was_chunk_empty, chunks_before = self._is_chunk_empty, self._chunks
        try:
            self._parser.feed_data(piece)
        except httptools.HttpParserError as error:
            if not self.is_complete:
                self._fail(f"not an answer: {error}")
            self.is_tainted = True
        # Any byte behind the size of a chunk is content, unless it was the last chunk.
        is_same_chunk = self._chunks == chunks_before
        self._is_behind_last_chunk = was_chunk_empty and self._is_chunk_empty and is_same_chunk
        self._received.add(len(piece), content=self._piece_content, skipped=self._piece_skipped)
        self._check_bounds()

    def eof_received(self) -> bool:
        """The peer has ended its side; an answer without a length is whole then."""
        if self._is_active and self._is_open_ended and not self.is_complete:
            self.is_complete = True
        return False

    def connection_lost(self, exc: Exception | None) -> None:
        """The connection is gone; an answer that is not whole stays so."""
        self.is_lost = True
        self._unsent = NOTHING
        if not self.is_complete:
            self._fail(f"connection lost: {exc}" if exc else "connection closed")
        self._changed.set()

    def _check_bounds(self) -> None:
        """Close the connection if the server sends far more than its answer needs."""
        excess = self._received.excess
        if not excess or (self._is_chunk_empty and not self._is_behind_last_chunk):
            return
        if self._is_behind_last_chunk and self.head is not None and not self._is_skipping:
            self.is_complete = True
        if not self.is_complete:
            self.is_endless = True
            self._fail(f"answer without end: {excess}")
        self.is_tainted = True
        self._changed.set()
        self.abort()

    # What httptools calls.

    def on_message_begin(self) -> None:
        """A new answer begins; after a whole one it is surplus."""
        self._received.messages += 1
        if self.is_complete:
            self.is_tainted = True
        self._headers = []
        self._status_text = b""
        self._is_in_head = True
        self._is_chunk_empty = False

    def on_status(self, status: bytes) -> None:
        """Collect the reason phrase."""
        self._status_text += status

    def on_header(self, name: bytes, value: bytes) -> None:
        """Collect a header; what comes behind a chunked body is dropped."""
        self._received.headers += 1
        if self._is_in_head and self._received.headers <= MAX_HEADERS:
            self._headers.append((name.lower(), value))

    def on_headers_complete(self) -> None:
        """Decide whether this is the answer that is waited for."""
        self._is_in_head = False
        if self.is_complete:
            return
        status = self._parser.get_status_code()
        if not FIRST_STATUS <= status <= LAST_STATUS:
            self._fail(f"not an answer: status {status:03}")
            self.is_tainted = True
            self.abort()
            return
        head = ResponseHead(status=status, reason=self._status_text, headers=self._headers)
        self._is_skipping = status < FIRST_FINAL_STATUS or not self._is_expected(head)
        if self._is_skipping:
            self.skipped_answers += status >= FIRST_FINAL_STATUS
            return
        self._is_open_ended = self._ends_with_connection(head)
        self.head = head
        self._changed.set()

    def on_chunk_header(self) -> None:
        """The size of a chunk has come, and its extensions."""
        self._chunks += 1
        self._is_chunk_empty = True

    def on_body(self, body: bytes) -> None:
        """Keep a part of the body for the reader."""
        self._is_chunk_empty = False
        if self._is_skipping or self.is_complete:
            self._piece_skipped += len(body)
            return
        self._piece_content += len(body)
        self._parts.append(bytes(body))
        self._parts_bytes += len(body)
        self.body_bytes += len(body)
        self._changed.set()

    def on_message_complete(self) -> None:
        """The answer is whole, unless it was passed over."""
        self._is_chunk_empty = False
        if self._is_skipping:
            self._is_skipping = False
            return
        if self.head is not None:
            self.is_complete = True
            self._changed.set()

    # What the forwarding core calls.

    def send(
        self,
        data: bytes,
        *,
        expected: tuple[bytes, bytes] | None,
        is_bodiless: bool = False,
        body: bytes = b"",
    ) -> None:
        """Begin an exchange by sending a whole request: ``data``, and its body behind it, if any.

        Raise :class:`ConnectFailedError` if it can't be sent on this connection.
        """
        assert self.transport is not None
        self.head = None
        self.is_complete = False
        self._error = ""
        self._parts.clear()
        self._parts_bytes = 0
        self.body_bytes = 0
        self._received = ReceivedBytes()
        self._expected = expected
        self._is_bodiless = is_bodiless
        self._is_open_ended = False
        self._is_active = True
        self.uses += 1
        if self.is_lost or self.transport.is_closing():
            raise ConnectFailedError("connection was closed before the request was sent")
        if expected is not None and expected[1]:
            if self.has_sent(expected[1]):
                raise ConnectFailedError("the id was sent on this connection before")
            self._sent_ids.add(expected[1])
        if len(body) <= MAX_JOINED_BYTES:
            self.transport.write(data + body if body else data)
        else:
            self.transport.write(data)
            self._unsent = memoryview(body)
            self._send_body()

    def _send_body(self) -> None:
        """Give the transport as much of the body as it takes."""
        transport = self.transport
        while self._unsent and not self._is_write_paused:
            if transport is None or transport.is_closing():
                self._unsent = NOTHING
                return
            transport.write(self._unsent[:SEND_BYTES])
            self._unsent = self._unsent[SEND_BYTES:]

    def has_sent(self, request_id: bytes) -> bool:
        """Whether a request of this id was sent on the connection, answered or not."""
        return request_id in self._sent_ids

    async def read_head(self) -> ResponseHead:
        """Wait for the head of the answer."""
        while self.head is None:
            self._raise_if_failed()
            await self._wait()
        return self.head

    async def read_part(self) -> bytes:
        """The next part of the body; empty once the whole answer has been read."""
        while not self._parts:
            if self.is_complete or (self._is_bodiless and self.head is not None):
                return b""
            self._raise_if_failed()
            await self._wait()
        part = self._parts.popleft()
        self._parts_bytes -= len(part)
        if not self._parts and self.transport is not None and not self.is_lost:
            self.transport.resume_reading()
        return part

    @property
    def unread_bytes(self) -> int:
        """Bytes of the body that have come and were not read yet."""
        return self._parts_bytes

    def pause_reading(self) -> None:
        """Take nothing more from the server until :meth:`resume_reading`."""
        if self.transport is not None and not self.is_lost:
            self.transport.pause_reading()

    def resume_reading(self) -> None:
        """Take more from the server again."""
        if self.transport is not None and not self.is_lost:
            self.transport.resume_reading()

    async def read_body(
        self, max_bytes: int, *, on_size: Callable[[int], None] = lambda _: None
    ) -> bytes:
        """The whole body; raises :class:`ConnectionBrokenError` if it is larger than allowed.

        ``on_size`` is called with the bytes that have come so far.
        """
        parts: list[bytes] = []
        size = 0
        try:
            while part := await self.read_part():
                parts.append(part)
                size += len(part)
                on_size(size)
                if size > max_bytes:
                    raise ConnectionBrokenError("answer too large")
            return b"".join(parts)
        finally:
            # The traceback of a reading that was cancelled would keep them for the collector.
            parts.clear()

    def finish(self, now: float) -> bool:
        """End the exchange; True if the connection may serve another one."""
        self._is_active = False
        self._parts.clear()
        self._parts_bytes = 0
        self.idle_since = now
        is_reusable = (
            self.is_complete
            and not self.is_lost
            and not self.is_tainted
            and not self._is_open_ended
            and not self._is_bodiless
            and self.transport is not None
            and not self.transport.is_closing()
            and self.transport.get_write_buffer_size() == 0
            and not self._unsent
            and not self._sent_ids.is_full
            and self._wants_keep_alive()
        )
        if not is_reusable:
            self.abort()
        return is_reusable

    def is_fresh(self, now: float) -> bool:
        """Whether an idle connection is likely still open at the other end."""
        if self.is_lost or self.is_tainted or self.transport is None:
            return False
        if self.transport.is_closing():
            return False
        return now - self.idle_since < self.keep_alive_s * KEEP_ALIVE_SHARE

    def abort(self) -> None:
        """Close at once; the peer learns that nobody waits for an answer."""
        self._unsent = NOTHING
        if self.transport is not None and not self.is_lost:
            self.transport.abort()

    async def _wait(self) -> None:
        self._changed.clear()
        await self._changed.wait()

    def _raise_if_failed(self) -> None:
        if self._error:
            kind = AnswerEndlessError if self.is_endless else ConnectionBrokenError
            raise kind(self._error)

    def _fail(self, message: str) -> None:
        if not self._error:
            self._error = message
        self._changed.set()

    def _is_expected(self, head: ResponseHead) -> bool:
        if self._expected is None:
            return True
        name, value = self._expected
        return (head.get(name) or b"") == value

    def _ends_with_connection(self, head: ResponseHead) -> bool:
        if head.status in BODILESS_STATUSES:
            return False
        has_length = head.get(b"content-length") is not None
        is_chunked = b"chunked" in (head.get(b"transfer-encoding") or b"").lower()
        return not has_length and not is_chunked

    def _wants_keep_alive(self) -> bool:
        assert self.head is not None
        if b"close" in (self.head.get(b"connection") or b"").lower():
            return False
        self.keep_alive_s = keep_alive_seconds(self.head.get(b"keep-alive"))
        return self._parser.should_keep_alive() or self.is_complete


def keep_alive_seconds(value: bytes | None) -> float:
    """The idle time that a ``Keep-Alive`` header promises.

    >>> keep_alive_seconds(b"timeout=4, max=10")
    4.0
    >>> keep_alive_seconds(None)
    2.0
    """
    for part in (value or b"").split(b","):
        name, _, number = part.partition(b"=")
        if name.strip().lower() == b"timeout" and number.strip().isdigit():
            return float(number)
    return DEFAULT_KEEP_ALIVE_S
