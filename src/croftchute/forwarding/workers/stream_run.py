"""Requests whose answer is a stream of events: prefill, decode and failover."""

from __future__ import annotations

import asyncio
from dataclasses import dataclass

from croftchute.errors import Code, Ran
from croftchute.forwarding.decision_log import Decision
from croftchute.forwarding.dialect import PrefillHandle, Send, Verdict
from croftchute.forwarding.http.deadline import within
from croftchute.forwarding.http.event_stream import EventSplitter, StreamEvent
from croftchute.forwarding.http.failures import (
    CallerSlowError,
    ConnectFailedError,
    ConnectionBrokenError,
    ExchangeError,
)
from croftchute.forwarding.http.http_client import ResponseHead
from croftchute.forwarding.origins import origin_header
from croftchute.forwarding.workers.answer_completion import finish_answer
from croftchute.forwarding.workers.chunk_reader import ChunkReader
from croftchute.forwarding.workers.decode_reservation import DecodeReservation
from croftchute.forwarding.workers.prompt_cache_lookup import find_cached_worker
from croftchute.forwarding.workers.prompt_prefill import PromptPrefill
from croftchute.forwarding.workers.request_run import RequestRun
from croftchute.forwarding.workers.worker_call import WorkerCall
from croftchute.forwarding.workers.worker_control import is_same_process
from croftchute.systems import timeouts
from croftchute.systems.prefill_queue import PrefillEstimate
from croftchute.systems.tracked_worker import TrackedWorker
from croftchute.systems.worker_choice import ChoiceRecord
from croftchute.tables.routing import HeaderList, Stage


@dataclass(kw_only=True)
class StreamProgress:
    """How much of the stream the caller has received, and the state of the attempts.

    ``is_doubtful``: the worker's process was replaced by one with other software while it sent the
    stream, and either may have sent the events.
    ``may_retry_at_once``: a rejected prefill used up the last attempt. The caller's next try needs
    no prefill worker, so it may come at once.
    """

    last_event: int | None
    event_count: int = 0
    may_have_run: bool = False
    is_complete: bool = False
    is_answered: bool = False
    code: Code = Code.NO_UPSTREAM
    detail: str = "no usable worker is known"
    serving_worker: str = ""
    may_retry_at_once: bool = False
    is_doubtful: bool = False


