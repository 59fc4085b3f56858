"""Wait of one request under the order by rank: its counts, their release, and its refusal."""

import asyncio

import pytest
from room_harness import (
    FULL,
    GRANTED,
    NO_WORKER,
    RoomHarness,
    ScriptedReservation,
    organisation,
    table,
)

from croftchute.errors import Code
from croftchute.forwarding.decision_log import Decision
from croftchute.forwarding.workers.queue_reporting import queue_log_fields
from croftchute.systems.room_forecast import PRIOR_WAIT_S, RoomCounts
from croftchute.systems.room_order import (
    FINAL_POLL_LEAD_S,
    MAX_ROOM_RANKS,
    MIN_POLL_INTERVAL_S,
    OrderMode,
    RoomView,
    RoomWaitsByRank,
)
from croftchute.tables.organisations import LimitUnit
from croftchute.tables.peers import OrganisationUseNotice

TOKENS = 5_600
SHORT_PROMPT_TOKENS = 100
"""Tokens of a prompt whose reading takes almost none of the target."""


def add_urgent_wait(harness, *, rank=0, waited_s=5.0):
    """Add a more urgent request to this box that has waited for ``waited_s``."""
    room = harness.state.ranked_room("llm")
    room.begin_wait(rank)
    room.note_waited(rank, waited_s, harness.now)


def serve_urgent(harness):
    room = harness.state.ranked_room("llm")
    if room.waiting_by_rank().get(0):
        room.end_wait(0)
        room.note_granted(0, harness.now)


def retry_after(answer):
    return float(answer.split(b"retry-after: ")[1].split(b"\r\n")[0])


def use_of(harness, name):
    entries = harness.state.organisation_use("llm").notices(harness.now)
    return next(entry for entry in entries if entry.name == name)


# Counts.


def test_a_repeated_poll_counts_once_for_the_organisation(monkeypatch):
    """A request's tokens must count once, however many attempts workers reject.

    Each further attempt used to add them to the asked and granted tokens, and the organisation
    seemed to use a multiple of its share.
    """
    harness = RoomHarness(monkeypatch, organisations=[organisation("o")])
    run = harness.request(0, organisation="o")
    room = ScriptedReservation(run=run)
    for _ in range(3):
        harness.reserve(run, [GRANTED], room=room)
    use = use_of(harness, "o")
    assert (use.asked_tokens, use.granted_tokens) == (TOKENS, TOKENS)


def test_granted_tokens_of_a_request_that_waited_equal_its_asked_tokens(monkeypatch):
    """A grant must be decayed like the request that was counted before the wait.

    Without that, an organisation that asked for little was over its share, and room that was short
    seemed not to be.
    """
    harness = RoomHarness(monkeypatch, organisations=[organisation("o")])
    harness.state.ranked_room("llm").note_granted(0, harness.now)
    run = harness.request(0, organisation="o")
    _, found = harness.reserve(run, [FULL] * 15 + [GRANTED])
    assert found is not None and sum(harness.sleeps) > 0.3
    use = use_of(harness, "o")
    assert use.granted_tokens == pytest.approx(use.asked_tokens)
    assert use.asked_tokens < TOKENS


def test_requests_without_an_organisation_add_no_use(monkeypatch):
    """Guards against an entry with an empty name that takes part in the division."""
    harness = RoomHarness(monkeypatch)
    harness.reserve(harness.request(0), [FULL, GRANTED])
    assert harness.state.use_by_service == {}


# Release of counts, however a request ends.


@pytest.mark.parametrize("script", [[GRANTED], [FULL, GRANTED], [FULL], [FULL, NO_WORKER]])
@pytest.mark.parametrize("priority", [0, 1, 2])
def test_a_request_that_ended_is_not_counted_as_waiting(monkeypatch, script, priority):
    """Guards against requests that are reported as waiting for ever and hold back all others."""
    harness = RoomHarness(monkeypatch)
    harness.reserve(harness.request(priority), script)
    assert harness.state.ranked_room("llm").waiting_by_rank() == {}


@pytest.mark.parametrize("error", [asyncio.CancelledError, RuntimeError])
def test_a_request_that_fails_while_waiting_is_not_counted_as_waiting(monkeypatch, error):
    """Guards against a request that stays counted if its caller leaves or a poll raises."""
    harness = RoomHarness(monkeypatch)
    seen = []

    def end():
        seen.append(harness.state.ranked_room("llm").waiting_by_rank())
        raise error

    harness.on_sleep = end
    with pytest.raises(error):
        harness.reserve(harness.request(0), [FULL])
    assert seen == [{0: 1}]
    assert harness.state.ranked_room("llm").waiting_by_rank() == {}


