"""Which workers name a limit: the requests a second that they take from all boxes together.

Kept by life, as answers name it and as other boxes tell. Pure state; times are seconds of a steady
clock.
"""

from __future__ import annotations

import math
import random
from collections.abc import Container
from dataclasses import dataclass, field

from croftchute.tables.peers import NOT_LEFT_OUT, LimitNotice

OVER_AFTER_S = 4.0
"""Seconds since a limit was last named after which an answer that leaves it out ends it. Answers
overtake one another, and some kinds of them may not name it: one alone says little."""

FORGOTTEN_S = 600.0
"""Seconds for which the limit of a worker that is not listed is kept: its entry may come back, from
a copy of the store or after an outage, while it is still in need."""

MAX_KEPT = 4096
"""Most lives of which a limit is kept: nearly twice the workers that docs/CAPACITY.md works out."""

ECHO_S = 0.05
"""Seconds by which a naming that another box tells of must be newer than the one that is known, if
both name the same: what goes round among boxes gets older by less than the time that passes, and
would seem newer each time."""

OVER_KEPT_S = 10.0
"""Seconds for which it is remembered that a limit is over: other boxes may still tell of it."""


@dataclass(kw_only=True, slots=True)
class NamedLimit:
    """A limit as it was named last, and the first answer since then that leaves it out.

    ``closed_until`` is when the worker takes a call of this box again, as far as is known.
    """

    per_s: float
    named_at: float
    left_out_at: float = math.inf
    closed_until: float = -math.inf
    is_noted_over: bool = False

    def is_over(self, now: float) -> bool:
        """Whether the worker takes any number of requests again."""
        return self.left_out_at <= now and now - self.named_at >= OVER_AFTER_S


@dataclass(kw_only=True)
class WorkerLimits:
    """The limits of all lives of workers that named one."""

    by_id: dict[str, NamedLimit] = field(default_factory=dict)

    def note_named(
        self, worker_id: str, per_s: float, now: float, *, known_for_s: float = 0.0
    ) -> bool:
        """A worker names a limit; True if that is news, and not only named again.

        ``known_for_s`` is how long ago it was named, where another box tells of it.
        """
        named_at = now - known_for_s
        known = self.by_id.get(worker_id)
        if known is None:
            self._make_room()
            self.by_id[worker_id] = NamedLimit(per_s=per_s, named_at=named_at)
            return True
        is_echo = known_for_s > 0.0 and per_s == known.per_s
        if named_at <= known.named_at + (ECHO_S if is_echo else 0.0):
            return False
        is_news = per_s != known.per_s or known.is_over(now)
        known.per_s = per_s
        known.named_at = named_at
        if known.left_out_at <= named_at:
            known.left_out_at = math.inf
            known.is_noted_over = False
        return is_news

    def note_left_out(self, worker_id: str, now: float, *, known_for_s: float = 0.0) -> None:
        """An answer of a worker names no limit; it matters for one that named one before."""
        known = self.by_id.get(worker_id)
        left_out_at = now - known_for_s
        if known is not None and left_out_at > known.named_at:
            known.left_out_at = min(known.left_out_at, left_out_at)

    def limit_of(self, worker_id: str, now: float) -> float | None:
        """The requests a second that a worker takes in all; None if it names no limit."""
        known = self.by_id.get(worker_id)
        return None if known is None or known.is_over(now) else known.per_s

    def closed_s(self, worker_id: str, now: float) -> float:
        """For how long a worker takes no call of this box, as its limit is reached."""
        known = self.by_id.get(worker_id)
        if known is None or known.is_over(now):
            return 0.0
        return max(0.0, known.closed_until - now)

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
                named_s=now - known.named_at,
                left_out_s=NOT_LEFT_OUT if known.left_out_at > now else now - known.left_out_at,
            )
            for worker_id, known in told
        )

    def hear(self, notice: LimitNotice, now: float) -> bool:
        """Take in what another box tells of a worker; True if that is news.

        Of a limit that is over nothing is taken over but its end.
        """
        was_left_out = notice.left_out_s >= 0.0
        is_over = was_left_out and notice.named_s >= OVER_AFTER_S
        is_news = False
        if not is_over or notice.worker in self.by_id:
            named_s = max(0.0, notice.named_s)
            is_news = self.note_named(notice.worker, notice.per_s, now, known_for_s=named_s)
        if was_left_out:
            self.note_left_out(notice.worker, now, known_for_s=notice.left_out_s)
        return is_news and not is_over

    def sweep(self, now: float, *, listed: Container[str]) -> list[str]:
        """Forget what is long over; returns workers whose limits have just come to an end."""
        for worker_id, known in list(self.by_id.items()):
            silent_s = now - known.named_at
            is_gone = worker_id not in listed and silent_s > FORGOTTEN_S
            is_long_over = known.is_over(now) and silent_s > OVER_AFTER_S + OVER_KEPT_S
            if is_gone or is_long_over:
                del self.by_id[worker_id]
        ended = [w for w, known in self.by_id.items() if known.is_over(now)]
        news = [worker_id for worker_id in ended if not self.by_id[worker_id].is_noted_over]
        for worker_id in news:
            self.by_id[worker_id].is_noted_over = True
        return news

    def _make_room(self) -> None:
        """Let go of the limit that has been known longest, if too many are kept."""
        if len(self.by_id) >= MAX_KEPT:
            del self.by_id[next(iter(self.by_id))]
