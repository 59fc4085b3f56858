"""Each promise that the soak checks is found broken where it is."""

from types import SimpleNamespace

import pytest

from croftchute.soak.checks import Checker, check_wave
from croftchute.soak.crowds import CONTACT_S, MIN_JUDGED, Crowd, Crowds
from croftchute.soak.disturbances import STORE, Disturbances, Pace
from croftchute.soak.software import streams_lost, versions_mixed
from croftchute.soak.world import EVENTS
from croftchute.standins.platform_caller import RequestKind, Try
from croftchute.standins.worker_records import Arrival, Run

STAMPED = {"x-croftchute-server-stamp": "s"}


def attempt(kind=RequestKind.ONCE, **changes):
    fields = {
        "request_id": "r1",
        "kind": kind,
        "path": "/p",
        "body": b"b",
        "box": "box-1",
        "sent_at": 10.0,
        "is_sent": True,
        "ended_at": 10.1,
        "status": 200,
        "is_whole": True,
        "headers": dict(STAMPED),
        "answer": b"answer of w to r1",
    }
    return Try(**(fields | changes))


def run(
    started_at=10.0,
    ended_at=10.1,
    request_id="r1",
    path="/p",
    body=b"b",
    peer_port=4001,
    ends_empty=False,
):
    return Run(
        request_id=request_id,
        path=path,
        body=body,
        started_at=started_at,
        ended_at=ended_at,
        peer_port=peer_port,
        ends_empty=ends_empty,
    )


def worker(name, *runs, leaving_at=None, holds=(), silenced_ports=(), arrivals=(), service="desk"):
    stand_in = SimpleNamespace(
        id=name,
        runs=list(runs),
        holds=set(holds),
        handles=set(),
        received=[],
        arrivals=list(arrivals),
        prompts_read=[],
    )
    link = SimpleNamespace(silenced_ports=set(silenced_ports))
    return SimpleNamespace(worker=stand_in, leaving_at=leaving_at, link=link, service=service)


def checker(tries, workers=(), **changes):
    fields = {
        "world": SimpleNamespace(
            all_workers=list(workers), accepted_at_by_version={1: 0.0, 2: 5.0, 3: 8.9}
        ),
        "traffic": SimpleNamespace(
            tries_by_id={one.request_id: one for one in tries},
            lives_by_id={one.request_id: (1, 1) for one in tries},
            keys_by_id={},
        ),
        "boxes": [],
        "disturbances": Disturbances(),
    }
    return Checker(**(fields | changes))


def promises(*args, **changes):
    return {violation.promise for violation in checker(*args, **changes).violations()}


def events(numbers, request_id="r1"):
    return b"".join(f"id: {n}\ndata: token-{n} of {request_id}\n\n".encode() for n in numbers)


def test_a_sound_run_breaks_nothing():
    assert promises([attempt()], [worker("w", run())]) == set()


@pytest.mark.parametrize(
    "changes",
    [
        {"headers": {}},
        {"answer": b"answer of w to r2"},
        {"headers": STAMPED | {"x-croftchute-request-id": "r2"}},
        {"is_malformed": True, "failure": "x"},
        {"kind": RequestKind.STREAM, "answer": events(range(1, EVENTS))},
        {"kind": RequestKind.STREAM, "answer": events([1, 3]), "is_whole": False},
        {"kind": RequestKind.STREAM, "answer": events([1, 1]), "is_whole": False},
        {"kind": RequestKind.STREAM, "answer": events([1], "r2"), "is_whole": False},
        {"kind": RequestKind.STREAM, "answer": events(range(1, EVENTS + 1)) + b"x"},
    ],
)
def test_an_answer_that_is_not_the_whole_own_one_is_found(changes):
    assert promises([attempt(**changes)]) == {"whole answer to its own request"}


SHORT_STREAM = {"kind": RequestKind.RESUMABLE, "answer": events([1, 2])}


@pytest.mark.parametrize("changes", [{"answer": b""}, SHORT_STREAM])
def test_a_body_that_its_worker_completed_without_content_is_whole(changes):
    assert promises([attempt(**changes)], [worker("w", run(ends_empty=True))]) == set()
    assert promises([attempt(**changes)], [worker("w", run())]) != set()


@pytest.mark.parametrize(
    "changes",
    [
        {"answer": b"answer"},
        {"kind": RequestKind.RESUMABLE, "answer": events([1, 3])},
        {"kind": RequestKind.RESUMABLE, "answer": events([1]) + b"x"},
        {"headers": {}, "answer": b""},
    ],
)
def test_a_worker_that_completed_a_body_excuses_nothing_else(changes):
    found = promises([attempt(**changes)], [worker("w", run(ends_empty=True))])
    assert found == {"whole answer to its own request"}


