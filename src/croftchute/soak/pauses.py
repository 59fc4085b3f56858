"""Pauses of sound workers beside changes of the configuration, and what callers got meanwhile."""

from __future__ import annotations

import asyncio
import itertools
import math
import random
from collections import Counter
from collections.abc import Callable, Iterator, Sequence
from dataclasses import dataclass, field
from enum import StrEnum

from croftchute.soak.boxes import SoakBox
from croftchute.soak.disturbances import Disturbances
from croftchute.soak.keys import STANDING
from croftchute.soak.link_cuts import links_of
from croftchute.soak.plan import PlannedFault
from croftchute.soak.traffic import Traffic
from croftchute.soak.violation import Violation, broken
from croftchute.soak.world import (
    DESK,
    ENGINES,
    EVENT_GAP_S,
    EVENTS,
    PASSING,
    SLOW_EVENT_GAP_S,
    TIMEOUT_S,
    WORK_S,
    ListedWorker,
    SoakWorld,
    passing_path,
)
from croftchute.standins.platform_caller import RequestKind, Try
from croftchute.standins.platform_worker import SLOW_PATH
from croftchute.standins.worker_records import Run

PAUSES_S = (0.5, 1.6)
"""Shortest and longest pause in seconds: callers of streams bear gaps of 2 s."""

MAX_BLOWS = 3
"""Most pauses of one series."""

GAPS_S = (0.2, 1.2)
"""Seconds between two pauses of a series: some overlap."""

OFFSETS_S = (0.0, 0.5)
"""Seconds between a change of the configuration and the pause beside it, either first."""

SHARES = (0.3, 0.6, 1.0)
"""Shares of a service's workers that pause together."""

IN_FORCE_S = 2.6
"""Seconds until a new route is in force at all boxes: the users' bound, and some slack."""

UNDER_WAY_S = 0.25
"""Seconds after which requests are under way when the configuration changes."""

SHORT_TIMEOUT_S = 0.5
"""A route's time-out that no request under way would bear if it applied to it."""

IDLE_TIMEOUTS_S = (2.5, 4.0, 6.0)
"""Idle times of callers' connections, in turn."""

CONTACT_S = 3.0
"""Seconds before a request in which nothing else may have struck for it to be judged."""

DEADLINE_SLACK_S = 0.1
"""Seconds before its deadline in which the end of a request is not judged."""

FAILURES = frozenset({502, 504})
NOT_FOUND = 404

APPLY_S = 2.0
"""Seconds until an accepted configuration is in force at boxes in touch: the users' bound."""


class ConfigChange(StrEnum):
    """What a configuration changes beside a pause."""

    IDLE = "idle"
    TIMEOUT = "timeout"
    ROUTE = "route"


@dataclass(frozen=True, kw_only=True, slots=True)
class Pause:
    """A worker that stood still from ``start`` to ``end``, by the loop's clock."""

    worker: str
    start: float
    end: float


@dataclass(kw_only=True)
class PassingRoute:
    """When a route of a series was added, taken away, and had its time shortened."""

    added_at: float
    removed_at: float = math.inf
    shortened_at: float = math.inf


