"""Faults that are series of blows: long configurations, silenced connections, stops one by one."""

from __future__ import annotations

import asyncio
import random
import signal
from collections.abc import Sequence

from croftchute.soak.boxes import SoakBox
from croftchute.soak.disturbances import Disturbances, Pace
from croftchute.soak.plan import PlannedFault, SoakSpec
from croftchute.soak.proxy import FaultyLink, LinkFault
from croftchute.soak.signals import BoxSignals
from croftchute.soak.world import TIMEOUT_S, SoakWorld

TRANSFERS_S = (2.5, 4.0)
"""Least and most seconds that a slow link takes for a long configuration; a link of 5 Mbit/s of
incident inc2 takes 1.65 s with nothing else on it, about twice that beside copies of peers."""

CHANGE_GAP_TRANSFERS = 1.3
"""Transfers between two changes of a long configuration: to write one takes as long as to read."""

TAIL_TRANSFERS = 2.5
"""Transfers for which links stay slow after the last change, with ``TAIL_S``: a box that takes in
nothing before the links are fast again is late by then."""

TAIL_S = 4.0
MAX_CHANGES = 2
MAX_SILENCINGS = 3
SILENCED_SHARES = (0.3, 0.6, 1.0)
SILENCE_GAPS_S = (0.4, 1.2)
STOP_GAPS_S = (0.2, 1.5)
SHORT_PAUSE_S = 0.4


class SeriesFaults:
    """The kinds of faults whose blows come in series; each draws them from the fault's pick."""

    def __init__(
        self,
        *,
        spec: SoakSpec,
        world: SoakWorld,
        boxes: Sequence[SoakBox],
        store_links: Sequence[FaultyLink],
        caller_links: Sequence[FaultyLink],
        disturbances: Disturbances,
        signals: BoxSignals,
    ) -> None:
        self.spec = spec
        self.world = world
        self.boxes = boxes
        self.store_links = store_links
        self.caller_links = caller_links
        self.disturbances = disturbances
        self.signals = signals
        self._is_long = False

    @property
    def now(self) -> float:
        """The present time of the loop."""
        return asyncio.get_running_loop().time()

    # Long configurations.

    async def long_config(self, fault: PlannedFault) -> None:
        """A configuration of thousands of routes comes over slow links, small changes behind it.

        One at a time: several would only queue on the links.
        """
        if self._is_long:
            return
        self._is_long = True
        rng = random.Random(fault.pick)
        transfer_s = rng.uniform(*TRANSFERS_S)
        slow = self._slow_boxes(rng)
        version = self.world.lengthen_config()
        bytes_a_second = self.world.size_by_version[version] / transfer_s
        begun_at = self.now
        for index in slow:
            link = self.store_links[index]
            link.set_fault(LinkFault.PACED, bytes_a_second=bytes_a_second)
        changes = rng.randint(1, MAX_CHANGES)
        lasts_s = (changes * CHANGE_GAP_TRANSFERS + TAIL_TRANSFERS) * transfer_s + TAIL_S
        for index in slow:
            pace = Pace(
                box=self.boxes[index].name,
                start=begun_at,
                end=begun_at + lasts_s,
                bytes_a_second=bytes_a_second,
            )
            self.disturbances.paces.append(pace)
        async with asyncio.TaskGroup() as restarts:
            for _ in range(changes):
                restarts.create_task(self._restart(rng))
                await asyncio.sleep(CHANGE_GAP_TRANSFERS * transfer_s)
                self.world.accept_config()
            await asyncio.sleep(begun_at + lasts_s - self.now)
            for index in slow:
                if self.store_links[index].fault is LinkFault.PACED:
                    self.store_links[index].set_fault(LinkFault.NONE)
            self.world.shorten_config()
            self._is_long = False

    def _slow_boxes(self, rng: random.Random) -> list[int]:
        """All boxes, or some, which others can help then; by their indices."""
        indices = list(range(len(self.boxes)))
        if rng.random() < 0.5:
            return indices
        return rng.sample(indices, rng.randint(1, len(indices)))

    async def _restart(self, rng: random.Random) -> None:
        box = rng.choice(self.boxes)
        if self.spec.only_planned or rng.random() < 0.5:
            await self.signals.stop(box)
        else:
            self.signals.end(box, signal.SIGKILL)

    # Silenced connections.

    async def silence_connections(self, fault: PlannedFault) -> None:
        """Open connections fall silent for good, in series, with signals and changes beside."""
        rng = random.Random(fault.pick)
        async with asyncio.TaskGroup() as beside:
            for _ in range(rng.randint(2, MAX_SILENCINGS)):
                links_by_name = rng.choice(self._link_groups())
                share = rng.choice(SILENCED_SHARES)
                for name, link in links_by_name.items():
                    self._silence(name, link, share, rng)
                beside.create_task(self._trouble_beside(rng))
                await asyncio.sleep(rng.uniform(*SILENCE_GAPS_S))

    def _link_groups(self) -> list[dict[str, FaultyLink]]:
        """The links to the store, of the callers and to the workers, by whom they trouble."""
        names = [box.name for box in self.boxes]
        return [
            dict(zip(names, self.store_links, strict=True)),
            dict(zip(names, self.caller_links, strict=True)),
            {listed.worker.id: listed.link for listed in self.world.live()},
        ]

    def _silence(self, name: str, link: FaultyLink, share: float, rng: random.Random) -> None:
        """Whoever asked on a silenced connection may learn nothing until its time is over."""
        if link.silence_open(share, rng):
            self.disturbances.note(name, self.now, self.now + TIMEOUT_S)

    async def _trouble_beside(self, rng: random.Random) -> None:
        box = rng.choice(self.boxes)
        match rng.choice(("change", "stop", "reload", "pause", "kill")):
            case "change":
                self.world.accept_config()
            case "stop":
                await self.signals.stop(box)
            case "reload":
                if box.is_up:
                    box.send_signal(signal.SIGHUP)
            case "pause":
                await self.signals.pause(box, SHORT_PAUSE_S)
            case "kill":
                self.signals.end(box, signal.SIGKILL)

    # Stops in series.

    async def stop_boxes(self, fault: PlannedFault) -> None:
        """Several boxes are told to stop one after another, with changes between the stops."""
        rng = random.Random(fault.pick)
        count = rng.randint(min(2, len(self.boxes)), len(self.boxes))
        async with asyncio.TaskGroup() as stops:
            for box in rng.sample(list(self.boxes), count):
                stops.create_task(self.signals.stop(box))
                await asyncio.sleep(rng.uniform(*STOP_GAPS_S))
                self.world.accept_config()
