"""Silent workers beside callers that read slowly, and beside a stop of their box."""

import asyncio
import re

import pytest
from platform_fleet import ask, fleet, run, until
from stream_fleet import numbers, prefer, ran
from test_silent_workers import WHOLE, asking_until_begun, pair_of_engines, paused
from test_slow_readers import SlowCaller

EVENTS = 600
EVENT_BYTES = 1000
LONG = {"events": EVENTS, "event_bytes": EVENT_BYTES, "gap_s": 0.002}
"""A stream that is longer than what sockets keep between a worker and a caller with small ones."""

MEMORY_MB = 64.0


def events_in(answer):
    return [int(number) for number in re.findall(rb"id: (\d+)\ndata: ", answer)]


@pytest.mark.parametrize("memory_mb", [0.0, MEMORY_MB], ids=["unbounded", "bounded"])
@pytest.mark.parametrize("other_has_room", [True, False], ids=["room", "no_room"])
def test_a_caller_that_reads_slowly_gets_each_event_once_beside_a_silence(
    memory_mb, other_has_room
):
    """Guards against events that are lost or come twice when caller and worker stand still."""

    async def body():
        async with fleet() as made:
            box, own, other = await pair_of_engines(made, memory_mb=memory_mb, **LONG)
            caller = await SlowCaller.ask(box, "/resume/x", deadline=8000)
            begun = await caller.reader.readuntil(b"id: 3\n")
            other.faults.has_no_room = not other_has_room
            async with paused(own, seconds=2.0):
                await asyncio.sleep(0.5)
                reading = asyncio.create_task(caller.read_all())
            rest, is_whole = await reading
            assert box.state.metrics.silences.get_all() != []
            assert is_whole and events_in(begun + rest) == list(range(1, EVENTS + 1))
            assert ran([own, other]) <= 2 and (other_has_room or ran([other]) == 0)
            caller.leave()
            await until(lambda: not own.holds and not other.holds)
            await until(lambda: box.ingress.open_requests == 0)
            if memory_mb:
                assert box.held.count.total == 0

    run(body)


@pytest.mark.parametrize("silent", ["for_a_moment", "for_good"])
def test_a_stream_taken_before_a_stop_is_whole_though_its_worker_is_silent(silent):
    """Guards against a stop that gives up what silent workers run."""

    async def body():
        async with fleet() as made:
            box, own, other = await pair_of_engines(made)
            asking = await asking_until_begun(box, own)
            other.faults.has_no_room = silent == "for_a_moment"
            own.pause()
            stopping = asyncio.create_task(box.stop())
            if silent == "for_a_moment":
                await asyncio.sleep(1.3)
                own.resume()
            answer = await asking
            assert answer.is_whole and numbers(answer) == WHOLE
            assert (own if silent == "for_a_moment" else other).finished == ["r1"]
            own.resume()
            assert await stopping == 0
            await until(lambda: own.dropped == ([] if silent == "for_a_moment" else ["r1"]))

    run(body)


@pytest.mark.parametrize("path", ["/resume/x", "/stream/x", "/safe/x", "/once/x"])
def test_a_request_taken_before_a_stop_is_answered_though_all_its_workers_are_silent(path):
    """Guards against requests without a first byte that end as their box stops."""

    async def body():
        async with fleet() as made:
            box, own, _ = await pair_of_engines(made)
            desk = await made.add_worker("w1", work_s=0.1)
            await made.ready(box)
            asking = asyncio.create_task(ask(box, path))
            await until(lambda: own.arrivals or desk.arrivals)
            async with paused(*made.workers_by_id.values()):
                stopping = asyncio.create_task(box.stop())
            answer = await asking
            assert answer.status == 200 and answer.is_whole
            assert sum(worker.runs_of("r1") for worker in made.workers_by_id.values()) == 1
            assert await stopping == 0

    run(body)


def test_a_request_whose_prefill_worker_is_silent_as_its_box_stops_is_answered():
    """Guards against a prompt that is not read anywhere since its box stops."""

    async def body():
        async with fleet() as made:
            box, own, other = await pair_of_engines(made)
            prefer(box, "d0")
            async with paused(made.workers_by_id["p0"]):
                asking = asyncio.create_task(ask(box, "/resume/x"))
                await until(lambda: own.holds)
                stopping = asyncio.create_task(box.stop())
            answer = await asking
            assert answer.is_whole and numbers(answer) == WHOLE
            assert ran([own, other]) == 1 and await stopping == 0

    run(body)
