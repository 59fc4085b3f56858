"""A cheroot WSGI server on its own thread."""

from __future__ import annotations

import select
import socket
import threading
import time
from collections.abc import Callable, Iterable, Mapping
from http import HTTPStatus
from typing import Any

from cheroot import wsgi
from cheroot.makefile import StreamReader, StreamWriter
from cheroot.server import HTTPConnection
from cheroot.workers.threadpool import ThreadPool
from loguru import logger

Environ = dict[str, Any]
StartResponse = Callable[..., Any]
App = Callable[[Environ, StartResponse], Iterable[bytes]]

SOCKET_KEY = "croftchute.socket"
CHUNKED_KEY = "croftchute.chunked"
QUEUE_SIZE = 1024
SHUTDOWN_S = 2
MILLISECONDS = 1000

READ_S = 10.0
"""Seconds in which the head of a request must have come, and longest pause in its body."""

MIN_READ_BYTES_PER_S = 4096
"""Least pace of a request beside that: a client that sends a byte now and then holds a thread no
longer than one that sends nothing."""


class PacedSocketReader(socket.SocketIO):
    """Reads a request from a socket within a time that grows with what has come."""

    def __init__(self, sock: socket.socket, mode: str) -> None:
        super().__init__(sock, mode)  # type: ignore[arg-type]
        self._socket = sock
        self._begun_at = 0.0
        self._received = 0
        self.begin(time.monotonic())

    def begin(self, now: float) -> None:
        """Begin to read another request."""
        self._begun_at = now
        self._received = 0

    def left_s(self, now: float) -> float:
        """Seconds until the next bytes must have come."""
        allowed_s = READ_S + self._received / MIN_READ_BYTES_PER_S
        return min(READ_S, self._begun_at + allowed_s - now)

    def readinto(self, buffer: Any) -> int | None:
        """Read what comes; raise TimeoutError if that takes too long."""
        left_s = self.left_s(time.monotonic())
        if left_s <= 0.0:
            raise TimeoutError("timed out")
        usual_s = self._socket.gettimeout()
        self._socket.settimeout(left_s)
        try:
            size = super().readinto(buffer)
        finally:
            self._socket.settimeout(usual_s)
        self._received += size or 0
        return size


class PacedReader(StreamReader):
    """Cheroot's reader, above a socket whose requests must come in time."""

    def __init__(self, sock: socket.socket, mode: str, size: int) -> None:
        super().__init__(sock, mode, size)
        self._raw = PacedSocketReader(sock, mode)

    def begin(self, now: float) -> None:
        """Begin to read another request."""
        self._raw.begin(now)


def make_file(sock: socket.socket, mode: str, size: int) -> StreamReader | StreamWriter:
    """A file above a socket, as cheroot asks for two of them for each connection."""
    return PacedReader(sock, mode, size) if "r" in mode else StreamWriter(sock, mode, size)


class CountedConnection(HTTPConnection):
    """A connection that knows whether the head of a request has begun to arrive on it."""

    def __init__(self, server: CountingServer, sock: socket.socket, *args: Any) -> None:
        super().__init__(server, sock, make_file)
        self._is_begun = False

    @property
    def is_begun(self) -> bool:
        """Whether a request is being read, handled or answered, or its first byte waits."""
        return self._is_begun or self._has_bytes(0.0)

    def communicate(self) -> bool:
        """Handle one request; whether the connection is to be kept."""
        try:
            if not self._has_bytes(self.server.timeout):
                return False
            self._is_begun = True
            self.rfile.begin(time.monotonic())
            is_kept = bool(super().communicate())
            self._is_begun = False
            # A request that is here already is answered; on an ended connection it would be lost.
            return is_kept and (not self.server.ends_connections or self._has_bytes(0.0))
        finally:
            self.server.forget(self)

    def _has_bytes(self, wait_s: float) -> bool:
        """Whether there is something to read, be it the end, after some time at most."""
        if self.rfile.has_data():
            return True
        poll = select.poll()
        try:
            poll.register(self.socket, select.POLLIN)
            return bool(poll.poll(wait_s * MILLISECONDS))
        except (OSError, ValueError):
            return False


class CountingServer(wsgi.Server):
    """Cheroot's server, which also knows its open requests and can end its kept connections."""

    ConnectionClass = CountedConnection
    announces_close = False
    ends_connections = False

    def __init__(self, *args: Any, **kwargs: Any) -> None:
        super().__init__(*args, **kwargs)
        self._handed_over: set[CountedConnection] = set()
        self._lock = threading.Lock()

    @property
    def open_requests(self) -> int:
        """Requests from the first byte of their head to the end of their answer."""
        with self._lock:
            return sum(connection.is_begun for connection in self._handed_over)

    @property
    def can_add_keepalive_connection(self) -> bool:
        """Asked as each head of an answer is made, which otherwise announces the close."""
        return not self.announces_close and bool(super().can_add_keepalive_connection)

    def process_conn(self, conn: CountedConnection) -> None:
        """Queue a connection that is new, or on which something came, for a thread."""
        with self._lock:
            self._handed_over.add(conn)
        super().process_conn(conn)

    def forget(self, connection: CountedConnection) -> None:
        """A thread is done with a connection."""
        with self._lock:
            self._handed_over.discard(connection)


class SocketGateway(wsgi.Gateway_10):
    """Puts the caller's socket into the environment, so that a hang-up can be seen."""

    def get_environ(self) -> Environ:  # type: ignore[override]
        """The WSGI environment with the socket added."""
        environ: Environ = super().get_environ()
        environ[SOCKET_KEY] = self.req.conn.socket
        # A response without a length is sent in chunks to callers of HTTP/1.1.
        environ[CHUNKED_KEY] = self.req.response_protocol == "HTTP/1.1"
        return environ


class HttpServer:
    """A listener and its threads; it accepts connections once :meth:`start` has returned."""

    def __init__(self, *, app: App, address: str, port: int, threads: int) -> None:
        self._server = CountingServer(
            (address, port),
            app,
            numthreads=threads,
            max=threads,
            request_queue_size=QUEUE_SIZE,
            shutdown_timeout=SHUTDOWN_S,
        )
        self._server.gateway = SocketGateway
        self._server.max_request_header_size = 1 << 16
        self._server.error_log = _log  # type: ignore[method-assign,assignment]
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
        self._thread = threading.Thread(target=self._server.serve, daemon=True, name="http")
        self._thread.start()

    def stop(self) -> None:
        """Close the listener and end the threads."""
        self._server.stop()
        if self._thread is not None:
            self._thread.join(SHUTDOWN_S)


def _log(message: str = "", level: int = 20, traceback: bool = False) -> None:
    """Cheroot's messages, which are about connections that broke, as debug lines."""
    logger.opt(exception=traceback).bind(level=level, detail=message).debug("http")


def read_body(environ: Environ) -> bytes:
    """The whole request body."""
    length = int(environ.get("CONTENT_LENGTH") or 0)
    body: bytes = environ["wsgi.input"].read(length) if length else b""
    return body


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
