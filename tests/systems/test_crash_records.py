"""Requests that end workers: when they are refused, what explains others' losses, what lapses."""

import random

import pytest

from croftchute.systems.crash_records import (
    BASE_REFUSAL_S,
    CRASHES_TO_REFUSE,
    MAX_CRASHES_PER_RECORD,
    MAX_RECORDS,
    MAX_REFUSAL_S,
    RECORD_TTL_S,
    CrashRecords,
)
from croftchute.tables.crashes import CrashNotice


def ended(records, digest, *lives, at=0.0):
    """Take in the ends of some workers under a request."""
    return records.merge([CrashNotice(digest=digest, life=life, age_s=0.0) for life in lives], at)


def test_a_request_is_refused_once_three_workers_have_ended_under_it():
    records = CrashRecords()
    assert ended(records, "bad", "w1") == ended(records, "bad", "w2") == []
    assert records.refusal_left_s("bad", 1.0) == 0.0
    assert ended(records, "bad", "w3", at=5.0) == ["bad"]
    assert records.refusal_left_s("bad", 5.0) == BASE_REFUSAL_S
    assert records.refusal_left_s("other", 5.0) == 0.0


def test_one_worker_that_several_boxes_tell_of_counts_once():
    records = CrashRecords()
    for at in range(5):
        ended(records, "bad", "w1", at=float(at))
    assert records.crash_count("bad") == 1
    assert records.by_digest["bad"].ended_at_by_life == {"w1": 0.0}


def test_a_worker_that_broke_off_counts_while_it_is_not_known_whether_it_ended():
    """The third is not to be followed by a fourth within the milliseconds until that is known."""
    records = CrashRecords()
    ended(records, "bad", "w1", "w2")
    records.note_suspected_crash("bad", "w3", 1.0)
    assert records.refusal_left_s("bad", 1.0) > 0.0
    assert records.resolve_suspicion("w3", ended_at=None) == []
    assert records.refusal_left_s("bad", 1.0) == 0.0
    records.note_suspected_crash("bad", "w4", 2.0)
    assert records.resolve_suspicion("w4", ended_at=2.0) == ["bad"]
    assert records.refusal_left_s("bad", 2.0) == BASE_REFUSAL_S


def test_a_worker_that_lives_leaves_no_record():
    records = CrashRecords()
    records.note_suspected_crash("sound", "w1", 1.0)
    records.resolve_suspicion("w1", ended_at=None)
    assert records.by_digest == {}


def test_bystanders_of_a_request_with_more_ends_are_not_refused():
    """All that one lost stands on the record of the request that was there each time."""
    records = CrashRecords()
    ended(records, "bad", "w1", "w2", "w3", "w4")
    ended(records, "beside", "w2", "w3", "w4")
    assert records.refusal_left_s("bad", 0.0) > 0.0
    assert records.refusal_left_s("beside", 0.0) == 0.0
    ended(records, "beside", "x1")
    assert records.refusal_left_s("beside", 0.0) > 0.0


def test_two_requests_with_the_same_ends_are_both_refused():
    records = CrashRecords()
    for digest in ("one", "other"):
        ended(records, digest, "w1", "w2", "w3")
    assert (
        records.refusal_left_s("one", 0.0) == records.refusal_left_s("other", 0.0) == BASE_REFUSAL_S
    )


@pytest.mark.parametrize("seed", range(10))
def test_ten_such_requests_side_by_side_are_all_refused_with_one_more_end_each(seed):
    rng = random.Random(seed)
    records = CrashRecords()
    lives_by_digest = {f"bad{n}": {f"w{n}-{k}" for k in range(3)} for n in range(10)}
    workers = [life for lives in lives_by_digest.values() for life in lives]
    for digest, lives in lives_by_digest.items():
        ended(records, digest, *lives, *rng.sample(workers, 2))
    for digest in lives_by_digest:
        if not records.refusal_left_s(digest, 0.0):
            ended(records, digest, f"more-{digest}")
        assert records.refusal_left_s(digest, 0.0) > 0.0


def test_a_good_end_clears_what_came_before_it():
    """A call that is made each second meets many ends in an hour, and ends nothing."""
    records = CrashRecords()
    ended(records, "poll", "w1", "w2", at=1.0)
    assert records.note_success("poll", 2.0)
    ended(records, "poll", "w3", at=3.0)
    assert records.refusal_left_s("poll", 3.0) == 0.0
    ended(records, "poll", "w4", "w5", at=4.0)
    assert records.refusal_left_s("poll", 4.0) > 0.0


