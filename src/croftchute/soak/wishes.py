"""Workers that tell in their answers alone that they leave, or that they want rest."""

from __future__ import annotations

import asyncio
from collections import defaultdict
from collections.abc import Iterator
from dataclasses import dataclass, field, replace

from croftchute.soak.boxes import DRAIN_S
from croftchute.soak.disturbances import Disturbances
from croftchute.soak.traffic import Traffic
from croftchute.soak.violation import Violation, broken
from croftchute.soak.world import ListedWorker, SoakWorld
from croftchute.standins.platform_faults import sound_but

REST_S = (1.5, 3.0)
"""Seconds of rest that workers ask for: three and six times the time that is not judged."""

REST_GRACE_S = 0.5
"""Seconds after a refusal in which what was under way may still arrive (the users' bound)."""

MOST_IN_A_REST = 2
"""Requests from one box that may reach a worker while it rests (the users' bound)."""


@dataclass(frozen=True, kw_only=True, slots=True)
class ToldLeaving:
    """A worker that has all its answers say that it leaves, from some time on."""

    listed: ListedWorker
    since: float


@dataclass(kw_only=True)
class TellingWorkers:
    """Strikes workers with wishes, and checks what reached them afterwards."""

    world: SoakWorld
    disturbances: Disturbances
    leaving: list[ToldLeaving] = field(default_factory=list)

    async def leave(self, listed: ListedWorker, *, stays_s: float) -> None:
        """Say in all answers that a worker leaves, while its entry says that it is ready."""
        now = asyncio.get_running_loop().time()
        self.leaving.append(ToldLeaving(listed=listed, since=now))
        listed.worker.faults = replace(listed.worker.faults, is_leaving=True)
        await asyncio.sleep(stays_s)
        self.world.remove_entry(listed)
        self.disturbances.note(listed.worker.id, listed.leaving_at or now, now + 1e9)
        listed.worker.stop()

    async def rest(self, listed: ListedWorker, *, pick: int, for_s: float) -> None:
        """Turn requests away for a while, and ask for rest with each refusal."""
        now = asyncio.get_running_loop().time()
        self.disturbances.note(listed.worker.id, now, now + for_s)
        rest_s = REST_S[pick % len(REST_S)]
        worker = listed.worker
        worker.faults = sound_but(worker.faults, is_full=True, has_no_room=True, rest_s=rest_s)
        await asyncio.sleep(for_s)
        worker.faults = sound_but(worker.faults)

    def violations(self, traffic: Traffic, *, slack_s: float) -> Iterator[Violation]:
        """What reached workers against their wishes, from boxes that nothing had struck."""
        for told in self.leaving:
            yield from self._after_leaving(told, traffic, slack_s)
        for listed in self.world.all_workers:
            yield from self._in_rests(listed, traffic)

    def _after_leaving(
        self, told: ToldLeaving, traffic: Traffic, slack_s: float
    ) -> Iterator[Violation]:
        """Requests that callers sent later than allowed after an answer was handed to one."""
        told_at_by_box: dict[str, float] = {}
        runs = told.listed.worker.runs
        for run in runs:
            attempt = traffic.tries_by_id.get(run.request_id)
            if attempt is None or not attempt.is_whole or attempt.ended_at is None:
                continue
            if run.ended_at is not None and run.ended_at > told.since:
                known = told_at_by_box.get(attempt.box, attempt.ended_at)
                told_at_by_box[attempt.box] = min(known, attempt.ended_at)
        for run in runs:
            attempt = traffic.tries_by_id.get(run.request_id)
            told_at = told_at_by_box.get(attempt.box) if attempt is not None else None
            if attempt is None or told_at is None:
                continue
            late_s = attempt.sent_at - told_at - DRAIN_S
            if late_s > slack_s and self._has_lived_on(attempt.box, told_at, run.started_at):
                detail = f"{told.listed.worker.id}, {late_s:.2f} s too late"
                yield broken("no work against a worker's word that it leaves", attempt, detail)

    def _in_rests(self, listed: ListedWorker, traffic: Traffic) -> Iterator[Violation]:
        """More than a few requests of one box while the worker had asked it for rest."""
        arrivals: dict[str, list[float]] = defaultdict(list)
        for arrival in listed.worker.arrivals:
            attempt = traffic.tries_by_id.get(arrival.request_id)
            if attempt is not None:
                arrivals[attempt.box].append(arrival.at)
        for refusal in listed.worker.refusals:
            attempt = traffic.tries_by_id.get(refusal.request_id)
            if attempt is None:
                continue
            until = refusal.at + refusal.rest_s
            within = [at for at in arrivals[attempt.box] if refusal.at + REST_GRACE_S < at < until]
            is_judged = self._has_lived_on(attempt.box, refusal.at, until)
            if len(within) > MOST_IN_A_REST and is_judged:
                detail = f"{len(within)} at {listed.worker.id} in {refusal.rest_s} s of rest"
                yield broken("workers that asked for rest are let be", attempt, detail)

    def _has_lived_on(self, box: str, start: float, end: float) -> bool:
        """Whether a box was neither restarted, paused nor cut off, so that it knows what it was."""
        return self.disturbances.are_calm((box,), start, end)
