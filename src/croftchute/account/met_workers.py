"""The lives of workers that one request met, and which of them ended under it."""

from __future__ import annotations

from collections.abc import Iterable, Sequence
from dataclasses import dataclass

from croftchute.account.log_lines import Line, seconds_of
from croftchute.account.tables import Table
from croftchute.forwarding.decision_log import Decision

ENDED_OUTCOMES = frozenset({"ended", "restarted"})
"""What a look at a worker says if its process is gone."""

ENDS_BY_SENDING = {
    Decision.REQUEST_SENT: Decision.ATTEMPT_ENDED,
    Decision.PREFILL_SENT: Decision.PREFILL_ENDED,
}
CALLS = {Decision.REQUEST_SENT: "request", Decision.PREFILL_SENT: "prompt"}


@dataclass(kw_only=True, slots=True)
class Meeting:
    """One sending of a request to one life of a worker, and what came of it."""

    box: str
    call: str
    worker: str
    sent_at: float
    wish: str = ""
    outcome: str = "no end logged"
    digest: str = ""
    has_ended: bool = False


def meetings(lines: Sequence[Line], request_id: str) -> list[Meeting]:
    """The sendings of a request in their order, over the logs of all boxes."""
    found: list[Meeting] = []
    for line in lines:
        if line.get("request_id") != request_id:
            continue
        event = line["event"]
        if event in ENDS_BY_SENDING:
            found.append(_meeting(line))
        elif event in ENDS_BY_SENDING.values():
            _note_end(found, line)
    _note_lives_ended(found, lines)
    return sorted(found, key=lambda meeting: meeting.sent_at)


def met_workers(lines: Iterable[Line], request_id: str) -> Table:
    """The table of a request's meetings."""
    found = meetings(list(lines), request_id)
    first_at = found[0].sent_at if found else 0.0
    rows = tuple(
        (
            f"{meeting.sent_at - first_at:.3f}",
            meeting.box,
            meeting.call,
            meeting.worker,
            meeting.wish or "-",
            meeting.outcome,
            "yes" if meeting.has_ended else "no",
        )
        for meeting in found
    )
    columns = ("s", "box", "call", "life of a worker", "its wish", "outcome", "ended under it")
    return Table(title=f"Workers that {request_id} met", columns=columns, rows=rows)


def _meeting(line: Line) -> Meeting:
    return Meeting(
        box=str(line.get("box", "")),
        call=CALLS[line["event"]],
        worker=str(line.get("worker", "")),
        sent_at=seconds_of(line),
        wish=str(line.get("wish", "")),
    )


def _note_end(found: Sequence[Meeting], line: Line) -> None:
    """Give an end to the last sending to that worker that has none."""
    for meeting in reversed(found):
        is_its = meeting.worker == line.get("worker") and meeting.outcome == "no end logged"
        if is_its and line["event"] == _end_of(meeting):
            meeting.outcome = str(line.get("outcome", ""))
            meeting.digest = str(line.get("digest", ""))
            return


def _end_of(meeting: Meeting) -> Decision:
    is_prompt = meeting.call == CALLS[Decision.PREFILL_SENT]
    return Decision.PREFILL_ENDED if is_prompt else Decision.ATTEMPT_ENDED


def _note_lives_ended(found: Sequence[Meeting], lines: Iterable[Line]) -> None:
    """Mark the meetings at whose broken end the box found the worker's process gone."""
    for line in lines:
        if line["event"] != Decision.WORKER_LOOKED_AT or line.get("outcome") not in ENDED_OUTCOMES:
            continue
        for meeting in found:
            is_held_against = meeting.digest and meeting.digest in line.get("digests", ())
            if meeting.worker == line.get("worker") and is_held_against:
                meeting.has_ended = True
