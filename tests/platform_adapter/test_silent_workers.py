"""Workers that fall silent for a moment and go on: their callers get whole answers."""

import asyncio
import contextlib

from platform_fleet import ask, fleet, run, until
from stream_fleet import engines, numbers, prefer, ran

PAUSE_S = 1.3
"""Longer than a stream's time-outs, shorter than the gap that its callers bear."""

EVENTS = 12
WHOLE = list(range(1, EVENTS + 1))
SLOW = {"events": EVENTS, "gap_s": 0.05}


@contextlib.asynccontextmanager
async def paused(*workers, seconds=PAUSE_S):
    """Pause workers for the body of the statement, and for some time at least."""
    for worker in workers:
        worker.pause()
    resuming = asyncio.create_task(asyncio.sleep(seconds))
    try:
        yield
        await resuming
    finally:
        for worker in workers:
            worker.resume()


async def asking_until_begun(box, worker, path="/resume/x", request_id="r1", **options):
    """Ask for a stream, and return the task of its answer once it has run for a few events."""
    asking = asyncio.create_task(ask(box, path, request_id, **options))
    await until(lambda: worker.runs_of(request_id))
    await asyncio.sleep(0.12)
    return asking


async def pair_of_engines(made, **options):
    """Start a box before two decode workers, of which it prefers d0."""
    box, (own, other), _ = await engines(made, decodes=2, **(SLOW | options))
    prefer(box, "d0")
    return box, own, other


def test_a_stream_is_not_cut_off_while_no_other_worker_has_room():
    """Guards against giving up what a silent worker runs before another one can go on with it."""

    async def body():
        async with fleet() as made:
            box, own, other = await pair_of_engines(made)
            asking = await asking_until_begun(box, own)
            other.faults.has_no_room = True
            async with paused(own):
                pass
            answer = await asking
            assert answer.is_whole and numbers(answer) == WHOLE
            assert own.finished == ["r1"] and ran([own, other]) == 1

    run(body)


def test_a_stream_is_not_cut_off_while_the_retry_budget_is_spent():
    """Guards against giving up what a silent worker runs when no repeat is allowed."""

    async def body():
        async with fleet() as made:
            box, own, other = await pair_of_engines(made)
            asking = await asking_until_begun(box, own)
            spend_budget(box, "llm")
            async with paused(own):
                pass
            answer = await asking
            assert answer.is_whole and numbers(answer) == WHOLE
            assert own.finished == ["r1"] and ran([own, other]) == 1
            assert not other.holds

    run(body)


def test_streams_go_on_after_all_workers_were_silent_at_once():
    """Guards against cutting streams off when the workers of a service pause together."""

    async def body():
        async with fleet() as made:
            box, own, other = await pair_of_engines(made)
            everyone = list(made.workers_by_id.values())
            asking = [await asking_until_begun(box, own, request_id=f"r{n}") for n in range(3)]
            async with paused(*everyone):
                pass
            for answer in await asyncio.gather(*asking):
                assert answer.is_whole and numbers(answer) == WHOLE
            assert sorted(own.finished) == ["r0", "r1", "r2"] and not other.finished

    run(body)


def spend_budget(box, service):
    """Leave no repeat to a service."""
    window = box.state.budget(service)
    while window.spend(box.state.clock(), boxes=box.state.boxes):
        pass
