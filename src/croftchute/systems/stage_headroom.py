"""Which engines of a service should change their stage, by their speeds and the present demand.

Each engine has a speed, 1 over its pace. The use of a stage is the work demanded of it over the
summed speed of its engines; a split is judged by the stage that is further above its aim. The
present split is left alone while both stages are within their aims. See
``docs/design/hard-load.md``, part 5.
"""

from __future__ import annotations

import math
from collections import Counter
from collections.abc import Iterable, Sequence
from dataclasses import dataclass, field, replace

from croftchute.systems import stage_search
from croftchute.systems.prefill_pace import PrefillPace
from croftchute.systems.service_capacity import MEMORY_USE, PREFILL_USE, RequestMix
from croftchute.systems.stage_balance import WINDOW_S, DemandCounts, StageChange
from croftchute.systems.tracked_worker import TrackedWorker
from croftchute.tables.paces import PaceView, WorkKind
from croftchute.tables.routing import EngineTraits, Stage, WorkerState

PREFILL_AIM = 0.75
"""Aimed use of prefill workers: prompts go to the soonest of some that were just asked, so that
their mean wait is under their prefill time up to about here; more would idle decode memory."""

DECODE_AIM = MEMORY_USE
"""Aimed use of decode memory: a request of average size does not fit the rest."""

MAX_PREFILL_USE = PREFILL_USE
"""Highest use at which prefill workers are left by a change that gains decode memory."""

MIN_GAIN = 0.1
"""Share by which a change must lower the value of the split: about the error of the averages."""

MAX_SHARE_AT_ONCE = 0.25
"""Share of the workers of a stage that change at once (at least one): they serve nobody then."""

REVERSAL = 1.0 / 3.0
"""Share by which the need must have turned before a recent change is undone: several times the
error of the averages."""

HOLD_CHANGES = 2.0
"""Times the length of a change for which it is not undone: the first has no effect before its end,
and the averages show the effect as much later."""

SPEED_STEP = 0.1
"""Speeds are rounded to steps of a tenth, about the error of a pace: among engines that are alike,
the hall and the work in progress decide."""

OTHER = {Stage.PREFILL: Stage.DECODE, Stage.DECODE: Stage.PREFILL}


@dataclass(frozen=True, kw_only=True, slots=True)
class StageWork:
    """Work demanded each second, in engines of the usual speed.

    ``change_s`` is the length of a change in seconds: the end of the streams and the switch.
    """

    prefill: float
    decode: float
    change_s: float

    @property
    def need(self) -> float:
        """Prefill work over decode work; does not depend on the rate of requests."""
        return self.prefill / self.decode if self.decode > 0.0 else math.inf

    def is_valid(self) -> bool:
        """Whether the figures can be used.

        >>> StageWork(prefill=1.0, decode=math.nan, change_s=9.0).is_valid()
        False
        """
        figures = (self.prefill, self.decode, self.change_s)
        return all(math.isfinite(figure) and figure >= 0.0 for figure in figures)


@dataclass(frozen=True, kw_only=True, slots=True)
class StageUse:
    """Use of both stages of a split, 1.0 being all that their engines can do."""

    prefills: int
    decodes: int
    prefill: float
    decode: float

    @property
    def value(self) -> float:
        """The larger use over its aim; within the aims up to 1.0."""
        return max(self.prefill / PREFILL_AIM, self.decode / DECODE_AIM)


@dataclass(frozen=True, kw_only=True, slots=True)
class _Engine:
    """An engine in the stage that it has or is about to have; speeds by the work of the stage."""

    tracked: TrackedWorker
    stage: Stage
    is_arriving: bool
    speed_by_stage: dict[Stage, float]

    @property
    def id(self) -> str:
        return self.tracked.worker.id


@dataclass(frozen=True, kw_only=True, slots=True)
class _Order:
    """An order given: the need it was given for, and until when it is not undone."""

    stage: Stage
    need: float
    until: float

    def forbids(self, stage: Stage, need: float) -> bool:
        """Whether the need has not turned enough for an order to the other stage."""
        if stage is self.stage:
            return False
        if stage is Stage.PREFILL:
            return need < (1.0 + REVERSAL) * self.need
        return (1.0 + REVERSAL) * need > self.need


