"""Most new connections at one box for some seconds, beside all other faults."""

from __future__ import annotations

import asyncio
from collections.abc import Iterator, Sequence
from dataclasses import dataclass, field

from croftchute.soak.boxes import SoakBox
from croftchute.soak.disturbances import STORE, Disturbances
from croftchute.soak.keys import STANDING
from croftchute.soak.plan import PlannedFault
from croftchute.soak.traffic import Traffic
from croftchute.soak.violation import Violation
from croftchute.standins.platform_caller import RequestKind, Try

CROWD_PER_S = 60.0
"""Connections a second of a crowd: more than a box serves whose requests cost ``REQUEST_MS``."""

REQUEST_MS = 20.0
"""Milliseconds of the processor that each request costs a box of a soak that draws crowds."""

CONTACT_S = 3.0
"""Seconds of a crowd after which first tries are judged."""

JUDGED_S = 3.0
DEADLINE_S = 3.0
TARGET_SHARE = 0.75
MIN_JUDGED = 20
KINDS = (RequestKind.REPEATABLE, RequestKind.RESUMABLE)


@dataclass(frozen=True, kw_only=True, slots=True)
class Crowd:
    """One crowd: the box that got it, when, and the tries that it made."""

    box: str
    begun_at: float
    tries: tuple[Try, ...]


@dataclass(kw_only=True)
class Crowds:
    """Sends crowds, and holds what the boxes have read of them against the users' bound."""

    boxes: Sequence[SoakBox]
    traffic: Traffic
    disturbances: Disturbances
    crowds: list[Crowd] = field(default_factory=list)
    is_crowded: bool = False

    async def strike(self, fault: PlannedFault) -> None:
        """Send a crowd to one box, each request on a connection of its own; one at a time."""
        if self.is_crowded:
            return
        self.is_crowded = True
        try:
            await self._send(fault)
        finally:
            self.is_crowded = False

    async def _send(self, fault: PlannedFault) -> None:
        loop = asyncio.get_running_loop()
        index = fault.pick % len(self.boxes)
        begun_at = loop.time()
        asking: list[asyncio.Task[Try]] = []
        while loop.time() < begun_at + CONTACT_S + JUDGED_S:
            kind = KINDS[len(asking) % len(KINDS)]
            asking.append(loop.create_task(self._ask(index, kind)))
            await asyncio.sleep(1.0 / CROWD_PER_S)
        tries = tuple(await asyncio.gather(*asking))
        self.crowds.append(Crowd(box=self.boxes[index].name, begun_at=begun_at, tries=tries))

    async def _ask(self, index: int, kind: RequestKind) -> Try:
        caller = self.traffic.caller(index)
        attempt = await self.traffic.ask(
            caller, kind, may_leave=False, deadline_s=DEADLINE_S, key=STANDING
        )
        caller.close()
        return attempt

    def violations(self) -> Iterator[Violation]:
        """Crowds of which too little was served at boxes where nothing else was wrong."""
        for crowd in self.crowds:
            end = crowd.begun_at + CONTACT_S + JUDGED_S + DEADLINE_S
            names = (crowd.box, STORE, *self._workers())
            if not self.disturbances.are_calm(names, crowd.begun_at - CONTACT_S, end):
                continue
            read = [
                one
                for one in crowd.tries
                if one.sent_at >= crowd.begun_at + CONTACT_S and was_read(one)
            ]
            served = sum(one.status == 200 and one.is_whole for one in read)
            if len(read) >= MIN_JUDGED and served < TARGET_SHARE * len(read):
                detail = f"{served} of {len(read)} first tries served that {crowd.box} had read"
                yield Violation(promise="crowded boxes serve", request_id="", detail=detail)

    def _workers(self) -> tuple[str, ...]:
        return tuple(listed.worker.id for listed in self.traffic.world.all_workers)


def was_read(attempt: Try) -> bool:
    """Whether a try was answered, or left without an answer on an open connection."""
    return attempt.status > 0 or attempt.left_at is not None
