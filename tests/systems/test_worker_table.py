import pytest

from croftchute.storage.watched import StoredItem
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


def test_an_entry_that_is_only_seen_again_is_no_change():
    table = WorkerTable()
    assert table.upsert(worker("a"), 0.0)
    assert not table.upsert(worker("a"), 1.0)


def test_an_older_entry_does_not_undo_a_newer_one():
    table = WorkerTable()
    table.upsert(worker("a", WorkerState.DRAINING), 0.0, item(9))
    assert not table.upsert(worker("a"), 1.0, item(8))
    assert table.usable("s", 1.0) == []


def test_a_worker_that_left_the_list_is_a_last_resort_for_a_short_time():
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


def test_sweep_keeps_a_gone_worker_while_it_runs_something_of_ours():
    table = WorkerTable()
    table.upsert(worker("a"), 0.0)
    table.note_sent("a", 10)
    table.remove(["a"], 0.0)
    assert table.sweep(100.0) == []
    table.note_request_ended("a", 10)
    assert table.sweep(100.0) == ["a"]


def test_a_whole_listing_marks_the_missing_as_gone():
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


def test_stages_are_told_apart_and_plain_workers_have_none():
    table = WorkerTable()
    table.upsert(worker("p", stage=Stage.PREFILL), 0.0)
    table.upsert(worker("d", stage=Stage.DECODE), 0.0)
    table.upsert(worker("plain", service="t"), 0.0)
    assert ids(table.usable("s", 0.0, stage=Stage.DECODE)) == ["d"]
    assert ids(table.usable("t", 0.0, stage=Stage.DECODE)) == ["plain"]


def test_failures_fade_and_an_answer_halves_them():
    table = WorkerTable()
    table.upsert(worker("a"), 0.0)
    tracked = table.tracked_by_id["a"]
    table.note_failure("a", 2.0, 0.0)
    assert tracked.failure_score(2.0) == 1.0
    table.note_answer("a", 0.1, 2.0)
    assert tracked.failure_score(2.0) == 0.5


def test_load_told_by_a_worker_counts_others_only_and_not_for_long():
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


def test_workers_whose_entries_lapse_together_are_used_until_they_are_listed_again():
    """The first that was listed again used to get the work of all."""
    table = listed("a", "b", "c")
    assert table.remove(["a", "b", "c"], 1.0) == ["a", "b", "c"]
    table.upsert(worker("b"), 1.3)
    assert ids(table.usable("s", 2.9)) == ["a", "b", "c"]
    assert ids(table.usable("s", 1.0 + MASS_EXPIRY_GRACE_S + 0.01)) == ["b"]
    assert table.sweep(1.0 + MASS_EXPIRY_GRACE_S + 0.01) == ["a", "c"]


def test_the_grace_of_lapsed_entries_can_be_shorter():
    table = listed("a", "b")
    table.mass_expiry_grace_s = 1.5
    table.remove(["a", "b"], 1.0)
    assert table.usable("s", 2.6) == []


def test_one_worker_of_many_that_goes_has_not_lapsed():
    table = listed("a", "b", "c", "d", "e")
    table.remove(["a", "b"], 1.0)
    assert ids(table.usable("s", 1.1)) == ["c", "d", "e"]
    assert not table.is_mass_expired("a")


def test_a_worker_whose_entry_lapsed_while_draining_gets_nothing():
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


def test_a_worker_that_answered_with_its_old_stage_is_used_again_once_it_is_listed_anew():
    """It refuses what its new stage does not do, as another one at its address would."""
    table = WorkerTable()
    table.upsert(worker("a", stage=Stage.PREFILL), 0.0)
    table.note_displaced("a")
    assert not table.upsert(worker("a", stage=Stage.PREFILL), 0.5)
    assert table.usable("s", 0.5) == []
    table.upsert(worker("a", stage=Stage.DECODE), 1.0)
    assert ids(table.usable("s", 1.0, stage=Stage.DECODE)) == ["a"]


def test_a_worker_that_changes_its_stage_gets_no_work_until_the_list_shows_it():
    """It granted room and refused the work; a call that may be sent once was lost by that."""
    table = WorkerTable()
    table.upsert(worker("a", stage=Stage.PREFILL), 0.0)
    table.upsert(worker("b", stage=Stage.PREFILL), 0.0)
    assert table.note_changing("a", Stage.DECODE, 1.0, for_s=8.0)
    assert ids(table.usable("s", 2.0, stage=Stage.PREFILL)) == ["b"]
    table.upsert(worker("a", stage=Stage.DECODE), 5.0)
    assert ids(table.usable("s", 5.0, stage=Stage.DECODE)) == ["a"]


def test_a_change_that_comes_to_nothing_is_believed_for_some_seconds_only():
    table = WorkerTable()
    table.upsert(worker("a", stage=Stage.PREFILL), 0.0)
    table.note_changing("a", Stage.DECODE, 1.0, for_s=8.0)
    assert ids(table.usable("s", 9.1, stage=Stage.PREFILL)) == ["a"]


def test_a_change_that_is_told_again_and_again_is_news_once():
    """Boxes pass it on to each other; each would otherwise renew what another had it from."""
    table = WorkerTable()
    table.upsert(worker("a", stage=Stage.PREFILL), 0.0)
    assert table.note_changing("a", Stage.DECODE, 1.0, for_s=8.0)
    for step in range(1, 10):
        assert not table.note_changing("a", Stage.DECODE, 1.0 + step, for_s=8.0)
    assert ids(table.usable("s", 9.1, stage=Stage.PREFILL)) == ["a"]


def test_a_change_that_the_list_shows_already_is_no_news():
    table = WorkerTable()
    table.upsert(worker("a", stage=Stage.DECODE), 0.0)
    assert not table.note_changing("a", Stage.DECODE, 1.0, for_s=8.0)
    assert ids(table.usable("s", 1.0, stage=Stage.DECODE)) == ["a"]


def test_the_usual_pause_of_a_worker_is_learnt_from_its_steps():
    table = WorkerTable()
    table.upsert(worker("a"), 0.0)
    table.note_chunk_gap("unknown", 1.0)
    table.note_chunk_gap("a", 0.1)
    assert table.tracked_by_id["a"].pause_s == pytest.approx(0.1)
    for _ in range(40):
        table.note_chunk_gap("a", 0.8)
    assert table.tracked_by_id["a"].pause_s == pytest.approx(0.8, rel=0.05)