class StreamRun:
    """One streaming request: at most one separate prefill, then attempts at decode workers."""

    def __init__(self, *, run: RequestRun) -> None:
        self.run = run
        self.progress = StreamProgress(last_event=run.facts.resume_after)
        self.prefill = PromptPrefill(run=run)
        self.reservation = DecodeReservation(run=run)

    async def serve(self) -> None:
        """Run the stream to its end, or refuse or abort it."""
        try:
            await self._run_attempts()
        finally:
            self._release_unused()
        progress = self.progress
        if progress.is_answered:
            return
        if progress.is_complete:
            self.run.exchange.finish()
            await finish_answer(self.run, 200, progress.serving_worker)
        elif self.run.exchange.is_started:
            is_left = not progress.is_doubtful and self.run.withhold_rest(
                progress.detail, last_event=progress.last_event
            )
            if not is_left:
                self.run.abort_answer(
                    progress.detail, events=progress.event_count, last_event=progress.last_event
                )
        else:
            self._refuse()

    async def _run_attempts(self) -> None:
        run = self.run
        facts = run.facts
        engine = run.engine
        if engine is not None and not timeouts.can_ever_fit(facts.prompt_tokens, engine.kv_tokens):
            self.progress.code = Code.PROMPT_TOO_LONG
            self.progress.detail = (
                f"prompt has {facts.prompt_tokens} tokens; an engine holds {engine.kv_tokens}"
            )
            return
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
        while run.time_left_s > 0.0 and not self._is_finished():
            if run.lacks_build:
                self.progress.code = Code.VERSION_GONE
                self.progress.detail = f"no worker of software version {run.build} is left"
                return
            found = await self.reservation.reserve()
            self._record_refusal_cause()
            if found is None:
                return
            source = await self.prefill.prefill_for(found[0])
            if run.state.workers.advice.backoff_left_s(found[0].worker.id, run.now) > 0.0:
                # The worker asked for backoff during the prefill: reserve at another one.
                self.reservation.release_unused()
                continue
            if run.build is not None and not await is_same_process(run.state, found[0].worker):
                run.avoid.add(found[0].worker.id)
                self.reservation.release_unused()
                continue
            if not run.has_attempts_left and (found[0].worker.id not in run.workers_sent_to):
                self.progress.may_retry_at_once = self._are_prefill_workers_in_backoff()
                return
            if not run.spend_retry_budget():
                self.progress.detail = f"no repeat is allowed: {self.progress.detail}"
                return
            await self._decode(*found, source)

    def _is_finished(self) -> bool:
        progress = self.progress
        if progress.is_complete or progress.is_answered or self.run.crashes_workers:
            return True
        if progress.is_doubtful:
            return True
        return progress.may_have_run and not self.run.route.may_repeat

    def _are_prefill_workers_in_backoff(self) -> bool:
        """Whether only decode workers prefill, as the prefill workers are in backoff."""
        run = self.run
        return run.state.workers.backoff_left_s(run.service, run.now, stage=Stage.PREFILL) > 0.0

    def _record_refusal_cause(self) -> None:
        """Keep the reason why no worker had room, for a refusal."""
        if self.reservation.code is not None:
            self.progress.code = self.reservation.code
        if self.reservation.detail:
            self.progress.detail = self.reservation.detail

    def _release_unused(self) -> None:
        self.prefill.release_unused_handle()
        self.reservation.release_unused()

    async def _decode(
        self, tracked: TrackedWorker, chosen: ChoiceRecord, source: PrefillHandle | None
    ) -> None:
        run = self.run
        progress = self.progress
        send = Send(
            worker=tracked.worker,
            time_left_s=run.time_left_s,
            priority=run.rank,
            source=source,
            hold=self.reservation.hold,
            resume_after=progress.last_event,
        )
        call = WorkerCall(run=run, tracked=tracked, send=send, chosen=chosen)
        try:
            await call.open()
            self.reservation.mark_used()
            run.deliveries += 1
            run.workers_sent_to.add(tracked.worker.id)
            await self._receive_answer(call, source)
        except ConnectFailedError as error:
            self.reservation.release_unused()
            run.connect_failures += 1
            call.record_failure(error)
            progress.code, progress.detail = error.code, error.message
        except CallerSlowError as error:
            progress.may_have_run = True
            call.record_slow_caller(error)
            progress.code, progress.detail = error.code, error.message
        except ExchangeError as error:
            progress.may_have_run = True
            self.prefill.invalidate_handle()
            call.record_failure(error)
            progress.code, progress.detail = error.code, error.message
            self._check_origin(call)
            if error.code is Code.UPSTREAM_FAILED:
                self.reservation.cached_worker_id = tracked.worker.id
        finally:
            call.close()

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

    async def _receive_answer(self, call: WorkerCall, source: PrefillHandle | None) -> None:
        run = self.run
        wait_s = run.time_left_s
        if self._can_fail_over():
            wait_s = self._first_event_timeout_s(source)
        head = await call.read_head(wait_s)
        verdict = run.state.workers_speak.verdict(head)
        if verdict is Verdict.ANSWERED:
            if not run.state.workers_speak.is_genuine(head):
                raise ConnectionBrokenError("success response lacks proof that the worker sent it")
            self.prefill.mark_handle_used()
            await self._relay_stream(call, head, wait_s)
            return
        body = await call.read_body(run.time_left_s)
        if verdict is Verdict.FAILED:
            self._handle_failure(call, head, body)
            return
        self.progress.code = Code.NO_CAPACITY
        self.progress.detail = f"worker rejection: {verdict.value}"
        if source is not None and verdict is Verdict.NOT_RUN:
            call.record_cache_fetch_failure(source)
            self._release_unused()
        else:
            call.record_rejection(verdict)

    def _first_event_timeout_s(self, source: PrefillHandle | None) -> float:
        run = self.run
        if source is not None:
            return timeouts.first_event_timeout_s(run.route, time_left_s=run.time_left_s)
        estimate = PrefillEstimate.predict(
            prompt_tokens=run.facts.prompt_tokens,
            timing=run.state.prefill_pace(run.service),
            wait_s=0.0,
        )
        return timeouts.decode_reading_timeout_s(
            run.route, predicted_s=estimate.local_s, time_left_s=run.time_left_s
        )

    def _can_fail_over(self) -> bool:
        run = self.run
        return run.route.may_repeat and run.has_attempts_left and run.has_other_worker(Stage.DECODE)

    def _handle_failure(self, call: WorkerCall, head: ResponseHead, body: bytes) -> None:
        call.record_error_status(head.status)
        progress = self.progress
        progress.may_have_run = True
        progress.code = Code.UPSTREAM_FAILED
        progress.detail = f"worker answered with status {head.status}"
        if self._can_fail_over() or self.run.exchange.is_started:
            return
        if head.status in (408, 421, 429, 503):
            return
        headers = self.run.state.workers_speak.answer_headers(head)
        self.run.exchange.send(head.status, headers, body)
        self.run.record_answered(head.status, call.worker.id)
        progress.is_answered = True

    async def _relay_stream(
        self, call: WorkerCall, head: ResponseHead, first_chunk_timeout_s: float
    ) -> None:
        run = self.run
        progress = self.progress
        splitter = EventSplitter()
        is_resumed = progress.last_event is not None
        chunks = ChunkReader(
            run=run,
            call=call,
            first_chunk_timeout_s=first_chunk_timeout_s,
            can_fail_over=self._can_fail_over,
        )
        while chunk := await chunks.read():
            events = splitter.feed(chunk)
            if events:
                await self._write_events(call, head, events)
                if self.run.exchange.is_bounded and self.run.exchange.is_held_up:
                    await call.wait_for_caller()
                    chunks.mark_resumed()
        if splitter.leftover:
            raise ConnectionBrokenError("stream ended in the middle of an event")
        if not run.exchange.is_started:
            self._start_answer(call, head)
        call.record_success()
        progress.is_complete = True
        if not is_resumed and run.first_byte_at is not None:
            run.state.demand(run.service).note_ended(
                run.now,
                output_tokens=run.facts.planned_output_tokens,
                seconds=run.now - run.first_byte_at,
            )

    async def _write_events(
        self, call: WorkerCall, head: ResponseHead, events: list[StreamEvent]
    ) -> None:
        progress = self.progress
        data: list[bytes] = []
        for event in events:
            if event.number is not None:
                last = progress.last_event
                if last is not None and event.number <= last:
                    raise ConnectionBrokenError(f"event {event.number} came after event {last}")
                progress.last_event = event.number
            progress.event_count += 1
            data.append(event.data)
        self.run.begin_stream(call.worker)
        if not self.run.exchange.is_started:
            self._start_answer(call, head)
        exchange = self.run.exchange
        exchange.write(b"".join(data))
        if exchange.is_held_up and not exchange.is_bounded:
            await within(exchange.drained(), self.run.time_left_s, "caller did not read")

    def _start_answer(self, call: WorkerCall, head: ResponseHead) -> None:
        run = self.run
        run.first_byte_at = run.now
        self.progress.serving_worker = call.worker.id
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
    stream = StreamRun(run=run)
    try:
        await stream.serve()
    except asyncio.CancelledError:
        has_left = run.exchange.caller_has_left and not run.exchange.is_cut_off
        kind = Decision.CALLER_LEFT if has_left else Decision.REQUEST_BROKEN
        run.log(kind, events=stream.progress.event_count, worker=run.last_worker)
        raise
