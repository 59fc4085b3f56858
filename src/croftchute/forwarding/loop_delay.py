"""Measures how late the event loop runs what is due.

A box without processor time to spare sees its own delay as silence of others. A late loop makes
every time-out of this box lapse early, so the delay tells failures of workers from its own.
"""

from __future__ import annotations

import asyncio
import math
from collections.abc import Callable
from dataclasses import dataclass

from croftchute.forwarding.decision_log import Decision
from croftchute.forwarding.state import ForwardingState

CHECK_S = 0.25
"""Seconds between two measurements: each wakes the process."""

NOTABLE_S = 0.1
"""Delay in seconds from which the loop counts as late: a hold's time-out lapses before it."""

LOG_INTERVAL_S = 1.0
"""Seconds between two lines about delays."""


@dataclass(kw_only=True)
class LoopDelay:
    """Logs and shows the longest delay of the loop in each interval.

    ``open_requests`` returns how many requests of callers are being read or served.
    """

    state: ForwardingState
    open_requests: Callable[[], int]
    _longest_s: float = 0.0
    _logged_at: float = -math.inf

    async def run(self) -> None:
        """Measure; never returns."""
        while True:
            due_at = self.state.clock() + CHECK_S
            await asyncio.sleep(CHECK_S)
            now = self.state.clock()
            self.note(now - due_at, now)

    def note(self, delay_s: float, now: float) -> None:
        """Take in one measured delay in seconds."""
        self._longest_s = max(self._longest_s, delay_s)
        if now - self._logged_at < LOG_INTERVAL_S:
            return
        self.state.metrics.loop_delay.set({}, self._longest_s)
        if self._longest_s >= NOTABLE_S:
            self.state.log.decide(
                Decision.LOOP_DELAYED,
                longest_ms=round(self._longest_s * 1000),
                open_requests=self.open_requests(),
                links_lost=self.state.links.are_lost,
            )
        self._longest_s = 0.0
        self._logged_at = now
