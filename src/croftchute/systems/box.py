"""All systems of one box: takes inputs, updates tables and returns commands.

The daemon and the benchmarks drive the same class. It has no clock, no I/O and no threads.
"""

from __future__ import annotations

import random
from collections.abc import Iterable
from dataclasses import replace

from croftchute.commands import (
    Command,
    EmitEvent,
    FetchSharedState,
    PollEngine,
    ProposeRangeMap,
    SendPeer,
)
from croftchute.config.documents import Document
from croftchute.peers.messages import (
    AllowanceAsk,
    AllowanceReply,
    Announced,
    Audit,
    Audited,
    Begin,
    Body,
    BoxNotice,
    CrashNews,
    Declined,
    Finish,
    Granted,
    Heartbeat,
    Mirror,
    Mirrored,
    OriginAsk,
    OriginNews,
    OriginReply,
    Released,
    Reserve,
    Verdict,
)
from croftchute.systems.cancels import CancelTracker
from croftchute.systems.dedupe import Deduplicator
from croftchute.systems.dedupe_map import initial_rows, repair_rows
from croftchute.systems.entry import RequestEntry
from croftchute.systems.membership import Membership
from croftchute.systems.owner import PolicyOrderer, ShardOwner
from croftchute.systems.prefix_index import CacheEvent
from croftchute.systems.rendezvous import rank_nodes
from croftchute.systems.shard_choice import ShardChooser
from croftchute.systems.sharding import assign_evenly, build_topology
from croftchute.tables.boxes import Box, BoxState
from croftchute.tables.dedupe import BoxIncarnation, RangeMap
from croftchute.tables.requests import AttemptEnd, Request, Silence
from croftchute.tables.upstreams import EngineReport, Topology
from croftchute.timeline.events import Event, Kind

ANNOUNCE_DELAYS_S = (0.0, 0.5, 1.5)
"""Delays after a change of a shard's owner at which attempts are announced to the new owner.

They are announced more than once because messages may be lost.
"""

FETCH_INTERVAL_S = 0.3
REPAIR_INTERVAL_S = 1.0
RELAYS_PER_HALL = 2
FIRST_FULL_HEARTBEATS = 10
"""Number of heartbeats after a start that all carry the address; most later ones omit it."""

FULL_HEARTBEAT_EVERY = 8
"""Interval, in heartbeats, at which later ones carry the address; the others save its bytes."""


