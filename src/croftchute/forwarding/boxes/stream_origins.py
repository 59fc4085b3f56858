"""Tells other boxes where streams began, and asks them when a caller takes one up.

Each message is a datagram and may be lost. A stream whose origin stays unknown is not continued.
"""

from __future__ import annotations

import asyncio
import contextlib
import math
from dataclasses import dataclass, field, replace

from croftchute.forwarding.boxes.peer_exchange import PeerExchange
from croftchute.forwarding.origins import FoundOrigin
from croftchute.forwarding.state import LEARN_PEERS_S, ForwardingState
from croftchute.peers.messages import OriginAsk, OriginNews, OriginReply
from croftchute.systems.origin_witnesses import WitnessRanking
from croftchute.systems.stream_origins import StreamOrigins
from croftchute.tables.origins import StreamOrigin

ASK_TIMEOUT_S = 0.25
"""Longest wait for the answers of other boxes: some round trips between halls, and less than a
caller notices as a pause."""

ASK_AGAIN_S = 0.08
"""Seconds after which boxes that have not answered are asked again, as datagrams get lost."""

RANKING_KEPT_S = 0.5
"""Seconds for which the other boxes are not looked through again."""

PEER_POLL_S = 0.02
"""Seconds between two looks for other boxes, at a box that has just started."""

MAX_OPEN_ASKS = 512
"""Most streams for which answers are awaited at a time; one more is not continued. A box that ends
leaves some hundred streams to all others together."""

MAX_NUMBER = 0xFFFFFFFF


@dataclass(kw_only=True)
class _OpenAsk:
    """The answers to one question, as they come."""

    waiting: set[str]
    asked: int = 0
    told: StreamOrigin | None = None
    inferred: set[StreamOrigin] = field(default_factory=set)
    is_disputed: bool = False
    settled: asyncio.Event = field(default_factory=asyncio.Event)

    def note(self, sender: str, reply: OriginReply) -> None:
        """Take an answer in: what a box was told goes before what it infers."""
        self.waiting.discard(sender)
        if reply.build:
            origin = StreamOrigin(service=reply.service, build=reply.build)
            if reply.is_told:
                self.is_disputed |= self.told not in (None, origin)
                self.told = origin
            else:
                self.inferred.add(origin)
        if self.told is not None or not self.waiting:
            self.settled.set()

    @property
    def origin(self) -> StreamOrigin | None:
        """What the answers agree on."""
        if self.is_disputed:
            return None
        if self.told is not None:
            return self.told
        return next(iter(self.inferred)) if len(self.inferred) == 1 else None