@dataclass(kw_only=True)
class PausedWorkers:
    """Pauses workers in series and at once, and checks what their callers got."""

    world: SoakWorld
    boxes: Sequence[SoakBox]
    traffic: Traffic
    disturbances: Disturbances
    pauses: list[Pause] = field(default_factory=list)
    routes_by_number: dict[int, PassingRoute] = field(default_factory=dict)
    _open_by_worker: Counter[str] = field(default_factory=Counter)
    _numbers: Iterator[int] = field(default_factory=lambda: itertools.count(1))

    async def strike(self, fault: PlannedFault) -> None:
        """Pause workers one to three times, each time beside a change of the configuration."""
        rng = random.Random(fault.pick)
        number = next(self._numbers)
        self.world.passing_timeouts_s[number] = TIMEOUT_S
        self.world.accept_config()
        self.routes_by_number[number] = PassingRoute(added_at=asyncio.get_running_loop().time())
        await asyncio.sleep(IN_FORCE_S)
        async with asyncio.TaskGroup() as blows:
            for _ in range(rng.randint(1, MAX_BLOWS)):
                if number in self.world.passing_timeouts_s:
                    self._ask_all(number, blows)
                    await asyncio.sleep(UNDER_WAY_S)
                change_s, pause_s = rng.uniform(*OFFSETS_S), rng.uniform(*OFFSETS_S)
                change = rng.choice(list(ConfigChange))
                blows.create_task(self._change(change, number, change_s, rng))
                blows.create_task(
                    self._pause_some(self._choose(rng), pause_s, rng.uniform(*PAUSES_S))
                )
                await asyncio.sleep(rng.uniform(*GAPS_S))

    def _ask_all(self, number: int, blows: asyncio.TaskGroup) -> None:
        """Have requests of a route of this series under way at all boxes."""
        if self.world.passing_timeouts_s[number] < TIMEOUT_S:
            return
        for index in range(len(self.boxes)):
            for kind in (RequestKind.RESUMABLE, RequestKind.REPEATABLE):
                blows.create_task(self._ask(index, kind, number))

    async def _ask(self, index: int, kind: RequestKind, number: int) -> None:
        caller = self.traffic.caller(index)
        path = f"{passing_path(number, kind)}{len(self.traffic.tries_by_id)}"
        await self.traffic.ask(
            caller, kind, path, may_leave=False, deadline_s=TIMEOUT_S, key=STANDING
        )
        caller.close()

    async def _change(
        self, change: ConfigChange, number: int, after_s: float, rng: random.Random
    ) -> None:
        await asyncio.sleep(after_s)
        if change is ConfigChange.IDLE:
            self.world.idle_timeout_s = rng.choice(IDLE_TIMEOUTS_S)
        elif change is ConfigChange.TIMEOUT and number in self.world.passing_timeouts_s:
            self.world.passing_timeouts_s[number] = SHORT_TIMEOUT_S
            route = self.routes_by_number[number]
            route.shortened_at = min(route.shortened_at, asyncio.get_running_loop().time())
        elif self.world.passing_timeouts_s.pop(number, None) is not None:
            self.routes_by_number[number].removed_at = asyncio.get_running_loop().time()
        self.world.accept_config()

    def _choose(self, rng: random.Random) -> list[ListedWorker]:
        """Some or all workers of one service, or of both."""
        services = rng.choice(((ENGINES,), (DESK,), (ENGINES, DESK)))
        live = [listed for service in services for listed in self.world.live(service)]
        count = max(1, round(rng.choice(SHARES) * len(live)))
        return rng.sample(live, min(count, len(live)))

    async def _pause_some(self, chosen: list[ListedWorker], after_s: float, for_s: float) -> None:
        await asyncio.sleep(after_s)
        start = asyncio.get_running_loop().time()
        for listed in chosen:
            name = listed.worker.id
            self._open_by_worker[name] += 1
            listed.worker.pause()
            self.pauses.append(Pause(worker=name, start=start, end=start + for_s))
            self.disturbances.note(name, start, start + for_s, is_planned=True)
        await asyncio.sleep(for_s)
        for listed in chosen:
            self._open_by_worker[listed.worker.id] -= 1
            if not self._open_by_worker[listed.worker.id]:
                listed.worker.resume()

    def paused_s(self, workers: set[str], start: float, end: float) -> float:
        """How long some of the workers stood still from ``start`` to ``end``, summed up."""
        return sum(
            max(0.0, min(end, pause.end) - max(start, pause.start))
            for pause in self.pauses
            if pause.worker in workers
        )

    def was_paused(self, worker: str, start: float, end: float) -> bool:
        """Whether a worker stood still at some time from ``start`` to ``end``."""
        return any(
            pause.worker == worker and pause.start <= end and pause.end >= start
            for pause in self.pauses
        )

    def denials(
        self, *, in_touch: Callable[[str, float], bool], slack_s: float
    ) -> Iterator[Violation]:
        """Requests for a route that was in force at boxes in touch, and that they do not know."""
        for attempt in self.traffic.tries_by_id.values():
            if attempt.status != NOT_FOUND or not attempt.path.startswith(PASSING):
                continue
            route = self.routes_by_number[int(attempt.path.split("/")[2])]
            is_due = attempt.sent_at > route.added_at + APPLY_S + slack_s
            was_there = attempt.ended_at is not None and attempt.ended_at < route.removed_at
            if is_due and was_there and in_touch(attempt.box, attempt.sent_at):
                yield broken("routes in force are known", attempt, "404")

    def violations(
        self, runs_by_id: dict[str, list[tuple[ListedWorker, Run]]], *, slack_s: float
    ) -> Iterator[Violation]:
        """Answers that ended before their time although nothing but pauses struck their workers.

        A request that no worker ran may be refused, and one whose time is over ends: also one that
        its box read after the time of its route was shortened.
        """
        for attempt in self.traffic.tries_by_id.values():
            runs = runs_by_id.get(attempt.request_id)
            if not runs or not _has_ended_badly(attempt) or _is_at_deadline(attempt, slack_s):
                continue
            if self._is_at_short_timeout(attempt, min(run.started_at for _, run in runs)):
                continue
            assert attempt.ended_at is not None
            names = (attempt.box, links_of(attempt.box), *(listed.worker.id for listed, _ in runs))
            since = attempt.sent_at - CONTACT_S
            until = attempt.ended_at
            is_calm = self.disturbances.are_calm(names, since, until, but_planned=True)
            if is_calm and not self.disturbances.stops_about(attempt.box, since, until):
                yield broken("a silent worker ends no answer", attempt, _describe(attempt))

    def _is_at_short_timeout(self, attempt: Try, run_at: float) -> bool:
        """Whether a request first ran after its route's time was shortened, and lasted that time.

        A crowded box may read it that late.
        """
        if not attempt.path.startswith(PASSING):
            return False
        shortened_at = self.routes_by_number[int(attempt.path.split("/")[2])].shortened_at
        assert attempt.ended_at is not None
        return run_at >= shortened_at and attempt.ended_at >= shortened_at + SHORT_TIMEOUT_S


def usual_time_s(attempt: Try) -> float:
    """How long a try takes at workers that do not stand still, but for waits for room."""
    if not attempt.kind.is_stream:
        return WORK_S
    gap_s = SLOW_EVENT_GAP_S if SLOW_PATH in attempt.path else EVENT_GAP_S
    return 2.0 * WORK_S + EVENTS * gap_s


def _has_ended_badly(attempt: Try) -> bool:
    """Whether a try that its caller waited for got a part of an answer, none, or a failure."""
    if not attempt.is_sent or attempt.left_at is not None or attempt.ended_at is None:
        return False
    return not attempt.is_whole or attempt.status in FAILURES


def _is_at_deadline(attempt: Try, slack_s: float) -> bool:
    assert attempt.ended_at is not None
    took_s = attempt.ended_at - attempt.sent_at
    return took_s > attempt.deadline_s - DEADLINE_SLACK_S - slack_s


def _describe(attempt: Try) -> str:
    assert attempt.ended_at is not None
    took_s = attempt.ended_at - attempt.sent_at
    what = f"status {attempt.status}" if attempt.is_whole else attempt.failure
    return f"{what} after {took_s:.2f} of {attempt.deadline_s:.2f} s"
