"""Requests whose answer is a stream of events: prefill, decode, and going on elsewhere."""

from __future__ import annotations

import asyncio
from dataclasses import dataclass

from croftchute.errors import Code, Ran
from croftchute.forwarding.deadline import within
from croftchute.forwarding.decision_log import Decision
from croftchute.forwarding.dialect import Hold, PrefillHandle, Send, Verdict
from croftchute.forwarding.event_stream import EventSplitter, StreamEvent
from croftchute.forwarding.failures import ConnectFailedError, ConnectionBrokenError, ExchangeError
from croftchute.forwarding.http_client import ResponseHead
from croftchute.forwarding.kept_prompts import find_keeper
from croftchute.forwarding.part_reader import PartReader
from croftchute.forwarding.prompt_reader import PromptReader
from croftchute.forwarding.request_run import RequestRun
from croftchute.forwarding.worker_call import WorkerCall
from croftchute.forwarding.worker_control import drop_hold, take_hold
from croftchute.systems import patience
from croftchute.systems.patience import ReturnWay
from croftchute.systems.prefill_queue import ReadingTimes
from croftchute.systems.room_forecast import RoomWait
from croftchute.systems.worker_choice import ChoiceInput
from croftchute.systems.worker_table import WorkerBelief
from croftchute.tables.routing import EngineTraits, HeaderList, Stage


@dataclass(kw_only=True)
class StreamProgress:
    """How far the stream has come at the caller, and what is known of its attempts."""

    last_event: int | None
    events: int = 0
    may_have_run: bool = False
    is_whole: bool = False
    is_answered: bool = False
    code: Code = Code.NO_UPSTREAM
    detail: str = "no worker is known to be usable"
    started_worker: str = ""


