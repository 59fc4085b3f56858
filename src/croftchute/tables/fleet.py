"""The row about the whole fleet that stands in the platform's store."""

from __future__ import annotations

from dataclasses import dataclass


@dataclass(frozen=True, kw_only=True, slots=True)
class FleetEntry:
    """How many boxes there are, and which of them keeps the pool of the limits, as last written.

    ``keeper`` is a box's id, ``host`` and ``port`` are where it takes notices; all are empty where
    no box kept the pool yet.
    """

    boxes: int
    keeper: str = ""
    host: str = ""
    port: int = 0
