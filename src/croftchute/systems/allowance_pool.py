"""A pool of the shares that boxes lend, which decides for all of them under a shared limit.

Each of n boxes owns 1/n of every limit and lends it to a pool under a lease. A pool grants what the
shares lent to it accrue. The pool decides by its own clock whether a lease is valid: the lender
returns the pool's last time stamp with each message. So a share never counts at two pools at a
time, even if messages are lost, delayed or duplicated, the network is cut or boxes pause, and all
pools together grant no more than the limit. This requires that every box's count of the boxes is
no smaller than their real number: see ``fleet_size``.
"""

from __future__ import annotations

from collections.abc import Mapping
from dataclasses import dataclass, field
from typing import Protocol

from croftchute.systems.usage_bucket import LimitTerms, UsageBucket
from croftchute.tables.allowances import UsageGrant, UsageReturn, UsageWant
from croftchute.tables.organisations import UsageLimit

LEASE_S = 1.0
"""Seconds for which a share is lent: three times the interval between requests, so that a lease
survives one lost request and answers that take 0.3 s. After a start or the loss of a pool, a box
lends nothing for the same time."""

RECOUNT_INTERVAL_S = 0.02
"""Seconds between two recounts of all leases. Leases end this much earlier, since a recount may
notice the end that much too late."""

NO_SHARE_WAIT_S = 0.5
"""Seconds after which to retry if a pool has no shares now: half a lease and one round trip."""


class HasLimit(Protocol):
    """An organisation, or a worker that sets a limit."""

    @property
    def limit(self) -> UsageLimit | None:
        """The use allowed over all boxes together; None if it is unlimited."""
        ...


@dataclass(kw_only=True, slots=True)
class _Lender:
    """A lent share, and the time up to which its accrual was counted, by the pool's clock."""

    share: float
    counted_to: float
    expires_at: float


