"""When a box that closes connections unread asks the load balancer for fewer of them.

A box that is not ready gets no new connections after some seconds, and the balancer turns to the
others of its hall. If too many stood back at once, it would use all of them again, or leave the
hall's callers to other halls. So a box stands back only while few others of its hall do.
"""

from __future__ import annotations

import math
from dataclasses import dataclass

STAND_BACK_AFTER_S = 1.0
"""Seconds of shedding after which a box stands back: bursts end sooner."""

RETURN_AFTER_S = 1.0
"""Seconds without a connection closed unread after which shedding is over."""

MIN_HALL_BOXES = 3
"""Fewest boxes of a hall of which one may stand back."""

MAX_SHARE_OUT = 0.25
"""Most of a hall's boxes that stand back at a time. What a box knows of the others is a second or
two old, and the balancer uses all boxes if fewer than half are ready."""


def most_out(hall_boxes: int) -> int:
    """Return how many boxes of a hall may stand back at a time.

    >>> [most_out(boxes) for boxes in (1, 2, 3, 8, 22)]
    [0, 0, 1, 2, 5]
    """
    if hall_boxes < MIN_HALL_BOXES:
        return 0
    return max(1, int(MAX_SHARE_OUT * hall_boxes))


@dataclass(kw_only=True)
class Overload:
    """Whether this box sheds connections, and whether it stands back for that."""

    is_standing_back: bool = False
    _began_at: float = math.inf
    _shed_at: float = -math.inf

    def note_shed(self, now: float) -> None:
        """Record a connection that was closed unread."""
        if not self.is_shedding(now):
            self._began_at = now
        self._shed_at = now

    def is_shedding(self, now: float) -> bool:
        """Return whether connections were closed unread a moment ago."""
        return now - self._shed_at < RETURN_AFTER_S

    def decide(self, now: float, *, hall_boxes: int, others_out: int) -> bool:
        """Decide whether to stand back; return whether that has changed.

        ``hall_boxes`` counts the hall's boxes with this one, ``others_out`` the others that stand
        back.
        """
        before = self.is_standing_back
        if not self.is_shedding(now):
            self.is_standing_back = False
        elif now - self._began_at >= STAND_BACK_AFTER_S and others_out < most_out(hall_boxes):
            self.is_standing_back = True
        return self.is_standing_back is not before
