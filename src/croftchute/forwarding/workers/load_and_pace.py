"""Records workers' load and pace, as reported in their answers and as measured."""

from __future__ import annotations

from croftchute.forwarding.http.http_client import ResponseHead
from croftchute.forwarding.state import ForwardingState
from croftchute.systems.worker_belief import LOAD_TTL_S, WorkerBelief
from croftchute.tables.paces import WorkKind
from croftchute.tables.peers import WorkerPaceNotice
from croftchute.tables.routing import Stage, Worker

WORK_KIND_BY_STAGE = {
    Stage.PREFILL: WorkKind.READING,
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
        state.paces.note_told(worker.id, load.pace, state.clock())


def record_answer_pace(state: ForwardingState, worker: Worker, seconds: float) -> None:
    """Record a plain worker's answer time, relative to the median of its service."""
    if worker.stage is not None:
        return
    belief = state.workers.beliefs_by_id.get(worker.id)
    if belief is not None:
        waiting = belief.load_waiting if state.clock() - belief.load_at <= LOAD_TTL_S else 0
        state.work_times.note(worker.service, seconds, waiting=waiting)
    usual_s = median_answer_s(state.workers.of_service(worker.service))
    if usual_s > 0.0:
        state.paces.note_seen(worker.id, WorkKind.ANSWER, seconds / usual_s, state.clock())


def record_prefill_pace(
    state: ForwardingState, worker: Worker, tokens: int, seconds: float
) -> None:
    """Record how long a prefill worker took to read a prompt, without its queueing time."""
    usual_s = state.prefill_pace(worker.service).reading_s(tokens)
    if usual_s > 0.0:
        state.paces.note_seen(worker.id, WorkKind.READING, seconds / usual_s, state.clock())


def record_peer_pace(state: ForwardingState, notice: WorkerPaceNotice) -> None:
    """Record a worker's pace that a peer reported; ignore workers that are unknown here."""
    belief = state.workers.beliefs_by_id.get(notice.worker)
    if belief is not None:
        state.paces.hear(notice, WORK_KIND_BY_STAGE[belief.worker.stage], state.clock())


def median_answer_s(beliefs: list[WorkerBelief]) -> float:
    """Return the median of the workers' usual answer times; 0 if none has answered yet."""
    known = sorted(belief.latency_s for belief in beliefs if belief.latency_s > 0.0)
    return known[(len(known) - 1) // 2] if known else 0.0
