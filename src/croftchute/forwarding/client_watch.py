"""Counts the clients that were refused, closed or paced for a limit, and logs them.

Many may be closed in a moment, so that one line a second says how many, and by what cause.
"""

from __future__ import annotations

from collections import Counter
from dataclasses import dataclass, field

from croftchute.forwarding.decision_log import Decision
from croftchute.forwarding.http.client_memory import Release
from croftchute.forwarding.http.connection_intake import ShedCause
from croftchute.forwarding.state import ForwardingState
from croftchute.systems.memory_account import MemoryAccount


@dataclass(kw_only=True)
class ClientWatch:
    """What was released or closed since the last line."""

    state: ForwardingState
    _released: Counter[str] = field(default_factory=Counter)
    _shed: Counter[str] = field(default_factory=Counter)
    _largest_bytes: int = 0

    def note_release(self, release: Release) -> None:
        """Take in a client that was released for the memory of others."""
        self.state.metrics.clients_released.inc({"cause": release.cause.value})
        self._released[release.cause.value] += 1
        self._largest_bytes = max(self._largest_bytes, release.held_bytes)

    def note_shed(self, cause: ShedCause, now: float) -> None:
        """Take in a connection to another address than the callers' that was closed unread."""
        self.state.metrics.connections_shed.inc({"cause": cause.value})
        self._shed[cause.value] += 1

    def report(self, account: MemoryAccount, now: float, *, paced: int) -> None:
        """Set the gauge, and log what happened since the last report, if anything.

        ``paced`` is how often a connection began to be paced for its small pieces.
        """
        self.state.metrics.client_bytes.set({}, account.total)
        if paced:
            self.state.metrics.connections_paced.add({}, paced)
        if not self._released and not self._shed and not paced:
            return
        self.state.log.decide(
            Decision.CLIENTS_RELEASED,
            outcome="closed" if self._released or self._shed else "paced",
            released=dict(self._released),
            closed_unread=dict(self._shed),
            paced=paced,
            largest_bytes=self._largest_bytes,
            held_bytes=account.total,
            served_bytes=account.served,
            bound_bytes=account.bound,
            clients=len(account),
        )
        self._released.clear()
        self._shed.clear()
        self._largest_bytes = 0
