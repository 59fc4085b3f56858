"""A request that ends each worker that begins to run it, and comes again at any box for a while."""

from __future__ import annotations

import asyncio
import random
from dataclasses import dataclass, field

from croftchute.soak.disturbances import Disturbances
from croftchute.soak.keys import STANDING
from croftchute.soak.plan import PlannedFault
from croftchute.soak.proxy import Target
from croftchute.soak.traffic import Traffic
from croftchute.soak.world import DESK, ENGINES, LOCALHOST, ListedWorker, SoakWorld
from croftchute.standins.platform_caller import RequestKind

LASTS_S = 9.0
"""Seconds for which it comes again: boxes are held to what is known 3 s after the third end."""

MIN_GAP_S, MAX_GAP_S = 0.1, 0.4
BACK_S = 1.0
"""Seconds until a worker that ended is back."""

DEADLINE_S = 2.0


@dataclass(frozen=True, kw_only=True, slots=True)
class CrashingRequest:
    """One such request, by what its tries have in common."""

    path: str
    body: bytes


@dataclass(kw_only=True)
class CrashingRequests:
    """Sends such requests, and brings the workers that they end back."""

    world: SoakWorld
    traffic: Traffic
    disturbances: Disturbances
    sent: list[CrashingRequest] = field(default_factory=list)
    _by_service: dict[str, CrashingRequest] = field(default_factory=dict)
    _births: int = 1000

    async def strike(self, fault: PlannedFault) -> None:
        """One request to one service, again and again; one at a time for each service."""
        service, kind = [(DESK, RequestKind.REPEATABLE), (ENGINES, RequestKind.RESUMABLE)][
            fault.pick % 2
        ]
        if service in self._by_service:
            return
        name = f"crash-{len(self.sent)}"
        request = CrashingRequest(path=f"/{kind.value}/{name}", body=name.encode())
        self.sent.append(request)
        self._by_service[service] = request
        for listed in self.world.live(service):
            self._arm(listed, request)
        await self._come_again(kind, request, random.Random(fault.pick))
        del self._by_service[service]
        for listed in self.world.live(service):
            listed.worker.crashes_on = None

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

    def _arm(self, listed: ListedWorker, request: CrashingRequest) -> None:
        listed.worker.crashes_on = request.body
        listed.worker.on_crash = lambda: self._crashed(listed, request)

    def _crashed(self, listed: ListedWorker, request: CrashingRequest) -> None:
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
        request = self._by_service.get(listed.service)
        if request is not None:
            self._arm(again, request)
