"""How long ago callers first tried, whatever time they have and whatever the route allows."""

from croftchute.systems.first_tries import MIN_WINDOW_S, FirstTryTimes


def test_first_tries_are_known_by_having_the_most_time():
    tries = FirstTryTimes()
    assert tries.since_first_try_s("r", 6.0, 0.0) == 0.0
    assert tries.since_first_try_s("r", 6.0, 0.1) == 0.0
    assert tries.since_first_try_s("r", 4.0, 2.0) == 2.0


def test_callers_who_give_themselves_less_time_than_before_are_first_tries_again():
    """An operator's shorter time-out shortens what callers wait."""
    tries = FirstTryTimes()
    tries.since_first_try_s("r", 14.0, 0.0)
    for step in range(10):
        last = tries.since_first_try_s("r", 6.0, 1.0 + step * MIN_WINDOW_S / 3)
    assert last == 0.0


def test_routes_are_apart_and_requests_without_a_deadline_are_first_tries():
    tries = FirstTryTimes()
    tries.since_first_try_s("long", 14.0, 0.0)
    assert tries.since_first_try_s("short", 1.0, 0.0) == 0.0
    assert tries.since_first_try_s("long", None, 0.0) == 0.0


def test_the_most_is_kept_over_a_whole_span_at_least():
    tries = FirstTryTimes()
    tries.since_first_try_s("r", 14.0, 0.0)
    assert tries.since_first_try_s("r", 10.0, MIN_WINDOW_S + 0.1) == 4.0
