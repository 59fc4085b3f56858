"""Services that are silent: requests that have no worker yet, and what is released meanwhile."""

import asyncio

from platform_fleet import ENGINE, ask, config, fleet, run, until
from stream_fleet import engines, numbers, prefer
from test_silent_workers import SLOW, WHOLE, holds_asked, pair_of_engines, paused

HOLD_S = 0.5
TARGET_S = 0.9

LATE_S = 0.5
"""Seconds beyond the time of a request until which it must be answered (the users' bound)."""


def config_of_short_holds():
    changed = config()
    changed["Services"][0]["Engine"] = ENGINE | {"HoldMs": HOLD_S * 1000}
    return changed


async def timed(box, request_id="r1", **options):
    """Ask for a stream; return its answer and the seconds until its end."""
    loop = asyncio.get_running_loop()
    began_at = loop.time()
    answer = await ask(box, "/resume/x", request_id, **options)
    return answer, loop.time() - began_at


def was_asked_for(worker, prefix):
    return any(request.path.startswith(prefix) for request in worker.received)


def test_a_request_is_answered_in_its_time_however_many_workers_are_silent():
    """Guards against asking all workers of a silent service for room, one after the other."""

    async def body():
        async with fleet() as made:
            box, workers, _ = await engines(made, decodes=30, **SLOW)
            async with paused(*workers):
                answer, took_s = await timed(box, deadline=1000)
            assert answer.status == 503 and b'"ran":"not_run"' in answer.body
            assert took_s < 1.0 + LATE_S
            await until(lambda: not any(worker.holds for worker in workers))

    run(body)


def test_new_requests_to_a_silent_service_are_refused_before_their_target_with_few_calls():
    """Guards against requests that are held until their deadline, and calls that none answers."""

    async def body():
        async with fleet(config=config_of_short_holds()) as made:
            box, own, other = await pair_of_engines(made)
            workers = [own, other]
            asking = []
            async with paused(*workers, seconds=2.0):
                for n in range(100):
                    asking.append(asyncio.create_task(timed(box, f"r{n}", deadline=8000)))
                    await asyncio.sleep(0.015)
                found = await asyncio.gather(*asking)
            assert {answer.status for answer, _ in found} == {503}
            assert max(took_s for _, took_s in found) < TARGET_S
            await until(lambda: not any(worker.holds for worker in workers))
            assert max(holds_asked(worker) for worker in workers) < len(found) / 2
            answer, _ = await timed(box, "after")
            assert answer.is_whole and numbers(answer) == WHOLE

    run(body)


def test_a_hold_that_a_silent_worker_grants_late_is_released():
    """Guards against memory that a late hold keeps from others until it lapses."""

    async def body():
        async with fleet() as made:
            box, own, other = await pair_of_engines(made)
            async with paused(own, seconds=0.4):
                answer, _ = await timed(box)
            assert answer.is_whole and other.finished == ["r1"]
            await until(lambda: was_asked_for(own, "/hold-drop/"))
            assert not own.holds and own.arrivals == []
            assert box.state.workers.tracked_by_id["d0"].late_holds == 0

    run(body)


def test_a_hold_whose_worker_is_silent_when_it_is_released_does_not_last():
    """Guards against memory that is kept for a caller who left while its worker was silent."""

    async def body():
        async with fleet(config=config_of_short_holds()) as made:
            box, (own, _), (prefill,) = await engines(made, decodes=2, **SLOW)
            prefer(box, "d0")
            prefill.work_s = 5.0
            asking = asyncio.create_task(timed(box))
            await until(lambda: own.holds)
            async with paused(own, seconds=0.4):
                asking.cancel()
                await until(lambda: box.ingress.open_requests == 0)
            await until(lambda: not own.holds and not own.is_paused)
            assert own.arrivals == []
            await until(lambda: not box.state.background)

    run(body)


def test_a_handle_whose_worker_is_silent_when_it_is_released_does_not_last():
    """Guards against a prompt's memory that is kept though no worker will fetch it."""

    async def body():
        async with fleet() as made:
            box, (own,), (prefill,) = await engines(made, decodes=1, **SLOW)
            prefill.handle_ttl_s = 1.0
            own.work_s = 5.0
            asking = asyncio.create_task(timed(box))
            await until(lambda: own.arrivals)
            async with paused(prefill, seconds=0.4):
                assert prefill.handles
                asking.cancel()
                await until(lambda: box.ingress.open_requests == 0)
            await until(lambda: not prefill.handles and own.dropped == ["r1"])
            await until(lambda: not box.state.background)

    run(body)
