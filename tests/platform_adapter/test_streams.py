"""Streams through the adapter: prefill and decode, and what callers who leave leave."""

import asyncio

from platform_fleet import ask, config, fleet, request_bytes, route, run, until
from stream_fleet import engines, numbers, prefer, ran


def test_a_prompt_is_read_apart_and_its_cache_handed_over_under_a_hold():
    async def body():
        async with fleet() as made:
            box, decode, prefill = await engines(made, decodes=1)
            answer = await ask(box, "/stream/x")
            assert answer.status == 200 and answer.is_whole
            assert numbers(answer) == [1, 2, 3, 4]
            got = decode[0].received[-1].headers
            assert got["x-croftchute-kv-source"].startswith(f"127.0.0.1:{prefill[0].port}/")
            assert got["x-croftchute-kv-hold"].startswith("hold-")
            assert not decode[0].holds

    run(body)


def test_without_a_prefill_worker_the_decode_worker_reads_the_prompt():
    async def body():
        async with fleet() as made:
            box, decode, _ = await engines(made, decodes=1, prefills=0)
            answer = await ask(box, "/stream/x")
            assert answer.is_whole
            assert "x-croftchute-kv-source" not in decode[0].received[-1].headers

    run(body)


def test_behind_a_long_queue_of_prompts_the_decode_worker_reads_the_prompt():
    """It used to wait at the prefill worker until it was given up there, and read twice."""

    async def body():
        async with fleet() as made:
            box, decode, prefill = await engines(made, decodes=1)
            state = box.state
            queue = state.workers.tracked_by_id["p0"].queue
            queue.note_sent("another", 10, state.clock() - 5.0)
            answer = await ask(box, "/stream/x")
            assert answer.is_whole
            assert "x-croftchute-kv-source" not in decode[0].received[-1].headers
            assert prefill[0].received == []

    run(body)


def test_a_prefill_worker_that_cannot_be_reached_is_passed_over_for_a_while():
    """In a zone that was cut off each prompt cost the time of a connection, or two."""

    async def body():
        async with fleet() as made:
            box, decode, prefill = await engines(made, decodes=1)
            prefill[0].stop()
            assert (await ask(box, "/stream/x", "r1")).is_whole
            tracked = box.state.workers.tracked_by_id["p0"]
            assert tracked.unreachable_until > box.state.clock()
            failures = tracked.failures
            assert (await ask(box, "/stream/x", "r2")).is_whole
            assert tracked.failures == failures
            assert ran(decode, "r2") == 1

    run(body)


def test_a_handle_that_lapsed_costs_no_second_worker():
    async def body():
        async with fleet() as made:
            box, decode, _ = await engines(made)
            for worker in decode:
                worker.faults.handles_lapse = True
            answer = await ask(box, "/stream/x")
            assert answer.is_whole
            assert len([worker for worker in decode if worker.received[1:]]) == 1

    run(body)


def test_a_caller_that_leaves_midway_frees_the_decode_worker():
    async def body():
        async with fleet() as made:
            box, decode, _ = await engines(made, events=1000, gap_s=0.05)
            reader, writer = await asyncio.open_connection("127.0.0.1", box.ingress.port)
            writer.write(request_bytes("/stream/x", "r1"))
            await reader.readuntil(b"id: 2")
            writer.transport.abort()
            await until(lambda: sum(len(worker.dropped) for worker in decode) == 1)

    run(body)


def test_a_handle_that_nobody_will_use_is_freed():
    async def body():
        async with fleet() as made:
            box, decode, prefill = await engines(made, decodes=1)
            decode[0].faults.is_full = True
            answer = await ask(box, "/stream/x")
            assert answer.status == 503
            await until(lambda: not prefill[0].handles)

    run(body)


def test_events_are_passed_on_as_they_come():
    async def body():
        async with fleet() as made:
            box, decode, _ = await engines(made, decodes=1, events=50, gap_s=0.02)
            reader, writer = await asyncio.open_connection("127.0.0.1", box.ingress.port)
            writer.write(request_bytes("/stream/x", "r1"))
            await reader.readuntil(b"id: 1")
            assert decode[0].finished == []
            answer = await read_answer_rest(reader)
            assert answer
            writer.close()

    run(body)


async def read_answer_rest(reader):
    return await reader.readuntil(b"0\r\n\r\n")


def test_a_stream_ends_at_the_routes_time_out():
    async def body():
        routes = [route("stream", "/stream/", "streaming", "llm", TimeoutMs=400, MaxAttempts=1)]
        async with fleet(config=config(routes=routes)) as made:
            box, decode, _ = await engines(made, events=1000, gap_s=0.05)
            answer = await ask(box, "/stream/x")
            assert not answer.is_whole
            await until(lambda: sum(len(worker.dropped) for worker in decode) == 1)

    run(body)


def test_a_cache_that_cannot_be_fetched_is_held_against_its_source():
    async def body():
        async with fleet() as made:
            box, decode, _ = await engines(made, decodes=1, prefills=2)
            decode[0].faults.handles_lapse = True
            assert (await ask(box, "/stream/x", "r1")).is_whole
            now = box.state.clock()
            tracked_workers = box.state.workers.tracked_by_id
            scores = {name: tracked_workers[name].failure_score(now) for name in ("d0", "p0", "p1")}
            assert scores["d0"] == 0.0
            assert sorted(score > 0.5 for score in (scores["p0"], scores["p1"])) == [False, True]

    run(body)


def test_a_handle_that_no_worker_took_serves_the_next_one():
    """A restarted worker grants holds under its old address and refuses the request itself."""

    async def body():
        async with fleet() as made:
            box, decode, prefill = await engines(made)
            prefer(box, "d0")
            decode[0].id = "d0-restarted"
            answer = await ask(box, "/resume/x")
            assert answer.is_whole and decode[1].runs_of("r1") == 1
            assert "x-croftchute-kv-source" in decode[1].received[-1].headers
            reads = [got for got in prefill[0].received if "x-croftchute-stage" in got.headers]
            assert len(reads) == 1
            assert box.state.workers.tracked_by_id["d0"].failure_score(box.state.clock()) > 2.0

    run(body)


def test_a_prefill_worker_that_is_down_costs_no_slow_reading():
    async def body():
        async with fleet() as made:
            box, decode, prefill = await engines(made, decodes=1, prefills=2)
            prefer(box, "p0")
            prefill[0].stop()
            answer = await ask(box, "/stream/x")
            assert answer.is_whole
            source = decode[0].received[-1].headers["x-croftchute-kv-source"]
            assert source.startswith(f"127.0.0.1:{prefill[1].port}/")

    run(body)
