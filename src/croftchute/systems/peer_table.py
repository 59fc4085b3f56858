"""A table of the known boxes and their latest notices; its size is bounded and no call blocks."""

from __future__ import annotations

import random
from dataclasses import dataclass, field, replace

from croftchute.peers.messages import BoxNotice
from croftchute.systems.hall_relays import PEER_LIVE_S
from croftchute.systems.prefill_queue import decayed_wait_s
from croftchute.systems.prefill_timing import PrefillSample
from croftchute.systems.room_forecast import RoomCounts
from croftchute.systems.stage_balance import DemandCounts
from croftchute.tables.peers import OrganisationUseNotice, Peer, RankRoomNotice, WorkerNotice

FRESH_S = 1.5
"""Seconds for which the contents of a notice are used: three in a row may be lost."""

COUNTED_S = 12.0
"""Seconds since its last notice for which a box is counted when budgets are divided."""

FORGET_S = 60.0
"""Seconds without a notice after which a box is removed from the table."""

HALL_TIMEOUT_S = 1.5
"""Seconds without a notice from any box of a hall after which the hall counts as cut off. A box
receives about three notices per second from a hall of 26 boxes, and four from a hall of two."""

NOTICE_INTERVAL_S = 0.5
"""Seconds between two notices: docs/CAPACITY.md works out the bytes."""

WITNESS_MISSED_NOTICES = 6.0
"""Notices in a row that a box may miss before it is no longer told of streams."""

FANOUT = 10
"""Boxes that a notice is sent to; bounds a box's traffic however large the fleet is."""

HALL_FANOUT = 7
"""How many of these are in the box's own hall, if there are enough. Traffic between halls is
expensive, and boxes of a hall follow one another's updates."""

MAX_INTRODUCED_PEERS = 4
"""Most addresses of other boxes in a notice; enough for a new box to learn all within a few."""

MAX_PEERS = 1024
"""Most known boxes: more than twice the fleet size that docs/CAPACITY.md derives."""


