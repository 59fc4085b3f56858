"""The store comes back from an older copy: its revisions and leases are given out again."""

import asyncio

import msgspec
import pytest
from croftchute_platform.eras import EraReader
from croftchute_platform.store import PlatformStore
from hypothesis import given
from hypothesis import strategies as st
from platform_fleet import ask, config, fleet, run, until
from test_hall_news import hall_of, settle

from croftchute.errors import StoreError
from croftchute.forwarding.http.http_client import ResponseHead
from croftchute.forwarding.store.fleet_record import RECORD_KEY
from croftchute.storage.position import MAX_ERA, era_of, position
from croftchute.storage.watched import HistoryGoneError
from croftchute.systems.worker_table import MASS_EXPIRY_GRACE_S

LATER_REQUESTS = 12
WRITTEN_SINCE = 20
"""Changes that the older copy does not have: its revisions stay below those that boxes know."""


def write_much(made):
    """Have the store's revision go up by what is lost later."""
    for n in range(WRITTEN_SINCE):
        made.store.put("other/key", {"n": n})


def restore(made, copy):
    """Come back from a copy; the operator and the workers write again what they wrote."""
    made.store.restore(copy)


async def knows_era(box, era):
    await until(lambda: box.state.store_era == era and era_of(box.state.workers.revision) == era)


async def plain_fleet(made, workers=2):
    made.store.era = 3
    for n in range(workers):
        await made.add_worker(f"w{n}")
    box = await made.add_box()
    await made.ready(box)
    return box


def test_an_entry_of_the_new_era_is_believed_though_its_revision_is_lower():
    async def body():
        async with fleet() as made:
            box = await plain_fleet(made)
            copy = made.store.copy()
            write_much(made)
            made.store.put("servers/w0", made.workers_by_id["w0"].entry("desk", "a"))
            await until(lambda: box.state.workers.revision > position(3, copy.revision))
            restore(made, copy)
            leaving = made.workers_by_id["w0"]
            made.store.put("servers/w0", leaving.entry("desk", "a", "draining"))
            await until(lambda: box.state.workers.advice.is_leaving("w0"))
            for n in range(LATER_REQUESTS):
                assert (await ask(box, "/once/x", f"r{n}")).status == 200
            assert leaving.ran == []

    run(body)


def test_a_worker_that_was_seen_leaving_is_not_taken_back_by_the_copy():
    async def body():
        async with fleet() as made:
            box = await plain_fleet(made)
            copy = made.store.copy()
            leaving = made.workers_by_id["w0"]
            made.store.put("servers/w0", leaving.entry("desk", "a", "draining"))
            await until(lambda: box.state.workers.advice.is_leaving("w0"))
            restore(made, copy)
            await knows_era(box, 4)
            for n in range(LATER_REQUESTS):
                assert (await ask(box, "/once/x", f"r{n}")).status == 200
            assert leaving.ran == []

    run(body)


def test_workers_that_the_copy_does_not_name_have_time_to_write_themselves_down():
    async def body():
        async with fleet() as made:
            box = await plain_fleet(made, 3)
            copy = made.store.copy()
            await made.add_worker("new")
            await until(lambda: "new" in box.state.workers.tracked_by_id)
            restore(made, copy)
            await knows_era(box, 4)
            workers, now = box.state.workers, box.state.clock()
            assert len(workers.usable("desk", now)) == 4
            gone = workers.tracked_by_id["new"]
            assert gone.is_mass_expired
            assert len(workers.usable("desk", gone.gone_at + MASS_EXPIRY_GRACE_S + 0.1)) == 3

    run(body)


def test_the_configuration_in_force_does_not_go_back_with_the_store():
    async def body():
        async with fleet() as made:
            box = await plain_fleet(made)
            copy = made.store.copy()
            made.store.put("op/config", config(9))
            await until(lambda: box.state.table.version == 9)
            restore(made, copy)
            await knows_era(box, 4)
            assert box.state.table.version == 9
            made.store.put("op/config", config(9))
            made.store.put("op/config", config(11))
            await until(lambda: box.state.table.version == 11)

    run(body)


def test_a_configuration_that_is_written_again_is_passed_on_from_the_new_era():
    async def body():
        async with fleet() as made:
            box = await plain_fleet(made)
            restore(made, made.store.copy())
            await until(lambda: era_of(box.state.table_item.revision) == 4)
            assert box.state.table.version == 7

    run(body)


def test_the_right_to_give_orders_ends_with_the_era_and_its_next_token_is_higher():
    async def body():
        async with fleet() as made:
            box = await plain_fleet(made)
            copy = made.store.copy()
            write_much(made)
            await until(lambda: box.orders.held_lease is not None)
            first = box.orders.held_lease
            restore(made, copy)
            await knows_era(box, 4)
            assert box.orders.held_lease is not first
            made.store.remove("croftchute/stage-orders")
            lease = await box.orders.store.grant_lease(6.0)
            key = "croftchute/stage-orders"
            token = await box.orders.store.put_if(key, b"x", revision=0, lease=lease)
            assert token > first.token
            assert token & (1 << 40) - 1 < first.token & (1 << 40) - 1

    run(body)


