"""When a box fetches from a peer what does not come to it by itself."""

import asyncio
from types import SimpleNamespace

import pytest

from croftchute.forwarding.store.catch_up import FETCH_AFTER_S, CatchUp

NEWER = object()
SAME = object()


def catching_up(table=True):
    state = SimpleNamespace(table=table, clock=lambda: 0.0)
    return CatchUp(
        prefix="p",
        state=state,
        is_newer=lambda notice: notice is NEWER,
        newer_peer=lambda _: None,
        take=lambda *_: None,
        on_change=lambda: None,
    )


def test_the_time_to_catch_up_runs_from_the_notice():
    """It ran from the next look, and was looked at every half second: 2.4 s at the worst."""
    catch_up = catching_up()
    catch_up.note_notice(SAME, 10.0)
    assert not catch_up._is_behind.is_set()
    catch_up.note_notice(NEWER, 10.2)
    catch_up.note_notice(NEWER, 10.5)
    assert catch_up._is_behind.is_set()
    assert catch_up._wait_s(10.5) == pytest.approx(FETCH_AFTER_S - 0.3)
    assert catch_up._wait_s(20.0) == 0.0


def test_a_box_that_knows_nothing_yet_does_not_wait():
    catch_up = catching_up(table=None)
    catch_up.note_notice(NEWER, 10.0)
    assert catch_up._wait_s(10.0) == 0.0


def test_what_came_by_itself_meanwhile_is_not_fetched():
    catch_up = catching_up()
    catch_up.note_notice(NEWER, 10.0)
    asyncio.run(catch_up.check())
    assert not catch_up._is_behind.is_set()
    catch_up.note_notice(NEWER, 20.0)
    assert catch_up._wait_s(20.0) == pytest.approx(FETCH_AFTER_S)
