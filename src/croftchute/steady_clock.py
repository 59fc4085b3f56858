"""The clock that beliefs, leases and deadlines go by: never steps back, and counts suspended time.

A machine may be suspended for seconds. The monotonic clock stands still meanwhile, so by it a lease
that ran out long ago would still be held, and knowledge be as fresh as before. Time-outs of work in
the process itself go by the event loop's clock, which stands still: what waits in a socket's buffer
is read before the worker that sent it is given up. docs/DESIGN.md lists which goes by which.
"""

from __future__ import annotations

import time
from dataclasses import dataclass

SUSPENDED_S = 0.05
"""Seconds by which the two clocks must have parted to count as a suspension: far above what reading
one after the other takes, and below what any lease or share allows for."""


def steady_s() -> float:
    """Seconds since the machine started, suspended time included."""
    return time.clock_gettime(time.CLOCK_BOOTTIME)


@dataclass(kw_only=True)
class SuspensionMeter:
    """Tells how long the machine was suspended since it was last asked."""

    steady_at: float
    running_at: float

    def measure(self, steady_now: float, running_now: float) -> float:
        """Seconds suspended since the last call; 0 if the clocks went alike.

        >>> meter = SuspensionMeter(steady_at=10.0, running_at=5.0)
        >>> meter.measure(11.0, 6.0), meter.measure(15.0, 7.0)
        (0.0, 3.0)
        """
        parted = (steady_now - self.steady_at) - (running_now - self.running_at)
        self.steady_at, self.running_at = steady_now, running_now
        return parted if parted > SUSPENDED_S else 0.0
