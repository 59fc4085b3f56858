"""Which requests end the workers that run them, by what this box and others saw.

A worker that ends leaves every request on it broken off, and which of them ended it can't be told
from one end. The request that did it is there again at the next one; so a request is refused once
three workers have ended under it. Most others that were caught beside it are told apart by what
explains their losses: ends that stand on the record of a request with more of them don't count
against one with fewer.

Pure state, bounded. Times are seconds of the box's steady clock.
"""

from __future__ import annotations

import math
from collections.abc import Iterable
from dataclasses import dataclass, field
from itertools import groupby

from croftchute.tables.crashes import CrashNotice

CRASHES_TO_REFUSE = 3
"""Workers that ended under a request after which it is refused: the users' own bound. Two would
refuse bystanders: of 40 streams caught beside such a request on a logged day, 15 lost two workers,
and one, which its caller repeated, three."""

BASE_REFUSAL_S = 600.0
"""Seconds for which a request is refused after the third end, doubled with each further one: what
made it end workers is mended by people, in minutes to hours. When the time is over it may run once
more, and one more end has it refused again: a request that comes for ever costs two workers in the
first hour after the third, and one an hour later."""

MAX_REFUSAL_S = 3600.0
"""Longest time in seconds for which a request is refused after an end."""

RECORD_TTL_S = 600.0
"""Seconds for which ends are kept that refuse nothing, or nothing any more."""

MAX_RECORDS = 1024
"""Requests of which ends are kept, some 0.6 KB each. Each takes a worker's end to be there."""

MAX_CRASHES_PER_RECORD = 16
"""Ends kept of one request, the latest: six have it refused for the longest time, and what explains
the losses of others reaches some minutes back."""

SUCCESS_TIME_MARGIN_S = 1.0
"""A good end that another box tells is news if it is later by this many seconds: each telling on
makes it seem later by the time that it takes."""


@dataclass(kw_only=True, slots=True)
class CrashRecord:
    """The ends of workers under one request, and its own latest good end.

    ``suspected`` are lives that broke its answer off, and of which it is not known if they ended.
    """

    ended_at_by_life: dict[str, float] = field(default_factory=dict)
    suspected: set[str] = field(default_factory=set)
    succeeded_at: float = -math.inf

    @property
    def lives(self) -> set[str]:
        """What counts against the request before others' records are looked at."""
        ended = {life for life, at in self.ended_at_by_life.items() if at > self.succeeded_at}
        return ended | self.suspected

    @property
    def latest_at(self) -> float:
        """When the latest of the workers ended, or the request did well."""
        return max(self.ended_at_by_life.values(), default=self.succeeded_at)

    def note_crash(self, life: str, at: float) -> bool:
        """Take an end in; True if it is news. Of several tellings the earliest time is the best."""
        self.suspected.discard(life)
        known_at = self.ended_at_by_life.get(life)
        if known_at is not None:
            self.ended_at_by_life[life] = min(known_at, at)
            return False
        self.ended_at_by_life[life] = at
        if len(self.ended_at_by_life) > MAX_CRASHES_PER_RECORD:
            oldest = min(self.ended_at_by_life, key=lambda key: self.ended_at_by_life[key])
            del self.ended_at_by_life[oldest]
            return oldest != life
        return True


def refusal_duration_s(lives: int) -> float:
    """For how long after the latest end a request is refused that so many workers ended under.

    >>> [refusal_duration_s(lives) for lives in (2, 3, 4, 9)]
    [0.0, 600.0, 1200.0, 3600.0]
    """
    if lives < CRASHES_TO_REFUSE:
        return 0.0
    return min(MAX_REFUSAL_S, BASE_REFUSAL_S * 2.0 ** (lives - CRASHES_TO_REFUSE))


