"""Bytes held for slow callers: their total is bounded, and only the largest answer is ended."""

import math

import pytest
from hypothesis import given
from hypothesis import strategies as st

from croftchute.systems.held_bytes import MAX_STREAM_BYTES, HeldBounds, HeldBytes

BOX = 1000
MAX_PART = 400

parts = st.tuples(st.integers(0, 9), st.integers(1, MAX_PART))
"""An answer and the size of a part of it; no part is larger than the box's bound."""

steps = st.lists(st.one_of(parts, st.tuples(st.integers(0, 9), st.just(0))), max_size=60)
"""Parts that arrive; a part of size 0 stands for a caller that leaves."""


def make_held_bytes(box=BOX, stream=MAX_STREAM_BYTES):
    return HeldBytes(bounds=HeldBounds(box_bytes=box, stream_bytes=stream))


def sizes_by_stream(held):
    return {stream: held.size(stream) for stream in range(10)}


@given(steps)
def test_the_total_exceeds_the_bound_by_at_most_one_part_until_an_answer_is_ended(given_steps):
    """Bytes held for callers used to grow until the box ran out of memory."""
    held = make_held_bytes()
    for now, (stream, part) in enumerate(given_steps):
        if part == 0:
            held.close(stream)
        else:
            held.open(stream, now)
            held.set_size(stream, held.size(stream) + part, now)
            assert held.total <= BOX + part
            held.end_largest(now)
        assert held.total == sum(sizes_by_stream(held).values()) <= BOX
        assert held.end_largest(now) is None


@given(steps)
def test_only_the_largest_answer_is_ended(given_steps):
    """The caller that came last used to be cut off in place of the one that does not read."""
    held = make_held_bytes()
    for now, (stream, part) in enumerate(given_steps):
        if part == 0:
            continue
        held.open(stream, now)
        held.set_size(stream, held.size(stream) + part, now)
        before = sizes_by_stream(held)
        total = held.total
        ended = held.end_largest(now)
        if ended is None:
            assert total <= BOX and sizes_by_stream(held) == before
            continue
        assert ended.held_bytes == before[ended.stream] == max(before.values())
        assert (ended.held_in_all, ended.box_bound) == (total, BOX)
        assert sizes_by_stream(held) == before | {ended.stream: 0}


@given(st.integers(1, 500), st.integers(1, 10**9))
def test_answers_at_their_bound_never_exceed_the_box_bound(streams, box):
    """Answers within their own bounds used to be ended, since these bounds did not shrink as more
    answers opened.
    """
    held = make_held_bytes(box=box)
    for stream in range(streams):
        held.open(stream, 0.0)
    for stream in range(streams):
        held.set_size(stream, held.stream_bound, 0.0)
    assert not held.exceeds_bound
    assert held.stream_bound <= MAX_STREAM_BYTES


def test_closing_an_answer_frees_its_bytes_at_once():
    """Bytes of callers that had left used to count on, and another answer was ended."""
    held = make_held_bytes()
    for stream in (1, 2):
        held.open(stream, 0.0)
        held.set_size(stream, 500, 0.0)
    held.close(1)
    assert held.total == 500 and held.open_streams == 1
    held.set_size(2, 1000, 1.0)
    assert held.end_largest(1.0) is None
    held.close(1)
    assert held.total == 1000


def test_the_age_counts_from_the_first_held_byte():
    """A long stream that was read well used to look like one left unread for as long."""
    held = make_held_bytes()
    held.open(1, 0.0)
    held.set_size(1, 10, 5.0)
    held.set_size(1, 0, 6.0)
    held.set_size(1, 900, 20.0)
    held.set_size(1, 1001, 23.0)
    ended = held.end_largest(23.0)
    assert ended is not None and ended.age_s == 3.0


def test_lowered_bounds_end_as_many_answers_as_needed():
    """After a reload with less memory, the old bytes used to stay until the next part arrived."""
    held = make_held_bytes()
    for stream in range(4):
        held.open(stream, 0.0)
        held.set_size(stream, 200 + stream, 0.0)
    held.bounds = HeldBounds(box_bytes=450)
    ended = []
    while (one := held.end_largest(1.0)) is not None:
        ended.append(one.stream)
    assert ended == [3, 2]


@pytest.mark.parametrize("memory_mb", [0.0, -1.0, math.nan, math.inf, -math.inf])
def test_an_unusable_memory_size_gives_no_bounds(memory_mb):
    """A missing or invalid memory size used to bound all answers to nothing."""
    assert HeldBounds.from_memory_mb(memory_mb) is None


def test_without_bounds_no_answer_is_ended_and_invalid_sizes_are_ignored():
    """A box without a configured memory size used to end answers."""
    held = HeldBytes(bounds=None)
    held.open(1, 0.0)
    held.set_size(1, 10**12, 0.0)
    assert held.end_largest(0.0) is None
    held.set_size(1, -5, 0.0)
    held.set_size(2, 5, 0.0)
    assert held.total == 10**12
