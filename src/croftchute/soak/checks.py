"""The promises, checked by what callers and workers saw.

Rules without a time hold always. Those with a time bound hold where the box, the store and the
worker in question were not disturbed for a while; they are judged only if the machine kept pace.
"""

from __future__ import annotations

from collections import Counter, defaultdict
from collections.abc import Iterator
from dataclasses import dataclass, field, replace

from croftchute.soak.boxes import DRAIN_S, OWN_ENDS_ALLOWED, STOP_LIMIT_S, SoakBox
from croftchute.soak.budgets import budget_violations
from croftchute.soak.crashing import CrashingPart, CrashingRequest
from croftchute.soak.crowds import Crowds
from croftchute.soak.disturbances import STORE, Disturbance, Disturbances
from croftchute.soak.key_checks import DENIED, KeyChecks
from croftchute.soak.link_cuts import LinkCuts, links_of
from croftchute.soak.misbehaving import MisbehavingClients
from croftchute.soak.paces import transfer_allowance_s
from croftchute.soak.pauses import PausedWorkers, usual_time_s
from croftchute.soak.software import streams_lost, versions_mixed
from croftchute.soak.traffic import Traffic
from croftchute.soak.violation import Violation, broken
from croftchute.soak.wishes import TellingWorkers
from croftchute.soak.worker_limits import LimitingWorkers
from croftchute.soak.world import (
    EVENTS,
    MAX_ATTEMPTS,
    PASSING,
    ListedWorker,
    SoakWorld,
    added_path,
)
from croftchute.standins.platform_caller import EVENT, Try, fault_of
from croftchute.standins.platform_worker import shared_parts
from croftchute.standins.worker_records import Run
from croftchute.systems.crash_records import CRASHES_TO_REFUSE

CONTACT_S = 3.0
APPLY_S = 2.0
LEFT_S = 0.5
SLACK_S = 0.4

ENTRY_S = 3.0
"""Seconds of a stop; a request sent later than that may not be cut, however long it takes."""

END_S = STOP_LIMIT_S + SLACK_S
"""Seconds of a stop after which what a box cuts off belongs to a later one."""

LAST_SIXTH_S = STOP_LIMIT_S * 5.0 / 6.0
"""Seconds of a stop from which on work for a request sent before ``ENTRY_S`` may be cut."""

MAX_JUDGED_LAG_S = 0.25
PROMISES_NOT_RUN = frozenset({408, 421, 429, 503})
NOT_FOUND = 404
UNAVAILABLE = 503
TOO_MANY = 429
SUCCESSES = range(200, 300)
OWN_REFUSALS = frozenset({400, 401, 403, 404, 405, 413, 414, 431})
MIN_WAVE_SERVED = 0.9

PART_CRASHES_KNOWN = 5
"""Crashes under a part after which its requests may no longer reach workers: the users' bound."""

MOST_LATE_TRIES = 3
"""Tries of a request that ends workers that may reach some once it is known: the users' bound."""


