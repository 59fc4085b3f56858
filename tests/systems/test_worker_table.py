from dataclasses import replace

import pytest

from croftchute.storage.position import position
from croftchute.storage.watched import StoredItem
from croftchute.systems.removed_workers import REMOVED_TTL_S
from croftchute.systems.tracked_worker import GONE_GRACE_S
from croftchute.systems.worker_table import MASS_EXPIRY_GRACE_S, WorkerTable
from croftchute.tables.routing import Stage, Worker, WorkerState


def worker(name, state=WorkerState.READY, stage=None, service="s"):
    return Worker(
        id=name, service=service, host="h", port=1, zone="z", state=state, stage=stage, slots=4
    )


def item(revision):
    return StoredItem(key="k", value=b"", revision=revision)


def ids(tracked_workers):
    return sorted(tracked.worker.id for tracked in tracked_workers)


def test_a_draining_worker_gets_no_new_work_at_once():
    table = WorkerTable()
    table.upsert(worker("a"), 0.0)
    table.upsert(worker("b"), 0.0)
    assert table.upsert(worker("a", WorkerState.DRAINING), 1.0)
    assert ids(table.usable("s", 1.0)) == ["b"]


def test_repeated_entry_is_no_change():
    table = WorkerTable()
    assert table.upsert(worker("a"), 0.0)
    assert not table.upsert(worker("a"), 1.0)


def test_older_entry_does_not_replace_a_newer_one():
    table = WorkerTable()
    table.upsert(worker("a", WorkerState.DRAINING), 0.0, item(9))
    assert not table.upsert(worker("a"), 1.0, item(8))
    assert table.usable("s", 1.0) == []


def test_removed_worker_is_a_last_resort_for_a_short_time():
    table = WorkerTable()
    table.upsert(worker("a"), 0.0)
    table.upsert(worker("b"), 0.0)
    table.remove(["a"], 1.0)
    assert ids(table.usable("s", 1.1)) == ["b"]
    table.remove(["b"], 1.0)
    assert ids(table.usable("s", 1.1)) == ["a", "b"]
    assert table.usable("s", 1.0 + GONE_GRACE_S + 0.01) == []


def test_a_worker_that_is_listed_again_is_usable_again():
    table = WorkerTable()
    table.upsert(worker("a"), 0.0)
    table.remove(["a"], 1.0)
    table.upsert(worker("a"), 5.0)
    assert ids(table.usable("s", 9.0)) == ["a"]


def test_sweep_keeps_a_removed_worker_while_it_runs_requests_of_this_box():
    table = WorkerTable()
    table.upsert(worker("a"), 0.0)
    table.note_sent("a", 10)
    table.remove(["a"], 0.0)
    assert table.sweep(100.0) == []
    table.note_request_ended("a", 10)
    assert table.sweep(100.0) == ["a"]


def test_complete_listing_marks_missing_workers_as_removed():
    table = WorkerTable()
    for name in "abc":
        table.upsert(worker(name), 0.0)
    assert sorted(table.keep_only({"b"}, 1.0)) == ["a", "c"]
    assert table.keep_only({"b"}, 2.0) == []


def test_a_displaced_worker_is_never_used():
    table = WorkerTable()
    table.upsert(worker("a"), 0.0)
    table.note_displaced("a")
    assert table.usable("s", 0.0) == []


def test_usable_filters_by_stage_and_plain_workers_have_none():
    table = WorkerTable()
    table.upsert(worker("p", stage=Stage.PREFILL), 0.0)
    table.upsert(worker("d", stage=Stage.DECODE), 0.0)
    table.upsert(worker("plain", service="t"), 0.0)
    assert ids(table.usable("s", 0.0, stage=Stage.DECODE)) == ["d"]
    assert ids(table.usable("t", 0.0, stage=Stage.DECODE)) == ["plain"]


def test_failure_score_decays_and_an_answer_halves_it():
    table = WorkerTable()
    table.upsert(worker("a"), 0.0)
    tracked = table.tracked_by_id["a"]
    table.note_failure("a", 2.0, 0.0)
    assert tracked.failure_score(2.0) == 1.0
    table.note_answer("a", 0.1, 2.0)
    assert tracked.failure_score(2.0) == 0.5


def test_reported_load_counts_other_boxes_only_and_expires():
    table = WorkerTable()
    table.upsert(worker("a"), 0.0)
    tracked = table.tracked_by_id["a"]
    table.note_sent("a", 0)
    table.note_load("a", 3, 1, 0.0)
    assert tracked.other_boxes_running(0.1) == 3.0
    assert tracked.other_boxes_running(5.0) == 0.0


def listed(*names, service="s"):
    table = WorkerTable()
    for name in names:
        table.upsert(worker(name, service=service), 0.0)
    return table


def test_workers_stay_usable_after_a_mass_expiry():
    """Otherwise the first worker that registers again would get the work of all."""
    table = listed("a", "b", "c")
    assert table.remove(["a", "b", "c"], 1.0) == ["a", "b", "c"]
    table.upsert(worker("b"), 1.3)
    assert ids(table.usable("s", 2.9)) == ["a", "b", "c"]
    assert ids(table.usable("s", 1.0 + MASS_EXPIRY_GRACE_S + 0.01)) == ["b"]
    assert table.sweep(1.0 + MASS_EXPIRY_GRACE_S + 0.01) == ["a", "c"]


