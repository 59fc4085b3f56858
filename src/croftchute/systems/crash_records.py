"""Track which requests crash the workers that run them, from reports of this box and others.

A crash aborts every request on the worker, and a single crash doesn't show which of them caused it.
The one that did causes the next crash too when it is retried, so a request is refused once three
workers have crashed under it. Workers that are lost in one moment, as by a power cut, may have run
the request by chance: if that is all that stands against it, it is tried once some seconds later,
at one box of all. To spare requests that merely ran on the same workers (bystanders), crashes that
a refused request with more crashes explains don't count against one with fewer.

Records are bounded and no I/O is done here. Times are seconds of the box's monotonic clock.
"""

from __future__ import annotations

import math
from collections.abc import Iterable
from dataclasses import dataclass, field
from itertools import groupby

from croftchute.systems.notice_rotation import NoticeRotation
from croftchute.tables.crashes import CrashNotice

CRASHES_TO_REFUSE = 3
"""Crashes after which a request is refused; the users set this bound. Two would refuse bystanders:
of 40 streams that were on a crashing worker beside such a request on a logged day, 15 lost two
workers, and one, which its caller repeated, lost three."""

BASE_REFUSAL_S = 600.0
"""Seconds for which a request is refused after the third crash; each further crash doubles it.
People fix the cause in minutes to hours. After the refusal the request may run once more, and one
more crash refuses it again: a request that is repeated for ever costs two more workers in the first
hour after the third crash, and one per hour after that."""

ONE_EVENT_S = 1.0
"""Seconds within which crashes may be a single event that several workers shared: connections to
them break at once, and probes confirm it within some hundred milliseconds."""

FIRST_TRIAL_S = 5.0
"""Seconds after the latest crash until what is refused may be tried once: short, as it may be
sound, and longer than one event."""

MAX_REFUSAL_S = 3600.0
"""Longest refusal after a crash, in seconds."""

RECORD_TTL_S = 600.0
"""Seconds for which a record is kept after its latest crash, or after its refusal has ended."""

MAX_RECORDS = 1024
"""Most requests with a record, about 0.6 KB each. A record is only created by a worker's crash."""

MAX_CRASHES_PER_RECORD = 16
"""Most crashes kept per request, the latest ones. Six already give the longest refusal, and crashes
that explain the losses of other requests are at most some minutes old."""

SUCCESS_TIME_MARGIN_S = 1.0
"""Seconds by which another box's report of a success must be later than the known one to count as
new, because each hop makes the success look later by its delay."""


@dataclass(kw_only=True, slots=True)
class CrashRecord:
    """The crashes of workers under one request, and the request's latest success.

    ``suspected`` are instances that broke off the request's answer and may have crashed, which is
    not yet confirmed. ``tried_at`` is when it was last tried while refused, at any box.
    """

    ended_at_by_life: dict[str, float] = field(default_factory=dict)
    suspected: set[str] = field(default_factory=set)
    succeeded_at: float = -math.inf
    tried_at: float = -math.inf

    @property
    def is_one_event(self) -> bool:
        """Whether a single event may explain all crashes that count against the request."""
        times = [at for at in self.ended_at_by_life.values() if at > self.succeeded_at]
        if self.suspected or not times:
            return False
        return max(times) - min(times) < ONE_EVENT_S

    @property
    def counted_instances(self) -> set[str]:
        """The instances that count against the request before explanations are considered."""
        ended = {
            instance for instance, at in self.ended_at_by_life.items() if at > self.succeeded_at
        }
        return ended | self.suspected

    @property
    def latest_at(self) -> float:
        """The time of the latest crash, or of the latest success if there is no crash."""
        return max(self.ended_at_by_life.values(), default=self.succeeded_at)

    def note_crash(self, instance: str, at: float) -> bool:
        """Record a crash; return True if it is new. Of several reports the earliest time counts."""
        self.suspected.discard(instance)
        known_at = self.ended_at_by_life.get(instance)
        if known_at is not None:
            self.ended_at_by_life[instance] = min(known_at, at)
            return False
        self.ended_at_by_life[instance] = at
        if len(self.ended_at_by_life) > MAX_CRASHES_PER_RECORD:
            oldest = min(self.ended_at_by_life, key=lambda key: self.ended_at_by_life[key])
            del self.ended_at_by_life[oldest]
            return oldest != instance
        return True


def refusal_duration_s(crashes: int) -> float:
    """Return for how many seconds after the latest crash a request is refused.

    >>> [refusal_duration_s(crashes) for crashes in (2, 3, 4, 9)]
    [0.0, 600.0, 1200.0, 3600.0]
    """
    if crashes < CRASHES_TO_REFUSE:
        return 0.0
    return min(MAX_REFUSAL_S, BASE_REFUSAL_S * 2.0 ** (crashes - CRASHES_TO_REFUSE))


