"""Estimate how long work takes at each worker, relative to the usual time of its service.

The estimate is a weighted mean of three sources: the pace that the worker reported, which is valid
for a fraction of a second; the times of its responses, observed here and at peers; and the prior
that it is as fast as others. The weights of the first two decay with their age, so that a worker
that was slow is tried again.
A reported pace has less weight where the responses contradict it.
"""

from __future__ import annotations

import heapq
import math
from collections.abc import Iterable
from dataclasses import dataclass, field

from croftchute.tables.paces import PaceEstimate, PaceSource, WorkKind
from croftchute.tables.peers import WorkerPaceNotice

MIN_PACE = 0.2
"""Lowest pace that is accepted: no worker is five times faster than most."""

MAX_PACE = 10.0
"""Highest pace that is accepted: a worker ten times slower than usual is practically
unavailable."""

REPORTED_HALF_LIFE_S = 0.3
"""Half-life of a reported pace, which changes many times a second."""

REPORTED_WEIGHT = 6.0
"""Initial weight of a reported pace, as a number of observed responses: the worker knows its own
pace best."""

OBSERVED_HALF_LIFE_S_BY_KIND = {WorkKind.ANSWER: 0.5, WorkKind.PREFILL: 8.0, WorkKind.TOKEN: 8.0}
"""Half-life of an observed response, by kind of work. Plain responses come many times a second,
so that a recovered worker is noticed soon. Prompts are few and expensive."""

MAX_OBSERVED_WEIGHT = 4.0
"""Limit on the total weight of the observed responses, so that a few new ones suffice to show a
change of pace."""

PEER_WEIGHT_SHARE = 0.5
"""Weight of an observation at a peer, relative to one at this box: the network path from a peer to
the worker is a different one."""

PRIOR_WEIGHT = 1.0
"""Weight of the prior, as a number of observed responses."""

MAX_REPORTED_PACE = 100.0
"""Reported paces above this value or below its inverse are ignored. Up to ten times ``MAX_PACE`` is
plausible for an overloaded worker; a higher value is probably in another unit."""

MAX_OBSERVED_RATIO = 10_000.0
"""Observed ratios above this value or below its inverse are ignored. A response after the
longest timeouts of 14 s takes 2,800 times the usual 5 ms of the fastest services."""

REPORTED_MEAN_HALF_LIFE_S = 8.0
"""Half-life of the mean of reported paces. Prefill and decode, which take longer than a report is
valid, use this mean, because some engines are permanently slower than others."""

MAX_REPORTED_MEAN_WEIGHT = 1.0
"""Limit on the weight of the mean of reported paces, as a number of observed responses. It equals
the weight of the prior, so that the estimate of a worker that was slow is more than halfway back to
the prior 2 s after its last report."""

DUPLICATE_REPORT_S = 0.25
"""A report from a peer is added to the mean of reported paces only if it is newer than the last one
by more than this. Notices repeat the same report every 0.5 s, and its age varies with the network
delay."""

FRESH_REPORT_S = 0.3
"""Greatest age of a reported pace that is compared with a response; equals its half-life."""

USUAL_DEVIATION = math.log(2.0)
"""Usual difference between the logarithms of reported and observed pace. Prompts vary by half,
and some responses include a wait."""

TRUST_DECAY_RATE = 2.5
"""Rate at which a reported pace loses weight with the deviation beyond the usual. At a factor of
five between reported and observed pace, a tenth of the weight remains."""

DEVIATION_HALF_LIFE_S = 8.0
"""Half-life of a deviation; several responses are observed in that time."""

REPORT_TTL_S = 10.0
"""Time after its last report for which a worker counts as one that reports its pace. It is longer
than a stream of several seconds, during which a worker may send no report."""

RECORD_TTL_S = 60.0
"""Time without a report or an observation after which the record of a worker is dropped. Its
weights have decayed by then."""

MAX_NOTICES = 32
"""Maximum number of workers in the notices of one datagram; limits its size."""

MIN_NOTICE_WEIGHT = 0.1
"""Minimum weight of an observation that is sent to peers."""


@dataclass(kw_only=True, slots=True)
class _DecayingMean:
    """Mean of logarithms of paces, or of their differences, whose weight decays."""

    half_life_s: float
    max_weight: float = MAX_OBSERVED_WEIGHT
    value: float = 0.0
    weight: float = 0.0
    at: float = -math.inf

    def weight_at(self, now: float) -> float:
        """Return the remaining weight."""
        if self.weight <= 0.0:
            return 0.0
        return self.weight * 0.5 ** (max(0.0, now - self.at) / self.half_life_s)

    def add(self, value: float, weight: float, now: float) -> None:
        """Add a value to the mean."""
        remaining = self.weight_at(now)
        self.value = (remaining * self.value + weight * value) / (remaining + weight)
        self.weight = min(self.max_weight, remaining + weight)
        self.at = max(self.at, now)