@dataclass(kw_only=True)
class Checker:
    """Looks through all that callers and workers saw in one run."""

    world: SoakWorld
    traffic: Traffic
    boxes: list[SoakBox]
    disturbances: Disturbances
    lag_s: float = 0.0
    judge_times: bool = True
    only_planned: bool = False
    crashing: tuple[CrashingRequest, ...] = ()
    crashing_parts: tuple[CrashingPart, ...] = ()
    telling: TellingWorkers | None = None
    limiting: LimitingWorkers | None = None
    link_cuts: LinkCuts | None = None
    paused: PausedWorkers | None = None
    crowds: Crowds | None = None
    misbehaving: MisbehavingClients | None = None
    runs_by_id: dict[str, list[tuple[ListedWorker, Run]]] = field(default_factory=dict)

    @property
    def judges_times(self) -> bool:
        """Whether rules with a time bound are judged."""
        return self.judge_times and self.lag_s <= MAX_JUDGED_LAG_S

    @property
    def slack_s(self) -> float:
        """What is allowed beyond each bound for this machine's pace."""
        return SLACK_S + 2.0 * self.lag_s

    def violations(self) -> list[Violation]:
        """Everything that was broken."""
        grouped = defaultdict(list)
        for listed in self.world.all_workers:
            for run in listed.worker.runs:
                grouped[run.request_id].append((listed, run))
        self.runs_by_id = dict(grouped)
        found = list(self._answers())
        found += self._runs()
        found += self._versions_of_lives()
        found += versions_mixed(self.traffic)
        found += self._ends()
        found += self._memory()
        slack = max((box.most_retry_slack for box in self.boxes), default=0.0)
        found += budget_violations(self.world, self.traffic, slack=slack)
        keys = self._key_checks()
        found += keys.always(self.world.all_workers)
        if self.limiting is not None:
            found += self.limiting.violations(self.traffic)
        if self.paused is not None:
            # Judged on busy machines too: the slack before a deadline grows with the lag.
            found += self.paused.violations(self.runs_by_id, slack_s=self.slack_s)
        if self.misbehaving is not None:
            found += self.misbehaving.violations()
        if self.judges_times:
            found += self._draining()
            found += streams_lost(self.traffic, self.world)
            found += self._callers_who_left()
            found += self._versions_in_time()
            found += keys.in_time()
            found += self._crashing_requests()
            found += self._crashing_part_requests()
            if self.paused is not None:
                found += self.paused.denials(in_touch=self._in_touch, slack_s=self.slack_s)
            if self.crowds is not None:
                found += self.crowds.violations()
            if self.link_cuts is not None:
                found += self.link_cuts.violations(self.traffic)
            if self.telling is not None:
                found += self.telling.violations(self.traffic, slack_s=self.slack_s)
            if self.only_planned:
                found += self._planned_stops()
            else:
                found += self._stops_amid_trouble()
        return found

    def _key_checks(self) -> KeyChecks:
        return KeyChecks(
            tries=self.traffic.tries_by_id,
            keys_by_id=self.traffic.keys_by_id,
            runs_by_id=self.runs_by_id,
            accepted_at_by_version=self.world.accepted_at_by_version,
            is_due=self._is_due,
        )

    # Without a time.

    def _answers(self) -> Iterator[Violation]:
        for attempt in self.traffic.tries_by_id.values():
            fault = fault_of(attempt, EVENTS)
            if fault and not self._was_ended_by_worker(attempt):
                yield broken("whole answer to its own request", attempt, fault)
            is_told_to_return = attempt.status in (UNAVAILABLE, TOO_MANY)
            if is_told_to_return and attempt.retry_after_s is None:
                yield broken("refusals say when to come back", attempt, "no Retry-After")
            comes_and_goes = attempt.path.startswith(("/added/", PASSING))
            is_judged_by_key = attempt.status == DENIED or comes_and_goes
            is_denied = attempt.status in OWN_REFUSALS and not is_judged_by_key
            if is_denied:
                yield broken("proper requests are not denied", attempt, str(attempt.status))

    def _was_ended_by_worker(self, attempt: Try) -> bool:
        """Return whether an answer lacks only what its worker left out of a complete body.

        A body is complete with its last chunk and returns unchanged.
        """
        runs = [run for _, run in self.runs_by_id.get(attempt.request_id, [])]
        latest = max(runs, key=lambda run: run.started_at, default=None)
        if not attempt.is_whole or latest is None or not latest.ends_empty:
            return False
        is_stream = attempt.kind.is_stream
        rest = EVENT.sub(b"", attempt.answer) if is_stream else attempt.answer
        return not rest and not fault_of(replace(attempt, is_whole=False), EVENTS)

    def _runs(self) -> Iterator[Violation]:
        for request_id, runs in self.runs_by_id.items():
            attempt = self.traffic.tries_by_id.get(request_id)
            if attempt is None:
                yield Violation(promise="nothing unasked", request_id=request_id, detail="no try")
                continue
            if any((run.path, run.body) != (attempt.path, attempt.body) for _, run in runs):
                yield broken("nothing unasked", attempt, "path or body was changed")
            workers = [listed.worker.id for listed, _ in runs]
            if attempt.kind.runs_once and len(runs) > 1:
                yield broken("at most once", attempt, f"ran at {workers}")
            if len(set(workers)) > MAX_ATTEMPTS:
                yield broken("attempts of the route", attempt, f"ran at {workers}")
            if attempt.kind.runs_once and attempt.status in PROMISES_NOT_RUN:
                yield broken("not run is true", attempt, f"{attempt.status}, ran at {workers}")

    def _versions_of_lives(self) -> Iterator[Violation]:
        """A life of a box that has served a version's route knows all up to it from then on."""
        newest: dict[tuple[str, int], tuple[int, float]] = {}
        for attempt in sorted(self.traffic.tries_by_id.values(), key=lambda one: one.ended_at or 0):
            version = _version_of(attempt)
            first_life, last_life = self.traffic.lives_by_id.get(attempt.request_id, (0, -1))
            if version is None or first_life != last_life or not attempt.status:
                continue
            life = (attempt.box, first_life)
            known, since = newest.get(life, (0, 0.0))
            if attempt.status == NOT_FOUND and version <= known and attempt.sent_at > since:
                yield broken("configuration never reverts", attempt, f"{known} was in force")
            elif attempt.status in SUCCESSES and version > known:
                newest[life] = (version, attempt.ended_at or 0.0)

    def _ends(self) -> Iterator[Violation]:
        for box in self.boxes:
            for code in box.unexpected_ends:
                if code not in OWN_ENDS_ALLOWED:
                    detail = f"{box.name} ended by itself with {code}"
                    yield Violation(promise="boxes run on", request_id="", detail=detail)

    def _memory(self) -> Iterator[Violation]:
        """After all is over and holds have lapsed, workers keep nothing and run nothing.

        A run that hangs, on a connection that fell silent for good, learns of no close by its box.
        """
        for listed in self.world.all_workers:
            worker = listed.worker
            if listed.leaving_at is not None:
                continue
            kept = [*sorted(worker.holds), *sorted(worker.handles)]
            kept += [
                run.request_id
                for run in worker.runs
                if run.ended_at is None and run.peer_port not in listed.link.silenced_ports
            ]
            if kept:
                detail = f"{worker.id} keeps {kept[:5]}"
                yield Violation(promise="memory is freed", request_id="", detail=detail)

    # With a time.

    def _draining(self) -> Iterator[Violation]:
        for request_id, runs in self.runs_by_id.items():
            attempt = self.traffic.tries_by_id.get(request_id)
            for listed, run in runs:
                if attempt is None or listed.leaving_at is None:
                    continue
                late_s = run.started_at - listed.leaving_at - DRAIN_S
                since = run.started_at - CONTACT_S
                is_held_up = not self.disturbances.are_calm(
                    (links_of(attempt.box),), since, run.started_at
                )
                # What waited in front of a worker that stood still begins there late.
                is_held_up |= self._was_paused(listed, since, run.started_at)
                is_in_touch = self._in_touch(attempt.box, run.started_at) and not is_held_up
                if late_s > self.slack_s and is_in_touch:
                    detail = f"{listed.worker.id}, {late_s:.2f} s too late"
                    yield broken("no new work on leaving workers", attempt, detail)

    def _callers_who_left(self) -> Iterator[Violation]:
        for attempt in self.traffic.tries_by_id.values():
            if attempt.left_at is None:
                continue
            until = attempt.left_at + LEFT_S + self.slack_s
            for listed, run in self.runs_by_id.get(attempt.request_id, ()):
                ended_at = run.ended_at if run.ended_at is not None else 1e18
                names = (attempt.box, links_of(attempt.box), listed.worker.id, STORE)
                is_calm = self.disturbances.are_calm(names, attempt.left_at - CONTACT_S, until)
                if ended_at > until and is_calm:
                    detail = f"{listed.worker.id} at work {ended_at - attempt.left_at:.2f} s later"
                    yield broken("memory of callers who left is freed", attempt, detail)

    def _versions_in_time(self) -> Iterator[Violation]:
        for attempt in self.traffic.tries_by_id.values():
            version = _version_of(attempt)
            if version is None or attempt.status != NOT_FOUND:
                continue
            if self._is_due(attempt, version):
                age_s = attempt.sent_at - self.world.accepted_at_by_version[version]
                detail = f"version {version} accepted {age_s:.2f} s before"
                yield broken("configuration in force in time", attempt, detail)

    def _is_due(self, attempt: Try, version: int) -> bool:
        """Whether a version was to be in force at a try's box when the try was sent."""
        age_s = attempt.sent_at - self.world.accepted_at_by_version[version]
        allowed_s = APPLY_S + self.slack_s + self._transfer_s(attempt, version)
        return age_s > allowed_s and self._in_touch(attempt.box, attempt.sent_at, allowed_s)

    def _planned_stops(self) -> Iterator[Violation]:
        """With nothing but planned work about, a request that was passed on is answered."""
        for attempt in self.traffic.tries_by_id.values():
            was_cut = attempt.is_sent and not attempt.is_whole and attempt.left_at is None
            if was_cut and attempt.request_id in self.runs_by_id:
                yield broken("a planned stop cuts off nothing", attempt, attempt.failure)

    def _transfer_s(self, attempt: Try, version: int) -> float:
        """What the pace of a slow link adds to the time in which a version is to be in force."""
        world = self.world
        accepted_at = world.accepted_at_by_version[version]
        paces = self.disturbances.paces_about(attempt.box, accepted_at, attempt.sent_at)
        allowances = [
            transfer_allowance_s(
                pace,
                version,
                accepted_at_by_version=world.accepted_at_by_version,
                size_by_version=world.size_by_version,
                until=attempt.sent_at,
            )
            for pace in paces
        ]
        return max(allowances, default=0.0)

    def _stops_amid_trouble(self) -> Iterator[Violation]:
        """A box that was only told to stop cuts nothing off, whatever happens elsewhere."""
        for attempt in self.traffic.tries_by_id.values():
            runs = self.runs_by_id.get(attempt.request_id)
            was_cut = attempt.is_sent and not attempt.is_whole and attempt.left_at is None
            if not was_cut or not runs or attempt.ended_at is None:
                continue
            names = (attempt.box, links_of(attempt.box), *(listed.worker.id for listed, _ in runs))
            since = attempt.sent_at - CONTACT_S
            stops = self.disturbances.stops_about(attempt.box, attempt.sent_at, attempt.ended_at)
            is_calm = self.disturbances.are_calm(names, since, attempt.ended_at, but_planned=True)
            if self._was_outlasted(attempt, runs):
                continue
            if stops and is_calm and not any(_may_cut(stop, attempt) for stop in stops):
                recent = [one.start for one in stops if attempt.ended_at < one.start + END_S]
                begun_at = min(recent, default=stops[-1].start)
                detail = (
                    f"{attempt.failure}, sent {attempt.sent_at - begun_at:.2f} s and cut "
                    f"{attempt.ended_at - begun_at:.2f} s after a stop began"
                )
                yield broken("a stop cuts off nothing", attempt, detail)

    def _was_outlasted(self, attempt: Try, runs: list[tuple[ListedWorker, Run]]) -> bool:
        """Whether pauses of its workers took a try to its deadline."""
        if self.paused is None or attempt.ended_at is None:
            return False
        took_s = attempt.ended_at - attempt.sent_at
        if took_s <= attempt.deadline_s - self.slack_s:
            return False
        workers = {listed.worker.id for listed, _ in runs}
        paused_s = self.paused.paused_s(workers, attempt.sent_at, attempt.ended_at)
        return paused_s + usual_time_s(attempt) > attempt.deadline_s - self.slack_s

    def _crashing_requests(self) -> Iterator[Violation]:
        """A request under which three workers have ended reaches hardly any more of them."""
        for request in self.crashing:
            runs = [
                (run, self.traffic.tries_by_id[run.request_id])
                for listed in self.world.all_workers
                for run in listed.worker.runs
                if (run.path, run.body) == (request.path, request.body)
            ]
            ends = sorted(run.started_at for run, _ in runs)
            if len(ends) < CRASHES_TO_REFUSE:
                continue
            known_at = ends[CRASHES_TO_REFUSE - 1] + CONTACT_S + self.slack_s
            late = [
                attempt
                for run, attempt in runs
                if attempt.sent_at > known_at and self._in_touch(attempt.box, attempt.sent_at)
            ]
            if len(late) > MOST_LATE_TRIES:
                detail = f"{len(late)} tries reached workers late, {len(ends)} ended in all"
                yield broken("requests that end workers are not run on", late[-1], detail)

    def _crashing_part_requests(self) -> Iterator[Violation]:
        """Few requests with a part under which five workers have crashed reach workers.

        Judged by all that workers of any stage received.
        """
        for cause in self.crashing_parts:
            received = [
                (request, self.traffic.tries_by_id[request.id])
                for listed in self.world.all_workers
                for request in listed.worker.received
                if request.id in self.traffic.tries_by_id and cause.part in shared_parts(request)
            ]
            crashed_at = sorted(
                crash.at
                for listed in self.world.all_workers
                if (crash := listed.worker.crashed_under) is not None
                and cause.part in self.traffic.tries_by_id[crash.request_id].parts
            )
            if len(crashed_at) < PART_CRASHES_KNOWN:
                continue
            known_at = crashed_at[PART_CRASHES_KNOWN - 1] + CONTACT_S + self.slack_s
            late = {
                attempt.request_id: attempt
                for _, attempt in received
                if attempt.sent_at > known_at and self._in_touch(attempt.box, attempt.sent_at)
            }
            if len(late) > MOST_LATE_TRIES:
                detail = f"{len(late)} reached workers late, {len(crashed_at)} crashed in all"
                last = list(late.values())[-1]
                yield broken("requests with a part that crashes workers stop", last, detail)

    def _was_paused(self, listed: ListedWorker, start: float, end: float) -> bool:
        return self.paused is not None and self.paused.was_paused(listed.worker.id, start, end)

    def _in_touch(self, box: str, at: float, for_s: float = 0.0) -> bool:
        """Whether box and store were undisturbed for ``CONTACT_S`` before, or for longer."""
        return self.disturbances.are_calm((box, STORE), at - max(CONTACT_S, for_s), at)


def check_wave(tries: list[Try]) -> list[Violation]:
    """After all faults have ended, requests are served again."""
    outcomes = Counter(attempt.status for attempt in tries)
    served = sum(count for status, count in outcomes.items() if status in SUCCESSES)
    if served >= MIN_WAVE_SERVED * len(tries):
        return []
    detail = f"{served} of {len(tries)} served; by status {dict(outcomes)}"
    return [Violation(promise="served again after faults", request_id="", detail=detail)]


def _version_of(attempt: Try) -> int | None:
    parts = attempt.path.split("/")
    if not attempt.path.startswith("/added/"):
        return None
    version = int(parts[2])
    assert attempt.path.startswith(added_path(version))
    return version


def _may_cut(stop: Disturbance, attempt: Try) -> bool:
    """Whether a request came early in a stop and was still worked on as its time ran out."""
    assert attempt.ended_at is not None
    is_early = attempt.sent_at <= stop.start + ENTRY_S
    return is_early and attempt.ended_at >= stop.start + LAST_SIXTH_S
