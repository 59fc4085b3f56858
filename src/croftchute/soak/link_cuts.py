"""Boxes that lose their links to all workers, and whether their callers are served all the same."""

from __future__ import annotations

import asyncio
import random
from collections.abc import Iterator, Sequence
from dataclasses import dataclass

from croftchute.soak.boxes import SoakBox
from croftchute.soak.disturbances import STORE, Disturbances
from croftchute.soak.plan import PlannedFault
from croftchute.soak.proxy import LinkFault
from croftchute.soak.traffic import Traffic
from croftchute.soak.violation import Violation
from croftchute.soak.world import SoakWorld
from croftchute.standins.platform_caller import Try

CUT_FAULTS = (LinkFault.HANGING, LinkFault.CLOSED, LinkFault.REFUSED)
"""Links that hang, that are reset, and that live on while new ones are refused."""

CONTACT_S = 3.0
"""Seconds from the cut on after which its callers are to be served like others."""

EXTRA_S = 3.0
"""Seconds that a cut lasts beyond the time drawn for the fault: most outlast the contact then."""

OVERLAP_SHARE = 0.03
"""Share of cuts that strike while another one is in force: their callers can't be compared."""

MIN_SHARE_SERVED = 2 / 3
MAX_FAILED = 10
FAILED_SHARE = 1 / 50
"""What callers are owed: served at least two thirds as often as others, or at most ten and one in
fifty failing."""

SERVED = range(200, 300)


def links_of(box: str) -> str:
    """The name under which the cuts of a box's links to workers stand among disturbances."""
    return f"links of {box}"


@dataclass(frozen=True, kw_only=True, slots=True)
class LinkCut:
    """Boxes whose links to all workers were cut for a time."""

    boxes: frozenset[str]
    fault: LinkFault
    start: float
    end: float


class LinkCuts:
    """Cuts the links of boxes to all workers, and holds what their callers are owed."""

    def __init__(
        self, *, world: SoakWorld, boxes: Sequence[SoakBox], disturbances: Disturbances
    ) -> None:
        self.world = world
        self.boxes = boxes
        self.disturbances = disturbances
        self.cuts: list[LinkCut] = []
        self._cut_now: set[str] = set()

    async def strike(self, fault: PlannedFault) -> None:
        """Cut one box, most or all of a hall, or all boxes but one; mostly one cut at a time."""
        rng = random.Random(fault.pick)
        if self._cut_now and rng.random() >= OVERLAP_SHARE:
            return
        harm = rng.choice(CUT_FAULTS)
        chosen = [box for box in self._choose(rng) if box.name not in self._cut_now]
        if not chosen:
            return
        names = frozenset(box.name for box in chosen)
        self._cut_now |= names
        start = asyncio.get_running_loop().time()
        lasts_s = fault.for_s + EXTRA_S
        self.cuts.append(LinkCut(boxes=names, fault=harm, start=start, end=start + lasts_s))
        for name in names:
            self.disturbances.note(links_of(name), start, start + lasts_s)
        hosts = [box.alteration.worker_host for box in chosen]
        await self.world.cut_links(hosts, harm)
        await asyncio.sleep(lasts_s)
        self._cut_now -= names
        await self.world.heal_links(hosts)

    def _choose(self, rng: random.Random) -> list[SoakBox]:
        first = rng.choice(list(self.boxes))
        hall = [box for box in self.boxes if box.hall == first.hall]
        match rng.choice(("one", "most of a hall", "hall", "all but one")):
            case "one":
                return [first]
            case "most of a hall":
                return hall[: max(1, len(hall) - 1)]
            case "hall":
                return hall
            case _:
                return [box for box in self.boxes if box is not first]

    def violations(self, traffic: Traffic) -> Iterator[Violation]:
        """Cuts whose callers were served less than the others, with nothing else in the way."""
        for cut in self.cuts:
            inside, others = self._tries(cut, traffic)
            if not inside or not others:
                continue
            served, served_others = _served(inside), _served(others)
            failed = len(inside) - served
            is_less = served / len(inside) < MIN_SHARE_SERVED * served_others / len(others)
            if is_less and failed > MAX_FAILED + FAILED_SHARE * len(inside):
                detail = (
                    f"{served} of {len(inside)} served at {sorted(cut.boxes)} ({cut.fault.value}), "
                    f"{served_others} of {len(others)} at the others"
                )
                yield Violation(
                    promise="callers of boxes without workers are served",
                    request_id=inside[0].request_id,
                    detail=detail,
                )

    def _tries(self, cut: LinkCut, traffic: Traffic) -> tuple[list[Try], list[Try]]:
        """The tries in a cut at its boxes and at those that reach workers, if these are sound."""
        begin = cut.start + CONTACT_S
        all_names = [box.name for box in self.boxes]
        outside = [
            name
            for name in all_names
            if name not in cut.boxes
            and self.disturbances.are_calm((links_of(name),), cut.start, cut.end)
        ]
        is_calm = self.disturbances.are_calm((*all_names, STORE), cut.start, cut.end)
        if not outside or not is_calm:
            return [], []
        tries = [
            attempt
            for attempt in traffic.tries_by_id.values()
            if begin <= attempt.sent_at < cut.end and attempt.left_at is None
        ]
        inside = [attempt for attempt in tries if attempt.box in cut.boxes]
        return inside, [attempt for attempt in tries if attempt.box in outside]


def _served(tries: Sequence[Try]) -> int:
    return sum(attempt.is_whole and attempt.status in SERVED for attempt in tries)
