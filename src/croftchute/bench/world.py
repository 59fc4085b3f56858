"""The fake fleet of a run: engines, links, callers, and the carrying out of attempts.

Latencies are fixed; there is no network model. A router decides, the world does what it is told
and tells the router what became of it.
"""

from __future__ import annotations

import random
from collections.abc import Callable
from dataclasses import dataclass, field

from croftchute.bench.decode_model import DecodeEngine, Sequence
from croftchute.bench.loop import EventLoop
from croftchute.bench.prefill_model import PrefillEngine, PrefillJob
from croftchute.bench.workload import Arrival
from croftchute.errors import Code, Ran
from croftchute.tables.requests import AttemptEnd, Plan, attempt_key
from croftchute.tables.upstreams import EngineConfig, EngineReport

REPORT_EVERY_S = 0.2


@dataclass(kw_only=True)
class Ticket:
    """What became of one request, as its caller and the checker see it."""

    arrival: Arrival
    box: str
    hall: str
    first_token_at: float | None = None
    ended_at: float | None = None
    tokens: int = 0
    answers: int = 0
    refusals: int = 0
    ran: Ran | None = None
    code: str = ""
    engine_starts: int = 0
    left: bool = False
    entry_died: bool = False


@dataclass(kw_only=True)
class Running:
    """One attempt under way."""

    plan: Plan
    ticket: Ticket
    on_end: Callable[[AttemptEnd], None]
    over: bool = False
    prefilled: int = 0
    decoding: bool = False


