"""Streams that go on elsewhere, and callers who come back for the rest."""

import asyncio

import pytest
from platform_fleet import ask, fleet, request_bytes, run, until
from stream_fleet import PARTS, began, engines, numbers, prefer, ran


def test_a_caller_that_comes_back_meets_the_worker_that_keeps_the_prompt():
    """After a restart the box does not know it, and had the prompt read a second time."""

    async def body():
        async with fleet() as made:
            box, decode, prefill = await engines(made, decodes=3)
            decode[1].kept["91bd"] = 7
            prefer(box, "d0")
            extra = (
                "Last-Event-Id: 2",
                began(box, "d0"),
                "X-Croftchute-Prompt-Prefix: 5c1e:3,91bd:7",
            )
            answer = await ask(box, "/resume/x", extra=extra)
            assert answer.is_whole and numbers(answer) == [3, 4]
            assert decode[1].finished == ["r1"]
            assert prefill[0].received == []

    run(body)


def test_the_worker_that_keeps_a_prompt_is_found_among_many():
    """With more than eight decode workers nobody was asked."""

    async def body():
        async with fleet() as made:
            box, decode, prefill = await engines(made, decodes=20)
            assert (await ask(box, "/resume/x", "r1", extra=(PARTS,))).is_whole
            first = next(worker for worker in decode if worker.finished)
            first.kept["91bd"] = 7
            box.state.workers.note_failure(first.id, 8.0, box.state.clock())
            read = len(prefill[0].received)
            extra = ("Last-Event-Id: 2", PARTS)
            assert (await ask(box, "/resume/x", "r2", extra=extra)).is_whole
            assert first.finished == ["r1", "r2"]
            assert len(prefill[0].received) == read

    run(body)


def test_a_prompt_that_nobody_keeps_is_read_anew():
    async def body():
        async with fleet() as made:
            box, decode, prefill = await engines(made)
            decode[0].kept["ffff"] = 7
            extra = (
                "Last-Event-Id: 2",
                began(box, "d0"),
                "X-Croftchute-Prompt-Prefix: 5c1e:3,91bd:7",
            )
            answer = await ask(box, "/resume/x", extra=extra)
            assert answer.is_whole and numbers(answer) == [3, 4]
            assert len(prefill[0].received) == 1

    run(body)


@pytest.mark.parametrize(
    ("fault", "goes_on_at"),
    [
        ({"resets_after_events": 2}, "d0"),
        ({"ends_inside_event": 2}, "d0"),
        ({"hangs_after_events": 2}, "good"),
        ({"resets_after_events": 0}, "good"),
        ({"repeats_event": 1}, "good"),
    ],
    ids=lambda value: str(value),
)
def test_a_resumable_stream_goes_on_without_a_gap(fault, goes_on_at):
    """First where the prompt is still kept, if the worker answers at all; else elsewhere."""

    async def body():
        async with fleet() as made:
            box, decode, _ = await engines(made, decodes=1)
            for name, value in fault.items():
                setattr(decode[0].faults, name, value)
            await made.add_worker("good", service="llm", stage="decode", zone="far")
            await made.ready(box)
            answer = await ask(box, "/resume/x", "r1", deadline=8000)
            assert answer.status == 200 and answer.is_whole
            assert numbers(answer) == [1, 2, 3, 4]
            assert made.workers_by_id[goes_on_at].finished == ["r1"]

    run(body)


def test_a_stream_whose_worker_died_goes_on_elsewhere():
    async def body():
        async with fleet() as made:
            box, decode, _ = await engines(made, decodes=1, events=20, gap_s=0.05)
            good = await made.add_worker(
                "good", service="llm", stage="decode", zone="far", events=20
            )
            await made.ready(box)
            asking = asyncio.create_task(ask(box, "/resume/x", "r1", deadline=8000))
            await until(lambda: decode[0].ran == ["r1"])
            decode[0].stop()
            answer = await asking
            assert answer.is_whole and numbers(answer) == list(range(1, 21))
            assert good.finished == ["r1"]

    run(body)


@pytest.mark.parametrize("fault", ["resets_after_events", "ends_inside_event"])
def test_a_stream_that_may_run_only_once_is_cut_and_never_looks_whole(fault):
    async def body():
        async with fleet() as made:
            box, decode, _ = await engines(made)
            for worker in decode:
                setattr(worker.faults, fault, 2)
            answer = await ask(box, "/stream/x")
            assert answer.status == 200
            assert not answer.is_whole
            assert numbers(answer) == [1, 2]
            assert ran(decode) == 1

    run(body)


def test_a_caller_that_resumes_gets_what_it_lacks():
    async def body():
        async with fleet() as made:
            box, _, _ = await engines(made)
            answer = await ask(box, "/resume/x", extra=("Last-Event-Id: 2", began(box, "d0")))
            assert numbers(answer) == [3, 4]

    run(body)


def test_a_cut_stream_to_an_old_caller_is_reset_not_ended():
    async def body():
        async with fleet() as made:
            box, decode, _ = await engines(made)
            for worker in decode:
                worker.faults.resets_after_events = 2
            reader, writer = await asyncio.open_connection("127.0.0.1", box.ingress.port)
            data = request_bytes("/stream/x", "r1").replace(b"HTTP/1.1", b"HTTP/1.0", 1)
            writer.write(data)
            with pytest.raises(ConnectionError):
                while await reader.read(4096):
                    pass

    run(body)


def test_a_pause_is_borne_when_there_is_no_other_worker_to_go_to():
    async def body():
        async with fleet() as made:
            box, decode, _ = await engines(made, decodes=1, events=3, gap_s=1.1)
            answer = await ask(box, "/resume/x", "r1", deadline=8000)
            assert answer.is_whole and numbers(answer) == [1, 2, 3]
            assert decode[0].runs_of("r1") == 1

    run(body)
