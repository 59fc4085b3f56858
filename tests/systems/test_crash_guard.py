"""Requests that end engines, at the entry of a box and from box to box."""

from test_box import make_systems
from test_entry import attempt_end, make_entry, request, sent, start_attempt

from croftchute.commands import RefuseRequest, SendPeer
from croftchute.errors import Code, Ran
from croftchute.peers.messages import CrashNews, Reserve
from croftchute.systems.crash_guard import CRASH_DEDUP_S, CrashGuard
from croftchute.tables.crashes import request_digest

DIGEST = request_digest(caller="c", method="POST", host="", target="/v1/completions", body=b"bad")


def crash_engines(entry, *engines, digest=DIGEST, at=100.0):
    """End an engine under each of some tries of one request."""
    for number, engine in enumerate(engines):
        asked = request(f"r{number}", digest=digest)
        entry.crashes.note(asked, attempt_end(failed_engine=engine, engine_has_ended=True), at)


def refusals(commands):
    return [command for command in commands if isinstance(command, RefuseRequest)]


def test_a_request_is_refused_at_arrival_once_three_engines_have_ended_under_it():
    entry = make_entry()
    crash_engines(entry, "e1", "e2")
    assert sent(entry.request_received(request("r8", digest=DIGEST), 100.0), Reserve)
    crash_engines(entry, "e3")
    (refusal,) = refusals(entry.request_received(request("r9", digest=DIGEST), 100.0))
    assert (refusal.code, refusal.ran) == (Code.ENDS_WORKERS, Ran.NOT_RUN)
    assert refusal.retry_after_s == 600.0
    other = request_digest(
        caller="d", method="POST", host="", target="/v1/completions", body=b"bad"
    )
    assert sent(entry.request_received(request("r10", digest=other), 100.0), Reserve)


def test_the_third_engine_is_the_last_also_within_one_request():
    entry = make_entry()
    crash_engines(entry, "e1", "e2")
    start_attempt(entry)
    row = entry.open_by_id["r"]
    entry.open_by_id["r"] = type(row)(
        request=request("r", digest=DIGEST),
        state=row.state,
        attempt=row.attempt,
        candidates=row.candidates,
        asked_shard=row.asked_shard,
        plan=row.plan,
    )
    (refusal,) = refusals(entry.attempt_ended(attempt_end(engine_has_ended=True), 100.0))
    assert refusal.ran is Ran.RAN


def test_engines_that_break_off_and_live_are_held_against_no_request():
    entry = make_entry()
    for number in range(5):
        asked = request(f"r{number}", digest=DIGEST)
        entry.crashes.note(asked, attempt_end(failed_engine=f"e{number}"), 100.0)
    assert not entry.crashes.records.by_digest


def test_an_engine_that_ends_again_is_another_life_of_it():
    guard = CrashGuard()
    asked = request("r", digest=DIGEST)
    for number in range(3):
        at = 100.0 + 2.0 * CRASH_DEDUP_S * number
        guard.note(asked, attempt_end(failed_engine="e1", engine_has_ended=True), at)
    assert guard.refusal_left_s(asked, at) == 600.0


def test_a_good_end_clears_it():
    entry = make_entry()
    crash_engines(entry, "e1", "e2")
    entry.crashes.note(request("r", digest=DIGEST), attempt_end(ok=True), 101.0)
    crash_engines(entry, "e3", at=102.0)
    assert entry.crashes.refusal_left_s(request("r", digest=DIGEST), 102.0) == 0.0


def test_boxes_tell_one_another_at_once_and_tell_on_what_is_refused():
    here, there, beyond = CrashGuard(), CrashGuard(), CrashGuard()
    asked = request("r", digest=DIGEST)
    for number in range(3):
        here.note(asked, attempt_end(failed_engine=f"e{number}", engine_has_ended=True), 100.0)
    for news in here.take_outgoing(100.0):
        there.apply_notices(news, 100.0)
    for news in there.take_outgoing(100.1):
        beyond.apply_notices(news, 100.1)
    assert there.refusal_left_s(asked, 100.1) > 0.0 and beyond.refusal_left_s(asked, 100.1) > 0.0
    assert beyond.take_outgoing(100.2) and not beyond.take_outgoing(100.3)


def test_a_box_that_was_not_there_hears_of_it_with_the_heartbeats():
    here, late = CrashGuard(), CrashGuard()
    asked = request("r", digest=DIGEST)
    for number in range(3):
        here.note(asked, attempt_end(failed_engine=f"e{number}", engine_has_ended=True), 100.0)
    here.take_outgoing(100.0)
    for news in here.heartbeat_messages(105.0):
        late.apply_notices(news, 105.0)
    assert late.refusal_left_s(asked, 105.0) > 0.0


def test_news_goes_to_the_boxes_that_hear_this_one():
    systems = make_systems(peers=("b1", "b2"))
    crash_engines(systems.entry, "e1", "e2", "e3")
    commands = systems._send_crash_news(100.0)
    told = [c for c in commands if isinstance(c, SendPeer) and isinstance(c.body, CrashNews)]
    assert told and all(len(command.body.notices) <= 64 for command in told)
    other = make_systems("b1" if systems.own.id != "b1" else "b2", peers=(systems.own.id,))
    other.receive(systems.own.id, told[0].body, 100.1)
    assert other.entry.crashes.refusal_left_s(request("r", digest=DIGEST), 100.1) > 0.0
