"""Streams that are taken up after all boxes that knew where they began have ended.

Guards against LOST, as no such stream was continued, and against ORDER, as its rest must not come
from another software version than its first events.
"""

import asyncio

import pytest
from platform_fleet import ask, fleet, run, until
from version_fleet import add_boxes, add_engines, begin, decoding, kill

TWO_EACH = {"old-0": "v1", "old-1": "v1", "new-0": "v2", "new-1": "v2"}


async def replace_boxes(made, halls="abc"):
    """Kill all boxes at once, and start as many that have heard nothing."""
    for box in made.boxes:
        kill(box)
    made.boxes.clear()
    await add_boxes(made, halls)


def joined(streams):
    return [stream.software for stream in streams if len(stream.software) > 1]


async def take_up(made, streams, tries=4):
    """Ask for the rest of streams at any box, as often as callers do that are refused."""
    left = [stream for stream in streams if not stream.is_complete]
    for number in range(tries):
        await asyncio.gather(
            *(
                stream.ask(made.boxes[(place + number) % len(made.boxes)])
                for place, stream in enumerate(left)
            )
        )
        left = [stream for stream in left if not stream.is_complete]
        if not left:
            return
        await asyncio.sleep(0.3)


@pytest.mark.parametrize("is_named", [True, False], ids=["named", "unnamed"])
def test_streams_go_on_at_their_version_after_all_boxes_were_killed(is_named):
    """503 for all: where they had begun was known to the boxes alone."""

    async def body():
        async with fleet() as made:
            await add_engines(made, TWO_EACH)
            await add_boxes(made)
            streams, tries = await begin(made.boxes, 8, is_named=is_named)
            assert decoding(made, "v1") >= 6 and decoding(made, "v2") >= 6
            await replace_boxes(made)
            await asyncio.gather(*tries)
            assert sum(not stream.is_complete for stream in streams) >= 20
            await take_up(made, streams)
            assert joined(streams) == []
            assert all(stream.is_complete for stream in streams)

    run(body)


def test_streams_go_on_after_boxes_were_killed_again_and_again():
    async def body():
        async with fleet() as made:
            await add_engines(made, TWO_EACH, events=160)
            await add_boxes(made)
            streams, tries = await begin(made.boxes, 6)
            for _ in range(2):
                await replace_boxes(made)
                await asyncio.gather(*tries)
                tries = [
                    asyncio.create_task(stream.ask(made.boxes[number % 3]))
                    for number, stream in enumerate(streams)
                ]
                await asyncio.sleep(0.5)
            await asyncio.gather(*tries)
            await take_up(made, streams)
            assert joined(streams) == []
            assert all(stream.is_complete for stream in streams)

    run(body)


@pytest.mark.parametrize("is_named", [True, False], ids=["named", "unnamed"])
@pytest.mark.parametrize("is_back", [False, True], ids=["gone", "back"])
def test_streams_of_a_version_that_left_beside_the_boxes_are_joined_to_no_other(is_back, is_named):
    """A box that had just started took the only version that it saw for the one that began them."""

    async def body():
        async with fleet() as made:
            await add_engines(made, dict(reversed(TWO_EACH.items())))
            await add_boxes(made)
            streams, tries = await begin(made.boxes, 8, is_named=is_named)
            for name in ("old-0", "old-1"):
                made.store.remove(f"servers/{name}")
                made.workers_by_id.pop(name).stop()
            await replace_boxes(made)
            await asyncio.gather(*tries)
            of_old = [stream for stream in streams if stream.software == {"v1"}]
            of_new = [stream for stream in streams if stream.software == {"v2"}]
            assert len(of_old) >= 6 and len(of_new) >= 6
            if is_back:
                await made.add_worker(
                    "again",
                    service="llm",
                    stage="decode",
                    software="v1",
                    gap_s=0.02,
                    events=80,
                )
                await until(
                    lambda: all("again" in box.state.workers.tracked_by_id for box in made.boxes)
                )
            await take_up(made, streams)
            assert joined(streams) == []
            assert all(stream.is_complete for stream in of_new)
            assert all(stream.is_complete == is_back for stream in of_old)
            if not is_back:
                assert {stream.answers[-1].status for stream in of_old} == {503}

    run(body)


