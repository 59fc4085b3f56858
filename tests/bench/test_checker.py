"""Each promise's check, shown to fail on a router that breaks the promise."""

import pytest

from croftchute.bench import fleet_router
from croftchute.bench.experiment import Experiment, RunSpec
from croftchute.bench.scenarios import SCENARIOS
from croftchute.commands import StartAttempt
from croftchute.errors import Ran
from croftchute.systems.cancels import CancelTracker
from croftchute.systems.entry import RequestEntry
from croftchute.systems.owner import ShardOwner
from croftchute.tables.rows import changed


def kinds(faults):
    spec = RunSpec(
        scenario="oberbayern", load=0.6, faults=faults, router="croftchute", seed=3, duration_s=25.0
    )
    return Experiment(scenario=SCENARIOS["oberbayern"], spec=spec).row().violation_kinds


def test_cancels_that_are_never_sent_leave_memory_held(monkeypatch):
    monkeypatch.setattr(CancelTracker, "tick", lambda self, now: [])
    monkeypatch.setattr(fleet_router, "CANCEL_LATENCY_S", 999.0)
    monkeypatch.setattr("croftchute.bench.experiment.DRAIN_S", 0.3)
    assert "memory-for-nobody" in kinds("cancels")


def test_an_answer_given_twice_is_seen(monkeypatch):
    finish = Experiment._finish

    def twice(self, ticket):
        ticket.answers += ticket.answers
        finish(self, ticket)

    monkeypatch.setattr(Experiment, "_finish", twice)
    assert "answered-twice" in kinds("quiet")


def test_a_resume_from_the_wrong_token_is_seen(monkeypatch):
    granted = RequestEntry.reservation_granted

    def from_start(self, sender, body, now):
        return [
            changed(c, plan=changed(c.plan, resume_from=0)) if isinstance(c, StartAttempt) else c
            for c in granted(self, sender, body, now)
        ]

    monkeypatch.setattr(RequestEntry, "reservation_granted", from_start)
    assert "not-whole" in kinds("engine-death")


def test_a_false_not_run_is_seen(monkeypatch):
    refuse = RequestEntry._refuse
    monkeypatch.setattr(RequestEntry, "_may_retry", lambda self, row, end, now: False)
    monkeypatch.setattr(
        RequestEntry,
        "_refuse",
        lambda self, name, code, ran, wait: refuse(self, name, code, Ran.NOT_RUN, wait),
    )
    assert "false-not-run" in kinds("engine-death")


def test_work_sent_to_a_leaving_engine_is_seen(monkeypatch):
    shards = ShardOwner.set_shards

    def deaf(self, topology, wanted, now):
        commands = shards(self, topology, wanted, now)
        for name, load in self.ledger.loads_by_engine.items():
            self.ledger.loads_by_engine[name] = changed(load, leaving=False)
        return commands

    monkeypatch.setattr(ShardOwner, "set_shards", deaf)
    report = "croftchute.systems.ledger.Ledger.apply_report"
    monkeypatch.setattr(report, lambda self, engine, report: None)
    assert "work-on-leaving" in kinds("drain")


@pytest.mark.parametrize("faults", ["cancels", "engine-death", "drain", "box-death"])
def test_the_unbroken_router_breaks_nothing(faults):
    assert kinds(faults) == ""
