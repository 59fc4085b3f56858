"""Plan stage changes so that a service serves the highest request rate.

The request rate of each split is computed from the averages of recent requests, as reported by all
boxes. The present split stays unless another one raises the rate by at least ``MIN_GAIN``, because
a worker that changes its stage serves nothing for some seconds.
"""

from __future__ import annotations

from collections import Counter, deque
from collections.abc import Sequence
from dataclasses import dataclass, field

from croftchute.systems.prefill_timing import PrefillSample
from croftchute.systems.service_capacity import (
    EngineCapacity,
    RequestAverages,
    StageSplit,
    best_split,
    evaluate_split,
)
from croftchute.systems.tracked_worker import TrackedWorker
from croftchute.tables.routing import Stage, Worker, WorkerState

DEMAND_WINDOW_S = 10.0
"""Window over which requests are averaged. It is long enough for some tens of requests, and
shorter than the time in which the load usually changes."""

MIN_REQUESTS = 8
"""Minimum number of requests to average. It gives the mean prompt length to about 20 %."""

MIN_ENDED_STREAMS = 3
"""Minimum number of ended streams to compute the time per output token from."""

MIN_GAIN = 0.1
"""Relative gain in request rate that justifies a change. It is about the error of the averages.
It also exceeds the share of a minute's requests that is lost while the worker changes."""

MAX_PREFILL_SHARE_CHANGING = 0.5
"""Share of the prefill workers that may change to decode at once (at least one). If more changes
are needed, the next planning round orders them."""

MAX_DECODE_SHARE_CHANGING = 0.1
"""Share of the decode workers that may change to prefill at once (at least one)."""

MAX_PREFILL_SAMPLES = 32
"""Number of recent prefill calls of this box that are kept to fit the prefill timing."""


@dataclass(frozen=True, kw_only=True, slots=True)
class StageChange:
    """A worker that should change its stage, with the reason.

    ``is_urgent`` means that the service serves nothing without the change. It is then ordered
    after the shortest time for which a change must have been needed.
    """

    worker: Worker
    stage: Stage
    reason: str
    is_urgent: bool = False


@dataclass(frozen=True, kw_only=True, slots=True)
class DemandCounts:
    """Sums over the window: requests with their tokens, and ended streams with their duration.

    ``asks`` are requests for decode memory. ``large_asks`` are those that need most of an
    engine; they are included in ``asks``. ``granted`` are the requests that were admitted.
    """

    asks: int = 0
    prompt_tokens: int = 0
    output_tokens: int = 0
    ended: int = 0
    ended_tokens: int = 0
    ended_s: float = 0.0
    large_asks: int = 0
    large_tokens: int = 0
    granted: int = 0
    large_granted: int = 0

    def __add__(self, other: DemandCounts) -> DemandCounts:
        return DemandCounts(
            asks=self.asks + other.asks,
            prompt_tokens=self.prompt_tokens + other.prompt_tokens,
            output_tokens=self.output_tokens + other.output_tokens,
            ended=self.ended + other.ended,
            ended_tokens=self.ended_tokens + other.ended_tokens,
            ended_s=self.ended_s + other.ended_s,
            large_asks=self.large_asks + other.large_asks,
            large_tokens=self.large_tokens + other.large_tokens,
            granted=self.granted + other.granted,
            large_granted=self.large_granted + other.large_granted,
        )

    @property
    def averages(self) -> RequestAverages | None:
        """Return the averages; None while there are too few requests or ended streams.

        >>> DemandCounts(asks=2).averages is None
        True
        """
        if self.asks < MIN_REQUESTS or self.ended < MIN_ENDED_STREAMS or self.ended_tokens == 0:
            return None
        return RequestAverages(
            prompt_tokens=self.prompt_tokens / self.asks,
            output_tokens=self.output_tokens / self.asks,
            output_token_s=self.ended_s / self.ended_tokens,
        )


@dataclass(frozen=True, kw_only=True, slots=True)
class _DemandEvent:
    """The counts of one event and its time."""

    at: float
    counts: DemandCounts


