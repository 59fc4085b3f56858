"""Workers that fall silent for a moment and go on: their callers get whole answers."""

import asyncio
import contextlib
import time

import pytest
from platform_fleet import ask, config, fleet, run, until
from stream_fleet import engines, numbers, prefer, ran

from croftchute.systems.failover_pace import MAX_SEARCHES

PAUSE_S = 1.3
"""Longer than a stream's time-outs, shorter than the gap that its callers bear."""

EVENTS = 12
WHOLE = list(range(1, EVENTS + 1))
SLOW = {"events": EVENTS, "gap_s": 0.05}

SPENT_BEYOND = 5
"""Retries beyond the budget: it grows by one with ten further requests."""

OUT_OF_FAVOUR = 20.0
"""Failure score of a worker that gets no request while another one is sound."""


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


def test_a_stream_goes_on_elsewhere_when_its_worker_stays_silent():
    """Guards against waiting for a worker that is stuck while another one has room."""

    async def body():
        async with fleet() as made:
            box, own, other = await pair_of_engines(made)
            asking = await asking_until_begun(box, own)
            own.pause()
            answer = await asking
            own.resume()
            assert answer.is_whole and numbers(answer) == WHOLE
            assert other.finished == ["r1"]
            await until(lambda: own.dropped == ["r1"])
            assert own.finished == []

    run(body)


def test_an_attempt_at_another_worker_is_ended_when_the_silent_one_speaks_first():
    """Guards against two workers at work on one stream, and against events that come twice."""

    async def body():
        async with fleet() as made:
            box, own, other = await pair_of_engines(made)
            asking = await asking_until_begun(box, own)
            other.work_s = 5.0
            async with paused(own):
                pass
            answer = await asking
            assert answer.is_whole and numbers(answer) == WHOLE
            assert own.finished == ["r1"] and other.finished == []
            assert other.runs_of("r1") == 1
            await until(lambda: other.dropped == ["r1"])
            assert not other.holds

    run(body)


def test_a_worker_that_pauses_again_and_again_keeps_its_stream():
    """Guards against attempts and repeats that are used up by pauses that ended well."""

    async def body():
        async with fleet() as made:
            box, own, other = await pair_of_engines(made)
            asking = await asking_until_begun(box, own, deadline=9000)
            other.faults.has_no_room = True
            for _ in range(3):
                async with paused(own, seconds=1.1):
                    pass
                await asyncio.sleep(0.12)
            answer = await asking
            assert answer.is_whole and numbers(answer) == WHOLE
            assert own.finished == ["r1"]

    run(body)


def test_a_stream_without_an_event_yet_is_not_refused_while_no_other_worker_has_room():
    """Guards against giving up a silent worker before its first event."""

    async def body():
        async with fleet() as made:
            box, own, other = await pair_of_engines(made, work_s=0.2)
            asking = asyncio.create_task(ask(box, "/resume/x"))
            await until(lambda: own.runs_of("r1"))
            other.faults.has_no_room = True
            async with paused(own):
                pass
            answer = await asking
            assert answer.status == 200 and answer.is_whole and numbers(answer) == WHOLE
            assert own.finished == ["r1"] and ran([own, other]) == 1

    run(body)


def test_a_stream_whose_workers_are_all_silent_is_left_at_its_deadline_and_ended_there():
    """Guards against work and memory that are left behind at the caller's deadline."""

    async def body():
        async with fleet() as made:
            box, own, other = await pair_of_engines(made)
            asking = await asking_until_begun(box, own, deadline=1800)
            own.pause()
            other.pause()
            answer = await asking
            assert not answer.is_whole and numbers(answer) == WHOLE[: len(numbers(answer))]
            own.resume()
            other.resume()
            await until(lambda: own.dropped == ["r1"])
            await until(lambda: not other.holds and not own.holds)
            assert own.finished == other.finished == []

    run(body)


def test_a_caller_that_leaves_during_a_silence_ends_all_attempts():
    """Guards against work for a caller who has left while two workers have its stream."""

    async def body():
        async with fleet() as made:
            box, own, other = await pair_of_engines(made)
            asking = await asking_until_begun(box, own)
            other.work_s = 5.0
            own.pause()
            await until(lambda: other.runs_of("r1"))
            asking.cancel()
            await until(lambda: other.dropped == ["r1"])
            own.resume()
            await until(lambda: own.dropped == ["r1"])
            assert box.ingress.open_requests == 0 and not other.holds

    run(body)


