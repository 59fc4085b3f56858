"""Probes workers over new connections, to find out whether this box has lost all its links."""

from __future__ import annotations

import asyncio
import contextlib
import math
from collections.abc import Callable

from croftchute.forwarding.decision_log import Decision
from croftchute.forwarding.http.deadline import within
from croftchute.forwarding.http.failures import (
    AnswerLateError,
    ConnectFailedError,
    ConnectTimedOutError,
    ExchangeError,
)
from croftchute.forwarding.http.http_client import ClientConnection
from croftchute.forwarding.state import ForwardingState
from croftchute.systems import timeouts
from croftchute.systems.tracked_worker import TrackedWorker
from croftchute.systems.worker_links import (
    MIN_WITNESSES,
    UNCONNECTED_S,
    LinkChange,
    ProbeOutcome,
    ProbeRound,
)
from croftchute.tables.routing import Worker

FIRST_PROBES = 2
"""Workers probed first; mostly one of them answers, and the others need not be disturbed."""

FIRST_ANSWERS_S = 0.05
"""Seconds until more workers are probed."""

MAX_PROBES = 8
"""Most workers in a round: bounds the connections that it opens."""

ANSWER_TIMEOUT_S = 0.3
"""Seconds that a probed worker has for its answer: many round trips."""

CONFIRMING_CONNECTIONS = 3
"""Workers that are connected to before a refused connection counts as the end of another one."""

MAX_SETTLE_S = 2.0 * UNCONNECTED_S
"""Most seconds that a refusal waits for a verdict on the links."""

RESET_S = 0.03
"""Seconds within which a connection that a middlebox accepted is reset."""

MAX_ANSWER_BYTES = 1 << 20


