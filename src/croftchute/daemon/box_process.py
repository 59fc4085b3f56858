"""One box as a process: the systems, the runner, and everything that does I/O for them."""

from __future__ import annotations

import random
import threading
import time
from concurrent.futures import ThreadPoolExecutor
from dataclasses import replace

from croftchute.clock import ProcessClock
from croftchute.commands import (
    CancelAttempt,
    Command,
    DecideCall,
    EmitEvent,
    FetchSharedState,
    PollEngine,
    ProposeRangeMap,
    RefuseRequest,
    SendPeer,
    StartAttempt,
)
from croftchute.config.documents import Document
from croftchute.daemon.admin import AdminApp
from croftchute.daemon.client_log import ClientLog
from croftchute.daemon.engine_io import EngineIo
from croftchute.daemon.event_log import EventLog
from croftchute.daemon.knowledge_feed import KnowledgeFeed
from croftchute.daemon.metrics import Metrics
from croftchute.daemon.runner import Job, Runner
from croftchute.daemon.shared_state import SharedState
from croftchute.daemon.store_sync import StoreSync
from croftchute.errors import Code, Ran
from croftchute.gateway.app import GatewayApp
from croftchute.gateway.calls import CallDesk
from croftchute.gateway.completions import Completion
from croftchute.gateway.exchange import ExchangeBoard
from croftchute.gateway.hangups import HangupWatcher
from croftchute.gateway.relay import Relay
from croftchute.httpd import HttpServer
from croftchute.peers.codec import Codec, Envelope
from croftchute.peers.messages import Body
from croftchute.peers.socket import PeerSocket
from croftchute.policies.runner import PolicyRunner
from croftchute.request_receiver import LockedMemory
from croftchute.settings import Settings
from croftchute.storage.etcd import EtcdStore
from croftchute.storage.store import Store
from croftchute.systems.box import BoxSystems
from croftchute.tables.boxes import Box, BoxState
from croftchute.tables.requests import AttemptEnd, Request, Silence
from croftchute.tables.upstreams import Topology
from croftchute.timeline.events import Event, Kind
from croftchute.timeline.ring import EventRing
from croftchute.timeline.stamps import StampClock
from croftchute.upstreams.engine import Engine
from croftchute.upstreams.http_engine import STREAM_GAP_S, HttpEngine
from croftchute.upstreams.service import HttpService

ADMIN_THREADS = 4
SPARE_THREADS = 16

MAX_ADMIN_BODY_BYTES = 65_536
"""Largest body of a call of the admin port, none of which needs one."""

ENTRY_GRACE_S = 2.8
"""Seconds for which a draining box takes callers; as the forwarding daemon's constant of this name
(``croftchute.daemon.router_process``), where its origin is given. A test holds them equal."""

DRAIN_CHECK_S = 0.05
"""Seconds between two looks at what is still open during a stop."""

QUIET_LOOKS = 2
"""Looks in a row that find nothing open: a kept connection's next request may be between the kernel
and the queue of a thread for a moment, in which no look sees it."""


