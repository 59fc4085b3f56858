"""Prefill of a streaming request's prompt at a prefill worker, and the handle to its result."""

from __future__ import annotations

from croftchute.errors import MessageError
from croftchute.forwarding.decision_log import Decision
from croftchute.forwarding.dialect import PrefillHandle, Send, Verdict
from croftchute.forwarding.http.failures import (
    AnswerLateError,
    ConnectFailedError,
    ConnectionBrokenError,
    ExchangeError,
)
from croftchute.forwarding.workers.completion_time_selector import (
    estimate_prefill,
    selects_by_completion_time,
)
from croftchute.forwarding.workers.load_and_pace import record_prefill_pace
from croftchute.forwarding.workers.request_run import RequestRun
from croftchute.forwarding.workers.worker_call import WorkerCall
from croftchute.forwarding.workers.worker_control import release_handle
from croftchute.systems import timeouts
from croftchute.systems.prefill_queue import PrefillEstimate
from croftchute.systems.tracked_worker import TrackedWorker
from croftchute.systems.worker_choice import ChoiceRecord
from croftchute.tables.routing import Stage

MAX_PREFILL_ATTEMPTS = 2
"""Most prefill workers tried for one prompt; a second one only if the first surely ran nothing."""

HANDLE_USABLE_FRACTION = 0.8
"""Fraction of a handle's lifetime within which another decode worker may still fetch it."""


