"""Plan stage changes from the speed of the engines and the present demand.

The speed of an engine is the inverse of its pace. The utilization of a stage is its demanded work
per second, divided by the summed speed of its engines. The overload of a split is the larger ratio
of utilization to target among its stages. The present split stays while both stages are within
their targets. See ``docs/design/hard-load.md``, part 5.
"""

from __future__ import annotations

import math
from collections import Counter
from collections.abc import Iterable, Sequence
from dataclasses import dataclass, field, replace

from croftchute.systems import stage_search
from croftchute.systems.prefill_timing import PrefillTiming
from croftchute.systems.service_capacity import (
    MAX_KV_UTILIZATION,
    MAX_PREFILL_UTILIZATION,
    RequestAverages,
)
from croftchute.systems.stage_balance import DEMAND_WINDOW_S, DemandCounts, StageChange
from croftchute.systems.tracked_worker import TrackedWorker
from croftchute.tables.paces import PaceView, WorkKind
from croftchute.tables.routing import EngineTraits, Stage, WorkerState

TARGET_PREFILL_UTILIZATION = 0.75
"""Target utilization of prefill workers. Several workers are probed, and the prompt goes to
the one that can serve it first. Up to about this utilization, the mean wait is therefore shorter
than the prefill itself. A lower target would leave decode memory idle."""

TARGET_DECODE_UTILIZATION = MAX_KV_UTILIZATION
"""Target utilization of decode memory. A request of average size does not fit into the rest."""

MAX_DONOR_PREFILL_UTILIZATION = MAX_PREFILL_UTILIZATION
"""Highest utilization of the remaining prefill workers when others change to decode."""

MIN_GAIN = 0.1
"""Minimum relative reduction of the overload by a change: about the error of the averages."""

MAX_SHARE_CHANGING = 0.25
"""Share of the workers of a stage that change at the same time (at least one), because they
serve nothing meanwhile."""

MIN_REVERSAL_SHIFT = 1.0 / 3.0
"""Relative shift of the load ratio that allows a recent change to be undone. It is several times
the error of the averages."""

REVERSAL_HOLD_MULTIPLE = 2.0
"""Time for which a change is not undone, as a multiple of its duration. The change has no effect
before its end, and the averages take about as long again to show the effect."""

LOG_SPEED_STEP = 0.1
"""Step to which the logarithm of a speed is rounded, about the error of a pace. Among engines of
similar speed, the hall and the work in progress then decide."""

OTHER_STAGE = {Stage.PREFILL: Stage.DECODE, Stage.DECODE: Stage.PREFILL}


@dataclass(frozen=True, kw_only=True, slots=True)
class StageLoad:
    """Demanded work per second, in engines of the usual speed.

    ``change_s`` is the duration of a stage change: the worker finishes its streams, then switches.
    """

    prefill: float
    decode: float
    change_s: float

    @property
    def load_ratio(self) -> float:
        """Return prefill work over decode work, which does not depend on the request rate."""
        return self.prefill / self.decode if self.decode > 0.0 else math.inf

    def is_valid(self) -> bool:
        """Return whether all values are finite and not negative.

        >>> StageLoad(prefill=1.0, decode=math.nan, change_s=9.0).is_valid()
        False
        """
        figures = (self.prefill, self.decode, self.change_s)
        return all(math.isfinite(figure) and figure >= 0.0 for figure in figures)


@dataclass(frozen=True, kw_only=True, slots=True)
class StageUtilization:
    """Utilization of both stages of a split; 1.0 is all that their engines can do."""

    prefill_workers: int
    decode_workers: int
    prefill: float
    decode: float

    @property
    def overload(self) -> float:
        """Return the larger ratio of utilization to target; up to 1.0 both targets are met."""
        return max(
            self.prefill / TARGET_PREFILL_UTILIZATION, self.decode / TARGET_DECODE_UTILIZATION
        )


@dataclass(frozen=True, kw_only=True, slots=True)
class _Engine:
    """An engine in its present or ordered stage, with its speed in each stage."""

    tracked: TrackedWorker
    stage: Stage
    is_pending: bool
    speed_by_stage: dict[Stage, float]

    @property
    def id(self) -> str:
        return self.tracked.worker.id


