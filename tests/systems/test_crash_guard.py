"""Requests that crash engines, at the entry of a box and between boxes."""

from test_box import make_systems
from test_entry import attempt_end, make_entry, request, sent, start_attempt

from croftchute.commands import RefuseRequest, SendPeer
from croftchute.errors import Code, Ran
from croftchute.peers.messages import CrashNews, Reserve
from croftchute.systems.crash_guard import CRASH_DEDUP_S, CrashGuard
from croftchute.tables.crashes import request_digest

DIGEST = request_digest(caller="c", method="POST", host="", target="/v1/completions", body=b"bad")


def crash_engines(entry, *engines, digest=DIGEST, at=100.0):
    """Crash one engine under each of several attempts of one request."""
    for number, engine in enumerate(engines):
        asked = request(f"r{number}", digest=digest)
        entry.crashes.note(asked, attempt_end(failed_engine=engine, engine_has_ended=True), at)


def refusals(commands):
    return [command for command in commands if isinstance(command, RefuseRequest)]


def test_request_is_refused_on_arrival_after_three_crashes():
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


def test_third_crash_ends_the_retries_of_a_running_request():
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


def test_broken_off_attempts_without_a_crash_are_not_counted():
    entry = make_entry()
    for number in range(5):
        asked = request(f"r{number}", digest=DIGEST)
        entry.crashes.note(asked, attempt_end(failed_engine=f"e{number}"), 100.0)
    assert not entry.crashes.records.by_digest


def test_later_crash_of_an_engine_counts_as_another_instance():
    guard = CrashGuard()
    asked = request("r", digest=DIGEST)
    for number in range(3):
        at = 100.0 + 2.0 * CRASH_DEDUP_S * number
        guard.note(asked, attempt_end(failed_engine="e1", engine_has_ended=True), at)
    assert guard.refusal_left_s(asked, at) == 600.0


def test_success_clears_earlier_crashes():
    entry = make_entry()
    crash_engines(entry, "e1", "e2")
    entry.crashes.note(request("r", digest=DIGEST), attempt_end(ok=True), 101.0)
    crash_engines(entry, "e3", at=102.0)
    assert entry.crashes.refusal_left_s(request("r", digest=DIGEST), 102.0) == 0.0


def test_notices_are_sent_at_once_and_forwarded_by_boxes_that_refuse():
    here, there, beyond = CrashGuard(), CrashGuard(), CrashGuard()
    asked = request("r", digest=DIGEST)
    for number in range(3):
        here.note(asked, attempt_end(failed_engine=f"e{number}", engine_has_ended=True), 100.0)
    for message in here.take_outgoing(100.0):
        there.apply_notices(message, 100.0)
    for message in there.take_outgoing(100.1):
        beyond.apply_notices(message, 100.1)
    assert there.refusal_left_s(asked, 100.1) > 0.0 and beyond.refusal_left_s(asked, 100.1) > 0.0
    assert beyond.take_outgoing(100.2) and not beyond.take_outgoing(100.3)


def test_box_that_missed_the_notice_gets_it_with_heartbeats():
    here, late = CrashGuard(), CrashGuard()
    asked = request("r", digest=DIGEST)
    for number in range(3):
        here.note(asked, attempt_end(failed_engine=f"e{number}", engine_has_ended=True), 100.0)
    here.take_outgoing(100.0)
    for message in here.heartbeat_messages(105.0):
        late.apply_notices(message, 105.0)
    assert late.refusal_left_s(asked, 105.0) > 0.0


def test_crash_messages_go_to_peers_and_are_applied_there():
    systems = make_systems(peers=("b1", "b2"))
    crash_engines(systems.entry, "e1", "e2", "e3")
    commands = systems._send_crash_news(100.0)
    sent_messages = [
        c for c in commands if isinstance(c, SendPeer) and isinstance(c.body, CrashNews)
    ]
    assert sent_messages and all(len(command.body.notices) <= 64 for command in sent_messages)
    other = make_systems("b1" if systems.own.id != "b1" else "b2", peers=(systems.own.id,))
    other.receive(systems.own.id, sent_messages[0].body, 100.1)
    assert other.entry.crashes.refusal_left_s(request("r", digest=DIGEST), 100.1) > 0.0