@dataclass(kw_only=True)
class StageHeadroom:
    """Decides for one service, and remembers what it ordered of late; times are in seconds."""

    _orders_by_id: dict[str, _Order] = field(default_factory=dict)
    _work: StageWork | None = None

    def wanted(
        self,
        tracked_workers: Sequence[TrackedWorker],
        counts: DemandCounts,
        *,
        scale: float,
        pace: PrefillPace,
        traits: EngineTraits,
        paces: PaceView,
        ordered: dict[str, Stage],
        now: float,
    ) -> list[StageChange]:
        """The changes that the service needs; none where the figures are too few or not valid.

        ``counts`` are sums over some boxes, ``scale`` is the boxes of the fleet over those;
        ``pace`` is that of a prefill call at the usual pace; ``ordered`` are stages of workers
        that get no order: those that change count as changed, those that rest as they are.
        """
        engines = _engines(tracked_workers, ordered, paces, now)
        work = _work(counts, engines, scale=scale, pace=pace, traits=traits)
        self._work = work if work is not None else self._work
        self._forget(now)
        if engines and not any(engine.stage is Stage.DECODE for engine in engines):
            return self._first_decode(engines, ordered)
        if work is None or not engines:
            return []
        present = _use(engines, work)
        if present.value <= 1.0:
            return []
        is_prefill_short = present.prefill / PREFILL_AIM > present.decode / DECODE_AIM
        stage = Stage.PREFILL if is_prefill_short else Stage.DECODE
        if any(order.forbids(stage, work.need) for order in self._orders_by_id.values()):
            return []
        return self._changes(engines, stage, work, present, counts, ordered, scale)

    def note_ordered(self, worker_id: str, stage: Stage, now: float) -> None:
        """An order was given that may be carried out."""
        if self._work is not None:
            until = now + HOLD_CHANGES * self._work.change_s
            self._orders_by_id[worker_id] = _Order(stage=stage, need=self._work.need, until=until)

    def _forget(self, now: float) -> None:
        over = [key for key, order in self._orders_by_id.items() if now >= order.until]
        for worker_id in over:
            del self._orders_by_id[worker_id]

    def _first_decode(self, engines: list[_Engine], ordered: dict[str, Stage]) -> list[StageChange]:
        """One decode worker where there is none: without it, nothing is served.

        Only here an engine may be ordered again early, if all were ordered of late.
        """
        free = [engine for engine in engines if engine.id not in ordered]
        if not free:
            return []
        best = min(
            free,
            key=lambda e: (
                e.id in self._orders_by_id,
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

    def _changes(
        self,
        engines: list[_Engine],
        stage: Stage,
        work: StageWork,
        present: StageUse,
        counts: DemandCounts,
        ordered: dict[str, Stage],
        scale: float,
    ) -> list[StageChange]:
        """The engines that should get a stage, as many as may change at once."""
        other = OTHER[stage]
        staying = [e for e in engines if e.stage is other and not e.is_arriving]
        leaving = sum(e.stage is stage and e.is_arriving for e in engines)
        allowed = max(1, int(MAX_SHARE_AT_ONCE * (len(staying) + leaving))) - leaving
        if allowed <= 0:
            return []
        free = [e for e in staying if e.id not in ordered and not self._is_held(e, stage)]
        search = _search(engines, free, stage, work)
        target = search.best(most=len(staying) - 1, is_exact=_is_small(engines))
        wanted = _use(_moved(engines, target, stage), work)
        if not target or wanted.value > (1.0 - MIN_GAIN) * present.value:
            return []
        first = target
        if len(target) > allowed:
            first = search.best(most=allowed, is_exact=_is_small(engines))
        reason = _reason(present, wanted, counts, scale, work)
        by_id = {engine.id: engine for engine in free}
        return [
            StageChange(worker=by_id[worker_id].tracked.worker, stage=stage, reason=reason)
            for worker_id in first
        ]

    def _is_held(self, engine: _Engine, stage: Stage) -> bool:
        """Whether an engine was ordered to the same stage of late, without effect so far."""
        order = self._orders_by_id.get(engine.id)
        return order is not None and order.stage is stage


def _engines(
    tracked_workers: Sequence[TrackedWorker], ordered: dict[str, Stage], paces: PaceView, now: float
) -> list[_Engine]:
    """The listed engines of both stages; ordered changes count as carried out."""
    engines = []
    for tracked in tracked_workers:
        worker = tracked.worker
        is_listed = tracked.gone_at is None and worker.state is WorkerState.READY
        if worker.stage is None or not is_listed:
            continue
        reading = paces.estimate(worker.id, WorkKind.READING, now).factor
        token = paces.estimate(worker.id, WorkKind.TOKEN, now).factor
        stage = ordered.get(worker.id, worker.stage)
        engines.append(
            _Engine(
                tracked=tracked,
                stage=stage,
                is_arriving=stage is not worker.stage,
                speed_by_stage={Stage.PREFILL: _speed(reading), Stage.DECODE: _speed(token)},
            )
        )
    return engines


def _speed(factor: float) -> float:
    """1 over a pace, rounded; the usual speed if the pace is not valid.

    >>> round(_speed(0.6), 2), _speed(0.98), _speed(math.nan)
    (1.65, 1.0, 1.0)
    """
    if not (math.isfinite(factor) and factor > 0.0):
        return 1.0
    return math.exp(-SPEED_STEP * round(math.log(factor) / SPEED_STEP))


def _work(
    counts: DemandCounts,
    engines: Sequence[_Engine],
    *,
    scale: float,
    pace: PrefillPace,
    traits: EngineTraits,
) -> StageWork | None:
    """What all boxes are asked for each second; None if that is not known."""
    mix = counts.mix
    is_known = traits.kv_tokens > 0 and pace.pace > 0.0 and math.isfinite(scale)
    if mix is None or not is_known:
        return None
    rate = max(1.0, scale) * counts.asks / WINDOW_S
    prefill_s = pace.fixed_s + mix.prompt_tokens / pace.pace
    share = max(mix.held_tokens / traits.kv_tokens, 1.0 / max(1, traits.slots))
    decode_s = _usual_stream_s(mix, engines)
    work = StageWork(
        prefill=rate * prefill_s,
        decode=rate * share * decode_s,
        change_s=traits.switch_s + mix.decode_s,
    )
    return work if work.is_valid() else None


def _usual_stream_s(mix: RequestMix, engines: Iterable[_Engine]) -> float:
    """The time of a stream at the usual pace.

    The mean over ended streams is that of the present decode workers: equally filled, they end
    streams in proportion to their speed, so that it is the usual time over their mean speed.
    """
    speeds = [
        engine.speed_by_stage[Stage.DECODE]
        for engine in engines
        if engine.tracked.worker.stage is Stage.DECODE
    ]
    return mix.decode_s * (sum(speeds) / len(speeds) if speeds else 1.0)


def _summed_speed(engines: Iterable[_Engine], stage: Stage) -> float:
    return sum(e.speed_by_stage[stage] for e in engines if e.stage is stage)


def _use(engines: Sequence[_Engine], work: StageWork) -> StageUse:
    """The use of both stages, changes ordered counted as carried out."""
    prefills = sum(engine.stage is Stage.PREFILL for engine in engines)
    return StageUse(
        prefills=prefills,
        decodes=len(engines) - prefills,
        prefill=stage_search.ratio(work.prefill, _summed_speed(engines, Stage.PREFILL)),
        decode=stage_search.ratio(work.decode, _summed_speed(engines, Stage.DECODE)),
    )


def _moved(engines: Sequence[_Engine], ids: Sequence[str], stage: Stage) -> list[_Engine]:
    """The engines once some of them have a stage."""
    return [replace(e, stage=stage) if e.id in ids else e for e in engines]


def _is_small(engines: Sequence[_Engine]) -> bool:
    return len(engines) <= stage_search.MAX_EXACT


def _search(
    engines: Sequence[_Engine], free: Sequence[_Engine], stage: Stage, work: StageWork
) -> stage_search.StageSearch:
    """The choice among free engines, so that the time of the change itself is no worse than now.

    Engines that change are missing on both sides meanwhile. The stage that gives them may then be
    as far above its aim as the split is at present, and prefill workers not above their limit.
    """
    other = OTHER[stage]
    aim_by_stage = {Stage.PREFILL: PREFILL_AIM, Stage.DECODE: DECODE_AIM}
    # In units of speed: a stage with this speed is just at its aim.
    asked_by_stage = {
        Stage.PREFILL: work.prefill / PREFILL_AIM,
        Stage.DECODE: work.decode / DECODE_AIM,
    }
    settled = [engine for engine in engines if not engine.is_arriving]
    limit = _use(settled, work).value
    if stage is Stage.DECODE:
        limit = min(limit, MAX_PREFILL_USE / aim_by_stage[other])
    spare = _summed_speed(settled, other) - stage_search.ratio(asked_by_stage[other], limit)
    return stage_search.StageSearch(
        candidates=[
            stage_search.Candidate(
                id=engine.id,
                hall=engine.tracked.worker.zone,
                tokens=engine.tracked.tokens_in_flight,
                given=engine.speed_by_stage[other],
                gained=engine.speed_by_stage[stage],
            )
            for engine in free
        ],
        giver=stage_search.Side(asked=asked_by_stage[other], speed=_summed_speed(engines, other)),
        taker=stage_search.Side(asked=asked_by_stage[stage], speed=_summed_speed(engines, stage)),
        spare=spare,
        decodes_by_hall=Counter(
            engine.tracked.worker.zone for engine in engines if engine.stage is Stage.DECODE
        ),
        is_to_decode=stage is Stage.DECODE,
    )


def _reason(
    present: StageUse, wanted: StageUse, counts: DemandCounts, scale: float, work: StageWork
) -> str:
    rate = max(1.0, scale) * counts.asks / WINDOW_S
    return (
        f"{present.prefills}+{present.decodes} are {present.prefill:.2f}+{present.decode:.2f} "
        f"used, {wanted.prefills}+{wanted.decodes} would be {wanted.prefill:.2f}+"
        f"{wanted.decode:.2f}; {rate:.1f} prompts/s over {WINDOW_S:.0f} s ({counts.asks} asks "
        f"times {scale:.2f}) need {work.prefill:.1f}+{work.decode:.1f} engines of usual speed"
    )
