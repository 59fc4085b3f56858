"""When an overloaded box stands back; guards against boxes that go out one after another."""

import pytest

from croftchute.systems.overload import (
    RETURN_AFTER_S,
    STAND_BACK_AFTER_S,
    Overload,
    most_out,
)


def shed_for(overload, seconds, *, begin=0.0, **hall):
    now = begin
    while now <= begin + seconds:
        overload.note_shed(now)
        overload.decide(now, **hall)
        now += 0.1
    return now - 0.1


def test_a_burst_takes_no_box_out():
    overload = Overload()
    shed_for(overload, 0.5 * STAND_BACK_AFTER_S, hall_boxes=8, others_out=0)
    assert not overload.is_standing_back


def test_a_box_that_sheds_stands_back_and_is_soon_back():
    overload = Overload()
    end = shed_for(overload, 1.5 * STAND_BACK_AFTER_S, hall_boxes=8, others_out=0)
    assert overload.is_standing_back
    assert not overload.decide(end + 0.5 * RETURN_AFTER_S, hall_boxes=8, others_out=0)
    assert overload.decide(end + 1.1 * RETURN_AFTER_S, hall_boxes=8, others_out=0)
    assert not overload.is_standing_back


@pytest.mark.parametrize("hall_boxes, others_out", [(1, 0), (2, 0), (8, 2), (22, 5)])
def test_a_box_stays_in_where_too_few_would_be_left(hall_boxes, others_out):
    overload = Overload()
    shed_for(overload, 5.0, hall_boxes=hall_boxes, others_out=others_out)
    assert not overload.is_standing_back


def test_a_box_that_is_out_stays_out_while_others_are():
    overload = Overload()
    end = shed_for(overload, 2.0, hall_boxes=8, others_out=0)
    shed_for(overload, 2.0, begin=end, hall_boxes=8, others_out=3)
    assert overload.is_standing_back


@pytest.mark.parametrize("hall_boxes", range(1, 40))
def test_at_least_half_of_a_hall_stays_in(hall_boxes):
    assert 2 * (hall_boxes - most_out(hall_boxes)) >= hall_boxes
