"""The changes that a relay keeps for the boxes that follow it."""

import asyncio

import pytest

from croftchute.forwarding.store.news_log import MAX_BYTES, MAX_ENTRIES, NewsLog
from croftchute.storage.watched import Changes, HistoryGoneError, Listing, StoredItem


def item(key, revision):
    return StoredItem(key=key, value=b"x", revision=revision)


def written(key, revision):
    return Changes(written=(item(key, revision),), removed=(), revision=revision, newest=revision)


def removed(key, revision):
    return Changes(written=(), removed=(key,), revision=revision, newest=revision)


def log_from(revision):
    log = NewsLog()
    log.note_listing(Listing(items=(), revision=revision))
    return log


def test_only_what_is_newer_is_told():
    log = log_from(10)
    log.note_changes(written("a", 12))
    log.note_changes(written("b", 15))
    found = log.since(12)
    assert [entry.key for entry in found.written] == ["b"]
    assert found.revision == 15 and found.newest == 15


def test_the_last_word_on_a_key_counts():
    log = log_from(10)
    log.note_changes(written("a", 11))
    log.note_changes(removed("a", 12))
    log.note_changes(written("b", 13))
    log.note_changes(removed("b", 14))
    log.note_changes(written("b", 15))
    found = log.since(10)
    assert found.removed == ("a",)
    assert [entry.revision for entry in found.written] == [15]


def test_what_is_not_kept_is_not_told_as_if_nothing_had_changed():
    log = NewsLog()
    with pytest.raises(HistoryGoneError):
        log.since(0)
    log = log_from(10)
    with pytest.raises(HistoryGoneError):
        log.since(9)
    for revision in range(11, 12 + MAX_ENTRIES):
        log.note_changes(written(f"key-{revision}", revision))
    assert len(log.entries) == MAX_ENTRIES
    with pytest.raises(HistoryGoneError):
        log.since(10)
    assert len(log.since(11).written) == MAX_ENTRIES


def test_a_listing_begins_anew():
    log = log_from(10)
    log.note_changes(written("a", 11))
    log.note_listing(Listing(items=(), revision=20))
    with pytest.raises(HistoryGoneError):
        log.since(11)
    assert log.since(20).written == ()


def test_a_change_wakes_those_that_wait_and_so_does_the_loss_of_the_store():
    async def body():
        log = log_from(10)
        log.note_reading(100.0)
        waiting = [asyncio.create_task(log.wait_for_change(10, 3600.0)) for _ in range(3)]
        await asyncio.sleep(0)
        log.note_changes(written("a", 11))
        await asyncio.gather(*waiting)
        again = asyncio.create_task(log.wait_for_change(11, 3600.0))
        await asyncio.sleep(0)
        assert log.is_fresh(99.0)
        log.note_lost()
        await again
        assert not log.is_fresh(99.0)

    asyncio.run(body())


def test_a_reader_that_hears_nothing_in_time_is_not_fresh():
    log = log_from(10)
    log.note_reading(5.0)
    assert log.is_fresh(4.9) and not log.is_fresh(5.0)


def test_long_values_that_follow_each_other_are_not_all_kept():
    log = log_from(10)
    for revision in range(11, 31):
        value = b"x" * (MAX_BYTES // 2)
        long = StoredItem(key="config", value=value, revision=revision)
        log.note_changes(Changes(written=(long,), removed=(), revision=revision, newest=revision))
    assert len(log.entries) == 1
    assert log.since(29).written[0].revision == 30


def test_who_missed_versions_of_a_long_value_gets_the_newest_alone():
    """It was told that its position was not known, and read a whole listing from the store."""
    log = log_from(10)
    log.note_changes(written("other", 11))
    for revision in range(12, 20):
        value = b"x" * MAX_BYTES
        long = StoredItem(key="config", value=value, revision=revision)
        log.note_changes(Changes(written=(long,), removed=(), revision=revision, newest=revision))
    assert [entry.revision for entry in log.since(10).written] == [11, 19]
    assert [entry.revision for entry in log.since(14).written] == [19]
