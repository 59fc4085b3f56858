"""Silent workers whose requests another worker or box has meanwhile: what a review found."""

import asyncio
import time

import pytest
from platform_fleet import ask, bearer, config, fleet, organisation, run, until
from stream_fleet import PARTS, began, engines, numbers, prefer
from test_silent_workers import (
    SLOW,
    WHOLE,
    asking_until_begun,
    pair_of_engines,
    paused,
    spend_budget,
    two_boxes,
)

from croftchute.forwarding.boxes.limits import GRANTED
from croftchute.forwarding.http.failures import AnswerLateError
from croftchute.forwarding.workers import worker_control
from croftchute.systems.failover_pace import MAX_SEARCHES
from croftchute.systems.timeouts import HOLD_TIMEOUT_S


async def pair_of_plain_workers(made, **options):
    """Start a box before two plain workers, of which it prefers w1."""
    own = await made.add_worker("w1", **options)
    box = await made.add_box()
    await made.ready(box)
    other = await made.add_worker("w2", zone="far", **options)
    await made.ready(box)
    prefer(box, "w1")
    return box, own, other


def test_a_failure_of_a_silent_plain_worker_ends_no_call_that_another_one_works_on():
    """Guards against an error status that is taken while the worker asked next is at work."""

    async def body():
        async with fleet() as made:
            box, own, other = await pair_of_plain_workers(made, work_s=0.1)
            asking = asyncio.create_task(ask(box, "/safe/x"))
            await until(lambda: own.runs_of("r1"))
            own.faults.status = 500
            other.work_s = 1.5
            async with paused(own):
                pass
            answer = await asking
            assert other.runs_of("r1") == 1
            assert answer.status == 200 and answer.body == b"answer of w2 to r1"

    run(body)


def test_a_failure_of_the_plain_worker_asked_next_ends_no_call_at_a_silent_one():
    """Guards against an error status that is taken while a silent worker has the call."""

    async def body():
        async with fleet() as made:
            box, own, other = await pair_of_plain_workers(made, work_s=0.1)
            asking = asyncio.create_task(ask(box, "/safe/x"))
            await until(lambda: own.runs_of("r1"))
            other.faults.status = 500
            async with paused(own):
                pass
            answer = await asking
            assert other.runs_of("r1") == 1
            assert answer.status == 200 and answer.body == b"answer of w1 to r1"

    run(body)


@pytest.mark.parametrize("failing", ["silent", "successor"])
def test_a_failure_ends_no_stream_that_another_worker_has(failing):
    """Guards against an error status that is taken before the first event of the other worker."""

    async def body():
        async with fleet() as made:
            box, own, other = await pair_of_engines(made, work_s=0.2)
            asking = asyncio.create_task(ask(box, "/resume/x"))
            await until(lambda: own.runs_of("r1"))
            if failing == "silent":
                own.faults.status = 500
                other.work_s = 1.5
            else:
                other.faults.status, other.events = 500, 1
            async with paused(own):
                pass
            answer = await asking
            assert answer.status == 200 and numbers(answer) == WHOLE
            assert other.runs_of("r1") == 1

    run(body)


def test_few_calls_for_room_are_made_by_streams_that_fall_silent_in_one_turn_of_the_loop():
    """Guards against searches that are begun before those of the same turn are counted."""

    async def body():
        async with fleet() as made:
            box, own, other = await pair_of_engines(made)
            streams = [
                asyncio.create_task(ask(box, "/resume/x", f"s{n}", deadline=9000))
                for n in range(40)
            ]
            workers = [own, other]
            await until(lambda: sum(len(worker.runs) for worker in workers) == 40)
            await asyncio.sleep(0.12)
            pace, peak = box.state.failover_pace("llm"), []
            begin = pace.begin

            def begin_and_note():
                begin()
                peak.append(pace.open)

            pace.begin = begin_and_note
            async with paused(own):
                await asyncio.sleep(0.3)
                other.faults.has_no_room = True
                time.sleep(0.9)
            for answer in await asyncio.gather(*streams):
                assert answer.is_whole and numbers(answer) == WHOLE
            assert 0 < max(peak) <= MAX_SEARCHES

    run(body)


def test_a_connection_that_breaks_while_its_successor_is_opened_ends_no_stream():
    """Guards against a repeat that is paid for and given up, so that the next one is denied."""

    async def body():
        async with fleet() as made:
            box, own, other = await pair_of_engines(made)
            asking = await asking_until_begun(box, own)
            pool, acquire = box.state.pool, box.state.pool.acquire
            budget = box.state.budget("llm")

            async def slow_acquire(host, port, **options):
                if port == other.port and options["timeout_s"] > HOLD_TIMEOUT_S:
                    await asyncio.sleep(0.1)
                return await acquire(host, port, **options)

            pool.acquire = slow_acquire
            spend_budget(box, "llm", beyond=0)
            budget.retry_times.pop()
            own.pause()
            before = len(budget.retry_times)
            await until(lambda: len(budget.retry_times) > before)
            await asyncio.sleep(0.02)
            own.reset_connections()
            answer = await asking
            own.resume()
            assert answer.is_whole and numbers(answer) == WHOLE

    run(body)


