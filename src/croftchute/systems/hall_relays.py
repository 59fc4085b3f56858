"""Choose the boxes of a hall that read the store for the others.

Each call of the store is billed, so a few boxes of each hall watch it and the others follow one of
them. There is no election: each box ranks the live boxes of its hall by the same hash, and the
first ones read. Boxes with wide links rank before the others. Boxes that know different peers for a
moment rank them differently; then a few more of them read the store, which costs only extra calls.
"""

from __future__ import annotations

import math
from collections.abc import Sequence
from dataclasses import dataclass, field

from croftchute.systems.rendezvous import rank_nodes, rendezvous_weight
from croftchute.tables.peers import Peer

RELAY_COUNT = 2
"""Boxes of a hall that read the store; one may be down, slow or cut off from it."""

WIDE_LINK_RATIO = 0.5
"""Share of the hall's widest link from which a link counts as wide. The relay of a long
configuration reads it and forwards it to half of the hall."""

MAX_RELAYS = 4
"""Most boxes that a follower asks, one after the other, before it reads the store itself."""

MIN_HALL_SIZE = 6
"""Boxes in a hall from which some of them follow; in smaller halls this saves too few calls."""

PEER_LIVE_S = 15.0
"""Seconds since its last notice for which a box counts as alive here. In a hall of forty, boxes
receive each other's notices every two to three seconds."""

RELAY_BACKOFF_S = 4.0
"""Seconds for which a relay that did not answer, or cannot reach the store, is not asked again."""

MIN_PROOF_AGE_S = 1.35
"""Seconds after which what a relay told proves nothing any more: a relay proves anew that it hears
the store every ``CONTACT_PERIOD_S``, and has the rest of the time to answer."""

MAX_PROOF_AGE_S = 1.55
"""The same at most: boxes differ, so that they do not all read the store in one instant."""

RELAY_DUTY_S = 15.0
"""Seconds for which a box that was asked for updates reads the store, even if its own ranking does
not make it a relay."""


@dataclass(kw_only=True)
class HallRelays:
    """One box's view of its hall: whether it reads the store, or which box it follows."""

    own_id: str
    hall: str
    own_mbps: float = 0.0
    _skipped_until: dict[str, float] = field(default_factory=dict)
    _duty_until: float = 0.0
    _known_at_by_relay: dict[str, float] = field(default_factory=dict)
    _proving: dict[str, str] = field(default_factory=dict)

    def relay_to_ask(self, hall_peers: Sequence[Peer], now: float) -> Peer | None:
        """Return the box to ask for updates; None if this box should read the store itself.

        ``hall_peers`` are the other live boxes of the hall.
        """
        if self.is_reader(hall_peers, now):
            return None
        peers_by_id = {peer.id: peer for peer in hall_peers}
        order = self._order(hall_peers)
        asked = self._rotated(order[:RELAY_COUNT]) + order[RELAY_COUNT:MAX_RELAYS]
        usable = [box for box in asked if now >= self._skipped_until.get(box, 0.0)]
        return next((peers_by_id[box] for box in usable if box in peers_by_id), None)

    def is_reader(self, hall_peers: Sequence[Peer], now: float) -> bool:
        """Return whether this box reads the store for its hall, or because its hall is small."""
        if len(hall_peers) + 1 < MIN_HALL_SIZE or now < self._duty_until:
            return True
        return self.own_id in self._order(hall_peers)[:RELAY_COUNT]

    def skip_relay(self, box_id: str, now: float) -> None:
        """Do not ask a relay for ``RELAY_BACKOFF_S`` seconds, because it returned nothing."""
        self._skipped_until = _unexpired(self._skipped_until, now)
        self._skipped_until[box_id] = now + RELAY_BACKOFF_S
        self._known_at_by_relay.pop(box_id, None)

    def note_proof(self, box_id: str, known_at: float) -> None:
        """Record that a relay knew all that the store had at some time."""
        self._known_at_by_relay[box_id] = max(known_at, self.known_at(box_id))

    def needs_proof(self, prefix: str, box_id: str) -> bool:
        """Return whether a call for a prefix is to ask a relay for proofs: one call at a time does.

        It goes on to until :meth:`leave_relay`.
        """
        others = [relay for other, relay in self._proving.items() if other != prefix]
        if box_id in others:
            return False
        self._proving[prefix] = box_id
        return True

    def leave_relay(self, prefix: str) -> None:
        """Record that no call for a prefix asks a relay for proofs any more."""
        self._proving.pop(prefix, None)

    def known_at(self, box_id: str) -> float:
        """Return the latest time at which a relay is proven to have known all of the store."""
        return self._known_at_by_relay.get(box_id, -math.inf)

    def note_asked(self, now: float) -> None:
        """Read the store for ``RELAY_DUTY_S`` seconds, because another box asked for updates."""
        self._duty_until = now + RELAY_DUTY_S

    def has_relay_duty(self, now: float) -> bool:
        """Return whether another box asked for updates recently."""
        return now < self._duty_until

    def _order(self, hall_peers: Sequence[Peer]) -> list[str]:
        """Return all boxes of the hall by rank, those with wide links first."""
        mbps_by_id = {peer.id: peer.link_mbps for peer in hall_peers} | {self.own_id: self.own_mbps}
        bar_mbps = WIDE_LINK_RATIO * max(mbps_by_id.values())
        wide = [box for box, mbps in mbps_by_id.items() if mbps >= bar_mbps]
        narrow = [box for box, mbps in mbps_by_id.items() if mbps < bar_mbps]
        return rank_nodes(self.hall, wide) + rank_nodes(self.hall, narrow)

    def _rotated(self, relays: list[str]) -> list[str]:
        """Return the relays in an order that depends on this box, to spread followers over them."""
        turn = rendezvous_weight(self.hall, self.own_id) % len(relays)
        return relays[turn:] + relays[:turn]


def _unexpired(until_by_box: dict[str, float], now: float) -> dict[str, float]:
    """Return the entries that have not expired."""
    return {box: until for box, until in until_by_box.items() if until > now}
