"""One attempt of a request at one worker, and the failure score that it adds."""

from __future__ import annotations

import math

from croftchute.errors import Code
from croftchute.forwarding.decision_log import MAX_LOGGED_CHARS, MAX_LOGGED_PARTS, Decision
from croftchute.forwarding.dialect import PrefillHandle, Send, Verdict
from croftchute.forwarding.http.backpressure import wait_for_caller
from croftchute.forwarding.http.deadline import within
from croftchute.forwarding.http.failures import (
    AnswerEndlessError,
    CallerSlowError,
    ExchangeError,
)
from croftchute.forwarding.http.http_client import ClientConnection, ResponseHead
from croftchute.forwarding.workers.advice_recording import record_advice, record_displaced
from croftchute.forwarding.workers.crash_detection import check_after_broken_answer
from croftchute.forwarding.workers.load_and_pace import record_answer_pace, record_load
from croftchute.forwarding.workers.request_run import RequestRun
from croftchute.systems import timeouts
from croftchute.systems.part_crashes import BEGINNING_S
from croftchute.systems.tracked_worker import TrackedWorker
from croftchute.systems.worker_choice import ChoiceRecord
from croftchute.tables.crashes import reading_keys

MAX_ANSWER_BYTES = 16 << 20
"""Longest complete answer in bytes: four times the longest request body."""

ENDLESS = "endless"
"""How an attempt ended whose answer had no end, in logs and metrics."""

FAILURE_SCORE_CONNECT = 2.0
"""Failure score of a connection that could not be opened: the worker is probably gone."""

FAILURE_SCORE_BROKEN = 1.0
"""Failure score of an answer that was broken off."""

FAILURE_SCORE_LATE = 1.0
"""Failure score of an answer that did not come in time."""

FAILURE_SCORE_REJECTED = 0.5
"""Failure score of a request that the worker rejected because it is full or leaving."""

FAILURE_SCORE_DISPLACED = 4.0
"""Failure score of an address where another worker answered; high, so that peers are told."""

FAILURE_SCORE_FAILED = 0.3
"""Failure score of an error status; low, as some requests fail at any worker."""

FAILURE_SCORE_CACHE_NOT_FETCHED = 1.0
"""Failure score of a prefill worker whose cached prompt could not be fetched."""


