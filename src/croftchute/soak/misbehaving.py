"""Crowds of clients that send much and stop short, beside all other faults."""

from __future__ import annotations

import asyncio
import contextlib
from collections.abc import Callable, Iterator, Sequence
from dataclasses import dataclass, field
from pathlib import Path

from croftchute.soak.boxes import SoakBox
from croftchute.soak.disturbances import Disturbances
from croftchute.soak.plan import PlannedFault
from croftchute.soak.violation import Violation

MEMORY_MB = 150.0
"""Memory of a box in a soak that draws such clients: the smallest that boxes are run with."""

BYTES_PER_MB = 1_000_000
MAX_BODY_BYTES = 4 << 20
CLIENTS = 60
PIPELINED = 6
SHORT_LINES = 2600
CHUNKS = 100_000
TRAILERS = 20_000
CHECK_S = 0.1

AFTER_S = 1.0
"""Seconds after such a crowd in which its box may still be late."""

BODY = bytes(MAX_BODY_BYTES)
NOWHERE = "/no-such-route/x"
"""A path without a route, so that no worker runs what such clients send whole."""

Pieces = Iterator[bytes]


def _head(*lines: str) -> bytes:
    return "\r\n".join([f"POST {NOWHERE} HTTP/1.1", "Host: soak", *lines, "", ""]).encode()


def short_body() -> Pieces:
    """A body but for its last byte."""
    yield _head(f"Content-Length: {MAX_BODY_BYTES}")
    yield BODY[:-1]


def pipelined_bodies() -> Pieces:
    """Whole requests behind one another."""
    for _ in range(PIPELINED):
        yield _head(f"Content-Length: {MAX_BODY_BYTES}")
        yield BODY


def one_byte_chunks() -> Pieces:
    """A body in chunks of one byte, without its end."""
    yield _head("Transfer-Encoding: chunked")
    yield b"1\r\nx\r\n" * CHUNKS


def many_lines() -> Pieces:
    """Heads of very many short lines, the last without its end."""
    head = _head("Content-Length: 0", *["a:"] * SHORT_LINES)
    yield head * PIPELINED + head[:-2]


def trailers() -> Pieces:
    """Fields without end behind a chunked body."""
    yield _head("Transfer-Encoding: chunked") + b"1\r\nx\r\n0\r\n"
    yield b"x: yyyyyyyyyyyyyyyyyyyyyyyyyyyyyyyyyyyyyyyy\r\n" * TRAILERS


def nothing() -> Pieces:
    """A connection that rests."""
    yield b""


WAYS: tuple[Callable[[], Pieces], ...] = (
    short_body,
    pipelined_bodies,
    one_byte_chunks,
    many_lines,
    trailers,
    nothing,
)


@dataclass(kw_only=True)
class MisbehavingClients:
    """Sends such crowds, and holds the memory of the boxes against their settings."""

    boxes: Sequence[SoakBox]
    disturbances: Disturbances
    peak_mb_by_box: dict[str, float] = field(default_factory=dict)

    async def strike(self, fault: PlannedFault) -> None:
        """Send a crowd of one or two ways to one box, and keep its connections open."""
        loop = asyncio.get_running_loop()
        box = self.boxes[fault.pick % len(self.boxes)]
        ways = WAYS[fault.pick % len(WAYS)], WAYS[fault.pick // len(WAYS) % len(WAYS)]
        end = loop.time() + fault.for_s
        self.disturbances.note(box.name, loop.time(), end + AFTER_S)
        clients = [
            loop.create_task(self._send(box, ways[number % len(ways)])) for number in range(CLIENTS)
        ]
        while loop.time() < end:
            self._look_at(box)
            await asyncio.sleep(CHECK_S)
        for client in clients:
            client.cancel()
        await asyncio.gather(*clients, return_exceptions=True)
        self._look_at(box)

    def violations(self) -> Iterator[Violation]:
        """Boxes that needed more memory than their settings say they have."""
        for name, peak_mb in sorted(self.peak_mb_by_box.items()):
            if peak_mb > MEMORY_MB:
                detail = f"{name} took {peak_mb:.0f} MB of {MEMORY_MB:.0f}"
                yield Violation(promise="memory is bounded", request_id="", detail=detail)

    async def _send(self, box: SoakBox, way: Callable[[], Pieces]) -> None:
        """Send until the box closes the connection, then read nothing and stay."""
        address = box.address
        with contextlib.suppress(OSError):
            _, writer = await asyncio.open_connection(address.host, address.callers, limit=1)
            try:
                for piece in way():
                    writer.write(piece)
                    await writer.drain()
                await asyncio.Event().wait()
            finally:
                writer.transport.abort()

    def _look_at(self, box: SoakBox) -> None:
        """Take in the most memory that a box's present process has taken."""
        process = box.process
        if process is None or process.returncode is not None:
            return
        with contextlib.suppress(OSError):
            for line in Path(f"/proc/{process.pid}/status").read_text().splitlines():
                if line.startswith("VmHWM:"):
                    peak_mb = int(line.split()[1]) * 1024 / BYTES_PER_MB
                    self.peak_mb_by_box[box.name] = max(
                        peak_mb, self.peak_mb_by_box.get(box.name, 0.0)
                    )
