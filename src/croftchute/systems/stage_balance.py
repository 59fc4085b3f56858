"""Whether an engine of a service should change its stage, and which.

A stage is changed only on evidence: no decode worker is left, or callers have lately been turned
away for want of decode memory while there are more prefill workers than the service needs.
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
PREFILL_SHARE = 0.2
SMALLEST_SPLIT = 3


@dataclass(frozen=True, kw_only=True, slots=True)
class StageChange:
    """A worker that should change its stage, and why."""

    worker: Worker
    stage: Stage
    reason: str


@dataclass(kw_only=True)
class DecodePressure:
    """Asks for room at decode workers in the last seconds, and how many were refused by all."""

    asks: deque[tuple[float, bool]] = field(default_factory=deque)

    def note(self, now: float, *, is_refused: bool) -> None:
        """Count one request that asked for room."""
        self.asks.append((now, is_refused))
        self._expire(now)

    def counts(self, now: float) -> tuple[int, int]:
        """Asks in the window, and those that were refused."""
        self._expire(now)
        return len(self.asks), sum(is_refused for _, is_refused in self.asks)

    def clear(self) -> None:
        """Forget the asks, once something has been done about them."""
        self.asks.clear()

    def _expire(self, now: float) -> None:
        while self.asks and now - self.asks[0][0] > WINDOW_S:
            self.asks.popleft()


def prefill_workers_needed(total: int) -> int:
    """How many engines of a service stay with prefill whatever the pressure.

    >>> [prefill_workers_needed(total) for total in (1, 2, 3, 5, 9, 40)]
    [0, 0, 1, 1, 2, 8]
    """
    if total < SMALLEST_SPLIT:
        return 0
    return max(1, round(PREFILL_SHARE * total))


def refused_share(asks: int, refused: int) -> float:
    """The share of refused asks; 0 while there are too few to judge by.

    >>> refused_share(2, 2), refused_share(10, 4)
    (0.0, 0.4)
    """
    return refused / asks if asks >= MIN_ASKS else 0.0


def wanted_change(
    beliefs: Sequence[WorkerBelief], *, asks: int, refused: int
) -> StageChange | None:
    """The stage change that a service needs, given the asks of all boxes lately."""
    listed = [b for b in beliefs if b.gone_at is None and b.worker.state is WorkerState.READY]
    prefills = [b for b in listed if b.worker.stage is Stage.PREFILL]
    decodes = [b for b in listed if b.worker.stage is Stage.DECODE]
    if not prefills:
        return None
    reason = ""
    if not decodes:
        reason = "no decode worker is listed"
    elif len(prefills) > prefill_workers_needed(len(listed)):
        share = refused_share(asks, refused)
        if share >= MIN_REFUSED_SHARE:
            reason = f"{share:.2f} of the asks for decode memory refused"
    if not reason:
        return None
    idlest = min(prefills, key=lambda b: (b.tokens_in_flight, b.worker.id))
    return StageChange(worker=idlest.worker, stage=Stage.DECODE, reason=reason)
