"""When requests that crash workers are refused, which crashes are explained, and what expires."""

import random

import pytest

from croftchute.systems.crash_records import (
    BASE_REFUSAL_S,
    CRASHES_TO_REFUSE,
    FIRST_TRIAL_S,
    MAX_CRASHES_PER_RECORD,
    MAX_RECORDS,
    MAX_REFUSAL_S,
    ONE_EVENT_S,
    RECORD_TTL_S,
    CrashRecords,
)
from croftchute.tables.crashes import CrashNotice


def record_crashes(records, digest, *lives, at=0.0):
    """Record crashes of some workers under a request."""
    return records.merge([CrashNotice(digest=digest, life=life, age_s=0.0) for life in lives], at)


def test_request_is_refused_after_three_crashes():
    records = CrashRecords()
    assert record_crashes(records, "bad", "w1") == record_crashes(records, "bad", "w2") == []
    assert records.refusal_left_s("bad", 1.0) == 0.0
    assert record_crashes(records, "bad", "w3", at=5.0) == ["bad"]
    assert records.refusal_left_s("bad", 5.0) == BASE_REFUSAL_S
    assert records.refusal_left_s("other", 5.0) == 0.0


def test_crash_reported_by_several_boxes_counts_once():
    records = CrashRecords()
    for at in range(5):
        record_crashes(records, "bad", "w1", at=float(at))
    assert records.crash_count("bad") == 1
    assert records.by_digest["bad"].ended_at_by_life == {"w1": 0.0}


def test_suspected_crash_counts_until_it_is_resolved():
    """A fourth worker must not crash in the milliseconds until the third crash is confirmed."""
    records = CrashRecords()
    record_crashes(records, "bad", "w1", "w2")
    records.note_suspected_crash("bad", "w3", 1.0)
    assert records.refusal_left_s("bad", 1.0) > 0.0
    assert records.resolve_suspicion("w3", ended_at=None) == []
    assert records.refusal_left_s("bad", 1.0) == 0.0
    records.note_suspected_crash("bad", "w4", 2.0)
    assert records.resolve_suspicion("w4", ended_at=2.0) == ["bad"]
    assert records.refusal_left_s("bad", 2.0) == BASE_REFUSAL_S


def test_worker_that_did_not_crash_leaves_no_record():
    records = CrashRecords()
    records.note_suspected_crash("sound", "w1", 1.0)
    records.resolve_suspicion("w1", ended_at=None)
    assert records.by_digest == {}


def test_bystanders_of_a_request_with_more_crashes_are_not_refused():
    """All crashes of the bystander are also on the record of the request that caused them."""
    records = CrashRecords()
    record_crashes(records, "bad", "w1", "w2", "w3", "w4")
    record_crashes(records, "beside", "w2", "w3", "w4")
    assert records.refusal_left_s("bad", 0.0) > 0.0
    assert records.refusal_left_s("beside", 0.0) == 0.0
    record_crashes(records, "beside", "x1")
    assert records.refusal_left_s("beside", 0.0) > 0.0


def test_two_requests_with_the_same_crashes_are_both_refused():
    records = CrashRecords()
    for digest in ("one", "other"):
        record_crashes(records, digest, "w1", "w2", "w3")
    assert (
        records.refusal_left_s("one", 0.0) == records.refusal_left_s("other", 0.0) == BASE_REFUSAL_S
    )


@pytest.mark.parametrize("seed", range(10))
def test_ten_crashing_requests_are_all_refused_after_one_more_crash_each(seed):
    rng = random.Random(seed)
    records = CrashRecords()
    lives_by_digest = {f"bad{n}": {f"w{n}-{k}" for k in range(3)} for n in range(10)}
    workers = [life for lives in lives_by_digest.values() for life in lives]
    for digest, lives in lives_by_digest.items():
        record_crashes(records, digest, *lives, *rng.sample(workers, 2))
    for digest in lives_by_digest:
        if not records.refusal_left_s(digest, 0.0):
            record_crashes(records, digest, f"more-{digest}")
        assert records.refusal_left_s(digest, 0.0) > 0.0