@dataclass(kw_only=True)
class CrashRecords:
    """All requests under which workers ended lately, by digest."""

    by_digest: dict[str, CrashRecord] = field(default_factory=dict)
    _refused_until_by_digest: dict[str, float] = field(default_factory=dict)
    _candidates: set[str] = field(default_factory=set)
    _told: int = 0
    _round: int = 0

    def refusal_left_s(self, digest: str, now: float) -> float:
        """For how many seconds from now on a request is refused; 0 if it is not."""
        return max(0.0, self._refused_until_by_digest.get(digest, -math.inf) - now)

    @property
    def has_refusals(self) -> bool:
        """Whether any request may be refused: else no digest needs to be worked out."""
        return bool(self._refused_until_by_digest)

    def crash_count(self, digest: str) -> int:
        """How many workers ended under a request, as far as is known."""
        record = self.by_digest.get(digest)
        return len(record.ended_at_by_life) if record is not None else 0

    # What this box sees.

    def note_suspected_crash(self, digest: str, life: str, now: float) -> None:
        """A worker broke the request's answer off; whether it ended will be known in a moment."""
        record = self._record(digest, now)
        if record is not None and life not in record.ended_at_by_life:
            record.suspected.add(life)
            self._update_refusals_if_needed([digest])

    def resolve_suspicion(self, life: str, *, ended_at: float | None) -> list[str]:
        """Whether a doubted worker ended is known; the requests for which its end is news."""
        suspected = [key for key, record in self.by_digest.items() if life in record.suspected]
        if ended_at is None:
            self._clear_suspicion(life, suspected)
            return []
        news = [key for key in suspected if self.by_digest[key].note_crash(life, ended_at)]
        self._update_refusals_if_needed(news)
        return news

    def _clear_suspicion(self, life: str, digests: list[str]) -> None:
        for digest in digests:
            record = self.by_digest[digest]
            record.suspected.discard(life)
            if not record.lives and record.succeeded_at == -math.inf:
                del self.by_digest[digest]
        self._update_refusals_if_needed(digests)

    def note_success(self, digest: str, now: float) -> bool:
        """The request ran to a good end, so it does not end workers; True if that is news."""
        record = self.by_digest.get(digest)
        if record is None:
            return False
        record.succeeded_at = max(record.succeeded_at, now)
        self._update_refusals_if_needed([digest])
        return True

    # What boxes tell one another.

    def merge(self, notices: Iterable[CrashNotice], now: float) -> list[str]:
        """Take in what another box or the store told; the requests that are refused by it."""
        notices = list(notices)
        digests = {notice.digest for notice in notices}
        refused = {digest for digest in digests if self.refusal_left_s(digest, now) > 0.0}
        self._update_refusals_if_needed(
            [notice.digest for notice in notices if self._merge(notice, now)]
        )
        return [key for key in digests - refused if self.refusal_left_s(key, now) > 0.0]

    def notices(self, digest: str, now: float) -> list[CrashNotice]:
        """All that is known of one request."""
        record = self.by_digest.get(digest)
        if record is None:
            return []
        found = [
            CrashNotice(digest=digest, life=life, age_s=max(0.0, now - at))
            for life, at in record.ended_at_by_life.items()
        ]
        if record.succeeded_at > -math.inf:
            age_s = max(0.0, now - record.succeeded_at)
            found.append(CrashNotice(digest=digest, life="", age_s=age_s))
        return found

    def next_notices(self, now: float, most: int) -> list[CrashNotice]:
        """Some of what is known, a further part with each call: whole requests, at least one.

        One that is refused comes first: boxes that missed its news would lose workers to it.
        """
        if not self.by_digest:
            return []
        self._round += 1
        digests = list(self.by_digest)
        refused = list(self._refused_until_by_digest)
        found = self.notices(refused[self._round % len(refused)], now) if refused else []
        for _ in digests:
            told = self.notices(digests[self._told % len(digests)], now)
            if found and len(found) + len(told) > most:
                break
            found += told
            self._told += 1
        return found

    def sweep(self, now: float) -> None:
        """Forget what is too old to matter."""
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
        """The record of a request, a new one if there is room for it or an older one gives way."""
        record = self.by_digest.get(digest)
        if record is not None:
            return record
        if len(self.by_digest) >= MAX_RECORDS and not self._evict_oldest(at):
            return None
        record = self.by_digest[digest] = CrashRecord()
        return record

    def _evict_oldest(self, at: float) -> bool:
        """Forget the oldest record that refuses nothing, if it is older than the new one."""
        idle = [key for key in self.by_digest if key not in self._candidates]
        if not idle:
            return False
        oldest = min(idle, key=lambda key: self.by_digest[key].latest_at)
        if self.by_digest[oldest].latest_at > at:
            return False
        del self.by_digest[oldest]
        return True

    def _update_refusals_if_needed(self, digests: Iterable[str]) -> None:
        """Judge anew if one of the requests that have changed is refused, or may be now.

        Each worker that ends changes as many records as it ran requests; few of them matter.
        """
        is_due = False
        for digest in digests:
            record = self.by_digest.get(digest)
            was_heavy = digest in self._candidates
            if record is not None and len(record.lives) >= CRASHES_TO_REFUSE:
                self._candidates.add(digest)
                is_due = True
            elif was_heavy:
                self._candidates.remove(digest)
                is_due = True
        if is_due:
            self._update_refusals()

    def _update_refusals(self) -> None:
        """Work out which requests are refused, those with the most ends first.

        Ends of requests with more of them explain those of requests with fewer; requests with
        equally many are judged side by side, as either may be the one.
        """
        lives_by_digest = {digest: self.by_digest[digest].lives for digest in self._candidates}
        heavy = sorted(lives_by_digest, key=lambda key: -len(lives_by_digest[key]))
        refused: dict[str, float] = {}
        explained: set[str] = set()
        for _, group in groupby(heavy, key=lambda key: len(lives_by_digest[key])):
            found = [key for key in group if _is_refused(lives_by_digest[key], explained)]
            for digest in found:
                record = self.by_digest[digest]
                refused[digest] = record.latest_at + refusal_duration_s(
                    len(lives_by_digest[digest])
                )
            explained = explained.union(*(lives_by_digest[digest] for digest in found))
        self._refused_until_by_digest = refused


def _is_refused(lives: set[str], explained: set[str]) -> bool:
    """Whether a request is refused, of whose ends some are explained by others' records.

    One end more than three is enough if nothing explains it. Of several such requests that come
    side by side each may stand at the others' ends: without this one of them ends three more.
    """
    left = len(lives - explained)
    return left >= CRASHES_TO_REFUSE or (left > 0 and len(lives) > CRASHES_TO_REFUSE)
