"""Requests whose answer is a stream of events: prefill, decode and failover."""

from __future__ import annotations

import asyncio
from collections.abc import Awaitable, Callable

from croftchute.errors import Code, Ran
from croftchute.forwarding.decision_log import Decision
from croftchute.forwarding.dialect import Verdict
from croftchute.forwarding.http.deadline import within
from croftchute.forwarding.http.event_stream import StreamEvent
from croftchute.forwarding.http.failures import (
    AnswerLateError,
    CallerSlowError,
    ConnectionBrokenError,
    ExchangeError,
)
from croftchute.forwarding.origins import origin_header
from croftchute.forwarding.workers.answer_completion import finish_answer
from croftchute.forwarding.workers.attempt_race import AttemptRace
from croftchute.forwarding.workers.decode_reservation import DecodeReservation
from croftchute.forwarding.workers.prompt_cache_lookup import find_cached_worker
from croftchute.forwarding.workers.prompt_prefill import PromptPrefill
from croftchute.forwarding.workers.request_run import RequestRun
from croftchute.forwarding.workers.stream_attempt import StepKind, StreamAttempt, StreamStep
from croftchute.forwarding.workers.stream_progress import (
    NOT_RUN_STATUSES,
    FailureAnswer,
    StreamProgress,
)
from croftchute.forwarding.workers.stream_sender import StreamSender, Unsent
from croftchute.forwarding.workers.withheld import CUT_OFF_DETAIL, OUTLASTS_STOP
from croftchute.forwarding.workers.worker_call import WorkerCall
from croftchute.systems import timeouts
from croftchute.systems.failover_pace import RECHECK_S
from croftchute.tables.routing import HeaderList, Stage


