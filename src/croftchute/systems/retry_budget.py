"""One box's share of the retry budget of a service, which all boxes share."""

from __future__ import annotations

import math
import zlib
from bisect import insort
from collections import deque
from dataclasses import dataclass, field

SAFETY_FACTOR = 0.85
"""Share of the budget that is used. The rest covers requests that leave the sliding window before
their retries, and boxes whose shares round up."""

HASH_VALUES = 1 << 32


@dataclass(frozen=True, kw_only=True, slots=True)
class RetryLimits:
    """Retries allowed in any window: a ratio of the requests, plus a constant for all boxes."""

    ratio: float
    window_s: float
    slack: float


def rounding_of(box: str) -> float:
    """Return the fraction from 0 to 1 that a box adds to what it may spend before it rounds down.

    Over all boxes the fractions are spread evenly, so that what rounding takes from some of a large
    fleet is given to others.

    >>> 0.0 <= rounding_of("edge-1") < 1.0
    True
    """
    return zlib.crc32(box.encode()) / HASH_VALUES


@dataclass(kw_only=True)
class RetryWindow:
    """The requests and retries that this box sent for one service in the last window.

    ``share`` arguments are the part of the constant that is this box's own, from 0 to 1.
    """

    limits: RetryLimits
    rounding: float = 0.0
    request_times: deque[float] = field(default_factory=deque)
    retry_times: deque[float] = field(default_factory=deque)

    def allowed(self, now: float, *, share: float) -> float:
        """Return how many retries this box may send in the window that ends now."""
        self._expire(now)
        earned = self.limits.ratio * len(self.request_times)
        return SAFETY_FACTOR * (earned + self.limits.slack * share)

    def note_request(self, now: float) -> None:
        """Count a caller's request; it may be noted later than others that came after it."""
        self._expire(now)
        insort(self.request_times, now)

    def retract_request(self, noted_at: float) -> None:
        """Remove a request that another box counts in its place."""
        if noted_at in self.request_times:
            self.request_times.remove(noted_at)

    def left(self, now: float, *, share: float) -> int:
        """Return how many more retries may be sent now."""
        allowed = math.floor(self.allowed(now, share=share) + self.rounding)
        return max(0, allowed - len(self.retry_times))

    def spend(self, now: float, *, share: float, count: int = 1) -> bool:
        """Take some retries from the budget; return False, and take none, if it has fewer left."""
        if self.left(now, share=share) < count:
            return False
        self.retry_times.extend([now] * count)
        return True

    def renew(self, taken_at: float, now: float, *, share: float) -> bool:
        """Date a retry anew; return False if it has left the window and no other is left."""
        self._expire(now)
        if taken_at not in self.retry_times:
            return self.spend(now, share=share)
        self.retry_times.remove(taken_at)
        self.retry_times.append(now)
        return True

    def refund(self, spent_at: list[float]) -> None:
        """Return retries that were not needed, by the times at which they were taken."""
        for at in spent_at:
            if at in self.retry_times:
                self.retry_times.remove(at)

    def _expire(self, now: float) -> None:
        start = now - self.limits.window_s
        for times in (self.request_times, self.retry_times):
            while times and times[0] <= start:
                times.popleft()
