"""How many boxes there are: what every limit of all boxes together is divided by.

A box that has just been started knows few others, and one that was started within a cut will not
hear of the rest for as long as it lasts. The count is therefore recorded in the platform's store,
beside the configuration without which a box serves nobody. Until a box has read the record, or was
told the count by one that has, it counts no share of a limit as its own.
"""

from __future__ import annotations

import math
from dataclasses import dataclass

SHRINK_DELAY_S = 300.0
"""Seconds for which fewer boxes than recorded must be known before the record is lowered. Boxes
that are cut off serve on with their shares; a cut that lasts longer is one that operators know of.
Until then a fleet that shrank gets its limits short by the shares of the boxes that are gone."""


@dataclass(kw_only=True)
class FleetSize:
    """The count as recorded, None while it has not been read; 0 if there is no record yet.

    ``pool`` is the box that most others lent their shares to when the record was written.
    """

    recorded: int | None = None
    pool: str = ""
    _fewer_since: float = math.inf

    @property
    def is_known(self) -> bool:
        """Whether the record has been read, or was told."""
        return self.recorded is not None

    def note_told(self, boxes: int) -> None:
        """Another box that knows the record told the count; 0 if that box does not know it."""
        if boxes > 0:
            self.recorded = max(boxes, self.recorded or 0)

    def boxes(self, known: int) -> int:
        """How many boxes there are at least, by the record and by those that are known.

        >>> FleetSize(recorded=78).boxes(5), FleetSize(recorded=0).boxes(5)
        (78, 5)
        """
        return max(1, known, self.recorded or 0)

    def share(self, known: int) -> float:
        """The part of each limit that is one box's own; nothing before the record is known.

        >>> FleetSize(recorded=4).share(2), FleetSize().share(2)
        (0.25, 0.0)
        """
        return 1.0 / self.boxes(known) if self.is_known else 0.0

    def to_record(self, known: int, now: float) -> int | None:
        """What the record should say instead; None if it may stay as it is."""
        if self.recorded is None or known == self.recorded:
            self._fewer_since = math.inf
            return None
        if known > self.recorded:
            self._fewer_since = math.inf
            return known
        self._fewer_since = min(self._fewer_since, now)
        return known if now - self._fewer_since >= SHRINK_DELAY_S else None
