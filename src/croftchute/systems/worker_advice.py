"""What workers announce in their answers: that they are leaving, or ask for a backoff.

This is kept per instance and apart from the worker list: a list entry may expire with the store and
come back older than the worker's own announcement. Methods do no I/O; times are seconds of a
monotonic clock.
"""

from __future__ import annotations

from collections.abc import Container
from dataclasses import dataclass, field

LEAVING_TTL_S = 600.0
"""Seconds for which an unlisted worker is remembered as leaving. Its entry may come back from a
copy of the store or after an outage while it still serves its last requests."""

MAX_LEAVING_WORKERS = 4096
"""Most instances remembered as leaving: nearly twice the workers that docs/CAPACITY.md derives."""

MAX_REQUESTS_IN_BACKOFF = 1
"""Requests sent to a worker in backoff if no other can serve them. The platform allows two; the
second is left for a request that was already on its way when the worker asked for the backoff."""


@dataclass(frozen=True, kw_only=True, slots=True)
class WorkerAdvice:
    """What one answer announces about its worker.

    ``is_leaving``: the worker takes no new work until it ends. ``backoff_s``: the worker wants no
    request from this box for that many seconds; 0 if it names none. ``limit_per_s``: the requests
    per second that the worker accepts from all boxes together; None if it names no valid limit.
    ``has_invalid_limit``: it named a limit that can't be parsed.
    """

    is_leaving: bool = False
    backoff_s: float = 0.0
    limit_per_s: float | None = None
    has_invalid_limit: bool = False


NO_ADVICE = WorkerAdvice()


@dataclass(kw_only=True, slots=True)
class _Backoff:
    """A backoff that lasts until ``until``, and the number of requests sent during it."""

    until: float
    sent: int = 0


@dataclass(frozen=True, kw_only=True, slots=True)
class _Leaving:
    """Since when a worker has been known to be leaving, and when this box learned of it."""

    since: float
    heard_at: float


@dataclass(kw_only=True)
class WorkerAdviceTable:
    """The announcements of all worker instances.

    ``leaving_by_id`` is in the order in which they arrived.
    """

    leaving_by_id: dict[str, _Leaving] = field(default_factory=dict)
    _backoffs_by_id: dict[str, _Backoff] = field(default_factory=dict)

    def note_leaving(self, worker_id: str, now: float, *, known_for_s: float = 0.0) -> bool:
        """Record that a worker is leaving; return True if that is new.

        A leaving instance never becomes available again. ``known_for_s`` is how long ago another
        box may have learned of it.
        """
        if worker_id in self.leaving_by_id:
            return False
        if len(self.leaving_by_id) >= MAX_LEAVING_WORKERS:
            del self.leaving_by_id[next(iter(self.leaving_by_id))]
        self.leaving_by_id[worker_id] = _Leaving(since=now - known_for_s, heard_at=now)
        return True

    def note_backoff(self, worker_id: str, backoff_s: float, now: float) -> None:
        """Record that a worker wants no requests for a while.

        If a backoff is already running, it ends at the later of both times, and requests sent
        during it still count toward :data:`MAX_REQUESTS_IN_BACKOFF`.
        """
        backoff = self._backoffs_by_id.get(worker_id)
        if backoff is None or backoff.until <= now:
            self._backoffs_by_id[worker_id] = _Backoff(until=now + backoff_s)
            self._drop_expired_backoffs(now)
            return
        backoff.until = max(backoff.until, now + backoff_s)

    def note_sent(self, worker_id: str, now: float) -> None:
        """Count a request sent to a worker, if the worker is in backoff."""
        backoff = self._backoffs_by_id.get(worker_id)
        if backoff is not None and now < backoff.until:
            backoff.sent += 1

    def is_leaving(self, worker_id: str) -> bool:
        """Return whether a worker announced that it is leaving."""
        return worker_id in self.leaving_by_id

    def in_backoff(self, now: float) -> set[str]:
        """Return the ids of the workers in backoff.

        This is called for each choice of a worker, and the result is usually empty.
        """
        if not self._backoffs_by_id:
            return set()
        return {
            worker_id for worker_id, backoff in self._backoffs_by_id.items() if now < backoff.until
        }

    def backoff_left_s(self, worker_id: str, now: float) -> float:
        """Return the remaining backoff of a worker in seconds; 0 if it accepts requests."""
        backoff = self._backoffs_by_id.get(worker_id)
        return 0.0 if backoff is None else max(0.0, backoff.until - now)

    def active_advice(self, worker_id: str, now: float) -> str:
        """Return a worker's present announcement for the log; empty if there is none."""
        if self.is_leaving(worker_id):
            return "leaving"
        return "rest" if self.backoff_left_s(worker_id, now) > 0.0 else ""

    def may_send_in_backoff(self, worker_id: str, now: float) -> bool:
        """Return whether a worker may get a request that no other can serve."""
        backoff = self._backoffs_by_id.get(worker_id)
        return backoff is None or now >= backoff.until or backoff.sent < MAX_REQUESTS_IN_BACKOFF

    def forget(self, worker_id: str) -> None:
        """Forget what a worker wanted: another one has its id now."""
        self.leaving_by_id.pop(worker_id, None)
        self._backoffs_by_id.pop(worker_id, None)

    def sweep(self, now: float, *, listed: Container[str]) -> None:
        """Forget backoffs that are over, and leaving workers that have long been unlisted."""
        self._drop_expired_backoffs(now)
        old = [
            worker_id
            for worker_id, leaving in self.leaving_by_id.items()
            if worker_id not in listed and now - leaving.heard_at > LEAVING_TTL_S
        ]
        for worker_id in old:
            del self.leaving_by_id[worker_id]

    def _drop_expired_backoffs(self, now: float) -> None:
        over = [
            worker_id for worker_id, backoff in self._backoffs_by_id.items() if backoff.until <= now
        ]
        for worker_id in over:
            del self._backoffs_by_id[worker_id]
