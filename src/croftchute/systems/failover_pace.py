"""Bounds how many requests of one box look for another worker at a time.

When the workers of a service pause together, all boxes see their requests fall silent within the
same moment. Each box then asks few workers for room, and fewer the less they answer. The pace does
no I/O and takes the current time as an argument, in seconds of a monotonic clock.
"""

from __future__ import annotations

import math
from dataclasses import dataclass

MAX_SEARCHES = 8
"""Most requests of a service that look for another worker at a time, at one box. One that is
answered takes a few milliseconds, so hundreds find one within a second."""

SILENT_PAUSE_S = 0.1
"""Seconds until the next search after a worker that was asked did not answer in time."""

CROWDED_PAUSE_S = 0.02
"""Seconds until a request looks whether enough other searches have ended, while all may be open:
some answers. It looks less often the fewer may be."""

RECHECK_S = 0.1
"""Seconds after which a request that may not be sent to another worker checks that again."""


@dataclass(kw_only=True)
class FailoverPace:
    """The searches for another worker of one service at one box.

    ``window`` is how many may be open at a time: halved by a worker that does not answer, and
    raised by one with each that does.

    >>> pace = FailoverPace()
    >>> pace.note_silent(now=1.0)
    >>> pace.wait_s(now=1.05) > 0.0, pace.wait_s(now=1.2), pace.window
    (True, 0.0, 4.0)
    """

    window: float = float(MAX_SEARCHES)
    open: int = 0
    paused_until: float = -math.inf

    def wait_s(self, now: float) -> float:
        """Return the seconds until another search may begin, as far as is known; 0 if now."""
        if now < self.paused_until:
            return self.paused_until - now
        if self.open < int(self.window):
            return 0.0
        return CROWDED_PAUSE_S * MAX_SEARCHES / self.window

    def begin(self) -> None:
        """Count a search that begins."""
        self.open += 1

    def end(self) -> None:
        """Count a search that has ended."""
        self.open -= 1

    def note_answered(self) -> None:
        """Record that a worker that was asked for room has answered, whatever it said."""
        self.window = min(float(MAX_SEARCHES), self.window + 1.0)

    def note_silent(self, now: float) -> None:
        """Record that a worker that was asked for room did not answer in time."""
        self.window = max(1.0, self.window / 2.0)
        self.paused_until = now + SILENT_PAUSE_S
