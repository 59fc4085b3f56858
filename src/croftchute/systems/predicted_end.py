"""Choose the worker that would complete one more request first, where workers report their pace.

The predicted end is in seconds from now: the wait, the work itself, and penalties. A plain or
decode worker is drawn at random, and one with an earlier end is more likely. All boxes decide by
the same reports, which are a few hundred ms old, so that always choosing the earliest end would
make all boxes choose the same worker.
"""

from __future__ import annotations

import random
from collections.abc import Mapping, Sequence
from dataclasses import dataclass
from enum import StrEnum

from croftchute.systems.prefill_timing import PrefillTiming
from croftchute.systems.tracked_worker import LOAD_TTL_S, TrackedWorker
from croftchute.systems.worker_choice import (
    FAILURE_COST,
    MAX_PEER_FAILURES,
    PEER_FAILURE_COST,
    TYPICAL_DECODE_TOKENS,
    ChoiceContext,
    other_boxes_load,
)
from croftchute.tables.paces import PaceEstimate, PredictedEnd


class PlacementMode(StrEnum):
    """How a worker is chosen.

    ``auto`` chooses by predicted end if workers of the service report their pace, and by cost
    otherwise.
    """

    AUTO = "auto"
    BY_COST = "by_cost"
    BY_END = "by_end"


OTHER_HALL_PENALTY_S = 0.01
"""Time added for a worker in another hall: a few network round trips between halls."""

OVERDUE_MULTIPLE = 3.0
"""Multiple of the usual response time after which an unanswered plain call counts as overdue. Most
slow workers still respond within it."""

DRAW_EXPONENT = 3.0
"""The probability of drawing a worker is proportional to (1 / predicted end) to this power. A
worker with twice the time is drawn an eighth as often, still often enough to notice its
recovery."""

MAX_SHARE_OVER_SPEED = 2.0
"""Limit on the share of draws that a worker gets because of its pace, as a multiple of its share of
the total speed. Without the limit, one fast worker among many slow ones would get three times its
share of the total speed, and more once it slows down."""

MIN_WORK_S = 1e-6
"""Lower limit on the predicted work time, so that no weight is a division by zero."""

SUSPECT_FAILURE_COST = 0.1
"""Failure cost, in full workers, from which a worker is drawn only if its end is the earliest.
The cost of a single failure at this box stays above this for 6.6 s."""

PREFILL_CANDIDATES = 3
"""Number of prefill workers that are compared for one prompt. More would hardly improve the choice,
and each costs a probe."""

DEFAULT_STREAM_S = 2.0
"""Stream duration that is assumed until the first stream of the service has ended."""


@dataclass(frozen=True, kw_only=True, slots=True)
class UsualTimes:
    """Usual times at the workers of a service, in seconds at pace 1; 0 if unknown.

    ``answer_s`` is for a plain response, ``stream_s`` for a stream, ``token_gap_s`` for the gap
    between two parts of a stream, ``prompt_s`` for a prompt of mean length, and ``full_queue_s``
    for the prompts that count as a full prefill worker. ``at`` is the time of the calculation.
    """

    answer_s: float = 0.0
    stream_s: float = 0.0
    token_gap_s: float = 0.0
    prompt_s: float = 0.0
    full_queue_s: float = 0.0
    at: float = 0.0


def failure_cost(tracked: TrackedWorker, context: ChoiceContext, now: float) -> float:
    """Return the cost of recent failures here and at peers, in full workers."""
    peer_failures = min(MAX_PEER_FAILURES, context.peers.failures(tracked.worker.id, now))
    return FAILURE_COST * tracked.failure_score(now) + PEER_FAILURE_COST * peer_failures


def is_suspect(tracked: TrackedWorker, context: ChoiceContext, now: float) -> bool:
    """Return whether the failure cost of a worker is at least ``SUSPECT_FAILURE_COST``."""
    return failure_cost(tracked, context, now) >= SUSPECT_FAILURE_COST


