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
from dataclasses import dataclass, replace
from functools import partial
from http import HTTPStatus

import httptools

from croftchute.forwarding.http.caller_writer import UNSENT_KERNEL_BYTES, CallerWriter
from croftchute.forwarding.http.client_memory import ClientMemory, ReleaseCause
from croftchute.forwarding.http.connection_intake import ConnectionIntake, ShedCause
from croftchute.forwarding.http.exchange import Arrival, Exchange, IncomingRequest, encode_head
from croftchute.forwarding.http.held_answers import HeldAnswers
from croftchute.forwarding.http.parse_pacer import ParsePacer, PieceAllowance
from croftchute.forwarding.http.request_bounds import (
    MAX_FRAMING_BYTES,
    PIECE_BYTES,
    RequestFraming,
    RequestHead,
    max_header_lines,
)
from croftchute.forwarding.http.silence import ACCEPTED, watch_for_silence
from croftchute.steady_clock import steady_s
from croftchute.tables.routing import HeaderList, IngressLimits

MAX_WAITING_REQUESTS = 4
CONTINUE = b"HTTP/1.1 100 Continue\r\n\r\n"

RECEIVE_BYTES = 65536
"""Most bytes that are read from a socket at once."""

RECEIVED = memoryview(bytearray(RECEIVE_BYTES))
"""What was read last, by any connection: it is parsed or copied before the event loop reads
again. A process has one event loop."""

CAUSE_BY_STATUS = {
    HTTPStatus.REQUEST_TIMEOUT: ReleaseCause.TOO_SLOW,
    HTTPStatus.REQUEST_HEADER_FIELDS_TOO_LARGE: ReleaseCause.HEAD_TOO_LARGE,
    HTTPStatus.REQUEST_ENTITY_TOO_LARGE: ReleaseCause.BODY_TOO_LARGE,
    HTTPStatus.BAD_REQUEST: ReleaseCause.UNREADABLE,
    HTTPStatus.NOT_IMPLEMENTED: ReleaseCause.UNREADABLE,
}
"""Why a request was refused before it was whole, by its answer's status."""

CONNECTION_BYTES = 8192
"""What a connection takes by itself: its transport, its parser and its timer."""

REQUEST_BYTES = 8192
"""What a whole request takes beside its head and body, until it is answered."""

MEMORY_RETRY_AFTER_S = 1.0
"""Seconds after which a client that was refused for lack of memory may come back."""

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


