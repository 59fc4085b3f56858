"""Which parts of prompts are refused as they crash workers, and which are not."""

from dataclasses import replace

import pytest

from croftchute.systems.crash_records import MAX_REFUSAL_S, RECORD_TTL_S
from croftchute.systems.part_crashes import (
    CRASHES_TO_REFUSE,
    FIRST_TRIAL_S,
    MAX_CRASHES_PER_PART,
    MAX_PARTS_PER_PROMPT,
    MAX_RECORDS,
    MAX_TRUSTED,
    TRUSTED_SPAN_S,
    PartCrashes,
)
from croftchute.tables.crashes import PartNotice, part_key
from croftchute.tables.routing import RequestFacts


def crash(records, parts, number, at=None, *, request=None):
    """One crash under one request, noticed and confirmed at once."""
    at = float(number) if at is None else at
    life = f"w{number}"
    request = number if request is None else request
    records.note_suspected_crash(parts, life, request=request, now=at)
    return records.resolve_suspicion(life, ended_at=at)


def crashes(records, parts, numbers):
    for number in numbers:
        crash(records, parts, number)


def refused(records, *parts):
    return records.refusal_of(parts) is not None


def test_a_part_is_refused_after_crashes_under_different_requests():
    records = PartCrashes()
    crashes(records, ("bad",), range(CRASHES_TO_REFUSE - 1))
    assert not refused(records, "bad")
    crash(records, ("bad",), 9)
    assert refused(records, "bad") and not refused(records, "other")


def test_a_request_that_crashes_workers_by_itself_does_not_have_its_parts_refused():
    records = PartCrashes()
    for number in range(12):
        crash(records, ("sound",), number, request=7)
    assert not refused(records, "sound")


def test_a_part_that_sound_requests_have_is_cleared_by_them():
    records = PartCrashes()
    for number in range(20):
        crash(records, ("first", "bad"), number)
        records.note_written(("first", "other"), number + 0.1, number + 0.5)
    assert refused(records, "first", "bad") and refused(records, "bad")
    assert not refused(records, "first", "other")


def test_a_box_that_learns_better_times_of_crashes_refuses_what_others_refuse():
    """Guards against a box that sends requests to workers which all others have stopped."""
    seen = PartCrashes()
    for number in range(CRASHES_TO_REFUSE):
        crash(seen, ("bad",), number, at=10.0 + 0.1 * number)
    assert refused(seen, "bad")
    notices = seen.notices("bad", 11.0)
    learns = PartCrashes()
    learns.merge([replace(notice, age_s=0.7) for notice in notices], 11.0)
    assert not refused(learns, "bad")
    learns.merge(notices, 11.0)
    assert refused(learns, "bad")


@pytest.mark.parametrize("lag_s", [0.0, 0.0001, 0.00037, 0.0008, 17.12345])
@pytest.mark.parametrize("start", [10.0, 10.0001, 10.00049, 10.00051, 10.0009])
@pytest.mark.parametrize("span_s", [0.0489, 0.0495, 0.05, 0.0502, 0.0505, 0.0509, 0.052])
def test_boxes_agree_on_a_part_whose_crashes_barely_spread(start, span_s, lag_s):
    """Guards against a box that never refuses what others do, as it knows rounded times."""
    seen, learns = PartCrashes(), PartCrashes()
    for number in range(CRASHES_TO_REFUSE):
        at = start + span_s * number / (CRASHES_TO_REFUSE - 1)
        crash(seen, ("bad",), number, at=at)
    told = [
        replace(one, age_s=11.0 + lag_s - round(11.0 - one.age_s + lag_s, 3))
        for one in seen.notices("bad", 11.0)
    ]
    learns.merge(told, 31.0007)
    assert refused(learns, "bad") == refused(seen, "bad")


def test_parts_at_the_same_crashes_are_refused_only_together():
    """Guards against refusals for a sound part that was met beside a bad one so far."""
    records = PartCrashes()
    crashes(records, ("first", "bad"), range(CRASHES_TO_REFUSE))
    assert refused(records, "first", "bad")
    assert not refused(records, "first") and not refused(records, "bad")


def test_one_crash_more_shows_which_of_two_parts_it_is():
    records = PartCrashes()
    crashes(records, ("first", "bad"), range(CRASHES_TO_REFUSE))
    crash(records, ("other", "bad"), 9)
    assert refused(records, "bad") and not refused(records, "first")


def test_an_answer_that_began_before_the_crashes_clears_nothing():
    records = PartCrashes()
    crashes(records, ("bad",), range(1, 1 + CRASHES_TO_REFUSE))
    records.note_written(("bad",), 0.5, 9.0)
    assert refused(records, "bad")


def test_an_answer_that_began_after_them_frees_the_part():
    records = PartCrashes()
    crashes(records, ("bad",), range(CRASHES_TO_REFUSE))
    news = records.note_written(("bad",), 20.0, 20.5)
    assert not refused(records, "bad")
    assert len(news) == CRASHES_TO_REFUSE and all(notice.is_cleared for notice in news)


