"""The forwarding daemon's life: start, reload, readiness, and a stop that cuts nothing off."""

from __future__ import annotations

import asyncio
import signal
from collections.abc import Callable
from dataclasses import replace
from functools import partial
from http import HTTPStatus
from pathlib import Path

from croftchute.daemon.heap import HeapTrimmer
from croftchute.daemon.router_state import limit_terms, mass_expiry_grace_s, retry_limits
from croftchute.errors import DocumentError
from croftchute.forwarding.boxes.crash_gossip import CrashGossip
from croftchute.forwarding.boxes.limits import FixedShares, UsageLimits
from croftchute.forwarding.boxes.part_gossip import PartGossip
from croftchute.forwarding.boxes.peer_exchange import PeerExchange
from croftchute.forwarding.boxes.pooled_limits import OrganisationSource, PooledLimits
from croftchute.forwarding.boxes.shared_rates import SharedRates
from croftchute.forwarding.boxes.stream_origins import SharedOrigins
from croftchute.forwarding.boxes.worker_permits import WorkerPermits, WorkerSource
from croftchute.forwarding.callers.forwarded_requests import ForwardedRequests
from croftchute.forwarding.callers.forwarder import Forwarder
from croftchute.forwarding.callers.slow_callers import log_ended_stream
from croftchute.forwarding.client_watch import ClientWatch
from croftchute.forwarding.decision_log import Decision
from croftchute.forwarding.http.client_memory import ClientMemory
from croftchute.forwarding.http.exchange import Exchange
from croftchute.forwarding.http.held_answers import HeldAnswers
from croftchute.forwarding.http.http_server import Handler, HttpIngress
from croftchute.forwarding.http.parse_pacer import ParsePacer
from croftchute.forwarding.loop_delay import LoopDelay
from croftchute.forwarding.overload_watch import OverloadWatch
from croftchute.forwarding.state import LEARN_PEERS_S, ForwardingState
from croftchute.forwarding.store.catch_up import catch_ups
from croftchute.forwarding.store.crash_register import CrashRegister
from croftchute.forwarding.store.fleet_record import FleetRecord
from croftchute.forwarding.store.hall_news import KNOWN_PATH, NEWS_PATH
from croftchute.forwarding.store.origin_register import OriginRegister
from croftchute.forwarding.store.part_register import PartRegister
from croftchute.forwarding.store.store_follower import StoreFollower
from croftchute.forwarding.supervision import Task, keep_going
from croftchute.forwarding.workers.link_probe import LinkProbe
from croftchute.forwarding.workers.queue_gauges import update_queue_gauges
from croftchute.forwarding.workers.stage_coordinator import StageCoordinator
from croftchute.peers.codec import Codec
from croftchute.peers.messages import BoxNotice, CrashNews
from croftchute.router_settings import Listener, RouterSettings, parse_address, read_router_settings
from croftchute.steady_clock import SuspensionMeter
from croftchute.storage.watched import SharedStore, Vocabulary
from croftchute.systems.lent_share import WORKERS_GROUP
from croftchute.tables.crashes import PartNotice
from croftchute.tables.organisations import LimitMode
from croftchute.tables.routing import IngressLimits

FLUSH_S = 0.5
"""Seconds between two tries to write log lines that were kept back."""

SWEEP_S = 1.0
"""Seconds between two sweeps of workers that are gone and of idle connections."""

MAX_TERMS_BYTES = 1024
"""Bytes of headers that a box adds to a request that it passes to another one."""

READY_PATH = "/ready"
METRICS_PATH = "/metrics"
NEEDS_RESTART = (
    "callers",
    "health",
    "metrics",
    "control",
    "box",
    "hall",
    "store",
    "max_fds",
    "max_header_lines",
    "max_framing_bytes",
    "pieces_per_s",
)
"""Settings that are read at the start alone."""

MESSAGE_PACK = b"application/msgpack"

ENTRY_GRACE_S = 2.8
"""Seconds for which a stopping box takes callers: the balancer asks for readiness once a second
and goes by two misses; callers taken later than 3 s after the stop began may not be cut off.
Requests whose turn comes later are turned away, whatever way they came."""

STOP_MARGIN_S = 0.5
"""Seconds before the end of the stop's time at which the process ends by itself."""

STOP_CHECK_S = 0.05
"""Seconds between two looks at what is still open during a stop."""