def test_a_failure_of_a_silent_worker_leaves_the_stream_where_its_only_repeat_went():
    """Guards against a successor that is ended for a failure and can't be begun again."""

    async def body():
        async with fleet() as made:
            box, own, other = await pair_of_engines(made, work_s=0.2)
            asking = asyncio.create_task(ask(box, "/resume/x"))
            await until(lambda: own.runs_of("r1"))
            own.faults.status = 500
            other.work_s = 1.5
            async with paused(own):
                await until(lambda: other.runs_of("r1"))
                spend_budget(box, "llm")
            answer = await asking
            assert answer.status == 200 and numbers(answer) == WHOLE

    run(body)


async def three_boxes(made, **options):
    """Start three boxes that know one another, and a worker that each of them prefers."""
    workers = [await made.add_worker(f"w{n}", **options) for n in range(3)]
    boxes = [await made.add_box(f"box-{n}") for n in range(3)]
    for number, box in enumerate(boxes):
        box.state.peers.seeds = tuple(("127.0.0.1", each.exchange.port) for each in boxes)
        await made.ready(box)
        prefer(box, f"w{number}")
    for box in boxes:
        await until(lambda box=box: len(box.state.peers.forward_candidates(box.state.clock())) == 2)
    return boxes, workers


def lose_links(box):
    """Have a box take its links to all workers for lost, until the end of the test."""
    box.state.links.lost_at = box.state.clock()
    box.state.links.note_round = lambda probes, now: None


def test_boxes_that_fail_a_request_of_a_silent_worker_use_no_more_workers_than_allowed():
    """Guards against a box that is asked with the attempts that another one has used up."""

    async def body():
        async with fleet() as made:
            boxes, workers = await three_boxes(made, work_s=0.1)
            asking = asyncio.create_task(ask(boxes[0], "/safe/x"))
            await until(lambda: workers[0].runs_of("r1"))
            workers[1].faults.status = workers[2].faults.status = 500
            async with paused(workers[0], seconds=2.0):
                lose_links(boxes[0])
            answer = await asking
            assert answer.status == 200
            assert sum(bool(each.runs_of("r1")) for each in workers) <= 2

    run(body)


def test_an_answer_of_another_box_that_is_no_success_is_the_callers():
    """Guards against a worker's own answer that is taken for the refusal of a box."""

    async def body():
        async with fleet() as made:
            boxes, workers = await three_boxes(made, work_s=0.1)
            asking = asyncio.create_task(ask(boxes[0], "/safe/x", deadline=3000))
            await until(lambda: workers[0].runs_of("r1"))
            workers[1].faults.status = workers[2].faults.status = 409
            async with paused(workers[0], seconds=3.2):
                lose_links(boxes[0])
                answer = await asking
            assert answer.status == 409
            assert sum(bool(each.runs_of("r1")) for each in workers) <= 2

    run(body)


def test_a_box_that_is_asked_in_vain_counts_as_an_attempt():
    """Guards against further workers after a box was left as a silent worker spoke."""

    async def body():
        async with fleet() as made:
            boxes, workers = await three_boxes(made, work_s=0.1)
            own, *others = workers
            asking = asyncio.create_task(ask(boxes[0], "/safe/x"))
            await until(lambda: own.runs_of("r1"))
            for each in others:
                each.work_s = 3.0
            own.pause()
            lose_links(boxes[0])
            await until(lambda: any(each.runs_of("r1") for each in others))
            prefer(boxes[0], "w1" if workers[2].runs_of("r1") else "w2")
            boxes[0].state.links.lost_at = None
            own.reset_connections()
            await until(lambda: all(each.runs_of("r1") for each in others) or asking.done())
            own.resume()
            asking.cancel()
            assert sum(bool(each.runs_of("r1")) for each in workers) <= 2

    run(body)


def test_a_request_that_its_silent_worker_answers_after_all_counts_against_the_limit():
    """Guards against use that is given back when other boxes are asked in vain."""
    shop = organisation("shop", "key-of-shop", RatePerS=100, Burst=1000, PlainTokens=200)

    async def grant(organisation, units, *, patience_s):
        return GRANTED

    async def body():
        async with fleet(config=config(organisations=(shop,))) as made:
            boxes, workers = await three_boxes(made, work_s=0.1)
            given_back = []
            for box in boxes:
                box.usage_limits.admit = grant
            boxes[0].usage_limits.give_back = lambda name, units: given_back.append(units)
            asking = asyncio.create_task(ask(boxes[0], "/safe/x", extra=(bearer("key-of-shop"),)))
            await until(lambda: workers[0].runs_of("r1"))
            workers[1].faults.is_full = workers[2].faults.is_full = True
            async with paused(workers[0], seconds=2.0):
                lose_links(boxes[0])
            answer = await asking
            assert answer.status == 200 and answer.body == b"answer of w0 to r1"
            assert not given_back

    run(body)


