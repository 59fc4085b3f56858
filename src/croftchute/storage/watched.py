"""What the forwarding core needs of a key-value service: listings and changes of a prefix."""

from __future__ import annotations

from dataclasses import dataclass
from typing import Protocol

from croftchute.errors import Code, StoreError
from croftchute.tables.routing import RoutingTable, Worker


@dataclass(frozen=True, kw_only=True, slots=True)
class StoredItem:
    """A key with its value and the revision at which it was last written."""

    key: str
    value: bytes
    revision: int


@dataclass(frozen=True, kw_only=True, slots=True)
class Listing:
    """All items of a prefix; no change up to ``revision`` is missing."""

    items: tuple[StoredItem, ...]
    revision: int


@dataclass(frozen=True, kw_only=True, slots=True)
class Changes:
    """Items written and keys removed, up to a revision; in the order of the changes."""

    written: tuple[StoredItem, ...]
    removed: tuple[str, ...]
    revision: int


class HistoryGoneError(StoreError):
    """The store no longer knows what changed since a revision: list anew."""

    def __init__(self, message: str) -> None:
        super().__init__(Code.STORE_UNAVAILABLE, message)


class WatchedStore(Protocol):
    """Calls of the service; each may raise :class:`croftchute.errors.StoreError`."""

    async def listing(self, prefix: str) -> Listing:
        """Everything under a prefix now."""
        ...

    async def changes(self, prefix: str, *, after: int, wait_s: float) -> Changes:
        """What has changed since a revision; waits for a change for some time."""
        ...


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

    def worker_id(self, key: str) -> str:
        """The worker that a key of the list is about."""
        ...
