"""Which worker would be done first with one more request, where workers tell their pace.

The predicted end is in seconds from now: the wait for what is ahead, the work itself, and what is
held against the worker. Of plain and decode workers one is drawn at random, the sooner ones more
often: all boxes decide by the same news, some hundred ms old, and would else choose the same one.
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
    """What a worker is chosen by; ``auto`` is by end where workers tell their pace."""

    AUTO = "auto"
    BY_COST = "by_cost"
    BY_END = "by_end"


OTHER_HALL_PENALTY_S = 0.01
"""Seconds added for a worker in another hall: some round trips between halls."""

OVERDUE_MULTIPLE = 3.0
"""Usual times after which an open plain call is overdue: slow workers mostly answer within them."""

DRAW_EXPONENT = 3.0
"""Power of 1 / predicted end by which a worker is drawn: at twice the time an eighth as often, and
still often enough that a worker which is quick again is found."""

MAX_SHARE_OVER_SPEED = 2.0
"""Most that a worker's pace has it drawn, over its share by speed. The cube alone gives one quick
worker among many slow ones three times that, and more once it slows down."""

MIN_WORK_S = 1e-6
"""Least seconds that work is taken to need: keeps the weights finite."""

SUSPECT_FAILURE_COST = 0.1
"""Failure cost in full workers from which a worker is drawn only if its end is the soonest: one
failure of this box counts so for 6.6 s."""

PREFILL_CANDIDATES = 3
"""Prefill workers compared for one prompt: more find hardly better ones, and cost a probe each."""

DEFAULT_STREAM_S = 2.0
"""Seconds that a stream is taken to last until one has ended."""


@dataclass(frozen=True, kw_only=True, slots=True)
class UsualTimes:
    """What is usual at the workers of a service, in seconds at pace 1; 0 if it is not known.

    ``answer_s`` is for a plain answer, ``stream_s`` for a stream, ``token_gap_s`` between two parts
    of one, ``prompt_s`` for a mean prompt, ``full_queue_s`` for the prompts that count as a full
    prefill worker. ``at`` is when they were worked out.
    """

    answer_s: float = 0.0
    stream_s: float = 0.0
    token_gap_s: float = 0.0
    prompt_s: float = 0.0
    full_queue_s: float = 0.0
    at: float = 0.0


def failure_cost(tracked: TrackedWorker, context: ChoiceContext, now: float) -> float:
    """What is held against a worker here and at peers, in full workers as in choices by cost."""
    peer_failures = min(MAX_PEER_FAILURES, context.peers.failures(tracked.worker.id, now))
    return FAILURE_COST * tracked.failure_score(now) + PEER_FAILURE_COST * peer_failures


def is_suspect(tracked: TrackedWorker, context: ChoiceContext, now: float) -> bool:
    """Whether enough is held against a worker that others are tried first."""
    return failure_cost(tracked, context, now) >= SUSPECT_FAILURE_COST


def predict_plain_end(
    tracked: TrackedWorker,
    *,
    usual_s: float,
    context: ChoiceContext,
    pace: PaceEstimate,
    now: float,
) -> PredictedEnd:
    """The end of a request at a plain worker; ``usual_s`` is the usual time of an answer."""
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
    """The end of a stream at a decode worker.

    What is open there counts as a wait, in full workers of a usual stream each: an engine that is
    likely full refuses the hold, and a request asks several for one.
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
    """The end of a prompt at a prefill worker.

    The prompts there are those that the worker told just now, and this box's own. Where it told
    nothing lately, what calls waited counts if it is more: ``reported_wait_s``, here and at peers.
    """
    own = len(tracked.queue.open_calls_by_request)
    prompts = own + tracked.other_boxes_running(now)
    wait_s = prompts * usual.prompt_s * pace.factor
    if now - tracked.load_at > LOAD_TTL_S:
        wait_s = max(wait_s, reported_wait_s, tracked.queue.decayed_observed_wait_s(now))
    work_s = timing.prefill_s(prompt_tokens)
    failed_s = max(work_s, usual.prompt_s, usual.full_queue_s)
    return PredictedEnd(
        wait_s=wait_s,
        work_s=work_s * pace.factor,
        overdue_s=tracked.queue.overdue_s(timing=timing, now=now),
        hall_penalty_s=_hall_penalty_s(tracked, context),
        failure_penalty_s=failed_s * failure_cost(tracked, context, now),
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
    """Some different candidates at random, in proportion to their speeds by worker id.

    Each gets a random key whose order is that of draws without replacement (Efraimidis and
    Spirakis 2006).
    """
    keyed = [(rng.expovariate(speeds[b.worker.id]), n, b) for n, b in enumerate(candidates)]
    return [tracked for _, _, tracked in sorted(keyed, key=lambda entry: entry[:2])[:count]]


def exclude_suspects(
    candidates: Sequence[TrackedWorker], *, context: ChoiceContext, now: float, least: int
) -> list[TrackedWorker]:
    """Candidates against which little is held; all of them if fewer than ``least`` are left."""
    trusted = [b for b in candidates if not is_suspect(b, context, now)]
    return trusted if len(trusted) >= least else list(candidates)


def earliest_end(ends: Mapping[str, PredictedEnd]) -> str:
    """The worker with the smallest predicted end; of equal ones the first.

    >>> earliest_end({"a": PredictedEnd(wait_s=1, work_s=1), "b": PredictedEnd(wait_s=0, work_s=1)})
    'b'
    """
    return min(ends, key=lambda worker_id: ends[worker_id].total_s)


def draw_by_end(ends: Mapping[str, PredictedEnd], suspects: set[str], rng: random.Random) -> str:
    """One worker at random, the sooner ones more often.

    A doubtful one takes part only if its end is the soonest, the failures included: where nothing
    is held against others it gets nothing, as in choices by cost.
    """
    soonest = earliest_end(ends)
    left = [w for w in ends if w not in suspects or w == soonest]
    return rng.choices(left, weights=draw_weights([ends[w] for w in left]))[0]


def draw_weights(ends: Sequence[PredictedEnd]) -> list[float]:
    """The parts of all draws that workers get; they add up to 1.

    The pace is news that all boxes share, so what it gives a worker is held to a multiple of its
    share by speed. Waits, overdue calls and failures only take from a worker.

    >>> ends = [PredictedEnd(wait_s=wait_s, work_s=1) for wait_s in (0, 1)]
    >>> [round(weight, 3) for weight in draw_weights(ends)]
    [0.889, 0.111]
    """
    works = [max(MIN_WORK_S, end.work_s) for end in ends]
    speeds = _normalized([1.0 / work_s for work_s in works])
    by_work = _normalized([speed**DRAW_EXPONENT for speed in speeds])
    by_work = _capped(by_work, [MAX_SHARE_OVER_SPEED * speed for speed in speeds])
    return _normalized(
        [
            part * (work_s / max(work_s, end.total_s)) ** DRAW_EXPONENT
            for part, work_s, end in zip(by_work, works, ends, strict=True)
        ]
    )


def _normalized(weights: Sequence[float]) -> list[float]:
    total = sum(weights)
    return [weight / total for weight in weights]


def _capped(parts: Sequence[float], limits: Sequence[float]) -> list[float]:
    """Parts of 1 of which none is over its limit: what is cut off goes to the others.

    The limits add up to more than 1.
    """
    capped: set[int] = set()
    while True:
        left = 1.0 - sum(limits[n] for n in capped)
        free = sum(part for n, part in enumerate(parts) if n not in capped)
        shares = [limits[n] if n in capped else left * part / free for n, part in enumerate(parts)]
        over = {n for n, part in enumerate(shares) if n not in capped and part > limits[n]}
        if not over:
            return shares
        capped |= over
