"""Which engines of a service should change their stage, so that the service can serve the most.

The averages of what was asked lately, told by all boxes, go into the capacity model; the present
split is left alone unless another one serves clearly more, since a worker that changes its stage
serves nobody for some seconds.
"""

from __future__ import annotations

from collections import Counter, deque
from collections.abc import Sequence
from dataclasses import dataclass, field

from croftchute.systems.prefill_pace import PrefillSample
from croftchute.systems.service_capacity import (
    EnginePower,
    RequestMix,
    Split,
    best_split,
    split_of,
)
from croftchute.systems.tracked_worker import TrackedWorker
from croftchute.tables.routing import Stage, Worker, WorkerState

WINDOW_S = 10.0
"""Seconds over which asks are averaged: some tens of them, and younger than a shift of the load."""

MIN_ASKS = 8
"""Fewest asks to average: their mean prompt is then known to about a fifth."""

MIN_ENDED = 3
"""Fewest ended streams to learn the time of an output token from."""

MIN_GAIN = 0.1
"""Share by which another split must serve more: about the error of the averages, and more than
one worker's absence of some seconds costs within a minute."""

MAX_SHARE_TO_DECODE = 0.5
"""Share of the prefill workers that may be changed at once; what is short then shows next time."""

MAX_SHARE_TO_PREFILL = 0.1
"""Share of the decode workers that may be taken from their streams at once (at least one)."""

KEPT_PREFILLS = 32
"""Latest prefill calls of this box that are kept to learn the pace from."""


@dataclass(frozen=True, kw_only=True, slots=True)
class StageChange:
    """A worker that should change its stage, and why.

    ``is_urgent``: nothing is served without it, so that it is not waited whether the need lasts.
    """

    worker: Worker
    stage: Stage
    reason: str
    is_urgent: bool = False


