"""Announcements of workers: kept per instance, bounded, and not revoked by older reports."""

from croftchute.storage.watched import StoredItem
from croftchute.systems.tracked_worker import GONE_GRACE_S
from croftchute.systems.worker_advice import (
    LEAVING_TTL_S,
    MAX_LEAVING_WORKERS,
    MAX_REQUESTS_IN_BACKOFF,
    WorkerAdviceTable,
)
from croftchute.systems.worker_table import WorkerTable
from croftchute.tables.routing import Stage, Worker, WorkerState

MAX_ALLOWED_IN_BACKOFF = 2
"""Requests that the platform's rules allow to arrive during one backoff."""


def worker(name, *, born=None, state=WorkerState.READY, stage=None):
    life = name if born is None else f"{name}@{born}"
    return Worker(
        id=life,
        name=name,
        service="s",
        host="127.0.0.1",
        port=1,
        zone="a",
        state=state,
        stage=stage,
        born_ms=born,
    )


def table_of(*workers):
    table = WorkerTable()
    for each in workers:
        table.upsert(each, 0.0)
    return table


def usable(table, now, **options):
    return sorted(tracked.worker.id for tracked in table.usable("s", now, **options))


def test_leaving_worker_is_a_last_resort_for_a_short_time():
    table = table_of(worker("a"), worker("b"))
    table.advice.note_leaving("a", 10.0)
    assert usable(table, 10.0) == ["b"]
    table.remove(["b"], 10.0)
    assert usable(table, 10.0 + GONE_GRACE_S) == ["a", "b"]
    assert usable(table, 10.1 + GONE_GRACE_S) == []


def test_list_entry_does_not_revoke_that_a_worker_is_leaving():
    table = table_of(worker("a"), worker("b"))
    table.advice.note_leaving("a", 1.0)
    item = StoredItem(key="servers/a", value=b"", revision=90)
    table.upsert(worker("a"), 2.0, item)
    assert usable(table, 2.0) == ["b"]


def test_older_list_does_not_restore_a_leaving_worker():
    table = table_of(worker("a"), worker("b"))
    table.upsert(worker("a", state=WorkerState.DRAINING), 1.0)
    table.upsert(worker("a"), 2.0)
    assert usable(table, 2.0) == ["b"]


def test_leaving_worker_is_remembered_while_unlisted():
    table = table_of(worker("a"), worker("b"))
    table.advice.note_leaving("a", 1.0)
    table.remove(["a"], 2.0)
    table.sweep(20.0)
    assert "a" not in table.tracked_by_id
    table.upsert(worker("a"), 30.0)
    assert usable(table, 30.0) == ["b"]


def test_restarted_worker_is_not_leaving_or_in_backoff():
    table = table_of(worker("a", born=1), worker("b"))
    table.advice.note_leaving("a@1", 1.0)
    table.advice.note_backoff("a@1", 60.0, 1.0)
    table.upsert(worker("a", born=2), 2.0)
    assert usable(table, 2.0) == ["a@2", "b"]


def test_worker_reported_leaving_by_a_peer_is_no_last_resort():
    table = table_of(worker("a"))
    table.advice.note_leaving("a", 1.0, known_for_s=float("inf"))
    assert usable(table, 1.0) == []


def test_workers_in_backoff_are_skipped_until_it_ends():
    table = table_of(worker("a"), worker("b"))
    table.advice.note_backoff("a", 3.0, 10.0)
    assert usable(table, 12.9) == ["b"]
    assert usable(table, 13.0) == ["a", "b"]
    assert table.backoff_left_s("s", 11.0) == 0.0


def test_worker_in_backoff_gets_a_bounded_number_of_requests():
    table = table_of(worker("a"))
    table.advice.note_backoff("a", 3.0, 0.0)
    sent = 0
    for now in (step / 10.0 for step in range(30)):
        if usable(table, now):
            sent += 1
            table.advice.note_sent("a", now)
            table.advice.note_backoff("a", 3.0, now)
    assert sent == MAX_REQUESTS_IN_BACKOFF < MAX_ALLOWED_IN_BACKOFF
    assert usable(table, 2.99) == []


def test_retry_time_is_the_earliest_end_of_a_backoff():
    table = table_of(worker("a"), worker("b"))
    table.advice.note_backoff("a", 3.0, 0.0)
    table.advice.note_backoff("b", 5.0, 0.0)
    assert table.backoff_left_s("s", 1.0) == 2.0


def test_engines_in_backoff_are_no_last_resort():
    table = table_of(worker("a", stage=Stage.DECODE))
    table.advice.note_backoff("a", 3.0, 0.0)
    assert usable(table, 1.0, stage=Stage.DECODE) == []
    assert table.backoff_left_s("s", 1.0, stage=Stage.DECODE) == 2.0
    assert table.backoff_left_s("s", 1.0, stage=Stage.PREFILL) == 0.0


def test_shorter_backoff_does_not_shorten_a_longer_one():
    advice = WorkerAdviceTable()
    advice.note_backoff("a", 10.0, 0.0)
    advice.note_backoff("a", 1.0, 1.0)
    assert advice.backoff_left_s("a", 5.0) == 5.0


def test_leaving_workers_are_bounded_and_dropped():
    advice = WorkerAdviceTable()
    for n in range(MAX_LEAVING_WORKERS + 1):
        advice.note_leaving(f"w{n}", float(n))
    assert len(advice.leaving_by_id) == MAX_LEAVING_WORKERS
    assert not advice.is_leaving("w0")
    advice.sweep(MAX_LEAVING_WORKERS + LEAVING_TTL_S + 1.0, listed={"w7"})
    assert list(advice.leaving_by_id) == ["w7"]
