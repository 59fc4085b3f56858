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
        """Crowds of which too little was served at boxes where nothing else was wrong.

        While workers are disturbed, all boxes serve less. The crowded box is then held against the
        others at the same time.
        """
        for crowd in self.crowds:
            if not self._is_calm(crowd, crowd.box, STORE):
                continue
            read = [one for one in crowd.tries if self._is_judged(one, crowd)]
            served = sum(_is_served(one) for one in read)
            usual = 1.0 if self._is_calm(crowd, *self._workers()) else self._others_share(crowd)
            if len(read) >= MIN_JUDGED and served < TARGET_SHARE * usual * len(read):
                detail = (
                    f"{served} of {len(read)} first tries served that {crowd.box} had read, "
                    f"{usual:.2f} elsewhere"
                )
                yield Violation(promise="crowded boxes serve", request_id="", detail=detail)

    def _is_calm(self, crowd: Crowd, *names: str) -> bool:
        """Whether nothing of these was disturbed from before a crowd to its last answer."""
        end = crowd.begun_at + CONTACT_S + JUDGED_S + DEADLINE_S
        return self.disturbances.are_calm(names, crowd.begun_at - CONTACT_S, end)

    def _is_judged(self, attempt: Try, crowd: Crowd) -> bool:
        since_s = attempt.sent_at - crowd.begun_at
        return CONTACT_S <= since_s < CONTACT_S + JUDGED_S and was_read(attempt)

    def _others_share(self, crowd: Crowd) -> float:
        """Return the share of like tries served at calm boxes meanwhile; 0 if they are too few."""
        calm = {
            box.name
            for box in self.boxes
            if box.name != crowd.box and self._is_calm(crowd, box.name)
        }
        tries = [
            one
            for one in self.traffic.tries_by_id.values()
            if one.box in calm and one.kind in KINDS and self._is_judged(one, crowd)
        ]
        if len(tries) < MIN_JUDGED:
            return 0.0
        return sum(_is_served(one) for one in tries) / len(tries)

    def _workers(self) -> tuple[str, ...]:
        return tuple(listed.worker.id for listed in self.traffic.world.all_workers)


def was_read(attempt: Try) -> bool:
    """Whether a try was answered, or left without an answer on an open connection."""
    return attempt.status > 0 or attempt.left_at is not None


def _is_served(attempt: Try) -> bool:
    """Whether a try was served whole within the time that callers of a crowd have."""
    if attempt.status != 200 or not attempt.is_whole:
        return False
    return attempt.ended_at is None or attempt.ended_at - attempt.sent_at <= DEADLINE_S
