"""Log fields and counters about a request's place in the queue for decode memory."""

from __future__ import annotations

from typing import TYPE_CHECKING

from croftchute.errors import Code, Ran

if TYPE_CHECKING:
    from croftchute.forwarding.workers.request_run import RequestRun

HELD_BACK = "held_back"
"""Cause of a refusal: the request yielded to more urgent ones, and asked no engine last time."""

NO_ROOM = "no_room"
"""Cause of a refusal: none of the engines asked last had room."""


def queue_log_fields(run: RequestRun) -> dict[str, object]:
    """Return log fields on the request's place in the queue; empty if it does not queue by rank.

    ``entry_age_s`` is the age in seconds of the newest report that the entry rank waits. ``share``
    and ``used`` are fractions of the granted memory, present only while memory is scarce.
    """
    if not run.is_ordered:
        return {}
    view = run.state.room_view(run.service)
    age_s = view.starved_report_age_s(run.now)
    fields: dict[str, object] = {
        "rank": run.rank,
        "room_rank": run.room_rank,
        "entry_rank": view.starved_rank(),
        "entry_age_s": None if age_s is None else round(age_s, 3),
    }
    if (share := run.share).is_scarce:
        fields |= {"share": round(share.share, 3), "used": round(share.used, 3)}
    return fields


def count_room_refusal(run: RequestRun, code: Code, ran: Ran) -> None:
    """Count a refusal of a stream that queues by rank, if it was for lack of room."""
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
    """Count a request whose organisation is over its share, once for each request."""
    if run.share.is_over and not run.is_counted_over_share:
        run.is_counted_over_share = True
        run.state.metrics.over_share.inc({"service": run.service})
