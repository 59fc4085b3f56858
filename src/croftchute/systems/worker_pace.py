"""How long work takes at each worker, over what is usual for its service.

Three sources are mixed by their age: what the worker told, which holds for a moment; what its
answers showed, here and at peers; and the prior that it is as quick as others. As the first two
age the prior comes back, so that a worker that was slow is tried again. What a worker tells counts
less where its answers contradict it.
"""

from __future__ import annotations

import heapq
import math
from collections.abc import Iterable
from dataclasses import dataclass, field

from croftchute.tables.paces import PaceEstimate, PaceSource, WorkKind
from croftchute.tables.peers import WorkerPaceNotice

LOWEST_PACE = 0.2
"""Least time of work over the usual that is believed: none is five times quicker than most."""

HIGHEST_PACE = 10.0
"""Most of it: a worker that is ten times slower is as good as away."""

TOLD_HALF_LIFE_S = 0.3
"""Seconds after which a told pace counts half: it changes many times a second."""

TOLD_WEIGHT = 6.0
"""Weight of a pace told just now, in answers seen: it is the worker's own word."""

SEEN_HALF_LIFE_S = {WorkKind.ANSWER: 0.5, WorkKind.READING: 8.0, WorkKind.TOKEN: 8.0}
"""Seconds after which an answer counts half, by kind of work. Plain answers come many times a
second, so that a worker that is quick again is found soon; prompts are few and dear."""

MOST_SEEN_WEIGHT = 4.0
"""Weight of all answers together at most: the newest show a change within a few."""

PEER_SHARE = 0.5
"""Weight of what peers saw, over what this box saw: their links are others."""

PRIOR_WEIGHT = 1.0
"""Weight of the prior, in answers seen."""

MOST_PACE_TOLD = 100.0
"""Told pace over which, or under one over which, the figure is no pace: ten times what is believed
still means a worker in trouble, more means another unit."""

MOST_RATIO_SEEN = 10_000.0
"""The same of times seen: an answer after the longest timeouts of 14 s is 2,800 times the usual of
the quickest services, 5 ms."""

TOLD_MEAN_HALF_LIFE_S = 8.0
"""Seconds after which the mean of told paces counts half, which work goes by that lasts longer than
a told pace holds: some engines are slower than others for all of their lives."""

MOST_TOLD_MEAN_WEIGHT = 1.0
"""Weight of that mean at most, in answers seen: no more than the prior, so that a worker that was
slow is more than half back at the prior 2 s after its last word."""

SAME_WORD_S = 0.25
"""Seconds by which a pace told by a peer must be newer to count again in the mean: the same word
comes with each notice, every 0.5 s, and its age differs by the delay on the way."""

FRESH_TOLD_S = 0.3
"""Age up to which a told pace is compared with an answer: its half-life."""

USUAL_DOUBT = math.log(2.0)
"""Difference of the logarithms of told and seen paces that is usual: prompts differ by half, and
some answers waited."""

TRUST_PER_DOUBT = 2.5
"""How quickly a told pace loses weight with the difference beyond that: at a factor of five
between told and seen a tenth of the weight is left."""

DOUBT_HALF_LIFE_S = 8.0
"""Seconds after which a contradiction counts half: some answers are seen in that time."""

TELLS_FOR_S = 10.0
"""Seconds for which a worker counts as one that tells its pace: streams last for some."""

FORGET_S = 60.0
"""Seconds after which nothing is left of any figure."""

MOST_NOTICES = 32
"""Workers told of in one notice: bounds a datagram."""

MIN_WEIGHT_TOLD = 0.1
"""Weight under which peers are told nothing of what was seen."""


@dataclass(kw_only=True, slots=True)
class _Mean:
    """A mean whose weight fades, of logarithms of paces or their differences."""

    half_life_s: float
    most_weight: float = MOST_SEEN_WEIGHT
    value: float = 0.0
    weight: float = 0.0
    at: float = -math.inf

    def weight_at(self, now: float) -> float:
        """What is left of the weight."""
        if self.weight <= 0.0:
            return 0.0
        return self.weight * 0.5 ** (max(0.0, now - self.at) / self.half_life_s)

    def add(self, value: float, weight: float, now: float) -> None:
        """Take in one more figure."""
        left = self.weight_at(now)
        self.value = (left * self.value + weight * value) / (left + weight)
        self.weight = min(self.most_weight, left + weight)
        self.at = max(self.at, now)


@dataclass(kw_only=True, slots=True)
class _Told:
    """The newest word of a worker, and when it was said."""

    log: float = 0.0
    at: float = -math.inf


