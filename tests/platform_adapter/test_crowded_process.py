"""A real box that gets more new connections than its processor can serve.

Guards against a box that takes in more than it can serve and then serves next to none of it. The
users' bound: first tries that it has read are served three quarters as often as just before.
"""

import asyncio

import pytest

from croftchute.bench.crowded_box import TARGET_SHARE, CrowdSpec, run_crowd

SLOW_MS = 12.0
"""Milliseconds of the processor that each request costs the crowded box beside its usual work: it
can serve some 60 a second, whatever the machine."""


@pytest.mark.parametrize("kept_share", [0.0, 0.5], ids=["new_connections", "kept_connections"])
def test_first_tries_read_by_a_box_past_its_rate_are_served(kept_share, tmp_path):
    """Guards against callers that wait out their deadlines at a box that cannot serve them."""
    spec = CrowdSpec(per_s=90.0, crowd_s=6.0, extra_ms=SLOW_MS, kept_share=kept_share)
    found = asyncio.run(run_crowd(spec, tmp_path))
    assert found.read > 0 and found.keeps_target
    assert found.others_share >= TARGET_SHARE * found.before_share
    assert found.closed_served >= TARGET_SHARE * found.closed


def test_first_tries_of_clients_that_keep_connections_are_served_past_the_rate_of_a_box(tmp_path):
    """Guards against a box that is full of long streams while plain calls wait out their time."""
    spec = CrowdSpec(
        per_s=140.0,
        crowd_s=6.0,
        extra_ms=SLOW_MS,
        plain_share=0.63,
        kept_share=0.83,
        clients=200,
        events=71,
        event_gap_s=0.01,
        deadline_s=14.0,
        plain_deadline_s=1.6,
    )
    found = asyncio.run(run_crowd(spec, tmp_path))
    assert found.read > 0 and found.keeps_target
    assert found.others_share >= TARGET_SHARE * found.before_share
    assert found.closed_served >= TARGET_SHARE * found.closed
