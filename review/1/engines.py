"""Model workers for this case: the project's stand-in, with what PROTOCOL.md lets go wrong here.

A decode worker can't fetch a handle that has lapsed: it answers 503 with
`X-Croftchute-Not-Executed`. Of some answers it sends a surplus copy, late, in the slot where its
next answer is due. A request runs from its first token on.
"""

from __future__ import annotations

import asyncio
import random
import time
from dataclasses import dataclass, field

from croftchute.standins.platform_wire import Received, encode_head, write_chunk
from croftchute.standins.platform_worker import STAMP, PlatformWorker


@dataclass(kw_only=True)
class Engine(PlatformWorker):
    """An engine; ``reads_s`` is how long it reads a prompt that it runs itself.

    ``garbled_share`` of its refusals is followed by a surplus copy, ``late_s`` later.
    """

    reads_s: float = 0.18
    late_s: float = 0.03
    garbled_share: float = 0.0
    lapsed: bool = False
    rng: random.Random = field(default_factory=random.Random)
    log: list[tuple[float, str]] = field(default_factory=list)
    first_token_at: dict[str, float] = field(default_factory=dict)

    def note(self, text: str) -> None:
        """Write down what this worker did."""
        self.log.append((time.monotonic(), f"{self.id} {text}"))

    async def _run(
        self, request: Received, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> bool:
        is_prefill = request.headers.get("x-croftchute-stage") == "prefill"
        if is_prefill or self.stage != "decode":
            return await super()._run(request, reader, writer)
        source = request.headers.get("x-croftchute-kv-source", "")
        if source and self.lapsed:
            self._refuse(request, writer)
            return True
        self.holds.discard(request.headers.get("x-croftchute-kv-hold", ""))
        self.note(f"admitted {request.id}")
        await asyncio.sleep(0.02 if source else self.reads_s)
        if writer.transport.is_closing():
            self.note(f"dropped {request.id} before its first token")
            return False
        return await self._write_stream(request, writer)

    def _refuse(self, request: Received, writer: asyncio.StreamWriter) -> None:
        self._send(writer, request, 503, self._not_run())
        self.note(f"answered 503 to {request.id}, not executed: its handle has lapsed")
        if self.rng.random() < self.garbled_share:
            loop = asyncio.get_running_loop()
            loop.call_later(self.late_s, self._send_surplus, request, writer)

    def _send_surplus(self, request: Received, writer: asyncio.StreamWriter) -> None:
        if not writer.transport.is_closing():
            self._send(writer, request, 503, self._not_run())
            self.note(f"sent a surplus copy of its 503 to {request.id}")

    async def _write_stream(self, request: Received, writer: asyncio.StreamWriter) -> bool:
        headers = {
            "Content-Type": "text/event-stream",
            "X-Croftchute-Server-Stamp": STAMP,
            "Transfer-Encoding": "chunked",
        }
        self.first_token_at[request.id] = time.monotonic()
        self.ran.append(request.id)
        self.note(f"ran {request.id}: its first token")
        writer.write(encode_head(200, request, headers))
        for number in range(1, self.events + 1):
            if writer.transport.is_closing():
                self.note(f"dropped {request.id} at event {number}")
                return False
            write_chunk(writer, f"id: {number}\ndata: token-{number}\n\n".encode())
            await asyncio.sleep(self.gap_s)
        writer.write(b"0\r\n\r\n")
        self.finished.append(request.id)
        self.note(f"ended {request.id}")
        return True
