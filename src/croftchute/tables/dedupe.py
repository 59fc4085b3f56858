"""Rows of at-most-once execution: key ranges, their pairs of boxes, and records of calls."""

from __future__ import annotations

import json
from dataclasses import asdict, dataclass
from enum import StrEnum

import xxhash

RANGES = 64


class Phase(StrEnum):
    """Where a non-repeatable call stands."""

    GRANTED = "granted"
    DONE = "done"
    DELIVERED = "delivered"
    UNKNOWN = "unknown"
    ABANDONED = "abandoned"
    SYNCED = "synced"


class Decision(StrEnum):
    """What the first box of a range says."""

    RUN = "run"
    STORED = "stored"
    REFUSE = "refuse"
    NOTED = "noted"


@dataclass(frozen=True, kw_only=True, slots=True)
class BoxIncarnation:
    """A box at one of its starts."""

    box: str
    incarnation: int


@dataclass(frozen=True, kw_only=True, slots=True)
class RangeRow:
    """The pair that keeps the records of one key range, under an epoch.

    Keys minted before ``floor`` (Unix seconds) may have run under a lost pair. The records
    began anew, with none, at ``floor_epoch``; a later epoch carries on with those there were.
    """

    index: int
    epoch: int
    floor: float
    floor_epoch: int
    first: BoxIncarnation
    second: BoxIncarnation


@dataclass(frozen=True, kw_only=True, slots=True)
class RangeMap:
    """The rows of all ranges; ``version`` rises with each accepted write."""

    version: int
    rows: tuple[RangeRow, ...]


@dataclass(frozen=True, kw_only=True, slots=True)
class Record:
    """What is known of one call; ``token`` names the try that was let run."""

    key: str
    token: str
    phase: Phase
    at: float
    answer: bytes = b""
    status: int = 0


EMPTY_MAP = RangeMap(version=0, rows=())


def range_of(key: str) -> int:
    """The key range that a key falls into."""
    return int(xxhash.xxh3_64_intdigest(key.encode())) % RANGES


def dump_rows(rows: tuple[RangeRow, ...]) -> bytes:
    """Rows as JSON, for the platform's store."""
    return json.dumps([asdict(row) for row in rows]).encode()


def parse_rows(raw: bytes) -> tuple[RangeRow, ...]:
    """Rows from the JSON of :func:`dump_rows`."""
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