@dataclass(kw_only=True)
class RecentDemand:
    """Recent requests to a service, and its latest prefill calls."""

    events: deque[_DemandEvent] = field(default_factory=deque)
    prefills: deque[PrefillSample] = field(
        default_factory=lambda: deque(maxlen=MAX_PREFILL_SAMPLES),
    )

    def note_ask(
        self, now: float, *, prompt_tokens: int, output_tokens: int, is_large: bool = False
    ) -> None:
        """Count a request for decode memory."""
        counts = DemandCounts(
            asks=1,
            prompt_tokens=prompt_tokens,
            output_tokens=output_tokens,
            large_asks=int(is_large),
            large_tokens=prompt_tokens if is_large else 0,
        )
        self._add(now, counts)

    def note_granted(self, now: float, *, is_large: bool) -> None:
        """Count a request that was admitted."""
        self._add(now, DemandCounts(granted=1, large_granted=int(is_large)))

    def note_ended(self, now: float, *, output_tokens: int, seconds: float) -> None:
        """Count a stream that one decode worker ran from its first event to its end."""
        self._add(now, DemandCounts(ended=1, ended_tokens=output_tokens, ended_s=seconds))

    def note_prefill(self, tokens: int, seconds: float) -> None:
        """Record the duration of a prefill call."""
        self.prefills.append(PrefillSample(tokens=tokens, seconds=seconds))

    def counts(self, now: float) -> DemandCounts:
        """Return the sums over the events in the window."""
        self._expire(now)
        return sum((event.counts for event in self.events), DemandCounts())

    def _add(self, now: float, counts: DemandCounts) -> None:
        self.events.append(_DemandEvent(at=now, counts=counts))
        self._expire(now)

    def _expire(self, now: float) -> None:
        while self.events and now - self.events[0].at > DEMAND_WINDOW_S:
            self.events.popleft()


def plan_stage_changes(
    tracked_workers: Sequence[TrackedWorker],
    counts: DemandCounts,
    capacity: EngineCapacity,
    *,
    pending_stages: dict[str, Stage],
) -> list[StageChange]:
    """Return the stage changes that a service needs, given the recent demand at all boxes.

    ``pending_stages`` maps workers with an unfinished order to the stage that counts for them.
    """
    listed = [
        tracked
        for tracked in tracked_workers
        if tracked.gone_at is None and tracked.worker.state is WorkerState.READY
    ]
    by_stage = {
        stage: [
            tracked
            for tracked in listed
            if pending_stages.get(tracked.worker.id, tracked.worker.stage) is stage
        ]
        for stage in Stage
    }
    prefills, decodes = len(by_stage[Stage.PREFILL]), len(by_stage[Stage.DECODE])
    if prefills and not decodes:
        reason = "no decode worker is listed"
        return _choose_changes(by_stage, Stage.DECODE, 1, pending_stages, reason)
    averages = counts.averages
    if averages is None or not decodes:
        return []
    present = evaluate_split(prefills, decodes, averages, capacity)
    best = best_split(prefills + decodes, averages, capacity)
    if best.requests_per_s < (1.0 + MIN_GAIN) * present.requests_per_s:
        return []
    reason = _reason(present, best, averages, capacity)
    if best.prefill_workers < prefills:
        max_count = max(1, int(MAX_PREFILL_SHARE_CHANGING * prefills))
        number = min(max_count, prefills - best.prefill_workers)
        return _choose_changes(by_stage, Stage.DECODE, number, pending_stages, reason)
    max_count = max(1, int(MAX_DECODE_SHARE_CHANGING * decodes))
    number = min(max_count, best.prefill_workers - prefills)
    return _choose_changes(by_stage, Stage.PREFILL, number, pending_stages, reason)


def _choose_changes(
    by_stage: dict[Stage, list[TrackedWorker]],
    stage: Stage,
    number: int,
    pending_stages: dict[str, Stage],
    reason: str,
) -> list[StageChange]:
    """Choose workers of the other stage, to balance decode workers over halls and by low load."""
    other = Stage.PREFILL if stage is Stage.DECODE else Stage.DECODE
    decodes_by_hall = Counter(tracked.worker.zone for tracked in by_stage[Stage.DECODE])
    sign = 1 if stage is Stage.DECODE else -1
    left = [tracked for tracked in by_stage[other] if tracked.worker.id not in pending_stages]
    chosen: list[StageChange] = []
    while left and len(chosen) < number:
        best = min(
            left,
            key=lambda tracked: (sign * decodes_by_hall[tracked.worker.zone], *_load_key(tracked)),
        )
        left.remove(best)
        decodes_by_hall[best.worker.zone] += sign
        chosen.append(StageChange(worker=best.worker, stage=stage, reason=reason))
    return chosen


def _load_key(tracked: TrackedWorker) -> tuple[int, str]:
    return tracked.tokens_in_flight, tracked.worker.id


def _reason(
    present: StageSplit, best: StageSplit, averages: RequestAverages, capacity: EngineCapacity
) -> str:
    return (
        f"{present.prefill_workers}+{present.decode_workers} serve {present.requests_per_s:.1f}/s, "
        f"{best.prefill_workers}+{best.decode_workers} serve {best.requests_per_s:.1f}/s; "
        f"prompts of {averages.prompt_tokens:.0f} tokens at {capacity.prefill_tokens_per_s:.0f}/s, "
        f"streams of {averages.decode_s:.2f} s with {averages.mean_kv_tokens:.0f} tokens"
    )