def test_a_short_answer_of_a_later_run_is_not_excused_by_an_earlier_one():
    runs = [worker("v", run(ends_empty=True)), worker("w", run(started_at=10.5))]
    assert "whole answer to its own request" in promises([attempt(**SHORT_STREAM)], runs)


def test_a_second_run_is_found():
    assert promises([attempt()], [worker("v", run()), worker("w", run())]) == {"at most once"}
    again = attempt(kind=RequestKind.REPEATABLE)
    assert promises([again], [worker("v", run()), worker("w", run())]) == set()


def test_more_workers_than_the_route_allows_are_found():
    again = attempt(kind=RequestKind.REPEATABLE)
    workers = [worker(name, run()) for name in "uvw"]
    assert promises([again], workers) == {"attempts of the route"}


def test_a_false_promise_that_nothing_ran_is_found():
    refused = attempt(status=503, headers={"retry-after": "1"})
    assert promises([refused], [worker("w", run())]) == {"not run is true"}
    assert promises([refused]) == set()


def test_a_refusal_that_does_not_say_when_to_come_back_is_found():
    assert promises([attempt(status=503, headers={})]) == {"refusals say when to come back"}


def test_a_request_that_is_denied_is_found():
    assert promises([attempt(status=404)]) == {"proper requests are not denied"}


@pytest.mark.parametrize("changed", [{"request_id": "r9"}, {"path": "/q"}, {"body": b"c"}])
def test_what_nobody_asked_for_is_found(changed):
    assert promises([attempt()], [worker("w", run(**changed))]) == {"nothing unasked"}


def test_new_work_on_a_leaving_worker_is_found():
    late = [worker("w", run(started_at=10.0), leaving_at=7.0)]
    assert promises([attempt()], late) == {"no new work on leaving workers"}
    assert promises([attempt()], [worker("w", run(started_at=10.0), leaving_at=8.5)]) == set()
    cut_off = Disturbances()
    cut_off.note("box-1", 6.0, 8.0)
    assert promises([attempt()], late, disturbances=cut_off) == set()


def test_times_are_not_judged_on_a_machine_that_did_not_keep_pace():
    late = [worker("w", run(started_at=10.0), leaving_at=7.0)]
    assert promises([attempt()], late, lag_s=1.0) == set()
    assert promises([attempt()], late, judge_times=False) == set()


def test_work_for_a_caller_who_left_is_found():
    left = attempt(left_at=10.2, is_whole=False, status=0)
    assert promises([left], [worker("w", run(ended_at=12.0))]) == {
        "memory of callers who left is freed"
    }
    assert promises([left], [worker("w", run(ended_at=10.5))]) == set()
    troubled = Disturbances()
    troubled.note("w", 10.0, 11.0)
    at_work = [worker("w", run(ended_at=12.0))]
    assert promises([left], at_work, disturbances=troubled) == set()


def test_memory_that_stays_held_is_found():
    assert promises([attempt()], [worker("w", run(ended_at=None))]) == {"memory is freed"}
    assert promises([], [worker("w", holds=["h"])]) == {"memory is freed"}
    others = [worker("w", run(ended_at=None, peer_port=4001), silenced_ports=(4002,))]
    assert promises([attempt()], others) == {"memory is freed"}


def test_a_run_on_a_silenced_connection_learns_of_no_close():
    hung = [worker("w", run(ended_at=None, peer_port=4001), silenced_ports=(4001,))]
    assert promises([attempt()], hung) == set()
    held = [worker("w", run(ended_at=None, peer_port=4001), holds=["h"], silenced_ports=(4001,))]
    assert promises([attempt()], held) == {"memory is freed"}
    assert promises([], [worker("w", holds=["h"], leaving_at=1.0)]) == set()


def test_a_configuration_that_is_late_is_found():
    refused = attempt(path="/added/2/x", status=404)
    assert promises([refused]) == {"configuration in force in time"}
    assert promises([attempt(path="/added/3/x", status=404)]) == set()
    away = Disturbances()
    away.note(STORE, 7.5, 8.0)
    assert promises([refused], disturbances=away) == set()


def test_a_configuration_that_reverts_is_found():
    served = attempt(request_id="r1", path="/added/3/x", ended_at=9.0, sent_at=8.95)
    refused = attempt(request_id="r2", path="/added/3/x", status=404, sent_at=9.1)
    found = promises([served, refused], judge_times=False)
    assert found == {"configuration never reverts"}


def test_a_request_cut_off_by_planned_work_is_found():
    cut = attempt(is_whole=False, status=0, failure="ConnectionResetError")
    workers = [worker("w", run())]
    assert promises([cut], workers, only_planned=True) == {"a planned stop cuts off nothing"}
    assert promises([cut], workers) == set()


def test_a_box_that_ends_by_itself_is_found():
    box = SimpleNamespace(name="box-1", most_retry_slack=0.0, unexpected_ends=[1])
    assert promises([], boxes=[box]) == {"boxes run on"}


