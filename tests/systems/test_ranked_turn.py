"""One request in the order by rank: what is counted and given back, and how it is refused."""

import asyncio

import pytest
from room_run import FOUND, FULL, NO_WORKER, Bench, ScriptedRoom, organisation, table

from croftchute.errors import Code
from croftchute.forwarding.decision_log import Decision
from croftchute.forwarding.workers.queue_reporting import queue_log_fields
from croftchute.systems.room_forecast import PRIOR_WAIT_S, RoomCounts
from croftchute.systems.room_order import (
    LAST_CHANCE_S,
    MOST_ROOM_RANKS,
    SHORTEST_PAUSE_S,
    OrderWay,
    RankedRoom,
    RoomView,
)
from croftchute.tables.organisations import LimitUnit
from croftchute.tables.peers import OrganisationUseNotice

TOKENS = 5_600
SHORT = 100
"""Tokens of a prompt whose reading takes next to none of the target."""


def urgent_waits(bench, *, rank=0, waited_s=5.0):
    """A more urgent request waits at this box, and has for long."""
    room = bench.state.ranked_room("llm")
    room.begin(rank)
    room.note_waited(rank, waited_s, bench.now)


def urgent_is_served(bench):
    room = bench.state.ranked_room("llm")
    if room.waiting().get(0):
        room.end(0)
        room.note_granted(0, bench.now)


def retry_after(answer):
    return float(answer.split(b"retry-after: ")[1].split(b"\r\n")[0])


def use_of(bench, name):
    entries = bench.state.organisation_use("llm").notices(bench.now)
    return next(entry for entry in entries if entry.name == name)


# What is counted.


def test_a_request_that_asks_for_room_again_counts_once_for_its_organisation(monkeypatch):
    """The fault: after each attempt that a worker rejected the request's tokens were counted anew,
    asked and granted, and its organisation seemed to use a multiple of its share."""
    bench = Bench(monkeypatch, organisations=[organisation("o")])
    run = bench.request(0, organisation="o")
    room = ScriptedRoom(run=run)
    for _ in range(3):
        bench.reserve(run, [FOUND], room=room)
    use = use_of(bench, "o")
    assert (use.asked_tokens, use.granted_tokens) == (TOKENS, TOKENS)


def test_a_request_that_waited_is_not_granted_more_than_it_asked(monkeypatch):
    """The fault: what was asked had faded by the time it was granted, what was granted had not. An
    organisation that asked for little was over its share, and room that was short seemed not to be.
    """
    bench = Bench(monkeypatch, organisations=[organisation("o")])
    bench.state.ranked_room("llm").note_granted(0, bench.now)
    run = bench.request(0, organisation="o")
    _, found = bench.reserve(run, [FULL] * 15 + [FOUND])
    assert found is not None and sum(bench.sleeps) > 0.3
    use = use_of(bench, "o")
    assert use.granted_tokens == pytest.approx(use.asked_tokens)
    assert use.asked_tokens < TOKENS


def test_requests_without_an_organisation_are_counted_for_none(monkeypatch):
    """Guards against an entry of the empty name that takes part in the division."""
    bench = Bench(monkeypatch)
    bench.reserve(bench.request(0), [FULL, FOUND])
    assert bench.state.use_by_service == {}


# What is given back, however a request ends.


@pytest.mark.parametrize("script", [[FOUND], [FULL, FOUND], [FULL], [FULL, NO_WORKER]])
@pytest.mark.parametrize("priority", [0, 1, 2])
def test_a_request_that_ended_waits_no_longer(monkeypatch, script, priority):
    """Guards against requests that are told as waiting for good, which hold all others back."""
    bench = Bench(monkeypatch)
    bench.reserve(bench.request(priority), script)
    assert bench.state.ranked_room("llm").waiting() == {}


@pytest.mark.parametrize("error", [asyncio.CancelledError, RuntimeError])
def test_a_request_that_is_broken_off_while_it_waits_waits_no_longer(monkeypatch, error):
    """Guards against the same where the caller leaves, or an ask for room fails."""
    bench = Bench(monkeypatch)
    seen = []

    def end():
        seen.append(bench.state.ranked_room("llm").waiting())
        raise error

    bench.on_sleep = end
    with pytest.raises(error):
        bench.reserve(bench.request(0), [FULL])
    assert seen == [{0: 1}]
    assert bench.state.ranked_room("llm").waiting() == {}


