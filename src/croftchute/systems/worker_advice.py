"""What workers ask of this box in their answers: no new work as they leave, or none for a while.

Kept by life, apart from the worker list: an entry may lapse with the store and come back older than
what the worker itself has said. Pure state; times are seconds of a steady clock.
"""

from __future__ import annotations

from collections.abc import Container
from dataclasses import dataclass, field

LEAVING_TTL_S = 600.0
"""Seconds for which it is remembered that a worker leaves that is not listed: its entry may come
back, from a copy of the store or after an outage, while it serves its last requests."""

MAX_LEAVING_WORKERS = 4096
"""Most lives of which a wish is kept: nearly twice the workers that docs/CAPACITY.md works out."""

MAX_REQUESTS_IN_BACKOFF = 1
"""Requests that a worker gets while it rests, if nothing else can serve them. Two are allowed; the
other is left for one that was under way when the worker asked for rest and is held up on a link."""


@dataclass(frozen=True, kw_only=True, slots=True)
class WorkerAdvice:
    """What one answer says that its worker wants.

    ``is_leaving``: it takes no new work until its end. ``rest_s``: it wants nothing from this box
    for so many seconds; 0 if it does not say so. ``limit_per_s``: the requests a second that it
    takes from all boxes together; None if it names no limit that can be read, as one does that
    ``has_odd_limit``.
    """

    is_leaving: bool = False
    rest_s: float = 0.0
    limit_per_s: float | None = None
    has_odd_limit: bool = False


NO_ADVICE = WorkerAdvice()


@dataclass(kw_only=True, slots=True)
class _Backoff:
    """A rest that goes on until ``until``, and what was sent there meanwhile."""

    until: float
    sent: int = 0


@dataclass(frozen=True, kw_only=True, slots=True)
class _Leaving:
    """Since when it has been known that a worker leaves, and when this box heard it."""

    since: float
    heard_at: float


@dataclass(kw_only=True)
class WorkerAdviceTable:
    """The wishes of all lives of workers that told one; ``leaving_by_id`` in the order of news."""

    leaving_by_id: dict[str, _Leaving] = field(default_factory=dict)
    _backoffs_by_id: dict[str, _Backoff] = field(default_factory=dict)

    def note_leaving(self, worker_id: str, now: float, *, known_for_s: float = 0.0) -> bool:
        """A worker leaves; True if that is news. A life that leaves never takes that back.

        ``known_for_s`` is how long it may have been known elsewhere.
        """
        if worker_id in self.leaving_by_id:
            return False
        if len(self.leaving_by_id) >= MAX_LEAVING_WORKERS:
            del self.leaving_by_id[next(iter(self.leaving_by_id))]
        self.leaving_by_id[worker_id] = _Leaving(since=now - known_for_s, heard_at=now)
        return True

    def note_backoff(self, worker_id: str, rest_s: float, now: float) -> None:
        """A worker wants nothing for a while; the later end counts if it asked before.

        What was sent during the rest that it asked for before still counts against this one.
        """
        backoff = self._backoffs_by_id.get(worker_id)
        if backoff is None or backoff.until <= now:
            self._backoffs_by_id[worker_id] = _Backoff(until=now + rest_s)
            self._drop_expired_backoffs(now)
            return
        backoff.until = max(backoff.until, now + rest_s)

    def note_sent(self, worker_id: str, now: float) -> None:
        """Something is sent to a worker; it counts if the worker rests."""
        backoff = self._backoffs_by_id.get(worker_id)
        if backoff is not None and now < backoff.until:
            backoff.sent += 1

    def is_leaving(self, worker_id: str) -> bool:
        """Whether a worker said that it leaves."""
        return worker_id in self.leaving_by_id

    def in_backoff(self, now: float) -> set[str]:
        """The workers that rest; mostly none, and looked at for each choice of a worker."""
        if not self._backoffs_by_id:
            return set()
        return {
            worker_id for worker_id, backoff in self._backoffs_by_id.items() if now < backoff.until
        }

    def backoff_left_s(self, worker_id: str, now: float) -> float:
        """For how long a worker still wants nothing from this box; 0 if it takes work."""
        backoff = self._backoffs_by_id.get(worker_id)
        return 0.0 if backoff is None else max(0.0, backoff.until - now)

    def active_advice(self, worker_id: str, now: float) -> str:
        """What a worker wants at the moment, for logs; empty if it told no wish."""
        if self.is_leaving(worker_id):
            return "leaving"
        return "rest" if self.backoff_left_s(worker_id, now) > 0.0 else ""

    def may_send_in_backoff(self, worker_id: str, now: float) -> bool:
        """Whether a resting worker may get a request that nothing else can serve."""
        backoff = self._backoffs_by_id.get(worker_id)
        return backoff is None or now >= backoff.until or backoff.sent < MAX_REQUESTS_IN_BACKOFF

    def sweep(self, now: float, *, listed: Container[str]) -> None:
        """Forget rests that are over, and wishes of workers that have long been gone."""
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
