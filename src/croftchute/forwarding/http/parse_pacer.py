"""Bounds the processor time for requests that come in very many small pieces.

A header line, a chunk or a whole small request costs about the same time, however short it is. A
connection that brings few of them is parsed as it is read. One that brings many waits here, and all
such connections together get a share of the event loop.
"""

from __future__ import annotations

import asyncio
from collections import deque
from collections.abc import Callable
from typing import Protocol

FREE_PIECES = 256
"""Pieces that a connection may bring at once and is not paced: many times an ordinary request."""

FREE_PIECES_PER_S = 2_000.0
"""Usual pieces a second that a connection may bring beside that."""

SHARE_OF_ONE = 0.5
"""Share of the event loop's time for a connection that is paced alone."""

SHARE_OF_MANY = 0.25
"""Share of the event loop's time for all connections that are paced together."""


def pause_s(spent_s: float, *, waiting: int) -> float:
    """Return the seconds to pause after ``spent_s`` of parsing while connections wait.

    >>> pause_s(0.001, waiting=1), pause_s(0.001, waiting=2)
    (0.001, 0.003)
    """
    share = SHARE_OF_ONE if waiting <= 1 else SHARE_OF_MANY
    return round(spent_s * (1.0 / share - 1.0), 9)


class PieceAllowance:
    """The pieces that one connection may still bring before it is paced."""

    __slots__ = ("_left", "_at", "_per_s")

    def __init__(self, *, now: float, per_s: float = FREE_PIECES_PER_S) -> None:
        self._left = float(FREE_PIECES)
        self._at = now
        self._per_s = per_s

    def spend(self, pieces: int, now: float) -> bool:
        """Count pieces; return whether they were within the allowance.

        >>> allowance = PieceAllowance(now=0.0)
        >>> allowance.spend(200, 0.0), allowance.spend(200, 0.0), allowance.spend(1, 1.0)
        (True, False, True)
        """
        grown = (now - self._at) * self._per_s
        self._at = now
        self._left = min(float(FREE_PIECES), max(0.0, self._left) + grown) - pieces
        return self._left >= 0.0


class PacedConnection(Protocol):
    """A connection that has brought more than it may, and holds the rest of it."""

    def parse_more(self) -> bool:
        """Parse some of what is held; return whether the connection is to be paced further."""
        ...


class ParsePacer:
    """Takes connections in turn, and lets the event loop do other work in between."""

    def __init__(
        self, *, clock: Callable[[], float], pieces_per_s: float = FREE_PIECES_PER_S
    ) -> None:
        self.clock = clock
        self.pieces_per_s = pieces_per_s
        self._begun = 0
        self._waiting: deque[PacedConnection] = deque()
        self._turn: asyncio.TimerHandle | None = None

    def __len__(self) -> int:
        return len(self._waiting)

    def add(self, connection: PacedConnection) -> None:
        """Let a connection wait for its turn; it must not be waiting."""
        self._begun += 1
        self._waiting.append(connection)
        self._schedule(0.0)

    def take_begun(self) -> int:
        """Return how often a connection began to be paced since the last call."""
        begun, self._begun = self._begun, 0
        return begun

    def remove(self, connection: PacedConnection) -> None:
        """Forget a connection that is closed, if it waits."""
        if connection in self._waiting:
            self._waiting.remove(connection)

    def _schedule(self, after_s: float) -> None:
        if self._turn is None and self._waiting:
            self._turn = asyncio.get_running_loop().call_later(after_s, self._take_turn)

    def _take_turn(self) -> None:
        self._turn = None
        if not self._waiting:
            return
        begun_at = self.clock()
        connection = self._waiting.popleft()
        if connection.parse_more():
            self._waiting.append(connection)
        spent_s = max(0.0, self.clock() - begun_at)
        self._schedule(pause_s(spent_s, waiting=len(self._waiting)))
