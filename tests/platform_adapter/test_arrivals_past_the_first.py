"""Arrivals past the first of each request, as the workers count them.

Guards against arrivals that no box counts: the users' pages bound them over all boxes, by a share
of the requests and a constant. Only the first call that reads a prompt, and that a worker takes up,
is free.
"""

import asyncio
import os
import random
import signal

import pytest
from platform_fleet import ask, fleet, read_answer, request_bytes, run, until
from stream_fleet import engines
from test_cut_off_from_workers import linked_boxes
from test_silent_workers import spend_budget

from croftchute.forwarding.state import LEARN_PEERS_S
from croftchute.soak.boxes import SoakBox, lay_out, own_network
from croftchute.soak.keys import STANDING_KEY
from croftchute.soak.proxy import LinkFault
from croftchute.soak.world import VIRTUAL_HOST, SoakWorld
from croftchute.standins.arrival_count import excess_arrival_times, most_in_window
from croftchute.standins.platform_caller import PlatformCaller, RequestKind, Try
from croftchute.standins.worker_records import WorkerFaults

WINDOW_S = 10.0
ASKED = 40
RATIO = 0.2
SEND_S = 0.1
"""Seconds within which a call that is sent reaches a worker on loopback."""


def allowed_of(box, requests):
    limits = box.state.retry_limits
    return limits.ratio * requests + limits.slack


def test_silent_prefill_workers_take_no_more_than_the_budget():
    """Guards against prefill calls that count as nothing as their worker does not answer."""

    async def body():
        async with fleet() as made:
            box, decodes, prefills = await engines(made, decodes=4, prefills=6)
            for prefill in prefills:
                prefill.faults.is_silent = True
            asked = 60
            answers = await asyncio.gather(*(ask(box, "/resume/x", f"r{n}") for n in range(asked)))
            assert all(answer.status == 200 and answer.is_whole for answer in answers)
            excess = excess_arrival_times([*decodes, *prefills])
            assert len(excess) <= allowed_of(box, asked)

    run(body)


def test_a_retry_counts_from_the_moment_at_which_its_call_is_sent():
    """Guards against a window of retries that has forgotten calls which workers get in it."""

    async def body():
        async with fleet() as made:
            box, decodes, prefills = await engines(made, decodes=2, prefills=1)
            prefills[0].faults.is_silent = True
            answer = await ask(box, "/resume/x", "r0")
            assert answer.status == 200
            (arrived_at,) = excess_arrival_times([*decodes, *prefills])
            (taken_at,) = box.state.budget("llm").retry_times
            assert abs(arrived_at - taken_at) < SEND_S

    run(body)


def test_a_prompt_of_a_passed_request_is_read_ahead_only_within_the_budget():
    """Guards against a second prefill call that no box counts, when a request crosses two boxes."""

    async def body():
        async with fleet() as made:
            box, decodes, (prefill,) = await engines(made, decodes=2)
            spend_budget(box, "llm")
            reader, writer = await asyncio.open_connection("127.0.0.1", box.control.port)
            terms = "croftchute-forward: 7 1 box-9"
            writer.write(request_bytes("/resume/x", extra=(terms,)))
            answer = await read_answer(reader)
            writer.close()
            assert answer.status == 503
            assert prefill.arrivals == [] and all(not one.arrivals for one in decodes)

    run(body)


def test_boxes_that_hear_nobody_divide_the_budget_by_the_recorded_fleet():
    """Guards against a hall in a cut, or a box that has just begun, that uses the slack of all."""

    async def body():
        async with fleet() as made:
            made.store.put("croftchute/fleet", {"boxes": 8, "pool": "", "host": "", "port": 0})
            box, decodes, (prefill,) = await engines(made, decodes=4)
            await until(lambda: box.fleet_size.is_known)
            prefill.end()
            for decode in decodes:
                decode.faults.is_full = True
            asked = 20
            for number in range(asked):
                await ask(box, "/resume/x", f"r{number}", deadline=800)
            excess = excess_arrival_times([*decodes, prefill])
            limits = box.state.retry_limits
            assert len(excess) <= limits.ratio * asked + limits.slack / 8

    run(body)