@dataclass(kw_only=True)
class PeerTable:
    """Peers by id; ``seeds`` are addresses to contact while too few peers are known."""

    own_id: str
    hall: str = ""
    seeds: tuple[tuple[str, int], ...] = ()
    peers_by_id: dict[str, Peer] = field(default_factory=dict)
    _stored_address_by_id: dict[str, tuple[str, int]] = field(default_factory=dict)
    _entries_by_worker: dict[str, dict[str, WorkerNotice]] = field(default_factory=dict)
    _id_by_address: dict[tuple[str, int], str] = field(default_factory=dict)

    def apply_notice(self, sender: str, notice: BoxNotice, now: float) -> bool:
        """Apply a notice; return True if the sender is new or has restarted."""
        if sender == self.own_id:
            return False
        known = self.peers_by_id.get(sender)
        if known is not None and notice.started_at < known.started_at:
            return False
        if known is None and len(self.peers_by_id) >= MAX_PEERS:
            return False
        self._drop_entries(known)
        self._id_by_address[notice.host, notice.notice_port] = sender
        for entry in notice.workers:
            self._entries_by_worker.setdefault(entry.worker, {})[sender] = entry
        self.peers_by_id[sender] = Peer(
            id=sender,
            host=notice.host,
            notice_port=notice.notice_port,
            control_port=notice.control_port,
            started_at=notice.started_at,
            heard_at=now,
            config_version=notice.config_version,
            workers_revision=notice.workers_revision,
            is_leaving=notice.is_leaving,
            hall=notice.hall,
            link_mbps=notice.link_mbps,
            reaches_workers=notice.reaches_workers,
            continues_by_version=notice.continues_by_version,
            stands_back=notice.stands_back,
            workers_by_id={entry.worker: entry for entry in notice.workers},
            demand_by_service={entry.service: entry for entry in notice.demands},
        )
        return known is None or known.started_at < notice.started_at

    def forget(self, now: float) -> list[str]:
        """Remove peers that sent no notice for ``FORGET_S`` seconds; return their ids."""
        old = [peer.id for peer in self.peers_by_id.values() if now - peer.heard_at > FORGET_S]
        for peer_id in old:
            self._drop_entries(self.peers_by_id.pop(peer_id))
        return old

    def note_address(self, box: str, host: str, port: int) -> None:
        """Store the notice address of a box that sent no notice yet; only one is stored."""
        self._stored_address_by_id = {box: (host, port)}

    def address_of(self, box: str) -> tuple[str, int] | None:
        """Return a box's notice address, from its own notice or :meth:`note_address`, or None."""
        peer = self.peers_by_id.get(box)
        if peer is not None:
            return peer.host, peer.notice_port
        return self._stored_address_by_id.get(box)

    def knows(self, address: tuple[str, int]) -> bool:
        """Return whether some peer receives notices at an address."""
        return address in self._id_by_address

    def _drop_entries(self, peer: Peer | None) -> None:
        """Forget a peer's address and what it reported about workers."""
        if peer is None:
            return
        address = (peer.host, peer.notice_port)
        if self._id_by_address.get(address) == peer.id:
            del self._id_by_address[address]
        for worker_id in peer.workers_by_id or ():
            entries = self._entries_by_worker[worker_id]
            del entries[peer.id]
            if not entries:
                del self._entries_by_worker[worker_id]

    def targets(self, now: float, rng: random.Random) -> list[tuple[str, int]]:
        """Return where to send the next notice: some peers, and seeds while few peers answer."""
        peers = [peer for peer in self.peers_by_id.values() if now - peer.heard_at <= FORGET_S]
        if len(peers) > FANOUT:
            peers = self._sample_peers(peers, rng)
        chosen = [(peer.host, peer.notice_port) for peer in peers]
        if self.fresh_boxes(now) < len(self.seeds):
            chosen += [seed for seed in self.seeds if seed not in chosen]
        return chosen

    def _sample_peers(self, peers: list[Peer], rng: random.Random) -> list[Peer]:
        """Return a random sample of peers for a notice, most of them from the own hall."""
        near = [peer for peer in peers if peer.hall == self.hall]
        far = [peer for peer in peers if peer.hall != self.hall]
        near_count = min(len(near), max(HALL_FANOUT, FANOUT - len(far)))
        return rng.sample(near, near_count) + rng.sample(far, FANOUT - near_count)

    def hall_peers(self, hall: str, now: float) -> list[Peer]:
        """Return the other live boxes of a hall that are not leaving."""
        return [
            peer
            for peer in self.peers_by_id.values()
            if peer.hall == hall and not peer.is_leaving and now - peer.heard_at <= PEER_LIVE_S
        ]

    def forward_candidates(self, now: float) -> list[Peer]:
        """Return the boxes that reach workers and serve requests for boxes that do not.

        Those that get more connections than they can serve are left out.
        """
        return [
            peer
            for peer_id in self.reachable(now)
            if (peer := self.peers_by_id[peer_id]).reaches_workers and not peer.stands_back
        ]

    def note_unreaching(self, peer_id: str) -> None:
        """Record that a box reaches no worker either, until its next notice."""
        peer = self.peers_by_id.get(peer_id)
        if peer is not None:
            self.peers_by_id[peer_id] = replace(peer, reaches_workers=False)

    def witness_halls(self, now: float) -> dict[str, str]:
        """Return the hall of each box that may keep the origins of streams.

        The larger the fleet, the longer a live box may be silent here.
        """
        notice_gap_s = NOTICE_INTERVAL_S * max(1.0, len(self.peers_by_id) / FANOUT)
        silent_s = min(FORGET_S, max(HALL_TIMEOUT_S, WITNESS_MISSED_NOTICES * notice_gap_s))
        return {
            peer.id: peer.hall
            for peer in self.peers_by_id.values()
            if not peer.is_leaving and now - peer.heard_at <= silent_s
        }

    def reachable(self, now: float) -> list[str]:
        """Return the boxes that are not leaving and whose halls are not cut off.

        The notices of a single box arrive too rarely to judge it by, and network cuts affect whole
        halls.
        """
        heard_at_by_hall: dict[str, float] = {}
        for peer in self.peers_by_id.values():
            latest = heard_at_by_hall.get(peer.hall, peer.heard_at)
            heard_at_by_hall[peer.hall] = max(latest, peer.heard_at)
        return [
            peer.id
            for peer in self.peers_by_id.values()
            if not peer.is_leaving
            and now - peer.heard_at <= FORGET_S
            and now - heard_at_by_hall[peer.hall] <= HALL_TIMEOUT_S
        ]

    def introduced(self, now: float, rng: random.Random) -> tuple[str, ...]:
        """Return the addresses of some live peers, for other boxes to learn of."""
        live = [
            f"{peer.host}:{peer.notice_port}"
            for peer in self.peers_by_id.values()
            if now - peer.heard_at <= FRESH_S
        ]
        return tuple(
            live if len(live) <= MAX_INTRODUCED_PEERS else rng.sample(live, MAX_INTRODUCED_PEERS)
        )

    @property
    def known_boxes(self) -> int:
        """The number of known boxes, this one included.

        Boxes that have been silent for less than a minute count: they may be cut off and still
        serve.
        """
        return 1 + len(self.peers_by_id)

    def boxes(self, now: float) -> int:
        """Return the number of boxes, counting this one and those heard in the last seconds."""
        recent = sum(now - peer.heard_at <= COUNTED_S for peer in self.peers_by_id.values())
        return 1 + recent

    def fresh_boxes(self, now: float) -> int:
        """Return how many other boxes have a fresh notice: those that :meth:`demand` sums over."""
        return sum(now - peer.heard_at <= FRESH_S for peer in self.peers_by_id.values())

    def in_flight(self, worker_id: str, now: float) -> int:
        """Return the requests that other boxes have open at a worker, by their fresh notices."""
        return sum(entry.in_flight for entry, _ in self._entries(worker_id, now))

    def failures(self, worker_id: str, now: float) -> float:
        """Return the sum of the failure scores that other boxes report for a worker."""
        return sum(entry.failures for entry, _ in self._entries(worker_id, now))

    def prefill_wait_s(self, worker_id: str, now: float) -> float:
        """Return the longest recent wait at a prefill worker that other boxes reported."""
        waits = [
            decayed_wait_s(entry.wait_s, age_s) for entry, age_s in self._entries(worker_id, now)
        ]
        return max(waits, default=0.0)

    def prefills(self, service: str, now: float) -> list[PrefillSample]:
        """Return the latest prefill calls that other boxes reported."""
        return [
            sample
            for peer in self.peers_by_id.values()
            if now - peer.heard_at <= FRESH_S
            and (entry := (peer.demand_by_service or {}).get(service)) is not None
            for sample in entry.prefills
        ]

    def demand(self, service: str, now: float) -> DemandCounts:
        """Return the demand for a service at other boxes."""
        total = DemandCounts()
        for peer in self.peers_by_id.values():
            entry = (peer.demand_by_service or {}).get(service)
            if entry is not None and now - peer.heard_at <= FRESH_S:
                total += DemandCounts(
                    asks=entry.asks,
                    prompt_tokens=entry.prompt_tokens,
                    output_tokens=entry.output_tokens,
                    ended=entry.ended,
                    ended_tokens=entry.ended_tokens,
                    ended_s=entry.ended_s,
                    large_asks=entry.large_asks,
                    large_tokens=entry.large_tokens,
                    granted=entry.granted,
                    large_granted=entry.large_granted,
                )
        return total

    def room(self, service: str, now: float) -> RoomCounts:
        """Return how long requests at other boxes waited for room at a service's engines."""
        total = RoomCounts()
        for peer in self.peers_by_id.values():
            entry = (peer.demand_by_service or {}).get(service)
            if entry is not None and now - peer.heard_at <= FRESH_S:
                total += RoomCounts(waited_s=entry.room_waited_s, grants=entry.room_grants)
        return total

    def ranks(self, service: str, now: float) -> list[tuple[RankRoomNotice, float]]:
        """Return the waits for room per rank at other boxes, each with the time of its notice."""
        return [
            (entry, peer.heard_at)
            for peer in self.peers_by_id.values()
            if now - peer.heard_at <= FRESH_S
            and (demand := (peer.demand_by_service or {}).get(service)) is not None
            for entry in demand.ranks
        ]

    def uses(self, service: str, now: float) -> list[OrganisationUseNotice]:
        """Return what organisations requested and were granted of a service at other boxes."""
        return [
            entry
            for peer in self.peers_by_id.values()
            if now - peer.heard_at <= FRESH_S
            and (demand := (peer.demand_by_service or {}).get(service)) is not None
            for entry in demand.uses
        ]

    def newest(self, now: float, rng: random.Random) -> tuple[Peer | None, Peer | None]:
        """Return the live peers with the newest configuration and the newest worker list.

        Among equals, peers that are not leaving come first, since a leaving one may stop in the
        middle of its answer; then peers of the own hall. Remaining ties are broken at random:
        otherwise all boxes with old data would ask the same peer.
        """
        live = [peer for peer in self.peers_by_id.values() if now - peer.heard_at <= FRESH_S]
        if not live:
            return None, None
        by_config = max(
            live, key=lambda peer: (peer.config_version, *self._preference(peer), rng.random())
        )
        by_workers = max(
            live, key=lambda peer: (peer.workers_revision, *self._preference(peer), rng.random())
        )
        return by_config, by_workers

    def _preference(self, peer: Peer) -> tuple[bool, bool]:
        return not peer.is_leaving, peer.hall == self.hall

    def _entries(self, worker_id: str, now: float) -> list[tuple[WorkerNotice, float]]:
        """Return the fresh reports of peers about a worker, each with its age in seconds."""
        ages = (
            (entry, now - self.peers_by_id[peer_id].heard_at)
            for peer_id, entry in self._entries_by_worker.get(worker_id, {}).items()
        )
        return [(entry, age_s) for entry, age_s in ages if age_s <= FRESH_S]
