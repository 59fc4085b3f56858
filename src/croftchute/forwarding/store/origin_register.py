"""Where streams began, in the platform's store: written in batches, read when nobody else knows.

Boxes also send origins to one another, which is lost once all boxes that received them have ended.
Each batch stands under a key of its own until its lease lapses; no entry is ever written again or
removed.
"""

from __future__ import annotations

import asyncio
import contextlib
import itertools
import math
from collections import deque
from collections.abc import Callable

import msgspec

from croftchute.errors import StoreError
from croftchute.forwarding.decision_log import Decision
from croftchute.forwarding.state import ForwardingState
from croftchute.peers.messages import OriginNews
from croftchute.storage.position import told
from croftchute.storage.watched import SharedStore, StoredItem
from croftchute.systems.origin_witnesses import RECORDERS_PER_HALL

PREFIX = "croftchute/origins/"

NO_REVISION = 0
"""What the store expects of a key that is written for the first time."""

RECORD_S = 60.0
"""Seconds for which a record stands at least: longer than callers take a stream up."""

LEASE_SHARE_S = 20.0
"""Seconds for which all batches of a box stand under one lease, which is a call by itself."""

WRITES_PER_S = 100.0
"""Batches that all boxes write a second at most while several versions serve, a part of what the
store takes."""

CALM_WRITES_PER_S = 20.0
"""The same while one version serves: each call is paid for, and no first event waits for it."""

MIN_READ_GAP_S = 0.1
"""Seconds between two readings by a box: callers of streams come back together."""

MAX_BATCH = 4096
"""Streams in one batch at most, some 110 KB."""

MAX_PENDING = 16384
"""Streams that wait to be written at most; the oldest are dropped."""

RESTORED_S = 10.0
"""Seconds of records that are written again once the store comes back from an older copy."""

RETRY_S = 0.25
"""Seconds before a batch that failed is written again at first; longer each time."""

MAX_RETRY_S = 2.0
"""Seconds before it is written again at most: the store may be down for long."""

Row = tuple[int, int, int]
"""Digests of a stream, of its request and of its origin."""


