"""A small HTTP/1.1 server and client on asyncio streams, for the stand-ins of the cases."""

from __future__ import annotations

import asyncio
import contextlib
from collections.abc import Awaitable, Callable
from dataclasses import dataclass, field


@dataclass
class Request:
    """A whole request; header names are in lower case."""

    method: str
    target: str
    headers: dict[str, str]
    body: bytes


@dataclass
class Answer:
    """A whole answer; without one (None) the server stays silent."""

    status: int
    body: bytes = b""
    headers: dict[str, str] = field(default_factory=dict)


Handler = Callable[[Request, asyncio.StreamWriter], Awaitable[Answer | None]]


class HttpServer:
    """Serves one request after the other on each connection."""

    def __init__(self, handler: Handler) -> None:
        self.handler = handler
        self.port = 0
        self._server: asyncio.Server | None = None
        self._tasks: set[asyncio.Task] = set()
        self._writers: set[asyncio.StreamWriter] = set()

    async def start(self, host: str = "127.0.0.1", port: int = 0) -> int:
        """Listen; return the port."""
        self._server = await asyncio.start_server(self._serve, host, port)
        self.port = self._server.sockets[0].getsockname()[1]
        return self.port

    def crash(self) -> None:
        """Stop listening and close all connections at once, as a process that is killed does."""
        if self._server is not None:
            self._server.close()
        for writer in self._writers:
            writer.transport.abort()

    async def stop(self) -> None:
        """End as in a crash, and wait for the end of all handlers."""
        self.crash()
        for task in list(self._tasks):
            task.cancel()
        await asyncio.gather(*self._tasks, return_exceptions=True)

    async def _serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        task = asyncio.current_task()
        self._tasks.add(task)
        self._writers.add(writer)
        try:
            while (request := await read_request(reader)) is not None:
                answer = await self.handler(request, writer)
                if answer is None:
                    await asyncio.Event().wait()
                writer.write(encode_answer(answer))
                await writer.drain()
                if answer.headers.get("Connection") == "close":
                    writer.close()
                    return
        except (OSError, asyncio.IncompleteReadError, asyncio.CancelledError):
            pass
        finally:
            self._tasks.discard(task)
            self._writers.discard(writer)
            with contextlib.suppress(OSError):
                writer.transport.abort()


async def read_head(reader: asyncio.StreamReader) -> tuple[str, dict[str, str]] | None:
    """The first line and the headers; None at the end of the connection."""
    try:
        head = (await reader.readuntil(b"\r\n\r\n")).decode("latin-1")
    except asyncio.IncompleteReadError:
        return None
    first, *lines = head.split("\r\n")[:-2]
    pairs = (line.partition(":") for line in lines)
    return first, {name.strip().lower(): value.strip() for name, _, value in pairs}


async def read_request(reader: asyncio.StreamReader) -> Request | None:
    """The next request; None at the end of the connection."""
    head = await read_head(reader)
    if head is None:
        return None
    method, target, _ = head[0].split(" ")
    body = await reader.readexactly(int(head[1].get("content-length", 0)))
    return Request(method=method, target=target, headers=head[1], body=body)


def encode_answer(answer: Answer) -> bytes:
    """An answer as bytes, with the length of its body."""
    lines = [f"HTTP/1.1 {answer.status} X", f"Content-Length: {len(answer.body)}"]
    lines += [f"{name}: {value}" for name, value in answer.headers.items()]
    return "\r\n".join([*lines, "", ""]).encode("latin-1") + answer.body


async def call(
    host: str,
    port: int,
    method: str,
    target: str,
    headers: dict[str, str],
    body: bytes = b"",
    *,
    timeout_s: float,
) -> tuple[int, dict[str, str], bytes]:
    """One request on a connection of its own; status 0 if no whole answer came."""
    writer = None
    try:
        async with asyncio.timeout(timeout_s):
            reader, writer = await asyncio.open_connection(host, port)
            lines = [f"{method} {target} HTTP/1.1"]
            lines += [f"{name}: {value}" for name, value in headers.items()]
            if body:
                lines.append(f"Content-Length: {len(body)}")
            writer.write("\r\n".join([*lines, "", ""]).encode("latin-1") + body)
            head = await read_head(reader)
            if head is None:
                return 0, {}, b""
            content = await reader.readexactly(int(head[1].get("content-length", 0)))
            return int(head[0].split(" ")[1]), head[1], content
    except (OSError, TimeoutError, asyncio.IncompleteReadError):
        return 0, {}, b""
    finally:
        if writer is not None:
            writer.close()
