"""Which workers name a limit: the requests a second that they take from all boxes together.

Kept by life, as answers name it and as other boxes tell. Pure state; times are seconds of a steady
clock.
"""

from __future__ import annotations

import math
import random
from collections.abc import Container
from dataclasses import dataclass, field

from croftchute.tables.peers import NOT_OMITTED, LimitNotice

LIMIT_END_DELAY_S = 4.0
"""Seconds since a limit was last named after which an answer that leaves it out ends it. Answers
overtake one another, and some kinds of them may not name it: one alone says little."""

UNLISTED_TTL_S = 600.0
"""Seconds for which the limit of a worker that is not listed is kept: its entry may come back, from
a copy of the store or after an outage, while it is still in need."""

MAX_LIMITED_WORKERS = 4096
"""Most lives of which a limit is kept: nearly twice the workers that docs/CAPACITY.md works out."""

ECHO_TOLERANCE_S = 0.05
"""Seconds by which a naming that another box tells of must be newer than the one that is known, if
both name the same: what goes round among boxes gets older by less than the time that passes, and
would seem newer each time."""

ENDED_LIMIT_TTL_S = 10.0
"""Seconds for which it is remembered that a limit is over: other boxes may still tell of it."""


@dataclass(kw_only=True, slots=True)
class ReportedLimit:
    """A limit as it was named last, and the first answer since then that leaves it out.

    ``blocked_until`` is when the worker takes a call of this box again, as far as is known.
    """

    per_s: float
    reported_at: float
    omitted_at: float = math.inf
    blocked_until: float = -math.inf
    is_end_reported: bool = False

    def is_over(self, now: float) -> bool:
        """Whether the worker takes any number of requests again."""
        return self.omitted_at <= now and now - self.reported_at >= LIMIT_END_DELAY_S


@dataclass(kw_only=True)
class WorkerLimits:
    """The limits of all lives of workers that named one."""

    by_id: dict[str, ReportedLimit] = field(default_factory=dict)

    def note_limit(
        self, worker_id: str, per_s: float, now: float, *, known_for_s: float = 0.0
    ) -> bool:
        """A worker names a limit; True if that is news, and not only named again.

        ``known_for_s`` is how long ago it was named, where another box tells of it.
        """
        reported_at = now - known_for_s
        known = self.by_id.get(worker_id)
        if known is None:
            self._evict_oldest()
            self.by_id[worker_id] = ReportedLimit(per_s=per_s, reported_at=reported_at)
            return True
        is_echo = known_for_s > 0.0 and per_s == known.per_s
        if reported_at <= known.reported_at + (ECHO_TOLERANCE_S if is_echo else 0.0):
            return False
        is_news = per_s != known.per_s or known.is_over(now)
        known.per_s = per_s
        known.reported_at = reported_at
        if known.omitted_at <= reported_at:
            known.omitted_at = math.inf
            known.is_end_reported = False
        return is_news

    def note_no_limit(self, worker_id: str, now: float, *, known_for_s: float = 0.0) -> None:
        """An answer of a worker names no limit; it matters for one that named one before."""
        known = self.by_id.get(worker_id)
        omitted_at = now - known_for_s
        if known is not None and omitted_at > known.reported_at:
            known.omitted_at = min(known.omitted_at, omitted_at)

    def limit_of(self, worker_id: str, now: float) -> float | None:
        """The requests a second that a worker takes in all; None if it names no limit."""
        known = self.by_id.get(worker_id)
        return None if known is None or known.is_over(now) else known.per_s

    def blocked_s(self, worker_id: str, now: float) -> float:
        """For how long a worker takes no call of this box, as its limit is reached."""
        known = self.by_id.get(worker_id)
        if known is None or known.is_over(now):
            return 0.0
        return max(0.0, known.blocked_until - now)

    def in_force(self, now: float) -> dict[str, float]:
        """All limits that hold, by worker."""
        return {
            worker_id: known.per_s
            for worker_id, known in self.by_id.items()
            if not known.is_over(now)
        }

    def notices(self, now: float, rng: random.Random, *, most: int) -> tuple[LimitNotice, ...]:
        """What other boxes are told: any ``most`` of them if there are more, also those over."""
        told = list(self.by_id.items())
        if len(told) > most:
            told = rng.sample(told, most)
        return tuple(
            LimitNotice(
                worker=worker_id,
                per_s=known.per_s,
                named_s=now - known.reported_at,
                left_out_s=NOT_OMITTED if known.omitted_at > now else now - known.omitted_at,
            )
            for worker_id, known in told
        )

    def apply_notice(self, notice: LimitNotice, now: float) -> bool:
        """Take in what another box tells of a worker; True if that is news.

        Of a limit that is over nothing is taken over but its end.
        """
        was_left_out = notice.left_out_s >= 0.0
        is_over = was_left_out and notice.named_s >= LIMIT_END_DELAY_S
        is_news = False
        if not is_over or notice.worker in self.by_id:
            named_s = max(0.0, notice.named_s)
            is_news = self.note_limit(notice.worker, notice.per_s, now, known_for_s=named_s)
        if was_left_out:
            self.note_no_limit(notice.worker, now, known_for_s=notice.left_out_s)
        return is_news and not is_over

    def sweep(self, now: float, *, listed: Container[str]) -> list[str]:
        """Forget what is long over; returns workers whose limits have just come to an end."""
        for worker_id, known in list(self.by_id.items()):
            silent_s = now - known.reported_at
            is_gone = worker_id not in listed and silent_s > UNLISTED_TTL_S
            is_long_over = known.is_over(now) and silent_s > LIMIT_END_DELAY_S + ENDED_LIMIT_TTL_S
            if is_gone or is_long_over:
                del self.by_id[worker_id]
        ended = [w for w, known in self.by_id.items() if known.is_over(now)]
        news = [worker_id for worker_id in ended if not self.by_id[worker_id].is_end_reported]
        for worker_id in news:
            self.by_id[worker_id].is_end_reported = True
        return news

    def _evict_oldest(self) -> None:
        """Let go of the limit that has been known longest, if too many are kept."""
        if len(self.by_id) >= MAX_LIMITED_WORKERS:
            del self.by_id[next(iter(self.by_id))]