def test_a_request_that_becomes_late_while_it_waits_is_counted_by_one_rank(monkeypatch):
    """Guards against a request that stays counted by the rank that it had while in time."""
    bench = Bench(monkeypatch)
    for rank in [0] * 5 + [6] * 5:
        bench.state.ranked_room("llm").note_granted(rank, bench.now)
    seen = []
    bench.on_sleep = lambda: seen.append(bench.state.ranked_room("llm").waiting())
    run = bench.request(0, prompt=SHORT)
    run.earlier_tries_s = 0.7
    bench.reserve(run, [FULL] * 15 + [FOUND])
    assert all(sum(waiting.values()) == 1 for waiting in seen)
    assert {0: 1} in seen and {6: 1} in seen
    assert bench.state.ranked_room("llm").waiting() == {}


# A request that holds back.


def test_a_request_that_holds_back_is_refused_with_the_forecast(monkeypatch):
    """Guards against a refusal as if there were no worker, and against one second as Retry-After
    where requests of its rank wait for several."""
    bench = Bench(monkeypatch)
    urgent_waits(bench, waited_s=5.0)
    run = bench.request(2)
    room, found = bench.reserve(run, [FULL])
    assert found is None and room.asks == 1 and run.is_held_back
    assert room.code is Code.NO_CAPACITY
    # Four mean waits are 10.6 s; at most 0.32 of the 14 s that are left, less a tenth.
    assert 4.0 <= retry_after(bench.refuse(run, room)) <= 4.48
    ended = [fields for kind, fields in bench.log.lines if kind is Decision.WAIT_ENDED]
    assert len(ended) == 1 and ended[0]["entry_rank"] == 0 and ended[0]["rank"] == 2


def test_a_request_that_held_back_and_got_room_is_not_refused_as_one_that_does(monkeypatch):
    """The fault: it counted as held back for good, so that a refusal for another cause later asked
    its caller back by the wait for room."""
    bench = Bench(monkeypatch)
    urgent_waits(bench, waited_s=0.3)
    bench.on_sleep = lambda: urgent_is_served(bench)
    run = bench.request(1, prompt=SHORT)
    _, found = bench.reserve(run, [FOUND])
    assert found is not None and bench.sleeps
    assert not run.is_held_back


def test_a_request_that_held_back_and_then_finds_no_worker_says_so(monkeypatch):
    """The fault: the cause stayed that more urgent requests wait, also when no worker was left."""
    bench = Bench(monkeypatch)
    urgent_waits(bench, waited_s=0.3)
    bench.on_sleep = lambda: urgent_is_served(bench)
    run = bench.request(1, prompt=SHORT)
    room, found = bench.reserve(run, [NO_WORKER])
    assert found is None and room.asks == 1
    assert room.code is None and room.detail == ""


def test_a_request_that_would_hold_back_is_refused_at_once_where_no_worker_is(monkeypatch):
    """The fault: it held back and waited for room, and heard only later that there is no worker."""
    bench = Bench(monkeypatch)
    urgent_waits(bench, waited_s=0.3)
    run = bench.request(1, prompt=SHORT)
    room = ScriptedRoom(run=run)
    room.has_worker = False
    _, found = bench.reserve(run, [NO_WORKER], room=room)
    assert found is None and bench.sleeps == [] and not run.is_held_back
    assert room.code is None


def urgent_goes_on_waiting(bench, mean_wait_s):
    """A more urgent rank of which a request waits, for as long on average, whatever the time."""
    counts = {0: RoomCounts(waited_s=2 * mean_wait_s - PRIOR_WAIT_S, grants=1.0)}
    view = RoomView(counts_by_rank=counts, waiting_by_rank={0: 1})
    bench.state.room_view = lambda _: view


def test_a_request_that_holds_back_asks_once_before_it_is_late(monkeypatch):
    """Guards against a rank that is shut out for as long as a more urgent one is short of room."""
    bench = Bench(monkeypatch)
    urgent_goes_on_waiting(bench, 0.3)
    run = bench.request(2, prompt=SHORT)
    room, found = bench.reserve(run, [FOUND])
    assert found is not None and room.asks == 1
    assert 0.0 < run.target_left_s <= LAST_CHANCE_S


def test_where_urgent_requests_wait_for_long_others_ask_once_too(monkeypatch):
    """The fault: a request is refused once the forecast says that it will be late, which is the
    mean wait of a more urgent rank before it is. The one ask comes 0.15 s before it is late, so
    beyond 0.4 s, up to which late requests go on waiting, it never comes."""
    bench = Bench(monkeypatch)
    urgent_goes_on_waiting(bench, 0.6)
    room, _ = bench.reserve(bench.request(2, prompt=SHORT), [FOUND])
    assert room.asks == 1


@pytest.mark.parametrize("priority", [0, 1, 2])
def test_a_request_that_is_about_to_be_late_does_not_ask_without_a_pause(monkeypatch, priority):
    """The fault: the pause ended at a moment before it would be late, and shrank to nothing as that
    came near: asks followed one another at once."""
    bench = Bench(monkeypatch)
    for rank in range(6):
        for _ in range(20):
            bench.state.ranked_room("llm").note_granted(rank, bench.now)
    run = bench.request(priority, prompt=SHORT)
    bench.reserve(run, [FULL] * 60 + [FOUND])
    assert bench.sleeps and min(bench.sleeps) >= SHORTEST_PAUSE_S
    assert run.target_left_s < 0.0


