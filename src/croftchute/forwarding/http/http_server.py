"""HTTP/1.1 towards callers, on asyncio: requests are read whole, answers written as they come.

cheroot was the house's choice; it gives each open stream a thread and reads nothing of a
connection while its request is being served, so a caller who leaves is seen late. docs/DESIGN.md
has the measurement.
"""

from __future__ import annotations

import asyncio
import math
import socket
from collections import deque
from collections.abc import Awaitable, Callable
from dataclasses import dataclass
from http import HTTPStatus

import httptools

from croftchute.forwarding.http.caller_writer import CallerWriter
from croftchute.forwarding.http.connection_intake import ConnectionIntake, ShedCause
from croftchute.forwarding.http.exchange import Arrival, Exchange, IncomingRequest, encode_head
from croftchute.forwarding.http.held_answers import HeldAnswers
from croftchute.forwarding.http.silence import ACCEPTED, watch_for_silence
from croftchute.steady_clock import steady_s
from croftchute.tables.routing import HeaderList, IngressLimits

MAX_WAITING_REQUESTS = 4
CONTINUE = b"HTTP/1.1 100 Continue\r\n\r\n"

MIN_BODY_BYTES_PER_S = 4096
"""Least pace of a caller's body, beside the time for which a connection may rest: a caller that
sends a byte now and then does not hold its connection for ever."""

Handler = Callable[[Exchange], Awaitable[None]]


@dataclass(frozen=True, kw_only=True, slots=True)
class ConnectionCounts:
    """Connections by what they are at: idle, reading a request, serving one; and the queue."""

    idle: int
    reading: int
    serving: int
    queued_requests: int


