"""When a plain call ends at each worker of a small service, and whether it is let in at all.

A few workers of a few slots stand before many boxes. No box sees what the others send, and what
answers told is old within one working time. While a worker queues, boxes ask the workers for
their load before each call, send it where it ends soonest, and refuse at once what would be late
everywhere.
"""

from __future__ import annotations

from collections.abc import Mapping, Sequence
from dataclasses import dataclass, field

from croftchute.systems.timeouts import FIRST_TRY_MIN_TIME_SHARE
from croftchute.systems.worker_belief import WorkerBelief
from croftchute.tables.routing import Route

BUSY_WINDOW_S = 1.0
"""Seconds for which a service counts as busy after an answer told of a queue, or a rejection: a
queue of two dozen calls drains in less."""

WORK_TIME_SAMPLE_WEIGHT = 0.1
"""Weight of the newest answer in the usual working time: ten or so make it."""

LONG_CALL_RATIO = 2.0
"""Working times that a call is reckoned with: nineteen of twenty take no more, by the spread of the
times that the users' sheets name."""


@dataclass(frozen=True, kw_only=True, slots=True)
class QueueLoad:
    """What a worker runs and keeps waiting, and its pace over the usual."""

    running: int
    waiting: int
    slots: int
    pace: float = 1.0

    def end_s(self, work_s: float, *, work_ratio: float = 1.0) -> float:
        """Seconds until one more call would end, if one takes ``work_s`` at the usual pace.

        ``work_ratio`` is how many times as long the call itself takes.

        >>> QueueLoad(running=3, waiting=0, slots=6).end_s(0.09)
        0.09
        >>> QueueLoad(running=6, waiting=11, slots=6, pace=2.0).end_s(0.1)
        0.6
        """
        ahead = max(0, self.running + self.waiting + 1 - self.slots)
        return round(self.pace * work_s * (work_ratio + ahead / max(1, self.slots)), 4)


@dataclass(kw_only=True, slots=True)
class MeanWorkTime:
    """The usual working time of a plain service in seconds, waits left out; 0 while not known."""

    usual_s: float = 0.0

    def note(self, seconds: float, *, waiting: int) -> None:
        """An answer took some seconds; those beside which others waited tell of the queue."""
        if waiting > 0 or seconds <= 0.0:
            return
        if self.usual_s == 0.0:
            self.usual_s = seconds
        self.usual_s += WORK_TIME_SAMPLE_WEIGHT * (seconds - self.usual_s)


@dataclass(kw_only=True)
class WorkTimesByService:
    """The usual working times of plain services, by name."""

    _time_by_service: dict[str, MeanWorkTime] = field(default_factory=dict)

    def note(self, service: str, seconds: float, *, waiting: int) -> None:
        """An answer of a service took some seconds, while so many calls waited at its worker."""
        self._time_by_service.setdefault(service, MeanWorkTime()).note(seconds, waiting=waiting)

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


def is_returning_caller(route: Route, since_first_try_s: float) -> bool:
    """Whether a caller was asked back after its first try, and can't come again."""
    return since_first_try_s > (1.0 - FIRST_TRY_MIN_TIME_SHARE) * route.timeout_s


def is_busy(beliefs: Sequence[WorkerBelief], now: float) -> bool:
    """Whether a worker of the service told of a queue lately, or rejected a call."""
    return any(
        now - belief.rejected_at <= BUSY_WINDOW_S
        or (belief.load_waiting > 0 and now - belief.load_at <= BUSY_WINDOW_S)
        for belief in beliefs
    )


def choose_worker(
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
