from croftchute.systems.service_capacity import EngineCapacity, RequestAverages, best_split
from croftchute.systems.stage_balance import DemandCounts, RecentDemand, plan_stage_changes
from croftchute.systems.worker_table import WorkerTable
from croftchute.tables.routing import Stage, Worker, WorkerState

CAPACITY = EngineCapacity(prefill_tokens_per_s=30_000.0, kv_tokens=40_000, slots=64)
LONG = RequestAverages(prompt_tokens=9_100, output_tokens=800, output_token_s=0.0033)
SMALL_ENGINES = {"prefill_tokens_per_s": 33_000.0, "kv_tokens": 26_000, "slots": 16}
"""Engines with 26,000 tokens of KV memory, under prompts of 9,100 tokens on average, as in a
service of 70 workers."""


def test_long_prompts_get_enough_prefill_workers_for_the_target():
    """Guards against a utilization at which the wait for prefill exceeds its time limit.

    With three of fifteen workers, at a utilization of 0.98, a tenth of the prefills timed out after
    640 ms.
    """
    fixed = best_split(15, LONG, EngineCapacity(**SMALL_ENGINES))
    by_target = best_split(15, LONG, EngineCapacity(**SMALL_ENGINES, prefill_limit_s=0.55))
    assert by_target.prefill_workers == fixed.prefill_workers + 1
    assert by_target.requests_per_s > 0.85 * fixed.requests_per_s


def test_the_target_changes_nothing_where_prefill_is_fast():
    quick = RequestAverages(prompt_tokens=3_000, output_tokens=800, output_token_s=0.004)
    for workers in (5, 9, 70):
        without = best_split(workers, quick, EngineCapacity(**SMALL_ENGINES))
        assert (
            best_split(workers, quick, EngineCapacity(**SMALL_ENGINES, prefill_limit_s=0.55))
            == without
        )


def demand(*, prompt, output, asks=40, ended=10):
    """Return the demand of requests of one size, whose streams took 5 ms per token."""
    return DemandCounts(
        asks=asks,
        prompt_tokens=asks * prompt,
        output_tokens=asks * output,
        ended=ended,
        ended_tokens=ended * output,
        ended_s=ended * output * 0.005,
    )


LONG_ANSWERS = demand(prompt=3000, output=600)
LONG_PROMPTS = demand(prompt=12_000, output=60)
BALANCED = demand(prompt=6000, output=400)


def tracked_workers(prefills, decodes, state=WorkerState.READY, zones=("z",)):
    table = WorkerTable()
    for stage, count in ((Stage.PREFILL, prefills), (Stage.DECODE, decodes)):
        for number in range(count):
            name = f"{stage.value}-{number}"
            zone = zones[number % len(zones)]
            entry = Worker(
                id=name, service="s", host="h", port=1, zone=zone, stage=stage, state=state
            )
            table.upsert(entry, 0.0)
    return list(table.tracked_by_id.values())


def changes(found, counts, *, pending_stages=None):
    wanted = plan_stage_changes(found, counts, CAPACITY, pending_stages=pending_stages or {})
    return [(change.worker.id, change.stage) for change in wanted]


def test_a_good_split_stays():
    assert changes(tracked_workers(2, 3), BALANCED) == []
    assert changes(tracked_workers(1, 4), LONG_ANSWERS) == []


def test_few_requests_or_ended_streams_change_nothing():
    assert changes(tracked_workers(2, 3), demand(prompt=3000, output=600, asks=7)) == []
    assert changes(tracked_workers(2, 3), demand(prompt=3000, output=600, ended=2)) == []
    assert changes(tracked_workers(2, 3), DemandCounts()) == []


def test_long_answers_turn_an_idle_prefill_worker_to_decode():
    found = tracked_workers(2, 2)
    found[0].tokens_in_flight = 500
    assert changes(found, LONG_ANSWERS) == [("prefill-1", Stage.DECODE)]


def test_prefill_workers_that_are_needed_stay():
    assert changes(tracked_workers(2, 2), demand(prompt=12_000, output=200)) == []


def test_long_prompts_turn_an_idle_decode_worker_to_prefill():
    found = tracked_workers(1, 4)
    for tracked in found[1:4]:
        tracked.tokens_in_flight = 500
    assert changes(found, LONG_PROMPTS) == [("decode-3", Stage.PREFILL)]


def test_the_last_prefill_worker_of_a_service_stays():
    assert changes(tracked_workers(1, 4), demand(prompt=100, output=900)) == []
    assert changes(tracked_workers(1, 1), demand(prompt=100, output=900)) == []


def test_the_last_decode_worker_of_a_service_stays():
    assert changes(tracked_workers(1, 1), LONG_PROMPTS) == []


def test_a_surplus_of_prefill_workers_is_corrected_before_any_refusal():
    assert changes(tracked_workers(2, 1), LONG_ANSWERS) == [("prefill-0", Stage.DECODE)]


def test_a_stage_without_workers_gets_one():
    assert changes(tracked_workers(1, 0), DemandCounts()) == [("prefill-0", Stage.DECODE)]
    assert changes(tracked_workers(0, 3), LONG_PROMPTS) == [("decode-0", Stage.PREFILL)]
    assert changes(tracked_workers(0, 1), LONG_PROMPTS) == []


def test_draining_workers_get_no_orders():
    assert changes(tracked_workers(2, 0, WorkerState.DRAINING), LONG_ANSWERS) == []


def test_a_pending_order_counts_as_carried_out():
    pending_stages = {"prefill-0": Stage.DECODE}
    assert changes(tracked_workers(2, 2), LONG_ANSWERS, pending_stages=pending_stages) == []


def test_at_most_half_of_the_prefill_workers_change_at_once():
    wanted = changes(tracked_workers(30, 15), LONG_ANSWERS)
    assert len(wanted) == 15
    assert {stage for _, stage in wanted} == {Stage.DECODE}


def test_at_most_a_tenth_of_the_decode_workers_change_at_once():
    wanted = changes(tracked_workers(2, 43), LONG_PROMPTS)
    assert len(wanted) == 4
    assert {stage for _, stage in wanted} == {Stage.PREFILL}


def test_a_hall_without_decode_workers_gets_one_first():
    found = tracked_workers(3, 0, zones=("a", "b", "c")) + tracked_workers(
        0, 3, zones=("a", "a", "b")
    )
    assert changes(found, LONG_ANSWERS)[:1] == [("prefill-2", Stage.DECODE)]


def test_demand_covers_the_last_seconds():
    recent = RecentDemand()
    for second in range(4):
        recent.note_ask(float(second), prompt_tokens=100, output_tokens=20)
    recent.note_ended(4.0, output_tokens=20, seconds=0.5)
    found = recent.counts(4.0)
    assert (found.asks, found.prompt_tokens, found.output_tokens) == (4, 400, 80)
    assert (found.ended, found.ended_tokens, found.ended_s) == (1, 20, 0.5)
    assert recent.counts(60.0) == DemandCounts()


def test_the_latest_prefill_calls_are_kept():
    recent = RecentDemand()
    for number in range(100):
        recent.note_prefill(number, 0.1)
    assert [sample.tokens for sample in recent.prefills] == list(range(68, 100))
