"""How far one stream has come, and what its attempts have brought."""

from __future__ import annotations

from dataclasses import dataclass

from croftchute.errors import Code
from croftchute.tables.routing import HeaderList

NOT_RUN_STATUSES = frozenset({408, 421, 429, 503})
"""Statuses that callers take to mean that nothing ran."""


@dataclass(frozen=True, kw_only=True, slots=True)
class FailureAnswer:
    """A worker's error status with its answer."""

    worker: str
    status: int
    headers: HeaderList
    body: bytes


@dataclass(kw_only=True)
class StreamProgress:
    """How much of the stream the caller has received, and the state of the attempts.

    ``is_doubtful``: the worker's process was replaced by one with other software while it sent the
    stream, and either may have sent the events.
    ``failure`` is the error status that the caller gets if no other worker answers.
    ``may_retry_at_once``: a rejected prefill used up the last attempt. The caller's next try needs
    no prefill worker, so it may come at once.
    """

    last_event: int | None
    event_count: int = 0
    may_have_run: bool = False
    is_complete: bool = False
    failure: FailureAnswer | None = None
    code: Code = Code.NO_UPSTREAM
    detail: str = "no usable worker is known"
    serving_worker: str = ""
    may_retry_at_once: bool = False
    is_doubtful: bool = False
