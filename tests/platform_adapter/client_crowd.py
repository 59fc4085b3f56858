"""Clients that don't behave: what each kind of them sends, and a crowd of one or several kinds."""

import asyncio
import contextlib
import socket
import struct

from platform_fleet import HOST, request_bytes

MAX_BODY_BYTES = 4 << 20
MAX_HEADER_BYTES = 16384
PIECE_BYTES = 4096
BODY = bytes(MAX_BODY_BYTES)
SMALL_RECEIVE_BYTES = 4096

SHORT_LINES = 2600
"""Header lines that are as short as can be, in a head of legal size."""

PIPELINED_BODIES = 6
PIPELINED_HEADS = 10

ONE_BYTE_CHUNK = b"1\r\nx\r\n"
CHUNKS_A_PIECE = 10_000

TRAILER_PIECES = 1000
TRAILER_PIECE = b"x: yyyyyyyyyyyyyyyyyyyyyyyyyyyyyyyyyyyyyyyyyyyyyyyyyyyyyyyyy\r\n" * 64

BYTES_ACKED, BYTES_ACKED_AT = struct.Struct("Q"), 120
"""A field of the kernel's ``tcp_info``."""

AWAIT_CONTINUE = None
"""Stands among the pieces of a client that waits for an interim answer there."""


def head_bytes(path, request_id, *, method="POST", length=None, extra=(), deadline=60_000):
    """A request's head; its body is chunked if ``length`` is None."""
    framing = "Transfer-Encoding: chunked" if length is None else f"Content-Length: {length}"
    lines = [
        f"{method} {path} HTTP/1.1",
        f"Host: {HOST}",
        f"X-Croftchute-Request-Id: {request_id}",
        f"X-Croftchute-Deadline-Ms: {deadline}",
        framing,
        *extra,
    ]
    return "\r\n".join([*lines, "", ""]).encode()


# What a client of each kind sends, piece by piece.


def short_body(name):
    """A whole body but for its last byte."""
    yield head_bytes("/safe/x", name, length=MAX_BODY_BYTES)
    yield BODY[:-1]


def short_body_in_pieces(name):
    yield head_bytes("/safe/x", name, length=MAX_BODY_BYTES)
    for begin in range(0, MAX_BODY_BYTES - PIECE_BYTES, PIECE_BYTES):
        yield BODY[begin : begin + PIECE_BYTES]
    yield BODY[: PIECE_BYTES - 1]


def short_body_after_continue(name):
    yield head_bytes("/safe/x", name, length=MAX_BODY_BYTES, extra=["Expect: 100-continue"])
    yield AWAIT_CONTINUE
    yield BODY[:-1]


def whole_body(name):
    yield head_bytes("/once/x", name, length=MAX_BODY_BYTES)
    yield BODY


def pipelined_bodies(name):
    for number in range(PIPELINED_BODIES):
        yield head_bytes("/safe/x", f"{name}-{number}", length=MAX_BODY_BYTES)
        yield BODY


def one_byte_chunks(name):
    """A body of legal size in chunks of one byte, that never ends."""
    yield head_bytes("/safe/x", name)
    for _ in range(MAX_BODY_BYTES // CHUNKS_A_PIECE):
        yield ONE_BYTE_CHUNK * CHUNKS_A_PIECE


def unread_answer(name):
    yield request_bytes("/safe/x", name, deadline=60_000)


def unread_stream(name):
    yield request_bytes("/stream/x", name, deadline=60_000)


def pipelined_heads(name):
    """Requests whose heads have very many lines that are as short as can be."""
    for number in range(PIPELINED_HEADS):
        lines = ["a:"] * SHORT_LINES
        yield head_bytes("/safe/x", f"{name}-{number}", length=0, extra=lines)


def unfinished_head(name):
    yield head_bytes("/safe/x", name, length=0, extra=["a:"] * SHORT_LINES)[:-2]


def cookies_and_targets(name):
    """A long target, and many lines of one name without a value."""
    target = f"/safe/{'t' * (MAX_HEADER_BYTES // 2)}"
    yield head_bytes(target, name, length=MAX_BODY_BYTES, extra=["Cookie:"] * 700)


def endless_trailers(name):
    yield head_bytes("/safe/x", name) + ONE_BYTE_CHUNK + b"0\r\n"
    for _ in range(TRAILER_PIECES):
        yield TRAILER_PIECE


def endless_header(name):
    """One header line that never ends."""
    yield head_bytes("/safe/x", name, length=0)[:-2] + b"x: "
    for _ in range(MAX_BODY_BYTES // PIECE_BYTES):
        yield b"y" * PIECE_BYTES


def endless_chunk_extension(name):
    yield head_bytes("/safe/x", name) + b"1;x="
    for _ in range(MAX_BODY_BYTES // PIECE_BYTES):
        yield b"y" * PIECE_BYTES


def idle(name):
    """Nothing at all."""
    yield b""


def begun_head(name):
    yield b"POST /safe/x HTTP/1.1\r\n"


class Crowd:
    """Clients that stay until they are told to leave; ``kinds`` are taken in turn."""

    def __init__(self, *, port, kinds, count, name="crowd"):
        self.port = port
        self.kinds = kinds
        self.count = count
        self.name = name
        self._sockets = []
        self._tasks = []

    async def come(self):
        """Have all clients begin."""
        for number in range(self.count):
            kind = self.kinds[number % len(self.kinds)]
            pieces = kind(f"{self.name}-{kind.__name__}-{number}")
            self._tasks.append(asyncio.create_task(self._act(pieces)))
        await asyncio.sleep(0)

    async def settle(self):
        """Wait until each has sent all that it means to, or was closed."""
        await asyncio.wait(self._tasks)

    def taken_bytes(self):
        """Bytes that the box's kernel has acknowledged, of all clients."""
        infos = [raw.getsockopt(socket.IPPROTO_TCP, socket.TCP_INFO, 256) for raw in self._sockets]
        return sum(BYTES_ACKED.unpack_from(info, BYTES_ACKED_AT)[0] for info in infos)

    async def leave(self):
        for task in self._tasks:
            task.cancel()
        # The event loop must not watch a socket any more whose number another one may get.
        await asyncio.gather(*self._tasks, return_exceptions=True)
        for raw in self._sockets:
            raw.close()
        self._sockets = []

    async def __aenter__(self):
        await self.come()
        return self

    async def __aexit__(self, kind, error, trace):
        await self.leave()

    async def _act(self, pieces):
        raw = socket.socket()
        raw.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, SMALL_RECEIVE_BYTES)
        raw.setblocking(False)
        self._sockets.append(raw)
        loop = asyncio.get_running_loop()
        with contextlib.suppress(OSError):
            await loop.sock_connect(raw, ("127.0.0.1", self.port))
            for piece in pieces:
                if piece is AWAIT_CONTINUE:
                    await loop.sock_recv(raw, SMALL_RECEIVE_BYTES)
                else:
                    await loop.sock_sendall(raw, piece)
