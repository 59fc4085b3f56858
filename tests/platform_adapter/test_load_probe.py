"""Workers chosen by predicted end: probes of their load, and choices as before without a pace."""

import asyncio
import random

import msgspec
import pytest
from platform_fleet import ask, config, fleet, run, until
from stream_fleet import ran

from croftchute.forwarding.decision_log import Decision
from croftchute.forwarding.workers.load_probe import PROBE_TIMEOUT_S, probe_loads
from croftchute.forwarding.workers.prompt_prefill import PromptPrefill
from croftchute.forwarding.workers.request_run import RequestRun
from croftchute.systems.predicted_end import PlacementMode
from croftchute.systems.worker_choice import choose
from croftchute.tables.routing import RequestFacts, Stage

HEALTH = "/healthz"
IDLE = "0,0,128,100"
BUSY = "3,9,128,100"


def probed_config(**changes):
    made = config()
    made["Routes"] = [one | changes for one in made["Routes"]]
    made["Services"][0]["HealthPath"] = HEALTH
    return made


async def probed(made, *, prefills=3, decodes=1, way=PlacementMode.BY_END):
    """A box that places by end, before idle engines that tell their pace."""
    for number in range(decodes):
        await made.add_worker(f"d{number}", service="llm", stage="decode")
    prefill = [
        await made.add_worker(f"p{number}", service="llm", stage="prefill", load=IDLE)
        for number in range(prefills)
    ]
    box = await made.add_box()
    await made.ready(box)
    box.state.ways = msgspec.structs.replace(box.state.ways, placement=way)
    return box, prefill


def probes(worker):
    return [one for one in worker.received if one.path == HEALTH]


def prompts(worker):
    return [one for one in worker.received if one.headers.get("x-croftchute-stage") == "prefill"]


def watch(box):
    """The decisions of a box with their facts, as they are made."""
    seen = []
    decide = box.state.log.decide

    def noting(kind, **facts):
        seen.append((kind, facts))
        decide(kind, **facts)

    box.state.log.decide = noting
    return seen


def facts_of(seen, kind):
    return [facts for found, facts in seen if found is kind]


def tracked_workers(box, stage):
    return box.state.workers.usable("llm", box.state.clock(), stage=stage)


def llm(box):
    return box.state.table.services_by_name["llm"]


def run_of(box, path="/stream/", *, service="llm"):
    state = box.state
    route = next(
        one
        for routes in state.table.routes_by_host.values()
        for one in routes
        if one.prefix == path
    )
    facts = RequestFacts(
        id="r1",
        method="POST",
        target=path,
        host="shop.example",
        path=path,
        headers=[],
        body=b"",
        prompt_tokens=1000,
        output_tokens=100,
        prompt_parts=("91bd:7",),
    )
    return RequestRun(
        state=state,
        exchange=None,
        facts=facts,
        route=route,
        service=service,
        started_at=state.clock(),
    )


def test_a_prompt_goes_to_the_prefill_worker_whose_probe_tells_the_least():
    """Guards against prompts at workers that were idle half a second ago, and are not now."""

    async def body():
        async with fleet(config=probed_config()) as made:
            box, prefill = await probed(made)
            seen = watch(box)
            for number in range(6):
                idle = prefill[number % 3]
                for worker in prefill:
                    worker.load = IDLE if worker is idle else BUSY
                before = len(prompts(idle))
                assert (await ask(box, "/stream/x", f"r{number}")).is_whole
                assert len(prompts(idle)) == before + 1
            assert [len(probes(worker)) for worker in prefill] == [6, 6, 6]
            sent = facts_of(seen, Decision.PREFILL_SENT)[0]
            assert sent["end_wait_ms"] == 0.0 and sent["end_work_ms"] > 0.0
            assert sent["end_ms"] >= sent["end_work_ms"]
            assert sent["pace"] == 1.0 and sent["pace_source"] == "told"
            assert 0.0 <= sent["pace_age_s"] < 1.0
            assert facts_of(seen, Decision.REQUEST_SENT)[-1]["pace_source"] in ("told", "prior")

    run(body)


