"""What the forwarding core needs of a key-value service: listings and changes of a prefix."""

from __future__ import annotations

from collections.abc import Callable
from dataclasses import dataclass
from typing import Protocol

from croftchute.errors import Code, StoreError
from croftchute.tables.routing import RoutingTable, Worker


@dataclass(frozen=True, kw_only=True, slots=True)
class StoredItem:
    """A key with its value and where it was last written.

    Revisions here and below are positions (``storage/position.py``): they order over eras.
    """

    key: str
    value: bytes
    revision: int


@dataclass(frozen=True, kw_only=True, slots=True)
class Listing:
    """All items of a prefix; no change up to ``revision`` is missing."""

    items: tuple[StoredItem, ...]
    revision: int

    @property
    def newest(self) -> int:
        """The revision of the newest of the items; 0 if there is none."""
        return max((item.revision for item in self.items), default=0)


@dataclass(frozen=True, kw_only=True, slots=True)
class Changes:
    """Items written and keys removed up to a revision; ``newest`` is that of the last of them.

    ``untold`` are keys that were written and whose values are to be read from the store.
    """

    written: tuple[StoredItem, ...]
    removed: tuple[str, ...]
    revision: int
    newest: int = 0
    untold: tuple[str, ...] = ()


class HistoryGoneError(StoreError):
    """The store no longer knows what changed since a revision: list anew."""

    def __init__(self, message: str) -> None:
        super().__init__(Code.STORE_UNAVAILABLE, message)


class WatchedStore(Protocol):
    """Calls of the service; each may raise :class:`croftchute.errors.StoreError`."""

    async def listing(self, prefix: str, *, on_progress: Callable[[], None]) -> Listing:
        """Everything under a prefix now; ``on_progress`` as for :meth:`changes`."""
        ...

    async def changes(
        self,
        prefix: str,
        *,
        after: int,
        wait_s: float,
        margin_s: float,
        on_progress: Callable[[], None],
    ) -> Changes:
        """What has changed since a revision; waits for a change for some time.

        An answer must begin within ``margin_s`` beside that. ``on_progress`` is called whenever a
        part of a long answer has come.
        """
        ...


class LeaseStore(Protocol):
    """Calls for what only one box may do at a time; each may raise StoreError."""

    async def item(self, key: str) -> StoredItem | None:
        """The present value of a key, as of now."""
        ...

    async def grant_lease(self, ttl_s: float) -> int:
        """A new lease; keys under it go when it lapses, or when the store loses it."""
        ...

    async def keep_lease(self, lease: int) -> bool:
        """Renew a lease; False if it is over."""
        ...

    async def put_if(self, key: str, value: bytes, *, revision: int, lease: int) -> int | None:
        """Write if the key is at this revision; the new revision, or None if it was not."""
        ...


class SharedStore(WatchedStore, LeaseStore, Protocol):
    """All that a forwarding box needs of the store."""


class Vocabulary(Protocol):
    """Where the store keeps what, and how it is written there."""

    config_prefix: str
    config_key: str
    workers_prefix: str

    def routing_table(self, item: StoredItem) -> RoutingTable:
        """A configuration; raises :class:`croftchute.errors.DocumentError`."""
        ...

    def worker(self, item: StoredItem) -> Worker:
        """An entry of the worker list; raises :class:`croftchute.errors.DocumentError`."""
        ...

    def worker_name(self, key: str) -> str:
        """The worker that a key of the list is about, whichever life of it."""
        ...
