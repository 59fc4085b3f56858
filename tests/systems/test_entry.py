import random
from dataclasses import replace

from croftchute.bench.scenarios import HALL_AT_TARGET, MODEL
from croftchute.commands import CancelAttempt, RefuseRequest, SendPeer, StartAttempt
from croftchute.errors import Code, Ran
from croftchute.peers.messages import Audit, Declined, Granted, Released, Reserve
from croftchute.systems.cancels import CancelTracker
from croftchute.systems.entry import ASK_INTERVAL_S, MAX_ATTEMPTS, RequestEntry
from croftchute.systems.shard_choice import ShardChooser
from croftchute.systems.sharding import build_topology
from croftchute.tables.requests import AttemptEnd, Request, Silence
from croftchute.tables.upstreams import engine_hash

TOPOLOGY = build_topology(HALL_AT_TARGET.document(shard_engines=8), revision=1, hall="hall-1")


def make_entry():
    rng = random.Random(1)
    chooser = ShardChooser(rng=rng, is_reachable=lambda shard: True)
    return RequestEntry(
        box="e",
        topology=TOPOLOGY,
        cancels=CancelTracker(),
        chooser=chooser,
        owner_of=lambda shard: f"owner-of-{shard}",
        rng=rng,
    )


def request(name="r", **changes):
    values = {"id": name, "caller": "c", "model": MODEL, "prompt_tokens": 50, "max_tokens": 9}
    values |= {"priority": 5, "arrived_at": 0.0, "deadline_at": 30.0}
    return Request(**(values | changes))


def sent(commands, kind):
    return [c for c in commands if isinstance(c, SendPeer) and isinstance(c.body, kind)]


def commands_of(commands, kind):
    return [c for c in commands if isinstance(c, kind)]


def grant(asked):
    engines = ("hall-1-prefill-0", "hall-1-decode-0")
    return Granted(
        request_id=asked.request_id,
        attempt=asked.attempt,
        shard=asked.shard,
        prefill_hash=engine_hash(engines[0]),
        decode_hash=engine_hash(engines[1]),
        expected_output=9.0,
    )


def start_attempt(entry, name="r"):
    (ask,) = sent(entry.request_received(request(name), 0.0), Reserve)
    return ask.body, entry.reservation_granted(ask.box, grant(ask.body), 0.01)


def attempt_end(**changes):
    values = {"request_id": "r", "attempt": 1, "ok": False, "output_tokens": 3, "sent": True}
    return AttemptEnd(**(values | {"failed_engine": "hall-1-decode-0"} | changes))


def test_a_silent_owner_is_asked_again_before_another_shard_is():
    entry = make_entry()
    (first,) = sent(entry.request_received(request(), 0.0), Reserve)
    (again,) = sent(entry.tick(ASK_INTERVAL_S * 1.1), Reserve)
    assert again.body.shard == first.body.shard
    commands = entry.tick(ASK_INTERVAL_S * 2.3)
    (released,) = sent(commands, Released)
    (other,) = sent(commands, Reserve)
    assert released.body.shard == first.body.shard != other.body.shard


def tick_until(entry, begin, end, step=0.05):
    """Return the commands of the ticks between two times, each with its time."""
    found = []
    for n in range(int((end - begin) / step)):
        found += [(begin + n * step, command) for command in entry.tick(begin + n * step)]
    return found


def test_a_begun_answer_waits_for_slow_owners_until_its_deadline():
    """Guards against ending a stream before owners on a busy machine reply, which took 0.4 s."""
    entry = make_entry()
    start_attempt(entry)
    commands = [(1.0, command) for command in entry.attempt_ended(attempt_end(), 1.0)]
    commands += tick_until(entry, 1.0, 29.9)
    assert not commands_of([c for _, c in commands], RefuseRequest)
    asks = [(at, c) for at, c in commands if sent([c], Reserve)]
    last_second = [at for at, _ in asks if at > 28.0]
    assert 1 <= len(last_second) <= 8
    assert len(asks) < 100
    late = asks[-1][1]
    assert commands_of(entry.reservation_granted(late.box, grant(late.body), 29.9), StartAttempt)


def decline(asked, code=Code.NO_CAPACITY):
    return Declined(
        request_id="r", attempt=asked.attempt, shard=asked.shard, code=code, retry_after_s=1.0
    )