class RouterProcess:
    """One box: listens, follows the store, and stops when told."""

    def __init__(
        self,
        *,
        settings: RouterSettings,
        settings_path: Path | None,
        state: ForwardingState,
        store: SharedStore,
        vocabulary: Vocabulary,
    ) -> None:
        self.settings = settings
        self.settings_path = settings_path
        self.state = state
        self.follower = StoreFollower(
            state=state,
            store=store,
            vocabulary=vocabulary,
            on_change=self._note_readiness,
            link_mbps=settings.link_mbps,
        )
        self.orders = StageCoordinator(
            state=state,
            store=store,
            holder_gap_s=settings.order_gap_s,
            may_acquire_lease=lambda: self.follower.is_relay and not state.links.are_lost,
        )
        control = parse_address(settings.control)
        self.exchange = PeerExchange(
            state=state,
            codec=Codec(keys=settings.peer_keys),
            host=control.host,
            control_port=control.port,
            on_notice=self._note_notice,
            link_mbps=settings.link_mbps,
        )
        self.origins = SharedOrigins(state=state, exchange=self.exchange)
        self.origin_register = OriginRegister(state=state, store=store, on_found=self.origins.hear)
        self.origins.record = self.origin_register
        self.exchange.on_origin_news = self.origins.hear_box
        self.exchange.on_origin_ask = self.origins.answer
        self.exchange.on_origin_reply = self.origins.note_reply
        state.origins = self.origins
        self.crash_gossip = CrashGossip(state=state, exchange=self.exchange)
        self.crash_register = CrashRegister(state=state, store=store, gossip=self.crash_gossip)
        self.exchange.on_crash_news = self._hear_crash_news
        self.exchange.next_crash_news = self._next_crash_news
        state.on_crash_news = self._note_crashes
        self.part_gossip = PartGossip(state=state, exchange=self.exchange)
        self.part_register = PartRegister(state=state, store=store, gossip=self.part_gossip)
        self.part_gossip.on_refused = self.part_register.note_refused
        self.part_gossip.on_freed = self.part_register.note_freed
        state.on_part_news = self._note_part_news
        state.part_trials = self.part_register
        state.request_trials = self.crash_register
        self.catch_ups = catch_ups(state, self.follower)
        self.fleet_size = state.fleet_size
        self.shared_rates = self._make_shared_rates()
        self.usage_limits = self._make_usage_limits()
        self.fleet_record = FleetRecord(
            state=state,
            store=store,
            size=self.fleet_size,
            has_limits=lambda: state.table is not None,
            address=lambda: (self.exchange.host, self.exchange.port),
            is_main_pool=self.shared_rates.is_main_pool,
            is_keeper=self._keeps_record,
        )
        state.on_restored += [
            self.orders.note_restored,
            self.crash_register.note_restored,
            self.part_register.note_restored,
            self.origin_register.note_restored,
            self.fleet_record.note_restored,
        ]
        self.held = HeldAnswers(
            memory_mb=settings.held_memory_mb,
            clock=state.clock,
            on_ended=partial(log_ended_stream, state),
        )
        self.client_watch = ClientWatch(state=state)
        self.trimmer = HeapTrimmer()
        self.memory = ClientMemory(
            memory_mb=settings.memory_mb,
            share=settings.client_memory_share,
            clock=state.clock,
            on_release=self.client_watch.note_release,
        )
        self.pacer = ParsePacer(clock=state.clock, pieces_per_s=settings.pieces_per_s)
        self.link_probe = LinkProbe(state=state, on_change=self._note_links)
        state.pool.on_surplus = state.note_surplus
        state.on_link_trouble = self.link_probe.request_round
        state.confirm_links = self.link_probe.confirm
        self.forwarder = Forwarder(
            state=state, usage_limits=self.usage_limits, settle_links=self.link_probe.settle
        )
        self.forwarded = ForwardedRequests(
            state=state, forwarder=self.forwarder, own_open=lambda: self.ingress.open_requests
        )
        self.overload_watch = OverloadWatch(
            state=state,
            on_change=self._note_overload,
            open_requests=lambda: self.ingress.open_requests,
            connections_read=lambda: self.ingress.connections_read,
        )
        self.ingress = HttpIngress(
            handler=self.forwarder.handle,
            limits=state.limits,
            turn_away=self.forwarder.refuse_while_stopping,
            clock=state.clock,
            held=self.held,
            paces_intake=True,
            max_connections=settings.max_caller_connections,
            on_shed=self.overload_watch.note_shed,
            memory=self.memory,
            pacer=self.pacer,
            refuse=self.forwarder.refuse_without_memory,
            header_lines=settings.max_header_lines,
            framing_bytes=settings.max_framing_bytes,
        )
        self.health = self._make_ingress(Listener.HEALTH, self._answer_health, IngressLimits)
        self.loop_delay = LoopDelay(state=state, open_requests=lambda: self.ingress.open_requests)
        self.control = self._make_ingress(Listener.CONTROL, self._answer_peer, self._peer_limits)
        self.metrics = self._make_ingress(Listener.METRICS, self._answer_health, IngressLimits)
        self.is_stopping = False
        self._was_ready = False
        self._stop_asked = asyncio.Event()
        self._tasks: list[asyncio.Task[None]] = []
        self._settings_raw = b""

    def _make_ingress(
        self, listener: Listener, handler: Handler, limits: Callable[[], IngressLimits]
    ) -> HttpIngress:
        """An address beside that of the callers, within the same memory."""
        return HttpIngress(
            handler=handler,
            limits=limits,
            clock=self.state.clock,
            max_connections=self.settings.max_connections(listener),
            on_shed=self.client_watch.note_shed,
            memory=self.memory,
            pacer=self.pacer,
            header_lines=self.settings.max_header_lines,
            framing_bytes=self.settings.max_framing_bytes,
        )

    def _make_usage_limits(self) -> UsageLimits:
        """The way in which limits of organisations are kept here, as the settings name it."""
        terms = limit_terms(self.settings)
        if self.settings.ways.limits is LimitMode.FIXED:
            return FixedShares(state=self.state, terms=terms, size=self.fleet_size)
        return PooledLimits(rates=self.shared_rates, group=self.shared_rates.groups[0])

    def _make_shared_rates(self) -> SharedRates:
        """What keeps limits that hold over all boxes, for organisations and for workers."""
        state = self.state
        workers = WorkerSource(state=state)
        sources = (OrganisationSource(state=state, terms=limit_terms(self.settings)), workers)
        rates = SharedRates(
            state=state, sources=sources, size=self.fleet_size, tell=self.exchange.tell
        )
        self.exchange.on_allowance_ask = rates.note_ask
        self.exchange.on_allowance_reply = rates.note_reply
        state.permits = WorkerPermits(rates=rates, group=rates.groups[WORKERS_GROUP])
        state.on_limit_news = self._note_limit_news
        return rates

    def _note_limit_news(self) -> None:
        """A worker names another limit: all boxes are to hear of it, and to lend their shares."""
        self.exchange.tell_soon()
        self.shared_rates.begin_soon()

    def _keeps_record(self) -> bool:
        """Whether this box keeps the record of the fleet: the main pool, or the first of all boxes.

        A box that has just begun knows few others, and would take itself for the first.
        """
        if self.shared_rates.is_in_use():
            return self.shared_rates.is_main_pool()
        state = self.state
        is_young = state.clock() - state.begun_at < LEARN_PEERS_S
        return not is_young and state.box <= min(state.peers.peers_by_id, default=state.box)

    @property
    def is_ready(self) -> bool:
        """Whether the box should be sent new connections."""
        return (
            self.state.table is not None
            and bool(self.state.workers.tracked_by_id)
            and not self.is_stopping
            and not self.state.overload.is_standing_back
            and not (self.state.ways.cut_off.stands_back and self.state.links.are_lost)
        )

    async def run(self) -> int:
        """Serve until a stop is asked for; returns the exit status."""
        await self.start()
        await self._stop_asked.wait()
        return await self.stop()

    async def start(self) -> None:
        """Listen and begin to follow the store."""
        settings = self.settings
        loop = asyncio.get_running_loop()
        for number in (signal.SIGTERM, signal.SIGINT):
            loop.add_signal_handler(number, self._stop_asked.set)
        loop.add_signal_handler(signal.SIGHUP, self.reload, "signal")
        await self._listen(self.ingress, settings.callers)
        await self._listen(self.health, settings.health)
        await self._listen(self.control, settings.control)
        self.exchange.control_port = self.control.port
        await self.exchange.listen(settings.notice_port)
        if settings.metrics is not None:
            await self._listen(self.metrics, settings.metrics)
        for task in self._lasting_tasks():
            work = keep_going(task, log=self.state.log, clock=self.state.clock)
            self._tasks.append(loop.create_task(work))
        self.state.log.decide(Decision.STARTED, hall=settings.hall, callers_port=self.ingress.port)

    def _lasting_tasks(self) -> list[Task]:
        """What goes on for as long as the process does."""
        tasks = [
            Task(name="config", work=self.follower.config.run),
            Task(name="workers", work=self.follower.workers.run),
            Task(name="stage_orders", work=self.orders.run),
            Task(name="notices", work=self.exchange.run),
            Task(name="shared_rates", work=self.shared_rates.run),
            Task(name="fleet_record", work=self.fleet_record.run),
            Task(name="crash_register", work=self.crash_register.run),
            Task(name="part_register", work=self.part_register.run),
            Task(name="origin_register", work=self.origin_register.run),
            *(Task(name="catch_up", work=catch_up.run) for catch_up in self.catch_ups),
            Task(name="worker_links", work=self.link_probe.run),
            Task(name="sweep", work=self._sweep),
            Task(name="loop_delay", work=self.loop_delay.run),
            Task(name="overload", work=self.overload_watch.run),
            Task(name="log", work=lambda: self.state.log.keep_flushing(FLUSH_S)),
        ]
        if self.settings_path is not None:
            tasks.append(Task(name="settings", work=self._watch_settings))
        return tasks

    async def _listen(self, ingress: HttpIngress, where: str) -> None:
        address = parse_address(where)
        await ingress.listen(address.host, address.port)

    async def stop(self) -> int:
        """Take no new callers, finish what is open, and end; 9 if something was cut off."""
        clock = self.state.clock
        begun_at = clock()
        self.is_stopping = True
        self.ingress.is_stopping = True
        self.ingress.entry_ends_at = begun_at + ENTRY_GRACE_S
        self.state.stop_began_at = begun_at
        self.follower.stop_telling()
        self._note_readiness()
        counts = self.ingress.counts()
        self.state.log.decide(
            Decision.STOPPING,
            open_requests=self.ingress.open_requests,
            idle_connections=counts.idle,
            half_read_requests=counts.reading,
            queued_requests=counts.queued_requests,
        )
        end_at = begun_at + self.settings.stop_limit_s - STOP_MARGIN_S
        self.state.stop_ends_at = end_at
        while clock() < end_at:
            if clock() - begun_at >= ENTRY_GRACE_S:
                self.ingress.stop_accepting()
                self.ingress.close_idle()
                is_serving = self.ingress.connections or self.forwarded.open
                if not is_serving and not self.state.background:
                    break
            await asyncio.sleep(STOP_CHECK_S)
        cut_off = self.ingress.open_requests + self.forwarded.open
        self.state.log.decide(Decision.STOPPED, cut_off=cut_off)
        for task in self._tasks:
            task.cancel()
        self.state.pool.close()
        self.state.log.writer.flush()
        return 9 if cut_off else 0

    def reload(self, cause: str) -> None:
        """Read the settings again; those that are faulty leave the present ones in force."""
        if self.settings_path is None:
            return
        try:
            settings = read_router_settings(self.settings_path)
        except DocumentError as error:
            self.state.log.decide(
                Decision.RELOAD_FAILED, outcome=error.code.value, cause=cause, detail=error.message
            )
            return
        needs_restart = [
            name
            for name in NEEDS_RESTART
            if getattr(settings, name) != getattr(self.settings, name)
        ]
        self.settings = settings
        self.state.retry_limits = retry_limits(settings)
        for window in self.state.budgets_by_service.values():
            window.limits = self.state.retry_limits
        self.state.default_boxes = settings.boxes
        self.state.conditions = settings.conditions
        self.held.set_memory(settings.held_memory_mb)
        self.memory.set_memory(settings.memory_mb, settings.client_memory_share)
        self.state.workers.mass_expiry_grace_s = mass_expiry_grace_s(settings)
        self.state.log.decide(
            Decision.RELOADED, outcome="in force", cause=cause, needs_restart=needs_restart
        )

    async def _watch_settings(self) -> None:
        path = self.settings_path
        if path is None:
            return
        known = _content(path)
        while True:
            await asyncio.sleep(self.settings.reload_check_s)
            found = _content(path)
            if found != known:
                known = found
                self.reload("file changed")

    async def _sweep(self) -> None:
        loop_time = asyncio.get_running_loop().time
        meter = SuspensionMeter(steady_at=self.state.clock(), running_at=loop_time())
        while True:
            await asyncio.sleep(SWEEP_S)
            now = self.state.clock()
            suspended_s = meter.measure(now, loop_time())
            if suspended_s > 0.0:
                self._note_suspension(suspended_s)
            self.state.workers.sweep(now)
            self._sweep_limits(now)
            self.state.crashes.sweep(now)
            self.part_gossip.sweep(now)
            self.part_register.renew(now)
            self.state.pool.sweep(now)
            self.state.metrics.open.set({}, self.ingress.open_requests)
            update_queue_gauges(self.state, now)
            self.state.metrics.held_bytes.set({}, self.held.count.total)
            self.client_watch.report(self.memory.account, now, paced=self.pacer.take_begun())
            self.trimmer.note(self.memory.take_peak(), self.memory.account)

    def _sweep_limits(self, now: float) -> None:
        """Let go of limits of workers that are over, and count those that hold."""
        workers = self.state.workers
        for worker_id in workers.limits.sweep(now, listed=workers.tracked_by_id):
            self.state.log.decide(Decision.WORKER_UNLIMITED, worker=worker_id)
        self.state.metrics.limited_workers.set({}, len(workers.limits.in_force(now)))

    def _note_notice(self, notice: BoxNotice, now: float) -> None:
        for catch_up in self.catch_ups:
            catch_up.note_notice(notice, now)

    def _note_suspension(self, suspended_s: float) -> None:
        """The machine stood still: all that is believed is older by that, as the clock tells."""
        self.state.log.decide(
            Decision.SUSPENDED,
            for_s=round(suspended_s, 3),
            config_age_s=round(self.state.clock() - self.state.table_at, 1),
            workers_age_s=round(self.state.clock() - self.state.workers.heard_at, 1),
            open_requests=self.ingress.open_requests,
        )

    def _note_links(self) -> None:
        """The links to all workers were lost or restored: peers are to know before they ask."""
        self.exchange.tell_soon()
        self._note_readiness()

    def _note_overload(self) -> None:
        """This box stands back or does not any more: the others of its hall count on that."""
        self.exchange.tell_soon()
        self._note_readiness()

    def _peer_limits(self) -> IngressLimits:
        """What other boxes may send: whatever callers may, and the terms of passing it on."""
        own, callers = IngressLimits(), self.state.limits()
        return replace(
            own,
            max_header_bytes=max(own.max_header_bytes, callers.max_header_bytes) + MAX_TERMS_BYTES,
            max_body_bytes=max(own.max_body_bytes, callers.max_body_bytes),
        )

    async def _answer_peer(self, exchange: Exchange) -> None:
        if not await self.forwarded.handle(exchange):
            await self._answer_health(exchange)

    def _hear_crash_news(self, sender: str, news: CrashNews) -> None:
        if news.notices:
            self.crash_gossip.hear(sender, news)
        if news.parts:
            self.part_gossip.hear(sender, news)

    def _next_crash_news(self) -> CrashNews | None:
        """What goes with the next notice; None if nothing is known."""
        notices = self.crash_gossip.next_notices()
        parts = self.part_gossip.next_notices()
        return CrashNews(notices=notices, parts=parts) if notices or parts else None

    def _note_part_news(self, news: list[PartNotice]) -> None:
        """This box saw crashes under parts of prompts, or answers that clear them."""
        self.part_gossip.note_own(news)
        if any(not notice.is_cleared for notice in news):
            self.part_register.read_again()

    def _note_crashes(self, digests: list[str]) -> None:
        """A worker ended here under some requests."""
        self.crash_gossip.tell(digests)
        self.crash_register.note(digests)

    def _note_readiness(self) -> None:
        if self.is_ready == self._was_ready:
            return
        self._was_ready = self.is_ready
        self.state.log.decide(
            Decision.READY_CHANGED,
            outcome="ready" if self.is_ready else "not_ready",
            config_version=self.state.table.version if self.state.table else 0,
            workers=len(self.state.workers.tracked_by_id),
            is_stopping=self.is_stopping,
            stands_back=self.state.overload.is_standing_back,
        )

    async def _answer_health(self, exchange: Exchange) -> None:
        path = exchange.request.target.partition("?")[0]
        if path == READY_PATH:
            status = HTTPStatus.OK if self.is_ready else HTTPStatus.SERVICE_UNAVAILABLE
            exchange.send(status, [], b"")
        elif path == METRICS_PATH:
            kind = b"text/plain; version=0.0.4"
            exchange.send(HTTPStatus.OK, [(b"content-type", kind)], self.state.metrics.text())
        elif path == NEWS_PATH:
            found, body = await self.follower.answer_news(exchange.request.target)
            exchange.send(found, [(b"content-type", MESSAGE_PACK)], body)
        elif path == KNOWN_PATH:
            found, body = self.follower.answer_known(exchange.request.target)
            exchange.send(found, [(b"content-type", MESSAGE_PACK)], body)
        else:
            exchange.send(HTTPStatus.NOT_FOUND, [], b"")


def _content(path: Path) -> bytes:
    try:
        return path.read_bytes()
    except OSError:
        return b""
