"""A pool of the shares that boxes lend: one place that says yes or no under a limit of all boxes.

Each box owns one part in as many as there are boxes of every limit, and lends it to a pool under a
lease. A pool gives out what the shares lent to it bring in. It knows a lease to be good only as far
as its own clock, echoed by the lender, says so: whatever is lost, late, repeated, paused or cut, a
share never counts at two pools at a time, so all pools together give no more than the limit, as
long as no box counts fewer boxes than there are: see ``fleet_size``.
"""

from __future__ import annotations

from collections.abc import Mapping
from dataclasses import dataclass, field
from typing import Protocol

from croftchute.systems.usage_bucket import LimitTerms, UsageBucket
from croftchute.tables.allowances import UsageGrant, UsageReturn, UsageWant
from croftchute.tables.organisations import UsageLimit

LEASE_S = 1.0
"""Seconds for which a share is lent: three times between two askings, so that one may be lost and
answers take 0.3 s. For as long nothing is lent after a start, or after the end of a pool."""

RECOUNT_INTERVAL_S = 0.02
"""Seconds between two looks at all leases, which end this much earlier for it."""

NO_SHARE_WAIT_S = 0.5
"""Seconds to come back in where a pool has no shares at the moment: half a lease, and a round."""


class HasLimit(Protocol):
    """An organisation, or a worker that names a limit."""

    @property
    def limit(self) -> UsageLimit | None:
        """What it may use, or takes, over all boxes; None for any amount."""
        ...


@dataclass(kw_only=True, slots=True)
class _Lender:
    """A share that is lent, and up to when what it brings in was counted; the pool's clock."""

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
    _saved_seconds: float = 0.0
    _starts: float = 0.0
    _saved_starts: float = 0.0
    _live_share: float = 0.0
    _settled_at: float = 0.0

    def lend(
        self, box: str, share: float, *, echo: float, now: float, is_first: bool = False
    ) -> None:
        """Take in a lease; ``echo`` is the time of this pool that the lender heard last.

        A share without an echo counts from the lender's next message on. ``is_first`` says that the
        lender's present life lends it for the first time.
        """
        self._recount(now)
        lender = self.lenders_by_box.get(box)
        if lender is not None:
            self._count(lender, now)
        if share <= 0.0 or not now - LEASE_S < echo <= now:
            return
        expires_at = echo + LEASE_S - RECOUNT_INTERVAL_S
        if lender is None:
            lender = _Lender(share=share, counted_to=now, expires_at=expires_at)
            self.lenders_by_box[box] = lender
            if is_first:
                self._starts += share
                self._saved_starts += share
        lender.share = share
        lender.expires_at = max(lender.expires_at, expires_at)
        self._live_share = self.live_share(now)

    def live_share(self, now: float) -> float:
        """The part of all limits that this pool gives out at the moment; 1 is the whole."""
        return sum(
            lender.share for lender in self.lenders_by_box.values() if lender.expires_at > now
        )

    def grant(self, want: UsageWant, known: Mapping[str, HasLimit], now: float) -> UsageGrant:
        """Give what a request needs, or say when to ask again."""
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
        """Put units back; the next filling bounds them by the capacity."""
        bucket = self.buckets_by_name.get(returned.name)
        if bucket is not None:
            bucket.level += returned.units

    def sweep(self, known: Mapping[str, HasLimit], now: float) -> None:
        """Forget lenders whose lease is long over, and buckets that are as full as unused ones."""
        self._recount(now)
        for box, lender in list(self.lenders_by_box.items()):
            if now - lender.expires_at > LEASE_S:
                del self.lenders_by_box[box]
        for name, bucket in list(self.buckets_by_name.items()):
            limited = known.get(name)
            limit = limited.limit if limited is not None else None
            if limit is None or self._is_as_unused(bucket, limit):
                del self.buckets_by_name[name]

    def _is_as_unused(self, bucket: UsageBucket, limit: UsageLimit) -> bool:
        capacity = self.terms.capacity(limit) * min(1.0, self._live_share)
        self._fill(bucket, limit, capacity)
        return bucket.level >= self._saved_up(limit, capacity) > 0.0

    def _bucket(self, name: str, limit: UsageLimit, capacity: float) -> UsageBucket:
        """The bucket of a limit; one that was not used has saved since the pool began."""
        bucket = self.buckets_by_name.get(name)
        if bucket is None:
            bucket = UsageBucket(
                level=self._saved_up(limit, capacity),
                filled_to=self._share_seconds,
                starts=self._starts,
            )
            self.buckets_by_name[name] = bucket
        self._fill(bucket, limit, capacity)
        return bucket

    def _saved_up(self, limit: UsageLimit, capacity: float) -> float:
        """What is there of a limit of which nothing was used since the pool began."""
        started = self.terms.start_credit(limit) * self._saved_starts
        return min(capacity, limit.rate_per_s * self._saved_seconds + started)

    def _fill(self, bucket: UsageBucket, limit: UsageLimit, capacity: float) -> None:
        """Add what the lent shares have brought in since the last time."""
        extra = self.terms.start_credit(limit) * (self._starts - bucket.starts)
        bucket.starts = self._starts
        bucket.fill(self._share_seconds, limit=limit, capacity=capacity, extra=extra)

    def _wait_s(self, missing: float, limit: UsageLimit) -> float:
        """When so many units more will have come."""
        pace = limit.rate_per_s * min(1.0, self._live_share)
        return NO_SHARE_WAIT_S if pace <= 0.0 else max(0.0, missing) / pace

    def _count(self, lender: _Lender, now: float) -> None:
        """Count what a share brought in while its lease was good."""
        until = min(now, lender.expires_at)
        # Boxes that know few others lend too much each; together they still lend one limit.
        share = lender.share / max(1.0, self._live_share)
        seconds = share * max(0.0, until - lender.counted_to)
        lender.counted_to = max(lender.counted_to, now)
        self._share_seconds += seconds
        self._saved_seconds += seconds

    def _recount(self, now: float) -> None:
        """Let go of what was saved up by shares that are not lent here any more."""
        if now - self._settled_at < RECOUNT_INTERVAL_S:
            return
        self._settled_at = now
        for lender in self.lenders_by_box.values():
            self._count(lender, now)
        live = self.live_share(now)
        if live < self._live_share:
            kept = live / self._live_share
            self._saved_seconds *= kept
            self._saved_starts *= kept
            for bucket in self.buckets_by_name.values():
                bucket.level = min(bucket.level, bucket.level * kept)
        self._live_share = live


def _limit_of(want: UsageWant, known: Mapping[str, HasLimit]) -> UsageLimit | None:
    """The limit as this box knows it, or as the asker does where it is not known here."""
    limited = known.get(want.name)
    return want.limit if limited is None else limited.limit
