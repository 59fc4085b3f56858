"""When a plain call ends at each worker of a small service, and whether it is let in at all.

A few workers of a few slots stand before many boxes. No box sees what the others send, and what
answers told is old within one working time. While a worker queues, boxes ask the workers for
their load before each call, send it where it ends soonest, and refuse at once what would be late
everywhere.
"""

from __future__ import annotations

from collections.abc import Mapping, Sequence
from dataclasses import dataclass, field

from croftchute.systems.patience import RETURN_SHARE
from croftchute.systems.tracked_worker import TrackedWorker
from croftchute.tables.routing import Route

BUSY_FOR_S = 1.0
"""Seconds for which a service counts as busy after an answer told of a queue, or a rejection: a
queue of two dozen calls drains in less."""

WORK_WEIGHT = 0.1
"""Weight of the newest answer in the usual working time: ten or so make it."""

LONG_CALL = 2.0
"""Working times that a call is reckoned with: nineteen of twenty take no more, by the spread of the
times that the users' sheets name."""


@dataclass(frozen=True, kw_only=True, slots=True)
class QueueLoad:
    """What a worker runs and keeps waiting, and its pace over the usual."""

    running: int
    waiting: int
    slots: int
    pace: float = 1.0

    def end_s(self, work_s: float, *, own: float = 1.0) -> float:
        """Seconds until one more call would end, if one takes ``work_s`` at the usual pace.

        ``own`` is how many times as long the call itself takes.

        >>> QueueLoad(running=3, waiting=0, slots=6).end_s(0.09)
        0.09
        >>> QueueLoad(running=6, waiting=11, slots=6, pace=2.0).end_s(0.1)
        0.6
        """
        ahead = max(0, self.running + self.waiting + 1 - self.slots)
        return round(self.pace * work_s * (own + ahead / max(1, self.slots)), 4)


@dataclass(kw_only=True, slots=True)
class WorkTime:
    """The usual working time of a plain service in seconds, waits left out; 0 while not known."""

    usual_s: float = 0.0

    def note(self, seconds: float, *, waiting: int) -> None:
        """An answer took some seconds; those beside which others waited tell of the queue."""
        if waiting > 0 or seconds <= 0.0:
            return
        if self.usual_s == 0.0:
            self.usual_s = seconds
        self.usual_s += WORK_WEIGHT * (seconds - self.usual_s)


@dataclass(kw_only=True)
class WorkTimes:
    """The usual working times of plain services, by name."""

    _time_by_service: dict[str, WorkTime] = field(default_factory=dict)

    def note(self, service: str, seconds: float, *, waiting: int) -> None:
        """An answer of a service took some seconds, while so many calls waited at its worker."""
        self._time_by_service.setdefault(service, WorkTime()).note(seconds, waiting=waiting)

    def usual_s(self, service: str) -> float:
        """The usual working time in seconds; 0 while not known."""
        time = self._time_by_service.get(service)
        return time.usual_s if time is not None else 0.0


@dataclass(frozen=True, kw_only=True, slots=True)
class PlainChoice:
    """Where a call ends soonest; ``end_s`` from now. It is let in unless ``is_refused``."""

    worker_id: str
    end_s: float
    is_refused: bool = False


def has_come_back(route: Route, before_s: float) -> bool:
    """Whether a caller that first tried ``before_s`` ago was asked back, and can't come again."""
    return before_s > (1.0 - RETURN_SHARE) * route.timeout_s


def is_busy(tracked_workers: Sequence[TrackedWorker], now: float) -> bool:
    """Whether a worker of the service told of a queue lately, or rejected a call."""
    return any(
        now - tracked.rejected_at <= BUSY_FOR_S
        or (tracked.load_waiting > 0 and now - tracked.load_at <= BUSY_FOR_S)
        for tracked in tracked_workers
    )


def place(
    loads_by_id: Mapping[str, QueueLoad],
    *,
    work_s: float,
    target_left_s: float,
    time_left_s: float,
    is_last_try: bool,
) -> PlainChoice | None:
    """The worker where a call ends soonest; None without any load to go by.

    A call that would be late everywhere is refused while its caller can come again: it would make
    others late as well. On the last try it is let in as long as its caller waits.

    >>> loads = {"a": QueueLoad(running=6, waiting=24, slots=6),
    ...          "b": QueueLoad(running=6, waiting=3, slots=6)}
    >>> place(loads, work_s=0.09, target_left_s=0.4, time_left_s=4.0, is_last_try=False).worker_id
    'b'
    >>> place(loads, work_s=0.09, target_left_s=0.1, time_left_s=4.0, is_last_try=False).is_refused
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
        is_refused = loads_by_id[best].end_s(work_s, own=LONG_CALL) > target_left_s
    return PlainChoice(worker_id=best, end_s=end_s, is_refused=is_refused)
