"""One request on its way: its facts, its limits, and its sendings to workers."""

from __future__ import annotations

import math

from croftchute.errors import Code, Ran
from croftchute.forwarding.deadline import within
from croftchute.forwarding.decision_log import Decision
from croftchute.forwarding.dialect import PrefillHandle, Refusal, Send, Verdict
from croftchute.forwarding.exchange import Exchange
from croftchute.forwarding.failures import ExchangeError
from croftchute.forwarding.http_client import ClientConnection, ResponseHead
from croftchute.forwarding.state import ForwardingState
from croftchute.systems import patience
from croftchute.systems.size_lanes import RoomWay, by_lane, is_large
from croftchute.systems.worker_choice import ChoiceInput, Surroundings, choose, describe
from croftchute.systems.worker_table import WorkerBelief
from croftchute.tables.organisations import Organisation
from croftchute.tables.routing import EngineTraits, RequestFacts, Route, Stage

MAX_CONNECT_TRIES = 4
"""Workers to which no connection came up before a request is given up."""

MAX_ANSWER_BYTES = 16 << 20
"""Longest whole answer in bytes: four times the longest body of a caller."""

WEIGHT_CONNECT = 2.0
"""Failure score of a connection that did not come up: the worker is likely gone."""

WEIGHT_BROKEN = 1.0
"""Failure score of an answer that broke off."""

WEIGHT_LATE = 1.0
"""Failure score of an answer that did not come in time."""

WEIGHT_REJECTED = 0.5
"""Failure score of a request that the worker did not run: it is full, or leaving."""

WEIGHT_DISPLACED = 4.0
"""Failure score of an address at which another worker answered: for peers to hear of."""

WEIGHT_FAILED = 0.3
"""Failure score of a worker's own failure: some requests fail at any worker."""

WEIGHT_LACKED = 1.0
"""Failure score of a source whose cache could not be fetched."""


