"""What the systems ask the I/O side of a process to do."""

from __future__ import annotations

from dataclasses import dataclass
from typing import TypeAlias

from croftchute.errors import Code, Ran
from croftchute.peers.messages import Body
from croftchute.tables.dedupe import RangeRow
from croftchute.tables.requests import Plan
from croftchute.timeline.events import Event


@dataclass(frozen=True, kw_only=True, slots=True)
class SendPeer:
    """Send a message to another box; it may be lost."""

    box: str
    body: Body


@dataclass(frozen=True, kw_only=True, slots=True)
class StartAttempt:
    """Run an attempt of a request as planned."""

    plan: Plan


@dataclass(frozen=True, kw_only=True, slots=True)
class RefuseRequest:
    """Give a request its final answer: it will not be served (any further)."""

    request_id: str
    code: Code
    ran: Ran
    retry_after_s: float


@dataclass(frozen=True, kw_only=True, slots=True)
class CancelAttempt:
    """Cancel an attempt at an engine; the outcome comes back as an input."""

    engine_id: str
    key: str


@dataclass(frozen=True, kw_only=True, slots=True)
class PollEngine:
    """Ask an engine for its load report and cache events."""

    engine_id: str


@dataclass(frozen=True, kw_only=True, slots=True)
class FetchShared:
    """Get a newer configuration or range map from a peer."""

    box: str


@dataclass(frozen=True, kw_only=True, slots=True)
class ProposeRanges:
    """Try to put new rows in place of a version of the range map in the platform's store."""

    version: int
    rows: tuple[RangeRow, ...]


@dataclass(frozen=True, kw_only=True, slots=True)
class Emit:
    """Put an event on the time line."""

    event: Event


@dataclass(frozen=True, kw_only=True, slots=True)
class DecideCall:
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
    | FetchShared
    | ProposeRanges
    | Emit
    | DecideCall
)
