"""Whether an engine of a service should change its stage, and which.

A stage is changed only on evidence: a stage has no worker left, or decode memory is short while
prefill workers have time to spare. A decode worker that reads prompts itself slows all of its
streams several times, so one prefill worker always stays.
"""

from __future__ import annotations

from collections import deque
from collections.abc import Sequence
from dataclasses import dataclass, field

from croftchute.systems.worker_table import WorkerBelief
from croftchute.tables.routing import Stage, Worker, WorkerState

WINDOW_S = 5.0
MIN_ASKS = 8
MIN_REFUSED_SHARE = 0.1
MAX_PREFILL_USE = 0.65
DEFAULT_PREFILL_PACE = 20_000.0


@dataclass(frozen=True, kw_only=True, slots=True)
class StageChange:
    """A worker that should change its stage, and why."""

    worker: Worker
    stage: Stage
    reason: str


@dataclass(frozen=True, kw_only=True, slots=True)
class DemandCounts:
    """Asks for decode memory in the window, those refused, and the prompts of the others."""

    asks: int = 0
    refused: int = 0
    accepted_tokens: int = 0

    @property
    def refused_share(self) -> float:
        """The share of refused asks; 0 while there are too few to judge by.

        >>> DemandCounts(asks=2, refused=2).refused_share
        0.0
        >>> DemandCounts(asks=10, refused=4).refused_share
        0.4
        """
        return self.refused / self.asks if self.asks >= MIN_ASKS else 0.0

    def scaled(self, factor: float) -> DemandCounts:
        """What a whole fleet asked, if this is the part of it that was heard.

        >>> DemandCounts(asks=10, refused=2, accepted_tokens=500).scaled(2.0)
        DemandCounts(asks=20, refused=4, accepted_tokens=1000)
        """
        return DemandCounts(
            asks=round(self.asks * factor),
            refused=round(self.refused * factor),
            accepted_tokens=round(self.accepted_tokens * factor),
        )

    def __add__(self, other: DemandCounts) -> DemandCounts:
        return DemandCounts(
            asks=self.asks + other.asks,
            refused=self.refused + other.refused,
            accepted_tokens=self.accepted_tokens + other.accepted_tokens,
        )


@dataclass(frozen=True, kw_only=True, slots=True)
class _Ask:
    """One request that asked for decode memory."""

    at: float
    is_refused: bool
    prompt_tokens: int


@dataclass(kw_only=True)
class StageDemand:
    """What requests of a service have asked for lately, and how quickly prompts are read."""

    asks: deque[_Ask] = field(default_factory=deque)
    prefill_pace: float = DEFAULT_PREFILL_PACE

    def note_ask(self, now: float, *, is_refused: bool, prompt_tokens: int) -> None:
        """Count one request that asked for room."""
        self.asks.append(_Ask(at=now, is_refused=is_refused, prompt_tokens=prompt_tokens))
        self._expire(now)

    def note_prefill(self, tokens: int, seconds: float) -> None:
        """Learn the pace, in tokens a second, from the quickest prefill seen."""
        if seconds > 0.0:
            self.prefill_pace = max(self.prefill_pace, tokens / seconds)

    def counts(self, now: float) -> DemandCounts:
        """What was asked in the window."""
        self._expire(now)
        return DemandCounts(
            asks=len(self.asks),
            refused=sum(ask.is_refused for ask in self.asks),
            accepted_tokens=sum(ask.prompt_tokens for ask in self.asks if not ask.is_refused),
        )

    def clear(self) -> None:
        """Forget the asks, once something has been done about them."""
        self.asks.clear()

    def _expire(self, now: float) -> None:
        while self.asks and now - self.asks[0].at > WINDOW_S:
            self.asks.popleft()


def prefill_use(counts: DemandCounts, *, workers: int, pace: float) -> float:
    """The share of their time that so many prefill workers would be busy.

    >>> prefill_use(DemandCounts(accepted_tokens=250_000), workers=2, pace=50_000.0)
    0.5
    """
    return counts.accepted_tokens / WINDOW_S / (workers * pace) if workers else 1.0


def wanted_change(
    beliefs: Sequence[WorkerBelief], counts: DemandCounts, *, prefill_pace: float
) -> StageChange | None:
    """The stage change that a service needs, given the asks of all boxes lately."""
    prefills = _of_stage(beliefs, Stage.PREFILL)
    decodes = _of_stage(beliefs, Stage.DECODE)
    if not decodes and prefills:
        return _change(prefills, Stage.DECODE, "no decode worker is listed")
    if not prefills and len(decodes) > 1:
        return _change(decodes, Stage.PREFILL, "no prefill worker is listed")
    if len(prefills) < 2:
        return None
    use = prefill_use(counts, workers=len(prefills) - 1, pace=prefill_pace)
    if use > MAX_PREFILL_USE:
        return None
    if len(prefills) >= len(decodes):
        return _change(prefills, Stage.DECODE, f"{len(prefills)} prefill, {len(decodes)} decode")
    share = counts.refused_share
    if share < MIN_REFUSED_SHARE:
        return None
    reason = f"{share:.2f} of asks for decode memory refused, prefill use {use:.2f} without it"
    return _change(prefills, Stage.DECODE, reason)


def _of_stage(beliefs: Sequence[WorkerBelief], stage: Stage) -> list[WorkerBelief]:
    listed = [b for b in beliefs if b.gone_at is None and b.worker.state is WorkerState.READY]
    return [belief for belief in listed if belief.worker.stage is stage]


def _idleness(belief: WorkerBelief) -> tuple[int, str]:
    return belief.tokens_in_flight, belief.worker.id


def _change(beliefs: Sequence[WorkerBelief], stage: Stage, reason: str) -> StageChange:
    idlest = min(beliefs, key=_idleness)
    return StageChange(worker=idlest.worker, stage=stage, reason=reason)
