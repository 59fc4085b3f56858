"""The state of one request: its facts, deadline and worker choices, and how it ends."""

from __future__ import annotations

from dataclasses import replace
from typing import Protocol

from croftchute.errors import Code, Ran
from croftchute.forwarding.decision_log import MAX_LOGGED_CHARS, MAX_LOGGED_PARTS, Decision
from croftchute.forwarding.dialect import Refusal
from croftchute.forwarding.http.exchange import Exchange
from croftchute.forwarding.permits import PermitRequest
from croftchute.forwarding.state import ForwardingState
from croftchute.forwarding.workers.completion_time_selector import (
    CompletionTimeSelector,
    selects_by_completion_time,
)
from croftchute.forwarding.workers.queue_reporting import count_room_refusal, queue_log_fields
from croftchute.forwarding.workers.withheld import FINAL_CODES, Withheld
from croftchute.systems import timeouts
from croftchute.systems.arrival_ledger import ArrivalLedger
from croftchute.systems.fair_shares import ShareUsage
from croftchute.systems.part_crashes import FIRST_TRIAL_S, PartRefusal
from croftchute.systems.room_order import OrderMode, room_rank
from croftchute.systems.size_lanes import RoomMode, is_large, lane_candidates
from croftchute.systems.tracked_worker import TrackedWorker
from croftchute.systems.worker_choice import ChoiceContext, ChoiceRecord, choose, describe_choice
from croftchute.tables.crashes import reading_keys
from croftchute.tables.organisations import Organisation
from croftchute.tables.origins import StreamOrigin, request_key, stream_key
from croftchute.tables.routing import (
    EngineTraits,
    RequestFacts,
    Route,
    RouteKind,
    Stage,
    Worker,
)


class Outstanding(Protocol):
    """Silent workers that keep a request until another box goes on with it."""

    async def until_response(self) -> None:
        """Wait until one of the workers speaks."""
        ...

    async def serve_on(self) -> None:
        """Go on waiting for the workers, and serve the request."""
        ...

    def close(self) -> None:
        """End what the workers run."""
        ...


MAX_CONNECT_FAILURES = 4
"""Most failed connection attempts before no further worker is tried for a request."""