def predict_plain_end(
    tracked: TrackedWorker,
    *,
    usual_s: float,
    context: ChoiceContext,
    pace: PaceEstimate,
    now: float,
) -> PredictedEnd:
    """Predict the end of a request at a plain worker, given the usual time of a response."""
    slots = max(1, tracked.worker.slots)
    in_flight = tracked.in_flight + other_boxes_load(tracked, context, now)
    ahead = max(0.0, in_flight + 1 - slots)
    return PredictedEnd(
        wait_s=ahead * usual_s / slots * pace.factor,
        work_s=usual_s * pace.factor,
        overdue_s=max(0.0, tracked.oldest_call_age_s(now) - OVERDUE_MULTIPLE * usual_s),
        hall_penalty_s=_hall_penalty_s(tracked, context),
        failure_penalty_s=usual_s * failure_cost(tracked, context, now),
        pace=pace.factor,
        pace_source=pace.source,
        pace_age_s=pace.age_s,
    )


def predict_decode_end(
    tracked: TrackedWorker,
    *,
    usual: UsualTimes,
    target_s: float,
    target_gap_s: float,
    context: ChoiceContext,
    pace: PaceEstimate,
    now: float,
) -> PredictedEnd:
    """Predict the end of a stream at a decode worker.

    Open streams and held tokens count as a wait: all slots taken, or all tokens held, is one usual
    stream duration. A full engine probably refuses to hold memory for the request, which then has
    to ask another engine.
    """
    stream_s = usual.stream_s or DEFAULT_STREAM_S
    peer_in_flight = other_boxes_load(tracked, context, now)
    load = (tracked.in_flight + peer_in_flight) / max(1, tracked.worker.slots)
    if context.kv_tokens > 0:
        load += (
            tracked.tokens_in_flight + peer_in_flight * TYPICAL_DECODE_TOKENS
        ) / context.kv_tokens
    is_gap_too_long = 0.0 < target_gap_s < usual.token_gap_s * pace.factor
    return PredictedEnd(
        wait_s=load * stream_s * pace.factor,
        work_s=stream_s * pace.factor,
        gap_penalty_s=target_s if is_gap_too_long else 0.0,
        hall_penalty_s=_hall_penalty_s(tracked, context),
        failure_penalty_s=stream_s * failure_cost(tracked, context, now),
        pace=pace.factor,
        pace_source=pace.source,
        pace_age_s=pace.age_s,
    )


def predict_prefill_end(
    tracked: TrackedWorker,
    *,
    prompt_tokens: int,
    usual: UsualTimes,
    timing: PrefillTiming,
    reported_wait_s: float,
    context: ChoiceContext,
    pace: PaceEstimate,
    now: float,
) -> PredictedEnd:
    """Predict the end of a prompt at a prefill worker.

    The wait is for the open prompts of this box and those of other boxes by the latest load report
    of the worker. Without a recent report, it is at least the decayed wait observed at this
    box, and at least ``reported_wait_s`` from peers.
    """
    own_prompts = len(tracked.queue.open_calls_by_request)
    prompts = own_prompts + tracked.other_boxes_running(now)
    wait_s = prompts * usual.prompt_s * pace.factor
    if now - tracked.load_at > LOAD_TTL_S:
        wait_s = max(wait_s, reported_wait_s, tracked.queue.decayed_observed_wait_s(now))
    work_s = timing.prefill_s(prompt_tokens)
    full_worker_s = max(work_s, usual.prompt_s, usual.full_queue_s)
    return PredictedEnd(
        wait_s=wait_s,
        work_s=work_s * pace.factor,
        overdue_s=tracked.queue.overdue_s(timing=timing, now=now),
        hall_penalty_s=_hall_penalty_s(tracked, context),
        failure_penalty_s=full_worker_s * failure_cost(tracked, context, now),
        pace=pace.factor,
        pace_source=pace.source,
        pace_age_s=pace.age_s,
    )


def _hall_penalty_s(tracked: TrackedWorker, context: ChoiceContext) -> float:
    return OTHER_HALL_PENALTY_S if tracked.worker.zone != context.zone else 0.0


