"""How TCP connections whose other end went silent are noticed: one place for their socket options.

An open connection may carry nothing for good without a reset while new ones work. While bytes of
ours are outstanding the kernel sends them again and gives up after ``TCP_USER_TIMEOUT``; while
nothing is outstanding it sends keep-alive probes, and gives up once nothing has come for as long,
at the next probe. Probes are not sent while bytes are outstanding, so opened connections get both.
Probes leave connections alone that are merely quiet: the other end's kernel answers them, however
slow its program is. docs/DESIGN.md, "Silent connections", has the bounds that these times meet.
"""

from __future__ import annotations

import contextlib
import math
import socket
from dataclasses import dataclass, replace

MS_PER_S = 1000
"""Milliseconds in a second."""


@dataclass(frozen=True, kw_only=True, slots=True)
class SilenceLimits:
    """When a silent connection is given up.

    ``idle_s`` and ``interval_s`` are whole seconds, as the kernel takes them. ``unread_ms`` is for
    how many milliseconds the other end may leave bytes unread or unanswered, 0 for no such limit;
    where it is set the kernel goes by it for probes too, and by ``probes`` where it is not.
    """

    idle_s: int
    interval_s: int
    probes: int
    unread_ms: int

    @property
    def notice_s(self) -> float:
        """Seconds since the last packet after which a quiet connection is given up, at most.

        >>> SilenceLimits(idle_s=1, interval_s=1, probes=2, unread_ms=1500).notice_s
        2.0
        """
        if self.unread_ms == 0:
            return float(self.idle_s + self.probes * self.interval_s)
        after_idle_s = self.unread_ms / MS_PER_S - self.idle_s
        unanswered = max(1, math.ceil(after_idle_s / self.interval_s))
        return float(self.idle_s + unanswered * self.interval_s)

    def within(self, bound_s: float) -> SilenceLimits:
        """The same, or tighter if it takes longer than some bound in seconds.

        Two seconds are the least that probes in whole seconds allow.

        >>> SilenceLimits(idle_s=1, interval_s=1, probes=2, unread_ms=2500).within(2.4).notice_s
        2.0
        """
        if self.notice_s <= bound_s:
            return self
        unread_ms = min(self.unread_ms, max(1, math.floor(bound_s)) * MS_PER_S)
        return replace(self, idle_s=1, interval_s=1, probes=1, unread_ms=unread_ms)


KNOWLEDGE = SilenceLimits(idle_s=1, interval_s=1, probes=2, unread_ms=1500)
"""Towards the store and boxes that tell news: given up after 2 s, which leaves a second of the
three after which a box has to know what is new again; a lost probe costs one call made anew."""

WORK = SilenceLimits(idle_s=1, interval_s=1, probes=2, unread_ms=2500)
"""Towards workers: given up after 3 s, once two probes were lost. One lost packet must not end a
request that may be sent once; callers of streams bear pauses of 2 s and more."""

ACCEPTED = SilenceLimits(idle_s=3, interval_s=1, probes=3, unread_ms=0)
"""From callers and boxes: given up after 6 s without a packet while nothing is outstanding. While
an answer is on its way the request's deadline ends it: ``TCP_USER_TIMEOUT`` also ends a connection
whose other end lives and reads too slowly to open its window."""


def watch_for_silence(raw: socket.socket | None, limits: SilenceLimits) -> None:
    """Set a connection's options; a system that lacks one of them does without."""
    if raw is None:
        return
    options = (
        (socket.IPPROTO_TCP, socket.TCP_USER_TIMEOUT, limits.unread_ms),
        (socket.IPPROTO_TCP, socket.TCP_KEEPIDLE, limits.idle_s),
        (socket.IPPROTO_TCP, socket.TCP_KEEPINTVL, limits.interval_s),
        (socket.IPPROTO_TCP, socket.TCP_KEEPCNT, limits.probes),
        (socket.SOL_SOCKET, socket.SO_KEEPALIVE, 1),
    )
    for level, name, value in options:
        with contextlib.suppress(OSError):
            raw.setsockopt(level, name, value)