def test_a_stream_that_may_run_once_waits_for_its_silent_worker():
    """Guards against a second run of what may run once."""

    async def body():
        async with fleet() as made:
            box, own, other = await pair_of_engines(made)
            asking = await asking_until_begun(box, own, "/stream/x")
            async with paused(own):
                pass
            answer = await asking
            assert answer.is_whole and numbers(answer) == WHOLE
            assert ran([own, other]) == 1

    run(body)


def test_few_calls_for_room_are_made_while_a_whole_service_is_silent():
    """Guards against a storm of calls for room from all streams of a box at once."""

    async def body():
        async with fleet() as made:
            box, own, other = await pair_of_engines(made)
            streams = [
                await asking_until_begun(box, own, request_id=f"r{n}", deadline=9000)
                for n in range(2)
            ]
            streams += [
                asyncio.create_task(ask(box, "/resume/x", f"s{n}", deadline=9000))
                for n in range(40)
            ]
            workers = [own, other]
            await until(lambda: sum(len(worker.runs) for worker in workers) == 42)
            before = [holds_asked(worker) for worker in workers]
            async with paused(*made.workers_by_id.values()):
                pass
            for answer in await asyncio.gather(*streams):
                assert answer.is_whole and numbers(answer) == WHOLE
            for worker, known in zip(workers, before, strict=True):
                # The calls that were under way when the worker fell silent, and one that is late.
                assert holds_asked(worker) - known <= MAX_SEARCHES + 1

    run(body)


def test_few_calls_for_room_are_made_when_a_busy_box_notices_all_silences_at_once():
    """Guards against searches that are counted too late to bound those of the same moment."""

    async def body():
        async with fleet() as made:
            box, own, other = await pair_of_engines(made, events=40)
            box.state.workers.note_failure(other.id, OUT_OF_FAVOUR, box.state.clock())
            streams = [
                asyncio.create_task(ask(box, "/resume/x", f"r{n}", deadline=9000))
                for n in range(40)
            ]
            await until(lambda: len(own.runs) == 40)
            await asyncio.sleep(0.12)
            async with paused(own, other):
                await asyncio.sleep(0.7)
                time.sleep(0.3)
            for answer in await asyncio.gather(*streams):
                assert answer.is_whole and len(answer.events) == 40
            assert 0 < holds_asked(other) <= MAX_SEARCHES + 1

    run(body)


@pytest.mark.parametrize("other_is", ["full", "without_budget", "silent"])
def test_a_plain_call_is_answered_by_its_silent_worker_if_no_other_can(other_is):
    """Guards against giving up a repeatable call at a silent worker."""

    async def body():
        async with fleet() as made:
            own = await made.add_worker("w1", work_s=0.1)
            box = await made.add_box()
            await made.ready(box)
            other = await made.add_worker("w2", zone="far")
            await made.ready(box)
            prefer(box, "w1")
            asking = asyncio.create_task(ask(box, "/safe/x"))
            await until(lambda: own.runs_of("r1"))
            other.faults.is_full = other_is == "full"
            if other_is == "without_budget":
                spend_budget(box, "desk")
            async with paused(own, *([other] if other_is == "silent" else [])):
                pass
            answer = await asking
            assert answer.status == 200 and answer.body.startswith(b"answer of w")
            assert own.runs_of("r1") == 1

    run(body)


def test_a_plain_call_goes_on_at_another_worker_and_ends_at_the_silent_one():
    """Guards against a call that is left at a worker that is stuck, and against work left there."""

    async def body():
        async with fleet() as made:
            own = await made.add_worker("w1", work_s=0.1)
            box = await made.add_box()
            await made.ready(box)
            await made.add_worker("w2", zone="far")
            await made.ready(box)
            prefer(box, "w1")
            asking = asyncio.create_task(ask(box, "/safe/x"))
            await until(lambda: own.runs_of("r1"))
            own.pause()
            answer = await asking
            own.resume()
            assert answer.status == 200 and answer.body == b"answer of w2 to r1"
            await until(lambda: own.dropped == ["r1"])

    run(body)


