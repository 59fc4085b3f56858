"""A box whose machine was suspended: the clock that it goes by has gone on meanwhile."""

import time

import pytest
from platform_fleet import ask, fleet, run, until

from croftchute.forwarding.store.hall_news import NEWS_PATH
from croftchute.steady_clock import steady_s

SUSPENSIONS_S = (3.0, 8.0, 30.0)


def suspend(box, seconds):
    """Let time pass that the process does not see."""
    box.state.clock = lambda: steady_s() + seconds
    for part in (box.follower, box.orders, box.exchange):
        assert part.state is box.state


def test_the_clock_counts_suspended_time():
    assert steady_s() == pytest.approx(time.clock_gettime(time.CLOCK_BOOTTIME), abs=1.0)


@pytest.mark.parametrize("seconds", SUSPENSIONS_S)
def test_connections_that_were_idle_for_so_long_are_not_used(seconds):
    async def body():
        async with fleet() as made:
            worker = await made.add_worker("w1")
            box = await made.add_box()
            await made.ready(box)
            assert (await ask(box, "/once/x", "r1")).status == 200
            suspend(box, seconds)
            assert (await ask(box, "/once/x", "r2")).status == 200
            assert worker.connections == 2

    run(body)


@pytest.mark.parametrize("seconds", SUSPENSIONS_S[1:])
def test_a_relay_tells_no_news_until_it_has_heard_the_store_again(seconds):
    async def body():
        async with fleet() as made:
            await made.add_worker("w1")
            box = await made.add_box()
            await made.ready(box)
            log = box.follower.workers.log
            await until(lambda: log.is_fresh(box.state.clock()))
            made.store.faults.is_silent = True
            suspend(box, seconds)
            assert not log.is_fresh(box.state.clock())
            target = f"{NEWS_PATH}?prefix=servers%2F&after=0"
            status, _ = await box.follower.answer_news(target)
            assert status == 503

    run(body)


@pytest.mark.parametrize("seconds", SUSPENSIONS_S)
def test_peers_that_were_heard_before_do_not_count_as_just_heard(seconds):
    async def body():
        async with fleet() as made:
            await made.add_worker("w1")
            first = await made.add_box("box-1")
            second = await made.add_box("box-2")
            await made.ready(second)
            second.state.peers.seeds = (("127.0.0.1", first.exchange.port),)
            second.exchange.send_notices()
            await until(lambda: "box-2" in first.state.peers.peers_by_id)
            second.exchange.send_notices = lambda: None
            suspend(first, seconds)
            assert first.state.peers.newest(first.state.clock(), first.state.rng) == (None, None)

    run(body)


def test_a_suspension_is_logged_with_how_old_the_knowledge_is(capfd):
    async def body():
        async with fleet() as made:
            await made.add_worker("w1")
            box = await made.add_box()
            await made.ready(box)
            box._note_suspension(7.5)

    run(body)
    lines = [line for line in capfd.readouterr().out.splitlines() if '"suspended"' in line]
    assert len(lines) == 1 and '"for_s":7.5' in lines[0]
