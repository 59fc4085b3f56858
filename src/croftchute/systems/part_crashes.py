"""Find the parts of prompts that crash the workers which write an answer to them.

Prompts share parts, and one part may crash every worker that begins to write, in requests that
are otherwise all different. A crash shows only which requests the worker had just begun, and a
sound part stands in most of them. So two things are recorded of each part: the crashes of workers
that had just begun a request with it, and that a worker which began such a request later went on
writing, which clears the part of the crashes before. Of the parts that are left, those with the
most crashes explain the others'.

Parts that stand at exactly the same crashes can't be told apart. Only requests that have all of
them are refused, so that those with some of them show which one it is.

Records are bounded and no I/O is done here. Times are seconds of the box's monotonic clock.
"""

from __future__ import annotations

from collections import Counter, defaultdict
from collections.abc import Collection, Iterable
from dataclasses import dataclass, field, replace
from itertools import groupby

from croftchute.systems.crash_records import (
    BASE_REFUSAL_S,
    FIRST_TRIAL_S,
    MAX_REFUSAL_S,
    RECORD_TTL_S,
)
from croftchute.systems.notice_rotation import NoticeRotation
from croftchute.tables.crashes import PartNotice

CRASHES_TO_REFUSE = 4
"""Crashes after which a part is refused; the users' bound is five."""

CRASHES_TO_TELL = 2
"""Crashes under a part from which on what is news to a box is passed on at once: each box may have
seen just one of them."""

CRASHES_PER_REQUEST = 2
"""Most crashes under one request that count against its parts. A request that crashes workers by
itself is refused by its own record, and its parts are not to blame."""

BEGINNING_S = 0.6
"""Seconds from the first bytes of an answer within which a crash may be due to its request. A
worker that has written for longer is not crashed by what it answers."""

TRUSTED_SPAN_S = 1.0
"""Seconds over which the crashes under a part must spread that answers were written to before. Many
workers may be lost at once, and requests with a common part run at all of them; if the part is
sound, an answer to it gets past its beginning within this time."""

UNKNOWN_SPAN_S = 0.05
"""The same for parts that this box knows no such answer to: all workers of a service may be lost in
one moment, which all boxes notice within some hundredths of a second."""

TIME_DIGITS = 3
"""Decimal digits of the times of crashes, as they are told to other boxes: with more here, boxes
would not agree whether crashes spread enough."""

ROUNDING_S = 0.5e-6
"""Greatest difference in seconds that comes from sums of rounded times."""

TRIAL_OUTCOME_S = 10.0
"""Seconds after a trial within which a crash counts as its outcome."""

TRIAL_SKEW_S = 4.0
"""Seconds by which a trial at another box may seem later than it was: its time comes by way of the
store and of two clocks. It is less than the time from a crash to the first trial."""

MAX_TRIALS = 16
"""Most trials kept of a part, the latest ones: enough for the longest refusal."""

MAX_CRASHES_PER_PART = 32
"""Most crashes kept of a part, the latest ones."""

REPLACED_AFTER_S = 1.0
"""Seconds by which a crash must be later than the oldest of a full record to take its place."""

MAX_RECORDS = 2048
"""Most parts with a record, some 0.5 KB each. Only a crash creates records, one for each part of
the requests that the worker had just begun."""

MAX_TRUSTED = 4096
"""Most parts remembered as written to, the latest: about 0.5 MB."""

MAX_PARTS_PER_PROMPT = 256
"""Most parts of a prompt that are recorded: bounds what one crash and one answer cost."""


@dataclass(frozen=True, kw_only=True, slots=True)
class PartCrash:
    """A crash under a part: when, under which request, and whether the part is cleared of it.

    ``at`` is rounded to milliseconds.
    """

    at: float
    request: int
    is_cleared: bool = False

    def __post_init__(self) -> None:
        object.__setattr__(self, "at", round(self.at, TIME_DIGITS))


