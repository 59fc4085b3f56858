"""Records workers' advice: that they are leaving, want a backoff or have a rate limit.

Every answer may carry advice, whatever the call was.
"""

from __future__ import annotations

import math
from typing import Any

from croftchute.forwarding.decision_log import Decision
from croftchute.forwarding.dialect import Verdict
from croftchute.forwarding.http.http_client import ResponseHead
from croftchute.forwarding.state import ForwardingState
from croftchute.systems.worker_advice import WorkerAdvice
from croftchute.tables.peers import LimitNotice
from croftchute.tables.routing import Worker


def record_advice(state: ForwardingState, worker: Worker, head: ResponseHead, *, call: str) -> None:
    """Record the advice in an answer; ``call`` names the kind of call for logs and metrics."""
    advice = state.workers_speak.wish(head)
    now = state.clock()
    table = state.workers.advice
    if advice.is_leaving and table.note_leaving(worker.id, now):
        state.metrics.wishes.inc({"wish": "leaving", "call": call})
        _log(state, Decision.WORKER_LEAVING, worker, head, call)
    if advice.backoff_s > 0.0:
        table.note_backoff(worker.id, advice.backoff_s, now)
        state.metrics.wishes.inc({"wish": "rest", "call": call})
        _log(state, Decision.WORKER_RESTS, worker, head, call, rest_s=round(advice.backoff_s, 3))
    _record_limit(state, worker, head, advice, call=call)


def _record_limit(
    state: ForwardingState, worker: Worker, head: ResponseHead, advice: WorkerAdvice, *, call: str
) -> None:
    """Record the rate limit that an answer states, or that it states none."""
    now = state.clock()
    limits = state.workers.limits
    if advice.limit_per_s is None:
        is_its_own = state.workers_speak.verdict(head) is not Verdict.WRONG_WORKER
        if limits.by_id and is_its_own and not advice.has_invalid_limit:
            limits.note_no_limit(worker.id, now)
    elif limits.note_limit(worker.id, advice.limit_per_s, now):
        state.metrics.wishes.inc({"wish": "limit", "call": call})
        _log(state, Decision.WORKER_LIMITED, worker, head, call, limit_per_s=advice.limit_per_s)
        state.on_limit_news()


def record_displaced(state: ForwardingState, worker: Worker) -> None:
    """Send no more work to an address where another worker answered."""
    state.workers.note_displaced(worker.id)
    state.log.decide(Decision.WORKER_DISPLACED, worker=worker.id, address=worker.address)


def record_peer_leaving_advice(state: ForwardingState, worker_id: str, *, sender: str) -> None:
    """Record a leaving worker that a peer reported; it gets no work even if no other is usable.

    The store may be unavailable for long. Without the report, each box would have to lose a request
    at the worker to learn of it.
    """
    now = state.clock()
    if state.workers.advice.note_leaving(worker_id, now, known_for_s=math.inf):
        state.metrics.wishes.inc({"wish": "leaving", "call": "notice"})
        state.log.decide(
            Decision.WORKER_LEAVING, outcome="told by a peer", worker=worker_id, source=sender
        )


def record_peer_limit(state: ForwardingState, notice: LimitNotice, *, sender: str) -> None:
    """Record a worker's rate limit, for all boxes together, that a peer reported."""
    if state.workers.limits.apply_notice(notice, state.clock()):
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
    **fields: Any,
) -> None:
    tracked = state.workers.tracked_by_id.get(worker.id)
    state.log.decide(
        kind,
        outcome="told in an answer",
        worker=worker.id,
        service=worker.service,
        status=head.status,
        listed=tracked.worker.state.value if tracked is not None else "not listed",
        workers_age_s=round(state.clock() - state.workers.heard_at, 2),
        call=call,
        **fields,
    )