def changed(change):
    """The configuration of the fleet with one change, as the next version."""
    new = config(8)
    routes = {each["Name"]: each for each in new["Routes"]}
    if change == "idle":
        new["Limits"]["IdleTimeoutMs"] = 500
    elif change == "timeout":
        for each in routes.values():
            each["TimeoutMs"] = 400
    elif change == "route":
        new["Routes"] = [routes["once"]]
    elif change == "service":
        new["Services"] = [each for each in new["Services"] if each["Name"] == "desk"]
        new["Routes"] = [routes["safe"], routes["once"]]
    return new


@pytest.mark.parametrize("change", ["idle", "timeout", "route", "service"])
@pytest.mark.parametrize("paused_share", ["some", "all"])
def test_a_change_of_configuration_ends_no_answer_of_a_silent_worker(change, paused_share):
    """Guards against new times or routes that are applied to requests under way."""

    async def body():
        async with fleet() as made:
            box, own, other = await pair_of_engines(made)
            desk = await made.add_worker("w1", work_s=0.3)
            await made.ready(box)
            asking = [
                await asking_until_begun(box, own),
                await asking_until_begun(box, own, "/stream/x", "r2"),
                asyncio.create_task(ask(box, "/safe/x", "r3")),
            ]
            await until(lambda: desk.runs_of("r3"))
            silent = made.workers_by_id.values() if paused_share == "all" else (own, desk)
            async with paused(*silent):
                made.store.put("op/config", changed(change))
                await until(lambda: box.state.table.version == 8)
            stream, once, plain = await asyncio.gather(*asking)
            assert stream.is_whole and numbers(stream) == WHOLE
            assert once.is_whole and numbers(once) == WHOLE
            assert plain.status == 200 and ran([own, other], "r2") == 1
            assert made.workers_by_id["w1"].runs_of("r3") == 1

    run(body)


async def two_boxes(made):
    """Start two boxes that know each other before two decode workers, of which they prefer d0."""
    first, (own, other), _ = await engines(made, decodes=2, **SLOW)
    second = await made.add_box("box-2", zone="b")
    for box in (first, second):
        box.state.peers.seeds = tuple(("127.0.0.1", each.exchange.port) for each in made.boxes)
        await made.ready(box)
        prefer(box, "d0")
    for box in (first, second):
        await until(lambda box=box: box.state.peers.forward_candidates(box.state.clock()))
    return first, second, own, other


@pytest.mark.parametrize("is_begun", [True, False], ids=["begun", "not_begun"])
def test_a_long_silence_of_all_workers_is_outlasted_by_boxes_that_ask_each_other(is_begun):
    """Guards against refusals of other boxes that end what silent workers still run."""

    async def body():
        async with fleet() as made:
            first, second, own, other = await two_boxes(made)
            own.work_s = 0.0 if is_begun else 0.3
            asking = []
            for number, box in enumerate((first, second)):
                asking.append(asyncio.create_task(ask(box, "/resume/x", f"r{number}")))
                await until(lambda number=number: own.runs_of(f"r{number}"))
            await asyncio.sleep(0.12)
            async with paused(*made.workers_by_id.values(), seconds=2.4):
                await until(lambda: first.state.links.are_lost or second.state.links.are_lost)
            for answer in await asyncio.gather(*asking):
                assert answer.status == 200 and answer.is_whole and numbers(answer) == WHOLE
            assert sorted(own.finished + other.finished) == ["r0", "r1"]

    run(body)


def test_a_stream_that_another_box_passed_on_is_kept_by_its_silent_worker():
    """Guards against giving up a silent worker's stream at the box that serves it for another."""

    async def body():
        async with fleet() as made:
            first, second, own, other = await two_boxes(made)
            first.state.links.lost_at = first.state.clock()
            first.state.links.note_round = lambda probes, now: None
            asking = await asking_until_begun(first, own)
            other.faults.has_no_room = True
            async with paused(own):
                pass
            answer = await asking
            assert answer.is_whole and numbers(answer) == WHOLE
            assert own.finished == ["r1"] and ran([own, other]) == 1

    run(body)


def holds_asked(worker):
    return sum(request.path == "/hold-take" for request in worker.received)


def spend_budget(box, service, *, beyond=SPENT_BEYOND):
    """Leave no repeat to a service, also once some more requests are counted."""
    window = box.state.budget(service)
    now = box.state.clock()
    left = window.left(now, share=box.state.retry_share)
    window.retry_times.extend([now] * (left + beyond))
