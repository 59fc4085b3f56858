"""Tells other boxes where streams began, and asks them when a caller takes one up.

Each message is a datagram and may be lost. The platform's store keeps the same for the case that
all boxes that know have ended. A stream whose origin stays unknown is not continued.
"""

from __future__ import annotations

import asyncio
import contextlib
import math
from dataclasses import dataclass, field, replace

from croftchute.forwarding.boxes.peer_exchange import PeerExchange
from croftchute.forwarding.origins import FoundOrigin, NoRecord, OriginRecord
from croftchute.forwarding.state import LEARN_PEERS_S, ForwardingState
from croftchute.peers.messages import OriginAsk, OriginNews, OriginReply
from croftchute.systems.origin_witnesses import RECORDERS_PER_HALL, WitnessRanking, recorders
from croftchute.systems.software_history import KEPT_S
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

RECORD_WAIT_S = 0.1
"""Longest time for which the first event of a stream waits for its record, while several versions
serve: many answers of a sound store, and a small part of the time to a first event."""

READ_WAIT_S = 0.5
"""Longest wait for the store when a caller takes a stream up; it goes on reading after that."""


@dataclass(kw_only=True)
class _OpenAsk:
    """The answers to one question, as they come; origins by their digests."""

    waiting: set[str]
    asked: int = 0
    told: set[int] = field(default_factory=set)
    inferred: set[int] = field(default_factory=set)
    settled: asyncio.Event = field(default_factory=asyncio.Event)

    def note(self, sender: str, reply: OriginReply) -> None:
        """Take an answer in: what a box was told goes before what it infers."""
        self.waiting.discard(sender)
        if reply.origin:
            (self.told if reply.is_told else self.inferred).add(reply.origin)
        if self.told or not self.waiting:
            self.settled.set()

    @property
    def answered(self) -> int:
        """How many boxes have answered."""
        return self.asked - len(self.waiting)


