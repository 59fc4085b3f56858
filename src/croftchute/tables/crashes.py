"""Rows about requests under which workers ended, as boxes tell them to one another."""

from __future__ import annotations

from dataclasses import dataclass


@dataclass(frozen=True, kw_only=True, slots=True)
class CrashNotice:
    """A worker's life that ended under a request, or, without a life, a good end of the request.

    ``digest`` is what all tries of the request have in common; ``age_s`` is how long ago it was.
    """

    digest: str
    life: str
    age_s: float

    @property
    def is_good_end(self) -> bool:
        """Whether the request ran to a good end then."""
        return not self.life


@dataclass(frozen=True, kw_only=True, slots=True)
class CrashEntry:
    """What the platform's store keeps of a refused request: Unix times by life that ended."""

    ended_at_by_life: dict[str, float]
