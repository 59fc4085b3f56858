"""Plain calls before workers that queue: placed by fresh loads, refused where all would be late."""

import pytest
from platform_fleet import ask, config, fleet, run

from croftchute.router_settings import Conditions

HEALTH = "/healthz"
WORK_S = 0.1
"""Usual working time of the tests; the target is 0.9 s."""

FREE, QUEUED, FULL = "1,0,8", "8,8,8", "8,200,8"


def queued_config():
    made = config()
    made["Services"][1]["HealthPath"] = HEALTH
    return made


async def before(made, *loads, pressure=True, seen=None):
    """A box before plain workers that tell some loads; ``seen`` is what it heard of the first."""
    workers = [await made.add_worker(f"w{n}", load=load) for n, load in enumerate(loads)]
    box = await made.add_box()
    await made.ready(box)
    box.state.conditions = Conditions(pressure=pressure)
    box.state.work_times.note("desk", WORK_S, waiting=0)
    running, waiting = seen or (8, 8)
    box.state.workers.note_load("w0", running, waiting, box.state.clock())
    return box, workers


def probes(workers):
    return sum(got.path == HEALTH for worker in workers for got in worker.received)


def test_while_a_worker_queues_calls_go_where_they_end_soonest():
    """The fault: boxes chose by old news, and one of three workers queued for a second."""

    async def body():
        async with fleet(config=queued_config()) as made:
            box, workers = await before(made, QUEUED, QUEUED, FREE)
            for number in range(6):
                answer = await ask(box, "/once/x", f"r{number}")
                assert answer.status == 200
                box.state.workers.note_load("w0", 8, 8, box.state.clock())
            assert [len(worker.runs) for worker in workers] == [0, 0, 6]

    run(body)


def test_a_call_that_would_be_late_everywhere_is_refused_at_once():
    """The fault: it waited in a full queue, was late, and made others late."""

    async def body():
        async with fleet(config=queued_config()) as made:
            box, workers = await before(made, FULL, FULL)
            answer = await ask(box, "/once/x", "r1")
            assert answer.status == 503
            assert 0.5 < float(answer.headers["retry-after"]) <= 1.0
            assert not any(worker.runs for worker in workers)

    run(body)


def test_a_caller_that_came_back_is_let_in():
    """It can't come again, and a late answer is better than none."""

    async def body():
        async with fleet(config=queued_config()) as made:
            box, workers = await before(made, FULL, FULL)
            box.state.first_tries.since_first_try_s("once", 5.0, box.state.clock())
            answer = await ask(box, "/once/x", "r1", deadline=3000)
            assert answer.status == 200

    run(body)


@pytest.mark.parametrize("seen", [(8, 0), (0, 0)])
def test_a_service_without_a_queue_is_not_asked(seen):
    """Guards the calm load against a trip more for each call."""

    async def body():
        async with fleet(config=queued_config()) as made:
            box, workers = await before(made, FREE, FREE, seen=seen)
            assert (await ask(box, "/once/x", "r1")).status == 200
            assert probes(workers) == 0

    run(body)


def test_deployments_that_do_not_say_so_are_served_as_before():
    """Elsewhere the health path waits for a slot, and asking it would take one."""

    async def body():
        async with fleet(config=queued_config()) as made:
            box, workers = await before(made, FULL, FULL, pressure=False)
            assert (await ask(box, "/once/x", "r1")).status == 200
            assert probes(workers) == 0

    run(body)


def test_workers_that_do_not_answer_in_time_change_nothing():
    """A probe is news, not a condition: the call goes out by what was known before."""

    async def body():
        async with fleet(config=queued_config()) as made:
            box, workers = await before(made, QUEUED, QUEUED)
            for worker in workers:
                worker.faults.health_wait_s = 0.5
            assert (await ask(box, "/once/x", "r1")).status == 200

    run(body)
