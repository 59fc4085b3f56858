"""Probes of workers' load: short calls of the health path, which answers immediately."""

from __future__ import annotations

import asyncio
from collections.abc import Sequence

from croftchute.forwarding.dialect import Verdict, WorkerLoad
from croftchute.forwarding.http.deadline import within
from croftchute.forwarding.http.failures import ExchangeError
from croftchute.forwarding.permits import ONE_CALL, PermitRequest
from croftchute.forwarding.state import ForwardingState
from croftchute.forwarding.workers.worker_control import control_exchange
from croftchute.systems.tracked_worker import TrackedWorker
from croftchute.tables.routing import Service

PROBE_TIMEOUT_S = 0.03
"""Seconds that a request waits for its probes: a few round trips, and a small part of
any target."""

LATE_PROBE_TIMEOUT_S = 0.2
"""Seconds after which an unanswered probe is cancelled. A late answer still updates the load for
other requests and keeps its connection open. Every cancelled probe costs a new connection."""


async def probe_loads(
    state: ForwardingState,
    service: Service,
    workers: Sequence[TrackedWorker],
    timeout_s: float,
    *,
    permit_request: PermitRequest = ONE_CALL,
) -> dict[str, WorkerLoad]:
    """Probe all workers at once; return the loads, by worker id, that arrived in time.

    A failed probe does not count against its worker. Each load is recorded in the state too.
    """
    if not service.health_path or not workers:
        return {}
    loads_by_id: dict[str, WorkerLoad] = {}
    probes: set[asyncio.Task[None]] = {
        asyncio.ensure_future(
            _probe(state, service.health_path, tracked, permit_request, loads_by_id)
        )
        for tracked in workers
    }
    for probe in probes:
        state.background.add(probe)
        probe.add_done_callback(state.background.discard)
    await asyncio.wait(probes, timeout=timeout_s)
    return dict(loads_by_id)


async def _probe(
    state: ForwardingState,
    path: str,
    tracked: TrackedWorker,
    permit_request: PermitRequest,
    loads_by_id: dict[str, WorkerLoad],
) -> None:
    asked_at = state.clock()
    worker = tracked.worker
    if not await state.permits.acquire(worker, permit_request):
        return
    if state.clock() - asked_at > PROBE_TIMEOUT_S:
        # The request has continued without this probe.
        state.permits.release(worker)
        return
    data = state.workers_speak.ask_health(worker, path)
    try:
        exchange = control_exchange(state, worker, data, LATE_PROBE_TIMEOUT_S)
        head, _ = await within(exchange, LATE_PROBE_TIMEOUT_S, "no answer to a load probe")
    except ExchangeError:
        return
    load = state.workers_speak.load(head)
    if load is None or state.workers_speak.verdict(head) is Verdict.WRONG_WORKER:
        return
    sent_since = tracked.queue.sent_since(asked_at)
    state.workers.note_load(
        worker.id, load.running, load.waiting, state.clock(), sent_since=sent_since
    )
    loads_by_id[worker.id] = load
