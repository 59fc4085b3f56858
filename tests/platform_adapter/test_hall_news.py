"""A large hall: few boxes read the store, all know what it says, also when a relay is lost."""

import asyncio

import msgspec
import pytest
from platform_fleet import config, fleet, route, run, until

from croftchute.errors import Code, StoreError
from croftchute.forwarding.store import news_messages, prefix_follower
from croftchute.systems.hall_relays import MAX_RELAYS
from croftchute.systems.rendezvous import rank_nodes
from croftchute.tables.routing import WorkerState

BOXES = 8


@pytest.fixture(autouse=True)
def long_proofs(monkeypatch):
    """Have no box read the store for want of a proof, as it would on a busy machine.

    What these tests are about does not hang on that; test_silent_readers.py is about it.
    """
    monkeypatch.setattr(prefix_follower, "MIN_PROOF_AGE_S", 30.0)
    monkeypatch.setattr(prefix_follower, "MAX_PROOF_AGE_S", 30.0)


async def hall_of(made, count=BOXES):
    """Boxes that know each other, and those that read, by rank."""
    await made.add_worker("w1")
    boxes = [await made.add_box(f"box-{number}") for number in range(count)]
    hub = (("127.0.0.1", boxes[0].exchange.port),)
    for box in boxes[1:]:
        box.state.peers.seeds = hub
    for box in boxes:
        await until(lambda box=box: box.state.peers.boxes(box.state.clock()) == count)
    order = rank_nodes("a", [box.state.box for box in boxes])
    return sorted(boxes, key=lambda box: order.index(box.state.box))


async def in_force(boxes, version):
    """Wait until some boxes have a version, or a newer one."""
    for box in boxes:
        await until(lambda box=box: box.state.table.version >= version)


async def settle(made, boxes):
    """Change something until all but the first two boxes follow one of these."""
    version = 100
    while any(box.follower.config._relay_id == "" for box in boxes[2:]):
        version += 1
        made.store.put("op/config", config(version))
        await in_force(boxes, version)
        await asyncio.sleep(0.05)
    await record_settled(boxes)
    # In the first seconds of a life the worker list is read with pauses, and from the store.
    await until(lambda: all(box.follower.workers._relay_id for box in boxes[2:]))
    return version


async def record_settled(boxes):
    """Wait until all have read how many boxes there are, and one has put that on record.

    These calls of the store are no news of the configuration, which the tests count.
    """
    for box in boxes:
        box.state.begun_at -= 60.0
    keeper = min(boxes, key=lambda box: box.state.box)
    await until(lambda: keeper.fleet_size.recorded == len(boxes))
    await until(lambda: all(box.fleet_size.is_known for box in boxes))


def stop_catching_up(boxes):
    """From now on news come from the store and from relays alone, not from what peers know."""
    for box in boxes:
        for catch_up in box.catch_ups:
            catch_up._newer_peer = lambda _: None


def test_a_change_is_in_force_everywhere_and_few_boxes_asked_the_store_for_it():
    async def body():
        async with fleet() as made:
            boxes = await hall_of(made)
            version = await settle(made, boxes)
            made.store.calls.clear()
            for number in range(1, 6):
                made.store.put("op/config", config(version + number))
                await in_force(boxes, version + number)
            watches = [name for name in made.store.calls if name == "kv-watch"]
            assert len(watches) <= 2 * (5 + 2)

    run(body)


def test_a_worker_that_leaves_is_known_to_the_followers():
    async def body():
        async with fleet() as made:
            boxes = await hall_of(made)
            await settle(made, boxes)
            worker = made.workers_by_id["w1"]
            made.store.put("servers/w1", worker.entry("desk", "a", "draining"))
            for box in boxes:
                tracked_workers = box.state.workers.tracked_by_id
                await until(lambda b=tracked_workers: b["w1"].worker.state is WorkerState.DRAINING)
            made.store.remove("servers/w1")
            for box in boxes:
                tracked_workers = box.state.workers.tracked_by_id
                await until(lambda b=tracked_workers: "w1" not in b or b["w1"].gone_at is not None)

    run(body)


