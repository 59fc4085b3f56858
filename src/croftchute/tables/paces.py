"""Rows about how long work takes at a worker, over what is usual for its service."""

from __future__ import annotations

from dataclasses import dataclass
from enum import StrEnum
from typing import Protocol


class WorkKind(StrEnum):
    """The kinds of work whose times are told apart."""

    ANSWER = "answer"
    READING = "reading"
    TOKEN = "token"


class PaceSource(StrEnum):
    """Where most of an estimate comes from."""

    TOLD = "told"
    SEEN = "seen"
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

        >>> PaceEstimate(factor=2.0, source=PaceSource.TOLD, age_s=0.1).speed
        0.5
        """
        return 1.0 / self.factor


class PaceView(Protocol):
    """What is believed of the paces of workers."""

    def estimate(self, worker_id: str, kind: WorkKind, now: float) -> PaceEstimate:
        """The pace of one worker at one kind of work."""
        ...
