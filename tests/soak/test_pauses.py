"""Answers that end before their deadline, though only pauses struck their workers, are found."""

from types import SimpleNamespace

import pytest

from croftchute.soak.checks import Checker
from croftchute.soak.disturbances import Disturbances
from croftchute.soak.link_cuts import links_of
from croftchute.soak.pauses import PassingRoute, Pause, PausedWorkers
from croftchute.soak.world import ENGINES
from croftchute.standins.platform_caller import RequestKind, Try
from croftchute.standins.worker_records import Run

BOX = "box-1"
WORKER = "engines-4"
SENT_AT = 10.0
DEADLINE_S = 6.0
FOUND = ["a silent worker ends no answer"]
CUT = {"is_whole": False, "status": 200, "failure": "IncompleteReadError"}


def attempt(took_s, **changes):
    fields = {
        "request_id": "r1",
        "kind": RequestKind.STREAM,
        "path": "/stream/1",
        "body": b"b",
        "box": BOX,
        "sent_at": SENT_AT,
        "is_sent": True,
        "ended_at": SENT_AT + took_s,
        "deadline_s": DEADLINE_S,
        "headers": {"x-croftchute-server-stamp": "s"},
    }
    return Try(**(fields | changes))


def paused(*strikes):
    """Notes of a worker that stood still while the request was under way, and of other strikes."""
    known = Disturbances()
    known.note(WORKER, SENT_AT + 0.5, SENT_AT + 1.6, is_planned=True)
    for name, start, end in strikes:
        known.note(name, start, end)
    return known


def found(one, *, disturbances=None, has_run=True, **changes):
    """The promises that a try has shown as broken."""
    run = Run(
        request_id="r1",
        path=one.path,
        body=one.body,
        started_at=SENT_AT,
        ended_at=SENT_AT + 2.0,
        peer_port=4001,
    )
    stand_in = SimpleNamespace(
        id=WORKER,
        runs=[run] if has_run else [],
        holds=set(),
        handles=set(),
        received=[],
        arrivals=[],
        prompts_read=[],
    )
    listed = SimpleNamespace(
        worker=stand_in,
        leaving_at=None,
        link=SimpleNamespace(silenced_ports=set()),
        service=ENGINES,
    )
    world = SimpleNamespace(all_workers=[listed], accepted_at_by_version={1: 0.0})
    traffic = SimpleNamespace(tries_by_id={"r1": one}, lives_by_id={"r1": (1, 1)}, keys_by_id={})
    disturbances = disturbances or paused()
    checker = Checker(
        world=world,
        traffic=traffic,
        boxes=[],
        disturbances=disturbances,
        paused=PausedWorkers(world=world, boxes=[], traffic=traffic, disturbances=disturbances),
        **changes,
    )
    return [violation.promise for violation in checker.violations()]


@pytest.mark.parametrize("judge_times", [True, False])
def test_an_answer_cut_for_a_silent_worker_is_found_also_where_times_are_not_judged(judge_times):
    assert found(attempt(1.5, **CUT), judge_times=judge_times) == FOUND


def test_an_answer_cut_for_a_silent_worker_is_found_on_a_machine_that_did_not_keep_pace():
    assert found(attempt(1.5, **CUT), lag_s=1.0) == FOUND


@pytest.mark.parametrize("status", [502, 504])
def test_a_failure_before_the_deadline_is_found(status):
    failed = attempt(1.5, kind=RequestKind.REPEATABLE, is_whole=True, status=status)
    assert found(failed, judge_times=False) == FOUND


def test_an_answer_that_ends_at_its_deadline_is_allowed():
    assert found(attempt(DEADLINE_S, **CUT), judge_times=False) == []
    assert found(attempt(DEADLINE_S - 1.0, **CUT), judge_times=False) == FOUND


def test_the_end_of_a_request_may_come_earlier_by_what_the_machine_lagged():
    assert found(attempt(DEADLINE_S - 1.0, **CUT), lag_s=0.5) == []
    assert found(attempt(DEADLINE_S - 2.0, **CUT), lag_s=0.5) == FOUND


def test_a_caller_that_left_ends_its_own_request():
    assert found(attempt(1.5, left_at=SENT_AT + 1.5, **CUT), judge_times=False) == []


def test_a_request_that_no_worker_ran_may_be_refused():
    failed = attempt(1.5, kind=RequestKind.REPEATABLE, is_whole=True, status=502)
    assert found(failed, has_run=False, judge_times=False) == []