async def one_store(made):
    made.store.era = 3
    return PlatformStore(
        host="127.0.0.1",
        port=made.store.ingress.port,
        clock=asyncio.get_running_loop().time,
        observe=lambda _: None,
    )


def test_a_lease_of_an_older_era_is_over_though_its_number_is_given_out_again():
    async def body():
        async with fleet() as made:
            store = await one_store(made)
            copy = made.store.copy()
            ours = await store.grant_lease(6.0)
            restore(made, copy)
            theirs = await (await other_client(made)).grant_lease(6.0)
            assert theirs & 0xFFFF == ours & 0xFFFF
            assert not await store.keep_lease(ours)
            assert await store.put_if("k", b"v", revision=0, lease=ours) is None
            assert "k" not in made.store.items_by_key

    run(body)


async def other_client(made):
    era = made.store.era
    client = await one_store(made)
    made.store.era = era
    return client


def test_a_write_that_expects_a_revision_of_an_older_era_changes_nothing():
    async def body():
        async with fleet() as made:
            store = await one_store(made)
            copy = made.store.copy()
            at = await store.put_if("k", b"ours", revision=0, lease=0)
            restore(made, copy)
            made.store.put("k", {"of": "another"})
            await store.item("k")
            assert await store.put_if("k", b"again", revision=at, lease=0) is None
            assert msgspec.json.decode(store_value(await store.item("k"))) == {"of": "another"}

    run(body)


def store_value(item):
    return item.value


def test_a_watch_from_an_older_era_begins_anew_though_its_revision_is_known_again():
    async def body():
        async with fleet() as made:
            store = await one_store(made)
            copy = made.store.copy()
            write_much(made)
            after = (await store.listing("other/")).revision
            restore(made, copy)
            write_much(made)
            write_much(made)
            with pytest.raises(HistoryGoneError):
                await store.changes("other/", after=after, wait_s=0.0)

    run(body)


def test_an_answer_that_hung_since_an_older_era_changes_nothing():
    async def body():
        async with fleet() as made:
            store = await one_store(made)
            await store.item("op/config")
            made.store.era_header = "2"
            with pytest.raises(StoreError):
                await store.listing("servers/")
            made.store.era_header = None
            assert era_of((await store.listing("servers/")).revision) == 3

    run(body)


@pytest.mark.parametrize("odd", ["", "-1", "1.5", "x", "9" * 30, str(MAX_ERA + 1), "4, 5"])
def test_the_last_good_era_holds_where_one_cannot_be_read(odd):
    noted = []
    reader = EraReader(note_odd=noted.append)
    reader.read(head(b"4"))
    assert reader.read(head(odd.encode())) == 4
    assert reader.read(head()) == 4
    assert len(noted) == 1


@given(values=st.lists(st.binary(max_size=30), max_size=3))
def test_no_bytes_are_too_odd_for_an_era(values):
    reader = EraReader(note_odd=lambda _: None)
    assert 0 <= reader.read(head(*values)) <= MAX_ERA


def head(*values):
    return ResponseHead(status=200, reason=b"", headers=[(b"store-era", v) for v in values])


def test_the_record_of_the_fleet_is_written_again():
    async def body():
        async with fleet() as made:
            box = await plain_fleet(made)
            record = box.fleet_record
            record.has_limits = lambda: True
            record.is_main_pool = lambda: True
            record.is_keeper = lambda: True
            box.fleet_size.recorded = 5
            box.fleet_size.pool = box.state.box
            record.note_restored()
            await record.look()
            assert RECORD_KEY in made.store.items_by_key
            calls = len(made.store.calls)
            await record.look()
            assert made.store.calls[calls:].count("kv-txn") == 0

    run(body)


def test_followers_begin_the_new_era_at_their_relays_and_the_store_is_listed_by_few():
    async def body():
        async with fleet() as made:
            made.store.era = 3
            boxes = await hall_of(made)
            version = await settle(made, boxes)
            copy = made.store.copy()
            made.store.put("op/config", config(version + 1))
            for box in boxes:
                await until(lambda box=box: box.state.table.version == version + 1)
            made.store.calls.clear()
            restore(made, copy)
            made.store.put("op/config", config(version + 2))
            for box in boxes:
                await knows_era(box, 4)
                await until(lambda box=box: box.state.table.version == version + 2)
            listings = made.store.calls.count("kv-range")
            assert listings < 2 * len(boxes)

    run(body)
