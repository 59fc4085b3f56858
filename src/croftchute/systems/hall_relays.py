"""Which boxes of a hall read the store for the others of the hall.

Every call of the store is paid for, so a few boxes of each hall watch it and the others follow one
of these. Nobody is elected: each box ranks the live boxes of its hall by a hash, which all boxes
compute alike, and the first ones read; boxes with much wider links than others rank before these.
Boxes that see different peers for a moment rank them differently; then a few more of them read, and
nothing else comes of it.
"""

from __future__ import annotations

from collections.abc import Sequence
from dataclasses import dataclass, field

from croftchute.systems.rendezvous import rank, weight
from croftchute.tables.peers import Peer

RELAYS = 2
"""Boxes of a hall that read the store: one may be gone, slow or cut off from it."""

WIDE_SHARE = 0.5
"""Share of the widest link of the hall from which on a link counts as wide: the relay of a long
configuration reads it and passes it on to half of the hall."""

MOST_RELAYS = 4
"""Boxes that a follower asks, one after the other, before it reads the store itself."""

MIN_HALL = 6
"""Boxes of a hall from which on some of them follow: in smaller halls too few calls are saved."""

LIVE_S = 15.0
"""Seconds since its last notice for which a box counts as alive here: boxes of a hall hear each
other every two to three seconds in a hall of forty."""

PASSED_OVER_S = 4.0
"""Seconds for which a relay that did not answer, or has lost the store, is not asked again."""

MIN_LOST = 2
"""Relays that say that they lost the store for a follower to take it as lost for the hall."""

ASKED_S = 15.0
"""Seconds for which a box that was asked for news reads the store, even if it ranks itself low."""


@dataclass(kw_only=True)
class HallRelays:
    """What one box makes of its hall: whether it reads the store, or whom it follows."""

    own_id: str
    hall: str
    own_mbps: float = 0.0
    _passed_over_until: dict[str, float] = field(default_factory=dict)
    _lost_until: dict[str, float] = field(default_factory=dict)
    _asked_until: float = 0.0

    def to_follow(self, mates: Sequence[Peer], now: float) -> Peer | None:
        """The box to ask for news; None if this box should read the store itself.

        ``mates`` are the other live boxes of the hall.
        """
        if len(mates) + 1 < MIN_HALL or now < self._asked_until:
            return None
        mates_by_id = {mate.id: mate for mate in mates}
        order = self._order(mates)
        if self.own_id in order[:RELAYS]:
            return None
        asked = self._turned(order[:RELAYS]) + order[RELAYS:MOST_RELAYS]
        usable = [box for box in asked if now >= self._passed_over_until.get(box, 0.0)]
        return next((mates_by_id[box] for box in usable if box in mates_by_id), None)

    def pass_over(self, box_id: str, now: float, *, has_lost_store: bool = False) -> None:
        """A box gave no news: ask others for a while."""
        self._passed_over_until = _still(self._passed_over_until, now)
        self._passed_over_until[box_id] = now + PASSED_OVER_S
        self._lost_until = _still(self._lost_until, now)
        if has_lost_store:
            self._lost_until[box_id] = now + PASSED_OVER_S

    def is_store_lost(self, now: float) -> bool:
        """Whether several relays of the hall do not reach the store either."""
        return len(_still(self._lost_until, now)) >= MIN_LOST

    def note_asked(self, now: float) -> None:
        """Another box takes this one for a relay: read the store for a while."""
        self._asked_until = now + ASKED_S

    def is_asked(self, now: float) -> bool:
        """Whether another box asked for news lately."""
        return now < self._asked_until

    def _order(self, mates: Sequence[Peer]) -> list[str]:
        """All boxes of the hall, those with wide links first, by rank among them."""
        mbps_by_id = {mate.id: mate.link_mbps for mate in mates} | {self.own_id: self.own_mbps}
        bar_mbps = WIDE_SHARE * max(mbps_by_id.values())
        wide = [box for box, mbps in mbps_by_id.items() if mbps >= bar_mbps]
        narrow = [box for box, mbps in mbps_by_id.items() if mbps < bar_mbps]
        return rank(self.hall, wide) + rank(self.hall, narrow)

    def _turned(self, relays: list[str]) -> list[str]:
        """The relays in this box's own order, so that each gets its share of the followers."""
        turn = weight(self.hall, self.own_id) % len(relays)
        return relays[turn:] + relays[:turn]


def _still(until_by_box: dict[str, float], now: float) -> dict[str, float]:
    """What is not over yet."""
    return {box: until for box, until in until_by_box.items() if until > now}
