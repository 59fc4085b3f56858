"""What a box knows, and does, while the store fails it; and what it learns from its peers."""

import asyncio
from dataclasses import replace
from types import SimpleNamespace

from platform_fleet import ask, config, fleet, run, until

from croftchute.forwarding.boxes.peer_exchange import MAX_GREETINGS
from croftchute.forwarding.store.prefix_follower import WATCH_MARGIN_S
from croftchute.peers.messages import BoxNotice
from croftchute.systems.store_contact import WATCH_PERIOD_S
from croftchute.tables.routing import Stage, WorkerState


def test_a_new_configuration_is_in_force_and_an_older_one_never_again():
    async def body():
        async with fleet() as made:
            await made.add_worker("w1")
            box = await made.add_box()
            await made.ready(box)
            made.store.put("op/config", config(9))
            await until(lambda: box.state.table.version == 9)
            made.store.put("op/config", config(8))
            made.store.put("op/config", config(10))
            await until(lambda: box.state.table.version == 10)

    run(body)


def test_a_faulty_configuration_leaves_the_present_one_in_force():
    async def body():
        async with fleet() as made:
            await made.add_worker("w1")
            box = await made.add_box()
            await made.ready(box)
            made.store.put("op/config", {"Version": 99, "Routes": [{"Name": "broken"}]})
            made.store.put("servers/w9", {"Service": "desk"})
            made.store.put("op/config", config(100))
            await until(lambda: box.state.table.version == 100)
            assert "w9" not in box.state.workers.tracked_by_id

    run(body)


def test_a_draining_worker_is_known_and_gets_nothing_new():
    async def body():
        async with fleet() as made:
            leaving = await made.add_worker("leaving")
            staying = await made.add_worker("staying", zone="far")
            box = await made.add_box()
            await made.ready(box)
            made.store.put("servers/leaving", leaving.entry("desk", "a", "draining"))
            tracked_workers = box.state.workers.tracked_by_id
            await until(lambda: tracked_workers["leaving"].worker.state is WorkerState.DRAINING)
            for number in range(10):
                assert (await ask(box, "/once/x", f"r{number}")).status == 200
            assert leaving.ran == [] and len(staying.ran) == 10

    run(body)


def test_forgotten_history_is_read_anew():
    async def body():
        async with fleet() as made:
            worker = await made.add_worker("w1")
            box = await made.add_box()
            await made.ready(box)
            made.store.put("servers/w2", worker.entry("desk", "a"))
            made.store.remove("servers/w1")
            made.store.forget_history()
            tracked_workers = box.state.workers.tracked_by_id
            await until(lambda: "w2" in tracked_workers)
            await until(
                lambda: "w1" not in tracked_workers or tracked_workers["w1"].gone_at is not None
            )

    run(body)


def test_a_watch_that_a_silent_store_swallowed_is_made_anew_soon_after_it_is_back():
    """It hung for up to 11.5 s, while new versions were written and none was heard of."""
    up_to_date_again_s = 3.0
    assert up_to_date_again_s > WATCH_PERIOD_S + WATCH_MARGIN_S

    async def body():
        async with fleet() as made:
            await made.add_worker("w1")
            box = await made.add_box()
            await made.ready(box)
            await until(lambda: made.store.calls.count("kv-watch") >= 2)
            made.store.faults.is_silent = True
            made.store.put("op/config", config(9))
            await until(lambda: box.state.table.version == 9)
            made.store.calls.clear()
            await until(lambda: "kv-watch" in made.store.calls)
            made.store.faults.is_silent = False
            made.store.put("op/config", config(10))
            made.store.calls.clear()
            await until(lambda: box.state.table.version == 10)
            assert made.store.calls.count("kv-watch") <= 4

    run(body)


def test_a_listing_of_many_pages_is_read_whole():
    async def body():
        async with fleet() as made:
            worker = await made.add_worker("w1")
            for number in range(180):
                made.store.put(f"servers/x{number:03}", worker.entry("desk", "a"))
            box = await made.add_box()
            await until(lambda: len(box.state.workers.tracked_by_id) == 181)

    run(body)