def test_a_probe_answer_counts_whatever_its_status():
    """Guards against a worker that is busy being taken for one that tells nothing."""

    async def body():
        async with fleet(config=probed_config()) as made:
            box, prefill = await probed(made, prefills=2)
            for worker in prefill:
                worker.faults.health_status = 503
                worker.load = "2,1,128,250"
            loads = await probe_loads(box.state, llm(box), tracked_workers(box, Stage.PREFILL), 5.0)
            assert {key: (load.running, load.waiting) for key, load in loads.items()} == {
                "p0": (2, 1),
                "p1": (2, 1),
            }
            assert {load.pace for load in loads.values()} == {2.5}
            for known in tracked_workers(box, Stage.PREFILL):
                assert known.other_boxes_running(box.state.clock()) == 3

    run(body)


def test_a_probe_without_an_answer_holds_up_nothing_and_counts_against_nobody():
    """Guards against requests that wait for a frozen worker, and against failures held for it."""

    async def body():
        async with fleet(config=probed_config()) as made:
            box, prefill = await probed(made)
            frozen, dead, sound = prefill
            frozen.faults.health_wait_s = 30.0
            dead.stop()
            loop = asyncio.get_running_loop()
            began = loop.time()
            loads = await probe_loads(
                box.state, llm(box), tracked_workers(box, Stage.PREFILL), PROBE_TIMEOUT_S
            )
            assert loop.time() - began < 10 * PROBE_TIMEOUT_S
            assert set(loads) <= {sound.id}
            for known in tracked_workers(box, Stage.PREFILL):
                assert known.failures == 0.0
                assert known.unreachable_until == 0.0
                if known.worker.id != sound.id:
                    assert known.load_at < 0.0
            await until(lambda: not box.state.background)

    run(body)


def test_a_late_probe_still_tells_the_load_and_keeps_its_connection():
    """Guards against a new connection for each probe while a worker's machine is busy."""

    async def body():
        async with fleet(config=probed_config()) as made:
            box, prefill = await probed(made, prefills=1)
            prefill[0].faults.health_wait_s = 0.1
            known = tracked_workers(box, Stage.PREFILL)
            prefill[0].load = "4,0,128,100"
            assert await probe_loads(box.state, llm(box), known, 0.001) == {}
            await until(lambda: not box.state.background)
            assert known[0].load_running == 4
            prefill[0].faults.health_wait_s = 0.0
            assert set(await probe_loads(box.state, llm(box), known, 5.0)) == {"p0"}
            assert prefill[0].connections == 1

    run(body)


def test_one_request_makes_one_round_of_probes():
    """Guards against probes for each try of a prompt that is refused."""

    async def body():
        async with fleet(config=probed_config(MaxAttempts=4)) as made:
            box, prefill = await probed(made)
            for worker in prefill:
                worker.faults.is_full = True
            assert (await ask(box, "/resume/x")).is_whole
            assert sum(len(prompts(worker)) for worker in prefill) == 2
            assert [len(probes(worker)) for worker in prefill] == [1, 1, 1]

    run(body)


def test_prompts_that_this_box_has_open_count_before_a_probe_tells_of_them():
    """Guards against two prompts sent to one worker between the probes and its next answer."""

    async def body():
        async with fleet(config=probed_config()) as made:
            box, prefill = await probed(made, prefills=3)
            for worker in prefill:
                worker.work_s = 0.4
            asking = []
            for number in range(3):
                asking.append(asyncio.create_task(ask(box, "/stream/x", f"r{number}")))
                await until(lambda n=number: sum(map(len, map(prompts, prefill))) == n + 1)
            assert [len(prompts(worker)) for worker in prefill] == [1, 1, 1]
            assert all(answer.is_whole for answer in await asyncio.gather(*asking))

    run(body)