def decline_until_refused(entry, code=Code.NO_CAPACITY):
    """Decline every reservation for a begun answer.

    Return the time at which the request is refused, and the reservations that were asked for.
    """
    start_attempt(entry)
    now = 1.0
    commands = entry.attempt_ended(attempt_end(), now)
    asks = []
    while now < 20.0:
        while commands:
            command = commands.pop(0)
            if commands_of([command], RefuseRequest):
                return now, asks
            if sent([command], Reserve):
                asks.append(command.body)
                commands += entry.reservation_declined(decline(command.body, code), now)
        now += 0.05
        commands = entry.tick(now)
    return None, asks


def test_a_begun_answer_waits_two_seconds_while_all_owners_decline():
    entry = make_entry()
    refused_at, asks = decline_until_refused(entry)
    assert 2.9 < refused_at < 3.6
    assert asks[0].avoid == ("hall-1-decode-0",)
    assert asks[-1].avoid == ()
    assert not entry.open_by_id


def test_a_begun_answer_is_given_up_at_once_after_a_final_decline():
    refused_at, _ = decline_until_refused(make_entry(), Code.POLICY_REFUSED)
    assert refused_at == 1.0


def test_a_begun_answer_is_given_up_at_its_deadline():
    entry = make_entry()
    start_attempt(entry)
    entry.attempt_ended(attempt_end(), 1.0)
    (refused,) = commands_of([c for _, c in tick_until(entry, 1.0, 31.0)], RefuseRequest)
    assert (refused.code, refused.ran) == (Code.DEADLINE_PASSED, Ran.RAN)
    assert not entry.open_by_id


def test_a_request_without_output_is_refused_soon_if_all_owners_are_silent():
    entry = make_entry()
    entry.request_received(request(), 0.0)
    found = tick_until(entry, 0.0, 3.0)
    (refused,) = commands_of([c for _, c in found], RefuseRequest)
    assert (refused.code, refused.ran) == (Code.OWNER_SILENT, Ran.NOT_RUN)


def test_a_late_grant_is_released():
    entry = make_entry()
    (first,) = sent(entry.request_received(request(), 0.0), Reserve)
    entry.tick(ASK_INTERVAL_S * 1.1)
    entry.tick(ASK_INTERVAL_S * 2.3)
    commands = entry.reservation_granted(first.box, grant(first.body), 0.2)
    assert sent(commands, Released)
    assert not commands_of(commands, StartAttempt)


def test_a_repeated_grant_starts_no_second_attempt():
    entry = make_entry()
    asked, commands = start_attempt(entry)
    assert len(commands_of(commands, StartAttempt)) == 1
    assert entry.reservation_granted("x", grant(asked), 0.02) == []


def test_a_request_that_all_shards_decline_is_refused_as_not_run():
    entry = make_entry()
    commands = entry.request_received(request(), 0.0)
    while asks := sent(commands, Reserve):
        asked = asks[0].body
        body = Declined(
            request_id="r", attempt=1, shard=asked.shard, code=Code.NO_CAPACITY, retry_after_s=2.0
        )
        commands = entry.reservation_declined(body, 0.01)
    (refused,) = commands_of(commands, RefuseRequest)
    assert (refused.code, refused.ran) == (Code.NO_CAPACITY, Ran.NOT_RUN)
    assert refused.retry_after_s == 2.0
    assert not entry.open_by_id


def test_a_failed_attempt_resumes_at_the_next_token_on_other_engines():
    entry = make_entry()
    start_attempt(entry)
    (ask,) = sent(entry.attempt_ended(attempt_end(), 1.0), Reserve)
    assert (ask.body.attempt, ask.body.resume_from) == (2, 3)
    assert ask.body.avoid == ("hall-1-decode-0",)


def test_the_end_of_an_earlier_attempt_is_ignored():
    entry = make_entry()
    start_attempt(entry)
    entry.attempt_ended(attempt_end(), 1.0)
    assert entry.attempt_ended(attempt_end(ok=True), 1.1) == []


def test_without_retry_budget_requests_are_refused_as_run():
    entry = make_entry()
    refusals = []
    for n in range(40):
        start_attempt(entry, f"r{n}")
        commands = entry.attempt_ended(attempt_end(request_id=f"r{n}"), 1.0)
        refusals += commands_of(commands, RefuseRequest)
    assert 0 < len(refusals) < 40
    assert {refusal.ran for refusal in refusals} == {Ran.RAN}


def test_both_engines_are_cancelled_when_the_caller_disconnects():
    entry = make_entry()
    start_attempt(entry)
    commands = entry.caller_left("r", 1.0)
    assert {c.engine_id for c in commands_of(commands, CancelAttempt)} == {
        "hall-1-prefill-0",
        "hall-1-decode-0",
    }
    assert sent(commands, Released)
    assert entry.caller_left("r", 1.1) == []