class RequestRun:
    """The state of one request; :class:`WorkerCall` does one sending of it."""

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
    ) -> None:
        self.state = state
        self.organisation = organisation
        self.exchange = exchange
        self.facts = facts
        self.route = route
        self.service = service
        self.started_at = started_at
        limit = route.timeout_s
        if facts.time_left_s is not None:
            limit = min(limit, facts.time_left_s)
        self.deadline_at = started_at + limit
        self.before_s = state.first_tries.time_before(route.name, facts.time_left_s, started_at)
        self.arrivals = 0
        self.workers_sent_to: set[str] = set()
        self.avoid: set[str] = set()
        self.full: set[str] = set()
        self.connect_failures = 0
        self.first_byte_at: float | None = None
        self.last_worker = ""
        self.has_not_run = False

    @property
    def now(self) -> float:
        """The present time of the process's steady clock."""
        return self.state.clock()

    @property
    def engine(self) -> EngineTraits | None:
        """What the engines of the request's service have in common; None if it has none."""
        table = self.state.table
        service = table.services_by_name.get(self.service) if table is not None else None
        return service.engine if service is not None else None

    @property
    def priority(self) -> int:
        """The request's rank, 0 first: its organisation's if that has one, else its route's."""
        if self.organisation is not None and self.organisation.priority is not None:
            return self.organisation.priority
        return self.route.priority

    @property
    def time_left_s(self) -> float:
        """How long the caller still waits."""
        return max(0.0, self.deadline_at - self.now)

    def choose(
        self, stage: Stage | None, *, near: str = ""
    ) -> tuple[WorkerBelief, ChoiceInput] | None:
        """A worker for the next sending, within the route's attempts; best in the zone ``near``."""
        candidates = self.state.workers.usable(self.service, self.now, stage=stage)
        if self.connect_failures >= MAX_CONNECT_TRIES:
            return None
        if stage is Stage.DECODE:
            candidates = self._within_lane(candidates)
        if len(self.workers_sent_to) >= self.route.max_attempts:
            candidates = [b for b in candidates if b.worker.id in self.workers_sent_to]
        return choose(
            candidates,
            around=self.surroundings(stage, near=near),
            avoid=self.avoid | self.full,
            now=self.now,
            rng=self.state.rng,
            affinity=self.facts.own_part if stage is Stage.DECODE else "",
        )

    @property
    def is_large(self) -> bool:
        """Whether the request needs most of an engine of its service."""
        engine = self.engine
        if engine is None:
            return False
        return is_large(self.facts.prompt_tokens + self.facts.likely_output, engine.kv_tokens)

    def _within_lane(self, candidates: list[WorkerBelief]) -> list[WorkerBelief]:
        """The decode workers that requests of this size may have."""
        engine = self.engine
        if engine is None or self.state.ways.room is RoomWay.BLIND:
            return candidates
        return by_lane(
            candidates,
            is_large_request=self.is_large,
            share=self.state.lane_share(self.service, engine.kv_tokens),
            passed_over=self.avoid | self.full,
        )

    def has_other_worker(self, stage: Stage | None) -> bool:
        """Whether there is a worker besides the last one that did not fail this request."""
        usable = self.state.workers.usable(self.service, self.now, stage=stage)
        passed_over = self.avoid | {self.last_worker}
        return any(belief.worker.id not in passed_over for belief in usable)

    def surroundings(self, stage: Stage | None, *, near: str = "") -> Surroundings:
        """What a choice for this request goes by, besides the workers."""
        full_tokens = 0
        if self.engine is not None:
            full_tokens = self.engine.kv_tokens
            if stage is Stage.PREFILL:
                full_tokens = patience.PREFILL_FULL_TOKENS
        return Surroundings(
            zone=near or self.state.zone, peers=self.state.peers, kv_tokens=full_tokens
        )

    def describe(self, belief: WorkerBelief, *, candidates: int) -> ChoiceInput:
        """What is known of a worker that was not chosen by cost."""
        around = self.surroundings(belief.worker.stage)
        return describe(belief, around, self.now, candidates=candidates)

    def may_send_again(self) -> bool:
        """Take a repeat out of the budget; the first sending needs none."""
        if self.arrivals == 0:
            return True
        window = self.state.budget(self.service)
        if window.spend(self.now, boxes=self.state.boxes):
            return True
        self.log(
            Decision.REPEAT_DENIED,
            outcome="budget spent",
            repeats=len(window.repeat_times),
            allowed=round(window.allowed(self.now, boxes=self.state.boxes), 2),
            boxes=self.state.boxes,
        )
        return False

    def log(self, kind: Decision, *, outcome: str = "", **inputs: object) -> None:
        """Write a line about this request."""
        elapsed_ms = round((self.now - self.started_at) * 1000, 1)
        self.state.log.decide(
            kind, request_id=self.facts.id, outcome=outcome, elapsed_ms=elapsed_ms, **inputs
        )

    def answered(self, status: int, worker: str) -> None:
        """Log and count an answer that the caller has in whole."""
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
            first_byte_ms=round((first - self.started_at) * 1000, 1),
            target_ms=round(self.route.target_s * 1000),
            workers_tried=len(self.workers_sent_to),
        )

    def refuse(
        self, code: Code, ran: Ran, detail: str, *, expected_wait_s: float | None = None
    ) -> None:
        """Give the request up: the final answer goes out at once.

        ``expected_wait_s`` is when it will likely be served, if that is known.
        """
        self.has_not_run = ran is Ran.NOT_RUN
        retry_after_s = None
        if expected_wait_s is not None:
            retry_after_s = patience.return_after(expected_wait_s, spread=self.state.rng.random())
        elif code is Code.PROMPT_TOO_LONG:
            retry_after_s = patience.NEVER_FITS_RETRY_AFTER_S
        elif ran is Ran.NOT_RUN:
            retry_after_s = patience.retry_after(
                self.time_left_s,
                mean_wait_s=self.state.mean_room_wait_s(self.service) if self.full else None,
                spread=self.state.rng.random(),
            )
        refusal = Refusal(code=code, ran=ran, detail=detail, retry_after_s=retry_after_s)
        answer = self.state.callers.refuse(refusal, self.facts.id)
        self.exchange.send(answer.status, answer.headers, answer.body)
        labels = {"route": self.route.name, "outcome": code.value}
        self.state.metrics.requests.inc(labels)
        self.log(
            Decision.REQUEST_REFUSED,
            outcome=code.value,
            status=answer.status,
            ran=ran.value,
            detail=detail,
            route=self.route.name,
            organisation=self.facts.organisation,
            worker=self.last_worker,
            time_left_ms=round(self.time_left_s * 1000),
            retry_after_s=retry_after_s,
            config_version=self.state.table.version if self.state.table else 0,
            config_age_s=round(self.now - self.state.table_at, 1),
            workers_age_s=round(self.now - self.state.workers.heard_at, 1),
        )

    def broken(self, reason: str) -> None:
        """Break a begun answer off, so that it cannot look whole."""
        self.exchange.abort()
        labels = {"route": self.route.name, "outcome": "broken"}
        self.state.metrics.requests.inc(labels)
        self.log(Decision.REQUEST_BROKEN, outcome=reason, worker=self.last_worker)


