"""The product's own systems as a router under measurement: one BoxSystems for each box.

The same class makes the ``oracle``: one box for each hall, one shard, exact reports, no delays.
"""

from __future__ import annotations

import random
import time
from dataclasses import dataclass, field

from croftchute.bench.routers import Finish
from croftchute.bench.scenarios import Scenario
from croftchute.bench.world import Running, Ticket, World
from croftchute.commands import (
    CancelAttempt,
    Command,
    EmitEvent,
    FetchSharedState,
    PollEngine,
    RefuseRequest,
    SendPeer,
    StartAttempt,
)
from croftchute.config.documents import Document
from croftchute.peers.codec import Codec, Envelope
from croftchute.peers.messages import Body, Reserve
from croftchute.systems.box import BoxSystems
from croftchute.tables.boxes import Box, BoxState
from croftchute.tables.requests import AttemptEnd
from croftchute.timeline.events import Event

TICK_S = 0.05
HEARTBEAT_S = 1.0
SUSPECT_AFTER_S = 3.0
POLL_S = 0.25
CANCEL_LATENCY_S = 0.001
SAMPLE_EVERY = 16
UDP_HEADERS = 28
ORACLE_SHARD = 100_000


@dataclass(kw_only=True)
class Node:
    """One box of the run."""

    systems: BoxSystems
    alive: bool = True
    seq_by_engine: dict[str, int] = field(default_factory=dict)