def test_success_clears_earlier_crashes():
    """A call repeated every second meets many crashes in an hour without causing any."""
    records = CrashRecords()
    record_crashes(records, "poll", "w1", "w2", at=1.0)
    assert records.note_success("poll", 2.0)
    record_crashes(records, "poll", "w3", at=3.0)
    assert records.refusal_left_s("poll", 3.0) == 0.0
    record_crashes(records, "poll", "w4", "w5", at=4.0)
    assert records.refusal_left_s("poll", 4.0) > 0.0


def test_success_at_another_box_clears_crashes_here():
    here, there = CrashRecords(), CrashRecords()
    for records in (here, there):
        record_crashes(records, "poll", "w1", "w2", "w3", at=1.0)
    there.note_success("poll", 5.0)
    here.merge(there.notices("poll", 6.0), 6.0)
    assert here.refusal_left_s("poll", 6.0) == 0.0


def test_forwarded_success_does_not_get_newer_with_each_hop():
    boxes = [CrashRecords() for _ in range(6)]
    for records in boxes:
        record_crashes(records, "poll", "w1", at=1.0)
    boxes[0].note_success("poll", 5.0)
    now = 5.0
    for _ in range(50):
        for sender in boxes:
            now += 0.05
            sent_digests = sender.notices("poll", now - 0.05)
            for receiver in boxes:
                receiver.merge(sent_digests, now)
    assert max(records.by_digest["poll"].succeeded_at for records in boxes) <= 7.0


def test_refusal_expires_and_one_more_crash_doubles_it():
    records = CrashRecords()
    record_crashes(records, "bad", "w1", "w2", "w3")
    late = BASE_REFUSAL_S + 1.0
    records.sweep(late)
    assert records.refusal_left_s("bad", late) == 0.0
    assert record_crashes(records, "bad", "w4", at=late) == ["bad"]
    assert records.refusal_left_s("bad", late) == 2.0 * BASE_REFUSAL_S


def test_old_records_are_dropped():
    records = CrashRecords()
    record_crashes(records, "once", "w1")
    record_crashes(records, "bad", "w1", "w2", "w3")
    records.sweep(RECORD_TTL_S + 1.0)
    assert list(records.by_digest) == ["bad"]
    records.sweep(BASE_REFUSAL_S + RECORD_TTL_S + 1.0)
    assert not records.by_digest and not records.has_refusals


def test_crashes_older_than_the_retention_are_ignored():
    records = CrashRecords()
    age_s = MAX_REFUSAL_S + RECORD_TTL_S + 1.0
    records.merge([CrashNotice(digest="bad", life="w1", age_s=age_s)], 0.0)
    assert not records.by_digest


def test_new_bodies_neither_exceed_the_bound_nor_evict_a_refusal():
    records = CrashRecords()
    record_crashes(records, "bad", "w1", "w2", "w3")
    for number in range(3 * MAX_RECORDS):
        record_crashes(records, f"new{number}", f"x{number}", at=1.0 + number / 1000.0)
    assert len(records.by_digest) == MAX_RECORDS
    assert records.refusal_left_s("bad", 5.0) > 0.0
    assert f"new{3 * MAX_RECORDS - 1}" in records.by_digest


def test_crashes_per_request_are_bounded_to_the_latest():
    records = CrashRecords()
    for number in range(3 * MAX_CRASHES_PER_RECORD):
        record_crashes(records, "bad", f"w{number}", at=float(number))
    lives = records.by_digest["bad"].ended_at_by_life
    assert len(lives) == MAX_CRASHES_PER_RECORD and f"w{3 * MAX_CRASHES_PER_RECORD - 1}" in lives


