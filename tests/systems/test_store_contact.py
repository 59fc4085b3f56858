"""Watches of two prefixes, spaced so that the store is heard from as often as they allow."""

import random

from hypothesis import given
from hypothesis import strategies as st

from croftchute.systems.hall_relays import MIN_PROOF_AGE_S
from croftchute.systems.store_contact import (
    ANSWER_MARGIN_S,
    CONTACT_PERIOD_S,
    CONTACT_TOLERANCE_S,
    MIN_WATCH_S,
    WATCH_PERIOD_S,
    WATCH_WAIT_S,
    StoreContact,
)

PAUSE_BY_PREFIX = {"config": 0.0, "workers": 0.25}


def play(*, seconds, round_trip_s=0.004, changes=(), seed=1):
    """Times at which the store answers either watch; ``changes`` end the watch of a prefix."""
    rng = random.Random(seed)
    contact = StoreContact()
    begins_at = dict.fromkeys(PAUSE_BY_PREFIX, 0.0)
    ends_at = {}
    answered = []
    changes = sorted(changes)
    now = 0.0
    while now < seconds:
        for prefix, at in list(begins_at.items()):
            if at <= now:
                del begins_at[prefix]
                wait_s = contact.begin_watch(prefix, now, is_followed=True)
                assert 0.0 < wait_s <= WATCH_PERIOD_S
                ends_at[prefix] = (now, now + wait_s + round_trip_s * rng.uniform(1.0, 2.0))
        events = [(end, prefix, False) for prefix, (_, end) in ends_at.items()]
        if changes and changes[0][1] in ends_at:
            events.append((max(now, changes[0][0]), changes[0][1], True))
        elif changes and changes[0][0] <= now:
            changes.pop(0)
        at, prefix, is_change = min(events)
        if begins_at and min(begins_at.values()) < at:
            now = min(begins_at.values())
            continue
        if is_change:
            changes.pop(0)
        now = at
        begun_at, _ = ends_at.pop(prefix)
        contact.note_answer(prefix, begun_at=begun_at, now=now, has_changes=is_change)
        assert contact.heard_at == now
        answered.append(now)
        begins_at[prefix] = now + PAUSE_BY_PREFIX[prefix]
    return answered


def gaps(times):
    return [after - before for before, after in zip(times, times[1:], strict=False)]


def test_the_answers_of_two_watches_are_spaced_evenly_in_quiet_times():
    answered = play(seconds=60.0)
    settled = answered[4:]
    assert max(gaps(settled)) < CONTACT_PERIOD_S + CONTACT_TOLERANCE_S
    assert len(settled) <= 60.0 / CONTACT_PERIOD_S + 1


@given(
    st.lists(st.tuples(st.floats(1.0, 50.0), st.sampled_from(["config", "workers"])), max_size=30),
    st.integers(0, 1000),
)
def test_the_store_is_heard_from_within_a_proof_whatever_changes(changes, seed):
    """Guards against followers that read the store in quiet times for want of a proof."""
    answered = play(seconds=60.0, changes=changes, seed=seed)
    assert max(gaps(answered)) < MIN_PROOF_AGE_S - 0.2


def test_an_answer_that_was_left_unread_proves_only_what_it_can():
    """Guards against old answers that a process reads after it stood still."""
    contact = StoreContact()
    wait_s = contact.begin_watch("workers", 0.0, is_followed=True)
    unread_at = wait_s + ANSWER_MARGIN_S + 5.0
    quiet = contact.note_answer("workers", begun_at=0.0, now=unread_at, has_changes=False)
    assert quiet == wait_s == MIN_WATCH_S
    wait_s = contact.begin_watch("workers", 10.0, is_followed=True)
    late = contact.note_answer("workers", begun_at=10.0, now=10.0 + wait_s + 5.0)
    assert late == 10.0
    assert contact.heard_at == 10.0


def test_a_watch_that_failed_is_not_waited_for():
    contact = StoreContact()
    contact.note_answer("workers", begun_at=0.0, now=0.0)
    contact.begin_watch("config", 0.0, is_followed=True)
    contact.note_failure("config")
    assert contact.begin_watch("workers", 0.1, is_followed=True) <= CONTACT_PERIOD_S


def test_a_box_that_nobody_follows_waits_for_as_long_as_it_may():
    """Guards against calls of the store that prove something to nobody."""
    contact = StoreContact()
    contact.note_answer("config", begun_at=0.0, now=0.0)
    assert contact.begin_watch("workers", 0.0, is_followed=False) == WATCH_WAIT_S
    assert contact.begin_watch("config", 0.5, is_followed=False) == WATCH_WAIT_S
