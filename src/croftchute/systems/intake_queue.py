"""Which of the connections that wait to be read is read next, and which are closed unread.

A box reads one new connection in each turn of its event loop. The more requests are under way, the
longer a turn takes, and the fewer connections are read: the box takes in what it can serve. Callers
of connections that are closed unread know that nothing ran, and turn to another box at once.
"""

from __future__ import annotations

import math
from collections import deque
from dataclasses import dataclass, field
from typing import Generic, TypeVar

T = TypeVar("T")

MAX_WAITING = 256
"""Most connections that wait; the kernel may hold some bytes for each."""


@dataclass(frozen=True, kw_only=True, slots=True)
class IntakeLimits:
    """How long connections wait, in seconds.

    None is read behind a turn of the event loop of more than ``max_turn_s``: a few of these must
    fit into the shortest time-out of a call of a worker (0.08 s). They wait for ``burst_wait_s`` at
    most while the queue is empty now and then: callers give a request up that is not read within a
    third of their time, half a second for the shortest deadlines. Once some have waited for
    ``crowded_after_s`` without a break, the box is crowded and they wait for ``crowded_wait_s``:
    more does not get more of them served. Boxes that get their processor time in slices of 0.1 s
    empty the queue between two slices.

    If none was read for ``max_pause_s`` while some waited, one is read whatever the turn took: a
    box whose turns are long for another reason than new connections would read none at all.
    """

    max_turn_s: float = 0.02
    burst_wait_s: float = 0.4
    crowded_after_s: float = 0.4
    crowded_wait_s: float = 0.05
    max_pause_s: float = 0.25


@dataclass(kw_only=True)
class IntakeQueue(Generic[T]):
    """Accepted connections that are not read yet, the longest waiting first."""

    limits: IntakeLimits = IntakeLimits()
    _waiting: deque[tuple[T, float]] = field(default_factory=deque)
    _empty_at: float = 0.0
    _taken_at: float = -math.inf

    def __len__(self) -> int:
        return len(self._waiting)

    def add(self, connection: T, now: float) -> bool:
        """Let a connection wait; return False if too many do."""
        if not self._waiting:
            self._empty_at = now
        if len(self._waiting) >= MAX_WAITING:
            return False
        self._waiting.append((connection, now))
        return True

    def is_crowded(self, now: float) -> bool:
        """Return whether more connections come than are read, and not just in a burst.

        >>> queue = IntakeQueue[str]()
        >>> queue.add("first", 5.0), queue.is_crowded(5.1), queue.is_crowded(5.5)
        (True, False, True)
        """
        return bool(self._waiting) and now - self._empty_at >= self.limits.crowded_after_s

    def take_expired(self, now: float) -> list[T]:
        """Remove and return the connections that have waited too long."""
        limits = self.limits
        limit_s = limits.crowded_wait_s if self.is_crowded(now) else limits.burst_wait_s
        expired = []
        while self._waiting and now - self._waiting[0][1] > limit_s:
            expired.append(self._waiting.popleft()[0])
        return expired

    def take_next(self, now: float, *, turn_s: float) -> T | None:
        """Remove and return the connection to read behind a turn that took ``turn_s`` seconds."""
        if not self._waiting:
            return None
        paused_s = now - max(self._empty_at, self._taken_at)
        if turn_s > self.limits.max_turn_s and paused_s < self.limits.max_pause_s:
            return None
        self._taken_at = now
        return self._waiting.popleft()[0]

    def take_all(self) -> list[T]:
        """Remove and return all that wait."""
        taken = [connection for connection, _ in self._waiting]
        self._waiting.clear()
        return taken
