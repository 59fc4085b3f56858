"""Which prompt prefixes an engine probably holds, from its late and gappy cache events.

An entry is sure while the events have come without a gap, doubtful after one. Doubt costs O(1):
an entry written before the last gap is doubtful until an event names it again.
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
    """One event of an engine's prefix cache; ``seq`` rises by one for each event."""

    seq: int
    stored: tuple[int, ...] = ()
    evicted: tuple[int, ...] = ()


class PrefixIndex:
    """The blocks of one engine's prefix cache, bounded, least recently named out first."""

    def __init__(self, *, max_blocks: int = MAX_BLOCKS) -> None:
        self.max_blocks = max_blocks
        self.next_seq: int | None = None
        self._generation = 0
        self._generation_by_block: OrderedDict[int, int] = OrderedDict()

    def __repr__(self) -> str:
        return f"PrefixIndex(blocks={len(self._generation_by_block)}, next_seq={self.next_seq})"

    def apply(self, event: CacheEvent) -> None:
        """Take in an event; one that came before is ignored, a gap makes all entries doubtful."""
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
        """Make all present entries doubtful."""
        self._generation += 1

    def clear(self) -> None:
        """The engine restarted: its cache is empty and its sequence begins anew."""
        self._generation_by_block.clear()
        self.next_seq = None

    def cached_tokens(self, prefix: Sequence[int]) -> float:
        """Expected number of a prompt's leading tokens that the engine holds."""
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
