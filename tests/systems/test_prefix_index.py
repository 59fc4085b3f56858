from hypothesis import given
from hypothesis import strategies as st

from croftchute.systems.prefix_index import (
    BLOCK_TOKENS,
    STALE_BLOCK_CREDIT,
    CacheEvent,
    PrefixIndex,
)

BLOCKS = st.integers(min_value=0, max_value=9)
EVENTS = st.lists(
    st.tuples(st.integers(0, 3), st.lists(BLOCKS, max_size=4), st.lists(BLOCKS, max_size=2)),
    max_size=30,
)


class ReferenceIndex:
    """Reference model: marks each entry stale at a gap; no bound and no generations."""

    def __init__(self):
        self.is_fresh_by_block = {}
        self.next_seq = None

    def apply(self, event):
        if self.next_seq is not None and event.seq < self.next_seq:
            return
        if self.next_seq is not None and event.seq > self.next_seq:
            self.is_fresh_by_block = dict.fromkeys(self.is_fresh_by_block, False)
        self.next_seq = event.seq + 1
        for block in event.evicted:
            self.is_fresh_by_block.pop(block, None)
        for block in event.stored:
            self.is_fresh_by_block[block] = True

    def cached_tokens(self, prefix):
        tokens = 0.0
        for block in prefix:
            if block not in self.is_fresh_by_block:
                break
            tokens += BLOCK_TOKENS * (1 if self.is_fresh_by_block[block] else STALE_BLOCK_CREDIT)
        return tokens


@given(EVENTS, st.lists(BLOCKS, max_size=6))
def test_the_index_matches_the_reference_model(steps, prefix):
    index, reference = PrefixIndex(), ReferenceIndex()
    seq = 5
    for step, stored, evicted in steps:
        seq += step - 1
        event = CacheEvent(seq=max(0, seq), stored=tuple(stored), evicted=tuple(evicted))
        index.apply(event)
        reference.apply(event)
        assert index.cached_tokens(prefix) == reference.cached_tokens(prefix)


def test_the_index_is_bounded():
    index = PrefixIndex(max_blocks=10)
    index.apply(CacheEvent(seq=1, stored=tuple(range(50))))
    assert index.cached_tokens([49]) == BLOCK_TOKENS
    assert index.cached_tokens([0]) == 0
