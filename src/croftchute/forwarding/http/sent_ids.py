"""The ids of the requests that were sent on one connection."""

from __future__ import annotations

from array import array
from bisect import bisect_left

MAX_SENT_IDS = 1024
"""Most ids of one connection, 8 bytes each. None may be forgotten while the connection is open, as
an answer may come at any time after its request: a connection that is full serves no more."""

DIGEST_MASK = (1 << 64) - 1


class SentIds:
    """A set of ids that only grows.

    It holds digests: an id that was not sent may seem to have been, never the other way round.

    >>> sent = SentIds()
    >>> sent.add(b"9c41d07be2a35f68")
    >>> b"9c41d07be2a35f68" in sent
    True
    """

    def __init__(self) -> None:
        self._digests = array("Q")

    def __len__(self) -> int:
        return len(self._digests)

    def __contains__(self, sent_id: bytes) -> bool:
        digest = hash(sent_id) & DIGEST_MASK
        place = bisect_left(self._digests, digest)
        return place < len(self._digests) and self._digests[place] == digest

    def add(self, sent_id: bytes) -> None:
        """Add an id."""
        digest = hash(sent_id) & DIGEST_MASK
        self._digests.insert(bisect_left(self._digests, digest), digest)

    @property
    def is_full(self) -> bool:
        """Whether no further id may be added."""
        return len(self._digests) >= MAX_SENT_IDS
