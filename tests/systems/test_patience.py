import random

from croftchute.systems import patience
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


def test_a_refused_caller_can_always_keep_to_the_time_it_is_told():
    """Callers wait at most a third of the time that they have left."""
    rng = random.Random(3)
    for _ in range(500):
        left = rng.uniform(0.4, 30.0)
        for is_full in (True, False):
            wait = patience.retry_after(left, is_full=is_full, spread=rng.random())
            assert 0.0 < wait <= left / 3.0


def test_a_first_attempt_hears_of_full_workers_within_a_quarter_of_the_target():
    assert patience.room_patience(ROUTE, time_left_s=14.0, is_begun=False) < ROUTE.target_s / 4


def test_a_caller_that_came_back_may_wait_while_it_can_be_in_time():
    wait = patience.room_patience(ROUTE, time_left_s=9.7, is_begun=False)
    assert ROUTE.target_s / 4 < wait < ROUTE.target_s


def test_no_patience_outlasts_the_caller():
    assert patience.answer_patience(ROUTE, typical_s=5.0, time_left_s=0.3) == 0.3
    assert patience.gap_patience(ROUTE, time_left_s=0.1) == 0.1
    assert patience.prefill_patience(ROUTE, time_left_s=0.2) == 0.2


def test_a_stream_that_has_begun_waits_for_room_longer_than_one_that_has_not():
    begun = patience.room_patience(ROUTE, time_left_s=9.0, is_begun=True)
    assert begun > patience.room_patience(ROUTE, time_left_s=9.0, is_begun=False)
    assert patience.room_patience(ROUTE, time_left_s=0.5, is_begun=True) == 0.5


def test_a_decode_worker_that_reads_a_prompt_itself_is_given_time_by_what_it_has_to_read():
    """It was given up while it read for others first, and the prompt was read a second time."""
    short = patience.own_reading_patience(ROUTE, predicted_s=0.1, time_left_s=9.0)
    assert short == patience.first_event_patience(ROUTE, time_left_s=9.0)
    long = patience.own_reading_patience(ROUTE, predicted_s=0.5, time_left_s=9.0)
    assert long == 2.0
    assert patience.own_reading_patience(ROUTE, predicted_s=0.5, time_left_s=0.7) == 0.7
