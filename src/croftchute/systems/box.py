"""One box's systems together: takes inputs, keeps the tables, returns commands.

The daemon and the benchmarks both drive this class; it has no clock, no I/O and no threads.
"""

from __future__ import annotations

import random
from collections.abc import Iterable
from dataclasses import replace

from croftchute.commands import Command, Emit, FetchShared, PollEngine, ProposeRanges, SendPeer
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
    Released,
    Reserve,
    Verdict,
)
from croftchute.systems.cancels import Cancels
from croftchute.systems.dedupe import Dedupe
from croftchute.systems.dedupe_map import first_rows, repaired_rows
from croftchute.systems.entry import Entry
from croftchute.systems.membership import Membership
from croftchute.systems.owner import Orderer, Owner
from croftchute.systems.prefix_index import CacheEvent
from croftchute.systems.rendezvous import rank_nodes
from croftchute.systems.shard_choice import ShardChooser
from croftchute.systems.sharding import assign, build_topology
from croftchute.tables.boxes import Box, BoxState
from croftchute.tables.dedupe import Member, RangeMap
from croftchute.tables.requests import AttemptEnd, Request
from croftchute.tables.upstreams import EngineReport, Topology
from croftchute.timeline.events import Event, Kind

REANNOUNCE_S = (0.0, 0.5, 1.5)
FETCH_RETRY_S = 0.3
REPAIR_EVERY_S = 1.0
RELAYS = 2
FIRST_BEATS = 10
INTRODUCE_EVERY = 8