class SharedOrigins:
    """Where streams began: what this box knows, and what others answer."""

    def __init__(self, *, state: ForwardingState, exchange: PeerExchange) -> None:
        self.state = state
        self.exchange = exchange
        self.known = StreamOrigins()
        self.record: OriginRecord = NoRecord()
        self._open_by_number: dict[int, _OpenAsk] = {}
        self._number = 0
        self._ranked = WitnessRanking(hall_by_box={})
        self._ranked_until = -math.inf

    # Telling.

    async def note_begun(self, stream: int, alias: int, origin: StreamOrigin) -> None:
        """Keep a stream's origin, and have other boxes and the store keep it.

        A caller that does not name the stream is known by its request alone. While several versions
        serve, its first event waits for the record, so that no try of the request that comes later
        is missing there.
        """
        now = self.state.clock()
        builds = self.state.workers.builds_seen(origin.service, now, within_s=KEPT_S)
        has_several = len(builds) > 1
        self._tell(
            OriginNews(stream=stream, alias=alias, origin=origin.digest, is_urgent=has_several)
        )
        if has_several and self._is_recorder():
            await self.record.recorded(stream, within_s=RECORD_WAIT_S)

    def note_doubtful(self, stream: int, alias: int) -> None:
        """Have a stream's origin believed no longer, here and where it was told."""
        self._tell(OriginNews(stream=stream, alias=alias, origin=0, is_urgent=True))

    def _tell(self, news: OriginNews) -> None:
        self.hear(news)
        witnesses = self._ranking(self.state.clock()).choose(news.stream, self.state.zone)
        self.exchange.tell_all(witnesses, news)
        if self._is_recorder():
            self.record.note(news)
        else:
            # Nobody confirms the record, so it must not stand for other tries of the request.
            recorder = self._recorders()[news.stream % RECORDERS_PER_HALL]
            self.exchange.tell(recorder, replace(news, alias=0, is_for_record=True))

    def _recorders(self) -> list[str]:
        """Return the boxes that write for this box's hall."""
        peers = self.state.peers.hall_peers(self.state.zone, self.state.clock())
        return recorders([self.state.box, *(peer.id for peer in peers)])

    def _is_recorder(self) -> bool:
        return self.state.box in self._recorders()

    def hear(self, news: OriginNews) -> None:
        """Keep an origin that another box sent or the store keeps."""
        now = self.state.clock()
        self.known.note(news.stream, news.origin, now)
        if news.alias:
            self.known.note(news.alias, news.origin, now)

    def hear_box(self, news: OriginNews) -> None:
        """Keep an origin that another box sent; write it to the store if that box asks for it."""
        self.hear(news)
        if news.is_for_record:
            self.record.note(news)

    # Asking.

    async def find(self, key: int, services: tuple[str, ...], *, within_s: float) -> FoundOrigin:
        """Return where a stream began, by this box, by other boxes, or by the store."""
        known = self.known.find(key, self.state.clock())
        if known is not None:
            return self._found(known, services, "own")
        service = services[0] if len(services) == 1 else ""
        inferred = self._infer(service, within_s)
        if inferred:
            return self._found(inferred, services, "only version")
        found = FoundOrigin(origin=None, source="busy")
        if len(self._open_by_number) < MAX_OPEN_ASKS:
            found = await self._ask(key, services, service, within_s)
        if found.origin is None and not found.is_gone:
            return await self._read_record(key, services, found)
        return found

    async def _read_record(
        self, key: int, services: tuple[str, ...], found: FoundOrigin
    ) -> FoundOrigin:
        """Return where a stream began by the store, if this box reads there."""
        if not self._is_recorder():
            # The boxes of the hall that read there were asked, and do so now.
            return replace(found, is_pending=True)
        is_read = await self.record.refresh(within_s=READ_WAIT_S)
        known = self.known.find(key, self.state.clock())
        if known is None:
            return replace(found, is_pending=not is_read)
        recorded = self._found(known, services, "store")
        return replace(recorded, asked=found.asked, answered=found.answered)

    def _found(
        self, digest: int, services: tuple[str, ...], source: str, opened: _OpenAsk | None = None
    ) -> FoundOrigin:
        """Return the origin that a digest stands for, among those that the services had lately."""
        now = self.state.clock()
        origin = next(
            (
                candidate
                for service in services
                for build in self.state.workers.builds_seen(service, now, within_s=KEPT_S)
                if (candidate := StreamOrigin(service=service, build=build)).digest == digest
            ),
            None,
        )
        return FoundOrigin(
            origin=origin,
            source=source,
            is_gone=origin is None,
            asked=opened.asked if opened is not None else 0,
            answered=opened.answered if opened is not None else 0,
        )

    async def _ask(
        self, stream: int, services: tuple[str, ...], service: str, within_s: float
    ) -> FoundOrigin:
        boxes = await self._likely_witnesses(stream)
        if not boxes:
            return FoundOrigin(origin=None, source="no other box")
        self._number = self._number + 1 if self._number < MAX_NUMBER else 1
        number = self._number
        ask = OriginAsk(number=number, stream=stream, service=service, within_s=within_s)
        opened = _OpenAsk(waiting=set(boxes), asked=len(boxes))
        self._open_by_number[number] = opened
        try:
            self.exchange.tell_all(boxes, ask)
            if not await _is_set(opened.settled, ASK_AGAIN_S):
                self.exchange.tell_all(sorted(opened.waiting), ask)
                await _is_set(opened.settled, ASK_TIMEOUT_S - ASK_AGAIN_S)
        finally:
            del self._open_by_number[number]
        if len(opened.told) == 1:
            (digest,) = opened.told
            self.known.note(stream, digest, self.state.clock())
            return self._found(digest, services, "told", opened)
        if not opened.told and len(opened.inferred) == 1:
            (digest,) = opened.inferred
            if self._is_possible(digest, service, within_s):
                return self._found(digest, services, "only version", opened)
        return FoundOrigin(
            origin=None, source="unknown", asked=opened.asked, answered=opened.answered
        )

    async def _likely_witnesses(self, stream: int) -> list[str]:
        """Return the boxes that may know; one that has just started first waits to hear of any."""
        state = self.state
        gives_up_at = min(state.clock() + ASK_TIMEOUT_S, state.started_at + LEARN_PEERS_S)
        while True:
            boxes = self._ranking(state.clock()).likely(stream)
            if not self._is_recorder():
                boxes = sorted({*boxes, *self._recorders()})
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
            return OriginReply(number=ask.number, origin=known, is_told=True)
        peers = self.state.peers.hall_peers(self.state.zone, self.state.clock())
        if len(peers) >= RECORDERS_PER_HALL and self._is_recorder():
            self.record.request_read()
        return OriginReply(number=ask.number, origin=self._infer(ask.service, ask.within_s))

    def note_reply(self, sender: str, reply: OriginReply) -> None:
        """Take in an answer; one that comes too late is not used."""
        opened = self._open_by_number.get(reply.number)
        if opened is not None:
            opened.note(sender, reply)

    def _is_possible(self, digest: int, service: str, within_s: float) -> bool:
        """Whether no build with another origin is known to have been listed here."""
        seen = self.state.workers.builds_seen(service, self.state.clock(), within_s=within_s)
        return all(StreamOrigin(service=service, build=build).digest == digest for build in seen)

    def _infer(self, service: str, within_s: float) -> int:
        """Return the only origin that a stream of a service can have, by the workers seen here."""
        build = self.state.workers.only_build(service, self.state.clock(), within_s=within_s)
        return 0 if build is None else StreamOrigin(service=service, build=build).digest


async def _is_set(event: asyncio.Event, timeout_s: float) -> bool:
    with contextlib.suppress(TimeoutError):
        async with asyncio.timeout(timeout_s):
            await event.wait()
    return event.is_set()
