"""What the kinds of faults that come in series do to boxes, links and the configuration."""

import asyncio
import signal
from types import SimpleNamespace

import pytest

from croftchute.soak import series
from croftchute.soak.disturbances import Disturbances
from croftchute.soak.plan import FaultKind, PlannedFault, SoakSpec, draw_plan
from croftchute.soak.proxy import LinkFault
from croftchute.soak.series import SeriesFaults
from croftchute.soak.signals import BoxSignals

NEW_KINDS = (FaultKind.LONG_CONFIG, FaultKind.CONNECTIONS_SILENCED, FaultKind.STOPS_IN_SERIES)


class Link:
    def __init__(self):
        self.fault = LinkFault.NONE
        self.faults = []
        self.silenced = 0

    def set_fault(self, fault, *, bytes_a_second=0.0):
        self.fault = fault
        self.faults.append((fault, bytes_a_second))

    def silence_open(self, share, rng):
        self.silenced += 1
        return 1


class World:
    def __init__(self):
        self.changes = []
        self.size_by_version = {1: 1_000_000}
        self.workers = [SimpleNamespace(worker=SimpleNamespace(id="w"), link=Link())]

    def accept_config(self):
        self.changes.append("change")

    def lengthen_config(self):
        self.changes.append("long")
        return 1

    def shorten_config(self):
        self.changes.append("short")

    def live(self):
        return self.workers


class Signals(BoxSignals):
    def __init__(self):
        super().__init__(disturbances=Disturbances())
        self.sent = []

    def end(self, box, number):
        self.sent.append((box.name, number))

    async def stop(self, box):
        self.sent.append((box.name, signal.SIGTERM))

    async def pause(self, box, for_s):
        self.sent.append((box.name, signal.SIGSTOP))


def setting(boxes=3, **changes):
    names = [f"box-{number + 1}" for number in range(boxes)]
    return SeriesFaults(
        spec=SoakSpec(seed=1, **changes),
        world=World(),
        boxes=[SimpleNamespace(name=name, is_up=False) for name in names],
        store_links=[Link() for _ in names],
        caller_links=[Link() for _ in names],
        disturbances=Disturbances(),
        signals=Signals(),
    )


@pytest.fixture(autouse=True)
def short_series(monkeypatch):
    monkeypatch.setattr(series, "TRANSFERS_S", (0.01, 0.02))
    monkeypatch.setattr(series, "TAIL_S", 0.01)
    monkeypatch.setattr(series, "SILENCE_GAPS_S", (0.0, 0.01))
    monkeypatch.setattr(series, "STOP_GAPS_S", (0.0, 0.01))


def fault(kind, pick):
    return PlannedFault(at=1.0, kind=kind, pick=pick)


def strike_long(faults, pick):
    asyncio.run(faults.long_config(fault(FaultKind.LONG_CONFIG, pick)))


@pytest.mark.parametrize("pick", range(8))
def test_a_long_configuration_comes_over_slow_links_with_changes_behind_it(pick):
    faults = setting()
    strike_long(faults, pick)
    first, *between, last = faults.world.changes
    assert (first, last) == ("long", "short")
    assert between in (["change"], ["change"] * 2)
    slow = [link for link in faults.store_links if link.faults]
    assert slow
    for link in slow:
        (kind, pace), (after, _) = link.faults
        assert (kind, after) == (LinkFault.PACED, LinkFault.NONE)
        assert 1_000_000 / 0.02 <= pace <= 1_000_000 / 0.01
    assert len(faults.disturbances.paces) == len(slow)
    assert len(faults.signals.sent) == len(between)


def test_all_links_are_slow_in_some_cases_and_some_in_others():
    counts = set()
    for pick in range(12):
        faults = setting()
        strike_long(faults, pick)
        counts.add(len(faults.disturbances.paces))
    assert counts == {1, 2, 3}


def test_with_planned_work_only_boxes_are_restarted_by_a_stop_alone():
    for pick in range(8):
        faults = setting(only_planned=True)
        strike_long(faults, pick)
        assert {number for _, number in faults.signals.sent} == {signal.SIGTERM}


def test_connections_fall_silent_in_series_and_who_asked_on_them_counts_as_disturbed():
    silenced = set()
    for pick in range(20):
        faults = setting()
        asyncio.run(faults.silence_connections(fault(FaultKind.CONNECTIONS_SILENCED, pick)))
        groups = {
            "store": faults.store_links,
            "callers": faults.caller_links,
            "workers": [listed.link for listed in faults.world.live()],
        }
        counts = {name: links[0].silenced for name, links in groups.items()}
        assert 2 <= sum(counts.values()) <= series.MAX_SILENCINGS
        silenced |= {name for name, count in counts.items() if count}
        assert faults.disturbances.known
        assert all(not one.is_planned for one in faults.disturbances.known)
    assert silenced == {"store", "callers", "workers"}


@pytest.mark.parametrize("pick", range(8))
def test_several_boxes_are_stopped_each_once_with_changes_between(pick):
    faults = setting(boxes=4)
    asyncio.run(faults.stop_boxes(fault(FaultKind.STOPS_IN_SERIES, pick)))
    names = [name for name, number in faults.signals.sent if number is signal.SIGTERM]
    assert 2 <= len(names) <= 4
    assert len(set(names)) == len(names) == len(faults.world.changes)


class Process:
    def __init__(self, returncode=None):
        self.returncode = returncode


def end_after_stop(monkeypatch, *, process, after):
    """Stop a box whose process is another one, or has ended, when its time is over."""
    sent = []
    monkeypatch.setattr("croftchute.soak.signals.KILL_AFTER_S", 0.0)
    box = SimpleNamespace(name="box-1", process=process, end=sent.append)

    async def body():
        disturbances = Disturbances()
        stop = asyncio.create_task(BoxSignals(disturbances=disturbances).stop(box))
        await asyncio.sleep(0)
        box.process = after
        await stop
        assert [one.is_planned for one in disturbances.known] == [True]

    asyncio.run(body())
    return sent


def test_a_box_that_outlasts_its_stop_is_killed_but_not_the_one_after_it(monkeypatch):
    lasting, ended = Process(), Process(returncode=0)
    both = [signal.SIGTERM, signal.SIGKILL]
    assert end_after_stop(monkeypatch, process=lasting, after=lasting) == both
    assert end_after_stop(monkeypatch, process=lasting, after=Process()) == [signal.SIGTERM]
    assert end_after_stop(monkeypatch, process=ended, after=ended) == [signal.SIGTERM]
    assert end_after_stop(monkeypatch, process=ended, after=Process()) == [signal.SIGTERM]


def test_plans_draw_all_kinds_or_just_those_that_are_asked_for():
    drawn = {one.kind for seed in range(20) for one in draw_plan(SoakSpec(seed=seed))}
    assert drawn == set(FaultKind)
    asked = {one.kind for one in draw_plan(SoakSpec(seed=1, kinds=NEW_KINDS))}
    assert asked == set(NEW_KINDS)
    planned = {one.kind for one in draw_plan(SoakSpec(seed=1, kinds=NEW_KINDS, only_planned=True))}
    assert planned == {FaultKind.LONG_CONFIG, FaultKind.STOPS_IN_SERIES}
