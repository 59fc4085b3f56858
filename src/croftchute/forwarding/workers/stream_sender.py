"""Sends one stream to a decode worker that has room for it."""

from __future__ import annotations

import asyncio
from enum import Enum, auto

from croftchute.errors import Code
from croftchute.forwarding.dialect import PrefillHandle, Send
from croftchute.forwarding.http.failures import ConnectFailedError, ExchangeError
from croftchute.forwarding.workers.decode_reservation import DecodeReservation
from croftchute.forwarding.workers.prompt_prefill import PromptPrefill
from croftchute.forwarding.workers.request_run import RequestRun
from croftchute.forwarding.workers.stream_attempt import StreamAttempt
from croftchute.forwarding.workers.stream_progress import StreamProgress
from croftchute.forwarding.workers.worker_call import WorkerCall
from croftchute.forwarding.workers.worker_control import is_same_process
from croftchute.systems import timeouts
from croftchute.systems.prefill_queue import PrefillEstimate
from croftchute.systems.tracked_worker import TrackedWorker
from croftchute.systems.worker_choice import ChoiceRecord
from croftchute.tables.routing import Stage, Worker


class Unsent(Enum):
    """Why a request was not sent to a worker that had room for it.

    ``TRY_AGAIN``: another worker may take it. ``NO_REPEAT``: it may be sent to no further one.
    """

    TRY_AGAIN = auto()
    NO_REPEAT = auto()


class StreamSender:
    """Begins attempts of one stream, each at a worker where room is reserved."""

    def __init__(
        self,
        *,
        run: RequestRun,
        progress: StreamProgress,
        prefill: PromptPrefill,
        reservation: DecodeReservation,
    ) -> None:
        self.run = run
        self.progress = progress
        self.prefill = prefill
        self.reservation = reservation

    async def send_to(
        self, tracked: TrackedWorker, chosen: ChoiceRecord, *, is_successor: bool
    ) -> StreamAttempt | Unsent:
        """Have the prompt read if need be, and send the request to a worker that has room."""
        run = self.run
        worker = tracked.worker
        source = await self.prefill.prefill_for(tracked)
        if tracked.has_ended or run.state.workers.advice.backoff_left_s(worker.id, run.now) > 0.0:
            # The worker restarted or asked for backoff during the prefill: reserve elsewhere.
            self.reservation.release_unused()
            return Unsent.TRY_AGAIN
        if not await self._is_of_build(worker):
            self.reservation.release_unused()
            return Unsent.TRY_AGAIN
        if not run.has_attempts_left and worker.id not in run.workers_sent_to:
            self.progress.may_retry_at_once = self._are_prefill_workers_in_backoff()
            return Unsent.NO_REPEAT
        if not await self.reservation.renew_if_lapsed(tracked, chosen):
            return Unsent.TRY_AGAIN
        if not run.claim_arrival():
            self.progress.detail = f"no repeat is allowed: {self.progress.detail}"
            return Unsent.NO_REPEAT
        return await self._open(tracked, chosen, source, is_successor=is_successor)

    async def _is_of_build(self, worker: Worker) -> bool:
        """Whether the worker is still the process whose build the stream is bound to."""
        run = self.run
        if run.build is None:
            return True
        try:
            is_same = await is_same_process(run.state, worker)
        except ExchangeError as error:
            # A silent worker is asked again after a moment; one that can't be reached is not.
            is_silent = error.code is Code.UPSTREAM_SLOW
            (run.full_workers if is_silent else run.avoid).add(worker.id)
            return False
        if not is_same:
            run.avoid.add(worker.id)
        return is_same

    async def _open(
        self,
        tracked: TrackedWorker,
        chosen: ChoiceRecord,
        source: PrefillHandle | None,
        *,
        is_successor: bool,
    ) -> StreamAttempt | Unsent:
        run = self.run
        send = Send(
            worker=tracked.worker,
            time_left_s=run.time_left_s,
            priority=run.rank,
            source=source,
            hold=self.reservation.hold,
            resume_after=self.progress.last_event,
        )
        call = WorkerCall(run=run, tracked=tracked, send=send, chosen=chosen)
        try:
            await call.open()
        except ConnectFailedError as error:
            self.reservation.release_unused()
            run.connect_failures += 1
            call.record_failure(error)
            self.progress.code, self.progress.detail = error.code, error.message
            call.close()
            run.withdraw_arrival()
            return Unsent.TRY_AGAIN
        except asyncio.CancelledError:
            call.close()
            run.withdraw_arrival()
            raise
        self.reservation.mark_used()
        run.deliveries += 1
        run.workers_sent_to.add(tracked.worker.id)
        return StreamAttempt(
            run=run,
            call=call,
            source=source,
            first_step_timeout_s=self._first_event_timeout_s(source),
            is_successor=is_successor,
        )

    def _first_event_timeout_s(self, source: PrefillHandle | None) -> float:
        run = self.run
        if not run.route.may_repeat:
            return run.time_left_s
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

    def _are_prefill_workers_in_backoff(self) -> bool:
        """Whether only decode workers prefill, as the prefill workers are in backoff."""
        run = self.run
        return run.state.workers.backoff_left_s(run.service, run.now, stage=Stage.PREFILL) > 0.0
