"""What a box does while it closes connections unread; guards against one that never comes back."""

import asyncio
from types import SimpleNamespace

from croftchute.forwarding import overload_watch
from croftchute.forwarding.http.connection_intake import ShedCause
from croftchute.forwarding.overload_watch import OverloadWatch
from croftchute.systems.overload import RETURN_AFTER_S, STAND_BACK_AFTER_S, Overload


class Box:
    """A box of a hall of some, whose clock is set by hand."""

    def __init__(self, *, others, others_out=0):
        self.now = 0.0
        self.lines, self.counted, self.changes = [], [], []
        peers = [SimpleNamespace(stands_back=number < others_out) for number in range(others)]
        self.state = SimpleNamespace(
            zone="a",
            clock=lambda: self.now,
            overload=Overload(),
            peers=SimpleNamespace(hall_peers=lambda hall, now: peers),
            log=SimpleNamespace(decide=lambda kind, **inputs: self.lines.append(inputs)),
            metrics=SimpleNamespace(
                connections_shed=SimpleNamespace(inc=lambda labels: self.counted.append(labels))
            ),
        )
        self.watch = OverloadWatch(
            state=self.state,
            on_change=lambda: self.changes.append(self.state.overload.is_standing_back),
            open_requests=lambda: 3,
            connections_read=lambda: 5,
        )

    def shed_until(self, end):
        while self.now < end:
            self.watch.note_shed(ShedCause.WAITED, self.now)
            self.watch.decide(self.now)
            self.now += 0.1


def test_a_box_that_sheds_says_so_once_and_logs_once_a_second():
    box = Box(others=7)
    box.shed_until(3.0)
    assert box.changes == [True] and len(box.counted) == 30
    assert 3 <= len(box.lines) <= 4
    assert box.lines[-1]["outcome"] == "standing_back" and box.lines[-1]["hall_boxes"] == 8
    box.now += RETURN_AFTER_S
    box.watch.decide(box.now)
    assert box.changes == [True, False]


def test_a_box_stays_ready_while_others_of_its_hall_stand_back():
    box = Box(others=7, others_out=2)
    box.shed_until(3.0)
    assert box.changes == [] and box.lines[-1]["outcome"] == "ready"


def test_connections_closed_at_a_stop_are_no_overload():
    box = Box(others=7)
    box.watch.note_shed(ShedCause.STOPPED, 0.0)
    assert not box.state.overload.is_shedding(0.0) and box.counted == [{"cause": "stopped"}]


def test_the_watch_decides_until_the_box_is_back(monkeypatch):
    """Guards against a box that stays out of the balancer once its crowd has gone."""
    monkeypatch.setattr(overload_watch, "CHECK_S", 0.001)

    async def body():
        box = Box(others=7)
        running = asyncio.create_task(box.watch.run())
        await asyncio.sleep(0)
        for _ in range(40):
            box.watch.note_shed(ShedCause.WAITED, box.now)
            box.now += STAND_BACK_AFTER_S / 20
            await asyncio.sleep(0.005)
        assert box.changes == [True]
        while box.changes == [True]:
            box.now += 0.1
            await asyncio.sleep(0.005)
        assert box.changes == [True, False]
        running.cancel()

    async def limited():
        async with asyncio.timeout(20):
            await body()

    asyncio.run(limited())