def test_a_request_that_becomes_late_while_waiting_is_counted_in_one_rank(monkeypatch):
    """Guards against a late request that still counts in the rank that it had while in time."""
    harness = RoomHarness(monkeypatch)
    for rank in [0] * 5 + [6] * 5:
        harness.state.ranked_room("llm").note_granted(rank, harness.now)
    seen = []
    harness.on_sleep = lambda: seen.append(harness.state.ranked_room("llm").waiting_by_rank())
    run = harness.request(0, prompt=SHORT_PROMPT_TOKENS)
    run.since_first_try_s = 0.7
    harness.reserve(run, [FULL] * 15 + [GRANTED])
    assert all(sum(waiting.values()) == 1 for waiting in seen)
    assert {0: 1} in seen and {6: 1} in seen
    assert harness.state.ranked_room("llm").waiting_by_rank() == {}


# Holding back.


def test_a_request_that_holds_back_is_refused_with_the_mean_wait(monkeypatch):
    """Guards against a refusal for lack of workers, and against a Retry-After of one second where
    requests of its rank wait for several.
    """
    harness = RoomHarness(monkeypatch)
    add_urgent_wait(harness, waited_s=5.0)
    run = harness.request(2)
    room, found = harness.reserve(run, [FULL])
    assert found is None and room.asks == 1 and run.is_held_back
    assert room.code is Code.NO_CAPACITY
    # Four mean waits are 10.6 s. The limit is 0.32 of the remaining 14 s, less up to 10% of jitter.
    assert 4.0 <= retry_after(harness.refuse(run, room)) <= 4.48
    ended = [fields for kind, fields in harness.log.lines if kind is Decision.WAIT_ENDED]
    assert len(ended) == 1 and ended[0]["entry_rank"] == 0 and ended[0]["rank"] == 2


def test_held_back_is_reset_once_the_request_gets_room(monkeypatch):
    """The flag used to stay set. A later refusal for another cause then computed its Retry-After
    from the wait for room.
    """
    harness = RoomHarness(monkeypatch)
    add_urgent_wait(harness, waited_s=0.3)
    harness.on_sleep = lambda: serve_urgent(harness)
    run = harness.request(1, prompt=SHORT_PROMPT_TOKENS)
    _, found = harness.reserve(run, [GRANTED])
    assert found is not None and harness.sleeps
    assert not run.is_held_back


def test_a_request_that_held_back_and_then_finds_no_worker_reports_that(monkeypatch):
    """The refusal used to name more urgent requests as its cause even if no worker was left."""
    harness = RoomHarness(monkeypatch)
    add_urgent_wait(harness, waited_s=0.3)
    harness.on_sleep = lambda: serve_urgent(harness)
    run = harness.request(1, prompt=SHORT_PROMPT_TOKENS)
    room, found = harness.reserve(run, [NO_WORKER])
    assert found is None and room.asks == 1
    assert room.code is None and room.detail == ""


def test_a_request_does_not_hold_back_where_there_is_no_worker(monkeypatch):
    """The request used to hold back and wait for room, and learned only later that there is no
    worker.
    """
    harness = RoomHarness(monkeypatch)
    add_urgent_wait(harness, waited_s=0.3)
    run = harness.request(1, prompt=SHORT_PROMPT_TOKENS)
    room = ScriptedReservation(run=run)
    room.has_worker = False
    _, found = harness.reserve(run, [NO_WORKER], room=room)
    assert found is None and harness.sleeps == [] and not run.is_held_back
    assert room.code is None


def fix_urgent_mean_wait(harness, mean_wait_s):
    """Replace the view by one in which an urgent request waits, with a constant mean wait."""
    counts = {0: RoomCounts(waited_s=2 * mean_wait_s - PRIOR_WAIT_S, grants=1.0)}
    view = RoomView(counts_by_rank=counts, waiting_by_rank={0: 1})
    harness.state.room_view = lambda _: view


def test_a_request_that_holds_back_polls_once_before_it_is_late(monkeypatch):
    """Guards against a rank that is locked out while a more urgent one is short of room."""
    harness = RoomHarness(monkeypatch)
    fix_urgent_mean_wait(harness, 0.3)
    run = harness.request(2, prompt=SHORT_PROMPT_TOKENS)
    room, found = harness.reserve(run, [GRANTED])
    assert found is not None and room.asks == 1
    assert 0.0 < run.target_left_s <= FINAL_POLL_LEAD_S


def test_a_request_that_holds_back_polls_once_even_if_urgent_waits_are_long(monkeypatch):
    """Guards against a final poll that never takes place.

    A request is refused once the forecast says that it will be late, which is the mean wait of a
    more urgent rank before its target ends. Its final poll is due 0.15 s before that end. Up to a
    mean wait of 0.4 s late requests go on waiting; beyond it the refusal came before the poll.
    """
    harness = RoomHarness(monkeypatch)
    fix_urgent_mean_wait(harness, 0.6)
    room, _ = harness.reserve(harness.request(2, prompt=SHORT_PROMPT_TOKENS), [GRANTED])
    assert room.asks == 1


