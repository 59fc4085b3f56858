"""Records workers' load and pace, as reported in their answers and as measured."""

from __future__ import annotations

from croftchute.forwarding.http.http_client import ResponseHead
from croftchute.forwarding.state import ForwardingState
from croftchute.systems.tracked_worker import LOAD_TTL_S, TrackedWorker
from croftchute.tables.paces import WorkKind
from croftchute.tables.peers import WorkerPaceNotice
from croftchute.tables.routing import Stage, Worker

WORK_KIND_BY_STAGE = {
    Stage.PREFILL: WorkKind.PREFILL,
    Stage.DECODE: WorkKind.TOKEN,
    None: WorkKind.ANSWER,
}
"""The kind of work that a worker's pace is measured by, for each stage."""


def record_load(state: ForwardingState, worker: Worker, head: ResponseHead) -> None:
    """Record the load and the pace that an answer's head reports, if any."""
    load = state.workers_speak.load(head)
    if load is None:
        return
    state.workers.note_load(worker.id, load.running, load.waiting, state.clock())
    record_reported_pace(state, worker, head)


def record_reported_pace(state: ForwardingState, worker: Worker, head: ResponseHead) -> None:
    """Record only the pace, from an answer to one of the router's own calls."""
    load = state.workers_speak.load(head)
    if load is not None and load.pace is not None:
        state.paces.note_reported(worker.id, load.pace, state.clock())


def record_answer_pace(state: ForwardingState, worker: Worker, seconds: float) -> None:
    """Record a plain worker's answer time, relative to the median of its service."""
    if worker.stage is not None:
        return
    tracked = state.workers.tracked_by_id.get(worker.id)
    if tracked is not None:
        waiting = tracked.load_waiting if state.clock() - tracked.load_at <= LOAD_TTL_S else 0
        state.work_times.note(worker.service, seconds, waiting=waiting)
    usual_s = median_answer_s(state.workers.of_service(worker.service))
    if usual_s > 0.0:
        state.paces.note_observed(worker.id, WorkKind.ANSWER, seconds / usual_s, state.clock())


def record_prefill_pace(
    state: ForwardingState, worker: Worker, tokens: int, seconds: float
) -> None:
    """Record how long a prefill worker took to read a prompt, without its queueing time."""
    usual_s = state.prefill_pace(worker.service).prefill_s(tokens)
    if usual_s > 0.0:
        state.paces.note_observed(worker.id, WorkKind.PREFILL, seconds / usual_s, state.clock())


def record_peer_pace(state: ForwardingState, notice: WorkerPaceNotice) -> None:
    """Record a worker's pace that a peer reported; ignore workers that are unknown here."""
    tracked = state.workers.tracked_by_id.get(notice.worker)
    if tracked is not None:
        state.paces.apply_notice(notice, WORK_KIND_BY_STAGE[tracked.worker.stage], state.clock())


def median_answer_s(tracked_workers: list[TrackedWorker]) -> float:
    """Return the median of the workers' usual answer times; 0 if none has answered yet."""
    known = sorted(tracked.latency_s for tracked in tracked_workers if tracked.latency_s > 0.0)
    return known[(len(known) - 1) // 2] if known else 0.0
