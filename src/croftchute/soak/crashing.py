"""Requests that crash each worker that begins to run them, and come again at any box for a while.

Either one request does, whatever else runs, or all requests whose prompts have one part.
"""

from __future__ import annotations

import asyncio
import contextlib
import random
from abc import ABC, abstractmethod
from collections.abc import Iterator
from dataclasses import dataclass, field
from typing import Generic, TypeVar

from croftchute.soak.disturbances import Disturbances
from croftchute.soak.keys import STANDING
from croftchute.soak.plan import PlannedFault
from croftchute.soak.proxy import Target
from croftchute.soak.traffic import Traffic
from croftchute.soak.world import DESK, ENGINES, LOCALHOST, ListedWorker, SoakWorld
from croftchute.standins.platform_caller import RequestKind
from croftchute.standins.platform_worker import PlatformWorker

LASTS_S = 9.0
"""Seconds for which it comes again: boxes are held to what is known 3 s after the third end."""

MIN_GAP_S, MAX_GAP_S = 0.1, 0.4
BACK_S = 1.0
"""Seconds until a worker that ended is back."""

DEADLINE_S = 2.0

FIRST_PART = "f1e5"
"""The first part of all prompts, those that crash workers and sound ones."""

SHARED_PARTS = 6
"""Parts that a few prompts of either kind share."""

T = TypeVar("T")


@dataclass(frozen=True, kw_only=True, slots=True)
class CrashingRequest:
    """One such request, by what its tries have in common."""

    path: str
    body: bytes


@dataclass(frozen=True, kw_only=True, slots=True)
class CrashingPart:
    """A part of prompts under which workers crash."""

    part: str


@dataclass(kw_only=True)
class Crashing(ABC, Generic[T]):
    """Has workers crash under something, one thing at a time for each service, and back again."""

    world: SoakWorld
    traffic: Traffic
    disturbances: Disturbances
    sent: list[T] = field(default_factory=list)
    _by_service: dict[str, T] = field(default_factory=dict)
    _births: int = 1000

    @abstractmethod
    def arm(self, worker: PlatformWorker, cause: T) -> None:
        """Have a worker crash under something."""

    @abstractmethod
    def disarm(self, worker: PlatformWorker) -> None:
        """Have a worker crash under nothing."""

    @contextlib.contextmanager
    def armed(self, service: str, cause: T) -> Iterator[None]:
        """All workers of a service crash under something, those that come back too."""
        self.sent.append(cause)
        self._by_service[service] = cause
        for listed in self.world.live(service):
            self._arm(listed, cause)
        try:
            yield
        finally:
            del self._by_service[service]
            for listed in self.world.live(service):
                self.disarm(listed.worker)

    def is_busy(self, service: str) -> bool:
        """Whether workers of a service crash under something already."""
        return service in self._by_service

    def _arm(self, listed: ListedWorker, cause: T) -> None:
        self.arm(listed.worker, cause)
        listed.worker.on_crash = lambda: self._crashed(listed)

    def _crashed(self, listed: ListedWorker) -> None:
        """The port is dead at once, as that of a process that has ended."""
        loop = asyncio.get_running_loop()
        listed.leaving_at = loop.time()
        self.disturbances.note(listed.worker.id, loop.time(), loop.time() + BACK_S)
        listed.link.close_door()
        listed.revival = loop.create_task(self._come_back(listed))

    async def _come_back(self, listed: ListedWorker) -> None:
        await asyncio.sleep(BACK_S)
        self._births += 1
        # Every other one comes back under the id that it had.
        is_reborn = self._births % 2 == 0
        if not is_reborn:
            self.world.remove_entry(listed)
        again = await self.world.add_worker(
            listed.service,
            stage=listed.worker.stage,
            link=listed.link,
            name=listed.worker.id if is_reborn else "",
            born_ms=self._births,
        )
        await again.link.open_door(Target(host=LOCALHOST, port=again.worker.port))
        cause = self._by_service.get(listed.service)
        if cause is not None:
            self._arm(again, cause)


@dataclass(kw_only=True)
class CrashingRequests(Crashing[CrashingRequest]):
    """Sends such requests, and brings the workers that they end back."""

    def arm(self, worker: PlatformWorker, cause: CrashingRequest) -> None:
        """Have a worker crash under a request."""
        worker.crashes_on = cause.body

    def disarm(self, worker: PlatformWorker) -> None:
        """Have a worker crash under no request."""
        worker.crashes_on = None

    async def strike(self, fault: PlannedFault) -> None:
        """One request to one service, again and again; one at a time for each service."""
        service, kind = [(DESK, RequestKind.REPEATABLE), (ENGINES, RequestKind.RESUMABLE)][
            fault.pick % 2
        ]
        if self.is_busy(service):
            return
        name = f"crash-{len(self.sent)}"
        request = CrashingRequest(path=f"/{kind.value}/{name}", body=name.encode())
        with self.armed(service, request):
            await self._come_again(kind, request, random.Random(fault.pick))

    async def _come_again(
        self, kind: RequestKind, request: CrashingRequest, rng: random.Random
    ) -> None:
        loop = asyncio.get_running_loop()
        end = loop.time() + LASTS_S
        while loop.time() < end:
            caller = self.traffic.caller(rng.randrange(len(self.traffic.boxes)))
            await self.traffic.ask(
                caller,
                kind,
                request.path,
                body=request.body,
                may_leave=False,
                deadline_s=DEADLINE_S,
                key=STANDING,
            )
            caller.close()
            await asyncio.sleep(rng.uniform(MIN_GAP_S, MAX_GAP_S))


@dataclass(kw_only=True)
class CrashingParts(Crashing[CrashingPart]):
    """Sends requests that have one part of their prompts in common, and sound ones beside them."""

    def arm(self, worker: PlatformWorker, cause: CrashingPart) -> None:
        """Have a worker crash under a part of prompts."""
        worker.crashes_on_parts = frozenset({cause.part})

    def disarm(self, worker: PlatformWorker) -> None:
        """Have a worker crash under no part."""
        worker.crashes_on_parts = frozenset()

    async def strike(self, fault: PlannedFault) -> None:
        """Requests with one part, no two alike, for some seconds; one part at a time."""
        if self.is_busy(ENGINES):
            return
        rng = random.Random(fault.pick)
        cause = CrashingPart(part=f"bad{len(self.sent)}")
        loop = asyncio.get_running_loop()
        with self.armed(ENGINES, cause):
            end = loop.time() + LASTS_S
            while loop.time() < end:
                others = [FIRST_PART, f"a{rng.randrange(SHARED_PARTS)}"]
                bad = list(others)
                bad.insert(rng.randrange(3), cause.part)
                await asyncio.gather(self._ask(rng, bad), self._ask(rng, others))
                await asyncio.sleep(rng.uniform(MIN_GAP_S, MAX_GAP_S))

    async def _ask(self, rng: random.Random, parts: list[str]) -> None:
        caller = self.traffic.caller(rng.randrange(len(self.traffic.boxes)))
        own = f"f{len(self.traffic.tries_by_id):x}"
        await self.traffic.ask(
            caller,
            RequestKind.RESUMABLE,
            may_leave=False,
            deadline_s=DEADLINE_S,
            key=STANDING,
            parts=(*parts, own),
        )
        caller.close()
