"""A loopback proxy that harms what passes: delay, pace, silence, one way cut, resets, refusal."""

from __future__ import annotations

import asyncio
import contextlib
import random
import socket
import struct
from dataclasses import dataclass
from enum import StrEnum

RESET_ON_CLOSE = struct.pack("ii", 1, 0)
READ_BYTES = 65536
HELD_POLL_S = 0.02
CONNECT_S = 1.0

BACKLOG_FILLERS = 2
"""Connections that fill a backlog of 0, whose queue the kernel lets hold one more."""

PACED_SLICE_BYTES = 4096
"""Bytes that a paced link brings at a time, so that connections take turns on it."""


class LinkFault(StrEnum):
    """What a link does to the bytes on it."""

    NONE = "none"
    DELAYED = "delayed"
    PACED = "paced"
    SILENT = "silent"
    CUT_FORWARD = "cut_forward"
    CUT_BACK = "cut_back"
    RESET = "reset"
    REFUSED = "refused"
    HANGING = "hanging"
    CLOSED = "closed"


@dataclass(frozen=True, kw_only=True, slots=True)
class Target:
    """Where a proxy leads to."""

    host: str
    port: int


@dataclass(eq=False, kw_only=True, slots=True)
class LinkConnection:
    """One connection over a link: the near and the far side of the proxy.

    A silenced one brings nothing any more, neither bytes nor an end, until the link is stopped.
    """

    near: asyncio.StreamWriter
    far: asyncio.StreamWriter
    is_silenced: bool = False


