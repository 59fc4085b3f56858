"""Entries of instances that have ended, as a store names them that comes back from a copy."""

import pytest

from croftchute.storage.position import position
from croftchute.storage.watched import StoredItem
from croftchute.systems.worker_news import MAX_EARLIER
from croftchute.systems.worker_table import WorkerTable
from croftchute.tables.routing import Worker


def worker(born=None, software="v1"):
    name = "a" if born is None else f"a@{born}"
    return Worker(
        id=name,
        service="s",
        host="h",
        port=1,
        zone="z",
        name="a",
        born_ms=born,
        software=software,
    )


def item(era, revision):
    return StoredItem(key="a", value=b"", revision=position(era, revision))


def listed(*entries):
    """A table that was told of entries, each a worker with its era and revision."""
    table = WorkerTable()
    for number, (named, era, revision) in enumerate(entries):
        table.upsert(named, float(number), item(era, revision))
    return table


def restored(*entries):
    """A table that was told of entries before a restored store listed its own."""
    table = listed(*entries)
    table.revision = position(3, 60)
    return table


def current(table):
    (found,) = [one for one in table.tracked_by_id.values() if not one.has_ended]
    return found.worker


@pytest.mark.parametrize(
    "earlier", [worker(1), worker(None), worker(1, "v0")], ids=["born", "untold", "build"]
)
def test_an_entry_that_came_with_the_copy_does_not_end_the_instance_that_serves(earlier):
    table = restored((earlier, 3, 10), (worker(2), 3, 30))
    assert not table.upsert(earlier, 9.0, item(4, 10))
    assert current(table) == worker(2)
    assert table.take_ended() == [earlier]


def test_a_listing_that_repeats_an_entry_of_the_copy_changes_nothing():
    table = restored((worker(1), 3, 10), (worker(2), 3, 30))
    table.upsert(worker(1), 9.0, item(4, 10))
    table.revision = position(4, 20)
    assert not table.upsert(worker(1), 9.5, item(4, 10))
    assert current(table) == worker(2)


def test_software_that_comes_back_in_the_new_era_is_believed_at_once():
    """Guards against streams of two versions: the process that serves has the earlier one."""
    table = restored((worker(None, "v1"), 3, 10), (worker(None, "v2"), 3, 30))
    table.upsert(worker(None, "v1"), 9.0, item(4, 10))
    assert current(table).software == "v2"
    table.revision = position(4, 20)
    assert table.upsert(worker(None, "v1"), 9.5, item(4, 21))
    assert current(table).software == "v1"


def test_an_earlier_instance_that_this_box_never_saw_is_told_by_its_birth():
    table = restored((worker(2), 3, 30))
    assert not table.upsert(worker(1), 9.0, item(4, 10))
    assert current(table) == worker(2)


def test_the_instance_that_writes_itself_anew_is_no_restart():
    table = restored((worker(1), 3, 10), (worker(2), 3, 30))
    table.upsert(worker(1), 8.0, item(4, 10))
    table.take_ended()
    table.upsert(worker(2), 9.0, item(4, 12))
    assert table.take_ended() == []
    assert current(table) == worker(2)


@pytest.mark.parametrize("revision", [12, 31])
def test_a_restart_in_the_new_era_is_one_whatever_its_revision(revision):
    table = restored((worker(1), 3, 10), (worker(2), 3, 30))
    assert table.upsert(worker(3), 9.0, item(4, revision))
    assert current(table) == worker(3)


def test_an_instance_that_comes_back_in_the_same_era_is_believed():
    table = listed((worker(None, "v1"), 3, 10), (worker(None, "v2"), 3, 30))
    assert table.upsert(worker(None, "v1"), 9.0, item(3, 40))
    assert current(table).software == "v1"


def test_an_instance_that_comes_back_behind_what_the_copy_lacks_is_believed():
    table = restored((worker(None, "v1"), 3, 10), (worker(None, "v2"), 3, 30))
    assert table.upsert(worker(None, "v1"), 9.0, item(4, 30))


def test_the_instances_remembered_are_bounded():
    table = listed(*((worker(number), 3, 10 + number) for number in range(5 * MAX_EARLIER)))
    record = table.tracked_by_id[current(table).id].record
    assert len(record.earlier) == MAX_EARLIER
    assert record.first_at == position(3, 9 + 5 * MAX_EARLIER)