@dataclass(kw_only=True)
class World:
    """All engines of a run, and its tickets."""

    loop: EventLoop
    facts_by_id: dict[str, EngineConfig]
    kv_bytes_per_token: float
    result_ttl_s: float
    latency_s: float
    seed: int
    prefill_by_id: dict[str, PrefillEngine] = field(default_factory=dict)
    decode_by_id: dict[str, DecodeEngine] = field(default_factory=dict)
    ticket_by_id: dict[str, Ticket] = field(default_factory=dict)
    running_by_key: dict[str, Running] = field(default_factory=dict)
    cancelled_keys: set[str] = field(default_factory=set)
    reports_silent_until: float = 0.0
    starts: list[tuple[float, str]] = field(default_factory=list)
    wasted_tokens: int = 0
    _reports: dict[str, EngineReport] = field(default_factory=dict)

    def __post_init__(self) -> None:
        """Build the engines and begin their reports."""
        for fact in self.facts_by_id.values():
            if fact.prefills:
                self.prefill_by_id[fact.id] = PrefillEngine(
                    fact=fact, loop=self.loop, rng=random.Random(f"{self.seed}{fact.id}")
                )
            if fact.decodes:
                self.decode_by_id[fact.id] = DecodeEngine(fact=fact, loop=self.loop)
        self._measure()

    def start(self, running: Running) -> None:
        """Carry out an attempt, beginning with its prefill."""
        plan = running.plan
        key = attempt_key(plan.request_id, plan.attempt)
        self.running_by_key[key] = running
        self.loop.after(self.latency_s, lambda: self._prefill(key, running))

    def cancel(self, engine_id: str, key: str) -> None:
        """Cancel an attempt at an engine; whoever still reads it sees it break off."""
        self.cancelled_keys.add(key)
        made = 0
        if engine_id in self.prefill_by_id:
            self.prefill_by_id[engine_id].cancel(key)
        if engine_id in self.decode_by_id:
            made = self.decode_by_id[engine_id].cancel(key)
        running = self.running_by_key.get(key)
        if running is not None and not running.over:
            self._end(key, running, made, Code.UPSTREAM_FAILED, "")

    def kill_engine(self, engine_id: str) -> None:
        """An engine dies with all it holds."""
        if engine_id in self.prefill_by_id:
            self.prefill_by_id[engine_id].die()
        if engine_id in self.decode_by_id:
            self.decode_by_id[engine_id].die()

    def report(self, engine_id: str) -> EngineReport | None:
        """The last published report of an engine; None if it does not answer."""
        if self.loop.now < self.reports_silent_until or self.is_dead(engine_id):
            return None
        return self._reports.get(engine_id)

    def exact_report(self, engine_id: str) -> EngineReport:
        """How an engine is right now."""
        prefill = self.prefill_by_id.get(engine_id)
        decode = self.decode_by_id.get(engine_id)
        return EngineReport(
            as_of=self.loop.now,
            running=decode.running if decode else 0,
            kv_used_tokens=round(decode.kv_used()) if decode else 0,
            prefill_backlog_tokens=prefill.backlog() if prefill else 0,
            request_ids=tuple(decode.keys) if decode else (),
        )

    def is_dead(self, engine_id: str) -> bool:
        """Whether an engine has died."""
        prefill = self.prefill_by_id.get(engine_id)
        decode = self.decode_by_id.get(engine_id)
        return bool((prefill and prefill.dead) or (decode and decode.dead))

    def held_keys(self) -> list[str]:
        """Attempts that hold decode memory now."""
        return [key for engine in self.decode_by_id.values() for key in engine.keys]

    def _measure(self) -> None:
        for engine_id in self.facts_by_id:
            if not self.is_dead(engine_id):
                self._reports[engine_id] = self.exact_report(engine_id)
        self.loop.after(REPORT_EVERY_S, self._measure)

    def _prefill(self, key: str, running: Running) -> None:
        if running.over or key in self.cancelled_keys:
            return
        plan, request = running.plan, running.ticket.arrival.request
        running.ticket.engine_starts += 1
        self.starts.append((self.loop.now, plan.prefill_id))
        job = PrefillJob(
            key=key,
            tokens=request.prompt_tokens + plan.resume_from,
            prefix=request.prefix,
            priority=request.priority,
            done=lambda ok: self._prefilled(key, running, job, ok),
        )
        self.prefill_by_id[plan.prefill_id].submit(job)

    def _prefilled(self, key: str, running: Running, job: PrefillJob, ok: bool) -> None:
        running.prefilled = job.computed
        if running.over or key in self.cancelled_keys:
            self._waste(running)
            return
        if not ok:
            self._end(key, running, 0, Code.UPSTREAM_FAILED, running.plan.prefill_id)
            return
        self.loop.after(2 * self.latency_s, lambda: self._transfer(key, running, job.tokens))

    def _transfer(self, key: str, running: Running, tokens: int) -> None:
        if running.over or key in self.cancelled_keys:
            self._waste(running)
            return
        plan = running.plan
        engine = self.decode_by_id[plan.decode_id]
        if engine.dead:
            self._end(key, running, 0, Code.UPSTREAM_FAILED, plan.decode_id)
            return
        ready = self.loop.now
        if plan.prefill_id != plan.decode_id:
            start = max(ready, engine.link_free_at)
            rate = engine.fact.link_bytes_per_s
            ready = start + tokens * self.kv_bytes_per_token / rate
            engine.link_free_at = ready
        if ready - self.loop.now > self.result_ttl_s:
            self._end(key, running, 0, Code.UPSTREAM_SLOW, plan.decode_id)
            return
        self.loop.at(ready, lambda: self._decode(key, running, tokens))

    def _decode(self, key: str, running: Running, tokens: int) -> None:
        if running.over or key in self.cancelled_keys:
            self._waste(running)
            return
        plan, ticket = running.plan, running.ticket
        source = self.prefill_by_id[plan.prefill_id]
        engine = self.decode_by_id[plan.decode_id]
        if source.dead:
            self._end(key, running, 0, Code.UPSTREAM_FAILED, plan.prefill_id)
            return
        left = max(1, ticket.arrival.output_tokens - plan.resume_from)
        sequence = Sequence(
            key=key,
            prompt_tokens=tokens,
            output_tokens=left,
            on_first=lambda: self._first(ticket, running),
            on_end=lambda ok, made: self._decoded(key, running, ok, made),
        )
        self.starts.append((self.loop.now, plan.decode_id))
        if not engine.submit(sequence):
            code = Code.UPSTREAM_FAILED if engine.dead else Code.UPSTREAM_REFUSED
            self._end(key, running, 0, code, plan.decode_id)

    def _first(self, ticket: Ticket, running: Running) -> None:
        running.decoding = True
        if ticket.first_token_at is None:
            ticket.first_token_at = self.loop.now + self.latency_s

    def _decoded(self, key: str, running: Running, ok: bool, made: int) -> None:
        if running.over:
            return
        if ok:
            self._end(key, running, made, None, "")
        else:
            self._end(key, running, made, Code.UPSTREAM_FAILED, running.plan.decode_id)

    def _end(self, key: str, running: Running, tokens: int, code: Code | None, failed: str) -> None:
        running.over = True
        self.running_by_key.pop(key, None)
        running.ticket.tokens += tokens
        if not tokens:
            self._waste(running)
        end = AttemptEnd(
            request_id=running.plan.request_id,
            attempt=running.plan.attempt,
            ok=code is None,
            output_tokens=tokens,
            sent=True,
            code=code or Code.UPSTREAM_FAILED,
            failed_engine=failed,
        )
        self.loop.after(self.latency_s, lambda: running.on_end(end))

    def _waste(self, running: Running) -> None:
        if not running.decoding:
            self.wasted_tokens += running.prefilled
            running.prefilled = 0
