"""Counts arrivals past the first of each request, by what the stand-ins of workers have seen.

By the users' pages the first call of a request that only reads its prompt, and that a worker takes
up, is free. All other calls count, also those that a worker rejects or does not answer.
"""

from __future__ import annotations

from collections import defaultdict
from collections.abc import Iterable

from croftchute.standins.platform_worker import PlatformWorker


def excess_arrival_times(workers: Iterable[PlatformWorker]) -> list[float]:
    """Return the times of the arrivals past the first of their request, in order."""
    times_by_request: dict[str, list[float]] = defaultdict(list)
    free: set[str] = set()
    for worker in workers:
        for arrival in worker.arrivals:
            times_by_request[arrival.request_id].append(arrival.at)
        free.update(worker.prompts_read)
    excess = []
    for request_id, times in times_by_request.items():
        allowed = 2 if request_id in free else 1
        excess += sorted(times)[allowed:]
    return sorted(excess)


def most_in_window(times: Iterable[float], window_s: float) -> int:
    """Return the most times within any ``window_s`` seconds.

    >>> most_in_window([0.0, 4.0, 9.0, 11.0, 30.0], 10.0)
    3
    """
    ordered = sorted(times)
    most = first = 0
    for last, time in enumerate(ordered):
        while ordered[first] <= time - window_s:
            first += 1
        most = max(most, last - first + 1)
    return most