@dataclass(frozen=True, kw_only=True, slots=True)
class _Order:
    """A recent order: the load ratio at that time, and until when the order is not undone."""

    stage: Stage
    load_ratio: float
    until: float

    def blocks(self, stage: Stage, load_ratio: float) -> bool:
        """Return whether the load has shifted too little for an order to the other stage."""
        if stage is self.stage:
            return False
        if stage is Stage.PREFILL:
            return load_ratio < (1.0 + MIN_REVERSAL_SHIFT) * self.load_ratio
        return (1.0 + MIN_REVERSAL_SHIFT) * load_ratio > self.load_ratio


@dataclass(kw_only=True)
class HeadroomPlanner:
    """Plans the stage changes of one service and remembers its recent orders."""

    _orders_by_worker: dict[str, _Order] = field(default_factory=dict)
    _load: StageLoad | None = None

    def plan_changes(
        self,
        tracked_workers: Sequence[TrackedWorker],
        counts: DemandCounts,
        *,
        scale: float,
        timing: PrefillTiming,
        traits: EngineTraits,
        paces: PaceView,
        pending_stages: dict[str, Stage],
        now: float,
    ) -> list[StageChange]:
        """Return the changes that the service needs; none if there is too little or invalid input.

        ``counts`` are sums over the boxes that reported. ``scale`` is the number of all boxes
        divided by the number of those. ``timing`` is that of prefill calls at the usual pace.
        ``pending_stages`` maps workers that get no order to the stage that counts for them: the
        new stage for a worker that is changing, the present one for a worker in backoff.
        """
        engines = _engines(tracked_workers, pending_stages, paces, now)
        load = _stage_load(counts, engines, scale=scale, timing=timing, traits=traits)
        self._load = load if load is not None else self._load
        self._expire_orders(now)
        if engines and not any(engine.stage is Stage.DECODE for engine in engines):
            return self._add_first_decode(engines, pending_stages)
        if load is None or not engines:
            return []
        present = _utilization(engines, load)
        if present.overload <= 1.0:
            return []
        is_prefill_short = (
            present.prefill / TARGET_PREFILL_UTILIZATION
            > present.decode / TARGET_DECODE_UTILIZATION
        )
        stage = Stage.PREFILL if is_prefill_short else Stage.DECODE
        if any(order.blocks(stage, load.load_ratio) for order in self._orders_by_worker.values()):
            return []
        return self._choose_changes(engines, stage, load, present, counts, pending_stages, scale)

    def note_ordered(self, worker_id: str, stage: Stage, now: float) -> None:
        """Record that an order was sent to a worker, which may carry it out or not."""
        if self._load is not None:
            until = now + REVERSAL_HOLD_MULTIPLE * self._load.change_s
            self._orders_by_worker[worker_id] = _Order(
                stage=stage, load_ratio=self._load.load_ratio, until=until
            )

    def _expire_orders(self, now: float) -> None:
        expired = [key for key, order in self._orders_by_worker.items() if now >= order.until]
        for worker_id in expired:
            del self._orders_by_worker[worker_id]

    def _add_first_decode(
        self, engines: list[_Engine], pending_stages: dict[str, Stage]
    ) -> list[StageChange]:
        """Choose a decode worker for a service that has none and therefore serves nothing.

        Engines without a recent order are preferred. If there are none, this is the only case in
        which an engine gets another order before the earlier one expires.
        """
        free = [engine for engine in engines if engine.id not in pending_stages]
        if not free:
            return []
        best = min(
            free,
            key=lambda e: (
                e.id in self._orders_by_worker,
                e.tracked.tokens_in_flight,
                -e.speed_by_stage[Stage.DECODE],
                e.id,
            ),
        )
        reason = "no decode worker is listed"
        return [
            StageChange(
                worker=best.tracked.worker, stage=Stage.DECODE, reason=reason, is_urgent=True
            )
        ]

    def _choose_changes(
        self,
        engines: list[_Engine],
        stage: Stage,
        load: StageLoad,
        present: StageUtilization,
        counts: DemandCounts,
        pending_stages: dict[str, Stage],
        scale: float,
    ) -> list[StageChange]:
        """Return the changes to a stage, at most as many as may take place at once."""
        other = OTHER_STAGE[stage]
        staying = [e for e in engines if e.stage is other and not e.is_pending]
        pending = sum(e.stage is stage and e.is_pending for e in engines)
        max_count = max(1, int(MAX_SHARE_CHANGING * (len(staying) + pending))) - pending
        if max_count <= 0:
            return []
        free = [
            e
            for e in staying
            if e.id not in pending_stages and not self._has_recent_order(e, stage)
        ]
        search = _search(engines, free, stage, load)
        target = search.best_ids(max_count=len(staying) - 1, is_exact=_allows_exact_search(engines))
        wanted = _utilization(_with_stage(engines, target, stage), load)
        if not target or wanted.overload > (1.0 - MIN_GAIN) * present.overload:
            return []
        first = target
        if len(target) > max_count:
            first = search.best_ids(max_count=max_count, is_exact=_allows_exact_search(engines))
        reason = _reason(present, wanted, counts, scale, load)
        by_id = {engine.id: engine for engine in free}
        return [
            StageChange(worker=by_id[worker_id].tracked.worker, stage=stage, reason=reason)
            for worker_id in first
        ]

    def _has_recent_order(self, engine: _Engine, stage: Stage) -> bool:
        """Return whether a recent order to the same stage has not taken effect yet."""
        order = self._orders_by_worker.get(engine.id)
        return order is not None and order.stage is stage


