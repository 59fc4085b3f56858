"""Timeouts and Retry-After values: within what callers wait, and long enough for workers."""

import random

import pytest

from croftchute.systems import timeouts
from croftchute.tables.routing import Route, RouteKind, WeightedService

ROUTE = Route(
    name="r",
    host="h",
    prefix="/",
    kind=RouteKind.STREAM,
    timeout_s=14.0,
    target_s=0.9,
    targets=(WeightedService(service="s", weight=1),),
    target_gap_s=0.3,
)


def test_retry_after_fits_into_the_time_that_callers_wait():
    """Callers wait at most a third of the time that they have left."""
    rng = random.Random(3)
    for _ in range(500):
        left = rng.uniform(0.4, 30.0)
        for mean_wait_s in (None, 0.1, rng.uniform(0.0, 20.0)):
            wait = timeouts.retry_after(left, mean_wait_s=mean_wait_s, jitter=rng.random())
            assert 0.0 < wait <= left / 3.0


def test_retry_after_grows_with_the_mean_wait_for_room():
    soon, later = (
        timeouts.retry_after(14.0, mean_wait_s=mean_wait_s, jitter=0.5)
        for mean_wait_s in (0.3, 0.9)
    )
    assert soon < later < 14.0 / 3.0


def test_no_timeout_exceeds_the_time_left():
    assert timeouts.answer_timeout_s(ROUTE, typical_s=5.0, time_left_s=0.3) == 0.3
    assert timeouts.gap_timeout_s(ROUTE, time_left_s=0.1) == 0.1
    assert timeouts.prefill_timeout_s(ROUTE, time_left_s=0.2) == 0.2


def test_the_timeout_of_a_decode_worker_that_reads_a_prompt_grows_with_the_prompt():
    """The worker used to be given up while it read other prompts first, and the prompt was read a
    second time.
    """
    short = timeouts.decode_reading_timeout_s(ROUTE, predicted_s=0.1, time_left_s=9.0)
    assert short == timeouts.first_event_timeout_s(ROUTE, time_left_s=9.0)
    long = timeouts.decode_reading_timeout_s(ROUTE, predicted_s=0.5, time_left_s=9.0)
    assert long == 2.0
    assert timeouts.decode_reading_timeout_s(ROUTE, predicted_s=0.5, time_left_s=0.7) == 0.7


@pytest.mark.parametrize("usual_s", [0.005, 0.06, 0.15, 0.3])
def test_an_engine_that_becomes_eight_times_slower_does_not_count_as_stuck(usual_s):
    max_resume_s = 0.75 * max(2.0, 4.0 * ROUTE.target_s, 8.0 * ROUTE.target_gap_s)
    found = timeouts.gap_timeout_s(ROUTE, time_left_s=60.0, usual_gap_s=usual_s)
    assert found >= min(8.0 * usual_s, max_resume_s)
    assert found <= max(max_resume_s, timeouts.gap_timeout_s(ROUTE, time_left_s=60.0))


def test_the_gap_timeout_of_a_fast_engine_does_not_depend_on_its_usual_gap():
    known = timeouts.gap_timeout_s(ROUTE, time_left_s=60.0, usual_gap_s=0.02)
    assert known == timeouts.gap_timeout_s(ROUTE, time_left_s=60.0)
