"""Receives the requests of many connections on one thread, until each is whole.

No thread that handles requests waits for a client that is slow or stops short. The bytes of all
connections count in one account, above whose bound those are closed that hold much and move little.
"""

from __future__ import annotations

import contextlib
import errno
import heapq
import itertools
import os
import select
import selectors
import socket
import struct
import threading
import time
from collections import deque
from collections.abc import Callable
from dataclasses import replace
from enum import Enum, auto
from http import HTTPStatus

from loguru import logger

from croftchute.forwarding.http.client_memory import ClientMemory, ReleaseCause
from croftchute.received_request import ReceivedRequest, RequestLimits, WholeRequest

CONNECTION_BYTES = 8192
"""What a connection takes beside the bytes of its requests."""

PIECE_PAUSE_S = 0.01
"""Seconds between two reads of a request that comes in many small pieces."""

CHECK_S = 0.25
"""Seconds between two looks for clients that have taken too long."""

UNSENT_KERNEL_BYTES = 65_536
"""Most bytes that the kernel takes of an answer beyond the client's receive window."""

RESET_ON_CLOSE = struct.pack("ii", 1, 0)

LINGER_S = 1.0
"""Seconds for which what a client sends is dropped after its answer: it would be lost otherwise."""

REFUSAL_BY_CAUSE = {
    ReleaseCause.TOO_SLOW: HTTPStatus.REQUEST_TIMEOUT,
    ReleaseCause.HEAD_TOO_LARGE: HTTPStatus.REQUEST_HEADER_FIELDS_TOO_LARGE,
}

CONTINUE = b"HTTP/1.1 100 Continue\r\n\r\n"


class Stage(Enum):
    """What a connection waits for."""

    RECEIVING = auto()
    QUEUED = auto()
    SERVED = auto()
    LINGERING = auto()
    CLOSED = auto()


class LockedMemory(ClientMemory):
    """The memory of connections that several threads count; each call needs the lock."""

    def __init__(self, *args: object, **kwargs: object) -> None:
        super().__init__(*args, **kwargs)  # type: ignore[arg-type]
        self.lock = threading.RLock()