def test_a_good_end_elsewhere_clears_it_here():
    here, there = CrashRecords(), CrashRecords()
    for records in (here, there):
        ended(records, "poll", "w1", "w2", "w3", at=1.0)
    there.note_success("poll", 5.0)
    here.merge(there.notices("poll", 6.0), 6.0)
    assert here.refusal_left_s("poll", 6.0) == 0.0


def test_a_good_end_that_is_told_on_and_on_does_not_come_later_each_time():
    boxes = [CrashRecords() for _ in range(6)]
    for records in boxes:
        ended(records, "poll", "w1", at=1.0)
    boxes[0].note_success("poll", 5.0)
    now = 5.0
    for _ in range(50):
        for teller in boxes:
            now += 0.05
            told = teller.notices("poll", now - 0.05)
            for hearer in boxes:
                hearer.merge(told, now)
    assert max(records.by_digest["poll"].succeeded_at for records in boxes) <= 7.0


def test_a_refusal_lapses_and_one_more_end_renews_it_for_longer():
    records = CrashRecords()
    ended(records, "bad", "w1", "w2", "w3")
    late = BASE_REFUSAL_S + 1.0
    records.sweep(late)
    assert records.refusal_left_s("bad", late) == 0.0
    assert ended(records, "bad", "w4", at=late) == ["bad"]
    assert records.refusal_left_s("bad", late) == 2.0 * BASE_REFUSAL_S


def test_what_is_old_is_forgotten():
    records = CrashRecords()
    ended(records, "once", "w1")
    ended(records, "bad", "w1", "w2", "w3")
    records.sweep(RECORD_TTL_S + 1.0)
    assert list(records.by_digest) == ["bad"]
    records.sweep(BASE_REFUSAL_S + RECORD_TTL_S + 1.0)
    assert not records.by_digest and not records.has_refusals


def test_ends_that_are_older_than_anything_kept_are_no_news():
    records = CrashRecords()
    age_s = MAX_REFUSAL_S + RECORD_TTL_S + 1.0
    records.merge([CrashNotice(digest="bad", life="w1", age_s=age_s)], 0.0)
    assert not records.by_digest


def test_callers_who_send_ever_new_bodies_cannot_fill_the_memory_or_push_a_refusal_out():
    records = CrashRecords()
    ended(records, "bad", "w1", "w2", "w3")
    for number in range(3 * MAX_RECORDS):
        ended(records, f"new{number}", f"x{number}", at=1.0 + number / 1000.0)
    assert len(records.by_digest) == MAX_RECORDS
    assert records.refusal_left_s("bad", 5.0) > 0.0
    assert f"new{3 * MAX_RECORDS - 1}" in records.by_digest


def test_ends_of_one_request_are_bounded_and_the_latest_stay():
    records = CrashRecords()
    for number in range(3 * MAX_CRASHES_PER_RECORD):
        ended(records, "bad", f"w{number}", at=float(number))
    lives = records.by_digest["bad"].ended_at_by_life
    assert len(lives) == MAX_CRASHES_PER_RECORD and f"w{3 * MAX_CRASHES_PER_RECORD - 1}" in lives


def test_all_that_is_known_is_told_in_turn():
    records = CrashRecords()
    for number in range(20):
        ended(records, f"r{number}", "w1", "w2")
    told = {notice.digest for _ in range(10) for notice in records.next_notices(1.0, 6)}
    assert len(told) == 20
    assert all(len(records.next_notices(1.0, 6)) <= 6 for _ in range(20))


def test_refused_requests_are_told_with_each_notice():
    records = CrashRecords()
    for number in range(50):
        ended(records, f"r{number}", "w1")
    ended(records, "bad", "w1", "w2", "w3")
    for _ in range(5):
        assert "bad" in {notice.digest for notice in records.next_notices(1.0, 6)}


@pytest.mark.parametrize("seed", range(20))
def test_boxes_that_hear_the_same_in_any_order_refuse_the_same(seed):
    rng = random.Random(seed)
    notices = [
        CrashNotice(digest=f"r{rng.randrange(6)}", life=f"w{rng.randrange(8)}", age_s=0.0)
        for _ in range(60)
    ]
    boxes = []
    for _ in range(3):
        rng.shuffle(notices)
        records = CrashRecords()
        for start in range(0, len(notices), 7):
            records.merge(notices[start : start + 7], 1.0)
        boxes.append(
            {digest for digest in records.by_digest if records.refusal_left_s(digest, 1.0)}
        )
    assert boxes[0] == boxes[1] == boxes[2]
    assert CRASHES_TO_REFUSE == 3
