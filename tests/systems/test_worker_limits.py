"""What is known of the limits that workers name: named, changed, left out, over, forgotten."""

import pytest

from croftchute.systems.worker_limits import (
    ENDED_LIMIT_TTL_S,
    LIMIT_END_DELAY_S,
    MAX_LIMITED_WORKERS,
    UNLISTED_TTL_S,
    WorkerLimits,
)

NOW = 100.0


def named(per_s=2.0, now=NOW):
    limits = WorkerLimits()
    assert limits.note_limit("w1", per_s, now)
    return limits


def test_a_limit_holds_while_no_answer_leaves_it_out_however_long_ago_it_was_named():
    limits = named()
    assert limits.limit_of("w1", NOW + 300.0) == 2.0
    assert limits.limit_of("w2", NOW) is None


def test_it_is_news_once_and_again_when_it_changes():
    limits = named(2.0)
    assert not limits.note_limit("w1", 2.0, NOW + 1.0)
    assert limits.note_limit("w1", 0.5, NOW + 2.0)
    assert limits.limit_of("w1", NOW + 2.0) == 0.5


def test_one_answer_that_leaves_it_out_ends_nothing_where_the_next_names_it():
    limits = named()
    for n in range(20):
        limits.note_no_limit("w1", NOW + n + 0.5)
        limits.note_limit("w1", 2.0, NOW + n + 1.0)
        assert limits.limit_of("w1", NOW + n + 1.0) == 2.0


def test_it_is_over_some_seconds_after_it_was_named_last_once_an_answer_leaves_it_out():
    limits = named()
    limits.note_no_limit("w1", NOW + 0.1)
    assert limits.limit_of("w1", NOW + LIMIT_END_DELAY_S - 0.1) == 2.0
    assert limits.limit_of("w1", NOW + LIMIT_END_DELAY_S) is None
    late = named()
    late.note_no_limit("w1", NOW + 60.0)
    assert late.limit_of("w1", NOW + 60.0) is None


def test_an_older_account_of_another_box_changes_nothing():
    limits = named(0.5)
    assert not limits.note_limit("w1", 12.0, NOW + 1.0, known_for_s=3.0)
    limits.note_no_limit("w1", NOW + 1.0, known_for_s=3.0)
    assert limits.limit_of("w1", NOW + 60.0) == 0.5


def test_a_naming_that_goes_round_among_boxes_does_not_get_newer():
    limits = named()
    limits.note_no_limit("w1", NOW + 0.005)
    for n in range(1, 8):
        now = NOW + 0.5 * n
        assert not limits.note_limit("w1", 2.0, now, known_for_s=0.5 * n - 0.006 * n)
    assert limits.limit_of("w1", NOW + LIMIT_END_DELAY_S) is None


def test_of_two_namings_in_one_moment_that_differ_the_newer_holds():
    limits = named(10.0)
    assert limits.note_limit("w1", 2.0, NOW + 0.5, known_for_s=0.49)
    assert limits.limit_of("w1", NOW + 0.5) == 2.0


def test_a_limit_that_is_over_does_not_come_back_by_an_older_account():
    limits = named()
    limits.note_no_limit("w1", NOW + 1.0)
    over_at = NOW + LIMIT_END_DELAY_S
    assert limits.sweep(over_at, listed={"w1"}) == ["w1"]
    assert limits.sweep(over_at, listed={"w1"}) == []
    assert not limits.note_limit("w1", 2.0, over_at + 1.0, known_for_s=LIMIT_END_DELAY_S + 1.0)
    assert limits.limit_of("w1", over_at + 1.0) is None
    assert limits.note_limit("w1", 2.0, over_at + 2.0)
    assert limits.limit_of("w1", over_at + 2.0) == 2.0


@pytest.mark.parametrize("kept_s", [LIMIT_END_DELAY_S + ENDED_LIMIT_TTL_S + 1.0])
def test_what_is_long_over_is_forgotten(kept_s):
    limits = named()
    limits.note_no_limit("w1", NOW + 1.0)
    limits.sweep(NOW + kept_s, listed={"w1"})
    assert not limits.by_id


def test_the_limit_of_a_worker_that_is_not_listed_is_kept_for_a_while():
    limits = named()
    limits.sweep(NOW + UNLISTED_TTL_S - 1.0, listed=())
    assert limits.by_id
    limits.sweep(NOW + UNLISTED_TTL_S + 1.0, listed=())
    assert not limits.by_id


def test_no_more_than_so_many_are_kept():
    limits = WorkerLimits()
    for n in range(MAX_LIMITED_WORKERS + 5):
        limits.note_limit(f"w{n}", 1.0, NOW + n)
    assert len(limits.by_id) == MAX_LIMITED_WORKERS
    assert "w0" not in limits.by_id