@dataclass(kw_only=True, slots=True)
class PartRecord:
    """The crashes under a part, and the times at which it was tried while refused.

    ``suspected_by_life`` holds workers that broke an answer off and may have crashed.
    """

    crash_by_life: dict[str, PartCrash] = field(default_factory=dict)
    suspected_by_life: dict[str, PartCrash] = field(default_factory=dict)
    tried_at: tuple[float, ...] = ()

    @property
    def counted_by_life(self) -> dict[str, PartCrash]:
        """The crashes that the part is not cleared of."""
        known = {life: crash for life, crash in self.crash_by_life.items() if not crash.is_cleared}
        return self.suspected_by_life | known

    @property
    def latest_at(self) -> float:
        """The time of the latest crash."""
        crashes = [*self.crash_by_life.values(), *self.suspected_by_life.values()]
        return max((crash.at for crash in crashes), default=0.0)

    @property
    def is_trusted(self) -> bool:
        """Whether an answer to the part was written after a crash."""
        return any(crash.is_cleared for crash in self.crash_by_life.values())

    def note_crash(self, life: str, crash: PartCrash) -> bool:
        """Record a crash; return whether anything is new. The earliest of several times counts."""
        self.suspected_by_life.pop(life, None)
        known = self.crash_by_life.get(life)
        if known is None:
            if not self._make_room(crash):
                return False
            self.crash_by_life[life] = crash
            return True
        is_cleared = known.is_cleared or crash.is_cleared
        self.crash_by_life[life] = replace(known, at=min(known.at, crash.at), is_cleared=is_cleared)
        return is_cleared and not known.is_cleared

    def _make_room(self, crash: PartCrash) -> bool:
        """Drop an older crash if there are too many; return False if the new one is not kept.

        Each box that passes a crash on makes it look a little later. A crash is dropped only for a
        clearly later one, so that two boxes don't go on telling each other what they dropped.
        """
        by_life = self.crash_by_life
        if len(by_life) < MAX_CRASHES_PER_PART:
            return True
        oldest = min(by_life, key=lambda life: by_life[life].at)
        if crash.is_cleared or crash.at < by_life[oldest].at + REPLACED_AFTER_S:
            return False
        del by_life[oldest]
        return True

    def clear(self, before: float) -> list[str]:
        """Clear the part of crashes before a time; return the workers that crashed."""
        for life, crash in list(self.suspected_by_life.items()):
            if crash.at < before:
                del self.suspected_by_life[life]
        old = [
            life
            for life, crash in self.crash_by_life.items()
            if crash.at < before and not crash.is_cleared
        ]
        for life in old:
            self.crash_by_life[life] = replace(self.crash_by_life[life], is_cleared=True)
        return old


@dataclass(frozen=True, kw_only=True, slots=True)
class PartRefusal:
    """Requests with all of ``parts`` are refused; from ``trial_at`` on, one may be tried."""

    parts: frozenset[str]
    crashes: int
    trial_at: float

    @property
    def name(self) -> str:
        """The part that the refusal is stored under and known by in logs."""
        return min(self.parts)

    def left_s(self, now: float) -> float:
        """Return the seconds until a request with the parts may be tried."""
        return max(0.0, self.trial_at - now)


def _notice(part: str, life: str, crash: PartCrash, *, now: float) -> PartNotice:
    return PartNotice(
        part=part,
        life=life,
        request=crash.request,
        age_s=max(0.0, now - crash.at),
        is_cleared=crash.is_cleared,
    )


def weigh(crashes: Iterable[PartCrash]) -> int:
    """Return how many crashes count, of which one request accounts for two at most.

    >>> weigh([PartCrash(at=1.0, request=7)] * 3 + [PartCrash(at=1.0, request=8)])
    3
    """
    counts = Counter(crash.request for crash in crashes)
    return sum(min(CRASHES_PER_REQUEST, count) for count in counts.values())


def _is_spread(crashes: Iterable[PartCrash], span_s: float) -> bool:
    times = [crash.at for crash in crashes]
    return max(times) - min(times) >= span_s - ROUNDING_S


def trial_delay_s(failed_trials: int) -> float:
    """Return for how many seconds after the latest crash a part is not tried.

    >>> [trial_delay_s(failed) for failed in (0, 1, 2, 9)]
    [5.0, 600.0, 1200.0, 3600.0]
    """
    if failed_trials == 0:
        return FIRST_TRIAL_S
    return float(min(MAX_REFUSAL_S, BASE_REFUSAL_S * 2.0 ** (failed_trials - 1)))


