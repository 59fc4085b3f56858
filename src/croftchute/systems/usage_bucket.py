"""The token bucket of a limit: it fills at the limit's rate up to a capacity."""

from __future__ import annotations

from dataclasses import dataclass

from croftchute.tables.organisations import UsageLimit

SAVED_EXCESS_RATIO = 0.5
"""Share of the allowed excess that buckets may hold in addition to the burst. The rest covers units
that are used later than granted, and the time until boxes have discovered each other."""


START_CREDIT_RATIO = 0.2
"""Share of the allowed excess that a box's share adds once after each start of the box. Without it,
pools would be empty after a start of the fleet and refuse requests until enough units accrue. The
excess left by ``SAVED_EXCESS_RATIO`` covers two starts of all boxes in one window. A third takes so
long that the units which the limit accrues meanwhile cover its credit."""


@dataclass(frozen=True, kw_only=True, slots=True)
class LimitTerms:
    """The tolerance of limits: the window they are measured in, and the excess allowed in it.

    In any ``window_s`` seconds an organisation may use its rate times the window plus its burst,
    multiplied by ``1 + overage``, plus ``slack`` units.
    """

    window_s: float = 10.0
    overage: float = 0.0
    slack: float = 0.0

    def allowed(self, limit: UsageLimit) -> float:
        """Return the most that may be used in a window.

        >>> LimitTerms(window_s=8, overage=0.1, slack=50).allowed(
        ...     UsageLimit(rate_per_s=100, burst=200)
        ... )
        1150.0
        """
        plain = limit.rate_per_s * self.window_s + limit.burst
        return plain * (1.0 + self.overage) + self.slack

    def excess(self, limit: UsageLimit) -> float:
        """Return what may be used in a window beyond the rate and the burst.

        >>> LimitTerms(window_s=8, overage=0.1, slack=50).excess(
        ...     UsageLimit(rate_per_s=100, burst=200)
        ... )
        150.0
        """
        return self.allowed(limit) - limit.rate_per_s * self.window_s - limit.burst

    def start_credit(self, limit: UsageLimit) -> float:
        """Return the units credited for a whole limit, as when all boxes have just started."""
        return START_CREDIT_RATIO * self.excess(limit)

    def capacity(self, limit: UsageLimit) -> float:
        """Return the most units that a bucket may hold: the burst and part of the allowed excess.

        >>> LimitTerms(window_s=8, overage=0.1, slack=50).capacity(
        ...     UsageLimit(rate_per_s=100, burst=200)
        ... )
        275.0
        """
        return limit.burst + SAVED_EXCESS_RATIO * self.excess(limit)


@dataclass(kw_only=True, slots=True)
class UsageBucket:
    """A bucket of saved units; ``filled_to`` is the share-seconds up to which it is filled.

    A share-second is the whole limit for one second, or half of it for two. ``start_credits`` is
    the number of whole limits credited so far for boxes that just started.
    """

    level: float
    filled_to: float
    start_credits: float = 0.0

    def fill(
        self, share_seconds: float, *, limit: UsageLimit, capacity: float, extra: float = 0.0
    ) -> None:
        """Add what has accrued since the last fill, plus ``extra``, up to the capacity.

        >>> bucket = UsageBucket(level=0.0, filled_to=1.0)
        >>> bucket.fill(3.0, limit=UsageLimit(rate_per_s=10, burst=0), capacity=15.0)
        >>> bucket.level
        15.0
        """
        gained = limit.rate_per_s * max(0.0, share_seconds - self.filled_to)
        self.filled_to = share_seconds
        self.level = min(capacity, self.level + gained + extra)

    def take(self, units: float, *, extra: float, capacity: float, kept: float = 0.0) -> float:
        """Take at least ``units`` and up to ``extra`` more; return 0 if that is not possible.

        A request larger than the capacity is granted once the bucket is full, and leaves a debt.
        ``kept`` units stay in the bucket for more urgent requests.

        >>> bucket = UsageBucket(level=10.0, filled_to=0.0)
        >>> bucket.take(4, extra=3, capacity=10.0), bucket.take(4, extra=0, capacity=10.0)
        (7, 0.0)
        >>> bucket.take(2, extra=0, capacity=10.0, kept=2.0), bucket.take(2, extra=0, capacity=10.0)
        (0.0, 2.0)
        """
        if capacity <= 0.0 or self.level < self.needed(units, capacity=capacity, kept=kept):
            return 0.0
        given = max(float(units), min(self.level - kept, units + extra))
        self.level -= given
        return given

    def needed(self, units: float, *, capacity: float, kept: float) -> float:
        """Return the level from which a request of ``units`` is granted."""
        return min(units + kept, capacity)
