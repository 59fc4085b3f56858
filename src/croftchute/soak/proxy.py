"""A loopback proxy that harms what passes: delay, silence, one way cut, resets, refusal."""

from __future__ import annotations

import asyncio
import contextlib
import socket
import struct
from dataclasses import dataclass
from enum import StrEnum

RESET_ON_CLOSE = struct.pack("ii", 1, 0)
READ_BYTES = 65536
HELD_POLL_S = 0.02
CONNECT_S = 1.0


class LinkFault(StrEnum):
    """What a link does to the bytes on it."""

    NONE = "none"
    DELAYED = "delayed"
    SILENT = "silent"
    CUT_FORWARD = "cut_forward"
    CUT_BACK = "cut_back"
    RESET = "reset"
    REFUSED = "refused"


@dataclass(frozen=True, kw_only=True, slots=True)
class Target:
    """Where a proxy leads to."""

    host: str
    port: int


class FaultyLink:
    """Listens on an address of its own and leads to a target; ``fault`` is set from outside."""

    def __init__(self, *, name: str, target: Target, host: str = "127.0.0.1") -> None:
        self.name = name
        self.target = target
        self.host = host
        self.port = 0
        self.fault = LinkFault.NONE
        self.delay_s = 0.0
        self._server: asyncio.Server | None = None
        self._writers: set[asyncio.StreamWriter] = set()

    async def start(self) -> int:
        """Begin to listen; returns the port."""
        self._server = await asyncio.start_server(self._serve, self.host, 0)
        self.port = int(self._server.sockets[0].getsockname()[1])
        return self.port

    def set_fault(self, fault: LinkFault, *, delay_s: float = 0.0) -> None:
        """Put a fault in force, for open connections too."""
        self.fault = fault
        self.delay_s = delay_s
        if fault is LinkFault.RESET:
            self.reset_all()

    def reset_all(self) -> None:
        """Reset all connections that are open."""
        for writer in list(self._writers):
            reset(writer)

    def stop(self) -> None:
        """Listen no more, and reset what is open."""
        if self._server is not None:
            self._server.close()
        self.reset_all()

    async def _serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        if self.fault in (LinkFault.REFUSED, LinkFault.RESET):
            reset(writer)
            return
        await self._hold((LinkFault.SILENT, LinkFault.CUT_FORWARD))
        try:
            async with asyncio.timeout(CONNECT_S):
                far_reader, far_writer = await asyncio.open_connection(
                    self.target.host, self.target.port
                )
        except (OSError, TimeoutError):
            reset(writer)
            return
        self._writers |= {writer, far_writer}
        try:
            await asyncio.gather(
                self._pump(reader, far_writer, writer, LinkFault.CUT_FORWARD),
                self._pump(far_reader, writer, far_writer, LinkFault.CUT_BACK),
            )
        finally:
            self._writers -= {writer, far_writer}

    async def _pump(
        self,
        source: asyncio.StreamReader,
        sink: asyncio.StreamWriter,
        source_writer: asyncio.StreamWriter,
        cut: LinkFault,
    ) -> None:
        """Pass one direction on; how the source ends is passed on too."""
        try:
            while data := await source.read(READ_BYTES):
                await self._hold((LinkFault.SILENT, cut))
                if self.fault is LinkFault.DELAYED:
                    await asyncio.sleep(self.delay_s)
                sink.write(data)
                await sink.drain()
            await self._hold((LinkFault.SILENT, cut))
            sink.close()
        except (OSError, RuntimeError):
            reset(sink)
            reset(source_writer)

    async def _hold(self, faults: tuple[LinkFault, ...]) -> None:
        while self.fault in faults:
            await asyncio.sleep(HELD_POLL_S)


def reset(writer: asyncio.StreamWriter) -> None:
    """Reset a connection."""
    raw = writer.get_extra_info("socket")
    if raw is not None:
        with contextlib.suppress(OSError):
            raw.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, RESET_ON_CLOSE)
    writer.transport.abort()
