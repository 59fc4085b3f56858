"""Reads the decision log of forwarding boxes into the fate of each request."""

from __future__ import annotations

from collections.abc import Iterable, Iterator
from dataclasses import dataclass, field
from datetime import datetime
from enum import StrEnum
from typing import Any

import msgspec

from croftchute.forwarding.decision_log import Decision

Line = dict[str, Any]


class Fate(StrEnum):
    """How a request ended for its caller."""

    IN_TIME = "in time"
    LATE = "late"
    FAILED = "failed"
    REFUSED = "refused"
    BROKEN = "broken off"
    LEFT = "caller left"
    OPEN = "no end logged"


@dataclass(kw_only=True)
class RequestStory:
    """One try of a caller, as its lines tell it.

    ``rank`` is the place among streams that wait in an order for room; None for all others.
    ``room_s`` is when the first hold was granted, in seconds after the request came.
    """

    id: str
    began_at: float
    box: str = ""
    rank: int | None = None
    room_s: float | None = None
    route: str = ""
    organisation: str = ""
    tokens: int = 0
    fate: Fate = Fate.OPEN
    cause: str = ""
    lasted_s: float = 0.0
    counts: dict[str, int] = field(default_factory=dict)

    def count(self, what: str) -> None:
        """Count something that happened to the request."""
        self.counts[what] = self.counts.get(what, 0) + 1


def parse_lines(raw_lines: Iterable[str]) -> Iterator[Line]:
    """The JSON objects among some lines; what stands before one, as a box's name, is dropped."""
    for raw in raw_lines:
        start = raw.find("{")
        if start < 0:
            continue
        try:
            line = msgspec.json.decode(raw[start:].encode())
        except msgspec.DecodeError:
            continue
        if isinstance(line, dict) and "event" in line and "at" in line:
            yield line


def seconds_of(line: Line) -> float:
    """When a line was written, in Unix seconds."""
    return datetime.fromisoformat(line["at"]).timestamp()


def halls(lines: Iterable[Line]) -> dict[str, str]:
    """The halls of boxes by the boxes' names, as their ``started`` lines tell them."""
    return {
        str(line.get("box", "")): str(line["hall"])
        for line in lines
        if line["event"] == Decision.STARTED and line.get("hall")
    }


def stories(lines: Iterable[Line]) -> dict[str, RequestStory]:
    """The requests of some logs by id."""
    by_id: dict[str, RequestStory] = {}
    for line in lines:
        request_id = line.get("request_id")
        if not request_id:
            continue
        elapsed_s = float(line.get("elapsed_ms", 0.0)) / 1000.0
        story = by_id.get(request_id)
        if story is None:
            story = RequestStory(
                id=request_id,
                began_at=seconds_of(line) - elapsed_s,
                box=str(line.get("box", "")),
            )
            by_id[request_id] = story
        _tell(story, line, elapsed_s)
    return by_id


def _tell(story: RequestStory, line: Line, elapsed_s: float) -> None:
    event = line["event"]
    outcome = str(line.get("outcome", ""))
    story.route = line.get("route") or story.route
    story.organisation = line.get("organisation") or story.organisation
    if event in _RANKED and line.get("rank") is not None:
        story.rank = int(line["rank"])
    if event == Decision.HOLD_ASKED:
        story.tokens = int(line.get("tokens", 0))
        if outcome == "granted" and story.room_s is None:
            story.room_s = elapsed_s
        story.count(f"room {outcome}")
    elif event in _STEPS:
        story.count(f"{event} {outcome}")
    elif event in _FATES:
        story.fate = _FATES[event]
        story.cause = outcome
        story.lasted_s = elapsed_s
        if event == Decision.REQUEST_ANSWERED:
            story.fate = _fate_of_answer(line, outcome)


_RANKED = frozenset({Decision.HOLD_ASKED, Decision.WAIT_ENDED, Decision.REQUEST_REFUSED})
"""Lines whose ``rank`` is that of the order for room; that of a permit may be another one."""

_STEPS = frozenset(
    {
        Decision.PREFILL_ENDED,
        Decision.ATTEMPT_ENDED,
        Decision.READ_AT_DECODE,
        Decision.WAIT_ENDED,
        Decision.REPEAT_DENIED,
        Decision.LIMIT_DENIED,
        Decision.PERMIT_DENIED,
    }
)

_FATES: dict[str, Fate] = {
    Decision.REQUEST_ANSWERED: Fate.IN_TIME,
    Decision.REQUEST_REFUSED: Fate.REFUSED,
    Decision.REQUEST_BROKEN: Fate.BROKEN,
    Decision.CALLER_LEFT: Fate.LEFT,
}


def _fate_of_answer(line: Line, outcome: str) -> Fate:
    if outcome != "ok":
        return Fate.FAILED
    in_time = float(line.get("first_byte_ms", 0.0)) <= float(line.get("target_ms", 0.0))
    return Fate.IN_TIME if in_time else Fate.LATE