# Changes of the configuration.


def test_an_order_that_ends_while_a_request_waits_leaves_a_rank_that_can_be_told(monkeypatch):
    """The fault: the priority stood in for the rank, and one over 255 fits no notice: the box told
    its peers nothing any more, and kept a count for each priority."""
    bench = Bench(monkeypatch, priorities=(0, 700), organisations=[organisation("o", priority=900)])
    told = []

    def end_order():
        bench.state.table = table([700], version=2, organisations=[organisation("o", priority=900)])
        told.extend(bench.state.ranked_room("llm").waiting())

    bench.on_sleep = end_order
    bench.reserve(bench.request(700, organisation="o"), [FULL] * 3 + [FOUND])
    assert told and all(0 <= rank < MOST_ROOM_RANKS for rank in told)
    assert bench.state.ranked_room("llm").waiting() == {}


def test_ranks_of_an_earlier_configuration_are_told_no_longer():
    """The fault: each rank that ever waited stayed in all notices, and its count of next to nothing
    raised the forecasts of less urgent ranks to the prior for good."""
    room = RankedRoom()
    room.note_waited(0, 5.0, 0.0)
    room.begin(1)
    room.note_waited(1, 0.5, 0.0)
    assert [entry.rank for entry in room.notices(1.0)] == [0, 1]
    assert [entry.rank for entry in room.notices(60.0)] == [1]
    room.end(1)
    assert room.notices(60.0) == () and room == RankedRoom()


def test_limits_of_a_new_configuration_count_at_once(monkeypatch):
    """Guards against shares by the limits of an earlier configuration."""
    large, small = (
        organisation("a", rate_per_s=rate, unit=LimitUnit.TOKENS) for rate in (9_000.0, 1_000.0)
    )
    other = organisation("b", rate_per_s=1_000.0, unit=LimitUnit.TOKENS)
    bench = Bench(monkeypatch, organisations=[small, other])
    note_use(bench, a=(90_000, 30_000), b=(90_000, 20_000))
    assert bench.state.share_verdict("llm", "a").is_over
    bench.state.table = table((0, 1, 2), version=2, organisations=[large, other])
    bench.now += 0.25
    assert not bench.state.share_verdict("llm", "a").is_over


def note_use(bench, **asked_and_granted):
    use = bench.state.organisation_use("llm")
    for name, (asked, granted) in asked_and_granted.items():
        use.note_asked(name, asked, bench.now)
        use.note_granted(name, granted, bench.now)


def test_a_limit_of_requests_is_compared_with_one_of_tokens_by_mean_size(monkeypatch):
    """The fault: 10 requests a second weighed a six-thousandth of 60,000 tokens a second, so that
    the first organisation was over its share whatever it got."""
    organisations = [
        organisation("by-request", rate_per_s=10.0, unit=LimitUnit.REQUESTS),
        organisation("by-token", rate_per_s=60_000.0, unit=LimitUnit.TOKENS),
    ]
    bench = Bench(monkeypatch, organisations=organisations)
    demand = bench.state.demand("llm")
    demand.note_ask(bench.now, prompt_tokens=5_400, output_tokens=600)
    note_use(bench, **{"by-request": (90_000, 25_000), "by-token": (90_000, 25_000)})
    verdicts = [bench.state.share_verdict("llm", name) for name in ("by-request", "by-token")]
    assert [verdict.share for verdict in verdicts] == pytest.approx([0.5, 0.5])
    assert not any(verdict.is_over for verdict in verdicts)


def test_verdicts_are_kept_by_service_not_by_organisation(monkeypatch):
    """Guards against state that grows with organisations, and against summing up all notices for
    each of them: that took 0.9 ms, four times a second for each."""
    bench = Bench(monkeypatch, organisations=[organisation("o0")])
    for number in range(100):
        bench.state.share_verdict("llm", f"o{number}")
    assert list(bench.state._shares_by_service) == ["llm"]


def test_without_an_order_by_rank_peers_uses_decide_nothing(monkeypatch):
    """Guards against shares that are in force where no order is."""
    bench = Bench(monkeypatch, order=OrderWay.UNORDERED, organisations=[organisation("o")])
    uses = [OrganisationUseNotice(name="o", asked_tokens=9e6, granted_tokens=5e6)]
    bench.state.peers.uses = lambda *_: uses
    run = bench.request(2, organisation="o")
    assert queue_log_fields(run) == {} and run.rank == 2