def test_requests_that_boxes_are_asked_for_again_add_nothing_to_the_retry_budget():
    """Guards against one request that counts as many, each of which would allow repeats."""

    async def body():
        async with fleet() as made:
            boxes, workers = await three_boxes(made, work_s=0.1)
            asking = asyncio.create_task(ask(boxes[0], "/safe/x"))
            await until(lambda: workers[0].runs_of("r1"))
            workers[1].faults.is_full = workers[2].faults.is_full = True
            async with paused(workers[0], seconds=3.2):
                lose_links(boxes[0])
            assert (await asking).status == 200
            counted = sum(len(box.state.budget("desk").request_times) for box in boxes)
            assert counted == 1

    run(body)


def test_a_call_for_room_that_is_lost_with_its_connection_holds_up_no_other():
    """Guards against a worker that is passed over for one connection that fell silent."""

    async def body():
        async with fleet() as made:
            box, own, other = await pair_of_engines(made)
            other.faults.has_no_room = True
            request_hold, lost = worker_control._request_hold, []

            async def lose_first(state, worker, tokens, ttl_s):
                if worker.id == "d0" and not lost:
                    lost.append(worker)
                    await asyncio.sleep(ttl_s)
                    raise AnswerLateError("no head")
                return await request_hold(state, worker, tokens, ttl_s)

            worker_control._request_hold = lose_first
            try:
                began_at = asyncio.get_running_loop().time()
                asking = [asyncio.create_task(ask(box, "/resume/x", f"r{n}")) for n in range(3)]
                answers = await asyncio.gather(*asking)
                assert [answer.status for answer in answers] == [200, 200, 200]
                assert max(each.started_at for each in own.runs) - began_at < 0.6
            finally:
                worker_control._request_hold = request_hold

    run(body)


def test_a_handle_that_a_successor_has_fetched_is_not_released():
    """Guards against a call that releases what a decode worker has taken over."""

    async def body():
        async with fleet() as made:
            box, (own, other), (prefill,) = await engines(made, decodes=2, **SLOW)
            prefer(box, "d0")
            own.kept = {"5c1e": 3, "91bd": 7}
            asking = asyncio.create_task(
                ask(box, "/resume/x", extra=(PARTS, "Last-Event-Id: 2", began(box, "d0")))
            )
            await until(lambda: own.runs_of("r1"))
            async with paused(own, seconds=0.1):
                answer = await asking
            assert answer.is_whole and other.finished == ["r1"]
            assert len(prefill.handles) == 1
            await asyncio.sleep(0.1)
            assert not [one for one in prefill.received if one.path.startswith("/kv-handle/")]

    run(body)


def test_a_silent_worker_that_breaks_ends_nothing_that_another_box_serves():
    """Guards against a box that is left for a worker's failure while it has the request."""

    async def body():
        async with fleet() as made:
            boxes, workers = await three_boxes(made, work_s=0.1)
            own, *others = workers
            asking = asyncio.create_task(ask(boxes[0], "/safe/x"))
            await until(lambda: own.runs_of("r1"))
            for each in others:
                each.work_s = 1.0
            own.pause()
            lose_links(boxes[0])
            await until(lambda: any(each.runs_of("r1") for each in others))
            for box in boxes:
                spend_budget(box, "desk")
            own.reset_connections()
            answer = await asking
            own.resume()
            assert answer.status == 200
            assert sum(each.runs_of("r1") for each in others) == 1

    run(body)


@pytest.mark.parametrize("path", ["/safe/x", "/resume/x"])
def test_what_has_run_is_not_called_not_run_by_another_box(path):
    """Guards against the refusal of a box that does not know of the run at the first one."""

    async def body():
        async with fleet() as made:
            if path.startswith("/safe/"):
                boxes, (own, *others) = await three_boxes(made, work_s=0.1)
            else:
                first, second, own, other = await two_boxes(made)
                own.work_s, boxes, others = 0.2, (first, second), (other,)
            asking = asyncio.create_task(ask(boxes[0], path))
            await until(lambda: own.runs_of("r1"))
            for each in others:
                each.faults.is_full = each.faults.has_no_room = True
            own.faults.has_no_room = True
            own.pause()
            lose_links(boxes[0])
            own.reset_connections()
            answer = await asking
            own.resume()
            assert answer.status not in (408, 421, 429, 503)

    run(body)