@pytest.mark.parametrize("priority", [0, 1, 2])
def test_polls_of_a_request_that_is_about_to_be_late_keep_a_minimum_interval(monkeypatch, priority):
    """The interval used to end shortly before the request would be late. It shrank to zero as that
    time came near, and polls followed each other without a pause.
    """
    harness = RoomHarness(monkeypatch)
    for rank in range(6):
        for _ in range(20):
            harness.state.ranked_room("llm").note_granted(rank, harness.now)
    run = harness.request(priority, prompt=SHORT_PROMPT_TOKENS)
    harness.reserve(run, [FULL] * 60 + [GRANTED])
    assert harness.sleeps and min(harness.sleeps) >= MIN_POLL_INTERVAL_S
    assert run.target_left_s < 0.0


# Configuration changes.


def test_the_rank_stays_valid_if_the_order_ends_while_a_request_waits(monkeypatch):
    """The priority used to stand in for the rank. A rank over 255 fits no notice, so the box sent
    its peers no notices any more, and it kept a count per priority.
    """
    harness = RoomHarness(
        monkeypatch, priorities=(0, 700), organisations=[organisation("o", priority=900)]
    )
    reported_ranks = []

    def end_order():
        harness.state.table = table(
            [700], version=2, organisations=[organisation("o", priority=900)]
        )
        reported_ranks.extend(harness.state.ranked_room("llm").waiting_by_rank())

    harness.on_sleep = end_order
    harness.reserve(harness.request(700, organisation="o"), [FULL] * 3 + [GRANTED])
    assert reported_ranks and all(0 <= rank < MAX_ROOM_RANKS for rank in reported_ranks)
    assert harness.state.ranked_room("llm").waiting_by_rank() == {}


def test_ranks_of_an_earlier_configuration_are_dropped_from_notices():
    """Each rank that had ever waited used to stay in all notices. Its tiny count raised the
    forecasts of less urgent ranks to the prior for good.
    """
    room = RoomWaitsByRank()
    room.note_waited(0, 5.0, 0.0)
    room.begin_wait(1)
    room.note_waited(1, 0.5, 0.0)
    assert [entry.rank for entry in room.notices(1.0)] == [0, 1]
    assert [entry.rank for entry in room.notices(60.0)] == [1]
    room.end_wait(1)
    assert room.notices(60.0) == () and room == RoomWaitsByRank()


def test_limits_of_a_new_configuration_apply_at_once(monkeypatch):
    """Guards against shares by the limits of an earlier configuration."""
    large, small = (
        organisation("a", rate_per_s=rate, unit=LimitUnit.TOKENS) for rate in (9_000.0, 1_000.0)
    )
    other = organisation("b", rate_per_s=1_000.0, unit=LimitUnit.TOKENS)
    harness = RoomHarness(monkeypatch, organisations=[small, other])
    note_use(harness, a=(90_000, 30_000), b=(90_000, 20_000))
    assert harness.state.share_usage("llm", "a").is_over
    harness.state.table = table((0, 1, 2), version=2, organisations=[large, other])
    harness.now += 0.25
    assert not harness.state.share_usage("llm", "a").is_over


def note_use(harness, **asked_and_granted):
    use = harness.state.organisation_use("llm")
    for name, (asked, granted) in asked_and_granted.items():
        use.note_asked(name, asked, harness.now)
        use.note_granted(name, granted, harness.now)


def test_request_limits_are_converted_to_tokens_by_the_mean_request_size(monkeypatch):
    """Unconverted, 10 requests a second weighed a six-thousandth of 60,000 tokens a second, so the
    first organisation was over its share whatever it got.
    """
    organisations = [
        organisation("by-request", rate_per_s=10.0, unit=LimitUnit.REQUESTS),
        organisation("by-token", rate_per_s=60_000.0, unit=LimitUnit.TOKENS),
    ]
    harness = RoomHarness(monkeypatch, organisations=organisations)
    demand = harness.state.demand("llm")
    demand.note_ask(harness.now, prompt_tokens=5_400, output_tokens=600)
    note_use(harness, **{"by-request": (90_000, 25_000), "by-token": (90_000, 25_000)})
    usages = [harness.state.share_usage("llm", name) for name in ("by-request", "by-token")]
    assert [usage.share for usage in usages] == pytest.approx([0.5, 0.5])
    assert not any(usage.is_over for usage in usages)


def test_share_usage_is_cached_per_service(monkeypatch):
    """Guards against a cache that grows with the number of organisations, and against summing up
    all notices for each of them, which took 0.9 ms four times a second for each.
    """
    harness = RoomHarness(monkeypatch, organisations=[organisation("o0")])
    for number in range(100):
        harness.state.share_usage("llm", f"o{number}")
    assert list(harness.state._shares_by_service) == ["llm"]


def test_reported_use_has_no_effect_without_an_order_by_rank(monkeypatch):
    """Guards against shares that apply where no order does."""
    harness = RoomHarness(monkeypatch, order=OrderMode.UNORDERED, organisations=[organisation("o")])
    uses = [OrganisationUseNotice(name="o", asked_tokens=9e6, granted_tokens=5e6)]
    harness.state.peers.uses = lambda *_: uses
    run = harness.request(2, organisation="o")
    assert queue_log_fields(run) == {} and run.rank == 2
