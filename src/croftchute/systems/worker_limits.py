"""The limits that workers set: requests per second that they accept from all boxes together.

Limits are kept per instance, from the workers' answers and from other boxes' notices. Methods do no
I/O; times are seconds of a monotonic clock.
"""

from __future__ import annotations

import math
import random
from collections.abc import Container
from dataclasses import dataclass, field

from croftchute.tables.peers import NOT_OMITTED, LimitNotice

LIMIT_END_DELAY_S = 4.0
"""Seconds after the last answer with a limit before an answer without one ends the limit. Answers
may arrive out of order, and some kinds of answer may omit the limit, so a single answer without one
doesn't show that the limit has ended."""

UNLISTED_TTL_S = 600.0
"""Seconds for which the limit of an unlisted worker is kept. Its entry may come back from a copy of
the store or after an outage while the limit still applies."""

MAX_LIMITED_WORKERS = 4096
"""Most instances of which a limit is kept: nearly twice the workers that docs/CAPACITY.md
derives."""

ECHO_TOLERANCE_S = 0.05
"""Seconds by which another box's report must be newer than the known one if both give the same
limit. The age of a forwarded report excludes the network delay, so a report that circulates among
boxes would otherwise seem newer with each hop."""

ENDED_LIMIT_TTL_S = 10.0
"""Seconds for which an ended limit is remembered, as other boxes may still report it."""


@dataclass(kw_only=True, slots=True)
class ReportedLimit:
    """A limit as last reported, and the first later answer that omits it.

    ``blocked_until`` is when the worker next accepts a call of this box, as far as is known.
    """

    per_s: float
    reported_at: float
    omitted_at: float = math.inf
    blocked_until: float = -math.inf
    is_end_reported: bool = False

    def is_over(self, now: float) -> bool:
        """Return whether the limit has ended."""
        return self.omitted_at <= now and now - self.reported_at >= LIMIT_END_DELAY_S


@dataclass(kw_only=True)
class WorkerLimits:
    """The limits of all worker instances that reported one."""

    by_id: dict[str, ReportedLimit] = field(default_factory=dict)

    def note_limit(
        self, worker_id: str, per_s: float, now: float, *, known_for_s: float = 0.0
    ) -> bool:
        """Record a limit; return True if it is new or has changed.

        ``known_for_s`` is the age of the report, if it comes from another box.
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
        is_new = per_s != known.per_s or known.is_over(now)
        known.per_s = per_s
        known.reported_at = reported_at
        if known.omitted_at <= reported_at:
            known.omitted_at = math.inf
            known.is_end_reported = False
        return is_new

    def note_no_limit(self, worker_id: str, now: float, *, known_for_s: float = 0.0) -> None:
        """Record an answer without a limit, if the worker had reported one before."""
        known = self.by_id.get(worker_id)
        omitted_at = now - known_for_s
        if known is not None and omitted_at > known.reported_at:
            known.omitted_at = min(known.omitted_at, omitted_at)

    def limit_of(self, worker_id: str, now: float) -> float | None:
        """Return the requests per second that a worker accepts; None if it has no limit."""
        known = self.by_id.get(worker_id)
        return None if known is None or known.is_over(now) else known.per_s

    def blocked_s(self, worker_id: str, now: float) -> float:
        """Return for how long a worker accepts no call of this box because of its limit."""
        known = self.by_id.get(worker_id)
        if known is None or known.is_over(now):
            return 0.0
        return max(0.0, known.blocked_until - now)

    def in_force(self, now: float) -> dict[str, float]:
        """Return all limits in force, by worker id."""
        return {
            worker_id: known.per_s
            for worker_id, known in self.by_id.items()
            if not known.is_over(now)
        }

    def notices(self, now: float, rng: random.Random, *, most: int) -> tuple[LimitNotice, ...]:
        """Return at most ``most`` limits for other boxes, ended ones included, chosen at random."""
        selected = list(self.by_id.items())
        if len(selected) > most:
            selected = rng.sample(selected, most)
        return tuple(
            LimitNotice(
                worker=worker_id,
                per_s=known.per_s,
                named_s=now - known.reported_at,
                left_out_s=NOT_OMITTED if known.omitted_at > now else now - known.omitted_at,
            )
            for worker_id, known in selected
        )

    def apply_notice(self, notice: LimitNotice, now: float) -> bool:
        """Apply another box's notice about a worker; return True if it is new.

        Of an ended limit only the end is taken over.
        """
        was_omitted = notice.left_out_s >= 0.0
        is_over = was_omitted and notice.named_s >= LIMIT_END_DELAY_S
        is_new = False
        if not is_over or notice.worker in self.by_id:
            named_s = max(0.0, notice.named_s)
            is_new = self.note_limit(notice.worker, notice.per_s, now, known_for_s=named_s)
        if was_omitted:
            self.note_no_limit(notice.worker, now, known_for_s=notice.left_out_s)
        return is_new and not is_over

    def sweep(self, now: float, *, listed: Container[str]) -> list[str]:
        """Forget limits that ended long ago; return the workers whose limits have just ended."""
        for worker_id, known in list(self.by_id.items()):
            report_age_s = now - known.reported_at
            is_gone = worker_id not in listed and report_age_s > UNLISTED_TTL_S
            is_long_over = (
                known.is_over(now) and report_age_s > LIMIT_END_DELAY_S + ENDED_LIMIT_TTL_S
            )
            if is_gone or is_long_over:
                del self.by_id[worker_id]
        ended = [w for w, known in self.by_id.items() if known.is_over(now)]
        newly_ended = [
            worker_id for worker_id in ended if not self.by_id[worker_id].is_end_reported
        ]
        for worker_id in newly_ended:
            self.by_id[worker_id].is_end_reported = True
        return newly_ended

    def _evict_oldest(self) -> None:
        """Drop the oldest limit if too many are kept."""
        if len(self.by_id) >= MAX_LIMITED_WORKERS:
            del self.by_id[next(iter(self.by_id))]
