"""Merging the rings of many processes into one time line, with lost ranges shown as gaps."""

from __future__ import annotations

import json
from collections.abc import Iterable
from dataclasses import dataclass

from croftchute.timeline.ring import StampedEvent
from croftchute.timeline.stamps import COUNTER_BITS, seconds

MICROSECONDS = 1000


@dataclass(frozen=True, kw_only=True, slots=True)
class Gap:
    """Events of a process that its ring no longer held."""

    process: str
    missing: int


def merge(events: Iterable[StampedEvent]) -> list[StampedEvent]:
    """All events in the order of their stamps."""
    return sorted(events, key=lambda event: (event.stamp, event.process, event.number))


def gaps(events: Iterable[StampedEvent]) -> list[Gap]:
    """How many earlier events each process has lost."""
    first_by_process: dict[str, int] = {}
    for event in events:
        first = first_by_process.get(event.process, event.number)
        first_by_process[event.process] = min(first, event.number)
    return [Gap(process=p, missing=n) for p, n in sorted(first_by_process.items()) if n > 0]


def select(
    events: Iterable[StampedEvent],
    *,
    request_id: str = "",
    upstream: str = "",
    since: float = 0.0,
) -> list[StampedEvent]:
    """The events about a request or an upstream, from a Unix time on."""
    return [
        event
        for event in events
        if (not request_id or event.event.request_id.startswith(request_id))
        and (not upstream or event.event.upstream == upstream)
        and seconds(event.stamp) >= since
    ]


def as_text(events: list[StampedEvent]) -> str:
    """One line for each event, with seconds since the first."""
    if not events:
        return "no events"
    start = seconds(events[0].stamp)
    lines = []
    for stamped in events:
        event = stamped.event
        about = " ".join(part for part in (event.request_id, event.upstream, event.detail) if part)
        offset = seconds(stamped.stamp) - start
        lines.append(f"{offset:9.3f}s  {stamped.process:<12} {event.kind.value:<18} {about}")
    return "\n".join(lines)


def as_chrome_trace(events: list[StampedEvent]) -> str:
    """The Trace Event Format that Chrome's trace viewer reads: instant events by process."""
    records = [
        {
            "name": stamped.event.kind.value,
            "ph": "i",
            "s": "p",
            "ts": (stamped.stamp >> COUNTER_BITS) * MICROSECONDS,
            "pid": stamped.process,
            "tid": stamped.event.request_id or stamped.event.upstream or "box",
            "args": {"detail": stamped.event.detail},
        }
        for stamped in events
    ]
    return json.dumps({"traceEvents": records})
