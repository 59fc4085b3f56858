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

MIN_PACE = 0.2
"""Least time of work over the usual that is believed: none is five times quicker than most."""

MAX_PACE = 10.0
"""Most of it: a worker that is ten times slower is as good as away."""

REPORTED_HALF_LIFE_S = 0.3
"""Seconds after which a told pace counts half: it changes many times a second."""

REPORTED_WEIGHT = 6.0
"""Weight of a pace told just now, in answers seen: it is the worker's own report."""

OBSERVED_HALF_LIFE_S_BY_KIND = {WorkKind.ANSWER: 0.5, WorkKind.PREFILL: 8.0, WorkKind.TOKEN: 8.0}
"""Seconds after which an answer counts half, by kind of work. Plain answers come many times a
second, so that a worker that is quick again is found soon; prompts are few and dear."""

MAX_OBSERVED_WEIGHT = 4.0
"""Weight of all answers together at most: the newest show a change within a few."""

PEER_WEIGHT_SHARE = 0.5
"""Weight of what peers saw, over what this box saw: their links are others."""

PRIOR_WEIGHT = 1.0
"""Weight of the prior, in answers seen."""

MAX_REPORTED_PACE = 100.0
"""Told pace over which, or under one over which, the figure is no pace: ten times what is believed
still means a worker in trouble, more means another unit."""

MAX_OBSERVED_RATIO = 10_000.0
"""The same of times seen: an answer after the longest timeouts of 14 s is 2,800 times the usual of
the quickest services, 5 ms."""

REPORTED_MEAN_HALF_LIFE_S = 8.0
"""Seconds after which the mean of told paces counts half, which work goes by that lasts longer than
a told pace holds: some engines are slower than others for all of their lives."""

MAX_REPORTED_MEAN_WEIGHT = 1.0
"""Weight of that mean at most, in answers seen: no more than the prior, so that a worker that was
slow is more than half back at the prior 2 s after its last report."""

DUPLICATE_REPORT_S = 0.25
"""Seconds by which a pace told by a peer must be newer to count again in the mean: the same word
comes with each notice, every 0.5 s, and its age differs by the delay on the way."""

FRESH_REPORT_S = 0.3
"""Age up to which a told pace is compared with an answer: its half-life."""

USUAL_DEVIATION = math.log(2.0)
"""Difference of the logarithms of told and seen paces that is usual: prompts differ by half, and
some answers waited."""

TRUST_DECAY_RATE = 2.5
"""How quickly a told pace loses weight with the difference beyond that: at a factor of five
between told and seen a tenth of the weight is left."""

DEVIATION_HALF_LIFE_S = 8.0
"""Seconds after which a contradiction counts half: some answers are seen in that time."""

REPORT_TTL_S = 10.0
"""Seconds for which a worker counts as one that tells its pace: streams last for some."""

RECORD_TTL_S = 60.0
"""Seconds after which nothing is left of any figure."""

MAX_NOTICES = 32
"""Workers told of in one notice: bounds a datagram."""

MIN_NOTICE_WEIGHT = 0.1
"""Weight under which peers are told nothing of what was seen."""


@dataclass(kw_only=True, slots=True)
class _DecayingMean:
    """A mean whose weight fades, of logarithms of paces or their differences."""

    half_life_s: float
    max_weight: float = MAX_OBSERVED_WEIGHT
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
        self.weight = min(self.max_weight, left + weight)
        self.at = max(self.at, now)


@dataclass(kw_only=True, slots=True)
class _Report:
    """The newest word of a worker, and when it was said."""

    log_pace: float = 0.0
    at: float = -math.inf


@dataclass(kw_only=True, slots=True)
class _WorkerRecord:
    """What is known of one life of a worker.

    ``own_report`` is its word to this box alone, which peers are told; ``report`` may be from a
    peer.
    """

    report: _Report = field(default_factory=_Report)
    own_report: _Report = field(default_factory=_Report)
    reported_mean: _DecayingMean = field(
        default_factory=lambda: _DecayingMean(
            half_life_s=REPORTED_MEAN_HALF_LIFE_S, max_weight=MAX_REPORTED_MEAN_WEIGHT
        )
    )
    deviation: _DecayingMean = field(
        default_factory=lambda: _DecayingMean(half_life_s=DEVIATION_HALF_LIFE_S)
    )
    observed_by_kind: dict[WorkKind, _DecayingMean] = field(default_factory=dict)
    peer_by_kind: dict[WorkKind, _DecayingMean] = field(default_factory=dict)

    @property
    def updated_at(self) -> float:
        """When the newest figure of any source came."""
        means = (*self.observed_by_kind.values(), *self.peer_by_kind.values())
        return max([self.report.at, *(mean.at for mean in means)])

    @property
    def last_observed(self) -> _DecayingMean | None:
        """The mean of the kind of work that was seen last; a worker mostly does one kind."""
        return max(self.observed_by_kind.values(), key=lambda mean: mean.at, default=None)

    def trust(self, now: float) -> float:
        """The share of its weight that a told pace keeps, by how far answers contradicted it."""
        weight = self.deviation.weight_at(now)
        deviation = abs(self.deviation.value) * weight / (PRIOR_WEIGHT + weight)
        return math.exp(-TRUST_DECAY_RATE * max(0.0, deviation - USUAL_DEVIATION))


