"""Whether an organisation may use something more: the ways to decide it, and the naive one."""

from __future__ import annotations

from dataclasses import dataclass
from enum import StrEnum
from typing import Protocol

from croftchute.forwarding.state import ForwardingState
from croftchute.systems.allowance_pool import LEASE_S, NO_SHARE_WAIT_S
from croftchute.systems.fleet_size import FleetSize
from croftchute.systems.usage_bucket import LimitTerms, UsageBucket
from croftchute.tables.organisations import Organisation, UsageLimit


class AllowanceOutcome(StrEnum):
    """What came of asking for units."""

    GRANTED = "granted"
    DENIED = "denied"
    UNKNOWN = "unknown"


@dataclass(frozen=True, kw_only=True, slots=True)
class Allowance:
    """Whether a request may run, and what decided it; ``wait_s`` is when to come back if not.

    ``live_share`` is the part of all limits that the pool had at the time.
    """

    outcome: AllowanceOutcome
    wait_s: float = 0.0
    pool: str = ""
    live_share: float = 0.0

    @property
    def is_granted(self) -> bool:
        """Whether the request may run."""
        return self.outcome is AllowanceOutcome.GRANTED


GRANTED = Allowance(outcome=AllowanceOutcome.GRANTED)


class UsageLimits(Protocol):
    """Keeps the limits of organisations over all boxes."""

    async def admit(
        self, organisation: Organisation, units: float, *, patience_s: float
    ) -> Allowance:
        """Take units for a request, or say when to come back.

        ``patience_s`` is how long the request may be held while boxes are still finding a pool.
        """
        ...

    def give_back(self, organisation: str, units: float) -> None:
        """Units taken for a request that did not run."""
        ...


class FixedShares:
    """Each box keeps to its own share. Nothing is said between boxes, little of it fits."""

    def __init__(self, *, state: ForwardingState, terms: LimitTerms, size: FleetSize) -> None:
        self.state = state
        self.terms = terms
        self.size = size
        self.buckets_by_name: dict[str, UsageBucket] = {}
        self._share_seconds = 0.0
        self._counted_to = state.clock()

    async def admit(
        self, organisation: Organisation, units: float, *, patience_s: float
    ) -> Allowance:
        """Take units out of this box's share; nothing is waited for."""
        limit = organisation.limit
        if limit is None:
            return GRANTED
        share = self._count(self.state.clock())
        capacity = self.terms.capacity(limit) * share
        bucket = self.buckets_by_name.setdefault(
            organisation.name, UsageBucket(level=0.0, filled_to=0.0)
        )
        bucket.fill(self._share_seconds, limit=limit, capacity=capacity)
        if bucket.take(units, extra=0.0, capacity=capacity):
            return GRANTED
        wait_s = self._wait_s(bucket, limit, min(units, capacity), share)
        return Allowance(outcome=AllowanceOutcome.DENIED, wait_s=wait_s, pool=self.state.box)

    def give_back(self, organisation: str, units: float) -> None:
        """The next filling bounds what is put back by the capacity."""
        bucket = self.buckets_by_name.get(organisation)
        if bucket is not None:
            bucket.level += units

    def _wait_s(self, bucket: UsageBucket, limit: UsageLimit, wanted: float, share: float) -> float:
        if share <= 0.0:
            return NO_SHARE_WAIT_S
        return max(0.0, wanted - bucket.level) / (limit.rate_per_s * share)

    def _count(self, now: float) -> float:
        """Count this box's share up to now; none in its first seconds, as it may be a new life."""
        begin = max(self._counted_to, self.state.begun_at + LEASE_S)
        share = self.size.share(self.state.peers.known_boxes)
        self._share_seconds += share * max(0.0, now - begin)
        self._counted_to = now
        return share