def _engines(
    tracked_workers: Sequence[TrackedWorker],
    pending_stages: dict[str, Stage],
    paces: PaceView,
    now: float,
) -> list[_Engine]:
    """Return the listed engines of both stages; ordered changes count as carried out."""
    engines = []
    for tracked in tracked_workers:
        worker = tracked.worker
        is_listed = tracked.gone_at is None and worker.state is WorkerState.READY
        if worker.stage is None or not is_listed:
            continue
        prefill_factor = paces.estimate(worker.id, WorkKind.PREFILL, now).factor
        token_factor = paces.estimate(worker.id, WorkKind.TOKEN, now).factor
        stage = pending_stages.get(worker.id, worker.stage)
        engines.append(
            _Engine(
                tracked=tracked,
                stage=stage,
                is_pending=stage is not worker.stage,
                speed_by_stage={
                    Stage.PREFILL: _speed(prefill_factor),
                    Stage.DECODE: _speed(token_factor),
                },
            )
        )
    return engines


def _speed(factor: float) -> float:
    """Return the rounded inverse of a pace; 1.0 if the pace is invalid.

    >>> round(_speed(0.6), 2), _speed(0.98), _speed(math.nan)
    (1.65, 1.0, 1.0)
    """
    if not (math.isfinite(factor) and factor > 0.0):
        return 1.0
    return math.exp(-LOG_SPEED_STEP * round(math.log(factor) / LOG_SPEED_STEP))


def _stage_load(
    counts: DemandCounts,
    engines: Sequence[_Engine],
    *,
    scale: float,
    timing: PrefillTiming,
    traits: EngineTraits,
) -> StageLoad | None:
    """Return the work that all boxes demand per second; None if it is not known."""
    averages = counts.averages
    is_known = traits.kv_tokens > 0 and timing.tokens_per_s > 0.0 and math.isfinite(scale)
    if averages is None or not is_known:
        return None
    rate = max(1.0, scale) * counts.asks / DEMAND_WINDOW_S
    prefill_s = timing.overhead_s + averages.prompt_tokens / timing.tokens_per_s
    share = max(averages.mean_kv_tokens / traits.kv_tokens, 1.0 / max(1, traits.slots))
    decode_s = _usual_stream_s(averages, engines)
    load = StageLoad(
        prefill=rate * prefill_s,
        decode=rate * share * decode_s,
        change_s=traits.switch_s + averages.decode_s,
    )
    return load if load.is_valid() else None


def _usual_stream_s(averages: RequestAverages, engines: Iterable[_Engine]) -> float:
    """Return the duration of a stream at the usual pace.

    The mean over ended streams depends on the speed of the present decode workers. At equal load
    they end streams in proportion to their speed. The mean is therefore the usual time divided by
    their mean speed.
    """
    speeds = [
        engine.speed_by_stage[Stage.DECODE]
        for engine in engines
        if engine.tracked.worker.stage is Stage.DECODE
    ]
    return averages.decode_s * (sum(speeds) / len(speeds) if speeds else 1.0)