@dataclass(kw_only=True, slots=True)
class _Worker:
    """What is known of one life of a worker.

    ``told_here`` is its word to this box alone, which peers are told; ``told`` may be from a peer.
    """

    told: _Told = field(default_factory=_Told)
    told_here: _Told = field(default_factory=_Told)
    told_mean: _Mean = field(
        default_factory=lambda: _Mean(
            half_life_s=TOLD_MEAN_HALF_LIFE_S, most_weight=MOST_TOLD_MEAN_WEIGHT
        )
    )
    doubt: _Mean = field(default_factory=lambda: _Mean(half_life_s=DOUBT_HALF_LIFE_S))
    seen_by_kind: dict[WorkKind, _Mean] = field(default_factory=dict)
    heard_by_kind: dict[WorkKind, _Mean] = field(default_factory=dict)

    @property
    def heard_at(self) -> float:
        """When the newest figure of any source came."""
        means = (*self.seen_by_kind.values(), *self.heard_by_kind.values())
        return max([self.told.at, *(mean.at for mean in means)])

    @property
    def last_seen(self) -> _Mean | None:
        """The mean of the kind of work that was seen last; a worker mostly does one kind."""
        return max(self.seen_by_kind.values(), key=lambda mean: mean.at, default=None)

    def trust(self, now: float) -> float:
        """The share of its weight that a told pace keeps, by how far answers contradicted it."""
        weight = self.doubt.weight_at(now)
        doubt = abs(self.doubt.value) * weight / (PRIOR_WEIGHT + weight)
        return math.exp(-TRUST_PER_DOUBT * max(0.0, doubt - USUAL_DOUBT))