def test_a_box_that_does_not_know_the_fleet_uses_none_of_the_constant():
    """Guards against boxes that start in a cut and each use what is meant for all of them."""

    async def body():
        async with fleet() as made:
            box, *_ = await engines(made)
            box.state.begun_at -= 2 * WINDOW_S
            box.state.started_at -= 2 * WINDOW_S
            box.fleet_size.recorded = None
            assert box.state.budget("llm").left(box.state.clock(), share=box.state.retry_share) == 0

    run(body)


async def rejected_request(box, name):
    caller = PlatformCaller(
        box=box.name,
        host=box.address.host,
        port=box.address.callers,
        virtual_host=VIRTUAL_HOST,
    )
    attempt = Try(
        request_id=name,
        kind=RequestKind.REPEATABLE,
        path=f"/repeatable/{name}",
        body=b"",
        box=box.name,
        sent_at=0.0,
        key=STANDING_KEY,
    )
    await caller.send(attempt, deadline_s=2.0)
    caller.close()


def test_a_box_that_was_killed_does_not_spend_its_share_anew(tmp_path):
    """Guards against a box that forgets with its process what it has spent of the budget."""
    slack, lives = 40.0, 2

    async def body():
        world = SoakWorld()
        await world.start(desks=4, engines=0)
        (address,) = lay_out(own_network(os.getpid()), 1)
        box = SoakBox(
            name="box-1",
            hall="a",
            address=address,
            folder=tmp_path,
            store_port=world.store.ingress.port,
            seeds=(),
            retry_slack=slack,
        )
        box.write_settings()
        running = asyncio.create_task(box.keep_running(lambda _: None))
        workers = [listed.worker for listed in world.workers_by_id.values()]
        for worker in workers:
            worker.faults.is_full = True
        try:
            for _ in range(lives):
                await until(lambda: box.is_up)
                # By then a box counts the boxes that it hears, which is itself alone.
                await asyncio.sleep(LEARN_PEERS_S + 0.2)
                names = [f"{box.life}-{number}" for number in range(ASKED)]
                await asyncio.gather(*(rejected_request(box, name) for name in names))
                life = box.life
                box.end(signal.SIGKILL)
                await until(lambda life=life: box.life > life and box.is_up)
        finally:
            box.is_wanted = False
            box.end(signal.SIGKILL)
            await running
            world.stop()
        times = excess_arrival_times(workers)
        assert times and times[-1] - times[0] < WINDOW_S
        assert most_in_window(times, WINDOW_S) <= RATIO * ASKED * lives + slack

    run(body)


def draw_faults(rng, workers):
    """Give each worker a fault that lasts until the next draw, or none."""
    for worker in workers:
        kinds = ["sound", "sound", "is_full", "is_silent", "resets_before_answer", "handles_lapse"]
        kind = rng.choice(kinds)
        worker.faults = WorkerFaults(**({kind: True} if kind != "sound" else {}))
        if worker.stage == "decode" and rng.random() < 0.2:
            worker.faults = WorkerFaults(resets_after_events=1)


@pytest.mark.parametrize("seed", range(4))
def test_each_arrival_past_the_first_took_a_retry(seed):
    """Guards against a way to a worker that passes the budget by: counted by the workers alone."""

    async def body():
        rng = random.Random(seed)
        async with fleet() as made:
            links = await linked_boxes(made, 3)
            engines_of = [worker for worker in made.workers_by_id.values() if worker.stage]
            asking = []
            for number in range(160):
                if number % 20 == 0:
                    draw_faults(rng, engines_of)
                if number == 60:
                    await links[0].cut(LinkFault.CLOSED)
                if number == 120:
                    await links[0].heal()
                path = rng.choice(["/resume/x", "/stream/x"])
                asking.append(
                    asyncio.create_task(
                        ask(rng.choice(made.boxes), path, f"r{number}", deadline=2500)
                    )
                )
                await asyncio.sleep(0.02)
            await asyncio.gather(*asking, return_exceptions=True)
            await asyncio.sleep(0.2)
            paid = sum(len(box.state.budget("llm").retry_times) for box in made.boxes)
            excess = excess_arrival_times(engines_of)
            assert 0 < len(excess) <= paid

    run(body)