class WorkerCall:
    """One sending of a request to one worker; always end it with :meth:`close`."""

    def __init__(
        self, *, run: RequestRun, belief: WorkerBelief, send: Send, chosen: ChoiceInput
    ) -> None:
        self.run = run
        self.belief = belief
        self.worker = belief.worker
        self.send = send
        self.chosen = chosen
        self.opened_at = run.now
        self.connection: ClientConnection | None = None
        self._tokens = run.facts.prompt_tokens
        if not send.is_prefill:
            self._tokens += run.facts.output_tokens
        self._is_counted = False

    def _max_idle_s(self) -> float:
        """How long a kept connection may have been idle that this sending takes.

        One that went silent would cost a request that may be sent once; but a worker that is full
        resets new connections, and that costs it as well, where a kept one brings a rejection.
        """
        may_repeat = self.send.is_prefill or self.run.route.may_repeat
        if may_repeat or self.belief.has_rejected_lately(self.run.now):
            return math.inf
        return patience.ONCE_IDLE_S

    async def open(self) -> None:
        """Connect and send; raises :class:`ConnectFailedError` if nothing went out."""
        run = self.run
        worker = self.worker
        run.last_worker = worker.id
        self._is_counted = True
        run.state.workers.note_sent(worker.id, self._tokens)
        connection = await run.state.pool.acquire(
            worker.host,
            worker.port,
            owner=worker.id,
            now=run.now,
            timeout_s=min(patience.CONNECT_S, run.time_left_s),
            max_idle_s=self._max_idle_s(),
        )
        self.connection = connection
        data = run.state.workers_speak.encode(run.facts, self.send)
        connection.send(
            data,
            expected=run.state.workers_speak.expected(run.facts),
            is_bodiless=run.facts.method == "HEAD",
        )
        kind = Decision.PREFILL_SENT if self.send.is_prefill else Decision.REQUEST_SENT
        run.log(
            kind,
            worker=worker.id,
            zone=worker.zone,
            cost=self.chosen.cost,
            in_flight=self.chosen.in_flight,
            others=self.chosen.others,
            failures=self.chosen.failures,
            candidates=self.chosen.candidates,
            belief_age_s=self.chosen.age_s,
            config_version=run.state.table.version if run.state.table else 0,
            reused=connection.uses > 1,
            source=self.send.source.worker.id if self.send.source else "",
            resume_after=self.send.resume_after,
        )

    async def head(self, timeout_s: float) -> ResponseHead:
        """The head of the answer; raises AnswerLateError or ConnectionBrokenError."""
        assert self.connection is not None
        head = await within(self.connection.read_head(), timeout_s, "no head")
        load = self.run.state.workers_speak.load(head)
        if load is not None:
            self.run.state.workers.note_load(
                self.worker.id, load.running, load.waiting, self.run.now
            )
        return head

    async def part(self, timeout_s: float) -> bytes:
        """The next part of the body; empty at its end."""
        assert self.connection is not None
        return await within(self.connection.read_part(), timeout_s, "no part of the body")

    async def body(self, timeout_s: float) -> bytes:
        """The rest of the answer, in whole."""
        assert self.connection is not None
        return await within(self.connection.read_body(MAX_ANSWER_BYTES), timeout_s, "no whole body")

    def succeeded(self) -> None:
        """The worker answered: what was held against it loses weight."""
        self._ended("ok")
        self.run.state.workers.note_answer(
            self.worker.id, self.run.now - self.opened_at, self.run.now
        )

    def failed(self, error: ExchangeError) -> None:
        """Hold a failed exchange against the worker."""
        weight = {
            Code.TARGET_UNREACHABLE: WEIGHT_CONNECT,
            Code.UPSTREAM_SLOW: WEIGHT_LATE,
        }.get(error.code, WEIGHT_BROKEN)
        self.run.avoid.add(self.worker.id)
        if error.code is Code.TARGET_UNREACHABLE:
            self.run.state.workers.note_unreachable(self.worker.id, self.run.now)
        self._hold_against(weight, error.code.value, error.message)

    def rejected(self, verdict: Verdict) -> None:
        """The worker did not run the request, or another one answered in its place."""
        self.run.avoid.add(self.worker.id)
        weight = WEIGHT_REJECTED
        self.run.state.workers.note_rejected(self.worker.id, self.run.now)
        if verdict is Verdict.WRONG_WORKER:
            # Peers hear of the weight: each would lose a prompt there before it knows.
            weight = WEIGHT_DISPLACED
            self.run.state.workers.note_displaced(self.worker.id)
            self.run.log(Decision.WORKER_DISPLACED, worker=self.worker.id)
        self._hold_against(weight, verdict.value, "")

    def lacked(self, source: PrefillHandle) -> None:
        """The worker could not fetch the prompt's cache: that is held against its source."""
        workers = self.run.state.workers
        score = workers.note_failure(source.worker.id, WEIGHT_LACKED, self.run.now)
        self._ended("cache_not_fetched", source=source.worker.id, failures_now=round(score, 2))

    def faulty(self, status: int) -> None:
        """The worker ran the request and failed."""
        self.run.avoid.add(self.worker.id)
        self._hold_against(WEIGHT_FAILED, f"status_{status}", "")

    def close(self) -> None:
        """Give the connection back, or close it if the answer is not whole."""
        if self._is_counted:
            self._is_counted = False
            self.run.state.workers.note_ended(self.worker.id, self._tokens)
        if self.connection is not None:
            self.run.state.pool.release(
                self.connection,
                self.worker.host,
                self.worker.port,
                owner=self.worker.id,
                now=self.run.now,
            )
            self.connection = None

    def _hold_against(self, weight: float, outcome: str, detail: str) -> None:
        score = self.run.state.workers.note_failure(self.worker.id, weight, self.run.now)
        self._ended(outcome, failures_now=round(score, 2), detail=detail)

    def _ended(self, outcome: str, **inputs: object) -> None:
        kind = Decision.PREFILL_ENDED if self.send.is_prefill else Decision.ATTEMPT_ENDED
        self.run.state.metrics.sends.inc({"outcome": outcome})
        self.run.log(
            kind,
            outcome=outcome,
            worker=self.worker.id,
            took_ms=round((self.run.now - self.opened_at) * 1000, 1),
            **inputs,
        )
