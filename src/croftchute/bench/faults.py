"""Faults of a run; each function sets its own events on the loop."""

from __future__ import annotations

import random
from collections.abc import Callable
from dataclasses import dataclass, field, replace
from functools import partial

from croftchute.bench.fleet_router import FleetRouter
from croftchute.bench.loop import EventLoop
from croftchute.bench.routers import Router
from croftchute.bench.scenarios import Scenario
from croftchute.bench.world import World
from croftchute.config.documents import UpstreamState

STALL_S = 1.5
SILENCE_S = 6.0
RESTART_AFTER_S = 5.0
FAULTY_SHARE = 0.03


@dataclass(kw_only=True)
class FaultContext:
    """What faults act upon, and what they note for the checker."""

    loop: EventLoop
    world: World
    router: Router
    scenario: Scenario
    rng: random.Random
    start_s: float
    end_s: float
    kill_box: Callable[[str], None]
    drained: list[tuple[float, str]] = field(default_factory=list)

    @property
    def middle_s(self) -> float:
        """Halfway through the measured time."""
        return (self.start_s + self.end_s) / 2

    def count(self, number: int) -> int:
        """How many of a number are hit: a small share, at least one."""
        return max(1, round(number * FAULTY_SHARE))


Fault = Callable[[FaultContext], None]


def quiet(context: FaultContext) -> None:
    """No fault."""


def engine_death(context: FaultContext) -> None:
    """A decode engine of the largest hall, or a few, die halfway."""
    engines = sorted(context.world.decode_by_id)
    pool = [name for name in engines if "-decode-" in name] or engines
    for name in context.rng.sample(pool, context.count(len(pool))):
        context.loop.at(context.middle_s, partial(context.world.kill_engine, name))


def box_death(context: FaultContext) -> None:
    """A box, or a few, die halfway and come back empty some seconds later."""
    hall = max(context.scenario.halls, key=lambda shape: shape.boxes)
    names = [f"{hall.name}-{n}" for n in range(hall.boxes)]
    if isinstance(context.router, FleetRouter):
        names = context.router.box_ids(hall.name)
    if len(names) < 2:
        return
    for name in context.rng.sample(names, context.count(len(names))):
        context.loop.at(context.middle_s, partial(context.kill_box, name))
        back = context.middle_s + RESTART_AFTER_S
        context.loop.at(back, partial(_restart, context, name))


def stalled_links(context: FaultContext) -> None:
    """The links into some decode engines carry nothing for a while, twice."""
    engines = sorted(context.world.decode_by_id)
    for moment in (context.start_s + 1.0, context.middle_s):
        for name in context.rng.sample(engines, context.count(len(engines))):
            context.loop.at(moment, partial(_stall_link, context, name))


def cancels(context: FaultContext) -> None:
    """Callers who leave: made by the workload, nothing to do here."""


def reports_stopped(context: FaultContext) -> None:
    """No engine publishes reports for some seconds."""

    def silence() -> None:
        context.world.reports_silent_until = context.loop.now + SILENCE_S

    context.loop.at(context.middle_s, silence)


def drain(context: FaultContext) -> None:
    """An operator marks a decode engine as leaving."""
    router = context.router
    if not isinstance(router, FleetRouter):
        return
    name = sorted(context.world.decode_by_id)[0]

    def mark() -> None:
        pools = [
            replace(
                pool,
                engines=[
                    replace(e, state=UpstreamState.LEAVING) if e.id == name else e
                    for e in pool.engines
                ],
            )
            for pool in router.document.pools
        ]
        router.apply(replace(router.document, pools=pools))
        context.drained.append((context.loop.now, name))

    context.loop.at(context.middle_s, mark)


def _restart(context: FaultContext, name: str) -> None:
    if isinstance(context.router, FleetRouter):
        context.router.restart_box(name)


def _stall_link(context: FaultContext, name: str) -> None:
    engine = context.world.decode_by_id[name]
    engine.link_free_at = max(engine.link_free_at, context.loop.now) + STALL_S


FAULTS: dict[str, Fault] = {
    "quiet": quiet,
    "engine-death": engine_death,
    "box-death": box_death,
    "stalled-links": stalled_links,
    "cancels": cancels,
    "reports-stopped": reports_stopped,
    "drain": drain,
}
