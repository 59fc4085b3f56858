"""Estimate of the prompt prefixes that an engine caches, from its cache events.

Events arrive late, and some are lost. An entry is fresh while the sequence numbers have no gap,
and stale after one. Marking all entries stale takes O(1): each entry stores the generation in
which it was written, and a gap starts a new generation. An entry is fresh again once an event
names it.
"""

from __future__ import annotations

from collections import OrderedDict
from collections.abc import Sequence
from dataclasses import dataclass

BLOCK_TOKENS = 64
STALE_BLOCK_CREDIT = 0.5
MAX_BLOCKS = 8192


@dataclass(frozen=True, kw_only=True, slots=True)
class CacheEvent:
    """An event of an engine's prefix cache; ``seq`` increases by one with each event."""

    seq: int
    stored: tuple[int, ...] = ()
    evicted: tuple[int, ...] = ()


class PrefixIndex:
    """The known blocks of one engine's prefix cache.

    The index is bounded; the block that events named least recently is evicted first.
    """

    def __init__(self, *, max_blocks: int = MAX_BLOCKS) -> None:
        self.max_blocks = max_blocks
        self.next_seq: int | None = None
        self._generation = 0
        self._generation_by_block: OrderedDict[int, int] = OrderedDict()

    def __repr__(self) -> str:
        return f"PrefixIndex(blocks={len(self._generation_by_block)}, next_seq={self.next_seq})"

    def apply(self, event: CacheEvent) -> None:
        """Apply an event; ignore one already seen, and mark all entries stale at a gap."""
        if self.next_seq is not None and event.seq < self.next_seq:
            return
        if self.next_seq is not None and event.seq > self.next_seq:
            self.mark_stale()
        self.next_seq = event.seq + 1
        for block in event.evicted:
            self._generation_by_block.pop(block, None)
        for block in event.stored:
            self._generation_by_block[block] = self._generation
            self._generation_by_block.move_to_end(block)
        while len(self._generation_by_block) > self.max_blocks:
            self._generation_by_block.popitem(last=False)

    def mark_stale(self) -> None:
        """Mark all present entries stale."""
        self._generation += 1

    def clear(self) -> None:
        """Drop all entries after a restart of the engine; its sequence numbers restart."""
        self._generation_by_block.clear()
        self.next_seq = None

    def cached_tokens(self, prefix: Sequence[int]) -> float:
        """Return the expected number of leading prompt tokens that the engine has cached.

        A stale block counts for ``STALE_BLOCK_CREDIT`` of its tokens.
        """
        tokens = 0.0
        for block in prefix:
            generation = self._generation_by_block.get(block)
            if generation is None:
                break
            tokens += (
                BLOCK_TOKENS
                if generation == self._generation
                else BLOCK_TOKENS * STALE_BLOCK_CREDIT
            )
        return tokens
