"""Estimates of worker paces: inputs are weighted by source and age; invalid ones are ignored."""

import math

import pytest
from hypothesis import given
from hypothesis import strategies as st
from pace_simulation import SLOW_DURATION_S, SLOW_START_S, PaceSimulation

from croftchute.systems.worker_pace import (
    MAX_NOTICES,
    MAX_OBSERVED_RATIO,
    MAX_OBSERVED_WEIGHT,
    MAX_PACE,
    MAX_REPORTED_PACE,
    MIN_PACE,
    RECORD_TTL_S,
    REPORT_TTL_S,
    WorkerPaces,
)
from croftchute.tables.paces import PaceSource, WorkKind
from croftchute.tables.peers import WorkerPaceNotice

NAN, INF = math.nan, math.inf
KINDS = list(WorkKind)
kinds = st.sampled_from(KINDS)
reported_paces = st.floats(MIN_PACE, MAX_PACE)
invalid = st.sampled_from([0.0, -0.0, -1.0, -1e300, NAN, INF, -INF, 1e-300, 5e-324, 1e18, 1e300])
any_float = st.floats() | invalid
gaps = st.floats(0.0, 20.0)


def notice(*, told=0.0, age=0.0, seen=0.0, weight=0.0, worker="w"):
    return WorkerPaceNotice(worker=worker, told=told, told_age_s=age, seen=seen, seen_weight=weight)


def estimates(paces, now):
    return [paces.estimate("w", kind, now) for kind in KINDS]


def paces_from_all_sources(now=10.0):
    """Return paces with figures from all sources for one worker."""
    paces = WorkerPaces()
    paces.note_reported("w", 2.0, now)
    paces.note_observed("w", WorkKind.ANSWER, 3.0, now)
    paces.apply_notice(notice(seen=4.0, weight=1.0), WorkKind.PREFILL, now)
    return paces


# Invalid input changes nothing.


@given(invalid)
def test_an_invalid_pace_changes_nothing(value):
    """Guards against an invalid pace that makes a worker get no requests, or all of them."""
    paces, now = paces_from_all_sources(), 10.1
    before = estimates(paces, now), paces.notices(now)
    paces.note_reported("w", value, now)
    for kind in KINDS:
        paces.note_observed("w", kind, value, now)
        paces.apply_notice(notice(told=value, seen=value, weight=1.0), kind, now)
    assert (estimates(paces, now), paces.notices(now)) == before


@given(st.sampled_from([-0.1, -1e300, NAN, INF, -INF, REPORT_TTL_S, 1e300]))
def test_a_pace_of_an_invalid_age_changes_nothing(age_s):
    """Guards against a report from the future, which no later one would replace."""
    paces, now = paces_from_all_sources(), 10.1
    before = estimates(paces, now), paces.notices(now)
    paces.note_reported("w", 5.0, now, age_s=age_s)
    paces.apply_notice(notice(told=5.0, age=age_s), WorkKind.ANSWER, now)
    assert (estimates(paces, now), paces.notices(now)) == before


@given(st.sampled_from([0.0, -1.0, NAN, INF, -INF, 1e300, 2 * MAX_OBSERVED_WEIGHT]))
def test_a_peer_observation_of_invalid_weight_changes_nothing(weight):
    """Guards against one notice that outweighs all observations of this box."""
    paces, now = paces_from_all_sources(), 10.1
    before = estimates(paces, now), paces.notices(now)
    for kind in KINDS:
        paces.apply_notice(notice(seen=9.0, weight=weight), kind, now)
    assert (estimates(paces, now), paces.notices(now)) == before


@given(invalid)
def test_invalid_figures_create_no_record(value):
    """Guards against memory growth caused by ignored input."""
    paces = WorkerPaces()
    paces.note_reported("w", value, 0.0)
    paces.note_observed("w", WorkKind.TOKEN, value, 0.0)
    paces.apply_notice(notice(told=value, seen=value, weight=1.0), WorkKind.TOKEN, 0.0)
    assert paces == WorkerPaces()
    assert estimates(paces, 0.0)[0].source is PaceSource.PRIOR


