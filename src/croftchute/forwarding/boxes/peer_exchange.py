"""Notices between boxes: load, failures, pressure, and how new each one's knowledge is.

Notices are datagrams that may be lost; nothing waits for them, and they wait for nothing.
"""

from __future__ import annotations

import asyncio
from collections.abc import Callable
from typing import cast

from croftchute.errors import MessageError
from croftchute.forwarding.decision_log import Decision
from croftchute.forwarding.state import ForwardingState
from croftchute.forwarding.workers.advice_recording import (
    record_peer_leaving_advice,
    record_peer_limit,
)
from croftchute.forwarding.workers.load_and_pace import record_peer_pace
from croftchute.peers.codec import Codec, Envelope
from croftchute.peers.messages import (
    AllowanceAsk,
    AllowanceReply,
    Body,
    BoxNotice,
    CrashNews,
    OriginAsk,
    OriginNews,
    OriginReply,
)
from croftchute.systems.peer_table import NOTICE_INTERVAL_S
from croftchute.tables.peers import DemandNotice, WorkerNotice
from croftchute.tables.routing import Stage

MAX_GREETINGS = 10
"""Strangers greeted between two notices at most, as many as a notice goes to: when all boxes of a
large fleet start at once, each hears of eighty strangers a second."""

MAX_WORKER_NOTICES = 32
"""Workers told of in one notice: bounds a datagram."""

MAX_LEAVING_TOLD = 32
"""Workers that leave told of in one notice, the latest: bounds a datagram."""

MAX_LIMITS_TOLD = 64
"""Workers that name a limit told of in one notice: bounds a datagram."""

TELL_SOON_S = 0.02
"""Seconds until a notice goes out whose news do not wait for the next one: a few come together."""

MIN_FAILURES_TOLD = 0.05
"""Lowest failure score that is told."""

MAX_PREFILLS_TOLD = 6
"""Latest prefill calls told with a notice: with those of ten peers enough to learn a pace from."""

MIN_WAIT_TOLD_S = 0.05
"""Shortest wait at a prefill worker that peers are told of: half of a prompt's reading."""


