"""What the platform's store keeps of requests that end workers: written once, read at the start.

Boxes tell one another, which reaches neither a hall that is cut off from the others, nor a fleet of
which every box has just been replaced. The store reaches both: a box reads all that stands there
when it starts, and one request's part whenever a worker ends under it here.
"""

from __future__ import annotations

import asyncio

import msgspec

from croftchute.errors import StoreError
from croftchute.forwarding.boxes.crash_gossip import CrashGossip
from croftchute.forwarding.decision_log import Decision
from croftchute.forwarding.state import ForwardingState
from croftchute.storage.position import told
from croftchute.storage.watched import SharedStore, StoredItem
from croftchute.systems.crash_records import BASE_REFUSAL_S, MAX_REFUSAL_S
from croftchute.tables.crashes import CrashEntry, CrashNotice

PREFIX = "croftchute/crashes/"

RETRY_S = 0.5
"""Seconds between two tries of a call that failed: a few of them before a box that has started, or
that the store's trouble ended for, is held to what others know (3 s)."""

MAX_WAITING = 64
"""Requests whose entry waits to be read or written: above what ends within a long outage."""

STORE = "store"


class CrashRegister:
    """Keeps the box's crash records and the store's entries of refused requests alike."""

    def __init__(self, *, state: ForwardingState, store: SharedStore, gossip: CrashGossip) -> None:
        self.state = state
        self.store = store
        self.gossip = gossip
        self._has_read = False
        self._is_lost = False
        self._waiting: dict[str, None] = {}
        self._due = asyncio.Event()

    def note(self, digests: list[str]) -> None:
        """Workers ended under some requests here: their entries are to be read, and written."""
        for digest in digests:
            if len(self._waiting) < MAX_WAITING:
                self._waiting[digest] = None
        self._due.set()

    def note_restored(self) -> None:
        """The store came back from an older copy: what is refused here is to stand there again."""
        now = self.state.clock()
        crashes = self.state.crashes
        self.note(
            [digest for digest in crashes.by_digest if crashes.refusal_left_s(digest, now) > 0.0]
        )

    async def run(self) -> None:
        """Look after the entries; never returns."""
        while True:
            try:
                await self._work()
                self._is_lost = False
            except StoreError as error:
                self._note_lost(error)
                await asyncio.sleep(RETRY_S)

    async def _work(self) -> None:
        if not self._has_read:
            listing = await self.store.listing(PREFIX, on_progress=lambda: None)
            for item in listing.items:
                self._take(item)
            self._has_read = True
        while self._waiting:
            digest = next(iter(self._waiting))
            await self._match(digest)
            del self._waiting[digest]
        self._due.clear()
        await self._due.wait()

    async def _match(self, digest: str) -> None:
        """Read the entry of a request, and write it if more is known here that has it refused."""
        key = PREFIX + digest
        item = await self.store.item(key)
        stored = self._take(item) if item is not None else {}
        record = self.state.crashes.by_digest.get(digest)
        if record is None or self.state.crashes.refusal_left_s(digest, self.state.clock()) <= 0.0:
            return
        if record.ended_at_by_life.keys() <= stored.keys():
            return
        lag_s = self.state.wall_clock() - self.state.clock()
        known = {life: at + lag_s for life, at in record.ended_at_by_life.items()}
        value = msgspec.json.encode(CrashEntry(ended_at_by_life=known | stored))
        lease = await self.store.grant_lease(BASE_REFUSAL_S)
        revision = item.revision if item is not None else 0
        if await self.store.put_if(key, value, revision=revision, lease=lease):
            self._log("written", digest)
        else:
            await self._match(digest)

    def _take(self, item: StoredItem) -> dict[str, float]:
        """Take in an entry: Unix times by life."""
        digest = item.key.removeprefix(PREFIX)
        try:
            stored = msgspec.json.decode(item.value, type=CrashEntry).ended_at_by_life
        except msgspec.DecodeError as error:
            self._log("unreadable", digest, detail=str(error), revision=item.revision)
            return {}
        wall_now = self.state.wall_clock()
        notices = [
            CrashNotice(digest=digest, life=life, age_s=min(max(0.0, wall_now - at), MAX_REFUSAL_S))
            for life, at in stored.items()
        ]
        refused = self.state.crashes.merge(notices, self.state.clock())
        self.gossip.log_refused(refused, source=STORE)
        return stored

    def _note_lost(self, error: StoreError) -> None:
        if not self._is_lost:
            self._log(error.code.value, "", detail=error.message)
        self._is_lost = True

    def _log(self, outcome: str, digest: str, detail: str = "", revision: int = 0) -> None:
        self.state.log.decide(
            Decision.CRASH_STORED,
            outcome=outcome,
            digest=digest,
            detail=detail,
            revision=told(revision),
        )
