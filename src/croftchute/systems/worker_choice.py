"""Which worker takes a request: the least loaded of those that did not fail lately."""

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
"""Cost of one failure held against a worker, in full workers: others are tried first."""

PEER_FAILURE_COST = 0.4
"""The same of one that another box told of: its news are older, and may be of its own links."""

MAX_PEER_FAILURES = 4.0
"""Most failures of peers that count: many boxes see the same crash."""

TYPICAL_DECODE_TOKENS = 5000
"""Decode tokens that a request of another box is taken to hold: its size is not told."""

OTHER_HALL_COST = 0.12
"""Cost of a worker in another hall: as much as a few requests at one nearby."""

LATENCY_COST = 0.5
"""Cost of taking twice as long as workers usually do."""

MAX_CANDIDATES = 12
"""Workers looked at for one choice in a large service: more find hardly better ones. With an
affinity they are the same ones for each try, so that a box that knows nothing of an earlier try
finds the worker that keeps its prompt."""

COST_DIGITS = 2
"""Digits of a cost that decide: smaller differences are ties, broken at random."""


@dataclass(frozen=True, kw_only=True, slots=True)
class ChoiceRecord:
    """Why one worker was chosen; goes to the log. ``end`` is None if it was chosen by cost."""

    worker: str
    cost: float
    in_flight: int
    others: float
    failures: float
    age_s: float
    candidates: int
    end: PredictedEnd | None = None


class PeerView(Protocol):
    """What other boxes told of a worker."""

    def in_flight(self, worker_id: str, now: float) -> int:
        """What they have open there."""
        ...

    def failures(self, worker_id: str, now: float) -> float:
        """What they hold against it."""
        ...


@dataclass(frozen=True, kw_only=True, slots=True)
class ChoiceContext:
    """What a choice is made by, besides the workers themselves."""

    zone: str
    peers: PeerView
    kv_tokens: int = 0
    typical_s: float = 0.0


def other_boxes_load(tracked: TrackedWorker, context: ChoiceContext, now: float) -> float:
    """Requests of other boxes at a worker.

    What peers told is some hundred milliseconds old: it says something of streams, which last for
    seconds; for short work it would send all boxes to the same worker.
    """
    running = tracked.other_boxes_running(now)
    if tracked.worker.stage is Stage.DECODE:
        running = max(running, context.peers.in_flight(tracked.worker.id, now))
    return running


def cost_of(tracked: TrackedWorker, context: ChoiceContext, now: float) -> float:
    """The cost of giving a worker one more request, in units of a full worker."""
    worker = tracked.worker
    elsewhere = other_boxes_load(tracked, context, now)
    cost = (tracked.in_flight + elsewhere) / max(1, worker.slots)
    if context.kv_tokens > 0:
        cost += tracked.tokens_in_flight / context.kv_tokens
        cost += elsewhere * TYPICAL_DECODE_TOKENS / context.kv_tokens
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
    """The cheapest candidate that is not to be avoided; ties are broken at random.

    Of many candidates some are looked at: any, or those that ``affinity`` names.
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
    """Workers in the order in which a text prefers them, alike at all boxes (rendezvous hash)."""
    return sorted(
        candidates, key=lambda tracked: rendezvous_weight(affinity, tracked.worker.id), reverse=True
    )


def describe_choice(
    tracked: TrackedWorker, context: ChoiceContext, now: float, *, candidates: int
) -> ChoiceRecord:
    """What is known of a chosen worker, for the log."""
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
    """One of the route's services, by weight.

    >>> from croftchute.tables.routing import RouteKind, WeightedService
    >>> one = Route(name="r", host="h", prefix="/", kind=RouteKind.ONCE, timeout_s=1,
    ...             target_s=1, targets=(WeightedService(service="a", weight=1),))
    >>> pick_service(one, random.Random(1))
    'a'
    """
    weights = [target.weight for target in route.targets]
    return rng.choices(route.targets, weights=weights)[0].service
