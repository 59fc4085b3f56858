"""Connections to workers, the store and peers: opened, kept for the next exchange, closed."""

from __future__ import annotations

import asyncio
import itertools
import math
from collections.abc import Callable
from functools import partial

from croftchute.forwarding.http.failures import (
    ConnectFailedError,
    ConnectRefusedError,
    ConnectTimedOutError,
)
from croftchute.forwarding.http.http_client import ClientConnection
from croftchute.forwarding.http.silence import WORK, SilenceLimits


async def open_connection(
    host: str,
    port: int,
    timeout_s: float,
    *,
    limits: SilenceLimits = WORK,
    kind: type[ClientConnection] = ClientConnection,
) -> ClientConnection:
    """Connect within some time; raises :class:`ConnectFailedError`."""
    loop = asyncio.get_running_loop()
    try:
        async with asyncio.timeout(timeout_s):
            _, protocol = await loop.create_connection(lambda: kind(limits=limits), host, port)
    except ConnectionRefusedError as error:
        raise ConnectRefusedError(f"{host}:{port}: {error}") from None
    except TimeoutError:
        raise ConnectTimedOutError(f"{host}:{port}: timed out") from None
    except OSError as error:
        raise ConnectFailedError(f"{host}:{port}: {error}") from None
    return protocol


def _ignore_surplus(owner: str, size: int) -> None:
    """Bytes behind an answer are of no interest here."""


class ConnectionPool:
    """Idle connections by server; the one used last is used first."""

    def __init__(self, *, max_idle: int = 8, limits: SilenceLimits = WORK) -> None:
        self.max_idle = max_idle
        self.limits = limits
        self.opened = 0
        self.on_surplus: Callable[[str, int], None] = _ignore_surplus
        self._numbers = itertools.count(1)
        self._idle_by_server: dict[tuple[str, int, str], list[ClientConnection]] = {}
        self._busy_by_owner: dict[str, set[ClientConnection]] = {}

    async def acquire(
        self,
        host: str,
        port: int,
        *,
        owner: str,
        now: float,
        timeout_s: float,
        max_idle_s: float = math.inf,
        limits: SilenceLimits | None = None,
        request_id: bytes = b"",
    ) -> ClientConnection:
        """An idle connection to this incarnation of a server, or a new one.

        One that was idle for ``max_idle_s`` seconds or longer is left to others, and so is one on
        which ``request_id`` was sent before. ``limits`` are those of a new one, where they differ
        from the pool's.
        """
        connection = self._take_idle((host, port, owner), now, max_idle_s, request_id)
        if connection is None:
            connection = await self.connect(host, port, timeout_s, limits=limits)
            self._count(connection, owner)
        self._busy_by_owner.setdefault(owner, set()).add(connection)
        return connection

    def _take_idle(
        self, server: tuple[str, int, str], now: float, max_idle_s: float, request_id: bytes
    ) -> ClientConnection | None:
        """Take the usable connection out that was used last, and close those that are not."""
        idle = self._idle_by_server.get(server, [])
        for connection in reversed(idle.copy()):
            if now - connection.idle_since >= max_idle_s:
                return None
            if request_id and connection.has_sent(request_id):
                continue
            idle.remove(connection)
            if connection.is_fresh(now):
                return connection
            connection.abort()
        return None

    def _count(self, connection: ClientConnection, owner: str) -> None:
        self.opened += 1
        connection.on_surplus = partial(self.on_surplus, owner)
        connection.number = next(self._numbers)

    async def connect(
        self, host: str, port: int, timeout_s: float, *, limits: SilenceLimits | None = None
    ) -> ClientConnection:
        """A new connection that is not pooled yet; raises :class:`ConnectFailedError`."""
        return await open_connection(host, port, timeout_s, limits=limits or self.limits)

    def release(
        self, connection: ClientConnection, host: str, port: int, *, owner: str, now: float
    ) -> None:
        """Give a connection back; it is kept if it can serve again."""
        busy = self._busy_by_owner.get(owner)
        if busy is not None:
            busy.discard(connection)
            if not busy:
                del self._busy_by_owner[owner]
        if connection.finish(now):
            self._keep(connection, host, port, owner)

    def keep(
        self, connection: ClientConnection, host: str, port: int, *, owner: str, now: float
    ) -> None:
        """Keep a new connection for the next exchange."""
        self._count(connection, owner)
        connection.idle_since = now
        self._keep(connection, host, port, owner)

    def _keep(self, connection: ClientConnection, host: str, port: int, owner: str) -> None:
        idle = self._idle_by_server.setdefault((host, port, owner), [])
        if len(idle) >= self.max_idle:
            connection.abort()
            return
        idle.append(connection)

    def close_owner(self, owner: str) -> int:
        """Close all connections to one incarnation of a server; how many exchanges that breaks."""
        for server in [server for server in self._idle_by_server if server[2] == owner]:
            for connection in self._idle_by_server.pop(server):
                connection.abort()
        busy = self._busy_by_owner.get(owner, set())
        for connection in busy:
            connection.abort()
        return len(busy)

    def sweep(self, now: float) -> None:
        """Close connections that have been idle for long."""
        for server, idle in list(self._idle_by_server.items()):
            kept = [connection for connection in idle if connection.is_fresh(now)]
            for connection in idle:
                if connection not in kept:
                    connection.abort()
            if kept:
                self._idle_by_server[server] = kept
            else:
                del self._idle_by_server[server]

    def close(self) -> None:
        """Close all idle connections."""
        for idle in self._idle_by_server.values():
            for connection in idle:
                connection.abort()
        self._idle_by_server.clear()