class WorkerCall:
    """One attempt of a request at one worker; always end it with :meth:`close`.

    ``began_at`` is when the first bytes of the answer's body came, ``heard_at`` when the latest of
    any of it did; None before that.
    """

    def __init__(
        self, *, run: RequestRun, tracked: TrackedWorker, send: Send, chosen: ChoiceRecord
    ) -> None:
        self.run = run
        self.tracked = tracked
        self.worker = tracked.worker
        self.send = send
        self.chosen = chosen
        self.opened_at = run.now
        self.connection: ClientConnection | None = None
        self._skipped_before = 0
        self._tokens = run.facts.prompt_tokens
        if not send.is_prefill:
            self._tokens += run.facts.output_tokens
        self.began_at: float | None = None
        self.heard_at: float | None = None
        self._is_past_beginning = False
        self._is_counted = False

    @property
    def _crash_digest(self) -> str:
        """The digest that a crash of the worker counts against: the request's or its prefill's."""
        return self.run.prefill_digest if self.send.is_prefill else self.run.digest

    @property
    def _call_kind(self) -> str:
        """The kind of call, for logs and metrics."""
        return "prompt" if self.send.is_prefill else "request"

    def _max_idle_s(self) -> float:
        """Return how long a pooled connection may have been idle to be used for this call.

        A request that may be sent only once would be lost on a dead connection. But a full worker
        resets new connections, which would lose it too; on a pooled connection it is rejected.
        """
        may_repeat = self.send.is_prefill or self.run.route.may_repeat
        if may_repeat or self.tracked.has_rejected_recently(self.run.now):
            return math.inf
        return timeouts.MAX_UNREPEATABLE_IDLE_S

    async def open(self) -> None:
        """Connect and send; raise :class:`ConnectFailedError` if nothing was sent."""
        run = self.run
        worker = self.worker
        run.last_worker = worker.id
        run.worker_heard_at = run.now
        self._is_counted = True
        self.tracked.sent_at_by_call[self] = run.now
        run.state.workers.note_sent(worker.id, self._tokens)
        run.state.workers.advice.note_sent(worker.id, run.now)
        expected = run.state.workers_speak.expected(run.facts)
        connection = await run.state.pool.acquire(
            worker.host,
            worker.port,
            owner=worker.id,
            now=run.now,
            timeout_s=min(timeouts.CONNECT_TIMEOUT_S, run.time_left_s),
            max_idle_s=self._max_idle_s(),
            request_id=expected[1],
        )
        self.connection = connection
        self._skipped_before = connection.skipped_answers
        head = run.state.workers_speak.encode(run.facts, self.send)
        connection.send(
            head,
            body=run.facts.body,
            expected=expected,
            is_bodiless=run.facts.method == "HEAD",
        )
        kind = Decision.PREFILL_SENT if self.send.is_prefill else Decision.REQUEST_SENT
        run.log(
            kind,
            worker=worker.id,
            software=worker.software[:MAX_LOGGED_CHARS],
            zone=worker.zone,
            cost=self.chosen.cost,
            in_flight=self.chosen.in_flight,
            others=self.chosen.others,
            failures=self.chosen.failures,
            candidates=self.chosen.candidates,
            belief_age_s=self.chosen.age_s,
            config_version=run.state.table.version if run.state.table else 0,
            wish=run.state.workers.advice.active_advice(worker.id, run.now),
            limit_per_s=run.state.workers.limits.limit_of(worker.id, run.now),
            arrivals=run.ledger.arrivals,
            boxes=run.state.boxes,
            reused=connection.uses > 1,
            connection=connection.number,
            source=self.send.source.worker.id if self.send.source else "",
            resume_after=self.send.resume_after,
            resumes=run.facts.resumes[:MAX_LOGGED_CHARS],
            **(self.chosen.end.log_fields() if self.chosen.end is not None else {}),
        )

    async def read_head(self, timeout_s: float) -> ResponseHead:
        """Read the answer's head; raise AnswerLateError or ConnectionBrokenError."""
        assert self.connection is not None
        head = await within(self.connection.read_head(), timeout_s, "no head")
        self._note_heard()
        record_advice(self.run.state, self.worker, head, call=self._call_kind)
        record_load(self.run.state, self.worker, head)
        return head

    async def read_chunk(self, timeout_s: float) -> bytes:
        """Read the next chunk of the body; empty at its end."""
        assert self.connection is not None
        chunk = await within(self.connection.read_part(), timeout_s, "no chunk of the body")
        self._note_heard()
        now = self.run.now
        if self.began_at is None:
            self.began_at = now
        elif now - self.began_at >= BEGINNING_S:
            self._note_written(self.began_at)
        return chunk

    def _note_heard(self) -> None:
        """Record that the worker has sent something."""
        now = self.run.now
        self.heard_at = self.run.worker_heard_at = now
        self.run.state.links.note_heard(now)

    async def read_body(self, timeout_s: float) -> bytes:
        """Read the rest of the answer."""
        assert self.connection is not None
        reading = self.connection.read_body(
            MAX_ANSWER_BYTES, on_size=self.run.exchange.note_answer_bytes
        )
        return await within(reading, timeout_s, "no complete body")

    async def wait_for_caller(self) -> None:
        """Stop reading from the worker until the caller has read enough; raise CallerSlowError."""
        assert self.connection is not None
        await wait_for_caller(self.connection, self.run.exchange, self.run.time_left_s)

    def record_slow_caller(self, error: CallerSlowError) -> None:
        """Record that the caller did not read in time; the worker's score does not change."""
        self._log_end("caller_slow", detail=error.message)

    def record_success(self) -> None:
        """Record an answer, which reduces the worker's failure score."""
        self._log_end("ok")
        self.run.state.workers.note_answer(
            self.worker.id, self.run.now - self.opened_at, self.run.now
        )
        record_answer_pace(self.run.state, self.worker, self.run.now - self.opened_at)
        if not self.send.is_prefill:
            self.run.state.answer_times.note(self.run.route.name, self.run.now - self.opened_at)
        self._clear_crashes()
        self._note_written(self.opened_at if self.began_at is None else self.began_at)

    def _clear_crashes(self) -> None:
        """Record that the request doesn't crash workers; other boxes are told if it was refused."""
        crashes, digest, now = self.run.state.crashes, self._crash_digest, self.run.now
        if not crashes.by_digest:
            return
        was_refused = crashes.refusal_left_s(digest, now) > 0.0
        crashes.note_success(digest, now)
        if was_refused:
            self.run.state.on_crash_news([digest])

    def _note_written(self, began_at: float) -> None:
        """Record once that the worker has gone on after it began the answer at ``began_at``."""
        parts = self.run.parts
        if self._is_past_beginning or not parts:
            return
        self._is_past_beginning = True
        if self.send.is_prefill:
            parts = reading_keys(parts)
        state = self.run.state
        news = state.parts.note_written(parts, began_at, self.run.now)
        state.on_part_news(news)

    @property
    def _suspected_parts(self) -> tuple[str, ...]:
        """The parts that may be to blame if the worker has crashed: none if it wrote on."""
        if self.began_at is not None and self.run.now - self.began_at >= BEGINNING_S:
            return ()
        parts = self.run.parts
        return parts + reading_keys(parts) if self.send.is_prefill else parts

    def record_failure(self, error: ExchangeError) -> None:
        """Record a failed exchange, and add to the worker's failure score."""
        weight = {
            Code.TARGET_UNREACHABLE: FAILURE_SCORE_CONNECT,
            Code.UPSTREAM_SLOW: FAILURE_SCORE_LATE,
        }.get(error.code, FAILURE_SCORE_BROKEN)
        self.run.avoid.add(self.worker.id)
        self.run.state.note_link_trouble(error, since=self.opened_at)
        if error.code is Code.TARGET_UNREACHABLE:
            self.run.state.workers.note_unreachable(self.worker.id, self.run.now)
        if error.code is Code.UPSTREAM_FAILED:
            check_after_broken_answer(
                self.run.state, self.worker, self._crash_digest, parts=self._suspected_parts
            )
        outcome = ENDLESS if isinstance(error, AnswerEndlessError) else error.code.value
        self._add_failure_score(weight, outcome, error.message)

    def record_silence(self, *, is_begun: bool) -> None:
        """Record that the worker is silent for too long, while its answer is still waited for."""
        run = self.run
        run.avoid.add(self.worker.id)
        heard_at = self.opened_at if self.heard_at is None else self.heard_at
        if run.state.links.heard_at < self.opened_at:
            run.state.on_link_trouble(self.opened_at)
        score = run.state.workers.note_failure(self.worker.id, FAILURE_SCORE_LATE, run.now)
        run.log(
            Decision.WORKER_SILENT,
            outcome="begun" if is_begun else "not_begun",
            worker=self.worker.id,
            silent_ms=round((run.now - heard_at) * 1000),
            failures_now=round(score, 2),
            may_repeat=run.may_spend_retry,
            config_age_s=round(run.now - run.state.table_at, 3),
        )

    def record_silence_ended(self, outcome: str) -> None:
        """Record which worker the request goes on at after a silence."""
        self.run.log(
            Decision.SILENCE_ENDED,
            outcome=outcome,
            worker=self.worker.id,
            took_ms=round((self.run.now - self.opened_at) * 1000, 1),
            resume_after=self.send.resume_after,
        )

    def record_dropped(self) -> None:
        """Record that the attempt is ended, as the request goes on at another worker."""
        self._log_end("dropped")

    def record_outlasted(self) -> None:
        """Record that the worker is silent as the time of the request ends."""
        self.run.state.metrics.silences.inc({"outcome": "outlasted"})
        self._log_end("outlasted")

    def record_rejection(self, verdict: Verdict) -> None:
        """Record that the worker did not run the request, or that another worker answered."""
        self.run.avoid.add(self.worker.id)
        weight = FAILURE_SCORE_REJECTED
        self.run.state.workers.note_rejected(self.worker.id, self.run.now)
        if verdict is Verdict.WRONG_WORKER:
            # The score is high enough for peers to be told. Otherwise each peer would lose a
            # prompt there before it knows.
            weight = FAILURE_SCORE_DISPLACED
            record_displaced(self.run.state, self.worker)
        self._add_failure_score(weight, verdict.value, "")

    def record_cache_fetch_failure(self, source: PrefillHandle) -> None:
        """Record that the worker could not fetch the cached prompt, as a failure of its source."""
        workers = self.run.state.workers
        score = workers.note_failure(
            source.worker.id, FAILURE_SCORE_CACHE_NOT_FETCHED, self.run.now
        )
        self._log_end("cache_not_fetched", source=source.worker.id, failures_now=round(score, 2))

    def record_error_status(self, status: int) -> None:
        """Record that the worker ran the request and answered with an error status."""
        self.run.avoid.add(self.worker.id)
        self._add_failure_score(FAILURE_SCORE_FAILED, f"status_{status}", "")

    def close(self) -> None:
        """Return the connection to the pool, or close it if the answer is incomplete."""
        if self._is_counted:
            self._is_counted = False
            self.tracked.sent_at_by_call.pop(self, None)
            self.run.state.workers.note_request_ended(self.worker.id, self._tokens)
        if self.connection is not None:
            self.run.state.pool.release(
                self.connection,
                self.worker.host,
                self.worker.port,
                owner=self.worker.id,
                now=self.run.now,
            )
            self.connection = None

    def _add_failure_score(self, weight: float, outcome: str, detail: str) -> None:
        score = self.run.state.workers.note_failure(self.worker.id, weight, self.run.now)
        self._log_end(outcome, failures_now=round(score, 2), detail=detail)

    def _log_end(self, outcome: str, **inputs: object) -> None:
        kind = Decision.PREFILL_ENDED if self.send.is_prefill else Decision.ATTEMPT_ENDED
        if outcome != "ok":
            inputs["digest"] = self._crash_digest
            inputs["parts"] = self.run.parts[:MAX_LOGGED_PARTS]
            if self.began_at is not None:
                inputs["writing_ms"] = round((self.run.now - self.began_at) * 1000, 1)
        if self.connection is not None:
            inputs["connection"] = self.connection.number
            inputs["skipped"] = self.connection.skipped_answers - self._skipped_before
        self.run.state.metrics.sends.inc({"outcome": outcome})
        self.run.log(
            kind,
            outcome=outcome,
            worker=self.worker.id,
            took_ms=round((self.run.now - self.opened_at) * 1000, 1),
            **inputs,
        )
