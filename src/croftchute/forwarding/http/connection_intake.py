"""Accepts callers' connections, and reads them no faster than the event loop gets through its work.

The kernel completes connections by itself and keeps what callers send, so one that is accepted and
not read costs little. It is closed by a reset if it is not to be read.
"""

from __future__ import annotations

import asyncio
import errno
import math
import socket
import struct
from collections.abc import Callable
from enum import StrEnum
from typing import Protocol

from croftchute.systems.intake_queue import IntakeQueue

BACKLOG = 512
"""Connections that the kernel keeps until they are accepted."""

MAX_ACCEPTED_A_TURN = 128
"""Most connections that are accepted before other events are looked at."""

RECEIVE_WINDOW_BYTES = 32_768
"""Bytes that the kernel keeps of what a client sends and the box has not read."""

EXHAUSTED_PAUSE_S = 0.1
"""Seconds for which nothing is accepted once the process has run out of descriptors or memory."""

EXHAUSTED = frozenset({errno.EMFILE, errno.ENFILE, errno.ENOBUFS, errno.ENOMEM})

RESET_ON_CLOSE = struct.pack("ii", 1, 0)


class ShedCause(StrEnum):
    """Why a connection was closed unread."""

    QUEUE_FULL = "queue_full"
    WAITED = "waited"
    TOO_MANY_OPEN = "too_many_open"
    STOPPED = "stopped"


class IntakeOwner(Protocol):
    """What a connection is handed to, and who counts those that are open."""

    async def begin(self, connection: socket.socket) -> None:
        """Begin to read a connection."""
        ...

    def make_room(self, unread: int) -> bool:
        """Return whether one more may be open beside ``unread`` others that are not read yet.

        One that is not being served may be closed for that.
        """
        ...

    def note_shed(self, cause: ShedCause, now: float) -> None:
        """Record a connection that was closed unread."""
        ...


class ConnectionIntake:
    """A listening socket whose connections are read one in each turn of the event loop.

    Those of one that is not ``is_paced`` are read as soon as they are accepted.
    """

    def __init__(
        self, *, owner: IntakeOwner, clock: Callable[[], float], is_paced: bool = True
    ) -> None:
        self.owner = owner
        self.is_paced = is_paced
        self.clock = clock
        self.queue: IntakeQueue[socket.socket] = IntakeQueue()
        self.connections_read = 0
        self._socket: socket.socket | None = None
        self._turn: asyncio.Handle | None = None
        self._turn_began_at = -math.inf
        self._beginning: set[asyncio.Task[None]] = set()

    @property
    def port(self) -> int:
        """The port that is listened on."""
        assert self._socket is not None
        return int(self._socket.getsockname()[1])

    def listen(self, host: str, port: int) -> None:
        """Begin to accept connections."""
        self._socket = socket.create_server((host, port), backlog=BACKLOG)
        # Accepted sockets inherit it. The kernel would keep megabytes for one that is not read.
        self._socket.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, RECEIVE_WINDOW_BYTES)
        self._socket.setblocking(False)
        self._watch()

    def close(self) -> None:
        """Accept nothing more, and close what is not read yet."""
        if self._socket is None:
            return
        asyncio.get_running_loop().remove_reader(self._socket)
        self._socket.close()
        self._socket = None
        for connection in self.queue.take_all():
            self._shed(connection, ShedCause.STOPPED, self.clock())

    def _watch(self) -> None:
        if self._socket is not None:
            asyncio.get_running_loop().add_reader(self._socket, self._accept)

    def _accept(self) -> None:
        """Let all connections that the kernel has completed wait for their turn."""
        if self._socket is None:
            return
        now = self.clock()
        for _ in range(MAX_ACCEPTED_A_TURN):
            try:
                connection, _ = self._socket.accept()
            except BlockingIOError:
                break
            except OSError as error:
                if error.errno in EXHAUSTED:
                    self._pause(self._socket)
                    break
                continue
            connection.setblocking(False)
            self._take(connection, now)
        self._schedule_turn()

    def _take(self, connection: socket.socket, now: float) -> None:
        """Let a connection wait for its turn, unless the table of descriptors is too full."""
        if not self.owner.make_room(len(self.queue) + len(self._beginning)):
            loop = asyncio.get_running_loop()
            loop.call_soon(self._shed, connection, ShedCause.TOO_MANY_OPEN, now)
        elif not self.is_paced:
            self._begin(connection)
        elif not self.queue.add(connection, now):
            self._shed(connection, ShedCause.QUEUE_FULL, now)

    def _pause(self, listening: socket.socket) -> None:
        loop = asyncio.get_running_loop()
        loop.remove_reader(listening)
        loop.call_later(EXHAUSTED_PAUSE_S, self._watch)

    def _schedule_turn(self) -> None:
        if self._turn is None and self.queue:
            self._turn_began_at = self.clock()
            self._turn = asyncio.get_running_loop().call_soon(self._end_turn)

    def _end_turn(self) -> None:
        """Read one connection behind each turn, and close those that have waited too long."""
        now = self.clock()
        turn_s = now - self._turn_began_at
        self._turn = None
        # Behind a turn that is longer than all waits none would be left to read.
        if (found := self.queue.take_next(now, turn_s=turn_s)) is not None:
            self._begin(found)
        for expired in self.queue.take_expired(now):
            self._shed(expired, ShedCause.WAITED, now)
        self._schedule_turn()

    def _begin(self, connection: socket.socket) -> None:
        """Begin to read a connection."""
        self.connections_read += 1
        task = asyncio.get_running_loop().create_task(self.owner.begin(connection))
        self._beginning.add(task)
        task.add_done_callback(self._beginning.discard)

    def _shed(self, connection: socket.socket, cause: ShedCause, now: float) -> None:
        connection.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, RESET_ON_CLOSE)
        connection.close()
        self.owner.note_shed(cause, now)
