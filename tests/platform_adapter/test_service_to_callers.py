"""What callers get besides answers: refusals that are true, room that is found, rank, and no work
for those who have left."""

import asyncio

import pytest
from croftchute_platform.headers import PlatformCallers
from platform_fleet import ask, config, fleet, request_bytes, route, run, until

from croftchute.errors import Code, Ran
from croftchute.forwarding.dialect import Refusal

NEVER_OFFERED = (
    Code.NO_CONFIG,
    Code.NO_CAPACITY,
    Code.NO_UPSTREAM,
    Code.PROMPT_TOO_LONG,
    Code.TARGET_UNREACHABLE,
)


@pytest.mark.parametrize("code", NEVER_OFFERED)
def test_a_request_that_nobody_was_offered_is_told_that_it_did_not_run(code):
    refusal = Refusal(code=code, ran=Ran.NOT_RUN, detail="", retry_after_s=0.5)
    assert PlatformCallers().refuse(refusal, "r1").status == 503


@pytest.mark.parametrize("code", NEVER_OFFERED)
def test_a_request_that_may_have_run_is_never_told_that_it_did_not(code):
    refusal = Refusal(code=code, ran=Ran.UNKNOWN, detail="", retry_after_s=None)
    assert PlatformCallers().refuse(refusal, "r1").status not in (408, 421, 429, 503)


def test_nothing_is_refused_while_one_worker_of_many_has_room():
    async def body():
        async with fleet() as made:
            workers = [
                await made.add_worker(f"w{n}", service="llm", stage="decode") for n in range(6)
            ]
            box = await made.add_box()
            await made.ready(box)
            for free in workers:
                for worker in workers:
                    worker.faults.has_no_room = worker is not free
                answer = await ask(box, "/stream/x", f"to-{free.id}")
                assert answer.status == 200
                assert free.ran == [f"to-{free.id}"]

    run(body)


@pytest.mark.parametrize("rank", [0, 4])
def test_engines_are_told_the_rank_of_a_routes_requests(rank):
    async def body():
        routes = [route("s", "/stream/", "streaming", "llm", Priority=rank)]
        async with fleet(config=config(routes=routes)) as made:
            decode = await made.add_worker("d", service="llm", stage="decode")
            prefill = await made.add_worker("p", service="llm", stage="prefill")
            box = await made.add_box()
            await made.ready(box)
            assert (await ask(box, "/stream/x")).status == 200
            for worker in (decode, prefill):
                (got,) = [r for r in worker.received if r.path == "/stream/x"]
                assert got.headers["x-croftchute-request-priority"] == str(rank)

    run(body)


def test_what_a_caller_sent_ahead_reaches_no_worker_once_it_has_left():
    async def body():
        async with fleet() as made:
            worker = await made.add_worker("w1", work_s=30.0)
            box = await made.add_box()
            await made.ready(box)
            reader, writer = await asyncio.open_connection("127.0.0.1", box.ingress.port)
            writer.write(request_bytes("/safe/x", "r1") + request_bytes("/safe/x", "r2"))
            await until(lambda: worker.ran == ["r1"])
            writer.transport.abort()
            await until(lambda: worker.dropped == ["r1"])
            worker.work_s = 0.0
            assert (await ask(box, "/safe/x", "r3")).status == 200
            assert worker.ran == ["r1", "r3"]

    run(body)
