"""Reservation of memory for a streaming request at a decode worker."""

from __future__ import annotations

import asyncio
from contextlib import closing

from croftchute.errors import Code
from croftchute.forwarding.decision_log import Decision
from croftchute.forwarding.dialect import Hold
from croftchute.forwarding.http.failures import ExchangeError
from croftchute.forwarding.workers.queue_reporting import queue_log_fields
from croftchute.forwarding.workers.request_run import RequestRun
from croftchute.forwarding.workers.room_wait_policy import (
    PollingWait,
    RankedWait,
    RequestUsage,
    RoomWaitPolicy,
)
from croftchute.forwarding.workers.withheld import CUT_OFF_DETAIL
from croftchute.forwarding.workers.worker_control import acquire_hold, release_hold
from croftchute.systems import timeouts
from croftchute.systems.failover_pace import RECHECK_S
from croftchute.systems.room_forecast import RoomWait
from croftchute.systems.timeouts import ReturnMode
from croftchute.systems.tracked_worker import TrackedWorker
from croftchute.systems.worker_choice import ChoiceRecord
from croftchute.tables.routing import EngineTraits, Stage, Worker

CALLS_PER_HELD_REQUEST = 2
"""Calls of a worker for one stream: the reservation and the request itself."""

MAX_SILENT_ASKED = 3
"""Most workers that may leave a request without an answer before it waits like one that found no
room. A service may be silent as a whole, and to ask all of it takes longer the larger it is."""