@pytest.mark.parametrize(
    "note, value, bound",
    [
        ("told", MAX_REPORTED_PACE, MAX_PACE),
        ("told", 1 / MAX_REPORTED_PACE, MIN_PACE),
        ("seen", MAX_OBSERVED_RATIO, MAX_PACE),
        ("seen", 1 / MAX_OBSERVED_RATIO, MIN_PACE),
    ],
)
def test_extreme_valid_paces_count_as_the_nearest_accepted_one(note, value, bound):
    """Guards against ignoring a response after a long hang."""
    extreme, nearest = WorkerPaces(), WorkerPaces()
    for paces, pace in ((extreme, value), (nearest, bound)):
        if note == "told":
            paces.note_reported("w", pace, 0.0)
        else:
            paces.note_observed("w", WorkKind.ANSWER, pace, 0.0)
    assert extreme.estimate("w", WorkKind.ANSWER, 0.0).factor == pytest.approx(
        nearest.estimate("w", WorkKind.ANSWER, 0.0).factor
    )


# The estimate.

steps = st.tuples(
    st.sampled_from(["told", "seen", "notice", "wait"]), kinds, any_float, any_float, gaps
)


def apply_history(paces, history):
    """Apply a history; return the time and the valid paces, limited to the accepted range."""
    now, sources = 0.0, [1.0]
    for what, kind, value, other, gap in history:
        now += gap if what == "wait" else 0.0
        if what == "told":
            paces.note_reported("w", value, now, age_s=other)
        elif what == "seen":
            paces.note_observed("w", kind, value, now)
        elif what == "notice":
            paces.apply_notice(notice(told=value, age=other, seen=value, weight=other), kind, now)
        if what != "wait" and 1 / MAX_OBSERVED_RATIO <= value <= MAX_OBSERVED_RATIO:
            sources.append(min(MAX_PACE, max(MIN_PACE, value)))
    return now, sources


@given(st.lists(steps, max_size=25), kinds)
def test_the_estimate_lies_between_the_prior_and_the_sources(history, kind):
    """Guards against an estimate outside the range of all reported and observed paces."""
    paces = WorkerPaces()
    now, sources = apply_history(paces, history)
    found = paces.estimate("w", kind, now)
    assert min(sources) * (1 - 1e-9) <= found.factor <= max(sources) * (1 + 1e-9)
    assert MIN_PACE <= found.factor <= MAX_PACE and found.age_s >= 0.0


@given(st.lists(steps, max_size=25))
def test_notices_hold_only_valid_figures(history):
    """Guards against notices that other boxes drop, or that the codec cannot write."""
    paces = WorkerPaces()
    now, _ = apply_history(paces, history)
    for entry in paces.notices(now):
        assert entry.told == 0.0 or MIN_PACE * 0.99 <= entry.told <= MAX_PACE * 1.01
        assert entry.seen == 0.0 or MIN_PACE * 0.99 <= entry.seen <= MAX_PACE * 1.01
        assert 0.0 <= entry.told_age_s <= REPORT_TTL_S
        assert 0.0 <= entry.seen_weight <= MAX_OBSERVED_WEIGHT


@given(reported_paces, st.integers(1, 30))
def test_a_plain_worker_is_back_at_the_prior_two_seconds_after_its_last_report(pace, reports):
    """Guards against a worker that was slow once and is not tried again."""
    paces = WorkerPaces()
    for number in range(reports):
        paces.note_reported("w", pace, 0.1 * number)
    found = paces.estimate("w", WorkKind.ANSWER, 0.1 * (reports - 1) + 2.0)
    assert abs(math.log(found.factor)) <= 0.06 * abs(math.log(pace)) + 1e-9


@given(reported_paces, st.integers(1, 30), st.sampled_from([WorkKind.PREFILL, WorkKind.TOKEN]))
def test_prefill_and_decode_paces_are_halfway_to_the_prior_after_two_seconds(pace, reports, kind):
    """Guards against a mean of reports that keeps prompts from a prefill worker for long."""
    paces = WorkerPaces()
    for number in range(reports):
        paces.note_reported("w", pace, 0.1 * number)
    found = paces.estimate("w", kind, 0.1 * (reports - 1) + 2.0)
    assert abs(math.log(found.factor)) <= 0.5 * abs(math.log(pace)) + 1e-9


@given(reported_paces, kinds)
def test_observations_decay_to_the_prior(pace, kind):
    """Guards against an estimate that stays the same while a worker gets no requests."""
    paces = WorkerPaces()
    for _ in range(20):
        paces.note_observed("w", kind, pace, 0.0)
    logs = [abs(math.log(paces.estimate("w", kind, at).factor)) for at in (0.0, 8.0, 24.0, 40.0)]
    assert logs == sorted(logs, reverse=True)
    assert logs[-1] <= 0.12 * abs(math.log(pace)) + 1e-9


