"""One attempt of a completion: its calls on a thread of their own, then its stream in the relay.

A call that waits for a silent engine can't be left and taken up again, so it doesn't run on the
completion's thread, which meanwhile may begin another attempt.
"""

from __future__ import annotations

import threading
from collections.abc import Callable
from typing import Any, Protocol

from croftchute.clock import ProcessClock
from croftchute.errors import UpstreamError
from croftchute.gateway.relay import Relay, RelayedStream
from croftchute.tables.requests import Plan, attempt_key
from croftchute.timeline.events import Event, Kind
from croftchute.upstreams.engine import CallEnder, Engine, EngineCall, JsonObject, TokenStream

MakeCall = Callable[[Plan, str, dict[str, Any], CallEnder], EngineCall]


class AttemptBox(Protocol):
    """What an attempt needs of its box."""

    clock: ProcessClock
    engine: Engine
    relay: Relay

    def note(self, event: Event) -> None:
        """Put an event on the time line."""
        ...


class Attempt:
    """An attempt from its first call to the end of its stream.

    ``changed`` is called from other threads whenever there may be something new to see.
    """

    def __init__(
        self,
        *,
        box: AttemptBox,
        plan: Plan,
        make_call: MakeCall,
        mark: bytes,
        changed: Callable[[], None],
    ) -> None:
        self.plan = plan
        self.relayed: RelayedStream | None = None
        self.is_prefilled = False
        self._box = box
        self._make_call = make_call
        self._mark = mark
        self._changed = changed
        self._heard_at = box.clock.now()
        self._error: Exception | None = None
        self._stream: TokenStream | None = None
        self._ender = CallEnder()
        self._is_ended = False
        self._lock = threading.Lock()

    def __repr__(self) -> str:
        return f"Attempt({attempt_key(self.plan.request_id, self.plan.attempt)!r})"

    @property
    def has_spoken(self) -> bool:
        """Whether events have come."""
        return self.relayed is not None and self.relayed.has_spoken

    @property
    def is_over(self) -> bool:
        """Whether nothing more will come."""
        relayed = self.relayed
        return self._error is not None or (relayed is not None and relayed.is_over)

    @property
    def delivered(self) -> int:
        """The events that have come."""
        return self.relayed.delivered if self.relayed is not None else 0

    @property
    def awaited_engine(self) -> str:
        """The engine that the attempt waits for."""
        return self.plan.decode_id if self.is_prefilled else self.plan.prefill_id

    def begin(self) -> None:
        """Make the calls."""
        threading.Thread(target=self._open, daemon=True, name=f"{self!r}").start()

    def silent_s(self, now: float) -> float:
        """Seconds since the engine was last heard; 0 while the caller has no room for more."""
        relayed = self.relayed
        if relayed is None:
            return now - self._heard_at
        if relayed.sink is not None and relayed.sink.is_blocked:
            return 0.0
        return now - relayed.last_at

    def outcome(self) -> UpstreamError | None:
        """Why an attempt that is over failed, or None if its stream is whole."""
        if self._error is None and self.relayed is not None:
            return self.relayed.outcome()
        if self._error is not None and not isinstance(self._error, UpstreamError):
            raise self._error
        return self._error

    def end(self) -> None:
        """End the attempt from this side: its call is broken off, its stream given up."""
        with self._lock:
            self._is_ended = True
            relayed, stream = self.relayed, self._stream
        self._ender.end()
        if relayed is not None:
            self._box.relay.close(relayed)
        if stream is not None:
            stream.dispose()

    def _open(self) -> None:
        try:
            params = self._prefill()
            call = self._make_call(self.plan, self.plan.decode_id, params, self._ender)
            self._relay(self._box.engine.decode(call))
        except Exception as error:  # the completion's thread raises or reports it
            self._error = error
            self._changed()

    def _prefill(self) -> JsonObject:
        plan = self.plan
        call = self._make_call(plan, plan.prefill_id, {}, self._ender)
        try:
            params = self._box.engine.prefill(call)
        except UpstreamError as error:
            error.upstream = plan.prefill_id
            raise
        self._heard_at = self._box.clock.now()
        self.is_prefilled = True
        event = Event(
            kind=Kind.PREFILL_DONE,
            request_id=plan.request_id,
            upstream=plan.prefill_id,
            attempt=plan.attempt,
        )
        self._box.note(event)
        self._changed()
        return params

    def _relay(self, stream: TokenStream) -> None:
        with self._lock:
            self._stream = stream
            if self._is_ended:
                stream.dispose()
                return
            self.relayed = self._box.relay.open(stream, self._mark, self._changed)
        # The relay may have told of events before the stream was known here.
        self._changed()
