"""The end of a whole answer whose caller may not have read all of it yet."""

from __future__ import annotations

from croftchute.forwarding.http.deadline import within
from croftchute.forwarding.http.failures import AnswerLateError
from croftchute.forwarding.workers.request_run import RequestRun


async def finish_answer(run: RequestRun, status: int, worker: str) -> None:
    """Wait until nothing of the answer is held for the caller, then log and count it.

    One that is not read in the caller's time is broken off. Without bounds for held bytes there is
    no waiting.
    """
    exchange = run.exchange
    if exchange.has_unsent:
        try:
            await within(exchange.flushed(), run.time_left_s, "caller did not read the answer")
        except AnswerLateError as error:
            run.abort_answer(error.message)
            return
    run.record_answered(status, worker)