class CallerConnection(asyncio.Protocol):
    """One caller's connection: requests are served one after the other, in their order."""

    def __init__(self, *, server: HttpIngress) -> None:
        self.server = server
        self.transport: asyncio.Transport | None = None
        self.is_lost = False
        self._loop = asyncio.get_running_loop()
        self.writer = CallerWriter(held=server.held)
        self._waiting: deque[IncomingRequest] = deque()
        self._task: asyncio.Task[None] | None = None
        self._timer: asyncio.TimerHandle | None = None
        self._parser = httptools.HttpRequestParser(self)
        self._must_close = False
        self._is_reading = False
        self._connected_at = self.server.clock()
        self._requests_read = 0
        self.resting_since = self._loop.time()
        self._begin_message()

    @property
    def is_busy(self) -> bool:
        """Whether a request has been read, or is being read, and not answered."""
        return self._task is not None or self._is_reading or bool(self._waiting)

    @property
    def is_serving(self) -> bool:
        """Whether a handler is at work on a request."""
        return self._task is not None

    @property
    def is_reading(self) -> bool:
        """Whether a request has come in part."""
        return self._is_reading

    @property
    def queued_requests(self) -> int:
        """How many whole requests wait for the answers before theirs."""
        return len(self._waiting)

    # What asyncio calls.

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Begin to wait for a request."""
        assert isinstance(transport, asyncio.Transport)
        self.transport = transport
        self.writer.attach(transport)
        watch_for_silence(transport.get_extra_info("socket"), ACCEPTED)
        self.server.connections.add(self)
        self._rest()

    def data_received(self, data: bytes) -> None:
        """Parse; a request that is whole is queued."""
        if self._must_close:
            return
        try:
            self._parser.feed_data(data)
        except httptools.HttpParserUpgrade:
            self._refuse(HTTPStatus.NOT_IMPLEMENTED)
        except httptools.HttpParserError:
            self._refuse(HTTPStatus.BAD_REQUEST)
        if len(self._waiting) >= MAX_WAITING_REQUESTS and self.transport is not None:
            self.transport.pause_reading()

    def eof_received(self) -> bool:
        """A caller that ends its side has left."""
        if self.writer.has_unsent:
            # The transport would only close once the caller had read all that is held for it.
            self.abort()
        return False

    def connection_lost(self, exc: Exception | None) -> None:
        """The caller has left: what is done for it ends."""
        self.is_lost = True
        self.writer.lost()
        self._cancel_timer()
        self.server.connections.discard(self)
        if self._task is not None:
            self._task.cancel()

    def pause_writing(self) -> None:
        """The caller reads too slowly."""
        self.writer.pause_writing()

    def resume_writing(self) -> None:
        """The caller has caught up."""
        self.writer.resume_writing()

    # What httptools calls.

    def on_message_begin(self) -> None:
        """The first byte of a request has come."""
        self._begin_message()
        self._is_reading = True
        self._wait_for(self.server.limits().header_timeout_s)

    def on_url(self, url: bytes) -> None:
        """Collect the request target."""
        self._target += url
        self._count_head(len(url))

    def on_header(self, name: bytes, value: bytes) -> None:
        """Collect a header."""
        self._headers.append((name.lower(), value))
        self._count_head(len(name) + len(value) + 4)

    def on_headers_complete(self) -> None:
        """Allow a body if one is announced."""
        limits = self.server.limits()
        self._body_begun_at = self._loop.time()
        self._wait_for(limits.idle_timeout_s)
        for name, value in self._headers:
            if name == b"content-length" and int(value) > limits.max_body_bytes:
                self._refuse(HTTPStatus.REQUEST_ENTITY_TOO_LARGE)
                return
            if name == b"expect" and value.lower() == b"100-continue":
                self.writer.write(CONTINUE)

    def on_body(self, body: bytes) -> None:
        """Collect a part of the body."""
        self._body_parts.append(bytes(body))
        self._body_bytes += len(body)
        self._wait_for(self._body_time_s())
        if self._body_bytes > self.server.limits().max_body_bytes:
            self._refuse(HTTPStatus.REQUEST_ENTITY_TOO_LARGE)

    def on_message_complete(self) -> None:
        """Queue a whole request."""
        if self._must_close:
            return
        self._is_reading = False
        self._cancel_timer()
        self._requests_read += 1
        request = IncomingRequest(
            method=self._parser.get_method().decode("ascii"),
            target=self._target.decode("latin-1"),
            headers=self._headers,
            body=b"".join(self._body_parts),
            is_http_1_0=self._parser.get_http_version() == "1.0",
            arrival=Arrival(
                connected_at=self._connected_at,
                begun_at=self._begun_at,
                read_at=self.server.clock(),
                number=self._requests_read,
            ),
        )
        if not self._parser.should_keep_alive():
            self._closes_after = True
        self._waiting.append(request)
        self._serve_next()

    # What exchanges call.

    def persistence_headers(self, request: IncomingRequest) -> HeaderList:
        """What tells the caller whether the connection stays open."""
        if self.server.is_stopping and not self._waiting:
            self._closes_after = True
        if self._closes_after:
            return [(b"connection", b"close")]
        return [(b"connection", b"keep-alive")] if request.is_http_1_0 else []

    def close_soon(self) -> None:
        """Close once everything has been written."""
        self._must_close = True
        self.writer.close_soon()

    def abort(self) -> None:
        """Reset the connection, so that an answer without a length cannot look whole."""
        self._must_close = True
        self.writer.abort()

    def _begin_message(self) -> None:
        self._begun_at = self.server.clock()
        self._body_begun_at = self._loop.time()
        self._target = b""
        self._headers: HeaderList = []
        self._head_bytes = 0
        self._body_parts: list[bytes] = []
        self._body_bytes = 0
        self._closes_after = getattr(self, "_closes_after", False)

    def _count_head(self, size: int) -> None:
        self._head_bytes += size
        if self._head_bytes > self.server.limits().max_header_bytes:
            self._refuse(HTTPStatus.REQUEST_HEADER_FIELDS_TOO_LARGE)

    def _body_time_s(self) -> float:
        """Seconds until the next part of a body must have come."""
        idle_s = self.server.limits().idle_timeout_s
        allowed_s = idle_s + self._body_bytes / MIN_BODY_BYTES_PER_S
        return min(idle_s, self._body_begun_at + allowed_s - self._loop.time())

    def _serve_next(self) -> None:
        if self._task is not None or not self._waiting or self.is_lost:
            return
        request = self._waiting.popleft()
        exchange = Exchange(connection=self, request=request)
        self.writer.begin()
        self._task = self._loop.create_task(self._serve(exchange))

    async def _serve(self, exchange: Exchange) -> None:
        try:
            await self.server.handler_at(self.server.clock())(exchange)
        finally:
            self._task = None
            if not exchange.is_finished:
                self.abort()
            self.writer.end()
        self._after_answer()

    def _after_answer(self) -> None:
        if self.is_lost:
            return
        if self._ends_here():
            self.close_soon()
            return
        if self.transport is not None and not self.transport.is_closing():
            self.transport.resume_reading()
        if self._waiting:
            self._serve_next()
        elif not self._is_reading:
            self._rest()

    def _ends_here(self) -> bool:
        """Whether the connection closes with the answer that has just ended.

        An answer that began before a stop has not told its caller that the connection closes. If
        it were left open until it is found idle, the caller's next request could come first.
        """
        if self._waiting:
            return False
        if self._closes_after:
            return True
        return self.server.is_entry_over(self.server.clock()) and not self._is_reading

    def _refuse(self, status: HTTPStatus) -> None:
        """Answer a request that cannot be read, behind those before it, and close."""
        if self._must_close:
            return
        self._must_close = True
        self._cancel_timer()
        if self._task is None:
            head = encode_head(status, b"", [(b"content-length", b"0"), (b"connection", b"close")])
            self.writer.write(head)
            self.close_soon()
        else:
            self._closes_after = True

    def _rest(self) -> None:
        """Wait for a request for as long as a connection may rest."""
        self.resting_since = self._loop.time()
        self._wait_for(self.server.limits().idle_timeout_s)

    def _rest_left_s(self) -> float:
        """Seconds for which the connection may still rest, by the limits in force now."""
        rested_s = self._loop.time() - self.resting_since
        return self.server.limits().idle_timeout_s - rested_s

    def _wait_for(self, seconds: float) -> None:
        self._cancel_timer()
        self._timer = self._loop.call_later(seconds, self._timed_out)

    def _cancel_timer(self) -> None:
        if self._timer is not None:
            self._timer.cancel()
            self._timer = None

    def _timed_out(self) -> None:
        if self._is_reading:
            self._refuse(HTTPStatus.REQUEST_TIMEOUT)
        elif not self.is_busy:
            left_s = self._rest_left_s()
            if left_s > 0.0:
                self._wait_for(left_s)
            else:
                self.close_soon()


def _ignore_shed(cause: ShedCause, now: float) -> None:
    """Nobody counts connections that are closed unread."""


class HttpIngress:
    """Listens for callers and hands their requests to a handler.

    ``clock`` tells when requests come. Once the entry is over, they go to ``turn_away`` instead,
    whatever way they came: on a kept connection, behind another request, read in parts, or on a
    connection that was accepted late. ``held`` counts and bounds what is held for callers.
    With ``paces_intake`` connections are read no faster than their requests are served;
    ``on_shed`` is called for each that is closed unread. ``max_connections`` bounds how many are
    open then, 0 for no bound.
    """

    def __init__(
        self,
        *,
        handler: Handler,
        limits: Callable[[], IngressLimits],
        turn_away: Handler | None = None,
        clock: Callable[[], float] = steady_s,
        held: HeldAnswers | None = None,
        paces_intake: bool = False,
        max_connections: int = 0,
        on_shed: Callable[[ShedCause, float], None] = _ignore_shed,
    ) -> None:
        self.handler = handler
        self.limits = limits
        self.turn_away = turn_away or handler
        self.clock = clock
        self.held = held
        self.entry_ends_at = math.inf
        self.connections: set[CallerConnection] = set()
        self.is_stopping = False
        self.max_connections = max_connections
        self.on_shed = on_shed
        self.intake = ConnectionIntake(owner=self, clock=clock) if paces_intake else None
        self._server: asyncio.Server | None = None

    @property
    def open_requests(self) -> int:
        """How many connections have a request that is not answered yet."""
        return sum(connection.is_busy for connection in self.connections)

    @property
    def connections_read(self) -> int:
        """How many connections were read, if they are paced; 0 if not."""
        return 0 if self.intake is None else self.intake.connections_read

    def is_entry_over(self, now: float) -> bool:
        """Whether requests are turned away at this time of the ingress's clock."""
        return now >= self.entry_ends_at

    def handler_at(self, now: float) -> Handler:
        """What answers a request whose turn comes now."""
        return self.turn_away if self.is_entry_over(now) else self.handler

    def counts(self) -> ConnectionCounts:
        """What the connections are at."""
        return ConnectionCounts(
            idle=sum(not connection.is_busy for connection in self.connections),
            reading=sum(connection.is_reading for connection in self.connections),
            serving=sum(connection.is_serving for connection in self.connections),
            queued_requests=sum(connection.queued_requests for connection in self.connections),
        )

    @property
    def port(self) -> int:
        """The port that is listened on."""
        if self.intake is not None:
            return self.intake.port
        assert self._server is not None
        return int(self._server.sockets[0].getsockname()[1])

    async def listen(self, host: str, port: int) -> None:
        """Begin to accept connections."""
        if self.intake is not None:
            self.intake.listen(host, port)
            return
        loop = asyncio.get_running_loop()
        self._server = await loop.create_server(
            lambda: CallerConnection(server=self), host, port, backlog=512
        )

    def stop_accepting(self) -> None:
        """Take no new connections."""
        if self.intake is not None:
            self.intake.close()
        if self._server is not None:
            self._server.close()

    def close_idle(self) -> None:
        """Close connections on which no request is open."""
        for connection in list(self.connections):
            if not connection.is_busy:
                connection.close_soon()

    # What the intake calls.

    async def begin(self, connection: socket.socket) -> None:
        """Begin to read a connection that was accepted."""
        loop = asyncio.get_running_loop()
        try:
            await loop.connect_accepted_socket(lambda: CallerConnection(server=self), connection)
        except OSError:
            # The caller has reset it in the meantime.
            connection.close()

    def make_room(self) -> bool:
        """Return whether one more connection may be open; close the one that rested longest."""
        if not self.max_connections or len(self.connections) < self.max_connections:
            return True
        idle = [connection for connection in self.connections if not connection.is_busy]
        if not idle:
            return False
        min(idle, key=lambda connection: connection.resting_since).close_soon()
        return True

    def note_shed(self, cause: ShedCause, now: float) -> None:
        """Report a connection that was closed unread."""
        self.on_shed(cause, now)
