"""Tells other boxes under which requests workers ended, and hears it of them.

What is new goes out at once, and on from each box that refuses a request by it; a part of what is
known goes with each notice, for boxes that were cut off or have just started. Datagrams of their
own, since boxes of an earlier release drop those that hold what they don't know.
"""

from __future__ import annotations

from croftchute.forwarding.boxes.peer_exchange import PeerExchange
from croftchute.forwarding.decision_log import Decision
from croftchute.forwarding.state import ForwardingState
from croftchute.peers.messages import CrashNews
from croftchute.systems.crash_records import RefusalChange
from croftchute.tables.crashes import CrashNotice

MAX_NOTICES = 64
"""Most ends in one datagram, some 2 KB: two of a box's requests in flight, each with all its ends,
or what ten requests lost that were at the same worker."""

NOTICES_EACH_TIME = 6
"""Ends told with a notice, 0.2 KB. Twenty notices a second come to 4 KB/s, a fifth of what a box
may take, and only while such requests are about; 100 ends are told within a second."""


class CrashGossip:
    """Spreads the box's crash records, and takes in those of others."""

    def __init__(self, *, state: ForwardingState, exchange: PeerExchange) -> None:
        self.state = state
        self.exchange = exchange

    def tell(self, digests: list[str]) -> None:
        """Tell some boxes at once all that is known of some requests."""
        now = self.state.clock()
        found: list[CrashNotice] = []
        for digest in digests:
            found += self.state.crashes.notices(digest, now)
        for start in range(0, len(found), MAX_NOTICES):
            self.exchange.spread(CrashNews(notices=tuple(found[start : start + MAX_NOTICES])))

    def hear(self, sender: str, news: CrashNews) -> None:
        """Take in what a box tells, and tell on what has a request refused here, or freed."""
        change = self.state.crashes.merge_and_compare(news.notices, self.state.clock())
        self.log_change(change, source=sender)
        self.tell(change.refused + change.freed)

    def next_notices(self) -> tuple[CrashNotice, ...]:
        """What goes with the next notice."""
        return tuple(self.state.crashes.next_notices(self.state.clock(), NOTICES_EACH_TIME))

    def log_change(self, change: RefusalChange, *, source: str) -> None:
        """One line for each request that is refused from now on, or no longer."""
        for digest in change.refused:
            self._log(digest, "refused", source)
        for digest in change.freed:
            self._log(digest, "freed", source)

    def _log(self, digest: str, outcome: str, source: str) -> None:
        self.state.log.decide(
            Decision.CRASH_HEARD,
            outcome=outcome,
            digest=digest,
            source=source,
            lives_ended=self.state.crashes.crash_count(digest),
            refused_s=round(self.state.crashes.refusal_left_s(digest, self.state.clock()), 1),
        )
