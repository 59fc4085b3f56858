"""How long ago a caller first tried, by how much less time it has left than first tries have.

Callers name what is left of their time, not when they began. First tries have the most; what that
is, is learnt from the requests of each route, since callers need not use all of the route's time.
"""

from __future__ import annotations

from dataclasses import dataclass, field

MIN_WINDOW_S = 15.0
"""Seconds for which the most that was seen counts, at least: longer than callers go on trying."""


@dataclass(kw_only=True, slots=True)
class _MaxTimeLeft:
    """The most time left in the present span and in the one before it."""

    began_at: float
    current_s: float = 0.0
    previous_s: float = 0.0


@dataclass(kw_only=True)
class FirstTryTimes:
    """The time that first tries of each route have left."""

    _max_time_left_by_route: dict[str, _MaxTimeLeft] = field(default_factory=dict)

    def since_first_try_s(self, route: str, time_left_s: float | None, now: float) -> float:
        """Seconds since the first try of a caller that has so much time left; notes it.

        >>> tries = FirstTryTimes()
        >>> tries.since_first_try_s("r", 14.2, now=0.0), tries.since_first_try_s("r", 9.7, now=1.0)
        (0.0, 4.5)
        """
        if time_left_s is None:
            return 0.0
        window = self._max_time_left_by_route.setdefault(route, _MaxTimeLeft(began_at=now))
        if now - window.began_at > MIN_WINDOW_S:
            window.previous_s = (
                window.current_s if now - window.began_at < 2 * MIN_WINDOW_S else 0.0
            )
            window.current_s = 0.0
            window.began_at = now
        window.current_s = max(window.current_s, time_left_s)
        return max(0.0, max(window.current_s, window.previous_s) - time_left_s)
