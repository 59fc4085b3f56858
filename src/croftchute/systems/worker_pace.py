"""How long work takes at each worker, over what is usual for its service.

Three sources are mixed by their age: what the worker told, which holds for a moment; what its
answers showed, here and at peers; and the prior that it is as quick as others. As the first two
age the prior comes back, so that a worker that was slow is tried again.
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
    """A mean of logarithms of paces whose weight fades."""

    half_life_s: float
    log: float = 0.0
    weight: float = 0.0
    at: float = -math.inf

    def weight_at(self, now: float) -> float:
        """What is left of the weight."""
        if self.weight <= 0.0:
            return 0.0
        return self.weight * 0.5 ** (max(0.0, now - self.at) / self.half_life_s)

    def add(self, log: float, weight: float, now: float) -> None:
        """Take in one more figure."""
        left = self.weight_at(now)
        self.log = (left * self.log + weight * log) / (left + weight)
        self.weight = min(MOST_SEEN_WEIGHT, left + weight)
        self.at = max(self.at, now)


@dataclass(kw_only=True, slots=True)
class _Worker:
    """What is known of one life of a worker."""

    told_log: float = 0.0
    told_at: float = -math.inf
    told_mean: _Mean = field(default_factory=lambda: _Mean(half_life_s=8.0))
    seen: _Mean | None = None
    heard: _Mean | None = None

    @property
    def heard_at(self) -> float:
        """When the newest figure of any source came."""
        means = [mean.at for mean in (self.seen, self.heard) if mean is not None]
        return max([self.told_at, *means])


@dataclass(kw_only=True)
class WorkerPaces:
    """The paces of all workers by id of their lives; a new life begins at the prior."""

    _by_id: dict[str, _Worker] = field(default_factory=dict)

    def note_told(self, worker_id: str, pace: float, now: float, *, age_s: float = 0.0) -> None:
        """A worker said how long its work takes; an older word counts nothing."""
        log = _log(pace)
        if log is None or not (0.0 <= age_s < TELLS_FOR_S):
            return
        known = self._by_id.setdefault(worker_id, _Worker())
        told_at = now - age_s
        if told_at <= known.told_at:
            return
        known.told_log, known.told_at = log, told_at
        known.told_mean.add(log, 1.0, told_at)

    def note_seen(self, worker_id: str, kind: WorkKind, ratio: float, now: float) -> None:
        """Work took so many times as long as it usually does."""
        log = _log(ratio)
        if log is None:
            return
        known = self._by_id.setdefault(worker_id, _Worker())
        if known.seen is None:
            known.seen = _Mean(half_life_s=SEEN_HALF_LIFE_S[kind])
        known.seen.half_life_s = SEEN_HALF_LIFE_S[kind]
        known.seen.add(log, 1.0, now)

    def hear(self, notice: WorkerPaceNotice, kind: WorkKind, now: float) -> None:
        """A peer told of a worker; the same answers are told again with every notice."""
        if notice.told > 0.0:
            self.note_told(notice.worker, notice.told, now, age_s=notice.told_age_s)
        log = _log(notice.seen)
        if log is None or not (0.0 < notice.seen_weight <= MOST_SEEN_WEIGHT):
            return
        known = self._by_id.setdefault(notice.worker, _Worker())
        weight = PEER_SHARE * notice.seen_weight
        if known.heard is None or known.heard.weight_at(now) <= weight:
            half_life_s = SEEN_HALF_LIFE_S[kind]
            known.heard = _Mean(half_life_s=half_life_s, log=log, weight=weight, at=now)
        else:
            known.heard.add(log, 0.5 * weight, now)

    def estimate(self, worker_id: str, kind: WorkKind, now: float) -> PaceEstimate:
        """The pace of a worker at a kind of work, by all sources."""
        known = self._by_id.get(worker_id)
        if known is None:
            return PaceEstimate(factor=1.0, source=PaceSource.PRIOR, age_s=math.inf)
        told_age_s = max(0.0, now - known.told_at)
        told_weight = TOLD_WEIGHT * 0.5 ** (told_age_s / TOLD_HALF_LIFE_S)
        parts = [
            (PRIOR_WEIGHT, 0.0, PaceSource.PRIOR, math.inf),
            (told_weight, known.told_log, PaceSource.TOLD, told_age_s),
        ]
        if kind is not WorkKind.ANSWER:
            mean = known.told_mean
            parts.append((mean.weight_at(now), mean.log, PaceSource.TOLD, told_age_s))
        for mean_seen, source in ((known.seen, PaceSource.SEEN), (known.heard, PaceSource.PEERS)):
            if mean_seen is not None:
                parts.append((mean_seen.weight_at(now), mean_seen.log, source, now - mean_seen.at))
        total = sum(weight for weight, *_ in parts)
        factor = math.exp(sum(weight * log for weight, log, *_ in parts) / total)
        _, _, source, age_s = max(parts, key=lambda part: part[0])
        return PaceEstimate(factor=factor, source=source, age_s=age_s)

    def is_known(self, worker_id: str) -> bool:
        """Whether any figure of a worker came lately."""
        return worker_id in self._by_id

    def is_told(self, worker_ids: Iterable[str], now: float) -> bool:
        """Whether some of the workers told their pace lately."""
        return any(
            known is not None and now - known.told_at <= TELLS_FOR_S
            for known in (self._by_id.get(worker_id) for worker_id in worker_ids)
        )

    def notices(self, now: float) -> tuple[WorkerPaceNotice, ...]:
        """What peers are told: workers that tell their pace, those last heard of first."""
        self._sweep(now)
        telling = {
            worker_id: known
            for worker_id, known in self._by_id.items()
            if now - known.told_at <= TELLS_FOR_S
        }
        newest = heapq.nlargest(MOST_NOTICES, telling.items(), key=lambda entry: entry[1].told_at)
        return tuple(_notice(worker_id, known, now) for worker_id, known in newest)

    def _sweep(self, now: float) -> None:
        """Forget workers of which nothing was heard for long: their lives are over, or idle."""
        old = [key for key, known in self._by_id.items() if now - known.heard_at > FORGET_S]
        for worker_id in old:
            del self._by_id[worker_id]

    def forget(self, worker_id: str) -> None:
        """A life of a worker is over."""
        self._by_id.pop(worker_id, None)


def _notice(worker_id: str, known: _Worker, now: float) -> WorkerPaceNotice:
    weight = known.seen.weight_at(now) if known.seen is not None else 0.0
    is_seen = known.seen is not None and weight >= MIN_WEIGHT_TOLD
    return WorkerPaceNotice(
        worker=worker_id,
        told=math.exp(known.told_log),
        told_age_s=now - known.told_at,
        seen=math.exp(known.seen.log) if is_seen and known.seen is not None else 0.0,
        seen_weight=weight if is_seen else 0.0,
    )


def _log(pace: float) -> float | None:
    """The logarithm of a pace, held within what is believed; None if it is none.

    >>> _log(-1.0), _log(float("nan")), _log(float("inf")), _log(1.0)
    (None, None, None, 0.0)
    """
    if not math.isfinite(pace) or pace <= 0.0:
        return None
    return math.log(min(HIGHEST_PACE, max(LOWEST_PACE, pace)))