class FleetRouter:
    """Boxes that talk over a fixed latency; messages to a dead box are lost."""

    def __init__(
        self,
        *,
        world: World,
        scenario: Scenario,
        finish: Finish,
        seed: int,
        exact: bool = False,
    ) -> None:
        self._world = world
        self._finish = finish
        self._exact = exact
        self._latency = 0.0 if exact else scenario.latency_s
        self._rng = random.Random(seed)
        self._codec = Codec(keys=["bench-key-bench-key"])
        self._sent = 0
        self._bytes = 0.0
        self.messages = 0
        self.decision_s: list[float] = []
        self.events: list[tuple[float, str, Event]] = []
        shard = ORACLE_SHARD if exact else 8
        self.document: Document = scenario.document(shard_engines=shard)
        self.revision = 1
        self.nodes_by_id: dict[str, Node] = {}
        for hall in scenario.halls:
            for n in range(1 if exact else hall.boxes):
                self._add_box(f"{hall.name}-{n}", hall.name, incarnation=1)
        self._introduce()

    def box_ids(self, hall: str) -> list[str]:
        """Live boxes of a hall."""
        return [
            name
            for name, node in self.nodes_by_id.items()
            if node.alive and node.systems.own.hall == hall
        ]

    def arrive(self, ticket: Ticket) -> None:
        """Hand a request to its box."""
        node = self.nodes_by_id[ticket.box]
        self._do(node, node.systems.request_received(ticket.arrival.request, self._world.loop.now))

    def leave(self, ticket: Ticket) -> None:
        """Tell the ticket's box that its caller has left."""
        node = self.nodes_by_id[ticket.box]
        if node.alive:
            self._do(
                node, node.systems.caller_left(ticket.arrival.request.id, self._world.loop.now)
            )

    def kill_box(self, box: str) -> None:
        """A box dies; its open requests are lost to their callers."""
        node = self.nodes_by_id[box]
        node.alive = False
        for request_id in node.systems.entry.open_by_id:
            self._world.ticket_by_id[request_id].entry_died = True

    def restart_box(self, box: str) -> None:
        """A new process at the same place: it knows nothing and has a new incarnation."""
        old = self.nodes_by_id[box].systems.own
        self._add_box(box, old.hall, incarnation=old.incarnation + 1)
        self._introduce()

    def apply(self, document: Document) -> None:
        """Put a configuration in force on all live boxes."""
        self.document = document
        self.revision += 1
        for node in self.nodes_by_id.values():
            if node.alive:
                now = self._world.loop.now
                self._do(node, node.systems.apply_config(document, self.revision, now))

    def open_reservations(self) -> int:
        """Reservations held at all live boxes."""
        nodes = [node for node in self.nodes_by_id.values() if node.alive]
        return sum(len(node.systems.owner.ledger.reservations_by_key) for node in nodes)

    def control_bytes(self) -> float:
        """Bytes sent between boxes, with UDP and IP headers; sampled and scaled."""
        return self._bytes

    def _add_box(self, name: str, hall: str, *, incarnation: int) -> None:
        own = Box(
            id=name,
            hall=hall,
            address="10.0.0.1",
            peer_port=7000,
            admin_port=7001,
            incarnation=incarnation,
            state=BoxState.LIVE,
        )
        systems = BoxSystems(
            own=own,
            heartbeat_s=HEARTBEAT_S,
            suspect_after_s=SUSPECT_AFTER_S,
            poll_s=0.0 if self._exact else POLL_S,
            seed=self._rng.getrandbits(32),
        )
        node = Node(systems=systems)
        self.nodes_by_id[name] = node
        now = self._world.loop.now
        self._do(node, systems.apply_config(self.document, self.revision, now))
        offset = self._rng.uniform(0.0, TICK_S)
        self._world.loop.after(offset, lambda: self._tick(node))

    def _introduce(self) -> None:
        owns = [node.systems.own for node in self.nodes_by_id.values()]
        for node in self.nodes_by_id.values():
            node.systems.add_boxes([own for own in owns if own.id != node.systems.own.id])

    def _tick(self, node: Node) -> None:
        if not node.alive or self.nodes_by_id[node.systems.own.id] is not node:
            return
        if self._exact:
            self._refresh(node)
        self._do(node, node.systems.tick(self._world.loop.now))
        self._world.loop.after(TICK_S, lambda: self._tick(node))

    def _refresh(self, node: Node) -> None:
        now = self._world.loop.now
        for engine_id in node.systems.owner.engine_ids():
            if self._world.is_dead(engine_id):
                self._do(node, node.systems.engine_unreachable(engine_id, now))
            else:
                report = self._world.exact_report(engine_id)
                prefill = self._world.prefill_by_id.get(engine_id)
                events = prefill.events if prefill is not None else []
                self._do(node, node.systems.engine_reported(engine_id, report, events, now))

    def _do(self, node: Node, commands: list[Command]) -> None:
        bodies_by_box: dict[str, list[Body]] = {}
        for command in commands:
            match command:
                case SendPeer():
                    bodies_by_box.setdefault(command.box, []).append(command.body)
                case StartAttempt():
                    self._start(node, command)
                case RefuseRequest():
                    self._refuse(command)
                case CancelAttempt():
                    self._cancel(node, command)
                case PollEngine():
                    self._poll(node, command.engine_id)
                case EmitEvent():
                    name = node.systems.own.id
                    self.events.append((self._world.loop.now, name, command.event))
                case FetchSharedState():
                    now = self._world.loop.now
                    self._do(node, node.systems.apply_config(self.document, self.revision, now))
                case _:
                    continue
        for box, bodies in bodies_by_box.items():
            self._send(node, box, bodies)

    def _send(self, node: Node, box: str, bodies: list[Body]) -> None:
        sender = node.systems.own.id
        self._sent += 1
        if self._sent % SAMPLE_EVERY == 1:
            envelope = Envelope(sender=sender, stamp=self._sent, bodies=tuple(bodies))
            self._bytes += SAMPLE_EVERY * (len(self._codec.encode(envelope)) + UDP_HEADERS)
        self.messages += 1
        self._world.loop.after(self._latency, lambda: self._receive(box, sender, bodies))

    def _receive(self, box: str, sender: str, bodies: list[Body]) -> None:
        node = self.nodes_by_id.get(box)
        if node is None or not node.alive:
            return
        now = self._world.loop.now
        for body in bodies:
            started = time.perf_counter()
            commands = node.systems.receive(sender, body, now)
            if isinstance(body, Reserve):
                self.decision_s.append(time.perf_counter() - started)
            self._do(node, commands)

    def _start(self, node: Node, command: StartAttempt) -> None:
        ticket = self._world.ticket_by_id[command.plan.request_id]
        running = Running(
            plan=command.plan, ticket=ticket, on_end=lambda end: self._ended(node, end)
        )
        self._world.start(running)

    def _ended(self, node: Node, end: AttemptEnd) -> None:
        if not node.alive:
            return
        known = end.request_id in node.systems.entry.open_by_id
        self._do(node, node.systems.attempt_ended(end, self._world.loop.now))
        if known and end.ok:
            ticket = self._world.ticket_by_id[end.request_id]
            ticket.answers += 1
            self._finish(ticket)

    def _refuse(self, command: RefuseRequest) -> None:
        ticket = self._world.ticket_by_id[command.request_id]
        ticket.refusals += 1
        ticket.ran = command.ran
        ticket.code = command.code.value
        self._finish(ticket)

    def _cancel(self, node: Node, command: CancelAttempt) -> None:
        def confirm() -> None:
            self._world.cancel(command.engine_id, command.key)
            if node.alive:
                self._do(node, node.systems.cancel_confirmed(command.engine_id, command.key))

        self._world.loop.after(CANCEL_LATENCY_S, confirm)

    def _poll(self, node: Node, engine_id: str) -> None:
        if self._exact:
            return
        now = self._world.loop.now
        report = self._world.report(engine_id)
        if self._world.is_dead(engine_id):
            self._do(node, node.systems.engine_unreachable(engine_id, now))
            return
        if report is None:
            return
        events = []
        prefill = self._world.prefill_by_id.get(engine_id)
        if prefill is not None:
            events = prefill.take_events(node.seq_by_engine.get(engine_id, 0))
            if events:
                node.seq_by_engine[engine_id] = events[-1].seq
        self._do(node, node.systems.engine_reported(engine_id, report, events, now))
