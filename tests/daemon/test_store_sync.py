"""How a box reads the store: what it reads again after a failure, and from where it watches."""

import threading
import time

import pytest

from croftchute.config.checks import dump_document
from croftchute.config.documents import Document, HallSpec
from croftchute.daemon.store_sync import MAX_RETRY_S, RETRY_S, PolledPart, StoreSync, next_wait_s
from croftchute.errors import Code, StoreError
from croftchute.storage.store import CONFIG_KEY, RANGES_KEY, CompactedError, Entry

WAIT_S = 20.0
VALID = dump_document(Document(halls=[HallSpec(id="h", region="r")]))


class FakeStore:
    """A store whose answers are set by key; an exception in place of an entry is raised."""

    def __init__(self):
        self.answer_by_key = {
            CONFIG_KEY: entry(7),
            RANGES_KEY: Entry(key="", value=b"", revision=0),
        }
        self.listed = []
        self.reads = []
        self.watched_after = []
        self.watch_script = []

    def get(self, key):
        self.reads.append(key)
        return given(self.answer_by_key[key])

    def boxes(self):
        self.reads.append("boxes")
        return given(self.listed)

    def watch(self, key, *, after):
        self.watched_after.append(after)
        for item in self.watch_script.pop(0) if self.watch_script else []:
            yield given(item)


class Box:
    """Takes what the store has."""

    def __init__(self, store, *, is_relay=False, held=0):
        self.configs = []
        self.troubles = []
        self.sync = StoreSync(
            store=store,
            is_relay=lambda: is_relay,
            held_revision=lambda: held,
            on_config=self.configs.append,
            on_ranges=lambda ranges: None,
            on_boxes=lambda listed: None,
            on_trouble=self.troubles.append,
            seed=1,
        )


def entry(revision, value=VALID):
    return Entry(key=CONFIG_KEY, value=value, revision=revision)


def given(answer):
    if isinstance(answer, Exception):
        raise answer
    return answer


def limited():
    return StoreError(Code.STORE_RATE_LIMITED, "rate limited")


@pytest.fixture
def store():
    return FakeStore()


@pytest.fixture
def run(monkeypatch):
    """Runs a box's threads, with waits cut short, until a condition holds."""
    monkeypatch.setattr("croftchute.daemon.store_sync.RETRY_S", 0.001)
    monkeypatch.setattr("croftchute.daemon.store_sync.MAX_RETRY_S", 0.002)
    monkeypatch.setattr("croftchute.daemon.store_sync.RELAY_POLL_S", 0.002)

    def run_until(box, holds):
        box.sync.start()
        end = time.monotonic() + WAIT_S
        try:
            while not holds():
                assert time.monotonic() < end, box.troubles[-3:]
                threading.Event().wait(0.002)
        finally:
            box.sync.stop()

    return run_until


def test_the_configuration_is_read_once_while_ranges_fail(store, run):
    store.answer_by_key[RANGES_KEY] = limited()
    box = Box(store)
    run(box, lambda: store.reads.count(RANGES_KEY) >= 5)
    assert store.reads.count(CONFIG_KEY) == 1
    assert [found.revision for found in box.configs] == [7]


def test_ranges_are_read_once_while_the_configuration_fails(store, run):
    store.answer_by_key[CONFIG_KEY] = limited()
    run(Box(store), lambda: store.reads.count(CONFIG_KEY) >= 5)
    assert store.reads.count(RANGES_KEY) == 1


@pytest.mark.parametrize("error", [ValueError("no JSON"), KeyError("kv"), AttributeError("get")])
def test_what_is_unreadable_is_reported_and_read_again(store, run, error):
    store.answer_by_key[CONFIG_KEY] = error
    store.listed = TypeError("no box")
    box = Box(store)
    run(box, lambda: store.reads.count(CONFIG_KEY) >= 3 and store.reads.count("boxes") >= 3)
    assert any("unreadable" in trouble for trouble in box.troubles)


def test_a_watch_that_ends_begins_anew_without_a_reading(store, run):
    store.watch_script = [[entry(8)], [], [entry(9)]]
    box = Box(store, is_relay=True, held=7)
    run(box, lambda: len(store.watched_after) >= 6)
    assert store.watched_after[:4] == [7, 8, 8, 9]
    assert store.reads.count(CONFIG_KEY) == 1


def test_a_watch_begins_after_what_came_from_peers(store, run):
    box = Box(store, is_relay=True, held=12)
    run(box, lambda: len(store.watched_after) >= 2)
    assert set(store.watched_after) == {12}


def test_a_faulty_configuration_is_not_sent_again_by_the_next_watch(store, run):
    store.watch_script = [[entry(8, b"{}garbage")]]
    box = Box(store, is_relay=True, held=7)
    run(box, lambda: len(store.watched_after) >= 3)
    assert store.watched_after[:3] == [7, 8, 8]
    assert any("configuration 8 is faulty" in trouble for trouble in box.troubles)


@pytest.mark.parametrize("error", [ValueError("no JSON"), KeyError("kv"), AttributeError("get")])
def test_an_unexpected_event_does_not_end_the_watching(store, run, error):
    store.watch_script = [[error], [error], [entry(9)]]
    box = Box(store, is_relay=True, held=7)
    run(box, lambda: box.configs and box.configs[-1].revision == 9)
    assert any("unreadable" in trouble for trouble in box.troubles)


def test_history_that_is_gone_is_made_up_for_by_one_reading(store, run):
    """The key's own revision may be older than all that the store still knows."""
    store.watch_script = [[CompactedError("compacted", oldest=40)]]
    box = Box(store, is_relay=True, held=7)
    run(box, lambda: len(store.watched_after) >= 4)
    assert store.watched_after[:4] == [7, 39, 39, 39]
    assert store.reads.count(CONFIG_KEY) <= 2


def test_a_part_that_fails_waits_twice_as_long_each_time_up_to_a_bound():
    def fail():
        raise limited()

    troubles = []
    part = PolledPart(read=fail, pause_s=lambda: 2.0, on_trouble=troubles.append)
    now, waits = 100.0, []
    for _ in range(6):
        part.turn(now)
        waits.append(part.due_at - now)
        part.turn(part.due_at - 0.01)
        now = part.due_at
    assert waits == [RETRY_S, 2 * RETRY_S, 4 * RETRY_S, 8 * RETRY_S, MAX_RETRY_S, MAX_RETRY_S]
    assert len(troubles) == 6


def test_a_part_that_was_read_is_read_again_after_its_pause_and_fails_afresh():
    answers = [limited(), limited(), None, limited()]
    part = PolledPart(
        read=lambda: given(answers.pop(0)), pause_s=lambda: 2.0, on_trouble=lambda message: None
    )
    waits = []
    for now in (0.0, 10.0, 20.0, 30.0):
        part.turn(now)
        waits.append(part.due_at - now)
    assert waits == [RETRY_S, 2 * RETRY_S, 2.0, RETRY_S]


def test_watches_that_end_at_once_come_slower_and_long_ones_do_not():
    assert next_wait_s(RETRY_S, lasted_s=0.0) == 2 * RETRY_S
    assert next_wait_s(4.0, lasted_s=0.1) == MAX_RETRY_S
    assert next_wait_s(MAX_RETRY_S, lasted_s=60.0) == RETRY_S
