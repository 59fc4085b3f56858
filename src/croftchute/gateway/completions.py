"""Serving one completion: asks for a place, runs attempts, passes events on as they come."""

from __future__ import annotations

from collections.abc import Callable, Generator, Iterator, Mapping
from dataclasses import dataclass
from typing import Any, Protocol

from croftchute.commands import Command, RefuseRequest, StartAttempt
from croftchute.errors import Code, Ran, UpstreamError
from croftchute.gateway.attempts import Attempt, AttemptBox
from croftchute.gateway.exchange import Decision, Exchange
from croftchute.gateway.relay import CallerSink, RelayedStream
from croftchute.tables.requests import AttemptEnd, Plan, Request, Silence, attempt_key
from croftchute.timeline.events import Event, Kind
from croftchute.upstreams.engine import CallEnder, EngineCall

DECISION_GRACE_S = 2.0

SEARCH_INTERVAL_S = 0.5
"""Seconds between two tries to find an engine that goes on in place of silent ones."""

Job = Callable[[float], list[Command]]


class Box(AttemptBox, Protocol):
    """What the gateway needs of its box."""

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

    def silent(self, silence: Silence, now: float) -> list[Command]:
        """The engines of a request are silent."""
        ...

    def resumed(self, request_id: str, now: float) -> list[Command]:
        """An engine that was silent has sent something."""
        ...

    def left(self, request_id: str, now: float) -> list[Command]:
        """A caller left."""
        ...


class RefusedError(UpstreamError):
    """A request that gets no (whole) answer, with what is known of its execution."""


class LeftOffError(UpstreamError):
    """The end of an attempt whose request goes on at another engine; names one that is silent."""

    def __init__(self, *, silent_engine: str = "") -> None:
        message = "the request goes on at another engine"
        super().__init__(Code.UPSTREAM_SLOW, message, ran=Ran.RAN, upstream=silent_engine)


@dataclass(kw_only=True, slots=True)
class Progress:
    """What the caller of one completion has been given."""

    delivered: int = 0
    attempts: int = 0
    first_token_at: float = 0.0
    last_token_at: float = 0.0


