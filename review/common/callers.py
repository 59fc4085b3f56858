"""Clients as PROTOCOL.md describes them: one try on one connection, and what came of it."""

from __future__ import annotations

import asyncio
import time
from dataclasses import dataclass, field


@dataclass(kw_only=True)
class Try:
    """One try; ``status`` is 0 if no head came, ``is_whole`` tells a complete answer."""

    request_id: str
    machine: str
    path: str
    sent_at: float = 0.0
    ended_at: float = 0.0
    status: int = 0
    headers: dict[str, str] = field(default_factory=dict)
    body: bytes = b""
    is_whole: bool = False
    failure: str = ""


async def ask(
    attempt: Try,
    host: str,
    port: int,
    *,
    virtual_host: str,
    deadline_s: float,
    method: str = "POST",
    body: bytes = b"x" * 600,
    extra: tuple[str, ...] = (),
) -> Try:
    """Make a try on a new connection."""
    lines = [
        f"{method} {attempt.path} HTTP/1.1",
        f"Host: {virtual_host}",
        f"X-Croftchute-Request-Id: {attempt.request_id}",
        f"X-Croftchute-Deadline-Ms: {int(deadline_s * 1000)}",
        "Connection: close",
        *extra,
    ]
    if body:
        lines.append(f"Content-Length: {len(body)}")
    writer = None
    attempt.sent_at = time.monotonic()
    try:
        async with asyncio.timeout(deadline_s):
            reader, writer = await asyncio.open_connection(host, port)
            attempt.sent_at = time.monotonic()
            writer.write("\r\n".join([*lines, "", ""]).encode() + body)
            await _read(attempt, reader)
    except TimeoutError:
        attempt.failure = "gave up"
    except (OSError, asyncio.IncompleteReadError) as error:
        attempt.failure = type(error).__name__
    finally:
        if writer is not None:
            writer.transport.abort()
    attempt.ended_at = time.monotonic()
    return attempt


async def _read(attempt: Try, reader: asyncio.StreamReader) -> None:
    head = await reader.readuntil(b"\r\n\r\n")
    first, *rest = head.decode("latin-1").rstrip("\r\n").split("\r\n")
    for line in rest:
        name, _, value = line.partition(":")
        attempt.headers[name.lower()] = value.strip()
    attempt.status = int(first.split(" ")[1])
    if "chunked" in attempt.headers.get("transfer-encoding", ""):
        while True:
            size = int(await reader.readuntil(b"\r\n"), 16)
            data = await reader.readexactly(size + 2)
            if size == 0:
                break
            attempt.body += data[:-2]
    else:
        length = int(attempt.headers.get("content-length", "0"))
        attempt.body = await reader.readexactly(length)
    attempt.is_whole = True
