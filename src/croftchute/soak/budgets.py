"""Holds the arrivals past the first of each request, over all boxes, against the users' bound."""

from __future__ import annotations

from bisect import bisect_left, bisect_right
from collections.abc import Iterator, Sequence

from croftchute.soak.traffic import Traffic
from croftchute.soak.violation import Violation
from croftchute.soak.world import DESK, ENGINES, SoakWorld
from croftchute.standins.arrival_count import excess_arrival_times

RATIO = 0.2
WINDOW_S = 10.0


def budget_violations(world: SoakWorld, traffic: Traffic, *, slack: float) -> Iterator[Violation]:
    """Services that received more arrivals past the first in ten seconds than is allowed.

    ``slack`` is the largest constant that settings of the boxes named in the run.
    """
    for service in (DESK, ENGINES):
        workers = [one.worker for one in world.all_workers if one.service == service]
        excess = excess_arrival_times(workers)
        asked = sorted(
            attempt.sent_at
            for attempt in traffic.tries_by_id.values()
            if attempt.kind.is_stream == (service == ENGINES)
        )
        for end in excess:
            most = between(excess, end)
            allowed = RATIO * most_requests(asked, end) + slack
            if most > allowed:
                detail = f"{service}: {most} arrivals past the first in 10 s, {allowed:.0f} allowed"
                yield Violation(promise="the retry budget", request_id="", detail=detail)
                break


def most_requests(asked: Sequence[float], end: float) -> int:
    """Return the requests of the window, of the one before or of that half a window before.

    >>> most_requests([1.0, 2.0, 14.0], 15.0)
    2
    """
    return max(between(asked, end - shift) for shift in (0.0, WINDOW_S / 2, WINDOW_S))


def between(times: Sequence[float], end: float) -> int:
    """Return how many of the times, in order, lie in the window that ends at ``end``."""
    return bisect_right(times, end) - bisect_left(times, end - WINDOW_S)
