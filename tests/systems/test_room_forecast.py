"""Forecast of the wait for room: a request waits only while its caller is likely to be served."""

from croftchute.systems.room_forecast import (
    HALF_LIFE_S,
    MAX_LATE_MEAN_WAIT_S,
    RoomCounts,
    RoomHistory,
    RoomWait,
    caller_timeout_s,
)
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


def room_wait(elapsed_s, *, time_left_s=14.0, reading_s=0.2):
    return RoomWait(elapsed_s=elapsed_s, time_left_s=time_left_s, reading_s=reading_s)


def test_a_request_waits_while_it_is_likely_to_be_in_time():
    assert room_wait(0.0).is_worthwhile(ROUTE, mean_wait_s=0.6)
    assert room_wait(0.5).is_worthwhile(ROUTE, mean_wait_s=0.15)


def test_a_request_that_will_not_be_served_is_refused_at_once():
    """It used to wait a fifth of its target in any case, and half of it after a return."""
    assert not room_wait(0.0).is_worthwhile(ROUTE, mean_wait_s=5.0)
    assert not room_wait(0.0, time_left_s=0.3).is_worthwhile(ROUTE, mean_wait_s=0.2)


def test_a_late_request_waits_only_if_room_is_near_and_its_caller_still_waits():
    assert room_wait(1.0).is_worthwhile(ROUTE, mean_wait_s=0.4)
    assert not room_wait(1.0).is_worthwhile(ROUTE, mean_wait_s=MAX_LATE_MEAN_WAIT_S + 0.1)
    assert not room_wait(caller_timeout_s(ROUTE) / 2).is_worthwhile(ROUTE, mean_wait_s=0.4)


def test_the_caller_timeout_is_four_targets():
    assert caller_timeout_s(ROUTE) == 4 * ROUTE.target_s


def test_waits_without_room_lengthen_the_forecast_and_grants_shorten_it():
    history = RoomHistory()
    before = history.counts(0.0).mean_wait_s
    for step in range(20):
        history.note_waited(0.1, 0.1 * step)
    longer = history.counts(2.0).mean_wait_s
    for step in range(4):
        history.note_granted(2.0 + 0.1 * step)
    assert before < history.counts(2.4).mean_wait_s < longer


def test_old_waits_decay():
    history = RoomHistory()
    history.note_waited(60.0, 0.0)
    assert history.counts(20 * HALF_LIFE_S).mean_wait_s == RoomCounts().mean_wait_s


def test_counts_of_boxes_are_added():
    total = RoomCounts(waited_s=1.0, grants=2.0) + RoomCounts(waited_s=2.0, grants=1.0)
    assert total == RoomCounts(waited_s=3.0, grants=3.0)
