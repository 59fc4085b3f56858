"""Commands that the systems return for the process's I/O code to execute."""

from __future__ import annotations

from typing import TypeAlias

from croftchute.errors import Code, Ran
from croftchute.peers.messages import Body
from croftchute.tables.dedupe import RangeRow
from croftchute.tables.requests import Plan
from croftchute.tables.rows import Row
from croftchute.timeline.events import Event


class SendPeer(Row, frozen=True, kw_only=True):
    """Send a message to another box; delivery is not guaranteed."""

    box: str
    body: Body


class StartAttempt(Row, frozen=True, kw_only=True):
    """Run an attempt of a request as planned."""

    plan: Plan


class RefuseRequest(Row, frozen=True, kw_only=True):
    """Refuse a request, or end it before its answer is complete."""

    request_id: str
    code: Code
    ran: Ran
    retry_after_s: float


class CancelAttempt(Row, frozen=True, kw_only=True):
    """Cancel an attempt at an engine; the outcome is reported back to the systems."""

    engine_id: str
    key: str


class PollEngine(Row, frozen=True, kw_only=True):
    """Ask an engine for its load report and cache events."""

    engine_id: str


class FetchSharedState(Row, frozen=True, kw_only=True):
    """Fetch a newer configuration or range map from a peer."""

    box: str


class ProposeRangeMap(Row, frozen=True, kw_only=True):
    """Try to replace the given version of the range map in the platform's store with new rows."""

    version: int
    rows: tuple[RangeRow, ...]


class EmitEvent(Row, frozen=True, kw_only=True):
    """Add an event to the timeline."""

    event: Event


class DecideCall(Row, frozen=True, kw_only=True):
    """Deliver the verdict on a non-repeatable call that is waiting at this box."""

    token: str
    decision: str
    code: str
    answer: bytes
    status: int


Command: TypeAlias = (
    SendPeer
    | StartAttempt
    | RefuseRequest
    | CancelAttempt
    | PollEngine
    | FetchSharedState
    | ProposeRangeMap
    | EmitEvent
    | DecideCall
)