class CallerConnection(asyncio.BufferedProtocol):
    """One caller's connection: requests are served one after the other, in their order.

    What is read is parsed at once, unless the connection has brought many small pieces, or enough
    whole requests: the rest is then kept unparsed, and nothing more is read.
    """

    def __init__(self, *, server: HttpIngress) -> None:
        self.server = server
        self.transport: asyncio.Transport | None = None
        self.is_lost = False
        self._loop = asyncio.get_running_loop()
        self.writer = CallerWriter(held=server.held, on_change=self._note)
        self._waiting: deque[_WaitingRequest] = deque()
        self._task: asyncio.Task[None] | None = None
        self._timer: asyncio.TimerHandle | None = None
        self._is_offer = False
        self._parser: httptools.HttpRequestParser | None = httptools.HttpRequestParser(self)
        self._must_close = False
        self._closes_after = False
        self._is_reading = False
        self._framing = RequestFraming()
        self._is_paced = False
        self._unparsed = b""
        self._pieces = 0
        self._waiting_bytes = 0
        self._serving_bytes = 0
        self._unsent_before = 0
        self._answer_moved_bytes = 0
        self._held_at: float | None = None
        self._time_left_s: float | None = None
        self._number = 0
        self._connected_at = self.server.clock()
        self._allowance = PieceAllowance(now=self._connected_at, per_s=server.pacer.pieces_per_s)
        self._requests_read = 0
        self.resting_since = self._loop.time()
        self.moved_at = self.resting_since
        self._begin_message()

    @property
    def is_busy(self) -> bool:
        """Whether a request has been read, or is being read, and not answered."""
        if self._task is not None or self._is_reading:
            return True
        return bool(self._waiting or self._unparsed)

    @property
    def is_serving(self) -> bool:
        """Whether a handler is at work on a request."""
        return self._task is not None

    @property
    def is_reading(self) -> bool:
        """Whether a request has come in part."""
        return self._is_reading

    @property
    def is_closing(self) -> bool:
        """Whether the connection closes without serving anything more."""
        return self._must_close

    @property
    def queued_requests(self) -> int:
        """How many whole requests wait for the answers before theirs."""
        return len(self._waiting)

    @property
    def held_bytes(self) -> int:
        """Bytes held for the connection, here and in the kernel."""
        held = CONNECTION_BYTES + self._unserved_bytes + self._serving_bytes
        if self._unparsed:
            held += RECEIVE_BYTES
        if unsent := self.writer.size:
            held += unsent + UNSENT_KERNEL_BYTES
        return held

    def release_memory(self) -> ReleaseCause | None:
        """Give up what no worker has seen, or an unread answer; None if there is neither.

        A request that is being served, and whose answer has not begun, is left alone: it may run.
        """
        unread, unserved = self.writer.size, self._unserved_bytes
        if unread > unserved:
            self.abort()
            if self._task is not None:
                # What reads the answer holds it, too, until it ends.
                self._task.cancel()
            return ReleaseCause.ANSWER_UNREAD
        if self._must_close:
            return None
        if not self.is_busy:
            self.close_soon()
            return ReleaseCause.IDLE
        if not (self._waiting or self._is_reading or self._unparsed):
            return None
        cause = ReleaseCause.REQUEST_WAITING if self._waiting else ReleaseCause.REQUEST_HALF_READ
        self._refuse(HTTPStatus.SERVICE_UNAVAILABLE)
        return cause

    @property
    def _unserved_bytes(self) -> int:
        """Bytes of what came and is not being served."""
        head_bytes = self._head.size + len(self._target)
        return head_bytes + len(self._body) + len(self._unparsed) + self._waiting_bytes

    # What asyncio calls.

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Begin to wait for a request."""
        assert isinstance(transport, asyncio.Transport)
        self.transport = transport
        self.writer.attach(transport)
        watch_for_silence(transport.get_extra_info("socket"), ACCEPTED)
        self.server.connections.add(self)
        self._number = self.server.memory.open(self)
        self._rest()
        self._note()

    def get_buffer(self, sizehint: int) -> memoryview:
        """Where the event loop reads the next bytes to."""
        return RECEIVED

    def buffer_updated(self, nbytes: int) -> None:
        """Parse; a request that is whole is queued."""
        if self._must_close:
            return
        self.moved_at = self._loop.time()
        if self._unparsed:
            self._unparsed += RECEIVED[:nbytes]
        else:
            self._parse_until_held(RECEIVED[:nbytes])
        self.server.memory.note(self._number, moved=nbytes)

    def eof_received(self) -> bool:
        """A caller that ends its side has left."""
        if self.writer.has_unsent or self.writer.holds_blocks:
            # The transport would only close once the caller had read all that is held for it.
            self.abort()
        return False

    def connection_lost(self, exc: Exception | None) -> None:
        """The caller has left: what is done for it ends, and nothing is held any more."""
        self.is_lost = True
        self._must_close = True
        self.writer.lost()
        self._cancel_timer()
        self.server.pacer.remove(self)
        self.server.connections.discard(self)
        self._drop_unserved()
        # The parser refers to the connection: without this, the collector would have to find both.
        self._parser = None
        self.server.memory.close(self._number)
        if self._task is not None:
            self._task.cancel()

    def pause_writing(self) -> None:
        """The caller reads too slowly."""
        self.writer.pause_writing()

    def resume_writing(self) -> None:
        """The caller has caught up."""
        self.moved_at = self._loop.time()
        self.writer.resume_writing()

    # What the pacer calls.

    def parse_more(self) -> bool:
        """Parse some of what is held; return whether the connection is to be paced further."""
        self._is_paced = False
        held, self._unparsed = self._unparsed, b""
        if self._must_close or not held:
            return False
        self._restart_timer()
        size = self._piece_size(len(held))
        self._parse(memoryview(held)[:size])
        self._keep(held[size:])
        if not self._must_close and self._unparsed and not self._has_enough:
            self._is_paced = True
        else:
            self._go_on_reading()
        self._note()
        return self._is_paced

    # What httptools calls.

    def on_message_begin(self) -> None:
        """The first byte of a request has come."""
        if self._must_close or self._is_offer:
            return
        self._begin_message()
        self._is_reading = True
        self._wait_for(self.server.limits().header_timeout_s)

    def on_url(self, url: bytes) -> None:
        """Collect the request target."""
        if self._must_close or self._is_offer:
            return
        self._target += url
        self._count_head(len(url))

    def on_header(self, name: bytes, value: bytes) -> None:
        """Collect a header; what comes behind a chunked body is dropped."""
        self._pieces += 1
        if self._must_close or self._is_offer or not self._framing.is_head:
            return
        name = name.lower()
        self._head.add(name, value)
        if name == b"content-length":
            self._length = int(value)
        elif name == b"expect":
            self._owes_continue = value.lower() == b"100-continue"
        self._count_head(len(name) + len(value) + len(b":\r\n"))
        if self._head.lines > self.server.max_header_lines():
            self._refuse(HTTPStatus.REQUEST_HEADER_FIELDS_TOO_LARGE)

    def on_headers_complete(self) -> None:
        """Allow a body if one is announced."""
        if self._must_close:
            return
        assert self._parser is not None
        if self._is_offer:
            self._is_offer = False
            return
        self._is_offer = self._parser.should_upgrade()
        self._framing.is_head = False
        limits = self.server.limits()
        self._body_begun_at = self._loop.time()
        self._wait_for(limits.idle_timeout_s)
        self._max_body_bytes = limits.max_body_bytes
        if self._length > limits.max_body_bytes:
            self._refuse(HTTPStatus.REQUEST_ENTITY_TOO_LARGE)
        else:
            self._send_continue()

    def on_body(self, body: bytes) -> None:
        """Collect a part of the body."""
        self._pieces += 1
        if self._must_close:
            return
        self._body += body
        if len(self._body) > self._max_body_bytes:
            self._refuse(HTTPStatus.REQUEST_ENTITY_TOO_LARGE)

    def on_message_complete(self) -> None:
        """Queue a whole request."""
        self._pieces += 1
        if self._must_close or self._is_offer:
            return
        assert self._parser is not None
        self._is_reading = False
        self._cancel_timer()
        self._requests_read += 1
        request = IncomingRequest(
            method=self._parser.get_method().decode("ascii"),
            target=self._target.decode("latin-1"),
            headers=self._head.headers(),
            body=bytes(self._body),
            is_http_1_0=self._parser.get_http_version() == "1.0",
            arrival=Arrival(
                connected_at=self._connected_at,
                begun_at=self._begun_at,
                read_at=self.server.clock(),
                number=self._requests_read,
            ),
        )
        size = REQUEST_BYTES + self._head.parsed_bytes + len(self._target) + len(request.body)
        if not self._parser.should_keep_alive():
            self._closes_after = True
        self._begin_message()
        self._waiting.append(_WaitingRequest(request=request, size=size))
        self._waiting_bytes += size
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
        """Close once everything has been written, or the caller takes none of it."""
        self._must_close = True
        if self.writer.size and not self.is_lost:
            self._watch_unsent()
        self.writer.close_soon()

    def abort(self) -> None:
        """Reset the connection, so that an answer without a length cannot look whole."""
        self._must_close = True
        self._drop_unserved()
        self.writer.abort()

    def _begin_message(self) -> None:
        self._begun_at = self.server.clock()
        self._body_begun_at = self._loop.time()
        self._target = b""
        self._head: RequestHead = RequestHead()
        self._head_bytes = 0
        self._owes_continue = False
        self._is_offer = False
        self._body = bytearray()
        self._length = 0
        self._max_body_bytes = 0
        self._framing = RequestFraming()

    def _count_head(self, size: int) -> None:
        self._head_bytes += size
        if self._head_bytes > self.server.limits().max_header_bytes:
            self._refuse(HTTPStatus.REQUEST_HEADER_FIELDS_TOO_LARGE)

    # Parsing.

    @property
    def _has_enough(self) -> bool:
        """Whether as many whole requests wait as are read ahead."""
        return len(self._waiting) >= MAX_WAITING_REQUESTS

    def _parse_until_held(self, data: memoryview) -> None:
        """Parse what has come, piece by piece, as far as the connection may for now."""
        start = 0
        while start < len(data) and not self._must_close:
            if self._has_enough or self._is_paced:
                self._keep(bytes(data[start:]))
                return
            size = self._piece_size(len(data) - start)
            self._parse(data[start : start + size])
            start += size
            if not self._allowance.spend(self._pieces, self.server.clock()):
                self._is_paced = start < len(data)

    def _piece_size(self, available: int) -> int:
        """How many bytes to parse at once: the rest of a body of known length, or a little."""
        left = 0 if self._framing.is_head else self._length - len(self._body)
        return min(available, max(left, PIECE_BYTES))

    def _parse(self, piece: memoryview) -> None:
        """Parse a piece, and refuse the request if there is too much around its content."""
        assert self._parser is not None
        self._pieces = 0
        framing, body_before = self._framing, len(self._body)
        try:
            self._feed(piece)
        except httptools.HttpParserError:
            self._refuse(HTTPStatus.BAD_REQUEST)
        if self._must_close or not self._is_reading:
            return
        is_same = framing is self._framing
        content = len(self._body) - (body_before if is_same else 0)
        self._framing.add(len(piece), content=content)
        max_header_bytes = self.server.limits().max_header_bytes
        if self._framing.is_excessive(max_header_bytes, self.server.framing_bytes):
            self._refuse(HTTPStatus.REQUEST_HEADER_FIELDS_TOO_LARGE)
        elif content:
            self._wait_for(self._body_time_s())

    def _feed(self, piece: memoryview) -> None:
        """Have a piece parsed. An offer of another protocol is ignored."""
        while True:
            assert self._parser is not None
            try:
                self._parser.feed_data(piece)
            except httptools.HttpParserUpgrade as offer:
                if self._must_close:
                    return
                if self._parser.get_method() == b"CONNECT":
                    self._refuse(HTTPStatus.NOT_IMPLEMENTED)
                    return
                piece = piece[offer.args[0] :]
                self._parse_body_apart()
            else:
                return

    def _parse_body_apart(self) -> None:
        """Go on with a new parser behind the head that was read.

        The parser takes a request that offers another protocol for whole with its head.
        """
        assert self._parser is not None
        lines = [
            b"%b: %b" % (name, value)
            for name, value in self._head.headers()
            if name in (b"content-length", b"transfer-encoding")
        ]
        if not self._parser.should_keep_alive():
            lines.append(b"connection: close")
        elif self._parser.get_http_version() == "1.0":
            lines.append(b"connection: keep-alive")
        version = self._parser.get_http_version().encode("ascii")
        start = b"%b / HTTP/%b" % (self._parser.get_method(), version)
        self._parser = httptools.HttpRequestParser(self)
        self._parser.feed_data(b"\r\n".join([start, *lines, b"", b""]))

    def _keep(self, rest: bytes) -> None:
        """Keep what may not be parsed yet, and read nothing more until it is."""
        if not rest or self._must_close:
            return
        if self.transport is not None:
            self.transport.pause_reading()
        if not self._unparsed:
            self._hold_timer()
        self._unparsed = rest
        if self._is_paced:
            self.server.pacer.add(self)

    def _go_on_reading(self) -> None:
        """Parse what was kept, then read on."""
        if self._must_close or self._is_paced:
            return
        if self._unparsed and not self._has_enough:
            held, self._unparsed = self._unparsed, b""
            self._parse_until_held(memoryview(held))
        if self._unparsed or self._must_close:
            return
        self._restart_timer()
        if self.transport is not None and not self.transport.is_closing():
            self.transport.resume_reading()

    def _hold_timer(self) -> None:
        """Let no time pass for a client whose bytes wait here."""
        self._held_at = self._loop.time()
        self._time_left_s = None if self._timer is None else self._timer.when() - self._held_at
        self._cancel_timer()

    def _restart_timer(self) -> None:
        if self._held_at is None:
            return
        self._body_begun_at += self._loop.time() - self._held_at
        if self._time_left_s is not None and self._timer is None and self._is_reading:
            self._wait_for(self._time_left_s)
        self._held_at = self._time_left_s = None

    def _send_continue(self) -> None:
        """Ask for the body, unless answers before it are due."""
        if self._owes_continue and self._task is None and not self._waiting:
            self._owes_continue = False
            self.writer.write(CONTINUE)

    def _body_time_s(self) -> float:
        """Seconds until the next part of a body must have come."""
        idle_s = self.server.limits().idle_timeout_s
        allowed_s = idle_s + len(self._body) / MIN_BODY_BYTES_PER_S
        return min(idle_s, self._body_begun_at + allowed_s - self._loop.time())

    # Serving.

    def _serve_next(self) -> None:
        if self._task is not None or not self._waiting or self.is_lost:
            return
        waiting = self._waiting.popleft()
        self._waiting_bytes -= waiting.size
        request, size = waiting.request, waiting.size
        handler = self.server.handler_at(self.server.clock())
        has_room = self.server.memory.begin_serving(size)
        if not has_room:
            self.server.memory.note_refused(size)
            request, size = replace(request, body=b""), 0
            handler = self.server.refuse
        self._serving_bytes = size
        exchange = Exchange(connection=self, request=request)
        self.writer.begin()
        self._task = self._loop.create_task(self._serve(exchange, handler))
        # A task that is cancelled before its first step does not run its own cleanup.
        self._task.add_done_callback(partial(self._end_serving, size))

    def _end_serving(self, size: int, task: asyncio.Task[None]) -> None:
        self.server.memory.end_serving(size)

    async def _serve(self, exchange: Exchange, handler: Handler) -> None:
        try:
            await handler(exchange)
        finally:
            self._task = None
            self._serving_bytes = 0
            if not exchange.is_finished:
                self.abort()
            exchange.release()
            self.writer.end()
            self._note()
        self._after_answer()

    def _after_answer(self) -> None:
        if self.is_lost:
            return
        if self._ends_here():
            self.close_soon()
            return
        self._serve_next()
        self._send_continue()
        self._go_on_reading()
        if not self.is_busy and not self._must_close:
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
        is_over = self.server.is_entry_over(self.server.clock())
        return is_over and not self._is_reading and not self._unparsed

    def _refuse(self, status: HTTPStatus) -> None:
        """Answer a request that cannot be read, behind those before it, and close."""
        if self._must_close:
            return
        self._must_close = True
        self._cancel_timer()
        if status in CAUSE_BY_STATUS:
            self.server.memory.note_release(CAUSE_BY_STATUS[status], self._unserved_bytes)
        has_answers_due = self._task is not None
        self._drop_unserved()
        if has_answers_due:
            self._closes_after = True
            return
        lines = [(b"content-length", b"0"), (b"connection", b"close")]
        if status is HTTPStatus.SERVICE_UNAVAILABLE:
            lines.append((b"retry-after", b"%g" % MEMORY_RETRY_AFTER_S))
        self.writer.write(encode_head(status, b"", lines))
        self.close_soon()

    def _drop_unserved(self) -> None:
        """Let go of all that came and is not being served."""
        self._waiting.clear()
        self._waiting_bytes = 0
        self._is_reading = False
        self._unparsed = b""
        self._is_paced = False
        self._begin_message()

    def _note(self) -> None:
        moved = self.writer.moved_bytes
        new_bytes = max(0, moved - self._answer_moved_bytes)
        self._answer_moved_bytes = moved
        self.server.memory.note(self._number, moved=new_bytes)

    # Time.

    def _rest(self) -> None:
        """Wait for a request for as long as a connection may rest."""
        self.resting_since = self._loop.time()
        self._unsent_before = self.writer.size
        self._wait_for(self.server.limits().idle_timeout_s)

    def _rest_left_s(self) -> float:
        """Seconds for which the connection may still rest, by the limits in force now."""
        rested_s = self._loop.time() - self.resting_since
        return self.server.limits().idle_timeout_s - rested_s

    def _watch_unsent(self) -> None:
        """Check later whether the caller takes what is left for it."""
        self._unsent_before = self.writer.size
        self._wait_for(self.server.limits().idle_timeout_s)

    def _wait_for(self, seconds: float) -> None:
        self._cancel_timer()
        self._timer = self._loop.call_later(seconds, self._timed_out)

    def _cancel_timer(self) -> None:
        if self._timer is not None:
            self._timer.cancel()
            self._timer = None

    def _timed_out(self) -> None:
        self._timer = None
        if self._is_reading and not self._must_close:
            self._refuse(HTTPStatus.REQUEST_TIMEOUT)
        elif self._task is not None:
            return
        elif self.writer.size:
            if self.writer.size >= self._unsent_before:
                self.abort()
            else:
                self._watch_unsent()
        elif not self.is_busy:
            left_s = self._rest_left_s()
            if left_s > 0.0 and not self._must_close:
                self._wait_for(left_s)
            else:
                self.close_soon()


@dataclass(frozen=True, kw_only=True, slots=True)
class _WaitingRequest:
    """A whole request whose turn has not come, and the bytes that it takes."""

    request: IncomingRequest
    size: int


async def refuse_without_room(exchange: Exchange) -> None:
    """Refuse a request for which the box has no memory; nothing has run."""
    retry_after = (b"retry-after", b"%g" % MEMORY_RETRY_AFTER_S)
    exchange.send(HTTPStatus.SERVICE_UNAVAILABLE, [retry_after], b"")


def _ignore_shed(cause: ShedCause, now: float) -> None:
    """Nobody counts connections that are closed unread."""


class HttpIngress:
    """Listens for callers and hands their requests to a handler.

    ``clock`` tells when requests come. Once the entry is over, they go to ``turn_away`` instead,
    whatever way they came: on a kept connection, behind another request, read in parts, or on a
    connection that was accepted late. ``held`` counts and bounds what is held for callers.
    With ``paces_intake`` connections are read no faster than their requests are served;
    ``on_shed`` is called for each that is closed unread. ``max_connections`` bounds how many are
    open then, 0 for no bound. ``memory`` counts and bounds the bytes of all connections, also of
    other addresses that share it, and ``refuse`` answers requests for which it has no room.
    ``pacer`` bounds the time for small pieces. ``header_lines`` bounds the lines of a head, 0 for
    as many as fit into its bytes, and ``framing_bytes`` what chunks bring beside their content.
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
        memory: ClientMemory | None = None,
        pacer: ParsePacer | None = None,
        refuse: Handler | None = None,
        header_lines: int = 0,
        framing_bytes: int = MAX_FRAMING_BYTES,
    ) -> None:
        self.handler = handler
        self.memory = memory or ClientMemory(memory_mb=0.0, clock=clock)
        self.pacer = pacer or ParsePacer(clock=clock)
        self.refuse = refuse or refuse_without_room
        self.header_lines = header_lines
        self.framing_bytes = framing_bytes
        self.limits = limits
        self.turn_away = turn_away or handler
        self.clock = clock
        self.held = held
        self.entry_ends_at = math.inf
        self.connections: set[CallerConnection] = set()
        self.is_stopping = False
        self.max_connections = max_connections
        self.on_shed = on_shed
        self.intake = ConnectionIntake(owner=self, clock=clock, is_paced=paces_intake)

    @property
    def open_requests(self) -> int:
        """How many connections have a request that is not answered yet."""
        return sum(connection.is_busy for connection in self.connections)

    @property
    def connections_read(self) -> int:
        """How many connections were read."""
        return self.intake.connections_read

    def max_header_lines(self) -> int:
        """Most lines of a request's head."""
        return self.header_lines or max_header_lines(self.limits().max_header_bytes)

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
        return self.intake.port

    async def listen(self, host: str, port: int) -> None:
        """Begin to accept connections."""
        self.intake.listen(host, port)

    def stop_accepting(self) -> None:
        """Take no new connections."""
        self.intake.close()

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

    def make_room(self, unread: int) -> bool:
        """Return whether one more connection may be open beside ``unread`` that are not read yet.

        If need be, one is closed: the one that rested longest, or that moved nothing for longest.
        """
        if not self.max_connections or len(self.connections) + unread < self.max_connections:
            return True
        staying = [connection for connection in self.connections if not connection.is_closing]
        if len(staying) + unread < self.max_connections:
            return True
        idle = [connection for connection in staying if not connection.is_busy]
        if idle:
            min(idle, key=lambda connection: connection.resting_since).close_soon()
            return True
        reading = [connection for connection in staying if not connection.is_serving]
        if not reading:
            return False
        min(reading, key=lambda connection: connection.moved_at).abort()
        return True

    def note_shed(self, cause: ShedCause, now: float) -> None:
        """Report a connection that was closed unread."""
        self.on_shed(cause, now)
