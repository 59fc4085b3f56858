"""An incident: a worker had asked a box for three seconds of rest, and got three requests from it.

Seen: the one prefill worker of a service turned prompts away for nine seconds and asked for rest
each time; boxes went on sending it what came. The refused reading also took the one attempt that
some requests had, so that callers were refused beside decode workers with room.

How it came about: a refusal weighed as half a failure, which fades within seconds and only ranks
workers; the only one of its stage stayed the cheapest.

Cause: when the worker wants work again was read nowhere, so nothing could keep the box away.

Proof: three prompts of three requests in the box's log between the refusal and the end of the rest,
each turned away within 4 ms; these tests bring the same about with sound links and stores.
"""

import asyncio

import pytest
from platform_fleet import ask, fleet, run, until
from stream_fleet import PARTS, engines, prefer

from croftchute.forwarding.workers.worker_control import MAX_HOLD_TTL_S, acquire_hold, release_hold
from croftchute.systems.timeouts import FULL_WORKER_BACKOFF_S

REST_S = 5.0
LATER_REQUESTS = 6


def prompts(worker):
    return [r.id for r in worker.received if r.headers.get("x-croftchute-stage") == "prefill"]


def test_a_prefill_worker_that_asked_for_rest_gets_no_prompts():
    async def body():
        async with fleet() as made:
            box, _, (prefill,) = await engines(made)
            prefill.faults.is_full = True
            prefill.faults.rest_s = REST_S
            await ask(box, "/resume/x", "first", extra=(PARTS,))
            for n in range(LATER_REQUESTS):
                answer = await ask(box, "/stream/x", f"r{n}", extra=(PARTS,))
                assert answer.status == 200
            assert prompts(prefill) == ["first"]

    run(body)


@pytest.mark.parametrize("path", ["/once/x", "/safe/x"])
def test_a_plain_worker_that_asked_for_rest_gets_no_calls(path):
    async def body():
        async with fleet() as made:
            resting = await made.add_worker("w0")
            await made.add_worker("w1")
            box = await made.add_box()
            await made.ready(box)
            resting.faults.is_full = True
            resting.faults.rest_s = REST_S
            prefer(box, "w0")
            await ask(box, path, "first")
            for n in range(LATER_REQUESTS):
                prefer(box, "w0")
                assert (await ask(box, path, f"r{n}")).status == 200
            assert [r.id for r in resting.received] == ["first"]

    run(body)


def test_a_decode_worker_that_asked_for_rest_is_not_asked_for_room():
    async def body():
        async with fleet() as made:
            box, (resting, _), _ = await engines(made)
            prefer(box, "d0")
            resting.faults.has_no_room = True
            resting.faults.rest_s = REST_S
            assert (await ask(box, "/stream/x", "first", extra=(PARTS,))).status == 200
            asked = len(resting.received)
            assert asked == 1
            for n in range(LATER_REQUESTS):
                prefer(box, "d0")
                await asyncio.sleep(2 * FULL_WORKER_BACKOFF_S)
                assert (await ask(box, "/stream/x", f"r{n}", extra=(PARTS,))).status == 200
            assert len(resting.received) == asked

    run(body)


def test_where_all_workers_rest_callers_are_told_at_once_when_to_come_back():
    async def body():
        async with fleet() as made:
            only = await made.add_worker("w0")
            box = await made.add_box()
            await made.ready(box)
            only.faults.is_full = True
            only.faults.rest_s = REST_S
            for n in range(LATER_REQUESTS):
                answer = await ask(box, "/once/x", f"r{n}")
                assert answer.status == 503
                assert float(answer.headers["retry-after"]) > REST_S / 2
            assert [r.id for r in only.received] == ["r0", "r1"]

    run(body)


def test_a_caller_whose_attempt_went_on_a_refused_reading_may_come_back_at_once():
    async def body():
        async with fleet() as made:
            box, _, (prefill,) = await engines(made)
            prefill.faults.is_full = True
            prefill.faults.rest_s = REST_S
            refused = await ask(box, "/stream/x", "first", extra=(PARTS,))
            assert (refused.status, refused.headers["retry-after"]) == (503, "0.100")
            assert (await ask(box, "/stream/x", "again", extra=(PARTS,))).status == 200

    run(body)


def test_room_at_a_worker_that_came_to_rest_meanwhile_is_not_used():
    async def body():
        async with fleet() as made:
            box, (first, second), (prefill,) = await engines(made)
            prefer(box, "d0")
            prefill.work_s = 0.2
            asked = asyncio.create_task(ask(box, "/stream/x", "r1", extra=(PARTS,)))
            await until(lambda: first.holds)
            box.state.workers.advice.note_backoff("d0", REST_S, box.state.clock())
            assert (await asked).status == 200
            assert (first.ran, second.ran) == ([], ["r1"])
            assert [r.path for r in first.received] == ["/hold-take"]

    run(body)


def test_what_a_resting_worker_keeps_is_given_back_after_its_rest():
    async def body():
        async with fleet() as made:
            box, (decode, *_), _ = await engines(made)
            state = box.state
            worker = state.workers.tracked_by_id["d0"].worker
            hold = await acquire_hold(state, worker, 10, 2.0)
            state.workers.advice.note_backoff("d0", 0.3, state.clock())
            ends_at = state.clock() + 0.3
            giving_back = asyncio.create_task(release_hold(state, hold, "r1"))
            await until(lambda: len(decode.received) > 1)
            assert state.clock() >= ends_at
            await giving_back
            assert decode.holds == set()

    run(body)


def test_a_worker_that_rests_for_longer_than_its_leases_keeps_them_until_they_lapse():
    async def body():
        async with fleet() as made:
            box, (decode, *_), _ = await engines(made)
            state = box.state
            hold = await acquire_hold(state, state.workers.tracked_by_id["d0"].worker, 10, 2.0)
            state.workers.advice.note_backoff("d0", 2 * MAX_HOLD_TTL_S, state.clock())
            await release_hold(state, hold, "r1")
            assert [r.path for r in decode.received] == ["/hold-take"]

    run(body)
