"""Which boxes are live: heartbeats, suspicion and incarnations."""

from __future__ import annotations

from collections.abc import Iterable
from dataclasses import replace

from croftchute.peers.messages import Heartbeat
from croftchute.tables.boxes import Box, BoxState
from croftchute.timeline.events import Event, Kind

MAX_CHECK_GAP_SHARE = 0.25
"""Share of the time to suspicion that may lie between two looks: after more than that this box was
itself held up, and heartbeats that came meanwhile may not have been read yet."""


class Membership:
    """The boxes this one knows of. A box counts as live while its heartbeats keep coming."""

    def __init__(self, *, own: Box, suspect_after_s: float) -> None:
        self.own = own
        self.suspect_after_s = suspect_after_s
        self.boxes_by_id: dict[str, Box] = {}
        self._checked_at: float | None = None
        self._resumed_at = 0.0

    def __repr__(self) -> str:
        return f"Membership(own={self.own.id!r}, live={self.live_ids()!r})"

    def add_boxes(self, boxes: Iterable[Box]) -> None:
        """Add boxes from settings or the platform's list; they stay suspect until heard."""
        for box in boxes:
            if box.id != self.own.id:
                not_yet_heard = replace(box, state=BoxState.SUSPECT, heard_at=0.0, incarnation=0)
                self.boxes_by_id.setdefault(box.id, not_yet_heard)

    def heartbeat_received(
        self, sender: str, beat: Heartbeat, now: float
    ) -> tuple[list[Event], bool]:
        """Take in a heartbeat; says what changed and whether the sender was restarted."""
        known = self.boxes_by_id.get(sender)
        if known is not None and beat.incarnation < known.incarnation:
            return [], False
        restarted = known is not None and 0 < known.incarnation < beat.incarnation
        state = BoxState.LEAVING if beat.leaving else BoxState.LIVE
        base = _box_from_heartbeat(sender, beat) or known
        if base is None:
            return [], False
        self.boxes_by_id[sender] = replace(
            base,
            incarnation=beat.incarnation,
            state=state,
            heard_at=now,
            revision=beat.revision,
        )
        if known is not None and known.state is state and not restarted:
            return [], False
        return [Event(kind=Kind.BOX_LIVE, detail=f"{sender} {state.value}")], restarted

    def suspect_silent(self, now: float) -> list[str]:
        """Suspect the boxes that have fallen silent for too long; returns which."""
        self._note_check(now)
        suspected = []
        for box in list(self.boxes_by_id.values()):
            heard_at = max(box.heard_at, self._resumed_at)
            silent = now - heard_at > self.suspect_after_s
            if silent and box.state in (BoxState.LIVE, BoxState.LEAVING):
                self.boxes_by_id[box.id] = replace(box, state=BoxState.SUSPECT)
                suspected.append(box.id)
        return suspected

    def _note_check(self, now: float) -> None:
        """After a pause of this box others get the whole time anew."""
        checked_at, self._checked_at = self._checked_at, now
        if checked_at is not None and now - checked_at > MAX_CHECK_GAP_SHARE * self.suspect_after_s:
            self._resumed_at = now

    def is_live(self, box_id: str) -> bool:
        """Whether a box is this one or has been heard lately."""
        if box_id == self.own.id:
            return True
        box = self.boxes_by_id.get(box_id)
        return box is not None and box.state in (BoxState.LIVE, BoxState.LEAVING)

    def live_ids(self) -> list[str]:
        """Boxes of this hall that answer, leaving ones included, sorted."""
        return self._hall_ids((BoxState.LIVE, BoxState.LEAVING))

    def owner_ids(self) -> list[str]:
        """Boxes of this hall that may own shards; a leaving box gives its shards away."""
        owners = self._hall_ids((BoxState.LIVE,))
        return owners or self.live_ids()

    def hall_peers(self) -> list[Box]:
        """All other boxes of this hall that are known, silent ones included."""
        return [box for box in self.boxes_by_id.values() if box.hall == self.own.hall]

    def _hall_ids(self, states: tuple[BoxState, ...]) -> list[str]:
        own = [self.own.id] if self.own.state in states else []
        others = [box.id for box in self.hall_peers() if box.state in states]
        return sorted(own + others)


def _box_from_heartbeat(sender: str, beat: Heartbeat) -> Box | None:
    """The box as its heartbeat describes it; None if the heartbeat leaves the address out."""
    if not beat.address:
        return None
    return Box(
        id=sender,
        hall=beat.hall,
        address=beat.address,
        peer_port=beat.peer_port,
        admin_port=beat.admin_port,
    )