class OriginRegister:
    """Writes this box's records to the store, and reads those of all boxes."""

    def __init__(
        self,
        *,
        state: ForwardingState,
        store: SharedStore,
        on_found: Callable[[OriginNews], None],
    ) -> None:
        self.state = state
        self.store = store
        self.on_found = on_found
        self._pending: deque[tuple[float, OriginNews]] = deque(maxlen=MAX_PENDING)
        self._written: deque[tuple[float, OriginNews]] = deque(maxlen=MAX_PENDING)
        self._waiting_by_stream: dict[int, asyncio.Event] = {}
        self._life = f"{state.rng.getrandbits(48):012x}"
        self._numbers = itertools.count()
        self._lease = 0
        self._lease_ends_at = -math.inf
        self._reading: asyncio.Task[bool] | None = None
        self._read_at = -math.inf
        self._is_lost = False
        self._due = asyncio.Event()
        self._urgent = asyncio.Event()

    # Writing.

    def note(self, news: OriginNews) -> None:
        """Write soon where a stream began; at once if that is urgent."""
        self._pending.append((self.state.clock(), news))
        self._due.set()
        if news.is_urgent:
            self._urgent.set()

    def note_restored(self) -> None:
        """The store came back from an older copy, which may lack what was written last."""
        now = self.state.clock()
        lost = [entry for entry in self._written if now - entry[0] <= RESTORED_S]
        self._written.clear()
        self._pending.extendleft(reversed(lost))
        self._due.set()

    async def recorded(self, stream: int, *, within_s: float) -> bool:
        """Wait until what was noted of a stream is written; return False if that takes longer.

        While the store is away there is nothing to wait for.
        """
        if self._is_lost:
            return False
        event = self._waiting_by_stream.setdefault(stream, asyncio.Event())
        try:
            async with asyncio.timeout(within_s):
                await event.wait()
        except TimeoutError:
            return False
        finally:
            self._waiting_by_stream.pop(stream, None)
        return True

    async def run(self) -> None:
        """Write what is noted, in batches; never returns."""
        retry_s = RETRY_S
        while True:
            await self._due.wait()
            self._due.clear()
            self._urgent.clear()
            batch = self._take_batch()
            if not batch:
                continue
            try:
                await self._write(batch)
                retry_s = RETRY_S
                await self._wait_to_write()
            except StoreError as error:
                self._note_lost(error)
                self._lease = 0
                self._pending.extendleft(reversed(batch))
                self._due.set()
                await asyncio.sleep(retry_s * self.state.rng.uniform(0.8, 1.2))
                retry_s = min(MAX_RETRY_S, 2.0 * retry_s)

    def _take_batch(self) -> list[tuple[float, OriginNews]]:
        """Take the oldest records that are still of use; more may be left."""
        oldest = self.state.clock() - RECORD_S
        while self._pending and self._pending[0][0] < oldest:
            self._pending.popleft()
        batch = [self._pending.popleft() for _ in range(min(MAX_BATCH, len(self._pending)))]
        if self._pending:
            self._due.set()
        return batch

    async def _write(self, batch: list[tuple[float, OriginNews]]) -> None:
        """Write a batch under a new key; raises StoreError."""
        rows = [(news.stream, news.alias, news.origin) for _, news in batch]
        value = msgspec.msgpack.encode(rows)
        name = f"{self.state.box}-{self._life}-{next(self._numbers)}"
        lease = await self._lease_in_force()
        written = await self.store.put_if(PREFIX + name, value, revision=NO_REVISION, lease=lease)
        if written is None:
            # A write whose answer was lost, or an era that began meanwhile: a new key and lease.
            self._lease = 0
            self._pending.extendleft(reversed(batch))
            self._due.set()
            return
        self._note_regained()
        self._written.extend(batch)
        while self._written and self._written[0][0] < self.state.clock() - RESTORED_S:
            self._written.popleft()
        for _, news in batch:
            event = self._waiting_by_stream.get(news.stream)
            if event is not None:
                event.set()

    async def _lease_in_force(self) -> int:
        now = self.state.clock()
        if not self._lease or now >= self._lease_ends_at:
            self._lease = await self.store.grant_lease(RECORD_S + LEASE_SHARE_S)
            self._lease_ends_at = now + LEASE_SHARE_S
        return self._lease

    async def _wait_to_write(self) -> None:
        """Wait until the next batch, so that all boxes together stay within the rates."""
        writers = self._writers()
        await asyncio.sleep(writers / WRITES_PER_S)
        with contextlib.suppress(TimeoutError):
            async with asyncio.timeout(writers / CALM_WRITES_PER_S - writers / WRITES_PER_S):
                await self._urgent.wait()

    def _writers(self) -> int:
        """Return how many boxes write records."""
        halls = self.state.peers.witness_halls(self.state.clock())
        boxes_by_hall: dict[str, int] = {self.state.zone: 1}
        for hall in halls.values():
            boxes_by_hall[hall] = boxes_by_hall.get(hall, 0) + 1
        return sum(min(RECORDERS_PER_HALL, count) for count in boxes_by_hall.values())

    # Reading.

    async def refresh(self, *, within_s: float) -> bool:
        """Read all that is written; return False if that takes longer, or fails."""
        with contextlib.suppress(TimeoutError):
            async with asyncio.timeout(within_s):
                return await asyncio.shield(self._begin_reading())
        return False

    def request_read(self) -> None:
        """Have all that is written read, without waiting for it."""
        self._begin_reading()

    def _begin_reading(self) -> asyncio.Task[bool]:
        if self._reading is None or self._reading.done():
            self._reading = asyncio.ensure_future(self._read())
        return self._reading

    async def _read(self) -> bool:
        await asyncio.sleep(max(0.0, self._read_at + MIN_READ_GAP_S - self.state.clock()))
        self._read_at = self.state.clock()
        try:
            listing = await self.store.listing(PREFIX, on_progress=lambda: None)
        except StoreError as error:
            self._note_lost(error)
            return False
        self._note_regained()
        for item in listing.items:
            self._take(item)
        return True

    def _take(self, item: StoredItem) -> None:
        try:
            rows = msgspec.msgpack.decode(item.value, type=list[Row])
        except msgspec.DecodeError as error:
            self._log("unreadable", detail=str(error), revision=item.revision)
            return
        for stream, alias, origin in rows:
            self.on_found(OriginNews(stream=stream, alias=alias, origin=origin))

    def _note_lost(self, error: StoreError) -> None:
        if not self._is_lost:
            self._log(error.code.value, detail=error.message)
        self._is_lost = True

    def _note_regained(self) -> None:
        if self._is_lost:
            self._log("regained")
        self._is_lost = False

    def _log(self, outcome: str, *, detail: str = "", revision: int = 0) -> None:
        self.state.log.decide(
            Decision.ORIGINS_STORED,
            outcome=outcome,
            detail=detail,
            revision=told(revision),
            waiting=len(self._pending),
        )
