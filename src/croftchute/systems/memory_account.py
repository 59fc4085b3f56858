"""The account of all bytes that a box holds for the clients of its addresses.

Requests half read, whole requests that wait, copies on their way to workers and answers that are
not read yet count together, whatever address they came to. Above the bound the clients are released
that hold much and move little, whoever came last.
"""

from __future__ import annotations

import math
from dataclasses import dataclass

BYTES_PER_MB = 1_000_000
"""Bytes in a megabyte of the settings: the decimal one, which is smaller than 2**20."""

ACCOUNT_MEMORY_SHARE = 0.25
"""Usual share of a box's memory for its clients: on the smallest boxes the program itself, and what
the kernel holds, need the rest."""

SERVED_SHARE = 0.6
"""Most of the bound for requests that are being served. These are not given up for others, as
workers may run them, so the rest stays for those that are read and for answers. One that is served
beside none but small ones may be larger."""

SMALL_REQUEST_BYTES = 65_536
"""Largest request that is served whatever others hold."""

RELEASE_TO_SHARE = 0.95
"""Share of the bound that is left once clients were released, so that each release makes room for
more than the bytes that came last."""

MOVEMENT_HALF_LIFE_S = 1.0
"""Seconds after which bytes that a client moved count for half."""

STILL_BYTES = 16_384
"""Bytes that every client counts as having moved: it bounds the rank of one that moves nothing."""


def account_bound(memory_mb: float, share: float = ACCOUNT_MEMORY_SHARE) -> int:
    """Return the bound in bytes of a box with ``memory_mb`` MB, a share of which is for clients.

    >>> account_bound(150.0)
    37500000
    """
    if not math.isfinite(memory_mb) or memory_mb <= 0.0:
        raise ValueError(f"not an amount of memory: {memory_mb} MB")
    return int(memory_mb * BYTES_PER_MB * share)


@dataclass(kw_only=True, slots=True)
class _Client:
    """What one client holds, and the bytes that it moved lately."""

    size: int
    moved: float
    moved_at: float

    def recent_bytes(self, now: float) -> float:
        """Bytes moved, each counted for less the longer ago it was."""
        return float(self.moved * 0.5 ** ((now - self.moved_at) / MOVEMENT_HALF_LIFE_S))

    def rank(self, now: float) -> float:
        """How soon the client is released: higher for more bytes and for less movement."""
        return self.size / (self.recent_bytes(now) + STILL_BYTES)


class MemoryAccount:
    """The bytes held by each client, all of them together, and who is released first.

    ``client`` is a number that the caller of these methods gives.
    """

    def __init__(self, *, bound: int) -> None:
        self.bound = bound
        self.total = 0
        self.served = 0
        self._clients_by_number: dict[int, _Client] = {}

    def __len__(self) -> int:
        return len(self._clients_by_number)

    @property
    def exceeds_bound(self) -> bool:
        """Whether all clients together hold more than the bound."""
        return self.total > self.bound

    @property
    def is_low_enough(self) -> bool:
        """Whether so many bytes are free that no further client need be released."""
        return self.total <= self.bound * RELEASE_TO_SHARE

    def open(self, client: int, now: float) -> None:
        """Begin to count a client."""
        self._clients_by_number[client] = _Client(size=0, moved=0.0, moved_at=now)

    def close(self, client: int) -> None:
        """Stop counting a client that has left."""
        found = self._clients_by_number.pop(client, None)
        if found is not None:
            self.total -= found.size

    def size(self, client: int) -> int:
        """Return the bytes that a client holds; 0 if it is not counted."""
        found = self._clients_by_number.get(client)
        return 0 if found is None else found.size

    def set_size(self, client: int, size: int) -> None:
        """Set the bytes that a client holds; ignored if it is not counted."""
        found = self._clients_by_number.get(client)
        if found is not None:
            self.total += size - found.size
            found.size = size

    def note_moved(self, client: int, size: int, now: float) -> None:
        """Count bytes that came from a client or for it, or that it took."""
        found = self._clients_by_number.get(client)
        if found is not None:
            found.moved = found.recent_bytes(now) + size
            found.moved_at = now

    def admits(self, size: int) -> bool:
        """Return whether a whole request of that size may be served beside those that are.

        >>> account = MemoryAccount(bound=1_000_000)
        >>> account.admits(5_000_000)
        True
        >>> account.served = 500_000
        >>> account.admits(200_000)
        False
        """
        if size <= SMALL_REQUEST_BYTES or self.served <= SMALL_REQUEST_BYTES:
            return True
        return self.served + size <= self.bound * SERVED_SHARE

    def admits_more(self, present: int, size: int) -> bool:
        """Return whether a request of ``present`` bytes may take ``size`` more to be served."""
        is_alone = self.served - present <= SMALL_REQUEST_BYTES
        if is_alone and size <= self.bound:
            return True
        return self.served + size <= self.bound * SERVED_SHARE

    def by_rank(self, now: float) -> list[int]:
        """Return all clients, the first to be released first.

        >>> account = MemoryAccount(bound=1000)
        >>> for client in (1, 2, 3):
        ...     account.open(client, 0.0)
        >>> account.set_size(1, 300_000)
        >>> account.set_size(2, 400_000)
        >>> account.set_size(3, 10)
        >>> account.note_moved(2, 400_000, 9.9)
        >>> account.by_rank(10.0)
        [1, 2, 3]
        """
        ranks = [(client.rank(now), number) for number, client in self._clients_by_number.items()]
        return [number for _, number in sorted(ranks, key=lambda pair: (-pair[0], pair[1]))]