def test_a_worker_that_names_a_limit_is_probed_only_with_a_permit():
    """Guards against probes that take a limited worker over its limit."""

    async def body():
        async with fleet(config=probed_config()) as made:
            box, prefill = await probed(made)
            limited = prefill[0]
            box.state.workers.limits.note_limit(limited.id, 1.0, box.state.clock())
            asked = []

            class NoneLeft:
                async def acquire(self, worker, permit_request):
                    asked.append(worker.id)
                    return worker.id != limited.id

                def release(self, worker, calls=1):
                    raise AssertionError("nothing was taken")

            box.state.permits = NoneLeft()
            known = tracked_workers(box, Stage.PREFILL)
            loads = await probe_loads(box.state, llm(box), known, 5.0)
            assert sorted(asked) == ["p0", "p1", "p2"]
            assert set(loads) == {"p1", "p2"}
            assert limited.received == []

    run(body)


def test_a_load_that_another_worker_tells_at_the_address_counts_nothing():
    """Guards against a new worker's load being taken for that of the one before it."""

    async def body():
        async with fleet(config=probed_config()) as made:
            box, prefill = await probed(made, prefills=1)
            prefill[0].id = "another"
            known = tracked_workers(box, Stage.PREFILL)
            assert await probe_loads(box.state, llm(box), known, 5.0) == {}
            assert known[0].displaced and known[0].load_at < 0.0

    run(body)


@pytest.mark.parametrize(
    "load",
    [
        "",
        "x",
        "1",
        "-1,0,8,100",
        "1,,8,100",
        "nan,0,8,100",
        "9" * 400 + ",0,8,100",
        "9" * 5000 + ",0,8,100",
    ],
)
def test_a_load_that_is_none_changes_nothing(load):
    """Guards against a choice that fails, or a worker shut out, by figures that make no sense."""

    async def body():
        async with fleet(config=probed_config()) as made:
            box, prefill = await probed(made, prefills=2)
            for worker in prefill:
                worker.load = load
            assert (await ask(box, "/stream/x")).is_whole
            assert [len(probes(worker)) for worker in prefill] == [1, 1]
            for known in tracked_workers(box, Stage.PREFILL):
                assert known.load_at < 0.0 and known.failures == 0.0

    run(body)


@pytest.mark.parametrize("pace", ["", "0", "-5", "nan", "inf", "9" * 400, "9" * 5000])
def test_a_pace_that_is_none_leaves_the_load_and_tells_no_pace(pace):
    """Guards against answers that fail by a pace which makes no sense."""

    async def body():
        async with fleet(config=probed_config()) as made:
            box, prefill = await probed(made, prefills=1)
            prefill[0].load = f"2,1,8,{pace}"
            known = tracked_workers(box, Stage.PREFILL)
            assert set(await probe_loads(box.state, llm(box), known, 5.0)) == {"p0"}
            assert known[0].load_running == 2
            assert not box.state.paces.any_reported(["p0"], box.state.clock())

    run(body)


@pytest.mark.parametrize("way", [PlacementMode.AUTO, PlacementMode.BY_COST])
def test_nothing_is_probed_where_no_pace_is_told_or_by_cost(way):
    """Guards against calls that services without a pace never got before."""

    async def body():
        async with fleet(config=probed_config()) as made:
            box, prefill = await probed(made, way=way)
            if way is PlacementMode.BY_COST:
                box.state.paces.note_reported("p0", 2.0, box.state.clock())
            assert (await ask(box, "/stream/x")).is_whole
            assert all(probes(worker) == [] for worker in prefill)

    run(body)


def test_a_pace_that_is_told_turns_probes_on():
    """Guards against a service whose workers tell their pace, chosen by cost all the same."""

    async def body():
        async with fleet(config=probed_config()) as made:
            box, prefill = await probed(made, way=PlacementMode.AUTO)
            box.state.paces.note_reported("p0", 2.0, box.state.clock())
            assert (await ask(box, "/stream/x")).is_whole
            assert [len(probes(worker)) for worker in prefill] == [1, 1, 1]

    run(body)