def test_a_fleet_that_does_not_serve_again_is_found():
    good, bad = attempt(), attempt(status=503)
    assert check_wave([good] * 10) == []
    assert [violation.promise for violation in check_wave([good] * 8 + [bad] * 2)] == [
        "served again after faults"
    ]


def paced(bytes_a_second, start=5.0):
    slow = Disturbances()
    slow.paces.append(Pace(box="box-1", start=start, end=30.0, bytes_a_second=bytes_a_second))
    return slow


def sized_world(*, accepted_at_by_version):
    return SimpleNamespace(
        all_workers=[],
        accepted_at_by_version=accepted_at_by_version,
        size_by_version=dict.fromkeys(accepted_at_by_version, 1000),
    )


def test_a_configuration_that_a_slow_link_would_have_brought_in_time_is_found_late():
    world = sized_world(accepted_at_by_version={1: 0.0, 2: 5.0})
    refused = attempt(path="/added/2/x", status=404, sent_at=14.0)
    late = {"configuration in force in time"}
    assert promises([refused], world=world, disturbances=paced(400.0)) == late
    assert promises([refused], world=world, disturbances=paced(300.0)) == set()


def test_versions_before_it_on_a_slow_link_are_counted_in():
    world = sized_world(accepted_at_by_version={1: 0.0, 2: 5.0, 3: 5.5, 4: 6.0})
    refused = attempt(path="/added/4/x", status=404, sent_at=14.0)
    assert promises([refused], world=world, disturbances=paced(400.0)) == set()
    refused = attempt(path="/added/4/x", status=404, sent_at=21.0)
    late = {"configuration in force in time"}
    assert promises([refused], world=world, disturbances=paced(400.0)) == late


def test_the_slow_link_of_another_box_excuses_nothing():
    world = sized_world(accepted_at_by_version={1: 0.0, 2: 5.0})
    refused = attempt(path="/added/2/x", status=404, box="box-2", sent_at=10.0)
    late = {"configuration in force in time"}
    assert promises([refused], world=world, disturbances=paced(100.0)) == late


def test_a_box_that_was_disturbed_is_given_the_whole_time_of_its_link_again():
    world = sized_world(accepted_at_by_version={1: 0.0, 2: 5.0})
    refused = attempt(path="/added/2/x", status=404, sent_at=14.0)
    restarted = paced(400.0)
    restarted.note("box-1", 7.0, 8.0)
    assert promises([refused], world=world, disturbances=restarted) == set()


def stopped(at, *others):
    known = Disturbances()
    known.note("box-1", at, at + 10.0, is_planned=True)
    for name, start, end in others:
        known.note(name, start, end)
    return known


def cut(sent_at, ended_at):
    return attempt(is_whole=False, status=0, failure="reset", sent_at=sent_at, ended_at=ended_at)


def test_a_request_taken_late_in_a_stop_and_cut_is_found_amid_trouble():
    late, workers = [cut(14.0, 17.5)], [worker("w", run(14.0, 17.5))]
    found = {"a stop cuts off nothing"}
    assert promises(late, workers, disturbances=stopped(10.0)) == found
    elsewhere = stopped(10.0, ("box-2", 12.0, 15.0), (STORE, 12.0, 15.0))
    assert promises(late, workers, disturbances=elsewhere) == found


@pytest.mark.parametrize("name", ["box-1", "w"])
def test_a_cut_of_a_box_or_worker_that_was_not_only_stopped_is_not_judged(name):
    late, workers = [cut(14.0, 17.5)], [worker("w", run(14.0, 17.5))]
    assert promises(late, workers, disturbances=stopped(10.0, (name, 13.0, 15.0))) == set()


def test_a_request_taken_early_in_a_stop_may_be_cut_at_its_end_only():
    workers = [worker("w", run(12.0, 17.5))]
    assert promises([cut(12.0, 17.5)], workers, disturbances=stopped(10.0)) == set()
    found = {"a stop cuts off nothing"}
    assert promises([cut(12.0, 15.0)], workers, disturbances=stopped(10.0)) == found


def test_a_cut_of_a_request_that_reached_no_worker_is_not_judged():
    assert promises([cut(14.0, 17.5)], disturbances=stopped(10.0)) == set()


def held(software_by_event, **changes):
    """A resumable try that brought some events, each with the version that sent it."""
    answer = b"".join(
        f"id: {n}\ndata: token-{n} of {changes['request_id']} by {software}\n\n".encode()
        for n, software in software_by_event.items()
    )
    return attempt(RequestKind.RESUMABLE, answer=answer, is_whole=False, **changes)


