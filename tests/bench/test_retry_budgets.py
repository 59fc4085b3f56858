"""Arrivals past the first over all boxes; guards against a budget that is spent more than once."""

import random

import pytest

from croftchute.bench.retry_budgets import SIZES, BudgetSpec, CountWay, play, slack_of

SEEDS = range(6)


def drawn_spec(boxes, seed, way=CountWay.LEDGER):
    """Shares of calls that fail, kills and a cut, drawn from a seed."""
    rng = random.Random(1000 * boxes + seed)
    rate = rng.choice((0.1, 0.3, 1.0))
    return BudgetSpec(
        boxes=boxes,
        per_s=rate * boxes,
        slack=slack_of(boxes),
        way=way,
        silent_prefill=rng.uniform(0.0, 0.6),
        rejected_prefill=rng.uniform(0.0, 0.4),
        rejected=rng.uniform(0.0, 0.7),
        broken=rng.uniform(0.0, 0.3),
        kills=tuple(sorted(rng.uniform(5.0, 30.0) for _ in range(rng.randint(0, 4)))),
        killed=rng.uniform(0.2, 1.0),
        cut=(rng.uniform(5.0, 10.0), rng.uniform(24.0, 40.0)),
        seed=seed,
    )


@pytest.mark.parametrize("seed", SEEDS)
@pytest.mark.parametrize("boxes", SIZES)
def test_boxes_of_a_fleet_keep_to_the_budget_together(boxes, seed):
    """Guards against kills, cuts and calls that nobody takes up, at sizes of large fleets."""
    found = play(drawn_spec(boxes, seed))
    assert found.excess > 0 and found.worst_use <= 1.0


@pytest.mark.parametrize("boxes", SIZES[1:])
def test_the_check_finds_boxes_that_count_by_those_they_hear(boxes):
    spec = BudgetSpec(boxes=boxes, per_s=boxes, slack=slack_of(boxes), way=CountWay.BY_BOXES_HEARD)
    assert play(spec).worst_use > 1.0


@pytest.mark.parametrize("boxes", SIZES)
def test_the_budget_is_used_while_no_box_is_killed_and_none_cut_off(boxes):
    """Guards against boxes with few requests each that round their shares down to nothing."""
    spec = BudgetSpec(
        boxes=boxes,
        per_s=boxes,
        slack=slack_of(boxes),
        rejected=0.8,
        kills=(),
        cut=(1e6, 2e6),
    )
    assert play(spec).worst_use >= 0.75
