"""Prefill workers that fall silent: requests are read elsewhere, and nothing is left behind."""

import asyncio

import pytest
from platform_fleet import ENGINE, ask, config, fleet, run, until
from stream_fleet import engines, numbers, prefer, ran
from test_silent_workers import EVENTS, SLOW, WHOLE, holds_asked, paused, spend_budget

HOLD_S = 0.3
"""How long holds last: shorter than a box waits for a prefill worker."""

HANDLE_S = 0.5


def config_of_short_holds():
    changed = config()
    changed["Services"][0]["Engine"] = ENGINE | {"HoldMs": HOLD_S * 1000}
    return changed


async def engines_and_prefill(made, **options):
    """Start a box before a prefill worker and two decode workers, of which it prefers d0."""
    box, decodes, (prefill,) = await engines(made, decodes=2, **(SLOW | options))
    prefill.handle_ttl_s = HANDLE_S
    prefer(box, "d0")
    return box, decodes, prefill


@pytest.mark.parametrize("path", ["/resume/x", "/stream/x"])
def test_a_hold_that_lapsed_beside_a_silent_prefill_worker_is_taken_anew(path):
    """Guards against requests that are sent with a lapsed hold to a worker that is full by then."""

    async def body():
        async with fleet(config=config_of_short_holds()) as made:
            box, (own, other), prefill = await engines_and_prefill(made)
            async with paused(prefill):
                asking = asyncio.create_task(ask(box, path))
                await until(lambda: own.holds)
                await until(lambda: not own.holds)
                own.faults.has_no_room = True
            answer = await asking
            assert answer.status == 200 and answer.is_whole and numbers(answer) == WHOLE
            assert other.finished == ["r1"] and own.arrivals == []
            await until(lambda: not own.holds and not other.holds)

    run(body)


def test_a_hold_that_lapsed_is_taken_anew_at_the_same_worker():
    """Guards against a request that leaves its worker, and the memory near it, without a need."""

    async def body():
        async with fleet(config=config_of_short_holds()) as made:
            box, (own, other), prefill = await engines_and_prefill(made)
            prefill.work_s = 0.45
            answer = await ask(box, "/stream/x")
            assert answer.is_whole and numbers(answer) == WHOLE
            assert own.finished == ["r1"] and holds_asked(own) == 2 and holds_asked(other) == 0
            (sent,) = [r for r in own.received if r.path == "/stream/x"]
            assert sent.headers["x-croftchute-kv-source"].startswith(f"127.0.0.1:{prefill.port}/")

    run(body)


@pytest.mark.parametrize("hold", ["lasting", "lapsed"])
def test_a_stream_is_served_though_its_prefill_and_decode_worker_are_silent(hold):
    """Guards against an answer that ends sooner as both workers of a stream are silent."""

    async def body():
        options = {"config": config_of_short_holds()} if hold == "lapsed" else {}
        async with fleet(**options) as made:
            box, (own, other), prefill = await engines_and_prefill(made)
            async with paused(prefill):
                asking = asyncio.create_task(ask(box, "/resume/x"))
                await until(lambda: own.holds)
                async with paused(own):
                    pass
            answer = await asking
            assert answer.status == 200 and answer.is_whole and numbers(answer) == WHOLE
            assert len(own.finished + other.finished) == 1
            await until(lambda: not own.holds and not other.holds and not prefill.handles)

    run(body)


@pytest.mark.parametrize("reads", ["at_once", "for_some_time"])
def test_a_prefill_worker_that_answers_too_late_keeps_no_memory_for_long(reads):
    """Guards against the memory of a prompt that nobody fetches, and a prompt read for nobody."""

    async def body():
        async with fleet() as made:
            box, workers, prefill = await engines_and_prefill(made)
            prefill.work_s = 0.0 if reads == "at_once" else 0.3
            async with paused(prefill, seconds=0.8):
                asking = asyncio.create_task(ask(box, "/resume/x"))
                await until(lambda: ran(workers))
            answer = await asking
            assert answer.is_whole and len(answer.events) == EVENTS
            assert ran(workers) == 1
            if reads == "for_some_time":
                await until(lambda: prefill.dropped == ["r1"])
            await until(lambda: not prefill.handles)

    run(body)


@pytest.mark.parametrize("path", ["/resume/x", "/stream/x"])
def test_a_prompt_is_read_by_the_decode_worker_while_the_retry_budget_is_spent(path):
    """Guards against refusals because a silent prefill worker counted as a first attempt."""

    async def body():
        async with fleet() as made:
            box, (own, other), prefill = await engines_and_prefill(made)
            spend_budget(box, "llm")
            async with paused(prefill):
                answer = await ask(box, path)
            assert answer.status == 200 and answer.is_whole and numbers(answer) == WHOLE
            assert own.finished == ["r1"] and other.arrivals == []

    run(body)
