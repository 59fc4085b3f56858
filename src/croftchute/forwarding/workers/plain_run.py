"""Requests with a plain answer, which is read in full before the caller gets it."""

from __future__ import annotations

import asyncio
from collections.abc import Awaitable, Callable
from dataclasses import dataclass, replace

from croftchute.errors import Code, Ran
from croftchute.forwarding.dialect import Send, Verdict
from croftchute.forwarding.http.failures import (
    AnswerLateError,
    ConnectFailedError,
    ConnectionBrokenError,
    ExchangeError,
)
from croftchute.forwarding.http.http_client import ResponseHead
from croftchute.forwarding.workers.answer_completion import finish_answer
from croftchute.forwarding.workers.attempt_race import AttemptRace
from croftchute.forwarding.workers.plain_admission import admit, refuse_late
from croftchute.forwarding.workers.request_run import RequestRun
from croftchute.forwarding.workers.withheld import OUTLASTS_STOP
from croftchute.forwarding.workers.worker_call import WorkerCall
from croftchute.systems import timeouts
from croftchute.systems.failover_pace import RECHECK_S
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
    """The outcome of the attempts so far, and whether one of them may have run the request.

    ``answer`` is what the caller gets; ``last_answer`` is that of a failure, if none is better.
    """

    answer: CompleteAnswer | None = None
    last_answer: CompleteAnswer | None = None
    is_refused: bool = False
    may_have_run: bool = False
    code: Code = Code.NO_UPSTREAM
    detail: str = "no usable worker is known"


class PlainAttempt:
    """One attempt of a plain call at one worker; end it with :meth:`close`."""

    def __init__(self, *, run: RequestRun, call: WorkerCall, timeout_s: float) -> None:
        self.run = run
        self.call = call
        self.is_silent = False
        self._silent_at = call.opened_at + timeout_s
        self._head: ResponseHead | None = None
        self._listening: asyncio.Task[tuple[ResponseHead, bytes]] | None = None

    async def is_answered_in_time(self) -> bool:
        """Wait until the answer begins; return False if the worker is silent for too long."""
        try:
            self._head = await self.call.read_head(self.patience_left_s())
        except AnswerLateError:
            if self.run.time_left_s <= 0.0:
                raise
            return False
        return True

    async def read(self) -> tuple[ResponseHead, bytes]:
        """Return the whole answer, or raise ExchangeError."""
        if self._head is None:
            self._head = await self.call.read_head(self.run.time_left_s)
        return self._head, await self.call.read_body(self.run.time_left_s)

    def patience_left_s(self) -> float:
        """Return the seconds until the worker counts as silent."""
        return min(self._silent_at - self.run.now, self.run.time_left_s)

    def listen(self) -> asyncio.Task[tuple[ResponseHead, bytes]]:
        """Return the task that reads the whole answer."""
        if self._listening is None:
            self._listening = asyncio.ensure_future(self.read())
        return self._listening

    def close(self) -> None:
        """Return the connection, or close it if the worker is still at work."""
        if self._listening is not None:
            self._listening.cancel()
        self.call.close()