@dataclass(kw_only=True, slots=True)
class _Report:
    """The latest pace that a worker reported, and when."""

    log_pace: float = 0.0
    at: float = -math.inf


@dataclass(kw_only=True, slots=True)
class _WorkerRecord:
    """Reports and observations of one worker process, from its start to its end.

    ``own_report`` is the latest report to this box, which is sent to peers; ``report`` is the
    latest one to any box.
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
        """Return the time of the latest report or observation."""
        means = (*self.observed_by_kind.values(), *self.peer_by_kind.values())
        return max([self.report.at, *(mean.at for mean in means)])

    @property
    def last_observed(self) -> _DecayingMean | None:
        """Return the mean of the kind of work observed last.

        A worker mostly does one kind of work.
        """
        return max(self.observed_by_kind.values(), key=lambda mean: mean.at, default=None)

    def trust(self, now: float) -> float:
        """Return the share of its weight that a reported pace keeps after deviations."""
        weight = self.deviation.weight_at(now)
        deviation = abs(self.deviation.value) * weight / (PRIOR_WEIGHT + weight)
        return math.exp(-TRUST_DECAY_RATE * max(0.0, deviation - USUAL_DEVIATION))


@dataclass(kw_only=True)
class WorkerPaces:
    """Paces of all workers by worker id.

    The id changes when a worker restarts, so that a restarted worker starts at the prior.
    """

    _by_id: dict[str, _WorkerRecord] = field(default_factory=dict)

    def note_reported(self, worker_id: str, pace: float, now: float, *, age_s: float = 0.0) -> None:
        """Record a pace that a worker reported; an older report than the latest is ignored."""
        log_pace = _log_pace(pace, max_pace=MAX_REPORTED_PACE)
        if log_pace is None or not (0.0 <= age_s < REPORT_TTL_S):
            return
        record = self._by_id.setdefault(worker_id, _WorkerRecord())
        reported_at = now - age_s
        if reported_at > record.own_report.at:
            record.own_report = _Report(log_pace=log_pace, at=reported_at)
        self._apply_report(record, _Report(log_pace=log_pace, at=reported_at))

    def note_observed(self, worker_id: str, kind: WorkKind, ratio: float, now: float) -> None:
        """Record the time of some work, as a multiple of the usual time."""
        log_pace = _log_pace(ratio, max_pace=MAX_OBSERVED_RATIO)
        if log_pace is None:
            return
        record = self._by_id.setdefault(worker_id, _WorkerRecord())
        observed = record.observed_by_kind.setdefault(
            kind, _DecayingMean(half_life_s=OBSERVED_HALF_LIFE_S_BY_KIND[kind])
        )
        observed.add(log_pace, 1.0, now)
        if now - record.report.at <= FRESH_REPORT_S:
            record.deviation.add(log_pace - record.report.log_pace, 1.0, now)

    def apply_notice(self, notice: WorkerPaceNotice, kind: WorkKind, now: float) -> None:
        """Apply the notice of a peer about a worker.

        Each notice repeats earlier observations. Its weight is therefore halved if the mean of the
        notices weighs more than it, and replaces that mean otherwise.
        """
        reported_log_pace = _log_pace(notice.told, max_pace=MAX_REPORTED_PACE)
        if reported_log_pace is not None and 0.0 <= notice.told_age_s < REPORT_TTL_S:
            record = self._by_id.setdefault(notice.worker, _WorkerRecord())
            report = _Report(log_pace=reported_log_pace, at=now - notice.told_age_s)
            self._apply_report(record, report, min_newer_s=DUPLICATE_REPORT_S)
        log_pace = _log_pace(notice.seen, max_pace=MAX_OBSERVED_RATIO)
        if log_pace is None or not (0.0 < notice.seen_weight <= MAX_OBSERVED_WEIGHT):
            return
        record = self._by_id.setdefault(notice.worker, _WorkerRecord())
        weight = PEER_WEIGHT_SHARE * notice.seen_weight
        peer_mean = record.peer_by_kind.get(kind)
        if peer_mean is None or peer_mean.weight_at(now) <= weight:
            half_life_s = OBSERVED_HALF_LIFE_S_BY_KIND[kind]
            record.peer_by_kind[kind] = _DecayingMean(
                half_life_s=half_life_s, value=log_pace, weight=weight, at=now
            )
        else:
            peer_mean.add(log_pace, 0.5 * weight, now)

    @staticmethod
    def _apply_report(record: _WorkerRecord, report: _Report, *, min_newer_s: float = 0.0) -> None:
        """Apply a report that is newer than the known one.

        It enters the mean only if it is newer by ``min_newer_s``.
        """
        if report.at <= record.report.at:
            return
        record.report = report
        if report.at > record.reported_mean.at + min_newer_s:
            record.reported_mean.add(report.log_pace, 1.0, report.at)

    def estimate(self, worker_id: str, kind: WorkKind, now: float) -> PaceEstimate:
        """Return the pace of a worker at a kind of work, from all sources."""
        record = self._by_id.get(worker_id)
        if record is None:
            return PaceEstimate(factor=1.0, source=PaceSource.PRIOR, age_s=math.inf)
        trust = record.trust(now)
        report_age_s = max(0.0, now - record.report.at)
        reported_weight = trust * REPORTED_WEIGHT * 0.5 ** (report_age_s / REPORTED_HALF_LIFE_S)
        parts = [
            (PRIOR_WEIGHT, 0.0, PaceSource.PRIOR, math.inf),
            (reported_weight, record.report.log_pace, PaceSource.REPORTED, report_age_s),
        ]
        if kind is not WorkKind.ANSWER:
            mean = record.reported_mean
            weight = trust * mean.weight_at(now)
            parts.append((weight, mean.value, PaceSource.REPORTED, report_age_s))
        for mean_by_kind, source in (
            (record.observed_by_kind, PaceSource.OBSERVED),
            (record.peer_by_kind, PaceSource.PEERS),
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
        """Return whether there is a record of a worker."""
        return worker_id in self._by_id

    def reported_pace(self, worker_id: str, now: float) -> float | None:
        """Return the pace that a worker reported to this box within the half-life, or None."""
        record = self._by_id.get(worker_id)
        if record is None or now - record.own_report.at > REPORTED_HALF_LIFE_S:
            return None
        return math.exp(record.own_report.log_pace)

    def any_reported(self, worker_ids: Iterable[str], now: float) -> bool:
        """Return whether any of the workers reported its pace recently."""
        return any(
            record is not None and now - record.report.at <= REPORT_TTL_S
            for record in (self._by_id.get(worker_id) for worker_id in worker_ids)
        )

    def notices(self, now: float) -> tuple[WorkerPaceNotice, ...]:
        """Return the notices for peers about workers that report their pace.

        They contain the reports to this box and its own observations, newest first. Those of peers
        are not forwarded: they would return to their sender and be counted twice.
        """
        self._expire_records(now)
        rows = [
            (at, notice)
            for worker_id, record in self._by_id.items()
            if now - record.report.at <= REPORT_TTL_S
            and (at := _own_update_at(record)) > -math.inf
            and (notice := _notice(worker_id, record, now)) is not None
        ]
        newest = heapq.nlargest(MAX_NOTICES, rows, key=lambda row: row[0])
        return tuple(notice for _, notice in newest)

    def _expire_records(self, now: float) -> None:
        """Drop records without recent reports or observations, as of idle or ended workers."""
        expired = [
            key for key, record in self._by_id.items() if now - record.updated_at > RECORD_TTL_S
        ]
        for worker_id in expired:
            del self._by_id[worker_id]

    def forget(self, worker_id: str) -> None:
        """Drop the record of a worker that has ended or restarted."""
        self._by_id.pop(worker_id, None)


def _own_update_at(record: _WorkerRecord) -> float:
    """Return when this box last got a report or a response from a worker."""
    observed = record.last_observed
    return max(record.own_report.at, observed.at if observed is not None else -math.inf)


def _notice(worker_id: str, record: _WorkerRecord, now: float) -> WorkerPaceNotice | None:
    """Return the notice about a worker, or None if there is nothing to send."""
    report = record.own_report
    is_reported = now - report.at <= REPORT_TTL_S
    observed = record.last_observed
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
    """Return the logarithm of a pace, limited to the accepted range; None if invalid.

    >>> [_log_pace(pace, max_pace=100.0) for pace in (-1.0, float("nan"), float("inf"), 1e9, 1.0)]
    [None, None, None, None, 0.0]
    """
    if not 1.0 / max_pace <= pace <= max_pace:
        return None
    return math.log(min(MAX_PACE, max(MIN_PACE, pace)))
