"""The number of boxes, by which every shared limit is divided.

A box that has just started knows few others, and one that starts during a network cut will not
learn of the rest while the cut lasts. The count is therefore recorded in the platform's store, next
to the configuration that a box needs to serve requests. A box owns no share of a limit until it has
read the record or received the count from a box that has read it.
"""

from __future__ import annotations

import math
from dataclasses import dataclass

SHRINK_DELAY_S = 300.0
"""Seconds for which fewer boxes than recorded must be known before the record is lowered. Boxes
that are cut off continue to use their shares, and operators are expected to notice a longer cut.
During this time a smaller fleet grants less than its limits, by the shares of the removed boxes."""


@dataclass(kw_only=True)
class FleetSize:
    """The recorded count: None if it has not been read, 0 if there is no record yet.

    ``pool`` is the box that most others lent their shares to when the record was written.
    """

    recorded: int | None = None
    pool: str = ""
    _fewer_since: float = math.inf

    @property
    def is_known(self) -> bool:
        """Whether the record has been read here or by a box that reported it."""
        return self.recorded is not None

    def note_reported(self, boxes: int) -> None:
        """Record the count reported by another box; 0 if that box does not know it."""
        if boxes > 0:
            self.recorded = max(boxes, self.recorded or 0)

    def boxes(self, known: int) -> int:
        """Return the number to divide by: the larger of the record and the known boxes, at least 1.

        >>> FleetSize(recorded=78).boxes(5), FleetSize(recorded=0).boxes(5)
        (78, 5)
        """
        return max(1, known, self.recorded or 0)

    def share(self, known: int) -> float:
        """Return this box's own share of each limit; 0 until the record is known.

        >>> FleetSize(recorded=4).share(2), FleetSize().share(2)
        (0.25, 0.0)
        """
        return 1.0 / self.boxes(known) if self.is_known else 0.0

    def to_record(self, known: int, now: float) -> int | None:
        """Return the value to write to the record; None if it needs no change."""
        if self.recorded is None or known == self.recorded:
            self._fewer_since = math.inf
            return None
        if known > self.recorded:
            self._fewer_since = math.inf
            return known
        self._fewer_since = min(self._fewer_since, now)
        return known if now - self._fewer_since >= SHRINK_DELAY_S else None
