"""Serving one completion: asks for a place, runs attempts, passes events on as they come."""

from __future__ import annotations

from collections.abc import Callable, Iterator, Mapping
from dataclasses import dataclass
from typing import Any, Protocol

from croftchute.clock import ProcessClock
from croftchute.commands import Command, RefuseRequest, StartAttempt
from croftchute.errors import Code, Ran, UpstreamError
from croftchute.gateway.exchange import Exchange
from croftchute.gateway.relay import CallerSink, Relay, RelayedStream
from croftchute.tables.requests import AttemptEnd, Plan, Request, attempt_key
from croftchute.timeline.events import Event, Kind
from croftchute.upstreams.engine import Engine, EngineCall

DECISION_GRACE_S = 2.0

Job = Callable[[float], list[Command]]


class Box(Protocol):
    """What the gateway needs of its box."""

    clock: ProcessClock
    engine: Engine
    relay: Relay

    def submit(self, job: Job) -> None:
        """Run a job on the runner's thread."""
        ...

    def url_of(self, engine_id: str) -> str:
        """Where an engine listens; empty if it is not known any more."""
        ...

    def arrive(self, request: Request, now: float) -> list[Command]:
        """Begin a request."""
        ...

    def ended(self, end: AttemptEnd, now: float) -> list[Command]:
        """End an attempt."""
        ...

    def left(self, request_id: str, now: float) -> list[Command]:
        """A caller left."""
        ...

    def note(self, event: Event) -> None:
        """Put an event on the time line."""
        ...


class RefusedError(UpstreamError):
    """A request that gets no (whole) answer, with what is known of its execution."""


@dataclass(kw_only=True, slots=True)
class Progress:
    """What the caller of one completion has been given."""

    delivered: int = 0
    attempts: int = 0
    first_token_at: float = 0.0
    last_token_at: float = 0.0