@pytest.mark.parametrize("is_named", [True, False], ids=["named", "unnamed"])
def test_a_caller_that_comes_back_while_the_store_is_silent_is_refused_and_served_after_it(
    is_named,
):
    async def body():
        async with fleet() as made:
            await add_engines(made, TWO_EACH)
            await add_boxes(made)
            streams, tries = await begin(made.boxes, 6, is_named=is_named)
            await replace_boxes(made)
            await asyncio.gather(*tries)
            made.store.faults.is_silent = True
            await take_up(made, streams, tries=1)
            assert joined(streams) == []
            refused = [stream for stream in streams if not stream.is_complete]
            assert {stream.answers[-1].status for stream in refused} == {503}
            assert max(stream.seconds for stream in refused) < 1.5
            assert all(float(stream.answers[-1].headers["retry-after"]) < 2.0 for stream in refused)
            made.store.faults.is_silent = False
            await asyncio.sleep(2.5)
            await take_up(made, streams, tries=6)
            assert joined(streams) == []
            assert all(stream.is_complete for stream in streams)

    run(body)


@pytest.mark.parametrize("fault", ["refuses", "is_silent"])
def test_streams_that_begin_while_the_store_is_away_are_not_held_up_and_joined_to_none(fault):
    async def body():
        async with fleet() as made:
            await add_engines(made, TWO_EACH)
            await add_boxes(made)
            setattr(made.store.faults, fault, True)
            streams, tries = await begin(made.boxes, 6)
            assert all(stream.answers or not stream.seconds for stream in streams)
            await asyncio.sleep(0.3)
            setattr(made.store.faults, fault, False)
            await replace_boxes(made)
            await asyncio.gather(*tries)
            assert all(stream.last_event for stream in streams)
            await take_up(made, streams, tries=2)
            assert joined(streams) == []

    run(body)


def test_records_stand_again_after_the_store_came_back_from_an_older_copy():
    async def body():
        async with fleet() as made:
            made.store.era = 3
            await add_engines(made, TWO_EACH, events=160)
            await add_boxes(made)
            copy = made.store.copy()
            streams, tries = await begin(made.boxes, 6)
            made.store.restore(copy)
            for box in made.boxes:
                await until(lambda box=box: box.state.workers.revision >> 40 == 4)
            await asyncio.sleep(1.0)
            await replace_boxes(made)
            await asyncio.gather(*tries)
            await take_up(made, streams)
            assert joined(streams) == []
            assert all(stream.is_complete for stream in streams)

    run(body)


def test_a_stream_of_a_try_that_nobody_recorded_is_refused_at_once():
    async def body():
        async with fleet() as made:
            await add_engines(made, TWO_EACH, events=4)
            await add_boxes(made)
            streams, tries = await begin(made.boxes, 2)
            await asyncio.gather(*tries)
            await replace_boxes(made)
            extra = ["Last-Event-Id: 2", "Resumes: nobody"]
            answer = await ask(made.boxes[0], "/resume/x", "odd", extra=extra)
            assert answer.status == 503

    run(body)


def test_streams_of_a_hall_of_many_boxes_go_on_after_all_were_killed():
    """Some of its boxes have no record of their own: others write and read for them."""

    async def body():
        async with fleet() as made:
            await add_engines(made, TWO_EACH, events=160)
            await add_boxes(made, "aaaaa")
            streams, tries = await begin(made.boxes, 4)
            await asyncio.sleep(0.3)
            assert sum(box.origins._is_recorder() for box in made.boxes) == 3
            await replace_boxes(made, "aaaaa")
            await asyncio.gather(*tries)
            await take_up(made, streams, tries=8)
            assert joined(streams) == []
            assert all(stream.is_complete for stream in streams)

    run(body)


def test_streams_that_began_while_the_store_was_away_go_on_after_all_boxes_were_killed():
    """503: no record of them could be written."""

    async def body():
        async with fleet() as made:
            await add_engines(made, TWO_EACH)
            await add_boxes(made)
            made.store.faults.refuses = True
            streams, tries = await begin(made.boxes, 6)
            made.store.faults.refuses = False
            await replace_boxes(made)
            await asyncio.gather(*tries)
            await take_up(made, streams)
            assert joined(streams) == []
            assert all(stream.is_complete for stream in streams)

    run(body)