class ReceivedConnection:
    """A connection whose requests are received one after another.

    ``handle`` is called once a request is whole.
    """

    def __init__(
        self,
        *,
        sock: socket.socket,
        handle: Callable[[], None],
        limits: RequestLimits,
        receiver: RequestReceiver,
        now: float,
    ) -> None:
        self.sock = sock
        self.fd = sock.fileno()
        self.handle = handle
        self.receiver = receiver
        self.request = ReceivedRequest(limits=limits, now=now)
        self.stage = Stage.RECEIVING
        self.whole: WholeRequest | None = None
        self.served_bytes = 0
        self.unsent_bytes = 0
        self.is_refused = False
        self.is_released = False
        self.has_unread_body = False
        self.closes_at = 0.0
        self.number = 0

    @property
    def held_bytes(self) -> int:
        """Bytes held for the connection now."""
        held = CONNECTION_BYTES + self.request.size
        if self.whole is not None:
            held += self.whole.size
        if self.unsent_bytes:
            held += self.unsent_bytes + UNSENT_KERNEL_BYTES
        return held

    @property
    def is_waiting(self) -> bool:
        """Whether the connection waits for its client."""
        return self.stage in (Stage.RECEIVING, Stage.LINGERING) and not self.is_released

    @property
    def is_idle(self) -> bool:
        """Whether nothing has come of a further request."""
        return self.is_waiting and not self.request.size

    def left_s(self, now: float) -> float:
        """Seconds for which the connection waits for its client."""
        if self.stage is Stage.LINGERING:
            return self.closes_at - now
        return self.request.left_s(now)

    @property
    def has_bytes(self) -> bool:
        """Whether something has come that was not handled, be it the end."""
        if self.request.size:
            return True
        poll = select.poll()
        try:
            poll.register(self.sock, select.POLLIN)
            return bool(poll.poll(0.0))
        except (OSError, ValueError):
            return False

    @property
    def has_request(self) -> bool:
        """Whether a request is being received, handled or answered, or its first byte waits."""
        if self.is_released or self.stage in (Stage.LINGERING, Stage.CLOSED):
            return False
        return self.stage in (Stage.QUEUED, Stage.SERVED) or self.has_bytes

    def release_memory(self) -> ReleaseCause | None:
        """Give up a request that nobody handles yet, or an unread answer; None without either."""
        if self.unsent_bytes and not self.is_released:
            self.reset()
            return ReleaseCause.ANSWER_UNREAD
        if self.stage is Stage.QUEUED and not self.is_refused:
            self.refuse()
            return ReleaseCause.REQUEST_WAITING
        if not self.is_waiting:
            return None
        cause = ReleaseCause.IDLE if self.is_idle else ReleaseCause.REQUEST_HALF_READ
        self.is_released = True
        self.request.clear()
        self.receiver.close_soon(self)
        return cause

    def refuse(self) -> None:
        """Drop the body of a whole request, which is to be answered with a refusal."""
        if self.whole is not None:
            self.whole = replace(self.whole, body=b"")
        self.is_refused = True

    def reset(self) -> None:
        """Break the connection off, so that its answer cannot look whole."""
        self.is_released = True
        self.unsent_bytes = 0
        with contextlib.suppress(OSError):
            self.sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, RESET_ON_CLOSE)
            # Wakes the thread that waits for the client to read.
            self.sock.shutdown(socket.SHUT_RDWR)

    def note_unsent(self, size: int, *, moved: int = 0) -> None:
        """Count what the client has not taken of its answer, after ``moved`` bytes came or went.

        Raises BrokenPipeError once the connection was released.
        """
        memory = self.receiver.memory
        with memory.lock:
            if self.is_released or self.stage is Stage.CLOSED:
                raise BrokenPipeError(errno.EPIPE, "the connection was released")
            self.unsent_bytes = size
            memory.note(self.number, moved=moved)

    def end_unsent(self) -> None:
        """All of an answer is with the kernel, or it was given up."""
        memory = self.receiver.memory
        with memory.lock:
            self.unsent_bytes = 0
            memory.note(self.number)

    def give_up_answer(self) -> None:
        """Break off an answer that the client takes too slowly."""
        memory = self.receiver.memory
        with memory.lock:
            memory.note_release(ReleaseCause.TOO_SLOW, self.unsent_bytes)
            self.reset()
            memory.note(self.number)

    def begin_serving(self) -> WholeRequest | None:
        """Take the request that is to be served; None if the connection was closed meanwhile."""
        memory = self.receiver.memory
        with memory.lock:
            whole = self.whole
            if whole is None or self.stage is not Stage.QUEUED:
                return None
            self.stage = Stage.SERVED
            self.served_bytes = whole.served_bytes
            if not self.is_refused and not memory.begin_serving(self.served_bytes):
                memory.note_refused(self.served_bytes)
                self.refuse()
            if self.is_refused:
                self.served_bytes = 0
            memory.note(self.number)
            return self.whole

    def serve_more(self, size: int) -> bool:
        """Count further bytes for the request that is being served; False if there is no room."""
        memory = self.receiver.memory
        with memory.lock:
            if not memory.extend_serving(self.served_bytes, size):
                memory.note_refused(size)
                return False
            self.served_bytes += size
            return True

    def end_serving(self) -> None:
        """The request is over."""
        memory = self.receiver.memory
        with memory.lock:
            memory.end_serving(self.served_bytes)
            self.served_bytes = 0
            self.unsent_bytes = 0
            self.whole = None
            self.is_refused = False
            memory.note(self.number)


