"""The record of how many boxes there are: who reads it, who writes it, and when."""

import asyncio
from types import SimpleNamespace

import msgspec
import pytest

from croftchute.errors import Code, StoreError
from croftchute.forwarding.store.fleet_record import RECORD_KEY, FleetRecord
from croftchute.storage.watched import StoredItem
from croftchute.systems.fleet_size import SHRINK_DELAY_S, FleetSize
from croftchute.tables.fleet import FleetEntry


def entry(boxes, pool="b1", host="10.0.0.1"):
    return msgspec.json.encode(FleetEntry(boxes=boxes, pool=pool, host=host, port=7000))


class Store:
    """One key, its revision, and the calls that were made."""

    def __init__(self, value=None):
        self.found = None if value is None else StoredItem(key=RECORD_KEY, value=value, revision=7)
        self.calls = []
        self.is_down = False
        self.meanwhile = None

    async def item(self, key):
        self.calls.append("item")
        if self.is_down:
            raise StoreError(Code.STORE_UNAVAILABLE, "down")
        return self.found

    async def put_if(self, key, value, *, revision, lease):
        self.calls.append("put")
        if self.meanwhile is not None:
            self.found, self.meanwhile = self.meanwhile, None
        if revision != (self.found.revision if self.found else 0):
            return None
        self.found = StoredItem(key=key, value=value, revision=revision + 1)
        return revision + 1


def made(store, *, known=1, is_main_pool=False, has_limits=True, size=None, is_keeper=None):
    named = []
    state = SimpleNamespace(
        box="b1",
        peers=SimpleNamespace(known_boxes=known, note_address=lambda *where: named.append(where)),
        named=named,
        clock=lambda: state.now,
        now=0.0,
        log=SimpleNamespace(decide=lambda kind, **inputs: None),
    )
    return FleetRecord(
        state=state,
        store=store,
        size=size or FleetSize(),
        address=lambda: ("10.0.0.1", 7000),
        has_limits=lambda: has_limits,
        is_main_pool=lambda: is_main_pool,
        is_keeper=None if is_keeper is None else lambda: is_keeper,
    )


def look(record, times=1):
    for _ in range(times):
        asyncio.run(record.look())


def test_the_record_is_read_once():
    store = Store(entry(78))
    record = made(store)
    look(record, times=3)
    assert record.size.recorded == 78
    assert store.calls == ["item"]


def test_without_limits_the_store_is_not_called():
    store = Store(entry(78))
    look(made(store, has_limits=False))
    assert store.calls == []


def test_the_first_main_pool_writes_what_it_knows_and_others_write_nothing():
    store = Store()
    look(made(store, known=30))
    assert store.found is None
    look(made(store, known=30, is_main_pool=True))
    assert store.found.value == entry(30)


def test_a_main_pool_that_knows_fewer_leaves_the_record():
    store = Store(entry(78))
    record = made(store, known=30, is_main_pool=True)
    look(record, times=3)
    assert store.found.value == entry(78)
    assert "put" not in store.calls


def test_of_two_main_pools_the_greater_count_stands():
    store = Store(entry(10))
    store.meanwhile = StoredItem(key=RECORD_KEY, value=entry(60), revision=9)
    record = made(store, known=40, is_main_pool=True)
    look(record, times=2)
    assert store.found.value == entry(60)
    assert record.size.boxes(40) == 60


def test_a_fleet_that_shrank_is_recorded_by_its_main_pool_and_counted_by_all():
    store = Store(entry(78))
    main = made(store, known=40, is_main_pool=True)
    other = made(store, known=40)
    for record in (main, other):
        look(record)
        record.state.now = SHRINK_DELAY_S + 1.0
        look(record)
    assert store.found.value == entry(40)
    assert (main.size.recorded, other.size.recorded) == (40, 40)


def test_while_the_store_is_down_the_box_has_no_share():
    store = Store(entry(78))
    store.is_down = True
    record = made(store)
    with pytest.raises(StoreError):
        look(record)
    assert record.size.share(1) == 0.0
    store.is_down = False
    look(record)
    assert record.size.share(1) == pytest.approx(1 / 78)


def test_a_record_that_cannot_be_read_is_written_anew():
    store = Store(b"many")
    look(made(store, known=5, is_main_pool=True))
    assert store.found.value == entry(5)


def test_a_new_main_pool_writes_its_name_and_a_box_that_reads_it_knows_where_to_ask():
    store = Store(entry(78, pool="b9", host="10.0.0.9"))
    look(made(store, known=78, is_main_pool=True))
    assert store.found.value == entry(78)
    other = made(store, known=1)
    look(other)
    assert other.size.pool == "b1"
    assert other.state.named == [("b1", "10.0.0.1", 7000)]


def test_a_record_that_fits_is_not_written_again():
    store = Store(entry(78))
    look(made(store, known=78, is_main_pool=True), times=3)
    assert store.calls == ["item"]


def test_without_a_pool_one_box_keeps_the_count_and_leaves_the_pool_as_it_was():
    store = Store(entry(5, pool="b9", host="10.0.0.9"))
    look(made(store, known=8, is_keeper=True))
    assert store.found.value == entry(8, pool="b9", host="10.0.0.9")
    fresh = Store()
    look(made(fresh, known=3, is_keeper=True), times=3)
    assert msgspec.json.decode(fresh.found.value, type=FleetEntry).boxes == 3
    assert fresh.calls.count("put") == 1


def test_a_main_pool_that_does_not_keep_the_record_writes_nothing():
    store = Store(entry(5, pool="b9"))
    look(made(store, known=8, is_main_pool=True, is_keeper=False), times=2)
    assert "put" not in store.calls
