"""What the router needs of the platform's key-value service, whatever its protocol."""

from __future__ import annotations

from collections.abc import Iterator
from dataclasses import dataclass
from typing import Protocol

from croftchute.errors import Code, StoreError

CONFIG_KEY = "croftchute/config"
HISTORY_PREFIX = "croftchute/history/"
RANGES_KEY = "croftchute/ranges"
BOXES_KEY = "platform/boxes"


@dataclass(frozen=True, kw_only=True, slots=True)
class Entry:
    """A value and the store revision at which it was last written; 0 if there is none."""

    key: str
    value: bytes
    revision: int


@dataclass(frozen=True, kw_only=True, slots=True)
class ListedBox:
    """A box on the platform's lagging list."""

    id: str
    hall: str
    address: str
    peer_port: int
    admin_port: int
    leaving: bool = False


class CompactedError(StoreError):
    """A watch from before what the store still knows, which begins at revision ``oldest``."""

    def __init__(self, message: str, *, oldest: int) -> None:
        super().__init__(Code.STORE_UNAVAILABLE, message)
        self.oldest = oldest


class Store(Protocol):
    """Calls to the service; every one may raise :class:`croftchute.errors.StoreError`."""

    def get(self, key: str) -> Entry:
        """The present value of a key; revision 0 and no value if it is not there."""
        ...

    def compare_and_swap(self, key: str, value: bytes, *, revision: int) -> Entry | None:
        """Write if the key's revision is still this one; None if another write came first."""
        ...

    def grant_lease(self, ttl_s: float) -> int:
        """A new lease; its id rises over time and serves as a fencing token."""
        ...

    def keep_lease(self, lease: int) -> float:
        """Renew a lease; the seconds it has left, 0 if it has lapsed."""
        ...

    def watch(self, key: str, *, after: int) -> Iterator[Entry]:
        """Writes of a key after a revision, as they come, until the connection ends.

        Raises :class:`CompactedError` where the store no longer knows all of them.
        """
        ...

    def boxes(self) -> list[ListedBox]:
        """The platform's list of live and leaving boxes, which lags."""
        ...