@given(reported_paces, kinds, kinds)
def test_kinds_of_work_are_observed_separately(pace, kind, other):
    """Guards against one mean for all kinds of work, with which slow prompts made tokens slow."""
    paces = WorkerPaces()
    paces.note_observed("w", kind, pace, 0.0)
    paces.apply_notice(notice(seen=pace, weight=1.0), kind, 0.0)
    found = paces.estimate("w", other, 0.0)
    assert (found.source is PaceSource.PRIOR and found.factor == 1.0) or other is kind


@given(st.lists(steps, max_size=25), kinds)
def test_a_restarted_worker_starts_at_the_prior(history, kind):
    """Guards against a restarted worker that inherits the pace of its previous life."""
    paces = WorkerPaces()
    now, _ = apply_history(paces, history)
    assert paces.estimate("w@2", kind, now).factor == 1.0
    paces.forget("w")
    found = paces.estimate("w", kind, now)
    assert (found.factor, found.source, found.age_s) == (1.0, PaceSource.PRIOR, INF)


def test_an_older_report_does_not_replace_a_newer_one():
    """Guards against a delayed peer notice that replaces a newer report."""
    paces = WorkerPaces()
    paces.note_reported("w", 1.0, 10.0)
    paces.apply_notice(notice(told=9.0, age=0.4), WorkKind.ANSWER, 10.1)
    assert paces.estimate("w", WorkKind.ANSWER, 10.1).factor == 1.0


# A worker that reports a wrong pace.


@pytest.mark.parametrize("kind", KINDS)
@pytest.mark.parametrize("told, true", [(1.0, 5.0), (0.6, 5.0), (1.0, 10.0), (0.2, 1.0)])
def test_a_wrong_reported_pace_is_corrected_by_responses(kind, told, true):
    """Guards against fresh reports that outweigh all responses.

    A slow worker that reported 0.6 got most requests. From the sixth response on, the estimate must
    be nearer to the observed pace than to the reported one.
    """
    paces = WorkerPaces()
    for number in range(20):
        now = 0.2 * number
        paces.note_reported("w", told, now)
        paces.note_observed("w", kind, true, now)
        if number >= 5:
            log = math.log(paces.estimate("w", kind, now).factor)
            assert abs(log - math.log(true)) < abs(log - math.log(told))


def test_one_slow_response_does_not_end_the_trust_in_reports():
    """Guards against distrust of a worker because of one response that waited."""
    paces = WorkerPaces()
    for number in range(10):
        paces.note_reported("w", 1.6, 0.1 * number)
        paces.note_observed("w", WorkKind.ANSWER, 8.0 if number == 9 else 1.6, 0.1 * number)
    found = paces.estimate("w", WorkKind.ANSWER, 0.9)
    assert found.source is PaceSource.REPORTED and found.factor < 2.6


def test_trust_recovers():
    """Guards against ignoring the reports of a worker permanently after some wrong ones."""
    paces = WorkerPaces()
    for number in range(100):
        now = 0.2 * number
        paces.note_reported("w", 2.0, now)
        paces.note_observed("w", WorkKind.PREFILL, 10.0 if number < 10 else 2.0, now)
    paces.note_reported("w", 0.6, now)
    assert paces.estimate("w", WorkKind.PREFILL, now).source is PaceSource.REPORTED


# Peers.


def test_a_repeated_report_of_a_peer_counts_once():
    """Guards against repeated reports that enter the mean of reported paces each time.

    Each notice gave the report an age that varied with the network delay, so that the report seemed
    new.
    """
    once, often = WorkerPaces(), WorkerPaces()
    once.apply_notice(notice(told=5.0, age=0.0), WorkKind.TOKEN, 0.0)
    for number in range(19):
        now = 0.5 * number
        often.apply_notice(
            notice(told=5.0, age=max(0.0, now - 0.005 * number)), WorkKind.TOKEN, now
        )
    one, many = (paces.estimate("w", WorkKind.TOKEN, 9.0).factor for paces in (once, often))
    assert many == pytest.approx(one, rel=0.02)


