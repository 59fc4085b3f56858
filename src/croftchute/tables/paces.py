"""Paces of workers: how long work takes at a worker, relative to the usual time of its service."""

from __future__ import annotations

import math
from dataclasses import dataclass
from enum import StrEnum
from typing import Any, Protocol


class WorkKind(StrEnum):
    """Kinds of work whose times are observed separately.

    ``ANSWER`` is a whole plain response, ``PREFILL`` the prefill of a prompt, and ``TOKEN`` one
    output token.
    """

    ANSWER = "answer"
    PREFILL = "reading"
    TOKEN = "token"


class PaceSource(StrEnum):
    """The source with the largest weight in an estimate.

    ``REPORTED`` stands for paces that the worker reported, ``OBSERVED`` for response times at this
    box, ``PEERS`` for response times at other boxes, and ``PRIOR`` for the assumed usual pace.
    """

    REPORTED = "told"
    OBSERVED = "seen"
    PEERS = "peers"
    PRIOR = "prior"


@dataclass(frozen=True, kw_only=True, slots=True)
class PaceEstimate:
    """The time of work at a worker, relative to the usual time: 2.0 takes twice as long.

    ``age_s`` is the age of the latest report or observation from ``source``; it is infinite for the
    prior.
    """

    factor: float
    source: PaceSource
    age_s: float

    @property
    def speed(self) -> float:
        """Return the speed relative to the usual one, which is the inverse of ``factor``.

        >>> PaceEstimate(factor=2.0, source=PaceSource.REPORTED, age_s=0.1).speed
        0.5
        """
        return 1.0 / self.factor


class PaceView(Protocol):
    """Read access to the estimated paces of workers."""

    def estimate(self, worker_id: str, kind: WorkKind, now: float) -> PaceEstimate:
        """Return the pace of one worker at one kind of work."""
        ...


@dataclass(frozen=True, kw_only=True, slots=True)
class PredictedEnd:
    """The predicted completion time of one more request at a worker, in seconds from now, by part.

    ``wait_s`` is for the requests ahead and ``work_s`` for the request itself, both at the pace of
    the worker. ``overdue_s`` is how long open calls of this box are overdue there.
    ``gap_penalty_s``, for too long gaps between tokens, and ``failure_penalty_s``, for recent
    failures, only rank workers. ``hall_penalty_s`` is the extra time of another hall. ``pace``,
    ``pace_source`` and ``pace_age_s`` are those of the ``PaceEstimate`` used.
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
        """Return the seconds until completion, without the parts that only rank workers.

        >>> end = PredictedEnd(wait_s=0.1, work_s=0.2, hall_penalty_s=0.01, failure_penalty_s=1.0)
        >>> end.completion_s
        0.31
        """
        return round(self.wait_s + self.work_s + self.overdue_s + self.hall_penalty_s, 9)

    @property
    def total_s(self) -> float:
        """Return the sum of all parts, by which workers are ranked."""
        return (
            self.wait_s
            + self.work_s
            + self.overdue_s
            + self.gap_penalty_s
            + self.hall_penalty_s
            + self.failure_penalty_s
        )

    def log_fields(self) -> dict[str, Any]:
        """Return the parts for the log, in ms; an unknown age is None, which the log leaves out."""
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