def test_two_bad_parts_at_once_are_both_refused():
    records = PartCrashes()
    for number in range(0, 4 * CRASHES_TO_REFUSE, 2):
        crash(records, ("first", "one"), number)
        crash(records, ("first", "two"), number + 1)
        records.note_written(("first",), number + 1.1, number + 1.5)
    assert refused(records, "first", "one") and refused(records, "first", "two")
    assert not refused(records, "first")


def test_a_bystander_is_not_refused_for_crashes_that_another_part_explains():
    records = PartCrashes()
    for number in range(CRASHES_TO_REFUSE + 2):
        life = f"w{number}"
        records.note_suspected_crash(("bad",), life, request=number, now=float(number))
        if number < CRASHES_TO_REFUSE:
            records.note_suspected_crash(("rare",), life, request=90 + number, now=float(number))
        records.resolve_suspicion(life, ended_at=float(number))
    assert refused(records, "bad") and not refused(records, "rare")


def test_many_workers_lost_in_one_moment_have_no_part_refused():
    """Guards against all requests refused at boxes that have just started, or have few callers."""
    records = PartCrashes()
    for number in range(30):
        crash(records, ("first",), number, at=2.0 + 0.001 * number)
    assert not refused(records, "first")
    crash(records, ("first",), 99, at=4.0)
    assert refused(records, "first")


def test_workers_lost_in_one_wave_refuse_no_part_that_was_written_to():
    records = PartCrashes()
    records.note_written(("first",), 1.0, 1.5)
    for number in range(30):
        crash(records, ("first",), number, at=2.0 + 0.03 * number)
    assert not refused(records, "first")


def test_a_part_that_served_well_before_is_refused_once_its_crashes_go_on():
    records = PartCrashes()
    records.note_written(("bad",), 1.0, 1.5)
    for number in range(CRASHES_TO_REFUSE):
        crash(records, ("bad",), number, at=2.0 + TRUSTED_SPAN_S * number)
    assert refused(records, "bad")


def test_a_suspicion_that_is_not_confirmed_counts_no_longer():
    records = PartCrashes()
    crashes(records, ("bad",), range(CRASHES_TO_REFUSE - 1))
    records.note_suspected_crash(("bad",), "w9", request=9, now=9.0)
    assert refused(records, "bad")
    assert records.resolve_suspicion("w9", ended_at=None) == []
    assert not refused(records, "bad")


def test_a_part_is_tried_soon_and_then_ever_later():
    records = PartCrashes()
    crashes(records, ("bad",), range(CRASHES_TO_REFUSE))
    last = CRASHES_TO_REFUSE - 1.0
    refusal = records.refusal_of(("bad",))
    assert refusal.trial_at == last + FIRST_TRIAL_S
    assert not records.may_try(refusal, ("bad",), last + 1.0)
    assert records.may_try(refusal, ("bad",), refusal.trial_at)
    tried_at = refusal.trial_at
    records.note_trials(("bad",), [tried_at])
    assert records.refusal_of(("bad",)).trial_at == tried_at + FIRST_TRIAL_S
    crash(records, ("bad",), 99, at=tried_at + 0.5)
    assert records.refusal_of(("bad",)).trial_at == tried_at + 0.5 + 600.0


def test_a_failed_trial_is_known_as_one_by_boxes_whose_clocks_differ():
    """Guards against a trial every five seconds because it seems to come after its own crash."""
    records = PartCrashes()
    crashes(records, ("bad",), range(CRASHES_TO_REFUSE))
    tried_at = records.refusal_of(("bad",)).trial_at
    crash(records, ("bad",), 99, at=tried_at + 0.5)
    records.note_trials(("bad",), [tried_at + 3.0])
    assert records.refusal_of(("bad",)).trial_at == tried_at + 0.5 + 600.0


def test_a_request_with_another_part_that_may_crash_workers_is_no_trial():
    records = PartCrashes()
    crashes(records, ("first", "bad"), range(CRASHES_TO_REFUSE))
    for number in range(50, 56):
        crash(records, ("second",), number)
    refusal = records.refusal_of(("first", "bad"))
    assert records.may_try(refusal, ("first", "bad", "other"), 999.0)
    assert not records.may_try(refusal, ("first", "bad", "second"), 999.0)


def test_what_boxes_tell_one_another_adds_up_in_any_order_and_if_repeated():
    one, two, both = PartCrashes(), PartCrashes(), PartCrashes()
    told = [notice for n in (0, 1) for notice in crash(one, ("bad",), n)]
    told += [notice for n in (2, 3) for notice in crash(two, ("bad",), n)]
    told = [replace(notice, age_s=9.0 - number) for number, notice in enumerate(told)]
    for notice in [*reversed(told), *told]:
        both.merge([notice], 9.0)
    assert refused(both, "bad")
    assert not refused(one, "bad") and not refused(two, "bad")
    assert both.merge(told, 6.0) == []


