"""Refusals that a box keeps back while another box may still serve the request."""

from __future__ import annotations

from dataclasses import dataclass

from croftchute.errors import Code, Ran

FINAL_CODES = frozenset(
    {
        Code.ENDS_WORKERS,
        Code.OVER_LIMIT,
        Code.LIMIT_UNKNOWN,
        Code.PROMPT_TOO_LONG,
        Code.VERSION_GONE,
        Code.VERSION_UNKNOWN,
    }
)
"""Refusals that hold at every box."""

OUTLASTS_STOP = "this box ends before the request is likely to be answered"

CUT_OFF_DETAIL = "this box has lost its links to all workers"


@dataclass(frozen=True, kw_only=True, slots=True)
class Withheld:
    """A refusal that was not sent, as another box may serve the request.

    ``last_event`` is the last event that the caller received of a stream that has begun.
    """

    code: Code
    ran: Ran
    detail: str
    expected_wait_s: float | None = None
    last_event: int | None = None