def test_events_of_two_software_versions_are_told_within_a_try_and_over_tries():
    first = held({1: "v1", 2: "v1"}, request_id="r1")
    same = held({3: "v1"}, request_id="r2", resumes="r1", last_event=2)
    other = held({3: "v2"}, request_id="r3", resumes="r1", last_event=2)
    mixed = held({1: "v1", 2: "v2"}, request_id="r4")
    for tries, expected in (
        ([first, same], set()),
        ([first, other], {"streams keep their software version"}),
        ([mixed], {"streams keep their software version"}),
    ):
        traffic = SimpleNamespace(tries_by_id={one.request_id: one for one in tries})
        assert {violation.promise for violation in versions_mixed(traffic)} == expected


@pytest.mark.parametrize(("served", "is_lost"), [(5, True), (6, False)])
def test_streams_taken_up_that_go_on_less_than_half_as_often_are_told(served, is_lost):
    new = [held({1: "v1"}, request_id=f"n{n}") for n in range(13)]
    taken_up = [
        held({2: "v1"} if n < served else {}, request_id=f"t{n}", resumes="n0", last_event=1)
        for n in range(12)
    ]
    traffic = SimpleNamespace(tries_by_id={one.request_id: one for one in new + taken_up})
    workers = [
        SimpleNamespace(
            worker=SimpleNamespace(stage="decode", software="v1"), listed_at=0.0, leaving_at=None
        )
        for _ in range(2)
    ]
    assert bool(list(streams_lost(traffic, SimpleNamespace(all_workers=workers)))) is is_lost
    assert not list(streams_lost(traffic, SimpleNamespace(all_workers=workers[:1])))


def repeated(count, *, gap_s):
    """Twice as many arrivals as requests, at one worker."""
    return [
        Arrival(request_id=f"r{number}", at=10.0 + gap_s * number)
        for number in range(count)
        for _ in range(2)
    ]


@pytest.mark.parametrize("gap_s, is_broken", [(0.1, True), (1.0, False)])
def test_arrivals_past_the_first_are_bounded_in_each_window(gap_s, is_broken):
    tries = [attempt(request_id=f"r{n}", sent_at=10.0 + gap_s * n) for n in range(40)]
    boxes = [SimpleNamespace(most_retry_slack=20.0, unexpected_ends=[])]
    workers = [worker("w", arrivals=repeated(40, gap_s=gap_s))]
    found = promises(tries, workers, boxes=boxes, judge_times=False)
    assert ("the retry budget" in found) is is_broken


@pytest.mark.parametrize(
    "status, is_disturbed, is_broken",
    [(200, False, False), (503, False, True), (0, False, False), (503, True, False)],
)
def test_a_crowded_box_serves_what_it_reads(status, is_disturbed, is_broken):
    """A connection that was closed unread does not count."""
    at = 10.0 + CONTACT_S + 0.1
    tries = tuple(
        attempt(request_id=f"c{n}", sent_at=at, status=status, is_whole=status == 200)
        for n in range(MIN_JUDGED)
    )
    disturbances = Disturbances()
    if is_disturbed:
        disturbances.note("box-1", 9.0, 11.0)
    crowds = Crowds(
        boxes=[],
        traffic=SimpleNamespace(world=SimpleNamespace(all_workers=[])),
        disturbances=disturbances,
        crowds=[Crowd(box="box-1", begun_at=10.0, tries=tries)],
    )
    assert bool(list(crowds.violations())) is is_broken


@pytest.mark.parametrize(
    "crowd_served, others_served, is_broken",
    [(0.7, 0.9, False), (0.6, 0.9, True), (0.1, 0.1, False), (0.1, None, False)],
)
def test_a_crowded_box_is_held_against_the_others_while_workers_are_disturbed(
    crowd_served, others_served, is_broken
):
    """Guards against crowds that nobody judges since some worker is always disturbed."""
    at, count = 10.0 + CONTACT_S + 0.1, 2 * MIN_JUDGED

    def tries(box, served):
        return tuple(
            attempt(
                request_id=f"{box}-{n}",
                sent_at=at,
                box=box,
                kind=RequestKind.REPEATABLE,
                status=200 if n < served * count else 503,
                is_whole=n < served * count,
            )
            for n in range(count)
        )

    disturbances = Disturbances()
    disturbances.note("w", 11.0, 12.0)
    others = () if others_served is None else tries("box-2", others_served)
    crowds = Crowds(
        boxes=[SimpleNamespace(name="box-1"), SimpleNamespace(name="box-2")],
        traffic=SimpleNamespace(
            world=SimpleNamespace(all_workers=[SimpleNamespace(worker=SimpleNamespace(id="w"))]),
            tries_by_id={one.request_id: one for one in others},
        ),
        disturbances=disturbances,
        crowds=[Crowd(box="box-1", begun_at=10.0, tries=tries("box-1", crowd_served))],
    )
    assert bool(list(crowds.violations())) is is_broken
