"""Keeps some entries of the platform's store and the box's memory alike: read whole at the start.

Boxes tell one another, which reaches neither a hall that is cut off from the others, nor a fleet of
which every box has just been replaced. The store reaches both: a box reads all that stands there
when it starts, and single entries whenever it has news of them.
"""

from __future__ import annotations

import asyncio
from abc import ABC, abstractmethod

from croftchute.errors import StoreError
from croftchute.forwarding.decision_log import Decision
from croftchute.forwarding.state import ForwardingState
from croftchute.storage.position import told
from croftchute.storage.watched import SharedStore, StoredItem

RETRY_S = 0.5
"""Seconds between two tries of a call that failed: a few of them before a box that has started, or
that the store's trouble ended for, is held to what others know (3 s)."""

MAX_WAITING = 64
"""Entries that wait to be read or written: above what becomes news within a long outage."""

STORE = "store"


class CrashEntries(ABC):
    """The entries under a prefix, each kept alike with what the box knows."""

    prefix: str
    stored: Decision

    def __init__(self, *, state: ForwardingState, store: SharedStore) -> None:
        self.state = state
        self.store = store
        self._has_read = False
        self._is_lost = False
        self._waiting: dict[str, None] = {}
        self._due = asyncio.Event()

    @abstractmethod
    def take(self, item: StoredItem) -> None:
        """Take in an entry; one that can't be read counts as empty."""

    @abstractmethod
    def value_to_write(self, name: str, item: StoredItem | None) -> bytes | None:
        """Return what to write in place of an entry that was taken in; None for nothing."""

    @abstractmethod
    def names_in_force(self) -> list[str]:
        """Return the names of the entries that should stand in the store."""

    @abstractmethod
    def lease_s(self) -> float:
        """Return for how many seconds an entry stands."""

    def note(self, names: list[str]) -> None:
        """There is news of some entries: they are to be read, and written."""
        for name in names:
            if len(self._waiting) < MAX_WAITING:
                self._waiting[name] = None
        self._due.set()

    def read_again(self) -> None:
        """Have all entries read once more: boxes that none of those here hears may have written."""
        self._has_read = False
        self._due.set()

    def note_restored(self) -> None:
        """The store came back from an older copy: what is in force is to stand there again."""
        self.note(self.names_in_force())

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
            listing = await self.store.listing(self.prefix, on_progress=lambda: None)
            for item in listing.items:
                self.take(item)
            self._has_read = True
        while self._waiting:
            name = next(iter(self._waiting))
            await self._match(name)
            del self._waiting[name]
        self._due.clear()
        await self._due.wait()

    async def _match(self, name: str) -> None:
        """Read an entry, and write it if more is known here."""
        while not await self._try_match(name):
            pass

    async def _try_match(self, name: str) -> bool:
        """Do the same once; return False if another box wrote meanwhile."""
        item = await self.store.item(self.prefix + name)
        if item is not None:
            self.take(item)
        value = self.value_to_write(name, item)
        return value is None or await self._write(name, item, value)

    async def _write(self, name: str, item: StoredItem | None, value: bytes) -> bool:
        lease = await self.store.grant_lease(self.lease_s())
        revision = item.revision if item is not None else 0
        key = self.prefix + name
        if not await self.store.put_if(key, value, revision=revision, lease=lease):
            return False
        self._log("written", name)
        return True

    def _note_lost(self, error: StoreError) -> None:
        if not self._is_lost:
            self._log(error.code.value, "", detail=error.message)
        self._is_lost = True

    def _log(self, outcome: str, name: str, detail: str = "", revision: int = 0) -> None:
        self.state.log.decide(
            self.stored,
            outcome=outcome,
            digest=name,
            detail=detail,
            revision=told(revision),
        )
