"""Choose the worker for a request: the least loaded one without recent failures."""

from __future__ import annotations

import random
from collections.abc import Collection, Sequence
from dataclasses import dataclass, replace
from typing import Protocol

from croftchute.systems.rendezvous import rendezvous_weight
from croftchute.systems.tracked_worker import TrackedWorker
from croftchute.tables.paces import PredictedEnd
from croftchute.tables.routing import Route, Stage

FAILURE_COST = 1.0
"""Cost of one recent failure, in units of a fully loaded worker, so that other workers are tried
first."""

PEER_FAILURE_COST = 0.4
"""Cost of one failure reported by another box. It counts less because the report is older and the
fault may lie in that box's own links."""

MAX_PEER_FAILURES = 4.0
"""Upper bound of the peers' summed failure scores, since many boxes report the same crash."""

TYPICAL_DECODE_TOKENS = 5000
"""Assumed KV cache tokens of another box's request, since peers don't report its size."""

OTHER_HALL_COST = 0.12
"""Extra cost of a worker in another hall: it is chosen only if the workers in the same hall have a
few more requests."""

LATENCY_COST = 0.5
"""Cost of a latency that is twice the median of the candidates; greater latencies cost
proportionally more."""

MAX_CANDIDATES = 12
"""Workers compared for one choice in a large service; comparing more improves the choice little.
With an affinity key, every attempt compares the same workers, so a box that doesn't know of an
earlier attempt still finds the worker that has the prompt cached."""

COST_DIGITS = 2
"""Decimal digits of a cost that are compared; smaller differences are ties, broken at random."""


@dataclass(frozen=True, kw_only=True, slots=True)
class ChoiceRecord:
    """Why a worker was chosen, for the log.

    ``end`` is None if the worker was chosen by cost.
    """

    worker: str
    cost: float
    in_flight: int
    others: float
    failures: float
    age_s: float
    candidates: int
    end: PredictedEnd | None = None


class PeerView(Protocol):
    """What other boxes reported about a worker."""

    def in_flight(self, worker_id: str, now: float) -> int:
        """Return the number of requests that other boxes have open at the worker."""
        ...

    def failures(self, worker_id: str, now: float) -> float:
        """Return the failure scores that other boxes report for the worker."""
        ...


@dataclass(frozen=True, kw_only=True, slots=True)
class ChoiceContext:
    """What a choice depends on besides the workers themselves."""

    zone: str
    peers: PeerView
    kv_tokens: int = 0
    typical_s: float = 0.0


def other_boxes_load(tracked: TrackedWorker, context: ChoiceContext, now: float) -> float:
    """Return the number of requests that other boxes have at a worker.

    Peer reports are a few hundred milliseconds old. They are useful for streams, which last for
    seconds; for short requests they would make all boxes choose the same worker.
    """
    running = tracked.other_boxes_running(now)
    if tracked.worker.stage is Stage.DECODE:
        running = max(running, context.peers.in_flight(tracked.worker.id, now))
    return running


def cost_of(tracked: TrackedWorker, context: ChoiceContext, now: float) -> float:
    """Return the cost of one more request at a worker, in units of a fully loaded worker."""
    worker = tracked.worker
    others_load = other_boxes_load(tracked, context, now)
    cost = (tracked.in_flight + others_load) / max(1, worker.slots)
    if context.kv_tokens > 0:
        cost += tracked.tokens_in_flight / context.kv_tokens
        cost += others_load * TYPICAL_DECODE_TOKENS / context.kv_tokens
    cost += FAILURE_COST * tracked.failure_score(now)
    cost += PEER_FAILURE_COST * min(MAX_PEER_FAILURES, context.peers.failures(worker.id, now))
    zone, typical_s = context.zone, context.typical_s
    if tracked.worker.zone != zone:
        cost += OTHER_HALL_COST
    if typical_s > 0.0 and tracked.latency_s > 0.0:
        cost += LATENCY_COST * max(0.0, tracked.latency_s / typical_s - 1.0)
    return cost


def choose(
    candidates: Sequence[TrackedWorker],
    *,
    context: ChoiceContext,
    avoid: Collection[str],
    now: float,
    rng: random.Random,
    affinity: str = "",
) -> tuple[TrackedWorker, ChoiceRecord] | None:
    """Return the cheapest candidate that is not in ``avoid``; ties are broken at random.

    Of many candidates only some are compared: a random sample, or those that rank first for
    ``affinity``.
    """
    left = [tracked for tracked in candidates if tracked.worker.id not in avoid]
    if not left:
        return None
    if len(left) > MAX_CANDIDATES:
        left = (
            rank_by_affinity(left, affinity)[:MAX_CANDIDATES]
            if affinity
            else rng.sample(left, MAX_CANDIDATES)
        )
    latencies = sorted(tracked.latency_s for tracked in left if tracked.latency_s > 0.0)
    typical_s = latencies[len(latencies) // 2] if latencies else 0.0
    context = replace(context, typical_s=typical_s)
    costs = [
        (
            round(cost_of(tracked, context, now), COST_DIGITS),
            rng.random(),
            tracked,
        )
        for tracked in left
    ]
    _, _, best = min(costs, key=lambda entry: entry[:2])
    return best, describe_choice(best, context, now, candidates=len(left))


def rank_by_affinity(candidates: Sequence[TrackedWorker], affinity: str) -> list[TrackedWorker]:
    """Return the workers ordered by rendezvous hash of a key, in the same order on all boxes."""
    return sorted(
        candidates, key=lambda tracked: rendezvous_weight(affinity, tracked.worker.id), reverse=True
    )


def describe_choice(
    tracked: TrackedWorker, context: ChoiceContext, now: float, *, candidates: int
) -> ChoiceRecord:
    """Return the record of a chosen worker for the log."""
    return ChoiceRecord(
        worker=tracked.worker.id,
        cost=round(cost_of(tracked, context, now), 3),
        in_flight=tracked.in_flight,
        others=other_boxes_load(tracked, context, now),
        failures=round(tracked.failure_score(now), 3),
        age_s=round(now - tracked.listed_at, 3),
        candidates=candidates,
    )


def pick_service(route: Route, rng: random.Random) -> str:
    """Return one of the route's services, chosen at random by weight.

    >>> from croftchute.tables.routing import RouteKind, WeightedService
    >>> one = Route(name="r", host="h", prefix="/", kind=RouteKind.ONCE, timeout_s=1,
    ...             target_s=1, targets=(WeightedService(service="a", weight=1),))
    >>> pick_service(one, random.Random(1))
    'a'
    """
    weights = [target.weight for target in route.targets]
    return rng.choices(route.targets, weights=weights)[0].service
