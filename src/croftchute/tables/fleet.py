"""The fleet's record in the platform's store."""

from __future__ import annotations

from dataclasses import dataclass


@dataclass(frozen=True, kw_only=True, slots=True)
class FleetEntry:
    """The number of boxes and the main pool of the limits, as last written.

    ``pool`` is the id of the box that most others lend to; ``host`` and ``port`` are its notice
    address. All three are empty or 0 if there was no such box yet.
    """

    boxes: int
    pool: str = ""
    host: str = ""
    port: int = 0
