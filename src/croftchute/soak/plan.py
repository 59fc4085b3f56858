"""What goes wrong when: a plan of faults drawn from a seed, in series that overlap."""

from __future__ import annotations

import random
from dataclasses import dataclass
from enum import StrEnum


class FaultKind(StrEnum):
    """Faults that the soak injects from outside the boxes."""

    BOX_KILL = "box_kill"
    BOX_PAUSE = "box_pause"
    BOX_STOP = "box_stop"
    BOX_RELOAD = "box_reload"
    BOX_CLOCK = "box_clock"
    ALL_KILLED = "all_killed"
    LINK_STORE = "link_store"
    LINK_WORKER = "link_worker"
    LINK_CALLERS = "link_callers"
    STORE_REFUSES = "store_refuses"
    STORE_LIMITS = "store_limits"
    STORE_SILENT = "store_silent"
    STORE_LOSES = "store_loses"
    STORE_LATE = "store_late"
    STORE_FORGETS = "store_forgets"
    STORE_LAPSES = "store_lapses"
    WORKER_CRASH = "worker_crash"
    WORKER_DRAIN = "worker_drain"
    WORKER_FAULT = "worker_fault"
    CONFIG_CHANGE = "config_change"
    CONFIG_STORM = "config_storm"
    BURST = "burst"
    HALF_LEAVES = "half_leaves"
    RELAYS_STRUCK = "relays_struck"
    LONG_CONFIG = "long_config"
    CONNECTIONS_SILENCED = "connections_silenced"
    STOPS_IN_SERIES = "stops_in_series"
    REQUEST_CRASHES = "request_crashes"
    ENTRY_SPOILED = "entry_spoiled"
    WORKER_SAYS_LEAVING = "worker_says_leaving"
    WORKER_RESTS = "worker_rests"
    STORE_RESTORED = "store_restored"
    WORKER_LIMITS = "worker_limits"
    LINKS_CUT = "links_cut"
    PART_CRASHES = "part_crashes"
    WORKERS_PAUSED = "workers_paused"
    ANSWERS_COPIED = "answers_copied"
    RELAYS_PAUSED = "relays_paused"
    ANSWERS_ENDLESS = "answers_endless"
    CALLERS_CROWDED = "callers_crowded"
    CLIENTS_MISBEHAVE = "clients_misbehave"


LATER_KINDS = frozenset(
    {
        FaultKind.REQUEST_CRASHES,
        FaultKind.ENTRY_SPOILED,
        FaultKind.WORKER_SAYS_LEAVING,
        FaultKind.WORKER_RESTS,
        FaultKind.STORE_RESTORED,
        FaultKind.WORKER_LIMITS,
        FaultKind.LINKS_CUT,
        FaultKind.PART_CRASHES,
        FaultKind.WORKERS_PAUSED,
        FaultKind.ANSWERS_COPIED,
        FaultKind.RELAYS_PAUSED,
        FaultKind.ANSWERS_ENDLESS,
        FaultKind.CALLERS_CROWDED,
        FaultKind.CLIENTS_MISBEHAVE,
    }
)
FIRST_KINDS = tuple(kind for kind in FaultKind if kind not in LATER_KINDS)
"""Those that seeds were drawn from before the others came: with them they draw the same plans."""

