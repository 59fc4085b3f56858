"""A cheroot WSGI server whose threads are given whole requests."""

from __future__ import annotations

import contextlib
import errno
import io
import os
import select
import socket
import threading
import time
from collections.abc import Callable, Iterable, Mapping
from functools import partial
from http import HTTPStatus
from typing import Any

from cheroot import wsgi
from cheroot.server import HTTPConnection
from cheroot.workers.threadpool import ThreadPool
from loguru import logger

from croftchute.errors import Code, Ran, RequestError, UpstreamError
from croftchute.received_request import RequestLimits
from croftchute.request_receiver import (
    UNSENT_KERNEL_BYTES,
    LockedMemory,
    ReceivedConnection,
    RequestReceiver,
)

Environ = dict[str, Any]
StartResponse = Callable[..., Any]
App = Callable[[Environ, StartResponse], Iterable[bytes]]

SOCKET_KEY = "croftchute.socket"
CHUNKED_KEY = "croftchute.chunked"
CONNECTION_KEY = "croftchute.connection"
QUEUE_SIZE = 1024
SHUTDOWN_S = 2

MAX_CONNECTIONS_DEFAULT = 1024

RECEIVE_WINDOW_BYTES = 32_768
"""Bytes that the kernel keeps of what a client sends and the server has not read."""

MS_PER_S = 1000

MEMORY_RETRY_S = 1.0
"""Seconds after which a caller that was refused for want of memory should try again."""


class HeadFile(io.BytesIO):
    """The head of a request as the file that cheroot reads it from."""

    bytes_read = 0

    def has_data(self) -> bool:
        """Whether something is left to read."""
        return self.tell() < len(self.getbuffer())


class AnswerWriter:
    """The file that cheroot writes answers to; counts what the client has not taken."""

    closed = False

    def __init__(self, *, received: ReceivedConnection) -> None:
        self.received = received
        self.bytes_written = 0

    def write(self, data: bytes) -> int:
        """Send all bytes; raises OSError if the client is gone, or takes them too slowly."""
        received, receiver = self.received, self.received.receiver
        limits = receiver.limits
        ends_at = receiver.clock() + limits.longest_s(len(data))
        poll = select.poll()
        poll.register(received.fd, select.POLLOUT)
        unsent = memoryview(data)
        received.note_unsent(len(unsent), moved=len(unsent))
        try:
            while unsent:
                left_s = min(limits.timeout_s, ends_at - receiver.clock())
                if left_s <= 0.0 or not poll.poll(left_s * MS_PER_S):
                    received.give_up_answer()
                    raise BrokenPipeError(errno.EPIPE, "the client reads too slowly")
                with contextlib.suppress(BlockingIOError):
                    sent = os.write(received.fd, unsent)
                    unsent = unsent[sent:]
                    received.note_unsent(len(unsent), moved=sent)
        finally:
            received.end_unsent()
        self.bytes_written += len(data)
        return len(data)

    def flush(self) -> None:
        """Everything was sent already."""

    def close(self) -> None:
        """The connection closes its socket by itself."""
        self.closed = True


class CountedConnection(HTTPConnection):
    """A connection on which requests are handled that have come whole."""

    def __init__(self, server: CountingServer, sock: socket.socket, *_: Any) -> None:
        super().__init__(server, sock)
        self.received: ReceivedConnection | None = None
        self.body = b""

    @property
    def is_refused(self) -> bool:
        """Whether there is no memory for the request that is handled."""
        return self.received is not None and self.received.is_refused

    def communicate(self) -> bool:
        """Handle one request; whether the connection is to be kept."""
        received = self.received
        whole = received.begin_serving() if received is not None else None
        if received is None or whole is None:
            return False
        self.rfile = HeadFile(whole.head)
        self.body = whole.body
        is_last = whole.is_last
        del whole
        try:
            is_kept = bool(super().communicate()) and not is_last
            # A request that is here already is answered; on an ended connection it would be lost.
            return is_kept and (not self.server.ends_connections or received.has_bytes)
        finally:
            self.body = b""
            received.end_serving()
            received.has_unread_body = is_last

    def close(self) -> None:
        """Close the connection, or leave that to the receiver if the client may still send."""
        self.rfile.close()
        received = self.received
        if received is not None and received.has_unread_body:
            received.has_unread_body = False
            if received.receiver.linger(received):
                return
        if received is not None:
            received.receiver.forget(received)
        super().close()


class CountingServer(wsgi.Server):
    """Cheroot's server, which also knows its open requests and can end its kept connections."""

    ConnectionClass = CountedConnection
    announces_close = False
    ends_connections = False
    receiver: RequestReceiver

    @property
    def open_requests(self) -> int:
        """Requests from the first byte of their head to the end of their answer."""
        return self.receiver.open_requests

    @property
    def can_add_keepalive_connection(self) -> bool:
        """Asked as each head of an answer is made, which otherwise announces the close."""
        return not self.announces_close and bool(super().can_add_keepalive_connection)

    def process_conn(self, conn: CountedConnection) -> None:
        """Receive the requests of a new connection."""
        conn.received = self.receiver.add(conn.socket, partial(self._handle, conn))
        if conn.received is not None:
            conn.wfile = AnswerWriter(received=conn.received)
        if conn.received is None or not self.receiver.receive(conn.received):
            conn.close()

    def put_conn(self, conn: CountedConnection) -> None:
        """Receive the next request of a connection that is kept."""
        if conn.received is None or not self.ready or not self.receiver.receive(conn.received):
            conn.close()

    def _handle(self, connection: CountedConnection) -> None:
        """Queue a connection whose request is whole for a thread."""
        super().process_conn(connection)


