"""Takes in what a worker's answer says that the worker wants, on whatever path the answer came."""

from __future__ import annotations

import math
from typing import Any

from croftchute.forwarding.decision_log import Decision
from croftchute.forwarding.dialect import Verdict
from croftchute.forwarding.http.http_client import ResponseHead
from croftchute.forwarding.state import ForwardingState
from croftchute.systems.worker_wishes import WorkerWish
from croftchute.tables.peers import LimitNotice
from croftchute.tables.routing import Worker


def record_signals(
    state: ForwardingState, worker: Worker, head: ResponseHead, *, call: str
) -> None:
    """Keep the wish that an answer to ``call`` tells, if it tells one."""
    wish = state.workers_speak.wish(head)
    now = state.clock()
    wishes = state.workers.wishes
    if wish.is_leaving and wishes.note_leaving(worker.id, now):
        state.metrics.wishes.inc({"wish": "leaving", "call": call})
        _log(state, Decision.WORKER_LEAVING, worker, head, call)
    if wish.rest_s > 0.0:
        wishes.note_rest(worker.id, wish.rest_s, now)
        state.metrics.wishes.inc({"wish": "rest", "call": call})
        _log(state, Decision.WORKER_RESTS, worker, head, call, rest_s=round(wish.rest_s, 3))
    _note_limit(state, worker, head, wish, call=call)


def _note_limit(
    state: ForwardingState, worker: Worker, head: ResponseHead, wish: WorkerWish, *, call: str
) -> None:
    """Keep the limit that an answer names, or that it names none."""
    now = state.clock()
    limits = state.workers.limits
    if wish.limit_per_s is None:
        is_its_own = state.workers_speak.verdict(head) is not Verdict.WRONG_WORKER
        if limits.by_id and is_its_own and not wish.has_odd_limit:
            limits.note_left_out(worker.id, now)
    elif limits.note_named(worker.id, wish.limit_per_s, now):
        state.metrics.wishes.inc({"wish": "limit", "call": call})
        _log(state, Decision.WORKER_LIMITED, worker, head, call, limit_per_s=wish.limit_per_s)
        state.on_limit_news()


def record_displaced(state: ForwardingState, worker: Worker) -> None:
    """Another worker answered at the address: no more work goes there, whatever was asked."""
    state.workers.note_displaced(worker.id)
    state.log.decide(Decision.WORKER_DISPLACED, worker=worker.id, address=worker.address)


def record_peer_leaving(state: ForwardingState, worker_id: str, *, sender: str) -> None:
    """Another box tells of a worker that leaves: it gets nothing more, not even as a last resort.

    The store may be away for long, and each box would otherwise lose a request there to hear it.
    """
    now = state.clock()
    if state.workers.wishes.note_leaving(worker_id, now, known_for_s=math.inf):
        state.metrics.wishes.inc({"wish": "leaving", "call": "notice"})
        state.log.decide(
            Decision.WORKER_LEAVING, outcome="told by a peer", worker=worker_id, source=sender
        )


def record_peer_limit(state: ForwardingState, notice: LimitNotice, *, sender: str) -> None:
    """Another box tells of a worker that names a limit: it holds for all boxes together."""
    if state.workers.limits.hear(notice, state.clock()):
        state.metrics.wishes.inc({"wish": "limit", "call": "notice"})
        state.log.decide(
            Decision.WORKER_LIMITED,
            outcome="told by a peer",
            worker=notice.worker,
            limit_per_s=notice.per_s,
            limit_age_s=round(notice.named_s, 2),
            source=sender,
        )
        state.on_limit_news()


def _log(
    state: ForwardingState,
    kind: Decision,
    worker: Worker,
    head: ResponseHead,
    call: str,
    **wished: Any,
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
        **wished,
    )
