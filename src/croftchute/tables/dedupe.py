"""Rows for at-most-once execution: key ranges, their pairs of boxes, and records of calls."""

from __future__ import annotations

import json
from dataclasses import asdict, dataclass
from enum import StrEnum

import xxhash

RANGES = 64


class Phase(StrEnum):
    """The phase of a non-repeatable call.

    ``DELIVERED`` means that the answer is not stored: it is being sent to the caller, or it is too
    large. ``ABANDONED`` means that the call has not run, and its key is free again. ``SYNCED`` is
    not a phase of a call: it marks the end of the records that the first box of a range copies to
    a new second box.
    """

    GRANTED = "granted"
    DONE = "done"
    DELIVERED = "delivered"
    UNKNOWN = "unknown"
    ABANDONED = "abandoned"
    SYNCED = "synced"


class Decision(StrEnum):
    """The reply of a range's first box to a call that may begin or has finished.

    ``STORED`` returns the answer of an earlier call with the key. ``NOTED`` confirms that the
    outcome of a call is recorded.
    """

    RUN = "run"
    STORED = "stored"
    REFUSE = "refuse"
    NOTED = "noted"


@dataclass(frozen=True, kw_only=True, slots=True)
class BoxIncarnation:
    """One run of a box's process, from its start to its end."""

    box: str
    incarnation: int


@dataclass(frozen=True, kw_only=True, slots=True)
class RangeRow:
    """The pair of boxes that keeps the records of one key range in an epoch.

    Keys created before ``floor`` (Unix seconds) may have run under a pair that was lost with its
    records. The range started without records at ``floor_epoch``; later epochs keep those written
    since.
    """

    index: int
    epoch: int
    floor: float
    floor_epoch: int
    first: BoxIncarnation
    second: BoxIncarnation


@dataclass(frozen=True, kw_only=True, slots=True)
class RangeMap:
    """The rows of all ranges; ``version`` increases with each accepted write."""

    version: int
    rows: tuple[RangeRow, ...]


@dataclass(frozen=True, kw_only=True, slots=True)
class Record:
    """The record of one call; ``token`` identifies the try that was allowed to run."""

    key: str
    token: str
    phase: Phase
    at: float
    answer: bytes = b""
    status: int = 0


EMPTY_MAP = RangeMap(version=0, rows=())


def range_of(key: str) -> int:
    """Return the index of a key's range."""
    return int(xxhash.xxh3_64_intdigest(key.encode())) % RANGES


def dump_rows(rows: tuple[RangeRow, ...]) -> bytes:
    """Serialise rows as JSON for the platform's store."""
    return json.dumps([asdict(row) for row in rows]).encode()


def parse_rows(raw: bytes) -> tuple[RangeRow, ...]:
    """Parse rows from the JSON of :func:`dump_rows`."""
    return tuple(
        RangeRow(
            index=entry["index"],
            epoch=entry["epoch"],
            floor=entry["floor"],
            floor_epoch=entry["floor_epoch"],
            first=BoxIncarnation(**entry["first"]),
            second=BoxIncarnation(**entry["second"]),
        )
        for entry in json.loads(raw)
    )
