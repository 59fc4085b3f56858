"""The row about the whole fleet that stands in the platform's store."""

from __future__ import annotations

from dataclasses import dataclass


@dataclass(frozen=True, kw_only=True, slots=True)
class FleetEntry:
    """How many boxes there are, and which of them is the main pool of the limits, as last written.

    ``pool`` is the id of the box that most others lend to, ``host`` and ``port`` are where it takes
    notices; all are empty where there was no such box yet.
    """

    boxes: int
    pool: str = ""
    host: str = ""
    port: int = 0