class PeerExchange(asyncio.DatagramProtocol):
    """Sends this box's notices and takes in those of others."""

    def __init__(
        self,
        *,
        state: ForwardingState,
        codec: Codec,
        host: str,
        control_port: int,
        on_notice: Callable[[BoxNotice, float], None],
        link_mbps: float = 0.0,
    ) -> None:
        self.state = state
        self.codec = codec
        self.host = host
        self.control_port = control_port
        self.link_mbps = link_mbps
        self.on_notice = on_notice
        self.started_at = state.wall_clock()
        self.port = 0
        self.on_allowance_ask: Callable[[str, AllowanceAsk], AllowanceReply | None] = _ignore
        self.on_allowance_reply: Callable[[str, AllowanceReply], None] = _ignore
        self.on_crash_news: Callable[[str, CrashNews], None] = _ignore
        self.on_origin_news: Callable[[OriginNews], None] = _ignore_news
        self.on_origin_ask: Callable[[OriginAsk], OriginReply | None] = _ignore_news
        self.on_origin_reply: Callable[[str, OriginReply], None] = _ignore
        self.next_crash_news: Callable[[], CrashNews | None] = lambda: None
        self._transport: asyncio.DatagramTransport | None = None
        self._datagram = b""
        self._greetings_left = MAX_GREETINGS
        self._is_telling_soon = False

    async def listen(self, port: int) -> None:
        """Take notices on a port."""
        loop = asyncio.get_running_loop()
        transport, _ = await loop.create_datagram_endpoint(
            lambda: self, local_addr=(self.host, port)
        )
        self.port = int(transport.get_extra_info("sockname")[1])

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Keep the transport to send with."""
        self._transport = cast(asyncio.DatagramTransport, transport)

    def datagram_received(self, data: bytes, addr: tuple[str, int]) -> None:
        """Take in a notice; what is not authentic is dropped."""
        try:
            envelope = self.codec.decode(data)
        except MessageError:
            return
        for body in envelope.bodies:
            if isinstance(body, BoxNotice):
                self._hear(envelope.sender, body)
            elif isinstance(body, AllowanceAsk):
                reply = self.on_allowance_ask(envelope.sender, body)
                if reply is not None:
                    # The asker may be a stranger yet: it hears from where it asked.
                    self._send(addr, reply)
            elif isinstance(body, AllowanceReply):
                self.on_allowance_reply(envelope.sender, body)
            elif isinstance(body, CrashNews):
                self.on_crash_news(envelope.sender, body)
            elif isinstance(body, OriginNews):
                self.on_origin_news(body)
            elif isinstance(body, OriginAsk):
                origin = self.on_origin_ask(body)
                if origin is not None:
                    self._send(addr, origin)
            elif isinstance(body, OriginReply):
                self.on_origin_reply(envelope.sender, body)

    def error_received(self, exc: Exception) -> None:
        """A datagram was not delivered; the next one may be."""

    def tell(self, peer_id: str, body: Body) -> None:
        """Send one message to a box whose address is known; it may be lost."""
        address = self.state.peers.address_of(peer_id)
        if address is not None:
            self._send(address, body)

    def tell_all(self, peer_ids: list[str], body: Body) -> int:
        """Send one message to several boxes; return to how many, as some addresses may be lost."""
        found = [self.state.peers.address_of(peer_id) for peer_id in peer_ids]
        addresses = [address for address in found if address is not None]
        if addresses:
            self._send_all(addresses, body)
        return len(addresses)

    def spread(self, body: Body) -> None:
        """Send one message to as many boxes as a notice goes to."""
        self._send_all(self.state.peers.targets(self.state.clock(), self.state.rng), body)

    def _send(self, address: tuple[str, int], body: Body) -> None:
        self._send_all([address], body)

    def _send_all(self, addresses: list[tuple[str, int]], body: Body) -> None:
        if self._transport is None:
            return
        # News of streams go out with each new stream, and nobody needs to know from whom.
        sender = "" if isinstance(body, OriginNews) else self.state.box
        envelope = Envelope(sender=sender, stamp=0, bodies=(body,))
        datagram = self.codec.encode(envelope)
        for address in addresses:
            self._transport.sendto(datagram, address)

    async def run(self) -> None:
        """Send notices at an interval; never returns."""
        while True:
            self.send_notices()
            await asyncio.sleep(NOTICE_INTERVAL_S * self.state.rng.uniform(0.8, 1.2))

    def tell_soon(self) -> None:
        """Send a notice shortly, beside those at an interval: each box that hears passes it on."""
        if not self._is_telling_soon:
            self._is_telling_soon = True
            asyncio.get_running_loop().call_later(TELL_SOON_S, self._tell_now)

    def _tell_now(self) -> None:
        self._is_telling_soon = False
        self.send_notices()

    def send_notices(self) -> None:
        """Tell some peers how things stand here."""
        now = self.state.clock()
        targets = self.state.peers.targets(now, self.state.rng)
        if self._transport is None:
            return
        envelope = Envelope(sender=self.state.box, stamp=0, bodies=(self._notice(now),))
        self._datagram = self.codec.encode(envelope)
        self._greetings_left = MAX_GREETINGS
        for address in targets:
            self._transport.sendto(self._datagram, address)
        crash_news = self.next_crash_news()
        if crash_news is not None:
            self._send_all(targets, crash_news)
        for peer_id in self.state.peers.forget(now):
            self.state.log.decide(Decision.PEER_GONE, peer=peer_id)

    def _notice(self, now: float) -> BoxNotice:
        state = self.state
        entries = []
        for tracked in state.workers.tracked_by_id.values():
            # Failures of this box's links say nothing about workers.
            failures = 0.0 if state.links.are_lost else tracked.failure_score(now)
            wait_s = state.own_prefill_wait_s(tracked)
            changing_s = max(0.0, tracked.changing_until - now)
            is_told = tracked.in_flight or changing_s or wait_s > MIN_WAIT_TOLD_S
            if is_told or failures > MIN_FAILURES_TOLD:
                entries.append(
                    WorkerNotice(
                        worker=tracked.worker.id,
                        in_flight=tracked.in_flight,
                        failures=failures,
                        wait_s=wait_s,
                        changing_to=tracked.changing_to or "" if changing_s else "",
                        changing_s=changing_s,
                    )
                )
        demands = []
        for service, demand in state.demand_by_service.items():
            counts = demand.counts(now)
            room = state.room(service).counts(now)
            ranked = state.ranked_room_by_service.get(service)
            use = state.use_by_service.get(service)
            demands.append(
                DemandNotice(
                    service=service,
                    asks=counts.asks,
                    prompt_tokens=counts.prompt_tokens,
                    output_tokens=counts.output_tokens,
                    ended=counts.ended,
                    ended_tokens=counts.ended_tokens,
                    ended_s=counts.ended_s,
                    prefills=tuple(demand.prefills)[-MAX_PREFILLS_TOLD:],
                    room_waited_s=room.waited_s,
                    room_grants=room.grants,
                    large_asks=counts.large_asks,
                    large_tokens=counts.large_tokens,
                    granted=counts.granted,
                    large_granted=counts.large_granted,
                    ranks=ranked.notices(now) if ranked is not None else (),
                    uses=use.notices(now) if use is not None else (),
                )
            )
        return BoxNotice(
            started_at=self.started_at,
            host=self.host,
            notice_port=self.port,
            control_port=self.control_port,
            config_version=state.table.version if state.table else 0,
            workers_revision=state.workers.revision,
            is_leaving=state.is_stopping,
            hall=state.zone,
            link_mbps=self.link_mbps,
            workers=tuple(entries[:MAX_WORKER_NOTICES]),
            demands=tuple(demands),
            introduced=state.peers.introduced(now, state.rng),
            leaving_workers=self._leaving_workers(),
            limited_workers=state.workers.limits.notices(now, state.rng, most=MAX_LIMITS_TOLD),
            paces=state.paces.notices(now),
            reaches_workers=self._reaches_workers(),
            continues_by_version=True,
            stands_back=state.overload.is_standing_back,
        )

    def _reaches_workers(self) -> bool:
        """Whether this box can serve requests for boxes that reach no worker."""
        state = self.state
        is_serving = state.table is not None and bool(state.workers.tracked_by_id)
        return is_serving and not state.links.are_lost and not state.is_stopping

    def _leaving_workers(self) -> tuple[str, ...]:
        """The workers that leave and are known here still, those last that said so last."""
        tracked_by_id = self.state.workers.tracked_by_id
        leaving = self.state.workers.advice.leaving_by_id
        return tuple(worker for worker in leaving if worker in tracked_by_id)[-MAX_LEAVING_TOLD:]

    def _hear(self, sender: str, notice: BoxNotice) -> None:
        now = self.state.clock()
        if self.state.peers.apply_notice(sender, notice, now):
            self.state.log.decide(
                Decision.PEER_LISTED,
                peer=sender,
                address=f"{notice.host}:{notice.notice_port}",
                config_version=notice.config_version,
                boxes=self.state.peers.boxes(now),
            )
        self.on_notice(notice, now)
        for entry in notice.workers:
            if entry.changing_s > 0.0:
                self._hear_of_change(entry, now)
        for worker_id in notice.leaving_workers:
            record_peer_leaving_advice(self.state, worker_id, sender=sender)
        for limit in notice.limited_workers:
            record_peer_limit(self.state, limit, sender=sender)
        for pace in notice.paces:
            record_peer_pace(self.state, pace)
        for introduced in notice.introduced:
            host, _, port = introduced.rpartition(":")
            address = (host, int(port))
            if address != (self.host, self.port) and not self.state.peers.knows(address):
                self._greet(*address)

    def _hear_of_change(self, entry: WorkerNotice, now: float) -> None:
        """A worker changes its stage: believed here, and so passed on with the next notices."""
        try:
            stage = Stage(entry.changing_to)
        except ValueError:
            return
        for_s = entry.changing_s
        if self.state.workers.note_changing(entry.worker, stage, now, for_s=for_s):
            self.state.log.decide(
                Decision.WORKER_CHANGING,
                outcome=stage.value,
                worker=entry.worker,
                for_s=round(for_s, 2),
                source="peer",
            )

    def _greet(self, host: str, port: int) -> None:
        """Send a stranger the latest notice; one that is left out is heard of again."""
        if self._transport is None or not self._datagram or self._greetings_left <= 0:
            return
        self._greetings_left -= 1
        self._transport.sendto(self._datagram, (host, port))


def _ignore(sender: str, body: Body) -> None:
    """Messages of a kind that nobody takes here are dropped."""


def _ignore_news(body: Body) -> None:
    """The same for messages whose sender does not matter."""