@dataclass(kw_only=True)
class WorkerPaces:
    """The paces of all workers by id of their lives; a new life begins at the prior."""

    _by_id: dict[str, _Worker] = field(default_factory=dict)

    def note_told(self, worker_id: str, pace: float, now: float, *, age_s: float = 0.0) -> None:
        """A worker said how long its work takes; an older word counts nothing."""
        log = _log(pace, most=MOST_PACE_TOLD)
        if log is None or not (0.0 <= age_s < TELLS_FOR_S):
            return
        known = self._by_id.setdefault(worker_id, _Worker())
        told_at = now - age_s
        if told_at > known.told_here.at:
            known.told_here = _Told(log=log, at=told_at)
        self._take_word(known, _Told(log=log, at=told_at))

    def note_seen(self, worker_id: str, kind: WorkKind, ratio: float, now: float) -> None:
        """Work took so many times as long as it usually does."""
        log = _log(ratio, most=MOST_RATIO_SEEN)
        if log is None:
            return
        known = self._by_id.setdefault(worker_id, _Worker())
        seen = known.seen_by_kind.setdefault(kind, _Mean(half_life_s=SEEN_HALF_LIFE_S[kind]))
        seen.add(log, 1.0, now)
        if now - known.told.at <= FRESH_TOLD_S:
            known.doubt.add(log - known.told.log, 1.0, now)

    def hear(self, notice: WorkerPaceNotice, kind: WorkKind, now: float) -> None:
        """A peer told of a worker; the same answers are told again with every notice."""
        told_log = _log(notice.told, most=MOST_PACE_TOLD)
        if told_log is not None and 0.0 <= notice.told_age_s < TELLS_FOR_S:
            known = self._by_id.setdefault(notice.worker, _Worker())
            word = _Told(log=told_log, at=now - notice.told_age_s)
            self._take_word(known, word, newer_s=SAME_WORD_S)
        log = _log(notice.seen, most=MOST_RATIO_SEEN)
        if log is None or not (0.0 < notice.seen_weight <= MOST_SEEN_WEIGHT):
            return
        known = self._by_id.setdefault(notice.worker, _Worker())
        weight = PEER_SHARE * notice.seen_weight
        heard = known.heard_by_kind.get(kind)
        if heard is None or heard.weight_at(now) <= weight:
            half_life_s = SEEN_HALF_LIFE_S[kind]
            known.heard_by_kind[kind] = _Mean(
                half_life_s=half_life_s, value=log, weight=weight, at=now
            )
        else:
            heard.add(log, 0.5 * weight, now)

    @staticmethod
    def _take_word(known: _Worker, word: _Told, *, newer_s: float = 0.0) -> None:
        """Take in a told pace that is newer than what is known, by some seconds for the mean."""
        if word.at <= known.told.at:
            return
        known.told = word
        if word.at > known.told_mean.at + newer_s:
            known.told_mean.add(word.log, 1.0, word.at)

    def estimate(self, worker_id: str, kind: WorkKind, now: float) -> PaceEstimate:
        """The pace of a worker at a kind of work, by all sources."""
        known = self._by_id.get(worker_id)
        if known is None:
            return PaceEstimate(factor=1.0, source=PaceSource.PRIOR, age_s=math.inf)
        trust = known.trust(now)
        told_age_s = max(0.0, now - known.told.at)
        told_weight = trust * TOLD_WEIGHT * 0.5 ** (told_age_s / TOLD_HALF_LIFE_S)
        parts = [
            (PRIOR_WEIGHT, 0.0, PaceSource.PRIOR, math.inf),
            (told_weight, known.told.log, PaceSource.TOLD, told_age_s),
        ]
        if kind is not WorkKind.ANSWER:
            mean = known.told_mean
            weight = trust * mean.weight_at(now)
            parts.append((weight, mean.value, PaceSource.TOLD, told_age_s))
        for mean_by_kind, source in (
            (known.seen_by_kind, PaceSource.SEEN),
            (known.heard_by_kind, PaceSource.PEERS),
        ):
            if (seen := mean_by_kind.get(kind)) is not None:
                parts.append((seen.weight_at(now), seen.value, source, max(0.0, now - seen.at)))
        total = sum(weight for weight, *_ in parts)
        factor = math.exp(sum(weight * log for weight, log, *_ in parts) / total)
        _, _, source, age_s = max(parts, key=lambda part: part[0])
        return PaceEstimate(factor=factor, source=source, age_s=age_s)

    def is_known(self, worker_id: str) -> bool:
        """Whether any figure of a worker came lately."""
        return worker_id in self._by_id

    def told(self, worker_id: str, now: float) -> float | None:
        """The pace that a worker told this box just now; None if it told none in the half-life."""
        known = self._by_id.get(worker_id)
        if known is None or now - known.told_here.at > TOLD_HALF_LIFE_S:
            return None
        return math.exp(known.told_here.log)

    def is_told(self, worker_ids: Iterable[str], now: float) -> bool:
        """Whether some of the workers told their pace lately."""
        return any(
            known is not None and now - known.told.at <= TELLS_FOR_S
            for known in (self._by_id.get(worker_id) for worker_id in worker_ids)
        )

    def notices(self, now: float) -> tuple[WorkerPaceNotice, ...]:
        """What peers are told, of workers that tell their pace: what this box was told and saw.

        Those that this box heard of last come first. What peers told is not told on: a word would
        come back and count again.
        """
        self._sweep(now)
        rows = [
            (at, notice)
            for worker_id, known in self._by_id.items()
            if now - known.told.at <= TELLS_FOR_S
            and (at := _here_at(known)) > -math.inf
            and (notice := _notice(worker_id, known, now)) is not None
        ]
        newest = heapq.nlargest(MOST_NOTICES, rows, key=lambda row: row[0])
        return tuple(notice for _, notice in newest)

    def _sweep(self, now: float) -> None:
        """Forget workers of which nothing was heard for long: their lives are over, or idle."""
        old = [key for key, known in self._by_id.items() if now - known.heard_at > FORGET_S]
        for worker_id in old:
            del self._by_id[worker_id]

    def forget(self, worker_id: str) -> None:
        """A life of a worker is over."""
        self._by_id.pop(worker_id, None)


def _here_at(known: _Worker) -> float:
    """When this box last heard of a worker by its answers."""
    seen = known.last_seen
    return max(known.told_here.at, seen.at if seen is not None else -math.inf)


def _notice(worker_id: str, known: _Worker, now: float) -> WorkerPaceNotice | None:
    """What peers are told of a worker; None if that is nothing."""
    told = known.told_here
    is_told = now - told.at <= TELLS_FOR_S
    seen = known.last_seen
    weight = seen.weight_at(now) if seen is not None else 0.0
    is_seen = seen is not None and weight >= MIN_WEIGHT_TOLD
    if not (is_told or is_seen):
        return None
    return WorkerPaceNotice(
        worker=worker_id,
        told=math.exp(told.log) if is_told else 0.0,
        told_age_s=max(0.0, now - told.at) if is_told else 0.0,
        seen=math.exp(seen.value) if is_seen and seen is not None else 0.0,
        seen_weight=weight if is_seen else 0.0,
    )


def _log(pace: float, *, most: float) -> float | None:
    """The logarithm of a pace, held within what is believed; None if it is none.

    >>> [_log(pace, most=100.0) for pace in (-1.0, float("nan"), float("inf"), 1e9, 1.0)]
    [None, None, None, None, 0.0]
    """
    if not 1.0 / most <= pace <= most:
        return None
    return math.log(min(HIGHEST_PACE, max(LOWEST_PACE, pace)))