class PlainRun:
    """One request with a plain answer, and its attempts at workers.

    A worker that is silent keeps the request until another one has answered it.
    """

    def __init__(self, *, run: RequestRun) -> None:
        self.run = run
        self.progress = PlainProgress()
        self.race: AttemptRace[PlainAttempt] = AttemptRace(
            run=run, owner=self, may_leave=lambda: run.may_leave_silent
        )
        self._search_not_before = run.started_at

    async def serve(self) -> None:
        """Send the request until a worker answers it or no further attempt is allowed."""
        await self._serve(self._begin_attempt)

    async def until_response(self) -> None:
        """Wait until a silent worker answers, while another box is asked to; for ever if none."""
        await self.race.first_open_to_respond()

    async def serve_on(self) -> None:
        """Go on waiting for the silent workers, as no other box has answered."""
        self.run.outstanding = None
        await self._serve(self._go_on)

    def close(self) -> None:
        """End the attempts that are open."""
        for attempt in self.race.attempts:
            attempt.close()
        self.race.attempts = []

    async def _serve(self, begin: Callable[[], Awaitable[PlainAttempt | None]]) -> None:
        progress = self.progress
        try:
            attempt = await begin()
            while attempt is not None:
                attempt = await self._follow(attempt)
            if progress.answer is not None:
                self.close()
                await self._send_answer(progress.answer)
            elif not progress.is_refused:
                await self._give_up()
        finally:
            if self.run.outstanding is None:
                self.close()

    async def _follow(self, attempt: PlainAttempt) -> PlainAttempt | None:
        """Wait for the answer of an attempt; return the one to follow next, if any."""
        self.race.attempts = [attempt]
        try:
            if not await attempt.is_answered_in_time():
                return await self._outwait()
        except ExchangeError as error:
            self._end_attempt(attempt, error)
        else:
            await asyncio.wait({attempt.listen()})
            self.goes_on_at(attempt)
        self.race.attempts = []
        attempt.close()
        return None if self._is_over else await self._begin_attempt()

    async def _go_on(self) -> PlainAttempt | None:
        return None if self._is_over else await self._outwait()

    async def _outwait(self) -> PlainAttempt | None:
        """Wait for the first attempt to answer, and for a successor; return one to follow."""
        if await self.race.first_to_respond() is not None:
            return None
        if self.race.attempts:
            return None
        return None if self._is_over else await self._begin_attempt()

    @property
    def _is_over(self) -> bool:
        progress = self.progress
        if progress.answer is not None:
            return True
        return progress.may_have_run and not self.run.route.may_repeat

    async def _begin_attempt(self) -> PlainAttempt | None:
        """Send the request to a worker; return None if no further attempt is allowed."""
        run = self.run
        while run.time_left_s > 0.0 and not run.is_cut_off:
            admission = await admit(run)
            if run.outlasts_stop and not self.progress.may_have_run:
                self.progress.is_refused = True
                run.refuse(Code.DRAINING, Ran.NOT_RUN, OUTLASTS_STOP, expected_wait_s=0.0)
                return None
            if admission is not None and admission.found is None and not self.progress.may_have_run:
                self.progress.is_refused = True
                refuse_late(run, admission)
                return None
            found = run.choose(None) if admission is None else admission.found
            if found is None:
                return None
            if not await run.acquire_permit(found[0]):
                continue
            if not run.claim_arrival():
                run.state.permits.release(found[0].worker)
                return None
            attempt = await self._open(*found)
            if attempt is not None:
                return attempt
        return None

    async def _open(self, tracked: TrackedWorker, chosen: ChoiceRecord) -> PlainAttempt | None:
        run = self.run
        send = Send(worker=tracked.worker, time_left_s=run.time_left_s, priority=run.priority)
        call = WorkerCall(run=run, tracked=tracked, send=send, chosen=chosen)
        try:
            await call.open()
        except ConnectFailedError as error:
            run.connect_failures += 1
            run.state.permits.release(tracked.worker)
            call.record_failure(error)
            self.progress.code, self.progress.detail = error.code, error.message
            call.close()
            run.withdraw_arrival()
            return None
        except asyncio.CancelledError:
            call.close()
            run.state.permits.release(tracked.worker)
            run.withdraw_arrival()
            raise
        run.deliveries += 1
        run.workers_sent_to.add(tracked.worker.id)
        return PlainAttempt(run=run, call=call, timeout_s=_answer_timeout_s(run, tracked))

    # What the race of the attempts calls.

    def search_wait_s(self) -> float:
        """Return the seconds until another worker may be asked, or until to check again."""
        run = self.run
        for attempt in self.race.attempts:
            if not attempt.is_silent:
                self._note_silent(attempt)
        if run.now < self._search_not_before:
            return self._search_not_before - run.now
        may_search = run.may_spend_retry and self._can_fail_over()
        return 0.0 if may_search else RECHECK_S

    def begin_successor(self) -> asyncio.Task[PlainAttempt | None]:
        """Begin to send the request to another worker; the task returns None if none takes it."""
        self.progress.may_have_run = True
        return asyncio.ensure_future(self._send_to_successor())

    async def _send_to_successor(self) -> PlainAttempt | None:
        try:
            return await self._begin_attempt()
        finally:
            self._search_not_before = self.run.now + RECHECK_S

    def goes_on_at(self, attempt: PlainAttempt) -> bool:
        """Take in what an attempt has brought; return whether that is the caller's answer."""
        try:
            head, body = attempt.listen().result()
            self._take(attempt.call, head, body)
        except ExchangeError as error:
            self._end_attempt(attempt, error)
        if attempt.is_silent and self.progress.answer is not None:
            self._note_silence_ended(attempt)
        if self.progress.answer is None:
            attempt.close()
        return self.progress.answer is not None

    def drop(self, attempt: PlainAttempt) -> None:
        """End an attempt, as another worker has answered."""
        self.progress.may_have_run = True
        attempt.call.record_dropped()
        attempt.close()

    def _take(self, call: WorkerCall, head: ResponseHead, body: bytes) -> None:
        """Take in an answer; keep it if it is the caller's."""
        run = self.run
        progress = self.progress
        speak = run.state.workers_speak
        verdict = speak.verdict(head)
        if verdict in (Verdict.NOT_RUN, Verdict.WRONG_WORKER):
            call.record_rejection(verdict)
            progress.code, progress.detail = Code.NO_CAPACITY, f"worker rejection: {verdict.value}"
            return
        if verdict is Verdict.ANSWERED and not speak.is_genuine(head):
            raise ConnectionBrokenError("success response lacks proof that the worker sent it")
        answer = CompleteAnswer(
            worker=call.worker.id,
            status=head.status,
            headers=speak.answer_headers(head),
            body=body,
        )
        if verdict is not Verdict.FAILED:
            call.record_success()
            progress.answer = answer
            return
        call.record_error_status(head.status)
        progress.may_have_run = True
        progress.last_answer = answer
        if not run.route.may_repeat and not _implies_not_run(answer):
            progress.answer = answer

    def _end_attempt(self, attempt: PlainAttempt, error: ExchangeError) -> None:
        attempt.call.record_failure(error)
        self.progress.may_have_run = True
        self.progress.code, self.progress.detail = error.code, error.message

    def _note_silent(self, attempt: PlainAttempt) -> None:
        attempt.is_silent = True
        attempt.call.record_silence(is_begun=False)

    def _note_silence_ended(self, attempt: PlainAttempt) -> None:
        self.run.state.metrics.silences.inc({"outcome": "went_on"})
        attempt.call.record_silence_ended("went_on")

    def _can_fail_over(self) -> bool:
        """Whether a worker may be asked that the request is not at."""
        run = self.run
        if not run.route.may_repeat:
            return False
        excluded_ids = run.avoid | {attempt.call.worker.id for attempt in self.race.attempts}
        return any(tracked.worker.id not in excluded_ids for tracked in run.candidates(None))

    async def _give_up(self) -> None:
        run = self.run
        progress = self.progress
        if self.race.attempts:
            progress.may_have_run = True
            progress.code = Code.UPSTREAM_SLOW
            progress.detail = f"{self._open_workers} silent"
            if run.time_left_s > 0.0:
                run.outstanding = self
            else:
                self._note_outlasted()
        last = progress.last_answer
        if run.outstanding is None and last is not None and not _implies_not_run(last):
            await self._send_answer(last)
            return
        if not progress.may_have_run:
            run.refuse(progress.code, Ran.NOT_RUN, progress.detail)
            return
        is_late = run.time_left_s <= 0.0
        code = Code.UPSTREAM_SLOW if is_late else Code.UPSTREAM_FAILED
        run.refuse(code, Ran.UNKNOWN, progress.detail)
        if run.withheld is None:
            run.outstanding = None

    async def _send_answer(self, answer: CompleteAnswer) -> None:
        """Send an answer, and let go of its body: the writer holds what is not read yet."""
        run = self.run
        run.first_byte_at = run.now
        run.exchange.send(answer.status, answer.headers, answer.body)
        answer = replace(answer, body=b"")
        self.progress.answer = self.progress.last_answer = answer
        await finish_answer(run, answer.status, answer.worker)

    @property
    def _open_workers(self) -> str:
        return ", ".join(attempt.call.worker.id for attempt in self.race.attempts)

    def _note_outlasted(self) -> None:
        """Record that workers were silent until the request's time was over."""
        for attempt in self.race.attempts:
            attempt.call.record_outlasted()


async def run_plain(run: RequestRun) -> None:
    """Serve one request with a plain answer."""
    await PlainRun(run=run).serve()


def _answer_timeout_s(run: RequestRun, tracked: TrackedWorker) -> float:
    if not run.route.may_repeat:
        return run.time_left_s
    return timeouts.answer_timeout_s(
        run.route, typical_s=tracked.latency_s, time_left_s=run.time_left_s
    )


def _implies_not_run(answer: CompleteAnswer) -> bool:
    """Whether callers take the status to mean that nothing ran, which the worker did not state."""
    return answer.status in (408, 421, 429, 503)