@dataclass(kw_only=True)
class WorkerPaces:
    """The paces of all workers by id of their lives; a new life begins at the prior."""

    _by_id: dict[str, _WorkerRecord] = field(default_factory=dict)

    def note_reported(self, worker_id: str, pace: float, now: float, *, age_s: float = 0.0) -> None:
        """A worker said how long its work takes; an older word counts nothing."""
        log_pace = _log_pace(pace, max_pace=MAX_REPORTED_PACE)
        if log_pace is None or not (0.0 <= age_s < REPORT_TTL_S):
            return
        known = self._by_id.setdefault(worker_id, _WorkerRecord())
        reported_at = now - age_s
        if reported_at > known.own_report.at:
            known.own_report = _Report(log_pace=log_pace, at=reported_at)
        self._apply_report(known, _Report(log_pace=log_pace, at=reported_at))

    def note_observed(self, worker_id: str, kind: WorkKind, ratio: float, now: float) -> None:
        """Work took so many times as long as it usually does."""
        log_pace = _log_pace(ratio, max_pace=MAX_OBSERVED_RATIO)
        if log_pace is None:
            return
        known = self._by_id.setdefault(worker_id, _WorkerRecord())
        observed = known.observed_by_kind.setdefault(
            kind, _DecayingMean(half_life_s=OBSERVED_HALF_LIFE_S_BY_KIND[kind])
        )
        observed.add(log_pace, 1.0, now)
        if now - known.report.at <= FRESH_REPORT_S:
            known.deviation.add(log_pace - known.report.log_pace, 1.0, now)

    def apply_notice(self, notice: WorkerPaceNotice, kind: WorkKind, now: float) -> None:
        """A peer told of a worker; the same answers are told again with every notice."""
        reported_log_pace = _log_pace(notice.told, max_pace=MAX_REPORTED_PACE)
        if reported_log_pace is not None and 0.0 <= notice.told_age_s < REPORT_TTL_S:
            known = self._by_id.setdefault(notice.worker, _WorkerRecord())
            report = _Report(log_pace=reported_log_pace, at=now - notice.told_age_s)
            self._apply_report(known, report, min_newer_s=DUPLICATE_REPORT_S)
        log_pace = _log_pace(notice.seen, max_pace=MAX_OBSERVED_RATIO)
        if log_pace is None or not (0.0 < notice.seen_weight <= MAX_OBSERVED_WEIGHT):
            return
        known = self._by_id.setdefault(notice.worker, _WorkerRecord())
        weight = PEER_WEIGHT_SHARE * notice.seen_weight
        peer_mean = known.peer_by_kind.get(kind)
        if peer_mean is None or peer_mean.weight_at(now) <= weight:
            half_life_s = OBSERVED_HALF_LIFE_S_BY_KIND[kind]
            known.peer_by_kind[kind] = _DecayingMean(
                half_life_s=half_life_s, value=log_pace, weight=weight, at=now
            )
        else:
            peer_mean.add(log_pace, 0.5 * weight, now)

    @staticmethod
    def _apply_report(known: _WorkerRecord, report: _Report, *, min_newer_s: float = 0.0) -> None:
        """Take in a told pace that is newer than what is known, by some seconds for the mean."""
        if report.at <= known.report.at:
            return
        known.report = report
        if report.at > known.reported_mean.at + min_newer_s:
            known.reported_mean.add(report.log_pace, 1.0, report.at)

    def estimate(self, worker_id: str, kind: WorkKind, now: float) -> PaceEstimate:
        """The pace of a worker at a kind of work, by all sources."""
        known = self._by_id.get(worker_id)
        if known is None:
            return PaceEstimate(factor=1.0, source=PaceSource.PRIOR, age_s=math.inf)
        trust = known.trust(now)
        report_age_s = max(0.0, now - known.report.at)
        reported_weight = trust * REPORTED_WEIGHT * 0.5 ** (report_age_s / REPORTED_HALF_LIFE_S)
        parts = [
            (PRIOR_WEIGHT, 0.0, PaceSource.PRIOR, math.inf),
            (reported_weight, known.report.log_pace, PaceSource.REPORTED, report_age_s),
        ]
        if kind is not WorkKind.ANSWER:
            mean = known.reported_mean
            weight = trust * mean.weight_at(now)
            parts.append((weight, mean.value, PaceSource.REPORTED, report_age_s))
        for mean_by_kind, source in (
            (known.observed_by_kind, PaceSource.OBSERVED),
            (known.peer_by_kind, PaceSource.PEERS),
        ):
            if (observed := mean_by_kind.get(kind)) is not None:
                parts.append(
                    (observed.weight_at(now), observed.value, source, max(0.0, now - observed.at))
                )
        total = sum(weight for weight, *_ in parts)
        factor = math.exp(sum(weight * log_pace for weight, log_pace, *_ in parts) / total)
        _, _, source, age_s = max(parts, key=lambda part: part[0])
        return PaceEstimate(factor=factor, source=source, age_s=age_s)

    def is_known(self, worker_id: str) -> bool:
        """Whether any figure of a worker came lately."""
        return worker_id in self._by_id

    def reported_pace(self, worker_id: str, now: float) -> float | None:
        """The pace that a worker told this box just now; None if it told none in the half-life."""
        known = self._by_id.get(worker_id)
        if known is None or now - known.own_report.at > REPORTED_HALF_LIFE_S:
            return None
        return math.exp(known.own_report.log_pace)

    def any_reported(self, worker_ids: Iterable[str], now: float) -> bool:
        """Whether some of the workers told their pace lately."""
        return any(
            known is not None and now - known.report.at <= REPORT_TTL_S
            for known in (self._by_id.get(worker_id) for worker_id in worker_ids)
        )

    def notices(self, now: float) -> tuple[WorkerPaceNotice, ...]:
        """What peers are told, of workers that tell their pace: what this box was told and saw.

        Those that this box heard of last come first. What peers told is not told on: a word would
        come back and count again.
        """
        self._expire_records(now)
        rows = [
            (at, notice)
            for worker_id, known in self._by_id.items()
            if now - known.report.at <= REPORT_TTL_S
            and (at := _own_update_at(known)) > -math.inf
            and (notice := _notice(worker_id, known, now)) is not None
        ]
        newest = heapq.nlargest(MAX_NOTICES, rows, key=lambda row: row[0])
        return tuple(notice for _, notice in newest)

    def _expire_records(self, now: float) -> None:
        """Forget workers of which nothing was heard for long: their lives are over, or idle."""
        old = [key for key, known in self._by_id.items() if now - known.updated_at > RECORD_TTL_S]
        for worker_id in old:
            del self._by_id[worker_id]

    def forget(self, worker_id: str) -> None:
        """A life of a worker is over."""
        self._by_id.pop(worker_id, None)