def test_a_box_goes_on_serving_while_the_store_refuses_and_catches_up_after():
    async def body():
        async with fleet() as made:
            await made.add_worker("w1")
            box = await made.add_box()
            await made.ready(box)
            made.store.faults.refuses = True
            made.store.forget_history()
            answer = await ask(box, "/once/x", "r1")
            assert answer.status == 200
            assert box.is_ready
            made.store.put("op/config", config(12))
            made.store.faults.refuses = False
            await until(lambda: box.state.table.version == 12)

    run(body)


def test_a_box_that_the_store_refuses_learns_from_a_peer():
    async def body():
        async with fleet() as made:
            await made.add_worker("w1")
            first = await made.add_box("box-1")
            await made.ready(first)
            second = await made.add_box("box-2", store_port=1)
            assert not second.is_ready
            first.state.peers.seeds = (("127.0.0.1", second.exchange.port),)
            first.exchange.send_notices()
            await until(lambda: second.is_ready)
            assert (await ask(second, "/once/x", "r1")).status == 200
            made.store.put("op/config", config(15))
            await until(lambda: second.state.table.version == 15)

    run(body)


def test_peers_hear_of_each_other_through_one_they_both_know():
    async def body():
        async with fleet() as made:
            await made.add_worker("w1")
            boxes = [await made.add_box(f"box-{n}") for n in range(3)]
            hub = (("127.0.0.1", boxes[0].exchange.port),)
            for box in boxes[1:]:
                box.state.peers.seeds = hub
            for box in boxes:
                await until(lambda box=box: box.state.peers.boxes(box.state.clock()) == 3)

    run(body)


def test_strangers_are_greeted_a_few_at_a_time_with_the_notice_that_is_there():
    """All boxes of a fleet that start at once greeted each other tens of times a second, and
    each greeting was made anew."""

    async def body():
        async with fleet() as made:
            box = await made.add_box()
            sent = []
            box.exchange._transport.close()
            box.exchange._transport = SimpleNamespace(sendto=lambda data, to: sent.append(to))
            box.exchange.send_notices()
            made_at_first = box.exchange._datagram
            for number in range(30):
                strangers = tuple(f"10.0.{number}.{n}:7000" for n in range(4))
                notice = BoxNotice(
                    started_at=1.0,
                    host=f"10.1.0.{number}",
                    notice_port=7000,
                    control_port=7001,
                    config_version=0,
                    workers_revision=0,
                    introduced=strangers,
                )
                box.exchange._hear(f"box-{number}", notice)
            assert len(sent) == MAX_GREETINGS
            assert box.exchange._datagram is made_at_first
            box.exchange.send_notices()
            sent.clear()
            box.exchange._hear("box-0", notice)
            assert len(sent) == 4

    run(body)


def test_damaged_notices_are_dropped():
    async def body():
        async with fleet() as made:
            box = await made.add_box()
            transport, _ = await asyncio.get_running_loop().create_datagram_endpoint(
                asyncio.DatagramProtocol, remote_addr=("127.0.0.1", box.exchange.port)
            )
            transport.sendto(b"\0" * 200)
            transport.sendto(b"")
            box.exchange.datagram_received(b"x" * 50, ("127.0.0.1", 1))
            assert box.state.peers.peers_by_id == {}
            transport.close()

    run(body)


def test_one_box_gives_an_order_and_only_under_its_lease():
    async def body():
        async with fleet() as made:
            prefills = [
                await made.add_worker(f"p{n}", service="llm", stage="prefill") for n in range(2)
            ]
            boxes = [await made.add_box(f"box-{n}") for n in range(3)]
            for box in boxes:
                await made.ready(box)
            await until(lambda: any(worker.orders for worker in prefills))
            turns = [box.orders.held_lease for box in boxes if box.orders.held_lease is not None]
            assert len(turns) == 1
            order = next(worker.orders[0] for worker in prefills if worker.orders)
            assert order["Operation"] == "Stage" and order["Stage"] == "decode"
            assert order["FencingToken"] == turns[0].token
            assert order["ExpectRevision"] == 5
            assert sum(len(worker.orders) for worker in prefills) == 1

    run(body)


