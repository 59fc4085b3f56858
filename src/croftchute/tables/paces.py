"""Rows about how long work takes at a worker, over what is usual for its service."""

from __future__ import annotations

import math
from dataclasses import dataclass
from enum import StrEnum
from typing import Any, Protocol


class WorkKind(StrEnum):
    """The kinds of work whose times are told apart."""

    ANSWER = "answer"
    PREFILL = "reading"
    TOKEN = "token"


class PaceSource(StrEnum):
    """Where most of an estimate comes from."""

    REPORTED = "told"
    OBSERVED = "seen"
    PEERS = "peers"
    PRIOR = "prior"


@dataclass(frozen=True, kw_only=True, slots=True)
class PaceEstimate:
    """How long work takes at a worker over the usual: 2.0 takes twice as long.

    ``age_s`` is how old the newest news behind it are; infinite if there are none.
    """

    factor: float
    source: PaceSource
    age_s: float

    @property
    def speed(self) -> float:
        """Work done in the time of one piece of usual work.

        >>> PaceEstimate(factor=2.0, source=PaceSource.REPORTED, age_s=0.1).speed
        0.5
        """
        return 1.0 / self.factor


class PaceView(Protocol):
    """What is believed of the paces of workers."""

    def estimate(self, worker_id: str, kind: WorkKind, now: float) -> PaceEstimate:
        """The pace of one worker at one kind of work."""
        ...


@dataclass(frozen=True, kw_only=True, slots=True)
class PredictedEnd:
    """When a worker would be done with one more request, in seconds from now, by part.

    ``wait_s`` is for the requests ahead of it and ``work_s`` for the request itself, both at the
    worker's pace. ``overdue_s`` is how long this box's open calls there are late, ``gap_penalty_s``
    the price of pauses that are too long, ``hall_penalty_s`` that of another hall,
    ``failure_penalty_s`` that of the failures held against the worker. ``pace`` is 1.0 for the
    usual time of work; ``pace_age_s`` is how old the news behind it are, infinite if there are
    none.
    """

    wait_s: float
    work_s: float
    overdue_s: float = 0.0
    gap_penalty_s: float = 0.0
    hall_penalty_s: float = 0.0
    failure_penalty_s: float = 0.0
    pace: float = 1.0
    pace_source: PaceSource = PaceSource.PRIOR
    pace_age_s: float = math.inf

    @property
    def completion_s(self) -> float:
        """Seconds until the work is done, without what only ranks the workers.

        >>> end = PredictedEnd(wait_s=0.1, work_s=0.2, hall_penalty_s=0.01, failure_penalty_s=1.0)
        >>> end.completion_s
        0.31
        """
        return round(self.wait_s + self.work_s + self.overdue_s + self.hall_penalty_s, 9)

    @property
    def total_s(self) -> float:
        """What workers are compared by."""
        return (
            self.wait_s
            + self.work_s
            + self.overdue_s
            + self.gap_penalty_s
            + self.hall_penalty_s
            + self.failure_penalty_s
        )

    def log_fields(self) -> dict[str, Any]:
        """The parts for the log, in ms; an age that is not known is left out as None."""
        age_s = self.pace_age_s
        return {
            "end_ms": _ms(self.total_s),
            "end_wait_ms": _ms(self.wait_s),
            "end_work_ms": _ms(self.work_s),
            "end_overdue_ms": _ms(self.overdue_s),
            "end_gap_ms": _ms(self.gap_penalty_s),
            "end_far_ms": _ms(self.hall_penalty_s),
            "end_failure_ms": _ms(self.failure_penalty_s),
            "pace": round(self.pace, 3),
            "pace_source": self.pace_source.value,
            "pace_age_s": round(age_s, 3) if math.isfinite(age_s) else None,
        }


def _ms(seconds: float) -> float:
    return round(seconds * 1000, 1)
