"""One box's share of the retry budget of a service, which all boxes share."""

from __future__ import annotations

from collections import deque
from dataclasses import dataclass, field

SAFETY_FACTOR = 0.7
"""Share of the budget that is used. The rest covers boxes that have not discovered each other yet,
and requests that leave the sliding window before their retries."""


@dataclass(frozen=True, kw_only=True, slots=True)
class RetryLimits:
    """Retries allowed in any window: a ratio of the requests, plus a constant for all boxes."""

    ratio: float
    window_s: float
    slack: float


@dataclass(kw_only=True)
class RetryWindow:
    """The requests and retries that this box sent for one service in the last window."""

    limits: RetryLimits
    request_times: deque[float] = field(default_factory=deque)
    retry_times: deque[float] = field(default_factory=deque)

    def allowed(self, now: float, *, boxes: int) -> float:
        """Return how many retries this box may send in the window that ends now."""
        self._expire(now)
        share = self.limits.slack / max(1, boxes)
        return SAFETY_FACTOR * (self.limits.ratio * len(self.request_times) + share)

    def note_request(self, now: float) -> None:
        """Count a caller's request."""
        self._expire(now)
        self.request_times.append(now)

    def retract_request(self, noted_at: float) -> None:
        """Remove a request that another box counts in its place."""
        if noted_at in self.request_times:
            self.request_times.remove(noted_at)

    def has_left(self, now: float, *, boxes: int) -> bool:
        """Return whether one more retry may be sent now."""
        allowed = self.allowed(now, boxes=boxes)
        return len(self.retry_times) + 1 <= allowed

    def spend(self, now: float, *, boxes: int) -> bool:
        """Take one retry from the budget; return False if none is left."""
        if not self.has_left(now, boxes=boxes):
            return False
        self.retry_times.append(now)
        return True

    def refund(self) -> None:
        """Return the retry that was taken last, as it was not sent."""
        if self.retry_times:
            self.retry_times.pop()

    def _expire(self, now: float) -> None:
        start = now - self.limits.window_s
        for times in (self.request_times, self.retry_times):
            while times and times[0] <= start:
                times.popleft()