def test_mass_expiry_grace_can_be_shorter():
    table = listed("a", "b")
    table.mass_expiry_grace_s = 1.5
    table.remove(["a", "b"], 1.0)
    assert table.usable("s", 2.6) == []


def test_removal_of_a_few_workers_is_no_mass_expiry():
    table = listed("a", "b", "c", "d", "e")
    table.remove(["a", "b"], 1.0)
    assert ids(table.usable("s", 1.1)) == ["c", "d", "e"]
    assert not table.is_mass_expired("a")


def test_draining_worker_whose_entry_expired_gets_no_work():
    table = WorkerTable()
    table.upsert(worker("a"), 0.0)
    table.upsert(worker("b", WorkerState.DRAINING), 0.0)
    table.remove(["a", "b"], 1.0)
    assert ids(table.usable("s", 1.1)) == ["a"]


def test_services_are_kept_apart():
    table = listed("a", "b")
    table.upsert(worker("c", service="t"), 0.0)
    assert ids(table.usable("t", 0.0)) == ["c"]
    table.upsert(worker("c", service="s"), 1.0)
    assert ids(table.usable("s", 1.0)) == ["a", "b", "c"]
    assert table.usable("t", 1.0) == []


def test_displaced_worker_is_used_again_once_listed_with_its_new_stage():
    """It rejects work of its former stage as another worker at its address would."""
    table = WorkerTable()
    table.upsert(worker("a", stage=Stage.PREFILL), 0.0)
    table.note_displaced("a")
    assert not table.upsert(worker("a", stage=Stage.PREFILL), 0.5)
    assert table.usable("s", 0.5) == []
    table.upsert(worker("a", stage=Stage.DECODE), 1.0)
    assert ids(table.usable("s", 1.0, stage=Stage.DECODE)) == ["a"]


def test_worker_changing_its_stage_gets_no_work_until_it_is_listed():
    """Otherwise a worker may grant room, then reject the call; one that is sent once is lost."""
    table = WorkerTable()
    table.upsert(worker("a", stage=Stage.PREFILL), 0.0)
    table.upsert(worker("b", stage=Stage.PREFILL), 0.0)
    assert table.note_changing("a", Stage.DECODE, 1.0, for_s=8.0)
    assert ids(table.usable("s", 2.0, stage=Stage.PREFILL)) == ["b"]
    table.upsert(worker("a", stage=Stage.DECODE), 5.0)
    assert ids(table.usable("s", 5.0, stage=Stage.DECODE)) == ["a"]


def test_stage_change_that_does_not_happen_expires():
    table = WorkerTable()
    table.upsert(worker("a", stage=Stage.PREFILL), 0.0)
    table.note_changing("a", Stage.DECODE, 1.0, for_s=8.0)
    assert ids(table.usable("s", 9.1, stage=Stage.PREFILL)) == ["a"]


def test_repeated_report_of_a_stage_change_is_new_once():
    """Boxes pass the report on to each other and must not renew each other's copy."""
    table = WorkerTable()
    table.upsert(worker("a", stage=Stage.PREFILL), 0.0)
    assert table.note_changing("a", Stage.DECODE, 1.0, for_s=8.0)
    for step in range(1, 10):
        assert not table.note_changing("a", Stage.DECODE, 1.0 + step, for_s=8.0)
    assert ids(table.usable("s", 9.1, stage=Stage.PREFILL)) == ["a"]


def test_stage_change_already_listed_is_not_new():
    table = WorkerTable()
    table.upsert(worker("a", stage=Stage.DECODE), 0.0)
    assert not table.note_changing("a", Stage.DECODE, 1.0, for_s=8.0)
    assert ids(table.usable("s", 1.0, stage=Stage.DECODE)) == ["a"]


def test_chunk_gap_follows_the_moving_average():
    table = WorkerTable()
    table.upsert(worker("a"), 0.0)
    table.note_chunk_gap("unknown", 1.0)
    table.note_chunk_gap("a", 0.1)
    assert table.tracked_by_id["a"].chunk_gap_s == pytest.approx(0.1)
    for _ in range(40):
        table.note_chunk_gap("a", 0.8)
    assert table.tracked_by_id["a"].chunk_gap_s == pytest.approx(0.8, rel=0.05)


def test_a_worker_back_under_its_id_with_other_software_is_another_worker():
    """Streams went on at the new software, and the failures of the old counted against it."""
    table = WorkerTable()
    old = replace(worker("w1"), software="v1")
    table.upsert(old, 0.0)
    before = table.tracked_by_id["w1"]
    table.note_sent("w1", 10)
    table.note_failure("w1", 4.0, 0.0)
    assert table.upsert(replace(old, software="v2"), 1.0)
    now_tracked = table.tracked_by_id["w1"]
    assert now_tracked is not before and before.has_ended
    assert now_tracked.failure_score(1.0) == 0.0
    assert table.take_ended() == [old]
    assert [t.worker.software for t in table.usable(old.service, 1.0)] == ["v2"]
    assert table.usable(old.service, 1.0, build="v1") == []
    table.note_request_ended("w1", 10)
    assert (now_tracked.in_flight, now_tracked.tokens_in_flight) == (0, 0)


