"""Limits of workers through time and trouble: changed, ended, odd, beside losses and cuts."""

import asyncio

import pytest
from limit_fleet import (
    Callers,
    allowed,
    arrivals,
    boxes_that_know_one_another,
    most_in_a_window,
    told_boxes,
)
from platform_fleet import ask, fleet, run, until
from stream_fleet import engines, prefer

from croftchute.forwarding.boxes.limits import Allowance, AllowanceOutcome
from croftchute.forwarding.workers.worker_control import (
    STATUS_NOT_PERMITTED,
    release_hold,
    send_stage_order,
)
from croftchute.steady_clock import steady_s
from croftchute.systems.lent_share import WORKERS_GROUP
from croftchute.systems.worker_limits import LIMIT_END_DELAY_S
from croftchute.tables.routing import Stage

FLOOD_S = 5.0
SOME_USE = 0.5
"""Share of a limit that callers get at least in trouble where they ask for more."""


async def limited_fleet(made, per_s, *, boxes=3):
    limited = await made.add_worker("w0")
    await made.add_worker("w1")
    limited.faults.limit = per_s
    return limited, await boxes_that_know_one_another(made, boxes)


def assert_kept(worker, per_s, *, since=0.0):
    times = arrivals(worker, since=max(since, told_boxes(worker)))
    assert most_in_a_window(times) <= allowed(per_s)


def pool_of(boxes):
    name = boxes[0].shared_rates.groups[WORKERS_GROUP].share.pool
    return next(box for box in boxes if box.settings.box == name)


def test_a_limit_is_kept_and_used_that_is_named_while_the_store_is_away():
    async def body():
        async with fleet() as made:
            limited, boxes = await limited_fleet(made, "")
            await until(lambda: all(box.fleet_size.is_known for box in boxes))
            made.store.faults.refuses = True
            limited.faults.limit = "4"
            await Callers(boxes, "/once/x").call_for(FLOOD_S)
            assert_kept(limited, 4.0)
            assert len(arrivals(limited)) >= SOME_USE * 4.0 * FLOOD_S

    run(body)


def test_a_limit_is_kept_while_the_box_that_keeps_the_pool_is_lost():
    async def body():
        async with fleet() as made:
            limited, boxes = await limited_fleet(made, "3")
            callers = Callers(boxes, "/once/x")
            await callers.call_for(1.5)
            lost = pool_of(boxes)
            callers.boxes = [box for box in boxes if box is not lost]
            lost.exchange._transport.close()
            lost.exchange._transport = None
            await callers.call_for(FLOOD_S)
            assert_kept(limited, 3.0)

    run(body)


def test_a_box_that_begins_anew_knows_the_limit_by_its_peers_and_has_no_share_of_its_own():
    async def body():
        async with fleet() as made:
            limited, boxes = await limited_fleet(made, "1")
            await Callers(boxes, "/once/x").call_for(1.0)
            anew = await made.add_box("box-4")
            anew.state.peers.seeds = tuple(("127.0.0.1", box.exchange.port) for box in boxes)
            anew.exchange.send_notices()
            await made.ready(anew)
            await until(lambda: anew.state.workers.limits.by_id)
            began_at = asyncio.get_running_loop().time()
            await Callers([*boxes, anew], "/once/x").call_for(FLOOD_S)
            assert_kept(limited, 1.0, since=began_at)

    run(body)


def test_halls_that_are_cut_off_keep_the_limit_together():
    async def body():
        async with fleet() as made:
            limited, boxes = await limited_fleet(made, "2")
            callers = Callers(boxes, "/once/x")
            await callers.call_for(1.0)
            for box in boxes[1:]:
                cut_off(boxes[0], box)
            await callers.call_for(FLOOD_S + 1.0)
            assert_kept(limited, 2.0)

    run(body)


def cut_off(one, other):
    """No datagram of either box reaches the other any more."""
    for sender, receiver in ((one, other), (other, one)):
        soundly = receiver.exchange.datagram_received
        port = sender.exchange.port

        def received(data, addr, soundly=soundly, port=port):
            if addr[1] != port:
                soundly(data, addr)

        receiver.exchange.datagram_received = received


@pytest.mark.parametrize("seconds", [3.0, 30.0])
def test_a_pool_whose_machine_was_suspended_gives_nothing_more_for_it(seconds):
    async def body():
        async with fleet() as made:
            limited, boxes = await limited_fleet(made, "2")
            callers = Callers(boxes, "/once/x")
            await callers.call_for(1.5)
            pool = pool_of(boxes)
            pool.state.clock = lambda: steady_s() + seconds
            await callers.call_for(FLOOD_S)
            assert_kept(limited, 2.0)

    run(body)


def test_a_limit_that_falls_is_kept_by_all_boxes_and_one_that_rises_is_used():
    async def body():
        async with fleet() as made:
            limited, boxes = await limited_fleet(made, "12")
            callers = Callers(boxes, "/once/x", pause_s=0.03)
            loop = asyncio.get_running_loop()
            await callers.call_for(2.0)
            limited.faults.limit = "1"
            fell_at = loop.time()
            await callers.call_for(FLOOD_S)
            assert_kept(limited, 1.0, since=fell_at + 1.0)
            limited.faults.limit = "12"
            await callers.call_for(2.0)
            rose_at = loop.time()
            await callers.call_for(2.0)
            assert len(arrivals(limited, since=rose_at)) >= SOME_USE * 12.0 * 2.0

    run(body)