class LinkProbe:
    """Probes workers when calls of them fail, and for as long as the links are lost.

    ``on_change`` is called when the links have been lost or restored.
    """

    def __init__(self, *, state: ForwardingState, on_change: Callable[[], None]) -> None:
        self.state = state
        self.on_change = on_change
        self._wanted = asyncio.Event()
        self._is_urgent = asyncio.Event()
        self._round_ended = asyncio.Event()
        self._round_began_at = -math.inf
        self._attempts: set[asyncio.Future[bool]] = set()

    def request_round(self, since: float | None = None) -> None:
        """Have workers probed soon, as a call of one failed that began at ``since``."""
        if since is not None:
            self.state.links.note_trouble(since)
        self._wanted.set()

    async def settle(self) -> None:
        """Wait for a verdict on the links that is near."""
        with contextlib.suppress(TimeoutError):
            async with asyncio.timeout(MAX_SETTLE_S):
                while self.state.links.is_verdict_near:
                    self._round_ended.clear()
                    await self._round_ended.wait()

    async def confirm(self) -> bool:
        """Probe workers at once; return whether a refused connection is the worker's own fault.

        It is not if no worker is in reach here while other boxes reach some. One connection to
        another worker settles that, so that a crash is known as soon as it can be.
        """
        state = self.state
        asked_at = state.clock()
        if not self._do_peers_reach_workers() or await self._connects_to_any():
            return True
        while self._round_began_at < asked_at and self._do_peers_reach_workers():
            self._is_urgent.set()
            self._wanted.set()
            self._round_ended.clear()
            await self._round_ended.wait()
        return not state.links.are_lost or not self._do_peers_reach_workers()

    async def _connects_to_any(self) -> bool:
        """Connect to a few workers; return whether one of them accepts."""
        workers = self._choose_workers()[:CONFIRMING_CONNECTIONS]
        attempts = {asyncio.ensure_future(self._connects_to(worker)) for worker in workers}
        self._attempts |= attempts
        for attempt in attempts:
            attempt.add_done_callback(self._attempts.discard)
        for ended in asyncio.as_completed(attempts):
            if await ended:
                return True
        return False

    async def _connects_to(self, worker: Worker) -> bool:
        state = self.state
        try:
            connection = await state.pool.connect(
                worker.host, worker.port, timeouts.CONNECT_TIMEOUT_S
            )
        except ConnectFailedError:
            return False
        state.pool.keep(connection, worker.host, worker.port, owner=worker.id, now=state.clock())
        return True

    def _do_peers_reach_workers(self) -> bool:
        return bool(self.state.peers.forward_candidates(self.state.clock()))

    async def run(self) -> None:
        """Probe workers whenever there is a reason to; never returns."""
        while True:
            await self._wait_for_next_round()
            self._wanted.clear()
            self._is_urgent.clear()
            await self._run_round()
            self._round_ended.set()

    async def _wait_for_next_round(self) -> None:
        links = self.state.links
        if not links.are_lost and not links.are_suspect:
            await self._wanted.wait()
        pause_s = self._round_began_at + links.next_round_s() - self.state.clock()
        with contextlib.suppress(TimeoutError):
            async with asyncio.timeout(max(0.0, pause_s)):
                await self._is_urgent.wait()

    async def _run_round(self) -> None:
        state = self.state
        self._round_began_at = state.clock()
        outcomes = await self._probe_workers()
        probes = ProbeRound(began_at=self._round_began_at, outcomes=tuple(outcomes))
        lost_at = state.links.lost_at
        change = state.links.note_round(probes, state.clock())
        if change is not None:
            self._record(change, probes, lost_at)

    async def _probe_workers(self) -> list[ProbeOutcome]:
        """Probe a few workers, and more if these do not answer at once."""
        workers = self._choose_workers()
        probes = [asyncio.ensure_future(self._probe(worker)) for worker in workers[:FIRST_PROBES]]
        if not probes:
            return []
        await asyncio.wait(probes, timeout=FIRST_ANSWERS_S)
        outcomes = [probe.result() for probe in probes if probe.done()]
        needed = MIN_WITNESSES if self.state.links.are_lost else 1
        if outcomes.count(ProbeOutcome.ANSWERED) < needed:
            probes += [
                asyncio.ensure_future(self._probe(worker)) for worker in workers[FIRST_PROBES:]
            ]
        return list(await asyncio.gather(*probes))

    def _choose_workers(self) -> list[Worker]:
        """Choose workers in turn from each service, at random among those that fail as often.

        Workers whose calls did not fail come first: if all of those chosen have ended, nothing is
        known of the links.
        """
        now = self.state.clock()
        by_service: dict[str, list[TrackedWorker]] = {}
        for tracked in self.state.workers.tracked_by_id.values():
            if tracked.gone_at is None and tracked.can_serve(None, now):
                by_service.setdefault(tracked.worker.service, []).append(tracked)
        groups = [self.state.rng.sample(group, len(group)) for group in by_service.values()]
        for group in groups:
            group.sort(key=lambda tracked: tracked.failure_score(now), reverse=True)
        self.state.rng.shuffle(groups)
        chosen: list[Worker] = []
        while groups and len(chosen) < MAX_PROBES:
            chosen += [group.pop().worker for group in groups]
            groups = [group for group in groups if group]
        return chosen[:MAX_PROBES]

    async def _probe(self, worker: Worker) -> ProbeOutcome:
        state = self.state
        try:
            connection = await state.pool.connect(
                worker.host, worker.port, timeouts.CONNECT_TIMEOUT_S
            )
        except ConnectTimedOutError:
            return ProbeOutcome.UNCONNECTED
        except ConnectFailedError:
            return ProbeOutcome.REFUSED
        request = self._request(worker)
        if request is None:
            await asyncio.sleep(RESET_S)
            if connection.is_lost:
                return ProbeOutcome.REFUSED
            state.pool.keep(
                connection, worker.host, worker.port, owner=worker.id, now=state.clock()
            )
            return ProbeOutcome.CONNECTED
        return await self._exchange(worker, connection, request)

    def _request(self, worker: Worker) -> bytes | None:
        """Return a short call that the worker answers at once; None if it may not be called."""
        state = self.state
        now = state.clock()
        is_limited = state.workers.limits.limit_of(worker.id, now) is not None
        if is_limited or state.workers.advice.backoff_left_s(worker.id, now) > 0.0:
            return None
        if worker.stage is not None:
            return state.workers_speak.ask_report(worker)
        service = state.table.services_by_name.get(worker.service) if state.table else None
        if service is None or not service.health_path:
            return None
        return state.workers_speak.ask_health(worker, service.health_path)

    async def _exchange(
        self, worker: Worker, connection: ClientConnection, request: bytes
    ) -> ProbeOutcome:
        state = self.state
        try:
            connection.send(request, expected=None)
            await within(connection.read_head(), ANSWER_TIMEOUT_S, "no head")
            await within(connection.read_body(MAX_ANSWER_BYTES), ANSWER_TIMEOUT_S, "no body")
        except AnswerLateError:
            return ProbeOutcome.SILENT
        except ExchangeError:
            return ProbeOutcome.REFUSED
        finally:
            state.pool.release(
                connection, worker.host, worker.port, owner=worker.id, now=state.clock()
            )
        return ProbeOutcome.ANSWERED

    def _record(self, change: LinkChange, probes: ProbeRound, lost_at: float | None) -> None:
        state = self.state
        now = state.clock()
        is_lost = change is LinkChange.LOST
        if not is_lost:
            state.workers.forgive_failures()
        state.metrics.links_lost.set({}, int(is_lost))
        state.log.decide(
            Decision.LINKS_LOST if is_lost else Decision.LINKS_RESTORED,
            outcome=change.value,
            probed=len(probes.outcomes),
            answered=probes.answered,
            refused=probes.count(ProbeOutcome.REFUSED),
            unconnected=probes.count(ProbeOutcome.UNCONNECTED),
            silent=probes.count(ProbeOutcome.SILENT),
            heard_ago_s=_rounded(now - state.links.heard_at),
            lost_for_s=None if lost_at is None else round(now - lost_at, 3),
            peers=len(state.peers.forward_candidates(now)),
            workers_age_s=round(now - state.workers.heard_at, 1),
        )
        self.on_change()


def _rounded(seconds: float) -> float | None:
    return round(seconds, 3) if math.isfinite(seconds) else None
