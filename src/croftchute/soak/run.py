"""One run of the soak: set up, strike by plan, let it settle, check."""

from __future__ import annotations

import asyncio
import contextlib
import os
import random
import signal
from collections import Counter
from collections.abc import AsyncIterator
from dataclasses import dataclass
from pathlib import Path

from croftchute.soak.boxes import Alteration, SoakBox, lay_out, own_link_hosts, own_network
from croftchute.soak.checks import Checker, Violation, check_wave
from croftchute.soak.crashing import CrashingParts, CrashingRequests
from croftchute.soak.crowds import REQUEST_MS, Crowds
from croftchute.soak.disturbances import Disturbances
from croftchute.soak.injector import Injector
from croftchute.soak.misbehaving import MAX_BODY_BYTES, MEMORY_MB, MisbehavingClients
from croftchute.soak.pauses import PausedWorkers
from croftchute.soak.plan import FaultKind, SoakSpec, draw_plan
from croftchute.soak.proxy import FaultyLink, Target
from croftchute.soak.restored import keep_beating
from croftchute.soak.traffic import Traffic
from croftchute.soak.world import HALLS, LOCALHOST, SoakWorld
from croftchute.standins.platform_caller import is_ready

READY_LIMIT_S = 30.0
READY_CHECK_S = 0.1
READY_ASK_S = 1.0
RECOVERY_S = 12.0
WAVE_REQUESTS = 24
IDLE_S = 2.6
LAG_TICK_S = 0.02
END_LIMIT_S = 10.0
LINKS_END_S = 0.1

USUAL_SLACK = 50.0
SMALL_SLACK = 8.0
"""Constants of the retry budget; the small one is for runs that draw crowds of requests."""


@dataclass(frozen=True, kw_only=True, slots=True)
class SoakResult:
    """What a run showed."""

    spec: SoakSpec
    violations: tuple[Violation, ...]
    injected: Counter[FaultKind]
    statuses: Counter[int]
    tries: int
    runs: int
    lag_s: float
    judged_times: bool


class LagMeter:
    """How late the loop wakes up at the worst: whether the machine keeps pace."""

    def __init__(self) -> None:
        self.worst_s = 0.0

    async def run(self) -> None:
        """Measure; never returns."""
        loop = asyncio.get_running_loop()
        while True:
            before = loop.time()
            await asyncio.sleep(LAG_TICK_S)
            self.worst_s = max(self.worst_s, loop.time() - before - LAG_TICK_S)


@dataclass(kw_only=True)
class Stage:
    """Everything that one run consists of."""

    spec: SoakSpec
    world: SoakWorld
    boxes: list[SoakBox]
    store_links: list[FaultyLink]
    caller_links: list[FaultyLink]
    disturbances: Disturbances
    traffic: Traffic
    crashing: CrashingRequests
    crashing_parts: CrashingParts
    paused: PausedWorkers
    crowds: Crowds
    misbehaving: MisbehavingClients

    async def wait_ready(self) -> bool:
        """Wait until all boxes call themselves ready; False if they do not in time."""
        loop = asyncio.get_running_loop()
        end = loop.time() + READY_LIMIT_S
        while loop.time() < end:
            answers = await asyncio.gather(
                *(is_ready(b.address.host, b.address.health, READY_ASK_S) for b in self.boxes)
            )
            if all(answers):
                return True
            await asyncio.sleep(READY_CHECK_S)
        return False


async def run_soak(spec: SoakSpec, folder: Path) -> SoakResult:
    """Run once; settings and logs of the boxes are left in ``folder``."""
    lag = LagMeter()
    async with stage(spec, folder) as set_up:
        meter = asyncio.create_task(lag.run())
        injector = _injector(set_up)
        if not await set_up.wait_ready():
            return _not_started(spec, lag)
        lag.worst_s = 0.0
        callers = [
            asyncio.create_task(set_up.traffic.keep_calling(number))
            for number in range(spec.callers)
        ]
        callers.append(asyncio.create_task(set_up.traffic.probe_versions()))
        await _strike(injector, spec)
        await set_up.wait_ready()
        set_up.traffic.is_over = True
        await asyncio.gather(*callers)
        meter.cancel()
        violations = await _last_wave(set_up)
        await asyncio.sleep(IDLE_S)
        checker = Checker(
            world=set_up.world,
            traffic=set_up.traffic,
            boxes=set_up.boxes,
            disturbances=set_up.disturbances,
            lag_s=lag.worst_s,
            judge_times=spec.judge_times,
            only_planned=spec.only_planned,
            crashing=tuple(set_up.crashing.sent),
            crashing_parts=tuple(set_up.crashing_parts.sent),
            telling=injector.telling,
            limiting=injector.limiting,
            link_cuts=injector.link_cuts,
            paused=set_up.paused,
            crowds=set_up.crowds,
            misbehaving=set_up.misbehaving,
        )
        violations += checker.violations()
        tries = set_up.traffic.tries_by_id.values()
        return SoakResult(
            spec=spec,
            violations=tuple(violations),
            injected=injector.injected,
            statuses=Counter(attempt.status for attempt in tries),
            tries=len(tries),
            runs=sum(len(listed.worker.runs) for listed in set_up.world.all_workers),
            lag_s=lag.worst_s,
            judged_times=checker.judges_times,
        )