def test_workers_of_unknown_software_are_of_one_build_each():
    table = WorkerTable()
    for name in ("w1", "w2"):
        table.upsert(worker(name), 0.0)
    build = table.tracked_by_id["w1"].worker.build
    assert [t.worker.id for t in table.usable("s", 0.0, build=build)] == ["w1"]
    assert not table.has_build("s", 0.0, stage=None, build="")


def test_wishes_and_limits_end_with_the_software_that_named_them():
    """A worker back under its id would have counted as leaving for good."""
    table = WorkerTable()
    old = replace(worker("w1"), software="v1")
    table.upsert(old, 0.0)
    table.advice.note_leaving("w1", 1.0)
    table.upsert(replace(old, software="v2"), 2.0)
    assert ids(table.usable("s", 2.0)) == ["w1"]
    table.upsert(replace(old, software="v3", state=WorkerState.DRAINING), 3.0)
    assert table.advice.is_leaving("w1")


def test_one_build_is_certain_only_if_the_list_was_followed_for_long_enough():
    """A box that had just started took the builds that it saw for all there had been."""
    table = WorkerTable(heard_at=0.0)
    table.upsert(replace(worker("w1"), software="v1"), 0.0)
    table.keep_only({"w1"}, 0.0)
    assert table.only_build("s", 4.0, within_s=60.0) is None
    table.heard_at = 61.0
    assert table.only_build("s", 61.0, within_s=60.0) == "v1"
    assert table.only_build("s", 67.0, within_s=60.0) is None
    table.upsert(replace(worker("w2"), software="v2"), 62.0)
    table.remove(["w2"], 63.0)
    table.sweep(80.0)
    table.heard_at = 139.0
    assert table.only_build("s", 139.0, within_s=60.0) is None
    table.heard_at = 141.0
    assert table.only_build("s", 141.0, within_s=60.0) == "v1"
    assert table.builds_seen("s", 141.0, within_s=90.0) == {"v1", "v2"}


def table_of(*names, revision=5):
    table = WorkerTable()
    for name in names:
        table.upsert(worker(name), 0.0, item(revision))
    return table


def restore(table, *names, era=1, revision=5, now):
    """The store comes back from a copy that has these."""
    for name in names:
        table.upsert(worker(name), now, item(position(era, revision)))
    table.keep_only(set(names), now, is_mass_expiry=True)


@pytest.mark.parametrize("after_s", [0.1, GONE_GRACE_S + 1.0])
def test_a_worker_that_was_removed_is_not_taken_back_from_an_older_copy(after_s):
    """After a drill boxes sent work to a worker that they had acknowledged as gone."""
    table = table_of("a", "b", "c")
    table.remove(["a"], 1.0)
    now = 1.0 + after_s
    table.sweep(now)
    restore(table, "a", "b", "c", now=now)
    restore(table, "a", "b", "c", now=now + 1.0)
    table.sweep(now + GONE_GRACE_S + 1.0)
    assert ids(table.usable("s", now + GONE_GRACE_S + 1.0)) == ["b", "c"]
    table.remove(["a"], now + 2.0)
    table.sweep(now + REMOVED_TTL_S + 1.0)
    assert ids(table.usable("s", now + REMOVED_TTL_S + 1.0)) == ["b", "c"]


def test_a_removed_worker_that_is_written_again_is_in_use_at_once():
    table = table_of("a", "b", "c")
    table.remove(["a"], 1.0)
    restore(table, "a", "b", "c", now=3.0)
    table.upsert(worker("a"), 4.0, item(position(1, 6)))
    assert ids(table.usable("s", 4.0)) == ["a", "b", "c"]


def test_an_entry_that_stays_listed_is_believed_in_the_end():
    """Guards against a worker that is lost for good: its removal may have been a lapse."""
    table = table_of("a", "b", "c")
    table.remove(["a"], 1.0)
    table.sweep(3.0)
    restore(table, "a", "b", "c", now=3.0)
    table.sweep(1.0 + REMOVED_TTL_S + 0.1)
    assert ids(table.usable("s", 40.0)) == ["a", "b", "c"]


def test_an_entry_that_a_later_listing_does_not_name_is_not_believed():
    table = table_of("a", "b", "c")
    table.remove(["a"], 1.0)
    restore(table, "a", "b", "c", now=3.0)
    restore(table, "b", "c", now=5.0)
    table.sweep(1.0 + REMOVED_TTL_S + 0.1)
    assert ids(table.usable("s", 40.0)) == ["b", "c"]


def test_workers_whose_entries_lapsed_together_are_back_with_the_copy():
    table = table_of("a", "b", "c")
    table.remove(["a", "b", "c"], 1.0)
    restore(table, "a", "b", "c", now=3.0)
    assert ids(table.usable("s", 3.0)) == ["a", "b", "c"]
