"""Time since a caller's first try, derived from the time that it has left.

Callers send how much time they have left, not when they started. The time left is largest on a
first try. The router learns that maximum per route from the requests, since callers need not use
the whole timeout of the route.
"""

from __future__ import annotations

from dataclasses import dataclass, field

MIN_WINDOW_S = 15.0
"""Seconds for which an observed maximum counts at least: longer than callers keep trying."""


@dataclass(kw_only=True, slots=True)
class _MaxTimeLeft:
    """Largest time left in the current window and in the previous one."""

    began_at: float
    current_s: float = 0.0
    previous_s: float = 0.0


@dataclass(kw_only=True)
class FirstTryTimes:
    """Largest time left that requests of each route had: that of first tries."""

    _max_time_left_by_route: dict[str, _MaxTimeLeft] = field(default_factory=dict)

    def since_first_try_s(self, route: str, time_left_s: float | None, now: float) -> float:
        """Return the seconds since the caller's first try, and record its time left.

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
