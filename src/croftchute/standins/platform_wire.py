"""HTTP/1.1 as the stand-in of the users' workers speaks it: requests read, answers written."""

from __future__ import annotations

import asyncio
import socket
from collections.abc import AsyncIterator
from dataclasses import dataclass

Headers = dict[str, str]

UNREAD_BYTES = 16_384
"""Bytes of a stream that the kernel keeps for a reader: few, so that one that stops is noticed."""


@dataclass(frozen=True, kw_only=True, slots=True)
class Received:
    """A request as the worker got it; ``at`` is when, by the clock of the event loop."""

    method: str
    path: str
    headers: Headers
    body: bytes
    at: float = 0.0

    @property
    def id(self) -> str:
        """The id that the caller gave it."""
        return self.headers.get("x-croftchute-request-id", "")


def encode_head(status: int | str, request: Received, headers: Headers) -> bytes:
    """The head of an answer, which names its request."""
    lines = [f"HTTP/1.1 {status} Status"]
    if request.id:
        lines.append(f"X-Croftchute-Request-Id: {request.id}")
    lines += [f"{name}: {value}" for name, value in headers.items()]
    return "\r\n".join([*lines, "", ""]).encode()


def limit_unread(writer: asyncio.StreamWriter) -> None:
    """Have a connection take little that its reader has not read, here and in the kernel."""
    raw = writer.get_extra_info("socket")
    raw.setsockopt(socket.SOL_SOCKET, socket.SO_SNDBUF, UNREAD_BYTES)
    writer.transport.set_write_buffer_limits(high=0)


def write_chunk(writer: asyncio.StreamWriter, data: bytes) -> None:
    """Write a part of a body whose length is not told."""
    writer.write(b"%x\r\n%b\r\n" % (len(data), data))


def write_if_open(writer: asyncio.StreamWriter, data: bytes) -> None:
    """Write something if the connection is still open."""
    if not writer.transport.is_closing():
        writer.write(data)


def write_raw(writer: asyncio.StreamWriter, data: bytes) -> None:
    """Write a part of a body that ends with its connection."""
    writer.write(data)


async def requests(reader: asyncio.StreamReader) -> AsyncIterator[Received]:
    """Requests from a connection until it ends."""
    while head := await _readhead(reader):
        first, *rest = head.decode("latin-1").split("\r\n")
        method, path, _ = first.split(" ", 2)
        headers: Headers = {}
        for line in rest:
            name, _, value = line.partition(":")
            if name:
                headers[name.strip().lower()] = value.strip()
        length = int(headers.get("content-length", "0"))
        body = await reader.readexactly(length) if length else b""
        now = asyncio.get_running_loop().time()
        yield Received(method=method, path=path, headers=headers, body=body, at=now)


async def _readhead(reader: asyncio.StreamReader) -> bytes:
    try:
        return await reader.readuntil(b"\r\n\r\n")
    except (asyncio.IncompleteReadError, ConnectionError):
        return b""