PLANNED = (
    FaultKind.BOX_STOP,
    FaultKind.BOX_RELOAD,
    FaultKind.WORKER_DRAIN,
    FaultKind.CONFIG_CHANGE,
    FaultKind.BURST,
    FaultKind.HALF_LEAVES,
    FaultKind.LONG_CONFIG,
    FaultKind.STOPS_IN_SERIES,
)
LASTING = frozenset(
    {
        FaultKind.BOX_PAUSE,
        FaultKind.RELAYS_STRUCK,
        FaultKind.LINK_STORE,
        FaultKind.LINK_WORKER,
        FaultKind.LINK_CALLERS,
        FaultKind.STORE_REFUSES,
        FaultKind.STORE_LIMITS,
        FaultKind.STORE_SILENT,
        FaultKind.STORE_LOSES,
        FaultKind.STORE_LATE,
        FaultKind.STORE_LAPSES,
        FaultKind.WORKER_FAULT,
        FaultKind.BURST,
        FaultKind.ENTRY_SPOILED,
        FaultKind.WORKER_RESTS,
        FaultKind.STORE_RESTORED,
        FaultKind.WORKER_LIMITS,
        FaultKind.LINKS_CUT,
        FaultKind.ANSWERS_COPIED,
        FaultKind.RELAYS_PAUSED,
        FaultKind.ANSWERS_ENDLESS,
        FaultKind.CLIENTS_MISBEHAVE,
    }
)
APART = frozenset({FaultKind.CLIENTS_MISBEHAVE})
"""Kinds that are drawn by themselves, so that a seed draws the same other faults without them."""

MIN_APART_S = 1.0
MAX_APART_S = 5.0
QUIET_START_S = 1.0
MIN_GAP_S = 0.1
MAX_GAP_S = 0.8
MIN_LASTS_S = 0.3
MAX_LASTS_S = 4.0
SERIES_SHARE = 0.2
MAX_SERIES = 4
SERIES_GAP_S = 0.7


@dataclass(frozen=True, kw_only=True, slots=True)
class PlannedFault:
    """One fault: ``at`` and ``for_s`` in seconds; ``pick`` chooses among what it may strike."""

    at: float
    kind: FaultKind
    for_s: float = 0.0
    pick: int = 0


@dataclass(frozen=True, kw_only=True, slots=True)
class SoakSpec:
    """One run of the soak."""

    seed: int
    seconds: float = 15.0
    boxes: int = 3
    desks: int = 3
    engines: int = 5
    callers: int = 16
    only_planned: bool = False
    kinds: tuple[FaultKind, ...] = tuple(FaultKind)
    broken: str = ""
    judge_times: bool = True


def draw_plan(spec: SoakSpec) -> tuple[PlannedFault, ...]:
    """The faults of a run, in the order of their times; a fifth of them come in series.

    >>> plan = draw_plan(SoakSpec(seed=1, seconds=9.0))
    >>> plan == draw_plan(SoakSpec(seed=1, seconds=9.0)), all(f.at < 9.0 for f in plan)
    (True, True)
    """
    rng = random.Random(spec.seed)
    drawn = [kind for kind in spec.kinds if kind in PLANNED or not spec.only_planned]
    kinds = [kind for kind in drawn if kind not in APART]
    faults = _draw_apart(spec, [kind for kind in drawn if kind in APART])
    at = QUIET_START_S
    while kinds and at < spec.seconds:
        kind = rng.choice(kinds)
        repeats = rng.randint(2, MAX_SERIES) if rng.random() < SERIES_SHARE else 1
        for step in range(repeats):
            faults.append(_draw_fault(rng, kind, at + step * SERIES_GAP_S))
        at += rng.uniform(MIN_GAP_S, MAX_GAP_S)
    within = [fault for fault in faults if fault.at < spec.seconds]
    return tuple(sorted(within, key=lambda fault: fault.at))


def _draw_apart(spec: SoakSpec, kinds: list[FaultKind]) -> list[PlannedFault]:
    rng = random.Random(f"apart {spec.seed}")
    faults: list[PlannedFault] = []
    at = QUIET_START_S
    while kinds and at < spec.seconds:
        faults.append(_draw_fault(rng, rng.choice(kinds), at))
        at += rng.uniform(MIN_APART_S, MAX_APART_S)
    return faults


def _draw_fault(rng: random.Random, kind: FaultKind, at: float) -> PlannedFault:
    lasts_s = rng.uniform(MIN_LASTS_S, MAX_LASTS_S) if kind in LASTING else 0.0
    return PlannedFault(
        at=round(at, 3), kind=kind, for_s=round(lasts_s, 3), pick=rng.randrange(1 << 16)
    )
