"""All boxes together do not exceed the limit that a worker sets, and use most of it.

The bounds are the users' requirement: in any window of about 4 s, no more than one and a half times
what the limit allows, plus five calls. The loads request several times the limit.
"""

import random

import pytest
from hypothesis import given, settings
from hypothesis import strategies as st
from test_lent_shares import apply_event

from croftchute.bench.limit_world import LimitWorld
from croftchute.forwarding.boxes.worker_permits import MIN_RATE_PER_S, WORKER_TERMS, usage_limit
from croftchute.systems.usage_bucket import UsageBucket

CALL = 1.0
USE_BEGINS = 8.0
ENDS = 40.0

GOOD_USE = 0.8
"""Share of the limit that callers must get if they request more."""


def allowed(per_s):
    return 1.5 * per_s * 4.0 + 5.0


def overloaded_world(per_s, *, boxes, seed=1, over=4.0, through=None, **options):
    world = LimitWorld(
        seed=seed, boxes=boxes, limit=usage_limit(per_s), terms=WORKER_TERMS, **options
    )
    world.keep_leases(ENDS)
    asked_per_s = max(over * per_s, boxes / 10.0)
    world.load(4.0, ENDS, asked_per_s, through=through, request=CALL)
    return world


def used_share(world, per_s):
    """Return the ratio of a limit that was used once all shares had been lent."""
    used = sum(units for when, units in world.taken if when >= USE_BEGINS)
    return used / (per_s * (ENDS - USE_BEGINS))


@pytest.mark.parametrize("per_s", [0.5, 2.0, 10.0, 50.0])
@pytest.mark.parametrize("boxes", [1, 8, 40])
def test_boxes_together_stay_within_the_limit_and_use_most_of_it(per_s, boxes):
    world = overloaded_world(per_s, boxes=boxes)
    world.run(ENDS)
    assert world.most_in_a_window() <= allowed(per_s)
    assert used_share(world, per_s) >= GOOD_USE


def test_callers_at_one_box_of_many_get_the_whole_limit():
    world = overloaded_world(2.0, boxes=40, through=["b7"])
    world.run(ENDS)
    assert used_share(world, 2.0) >= GOOD_USE


def test_zero_limit_still_allows_a_probing_call():
    world = overloaded_world(0.0, boxes=8)
    world.run(ENDS)
    assert 0 < sum(units for _, units in world.taken) <= MIN_RATE_PER_S * ENDS + 3.0
    assert world.most_in_a_window() <= allowed(0.0)


@pytest.mark.parametrize("lower", [0.5, 2.0])
def test_lowered_limit_applies_within_a_window(lower):
    world = overloaded_world(12.0, boxes=8)
    world.at(15.0, lambda: setattr(world, "limit", usage_limit(lower)))
    world.run(ENDS)
    late = [(when, units) for when, units in world.taken if when >= 15.1]
    world.taken = late
    assert world.most_in_a_window() <= allowed(lower)


def test_raised_limit_is_used_soon():
    world = overloaded_world(2.0, boxes=8, over=40.0)
    world.at(15.0, lambda: setattr(world, "limit", usage_limit(12.0)))
    world.run(ENDS)
    soon = sum(units for when, units in world.taken if 16.0 <= when < 20.0)
    assert soon >= GOOD_USE * 12.0 * 4.0


def test_halls_cut_apart_stay_within_the_limit_and_use_it():
    world = overloaded_world(2.0, boxes=8)
    hall = {"b0", "b1", "b2"}
    world.at(10.0, lambda: setattr(world, "apart", lambda a, b: (a in hall) != (b in hall)))
    world.at(25.0, lambda: setattr(world, "apart", lambda a, b: False))
    world.run(ENDS)
    assert world.most_in_a_window() <= allowed(2.0)
    assert used_share(world, 2.0) >= GOOD_USE


def max_calls_with_local_limits(per_s, boxes, share):
    """Return the most calls in 4 s if each box applies a share of the limit on its own."""
    rng = random.Random(1)
    limit = usage_limit(per_s)
    capacity = WORKER_TERMS.capacity(limit) * share
    buckets = [UsageBucket(level=capacity, filled_to=0.0) for _ in range(boxes)]
    now, taken = 0.0, []
    while now < 20.0:
        now += rng.expovariate(4.0 * per_s * boxes)
        bucket = rng.choice(buckets)
        bucket.fill(now * share, limit=limit, capacity=capacity)
        if bucket.take(CALL, extra=0.0, capacity=capacity):
            taken.append(now)
    return max(sum(t - 4.0 < u <= t for u in taken) for t in taken)


@pytest.mark.parametrize("boxes", [3, 8])
def test_limit_applied_by_each_box_alone_is_exceeded(boxes):
    assert max_calls_with_local_limits(2.0, boxes, 1.0) > allowed(2.0)


def test_shares_of_halls_that_count_only_themselves_exceed_the_limit():
    assert 2 * max_calls_with_local_limits(10.0, 4, 1.0 / 4) > allowed(10.0)


@settings(max_examples=40, deadline=None, derandomize=True)
@given(
    seed=st.integers(0, 10_000),
    per_s=st.sampled_from([0.5, 2.0, 10.0]),
    loss=st.sampled_from([0.0, 0.02, 0.3]),
    repeats=st.sampled_from([0.0, 0.3]),
    delay=st.sampled_from([0.005, 0.3, 3.0]),
    events=st.lists(
        st.tuples(
            st.sampled_from(["cut", "one_way", "heal", "pause", "restart", "die", "restart_all"]),
            st.floats(6.0, 25.0),
            st.integers(0, 11),
        ),
        max_size=10,
    ),
)
def test_no_sequence_of_faults_exceeds_a_workers_limit(seed, per_s, loss, repeats, delay, events):
    world = overloaded_world(
        per_s, boxes=12, seed=seed, loss=loss, repeats=repeats, delay_s=(0.001, delay)
    )
    for kind, when, n in events:
        world.at(when, lambda kind=kind, n=n: apply_event(world, kind, n))
    world.run(31.0)
    assert world.most_in_a_window() <= allowed(per_s)