def test_a_cancellation_is_resent_until_it_is_confirmed():
    cancels = CancelTracker()
    assert cancels.start("d", "r-1", 0.0)
    assert not cancels.tick(0.1)
    assert cancels.tick(0.3)
    cancels.confirm("d", "r-1")
    assert not cancels.tick(9.0)


def test_a_request_is_refused_without_a_configuration():
    entry = make_entry()
    entry.topology = build_topology(HALL_AT_TARGET.document(shard_engines=8), revision=0, hall="x")
    (refused,) = commands_of(entry.request_received(request(model="nope"), 0.0), RefuseRequest)
    assert (refused.code, refused.ran) == (Code.NO_CONFIG, Ran.NOT_RUN)


def silence(**changes):
    values = {"request_id": "r", "delivered": 3, "engine_ids": ("hall-1-decode-0",)}
    return Silence(**(values | changes))


def grant_on(asked, prefill="hall-1-prefill-1", decode="hall-1-decode-1"):
    return replace(grant(asked), prefill_hash=engine_hash(prefill), decode_hash=engine_hash(decode))


def search(entry, now=2.0, **changes):
    """Report silence; return the reservation that is asked for."""
    (ask,) = sent(entry.attempts_silent(silence(**changes), now), Reserve)
    return ask


def begin_successor(entry, now=2.0):
    """Begin an attempt beside a silent one; return its plan."""
    ask = search(entry, now)
    (start,) = commands_of(
        entry.reservation_granted(ask.box, grant_on(ask.body), now), StartAttempt
    )
    return start.plan


def test_an_attempt_beside_a_silent_one_leaves_that_running():
    """Guards against giving a silent engine up before another one goes on."""
    entry = make_entry()
    first, _ = start_attempt(entry)
    ask = search(entry)
    assert (ask.body.attempt, ask.body.resume_from) == (2, 3)
    assert ask.body.avoid == ("hall-1-decode-0",)
    commands = entry.reservation_granted(ask.box, grant_on(ask.body), 2.1)
    (start,) = commands_of(commands, StartAttempt)
    assert (start.plan.attempt, start.plan.resume_from) == (2, 3)
    assert not commands_of(commands, CancelAttempt)
    for key, shard in (("r-1", first.shard), ("r-2", ask.body.shard)):
        (audited,) = entry.answer_audit("o", Audit(shard=shard, keys=(key,)))
        assert audited.body.open == (key,)
        announced = [c.body for c in entry.announce_attempts(shard, "new-owner", 2.2)]
        assert key in {f"{body.request_id}-{body.attempt}" for body in announced}


def test_declines_for_a_silent_request_leave_it_as_it_is():
    """Guards against refusing a request whose engine is silent and may go on."""
    for code in (Code.NO_CAPACITY, Code.POLICY_REFUSED):
        entry = make_entry()
        start_attempt(entry)
        commands = entry.attempts_silent(silence(), 2.0)
        while asks := sent(commands, Reserve):
            commands = entry.reservation_declined(decline(asks[0].body, code), 2.1)
            assert not commands_of(commands, RefuseRequest)
        assert not entry.successors_by_id
        assert entry.open_by_id["r"].plan is not None
        assert search(entry, 2.6).body.attempt == 3
        assert commands_of(entry.attempt_ended(attempt_end(ok=True), 3.0), RefuseRequest) == []
        assert not entry.open_by_id


def test_one_search_at_a_time_is_open_for_a_silent_request():
    entry = make_entry()
    start_attempt(entry)
    search(entry)
    assert entry.attempts_silent(silence(), 2.5) == []
    assert tick_until(entry, 2.5, 29.9)
    assert len(entry.successors_by_id["r"]) == 1


def test_a_search_ends_when_the_silent_engine_goes_on():
    entry = make_entry()
    start_attempt(entry)
    ask = search(entry)
    assert sent(entry.attempt_resumed("r"), Released)
    late = entry.reservation_granted(ask.box, grant_on(ask.body), 2.2)
    assert sent(late, Released)
    assert not commands_of(late, StartAttempt)
    assert search(entry, 4.0).body.attempt == 3


def test_no_successor_begins_on_a_silent_engine():
    """Guards against a second attempt on the engine that is silent, where it is the only one."""
    entry = make_entry()
    start_attempt(entry)
    ask = search(entry)
    commands = entry.reservation_granted(ask.box, grant(ask.body), 2.1)
    (released,) = sent(commands, Released)
    assert released.body.confirmed
    assert not commands_of(commands, StartAttempt)
    assert entry.open_by_id["r"].begun == 1