class StreamRun:
    """One streaming request: at most one prefill ahead, then attempts at decode workers."""

    def __init__(self, *, run: RequestRun) -> None:
        self.run = run
        self.progress = StreamProgress(last_event=run.facts.resume_after)
        self.reader = PromptReader(run=run)
        self.unused_hold: Hold | None = None
        self._kept_at: str | None = None
        self._resumed_in_place = False

    async def serve(self) -> None:
        """Run the stream to its end, or give it up."""
        try:
            await self._attempts()
        finally:
            self._free_unused()
        progress = self.progress
        if progress.is_answered:
            return
        if progress.is_whole:
            self.run.exchange.finish()
            self.run.answered(200, progress.started_worker)
        elif self.run.exchange.is_started:
            self.run.broken(progress.detail)
        else:
            self._refuse()

    async def _attempts(self) -> None:
        run = self.run
        facts = run.facts
        engine = run.engine
        if engine is not None and not patience.can_ever_fit(facts.prompt_tokens, engine.kv_tokens):
            self.progress.code = Code.PROMPT_TOO_LONG
            self.progress.detail = (
                f"a prompt of {facts.prompt_tokens} tokens; an engine keeps {engine.kv_tokens}"
            )
            return
        run.state.demand(run.service).note_ask(
            run.now,
            prompt_tokens=facts.prompt_tokens,
            output_tokens=facts.likely_output,
            is_large=run.is_large,
        )
        if facts.resume_after is not None:
            self.reader.keeper = self._kept_at = await find_keeper(run)
        while run.time_left_s > 0.0 and not self._is_over():
            found = await self._reserve()
            if found is None:
                return
            source = await self.reader.read_for(found[0])
            if len(run.workers_sent_to) >= run.route.max_attempts and (
                found[0].worker.id not in run.workers_sent_to
            ):
                return
            if not run.may_send_again():
                return
            await self._decode(*found, source)

    def _is_over(self) -> bool:
        progress = self.progress
        if progress.is_whole or progress.is_answered or self.run.ends_workers:
            return True
        return progress.may_have_run and not self.run.route.may_repeat

    # Room at a decode worker.

    async def _reserve(self) -> tuple[WorkerBelief, ChoiceInput] | None:
        """A decode worker that keeps room for the request, waiting for a while if all are full."""
        run = self.run
        is_begun = run.exchange.is_started
        pause_s = patience.room_poll(
            run.route, run.state.ways.returns, before_s=run.before_s, is_begun=is_begun
        )
        asked_at = run.now
        has_waited = False
        while True:
            found = await self._ask_for_room()
            if found is not None:
                if not is_begun:
                    run.state.demand(run.service).note_granted(run.now, is_large=run.is_large)
                if has_waited:
                    run.state.room(run.service).note_granted(run.now)
                return found
            if not run.full or not self._may_wait(asked_at, is_begun=is_begun):
                return None
            await asyncio.sleep(pause_s)
            has_waited = True
            run.state.room(run.service).note_waited(pause_s, run.now)
            run.full.clear()

    def _may_wait(self, asked_at: float, *, is_begun: bool) -> bool:
        """Whether to go on waiting for room: it will likely come while the caller wants it."""
        run = self.run
        if is_begun:
            return run.now - asked_at < min(patience.RESUME_WAIT_S, run.time_left_s)
        if run.state.is_ending(run.now):
            return False
        mean_wait_s = run.state.mean_room_wait_s(run.service)
        pace = run.state.prefill_pace(run.service)
        wait = RoomWait(
            elapsed_s=run.now - run.started_at,
            time_left_s=run.time_left_s,
            reading_s=pace.reading_s(run.facts.prompt_tokens),
            before_s=run.before_s if run.state.ways.returns is ReturnWay.IN_TIME_FIRST else 0.0,
        )
        if wait.is_worthwhile(run.route, mean_wait_s=mean_wait_s):
            return True
        run.log(
            Decision.WAIT_ENDED,
            outcome="room is not expected in time",
            mean_wait_s=mean_wait_s,
            reading_s=round(wait.reading_s, 3),
            tokens=run.facts.prompt_tokens,
        )
        return False

    async def _ask_for_room(self) -> tuple[WorkerBelief, ChoiceInput] | None:
        """Ask the decode workers, the cheapest first; None if none has room."""
        run = self.run
        engine = run.engine
        if engine is not None and (in_place := self._same_worker()) is not None:
            belief, chosen = in_place
            if await self._hold_at(belief, chosen, engine):
                return in_place
        while True:
            found = run.choose(Stage.DECODE)
            if found is None or engine is None or engine.hold_ttl_s <= 0.0:
                return found
            if found[0].full_until > run.now:
                run.full.add(found[0].worker.id)
                self._note_full(found[0])
                continue
            if await self._hold_at(*found, engine):
                return found

    def _same_worker(self) -> tuple[WorkerBelief, ChoiceInput] | None:
        """The worker that the stream ran at: if it lives, it still keeps the prompt's cache."""
        worker_id, self._kept_at = self._kept_at, None
        if worker_id is None or self._resumed_in_place:
            return None
        self._resumed_in_place = True
        run = self.run
        usable = run.state.workers.usable(run.service, run.now, stage=Stage.DECODE)
        for belief in usable:
            if belief.worker.id == worker_id:
                return belief, run.describe(belief, candidates=1)
        return None

    async def _hold_at(
        self, belief: WorkerBelief, chosen: ChoiceInput, engine: EngineTraits
    ) -> bool:
        run = self.run
        facts = run.facts
        tokens = patience.hold_tokens(
            facts.prompt_tokens,
            facts.output_tokens,
            facts.expected_output,
            engine.kv_tokens,
            run.state.ways.hold,
        )
        outcome = "granted"
        try:
            self.unused_hold = await take_hold(run.state, belief.worker, tokens, engine.hold_ttl_s)
            if self.unused_hold is None:
                outcome = "no_room"
                run.full.add(belief.worker.id)
                run.state.workers.note_full(belief.worker.id, run.now + patience.FULL_FOR_S)
                self._note_full(belief)
        except ExchangeError as error:
            outcome = error.code.value
            # A late one may have room once its link is less busy: asked again like a full one.
            (run.full if error.code is Code.UPSTREAM_SLOW else run.avoid).add(belief.worker.id)
            run.state.workers.note_failure(belief.worker.id, 1.0, run.now)
            self.progress.detail = error.message
        run.log(
            Decision.HOLD_ASKED,
            outcome=outcome,
            worker=belief.worker.id,
            tokens=tokens,
            cost=chosen.cost,
            own_tokens=belief.tokens_in_flight,
            failures=chosen.failures,
        )
        return self.unused_hold is not None

    def _note_full(self, belief: WorkerBelief) -> None:
        self.progress.code = Code.NO_CAPACITY
        self.progress.detail = f"no room at {belief.worker.id} and others"

    def _free_unused(self) -> None:
        self.reader.free_unused()
        self._drop_unused_hold()

    def _drop_unused_hold(self) -> None:
        if self.unused_hold is not None:
            state = self.run.state
            state.spawn(drop_hold(state, self.unused_hold, self.run.facts.id))
            self.unused_hold = None

    # Decode.

    async def _decode(
        self, belief: WorkerBelief, chosen: ChoiceInput, source: PrefillHandle | None
    ) -> None:
        run = self.run
        progress = self.progress
        send = Send(
            worker=belief.worker,
            time_left_s=run.time_left_s,
            priority=run.priority,
            source=source,
            hold=self.unused_hold,
            resume_after=progress.last_event,
        )
        call = WorkerCall(run=run, belief=belief, send=send, chosen=chosen)
        try:
            await call.open()
            self.unused_hold = None
            run.arrivals += 1
            run.workers_sent_to.add(belief.worker.id)
            await self._take(call, source)
        except ConnectFailedError as error:
            self._drop_unused_hold()
            run.connect_failures += 1
            call.failed(error)
            progress.code, progress.detail = error.code, error.message
        except ExchangeError as error:
            progress.may_have_run = True
            self.reader.doubt()
            call.failed(error)
            progress.code, progress.detail = error.code, error.message
            if error.code is Code.UPSTREAM_FAILED:
                self._kept_at = belief.worker.id
        finally:
            call.close()

    async def _take(self, call: WorkerCall, source: PrefillHandle | None) -> None:
        run = self.run
        wait_s = run.time_left_s
        if self._may_go_elsewhere():
            wait_s = self._first_event_patience(source)
        head = await call.head(wait_s)
        verdict = run.state.workers_speak.verdict(head)
        if verdict is Verdict.ANSWERED:
            if not run.state.workers_speak.is_genuine(head):
                raise ConnectionBrokenError("a success without the worker's proof")
            self.reader.taken()
            await self._pass_on(call, head, wait_s)
            return
        body = await call.body(run.time_left_s)
        if verdict is Verdict.FAILED:
            self._take_failure(call, head, body)
            return
        self.progress.code = Code.NO_CAPACITY
        self.progress.detail = f"worker said {verdict.value}"
        if source is not None and verdict is Verdict.NOT_RUN:
            call.lacked(source)
            self._free_unused()
        else:
            call.rejected(verdict)

    def _first_event_patience(self, source: PrefillHandle | None) -> float:
        run = self.run
        if source is not None:
            return patience.first_event_patience(run.route, time_left_s=run.time_left_s)
        times = ReadingTimes.predict(
            prompt_tokens=run.facts.prompt_tokens,
            pace=run.state.prefill_pace(run.service),
            wait_s=0.0,
        )
        return patience.own_reading_patience(
            run.route, predicted_s=times.own_s, time_left_s=run.time_left_s
        )

    def _may_go_elsewhere(self) -> bool:
        run = self.run
        has_attempts = len(run.workers_sent_to) < run.route.max_attempts
        return run.route.may_repeat and has_attempts and run.has_other_worker(Stage.DECODE)

    def _take_failure(self, call: WorkerCall, head: ResponseHead, body: bytes) -> None:
        call.faulty(head.status)
        progress = self.progress
        progress.may_have_run = True
        progress.code = Code.UPSTREAM_FAILED
        progress.detail = f"worker answered {head.status}"
        if self._may_go_elsewhere() or self.run.exchange.is_started:
            return
        if head.status in (408, 421, 429, 503):
            return
        headers = self.run.state.workers_speak.answer_headers(head)
        self.run.exchange.send(head.status, headers, body)
        self.run.answered(head.status, call.worker.id)
        progress.is_answered = True

    async def _pass_on(self, call: WorkerCall, head: ResponseHead, first_wait_s: float) -> None:
        run = self.run
        progress = self.progress
        splitter = EventSplitter()
        is_resumed = progress.last_event is not None
        parts = PartReader(
            run=run,
            call=call,
            first_wait_s=first_wait_s,
            may_go_elsewhere=self._may_go_elsewhere,
        )
        while part := await parts.next():
            events = splitter.feed(part)
            if events:
                await self._write(call, head, events)
        if splitter.leftover:
            raise ConnectionBrokenError("stream ended inside an event")
        if not run.exchange.is_started:
            self._start(call, head)
        call.succeeded()
        progress.is_whole = True
        if not is_resumed and run.first_byte_at is not None:
            run.state.demand(run.service).note_ended(
                run.now,
                output_tokens=run.facts.likely_output,
                seconds=run.now - run.first_byte_at,
            )

    async def _write(self, call: WorkerCall, head: ResponseHead, events: list[StreamEvent]) -> None:
        progress = self.progress
        data: list[bytes] = []
        for event in events:
            if event.number is not None:
                last = progress.last_event
                if last is not None and event.number <= last:
                    raise ConnectionBrokenError(f"event {event.number} after event {last}")
                progress.last_event = event.number
            progress.events += 1
            data.append(event.data)
        if not self.run.exchange.is_started:
            self._start(call, head)
        exchange = self.run.exchange
        exchange.write(b"".join(data))
        if exchange.is_held_up:
            await within(exchange.drained(), self.run.time_left_s, "caller did not read")

    def _start(self, call: WorkerCall, head: ResponseHead) -> None:
        run = self.run
        run.first_byte_at = run.now
        self.progress.started_worker = call.worker.id
        headers: HeaderList = run.state.workers_speak.answer_headers(head)
        run.exchange.start(head.status, head.reason, headers)

    def _refuse(self) -> None:
        run = self.run
        progress = self.progress
        if not progress.may_have_run:
            run.refuse(_not_run_code(progress.code), Ran.NOT_RUN, progress.detail)
            return
        is_late = run.time_left_s <= 0.0
        code = Code.UPSTREAM_SLOW if is_late else Code.UPSTREAM_FAILED
        run.refuse(code, Ran.UNKNOWN, progress.detail)


def _not_run_code(code: Code) -> Code:
    return Code.NO_CAPACITY if code in (Code.UPSTREAM_SLOW, Code.UPSTREAM_FAILED) else code


async def run_stream(run: RequestRun) -> None:
    """Serve one streaming request."""
    stream = StreamRun(run=run)
    try:
        await stream.serve()
    except asyncio.CancelledError:
        kind = Decision.CALLER_LEFT if run.exchange.caller_has_left else Decision.REQUEST_BROKEN
        run.log(kind, events=stream.progress.events, worker=run.last_worker)
        raise
