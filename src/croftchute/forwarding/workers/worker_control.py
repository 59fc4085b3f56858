"""The router's own short calls of workers: holds, handles, cache lists and stage orders."""

from __future__ import annotations

import asyncio

from croftchute.errors import MessageError
from croftchute.forwarding.decision_log import Decision
from croftchute.forwarding.dialect import Hold, PrefillHandle, Verdict
from croftchute.forwarding.http.deadline import within, within_idle
from croftchute.forwarding.http.failures import (
    AnswerLateError,
    ConnectionBrokenError,
    ExchangeError,
)
from croftchute.forwarding.http.http_client import ResponseHead
from croftchute.forwarding.permits import PermitRequest
from croftchute.forwarding.state import ForwardingState
from croftchute.forwarding.workers.advice_recording import record_advice, record_displaced
from croftchute.forwarding.workers.load_and_pace import record_reported_pace
from croftchute.systems import timeouts
from croftchute.tables.routing import Stage, Worker

MAX_CONTROL_BODY_BYTES = 1 << 20
STATUS_OK = 200

STATUS_NOT_PERMITTED = 429
"""Reported instead of an answer if the worker was not called because of its rate limit."""

CALLS_PER_STAGE_ORDER = 2
"""Calls of a worker for one stage order: its report and the order itself."""

STATUS_OTHER_PROCESS = 421
"""Reported instead of an answer if the worker has restarted since the order was decided."""

MAX_HOLD_TTL_S = 10.0
"""Longest time in seconds that a worker keeps an unused hold or handle; the sites' data sheets say
0.5 to 2. If a worker asked for a longer backoff, its holds and handles are left to expire."""


async def control_call(
    state: ForwardingState,
    worker: Worker,
    data: bytes,
    timeout_s: float,
    *,
    answer_s: float | None = None,
) -> tuple[int, bytes]:
    """Make a short call; return its status and body, or raise :class:`ExchangeError`.

    ``timeout_s`` bounds the connection and the answer. ``answer_s`` bounds the answer instead, if
    it may take longer.
    """
    head, body = await control_exchange(state, worker, data, timeout_s, answer_s=answer_s)
    return head.status, body


async def control_exchange(
    state: ForwardingState,
    worker: Worker,
    data: bytes,
    timeout_s: float,
    *,
    answer_s: float | None = None,
) -> tuple[ResponseHead, bytes]:
    """Make a short call as :func:`control_call` does; return its head and body."""
    answer_s = timeout_s if answer_s is None else answer_s
    state.workers.advice.note_sent(worker.id, state.clock())
    connection = await state.pool.acquire(
        worker.host, worker.port, owner=worker.id, now=state.clock(), timeout_s=timeout_s
    )
    try:
        connection.send(data, expected=state.workers_speak.expected_of_own_call)
        head = await within(connection.read_head(), answer_s, "no head")
        state.links.note_heard(state.clock())
        record_advice(state, worker, head, call="control")
        record_reported_pace(state, worker, head)
        if state.workers_speak.verdict(head) is Verdict.WRONG_WORKER:
            record_displaced(state, worker)
        body = await within(connection.read_body(MAX_CONTROL_BODY_BYTES), answer_s, "no body")
        return head, body
    finally:
        state.pool.release(connection, worker.host, worker.port, owner=worker.id, now=state.clock())


async def acquire_hold(
    state: ForwardingState, worker: Worker, tokens: int, ttl_s: float
) -> Hold | None:
    """Reserve room at a worker; return None if it has none.

    Raise :class:`ExchangeError` if the call fails. A hold that is granted too late is released as
    soon as the grant arrives.
    """
    asking = asyncio.ensure_future(_request_hold(state, worker, tokens, ttl_s))
    try:
        return await within_idle(asking, timeouts.HOLD_TIMEOUT_S, "no hold")
    except AnswerLateError:
        state.spawn(_await_late_hold(state, worker, asking))
        raise
    except asyncio.CancelledError:
        state.spawn(_release_late_hold(state, asking))
        raise


async def _request_hold(
    state: ForwardingState, worker: Worker, tokens: int, ttl_s: float
) -> Hold | None:
    data = state.workers_speak.take_hold(worker, tokens, ttl_s)
    status, body = await control_call(
        state, worker, data, timeouts.HOLD_TIMEOUT_S, answer_s=max(ttl_s, timeouts.HOLD_TIMEOUT_S)
    )
    if status != STATUS_OK:
        return None
    try:
        return state.workers_speak.hold(body, worker)
    except MessageError as error:
        raise ConnectionBrokenError(error.message) from None