def test_no_successor_begins_without_retry_budget():
    entry = make_entry()
    start_attempt(entry)
    (budget,) = entry.retry_budget_by_pool.values()
    budget.saved_retries = 0.9
    assert not sent(entry.attempts_silent(silence(), 2.0), Reserve)
    budget.saved_retries = 1.0
    ask = search(entry, 2.5)
    budget.saved_retries = 0.9
    assert not commands_of(
        entry.reservation_granted(ask.box, grant_on(ask.body), 2.6), StartAttempt
    )
    assert entry.open_by_id["r"].plan is not None


def test_successors_count_as_attempts():
    entry = make_entry()
    start_attempt(entry)
    for n in range(1, MAX_ATTEMPTS):
        plan = begin_successor(entry, 2.0 + n)
        entry.attempt_ended(attempt_end(attempt=plan.attempt, output_tokens=0), 2.5 + n)
    assert not sent(entry.attempts_silent(silence(), 9.0), Reserve)
    commands = entry.attempt_ended(attempt_end(), 10.0)
    assert commands_of(commands, RefuseRequest)
    assert not entry.open_by_id


def test_the_end_of_a_successor_leaves_the_request_running():
    entry = make_entry()
    start_attempt(entry)
    plan = begin_successor(entry)
    commands = entry.attempt_ended(attempt_end(attempt=plan.attempt, output_tokens=0), 2.5)
    assert {c.key for c in commands_of(commands, CancelAttempt)} == {"r-2"}
    assert not commands_of(commands, RefuseRequest)
    assert not sent(commands, Reserve)
    assert entry.open_by_id["r"].attempt == 1
    assert not entry.successors_by_id


def test_a_request_goes_on_at_the_successor_of_an_ended_attempt():
    entry = make_entry()
    start_attempt(entry)
    plan = begin_successor(entry)
    commands = entry.attempt_ended(attempt_end(), 2.5)
    assert {c.key for c in commands_of(commands, CancelAttempt)} == {"r-1"}
    assert not sent(commands, Reserve)
    row = entry.open_by_id["r"]
    assert (row.plan, row.delivered) == (plan, 3)
    (ask,) = sent(entry.attempt_ended(attempt_end(attempt=2, output_tokens=2), 3.0), Reserve)
    assert (ask.body.attempt, ask.body.resume_from) == (3, 5)


def test_a_retry_resumes_after_all_events_where_a_successor_was_outrun():
    """Guards against doubled events: an engine goes on and fails while another begins beside it."""
    entry = make_entry()
    start_attempt(entry)
    plan = begin_successor(entry)
    entry.attempt_ended(attempt_end(output_tokens=7), 2.5)
    end = attempt_end(attempt=plan.attempt, output_tokens=0, failed_engine="")
    (ask,) = sent(entry.attempt_ended(end, 2.6), Reserve)
    assert (ask.body.attempt, ask.body.resume_from) == (3, 7)


def test_an_attempt_that_fails_while_a_search_is_open_is_retried():
    entry = make_entry()
    start_attempt(entry)
    search(entry)
    commands = entry.attempt_ended(attempt_end(), 2.5)
    (released,) = sent(commands, Released)[1:]
    (ask,) = sent(commands, Reserve)
    assert (released.body.attempt, ask.body.attempt) == (2, 3)
    assert not entry.successors_by_id


def test_all_attempts_are_ended_with_their_request():
    for end in (
        lambda entry: entry.caller_left("r", 3.0),
        lambda entry: entry.attempt_ended(attempt_end(ok=True), 3.0),
        lambda entry: entry.attempts_silent(silence(), 30.0),
    ):
        entry = make_entry()
        start_attempt(entry)
        begin_successor(entry)
        search(entry, 2.5, engine_ids=("hall-1-decode-0", "hall-1-decode-1"))
        commands = end(entry)
        assert "r-2" in {c.key for c in commands_of(commands, CancelAttempt)}
        assert {c.body.attempt for c in sent(commands, Released)} == {1, 2, 3}
        assert not entry.open_by_id
        assert not entry.successors_by_id
        assert not tick_until(entry, 30.0, 33.0)


def test_a_silent_request_is_refused_at_its_deadline():
    entry = make_entry()
    start_attempt(entry)
    (refused,) = commands_of(entry.attempts_silent(silence(), 30.0), RefuseRequest)
    assert (refused.code, refused.ran) == (Code.UPSTREAM_SLOW, Ran.RAN)
