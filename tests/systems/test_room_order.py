"""Who gets room that comes free: by how often they ask, and who goes on waiting."""

from croftchute.systems import patience
from croftchute.systems.patience import ReturnWay
from croftchute.systems.room_forecast import RoomWait
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
FRESH, LATE = 0.0, 4.5
BOTH = (ReturnWay.IN_TIME_FIRST, ReturnWay.RETURNED_FIRST)


def poll(way, before_s, *, is_begun=False):
    return patience.room_poll(ROUTE, way, before_s=before_s, is_begun=is_begun)


def test_requests_that_can_be_in_time_ask_four_times_as_often_as_late_ones():
    way = ReturnWay.IN_TIME_FIRST
    assert 4 * poll(way, FRESH) <= poll(way, LATE)


def test_where_returned_callers_go_first_they_ask_more_often():
    way = ReturnWay.RETURNED_FIRST
    assert poll(way, LATE) < poll(way, FRESH)


def test_streams_that_were_cut_ask_most_often_either_way():
    for way in BOTH:
        assert poll(way, LATE, is_begun=True) <= min(poll(way, FRESH), poll(way, LATE))


def test_a_returned_caller_that_is_late_does_not_wait_as_if_it_were_in_time():
    wait = RoomWait(elapsed_s=0.0, time_left_s=9.0, reading_s=0.2, before_s=LATE)
    first = RoomWait(elapsed_s=0.0, time_left_s=14.0, reading_s=0.2)
    assert first.is_worthwhile(ROUTE, mean_wait_s=0.6)
    assert not wait.is_worthwhile(ROUTE, mean_wait_s=0.6)
    assert wait.is_worthwhile(ROUTE, mean_wait_s=0.3)