def _summed_speed(engines: Iterable[_Engine], stage: Stage) -> float:
    return sum(e.speed_by_stage[stage] for e in engines if e.stage is stage)


def _utilization(engines: Sequence[_Engine], load: StageLoad) -> StageUtilization:
    """Return the utilization of both stages; ordered changes count as carried out."""
    prefills = sum(engine.stage is Stage.PREFILL for engine in engines)
    return StageUtilization(
        prefill_workers=prefills,
        decode_workers=len(engines) - prefills,
        prefill=stage_search.work_over_speed(load.prefill, _summed_speed(engines, Stage.PREFILL)),
        decode=stage_search.work_over_speed(load.decode, _summed_speed(engines, Stage.DECODE)),
    )


def _with_stage(engines: Sequence[_Engine], ids: Sequence[str], stage: Stage) -> list[_Engine]:
    """Return the engines after some of them have changed to a stage."""
    return [replace(e, stage=stage) if e.id in ids else e for e in engines]


def _allows_exact_search(engines: Sequence[_Engine]) -> bool:
    return len(engines) <= stage_search.MAX_EXACT_ENGINES


def _search(
    engines: Sequence[_Engine], free: Sequence[_Engine], stage: Stage, load: StageLoad
) -> stage_search.StageSearch:
    """Prepare the search for engines to move from the donor stage to the receiver stage.

    Engines that change serve neither stage meanwhile. Without them, the ratio of utilization to
    target of the donor stage must not exceed the present overload of the split. A prefill donor
    must also stay below ``MAX_DONOR_PREFILL_UTILIZATION``.
    """
    other = OTHER_STAGE[stage]
    target_by_stage = {
        Stage.PREFILL: TARGET_PREFILL_UTILIZATION,
        Stage.DECODE: TARGET_DECODE_UTILIZATION,
    }
    # A stage with this summed speed exactly meets its target.
    required_speed_by_stage = {
        Stage.PREFILL: load.prefill / TARGET_PREFILL_UTILIZATION,
        Stage.DECODE: load.decode / TARGET_DECODE_UTILIZATION,
    }
    active = [engine for engine in engines if not engine.is_pending]
    limit = _utilization(active, load).overload
    if stage is Stage.DECODE:
        limit = min(limit, MAX_DONOR_PREFILL_UTILIZATION / target_by_stage[other])
    max_speed_lost = _summed_speed(active, other) - stage_search.work_over_speed(
        required_speed_by_stage[other], limit
    )
    return stage_search.StageSearch(
        candidates=[
            stage_search.Candidate(
                id=engine.id,
                hall=engine.tracked.worker.zone,
                tokens=engine.tracked.tokens_in_flight,
                speed_lost=engine.speed_by_stage[other],
                speed_gained=engine.speed_by_stage[stage],
            )
            for engine in free
        ],
        donor=stage_search.StageSpeed(
            required_speed=required_speed_by_stage[other], speed=_summed_speed(engines, other)
        ),
        receiver=stage_search.StageSpeed(
            required_speed=required_speed_by_stage[stage], speed=_summed_speed(engines, stage)
        ),
        max_speed_lost=max_speed_lost,
        decodes_by_hall=Counter(
            engine.tracked.worker.zone for engine in engines if engine.stage is Stage.DECODE
        ),
        adds_decode_workers=stage is Stage.DECODE,
    )


def _reason(
    present: StageUtilization,
    wanted: StageUtilization,
    counts: DemandCounts,
    scale: float,
    load: StageLoad,
) -> str:
    rate = max(1.0, scale) * counts.asks / DEMAND_WINDOW_S
    return (
        f"{present.prefill_workers}+{present.decode_workers} are "
        f"{present.prefill:.2f}+{present.decode:.2f} utilized, "
        f"{wanted.prefill_workers}+{wanted.decode_workers} would be "
        f"{wanted.prefill:.2f}+{wanted.decode:.2f}; "
        f"{rate:.1f} prompts/s over {DEMAND_WINDOW_S:.0f} s "
        f"({counts.asks} requests times {scale:.2f}) need {load.prefill:.1f}+{load.decode:.1f} "
        "engines of the usual speed"
    )
