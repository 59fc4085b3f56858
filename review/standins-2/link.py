"""A TCP link through which one process reaches another; it can be cut silently."""

from __future__ import annotations

import asyncio
import contextlib


class Link:
    """Forwards connections to a port; while it ``is_cut`` nothing passes and nothing is reset.

    Connections that were open when it was cut stay silent until it heals, and then go on; new ones
    hang, as the opening packets are lost.
    """

    def __init__(self, to_host: str, to_port: int) -> None:
        self.to = (to_host, to_port)
        self.port = 0
        self._healthy = asyncio.Event()
        self._healthy.set()
        self._tasks: set[asyncio.Task] = set()

    async def start(self) -> int:
        """Listen; return the port."""
        server = await asyncio.start_server(self._accept, "127.0.0.1", 0)
        self.port = server.sockets[0].getsockname()[1]
        return self.port

    def cut(self) -> None:
        """Let nothing pass."""
        self._healthy.clear()

    def heal(self) -> None:
        """Let all pass again."""
        self._healthy.set()

    async def _accept(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        with contextlib.suppress(asyncio.CancelledError):
            await self._healthy.wait()
            try:
                to_reader, to_writer = await asyncio.open_connection(*self.to)
            except OSError:
                writer.transport.abort()
                return
            await asyncio.gather(
                self._pump(reader, to_writer), self._pump(to_reader, writer), return_exceptions=True
            )

    async def _pump(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        try:
            while data := await reader.read(65536):
                await self._healthy.wait()
                writer.write(data)
                await writer.drain()
        except OSError:
            pass
        finally:
            await self._healthy.wait()
            with contextlib.suppress(OSError):
                writer.close()