def _own_update_at(known: _WorkerRecord) -> float:
    """When this box last heard of a worker by its answers."""
    observed = known.last_observed
    return max(known.own_report.at, observed.at if observed is not None else -math.inf)


def _notice(worker_id: str, known: _WorkerRecord, now: float) -> WorkerPaceNotice | None:
    """What peers are told of a worker; None if that is nothing."""
    report = known.own_report
    is_reported = now - report.at <= REPORT_TTL_S
    observed = known.last_observed
    weight = observed.weight_at(now) if observed is not None else 0.0
    is_observed = observed is not None and weight >= MIN_NOTICE_WEIGHT
    if not (is_reported or is_observed):
        return None
    return WorkerPaceNotice(
        worker=worker_id,
        told=math.exp(report.log_pace) if is_reported else 0.0,
        told_age_s=max(0.0, now - report.at) if is_reported else 0.0,
        seen=math.exp(observed.value) if is_observed and observed is not None else 0.0,
        seen_weight=weight if is_observed else 0.0,
    )


def _log_pace(pace: float, *, max_pace: float) -> float | None:
    """The logarithm of a pace, held within what is believed; None if it is none.

    >>> [_log_pace(pace, max_pace=100.0) for pace in (-1.0, float("nan"), float("inf"), 1e9, 1.0)]
    [None, None, None, None, 0.0]
    """
    if not 1.0 / max_pace <= pace <= max_pace:
        return None
    return math.log(min(MAX_PACE, max(MIN_PACE, pace)))
