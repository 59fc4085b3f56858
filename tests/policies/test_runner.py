from dataclasses import replace
from pathlib import Path

from croftchute.bench.slopes import reserve_body
from croftchute.config.checks import parse_document
from croftchute.config.documents import PolicySpec
from croftchute.policies.runner import (
    MAX_CONSECUTIVE_FAILURES,
    MAX_RUN_S,
    SUSPENSION_S,
    PolicyRunner,
)
from croftchute.systems.placement import Placement

DAKAR = parse_document((Path(__file__).parents[2] / "examples" / "dakar.json").read_bytes())
POLICY_HEADER = "def order(request, candidates):\n"


def placement(decode, first_token_at=1.0):
    return Placement(
        prefill_id="p",
        decode_id=decode,
        uncached_tokens=10,
        prefill_start_at=0.0,
        prefill_end_at=0.5,
        transfer_end_at=0.8,
        first_token_at=first_token_at,
        service_s=0.9,
    )


PLACEMENTS = [placement("d1"), placement("d2", 1.5)]


def make_runner(source, times=None):
    clock = iter(times) if times else iter([0.0] * 1000)
    runner = PolicyRunner(clock=lambda: next(clock))
    runner.load(replace(DAKAR, policies=[PolicySpec(id="x", source=POLICY_HEADER + source)]))
    return runner


def decode_ids(ordered):
    return [choice.decode_id for choice in ordered.placements]


def test_a_policy_orders_and_filters_placements():
    policy = make_runner("  return [c['id'] for c in candidates if c['later_s'] > 0.1]\n")
    ordered = policy.order_placements("x", reserve_body(), PLACEMENTS)
    assert (decode_ids(ordered), ordered.failure) == (["d2"], "")


def test_a_policy_can_refuse_by_request_priority():
    policy = make_runner(
        "  return [c['id'] for c in candidates] if request['priority'] > 8 else []\n"
    )
    assert decode_ids(policy.order_placements("x", reserve_body(), PLACEMENTS)) == []


def test_a_failing_policy_keeps_the_built_in_order_and_is_suspended():
    policy = make_runner("  return candidates[7]\n")
    for n in range(MAX_CONSECUTIVE_FAILURES):
        ordered = policy.order_placements("x", reserve_body(), PLACEMENTS)
        assert decode_ids(ordered) == ["d1", "d2"], n
        assert "x" in ordered.failure
    assert policy.order_placements("x", reserve_body(), PLACEMENTS).failure == "x: suspended"


def test_a_policy_that_takes_too_long_keeps_the_built_in_order():
    policy = make_runner("  return ['p>d2']\n", [0.0, 2 * MAX_RUN_S, 1.0, 1.0])
    first = policy.order_placements("x", reserve_body(), PLACEMENTS)
    assert decode_ids(first) == ["d1", "d2"]
    assert "took longer" in first.failure
    assert decode_ids(policy.order_placements("x", reserve_body(), PLACEMENTS)) == ["d2"]


def test_a_suspension_ends():
    # Each call reads the clock once; the call that starts the suspension reads it twice.
    times = [0.0] * (MAX_CONSECUTIVE_FAILURES + 1) + [SUSPENSION_S + 1.0] * 9
    policy = make_runner("  return candidates[7]\n", times)
    for _ in range(MAX_CONSECUTIVE_FAILURES):
        policy.order_placements("x", reserve_body(), PLACEMENTS)
    assert policy.order_placements("x", reserve_body(), PLACEMENTS).failure != "x: suspended"
