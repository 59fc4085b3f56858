"""Completion of an answer that its caller may not have read in full yet."""

from __future__ import annotations

from croftchute.forwarding.http.deadline import within
from croftchute.forwarding.http.failures import AnswerLateError
from croftchute.forwarding.workers.request_run import RequestRun


async def finish_answer(run: RequestRun, status: int, worker: str) -> None:
    """Wait until the caller has read the whole answer, then log and count it.

    An answer that is not read before the caller's deadline is aborted. Without a bound on buffered
    bytes it does not wait.
    """
    exchange = run.exchange
    if exchange.has_unsent:
        try:
            await within(exchange.flushed(), run.time_left_s, "caller did not read the answer")
        except AnswerLateError as error:
            run.abort_answer(error.message)
            return
    run.record_answered(status, worker)
