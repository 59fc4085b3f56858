"""Time since a caller's first try, for any time that callers have and any route timeout."""

from croftchute.systems.first_tries import MIN_WINDOW_S, FirstTryTimes


def test_requests_with_the_most_time_left_are_first_tries():
    tries = FirstTryTimes()
    assert tries.since_first_try_s("r", 6.0, 0.0) == 0.0
    assert tries.since_first_try_s("r", 6.0, 0.1) == 0.0
    assert tries.since_first_try_s("r", 4.0, 2.0) == 2.0


def test_first_tries_are_recognised_again_after_callers_use_a_shorter_timeout():
    """An operator may shorten the timeout, and callers then wait less."""
    tries = FirstTryTimes()
    tries.since_first_try_s("r", 14.0, 0.0)
    for step in range(10):
        last = tries.since_first_try_s("r", 6.0, 1.0 + step * MIN_WINDOW_S / 3)
    assert last == 0.0


def test_routes_are_separate_and_requests_without_a_deadline_are_first_tries():
    tries = FirstTryTimes()
    tries.since_first_try_s("long", 14.0, 0.0)
    assert tries.since_first_try_s("short", 1.0, 0.0) == 0.0
    assert tries.since_first_try_s("long", None, 0.0) == 0.0


def test_the_maximum_is_kept_for_at_least_a_whole_window():
    tries = FirstTryTimes()
    tries.since_first_try_s("r", 14.0, 0.0)
    assert tries.since_first_try_s("r", 10.0, MIN_WINDOW_S + 0.1) == 4.0
