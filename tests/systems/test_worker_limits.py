"""The limits that workers report: new, changed, omitted, ended and dropped."""

import pytest

from croftchute.systems.worker_limits import (
    ENDED_LIMIT_TTL_S,
    LIMIT_END_DELAY_S,
    MAX_LIMITED_WORKERS,
    UNLISTED_TTL_S,
    WorkerLimits,
)

NOW = 100.0


def limits_with_report(per_s=2.0, now=NOW):
    limits = WorkerLimits()
    assert limits.note_limit("w1", per_s, now)
    return limits


def test_limit_holds_until_an_answer_omits_it():
    limits = limits_with_report()
    assert limits.limit_of("w1", NOW + 300.0) == 2.0
    assert limits.limit_of("w2", NOW) is None


def test_limit_is_new_once_and_again_when_it_changes():
    limits = limits_with_report(2.0)
    assert not limits.note_limit("w1", 2.0, NOW + 1.0)
    assert limits.note_limit("w1", 0.5, NOW + 2.0)
    assert limits.limit_of("w1", NOW + 2.0) == 0.5


def test_single_answer_without_the_limit_does_not_end_it():
    limits = limits_with_report()
    for n in range(20):
        limits.note_no_limit("w1", NOW + n + 0.5)
        limits.note_limit("w1", 2.0, NOW + n + 1.0)
        assert limits.limit_of("w1", NOW + n + 1.0) == 2.0


def test_limit_ends_after_a_delay_once_an_answer_omits_it():
    limits = limits_with_report()
    limits.note_no_limit("w1", NOW + 0.1)
    assert limits.limit_of("w1", NOW + LIMIT_END_DELAY_S - 0.1) == 2.0
    assert limits.limit_of("w1", NOW + LIMIT_END_DELAY_S) is None
    late = limits_with_report()
    late.note_no_limit("w1", NOW + 60.0)
    assert late.limit_of("w1", NOW + 60.0) is None


def test_older_report_of_another_box_is_ignored():
    limits = limits_with_report(0.5)
    assert not limits.note_limit("w1", 12.0, NOW + 1.0, known_for_s=3.0)
    limits.note_no_limit("w1", NOW + 1.0, known_for_s=3.0)
    assert limits.limit_of("w1", NOW + 60.0) == 0.5


def test_report_circulating_among_boxes_does_not_get_newer():
    limits = limits_with_report()
    limits.note_no_limit("w1", NOW + 0.005)
    for n in range(1, 8):
        now = NOW + 0.5 * n
        assert not limits.note_limit("w1", 2.0, now, known_for_s=0.5 * n - 0.006 * n)
    assert limits.limit_of("w1", NOW + LIMIT_END_DELAY_S) is None


def test_newer_of_two_different_reports_wins():
    limits = limits_with_report(10.0)
    assert limits.note_limit("w1", 2.0, NOW + 0.5, known_for_s=0.49)
    assert limits.limit_of("w1", NOW + 0.5) == 2.0


def test_ended_limit_is_not_restored_by_an_older_report():
    limits = limits_with_report()
    limits.note_no_limit("w1", NOW + 1.0)
    over_at = NOW + LIMIT_END_DELAY_S
    assert limits.sweep(over_at, listed={"w1"}) == ["w1"]
    assert limits.sweep(over_at, listed={"w1"}) == []
    assert not limits.note_limit("w1", 2.0, over_at + 1.0, known_for_s=LIMIT_END_DELAY_S + 1.0)
    assert limits.limit_of("w1", over_at + 1.0) is None
    assert limits.note_limit("w1", 2.0, over_at + 2.0)
    assert limits.limit_of("w1", over_at + 2.0) == 2.0


@pytest.mark.parametrize("kept_s", [LIMIT_END_DELAY_S + ENDED_LIMIT_TTL_S + 1.0])
def test_limit_that_ended_long_ago_is_dropped(kept_s):
    limits = limits_with_report()
    limits.note_no_limit("w1", NOW + 1.0)
    limits.sweep(NOW + kept_s, listed={"w1"})
    assert not limits.by_id


def test_limit_of_an_unlisted_worker_is_kept_for_a_while():
    limits = limits_with_report()
    limits.sweep(NOW + UNLISTED_TTL_S - 1.0, listed=())
    assert limits.by_id
    limits.sweep(NOW + UNLISTED_TTL_S + 1.0, listed=())
    assert not limits.by_id


def test_limits_are_bounded():
    limits = WorkerLimits()
    for n in range(MAX_LIMITED_WORKERS + 5):
        limits.note_limit(f"w{n}", 1.0, NOW + n)
    assert len(limits.by_id) == MAX_LIMITED_WORKERS
    assert "w0" not in limits.by_id
