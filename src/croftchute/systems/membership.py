"""Membership: which boxes are live, by their heartbeats and incarnations."""

from __future__ import annotations

from collections.abc import Iterable
from dataclasses import replace

from croftchute.peers.messages import Heartbeat
from croftchute.tables.boxes import Box, BoxState
from croftchute.timeline.events import Event, Kind

MAX_CHECK_GAP_SHARE = 0.25
"""Longest gap between two checks, as a share of ``suspect_after_s``. After a longer gap this box
was itself stalled, and it may not have read the heartbeats that arrived meanwhile."""


class Membership:
    """The known boxes; a box is live while its heartbeats keep arriving."""

    def __init__(self, *, own: Box, suspect_after_s: float) -> None:
        self.own = own
        self.suspect_after_s = suspect_after_s
        self.boxes_by_id: dict[str, Box] = {}
        self._checked_at: float | None = None
        self._resumed_at = 0.0

    def __repr__(self) -> str:
        return f"Membership(own={self.own.id!r}, live={self.live_ids()!r})"

    def add_boxes(self, boxes: Iterable[Box]) -> None:
        """Add boxes from settings or the platform's list; suspect until their first heartbeat."""
        for box in boxes:
            if box.id != self.own.id:
                not_yet_heard = replace(box, state=BoxState.SUSPECT, heard_at=0.0, incarnation=0)
                self.boxes_by_id.setdefault(box.id, not_yet_heard)

    def heartbeat_received(
        self, sender: str, heartbeat: Heartbeat, now: float
    ) -> tuple[list[Event], bool]:
        """Apply a heartbeat; return the events and whether the sender was restarted.

        A heartbeat of an older incarnation is ignored, and so is one without an address from a
        box that is not known yet.
        """
        known = self.boxes_by_id.get(sender)
        if known is not None and heartbeat.incarnation < known.incarnation:
            return [], False
        restarted = known is not None and 0 < known.incarnation < heartbeat.incarnation
        state = BoxState.LEAVING if heartbeat.leaving else BoxState.LIVE
        base = _box_from_heartbeat(sender, heartbeat) or known
        if base is None:
            return [], False
        self.boxes_by_id[sender] = replace(
            base,
            incarnation=heartbeat.incarnation,
            state=state,
            heard_at=now,
            revision=heartbeat.revision,
        )
        if known is not None and known.state is state and not restarted:
            return [], False
        return [Event(kind=Kind.BOX_LIVE, detail=f"{sender} {state.value}")], restarted

    def suspect_silent(self, now: float) -> list[str]:
        """Mark boxes that have been silent for too long as suspect, and return their ids."""
        self._detect_own_stall(now)
        suspected = []
        for box in list(self.boxes_by_id.values()):
            heard_at = max(box.heard_at, self._resumed_at)
            silent = now - heard_at > self.suspect_after_s
            if silent and box.state in (BoxState.LIVE, BoxState.LEAVING):
                self.boxes_by_id[box.id] = replace(box, state=BoxState.SUSPECT)
                suspected.append(box.id)
        return suspected

    def _detect_own_stall(self, now: float) -> None:
        """Restart the silence timeout of all boxes if this box itself was stalled."""
        checked_at, self._checked_at = self._checked_at, now
        if checked_at is not None and now - checked_at > MAX_CHECK_GAP_SHARE * self.suspect_after_s:
            self._resumed_at = now

    def is_live(self, box_id: str) -> bool:
        """Return whether a box is this one, or its heartbeats keep arriving."""
        if box_id == self.own.id:
            return True
        box = self.boxes_by_id.get(box_id)
        return box is not None and box.state in (BoxState.LIVE, BoxState.LEAVING)

    def live_ids(self) -> list[str]:
        """Return the live boxes of this hall, including leaving ones, sorted."""
        return self._hall_ids((BoxState.LIVE, BoxState.LEAVING))

    def owner_ids(self) -> list[str]:
        """Return the boxes of this hall that may own shards.

        A leaving box gives its shards away, unless no other box is live.
        """
        owners = self._hall_ids((BoxState.LIVE,))
        return owners or self.live_ids()

    def hall_peers(self) -> list[Box]:
        """Return all other known boxes of this hall, including silent ones."""
        return [box for box in self.boxes_by_id.values() if box.hall == self.own.hall]

    def _hall_ids(self, states: tuple[BoxState, ...]) -> list[str]:
        own = [self.own.id] if self.own.state in states else []
        others = [box.id for box in self.hall_peers() if box.state in states]
        return sorted(own + others)


def _box_from_heartbeat(sender: str, heartbeat: Heartbeat) -> Box | None:
    """Return the box that a heartbeat describes; None if it leaves the address out."""
    if not heartbeat.address:
        return None
    return Box(
        id=sender,
        hall=heartbeat.hall,
        address=heartbeat.address,
        peer_port=heartbeat.peer_port,
        admin_port=heartbeat.admin_port,
    )