class BoxProcess:
    """Everything one box runs; :meth:`start` returns once it listens."""

    def __init__(
        self, *, settings: Settings, store: Store | None = None, engine: Engine | None = None
    ) -> None:
        self.settings = settings
        self.clock = ProcessClock()
        self.max_streams = settings.max_streams
        self.max_body_bytes = settings.max_body_bytes
        self.board = ExchangeBoard()
        self.hangups = HangupWatcher()
        self.relay = Relay(
            clock=self.clock.now, gap_s=STREAM_GAP_S, unread_s=settings.read_timeout_s
        )
        self.metrics = Metrics()
        self.event_log = EventLog(level=settings.log_level)
        self.engine: Engine = engine or HttpEngine()
        self.codec = Codec(keys=settings.peer_keys.keys)
        self.shared = SharedState()
        self.stamps = StampClock()
        self.ring = EventRing(process=settings.box, clock=self.stamps)
        self.policies = PolicyRunner(clock=self.clock.now)
        self.peers = PeerSocket(
            address=settings.address,
            port=settings.peer_port,
            codec=self.codec,
            receiver=self._received,
        )
        self.clients = ClientLog(metrics=self.metrics)
        self.memory = LockedMemory(
            memory_mb=settings.memory_mb,
            clock=time.monotonic,
            on_release=self.clients.note_release,
        )
        self.admin = HttpServer(
            app=AdminApp(box=self),
            address=settings.address,
            port=settings.admin_port,
            threads=ADMIN_THREADS,
            memory=self.memory,
            limits=replace(settings.request_limits, max_body_bytes=MAX_ADMIN_BODY_BYTES),
            max_connections=settings.max_admin_connections,
        )
        self.http = HttpServer(
            app=GatewayApp(box=self),
            address=settings.address,
            port=settings.http_port,
            threads=settings.max_streams + SPARE_THREADS,
            memory=self.memory,
            limits=settings.request_limits,
            max_connections=settings.max_caller_connections,
        )
        self.desk = CallDesk(
            service=HttpService(),
            submit=self.submit,
            begin=lambda key, token, minted, now: self.systems.begin_call(key, token, minted, now),
            finish=lambda finish, now: self.systems.finish_call(finish, now),
        )
        self.store: Store = store or EtcdStore(urls=list(settings.store_urls))
        self.systems: BoxSystems
        self.engine_io: EngineIo
        self.runner: Runner
        self.sync: StoreSync
        self.knowledge = KnowledgeFeed(box=self)
        self._others = ThreadPoolExecutor(2, thread_name_prefix="other")
        self.stopping = threading.Event()
        self._barred = threading.Event()

    def __repr__(self) -> str:
        return f"BoxProcess(box={self.settings.box!r}, hall={self.settings.hall!r})"

    @property
    def topology(self) -> Topology:
        """The configuration in force, as the systems read it."""
        return self.systems.topology

    @property
    def document(self) -> Document | None:
        """The configuration in force, as the operators wrote it."""
        return self.shared.document

    @property
    def draining(self) -> bool:
        """Whether the box is leaving."""
        return self.systems.own.state is BoxState.LEAVING

    @property
    def ready(self) -> bool:
        """Whether the box should be sent requests."""
        return self.shared.revision > 0 and not self.draining

    def start(self) -> None:
        """Listen, meet the peers, and begin to serve."""
        settings = self.settings
        self.admin.start()
        self.http.start()
        incarnation = int(self.clock.now() * 1e6)
        own = Box(
            id=settings.box,
            hall=settings.hall,
            address=settings.address,
            peer_port=self.peers.port,
            admin_port=self.admin.port,
            incarnation=incarnation,
            state=BoxState.LIVE,
        )
        self.systems = BoxSystems(
            own=own,
            heartbeat_s=settings.heartbeat_s,
            suspect_after_s=settings.suspect_after_s,
            poll_s=settings.poll_s,
            seed=random.SystemRandom().getrandbits(32),
            order_placements=self.policies.order_placements,
        )
        self.engine_io = EngineIo(
            engine=self.engine,
            systems=self.systems,
            clock=self.clock,
            submit=self.submit,
            url_of=self.url_of,
        )
        self.meet_settings_peers()
        self.runner = Runner(
            clock=self.clock, tick_s=settings.tick_s, tick=self._tick, carry=self._carry
        )
        self.sync = StoreSync(
            store=self.store,
            is_relay=lambda: self.systems.is_relay,
            held_revision=lambda: self.shared.revision,
            on_config=self.knowledge.config_from_store,
            on_ranges=self.knowledge.ranges_found,
            on_boxes=self.knowledge.boxes_listed,
            on_trouble=self.knowledge.store_trouble,
            seed=incarnation,
        )
        self.runner.start()
        self.peers.start()
        self.hangups.start()
        self.relay.start()
        self.sync.start()
        self._others.submit(self.knowledge.ask_settings_peers)

    def meet_settings_peers(self) -> None:
        """Make the peers of the settings known."""
        peers = [
            Box(
                id=peer.box,
                hall=peer.hall,
                address=peer.address,
                peer_port=peer.peer_port,
                admin_port=peer.admin_port,
            )
            for peer in self.settings.peers
        ]
        self.systems.add_boxes(peers)

    def admits(self) -> bool:
        """Whether a call that was read may begin: until the grace of a drain is over."""
        return not self._barred.is_set()

    def drain(self, limit_s: float) -> int:
        """Take callers for a grace, then wait for what is open; returns how many are left."""
        begun_at = self.clock.now()
        self.http.announce_close()
        self.submit(self._start_draining)
        quiet_looks = 0
        while quiet_looks < QUIET_LOOKS and self.clock.now() - begun_at < limit_s:
            if self.clock.now() - begun_at >= ENTRY_GRACE_S:
                self._bar()
                quiet_looks = 0 if self._is_busy() else quiet_looks + 1
            if self.stopping.wait(DRAIN_CHECK_S):
                break
        self._bar()
        left = self.http.open_requests
        self.note(Event(kind=Kind.DRAIN_ENDED, detail=f"{left} requests cut off"))
        return left

    def stop(self) -> None:
        """End everything at once."""
        if self.stopping.is_set():
            return
        self.stopping.set()
        self._bar()
        self.sync.stop()
        self.http.stop()
        self.runner.stop()
        self.hangups.stop()
        self.relay.stop()
        self.peers.stop()
        self.admin.stop()
        self.engine_io.stop()
        self._others.shutdown(wait=False, cancel_futures=True)

    def submit(self, job: Job) -> None:
        """Run a job on the runner's thread."""
        self.runner.submit(job)

    def url_of(self, engine_id: str) -> str:
        """Where an engine listens; empty if the configuration does not name it."""
        fact = self.topology.engines_by_id.get(engine_id)
        return fact.url if fact is not None else ""

    def arrive(self, request: Request, now: float) -> list[Command]:
        """Begin a request; a draining box still takes what its balancer sends."""
        if self.stopping.is_set():
            refusal = RefuseRequest(
                request_id=request.id, code=Code.DRAINING, ran=Ran.NOT_RUN, retry_after_s=1.0
            )
            return [refusal]
        return self.systems.request_received(request, now)

    def ended(self, end: AttemptEnd, now: float) -> list[Command]:
        """End an attempt."""
        return self.systems.attempt_ended(end, now)

    def silent(self, silence: Silence, now: float) -> list[Command]:
        """The engines of a request are silent."""
        return self.systems.attempts_silent(silence, now)

    def resumed(self, request_id: str, now: float) -> list[Command]:
        """An engine that was silent has sent something."""
        return self.systems.attempt_resumed(request_id, now)

    def left(self, request_id: str, now: float) -> list[Command]:
        """A caller left."""
        return self.systems.caller_left(request_id, now)

    def note(self, event: Event) -> None:
        """Put an event on the time line."""
        self.submit(lambda _: [EmitEvent(event=event)])

    def observe(self, completion: Completion, request: Request, outcome: str) -> None:
        """Count a completion that is over."""
        progress = completion.progress
        self.metrics.requests.inc({"outcome": outcome})
        if not progress.delivered:
            return
        self.metrics.tokens.add({"model": request.model}, progress.delivered)
        self.metrics.ttft.observe({}, progress.first_token_at - request.arrived_at)
        if progress.delivered > 1:
            spread = progress.last_token_at - progress.first_token_at
            self.metrics.per_token.observe({}, spread / (progress.delivered - 1))

    def _bar(self) -> None:
        """Let no further call begin; one that was let in is counted as open until its end."""
        self._barred.set()
        self.http.end_connections()

    def _is_busy(self) -> bool:
        return self.http.open_requests > 0 or self._is_member()

    def _is_member(self) -> bool:
        return bool(self.systems.dedupe.own_ranges) and len(self.systems.membership.live_ids()) > 1

    def _start_draining(self, now: float) -> list[Command]:
        event = EmitEvent(event=Event(kind=Kind.DRAIN_STARTED))
        return [event, *self.systems.start_leaving(now)]

    def _tick(self, now: float) -> list[Command]:
        self.clients.report(self.memory, now)
        return self.systems.tick(now)

    def _carry(self, commands: list[Command], now: float) -> None:
        bodies_by_box: dict[str, list[Body]] = {}
        for command in commands:
            match command:
                case SendPeer():
                    bodies_by_box.setdefault(command.box, []).append(command.body)
                case EmitEvent():
                    self._emit(command.event, now)
                case StartAttempt():
                    self._decide(command.plan.request_id, command)
                case RefuseRequest():
                    self._decide(command.request_id, command)
                case DecideCall():
                    self._decide(command.token, command)
                case PollEngine():
                    self.engine_io.poll(command)
                case CancelAttempt():
                    self.engine_io.cancel(command)
                case FetchSharedState():
                    self._others.submit(self.knowledge.fetch, command.box)
                case ProposeRangeMap():
                    self._others.submit(self.knowledge.propose, command)
        stamp = self.stamps.tick(now)
        for box, bodies in bodies_by_box.items():
            self._send(box, tuple(bodies), stamp)

    def _decide(self, name: str, decision: StartAttempt | RefuseRequest | DecideCall) -> None:
        if self.board.decide(name, decision) or not isinstance(decision, StartAttempt):
            return
        self.submit(lambda now: self.left(name, now))

    def _send(self, box_id: str, bodies: tuple[Body, ...], stamp: int) -> None:
        box = self.systems.membership.boxes_by_id.get(box_id)
        if box is not None:
            address = (box.address, box.peer_port)
            self.peers.send(address, self.settings.box, stamp, bodies)

    def _emit(self, event: Event, now: float) -> None:
        self.ring.emit(event, now)
        self.metrics.events.inc({"kind": event.kind.value})
        self.event_log.write(event)

    def _received(self, envelope: Envelope) -> None:
        def take(now: float) -> list[Command]:
            self.stamps.witness(envelope.stamp)
            commands: list[Command] = []
            for body in envelope.bodies:
                commands += self.systems.receive(envelope.sender, body, now)
            return commands

        self.submit(take)