class RequestReceiver:
    """The connections of one address of a process, of which no thread handles a request."""

    def __init__(
        self,
        *,
        memory: LockedMemory,
        limits: RequestLimits,
        max_connections: int,
        clock: Callable[[], float],
    ) -> None:
        self.memory = memory
        self.max_connections = max_connections
        self.limits = limits
        self.clock = clock
        self._connections: set[ReceivedConnection] = set()
        self._selector = selectors.DefaultSelector()
        self._wake_up = os.eventfd(0, os.EFD_NONBLOCK | os.EFD_CLOEXEC)
        self._selector.register(self._wake_up, selectors.EVENT_READ)
        self._due: deque[ReceivedConnection] = deque()
        self._paused: list[tuple[float, int, ReceivedConnection]] = []
        self._numbers = itertools.count()
        self._checked_at = 0.0
        self._is_stopping = False
        self._is_closed = False
        self._thread = threading.Thread(target=self._run, daemon=True, name="receiver")

    def start(self) -> None:
        """Begin to receive."""
        self._thread.start()

    def stop(self) -> None:
        """Close all connections and end the thread."""
        self._is_stopping = True
        if self._thread.is_alive():
            os.eventfd_write(self._wake_up, 1)
            self._thread.join()
        else:
            self._close_all()

    def add(self, sock: socket.socket, handle: Callable[[], None]) -> ReceivedConnection | None:
        """Begin to count a connection that was accepted; None if there is no room for it."""
        now = self.clock()
        connection = ReceivedConnection(
            sock=sock, handle=handle, limits=self.limits, receiver=self, now=now
        )
        with self.memory.lock:
            if len(self._connections) >= self.max_connections and not self._make_room(now):
                self.memory.note_release(ReleaseCause.IDLE, 0)
                return None
            self._connections.add(connection)
            connection.number = self.memory.open(connection)
            self.memory.note(connection.number)
        return connection

    def receive(self, connection: ReceivedConnection) -> bool:
        """Receive the next request of a connection; False once the receiver has stopped."""
        with self.memory.lock:
            if self._is_closed:
                return False
            connection.stage = Stage.RECEIVING
            connection.request.begin(self.clock())
            self._look_at(connection)
            return True

    def linger(self, connection: ReceivedConnection) -> bool:
        """Drop for a moment what the client still sends, then close the connection.

        Return False once the receiver has stopped.
        """
        with self.memory.lock:
            if self._is_closed:
                return False
            with contextlib.suppress(OSError):
                connection.sock.shutdown(socket.SHUT_WR)
            connection.stage = Stage.LINGERING
            connection.closes_at = self.clock() + LINGER_S
            self._look_at(connection)
            return True

    def close_soon(self, connection: ReceivedConnection) -> None:
        """Close a connection that was released, from the receiver's own thread."""
        with self.memory.lock:
            if not self._is_closed:
                self._look_at(connection)

    def _look_at(self, connection: ReceivedConnection) -> None:
        self._due.append(connection)
        os.eventfd_write(self._wake_up, 1)

    def forget(self, connection: ReceivedConnection) -> None:
        """A connection was closed."""
        with self.memory.lock:
            connection.stage = Stage.CLOSED
            connection.request.clear()
            connection.whole = None
            self._connections.discard(connection)
            self.memory.close(connection.number)

    @property
    def open_requests(self) -> int:
        """Requests from the first byte of their head to the end of their answer."""
        with self.memory.lock:
            return sum(connection.has_request for connection in self._connections)

    def connections(self) -> list[ReceivedConnection]:
        """All connections that are open."""
        with self.memory.lock:
            return list(self._connections)

    def _make_room(self, now: float) -> bool:
        """Close one connection of which no request is being handled, idle ones first.

        A connection whose first bytes wait to be read is not idle.
        """
        waiting = [
            (not found.is_idle, found.left_s(now), found.number, found)
            for found in self._connections
            if found.is_waiting
        ]
        heapq.heapify(waiting)
        begun = None
        while waiting:
            *_, found = heapq.heappop(waiting)
            if not found.is_idle or not found.has_bytes:
                return self.memory.release(found.number)
            begun = begun or found
        return begun is not None and self.memory.release(begun.number)

    def _run(self) -> None:
        while not self._is_stopping:
            try:
                self._take_turn(self.clock())
            except Exception:  # noqa: BLE001 - the address would not be served any more
                logger.exception("receiver_failed")
                time.sleep(CHECK_S)
        self._close_all()

    def _take_turn(self, now: float) -> None:
        """Do what is due, then wait for clients."""
        self._take_due(now)
        self._take_paused(now)
        if now - self._checked_at >= CHECK_S:
            self._checked_at = now
            self._close_late(now)
        for key, _ in self._selector.select(self._wait_s(now)):
            if key.data is None:
                with contextlib.suppress(BlockingIOError):
                    os.eventfd_read(self._wake_up)
            else:
                self._read(key.data, self.clock())

    def _wait_s(self, now: float) -> float:
        if self._due:
            return 0.0
        return max(0.0, min(CHECK_S, self._paused[0][0] - now if self._paused else CHECK_S))

    def _take_due(self, now: float) -> None:
        while self._due:
            connection = self._due.popleft()
            if connection.is_released:
                self._close(connection)
            elif connection.stage is Stage.LINGERING:
                self._watch(connection)
            elif connection.stage is Stage.RECEIVING:
                self._advance(connection, now)

    def _take_paused(self, now: float) -> None:
        while self._paused and self._paused[0][0] <= now:
            _, _, connection = heapq.heappop(self._paused)
            if connection.stage is Stage.RECEIVING and not connection.is_released:
                self._watch(connection)

    def _watch(self, connection: ReceivedConnection) -> None:
        with contextlib.suppress(KeyError, ValueError, OSError):
            self._selector.register(connection.sock, selectors.EVENT_READ, connection)

    def _unwatch(self, connection: ReceivedConnection) -> None:
        with contextlib.suppress(KeyError, ValueError):
            self._selector.unregister(connection.sock)

    def _read(self, connection: ReceivedConnection, now: float) -> None:
        """Read what has come on a connection."""
        if connection.stage is Stage.LINGERING:
            if not self._receive_bytes(connection):
                self._close(connection)
            return
        if connection.stage is not Stage.RECEIVING or connection.is_released:
            return
        with self.memory.lock:
            # Bytes that are neither in the kernel nor here would be missed by who counts requests.
            data = self._receive_bytes(connection)
            if data:
                connection.request.add(data, now)
                self.memory.note(connection.number, moved=len(data))
        if data:
            self._advance(connection, now)
        elif data is not None:
            self._close(connection)

    def _receive_bytes(self, connection: ReceivedConnection) -> bytes | None:
        """Bytes that have come, none at the end of the connection; None if there is nothing."""
        try:
            return os.read(connection.fd, connection.request.wanted_bytes or 1)
        except BlockingIOError:
            return None
        except OSError:
            return b""

    def _advance(self, connection: ReceivedConnection, now: float) -> None:
        """Hand a request over that is whole, or wait for more of it."""
        request = connection.request
        if request.has_too_many_lines:
            self._refuse(connection, ReleaseCause.HEAD_TOO_LARGE, now)
            return
        if request.is_whole:
            self._unwatch(connection)
            with self.memory.lock:
                if connection.is_released:
                    return
                connection.whole = request.take(now)
                connection.stage = Stage.QUEUED
            connection.handle()
            return
        if request.take_expectation():
            self._send(connection, CONTINUE)
        if not request.is_in_small_pieces:
            self._watch(connection)
            return
        self._unwatch(connection)
        heapq.heappush(self._paused, (now + PIECE_PAUSE_S, next(self._numbers), connection))

    def _close_late(self, now: float) -> None:
        for connection in self.connections():
            if connection.stage is Stage.LINGERING and now >= connection.closes_at:
                self._close(connection)
            elif connection.stage is Stage.RECEIVING and connection.request.left_s(now) <= 0.0:
                if connection.request.size:
                    self._refuse(connection, ReleaseCause.TOO_SLOW, now)
                else:
                    self._close(connection)

    def _refuse(self, connection: ReceivedConnection, cause: ReleaseCause, now: float) -> None:
        """Answer a request that was not handed over, and end its connection."""
        with self.memory.lock:
            if connection.is_released:
                return
            size = connection.request.size
            connection.request.clear()
            self.memory.note(connection.number)
            self.memory.note_release(cause, size)
        status = REFUSAL_BY_CAUSE[cause]
        head = f"HTTP/1.1 {status.value} {status.phrase}\r\n"
        self._send(connection, f"{head}Content-Length: 0\r\nConnection: close\r\n\r\n".encode())
        connection.stage = Stage.LINGERING
        connection.closes_at = now + LINGER_S
        with contextlib.suppress(OSError):
            connection.sock.shutdown(socket.SHUT_WR)
        self._watch(connection)

    def _send(self, connection: ReceivedConnection, data: bytes) -> None:
        with contextlib.suppress(OSError):
            os.write(connection.fd, data)

    def _close(self, connection: ReceivedConnection) -> None:
        self._unwatch(connection)
        self.forget(connection)
        connection.sock.close()

    def _close_all(self) -> None:
        for connection in self.connections():
            if connection.stage in (Stage.RECEIVING, Stage.LINGERING):
                self._close(connection)
        with self.memory.lock:
            if self._is_closed:
                return
            self._is_closed = True
            self._selector.close()
            os.close(self._wake_up)