async def _strike(injector: Injector, spec: SoakSpec) -> None:
    loop = asyncio.get_running_loop()
    begun_at = loop.time()
    for fault in draw_plan(spec):
        await asyncio.sleep(max(0.0, begun_at + fault.at - loop.time()))
        injector.strike(fault)
    await injector.settle()


async def _last_wave(set_up: Stage) -> list[Violation]:
    """Ask until requests are served again, for as long as recovery may take."""
    loop = asyncio.get_running_loop()
    end = loop.time() + RECOVERY_S
    while True:
        violations = check_wave(await set_up.traffic.wave(WAVE_REQUESTS))
        if not violations or loop.time() > end:
            return violations
        await asyncio.sleep(1.0)


def _not_started(spec: SoakSpec, lag: LagMeter) -> SoakResult:
    violation = Violation(promise="boxes start", request_id="", detail="not all became ready")
    return SoakResult(
        spec=spec,
        violations=(violation,),
        injected=Counter(),
        statuses=Counter(),
        tries=0,
        runs=0,
        lag_s=lag.worst_s,
        judged_times=False,
    )


def _injector(set_up: Stage) -> Injector:
    def set_burst(is_burst: bool) -> None:
        set_up.traffic.is_burst = is_burst

    return Injector(
        spec=set_up.spec,
        world=set_up.world,
        boxes=set_up.boxes,
        store_links=set_up.store_links,
        caller_links=set_up.caller_links,
        disturbances=set_up.disturbances,
        set_burst=set_burst,
        crashing=set_up.crashing,
        crashing_parts=set_up.crashing_parts,
        paused=set_up.paused,
        crowds=set_up.crowds,
        misbehaving=set_up.misbehaving,
    )


@contextlib.asynccontextmanager
async def stage(spec: SoakSpec, folder: Path) -> AsyncIterator[Stage]:
    """Set everything up, and take it down whatever happens."""
    addresses = lay_out(own_network(os.getpid()), spec.boxes)
    cuts_links = FaultKind.LINKS_CUT in spec.kinds
    link_hosts = own_link_hosts(addresses) if cuts_links else ()
    misbehave = FaultKind.CLIENTS_MISBEHAVE in spec.kinds
    world = SoakWorld(link_hosts=link_hosts)
    if misbehave:
        world.max_body_bytes = MAX_BODY_BYTES
    await world.start(desks=spec.desks, engines=spec.engines)
    store_target = Target(host=LOCALHOST, port=world.store.ingress.port)
    seeds = tuple(f"{address.host}:{address.control}" for address in addresses[:3])
    boxes, store_links, caller_links = [], [], []
    for number, address in enumerate(addresses):
        store_link = FaultyLink(name=f"store-{number}", target=store_target)
        store_port = await store_link.start()
        caller_target = Target(host=address.host, port=address.callers)
        caller_link = FaultyLink(name=f"callers-{number}", target=caller_target)
        box = SoakBox(
            name=f"box-{number + 1}",
            hall=HALLS[number % len(HALLS)],
            address=address,
            folder=folder,
            store_port=store_port,
            seeds=seeds,
            retry_slack=SMALL_SLACK if FaultKind.CALLERS_CROWDED in spec.kinds else USUAL_SLACK,
            memory_mb=MEMORY_MB if misbehave else 0.0,
            alteration=Alteration(
                broken=spec.broken,
                worker_host=link_hosts[number] if cuts_links else "",
                store_port=store_port if cuts_links else 0,
                request_ms=REQUEST_MS if FaultKind.CALLERS_CROWDED in spec.kinds else 0.0,
            ),
        )
        await caller_link.start()
        box.write_settings()
        boxes.append(box)
        store_links.append(store_link)
        caller_links.append(caller_link)
    disturbances = Disturbances()
    running = [asyncio.create_task(box.keep_running(lambda _: None)) for box in boxes]
    beating = None
    if FaultKind.STORE_RESTORED in spec.kinds:
        beating = asyncio.create_task(keep_beating(world))
    traffic = Traffic(
        world=world,
        boxes=boxes,
        links=caller_links,
        rng=random.Random(spec.seed),
        key_rng=random.Random(-spec.seed),
        resume_rng=random.Random(f"resumed {spec.seed}"),
    )
    try:
        yield Stage(
            spec=spec,
            world=world,
            boxes=boxes,
            store_links=store_links,
            caller_links=caller_links,
            disturbances=disturbances,
            traffic=traffic,
            crashing=CrashingRequests(world=world, traffic=traffic, disturbances=disturbances),
            crashing_parts=CrashingParts(world=world, traffic=traffic, disturbances=disturbances),
            paused=PausedWorkers(
                world=world, boxes=boxes, traffic=traffic, disturbances=disturbances
            ),
            crowds=Crowds(boxes=boxes, traffic=traffic, disturbances=disturbances),
            misbehaving=MisbehavingClients(boxes=boxes, disturbances=disturbances),
        )
    finally:
        await _take_down(boxes, running)
        if beating is not None:
            beating.cancel()
        world.stop()
        for link in (*store_links, *caller_links):
            link.stop()
        await asyncio.sleep(LINKS_END_S)


async def _take_down(boxes: list[SoakBox], running: list[asyncio.Task[None]]) -> None:
    for box in boxes:
        box.is_wanted = False
        box.send_signal(signal.SIGCONT)
        box.end(signal.SIGKILL)
    with contextlib.suppress(TimeoutError):
        async with asyncio.timeout(END_LIMIT_S):
            await asyncio.gather(*running, return_exceptions=True)
