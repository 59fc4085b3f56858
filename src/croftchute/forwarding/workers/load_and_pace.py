"""What workers' answers tell of their load and pace, by their word and by the time they took."""

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
"""The work whose time counts, by the stage of a worker."""


def record_load(state: ForwardingState, worker: Worker, head: ResponseHead) -> None:
    """Take in the load and the pace that an answer's head tells, if any."""
    load = state.workers_speak.load(head)
    if load is None:
        return
    state.workers.note_load(worker.id, load.running, load.waiting, state.clock())
    record_reported_pace(state, worker, head)


def record_reported_pace(state: ForwardingState, worker: Worker, head: ResponseHead) -> None:
    """Take in the pace alone, from an answer to a call of the router's own."""
    load = state.workers_speak.load(head)
    if load is not None and load.pace is not None:
        state.paces.note_told(worker.id, load.pace, state.clock())


def record_answer_pace(state: ForwardingState, worker: Worker, seconds: float) -> None:
    """A plain worker answered after some seconds: compared with what others usually take."""
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
    """A prefill worker read a prompt in some seconds, waits left out."""
    usual_s = state.prefill_pace(worker.service).reading_s(tokens)
    if usual_s > 0.0:
        state.paces.note_seen(worker.id, WorkKind.READING, seconds / usual_s, state.clock())


def record_peer_pace(state: ForwardingState, notice: WorkerPaceNotice) -> None:
    """A peer told the pace of a worker; of one that is not known here nothing is kept."""
    belief = state.workers.beliefs_by_id.get(notice.worker)
    if belief is not None:
        state.paces.hear(notice, WORK_KIND_BY_STAGE[belief.worker.stage], state.clock())


def median_answer_s(beliefs: list[WorkerBelief]) -> float:
    """The median of the usual times of some workers; 0 if none has answered yet."""
    known = sorted(belief.latency_s for belief in beliefs if belief.latency_s > 0.0)
    return known[(len(known) - 1) // 2] if known else 0.0
