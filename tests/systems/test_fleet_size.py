"""The count of boxes that limits are divided by is never too small, and is lowered with a delay."""

import pytest

from croftchute.systems.fleet_size import SHRINK_DELAY_S, FleetSize


def test_box_without_the_record_has_no_share():
    assert FleetSize().share(1) == 0.0
    assert FleetSize().share(40) == 0.0


def test_just_started_box_uses_the_record():
    assert FleetSize(recorded=78).share(1) == pytest.approx(1 / 78)


def test_more_known_boxes_than_recorded_count_at_once_and_are_recorded():
    size = FleetSize(recorded=40)
    assert size.share(50) == pytest.approx(1 / 50)
    assert size.to_record(50, now=1.0) == 50


def test_reported_count_stands_in_for_the_record_and_never_lowers_it():
    size = FleetSize()
    size.note_reported(0)
    assert not size.is_known
    size.note_reported(60)
    size.note_reported(20)
    assert size.recorded == 60


def test_lower_count_is_recorded_only_after_a_delay():
    size = FleetSize(recorded=78)
    assert size.to_record(52, now=10.0) is None
    assert size.to_record(52, now=10.0 + SHRINK_DELAY_S - 1.0) is None
    assert size.to_record(52, now=10.0 + SHRINK_DELAY_S) == 52


def test_returning_boxes_restart_the_delay():
    size = FleetSize(recorded=78)
    assert size.to_record(52, now=10.0) is None
    assert size.to_record(78, now=200.0) is None
    assert size.to_record(52, now=10.0 + SHRINK_DELAY_S) is None