@pytest.mark.parametrize("name", [WORKER, BOX, links_of(BOX)])
def test_an_answer_whose_worker_box_or_links_were_struck_is_not_judged(name):
    struck = paused((name, SENT_AT + 1.0, 1e9))
    assert found(attempt(1.5, **CUT), disturbances=struck, judge_times=False) == []
    long_before = paused((name, SENT_AT - 8.0, SENT_AT - 7.0))
    assert found(attempt(1.5, **CUT), disturbances=long_before, judge_times=False) == FOUND


def test_what_strikes_another_worker_excuses_nothing():
    elsewhere = paused(("engines-5", SENT_AT, 1e9), ("box-2", SENT_AT, 1e9))
    assert found(attempt(1.5, **CUT), disturbances=elsewhere, judge_times=False) == FOUND


def test_a_stop_of_its_box_is_left_to_the_check_of_stops():
    stopped = paused()
    stopped.note(BOX, SENT_AT + 1.0, SENT_AT + 11.0, is_planned=True)
    assert found(attempt(1.5, **CUT), disturbances=stopped, judge_times=False) == []


def outlasted(*pauses, took_s=DEADLINE_S, path="/stream/1"):
    """Whether a stop excuses a try that ended after a time, given pauses of its worker."""
    one = attempt(took_s, path=path, **CUT)
    known = Disturbances()
    known.note(BOX, SENT_AT + 1.0, SENT_AT + 11.0, is_planned=True)
    workers = PausedWorkers(world=None, boxes=[], traffic=None, disturbances=known)
    for start, end in pauses:
        workers.pauses.append(Pause(worker=WORKER, start=SENT_AT + start, end=SENT_AT + end))
    listed = SimpleNamespace(worker=SimpleNamespace(id=WORKER))
    checker = Checker(world=None, traffic=None, boxes=[], disturbances=known, paused=workers)
    return checker._was_outlasted(one, [(listed, None)])


def test_a_try_at_its_deadline_is_excused_from_a_stop_by_pauses_that_took_it_there():
    assert outlasted((0.5, 2.0), (2.2, 3.8), (4.0, 5.5))
    assert outlasted((0.5, 2.1), path="/stream/slow/1")


def test_a_short_pause_excuses_no_try_from_a_stop():
    assert not outlasted((0.0, 0.01))
    assert not outlasted((0.5, 2.0))
    assert not outlasted((0.5, 2.0), (2.2, 3.8), (4.0, 5.5), took_s=4.0)


@pytest.mark.parametrize(("sent_after_s", "promises"), [(1.0, []), (3.0, ["routes in force"])])
def test_a_route_that_is_in_force_is_known(sent_after_s, promises):
    one = attempt(0.1, path="/passing/1/resumable/9", status=404, is_whole=True)
    known = Disturbances()
    workers = PausedWorkers(
        world=None,
        boxes=[],
        traffic=SimpleNamespace(tries_by_id={"r1": one}),
        disturbances=known,
    )
    workers.routes_by_number[1] = PassingRoute(added_at=SENT_AT - sent_after_s)
    found_now = workers.denials(in_touch=lambda box, at: True, slack_s=0.4)
    assert [violation.promise[:15] for violation in found_now] == promises
    workers.routes_by_number[1].removed_at = SENT_AT
    assert not list(workers.denials(in_touch=lambda box, at: True, slack_s=0.4))


@pytest.mark.parametrize(
    "run_after_s, ended_after_s, is_excused",
    [(0.6, 1.0, True), (0.3, 1.0, False), (0.6, 0.8, False)],
)
def test_a_request_that_was_read_after_its_time_was_shortened_may_end_then(
    run_after_s, ended_after_s, is_excused
):
    """A box past its rate reads connections late; the route's time was shortened after 0.4 s."""
    one = attempt(ended_after_s, path="/passing/1/repeatable/9", status=504, is_whole=True)
    workers = PausedWorkers(
        world=None,
        boxes=[],
        traffic=SimpleNamespace(tries_by_id={"r1": one}),
        disturbances=paused(),
    )
    workers.routes_by_number[1] = PassingRoute(added_at=0.0, shortened_at=SENT_AT + 0.4)
    run = SimpleNamespace(started_at=SENT_AT + run_after_s)
    listed = SimpleNamespace(worker=SimpleNamespace(id=WORKER))
    found = list(workers.violations({"r1": [(listed, run)]}, slack_s=0.0))
    assert bool(found) is not is_excused
