"""Admission and placement of plain calls, which are not streamed, at a small service.

A few workers with a few slots each serve many boxes, and queue calls beyond their slots. No box
sees the calls of the others, and the load reported with an answer is outdated within one working
time. While a worker has a queue, a box asks the workers for their load before each call, sends the
call where it will end soonest, and refuses at once a call that would be late everywhere.
"""

from __future__ import annotations

from collections.abc import Mapping, Sequence
from dataclasses import dataclass, field

from croftchute.systems.timeouts import FIRST_TRY_MIN_TIME_SHARE
from croftchute.systems.tracked_worker import TrackedWorker
from croftchute.tables.routing import Route

BUSY_WINDOW_S = 1.0
"""Seconds for which a service counts as busy after an answer reported a queue, or a worker rejected
a call. A queue of two dozen calls drains in less."""

WORK_TIME_SAMPLE_WEIGHT = 0.1
"""Weight of the latest answer in the moving average of the working time, which thus covers about
ten answers."""

LONG_CALL_RATIO = 2.0
"""Working times that a call is assumed to take: nineteen of twenty calls take no more, by the
spread of the times in the platform's user sheets."""


@dataclass(frozen=True, kw_only=True, slots=True)
class QueueLoad:
    """Running and waiting calls of a worker, its slots, and its pace relative to the usual one."""

    running: int
    waiting: int
    slots: int
    pace: float = 1.0

    def end_s(self, work_s: float, *, work_ratio: float = 1.0) -> float:
        """Return the seconds until another call would end.

        ``work_s`` is the mean working time. The call itself takes ``work_ratio`` times as long.

        >>> QueueLoad(running=3, waiting=0, slots=6).end_s(0.09)
        0.09
        >>> QueueLoad(running=6, waiting=11, slots=6, pace=2.0).end_s(0.1)
        0.6
        """
        ahead = max(0, self.running + self.waiting + 1 - self.slots)
        return round(self.pace * work_s * (work_ratio + ahead / max(1, self.slots)), 4)


@dataclass(kw_only=True, slots=True)
class MeanWorkTime:
    """Moving average of a plain service's working time in seconds, without waits; 0 if unknown."""

    mean_s: float = 0.0

    def note(self, seconds: float, *, waiting: int) -> None:
        """Add the time of an answer, unless other calls waited: that time includes the queue."""
        if waiting > 0 or seconds <= 0.0:
            return
        if self.mean_s == 0.0:
            self.mean_s = seconds
        self.mean_s += WORK_TIME_SAMPLE_WEIGHT * (seconds - self.mean_s)


@dataclass(kw_only=True)
class WorkTimesByService:
    """Mean working times of plain services, by name."""

    _time_by_service: dict[str, MeanWorkTime] = field(default_factory=dict)

    def note(self, service: str, seconds: float, *, waiting: int) -> None:
        """Add the time of an answer while ``waiting`` calls were queued at its worker."""
        self._time_by_service.setdefault(service, MeanWorkTime()).note(seconds, waiting=waiting)

    def mean_s(self, service: str) -> float:
        """Return the mean working time in seconds; 0 if unknown."""
        time = self._time_by_service.get(service)
        return time.mean_s if time is not None else 0.0


@dataclass(frozen=True, kw_only=True, slots=True)
class PlainChoice:
    """The worker where a call ends soonest, ``end_s`` from now, unless the call ``is_refused``."""

    worker_id: str
    end_s: float
    is_refused: bool = False


def is_returning_caller(route: Route, since_first_try_s: float) -> bool:
    """Return whether a caller came back after a refusal, so that it cannot come again."""
    return since_first_try_s > (1.0 - FIRST_TRY_MIN_TIME_SHARE) * route.timeout_s


def is_busy(tracked_workers: Sequence[TrackedWorker], now: float) -> bool:
    """Return whether a worker of the service reported a queue or rejected a call lately."""
    return any(
        now - tracked.rejected_at <= BUSY_WINDOW_S
        or (tracked.load_waiting > 0 and now - tracked.load_at <= BUSY_WINDOW_S)
        for tracked in tracked_workers
    )


def choose_worker(
    loads_by_id: Mapping[str, QueueLoad],
    *,
    work_s: float,
    target_left_s: float,
    time_left_s: float,
    is_last_try: bool,
) -> PlainChoice | None:
    """Return the worker where a call ends soonest, or None if no load or working time is known.

    A call that would be late everywhere is refused while its caller can come again, since it would
    make other calls late as well. On the last try it is admitted if it ends while its caller waits.

    >>> loads = {"a": QueueLoad(running=6, waiting=24, slots=6),
    ...          "b": QueueLoad(running=6, waiting=3, slots=6)}
    >>> times = {"work_s": 0.09, "time_left_s": 4.0, "is_last_try": False}
    >>> choose_worker(loads, target_left_s=0.4, **times).worker_id
    'b'
    >>> choose_worker(loads, target_left_s=0.1, **times).is_refused
    True
    """
    if not loads_by_id or work_s <= 0.0:
        return None
    end_by_id = {worker_id: load.end_s(work_s) for worker_id, load in loads_by_id.items()}
    best = min(end_by_id, key=lambda worker_id: end_by_id[worker_id])
    end_s = end_by_id[best]
    if is_last_try:
        is_refused = end_s > time_left_s
    else:
        is_refused = loads_by_id[best].end_s(work_s, work_ratio=LONG_CALL_RATIO) > target_left_s
    return PlainChoice(worker_id=best, end_s=end_s, is_refused=is_refused)