class SocketGateway(wsgi.Gateway_10):
    """Puts the caller's socket into the environment, so that a hang-up can be seen."""

    def get_environ(self) -> Environ:  # type: ignore[override]
        """The WSGI environment with the socket added."""
        environ: Environ = super().get_environ()
        environ[SOCKET_KEY] = self.req.conn.socket
        environ[CONNECTION_KEY] = self.req.conn
        # A response without a length is sent in chunks to callers of HTTP/1.1.
        environ[CHUNKED_KEY] = self.req.response_protocol == "HTTP/1.1"
        return environ


class HttpServer:
    """A listener and its threads; it accepts connections once :meth:`start` has returned.

    ``memory`` counts the bytes of its clients, together with those of other servers.
    """

    def __init__(
        self,
        *,
        app: App,
        address: str,
        port: int,
        threads: int,
        memory: LockedMemory | None = None,
        limits: RequestLimits | None = None,
        max_connections: int = MAX_CONNECTIONS_DEFAULT,
    ) -> None:
        limits = limits or RequestLimits()
        self._server = CountingServer(
            (address, port),
            app,
            numthreads=threads,
            max=threads,
            request_queue_size=QUEUE_SIZE,
            shutdown_timeout=SHUTDOWN_S,
        )
        self._server.gateway = SocketGateway
        self._server.max_request_header_size = limits.max_head_bytes
        self._server.error_log = _log  # type: ignore[method-assign,assignment]
        self._server.receiver = RequestReceiver(
            memory=memory or LockedMemory(memory_mb=0.0, clock=time.monotonic),
            limits=limits,
            max_connections=max_connections,
            clock=time.monotonic,
        )
        self._thread: threading.Thread | None = None

    def __repr__(self) -> str:
        return f"HttpServer(bind_addr={self._server.bind_addr!r})"

    @property
    def port(self) -> int:
        """The port listened on, also where 0 was asked for."""
        return int(self._server.bind_addr[1])

    @property
    def pool(self) -> ThreadPool:
        """The threads that handle requests."""
        return self._server.requests

    @property
    def open_requests(self) -> int:
        """Requests from the first byte of their head to the end of their answer."""
        return self._server.open_requests

    @property
    def connections(self) -> int:
        """Connections that are open."""
        return len(self._server.receiver.connections())

    def announce_close(self) -> None:
        """From now on have each answer say that its connection closes, and close it."""
        self._server.announces_close = True

    def end_connections(self) -> None:
        """Also end connections whose answer began before that was announced."""
        self._server.announces_close = True
        self._server.ends_connections = True

    def start(self) -> None:
        """Bind, listen and serve on a thread of its own."""
        self._server.prepare()
        # Accepted sockets inherit it. The kernel would keep megabytes for one that is not read.
        listening = self._server.socket
        listening.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, RECEIVE_WINDOW_BYTES)
        listening.setsockopt(socket.IPPROTO_TCP, socket.TCP_NOTSENT_LOWAT, UNSENT_KERNEL_BYTES)
        self._server.receiver.start()
        self._thread = threading.Thread(target=self._server.serve, daemon=True, name="http")
        self._thread.start()

    def stop(self) -> None:
        """Close the listener and end the threads."""
        self._server.stop()
        self._server.receiver.stop()
        if self._thread is not None:
            self._thread.join(SHUTDOWN_S)


def _log(message: str = "", level: int = 20, traceback: bool = False) -> None:
    """Cheroot's messages, which are about connections that broke, as debug lines."""
    logger.opt(exception=traceback).bind(level=level, detail=message).debug("http")


def read_body(environ: Environ) -> bytes:
    """The whole request body; raises RequestError or UpstreamError if it was not kept."""
    connection: CountedConnection = environ[CONNECTION_KEY]
    if environ.get("HTTP_TRANSFER_ENCODING"):
        raise RequestError(Code.BAD_REQUEST, "a body needs a Content-Length, not chunks")
    if connection.is_refused:
        raise without_memory()
    body = connection.body
    if len(body) != int(environ.get("CONTENT_LENGTH") or 0):
        raise RequestError(Code.BAD_REQUEST, "the length of the body is not clear")
    return body


def reserve_memory(environ: Environ, size: int) -> None:
    """Count ``size`` further bytes for a request; raises UpstreamError if there is no room."""
    received = environ[CONNECTION_KEY].received
    if not received.serve_more(size):
        raise without_memory()


def without_memory() -> UpstreamError:
    """The refusal of a request for which there is no memory beside others."""
    message = "this box has no memory left for the request"
    return UpstreamError(Code.NO_CAPACITY, message, ran=Ran.NOT_RUN, retry_after=MEMORY_RETRY_S)


def reply(
    start_response: StartResponse,
    status: int,
    body: bytes,
    *,
    content_type: str = "application/json",
    headers: Mapping[str, str] | None = None,
) -> list[bytes]:
    """A whole response."""
    lines = [("Content-Type", content_type), ("Content-Length", str(len(body)))]
    lines += list((headers or {}).items())
    start_response(status_line(status), lines)
    return [body]


def status_line(status: int) -> str:
    """The status with its phrase.

    >>> status_line(404)
    '404 Not Found'
    """
    try:
        return f"{status} {HTTPStatus(status).phrase}"
    except ValueError:
        return f"{status} Other"
