"""Calls of workers that name a limit: permitted by the pool that all boxes share."""

from __future__ import annotations

from collections.abc import Mapping
from dataclasses import dataclass

from croftchute.forwarding.boxes.limits import Allowance
from croftchute.forwarding.boxes.shared_rates import RateGroup, SharedRates
from croftchute.forwarding.decision_log import Decision
from croftchute.forwarding.permits import ONE_CALL, PermitRequest
from croftchute.forwarding.state import ForwardingState
from croftchute.systems.usage_bucket import LimitTerms
from croftchute.systems.worker_limits import ReportedLimit
from croftchute.tables.allowances import UsageWant
from croftchute.tables.organisations import UsageLimit
from croftchute.tables.routing import Worker

WORKER_TERMS = LimitTerms(window_s=4.0, overage=0.5, slack=5.0)
"""How strictly the limits of workers are judged: in 4 s half as many calls more, and five."""

MIN_RATE_PER_S = 0.1
"""Calls a second that a worker gets at least: only an answer of its own tells that its limit is
over, and a limit of 0 would never end."""

KEPT_BACK_A_RANK = 1.5
"""Calls that a request leaves for each rank before it: where a limit is used up, the more
urgent requests find one, and a little is to come for the next."""

MOST_KEPT_BACK = 2.5
"""Most calls that are left so: as many as may be saved up of the lowest limits."""

MIN_CLOSED_S = 0.05
"""Shortest time in seconds for which a worker is passed over whose limit is reached."""

UNKNOWN_CLOSED_S = 0.2
"""The same where no pool answered: about as long as it takes to turn to another one."""


@dataclass(frozen=True, kw_only=True, slots=True)
class LimitedWorker:
    """A worker that names a limit."""

    limit: UsageLimit


class WorkerSource:
    """The limits that workers name, as this box and its peers heard them."""

    terms = WORKER_TERMS
    asks_ahead = False
    """Calls that one box has at hand are calls that no other box may make."""

    def __init__(self, *, state: ForwardingState) -> None:
        self.state = state

    def is_in_use(self) -> bool:
        """Whether some worker names a limit."""
        return bool(self.state.workers.limits.in_force(self.state.clock()))

    def known(self) -> Mapping[str, LimitedWorker]:
        """The workers that name one, by life."""
        in_force = self.state.workers.limits.in_force(self.state.clock())
        return {
            worker_id: LimitedWorker(limit=usage_limit(per_s))
            for worker_id, per_s in in_force.items()
        }

    def note_wanted(self, want: UsageWant) -> None:
        """The asking box may have heard of a limit, or of its change, before this one."""
        now = self.state.clock()
        limits = self.state.workers.limits
        limits.note_limit(want.name, want.rate_per_s, now, known_for_s=want.known_for_s)


def usage_limit(per_s: float) -> UsageLimit:
    """The limit of a worker as pools keep it.

    >>> usage_limit(2.5).rate_per_s, usage_limit(0.0).rate_per_s
    (2.5, 0.1)
    """
    return UsageLimit(rate_per_s=max(MIN_RATE_PER_S, per_s), burst=0.0)


class WorkerPermits:
    """Asks the pool before calls of workers that name a limit."""

    def __init__(self, *, rates: SharedRates, group: RateGroup) -> None:
        self.state = rates.state
        self.rates = rates
        self.group = group

    async def acquire(self, worker: Worker, permit_request: PermitRequest = ONE_CALL) -> bool:
        """Whether the calls of a worker may be made now; see :class:`CallPermits`."""
        now = self.state.clock()
        limits = self.state.workers.limits
        named = limits.by_id.get(worker.id)
        if named is None or named.is_over(now):
            return True
        if now < named.blocked_until:
            return False
        want = UsageWant(
            name=worker.id,
            units=float(permit_request.calls),
            rate_per_s=named.per_s,
            known_for_s=now - named.reported_at,
            kept_back=min(MOST_KEPT_BACK, KEPT_BACK_A_RANK * permit_request.rank),
        )
        allowance = await self.rates.take(self.group, want, patience_s=permit_request.max_wait_s)
        if allowance.is_granted:
            return True
        self._close(named, worker, allowance, permit_request)
        return False

    def release(self, worker: Worker, calls: int = 1) -> None:
        """Calls that were not made; a worker without a limit has no use for them."""
        if self.state.workers.limits.limit_of(worker.id, self.state.clock()) is not None:
            self.rates.give_back(self.group, worker.id, float(calls))

    def _close(
        self,
        named: ReportedLimit,
        worker: Worker,
        allowance: Allowance,
        permit_request: PermitRequest,
    ) -> None:
        """Pass the worker over until it takes calls again.

        Its limit may have come to an end, and been forgotten, while the pool was asked.
        """
        now = self.state.clock()
        wait_s = max(MIN_CLOSED_S, allowance.wait_s or UNKNOWN_CLOSED_S)
        named.blocked_until = now + wait_s
        self.state.metrics.permits.inc({"outcome": allowance.outcome.value})
        self.state.log.decide(
            Decision.PERMIT_DENIED,
            request_id=permit_request.request_id,
            outcome=allowance.outcome.value,
            worker=worker.id,
            calls=permit_request.calls,
            rank=permit_request.rank,
            limit_per_s=named.per_s,
            limit_age_s=round(now - named.reported_at, 2),
            pool=allowance.pool,
            live_share=round(allowance.live_share, 3),
            own_share=round(self.rates.size.share(self.state.peers.known_boxes), 4),
            wait_s=round(wait_s, 3),
        )
