import random

from croftchute.systems.peer_table import PeerTable
from croftchute.systems.worker_choice import (
    MAX_CANDIDATES,
    ChoiceContext,
    choose,
    pick_service,
    rank_by_affinity,
)
from croftchute.systems.worker_table import WorkerTable
from croftchute.tables.routing import Route, RouteKind, Stage, WeightedService, Worker

CONTEXT = ChoiceContext(zone="near", peers=PeerTable(own_id="me"))


def table_of(*workers):
    table = WorkerTable()
    for entry in workers:
        table.upsert(entry, 0.0)
    return table


def worker(name, zone="near", slots=4, stage=None):
    return Worker(id=name, service="s", host="h", port=1, zone=zone, slots=slots, stage=stage)


def chosen(table, *, avoid=(), now=0.0, seed=1, context=CONTEXT):
    found = choose(
        table.usable("s", now), context=context, avoid=avoid, now=now, rng=random.Random(seed)
    )
    return found[0].worker.id if found else None


def test_the_least_loaded_is_chosen():
    table = table_of(worker("a"), worker("b"))
    table.note_sent("a", 0)
    assert chosen(table) == "b"


def test_load_counts_by_slots():
    table = table_of(worker("small", slots=1), worker("large", slots=100))
    table.note_sent("small", 0)
    for _ in range(10):
        table.note_sent("large", 0)
    assert chosen(table) == "large"


def test_worker_in_the_same_hall_wins_a_tie():
    table = table_of(worker("far", zone="elsewhere"), worker("close"))
    assert {chosen(table, seed=seed) for seed in range(20)} == {"close"}


def test_ties_are_broken_at_random():
    table = table_of(worker("a"), worker("b"))
    assert {chosen(table, seed=seed) for seed in range(20)} == {"a", "b"}


def test_failing_worker_is_avoided_until_its_score_decays_but_not_excluded():
    table = table_of(worker("a"), worker("b"))
    table.note_failure("a", 2.0, 0.0)
    assert {chosen(table, seed=seed) for seed in range(20)} == {"b"}
    assert chosen(table, avoid=("b",)) == "a"
    assert {chosen(table, now=60.0, seed=seed) for seed in range(40)} == {"a", "b"}


def test_nothing_is_chosen_when_all_are_to_be_avoided():
    assert chosen(table_of(worker("a")), avoid=("a",)) is None


def test_slow_worker_costs_more_than_a_fast_one():
    table = table_of(worker("slow"), worker("quick"), worker("other"))
    for name, seconds in (("slow", 0.8), ("quick", 0.1), ("other", 0.1)):
        table.note_answer(name, seconds, 0.0)
    assert "slow" not in {chosen(table, seed=seed) for seed in range(20)}


def test_tokens_in_flight_count_for_engines():
    table = table_of(worker("a", slots=128, stage=Stage.DECODE), worker("b", slots=128))
    table.note_sent("a", 9000)
    context = ChoiceContext(zone="near", peers=PeerTable(own_id="me"), kv_tokens=10000)
    assert chosen(table, context=context) == "b"


def test_services_are_picked_by_weight():
    route = Route(
        name="r",
        host="h",
        prefix="/",
        kind=RouteKind.ONCE,
        timeout_s=1.0,
        target_s=1.0,
        targets=(
            WeightedService(service="a", weight=90),
            WeightedService(service="b", weight=10),
        ),
    )
    rng = random.Random(7)
    picked = [pick_service(route, rng) for _ in range(2000)]
    assert 120 < picked.count("b") < 280


def test_affinity_compares_the_same_workers_for_a_prompt_at_every_box():
    """After a restart of all boxes, none of them knows which of 62 engines has a prompt cached."""
    table = table_of(*(worker(f"w{number}") for number in range(60)))
    usable = table.usable("s", 0.0)

    def choice(seed):
        found = choose(
            usable, context=CONTEXT, avoid=(), now=0.0, rng=random.Random(seed), affinity="91bd"
        )
        return found[0].worker.id

    preferred = {tracked.worker.id for tracked in rank_by_affinity(usable, "91bd")[:MAX_CANDIDATES]}
    found = {choice(seed) for seed in range(60)}
    assert found <= preferred and len(found) > MAX_CANDIDATES // 2
    others = {tracked.worker.id for tracked in rank_by_affinity(usable, "5c1e")[:MAX_CANDIDATES]}
    assert others != preferred
