"""Takes in what a worker's answer says that the worker wants, on whatever path the answer came."""

from __future__ import annotations

from croftchute.forwarding.decision_log import Decision
from croftchute.forwarding.http_client import ResponseHead
from croftchute.forwarding.state import ForwardingState
from croftchute.tables.routing import Worker


def note_wish(state: ForwardingState, worker: Worker, head: ResponseHead, *, call: str) -> None:
    """Keep the wish that an answer to ``call`` tells, if it tells one."""
    wish = state.workers_speak.wish(head)
    now = state.clock()
    wishes = state.workers.wishes
    if wish.is_leaving and wishes.note_leaving(worker.id, now):
        state.metrics.wishes.inc({"wish": "leaving", "call": call})
        _log(state, Decision.WORKER_LEAVING, worker, head, call, rest_s=0.0)
    if wish.rest_s > 0.0:
        wishes.note_rest(worker.id, wish.rest_s, now)
        state.metrics.wishes.inc({"wish": "rest", "call": call})
        _log(state, Decision.WORKER_RESTS, worker, head, call, rest_s=wish.rest_s)


def _log(
    state: ForwardingState,
    kind: Decision,
    worker: Worker,
    head: ResponseHead,
    call: str,
    *,
    rest_s: float,
) -> None:
    belief = state.workers.beliefs_by_id.get(worker.id)
    state.log.decide(
        kind,
        outcome="told in an answer",
        worker=worker.id,
        service=worker.service,
        status=head.status,
        listed=belief.worker.state.value if belief is not None else "not listed",
        workers_age_s=round(state.clock() - state.workers.heard_at, 2),
        call=call,
        rest_s=round(rest_s, 3),
    )