class FaultyLink:
    """Listens on an address of its own and leads to a target; ``fault`` is set from outside."""

    def __init__(
        self, *, name: str, target: Target, host: str = "127.0.0.1", port: int = 0
    ) -> None:
        self.name = name
        self.target = target
        self.host = host
        self.port = port
        self.fault = LinkFault.NONE
        self.delay_s = 0.0
        self.bytes_a_second = 0.0
        self._server: asyncio.Server | None = None
        self._blocked_door: list[socket.socket] = []
        self._connections: set[LinkConnection] = set()
        self._stopped = asyncio.Event()
        self._free_at = 0.0
        self.followers: list[FaultyLink] = []
        """Links that lead to this one: they refuse connections while this one does."""
        self._is_door_closed = False
        self.silenced_ports: set[int] = set()
        """Ports from which the target saw those connections come that were silenced."""

    async def start(self) -> int:
        """Begin to listen; returns the port."""
        self._server = await asyncio.start_server(self._serve, self.host, self.port)
        self.port = int(self._server.sockets[0].getsockname()[1])
        return self.port

    def set_fault(
        self, fault: LinkFault, *, delay_s: float = 0.0, bytes_a_second: float = 0.0
    ) -> None:
        """Put a fault in force, for open connections too; all share ``bytes_a_second``."""
        self.fault = fault
        self.delay_s = delay_s
        self.bytes_a_second = bytes_a_second
        if fault is LinkFault.RESET:
            self.reset_all()

    async def cut(self, fault: LinkFault) -> None:
        """Put a cut in force.

        ``HANGING`` leaves new connections without an answer, ``CLOSED`` refuses them and resets
        those that are open.
        """
        self.set_fault(fault)
        if fault is LinkFault.HANGING:
            self._block_door(hangs=True)
        elif fault is LinkFault.CLOSED:
            self._block_door(hangs=False)
            self.reset_all()

    async def heal(self) -> None:
        """End a cut."""
        self.set_fault(LinkFault.NONE)
        if self._is_door_closed:
            self._block_door(hangs=False)
        elif self._blocked_door:
            await self.open_door(self.target)

    def _block_door(self, *, hangs: bool) -> None:
        """Keep the port without serving it.

        With a full backlog the kernel drops opening packets; without listening it refuses them.
        """
        if self._server is not None:
            self._server.close()
        self._unblock_door()
        door = socket.socket()
        door.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
        door.bind((self.host, self.port))
        self._blocked_door = [door]
        if not hangs:
            return
        door.listen(0)
        for _ in range(BACKLOG_FILLERS):
            filler = socket.socket()
            filler.setblocking(False)
            filler.connect_ex((self.host, self.port))
            self._blocked_door.append(filler)

    def _unblock_door(self) -> None:
        for each in self._blocked_door:
            each.close()
        self._blocked_door = []

    def reset_all(self) -> None:
        """Reset all connections that are open."""
        for connection in list(self._connections):
            reset(connection.near)
            reset(connection.far)

    def silence_open(self, share: float, rng: random.Random) -> int:
        """Silence a share of the open connections for good; returns how many."""
        open_ones = [one for one in self._connections if not one.is_silenced]
        chosen = [one for one in open_ones if rng.random() < share]
        for connection in chosen:
            connection.is_silenced = True
            self.silenced_ports.add(connection.far.get_extra_info("sockname")[1])
        return len(chosen)

    def close_door(self) -> None:
        """Let connections be refused, as by a process that has ended, and reset what is open."""
        self._is_door_closed = True
        if self.fault is not LinkFault.HANGING:
            self._block_door(hangs=False)
        self.reset_all()
        for link in self.followers:
            link.close_door()

    async def open_door(self, target: Target) -> None:
        """Listen at the same address again, and lead to another target."""
        self.target = target
        self._is_door_closed = False
        if self.fault not in (LinkFault.HANGING, LinkFault.CLOSED):
            self._unblock_door()
            self._server = await asyncio.start_server(self._serve, self.host, self.port)
        for link in self.followers:
            await link.open_door(link.target)

    def stop(self) -> None:
        """Listen no more, and reset what is open."""
        if self._server is not None:
            self._server.close()
        self._unblock_door()
        self._stopped.set()
        self.reset_all()

    async def _serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        if self.fault in (LinkFault.REFUSED, LinkFault.RESET):
            reset(writer)
            return
        while self.fault in (LinkFault.SILENT, LinkFault.HANGING, LinkFault.CUT_FORWARD):
            await asyncio.sleep(HELD_POLL_S)
        try:
            async with asyncio.timeout(CONNECT_S):
                far_reader, far_writer = await asyncio.open_connection(
                    self.target.host, self.target.port
                )
        except (OSError, TimeoutError):
            reset(writer)
            return
        connection = LinkConnection(near=writer, far=far_writer)
        self._connections.add(connection)
        try:
            await asyncio.gather(
                self._pump(connection, reader, far_writer, LinkFault.CUT_FORWARD),
                self._pump(connection, far_reader, writer, LinkFault.CUT_BACK),
            )
        finally:
            self._connections.discard(connection)

    async def _pump(
        self,
        connection: LinkConnection,
        source: asyncio.StreamReader,
        sink: asyncio.StreamWriter,
        cut: LinkFault,
    ) -> None:
        """Pass one direction on; how the source ends is passed on too."""
        try:
            while data := await source.read(READ_BYTES):
                await self._hold(connection, cut)
                if self.fault is LinkFault.DELAYED:
                    await asyncio.sleep(self.delay_s)
                await self._bring(connection, data, sink, cut)
            await self._hold(connection, cut)
            sink.close()
        except (OSError, RuntimeError):
            if connection.is_silenced:
                await self._stopped.wait()
            reset(connection.near)
            reset(connection.far)

    async def _bring(
        self, connection: LinkConnection, data: bytes, sink: asyncio.StreamWriter, cut: LinkFault
    ) -> None:
        """Write what was read, slice by slice for as long as the link is paced."""
        while data:
            size = len(data)
            if self.fault is LinkFault.PACED:
                size = min(size, PACED_SLICE_BYTES)
                await self._wait_for_turn(size)
                await self._hold(connection, cut)
            sink.write(data[:size])
            await sink.drain()
            data = data[size:]

    async def _wait_for_turn(self, size: int) -> None:
        """Wait until the link, which all its connections share, has brought ``size`` bytes."""
        now = asyncio.get_running_loop().time()
        self._free_at = max(now, self._free_at) + size / self.bytes_a_second
        await asyncio.sleep(self._free_at - now)

    async def _hold(self, connection: LinkConnection, cut: LinkFault) -> None:
        """Wait while the link brings nothing this way; a silenced connection waits for the end."""
        while (
            self.fault in (LinkFault.SILENT, LinkFault.HANGING, cut) and not connection.is_silenced
        ):
            await asyncio.sleep(HELD_POLL_S)
        if connection.is_silenced:
            await self._stopped.wait()


def reset(writer: asyncio.StreamWriter) -> None:
    """Reset a connection."""
    raw = writer.get_extra_info("socket")
    if raw is not None:
        with contextlib.suppress(OSError):
            raw.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, RESET_ON_CLOSE)
    writer.transport.abort()