class SharedOrigins:
    """Where streams began: what this box knows, and what others answer."""

    def __init__(self, *, state: ForwardingState, exchange: PeerExchange) -> None:
        self.state = state
        self.exchange = exchange
        self.known = StreamOrigins()
        self._open_by_number: dict[int, _OpenAsk] = {}
        self._number = 0
        self._ranked = WitnessRanking(hall_by_box={})
        self._ranked_until = -math.inf

    # Telling.

    def note_begun(self, stream: bytes, origin: StreamOrigin) -> None:
        """Keep a stream's origin, and tell the boxes that keep it for others."""
        now = self.state.clock()
        self.known.note(stream, origin, now)
        witnesses = self._ranking(now).choose(stream, self.state.zone)
        news = OriginNews(stream=stream, service=origin.service, build=origin.build)
        self.exchange.tell_all(witnesses, news)

    def hear(self, news: OriginNews) -> None:
        """Keep what another box tells."""
        origin = StreamOrigin(service=news.service, build=news.build)
        self.known.note(news.stream, origin, self.state.clock())

    # Asking.

    async def find(
        self, stream: bytes | None, services: tuple[str, ...], *, within_s: float
    ) -> FoundOrigin:
        """Return where a stream began, by this box or by those that were told."""
        now = self.state.clock()
        known = self.known.find(stream, now) if stream is not None else None
        if known is not None:
            return FoundOrigin(origin=known, source="own")
        inferred = self._infer(services, within_s)
        if stream is None:
            return FoundOrigin(origin=inferred, source="only version" if inferred else "not named")
        if len(self._open_by_number) >= MAX_OPEN_ASKS:
            return FoundOrigin(origin=inferred, source="only version" if inferred else "busy")
        found = await self._ask(stream, services, within_s)
        if found.source != "told" and not self._is_possible(found.origin, within_s):
            found = replace(found, origin=None, source="unknown")
        if found.origin is None and inferred is not None:
            return FoundOrigin(
                origin=inferred, source="only version", asked=found.asked, answered=found.answered
            )
        if found.origin is not None and found.source == "told":
            self.known.note(stream, found.origin, self.state.clock())
        return found

    async def _ask(self, stream: bytes, services: tuple[str, ...], within_s: float) -> FoundOrigin:
        boxes = await self._likely_witnesses(stream)
        if not boxes:
            return FoundOrigin(origin=None, source="no other box")
        self._number = self._number + 1 if self._number < MAX_NUMBER else 1
        number = self._number
        ask = OriginAsk(number=number, stream=stream, services=services, within_s=within_s)
        opened = _OpenAsk(waiting=set(boxes), asked=len(boxes))
        self._open_by_number[number] = opened
        try:
            self.exchange.tell_all(boxes, ask)
            if not await _is_set(opened.settled, ASK_AGAIN_S):
                self.exchange.tell_all(sorted(opened.waiting), ask)
                await _is_set(opened.settled, ASK_TIMEOUT_S - ASK_AGAIN_S)
        finally:
            del self._open_by_number[number]
        source = "told" if opened.told is not None else "only version"
        return FoundOrigin(
            origin=opened.origin,
            source=source if opened.origin is not None else "unknown",
            asked=opened.asked,
            answered=opened.asked - len(opened.waiting),
        )

    async def _likely_witnesses(self, stream: bytes) -> list[str]:
        """Return the boxes that may know; one that has just started first waits to hear of any."""
        state = self.state
        gives_up_at = min(state.clock() + ASK_TIMEOUT_S, state.started_at + LEARN_PEERS_S)
        while True:
            boxes = self._ranking(state.clock()).likely(stream)
            if boxes or state.clock() >= gives_up_at:
                return boxes
            await asyncio.sleep(PEER_POLL_S)

    def _ranking(self, now: float) -> WitnessRanking:
        """Return the other boxes as they were a moment ago at most."""
        if now >= self._ranked_until:
            self._ranked = WitnessRanking(hall_by_box=self.state.peers.witness_halls(now))
            self._ranked_until = now + RANKING_KEPT_S if self.state.peers.peers_by_id else now
        return self._ranked

    def answer(self, ask: OriginAsk) -> OriginReply:
        """Answer another box by what this one knows itself."""
        known = self.known.find(ask.stream, self.state.clock())
        if known is not None:
            return OriginReply(
                number=ask.number, service=known.service, build=known.build, is_told=True
            )
        inferred = self._infer(ask.services, ask.within_s)
        if inferred is None:
            return OriginReply(number=ask.number)
        return OriginReply(number=ask.number, service=inferred.service, build=inferred.build)

    def note_reply(self, sender: str, reply: OriginReply) -> None:
        """Take in an answer; one that comes too late is not used."""
        opened = self._open_by_number.get(reply.number)
        if opened is not None:
            opened.note(sender, reply)

    def _is_possible(self, origin: StreamOrigin | None, within_s: float) -> bool:
        """Whether no other build than that of an origin is known to have been listed here."""
        if origin is None:
            return True
        now = self.state.clock()
        seen = self.state.workers.builds_seen(origin.service, now, within_s=within_s)
        return seen <= {origin.build}

    def _infer(self, services: tuple[str, ...], within_s: float) -> StreamOrigin | None:
        """Return the only origin that a stream can have, by the workers seen here."""
        if len(services) != 1:
            return None
        now = self.state.clock()
        build = self.state.workers.only_build(services[0], now, within_s=within_s)
        return None if build is None else StreamOrigin(service=services[0], build=build)


async def _is_set(event: asyncio.Event, timeout_s: float) -> bool:
    with contextlib.suppress(TimeoutError):
        async with asyncio.timeout(timeout_s):
            await event.wait()
    return event.is_set()