async def _await_late_hold(
    state: ForwardingState, worker: Worker, asking: asyncio.Future[Hold | None]
) -> None:
    """Release a late hold; until then the worker counts as owing an answer."""
    state.workers.note_late_hold(worker.id, state.clock())
    try:
        await _release_late_hold(state, asking)
    finally:
        state.workers.note_late_hold_ended(worker.id)


async def _release_late_hold(state: ForwardingState, asking: asyncio.Future[Hold | None]) -> None:
    """Release a hold that nobody waits for any more, once it is granted."""
    try:
        hold = await asking
    except ExchangeError as error:
        state.log.decide(Decision.HOLD_DROPPED, outcome=error.code.value, detail=error.message)
        return
    if hold is not None:
        await release_hold(state, hold, "")


async def release_hold(state: ForwardingState, hold: Hold, request_id: str) -> None:
    """Release a hold that will not be used."""
    data = state.workers_speak.drop_hold(hold)
    await _release(state, hold.worker, data, Decision.HOLD_DROPPED, request_id)


async def release_handle(state: ForwardingState, handle: PrefillHandle, request_id: str) -> None:
    """Release a prompt's KV cache that no worker will fetch."""
    data = state.workers_speak.release(handle)
    await _release(state, handle.worker, data, Decision.HANDLE_FREED, request_id)


async def fetch_cached_parts(state: ForwardingState, worker: Worker) -> dict[str, int]:
    """Return a worker's cached tokens by prompt part; raise ExchangeError or MessageError."""
    if not await state.permits.acquire(worker):
        return {}
    data = state.workers_speak.ask_kept(worker)
    status, body = await control_call(state, worker, data, timeouts.PREFIX_LIST_TIMEOUT_S)
    return state.workers_speak.kept(body) if status == STATUS_OK else {}


async def is_same_process(state: ForwardingState, worker: Worker) -> bool:
    """Return whether a worker is the process that its entry describes, as far as it tells.

    Raise :class:`ExchangeError` if it does not answer.
    A worker that restarts under its name is listed anew a moment later, and may have other
    software. A worker that tells no start has a new name after each.
    """
    if worker.born_ms is None:
        return True
    if not await state.permits.acquire(worker):
        return False
    data = state.workers_speak.ask_report(worker)
    status, body = await control_call(state, worker, data, timeouts.REPORT_TIMEOUT_S)
    return status == STATUS_OK and state.workers_speak.report(body).born_ms == worker.born_ms


async def send_stage_order(
    state: ForwardingState, worker: Worker, stage: Stage, *, holder: str, token: int
) -> int:
    """Order a worker to change its stage, unless it received another order since its report."""
    if not await state.permits.acquire(worker, PermitRequest(calls=CALLS_PER_STAGE_ORDER)):
        return STATUS_NOT_PERMITTED
    status, body = await control_call(
        state, worker, state.workers_speak.ask_report(worker), timeouts.CONNECT_TIMEOUT_S
    )
    if status != STATUS_OK:
        return status
    report = state.workers_speak.report(body)
    if None not in (report.born_ms, worker.born_ms) and report.born_ms != worker.born_ms:
        # The worker has restarted: the order was meant for its earlier process.
        return STATUS_OTHER_PROCESS
    data = state.workers_speak.stage_order(
        worker, stage, holder=holder, token=token, sequence=report.orders_taken
    )
    status, _ = await control_call(state, worker, data, timeouts.STAGE_ORDER_TIMEOUT_S)
    return status


async def _release(
    state: ForwardingState, worker: Worker, data: bytes, kind: Decision, request_id: str
) -> None:
    may_call = await _wait_for_backoff_end(state, worker) and await state.permits.acquire(worker)
    if not may_call:
        state.log.decide(kind, request_id=request_id, outcome="left to lapse", worker=worker.id)
        return
    try:
        status, _ = await control_call(state, worker, data, timeouts.CONNECT_TIMEOUT_S)
        outcome = f"status_{status}"
    except ExchangeError as error:
        outcome = error.code.value
    state.log.decide(kind, request_id=request_id, outcome=outcome, worker=worker.id)


async def _wait_for_backoff_end(state: ForwardingState, worker: Worker) -> bool:
    """Wait until a worker accepts calls again; False if its holds expire before that."""
    while (backoff_s := state.workers.advice.backoff_left_s(worker.id, state.clock())) > 0.0:
        if backoff_s > MAX_HOLD_TTL_S:
            return False
        await asyncio.sleep(backoff_s)
    return True
