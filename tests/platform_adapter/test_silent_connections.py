"""Connections that go silent while open, and new ones that work: what requests come to."""

import asyncio
import contextlib

import pytest
from platform_fleet import ask, fleet, request_bytes, run, until
from silent_link import SilentLink

from croftchute.systems.tracked_worker import REJECTION_HOLD_S

USUAL_S = 0.3
"""Usual seconds between events of a slow engine."""

OLD_S = 1.0
"""Seconds by which kept connections are made older: under the time for which they are kept."""


@contextlib.asynccontextmanager
async def linked(made, worker_id):
    """A worker of the fleet behind a link of its own."""
    worker = made.workers_by_id[worker_id]
    link = SilentLink(target_port=worker.port)
    worker_port, worker.port = worker.port, await link.start()
    try:
        yield link
    finally:
        worker.port = worker_port
        link.stop()


def age_kept(box, seconds):
    """Make the kept connections of a box seem idle for longer."""
    kept = [c for idle in box.state.pool._idle_by_server.values() for c in idle]
    for connection in kept:
        connection.idle_since -= seconds
    return len(kept)


async def box_before_one_worker(made, link, **options):
    """A box that knows one worker, by the address of its link."""
    worker = made.workers_by_id["w1"]
    made.store.put("servers/w1", worker.entry(options.pop("service", "desk"), "a"))
    box = await made.add_box()
    await made.ready(box)
    return box


def test_a_request_that_may_be_sent_once_does_not_find_a_kept_connection_silent():
    async def body():
        async with fleet() as made:
            worker = await made.add_worker("w1")
            async with linked(made, "w1") as link:
                box = await box_before_one_worker(made, link)
                assert (await ask(box, "/once/x", "r1", deadline=2000)).status == 200
                assert age_kept(box, OLD_S) == 1
                link.hush()
                assert (await ask(box, "/once/x", "r2", deadline=2000)).status == 200
                assert link.opened == 2
                assert worker.runs_of("r2") == 1

    run(body)


@pytest.mark.parametrize(("path", "opened"), [("/once/x", 2), ("/safe/x", 1)])
def test_kept_connections_serve_on_where_a_request_may_be_sent_again(path, opened):
    async def body():
        async with fleet() as made:
            await made.add_worker("w1")
            async with linked(made, "w1") as link:
                box = await box_before_one_worker(made, link)
                assert (await ask(box, path, "r1")).status == 200
                age_kept(box, OLD_S)
                assert (await ask(box, path, "r2")).status == 200
                assert link.opened == opened

    run(body)


def test_a_worker_that_seems_full_gets_requests_on_the_connections_that_there_are():
    """A full worker resets new connections, and a request that may be sent once is lost so."""

    async def body():
        async with fleet() as made:
            await made.add_worker("w1")
            async with linked(made, "w1") as link:
                box = await box_before_one_worker(made, link)
                assert (await ask(box, "/once/x", "r1")).status == 200
                age_kept(box, OLD_S)
                box.state.workers.note_rejected("w1", box.state.clock())
                assert (await ask(box, "/once/x", "r2")).status == 200
                assert link.opened == 1

    run(body)


def test_a_rejection_by_a_worker_is_remembered_for_some_seconds():
    async def body():
        async with fleet() as made:
            worker = await made.add_worker("w1")
            box = await made.add_box()
            await made.ready(box)
            tracked = box.state.workers.tracked_by_id["w1"]
            assert not tracked.has_rejected_recently(box.state.clock())
            worker.faults.is_full = True
            assert (await ask(box, "/once/x", "r1")).status == 503
            now = box.state.clock()
            assert tracked.has_rejected_recently(now)
            assert not tracked.has_rejected_recently(now + REJECTION_HOLD_S)

    run(body)


def test_a_connection_that_has_just_answered_is_used_again_for_any_request():
    async def body():
        async with fleet() as made:
            await made.add_worker("w1")
            async with linked(made, "w1") as link:
                box = await box_before_one_worker(made, link)
                assert (await ask(box, "/once/x", "r1")).status == 200
                age_kept(box, -60.0)
                assert (await ask(box, "/once/x", "r2")).status == 200
                assert link.opened == 1

    run(body)


def test_a_request_that_may_be_repeated_leaves_a_silent_connection():
    async def body():
        async with fleet() as made:
            worker = await made.add_worker("w1")
            await made.add_worker("w2")
            async with linked(made, "w1") as link:
                box = await box_before_one_worker(made, link)
                while not worker.ran:
                    assert (await ask(box, "/safe/x")).status == 200
                link.hush()
                answers = await asyncio.gather(*(ask(box, "/safe/x", f"s{n}") for n in range(8)))
                assert [answer.status for answer in answers] == [200] * 8

    run(body)


async def rest_of_chunks(reader):
    """The events of an answer's rest; its first bytes were read up to an event's number."""
    data = await reader.readuntil(b"\r\n0\r\n\r\n")
    return [int(part.split(b"\n")[0]) for part in data.split(b"id: ")[1:]]


def test_a_resumable_stream_goes_on_elsewhere_when_its_connection_goes_silent():
    """The other worker comes only after the last event: the pause is looked at again."""

    async def body():
        async with fleet() as made:
            options = {"service": "llm", "stage": "decode", "events": 6}
            slow = await made.add_worker("w1", gap_s=0.1, **options)
            async with linked(made, "w1") as link:
                box = await box_before_one_worker(made, link, service="llm")
                reader, writer = await asyncio.open_connection("127.0.0.1", box.ingress.port)
                writer.write(request_bytes("/resume/x", "r1", deadline=8000))
                await reader.readuntil(b"id: 1")
                link.hush()
                other = await made.add_worker("w2", **options)
                assert [1, *await rest_of_chunks(reader)] == [1, 2, 3, 4, 5, 6]
                assert slow.runs_of("r1") == other.runs_of("r1") == 1
                writer.close()

    run(body)


def test_a_stream_at_an_engine_that_turned_slow_is_not_moved():
    """Its pauses are four times the usual ones of its worker; its connection lives."""

    async def body():
        async with fleet() as made:
            options = {"service": "llm", "stage": "decode", "events": 3}
            slow = await made.add_worker("w1", gap_s=4.0 * USUAL_S, **options)
            box = await made.add_box()
            await made.ready(box)
            box.state.workers.note_chunk_gap("w1", USUAL_S)
            asking = asyncio.create_task(ask(box, "/resume/x", "r1", deadline=8000))
            await until(lambda: slow.runs_of("r1") == 1)
            other = await made.add_worker("w2", **options)
            answer = await asking
            assert answer.is_whole and len(answer.events) == 3
            assert not other.ran

    run(body)


def test_a_caller_that_takes_nothing_of_its_answer_frees_the_worker_at_its_deadline():
    """To the box it looks the same as one whose connection went silent while it is answered."""

    async def body():
        async with fleet() as made:
            options = {"service": "llm", "stage": "decode", "events": 1_000_000}
            worker = await made.add_worker("w1", **options)
            async with linked(made, "w1") as link:
                box = await box_before_one_worker(made, link, service="llm")
                _, writer = await asyncio.open_connection("127.0.0.1", box.ingress.port, limit=1)
                writer.write(request_bytes("/stream/x", "r1", deadline=600))
                await until(lambda: worker.runs_of("r1") == 1)
                await until(lambda: box.ingress.open_requests == 0)
                assert box.state.workers.tracked_by_id["w1"].in_flight == 0
                writer.transport.abort()

    run(body)
