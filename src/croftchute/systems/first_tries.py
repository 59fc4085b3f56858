"""How long ago a caller first tried, by how much less time it has left than first tries have.

Callers name what is left of their time, not when they began. First tries have the most; what that
is, is learnt from the requests of each route, since callers need not use all of the route's time.
"""

from __future__ import annotations

from dataclasses import dataclass, field

KEPT_S = 15.0
"""Seconds for which the most that was seen counts, at least: longer than callers go on trying."""


@dataclass(kw_only=True, slots=True)
class _Most:
    """The most time left in the present span and in the one before it."""

    began_at: float
    present_s: float = 0.0
    before_s: float = 0.0


@dataclass(kw_only=True)
class FirstTries:
    """The time that first tries of each route have left."""

    _most_by_route: dict[str, _Most] = field(default_factory=dict)

    def time_before(self, route: str, time_left_s: float | None, now: float) -> float:
        """Seconds since the first try of a caller that has so much time left; notes it.

        >>> tries = FirstTries()
        >>> tries.time_before("r", 14.2, now=0.0), tries.time_before("r", 9.7, now=1.0)
        (0.0, 4.5)
        """
        if time_left_s is None:
            return 0.0
        most = self._most_by_route.setdefault(route, _Most(began_at=now))
        if now - most.began_at > KEPT_S:
            most.before_s = most.present_s if now - most.began_at < 2 * KEPT_S else 0.0
            most.present_s = 0.0
            most.began_at = now
        most.present_s = max(most.present_s, time_left_s)
        return max(0.0, max(most.present_s, most.before_s) - time_left_s)
