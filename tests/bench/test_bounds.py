"""A short seeded part of the bench, in virtual time, against committed bounds."""

import json
from pathlib import Path

import pytest

from croftchute.bench.experiment import RunSpec, run

BOUNDS = json.loads(Path(__file__).with_name("bounds.json").read_text())
SECONDS = 40.0


def row(router, case):
    spec = RunSpec(
        scenario=case["scenario"],
        load=case["load"],
        faults=case["faults"],
        router=router,
        seed=11,
        duration_s=SECONDS,
    )
    return run(spec)


@pytest.mark.parametrize("case", BOUNDS, ids=lambda c: f"{c['scenario']}-{c['load']}-{c['faults']}")
def test_a_run_keeps_to_its_bounds(case):
    ours = row("croftchute", case)
    assert ours.violations == 0, ours.violation_kinds
    assert ours.leaked_reservations == 0
    assert ours.goodput >= case["goodput_at_least"]
    assert ours.wasted_prefill <= case["wasted_at_most"]
    if "times_least_loaded" in case:
        assert ours.goodput >= case["times_least_loaded"] * row("least-loaded", case).goodput
    if "share_of_oracle" in case:
        assert ours.goodput >= case["share_of_oracle"] * row("oracle", case).goodput


def test_the_same_seed_gives_the_same_row():
    case = BOUNDS[0]
    first, second = row("croftchute", case), row("croftchute", case)
    assert (first.goodput, first.ttft_p99, first.offered) == (
        second.goodput,
        second.ttft_p99,
        second.offered,
    )
