"""The latest changes of one prefix of the store, for the boxes of the hall that follow this one."""

from __future__ import annotations

import asyncio
import contextlib
from collections import deque
from collections.abc import Iterable
from dataclasses import dataclass, field, replace

from croftchute.errors import Code, StoreError
from croftchute.storage.watched import Changes, HistoryGoneError, Listing, StoredItem

MAX_ENTRIES = 256
"""Answers of the store that are kept: at four a second the changes of a minute."""

MAX_BYTES = 262_144
"""Bytes that all of them take, but for the newest: some hundred changes of workers."""

ENTRY_BYTES = 128
"""Bytes that an item takes beside its value."""


class NotARelayError(StoreError):
    """This box does not know the store's news at first hand at the moment."""

    def __init__(self, message: str) -> None:
        super().__init__(Code.STORE_UNAVAILABLE, message)


@dataclass(kw_only=True)
class NewsLog:
    """Changes after ``base`` up to ``position``, which are revisions of the store."""

    base: int | None = None
    position: int = 0
    entries: deque[Changes] = field(default_factory=deque)
    _fresh_until: float = float("-inf")
    _bytes: int = 0
    _arrived: asyncio.Event = field(default_factory=asyncio.Event)
    _proven: asyncio.Event = field(default_factory=asyncio.Event)

    def note_listing(self, listing: Listing) -> None:
        """Begin anew behind a whole listing."""
        self.entries.clear()
        self._bytes = 0
        self.base = self.position = listing.revision
        self._wake()

    def note_changes(self, changes: Changes) -> None:
        """Take in what has changed since the position."""
        self.position = max(self.position, changes.revision)
        if not changes.written and not changes.removed:
            return
        self._drop_replaced(changes)
        self.entries.append(changes)
        self._bytes += _bytes_of(changes)
        while self._is_too_long():
            dropped = self.entries.popleft()
            self._bytes -= _bytes_of(dropped)
            self.base = dropped.revision
        self._wake()

    def note_reading(self, fresh_until: float) -> None:
        """The store answers this box, and is to answer again by some time."""
        self._fresh_until = fresh_until

    def note_lost(self) -> None:
        """The store does not answer this box, or the box stops: waiting followers are told so."""
        self._fresh_until = float("-inf")
        self._wake()

    def note_proof(self) -> None:
        """The store has answered this box: followers that wait for a proof of it are told so."""
        self._proven.set()
        self._proven = asyncio.Event()

    def is_fresh(self, now: float) -> bool:
        """Whether this box hears the store's news at first hand."""
        return now < self._fresh_until

    def since(self, after: int) -> Changes:
        """What has changed after a revision; raises HistoryGoneError if that is not known."""
        if self.base is None or after < self.base:
            raise HistoryGoneError(f"changes after {after} are not kept")
        return merged((e for e in self.entries if e.revision > after), position=self.position)

    async def wait_for_change(self, after: int, wait_s: float, *, or_proof: bool = False) -> None:
        """Return when something has changed after a revision, or after some time.

        With ``or_proof`` return too when the store has answered this box once more.
        """
        found = self.since(after)
        if found.written or found.removed:
            return
        awaited = self._proven if or_proof else self._arrived
        with contextlib.suppress(TimeoutError):
            async with asyncio.timeout(wait_s):
                await awaited.wait()

    def _drop_replaced(self, changes: Changes) -> None:
        """Forget earlier words on keys that have changed again: nobody needs them any more.

        So a long configuration is kept once, and a follower that missed some versions of it
        still finds its position here and gets the newest alone.
        """
        keys = {item.key for item in changes.written} | set(changes.removed)
        kept = [without(entry, keys) for entry in self.entries]
        self.entries = deque(entry for entry in kept if entry.written or entry.removed)
        self._bytes = sum(_bytes_of(entry) for entry in self.entries)

    def _is_too_long(self) -> bool:
        if len(self.entries) <= 1:
            return False
        older_bytes = self._bytes - _bytes_of(self.entries[-1])
        return len(self.entries) > MAX_ENTRIES or older_bytes > MAX_BYTES

    def _wake(self) -> None:
        self._arrived.set()
        self._arrived = asyncio.Event()
        self.note_proof()


def merged(parts: Iterable[Changes], *, position: int) -> Changes:
    """Changes that follow each other as one: the last word on each key counts."""
    written: dict[str, StoredItem] = {}
    removed: dict[str, None] = {}
    newest = 0
    for part in parts:
        for key in part.removed:
            written.pop(key, None)
            removed[key] = None
        for item in part.written:
            removed.pop(item.key, None)
            written[item.key] = item
        newest = max(newest, part.newest)
    return Changes(
        written=tuple(written.values()),
        removed=tuple(removed),
        revision=position,
        newest=newest,
    )


def without(changes: Changes, keys: set[str]) -> Changes:
    """The same changes but for those of some keys."""
    if keys.isdisjoint(item.key for item in changes.written) and keys.isdisjoint(changes.removed):
        return changes
    return replace(
        changes,
        written=tuple(item for item in changes.written if item.key not in keys),
        removed=tuple(key for key in changes.removed if key not in keys),
    )


def _bytes_of(changes: Changes) -> int:
    values = sum(len(item.value) for item in changes.written)
    return values + ENTRY_BYTES * (len(changes.written) + len(changes.removed))
