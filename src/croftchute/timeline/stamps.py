"""Hybrid logical time: wall-clock milliseconds and a counter in one integer.

A stamp that is received moves the clock past it, so a cause is always stamped before its effect.
"""

from __future__ import annotations

COUNTER_BITS = 16
MILLISECONDS = 1000.0


class StampClock:
    """Issues rising stamps; not thread-safe, each process has one runner that uses it."""

    def __init__(self) -> None:
        self.last = 0

    def tick(self, now: float) -> int:
        """A stamp for something that happens now; ``now`` is Unix time in seconds."""
        wall = int(now * MILLISECONDS) << COUNTER_BITS
        self.last = max(self.last + 1, wall)
        return self.last

    def witness(self, stamp: int) -> None:
        """Take note of a stamp from another process."""
        self.last = max(self.last, stamp)


def seconds(stamp: int) -> float:
    """The wall-clock part of a stamp.

    >>> seconds(StampClock().tick(12.5))
    12.5
    """
    return (stamp >> COUNTER_BITS) / MILLISECONDS
