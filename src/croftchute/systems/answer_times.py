"""How long whole answers have lately taken, by route."""

from __future__ import annotations

from collections import deque

KEPT_ANSWERS = 16
"""Answers by which a route is judged: the longest of them, so that few requests take longer."""

MAX_ROUTES = 1024
"""Routes that are remembered at most; the one that was used first is forgotten first."""


class AnswerTimes:
    """The times of the latest answers, in seconds."""

    def __init__(self) -> None:
        self._times_by_route: dict[str, deque[float]] = {}

    def note(self, route: str, took_s: float) -> None:
        """Record how long a worker took for a whole answer."""
        times = self._times_by_route.get(route)
        if times is None:
            if len(self._times_by_route) >= MAX_ROUTES:
                del self._times_by_route[next(iter(self._times_by_route))]
            times = self._times_by_route[route] = deque(maxlen=KEPT_ANSWERS)
        times.append(took_s)

    def longest_s(self, route: str) -> float:
        """Return the longest time of the latest answers; 0 if none is known.

        >>> times = AnswerTimes()
        >>> times.note("r", 0.5)
        >>> times.longest_s("r"), times.longest_s("s")
        (0.5, 0.0)
        """
        return max(self._times_by_route.get(route, ()), default=0.0)