@dataclass(kw_only=True)
class PartCrashes:
    """The records of all parts under which workers crashed lately, and which parts are refused."""

    by_part: dict[str, PartRecord] = field(default_factory=dict)
    refusals: tuple[PartRefusal, ...] = ()
    _candidates: set[str] = field(default_factory=set)
    _trusted: dict[str, None] = field(default_factory=dict)
    _rotation: NoticeRotation = field(default_factory=NoticeRotation)

    def refusal_of(self, parts: Collection[str]) -> PartRefusal | None:
        """Return why a request with some parts is refused, the latest to end; None if it is not."""
        if not self.refusals:
            return None
        known = frozenset(parts)
        found = [refusal for refusal in self.refusals if refusal.parts <= known]
        return max(found, key=lambda refusal: refusal.trial_at, default=None)

    def may_try(self, refusal: PartRefusal, parts: Collection[str], now: float) -> bool:
        """Return whether a request may show if refused parts still crash workers.

        It is of no use if another of its parts is likely to crash the worker.
        """
        if now < refusal.trial_at:
            return False
        return not any(part in self._candidates for part in parts if part not in refusal.parts)

    @property
    def explained_lives(self) -> frozenset[str]:
        """The workers whose crashes are explained by parts that are refused."""
        parts = [min(refusal.parts) for refusal in self.refusals]
        return frozenset(life for part in parts for life in self.by_part[part].counted_by_life)

    # Observations of this box.

    def note_suspected_crash(
        self, parts: Iterable[str], life: str, *, request: int, now: float
    ) -> None:
        """Record a worker that broke an answer to some parts off and may have crashed.

        It counts as a crash until :meth:`resolve_suspicion` is called, a moment later.
        """
        changed = []
        for part in tuple(parts)[:MAX_PARTS_PER_PROMPT]:
            record = self._record(part)
            if record is not None and life not in record.crash_by_life:
                record.suspected_by_life[life] = PartCrash(at=now, request=request)
                changed.append(part)
        self._judge_if_needed(changed)

    def resolve_suspicion(self, life: str, *, ended_at: float | None) -> list[PartNotice]:
        """Record whether a suspected worker crashed; return what other boxes should know."""
        suspected = [
            part for part, record in self.by_part.items() if life in record.suspected_by_life
        ]
        news = []
        for part in suspected:
            record = self.by_part[part]
            crash = record.suspected_by_life.pop(life)
            if ended_at is not None and record.note_crash(life, replace(crash, at=ended_at)):
                news.append(_notice(part, life, record.crash_by_life[life], now=ended_at))
            elif not record.crash_by_life and not record.suspected_by_life:
                del self.by_part[part]
        self._judge_if_needed(suspected)
        return news

    def note_written(self, parts: Iterable[str], began_at: float, now: float) -> list[PartNotice]:
        """Record that a worker which began an answer to some parts went on with it.

        That clears them of crashes before. Returns what other boxes should know of it.
        """
        cleared = []
        news = []
        for part in tuple(parts)[:MAX_PARTS_PER_PROMPT]:
            self._trusted.pop(part, None)
            self._trusted[part] = None
            record = self.by_part.get(part)
            if record is None:
                continue
            lives = record.clear(began_at)
            if len(lives) >= CRASHES_TO_TELL:
                news += [_notice(part, life, record.crash_by_life[life], now=now) for life in lives]
            if lives:
                cleared.append(part)
        while len(self._trusted) > MAX_TRUSTED:
            del self._trusted[next(iter(self._trusted))]
        self._judge_if_needed(cleared)
        return news

    # Exchange between boxes.

    def merge(self, notices: Iterable[PartNotice], now: float) -> list[PartNotice]:
        """Merge notices from another box or the store; return those to pass on at once.

        These are crashes that may have to be added to others, which other boxes have seen, and
        whatever changes what is refused.
        """
        changed = []
        moved: dict[str, None] = {}
        refusals = self.refusals
        candidates = frozenset(self._candidates)
        for notice in notices:
            if notice.age_s > MAX_REFUSAL_S + RECORD_TTL_S:
                continue
            record = self._record(notice.part)
            if record is None:
                continue
            crash = PartCrash(
                at=now - notice.age_s, request=notice.request, is_cleared=notice.is_cleared
            )
            known = record.crash_by_life.get(notice.life)
            if record.note_crash(notice.life, crash):
                changed.append(notice)
            if record.crash_by_life.get(notice.life) != known:
                moved[notice.part] = None
        self._judge_if_needed(moved)
        if self.refusals != refusals:
            return changed
        return [
            notice
            for notice in changed
            if notice.part in candidates or not (notice.is_cleared or self._is_first(notice.part))
        ]

    def _is_first(self, part: str) -> bool:
        """Return whether only one crash is known that counts against a part."""
        return len(self.by_part[part].counted_by_life) < CRASHES_TO_TELL

    def note_trials(self, parts: Iterable[str], tried_at: Iterable[float]) -> None:
        """Record when refused parts were tried, at any box."""
        tried_at = tuple(tried_at)
        parts = [part for part in parts if part in self.by_part]
        for part in parts:
            record = self.by_part[part]
            record.tried_at = tuple(sorted({*record.tried_at, *tried_at})[-MAX_TRIALS:])
        self._judge_if_needed(parts)

    def notices(self, part: str, now: float) -> list[PartNotice]:
        """Return all that is known about one part."""
        record = self.by_part.get(part)
        if record is None:
            return []
        return [_notice(part, life, crash, now=now) for life, crash in record.crash_by_life.items()]

    def next_notices(self, now: float, most: int) -> list[PartNotice]:
        """Return the next few notices, always some of a refused part."""
        refused = [part for refusal in self.refusals for part in sorted(refusal.parts)]
        return self._rotation.choose(
            refused, list(self.by_part), lambda part: self.notices(part, now), most
        )

    def sweep(self, now: float) -> None:
        """Forget records that are too old to matter."""
        kept_s_by_part = {
            part: refusal.left_s(now) for refusal in self.refusals for part in refusal.parts
        }
        old = [
            part
            for part, record in self.by_part.items()
            if not record.suspected_by_life
            and kept_s_by_part.get(part, 0.0) <= 0.0
            and now > record.latest_at + RECORD_TTL_S + MAX_REFUSAL_S * (part in kept_s_by_part)
        ]
        for part in old:
            del self.by_part[part]
        self._judge_if_needed(old)

    def _record(self, part: str) -> PartRecord | None:
        """Return a part's record as the latest in use, created if needed; None if there is no room.

        A new record takes the place of the one that has been unchanged for longest, unless that one
        may have its part refused.
        """
        record = self.by_part.pop(part, None)
        if record is None and len(self.by_part) >= MAX_RECORDS:
            oldest = next((key for key in self.by_part if key not in self._candidates), None)
            if oldest is None:
                return None
            del self.by_part[oldest]
        self.by_part[part] = record = record if record is not None else PartRecord()
        return record

    def _judge_if_needed(self, parts: Iterable[str]) -> None:
        """Judge anew which parts are refused if a changed part is a candidate or was one."""
        is_due = False
        for part in parts:
            record = self.by_part.get(part)
            was_candidate = part in self._candidates
            self._candidates.discard(part)
            if record is not None and weigh(record.counted_by_life.values()) >= CRASHES_TO_REFUSE:
                self._candidates.add(part)
            is_due = is_due or was_candidate or part in self._candidates
        if is_due:
            self._judge()

    def _judge(self) -> None:
        """Work out which parts are refused, those that no answer was ever written to first.

        Crashes under a part explain those under parts with fewer. Parts at equally many crashes
        are judged together, since each of them may be the cause.
        """
        found: list[PartRefusal] = []
        explained: set[str] = set()
        for is_trusted in (False, True):
            parts_by_lives = defaultdict(list)
            for part in sorted(self._candidates):
                if self._is_trusted(part) is is_trusted:
                    parts_by_lives[frozenset(self.by_part[part].counted_by_life)].append(part)
            by_size = sorted(parts_by_lives, key=lambda lives: -len(lives))
            for _, same_size in groupby(by_size, key=len):
                refused = [
                    lives
                    for lives in same_size
                    if self._is_cause(parts_by_lives[lives][0], explained, is_trusted=is_trusted)
                ]
                found += [self._refusal(parts_by_lives[lives]) for lives in refused]
                explained = explained.union(*refused)
        self.refusals = tuple(found)

    def _is_trusted(self, part: str) -> bool:
        return part in self._trusted or self.by_part[part].is_trusted

    def _is_cause(self, part: str, explained: set[str], *, is_trusted: bool) -> bool:
        """Return whether a part crashes workers, given the crashes that other parts explain.

        More crashes than are needed are enough if at least one is unexplained: two such parts may
        each be present at some of the other's crashes.
        """
        counted = self.by_part[part].counted_by_life
        left = [crash for life, crash in counted.items() if life not in explained]
        if weigh(left) >= CRASHES_TO_REFUSE:
            return _is_spread(left, TRUSTED_SPAN_S if is_trusted else UNKNOWN_SPAN_S)
        if is_trusted or not left or weigh(counted.values()) <= CRASHES_TO_REFUSE:
            return False
        return _is_spread(counted.values(), UNKNOWN_SPAN_S)

    def _refusal(self, parts: list[str]) -> PartRefusal:
        record = self.by_part[parts[0]]
        crashes = record.counted_by_life.values()
        tried_at = {at for part in parts for at in self.by_part[part].tried_at}
        failed = sum(
            any(at - TRIAL_SKEW_S < crash.at <= at + TRIAL_OUTCOME_S for crash in crashes)
            for at in tried_at
        )
        trial_at = max(crash.at for crash in crashes) + trial_delay_s(failed)
        if tried_at:
            trial_at = max(trial_at, max(tried_at) + FIRST_TRIAL_S)
        return PartRefusal(parts=frozenset(parts), crashes=len(crashes), trial_at=trial_at)