def sample_by_speed(
    candidates: Sequence[TrackedWorker],
    *,
    speeds: Mapping[str, float],
    count: int,
    rng: random.Random,
) -> list[TrackedWorker]:
    """Draw up to ``count`` candidates without replacement, weighted by ``speeds`` (by worker id).

    Each candidate gets an exponentially distributed key with its speed as the rate. The candidates
    with the smallest keys are a weighted sample (Efraimidis and Spirakis 2006).
    """
    keyed = [
        (rng.expovariate(speeds[tracked.worker.id]), n, tracked)
        for n, tracked in enumerate(candidates)
    ]
    return [tracked for _, _, tracked in sorted(keyed, key=lambda entry: entry[:2])[:count]]


def exclude_suspects(
    candidates: Sequence[TrackedWorker], *, context: ChoiceContext, now: float, min_count: int
) -> list[TrackedWorker]:
    """Return the candidates that are not suspect, or all if fewer than ``min_count`` are left."""
    trusted = [tracked for tracked in candidates if not is_suspect(tracked, context, now)]
    return trusted if len(trusted) >= min_count else list(candidates)


def earliest_end(ends: Mapping[str, PredictedEnd]) -> str:
    """Return the worker with the earliest predicted end; the first of equal ones.

    >>> earliest_end({"a": PredictedEnd(wait_s=1, work_s=1), "b": PredictedEnd(wait_s=0, work_s=1)})
    'b'
    """
    return min(ends, key=lambda worker_id: ends[worker_id].total_s)


def draw_by_end(ends: Mapping[str, PredictedEnd], suspects: set[str], rng: random.Random) -> str:
    """Draw one worker at random; an earlier end makes a worker more likely.

    A suspect worker is a candidate only if its end is the earliest, including its failure penalty.
    As in choices by cost, it gets no requests while workers without failures are available.
    """
    earliest = earliest_end(ends)
    remaining = [w for w in ends if w not in suspects or w == earliest]
    return rng.choices(remaining, weights=draw_weights([ends[w] for w in remaining]))[0]


def draw_weights(ends: Sequence[PredictedEnd]) -> list[float]:
    """Return the share of draws of each worker; the shares add up to 1.

    All boxes know the same paces, so the share that a worker gets because of its pace is limited to
    ``MAX_SHARE_OVER_SPEED`` times its share of the total speed. Waits, overdue calls and failures
    reduce the weight of a worker relative to the others.

    >>> ends = [PredictedEnd(wait_s=wait_s, work_s=1) for wait_s in (0, 1)]
    >>> [round(weight, 3) for weight in draw_weights(ends)]
    [0.889, 0.111]
    """
    work_times_s = [max(MIN_WORK_S, end.work_s) for end in ends]
    speeds = _normalized([1.0 / work_s for work_s in work_times_s])
    shares = _normalized([speed**DRAW_EXPONENT for speed in speeds])
    shares = _capped(shares, [MAX_SHARE_OVER_SPEED * speed for speed in speeds])
    return _normalized(
        [
            share * (work_s / max(work_s, end.total_s)) ** DRAW_EXPONENT
            for share, work_s, end in zip(shares, work_times_s, ends, strict=True)
        ]
    )


def _normalized(weights: Sequence[float]) -> list[float]:
    total = sum(weights)
    return [weight / total for weight in weights]


def _capped(shares: Sequence[float], limits: Sequence[float]) -> list[float]:
    """Limit each share, and distribute the excess over the other shares in proportion to them.

    The limits must add up to more than 1.
    """
    capped: set[int] = set()
    while True:
        remaining = 1.0 - sum(limits[n] for n in capped)
        uncapped_total = sum(share for n, share in enumerate(shares) if n not in capped)
        result = [
            limits[n] if n in capped else remaining * share / uncapped_total
            for n, share in enumerate(shares)
        ]
        over_limit = {n for n, share in enumerate(result) if n not in capped and share > limits[n]}
        if not over_limit:
            return result
        capped |= over_limit