def test_news_of_a_crash_that_come_after_those_that_clear_it_change_nothing():
    """Guards against a datagram that lay in the queue of a suspended box for long."""
    records = PartCrashes()
    for number in range(CRASHES_TO_REFUSE):
        notice = {"part": "sound", "life": f"w{number}", "request": number, "age_s": 0.0}
        records.merge([PartNotice(**notice, is_cleared=True)], 5.0)
        records.merge([PartNotice(**notice)], 9.0)
    assert not refused(records, "sound")


def test_late_news_that_parts_are_cleared_do_not_clear_them_of_later_crashes():
    records = PartCrashes()
    crash(records, ("bad",), 0)
    news = records.note_written(("bad",), 1.0, 1.5)
    news = news or records.notices("bad", 1.5)
    other = PartCrashes()
    crashes(other, ("bad",), range(10, 10 + CRASHES_TO_REFUSE))
    other.merge(news, 99.0)
    assert refused(other, "bad")


def test_memory_is_bounded_and_what_may_be_to_blame_is_kept():
    records = PartCrashes()
    crashes(records, ("bad",), range(CRASHES_TO_REFUSE))
    for number in range(2 * MAX_RECORDS):
        crash(records, (f"p{number}",), 100 + number)
        records.note_written((f"s{number}", f"t{number}", f"u{number}"), 0.0, 1.0)
    assert len(records.by_part) <= MAX_RECORDS
    assert len(records._trusted) <= MAX_TRUSTED
    assert refused(records, "bad")


def test_many_crashes_under_one_part_keep_its_record_small():
    records = PartCrashes()
    crashes(records, ("bad",), range(300))
    assert len(records.by_part["bad"].crash_by_life) <= MAX_CRASHES_PER_PART
    assert refused(records, "bad")


def test_what_a_full_record_dropped_is_not_news_when_it_is_heard_again():
    """Guards against boxes that tell each other for ever of more crashes than a record holds."""
    records = PartCrashes()
    notice = {"part": "sound", "request": 1, "age_s": 0.0}
    lives = [f"w{n}" for n in range(3 * MAX_CRASHES_PER_PART)]
    for hop in range(3):
        news = records.merge([PartNotice(life=life, **notice) for life in lives], 5.0 + 0.01 * hop)
    assert news == []


def test_a_prompt_of_very_many_parts_costs_a_bounded_number_of_records():
    records = PartCrashes()
    crash(records, tuple(f"p{n}" for n in range(5000)), 1)
    assert len(records.by_part) == MAX_PARTS_PER_PROMPT


def test_records_are_forgotten_some_time_after_the_latest_crash():
    records = PartCrashes()
    crashes(records, ("bad",), range(CRASHES_TO_REFUSE))
    crash(records, ("once",), 9)
    records.sweep(9.0 + RECORD_TTL_S + 1.0)
    assert list(records.by_part) == ["bad"]
    records.sweep(9.0 + RECORD_TTL_S + MAX_REFUSAL_S + 1.0)
    assert not records.by_part and not records.refusals


def test_notices_come_round_to_all_parts_and_refused_ones_come_first():
    records = PartCrashes()
    crashes(records, ("bad",), range(CRASHES_TO_REFUSE))
    for number in range(20):
        crash(records, (f"p{number}",), 100 + number)
    seen = set()
    for _ in range(40):
        told = records.next_notices(200.0, 6)
        assert told[0].part == "bad" and len(told) <= 6
        seen |= {notice.part for notice in told}
    assert len(seen) == 21


@pytest.mark.parametrize(
    ("header", "keys"),
    [
        ("", ()),
        ("5c1e:10", ()),
        ("5c1e:10,91bd:4", ("5c1e",)),
        ("5C1E:10, 91bd:4 ,ff:1", ("5c1e", "91bd")),
        ("a:1,a:1,b:2,a:3,c:1", ("a", "b")),
        (",,a,,b:,:7,c", ("a", "b")),
        ("a:b:c,d", ("a",)),
    ],
)
def test_parts_of_odd_prompts(header, keys):
    parts = tuple(part for part in header.split(",") if part)
    facts = RequestFacts(
        id="r", method="POST", target="/", host="h", path="/", headers=[], body=b"",
        prompt_parts=parts,
    )  # fmt: skip
    assert facts.shared_parts == keys


def test_long_and_strange_parts_are_known_by_their_digests():
    assert len(part_key("f" * 5000)) == len(part_key("ü\x00/..")) == 32
    assert part_key("f" * 5000) != part_key("f" * 5001)


def test_a_record_too_long_for_a_notice_does_not_hold_up_the_others():
    """Guards against a rotation that stands still at a record that does not fit in."""
    records = PartCrashes()
    crashes(records, ("bad",), range(CRASHES_TO_REFUSE))
    for number in range(100, 110):
        records.note_suspected_crash(("long",), f"w{number}", request=7, now=1.0)
        records.resolve_suspicion(f"w{number}", ended_at=1.0)
    crash(records, ("behind",), 200)
    told = {notice.part for _ in range(6) for notice in records.next_notices(2.0, 6)}
    assert told == {"bad", "long", "behind"}