@dataclass(frozen=True, kw_only=True, slots=True)
class RefusalChange:
    """The digests of requests that became refused, and of those that are refused no longer."""

    refused: list[str]
    freed: list[str]


@dataclass(kw_only=True)
class CrashRecords:
    """The records of all requests under which workers crashed recently, by request digest."""

    by_digest: dict[str, CrashRecord] = field(default_factory=dict)
    _refused_until_by_digest: dict[str, float] = field(default_factory=dict)
    _refusal_candidates: set[str] = field(default_factory=set)
    _explained_elsewhere: frozenset[str] = frozenset()
    _rotation: NoticeRotation = field(default_factory=NoticeRotation)

    def refusal_left_s(self, digest: str, now: float) -> float:
        """Return for how many more seconds a request is refused; 0 if it is not."""
        return max(0.0, self._refused_until_by_digest.get(digest, -math.inf) - now)

    def trial_left_s(self, digest: str, now: float) -> float:
        """Return for how many more seconds a refused request is not tried; infinite if never."""
        record = self.by_digest.get(digest)
        if record is None or not record.is_one_event:
            return math.inf
        return max(0.0, max(record.latest_at, record.tried_at) + FIRST_TRIAL_S - now)

    def may_try(self, digest: str, now: float) -> bool:
        """Return whether a request is refused and may be tried, once for all boxes."""
        return self.refusal_left_s(digest, now) > 0.0 and self.trial_left_s(digest, now) == 0.0

    def note_trial(self, digest: str, at: float) -> None:
        """Record when a refused request was tried, at any box."""
        record = self.by_digest.get(digest)
        if record is not None:
            record.tried_at = max(record.tried_at, at)

    @property
    def has_refusals(self) -> bool:
        """Whether any request is refused; if not, digests need not be computed."""
        return bool(self._refused_until_by_digest)

    def crash_count(self, digest: str) -> int:
        """Return the number of known crashes under a request."""
        record = self.by_digest.get(digest)
        return len(record.ended_at_by_life) if record is not None else 0

    # Observations of this box.

    def note_suspected_crash(self, digest: str, instance: str, now: float) -> None:
        """Record a worker that broke off a request's answer and may have crashed.

        It counts as a crash until :meth:`resolve_suspicion` is called, a moment later.
        """
        record = self._record(digest, now)
        if record is not None and instance not in record.ended_at_by_life:
            record.suspected.add(instance)
            self._update_refusals_if_needed([digest])

    def resolve_suspicion(self, instance: str, *, ended_at: float | None) -> list[str]:
        """Record whether a suspected worker crashed; return the requests for which it is new."""
        suspected = [key for key, record in self.by_digest.items() if instance in record.suspected]
        if ended_at is None:
            self._clear_suspicion(instance, suspected)
            return []
        changed = [key for key in suspected if self.by_digest[key].note_crash(instance, ended_at)]
        self._update_refusals_if_needed(changed)
        return changed

    def _clear_suspicion(self, instance: str, digests: list[str]) -> None:
        for digest in digests:
            record = self.by_digest[digest]
            record.suspected.discard(instance)
            if not record.counted_instances and record.succeeded_at == -math.inf:
                del self.by_digest[digest]
        self._update_refusals_if_needed(digests)

    def note_explained(self, instances: frozenset[str]) -> None:
        """Record the workers whose crashes something else than a request as a whole explains.

        They count against no request. Those that share the cause are refused because of it.
        """
        if instances != self._explained_elsewhere:
            self._explained_elsewhere = instances
            self._update_refusals()

    def note_success(self, digest: str, now: float) -> bool:
        """Record that a request ended well, so does not crash workers; return True if new."""
        record = self.by_digest.get(digest)
        if record is None:
            return False
        record.succeeded_at = max(record.succeeded_at, now)
        self._update_refusals_if_needed([digest])
        return True

    # Exchange between boxes.

    def merge(self, notices: Iterable[CrashNotice], now: float) -> list[str]:
        """Merge notices from another box or the store; return the requests newly refused."""
        return self.merge_and_compare(notices, now).refused

    def merge_and_compare(self, notices: Iterable[CrashNotice], now: float) -> RefusalChange:
        """Merge notices; return the requests that are refused from now on, or no longer."""
        notices = list(notices)
        digests = {notice.digest for notice in notices}
        before = {digest for digest in digests if self.refusal_left_s(digest, now) > 0.0}
        self._update_refusals_if_needed(
            [notice.digest for notice in notices if self._merge(notice, now)]
        )
        after = {digest for digest in digests if self.refusal_left_s(digest, now) > 0.0}
        return RefusalChange(refused=sorted(after - before), freed=sorted(before - after))

    def notices(self, digest: str, now: float) -> list[CrashNotice]:
        """Return all that is known about one request."""
        record = self.by_digest.get(digest)
        if record is None:
            return []
        found = [
            CrashNotice(digest=digest, life=instance, age_s=max(0.0, now - at))
            for instance, at in record.ended_at_by_life.items()
        ]
        if record.succeeded_at > -math.inf:
            age_s = max(0.0, now - record.succeeded_at)
            found.append(CrashNotice(digest=digest, life="", age_s=age_s))
        return found

    def next_notices(self, now: float, most: int) -> list[CrashNotice]:
        """Return the next few notices, always those of a refused request.

        Boxes that missed the notices of a refused request would lose workers to it.
        """
        return self._rotation.choose(
            list(self._refused_until_by_digest),
            list(self.by_digest),
            lambda digest: self.notices(digest, now),
            most,
        )

    def sweep(self, now: float) -> None:
        """Forget records that are too old to matter."""
        old = [
            digest
            for digest, record in self.by_digest.items()
            if not record.suspected and now > record.latest_at + self._kept_s(digest, record)
        ]
        for digest in old:
            del self.by_digest[digest]
        self._update_refusals_if_needed(old)

    def _kept_s(self, digest: str, record: CrashRecord) -> float:
        refused_until = self._refused_until_by_digest.get(digest, record.latest_at)
        return max(0.0, refused_until - record.latest_at) + RECORD_TTL_S

    def _merge(self, notice: CrashNotice, now: float) -> bool:
        at = now - notice.age_s
        if notice.is_success:
            record = self.by_digest.get(notice.digest)
            if record is None or at <= record.succeeded_at + SUCCESS_TIME_MARGIN_S:
                return False
            record.succeeded_at = at
            return True
        if notice.age_s > MAX_REFUSAL_S + RECORD_TTL_S:
            return False
        record = self._record(notice.digest, at)
        return record is not None and record.note_crash(notice.life, at)

    def _record(self, digest: str, at: float) -> CrashRecord | None:
        """Return a request's record, created if needed; None if no old record can be evicted."""
        record = self.by_digest.get(digest)
        if record is not None:
            return record
        if len(self.by_digest) >= MAX_RECORDS and not self._evict_oldest(at):
            return None
        record = self.by_digest[digest] = CrashRecord()
        return record

    def _evict_oldest(self, at: float) -> bool:
        """Drop the oldest record that causes no refusal, if it is older than the new one."""
        idle = [key for key in self.by_digest if key not in self._refusal_candidates]
        if not idle:
            return False
        oldest = min(idle, key=lambda key: self.by_digest[key].latest_at)
        if self.by_digest[oldest].latest_at > at:
            return False
        del self.by_digest[oldest]
        return True

    def _update_refusals_if_needed(self, digests: Iterable[str]) -> None:
        """Recompute the refusals if a changed request is a candidate or was one.

        Candidates are the requests with enough crashes to be refused if none of them is explained.
        A crash changes as many records as the worker ran requests; few of them are candidates.
        """
        is_due = False
        for digest in digests:
            record = self.by_digest.get(digest)
            was_candidate = digest in self._refusal_candidates
            if record is not None and len(record.counted_instances) >= CRASHES_TO_REFUSE:
                self._refusal_candidates.add(digest)
                is_due = True
            elif was_candidate:
                self._refusal_candidates.remove(digest)
                is_due = True
        if is_due:
            self._update_refusals()

    def _update_refusals(self) -> None:
        """Compute which requests are refused, starting with those with the most crashes.

        Crashes of a request explain those of requests with fewer. Requests with equally many are
        judged together, since each of them may be the cause.
        """
        instances_by_digest = {
            digest: self.by_digest[digest].counted_instances - self._explained_elsewhere
            for digest in self._refusal_candidates
        }
        by_crash_count = sorted(instances_by_digest, key=lambda key: -len(instances_by_digest[key]))
        refused: dict[str, float] = {}
        explained: set[str] = set()
        for _, group in groupby(by_crash_count, key=lambda key: len(instances_by_digest[key])):
            found = [key for key in group if _is_refused(instances_by_digest[key], explained)]
            for digest in found:
                record = self.by_digest[digest]
                refused[digest] = record.latest_at + refusal_duration_s(
                    len(instances_by_digest[digest])
                )
            explained = explained.union(*(instances_by_digest[digest] for digest in found))
        self._refused_until_by_digest = refused


def _is_refused(instances: set[str], explained: set[str]) -> bool:
    """Return whether a request is refused, given the crashes that other records explain.

    More than three crashes are enough if at least one is unexplained. When several crashing
    requests run side by side, each may be present at the others' crashes; without this rule one of
    them would crash three more workers.
    """
    left = len(instances - explained)
    return left >= CRASHES_TO_REFUSE or (left > 0 and len(instances) > CRASHES_TO_REFUSE)
