"""An incident: workers that named a limit of 1.4 and 2.2 requests a second got more of the boxes.

Seen: three workers of a service had named in their answers how many requests a second they take
from all boxes together. In some 4 s they got 16 and 19 requests, where 13 and 18 are allowed.

How it came about: nothing changed in the sending after the first answer that named a limit. Boxes
went on choosing by load and failures; no line of any log spoke of a limit.

Cause: the limit was read nowhere, and it is a number that no box can keep by itself: read at each
box alone, eight boxes would have sent eight times as much.

Proof: these tests, without any trouble at links, boxes or the store. One box alone sent 42 requests
in 4 s to a worker that takes 2 a second (17 are allowed), three boxes 123; so neither the sum over
boxes that each keep the limit, nor the stop of a box, explains what was seen.
"""

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
from platform_fleet import ask, fleet, run
from stream_fleet import PARTS, engines, prefer

FLOOD_S = 5.0


def assert_kept(worker, per_s):
    times = arrivals(worker, since=told_boxes(worker))
    assert most_in_a_window(times) <= allowed(per_s)


@pytest.mark.parametrize("boxes", [1, 3])
def test_boxes_keep_the_limit_of_a_worker_together(boxes):
    async def body():
        async with fleet() as made:
            limited = await made.add_worker("w0")
            other = await made.add_worker("w1")
            limited.faults.limit = "2"
            callers = Callers(await boxes_that_know_one_another(made, boxes), "/once/x")
            await callers.call_for(FLOOD_S)
            assert_kept(limited, 2.0)
            assert set(callers.statuses()) == {200}
            assert len(other.ran) > len(limited.ran)

    run(body)


def test_what_limited_workers_can_not_take_is_refused_at_once_with_a_time_to_come_back():
    async def body():
        async with fleet() as made:
            limited = {1.0: await made.add_worker("w0"), 2.5: await made.add_worker("w1")}
            for per_s, worker in limited.items():
                worker.faults.limit = f"{per_s:g}"
            callers = Callers(await boxes_that_know_one_another(made, 3), "/safe/x")
            await callers.call_for(FLOOD_S)
            for per_s, worker in limited.items():
                assert_kept(worker, per_s)
            refused = [answer for answer, _ in callers.answers if answer.status == 503]
            assert refused
            assert all(float(answer.headers["retry-after"]) > 0.0 for answer in refused)

    run(body)


@pytest.mark.parametrize("path", ["/stream/x", "/resume/x"])
@pytest.mark.parametrize("stage", ["decode", "prefill"])
def test_all_calls_of_a_limited_engine_count(path, stage):
    async def body():
        async with fleet() as made:
            box, decodes, prefills = await engines(made)
            limited = decodes[0] if stage == "decode" else prefills[0]
            limited.faults.limit = "2"
            callers = Callers([box], path, extra=(PARTS,))
            await callers.call_for(FLOOD_S)
            assert_kept(limited, 2.0)
            assert set(callers.statuses()) == {200}

    run(body)


def test_a_box_keeps_a_limit_that_it_has_heard_of_by_another_box_alone():
    async def body():
        async with fleet() as made:
            limited = await made.add_worker("w0")
            await made.add_worker("w1")
            first, second = await boxes_that_know_one_another(made, 2)
            limited.faults.limit = "0.5"
            prefer(first, "w0")
            await ask(first, "/once/x", "r0")
            await asyncio.sleep(0.7)
            callers = Callers([second], "/once/x")
            await callers.call_for(FLOOD_S)
            assert_kept(limited, 0.5)

    run(body)