class BoxSystems:
    """All systems of one box, with the tables that they share."""

    def __init__(
        self,
        *,
        own: Box,
        heartbeat_s: float,
        suspect_after_s: float,
        poll_s: float,
        seed: int,
        order_placements: PolicyOrderer | None = None,
    ) -> None:
        self.own = own
        self.heartbeat_s = heartbeat_s
        self.poll_s = poll_s
        self.order_placements = order_placements
        rng = random.Random(seed)
        self.topology = Topology(revision=0, hall=own.hall)
        self.membership = Membership(own=own, suspect_after_s=suspect_after_s)
        self.cancels = CancelTracker()
        self.chooser = ShardChooser(rng=rng, is_reachable=self._is_shard_reachable)
        self.owner = ShardOwner(box=own.id, cancels=self.cancels, topology=self.topology)
        self.entry = RequestEntry(
            box=own.id,
            topology=self.topology,
            cancels=self.cancels,
            chooser=self.chooser,
            owner_of=self.owner_of,
            rng=rng,
        )
        self.dedupe = Deduplicator(box=own.id, incarnation=own.incarnation)
        self.owners_by_shard: dict[str, str] = {}
        self._owner_ids: tuple[str, ...] = ()
        self._next_heartbeat_at = 0.0
        self._next_poll_by_engine: dict[str, float] = {}
        self._announcements: list[tuple[float, str]] = []
        self._heartbeats_sent = 0
        self._next_fetch_at = 0.0
        self._next_repair_at = 0.0

    def __repr__(self) -> str:
        return f"BoxSystems(box={self.own.id!r}, revision={self.topology.revision})"

    def owner_of(self, shard: str) -> str:
        """Return the owner of a shard as this box sees it; this box itself if none is known."""
        return self.owners_by_shard.get(shard, self.own.id)

    def apply_config(self, document: Document, revision: int, now: float) -> list[Command]:
        """Apply a configuration; ignore one that is not newer."""
        if revision <= self.topology.revision:
            return []
        before = self.topology
        self.topology = build_topology(document, revision=revision, hall=self.own.hall)
        self.entry.topology = self.topology
        event = Event(kind=Kind.CONFIG_APPLIED, detail=f"revision {revision}")
        commands: list[Command] = [EmitEvent(event=event)]
        for engine in self.topology.engines_by_id.values():
            earlier = before.engines_by_id.get(engine.id)
            if engine.leaving and (earlier is None or not earlier.leaving):
                leaving = Event(kind=Kind.UPSTREAM_LEAVING, upstream=engine.id, detail="config")
                commands.append(EmitEvent(event=leaving))
        return commands + self._reassign(now)

    def add_boxes(self, boxes: Iterable[Box]) -> None:
        """Add peers from settings or the platform's list."""
        self.membership.add_boxes(boxes)

    def start_leaving(self, now: float) -> list[Command]:
        """Hand all shards over to other live boxes, if there are any; open requests continue."""
        self.own = replace(self.own, state=BoxState.LEAVING)
        self.membership.own = self.own
        self._next_heartbeat_at = 0.0
        return self._reassign(now) + self.tick(now)

    def request_received(self, request: Request, now: float) -> list[Command]:
        """Handle a caller's request."""
        return self._deliver_to_self(self.entry.request_received(request, now), now)

    def attempt_ended(self, end: AttemptEnd, now: float) -> list[Command]:
        """Handle the end of an attempt."""
        commands = self.entry.attempt_ended(end, now) + self._send_crash_news(now)
        return self._deliver_to_self(commands, now)

    def attempts_silent(self, silence: Silence, now: float) -> list[Command]:
        """Handle the silence of all engines that run a request."""
        return self._deliver_to_self(self.entry.attempts_silent(silence, now), now)

    def attempt_resumed(self, request_id: str, now: float) -> list[Command]:
        """Handle a sign of an engine that had been silent."""
        return self._deliver_to_self(self.entry.attempt_resumed(request_id), now)

    def caller_left(self, request_id: str, now: float) -> list[Command]:
        """Handle the disconnect of a request's caller."""
        return self._deliver_to_self(self.entry.caller_left(request_id, now), now)

    def engine_reported(
        self, engine_id: str, report: EngineReport, events: Iterable[CacheEvent], now: float
    ) -> list[Command]:
        """Handle an engine's reply to a poll."""
        return self.owner.engine_reported(engine_id, report, events, now)

    def engine_unreachable(self, engine_id: str, now: float) -> list[Command]:
        """Handle a failed poll of an engine."""
        return self.owner.engine_unreachable(engine_id, now)

    def cancel_confirmed(self, engine_id: str, key: str) -> list[Command]:
        """Handle the confirmation of an engine that it holds nothing for an attempt any more."""
        return self.cancels.confirm(engine_id, key)

    def begin_call(
        self, key: str, token: str, key_created_at: float | None, now: float
    ) -> list[Command]:
        """Ask whether a non-repeatable call may run.

        ``key_created_at`` is None if this box made the key for this call.
        """
        return self._deliver_to_self(self.dedupe.begin_call(key, token, key_created_at, now), now)

    def finish_call(self, finish: Finish, now: float) -> list[Command]:
        """Record the outcome of a non-repeatable call that was allowed to run."""
        return self._deliver_to_self(self.dedupe.finish_call(finish, now), now)

    def receive(self, sender: str, body: Body, now: float) -> list[Command]:
        """Handle a message from a peer, or from this box to itself."""
        return self._deliver_to_self(self._dispatch(sender, body, now), now)

    def tick(self, now: float) -> list[Command]:
        """Run everything that is due at ``now``."""
        commands = self._suspect_silent_boxes(now)
        commands += self._reassign_if_changed(now)
        commands += self._send_heartbeats(now)
        commands += self._poll_due_engines(now)
        commands += self.cancels.tick(now)
        commands += self.owner.tick(now)
        commands += self.entry.tick(now)
        commands += self.dedupe.tick(now)
        commands += self._repair_ranges(now)
        commands += self._send_due_announcements(now)
        return self._deliver_to_self(commands, now)

    def _dispatch(self, sender: str, body: Body, now: float) -> list[Command]:
        match body:
            case Heartbeat():
                return self._heartbeat_received(sender, body, now)
            case Reserve():
                return self.owner.reserve(sender, body, now, self.order_placements)
            case Granted():
                return self.entry.reservation_granted(sender, body, now)
            case Declined():
                return self.entry.reservation_declined(body, now)
            case Released():
                return self.owner.release(sender, body, now)
            case Announced():
                return self.owner.adopt_reservation(sender, body, now)
            case Audit():
                return self.entry.answer_audit(sender, body)
            case Audited():
                return self.owner.audit_answered(body, now)
            case CrashNews():
                self.entry.crashes.apply_notices(body, now)
                return self._send_crash_news(now)
            case BoxNotice() | AllowanceAsk() | AllowanceReply():
                return []  # handled by the peer exchange of the forwarding package
            case OriginNews() | OriginAsk() | OriginReply():
                return []  # handled by the peer exchange of the forwarding package
            case Begin() | Mirror() | Mirrored() | Verdict() | Finish():
                return self.dedupe.receive(sender, body, now)

    def _deliver_to_self(self, commands: list[Command], now: float) -> list[Command]:
        """Dispatch messages that this box sends to itself; return the other commands."""
        out: list[Command] = []
        for command in commands:
            if isinstance(command, SendPeer) and command.box == self.own.id:
                out += self._deliver_to_self(self._dispatch(self.own.id, command.body, now), now)
            else:
                out.append(command)
        return out

    def _heartbeat_received(self, sender: str, heartbeat: Heartbeat, now: float) -> list[Command]:
        events, restarted = self.membership.heartbeat_received(sender, heartbeat, now)
        commands: list[Command] = [EmitEvent(event=event) for event in events]
        if restarted:
            commands += self.owner.entry_box_gone(sender, now)
            commands += self.dedupe.box_restarted(sender, heartbeat.incarnation)
        known = self.membership.boxes_by_id.get(sender)
        if known is not None and known.hall == self.own.hall:
            for digest in heartbeat.digests:
                self.chooser.update_digest(replace(digest, at=now))
        if events:
            commands += self._reassign_if_changed(now)
        newer_config = heartbeat.revision > self.topology.revision
        newer_map = heartbeat.map_version > self.dedupe.map.version
        if (newer_config or newer_map) and now >= self._next_fetch_at:
            self._next_fetch_at = now + FETCH_INTERVAL_S
            commands.append(FetchSharedState(box=sender))
        return commands

    def _suspect_silent_boxes(self, now: float) -> list[Command]:
        """Suspect boxes whose heartbeats have stopped, and cancel the attempts that they started.

        A box that has sent no heartbeat yet does not count as silent.
        """
        commands: list[Command] = []
        for box in self.membership.suspect_silent(now):
            commands.append(EmitEvent(event=Event(kind=Kind.BOX_SUSPECT, detail=box)))
            commands += self.owner.entry_box_gone(box, now)
        return commands

    def _reassign_if_changed(self, now: float) -> list[Command]:
        members = tuple(self.membership.owner_ids())
        if members == self._owner_ids:
            return []
        return self._reassign(now)

    def _reassign(self, now: float) -> list[Command]:
        self._owner_ids = tuple(self.membership.owner_ids())
        shards = self.topology.shards_by_id
        before = self.owners_by_shard
        self.owners_by_shard = assign_evenly(sorted(shards), self._owner_ids)
        own = [shard for shard in shards.values() if self.owner_of(shard.id) == self.own.id]
        commands = self.owner.set_shards(self.topology, own, now)
        for shard_id, owner in self.owners_by_shard.items():
            if before.get(shard_id) not in (None, owner):
                self._announcements += [(now + after, shard_id) for after in ANNOUNCE_DELAYS_S]
        return commands + self._send_due_announcements(now)

    def _send_due_announcements(self, now: float) -> list[Command]:
        due = [shard for at, shard in self._announcements if at <= now]
        if not due:
            return []
        self._announcements = [entry for entry in self._announcements if entry[0] > now]
        commands: list[Command] = []
        for shard in dict.fromkeys(due):
            commands += self.entry.announce_attempts(shard, self.owner_of(shard), now)
        return commands

    def _send_heartbeats(self, now: float) -> list[Command]:
        if now < self._next_heartbeat_at:
            return []
        self._next_heartbeat_at = now + self.heartbeat_s
        digests = self.owner.digests(now)
        for digest in digests:
            self.chooser.update_digest(digest)
        body = Heartbeat(
            incarnation=self.own.incarnation,
            revision=self.topology.revision,
            map_version=self.dedupe.map.version,
            leaving=self.own.state is BoxState.LEAVING,
            digests=digests,
        )
        self._heartbeats_sent += 1
        if (
            self._heartbeats_sent <= FIRST_FULL_HEARTBEATS
            or self._heartbeats_sent % FULL_HEARTBEAT_EVERY == 0
        ):
            body = replace(
                body,
                hall=self.own.hall,
                address=self.own.address,
                peer_port=self.own.peer_port,
                admin_port=self.own.admin_port,
            )
        bodies: list[Body] = [body, *self.entry.crashes.heartbeat_messages(now)]
        return [
            SendPeer(box=box, body=part) for box in self._heartbeat_receivers() for part in bodies
        ]

    def _send_crash_news(self, now: float) -> list[Command]:
        """Send notices of requests during which engines crashed to all heartbeat receivers."""
        news = self.entry.crashes.take_outgoing(now)
        return [
            SendPeer(box=box, body=part) for part in news for box in self._heartbeat_receivers()
        ]

    @property
    def is_relay(self) -> bool:
        """Whether this box is one of the few of its hall that watch the platform's store.

        Relays also exchange heartbeats with the other halls.
        """
        return self.own.id in rank_nodes("relay", self.membership.live_ids())[:RELAYS_PER_HALL]

    def _heartbeat_receivers(self) -> list[str]:
        """Return the boxes of this hall; from a relay also the relays of every other hall."""
        ids = [box.id for box in self.membership.hall_peers()]
        if not self.is_relay:
            return ids
        boxes = self.membership.boxes_by_id.values()
        for hall in sorted({box.hall for box in boxes if box.hall != self.own.hall}):
            hall_ids = [box.id for box in boxes if box.hall == hall]
            live_ids = [box for box in hall_ids if self.membership.is_live(box)]
            ids += rank_nodes("relay", live_ids or hall_ids)[:RELAYS_PER_HALL]
        return ids

    def apply_range_map(self, range_map: RangeMap, now: float) -> list[Command]:
        """Apply a range map from the store or a peer."""
        return self._deliver_to_self(self.dedupe.apply_map(range_map, now), now)

    def _repair_ranges(self, now: float) -> list[Command]:
        if now < self._next_repair_at:
            return []
        self._next_repair_at = now + REPAIR_INTERVAL_S
        range_map = self.dedupe.map
        if not range_map.rows:
            rows = initial_rows(self._members_by_hall()) if self.is_relay else ()
        else:
            rows = repair_rows(
                range_map,
                own=self.dedupe.own,
                holds_records=self.dedupe.holds_records,
                is_live=self._is_live_incarnation,
                has_ended=self.dedupe.has_ended,
                replacements=self._replacement_members(),
                now=now,
            )
        if rows == range_map.rows:
            return []
        return [ProposeRangeMap(version=range_map.version, rows=rows)]

    def _is_live_incarnation(self, member: BoxIncarnation) -> bool:
        if member == self.dedupe.own:
            return self.own.state is BoxState.LIVE
        box = self.membership.boxes_by_id.get(member.box)
        return (
            box is not None and box.incarnation == member.incarnation and box.state is BoxState.LIVE
        )

    def _replacement_members(self) -> list[BoxIncarnation]:
        members = self._members_by_hall()
        own_hall = members.get(self.own.hall, [])
        return own_hall if len(own_hall) > 1 else [m for group in members.values() for m in group]

    def _members_by_hall(self) -> dict[str, list[BoxIncarnation]]:
        members: dict[str, list[BoxIncarnation]] = {}
        for box in [self.own, *self.membership.boxes_by_id.values()]:
            if box.state is BoxState.LIVE and box.incarnation:
                member = BoxIncarnation(box=box.id, incarnation=box.incarnation)
                members.setdefault(box.hall, []).append(member)
        return members

    def _poll_due_engines(self, now: float) -> list[Command]:
        commands: list[Command] = []
        for engine_id in self.owner.engine_ids():
            if now >= self._next_poll_by_engine.get(engine_id, 0.0):
                self._next_poll_by_engine[engine_id] = now + self.poll_s
                commands.append(PollEngine(engine_id=engine_id))
        return commands

    def _is_shard_reachable(self, shard: str) -> bool:
        return self.membership.is_live(self.owner_of(shard))
