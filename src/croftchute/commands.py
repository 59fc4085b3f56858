"""What the systems ask the I/O side of a process to do."""

from __future__ import annotations

from typing import TypeAlias

from croftchute.errors import Code, Ran
from croftchute.peers.messages import Body
from croftchute.tables.dedupe import RangeRow
from croftchute.tables.requests import Plan
from croftchute.tables.rows import Row
from croftchute.timeline.events import Event


class SendPeer(Row, frozen=True, kw_only=True):
    """Send a message to another box; it may be lost."""

    box: str
    body: Body


class StartAttempt(Row, frozen=True, kw_only=True):
    """Run an attempt of a request as planned."""

    plan: Plan


class RefuseRequest(Row, frozen=True, kw_only=True):
    """Give a request its final answer: it will not be served (any further)."""

    request_id: str
    code: Code
    ran: Ran
    retry_after_s: float


class CancelAttempt(Row, frozen=True, kw_only=True):
    """Cancel an attempt at an engine; the outcome comes back as an input."""

    engine_id: str
    key: str


class PollEngine(Row, frozen=True, kw_only=True):
    """Ask an engine for its load report and cache events."""

    engine_id: str


class FetchSharedState(Row, frozen=True, kw_only=True):
    """Get a newer configuration or range map from a peer."""

    box: str


class ProposeRangeMap(Row, frozen=True, kw_only=True):
    """Try to put new rows in place of a version of the range map in the platform's store."""

    version: int
    rows: tuple[RangeRow, ...]


class EmitEvent(Row, frozen=True, kw_only=True):
    """Put an event on the time line."""

    event: Event


class DecideCall(Row, frozen=True, kw_only=True):
    """The verdict on a non-repeatable call that waits at this box."""

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