class Completion:
    """One completion request from arrival to its last event.

    With a sink only the first events are yielded; the relay sends the others to the sink.
    """

    def __init__(
        self,
        *,
        box: Box,
        exchange: Exchange,
        request: Request,
        path: str,
        body: Mapping[str, Any],
        sink: CallerSink | None = None,
    ) -> None:
        self._box = box
        self._exchange = exchange
        self._request = request
        self._path = path
        self._body = body
        self._mark = request.id.encode()
        self._sink = sink
        self._prefilled = False
        self._headers_sent = False
        self.progress = Progress()

    def events(self) -> Iterator[bytes]:
        """Server-sent events, whole ones; raises :class:`RefusedError` when there are no more."""
        finished = False
        request = self._request
        self._box.submit(lambda now: self._box.arrive(request, now))
        try:
            while not finished:
                plan = self._next_plan()
                self.progress.attempts = plan.attempt
                before = self.progress.delivered
                try:
                    yield from self._attempt(plan)
                except UpstreamError as error:
                    self._end(plan, before, error)
                    continue
                finished = True
                self._end(plan, before, None)
        finally:
            if not finished:
                self._box.submit(lambda now: self._box.left(request.id, now))

    def _next_plan(self) -> Plan:
        wait = self._request.deadline_at - self._box.clock.now() + DECISION_GRACE_S
        decision = self._exchange.wait(max(DECISION_GRACE_S, wait))
        if isinstance(decision, StartAttempt):
            return decision.plan
        if isinstance(decision, RefuseRequest):
            raise RefusedError(
                decision.code,
                f"request {self._request.id} refused: {decision.code.value}",
                ran=decision.ran,
                retry_after=decision.retry_after_s,
            )
        if self._exchange.gone.is_set():
            raise RefusedError(Code.CALLER_GONE, "the caller left", ran=Ran.UNKNOWN)
        raise RefusedError(Code.INTERNAL, "no decision in time", ran=Ran.UNKNOWN)

    def _attempt(self, plan: Plan) -> Iterator[bytes]:
        call = self._call(plan, plan.prefill_id, {})
        try:
            params = self._box.engine.prefill(call)
        except UpstreamError as error:
            error.upstream = plan.prefill_id
            raise
        self._prefilled = True
        self._note(Kind.PREFILL_DONE, plan, plan.prefill_id)
        stream = self._box.engine.decode(self._call(plan, plan.decode_id, params))
        relayed: RelayedStream | None = None
        try:
            if not self._exchange.attach(stream):
                raise UpstreamError(Code.CALLER_GONE, "the caller left", ran=Ran.RAN)
            relayed = self._box.relay.open(stream, self._mark)
            yield from self._pass_on(relayed, plan)
        finally:
            self._exchange.detach()
            if relayed is not None:
                self._box.relay.close(relayed)
                self._count(relayed)
            stream.dispose()

    def _pass_on(self, relayed: RelayedStream, plan: Plan) -> Iterator[bytes]:
        """Yield the first events, so that headers go out; the relay sends what follows."""
        if self._sink is None or not self._headers_sent:
            first = relayed.first()
            self._note(Kind.FIRST_TOKEN, plan, plan.decode_id)
            self._headers_sent = True
            yield first
        if self._sink is not None:
            self._box.relay.send_to(relayed, self._sink)
        error = relayed.outcome()
        # What came before a break counts as delivered, so it has to be handed on first.
        rest = relayed.take_held()
        if rest:
            yield rest
        if error is not None:
            raise error

    def _count(self, relayed: RelayedStream) -> None:
        progress = self.progress
        if relayed.delivered and not progress.delivered:
            progress.first_token_at = relayed.first_at
        progress.delivered += relayed.delivered
        progress.last_token_at = relayed.last_at

    def _call(self, plan: Plan, engine_id: str, transfer: dict[str, Any]) -> EngineCall:
        url = self._box.url_of(engine_id)
        if not url:
            raise UpstreamError(Code.NO_UPSTREAM, f"{engine_id} is unknown", ran=Ran.NOT_RUN)
        return EngineCall(
            url=url,
            path=self._path,
            key=attempt_key(plan.request_id, plan.attempt),
            request_id=plan.request_id,
            body=self._body,
            priority=self._request.priority,
            timeout_s=max(0.05, self._request.deadline_at - self._box.clock.now()),
            resume_from=self.progress.delivered,
            transfer=transfer,
        )

    def _end(self, plan: Plan, before: int, error: UpstreamError | None) -> None:
        gone = self._exchange.gone.is_set()
        end = AttemptEnd(
            request_id=plan.request_id,
            attempt=plan.attempt,
            ok=error is None,
            output_tokens=self.progress.delivered - before,
            sent=self._prefilled or error is None or error.ran is not Ran.NOT_RUN,
            code=error.code if error is not None else Code.UPSTREAM_FAILED,
            failed_engine="" if gone else _failed_engine(plan, error),
            retryable=not gone,
            engine_has_ended=not gone and self._has_ended(plan, error),
            rest_s=_rest_asked(error),
        )
        self._box.submit(lambda now: self._box.ended(end, now))

    def _has_ended(self, plan: Plan, error: UpstreamError | None) -> bool:
        """Whether the engine that broke the attempt off is gone, as far as can be told at once."""
        if error is None or error.code is not Code.UPSTREAM_FAILED:
            return False
        url = self._box.url_of(_failed_engine(plan, error))
        return bool(url) and self._box.engine.has_ended(url)

    def _note(self, kind: Kind, plan: Plan, engine_id: str) -> None:
        event = Event(
            kind=kind, request_id=plan.request_id, upstream=engine_id, attempt=plan.attempt
        )
        self._box.note(event)


def _rest_asked(error: UpstreamError | None) -> float:
    """How long the engine that turned the attempt away wants no work."""
    is_refusal = error is not None and error.code is Code.UPSTREAM_REFUSED
    return error.retry_after if error is not None and is_refusal else 0.0


def _failed_engine(plan: Plan, error: UpstreamError | None) -> str:
    if error is None:
        return ""
    return error.upstream or plan.decode_id