@dataclass(frozen=True, kw_only=True, slots=True)
class DemandCounts:
    """Sums over the window: asks with their tokens, and streams that ended with their time.

    Large asks, which need most of an engine, count in both ways; ``granted`` are those that got
    room.
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
    def mix(self) -> RequestMix | None:
        """The averages; None while there is too little to go by.

        >>> DemandCounts(asks=2).mix is None
        True
        """
        if self.asks < MIN_ASKS or self.ended < MIN_ENDED or self.ended_tokens == 0:
            return None
        return RequestMix(
            prompt_tokens=self.prompt_tokens / self.asks,
            output_tokens=self.output_tokens / self.asks,
            token_s=self.ended_s / self.ended_tokens,
        )


@dataclass(frozen=True, kw_only=True, slots=True)
class _Timed:
    """Counts of one event, and when it was."""

    at: float
    counts: DemandCounts


@dataclass(kw_only=True)
class StageDemand:
    """What requests of a service have asked for lately, and its latest prefill calls."""

    events: deque[_Timed] = field(default_factory=deque)
    prefills: deque[PrefillSample] = field(
        default_factory=lambda: deque(maxlen=KEPT_PREFILLS),
    )

    def note_ask(
        self, now: float, *, prompt_tokens: int, output_tokens: int, is_large: bool = False
    ) -> None:
        """Count one request that asked for room."""
        counts = DemandCounts(
            asks=1,
            prompt_tokens=prompt_tokens,
            output_tokens=output_tokens,
            large_asks=int(is_large),
            large_tokens=prompt_tokens if is_large else 0,
        )
        self._add(now, counts)

    def note_granted(self, now: float, *, is_large: bool) -> None:
        """Count a request that got room."""
        self._add(now, DemandCounts(granted=1, large_granted=int(is_large)))

    def note_ended(self, now: float, *, output_tokens: int, seconds: float) -> None:
        """Count a stream that one decode worker brought from its first event to its end."""
        self._add(now, DemandCounts(ended=1, ended_tokens=output_tokens, ended_s=seconds))

    def note_prefill(self, tokens: int, seconds: float) -> None:
        """Keep how long a prefill call took."""
        self.prefills.append(PrefillSample(tokens=tokens, seconds=seconds))

    def counts(self, now: float) -> DemandCounts:
        """What was asked, and what ended, in the window."""
        self._expire(now)
        return sum((event.counts for event in self.events), DemandCounts())

    def _add(self, now: float, counts: DemandCounts) -> None:
        self.events.append(_Timed(at=now, counts=counts))
        self._expire(now)

    def _expire(self, now: float) -> None:
        while self.events and now - self.events[0].at > WINDOW_S:
            self.events.popleft()


def wanted_changes(
    tracked_workers: Sequence[TrackedWorker],
    counts: DemandCounts,
    power: EnginePower,
    *,
    ordered: dict[str, Stage],
) -> list[StageChange]:
    """The stage changes that a service needs, given what all boxes were asked for lately.

    ``ordered`` are stages of workers whose orders are on their way; they count as changed.
    """
    listed = [
        b for b in tracked_workers if b.gone_at is None and b.worker.state is WorkerState.READY
    ]
    by_stage = {
        stage: [b for b in listed if ordered.get(b.worker.id, b.worker.stage) is stage]
        for stage in Stage
    }
    prefills, decodes = len(by_stage[Stage.PREFILL]), len(by_stage[Stage.DECODE])
    if prefills and not decodes:
        reason = "no decode worker is listed"
        return _changes(by_stage, Stage.DECODE, 1, ordered, reason)
    mix = counts.mix
    if mix is None or not decodes:
        return []
    present = split_of(prefills, decodes, mix, power)
    best = best_split(prefills + decodes, mix, power)
    if best.rate < (1.0 + MIN_GAIN) * present.rate:
        return []
    reason = _reason(present, best, mix, power)
    if best.prefills < prefills:
        most = max(1, int(MAX_SHARE_TO_DECODE * prefills))
        number = min(most, prefills - best.prefills)
        return _changes(by_stage, Stage.DECODE, number, ordered, reason)
    most = max(1, int(MAX_SHARE_TO_PREFILL * decodes))
    number = min(most, best.prefills - prefills)
    return _changes(by_stage, Stage.PREFILL, number, ordered, reason)


def _changes(
    by_stage: dict[Stage, list[TrackedWorker]],
    stage: Stage,
    number: int,
    ordered: dict[str, Stage],
    reason: str,
) -> list[StageChange]:
    """So many workers of the other stage, the idlest of halls that are short of decode workers."""
    other = Stage.PREFILL if stage is Stage.DECODE else Stage.DECODE
    decodes_by_hall = Counter(tracked.worker.zone for tracked in by_stage[Stage.DECODE])
    sign = 1 if stage is Stage.DECODE else -1
    left = [tracked for tracked in by_stage[other] if tracked.worker.id not in ordered]
    chosen: list[StageChange] = []
    while left and len(chosen) < number:
        best = min(left, key=lambda b: (sign * decodes_by_hall[b.worker.zone], *_idleness(b)))
        left.remove(best)
        decodes_by_hall[best.worker.zone] += sign
        chosen.append(StageChange(worker=best.worker, stage=stage, reason=reason))
    return chosen


def _idleness(tracked: TrackedWorker) -> tuple[int, str]:
    return tracked.tokens_in_flight, tracked.worker.id


def _reason(present: Split, best: Split, mix: RequestMix, power: EnginePower) -> str:
    return (
        f"{present.prefills}+{present.decodes} serve {present.rate:.1f}/s, "
        f"{best.prefills}+{best.decodes} serve {best.rate:.1f}/s; prompts of "
        f"{mix.prompt_tokens:.0f} tokens at {power.prefill_pace:.0f}/s, "
        f"streams of {mix.decode_s:.2f} s with {mix.held_tokens:.0f} tokens"
    )
