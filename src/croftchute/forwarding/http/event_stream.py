"""Cutting a server-sent event stream into whole events and reading their numbers."""

from __future__ import annotations

from dataclasses import dataclass

EVENT_END = b"\n\n"
ID_FIELD = b"id:"

MAX_DIGITS = 18
"""Digits of an event's number: it fits 64 bits. Python reads no more than 4,300, and the id of an
event may be longer."""


@dataclass(frozen=True, kw_only=True, slots=True)
class StreamEvent:
    """One whole event as its bytes; ``number`` is None if it has no numeric id."""

    data: bytes
    number: int | None


def event_number(data: bytes) -> int | None:
    """The numeric id of an event.

    >>> event_number(b"id: 7\\ndata: x\\n\\n")
    7
    """
    for line in data.split(b"\n"):
        if line.startswith(ID_FIELD):
            value = line[len(ID_FIELD) :].strip()
            return int(value) if value.isdigit() and len(value) <= MAX_DIGITS else None
    return None


class EventSplitter:
    """Collects bytes and hands out whole events; the rest waits for more.

    >>> splitter = EventSplitter()
    >>> [event.number for event in splitter.feed(b"id: 1\\ndata: a\\n\\nid: 2\\nda")]
    [1]
    >>> splitter.leftover
    b'id: 2\\nda'
    """

    def __init__(self) -> None:
        self.leftover = b""

    def feed(self, data: bytes) -> list[StreamEvent]:
        """Take more bytes in; returns the events that are whole now."""
        *whole, self.leftover = (self.leftover + data).split(EVENT_END)
        return [StreamEvent(data=event + EVENT_END, number=event_number(event)) for event in whole]