class PromptPrefill:
    """Prefills a prompt at most once, and keeps the handle until a decode worker has fetched it."""

    def __init__(self, *, run: RequestRun) -> None:
        self.run = run
        self.unused_handle: PrefillHandle | None = None
        self.cached_worker_id: str | None = None
        self._handle_expires_at = 0.0
        self._has_started = False
        self._rejections = 0

    async def prefill_for(self, decode: TrackedWorker) -> PrefillHandle | None:
        """Return a handle for a decode worker; None if that worker prefills the prompt itself.

        The decode worker prefills if it has the prompt in its cache (``cached_worker_id``) or if
        that is faster. Otherwise a prefill worker does, once. A handle that was not fetched is
        offered to the next decode worker until shortly before it expires.
        """
        run = self.run
        if decode.worker.id == self.cached_worker_id:
            return None
        if self._has_started or decode.worker.stage is None:
            return self.unused_handle if run.now < self._handle_expires_at else None
        self._has_started = True
        for number in range(MAX_PREFILL_ATTEMPTS):
            if run.crashes_workers:
                return None
            if not await run.may_use_prefill_workers():
                run.log(Decision.READ_AT_DECODE, outcome="reading it ends workers")
                return None
            found = await self._choose(decode, may_probe=number == 0)
            if found is None or (number > 0 and not self._may_retry()):
                return None
            if not self._is_prefill_worker_faster(*found, decode):
                return None
            # Unless a worker takes this call up, the one behind it is a repeat.
            if not run.claim_arrival(calls_behind=1):
                run.log(Decision.READ_AT_DECODE, outcome="retry budget spent")
                return None
            if not await run.acquire_permit(found[0]):
                run.withdraw_arrival()
                continue
            rejections = self._rejections
            handle = await self._prefill_at(*found)
            if handle is not None or self._rejections == rejections:
                return handle
        return None

    async def _choose(
        self, decode: TrackedWorker, *, may_probe: bool
    ) -> tuple[TrackedWorker, ChoiceRecord] | None:
        """Choose a prefill worker near a decode worker; probe at most once for a request."""
        run = self.run
        near = decode.worker.zone
        if not selects_by_completion_time(run.state, run.service):
            return run.choose(Stage.PREFILL, near=near)
        permit_request = run.permit_request() if may_probe else None
        selector = run.completion_time_selector(Stage.PREFILL, near=near)
        return await selector.select_prefill(
            run.candidates(Stage.PREFILL), permit_request=permit_request
        )

    def mark_handle_used(self) -> None:
        """Record that a decode worker has fetched the handle."""
        self.unused_handle = None

    def invalidate_handle(self) -> None:
        """Offer the handle to no other worker: a decode worker may have fetched it."""
        self._handle_expires_at = 0.0

    def release_unused_handle(self) -> None:
        """Release the handle if no decode worker fetched it."""
        if self.unused_handle is not None:
            state = self.run.state
            state.spawn(release_handle(state, self.unused_handle, self.run.facts.id))
            self.unused_handle = None

    def _may_retry(self) -> bool:
        """Whether another prefill worker may be asked after one that certainly ran nothing."""
        run = self.run
        if run.now - run.started_at > timeouts.prefill_retry_limit_s(run.route):
            return False
        attempts = run.prior_attempts + len(run.workers_sent_to)
        return run.deliveries == 0 or attempts + 1 < run.route.max_attempts

    def _estimate_prefill(
        self, prefill: TrackedWorker, chosen: ChoiceRecord, decode: TrackedWorker
    ) -> PrefillEstimate:
        run = self.run
        tokens = run.facts.prompt_tokens
        if chosen.end is not None:
            return estimate_prefill(chosen.end, decode, state=run.state, prompt_tokens=tokens)
        return PrefillEstimate.predict(
            prompt_tokens=tokens,
            timing=run.state.prefill_pace(run.service),
            wait_s=run.state.prefill_wait_s(prefill),
        )

    def _is_prefill_worker_faster(
        self, prefill: TrackedWorker, chosen: ChoiceRecord, decode: TrackedWorker
    ) -> bool:
        """Whether the prefill worker is reachable and its queue short enough to be faster."""
        run = self.run
        estimate = self._estimate_prefill(prefill, chosen, decode)
        is_unreachable = run.now < prefill.unreachable_until
        if not is_unreachable and estimate.prefers_remote(target_s=run.route.target_s):
            return True
        run.log(
            Decision.READ_AT_DECODE,
            outcome="prefill worker unreachable" if is_unreachable else "prefill queue too long",
            worker=decode.worker.id,
            prefill=prefill.worker.id,
            wait_ms=round(estimate.wait_s * 1000),
            ahead_ms=round(estimate.remote_s * 1000),
            own_ms=round(estimate.local_s * 1000),
            **(chosen.end.log_fields() if chosen.end is not None else {}),
        )
        return False

    async def _prefill_at(
        self, tracked: TrackedWorker, chosen: ChoiceRecord
    ) -> PrefillHandle | None:
        run = self.run
        send = Send(
            worker=tracked.worker,
            time_left_s=run.time_left_s,
            priority=run.rank,
            is_prefill=True,
        )
        call = WorkerCall(run=run, tracked=tracked, send=send, chosen=chosen)
        expected_s = chosen.end.completion_s if chosen.end is not None else 0.0
        tracked.queue.note_sent(
            run.facts.id, run.facts.prompt_tokens, run.now, expected_s=expected_s
        )
        try:
            await call.open()
            return await self._receive_handle(call)
        except ConnectFailedError as error:
            self._rejections += 1
            run.withdraw_arrival()
            run.state.permits.release(tracked.worker)
            call.record_failure(error)
        except AnswerLateError as error:
            # A call that only reads the prompt is no attempt; that it may count is paid for.
            call.record_failure(error)
        except ExchangeError as error:
            run.deliveries += 1
            call.record_failure(error)
        except MessageError as error:
            run.deliveries += 1
            call.record_failure(ConnectionBrokenError(error.message))
        finally:
            tracked.queue.note_dropped(run.facts.id)
            call.close()
        return None

    async def _receive_handle(self, call: WorkerCall) -> PrefillHandle | None:
        run = self.run
        wait_s = timeouts.prefill_timeout_s(run.route, time_left_s=run.time_left_s)
        head = await call.read_head(wait_s)
        body = await call.read_body(wait_s)
        verdict = run.state.workers_speak.verdict(head)
        if verdict is not Verdict.ANSWERED:
            self._record_rejection(call, verdict, head.status)
            return None
        handle = run.state.workers_speak.handle(body, call.worker)
        run.note_prompt_read()
        call.record_success()
        taken_s = run.now - call.opened_at
        end = call.chosen.end
        working_s = taken_s - end.wait_s if end is not None and end.wait_s < taken_s else taken_s
        # The fitted pace is for an engine of usual speed, so this engine's own pace is divided out.
        usual_s = working_s / end.pace if end is not None else working_s
        run.state.demand(run.service).note_prefill(run.facts.prompt_tokens, usual_s)
        timing = run.state.prefill_pace(run.service)
        call.tracked.queue.note_answered(run.facts.id, timing=timing, now=run.now)
        record_prefill_pace(run.state, call.worker, run.facts.prompt_tokens, working_s)
        self.unused_handle = handle
        if run.engine is not None:
            self._handle_expires_at = run.now + HANDLE_USABLE_FRACTION * run.engine.handle_ttl_s
        return handle

    def _record_rejection(self, call: WorkerCall, verdict: Verdict, status: int) -> None:
        self.run.deliveries += 1
        if verdict is Verdict.FAILED:
            call.record_error_status(status)
            return
        self.run.workers_sent_to.add(call.worker.id)
        self._rejections += 1
        call.record_rejection(verdict)
