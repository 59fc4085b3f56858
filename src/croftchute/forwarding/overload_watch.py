"""Keeps what this box knows of its overload up to date, and reports it."""

from __future__ import annotations

import asyncio
import math
from collections import Counter
from collections.abc import Callable
from dataclasses import dataclass, field

from croftchute.forwarding.decision_log import Decision
from croftchute.forwarding.http.connection_intake import ShedCause
from croftchute.forwarding.state import ForwardingState

CHECK_S = 0.1
"""Seconds between two decisions whether to stand back, while connections are closed unread."""

LOG_INTERVAL_S = 1.0
"""Seconds between two lines about connections that were closed unread."""


@dataclass(kw_only=True)
class OverloadWatch:
    """Counts connections closed unread, and decides whether the box stands back.

    ``on_change`` is called once it stands back or does not any more, ``open_requests`` returns how
    many requests of callers are being read or served, ``connections_read`` how many connections
    were read since the process began.
    """

    state: ForwardingState
    on_change: Callable[[], None]
    open_requests: Callable[[], int]
    connections_read: Callable[[], int]
    _read_before: int = 0
    _shed: Counter[ShedCause] = field(default_factory=Counter)
    _logged_at: float = -math.inf
    _has_shed: asyncio.Event = field(default_factory=asyncio.Event)

    async def run(self) -> None:
        """Decide again and again while connections are closed unread; never returns."""
        while True:
            await self._has_shed.wait()
            self._has_shed.clear()
            await self._decide_until_over()

    async def _decide_until_over(self) -> None:
        """Decide until shedding has ended, the box is back, and all is logged."""
        overload = self.state.overload
        self._read_before = self.connections_read()
        while self._shed or overload.is_standing_back or overload.is_shedding(self.state.clock()):
            await asyncio.sleep(CHECK_S)
            self.decide(self.state.clock())

    def note_shed(self, cause: ShedCause, now: float) -> None:
        """Take in a connection that was closed unread."""
        self.state.metrics.connections_shed.inc({"cause": cause.value})
        self._shed[cause] += 1
        self._has_shed.set()
        if cause is not ShedCause.STOPPED:
            self.state.overload.note_shed(now)

    def decide(self, now: float) -> None:
        """Decide whether to stand back, by what other boxes of the hall do."""
        state = self.state
        others = state.peers.hall_peers(state.zone, now)
        has_changed = state.overload.decide(
            now,
            hall_boxes=1 + len(others),
            others_out=sum(peer.stands_back for peer in others),
        )
        if has_changed:
            self.on_change()
        if self._shed and now - self._logged_at >= LOG_INTERVAL_S:
            self._logged_at = now
            self._log(hall_boxes=1 + len(others))

    def _log(self, *, hall_boxes: int) -> None:
        by_cause = {cause.value: count for cause, count in self._shed.items()}
        self._shed.clear()
        read = self.connections_read()
        read_since, self._read_before = read - self._read_before, read
        self.state.log.decide(
            Decision.CONNECTIONS_SHED,
            outcome="standing_back" if self.state.overload.is_standing_back else "ready",
            open_requests=self.open_requests(),
            hall_boxes=hall_boxes,
            closed_unread=by_cause,
            read=read_since,
        )