def test_a_box_that_lost_its_lease_gives_no_order():
    async def body():
        async with fleet() as made:
            decode = await made.add_worker("d0", service="llm", stage="decode")
            prefill = await made.add_worker("p0", service="llm", stage="prefill")
            box = await made.add_box()
            await made.ready(box)
            await until(lambda: box.orders.held_lease is not None)
            token = box.orders.held_lease.token
            made.store.end_lease(box.orders.held_lease.lease_id)
            made.store.remove("servers/d0")
            await until(lambda: prefill.orders or box.orders.held_lease is None)
            assert not [order for order in prefill.orders if order["FencingToken"] == token]
            assert decode.orders == []

    run(body)


def test_a_lease_whose_grant_is_lost_is_not_taken_for_granted():
    async def body():
        async with fleet() as made:
            made.store.faults.loses_answers = True
            await made.add_worker("p0", service="llm", stage="prefill")
            box = await made.add_box()
            await made.ready(box)
            await until(lambda: "kv-lease" in made.store.calls)
            await asyncio.sleep(0)
            assert box.orders.held_lease is None

    run(body)


def test_all_boxes_hear_of_a_worker_that_changes_its_stage():
    """Each learnt it by a prompt that was refused; calls that may be sent once were lost so."""

    async def body():
        async with fleet() as made:
            for name, stage in (("p0", "prefill"), ("p1", "prefill"), ("d0", "decode")):
                await made.add_worker(name, service="llm", stage=stage)
            boxes = [await made.add_box(f"box-{n}") for n in range(3)]
            for box in boxes:
                await made.ready(box)
            hub = (("127.0.0.1", boxes[0].exchange.port),)
            for box in boxes[1:]:
                box.state.peers.seeds = hub
            for box in boxes:
                await until(lambda b=box: b.state.peers.boxes(b.state.clock()) == 3)
            first = boxes[0].state
            assert first.workers.note_changing("p0", Stage.DECODE, first.clock(), for_s=60.0)
            for box in boxes:
                await until(lambda s=box.state: s.workers.tracked_by_id["p0"].changing_until > 0)
            answer = await ask(boxes[2], "/stream/x")
            assert answer.is_whole
            assert made.workers_by_id["p0"].received == []

    run(body)


def test_a_box_that_has_listed_the_workers_takes_no_list_that_misses_a_removal():
    """A box that joined took a worker that had left back from a box that was cut off."""

    async def body():
        async with fleet() as made:
            for name in ("w1", "w2", "w3"):
                await made.add_worker(name)
            behind = await made.add_box("box-0")
            known = behind.state.workers.tracked_by_id
            await until(lambda: len(known) == 3)
            made.store.remove("servers/w3")
            await until(lambda: "w3" not in known or known["w3"].gone_at is not None)
            follower = behind.follower.workers
            follower.handlers = replace(
                follower.handlers, on_changes=lambda _: None, on_listing=lambda _: None
            )
            made.store.remove("servers/w2")
            joined = await made.add_box("box-1")
            joined.state.peers.seeds = (("127.0.0.1", behind.exchange.port),)
            state = joined.state
            await until(lambda: state.workers.revision and state.peers.boxes(state.clock()) == 2)
            await until(
                lambda: any(
                    peer.workers_revision == behind.state.workers.revision
                    for peer in state.peers.hall_peers("a", state.clock())
                )
            )
            assert behind.state.workers.revision > state.workers.revision
            for catch_up in joined.catch_ups:
                await catch_up.check()
            assert set(state.workers.tracked_by_id) == {"w1"}

    run(body)
