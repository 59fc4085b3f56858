"""Workers in need that name a limit for all boxes together, and what they got against it."""

from __future__ import annotations

import asyncio
from collections.abc import Iterator
from dataclasses import dataclass, field, replace

from croftchute.soak.disturbances import Disturbances
from croftchute.soak.traffic import Traffic
from croftchute.soak.violation import Violation
from croftchute.soak.world import ListedWorker, SoakWorld
from croftchute.standins.worker_records import Arrival

WINDOW_S = 4.0
"""Seconds over which a limit is judged (the users' bound)."""

OVERAGE = 1.5
"""Times the limit that may come in a window (the users' bound)."""

SLACK = 5.0
"""Requests that may come on top (the users' bound)."""

FIRST_S = 3.0
"""Seconds after a worker first named a limit in which it is not judged (the users' bound)."""

TOLD_S = 0.5
"""Seconds after a box passed on an answer that names it in which it does not count for it."""

CONTACT_S = 3.0
"""Seconds after a restart, pause or cut of a box in which its requests do not count."""

NEED_S = 6.0
"""Seconds for which a worker is in need at least: two windows that are judged, and more."""

STEPS = (
    ("2",),
    ("0.5",),
    ("10",),
    ("10", "1"),
    ("1", "8"),
    ("3", "", "3", ""),
    ("2", "-1", "2, 4", "many"),
)
"""What workers name one after the other while they are in need: steady, falling, rising, now and
then, odd."""


@dataclass(frozen=True, kw_only=True, slots=True)
class Need:
    """A worker's time of need: what it named, and the greatest limit that it named."""

    listed: ListedWorker
    start: float
    end: float
    most_per_s: float


@dataclass(kw_only=True)
class LimitingWorkers:
    """Has workers name limits, and checks what reached them meanwhile."""

    world: SoakWorld
    disturbances: Disturbances
    needs: list[Need] = field(default_factory=list)
    _in_need: set[str] = field(default_factory=set)

    async def need(self, listed: ListedWorker, *, pick: int, for_s: float) -> None:
        """Name limits in all answers for a while."""
        loop = asyncio.get_running_loop()
        worker = listed.worker
        if worker.id in self._in_need:
            return
        self._in_need.add(worker.id)
        start = loop.time()
        steps = STEPS[pick % len(STEPS)]
        for step in steps:
            worker.faults = replace(worker.faults, limit=step)
            await asyncio.sleep((NEED_S + for_s) / len(steps))
        worker.faults = replace(worker.faults, limit="")
        self._in_need.discard(worker.id)
        most = max(float(step) for step in steps if step.replace(".", "").isdigit())
        self.needs.append(Need(listed=listed, start=start, end=loop.time(), most_per_s=most))

    def violations(self, traffic: Traffic) -> Iterator[Violation]:
        """Windows in which a worker got more than its limit of boxes that it had told."""
        for need in self.needs:
            if worst := self._worst_window(need, traffic):
                yield worst

    def _worst_window(self, need: Need, traffic: Traffic) -> Violation | None:
        times = [arrival.at for arrival in self._counted(need, traffic)]
        allowed = OVERAGE * need.most_per_s * WINDOW_S + SLACK
        counts = [(sum(at - WINDOW_S <= other <= at for other in times), at) for at in times]
        worker = need.listed.worker.id
        calm = [
            (count, at)
            for count, at in counts
            if self.disturbances.are_calm((worker,), at - WINDOW_S - TOLD_S, at)
        ]
        most, at = max(calm, default=(0, 0.0))
        if most <= allowed:
            return None
        detail = f"{worker} got {most} in 4 s, {at - need.start:.2f} s into its need, of {allowed}"
        return Violation(
            promise="a worker's limit holds for all boxes", request_id="", detail=detail
        )

    def _counted(self, need: Need, traffic: Traffic) -> list[Arrival]:
        """Arrivals of boxes that had passed on an answer that names the limit, and ran on."""
        told_at_by_life = self._told(need, traffic)
        counted = []
        for arrival in need.listed.worker.arrivals:
            attempt = traffic.tries_by_id.get(arrival.request_id)
            if attempt is None or not need.start + FIRST_S <= arrival.at <= need.end:
                continue
            life = (attempt.box, traffic.lives_by_id[arrival.request_id][0])
            told_at = told_at_by_life.get(life)
            is_calm = self.disturbances.are_calm((attempt.box,), arrival.at - CONTACT_S, arrival.at)
            if told_at is not None and told_at + TOLD_S <= arrival.at and is_calm:
                counted.append(arrival)
        return counted

    def _told(self, need: Need, traffic: Traffic) -> dict[tuple[str, int], float]:
        """When each life of a box had first passed on an answer of the worker in its need."""
        told: dict[tuple[str, int], float] = {}
        for run in need.listed.worker.runs:
            attempt = traffic.tries_by_id.get(run.request_id)
            if attempt is None or attempt.ended_at is None or not attempt.is_whole:
                continue
            if need.start <= run.started_at and attempt.ended_at <= need.end:
                life = (attempt.box, traffic.lives_by_id[run.request_id][0])
                told[life] = min(told.get(life, attempt.ended_at), attempt.ended_at)
        return told