class RequestRun:
    """The state of one request; a ``WorkerCall`` is one attempt at one worker.

    ``build`` is the build of the workers that may continue the request's stream, None if any may.
    ``prior_attempts`` is the number of workers that may have received the request through the box
    that passed it to this one; it is None if a caller sent the request. ``ledger`` counts its
    calls against the retry budget. ``units`` are what its organisation was charged for it here.
    """

    def __init__(
        self,
        *,
        state: ForwardingState,
        exchange: Exchange,
        facts: RequestFacts,
        route: Route,
        service: str,
        started_at: float,
        organisation: Organisation | None = None,
        prior_attempts: int | None = None,
        ledger: ArrivalLedger | None = None,
    ) -> None:
        self.state = state
        self.is_forwarded = prior_attempts is not None
        self.prior_attempts = prior_attempts or 0
        self.withheld: Withheld | None = None
        self.outstanding: Outstanding | None = None
        self.ask_boxes_at = started_at
        self.units = 0.0
        self.forwarded_to = ""
        self.organisation = organisation
        self.exchange = exchange
        self.facts = facts
        self.route = route
        self.service = service
        self.started_at = started_at
        timeout_s = route.timeout_s
        if facts.time_left_s is not None:
            # The box that a caller sent the request to has bounded its time by the route as it was.
            is_bounded = self.is_forwarded or facts.time_left_s < timeout_s
            timeout_s = facts.time_left_s if is_bounded else timeout_s
        self.deadline_at = started_at + timeout_s
        self.since_first_try_s = state.first_tries.since_first_try_s(
            route.name, facts.time_left_s, started_at
        )
        self.deliveries = self.prior_attempts
        self.ledger = ledger or ArrivalLedger()
        self.workers_sent_to: set[str] = set()
        self.avoid: set[str] = set()
        self.full_workers: set[str] = set()
        self.is_held_back = False
        self.is_counted_over_share = False
        self.connect_failures = 0
        self.first_byte_at: float | None = None
        self.last_worker = ""
        self.worker_heard_at: float | None = None
        self.has_not_run = False
        self.build: str | None = None
        self.is_part_trial = False
        self.is_request_trial = False
        self._digest = ""
        self._parts: tuple[str, ...] | None = None

    @property
    def now(self) -> float:
        """The current time of the process's monotonic clock."""
        return self.state.clock()

    @property
    def has_attempts_left(self) -> bool:
        """Whether the route allows an attempt at a worker that has not received the request."""
        return self.prior_attempts + len(self.workers_sent_to) < self.route.max_attempts

    @property
    def is_cut_off(self) -> bool:
        """Whether another box should serve the request, as this one reaches no worker."""
        return self.state.links.are_lost and (self.is_forwarded or self.state.can_forward)

    @property
    def outlasts_stop(self) -> bool:
        """Whether this process will probably end before a worker could answer the request."""
        likely_s = min(self.state.answer_times.longest_s(self.route.name), self.time_left_s)
        return likely_s > self.state.stop_left_s(self.now)

    @property
    def may_leave_silent(self) -> bool:
        """Whether another box may be asked to go on with what silent workers run here."""
        if not self.is_cut_off or not self._may_repeat_elsewhere or self.now < self.ask_boxes_at:
            return False
        return self.state.failover_pace(self.service).wait_s(self.now) <= 0.0

    def close_outstanding(self) -> None:
        """End what silent workers run, as another box goes on with the request."""
        if self.outstanding is not None:
            outstanding, self.outstanding = self.outstanding, None
            outstanding.close()

    @property
    def _may_repeat_elsewhere(self) -> bool:
        """Whether another box may send the request to a further worker after it has run here."""
        return self.route.may_repeat and self.has_attempts_left and not self.is_forwarded

    @property
    def _may_be_cut_off(self) -> bool:
        """Whether it is known shortly that another box should serve the request."""
        state = self.state
        return state.links.is_verdict_near and not self.is_forwarded and state.can_forward

    @property
    def digest(self) -> str:
        """A digest that all attempts of this request share, computed once."""
        if not self._digest:
            self._digest = self.facts.digest
        return self._digest

    @property
    def parts(self) -> tuple[str, ...]:
        """The keys of the prompt's parts that other prompts may share, worked out once."""
        if self._parts is None:
            self._parts = self.facts.shared_parts
        return self._parts

    @property
    def prefill_digest(self) -> str:
        """A separate digest for the prefill: it may be safe where decode crashes, or vice versa."""
        return f"{self.digest}-read"

    @property
    def crashes_workers(self) -> bool:
        """Whether the request is refused because it, or a part of its prompt, crashes workers."""
        return self._crash_refusal_s > 0.0 or self.part_refusal is not None

    @property
    def part_refusal(self) -> PartRefusal | None:
        """Why the request is refused for parts of its prompt; None while it is tried, or if not."""
        parts = self.state.parts
        if not parts.refusals or (self.is_part_trial and self.deliveries == 0):
            return None
        return parts.refusal_of(self.parts)

    @property
    def may_be_part_trial(self) -> bool:
        """Whether only parts of the prompt are why it is refused, and they may be tried."""
        refusal = self.part_refusal
        if refusal is None or self._crash_refusal_s > 0.0:
            return False
        return self.state.parts.may_try(refusal, self.parts, self.now)

    @property
    def may_be_request_trial(self) -> bool:
        """Whether the crashes under it alone are why it is refused, and it may be tried."""
        if self._crash_refusal_s == 0.0 or self.part_refusal is not None:
            return False
        return self.state.crashes.may_try(self.digest, self.now)

    async def claim_trial(self) -> bool:
        """Return whether the request may be sent to workers.

        One that is refused may be if the store grants it as the trial of itself, or of parts of its
        prompt.
        """
        if self._crash_refusal_s > 0.0:
            self.is_request_trial = self.may_be_request_trial and (
                await self.state.request_trials.claim(self.digest)
            )
            return not self.crashes_workers
        refusal = self.part_refusal
        if refusal is None:
            return True
        self.is_part_trial = self.may_be_part_trial and await self.state.part_trials.claim(refusal)
        return self.part_refusal is None

    async def may_use_prefill_workers(self) -> bool:
        """Return False if prefill workers crashed on this prompt, or on a part of it."""
        crashes = self.state.crashes
        if crashes.has_refusals and crashes.refusal_left_s(self.prefill_digest, self.now) > 0.0:
            return False
        parts = self.state.parts
        keys = reading_keys(self.parts) if parts.refusals else ()
        refusal = parts.refusal_of(keys)
        if refusal is None:
            return True
        return parts.may_try(refusal, keys, self.now) and await self.state.part_trials.claim(
            refusal
        )

    @property
    def _crash_refusal_s(self) -> float:
        crashes = self.state.crashes
        if self.is_request_trial and self.deliveries == 0:
            return 0.0
        return crashes.refusal_left_s(self.digest, self.now) if crashes.has_refusals else 0.0

    @property
    def engine(self) -> EngineTraits | None:
        """The traits that the engines of the service share; None if it has no engines."""
        table = self.state.table
        service = table.services_by_name.get(self.service) if table is not None else None
        return service.engine if service is not None else None

    @property
    def priority(self) -> int:
        """The organisation's priority if it has one, else the route's; 0 is the most urgent."""
        if self.organisation is not None and self.organisation.priority is not None:
            return self.organisation.priority
        return self.route.priority

    @property
    def rank(self) -> int:
        """The rank among the service's streams, 0 first; the priority if it is not ordered."""
        if not self.is_ordered:
            return self.priority
        organisation = self.organisation
        stated = organisation.priority if organisation is not None else None
        return self.state.request_ranks(self.service).rank(stated, self.route.priority)

    @property
    def is_ordered(self) -> bool:
        """Whether the request queues for decode memory by rank."""
        is_stream = self.route.kind is RouteKind.STREAM
        return is_stream and self.state.room_order(self.service) is not OrderMode.UNORDERED

    @property
    def mean_room_wait_s(self) -> float:
        """The mean time that requests like this one wait for room at a decode worker."""
        if not self.is_ordered:
            return self.state.mean_room_wait_s(self.service)
        return self.state.room_view(self.service).mean_wait_s(self.room_rank)

    @property
    def room_rank(self) -> int:
        """The rank by which the request queues for room."""
        ranks = self.state.request_ranks(self.service)
        return room_rank(
            self.rank,
            ranks=ranks.count,
            is_late=self.target_left_s <= 0.0,
            is_over_share=self.share.is_over,
        )

    @property
    def share(self) -> ShareUsage:
        """How the organisation's use of the service's decode memory compares with its share."""
        if not self.facts.organisation:
            return ShareUsage()
        return self.state.share_usage(self.service, self.facts.organisation)

    @property
    def target_left_s(self) -> float:
        """Seconds left to start the prefill so that the answer begins within its target."""
        reading_s = self.state.prefill_pace(self.service).prefill_s(self.facts.prompt_tokens)
        elapsed_s = self.since_first_try_s + self.now - self.started_at
        return self.route.target_s - elapsed_s - reading_s

    @property
    def time_left_s(self) -> float:
        """Seconds until the caller's deadline."""
        return max(0.0, self.deadline_at - self.now)

    @property
    def backoff_left_s(self) -> float:
        """Seconds until a worker accepts work, if all are in backoff or at a limit; else 0."""
        stage = Stage.DECODE if self.engine is not None else None
        return self.state.workers.backoff_left_s(
            self.service, self.now, stage=stage, build=self.build
        )

    def choose(
        self, stage: Stage | None, *, near: str = ""
    ) -> tuple[TrackedWorker, ChoiceRecord] | None:
        """Choose a worker for the next attempt, preferably in the zone ``near``."""
        candidates = self.candidates(stage)
        if selects_by_completion_time(self.state, self.service):
            return self.completion_time_selector(stage, near=near).select(candidates)
        return choose(
            candidates,
            context=self.choice_context(stage, near=near),
            avoid=self.avoid | self.full_workers,
            now=self.now,
            rng=self.state.rng,
            affinity=self.facts.last_prompt_part if stage is Stage.DECODE else "",
        )

    def candidates(self, stage: Stage | None) -> list[TrackedWorker]:
        """Return the workers that the next attempt may use, including those to avoid."""
        if self.connect_failures >= MAX_CONNECT_FAILURES:
            return []
        candidates = self.usable(stage)
        if stage is Stage.DECODE and self.build is None:
            candidates = self._within_size_lane(candidates)
        if not self.has_attempts_left:
            candidates = [
                tracked for tracked in candidates if tracked.worker.id in self.workers_sent_to
            ]
        return candidates

    def usable(self, stage: Stage | None) -> list[TrackedWorker]:
        """Return the workers of a stage that may serve the request.

        A stream that has begun continues at workers of its build. Prompts are read by all: their
        KV cache depends on the weights.
        """
        build = None if stage is Stage.PREFILL else self.build
        return self.state.workers.usable(self.service, self.now, stage=stage, build=build)

    @property
    def origin(self) -> StreamOrigin | None:
        """Where the stream began; None if its caller has no event yet, or that is not known."""
        if self.build is None:
            return None
        return StreamOrigin(service=self.service, build=self.build)

    def bind_origin(self, origin: StreamOrigin | None) -> None:
        """Bind a stream to where it began, as another box says."""
        if origin is not None:
            self.service = origin.service
            self.build = origin.build

    @property
    def lacks_build(self) -> bool:
        """Whether the stream has begun, and no worker of its build is left."""
        if self.build is None:
            return False
        workers = self.state.workers
        return not workers.has_build(self.service, self.now, stage=Stage.DECODE, build=self.build)

    async def begin_stream(self, worker: Worker) -> None:
        """Bind the stream to a worker's build before the caller gets its first event there.

        Other boxes are told, so that the caller may take the stream up at any of them.
        """
        if self.build is not None:
            return
        self.build = worker.build
        if self.facts.resume_after is None and self.facts.id:
            origin = StreamOrigin(service=self.service, build=worker.build)
            stream = stream_key(self.facts.organisation, self.facts.id)
            await self.state.origins.note_begun(stream, request_key(self.digest), origin)

    def doubt_origin(self) -> None:
        """Have no box continue the stream: its events may be of another build than believed."""
        stream = stream_key(self.facts.organisation, self.facts.resumes or self.facts.id)
        self.state.origins.note_doubtful(stream, request_key(self.digest))

    async def find_origin(self) -> bool:
        """Bind a stream that the caller takes up to the build that began it; False if refused."""
        services = tuple(target.service for target in self.route.targets)
        resumes = self.facts.resumes
        key = request_key(self.digest)
        if resumes:
            key = stream_key(self.facts.organisation, resumes)
        within_s = timeouts.stream_age_limit_s(self.route)
        found = await self.state.origins.find(key, services, within_s=within_s)
        origin = found.origin
        self.state.metrics.resumed.inc({"outcome": found.source})
        self.log(
            Decision.ORIGIN_LOOKED_UP,
            outcome=found.source,
            resumes=resumes[:MAX_LOGGED_CHARS],
            resume_after=self.facts.resume_after,
            service=origin.service if origin is not None else "",
            software=origin.build if origin is not None else "",
            boxes_asked=found.asked,
            boxes_answered=found.answered,
        )
        if found.is_gone:
            detail = "no worker of the software version that began the stream is left"
            self.refuse(Code.VERSION_GONE, Ran.NOT_RUN, detail)
            return False
        if origin is None:
            detail = f"it is not known which software version began the stream: {found.source}"
            is_anyone_silent = found.asked == 0 or found.answered < found.asked
            may_be_known_soon = found.is_pending or (bool(resumes) and is_anyone_silent)
            self.refuse(
                Code.VERSION_UNKNOWN,
                Ran.NOT_RUN,
                detail,
                expected_wait_s=0.0 if may_be_known_soon else None,
            )
            return False
        self.bind_origin(origin)
        return True

    def completion_time_selector(
        self, stage: Stage | None, *, near: str = ""
    ) -> CompletionTimeSelector:
        """Return a selector by completion time for the next attempt."""
        context = self.choice_context(stage, near=near)
        return CompletionTimeSelector(
            request=self, stage=stage, context=context, avoid=self.avoid | self.full_workers
        )

    @property
    def is_large(self) -> bool:
        """Whether the request needs most of the memory of an engine."""
        engine = self.engine
        if engine is None:
            return False
        return is_large(
            self.facts.prompt_tokens + self.facts.planned_output_tokens, engine.kv_tokens
        )

    def _within_size_lane(self, candidates: list[TrackedWorker]) -> list[TrackedWorker]:
        """Return the decode workers that requests of this size may use."""
        engine = self.engine
        if engine is None or self.state.ways.room is RoomMode.BLIND:
            return candidates
        return lane_candidates(
            candidates,
            is_large_request=self.is_large,
            share=self.state.lane_share(self.service, engine.kv_tokens),
            rejected_ids=self.avoid | self.full_workers,
        )

    def has_other_worker(self, stage: Stage | None) -> bool:
        """Whether there is another worker than the last one that has not failed this request."""
        usable = self.usable(stage)
        excluded_ids = self.avoid | {self.last_worker}
        return any(tracked.worker.id not in excluded_ids for tracked in usable)

    def choice_context(self, stage: Stage | None, *, near: str = "") -> ChoiceContext:
        """Return the context of a choice of a worker: all inputs except the workers themselves."""
        full_tokens = 0
        if (engine := self.engine) is not None:
            is_prefill = stage is Stage.PREFILL
            full_tokens = timeouts.PREFILL_FULL_TOKENS if is_prefill else engine.kv_tokens
        zone = near or self.state.zone
        return ChoiceContext(zone=zone, peers=self.state.peers, kv_tokens=full_tokens)

    def describe_choice(self, tracked: TrackedWorker, *, candidates: int) -> ChoiceRecord:
        """Describe a worker that was not chosen by cost, for the log."""
        return describe_choice(
            tracked, self.choice_context(tracked.worker.stage), self.now, candidates=candidates
        )

    async def acquire_permit(self, tracked: TrackedWorker, *, calls: int = 1) -> bool:
        """Acquire permits for calls of a chosen worker; False if it may not be used now.

        The request only waits for permits if no other worker could serve it.
        """
        state = self.state
        worker = tracked.worker
        if state.workers.limits.limit_of(worker.id, self.now) is None:
            return True
        usable = self.usable(worker.stage)
        others = [
            other for other in usable if other is not tracked and other.worker.id not in self.avoid
        ]
        advice = state.workers.advice
        advice_before = advice.active_advice(worker.id, self.now)
        permit_request = self.permit_request(
            calls=calls, max_wait_s=0.0 if others else self.time_left_s
        )
        may_call = await state.permits.acquire(worker, permit_request)
        if may_call and advice.active_advice(worker.id, self.now) != advice_before:
            # The worker sent new advice during the wait for the permit, so choose again.
            state.permits.release(worker, calls)
            return False
        return may_call

    def permit_request(self, *, calls: int = 1, max_wait_s: float = 0.0) -> PermitRequest:
        """Return the permit request for calls of a worker that states a rate limit."""
        rank = self.rank
        if not self.is_ordered:
            rank = max(0, rank - self.state.most_urgent(self.service))
        return PermitRequest(
            calls=calls, max_wait_s=max_wait_s, rank=rank, request_id=self.facts.id
        )

    @property
    def may_spend_retry(self) -> bool:
        """Whether the request may be sent to a further worker now."""
        if self.crashes_workers:
            return False
        missing = self.ledger.missing(1)
        window = self.state.budget(self.service)
        return window.left(self.now, share=self.state.retry_share) >= missing

    def claim_arrival(self, *, calls_behind: int = 0) -> bool:
        """Count a call of a worker that is about to be sent; return whether it may be.

        This is the one place where calls are counted: each arrival past the first takes a retry
        from the service's budget. ``calls_behind`` are calls for which retries are set aside too.
        A request that crashes workers isn't sent again: another box may have seen the third crash
        in the meantime.
        """
        if self.crashes_workers:
            return False
        window = self.state.budget(self.service)
        now, share = self.now, self.state.retry_share
        if self.ledger.claim(window, now, share=share, calls_behind=calls_behind):
            return True
        self.log(
            Decision.REPEAT_DENIED,
            outcome="budget spent",
            missing=self.ledger.missing(1 + calls_behind),
            arrivals=self.ledger.arrivals,
            repeats=len(window.retry_times),
            allowed=round(window.allowed(now, share=share), 2),
            boxes=self.state.boxes,
            share=round(share, 5),
        )
        return False

    def withdraw_arrival(self) -> None:
        """Take back a claimed call that was not sent after all."""
        self.ledger.note_unsent()

    def note_prompt_read(self) -> None:
        """Record that a worker has taken up the call that only reads the prompt."""
        self.ledger.note_prompt_read()
        self.state.budget(self.service).refund(self.ledger.take_surplus(upcoming=1))

    def return_retries(self) -> None:
        """Return to the budget what no call of the request has needed."""
        self.state.budget(self.service).refund(self.ledger.take_surplus())

    def log(self, kind: Decision, *, outcome: str = "", **inputs: object) -> None:
        """Log one decision about this request."""
        elapsed_ms = round((self.now - self.started_at) * 1000, 1)
        self.state.log.decide(
            kind, request_id=self.facts.id, outcome=outcome, elapsed_ms=elapsed_ms, **inputs
        )

    def record_answered(self, status: int, worker: str) -> None:
        """Log and count an answer that the caller has received in full."""
        now = self.now
        outcome = "ok" if status < 400 else f"status_{status}"
        labels = {"route": self.route.name}
        self.state.metrics.requests.inc({**labels, "outcome": outcome})
        self.state.metrics.whole.observe(labels, now - self.started_at)
        first = self.first_byte_at or now
        self.state.metrics.first_byte.observe(labels, first - self.started_at)
        self.log(
            Decision.REQUEST_ANSWERED,
            outcome=outcome,
            route=self.route.name,
            organisation=self.facts.organisation,
            worker=worker,
            peer=self.forwarded_to,
            first_byte_ms=round((first - self.started_at) * 1000, 1),
            target_ms=round(self.route.target_s * 1000),
            workers_tried=len(self.workers_sent_to),
        )

    def refuse(
        self, code: Code, ran: Ran, detail: str, *, expected_wait_s: float | None = None
    ) -> None:
        """Send the caller a refusal, and log and count it; withhold it if another box may serve.

        ``expected_wait_s`` is the time after which the request is likely to be served, if known.
        """
        refusal = Withheld(code=code, ran=ran, detail=detail, expected_wait_s=expected_wait_s)
        if not self._withhold(refusal):
            self.refuse_finally(refusal)

    def withhold_rest(self, detail: str, *, last_event: int | None) -> bool:
        """Leave the rest of a stream that has begun to another box; False if none may send it."""
        return self._withhold(
            Withheld(
                code=Code.UPSTREAM_FAILED, ran=Ran.UNKNOWN, detail=detail, last_event=last_event
            )
        )

    def _withhold(self, refusal: Withheld) -> bool:
        """Keep a refusal back if this box is cut off and the request may be sent once more."""
        has_run = refusal.ran is not Ran.NOT_RUN
        is_cut_off = self.is_cut_off or (self._may_be_cut_off and not has_run)
        if refusal.code in FINAL_CODES or not is_cut_off:
            return False
        if has_run and not self._may_repeat_elsewhere:
            return False
        self.has_not_run = not has_run
        self.withheld = refusal
        return True

    def refuse_finally(self, refusal: Withheld) -> None:
        """Send the caller a refusal, whatever other boxes could do, and log and count it."""
        code, ran, detail = refusal.code, refusal.ran, refusal.detail
        expected_wait_s = refusal.expected_wait_s
        if self.exchange.is_started:
            self.abort_answer(detail)
            return
        if self.crashes_workers and ran is Ran.NOT_RUN:
            code, detail = Code.ENDS_WORKERS, self._crash_detail()
        self.has_not_run = ran is Ran.NOT_RUN
        lacks_worker = code in (Code.NO_UPSTREAM, Code.NO_CAPACITY) and ran is Ran.NOT_RUN
        if lacks_worker and (backoff_left_s := self.backoff_left_s) > 0.0:
            detail = "all workers are in backoff or have reached their rate limit"
            expected_wait_s = backoff_left_s
        retry_after_s = None
        if expected_wait_s is not None:
            retry_after_s = timeouts.predicted_retry_after(
                expected_wait_s, jitter=self.state.rng.random()
            )
        elif code is Code.ENDS_WORKERS:
            retry_after_s = round(max(self._crash_retry_s, self._part_refusal_s), 3)
        elif code is Code.PROMPT_TOO_LONG:
            retry_after_s = timeouts.NEVER_FITS_RETRY_AFTER_S
        elif code in (Code.VERSION_GONE, Code.VERSION_UNKNOWN):
            retry_after_s = timeouts.CANNOT_CONTINUE_RETRY_AFTER_S
        elif ran is Ran.NOT_RUN:
            retry_after_s = timeouts.retry_after(
                self.time_left_s,
                mean_wait_s=(
                    self.mean_room_wait_s if self.full_workers or self.is_held_back else None
                ),
                jitter=self.state.rng.random(),
            )
        answer = self.state.callers.refuse(
            Refusal(code=code, ran=ran, detail=detail, retry_after_s=retry_after_s), self.facts.id
        )
        self.exchange.send(answer.status, answer.headers, answer.body)
        labels = {"route": self.route.name, "outcome": code.value}
        self.state.metrics.requests.inc(labels)
        count_room_refusal(self, code, ran)
        self.log(
            Decision.REQUEST_REFUSED,
            outcome=code.value,
            status=answer.status,
            ran=ran.value,
            detail=detail,
            route=self.route.name,
            organisation=self.facts.organisation,
            worker=self.last_worker,
            digest=self.digest,
            time_left_ms=round(self.time_left_s * 1000),
            retry_after_s=retry_after_s,
            config_version=self.state.table.version if self.state.table else 0,
            config_age_s=round(self.now - self.state.table_at, 1),
            workers_age_s=round(self.now - self.state.workers.heard_at, 1),
            **queue_log_fields(self),
        )

    @property
    def _crash_retry_s(self) -> float:
        """How long the request stays refused for the crashes under it, at least."""
        trial_left_s = self.state.crashes.trial_left_s(self.digest, self.now)
        return min(self._crash_refusal_s, max(FIRST_TRIAL_S, trial_left_s))

    @property
    def _part_refusal_s(self) -> float:
        """How long parts of the prompt stay refused at least; 0 if they are not."""
        refusal = self.part_refusal
        return 0.0 if refusal is None else max(FIRST_TRIAL_S, refusal.left_s(self.now))

    def _crash_detail(self) -> str:
        refusal = self.part_refusal
        if refusal is not None:
            names = ", ".join(sorted(refusal.parts)[:MAX_LOGGED_PARTS])
            return f"{refusal.crashes} workers crashed under requests with {names} in the prompt"
        crashes = self.state.crashes.crash_count(self.digest)
        return f"{crashes} workers crashed while running this request of the same caller"

    def release(self) -> None:
        """Let go of the request's bytes, as it is over."""
        self.facts = replace(self.facts, headers=[], body=b"")

    def abort_answer(self, reason: str, **inputs: object) -> None:
        """Abort an answer that has started, so that it can't be taken for a complete one.

        ``inputs`` are logged beside what is known of the worker, the configuration and the links.
        """
        self.exchange.abort()
        labels = {"route": self.route.name, "outcome": "broken"}
        self.state.metrics.requests.inc(labels)
        heard_at = self.worker_heard_at
        self.log(
            Decision.REQUEST_BROKEN,
            outcome=reason,
            worker=self.last_worker,
            silent_ms=None if heard_at is None else round((self.now - heard_at) * 1000),
            time_left_ms=round(self.time_left_s * 1000),
            workers_tried=len(self.workers_sent_to),
            links_lost=self.state.links.are_lost,
            config_version=self.state.table.version if self.state.table else 0,
            config_age_s=round(self.now - self.state.table_at, 3),
            **inputs,
        )
