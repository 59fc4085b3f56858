from math import isclose

import pytest
from hypothesis import given, settings
from hypothesis import strategies as st

from croftchute.bench.scenarios import MODEL, OBERBAYERN
from croftchute.commands import CancelAttempt, SendPeer
from croftchute.errors import Code
from croftchute.peers.messages import (
    Announced,
    Audit,
    Audited,
    Granted,
    Released,
    Reserve,
)
from croftchute.systems.cancels import CancelTracker
from croftchute.systems.owner import ShardOwner
from croftchute.systems.sharding import build_topology
from croftchute.systems.unknown_attempts import UNKNOWN_GRACE_S
from croftchute.tables.rows import changed
from croftchute.tables.upstreams import EngineReport

HALL = "halle-a"
SHARD = "pool/0"


def reserve_message(name, **changes):
    values = {
        "request_id": name,
        "attempt": 1,
        "shard": SHARD,
        "model": MODEL,
        "caller": "c",
        "priority": 5,
        "prompt_tokens": 500,
        "max_tokens": 100,
        "resume_from": 0,
        "waited_s": 0.0,
        "time_left_s": 30.0,
    }
    return Reserve(**(values | changes))


@pytest.fixture
def owner():
    return make_owner()


def make_owner():
    topology = build_topology(OBERBAYERN.document(shard_engines=8), revision=1, hall=HALL)
    owner = ShardOwner(box="o", cancels=CancelTracker(), topology=topology)
    owner.set_shards(topology, topology.shards_by_id.values(), 0.0)
    return owner


def body_of(commands):
    (sent,) = [command.body for command in commands if isinstance(command, SendPeer)]
    return sent


def cancelled_attempts(commands):
    return {(c.engine_id, c.key) for c in commands if isinstance(c, CancelAttempt)}


def release_message(name, **changes):
    values = {"request_id": name, "attempt": 1, "shard": SHARD, "output_tokens": 5}
    return Released(**(values | {"confirmed": True} | changes))


def test_a_repeated_request_gets_the_same_grant(owner):
    first = body_of(owner.reserve("e", reserve_message("r"), 1.0))
    again = body_of(owner.reserve("e", reserve_message("r"), 1.1))
    assert isinstance(first, Granted)
    assert first == again
    assert len(owner.ledger.reservations_by_key) == 1


def test_a_request_for_a_shard_that_is_not_owned_is_declined(owner):
    declined = body_of(owner.reserve("e", reserve_message("r", shard="pool/7"), 1.0))
    assert declined.code is Code.NOT_OWNER


def test_avoided_and_failed_engines_get_no_work_while_others_are_usable(owner):
    owner.reserve("e", reserve_message("r"), 1.0)
    first = owner.ledger.reservations_by_key["r-1"].decode_id
    owner.release("e", release_message("r", failed_engine=first, confirmed=False), 1.0)
    owner.reserve("e", reserve_message("r", attempt=2), 1.1)
    second = owner.ledger.reservations_by_key["r-2"].decode_id
    assert second != first
    owner.reserve("e", reserve_message("s", avoid=(second,)), 1.1)
    # The first engine has just failed. The second should be avoided, but no other is usable.
    assert owner.ledger.reservations_by_key["s-1"].decode_id == second
    owner.reserve("e", reserve_message("t", avoid=(second,)), 3.0)
    assert owner.ledger.reservations_by_key["t-1"].decode_id == first


def test_grants_never_exceed_slots_and_memory(owner):
    granted = 0
    for n in range(200):
        granted += isinstance(
            body_of(owner.reserve("e", reserve_message(f"r{n}"), n * 1.0)), Granted
        )
    engines = owner.topology.engines_by_id
    for load in owner.ledger.loads_by_engine.values():
        assert load.running <= engines[load.id].slots
        assert load.kv_committed <= engines[load.id].kv_tokens
    assert 0 < granted < 200


def test_all_reservations_of_a_dead_entry_box_are_cancelled(owner):
    owner.reserve("e", reserve_message("r"), 1.0)
    held = owner.ledger.reservations_by_key["r-1"]
    commands = owner.entry_box_gone("e", 2.0)
    assert cancelled_attempts(commands) == {(held.prefill_id, "r-1"), (held.decode_id, "r-1")}
    assert not owner.ledger.reservations_by_key


