"""When the store last answered this box, and how long each of its watches waits.

A box makes one watch for each prefix. Those of a box that others follow are answered at even
spaces, so that in quiet times every half of a period shows whether the store still answers, for no
more calls.
"""

from __future__ import annotations

import math
from dataclasses import dataclass, field

WATCH_WAIT_S = 2.0
"""Seconds that a watch waits for a change while no box follows this one."""

WATCH_PERIOD_S = 2.12
"""Seconds between two answers to one watch of a box that others follow, while nothing changes. A
watch that a silent store swallowed is made anew within this and its margin: less than the 3 s after
trouble in which a box must be up to date again."""

CONTACT_PERIOD_S = WATCH_PERIOD_S / 2
"""Seconds between two answers of the store to either watch while nothing changes."""

CONTACT_TOLERANCE_S = 0.05
"""Seconds by which the other watch may end later than planned and still be the next answer."""

MIN_WATCH_S = 0.2
"""Seconds that a watch waits at least."""

ANSWER_MARGIN_S = 0.35
"""Seconds beyond its wait after which the answer to a watch may have been left unread here, as in a
process that stood still: then it proves nothing of the present."""


@dataclass(kw_only=True)
class StoreContact:
    """The watches of one box, and what their answers prove.

    ``heard_at`` is a time up to which the store is known to have answered this box.
    """

    heard_at: float = -math.inf
    _due_by_prefix: dict[str, float] = field(default_factory=dict)

    def begin_watch(self, prefix: str, now: float, *, is_followed: bool) -> float:
        """Return the seconds that a watch is to wait for a change."""
        wait_s = self._spaced_wait_s(prefix, now) if is_followed else WATCH_WAIT_S
        self._due_by_prefix[prefix] = now + wait_s
        return wait_s

    def _spaced_wait_s(self, prefix: str, now: float) -> float:
        """Return the seconds until the store should answer for the sake of a proof."""
        next_at = self.heard_at + CONTACT_PERIOD_S
        others = [due for other, due in self._due_by_prefix.items() if other != prefix]
        other_at = min((due for due in others if due > now), default=math.inf)
        if other_at <= next_at + CONTACT_TOLERANCE_S:
            next_at = other_at + CONTACT_PERIOD_S
        return min(max(next_at - now, MIN_WATCH_S), WATCH_PERIOD_S)

    def note_answer(
        self, prefix: str, *, begun_at: float, now: float, has_changes: bool = True
    ) -> float:
        """Record the answer to a call; return when the store surely had nothing else to say.

        A watch without changes was answered when its wait was over, one with changes at any time.
        """
        due = self._due_by_prefix.pop(prefix, begun_at)
        proven_at = now
        if now > due + ANSWER_MARGIN_S:
            proven_at = begun_at if has_changes else due
        self.heard_at = max(self.heard_at, proven_at)
        return proven_at

    def note_failure(self, prefix: str) -> None:
        """Record that a call got no answer."""
        self._due_by_prefix.pop(prefix, None)