@pytest.mark.parametrize("lost", [1, 2])
def test_followers_go_on_when_their_readers_are_lost(lost):
    async def body():
        async with fleet() as made:
            boxes = await hall_of(made)
            version = await settle(made, boxes)
            for relay in boxes[:lost]:
                for task in relay._tasks:
                    task.cancel()
                relay.control.stop_accepting()
                for connection in list(relay.control.connections):
                    connection.abort()
            made.store.put("op/config", config(version + 1))
            await in_force(boxes[lost:], version + 1)

    run(body)


def test_a_reader_that_lost_the_store_sends_its_followers_elsewhere():
    async def body():
        async with fleet() as made:
            boxes = await hall_of(made)
            version = await settle(made, boxes)
            boxes[0].follower.config.store.port = 1
            boxes[0].follower.stop_telling()
            made.store.put("op/config", config(version + 1))
            await in_force(boxes, version + 1)
            following = {box.follower.config._relay_id for box in boxes[2:]}
            assert boxes[0].state.box not in following

    run(body)


def test_a_long_configuration_crosses_the_hall_deflated():
    """Each of 58 boxes read a megabyte from the store, over links that take 1.7 s for it."""

    async def body():
        async with fleet() as made:
            boxes = await hall_of(made)
            version = await settle(made, boxes)
            routes = [route(f"r{n}", f"/p{n}/", "idempotent", "desk") for n in range(4000)]
            long = config(version + 1, routes=routes)
            brought = []
            for box in boxes[2:]:
                observe = box.state.metrics.observe_transfer
                box.state.metrics.observe_transfer = lambda transfer, observe=observe: (
                    brought.append(transfer.size),
                    observe(transfer),
                )
            made.store.read_keys.clear()
            made.store.put("op/config", long)
            await in_force(boxes, version + 1)
            assert "op/config" not in made.store.read_keys
            assert max(brought) < len(msgspec.json.encode(long)) / 8

    run(body)


def test_what_stays_long_when_deflated_is_read_from_the_store_by_each_box_itself(monkeypatch):
    """One box of a slow link would take seconds to pass it on to all others of its hall."""
    monkeypatch.setattr(news_messages, "MAX_TOLD_BYTES", 1000)

    async def body():
        async with fleet() as made:
            boxes = await hall_of(made)
            version = await settle(made, boxes)
            routes = [route(f"r{n}", f"/p{n}/", "idempotent", "desk") for n in range(400)]
            made.store.read_keys.clear()
            made.store.put("op/config", config(version + 1, routes=routes))
            await in_force(boxes, version + 1)
            assert made.store.read_keys.count("op/config") == BOXES - 2

    run(body)


def test_a_follower_whose_position_a_relay_does_not_keep_asks_others_and_lists_nothing_anew():
    """A relay that had begun later made half of its hall read everything from the store again."""

    async def body():
        async with fleet() as made:
            boxes = await hall_of(made)
            version = await settle(made, boxes)
            for relay in boxes[:2]:
                relay.follower.config.log.base = 10**9
            stop_catching_up(boxes)
            made.store.calls.clear()
            made.store.put("op/config", config(version + 1))
            await in_force(boxes, version + 1)
            assert "kv-range" not in made.store.calls

    run(body)


def test_a_follower_whose_position_the_store_does_not_keep_either_reads_the_whole_list():
    async def body():
        async with fleet() as made:
            boxes = await hall_of(made)
            version = await settle(made, boxes)
            for relay in boxes[:2]:
                relay.follower.config.log.base = 10**9
            stop_catching_up(boxes)
            made.store.put("op/config", config(version + 1))
            made.store.forget_history()
            await in_force(boxes, version + 1)

    run(body)