class DecodeReservation:
    """Finds a decode worker with room for one request, and keeps the hold until it is used.

    ``cached_worker_id`` is the worker that may still have the prompt in its cache; it is asked
    first, once. ``code`` and ``detail`` say why the workers asked last had no room, ``ask_again_s``
    after how many seconds a request whose worker is silent asks again.
    """

    def __init__(self, *, run: RequestRun) -> None:
        self.run = run
        self.hold: Hold | None = None
        self.cached_worker_id: str | None = None
        self.code: Code | None = None
        self.detail = ""
        self._has_tried_cached_worker = False
        self._permit_worker: Worker | None = None
        self.ask_again_s = RECHECK_S
        self._hold_lapses_at = 0.0
        self._usage = RequestUsage(run=run)
        self._was_silent = False

    async def reserve(self) -> tuple[TrackedWorker, ChoiceRecord] | None:
        """Reserve room at a decode worker, waiting while all are full; None if there is none."""
        run = self.run
        self.code = None
        self.detail = ""
        is_begun = run.exchange.is_started
        asked_at = run.now
        is_last_ask = False
        with closing(self._wait_policy(is_begun=is_begun)) as policy:
            while True:
                if run.is_cut_off:
                    self.code, self.detail = Code.NO_UPSTREAM, CUT_OFF_DETAIL
                    return None
                # Without any worker the request asks in any case, and is refused without a wait.
                has_asked = is_last_ask or policy.may_ask(run.now) or not self._has_worker()
                if has_asked and run.is_held_back:
                    # Being held back is no longer the reason for having no room.
                    self.code, self.detail = None, ""
                run.is_held_back = not has_asked
                found = await self._ask_for_room() if has_asked else None
                if found is not None:
                    if not is_begun:
                        run.state.demand(run.service).note_granted(run.now, is_large=run.is_large)
                    policy.granted(run.now)
                    return found
                # The last ask does not change the reason: the request was held back until then.
                run.is_held_back |= is_last_ask
                if run.is_held_back:
                    self.code = Code.NO_CAPACITY
                    self.detail = "more urgent requests wait for room"
                may_get_room = (
                    run.full_workers
                    or run.is_held_back
                    or (is_begun and self._does_backoff_end_soon())
                )
                if is_last_ask or not may_get_room:
                    return None
                if not self._may_wait(asked_at, is_begun=is_begun):
                    if not policy.may_ask_finally():
                        return None
                    is_last_ask = True
                    continue
                interval_s = policy.poll_interval_s(run.now)
                await asyncio.sleep(interval_s)
                policy.waited(interval_s, run.now)
                run.full_workers.clear()

    async def reserve_now(self) -> tuple[TrackedWorker, ChoiceRecord] | None:
        """Reserve room at a decode worker for a request whose worker is silent, without a wait.

        It asks until one worker does not answer in time: then the others may be silent too.
        """
        run = self.run
        self.code = None
        self.detail = ""
        run.full_workers.clear()
        with closing(self._wait_policy(is_begun=run.exchange.is_started)) as policy:
            self.ask_again_s = policy.poll_interval_s(run.now)
            if run.is_cut_off or not policy.may_ask(run.now):
                return None
            found = await self._ask_for_room(max_silent=1)
            if found is not None:
                policy.granted(run.now)
            return found

    async def renew_if_lapsed(self, tracked: TrackedWorker, chosen: ChoiceRecord) -> bool:
        """Reserve room at the worker again if the hold there may have lapsed; False if it has none.

        Other requests may have taken the memory since. A worker that is full by then would reject
        the request, which costs an attempt and a repeat.
        """
        engine = self.run.engine
        if self.hold is None or engine is None or self.run.now < self._hold_lapses_at:
            return True
        self.hold = None
        self._release_permit()
        if self._is_known_full(tracked):
            return False
        return await self._reserve_if_permitted(tracked, chosen, engine)

    def _wait_policy(self, *, is_begun: bool) -> RoomWaitPolicy:
        """Return how the request waits; a stream that has begun does not queue by rank."""
        run = self.run
        if not is_begun and run.is_ordered:
            return RankedWait(run=run, usage=self._usage)
        interval_s = timeouts.room_poll_interval_s(
            run.route,
            run.state.ways.returns,
            since_first_try_s=run.since_first_try_s,
            is_started=is_begun,
        )
        return PollingWait(history=run.state.room(run.service), interval_s=interval_s)

    def _has_worker(self) -> bool:
        """Whether any decode worker may be asked now."""
        run = self.run
        return bool(run.usable(Stage.DECODE))

    def _does_backoff_end_soon(self) -> bool:
        """Whether a decode worker's backoff ends within the wait of a begun stream."""
        return 0.0 < self.run.backoff_left_s <= timeouts.RESUME_WAIT_S

    def _may_wait(self, asked_at: float, *, is_begun: bool) -> bool:
        """Whether to go on waiting, as room is likely to come before the caller's deadline."""
        run = self.run
        if is_begun:
            return run.now - asked_at < min(timeouts.RESUME_WAIT_S, run.time_left_s)
        if run.state.is_ending(run.now):
            return False
        mean_wait_s = run.mean_room_wait_s
        timing = run.state.prefill_pace(run.service)
        wait = RoomWait(
            elapsed_s=run.now - run.started_at,
            time_left_s=run.time_left_s,
            reading_s=timing.prefill_s(run.facts.prompt_tokens),
            since_first_try_s=(
                run.since_first_try_s if run.state.ways.returns is ReturnMode.IN_TIME_FIRST else 0.0
            ),
        )
        if wait.is_worthwhile(run.route, mean_wait_s=mean_wait_s):
            return True
        run.log(
            Decision.WAIT_ENDED,
            outcome="room is not expected in time",
            mean_wait_s=mean_wait_s,
            reading_s=round(wait.reading_s, 3),
            tokens=run.facts.prompt_tokens,
            **queue_log_fields(run),
        )
        return False

    async def _ask_for_room(
        self, *, max_silent: int = MAX_SILENT_ASKED
    ) -> tuple[TrackedWorker, ChoiceRecord] | None:
        """Ask the decode workers in order of choice; None if none has room.

        A worker that owes this box an answer to such a call is not asked for a while. The others
        are left out once ``max_silent`` workers have not answered in time.
        """
        run = self.run
        silent = 0
        engine = run.engine
        if (
            engine is not None
            and (reserved := await self._reserve_at_cached_worker(engine)) is not None
        ):
            return reserved
        while True:
            may_ask = not run.is_cut_off and run.time_left_s > 0.0 and silent < max_silent
            found = run.choose(Stage.DECODE) if may_ask else None
            if found is None:
                return None
            if engine is None or engine.hold_ttl_s <= 0.0:
                if await run.acquire_permit(found[0]):
                    self._permit_worker = found[0].worker
                    return found
                continue
            if self._is_known_full(found[0], is_search=max_silent < MAX_SILENT_ASKED):
                continue
            if await self._reserve_if_permitted(*found, engine):
                return found
            silent += self._was_silent

    def _is_known_full(self, tracked: TrackedWorker, *, is_search: bool = False) -> bool:
        """Whether a worker is not asked, as it had no room just now or owes an answer.

        A search for a successor passes a worker over until it has answered.
        """
        run = self.run
        owes_answer = tracked.late_holds > 0 if is_search else tracked.owes_room_answer(run.now)
        is_full = tracked.full_until > run.now or owes_answer
        if is_full:
            run.full_workers.add(tracked.worker.id)
            self._set_no_room(tracked)
        return is_full

    async def _reserve_at_cached_worker(
        self, engine: EngineTraits
    ) -> tuple[TrackedWorker, ChoiceRecord] | None:
        """Reserve room at the worker that may still have the prompt in its cache."""
        cached = self._find_cached_worker()
        if cached is None or not await self._reserve_if_permitted(*cached, engine):
            return None
        return cached

    async def _reserve_if_permitted(
        self, tracked: TrackedWorker, chosen: ChoiceRecord, engine: EngineTraits
    ) -> bool:
        """Reserve room at a worker if its limit permits that call and the request after it."""
        self._was_silent = False
        if not await self.run.acquire_permit(tracked, calls=CALLS_PER_HELD_REQUEST):
            return False
        self._permit_worker = tracked.worker
        is_held = await self._reserve_at(tracked, chosen, engine)
        if not is_held:
            self._release_permit()
        return is_held

    def _find_cached_worker(self) -> tuple[TrackedWorker, ChoiceRecord] | None:
        """Return the worker that ran the stream: if it is alive, it still has the cache."""
        worker_id, self.cached_worker_id = self.cached_worker_id, None
        if worker_id is None or self._has_tried_cached_worker:
            return None
        self._has_tried_cached_worker = True
        run = self.run
        usable = run.usable(Stage.DECODE)
        for tracked in usable:
            if tracked.worker.id == worker_id:
                return tracked, run.describe_choice(tracked, candidates=1)
        return None

    async def _reserve_at(
        self, tracked: TrackedWorker, chosen: ChoiceRecord, engine: EngineTraits
    ) -> bool:
        run = self.run
        facts = run.facts
        tokens = timeouts.hold_tokens(
            facts.prompt_tokens,
            facts.output_tokens,
            facts.expected_output,
            engine.kv_tokens,
            run.state.ways.hold,
        )
        outcome = "granted"
        asked_at = run.now
        pace = run.state.failover_pace(run.service)
        try:
            self.hold = await acquire_hold(run.state, tracked.worker, tokens, engine.hold_ttl_s)
            self._hold_lapses_at = asked_at + engine.hold_ttl_s - timeouts.HOLD_TIMEOUT_S
            pace.note_answered()
            if self.hold is None:
                outcome = "no_room"
                run.full_workers.add(tracked.worker.id)
                run.state.workers.note_full(
                    tracked.worker.id, run.now + timeouts.FULL_WORKER_BACKOFF_S
                )
                self._set_no_room(tracked)
        except ExchangeError as error:
            outcome = error.code.value
            self._was_silent = error.code is Code.UPSTREAM_SLOW
            # A late worker may have room once its link is less busy, so it counts as full.
            (run.full_workers if self._was_silent else run.avoid).add(tracked.worker.id)
            if self._was_silent:
                pace.note_silent(run.now)
            run.state.workers.note_failure(tracked.worker.id, 1.0, run.now)
            run.state.note_link_trouble(error, since=asked_at)
            self.detail = error.message
        run.log(
            Decision.HOLD_ASKED,
            outcome=outcome,
            worker=tracked.worker.id,
            tokens=tokens,
            cost=chosen.cost,
            own_tokens=tracked.tokens_in_flight,
            failures=chosen.failures,
            **queue_log_fields(run),
        )
        return self.hold is not None

    def mark_used(self) -> None:
        """Forget the hold and the permit: the request that was sent has used them."""
        self.hold = None
        self._permit_worker = None

    def release_unused(self) -> None:
        """Release the hold and the permit if no request was sent with them."""
        self._release_permit()
        if self.hold is not None:
            state = self.run.state
            state.spawn(release_hold(state, self.hold, self.run.facts.id))
            self.hold = None

    def _release_permit(self) -> None:
        if self._permit_worker is not None:
            self.run.state.permits.release(self._permit_worker)
            self._permit_worker = None

    def _set_no_room(self, tracked: TrackedWorker) -> None:
        self.code = Code.NO_CAPACITY
        self.detail = f"no room at {tracked.worker.id} and others"
