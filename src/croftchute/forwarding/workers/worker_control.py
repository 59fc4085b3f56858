"""The router's own short calls of workers: holds taken and dropped, handles freed."""

from __future__ import annotations

import asyncio

from croftchute.errors import MessageError
from croftchute.forwarding.decision_log import Decision
from croftchute.forwarding.dialect import Hold, PrefillHandle, Verdict
from croftchute.forwarding.http.deadline import within
from croftchute.forwarding.http.failures import (
    AnswerLateError,
    ConnectionBrokenError,
    ExchangeError,
)
from croftchute.forwarding.http.http_client import ResponseHead
from croftchute.forwarding.permits import PermitRequest
from croftchute.forwarding.state import ForwardingState
from croftchute.forwarding.workers.load_and_pace import record_reported_pace
from croftchute.forwarding.workers.worker_signals import record_displaced, record_signals
from croftchute.systems import patience
from croftchute.tables.routing import Stage, Worker

MAX_CONTROL_BODY_BYTES = 1 << 20
STATUS_OK = 200

STATUS_NOT_PERMITTED = 429
"""Stands for the answer of a worker that was not called, as a limit that it names is reached."""

CALLS_PER_STAGE_ORDER = 2
"""Calls of a worker that an order takes."""

STATUS_OTHER_PROCESS = 421
"""Stands for the answer of a worker that took no order as it is not the one that was meant."""

MAX_HOLD_S = 10.0
"""Seconds for which a worker keeps a hold or a handle at most that nobody uses: the sites' sheets
name 0.5 to 2. What a worker that rests for longer keeps is left to lapse."""


async def control_call(
    state: ForwardingState,
    worker: Worker,
    data: bytes,
    timeout_s: float,
    *,
    answer_s: float | None = None,
) -> tuple[int, bytes]:
    """Status and body of a short call; raises :class:`ExchangeError`.

    ``timeout_s`` is for the connection and the answer, ``answer_s`` for the answer if it may take
    longer.
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
    """Head and body of a short call, as :func:`control_call`."""
    answer_s = timeout_s if answer_s is None else answer_s
    state.workers.wishes.note_sent(worker.id, state.clock())
    connection = await state.pool.acquire(
        worker.host, worker.port, owner=worker.id, now=state.clock(), timeout_s=timeout_s
    )
    try:
        connection.send(data, expected=None)
        head = await within(connection.read_head(), answer_s, "no head")
        record_signals(state, worker, head, call="control")
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
    """Reserve room at a worker; None if it has none, :class:`ExchangeError` if it fails.

    What is granted later than anyone waits for it is given back as soon as the grant comes.
    """
    asking = asyncio.ensure_future(_request_hold(state, worker, tokens, ttl_s))
    try:
        return await within(asyncio.shield(asking), patience.HOLD_TIMEOUT_S, "no hold")
    except (AnswerLateError, asyncio.CancelledError):
        state.spawn(_release_late_hold(state, asking))
        raise


async def _request_hold(
    state: ForwardingState, worker: Worker, tokens: int, ttl_s: float
) -> Hold | None:
    data = state.workers_speak.take_hold(worker, tokens, ttl_s)
    status, body = await control_call(
        state, worker, data, patience.HOLD_TIMEOUT_S, answer_s=max(ttl_s, patience.HOLD_TIMEOUT_S)
    )
    if status != STATUS_OK:
        return None
    try:
        return state.workers_speak.hold(body, worker)
    except MessageError as error:
        raise ConnectionBrokenError(error.message) from None


async def _release_late_hold(state: ForwardingState, asking: asyncio.Future[Hold | None]) -> None:
    """Give a hold back that nobody waits for any more, if it is granted at all."""
    try:
        hold = await asking
    except ExchangeError as error:
        state.log.decide(Decision.HOLD_DROPPED, outcome=error.code.value, detail=error.message)
        return
    if hold is not None:
        await release_hold(state, hold, "")


async def release_hold(state: ForwardingState, hold: Hold, request_id: str) -> None:
    """Give back room that nobody will use."""
    data = state.workers_speak.drop_hold(hold)
    await _release(state, hold.worker, data, Decision.HOLD_DROPPED, request_id)


async def release_handle(state: ForwardingState, handle: PrefillHandle, request_id: str) -> None:
    """Free a prompt's KV cache that nobody will fetch."""
    data = state.workers_speak.release(handle)
    await _release(state, handle.worker, data, Decision.HANDLE_FREED, request_id)


async def fetch_cached_parts(state: ForwardingState, worker: Worker) -> dict[str, int]:
    """Tokens that a worker keeps by prompt part; ExchangeError or MessageError if it fails."""
    if not await state.permits.acquire(worker):
        return {}
    data = state.workers_speak.ask_kept(worker)
    status, body = await control_call(state, worker, data, patience.KEPT_TIMEOUT_S)
    return state.workers_speak.kept(body) if status == STATUS_OK else {}


async def send_stage_order(
    state: ForwardingState, worker: Worker, stage: Stage, *, holder: str, token: int
) -> int:
    """Order a worker to change its stage, if nothing was ordered since it was asked."""
    if not await state.permits.acquire(worker, PermitRequest(calls=CALLS_PER_STAGE_ORDER)):
        return STATUS_NOT_PERMITTED
    status, body = await control_call(
        state, worker, state.workers_speak.ask_report(worker), patience.CONNECT_S
    )
    if status != STATUS_OK:
        return status
    report = state.workers_speak.report(body)
    if None not in (report.born_ms, worker.born_ms) and report.born_ms != worker.born_ms:
        # Another life answers under the name: the order was meant for the one before it.
        return STATUS_OTHER_PROCESS
    data = state.workers_speak.stage_order(
        worker, stage, holder=holder, token=token, sequence=report.orders_taken
    )
    status, _ = await control_call(state, worker, data, patience.ORDER_TIMEOUT_S)
    return status


async def _release(
    state: ForwardingState, worker: Worker, data: bytes, kind: Decision, request_id: str
) -> None:
    may_call = await _wait_until_rested(state, worker) and await state.permits.acquire(worker)
    if not may_call:
        state.log.decide(kind, request_id=request_id, outcome="left to lapse", worker=worker.id)
        return
    try:
        status, _ = await control_call(state, worker, data, patience.CONNECT_S)
        outcome = f"status_{status}"
    except ExchangeError as error:
        outcome = error.code.value
    state.log.decide(kind, request_id=request_id, outcome=outcome, worker=worker.id)


async def _wait_until_rested(state: ForwardingState, worker: Worker) -> bool:
    """Wait until a worker takes calls again; False if what it keeps lapses before."""
    while (rest_s := state.workers.wishes.rest_left_s(worker.id, state.clock())) > 0.0:
        if rest_s > MAX_HOLD_S:
            return False
        await asyncio.sleep(rest_s)
    return True