class BoxSystems:
    """All systems of one box, around the tables they share."""

    def __init__(
        self,
        *,
        own: Box,
        heartbeat_s: float,
        suspect_after_s: float,
        poll_s: float,
        seed: int,
        order: Orderer | None = None,
    ) -> None:
        self.own = own
        self.heartbeat_s = heartbeat_s
        self.poll_s = poll_s
        self.order = order
        rng = random.Random(seed)
        self.topology = Topology(revision=0, hall=own.hall)
        self.membership = Membership(own=own, suspect_after_s=suspect_after_s)
        self.cancels = Cancels()
        self.chooser = ShardChooser(rng=rng, reachable=self._shard_reachable)
        self.owner = Owner(box=own.id, cancels=self.cancels, topology=self.topology)
        self.entry = Entry(
            box=own.id,
            topology=self.topology,
            cancels=self.cancels,
            chooser=self.chooser,
            owner_of=self.owner_of,
            rng=rng,
        )
        self.dedupe = Dedupe(box=own.id, incarnation=own.incarnation)
        self.owners_by_shard: dict[str, str] = {}
        self._members: tuple[str, ...] = ()
        self._next_beat_at = 0.0
        self._next_poll_by_engine: dict[str, float] = {}
        self._announcements: list[tuple[float, str]] = []
        self._beats = 0
        self._next_fetch_at = 0.0
        self._next_repair_at = 0.0

    def __repr__(self) -> str:
        return f"BoxSystems(box={self.own.id!r}, revision={self.topology.revision})"

    def owner_of(self, shard: str) -> str:
        """The box that owns a shard, as this box sees it; itself if there is none."""
        return self.owners_by_shard.get(shard, self.own.id)

    def apply_config(self, document: Document, revision: int, now: float) -> list[Command]:
        """Put a configuration in force; one that is not newer is ignored."""
        if revision <= self.topology.revision:
            return []
        before = self.topology
        self.topology = build_topology(document, revision=revision, hall=self.own.hall)
        self.entry.topology = self.topology
        event = Event(kind=Kind.CONFIG_APPLIED, detail=f"revision {revision}")
        commands: list[Command] = [Emit(event=event)]
        for engine in self.topology.engines_by_id.values():
            earlier = before.engines_by_id.get(engine.id)
            if engine.leaving and (earlier is None or not earlier.leaving):
                leaving = Event(kind=Kind.UPSTREAM_LEAVING, upstream=engine.id, detail="config")
                commands.append(Emit(event=leaving))
        return commands + self._reassign(now)

    def introduce(self, boxes: Iterable[Box]) -> None:
        """Make peers known from settings or the platform's list."""
        self.membership.introduce(boxes)

    def start_leaving(self, now: float) -> list[Command]:
        """Give all shards away; open requests run on."""
        self.own = replace(self.own, state=BoxState.LEAVING)
        self.membership.own = self.own
        self._next_beat_at = 0.0
        return self._reassign(now) + self.tick(now)

    def arrive(self, request: Request, now: float) -> list[Command]:
        """A caller's request came in."""
        return self._deliver(self.entry.arrive(request, now), now)

    def ended(self, end: AttemptEnd, now: float) -> list[Command]:
        """An attempt of a request ended."""
        commands = self.entry.ended(end, now) + self._crash_news(now)
        return self._deliver(commands, now)

    def gone(self, request_id: str, now: float) -> list[Command]:
        """A caller left."""
        return self._deliver(self.entry.gone(request_id, now), now)

    def reported(
        self, engine_id: str, report: EngineReport, events: Iterable[CacheEvent], now: float
    ) -> list[Command]:
        """An engine answered a poll."""
        return self.owner.report(engine_id, report, events, now)

    def engine_failed(self, engine_id: str, now: float) -> list[Command]:
        """An engine could not be reached for a poll."""
        return self.owner.failed(engine_id, now)

    def cancel_confirmed(self, engine_id: str, key: str) -> list[Command]:
        """An engine holds nothing for an attempt any more."""
        return self.cancels.confirm(engine_id, key)

    def begin_call(self, key: str, token: str, minted: float | None, now: float) -> list[Command]:
        """A non-repeatable call wants to run; ``minted`` is None for a key made for it here."""
        return self._deliver(self.dedupe.ask(key, token, minted, now), now)

    def finish_call(self, finish: Finish, now: float) -> list[Command]:
        """A non-repeatable call that was let run has an outcome."""
        return self._deliver(self.dedupe.tell(finish, now), now)

    def receive(self, sender: str, body: Body, now: float) -> list[Command]:
        """A message from a peer, or from this box to itself."""
        return self._deliver(self._dispatch(sender, body, now), now)

    def tick(self, now: float) -> list[Command]:
        """Run what is due by time alone."""
        commands = self._suspect(now)
        commands += self._members_changed(now)
        commands += self._beat(now)
        commands += self._polls(now)
        commands += self.cancels.tick(now)
        commands += self.owner.tick(now)
        commands += self.entry.tick(now)
        commands += self.dedupe.tick(now)
        commands += self._repair_ranges(now)
        commands += self._announce_due(now)
        return self._deliver(commands, now)

    def _dispatch(self, sender: str, body: Body, now: float) -> list[Command]:
        match body:
            case Heartbeat():
                return self._heard(sender, body, now)
            case Reserve():
                return self.owner.reserve(sender, body, now, self.order)
            case Granted():
                return self.entry.granted(sender, body, now)
            case Declined():
                return self.entry.declined(body, now)
            case Released():
                return self.owner.release(sender, body, now)
            case Announced():
                return self.owner.announced(sender, body, now)
            case Audit():
                return self.entry.audit(sender, body)
            case Audited():
                return self.owner.audited(body, now)
            case CrashNews():
                self.entry.crashes.apply_notices(body, now)
                return self._crash_news(now)
            case BoxNotice() | AllowanceAsk() | AllowanceReply():
                return []  # meant for forwarding boxes, which keep a table of their own
            case Begin() | Mirror() | Mirrored() | Verdict() | Finish():
                return self.dedupe.receive(sender, body, now)

    def _deliver(self, commands: list[Command], now: float) -> list[Command]:
        """Hand messages that this box sends itself straight back in."""
        out: list[Command] = []
        for command in commands:
            if isinstance(command, SendPeer) and command.box == self.own.id:
                out += self._deliver(self._dispatch(self.own.id, command.body, now), now)
            else:
                out.append(command)
        return out

    def _heard(self, sender: str, beat: Heartbeat, now: float) -> list[Command]:
        events, restarted = self.membership.hear(sender, beat, now)
        commands: list[Command] = [Emit(event=event) for event in events]
        if restarted:
            commands += self.owner.entry_gone(sender, now)
            commands += self.dedupe.restarted(sender, beat.incarnation)
        known = self.membership.boxes_by_id.get(sender)
        if known is not None and known.hall == self.own.hall:
            for digest in beat.digests:
                self.chooser.learn(replace(digest, at=now))
        if events:
            commands += self._members_changed(now)
        newer_config = beat.revision > self.topology.revision
        newer_map = beat.map_version > self.dedupe.map.version
        if (newer_config or newer_map) and now >= self._next_fetch_at:
            self._next_fetch_at = now + FETCH_RETRY_S
            commands.append(FetchShared(box=sender))
        return commands

    def _suspect(self, now: float) -> list[Command]:
        """Free what silent boxes held. One that was never heard has not fallen silent."""
        commands: list[Command] = []
        for box in self.membership.expire(now):
            commands.append(Emit(event=Event(kind=Kind.BOX_SUSPECT, detail=box)))
            commands += self.owner.entry_gone(box, now)
        return commands

    def _members_changed(self, now: float) -> list[Command]:
        members = tuple(self.membership.owner_ids())
        if members == self._members:
            return []
        return self._reassign(now)

    def _reassign(self, now: float) -> list[Command]:
        self._members = tuple(self.membership.owner_ids())
        shards = self.topology.shards_by_id
        before = self.owners_by_shard
        self.owners_by_shard = assign(sorted(shards), self._members)
        own = [shard for shard in shards.values() if self.owner_of(shard.id) == self.own.id]
        commands = self.owner.set_shards(self.topology, own, now)
        for shard_id, owner in self.owners_by_shard.items():
            if before.get(shard_id) not in (None, owner):
                self._announcements += [(now + after, shard_id) for after in REANNOUNCE_S]
        return commands + self._announce_due(now)

    def _announce_due(self, now: float) -> list[Command]:
        due = [shard for at, shard in self._announcements if at <= now]
        if not due:
            return []
        self._announcements = [entry for entry in self._announcements if entry[0] > now]
        commands: list[Command] = []
        for shard in dict.fromkeys(due):
            commands += self.entry.announce(shard, self.owner_of(shard), now)
        return commands

    def _beat(self, now: float) -> list[Command]:
        if now < self._next_beat_at:
            return []
        self._next_beat_at = now + self.heartbeat_s
        digests = self.owner.digests(now)
        for digest in digests:
            self.chooser.learn(digest)
        body = Heartbeat(
            incarnation=self.own.incarnation,
            revision=self.topology.revision,
            map_version=self.dedupe.map.version,
            leaving=self.own.state is BoxState.LEAVING,
            digests=digests,
        )
        self._beats += 1
        if self._beats <= FIRST_BEATS or self._beats % INTRODUCE_EVERY == 0:
            body = replace(
                body,
                hall=self.own.hall,
                address=self.own.address,
                peer_port=self.own.peer_port,
                admin_port=self.own.admin_port,
            )
        bodies: list[Body] = [body, *self.entry.crashes.heartbeat_messages(now)]
        return [SendPeer(box=box, body=part) for box in self._listeners() for part in bodies]

    def _crash_news(self, now: float) -> list[Command]:
        """Tell the boxes that hear this one under which requests engines have ended."""
        news = self.entry.crashes.take_outgoing(now)
        return [SendPeer(box=box, body=part) for part in news for box in self._listeners()]

    @property
    def is_relay(self) -> bool:
        """Whether this box is one of the few of its hall that talk to the platform."""
        return self.own.id in rank_nodes("relay", self.membership.live_ids())[:RELAYS]

    def _listeners(self) -> list[str]:
        """Who hears this box: its hall; from a relay, also a few boxes of every other hall."""
        ids = [box.id for box in self.membership.peers()]
        if not self.is_relay:
            return ids
        boxes = self.membership.boxes_by_id.values()
        for hall in sorted({box.hall for box in boxes if box.hall != self.own.hall}):
            there = [box.id for box in boxes if box.hall == hall]
            live = [box for box in there if self.membership.is_live(box)]
            ids += rank_nodes("relay", live or there)[:RELAYS]
        return ids

    def learn_ranges(self, known: RangeMap, now: float) -> list[Command]:
        """A range map came from the store or a peer."""
        return self._deliver(self.dedupe.learn(known, now), now)

    def _repair_ranges(self, now: float) -> list[Command]:
        if now < self._next_repair_at:
            return []
        self._next_repair_at = now + REPAIR_EVERY_S
        known = self.dedupe.map
        if not known.rows:
            rows = first_rows(self._members_by_hall()) if self.is_relay else ()
        else:
            rows = repaired_rows(
                known,
                own=self.dedupe.own,
                holds=self.dedupe.holds,
                is_live=self._serves,
                has_ended=self.dedupe.has_ended,
                spares=self._spares(),
                now=now,
            )
        if rows == known.rows:
            return []
        return [ProposeRanges(version=known.version, rows=rows)]

    def _serves(self, member: Member) -> bool:
        if member == self.dedupe.own:
            return self.own.state is BoxState.LIVE
        box = self.membership.boxes_by_id.get(member.box)
        return (
            box is not None and box.incarnation == member.incarnation and box.state is BoxState.LIVE
        )

    def _spares(self) -> list[Member]:
        members = self._members_by_hall()
        near = members.get(self.own.hall, [])
        return near if len(near) > 1 else [m for group in members.values() for m in group]

    def _members_by_hall(self) -> dict[str, list[Member]]:
        members: dict[str, list[Member]] = {}
        for box in [self.own, *self.membership.boxes_by_id.values()]:
            if box.state is BoxState.LIVE and box.incarnation:
                member = Member(box=box.id, incarnation=box.incarnation)
                members.setdefault(box.hall, []).append(member)
        return members

    def _polls(self, now: float) -> list[Command]:
        commands: list[Command] = []
        for engine_id in self.owner.engine_ids():
            if now >= self._next_poll_by_engine.get(engine_id, 0.0):
                self._next_poll_by_engine[engine_id] = now + self.poll_s
                commands.append(PollEngine(engine_id=engine_id))
        return commands

    def _shard_reachable(self, shard: str) -> bool:
        return self.membership.is_live(self.owner_of(shard))