def test_a_report_does_not_circulate_among_boxes():
    """Guards against boxes that pass on the reports of peers.

    The delay made a report seem newer each time. It came back to the box that had sent it first,
    and counted again.
    """
    boxes = [WorkerPaces() for _ in range(4)]
    alone = WorkerPaces()
    for paces in (boxes[0], alone):
        paces.note_reported("w", 5.0, 0.0)
    for round_number in range(1, 19):
        now = 0.5 * round_number
        for sender in boxes:
            for entry in sender.notices(now):
                for box in boxes:
                    if box is not sender:
                        box.apply_notice(entry, WorkKind.TOKEN, now + 0.05)
    expected = alone.estimate("w", WorkKind.TOKEN, now).factor
    for box in boxes:
        assert box.estimate("w", WorkKind.TOKEN, now).factor == pytest.approx(expected, rel=0.02)


@given(st.floats(0.05, MAX_OBSERVED_WEIGHT), st.integers(1, 200), st.integers(1, 10), kinds)
def test_repeated_notices_gain_limited_weight(weight, times, peers, kind):
    """Guards against peers that outweigh the responses at this box by repetition."""
    paces = WorkerPaces()
    for number in range(times):
        for _ in range(peers):
            paces.apply_notice(notice(seen=5.0, weight=weight), kind, 0.05 * number)
    now = 0.05 * (times - 1)
    factor = paces.estimate("w", kind, now).factor
    # At most the weight of four responses against one of the prior.
    assert math.log(factor) <= 0.8 * math.log(5.0) + 1e-9
    for _ in range(8):
        paces.note_observed("w", kind, 1.0, now)
    assert math.log(paces.estimate("w", kind, now).factor) <= math.log(5.0) * 4 / 9 + 1e-9


def test_an_observation_of_a_peer_counts_half_of_an_own_one():
    """Guards against estimates dominated by the network delays of peers."""
    here, there = WorkerPaces(), WorkerPaces()
    here.note_observed("w", WorkKind.PREFILL, 5.0, 0.0)
    there.apply_notice(notice(seen=5.0, weight=1.0), WorkKind.PREFILL, 0.0)
    logs = [math.log(paces.estimate("w", WorkKind.PREFILL, 0.0).factor) for paces in (here, there)]
    assert logs == pytest.approx([math.log(5.0) / 2, math.log(5.0) / 3])


def test_notices_cover_the_workers_updated_last():
    """Guards against a datagram that grows with the number of workers."""
    paces = WorkerPaces()
    for number in range(500):
        paces.note_reported(f"w{number}", 1.6, 0.001 * number)
    told = paces.notices(0.5)
    assert len(told) == MAX_NOTICES == 32
    assert {entry.worker for entry in told} == {f"w{n}" for n in range(500 - MAX_NOTICES, 500)}


def test_workers_that_report_no_pace_are_in_no_notice():
    """Guards against notices that grow where no worker reports a pace."""
    paces = WorkerPaces()
    for number in range(50):
        paces.note_observed(f"w{number}", WorkKind.ANSWER, 3.0, 0.0)
    assert paces.notices(0.0) == () and not paces.any_reported(["w1"], 0.0)


def test_workers_without_news_are_forgotten():
    """Guards against state that grows with the number of worker lives."""
    paces = WorkerPaces()
    for number in range(1000):
        paces.note_reported(f"w{number}", 1.6, 0.0)
        paces.note_observed(f"s{number}", WorkKind.ANSWER, 1.6, 0.0)
    paces.notices(RECORD_TTL_S + 1.0)
    assert paces == WorkerPaces()


# Acceptance: one of three workers is five times slower for 4 s.


@pytest.mark.parametrize("reports_pace", [True, False])
@pytest.mark.parametrize("seed", range(8))
def test_a_slow_worker_gets_a_sixth_at_most_and_recovers_its_share_soon(seed, reports_pace):
    """Guards against overloading a slow worker, and against leaving it idle once it recovered."""
    simulation = PaceSimulation(seed=seed, reports_pace=reports_pace).run()
    slow_until = SLOW_START_S + SLOW_DURATION_S
    assert simulation.first_slow_at is not None
    assert simulation.share(0.0, SLOW_START_S) > 1 / 5
    assert simulation.share(simulation.first_slow_at + 1.0, slow_until) <= 1 / 6
    assert simulation.share(slow_until + 2.0, simulation.end_at) >= 1 / 5
