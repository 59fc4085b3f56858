"""Requests with a plain answer, which is read in full before the caller gets it."""

from __future__ import annotations

from dataclasses import dataclass

from croftchute.errors import Code, Ran
from croftchute.forwarding.dialect import Send, Verdict
from croftchute.forwarding.http.failures import (
    ConnectFailedError,
    ConnectionBrokenError,
    ExchangeError,
)
from croftchute.forwarding.http.http_client import ResponseHead
from croftchute.forwarding.workers.answer_completion import finish_answer
from croftchute.forwarding.workers.plain_admission import admit, refuse_late
from croftchute.forwarding.workers.request_run import RequestRun
from croftchute.forwarding.workers.worker_call import WorkerCall
from croftchute.systems import timeouts
from croftchute.systems.tracked_worker import TrackedWorker
from croftchute.systems.worker_choice import ChoiceRecord
from croftchute.tables.routing import HeaderList


@dataclass(frozen=True, kw_only=True, slots=True)
class CompleteAnswer:
    """A complete worker answer, ready for the caller."""

    worker: str
    status: int
    headers: HeaderList
    body: bytes


@dataclass(kw_only=True)
class PlainProgress:
    """The outcome of the attempts so far, and whether one of them may have run the request."""

    last_answer: CompleteAnswer | None = None
    may_have_run: bool = False
    code: Code = Code.NO_UPSTREAM
    detail: str = "no usable worker is known"


async def run_plain(run: RequestRun) -> None:
    """Send the request until a worker answers it or no further attempt is allowed."""
    progress = PlainProgress()
    while run.time_left_s > 0.0 and not run.is_cut_off:
        admission = await admit(run)
        if admission is not None and admission.found is None and not progress.may_have_run:
            refuse_late(run, admission)
            return
        found = run.choose(None) if admission is None else admission.found
        if found is None:
            break
        if not await run.acquire_permit(found[0]):
            continue
        if not run.spend_retry_budget():
            run.state.permits.release(found[0].worker)
            break
        answer = await _attempt(run, *found, progress)
        if answer is not None:
            await _send_answer(run, answer)
            return
        if progress.may_have_run and not run.route.may_repeat:
            break
    await _give_up(run, progress)


async def _attempt(
    run: RequestRun, tracked: TrackedWorker, chosen: ChoiceRecord, progress: PlainProgress
) -> CompleteAnswer | None:
    send = Send(worker=tracked.worker, time_left_s=run.time_left_s, priority=run.priority)
    call = WorkerCall(run=run, tracked=tracked, send=send, chosen=chosen)
    try:
        await call.open()
        run.deliveries += 1
        run.workers_sent_to.add(tracked.worker.id)
        head = await call.read_head(_answer_timeout_s(run, tracked))
        return await _receive_answer(run, call, head, progress)
    except ConnectFailedError as error:
        run.connect_failures += 1
        run.state.permits.release(tracked.worker)
        call.record_failure(error)
        progress.code, progress.detail = error.code, error.message
    except ExchangeError as error:
        call.record_failure(error)
        progress.may_have_run = True
        progress.code, progress.detail = error.code, error.message
    finally:
        call.close()
    return None


def _answer_timeout_s(run: RequestRun, tracked: TrackedWorker) -> float:
    if not run.route.may_repeat or not run.has_attempts_left:
        return run.time_left_s
    return timeouts.answer_timeout_s(
        run.route, typical_s=tracked.latency_s, time_left_s=run.time_left_s
    )


async def _receive_answer(
    run: RequestRun, call: WorkerCall, head: ResponseHead, progress: PlainProgress
) -> CompleteAnswer | None:
    speak = run.state.workers_speak
    verdict = speak.verdict(head)
    body = await call.read_body(run.time_left_s)
    if verdict in (Verdict.NOT_RUN, Verdict.WRONG_WORKER):
        call.record_rejection(verdict)
        progress.code, progress.detail = Code.NO_CAPACITY, f"worker rejection: {verdict.value}"
        return None
    if verdict is Verdict.ANSWERED and not speak.is_genuine(head):
        raise ConnectionBrokenError("success response lacks proof that the worker sent it")
    answer = CompleteAnswer(
        worker=call.worker.id,
        status=head.status,
        headers=speak.answer_headers(head),
        body=body,
    )
    if verdict is Verdict.FAILED:
        call.record_error_status(head.status)
        progress.may_have_run = True
        progress.last_answer = answer
        is_final = not run.route.may_repeat
        return answer if is_final and not _implies_not_run(answer) else None
    call.record_success()
    return answer


def _implies_not_run(answer: CompleteAnswer) -> bool:
    """Whether callers take the status to mean that nothing ran, which the worker did not state."""
    return answer.status in (408, 421, 429, 503)


async def _send_answer(run: RequestRun, answer: CompleteAnswer) -> None:
    run.first_byte_at = run.now
    run.exchange.send(answer.status, answer.headers, answer.body)
    await finish_answer(run, answer.status, answer.worker)


async def _give_up(run: RequestRun, progress: PlainProgress) -> None:
    last = progress.last_answer
    if last is not None and not _implies_not_run(last):
        await _send_answer(run, last)
        return
    if not progress.may_have_run:
        run.refuse(progress.code, Ran.NOT_RUN, progress.detail)
        return
    is_late = run.time_left_s <= 0.0
    code = Code.UPSTREAM_SLOW if is_late else Code.UPSTREAM_FAILED
    run.refuse(code, Ran.UNKNOWN, progress.detail)
