"""What operators see of one request's place in the order for room: log fields and counters."""

from __future__ import annotations

from typing import TYPE_CHECKING

from croftchute.errors import Code, Ran

if TYPE_CHECKING:
    from croftchute.forwarding.workers.request_run import RequestRun

HELD_BACK = "held_back"
"""Cause of a refusal: more urgent requests waited, and the request asked no engine at last."""

NO_ROOM = "no_room"
"""Cause of a refusal: no engine that was asked at last had room."""


def queue_log_fields(run: RequestRun) -> dict[str, object]:
    """The request's place in the order for room, for the log; empty where there is none.

    ``entry_age_s`` is the age of the newest news that the entry rank waits, in seconds. ``share``
    and ``used`` are fractions of the memory that is granted, given while that is scarce.
    """
    if not run.is_ordered:
        return {}
    view = run.state.room_view(run.service)
    age_s = view.entry_age_s(run.now)
    facts: dict[str, object] = {
        "rank": run.rank,
        "room_rank": run.room_rank,
        "entry_rank": view.entry_rank(),
        "entry_age_s": None if age_s is None else round(age_s, 3),
    }
    if (share := run.share).is_scarce:
        facts |= {"share": round(share.share, 3), "used": round(share.used, 3)}
    return facts


def count_room_refusal(run: RequestRun, code: Code, ran: Ran) -> None:
    """Count a refusal of an ordered stream, if it was room that lacked."""
    if code is not Code.NO_CAPACITY or ran is not Ran.NOT_RUN or not run.is_ordered:
        return
    if not run.is_held_back and not run.full_workers:
        return
    run.state.metrics.room_refusals.inc(
        {
            "service": run.service,
            "rank": str(run.rank),
            "cause": HELD_BACK if run.is_held_back else NO_ROOM,
        }
    )


def count_over_share(run: RequestRun) -> None:
    """Count a request whose organisation is over its share; each request once."""
    if run.share.is_over and not run.is_counted_over_share:
        run.is_counted_over_share = True
        run.state.metrics.over_share.inc({"service": run.service})
