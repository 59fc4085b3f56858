"""A bounded ring of stamped events, one for each process."""

from __future__ import annotations

from collections import deque

import msgspec

from croftchute.tables.rows import Row
from croftchute.timeline.events import Event, Kind
from croftchute.timeline.stamps import StampClock

RING_EVENTS = 20000


class StampedEvent(Row, frozen=True, kw_only=True):
    """An event with its process, its number there and its hybrid logical time."""

    process: str
    number: int
    stamp: int
    event: Event

    def as_record(self) -> dict[str, object]:
        """The event as one flat JSON object."""
        record: dict[str, object] = msgspec.structs.asdict(self.event)
        record["kind"] = self.event.kind.value
        record.update(process=self.process, number=self.number, stamp=self.stamp)
        return record


def from_record(record: dict[str, object]) -> StampedEvent:
    """Read back what :meth:`StampedEvent.as_record` wrote."""
    event = Event(
        kind=Kind(str(record["kind"])),
        request_id=str(record["request_id"]),
        upstream=str(record["upstream"]),
        attempt=int(str(record["attempt"])),
        detail=str(record["detail"]),
    )
    return StampedEvent(
        process=str(record["process"]),
        number=int(str(record["number"])),
        stamp=int(str(record["stamp"])),
        event=event,
    )


class EventRing:
    """The latest events of one process; the numbers show what has fallen out."""

    def __init__(self, *, process: str, clock: StampClock, size: int = RING_EVENTS) -> None:
        self.process = process
        self.clock = clock
        self._events: deque[StampedEvent] = deque(maxlen=size)
        self._next = 0

    def __len__(self) -> int:
        return len(self._events)

    def emit(self, event: Event, now: float) -> StampedEvent:
        """Stamp an event and keep it."""
        stamped = StampedEvent(
            process=self.process, number=self._next, stamp=self.clock.tick(now), event=event
        )
        self._next += 1
        self._events.append(stamped)
        return stamped

    def events(self) -> list[StampedEvent]:
        """All events still held, oldest first."""
        return list(self._events)