def test_all_records_are_sent_in_turn():
    records = CrashRecords()
    for number in range(20):
        record_crashes(records, f"r{number}", "w1", "w2")
    sent_digests = {notice.digest for _ in range(10) for notice in records.next_notices(1.0, 6)}
    assert len(sent_digests) == 20
    assert all(len(records.next_notices(1.0, 6)) <= 6 for _ in range(20))


def test_refused_requests_are_sent_with_each_notice():
    records = CrashRecords()
    for number in range(50):
        record_crashes(records, f"r{number}", "w1")
    record_crashes(records, "bad", "w1", "w2", "w3")
    for _ in range(5):
        assert "bad" in {notice.digest for notice in records.next_notices(1.0, 6)}


@pytest.mark.parametrize("seed", range(20))
def test_refusals_do_not_depend_on_the_order_of_notices(seed):
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


def test_a_record_too_long_for_a_notice_does_not_hold_up_the_others():
    """Guards against a rotation that stands still at a record that does not fit in."""
    records = CrashRecords()
    record_crashes(records, "bad", *(f"w{n}" for n in range(5)))
    record_crashes(records, "also", *(f"v{n}" for n in range(5)))
    record_crashes(records, "behind", "u1")
    told = {notice.digest for _ in range(6) for notice in records.next_notices(1.0, 6)}
    assert told == {"bad", "also", "behind"}


def test_a_request_whose_workers_were_lost_in_one_moment_is_tried_some_seconds_later():
    """Guards against refusing a request of many callers for long after a power cut."""
    records = CrashRecords()
    record_crashes(records, "common", "w1", "w2", "w3", at=10.0)
    assert not records.may_try("common", 10.0 + FIRST_TRIAL_S / 2)
    assert records.trial_left_s("common", 10.0 + FIRST_TRIAL_S / 2) == FIRST_TRIAL_S / 2
    assert records.may_try("common", 10.0 + FIRST_TRIAL_S)
    assert records.refusal_left_s("common", 10.0 + FIRST_TRIAL_S) > 0.0
    records.note_trial("common", 20.0)
    assert not records.may_try("common", 20.0 + FIRST_TRIAL_S / 2)
    assert records.may_try("common", 20.0 + FIRST_TRIAL_S)


def test_a_trial_that_crashes_a_worker_ends_the_trials():
    records = CrashRecords()
    record_crashes(records, "bad", "w1", "w2", "w3", at=10.0)
    records.note_trial("bad", 15.0)
    record_crashes(records, "bad", "w4", at=15.1)
    assert not any(records.may_try("bad", 15.1 + seconds) for seconds in range(1200))
    assert records.refusal_left_s("bad", 15.1) == 2 * BASE_REFUSAL_S


def test_crashes_that_are_spread_allow_no_trial():
    records = CrashRecords()
    record_crashes(records, "bad", "w1", "w2", at=10.0)
    record_crashes(records, "bad", "w3", at=10.0 + ONE_EVENT_S)
    assert not any(records.may_try("bad", 10.0 + seconds) for seconds in range(600))


def test_a_suspected_crash_allows_no_trial_until_it_is_resolved():
    records = CrashRecords()
    record_crashes(records, "common", "w1", "w2", "w3", at=10.0)
    records.note_suspected_crash("common", "w4", 16.0)
    assert not records.may_try("common", 16.0)
    records.resolve_suspicion("w4", ended_at=None)
    assert records.may_try("common", 16.0)


def test_a_success_frees_a_request_at_all_boxes():
    here, there = CrashRecords(), CrashRecords()
    for records in (here, there):
        record_crashes(records, "common", "w1", "w2", "w3", at=10.0)
    here.note_success("common", 16.0)
    change = there.merge_and_compare(here.notices("common", 16.0), 16.0)
    assert (change.refused, change.freed) == ([], ["common"])
    assert there.refusal_left_s("common", 16.0) == 0.0