def test_only_boxes_that_read_the_store_try_for_the_lease_of_orders():
    async def body():
        async with fleet() as made:
            boxes = await hall_of(made)
            await settle(made, boxes)
            assert [box.orders.may_acquire_lease() for box in boxes] == [True, True] + [False] * (
                BOXES - 2
            )

    run(body)


def count_store_calls(box):
    """The prefixes that a box asks the store for from now on."""
    prefixes = []
    store = box.follower.config.store
    for name in ("changes", "listing"):

        async def call(prefix, *args, ask=getattr(store, name), **options):
            prefixes.append(prefix)
            return await ask(prefix, *args, **options)

        setattr(store, name, call)
    return prefixes


def test_followers_try_a_store_that_relays_lost_once_and_then_leave_it_to_them(monkeypatch):
    """All boxes of the fleet called it twice a second, and each call is paid for."""
    monkeypatch.setattr(prefix_follower, "LOST_STORE_WAIT_S", 3600.0)

    async def body():
        async with fleet() as made:
            boxes = await hall_of(made)
            await settle(made, boxes)
            for box in boxes:
                box.follower.relays._skipped_until.clear()
            made.store.faults.refuses = True
            made.store.forget_history()
            followers = boxes[MAX_RELAYS:]
            calls = {box.state.box: count_store_calls(box) for box in followers}
            loops = [
                follow
                for box in followers
                for follow in (box.follower.config, box.follower.workers)
            ]
            await until(lambda: all(follow._dependency.is_lost for follow in loops))
            made.store.calls.clear()
            for _ in range(3):
                made.store.put("op/config", config(1))
                await until(lambda: len(made.store.calls) > 8)
                made.store.calls.clear()
            for made_calls in calls.values():
                failed = [prefix for prefix in made_calls if prefix in ("op/config", "servers/")]
                assert all(failed.count(prefix) == 1 for prefix in failed), made_calls

    run(body)


def test_a_relay_stays_fresh_while_a_long_answer_of_the_store_comes_in():
    """Its followers took it for one that had lost the store, and read the same themselves."""

    async def body():
        async with fleet() as made:
            box = await made.add_box()
            follower = box.follower.config
            follower.log.note_lost()
            follower._note_part()
            assert follower.log.is_fresh(box.state.clock())
            workers = box.follower.workers
            workers.log.note_lost()
            workers._note_part()
            assert not workers.log.is_fresh(box.state.clock())

    run(body)


def test_a_configuration_that_is_in_force_is_not_decoded_again():
    async def body():
        async with fleet() as made:
            await made.add_worker("w1")
            box = await made.add_box()
            await made.ready(box)
            decoded = []
            decode = box.follower.vocabulary.routing_table
            box.follower.vocabulary.routing_table = lambda item: (
                decoded.append(item.revision),
                decode(item),
            )[1]
            box.follower.take_config(box.state.table_item, source="peer")
            assert decoded == []
            made.store.put("op/config", config(9))
            await in_force([box], 9)
            assert len(decoded) == 1

    run(body)


def test_a_value_that_the_store_does_not_give_is_not_held_against_the_relay(monkeypatch):
    """Four relays in a row were passed over, and the store was asked four times without a pause."""
    monkeypatch.setattr(news_messages, "MAX_TOLD_BYTES", 100)

    async def body():
        async with fleet() as made:
            boxes = await hall_of(made)
            version = await settle(made, boxes)
            stop_catching_up(boxes)
            follower = boxes[-1].follower.config
            relay = follower._relay_id
            asked = []

            async def refuse(key):
                asked.append(key)
                raise StoreError(Code.STORE_UNAVAILABLE, "not now")

            follower.store.item, give = refuse, follower.store.item
            made.store.put("op/config", config(version + 1))
            await until(lambda: len(asked) > 2)
            assert follower._relay_id == relay and not follower.relays._skipped_until
            follower.store.item = give
            await in_force(boxes, version + 1)

    run(body)