class StreamRun:
    """One streaming request: at most one separate prefill, then attempts at decode workers.

    A worker that falls silent keeps the stream until another one goes on with it.
    """

    def __init__(self, *, run: RequestRun) -> None:
        self.run = run
        self.progress = StreamProgress(last_event=run.facts.resume_after)
        self.prefill = PromptPrefill(run=run)
        self.reservation = DecodeReservation(run=run)
        self.sender = StreamSender(
            run=run, progress=self.progress, prefill=self.prefill, reservation=self.reservation
        )
        self.race: AttemptRace[StreamAttempt] = AttemptRace(
            run=run, owner=self, may_leave=lambda: run.may_leave_silent
        )
        self._search_not_before = run.started_at
        self._responder: StreamAttempt | None = None

    async def serve(self) -> None:
        """Run the stream to its end, or refuse or abort it."""
        await self._serve(self._begin)

    async def until_response(self) -> None:
        """Wait until a silent worker goes on, while another box is asked to; for ever if none."""
        self._responder = await self.race.first_open_to_respond()

    async def serve_on(self) -> None:
        """Go on waiting for the silent workers, as no other box has gone on with the stream."""
        self.run.outstanding = None
        await self._serve(self._go_on)

    def close(self) -> None:
        """End the attempts that are open, and release what no worker uses."""
        for attempt in self.race.attempts:
            attempt.close()
        self.race.attempts = []
        self.prefill.release_unused_handle()
        self.reservation.release_unused()

    async def _serve(self, begin: Callable[[], Awaitable[StreamAttempt | None]]) -> None:
        """Follow attempts to the end; silent ones are kept if another box is to be asked."""
        run = self.run
        try:
            await self._run_attempts(await begin())
            await self._end()
        except asyncio.CancelledError:
            has_left = run.exchange.caller_has_left and not run.exchange.is_cut_off
            kind = Decision.CALLER_LEFT if has_left else Decision.REQUEST_BROKEN
            run.log(kind, events=self.progress.event_count, worker=run.last_worker)
            raise
        finally:
            if run.outstanding is None:
                self.close()

    async def _go_on(self) -> StreamAttempt | None:
        responder, self._responder = self._responder, None
        if responder is None:
            return await self._outwait()
        self._note_silence_ended(responder)
        return responder

    async def _begin(self) -> StreamAttempt | None:
        return await self._begin_attempt() if await self._may_begin() else None

    async def _end(self) -> None:
        """Finish the answer, or abort or refuse it, unless another box may go on with it."""
        run = self.run
        progress = self.progress
        if progress.is_complete:
            self.close()
            run.exchange.finish()
            await finish_answer(run, 200, progress.serving_worker)
            return
        if self.race.attempts and run.time_left_s > 0.0:
            run.outstanding = self
            progress.may_have_run = True
            progress.code, progress.detail = Code.UPSTREAM_SLOW, CUT_OFF_DETAIL
        if run.exchange.is_started:
            is_left = not progress.is_doubtful and run.withhold_rest(
                progress.detail, last_event=progress.last_event
            )
            if not is_left:
                run.abort_answer(
                    progress.detail, events=progress.event_count, last_event=progress.last_event
                )
        elif progress.failure is not None and run.outstanding is None:
            self._send_failure(progress.failure)
        else:
            self._refuse()
        if run.withheld is None:
            run.outstanding = None

    async def _may_begin(self) -> bool:
        """Prepare the first attempt; return False if no engine can ever run the request."""
        run = self.run
        facts = run.facts
        engine = run.engine
        if engine is not None and not timeouts.can_ever_fit(facts.prompt_tokens, engine.kv_tokens):
            self.progress.code = Code.PROMPT_TOO_LONG
            self.progress.detail = (
                f"prompt has {facts.prompt_tokens} tokens; an engine holds {engine.kv_tokens}"
            )
            return False
        run.state.demand(run.service).note_ask(
            run.now,
            prompt_tokens=facts.prompt_tokens,
            output_tokens=facts.planned_output_tokens,
            is_large=run.is_large,
        )
        if facts.resume_after is not None:
            self.prefill.cached_worker_id = self.reservation.cached_worker_id = (
                await find_cached_worker(run)
            )
        return True

    async def _run_attempts(self, attempt: StreamAttempt | None) -> None:
        """Follow an attempt and those after it, until the stream has ended or can't go on."""
        while attempt is not None:
            self.race.attempts = [attempt]
            is_silent = await self._relay(attempt)
            attempt = await (self._outwait() if is_silent else self._begin_attempt())

    async def _begin_attempt(self) -> StreamAttempt | None:
        """Send the request to a worker, waiting for room; return None if that can't be done."""
        run = self.run
        while run.time_left_s > 0.0 and not self._is_finished():
            if run.lacks_build:
                self._note_version_gone()
                return None
            found = await self.reservation.reserve()
            self._record_refusal_cause()
            if found is None:
                return None
            if run.outlasts_stop and not self.progress.may_have_run:
                self.progress.code, self.progress.detail = Code.DRAINING, OUTLASTS_STOP
                self.progress.may_retry_at_once = True
                return None
            sent = await self.sender.send_to(*found, is_successor=False)
            if isinstance(sent, StreamAttempt):
                return sent
            if sent is Unsent.NO_REPEAT:
                return None
        return None

    async def _outwait(self) -> StreamAttempt | None:
        """Return the first attempt to speak; None if the request's time is over, or can't go on."""
        attempt = await self.race.first_to_respond()
        if attempt is not None and self.progress.is_doubtful:
            self.close()
            return None
        if attempt is not None:
            self._note_silence_ended(attempt)
            return attempt
        if not self.race.attempts:
            return await self._begin_attempt()
        if self.run.time_left_s <= 0.0:
            self._note_outlasted()
        return None

    # What the race of the attempts calls.

    def search_wait_s(self) -> float:
        """Return the seconds until a successor may be looked for, or until to check again."""
        run = self.run
        for attempt in self.race.attempts:
            if not attempt.is_silent:
                self._note_silent(attempt)
        paced_s = run.state.failover_pace(run.service).wait_s(run.now)
        wait_s = max(paced_s, self._search_not_before - run.now)
        if wait_s > 0.0:
            return wait_s
        may_search = run.may_spend_retry and self._can_fail_over()
        return 0.0 if may_search else RECHECK_S

    def begin_successor(self) -> asyncio.Task[StreamAttempt | None]:
        """Begin to look for another worker that has room now; the task returns None without one.

        The search counts from this moment on, as many streams may fall silent in one turn.
        """
        pace = self.run.state.failover_pace(self.run.service)
        pace.begin()
        searching = asyncio.ensure_future(self._send_to_successor())
        searching.add_done_callback(lambda _: pace.end())
        return searching

    async def _send_to_successor(self) -> StreamAttempt | None:
        run = self.run
        try:
            if run.lacks_build:
                self._note_version_gone()
                return None
            found = await self.reservation.reserve_now()
            self._record_refusal_cause()
            if found is None:
                return None
            sent = await self.sender.send_to(*found, is_successor=True)
            return sent if isinstance(sent, StreamAttempt) else None
        finally:
            self.reservation.release_unused()
            self._search_not_before = run.now + self.reservation.ask_again_s

    def goes_on_at(self, attempt: StreamAttempt) -> bool:
        """Take what an attempt has listened for; return whether the stream goes on there."""
        try:
            step = attempt.take_step()
        except ExchangeError as error:
            self._end_attempt(attempt, error)
            return False
        if step.kind not in (StepKind.REJECTED, StepKind.FAILED):
            return True
        self._note_turned_down(attempt, step)
        attempt.close()
        return False

    def drop(self, attempt: StreamAttempt) -> None:
        """End an attempt, as the stream goes on at another worker."""
        self.progress.may_have_run = True
        attempt.call.record_dropped()
        self._check_origin(attempt.call)
        self.run.avoid.discard(attempt.call.worker.id)
        attempt.close()

    def _is_finished(self) -> bool:
        progress = self.progress
        if progress.is_complete or progress.is_doubtful or self.run.crashes_workers:
            return True
        if progress.failure is not None and not self._can_fail_over():
            return True
        return progress.may_have_run and not self.run.route.may_repeat

    def _record_refusal_cause(self) -> None:
        """Keep the reason why no worker had room, for a refusal."""
        if self.reservation.code is not None:
            self.progress.code = self.reservation.code
        if self.reservation.detail:
            self.progress.detail = self.reservation.detail

    def _note_version_gone(self) -> None:
        self.progress.code = Code.VERSION_GONE
        self.progress.detail = f"no worker of software version {self.run.build} is left"

    async def _relay(self, attempt: StreamAttempt) -> bool:
        """Pass on what an attempt sends; return whether it has fallen silent, else it is over."""
        run = self.run
        try:
            while True:
                try:
                    step = await attempt.next_step()
                except AnswerLateError:
                    if run.time_left_s <= 0.0:
                        raise
                    if run.route.may_repeat:
                        return True
                    continue
                if await self._take(attempt, step):
                    break
        except CallerSlowError as error:
            self.progress.may_have_run = True
            attempt.call.record_slow_caller(error)
            self.progress.code, self.progress.detail = error.code, error.message
        except ExchangeError as error:
            self._end_attempt(attempt, error)
        self.race.attempts = []
        attempt.close()
        return False

    async def _take(self, attempt: StreamAttempt, step: StreamStep) -> bool:
        """Take in a step of the answer; return whether the attempt is over."""
        run = self.run
        if step.kind is StepKind.HEAD:
            self.prefill.mark_handle_used()
        elif step.kind is StepKind.EVENTS:
            if step.events:
                await self._write_events(attempt, step.events)
                if run.exchange.is_bounded and run.exchange.is_held_up:
                    await attempt.call.wait_for_caller()
                    attempt.mark_resumed()
        elif step.kind is StepKind.COMPLETE:
            self._complete(attempt)
        else:
            self._note_turned_down(attempt, step)
        return step.kind not in (StepKind.HEAD, StepKind.EVENTS)

    def _complete(self, attempt: StreamAttempt) -> None:
        run = self.run
        if not run.exchange.is_started:
            self._start_answer(attempt)
        attempt.call.record_success()
        self.progress.is_complete = True
        if attempt.resumed_after is None and run.first_byte_at is not None:
            run.state.demand(run.service).note_ended(
                run.now,
                output_tokens=run.facts.planned_output_tokens,
                seconds=run.now - run.first_byte_at,
            )

    def _end_attempt(self, attempt: StreamAttempt, error: ExchangeError) -> None:
        """Record that an attempt has failed, and close it."""
        progress = self.progress
        progress.may_have_run = True
        self.prefill.invalidate_handle()
        attempt.call.record_failure(error)
        progress.code, progress.detail = error.code, error.message
        self._check_origin(attempt.call)
        if error.code is Code.UPSTREAM_FAILED:
            self.reservation.cached_worker_id = attempt.call.worker.id
        attempt.close()

    def _note_turned_down(self, attempt: StreamAttempt, step: StreamStep) -> None:
        """Record an answer that is no stream: a rejection or an error status."""
        call = attempt.call
        if step.kind is StepKind.FAILED:
            self._record_error_status(attempt, step.body)
            return
        assert step.verdict is not None
        self.progress.code = Code.NO_CAPACITY
        self.progress.detail = f"worker rejection: {step.verdict.value}"
        if attempt.source is not None and step.verdict is Verdict.NOT_RUN:
            call.record_cache_fetch_failure(attempt.source)
            self.prefill.release_unused_handle()
        else:
            call.record_rejection(step.verdict)

    def _note_silent(self, attempt: StreamAttempt) -> None:
        """Record that the worker is silent: others are preferred, and may go on with the stream."""
        attempt.is_silent = True
        if attempt.head is None:
            # The worker may have fetched the prompt's cache, or may do so yet.
            self.prefill.invalidate_handle()
        attempt.call.record_silence(is_begun=attempt.head is not None)

    def _note_silence_ended(self, attempt: StreamAttempt) -> None:
        """Record which attempt the stream goes on at after a silence."""
        if attempt.head is not None:
            self.prefill.mark_handle_used()
        outcome = "went_on" if attempt.is_silent else "succeeded"
        self.run.state.metrics.silences.inc({"outcome": outcome})
        attempt.call.record_silence_ended(outcome)
        attempt.is_silent = False
        attempt.is_successor = False
        self.run.avoid.discard(attempt.call.worker.id)

    def _note_outlasted(self) -> None:
        """Record that workers were silent until the request's time was over."""
        for attempt in self.race.attempts:
            attempt.call.record_outlasted()
        self.progress.may_have_run = True
        self.progress.code = Code.UPSTREAM_SLOW
        names = ", ".join(attempt.call.worker.id for attempt in self.race.attempts)
        self.progress.detail = f"{names} silent until the deadline"

    def _check_origin(self, call: WorkerCall) -> None:
        """Give the stream up if its worker turns out to be another process than believed.

        The process that was listed has ended, and its connections with it: what was still open then
        may lead to the one that has its place.
        """
        run = self.run
        if run.build is None or not run.state.workers.has_changed_build(call.tracked):
            return
        run.doubt_origin()
        self.progress.is_doubtful = True
        self.progress.detail = f"{call.worker.id} was replaced by a worker of other software"

    def _can_fail_over(self) -> bool:
        """Whether another worker may go on with the stream than those that it is at."""
        run = self.run
        if not run.route.may_repeat or run.crashes_workers:
            return False
        excluded_ids = run.avoid | {attempt.call.worker.id for attempt in self.race.attempts}
        return any(
            tracked.worker.id not in excluded_ids for tracked in run.candidates(Stage.DECODE)
        )

    def _record_error_status(self, attempt: StreamAttempt, body: bytes) -> None:
        """Keep an error status as the caller's answer, unless another worker answers yet."""
        head = attempt.head
        assert head is not None
        call = attempt.call
        call.record_error_status(head.status)
        progress = self.progress
        progress.may_have_run = True
        progress.code = Code.UPSTREAM_FAILED
        progress.detail = f"worker answered with status {head.status}"
        if head.status not in NOT_RUN_STATUSES:
            progress.failure = FailureAnswer(
                worker=call.worker.id,
                status=head.status,
                headers=self.run.state.workers_speak.answer_headers(head),
                body=body,
            )

    def _send_failure(self, failure: FailureAnswer) -> None:
        """Pass a worker's error status on, as no other worker has answered."""
        self.run.exchange.send(failure.status, failure.headers, failure.body)
        self.run.record_answered(failure.status, failure.worker)

    async def _write_events(self, attempt: StreamAttempt, events: tuple[StreamEvent, ...]) -> None:
        progress = self.progress
        data: list[bytes] = []
        error: ConnectionBrokenError | None = None
        for event in events:
            if event.number is not None:
                last = progress.last_event
                if last is not None and event.number <= last:
                    error = ConnectionBrokenError(f"event {event.number} came after event {last}")
                    break
                progress.last_event = event.number
            progress.event_count += 1
            data.append(event.data)
        if error is not None and not data:
            raise error
        await self.run.begin_stream(attempt.call.worker)
        if not self.run.exchange.is_started:
            self._start_answer(attempt)
        exchange = self.run.exchange
        exchange.write(b"".join(data))
        if error is not None:
            raise error
        if exchange.is_held_up and not exchange.is_bounded:
            await within(exchange.drained(), self.run.time_left_s, "caller did not read")

    def _start_answer(self, attempt: StreamAttempt) -> None:
        run = self.run
        head = attempt.head
        assert head is not None
        run.first_byte_at = run.now
        self.progress.serving_worker = attempt.call.worker.id
        headers: HeaderList = run.state.workers_speak.answer_headers(head)
        if run.is_forwarded and run.origin is not None:
            run.exchange.added_headers.append(origin_header(run.origin))
        run.exchange.start(head.status, head.reason, headers)

    def _refuse(self) -> None:
        run = self.run
        progress = self.progress
        if not progress.may_have_run:
            run.refuse(
                _not_run_code(progress.code),
                Ran.NOT_RUN,
                progress.detail,
                expected_wait_s=0.0 if progress.may_retry_at_once else None,
            )
            return
        is_late = run.time_left_s <= 0.0
        code = Code.UPSTREAM_SLOW if is_late else Code.UPSTREAM_FAILED
        run.refuse(code, Ran.UNKNOWN, progress.detail)


def _not_run_code(code: Code) -> Code:
    return Code.NO_CAPACITY if code in (Code.UPSTREAM_SLOW, Code.UPSTREAM_FAILED) else code


async def run_stream(run: RequestRun) -> None:
    """Serve one streaming request, and log it if the caller leaves."""
    await StreamRun(run=run).serve()