def test_an_audit_frees_the_attempts_that_the_entry_box_has_closed(owner):
    owner.reserve("e", reserve_message("r"), 1.0)
    owner.reserve("e", reserve_message("s"), 1.0)
    audit = body_of(owner.tick(20.0))
    assert audit == Audit(shard=SHARD, keys=("r-1", "s-1"))
    owner.audit_answered(Audited(shard=SHARD, asked=audit.keys, open=("s-1",)), 20.0)
    assert list(owner.ledger.reservations_by_key) == ["s-1"]


def test_an_unknown_attempt_is_cancelled_after_a_grace_period(owner):
    report = EngineReport(
        as_of=5.0, running=1, kv_used_tokens=9, prefill_backlog_tokens=0, request_ids=("x-1",)
    )
    engine = owner.engine_ids()[0]
    assert not cancelled_attempts(owner.engine_reported(engine, report, (), 5.0))
    late = changed(report, as_of=5.1 + UNKNOWN_GRACE_S)
    assert cancelled_attempts(owner.engine_reported(engine, late, (), 8.0)) == {(engine, "x-1")}


def test_an_announced_attempt_is_not_cancelled(owner):
    engine = owner.engine_ids()[0]
    body = Announced(
        request_id="x",
        attempt=1,
        shard=SHARD,
        caller="c",
        priority=1,
        prefill_id=engine,
        decode_id=engine,
        prompt_tokens=5,
        expected_output=5.0,
        time_left_s=9.0,
    )
    owner.adopt_reservation("e", body, 1.0)
    for at in (5.0, 9.0):
        report = EngineReport(
            as_of=at, running=1, kv_used_tokens=9, prefill_backlog_tokens=0, request_ids=("x-1",)
        )
        assert not cancelled_attempts(owner.engine_reported(engine, report, (), at))


def test_only_grants_later_than_a_report_are_added_to_it(owner):
    engine = next(f for f in owner.topology.engines_by_id.values() if f.prefills)
    owner.reserve("e", reserve_message("r", prompt_tokens=1200), 10.0)
    cost = 1200 / engine.prefill_tokens_per_s
    report = EngineReport(as_of=9.9, running=0, kv_used_tokens=0, prefill_backlog_tokens=0)
    owner.engine_reported(engine.id, report, (), 10.01)
    assert isclose(owner.ledger.loads_by_engine[engine.id].prefill_free_at, 10.0 + cost)
    owner.engine_reported(engine.id, changed(report, as_of=10.05), (), 10.06)
    assert isclose(owner.ledger.loads_by_engine[engine.id].prefill_free_at, 10.05)


@settings(max_examples=60)
@given(st.lists(st.tuples(st.integers(0, 15), st.booleans(), st.integers(50, 3000)), max_size=60))
def test_the_loads_match_the_sums_of_the_reservations(steps):
    owner = make_owner()
    for now, (number, adds, tokens) in enumerate(steps):
        if adds:
            owner.reserve("e", reserve_message(f"r{number}", prompt_tokens=tokens), float(now))
        else:
            owner.release("e", release_message(f"r{number}"), float(now))
        held = owner.ledger.reservations_by_key.values()
        for load in owner.ledger.loads_by_engine.values():
            own = [r for r in held if r.decode_id == load.id]
            assert load.running == len(own)
            assert isclose(load.kv_committed, sum(r.kv_committed for r in own), abs_tol=1e-6)


def test_an_engine_gets_no_work_during_the_backoff_that_it_asked_for(owner):
    granted = body_of(owner.reserve("e", reserve_message("r"), 1.0))
    names = owner.topology.engine_ids_by_hash
    prefill, decode = names[granted.prefill_hash], names[granted.decode_hash]
    owner.release(
        "e", release_message("r", confirmed=False, failed_engine=decode, rest_s=30.0), 2.0
    )
    for n in range(3):
        later = body_of(owner.reserve("e", reserve_message(f"r{n}"), 20.0))
        assert isinstance(later, Granted)
        assert decode not in (names[later.prefill_hash], names[later.decode_hash])
    assert not owner.ledger.loads_by_engine[decode].accepts_work(31.9)
    assert owner.ledger.loads_by_engine[decode].accepts_work(32.0)
    assert owner.ledger.loads_by_engine[prefill].accepts_work(2.0)


def test_retry_after_is_the_earliest_end_if_all_engines_back_off(owner):
    engines = owner.topology.shards_by_id[SHARD].engine_ids
    for n, engine in enumerate(engines):
        owner.ledger.back_off(engine, 30.0 + n, 1.0)
    declined = body_of(owner.reserve("e", reserve_message("r"), 11.0))
    assert declined.retry_after_s == 20.0