class Completion:
    """One completion request from arrival to its last event.

    With a sink only the first events are yielded; the relay sends the others to the sink. While an
    engine is silent further attempts may be open beside it; the caller is sent the events of one at
    a time, and the first that has any is heeded.
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
        self._attempts: list[Attempt] = []
        self._speaker: Attempt | None = None
        self._prefilled = False
        self._headers_sent = False
        self._searched_at: float | None = None
        self._decision_due_at = 0.0
        self.progress = Progress()

    def events(self) -> Iterator[bytes]:
        """Server-sent events, whole ones; raises :class:`RefusedError` when there are no more."""
        finished = False
        request = self._request
        self._box.submit(lambda now: self._box.arrive(request, now))
        self._await_decision()
        try:
            while not finished:
                self._obey(self._exchange.wait(self._wait_s()))
                finished = yield from self._advance()
        finally:
            for attempt in self._attempts:
                attempt.end()
            if not finished:
                self._box.submit(lambda now: self._box.left(request.id, now))

    @property
    def _delivered(self) -> int:
        """The events that the caller has been sent, or will be."""
        speaking = self._speaker.delivered if self._speaker is not None else 0
        return self.progress.delivered + speaking

    def _await_decision(self) -> None:
        now = self._box.clock.now()
        self._decision_due_at = max(now, self._request.deadline_at) + DECISION_GRACE_S

    def _wait_s(self) -> float:
        """Seconds until something is to be done if nothing comes of the attempts until then."""
        now = self._box.clock.now()
        if not self._attempts:
            return max(0.0, self._decision_due_at - now)
        patience_s = self._box.relay.gap_s - min(a.silent_s(now) for a in self._attempts)
        if patience_s > 0.0 or self._searched_at is None:
            return max(0.0, patience_s)
        return max(0.0, self._searched_at + SEARCH_INTERVAL_S - now)

    def _obey(self, decision: Decision | None) -> None:
        if isinstance(decision, StartAttempt):
            self._begin(decision.plan)
            return
        if isinstance(decision, RefuseRequest):
            raise RefusedError(
                decision.code,
                f"request {self._request.id} refused: {decision.code.value}",
                ran=decision.ran,
                retry_after=decision.retry_after_s,
            )
        if self._exchange.gone.is_set():
            raise RefusedError(Code.CALLER_GONE, "the caller left", ran=Ran.UNKNOWN)
        if not self._attempts and self._box.clock.now() >= self._decision_due_at:
            raise RefusedError(Code.INTERNAL, "no decision in time", ran=Ran.UNKNOWN)

    def _begin(self, plan: Plan) -> None:
        self._searched_at = None
        if plan.resume_from != self._delivered:
            # A silent engine has gone on since the reservation was asked for.
            self._report(plan, LeftOffError(), sent=False)
            return
        self.progress.attempts = plan.attempt
        attempt = Attempt(
            box=self._box,
            plan=plan,
            make_call=self._call,
            mark=self._mark,
            changed=self._exchange.wake,
        )
        self._attempts.append(attempt)
        attempt.begin()

    def _advance(self) -> Generator[bytes, None, bool]:
        """Act on what has come of the attempts; returns whether the answer is whole."""
        speaker = self._speaker
        if speaker is not None and speaker.is_over:
            error = speaker.outcome()
            yield from self._end_speaker(speaker)
            if error is None:
                self._drop_all_but(speaker)
                self._report(speaker.plan, None, output_tokens=speaker.delivered)
                return True
            self._report(speaker.plan, error, output_tokens=speaker.delivered)
        self._drop_outrun()
        self._drop_failed()
        yield from self._heed_first()
        self._note_silence()
        return False

    def _end_speaker(self, speaker: Attempt) -> Iterator[bytes]:
        """Take leave of the attempt that was heeded; what it has sent counts as delivered."""
        assert speaker.relayed is not None
        rest = speaker.relayed.take_held()
        self._count(speaker.relayed)
        self._speaker = None
        self._attempts.remove(speaker)
        speaker.end()
        if rest:
            yield rest

    def _drop_outrun(self) -> None:
        """End the attempts that would repeat events, as another one has gone on meanwhile."""
        for attempt in list(self._attempts):
            if attempt is not self._speaker and attempt.plan.resume_from != self._delivered:
                self._leave_off(attempt)

    def _drop_failed(self) -> None:
        for attempt in list(self._attempts):
            if attempt is self._speaker or attempt.has_spoken or not attempt.is_over:
                continue
            self._drop(attempt, attempt.outcome())

    def _heed_first(self) -> Iterator[bytes]:
        """Go on with the first other attempt that has spoken, unless the present one did."""
        spoken = [a for a in self._attempts if a is not self._speaker and a.has_spoken]
        if not spoken:
            return
        found, before = spoken[0], self._speaker
        if before is not None:
            assert before.relayed is not None
            base = self.progress.delivered
            if not self._box.relay.supersede(before.relayed, found.plan.resume_from - base):
                self._exchange.wake()
                return
            yield from self._end_speaker(before)
            error = LeftOffError(silent_engine=before.awaited_engine)
            self._report(before.plan, error, output_tokens=before.delivered)
        self._speaker = found
        self._drop_all_but(found)
        yield from self._pass_on(found)
        if found.is_over:
            self._exchange.wake()

    def _pass_on(self, attempt: Attempt) -> Iterator[bytes]:
        """Yield the first events, so that headers go out; the relay sends what follows."""
        relayed = attempt.relayed
        assert relayed is not None
        if self._sink is None or not self._headers_sent:
            first = relayed.take_held()
            self._note(Kind.FIRST_TOKEN, attempt.plan, attempt.plan.decode_id)
            self._headers_sent = True
            yield first
        if self._sink is not None:
            self._box.relay.send_to(relayed, self._sink)

    def _note_silence(self) -> None:
        """Have another engine looked for while all attempts are silent."""
        now = self._box.clock.now()
        gap_s = self._box.relay.gap_s
        request_id = self._request.id
        if not self._attempts or any(a.silent_s(now) < gap_s for a in self._attempts):
            if self._searched_at is not None:
                self._searched_at = None
                self._box.submit(lambda now: self._box.resumed(request_id, now))
            return
        if self._searched_at is not None and now - self._searched_at < SEARCH_INTERVAL_S:
            return
        self._searched_at = now
        for attempt in self._attempts:
            if attempt.relayed is not None:
                attempt.relayed.tell_next()
        silence = Silence(
            request_id=request_id,
            delivered=self._delivered,
            engine_ids=tuple(attempt.awaited_engine for attempt in self._attempts),
        )
        self._box.submit(lambda now: self._box.silent(silence, now))

    def _drop_all_but(self, kept: Attempt) -> None:
        for attempt in list(self._attempts):
            if attempt is not kept:
                self._leave_off(attempt)

    def _leave_off(self, attempt: Attempt) -> None:
        is_silent = attempt.silent_s(self._box.clock.now()) >= self._box.relay.gap_s
        silent_engine = attempt.awaited_engine if is_silent else ""
        self._drop(attempt, LeftOffError(silent_engine=silent_engine))

    def _drop(self, attempt: Attempt, error: UpstreamError | None) -> None:
        """End an attempt of which the caller has been sent nothing."""
        self._attempts.remove(attempt)
        attempt.end()
        self._prefilled = self._prefilled or attempt.is_prefilled
        self._report(attempt.plan, error)

    def _count(self, relayed: RelayedStream) -> None:
        progress = self.progress
        self._prefilled = True
        if relayed.delivered and not progress.delivered:
            progress.first_token_at = relayed.first_at
        progress.delivered += relayed.delivered
        progress.last_token_at = relayed.last_at

    def _call(
        self, plan: Plan, engine_id: str, transfer: dict[str, Any], ender: CallEnder
    ) -> EngineCall:
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
            resume_from=plan.resume_from,
            transfer=transfer,
            ender=ender,
        )

    def _report(
        self,
        plan: Plan,
        error: UpstreamError | None,
        *,
        output_tokens: int = 0,
        sent: bool = True,
    ) -> None:
        """Report the end of an attempt."""
        gone = self._exchange.gone.is_set()
        end = AttemptEnd(
            request_id=plan.request_id,
            attempt=plan.attempt,
            ok=error is None,
            output_tokens=output_tokens,
            sent=self._prefilled or error is None or (sent and error.ran is not Ran.NOT_RUN),
            code=error.code if error is not None else Code.UPSTREAM_FAILED,
            failed_engine="" if gone else _failed_engine(plan, error),
            retryable=not gone,
            engine_has_ended=not gone and self._has_ended(plan, error),
            rest_s=_rest_asked(error),
        )
        self._await_decision()
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
    return error.upstream if isinstance(error, LeftOffError) else error.upstream or plan.decode_id