@pytest.mark.parametrize("stage", [None, Stage.DECODE, Stage.PREFILL])
def test_choices_without_a_pace_draw_the_same_numbers_and_end_the_same(stage):
    """Guards against any change for services whose workers tell no pace."""

    async def body():
        async with fleet(config=probed_config()) as made:
            service = "llm" if stage else "desk"
            for number in range(15):
                await made.add_worker(
                    f"w{number}",
                    service=service,
                    stage=stage.value if stage else "",
                    zone="ab"[number % 2],
                )
            box = await made.add_box()
            await made.ready(box)
            state = box.state
            request = run_of(box, "/stream/" if stage else "/safe/", service=service)
            decode = next(iter(state.workers.tracked_by_id.values()))
            near = decode.worker.zone if stage is Stage.PREFILL else ""
            state.clock = lambda at=state.clock(): at
            for seed in range(30):
                state.workers.note_failure(f"w{seed % 15}", 0.3, state.clock())
                state.workers.note_sent(f"w{seed * 7 % 15}", 900)
                request.avoid = {f"w{seed % 4}"}
                state.rng = random.Random(seed)
                if stage is Stage.PREFILL:
                    found = await PromptPrefill(run=request)._choose(decode, may_probe=True)
                else:
                    found = request.choose(stage)
                expected_rng = random.Random(seed)
                expected = choose(
                    state.workers.usable(service, state.clock(), stage=stage),
                    context=request.choice_context(stage, near=near),
                    avoid=request.avoid,
                    now=state.clock(),
                    rng=expected_rng,
                    affinity="91bd" if stage is Stage.DECODE else "",
                )
                assert found == expected
                assert found[1].end is None
                assert state.rng.getstate() == expected_rng.getstate()

    run(body)


def test_a_slow_plain_worker_gets_few_requests_once_it_told_its_pace():
    """Guards against a worker that is five times slower getting its full part of the calls."""

    async def body():
        async with fleet() as made:
            workers = [
                await made.add_worker(f"w{number}", work_s=0.01, load="0,0,8,100")
                for number in range(3)
            ]
            workers[0].load, workers[0].work_s = "0,0,8,500", 0.05
            box = await made.add_box()
            await made.ready(box)
            by_end = msgspec.structs.replace(box.state.ways, placement=PlacementMode.BY_END)
            box.state.ways = by_end
            seen = watch(box)
            for number in range(60):
                assert (await ask(box, "/safe/x", f"r{number}")).status == 200
            assert len(workers[0].ran) <= 60 / 6
            assert min(len(workers[1].ran), len(workers[2].ran)) >= 15
            sent = facts_of(seen, Decision.REQUEST_SENT)
            assert len(sent) == 60 and all(facts["end_work_ms"] > 0.0 for facts in sent)

    run(body)


def test_decode_workers_that_a_choice_by_end_looks_at_are_those_of_the_affinity():
    """Guards against a try that does not find the worker which keeps its prompt."""

    async def body():
        async with fleet(config=probed_config()) as made:
            box, _ = await probed(made, prefills=1, decodes=20)
            state = box.state
            request = run_of(box)
            found = {request.choose(Stage.DECODE)[0].worker.id for _ in range(300)}
            assert 8 < len(found) <= 12
            state.rng = random.Random(9)
            assert {request.choose(Stage.DECODE)[0].worker.id for _ in range(300)} == found

    run(body)


def test_streams_by_end_run_once_each():
    """Guards against requests lost or sent twice where many are placed by end at once."""

    async def body():
        async with fleet(config=probed_config()) as made:
            box, _ = await probed(made, decodes=3)
            answers = await asyncio.gather(
                *(ask(box, "/stream/x", f"r{number}") for number in range(40))
            )
            assert all(answer.status == 200 and answer.is_whole for answer in answers)
            decode = [made.workers_by_id[f"d{number}"] for number in range(3)]
            assert [ran(decode, f"r{number}") for number in range(40)] == [1] * 40
            await until(lambda: not box.state.background)
            assert not any(worker.holds for worker in decode)

    run(body)
