"""A loopback proxy whose open connections go silent for good while new ones work."""

import asyncio
import contextlib


class SilentLink:
    """Leads to a port of this machine; :meth:`hush` silences the connections that are open."""

    def __init__(self, *, target_port):
        self.target_port = target_port
        self.port = 0
        self.opened = 0
        self._silent = set()
        self._open = set()
        self._server = None

    async def start(self):
        self._server = await asyncio.start_server(self._serve, "127.0.0.1", 0)
        self.port = self._server.sockets[0].getsockname()[1]
        return self.port

    def hush(self):
        """From now on nothing passes on the connections that are open, not even their end."""
        self._silent |= self._open

    def stop(self):
        self._server.close()
        for _, writer, far in self._open:
            writer.transport.abort()
            far.transport.abort()

    async def _serve(self, reader, writer):
        self.opened += 1
        far_reader, far_writer = await asyncio.open_connection("127.0.0.1", self.target_port)
        pair = (self.opened, writer, far_writer)
        self._open.add(pair)
        await asyncio.gather(
            self._pump(reader, far_writer, pair), self._pump(far_reader, writer, pair)
        )

    async def _pump(self, reader, writer, pair):
        with contextlib.suppress(ConnectionError):
            while (data := await reader.read(65536)) and pair not in self._silent:
                writer.write(data)
        if pair not in self._silent:
            writer.close()
            self._open.discard(pair)
