"""What workers' answers tell of their load and pace, by their word and by the time they took."""

from __future__ import annotations

from croftchute.forwarding.http.http_client import ResponseHead
from croftchute.forwarding.state import ForwardingState
from croftchute.systems.tracked_worker import LOAD_TTL_S, TrackedWorker
from croftchute.tables.paces import WorkKind
from croftchute.tables.peers import WorkerPaceNotice
from croftchute.tables.routing import Stage, Worker

KIND_BY_STAGE = {
    Stage.PREFILL: WorkKind.PREFILL,
    Stage.DECODE: WorkKind.TOKEN,
    None: WorkKind.ANSWER,
}
"""The work whose time counts, by the stage of a worker."""


def note_load(state: ForwardingState, worker: Worker, head: ResponseHead) -> None:
    """Take in the load and the pace that an answer's head tells, if any."""
    load = state.workers_speak.load(head)
    if load is None:
        return
    state.workers.note_load(worker.id, load.running, load.waiting, state.clock())
    note_told_pace(state, worker, head)


def note_told_pace(state: ForwardingState, worker: Worker, head: ResponseHead) -> None:
    """Take in the pace alone, from an answer to a call of the router's own."""
    load = state.workers_speak.load(head)
    if load is not None and load.pace is not None:
        state.paces.note_reported(worker.id, load.pace, state.clock())


def note_answer_pace(state: ForwardingState, worker: Worker, seconds: float) -> None:
    """A plain worker answered after some seconds: compared with what others usually take."""
    if worker.stage is not None:
        return
    tracked = state.workers.tracked_by_id.get(worker.id)
    if tracked is not None:
        waiting = tracked.load_waiting if state.clock() - tracked.load_at <= LOAD_TTL_S else 0
        state.work_times.note(worker.service, seconds, waiting=waiting)
    usual_s = usual_answer_s(state.workers.of_service(worker.service))
    if usual_s > 0.0:
        state.paces.note_observed(worker.id, WorkKind.ANSWER, seconds / usual_s, state.clock())


def note_reading_pace(state: ForwardingState, worker: Worker, tokens: int, seconds: float) -> None:
    """A prefill worker read a prompt in some seconds, waits left out."""
    usual_s = state.prefill_pace(worker.service).prefill_s(tokens)
    if usual_s > 0.0:
        state.paces.note_observed(worker.id, WorkKind.PREFILL, seconds / usual_s, state.clock())


def note_pace_heard(state: ForwardingState, notice: WorkerPaceNotice) -> None:
    """A peer told the pace of a worker; of one that is not known here nothing is kept."""
    tracked = state.workers.tracked_by_id.get(notice.worker)
    if tracked is not None:
        state.paces.apply_notice(notice, KIND_BY_STAGE[tracked.worker.stage], state.clock())


def usual_answer_s(tracked_workers: list[TrackedWorker]) -> float:
    """The median of the usual times of some workers; 0 if none has answered yet."""
    known = sorted(tracked.latency_s for tracked in tracked_workers if tracked.latency_s > 0.0)
    return known[(len(known) - 1) // 2] if known else 0.0