@dataclass(kw_only=True)
class AllowancePool:
    """The shares lent to this box for one group of limits, and a bucket for each limit in use."""

    terms: LimitTerms
    lenders_by_box: dict[str, _Lender] = field(default_factory=dict)
    buckets_by_name: dict[str, UsageBucket] = field(default_factory=dict)
    _share_seconds: float = 0.0
    _unused_share_seconds: float = 0.0
    _start_credits: float = 0.0
    _unused_start_credits: float = 0.0
    _live_share: float = 0.0
    _recounted_at: float = 0.0

    def lend(
        self, box: str, share: float, *, echo: float, now: float, is_first: bool = False
    ) -> None:
        """Record a lease; ``echo`` is the pool's own time as the lender last received it.

        A share without a valid echo counts only from the lender's next message. ``is_first`` means
        that the lender lends it for the first time since its start.
        """
        self._recount(now)
        lender = self.lenders_by_box.get(box)
        if lender is not None:
            self._count_accrual(lender, now)
        if share <= 0.0 or not now - LEASE_S < echo <= now:
            return
        expires_at = echo + LEASE_S - RECOUNT_INTERVAL_S
        if lender is None:
            lender = _Lender(share=share, counted_to=now, expires_at=expires_at)
            self.lenders_by_box[box] = lender
            if is_first:
                self._start_credits += share
                self._unused_start_credits += share
        lender.share = share
        lender.expires_at = max(lender.expires_at, expires_at)
        self._live_share = self.live_share(now)

    def live_share(self, now: float) -> float:
        """Return the part of all limits that this pool grants now; 1 is the whole."""
        return sum(
            lender.share for lender in self.lenders_by_box.values() if lender.expires_at > now
        )

    def grant(self, want: UsageWant, known: Mapping[str, HasLimit], now: float) -> UsageGrant:
        """Grant what a request needs, or return when to ask again."""
        self._recount(now)
        limit = _limit_of(want, known)
        if limit is None:
            return UsageGrant(name=want.name, units=want.units)
        capacity = self.terms.capacity(limit) * min(1.0, self._live_share)
        bucket = self._bucket(want.name, limit, capacity)
        kept = max(0.0, want.kept_back)
        units = bucket.take(want.units, extra=want.extra, capacity=capacity, kept=kept)
        needed = bucket.needed(want.units, capacity=capacity, kept=kept)
        wait_s = 0.0 if units else self._wait_s(needed - bucket.level, limit)
        return UsageGrant(name=want.name, units=units, wait_s=wait_s)

    def return_units(self, returned: UsageReturn) -> None:
        """Put unused units back; the next fill bounds the level by the capacity."""
        bucket = self.buckets_by_name.get(returned.name)
        if bucket is not None:
            bucket.level += returned.units

    def sweep(self, known: Mapping[str, HasLimit], now: float) -> None:
        """Delete lenders whose lease ended long ago, and buckets as full as newly created ones."""
        self._recount(now)
        for box, lender in list(self.lenders_by_box.items()):
            if now - lender.expires_at > LEASE_S:
                del self.lenders_by_box[box]
        for name, bucket in list(self.buckets_by_name.items()):
            limited = known.get(name)
            limit = limited.limit if limited is not None else None
            if limit is None or self._is_full_as_new(bucket, limit):
                del self.buckets_by_name[name]

    def _is_full_as_new(self, bucket: UsageBucket, limit: UsageLimit) -> bool:
        capacity = self.terms.capacity(limit) * min(1.0, self._live_share)
        self._fill(bucket, limit, capacity)
        return bucket.level >= self._unused_level(limit, capacity) > 0.0

    def _bucket(self, name: str, limit: UsageLimit, capacity: float) -> UsageBucket:
        """Return the bucket of a limit, created with what has accrued since the pool started."""
        bucket = self.buckets_by_name.get(name)
        if bucket is None:
            bucket = UsageBucket(
                level=self._unused_level(limit, capacity),
                filled_to=self._share_seconds,
                start_credits=self._start_credits,
            )
            self.buckets_by_name[name] = bucket
        self._fill(bucket, limit, capacity)
        return bucket

    def _unused_level(self, limit: UsageLimit, capacity: float) -> float:
        """Return the level that a bucket has if its limit was not used since the pool started."""
        started = self.terms.start_credit(limit) * self._unused_start_credits
        return min(capacity, limit.rate_per_s * self._unused_share_seconds + started)

    def _fill(self, bucket: UsageBucket, limit: UsageLimit, capacity: float) -> None:
        """Add what the lent shares have accrued since the last fill."""
        extra = self.terms.start_credit(limit) * (self._start_credits - bucket.start_credits)
        bucket.start_credits = self._start_credits
        bucket.fill(self._share_seconds, limit=limit, capacity=capacity, extra=extra)

    def _wait_s(self, missing: float, limit: UsageLimit) -> float:
        """Return the seconds until the missing units have accrued."""
        rate_per_s = limit.rate_per_s * min(1.0, self._live_share)
        return NO_SHARE_WAIT_S if rate_per_s <= 0.0 else max(0.0, missing) / rate_per_s

    def _count_accrual(self, lender: _Lender, now: float) -> None:
        """Count what a share accrued while its lease was valid."""
        until = min(now, lender.expires_at)
        # Boxes that know few others lend shares that sum to more than 1: scale them down to 1.
        share = lender.share / max(1.0, self._live_share)
        seconds = share * max(0.0, until - lender.counted_to)
        lender.counted_to = max(lender.counted_to, now)
        self._share_seconds += seconds
        self._unused_share_seconds += seconds

    def _recount(self, now: float) -> None:
        """Count all leases and remove what shares accrued that are no longer lent to this pool."""
        if now - self._recounted_at < RECOUNT_INTERVAL_S:
            return
        self._recounted_at = now
        for lender in self.lenders_by_box.values():
            self._count_accrual(lender, now)
        live = self.live_share(now)
        if live < self._live_share:
            kept = live / self._live_share
            self._unused_share_seconds *= kept
            self._unused_start_credits *= kept
            for bucket in self.buckets_by_name.values():
                bucket.level = min(bucket.level, bucket.level * kept)
        self._live_share = live


def _limit_of(want: UsageWant, known: Mapping[str, HasLimit]) -> UsageLimit | None:
    """Return the limit that this box knows, or the one in the request if it knows none."""
    limited = known.get(want.name)
    return want.limit if limited is None else limited.limit
