"""Answers that a worker sends once more, late: none of them is taken for the answer to another."""

import asyncio

import pytest
from platform_fleet import ask, fleet, run
from stream_fleet import engines, ran

PROMISES = (408, 421, 429, 503)
"""Statuses that promise that a request has not run and never will."""


@pytest.mark.parametrize("copy_after_s", [0.0, 0.03, 0.1])
def test_a_copied_refusal_is_not_taken_for_the_answer_to_the_second_sending(copy_after_s):
    """Guards against a 503 for a stream that runs: the caller sends it again, and it runs twice."""

    async def body():
        async with fleet() as made:
            box, decode, _ = await engines(made, decodes=1, work_s=0.15)
            decode[0].faults.handles_lapse = True
            decode[0].faults.copies_answers_s = copy_after_s
            for number in range(4):
                answer = await ask(box, "/stream/x", f"r{number}")
                await asyncio.sleep(0.2)
                has_run = ran(decode, f"r{number}")
                assert not (answer.status in PROMISES and has_run)
                assert answer.status == 200 and answer.is_whole and has_run == 1

    run(body)


def test_second_sendings_reuse_connections():
    """Guards against a new connection for each request whose id was sent before."""

    async def body():
        async with fleet() as made:
            box, decode, _ = await engines(made, decodes=1)
            decode[0].faults.handles_lapse = True
            for number in range(12):
                assert (await ask(box, "/stream/x", f"r{number}")).is_whole
            assert decode[0].connections <= 4

    run(body)


def test_a_worker_that_is_full_is_asked_again_on_another_connection():
    """Guards against a late copy of a refusal in plain calls, which may go to one worker again."""

    async def body():
        async with fleet() as made:
            worker = await made.add_worker("w1", work_s=0.1)
            box = await made.add_box()
            await made.ready(box)
            worker.faults.copies_answers_s = 0.03
            for number in range(4):
                worker.faults.is_full = True
                asking = asyncio.ensure_future(ask(box, "/once/x", f"r{number}"))
                await asyncio.sleep(0.02)
                worker.faults.is_full = False
                answer = await asking
                await asyncio.sleep(0.2)
                has_run = worker.runs_of(f"r{number}")
                assert not (answer.status in PROMISES and has_run)

    run(body)


def test_one_id_that_callers_use_twice_gets_its_own_answer_each_time():
    """Guards against ids that are not unique: a copy of the first answer is for the first alone."""

    async def body():
        async with fleet() as made:
            worker = await made.add_worker("w1", work_s=0.1)
            box = await made.add_box()
            await made.ready(box)
            worker.faults.copies_answers_s = 0.03
            worker.faults.is_full = True
            assert (await ask(box, "/once/x", "same")).status in PROMISES
            worker.faults.is_full = False
            answer = await ask(box, "/once/x", "same")
            await asyncio.sleep(0.2)
            assert not (answer.status in PROMISES and worker.runs_of("same"))

    run(body)


@pytest.mark.parametrize("status", [408, 429, 503])
@pytest.mark.parametrize("path", ["/once/x", "/safe/x", "/stream/x"])
def test_an_error_of_a_worker_that_ran_the_request_is_no_promise_to_the_caller(status, path):
    """Guards against a worker's own 429, without a mark that nothing ran, taken for a promise."""

    async def body():
        async with fleet() as made:
            box, decode, _ = await engines(made)
            plain = await made.add_worker("w1")
            await made.ready(box)
            for worker in [*decode, plain]:
                worker.faults.status = status
            answer = await ask(box, path)
            assert ran([*decode, plain])
            assert answer.status == 502

    run(body)