def test_a_limit_that_every_other_answer_leaves_out_holds():
    async def body():
        async with fleet() as made:
            limited, boxes = await limited_fleet(made, "2")

            async def name_now_and_then():
                while True:
                    seen = len(limited.received)
                    await until(lambda seen=seen: len(limited.received) > seen)
                    limited.faults.limit = "" if limited.faults.limit else "2"

            naming = asyncio.create_task(name_now_and_then())
            await Callers(boxes, "/once/x").call_for(FLOOD_S)
            naming.cancel()
            assert_kept(limited, 2.0)

    run(body)


def test_a_worker_whose_need_is_over_gets_its_full_share_again_some_seconds_later():
    async def body():
        async with fleet() as made:
            limited, boxes = await limited_fleet(made, "1")
            callers = Callers(boxes, "/once/x")
            await callers.call_for(1.0)
            limited.faults.limit = ""
            ended_at = asyncio.get_running_loop().time()
            await callers.call_for(LIMIT_END_DELAY_S + 2.5)
            after = len(arrivals(limited, since=ended_at + LIMIT_END_DELAY_S + 1.5))
            assert after > 3 * allowed(1.0) / 4.0

    run(body)


@pytest.mark.parametrize("odd", ["-1", "many", "", "1e3", "9" * 60])
def test_an_odd_limit_keeps_nobody_away(odd):
    async def body():
        async with fleet() as made:
            only = await made.add_worker("w0")
            box = await made.add_box()
            await made.ready(box)
            only.faults.limit = odd
            statuses = [(await ask(box, "/once/x", f"r{n}")).status for n in range(20)]
            assert statuses == [200] * 20
            assert not box.state.workers.limits.by_id

    run(body)


def test_a_new_life_of_a_worker_has_no_limit_of_its_former_one():
    async def body():
        async with fleet() as made:
            box = await plain_box(made)
            limits = box.state.workers.limits
            limits.note_limit("w0", 0.1, box.state.clock())
            await made.add_worker("w0-again")
            await made.ready(box)
            prefer(box, "w0-again")
            assert (await ask(box, "/once/x", "r1")).status == 200
            assert limits.limit_of("w0-again", box.state.clock()) is None

    run(body)


async def plain_box(made):
    await made.add_worker("w0")
    box = await made.add_box()
    await made.ready(box)
    return box


def exhaust(box, worker_id):
    """Let a worker's limit be reached for this box."""
    limits = box.state.workers.limits
    limits.note_limit(worker_id, 0.5, box.state.clock())
    limits.by_id[worker_id].blocked_until = box.state.clock() + 60.0


def test_orders_and_releases_are_not_sent_where_the_limit_is_reached():
    async def body():
        async with fleet() as made:
            box, (decode, _), _ = await engines(made)
            worker = box.state.workers.tracked_by_id["d0"].worker
            exhaust(box, "d0")
            status = await send_stage_order(
                box.state, worker, Stage.PREFILL, holder="box-1", token=1
            )
            hold = box.state.workers_speak.hold(b'{"Hold":"h1"}', worker)
            await release_hold(box.state, hold, "r1")
            assert status == STATUS_NOT_PERMITTED
            assert decode.received == []

    run(body)


def test_a_request_that_no_worker_may_take_is_told_when_one_may():
    async def body():
        async with fleet() as made:
            box = await plain_box(made)
            exhaust(box, "w0")
            began_at = box.state.clock()
            answer = await ask(box, "/once/x", "r1", deadline=60_000)
            assert answer.status == 503
            assert float(answer.headers["retry-after"]) > 2.0
            assert box.state.clock() - began_at < 1.0

    run(body)


def test_a_request_in_the_moment_of_a_first_limit_waits_for_the_shares_in_place_of_a_refusal():
    async def body():
        async with fleet() as made:
            box = await plain_box(made)
            group = box.shared_rates.groups[WORKERS_GROUP]
            group.share.started_at -= 60.0
            await until(lambda: box.fleet_size.is_known)
            box.state.workers.limits.note_limit("w0", 4.0, box.state.clock())
            assert (await ask(box, "/once/x", "r1")).status == 200

    run(body)


def test_a_limit_that_ends_while_the_pool_is_asked_leaves_nothing_to_trip_over():
    async def body():
        async with fleet() as made:
            box = await plain_box(made)
            limits = box.state.workers.limits
            limits.note_limit("w0", 1.0, box.state.clock())

            async def denied(group, want, *, patience_s):
                limits.by_id.clear()
                return Allowance(outcome=AllowanceOutcome.DENIED, wait_s=0.1)

            box.shared_rates.take = denied
            assert (await ask(box, "/once/x", "r1")).status == 200

    run(body)


def test_a_permit_for_a_call_that_did_not_come_about_is_given_back():
    async def body():
        async with fleet() as made:
            box = await plain_box(made)
            box.state.workers.limits.note_limit("w0", 2.0, box.state.clock())
            group = box.shared_rates.groups[WORKERS_GROUP]
            group.share.started_at -= 60.0
            await until(lambda: group.pool.live_share(box.state.clock()) > 0.0)
            made.workers_by_id["w0"].stop()
            given_back = []
            box.shared_rates.give_back = lambda _, name, units: given_back.append((name, units))
            await ask(box, "/once/x", "r1", deadline=3000)
            assert given_back == [("w0", 1.0)]

    run(body)
