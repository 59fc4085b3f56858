"""Predicted ends of requests, and draws by them that don't send all requests to one worker."""

import heapq
import math
import random

import pytest

from croftchute.systems import predicted_end
from croftchute.systems.peer_table import PeerTable
from croftchute.systems.predicted_end import (
    UsualTimes,
    draw_by_end,
    draw_weights,
    earliest_end,
    exclude_suspects,
    is_suspect,
    predict_decode_end,
    predict_plain_end,
    predict_prefill_end,
    sample_by_speed,
)
from croftchute.systems.prefill_timing import PrefillTiming
from croftchute.systems.tracked_worker import TrackedWorker
from croftchute.systems.worker_choice import ChoiceContext, choose
from croftchute.systems.worker_table import WorkerTable
from croftchute.tables.paces import PaceEstimate, PaceSource, PredictedEnd
from croftchute.tables.routing import Stage, Worker

CONTEXT = ChoiceContext(zone="near", peers=PeerTable(own_id="me"))
TIMING = PrefillTiming(overhead_s=0.1, tokens_per_s=50_000.0)
USUAL = UsualTimes(answer_s=0.1, stream_s=5.0, token_gap_s=0.02, prompt_s=0.2, full_queue_s=0.5)


class PeersWithFailures:
    """Peers that report a number of failures of each worker."""

    def __init__(self, failures):
        self._failures = failures

    def in_flight(self, worker_id, now):
        return 0

    def failures(self, worker_id, now):
        return self._failures


def tracked(name="w", *, zone="near", slots=2, stage=None):
    worker = Worker(id=name, service="s", host="h", port=1, zone=zone, slots=slots, stage=stage)
    return TrackedWorker(worker=worker, listed_at=0.0)


def pace(factor=1.0, age_s=0.1):
    return PaceEstimate(factor=factor, source=PaceSource.REPORTED, age_s=age_s)


def plain(tracked_worker, *, factor=1.0, now=10.0, context=CONTEXT):
    return predict_plain_end(
        tracked_worker, usual_s=0.1, context=context, pace=pace(factor), now=now
    )


def decode(tracked_worker, *, factor=1.0, target_gap_s=0.3, context=CONTEXT):
    return predict_decode_end(
        tracked_worker,
        usual=USUAL,
        target_s=0.9,
        target_gap_s=target_gap_s,
        context=context,
        pace=pace(factor),
        now=10.0,
    )


def prefill(tracked_worker, *, factor=1.0, now=10.0, reported_wait_s=0.0, context=CONTEXT):
    return predict_prefill_end(
        tracked_worker,
        prompt_tokens=5_000,
        usual=USUAL,
        timing=TIMING,
        reported_wait_s=reported_wait_s,
        context=context,
        pace=pace(factor),
        now=now,
    )


def end(seconds, *, wait_s=0.0):
    return PredictedEnd(wait_s=wait_s, work_s=seconds)


# The parts of a predicted end.


def test_a_plain_request_waits_for_requests_beyond_the_slots():
    """Guards against waits that ignore the pace, or that start before all slots are taken."""
    tracked_worker = tracked()
    assert plain(tracked_worker, factor=2.0).total_s == pytest.approx(0.2)
    tracked_worker.in_flight = 3
    found = plain(tracked_worker, factor=2.0)
    assert found.wait_s == pytest.approx(2 * 0.05 * 2.0)
    assert (found.pace, found.pace_source, found.pace_age_s) == (2.0, PaceSource.REPORTED, 0.1)


def test_a_hanging_plain_worker_is_overdue_before_its_first_timeout():
    """Guards against calls to a hanging worker until a timeout of 400 ms to 2 s."""
    tracked_worker = tracked()
    tracked_worker.sent_at_by_call[object()] = 9.5
    tracked_worker.sent_at_by_call[object()] = 9.9
    assert plain(tracked_worker, now=9.75).overdue_s == 0.0
    assert plain(tracked_worker, now=10.0).overdue_s == pytest.approx(0.2)
    assert plain(tracked_worker, now=11.0).overdue_s == pytest.approx(1.2)


def test_too_long_token_gaps_add_the_target_time_at_a_decode_worker():
    """Guards against streams at a worker so slow that its token gaps alone make them late."""
    tracked_worker = tracked(stage=Stage.DECODE)
    assert decode(tracked_worker, factor=4.0, target_gap_s=0.1).gap_penalty_s == 0.0
    assert decode(tracked_worker, factor=6.0, target_gap_s=0.1).gap_penalty_s == 0.9
    assert decode(tracked_worker, factor=6.0, target_gap_s=0.0).gap_penalty_s == 0.0


def test_the_load_of_a_decode_worker_counts_in_full_workers():
    """Guards against asking engines that are known to be full to hold memory for a stream."""
    tracked_worker = tracked(slots=8, stage=Stage.DECODE)
    tracked_worker.in_flight, tracked_worker.tokens_in_flight = 2, 5_000
    context = ChoiceContext(zone="near", peers=PeerTable(own_id="me"), kv_tokens=20_000)
    assert decode(tracked_worker, context=context).wait_s == pytest.approx(0.5 * 5.0)


def test_a_prompt_waits_for_probed_prompts_and_those_sent_since():
    """Guards against ignoring prompts of this box that had not arrived at the probed worker."""
    table = WorkerTable()
    table.upsert(tracked("p", stage=Stage.PREFILL).worker, 0.0)
    tracked_worker = table.tracked_by_id["p"]
    table.note_sent("p", 5_000)
    tracked_worker.queue.note_sent("r1", 5_000, 9.99)
    table.note_load("p", 2, 1, 10.0, sent_since=tracked_worker.queue.sent_since(9.98))
    assert prefill(tracked_worker, factor=1.5).wait_s == pytest.approx(4 * 0.2 * 1.5)


def test_a_fresh_probe_overrides_earlier_observed_waits():
    """Guards against passing over a worker that is idle again because of an earlier wait."""
    tracked_worker = tracked(stage=Stage.PREFILL)
    tracked_worker.queue.observed_wait_s, tracked_worker.queue.observed_at = 0.6, 10.0
    assert prefill(tracked_worker, reported_wait_s=0.8).wait_s == pytest.approx(0.8)
    assert prefill(tracked_worker).wait_s == pytest.approx(0.6)
    tracked_worker.load_at = 9.9
    assert prefill(tracked_worker, reported_wait_s=0.8).wait_s == 0.0


def test_a_prompt_is_overdue_only_beyond_its_prediction():
    """Guards against counting a known queue as a second wait."""
    tracked_worker = tracked(stage=Stage.PREFILL)
    tracked_worker.queue.note_sent("r1", 5_000, 9.0, expected_s=0.8)
    assert prefill(tracked_worker, now=9.7).overdue_s == 0.0
    assert prefill(tracked_worker, now=10.0).overdue_s == pytest.approx(0.2)


def test_another_hall_costs_some_round_trips():
    """Guards against sending requests to another hall that would not complete earlier there."""
    assert plain(tracked(zone="far")).hall_penalty_s == predicted_end.OTHER_HALL_PENALTY_S
    assert plain(tracked()).hall_penalty_s == 0.0


@pytest.mark.parametrize("predict", [plain, decode, prefill])
def test_failures_here_and_at_peers_cost_at_least_the_usual_time(predict):
    """Guards against failures that weigh less than in choices by cost."""
    tracked_worker = tracked()
    usual_s = predict(tracked_worker).work_s
    tracked_worker.failures, tracked_worker.failed_at = 1.0, 10.0
    assert predict(tracked_worker).failure_penalty_s >= usual_s
    context = ChoiceContext(zone="near", peers=PeersWithFailures(50.0))
    assert predict(tracked(), context=context).failure_penalty_s >= 1.6 * usual_s


def test_a_predicted_end_logs_its_parts():
    """Guards against missing parts in the log, and an infinite age, which JSON can't represent."""
    fields = PredictedEnd(wait_s=0.1, work_s=0.2, gap_penalty_s=0.9).log_fields()
    assert fields["end_ms"] == 1200.0
    assert fields["end_wait_ms"] == 100.0
    assert fields["pace_source"] == "prior"
    assert fields["pace_age_s"] is None


# Draws.


def test_a_sample_has_different_workers_in_proportion_to_their_speeds():
    """Guards against probing a worker twice, and slow workers as often as fast ones."""
    names = ["slow", "usual", "quick", "quicker"]
    speeds = dict(zip(names, (0.25, 1.0, 1.5, 2.25), strict=True))
    tracked_workers = [tracked(name) for name in names]
    rng = random.Random(5)
    first = [sample_by_speed(tracked_workers, speeds=speeds, count=3, rng=rng) for _ in range(4000)]
    assert all(len({one.worker.id for one in drawn}) == 3 for drawn in first)
    for name, speed in speeds.items():
        part = sum(drawn[0].worker.id == name for drawn in first) / len(first)
        assert part == pytest.approx(speed / 5.0, abs=0.03)


def test_a_sample_larger_than_the_candidates_has_them_all():
    """Guards against an error in a service of one or two prefill workers."""
    drawn = sample_by_speed(
        [tracked("a"), tracked("b")], speeds={"a": 1, "b": 1}, count=3, rng=random.Random(1)
    )
    assert {one.worker.id for one in drawn} == {"a", "b"}


def test_the_earliest_end_is_chosen():
    """Guards against a comparison that leaves out a part, such as the failure penalty."""
    ends = {"a": end(0.2), "b": PredictedEnd(wait_s=0.0, work_s=0.1, failure_penalty_s=0.2)}
    assert earliest_end(ends) == "a"


def test_weights_add_up_and_stay_below_the_limit_by_speed():
    """Guards against one fast worker among slow ones taking most of the work."""
    rng = random.Random(3)
    for _ in range(300):
        ends = [end(rng.uniform(0.02, 1.0)) for _ in range(rng.randint(1, 12))]
        speeds = [1.0 / one.work_s for one in ends]
        weights = draw_weights(ends)
        assert math.isclose(sum(weights), 1.0)
        for weight, speed in zip(weights, speeds, strict=True):
            limit = predicted_end.MAX_SHARE_OVER_SPEED * speed / sum(speeds)
            assert weight <= limit + 1e-9


def test_hanging_workers_get_few_requests():
    """Guards against a share limit that sends work to hanging workers."""
    hanging = PredictedEnd(wait_s=0.0, work_s=0.1, overdue_s=0.5)
    weights = draw_weights([end(0.1), hanging, hanging])
    assert weights[0] > 0.98


def test_a_failing_worker_gets_no_requests_while_others_are_available():
    """Guards against a share for a worker that choices by cost would leave out."""
    table = WorkerTable()
    for name in ("a", "b", "c"):
        table.upsert(tracked(name).worker, 0.0)
    tracked_by_id = table.tracked_by_id
    table.note_failure("a", 1.0, 10.0)

    def picks(now):
        ends = {name: plain(tracked_by_id[name], now=now) for name in tracked_by_id}
        suspects = {name for name in tracked_by_id if is_suspect(tracked_by_id[name], CONTEXT, now)}
        return {draw_by_end(ends, suspects, random.Random(seed)) for seed in range(200)}

    def by_cost(now):
        usable = table.usable("s", now)
        found = (
            choose(usable, context=CONTEXT, avoid=(), now=now, rng=random.Random(seed))
            for seed in range(200)
        )
        return {one[0].worker.id for one in found}

    assert picks(10.0) == by_cost(10.0) == {"b", "c"}
    assert picks(40.0) == by_cost(40.0) == {"a", "b", "c"}
    tracked_by_id["b"].in_flight = tracked_by_id["c"].in_flight = 6
    assert "a" in picks(10.0)


def test_failing_workers_are_used_where_no_other_is_left():
    """Guards against refusing a request that a recently failed worker could serve."""
    tracked_worker = tracked("a")
    tracked_worker.failures, tracked_worker.failed_at = 4.0, 10.0
    assert draw_by_end({"a": plain(tracked_worker)}, {"a"}, random.Random(1)) == "a"
    sound = tracked("b")
    remaining = exclude_suspects([tracked_worker, sound], context=CONTEXT, now=10.0, min_count=1)
    assert remaining == [sound]
    assert (
        len(exclude_suspects([tracked_worker, sound], context=CONTEXT, now=10.0, min_count=3)) == 2
    )


# Load distribution when all boxes choose by the same reports, which are 0.5 s old.

REPORT_AGE_S = 0.5
USUAL_S = 0.1
REQUESTS_PER_S = 1500.0
SLOTS = 30
MAX_SHARE_RATIO = 3.0
MIXED = [0.6, 1.0, 1.6] * 4
CHANGES = {
    "one of three slows": ([1.0, 1.0, 1.0], [5.0, 1.0, 1.0]),
    "a fast one slows": (MIXED, [1.5, *MIXED[1:]]),
    "slow ones recover": ([1.5, 2.5, 4.0, *MIXED[3:]], MIXED),
    "the only fast one slows": ([1.6] * 11 + [0.6], [1.6] * 11 + [1.5]),
    "one reports to be five times as fast": ([1.0] * 11 + [0.2], [1.0] * 11 + [0.2]),
}


def draw_in_use(ends, speeds, rng):
    """Draw as ``draw_by_end`` does without suspects."""
    return draw_by_end(ends, set(), rng)


def draw_by_cube(ends, speeds, rng):
    """Draw by (1 / end) ** 3, without a limit on shares."""
    names = list(ends)
    return rng.choices(names, weights=[ends[name].total_s ** -3.0 for name in names])[0]


def draw_two_by_speed(ends, speeds, rng):
    """Take the earlier of two candidates drawn by speed."""
    names = sorted(ends, key=lambda name: rng.expovariate(speeds[name]))[:2]
    return min(names, key=lambda name: ends[name].total_s)


def max_share_ratio(rule, *, boxes, before, after, seed):
    """Return the highest ratio of a worker's share of requests to its share by speed.

    It covers the requests of one second. The paces change at time 0. All boxes know the paces of
    half a second before, their own open requests, and the load that their own responses reported.
    """
    rng = random.Random(seed)
    names = [f"w{number}" for number in range(len(before))]
    views = [{name: tracked(name, slots=SLOTS) for name in names} for _ in range(boxes)]
    running = dict.fromkeys(names, 0)
    counts = dict.fromkeys(names, 0)
    open_calls = []
    number, now = 0, -1.0
    while (now := now + rng.expovariate(REQUESTS_PER_S)) < 1.0:
        while open_calls and open_calls[0][0] <= now:
            ended_at, _, box, name = heapq.heappop(open_calls)
            running[name] -= 1
            tracked_worker = views[box][name]
            tracked_worker.in_flight -= 1
            tracked_worker.load_running, tracked_worker.load_at = running[name], ended_at
            tracked_worker.in_flight_at_load = tracked_worker.in_flight
        box = rng.randrange(boxes)
        reported = dict(zip(names, before if now < REPORT_AGE_S else after, strict=True))
        true = dict(zip(names, before if now < 0.0 else after, strict=True))
        ends = {
            name: predict_plain_end(
                views[box][name],
                usual_s=USUAL_S,
                context=CONTEXT,
                pace=pace(reported[name], REPORT_AGE_S),
                now=now,
            )
            for name in rng.sample(names, len(names))
        }
        name = rule(ends, {name: 1.0 / reported[name] for name in names}, rng)
        running[name] += 1
        views[box][name].in_flight += 1
        number += 1
        took_s = USUAL_S * true[name] * max(1.0, running[name] / SLOTS)
        heapq.heappush(open_calls, (now + took_s, number, box, name))
        counts[name] += now >= 0.0
    speed = sum(1.0 / factor for factor in after)
    total = sum(counts.values())
    return max(
        counts[name] / total * factor * speed for name, factor in zip(names, after, strict=True)
    )


@pytest.mark.parametrize("boxes", [8, 87, 360])
@pytest.mark.parametrize("change", CHANGES)
def test_no_worker_exceeds_three_times_its_share_by_speed_after_a_change(boxes, change):
    """Guards against all boxes choosing the worker that was the fastest by outdated reports."""
    before, after = CHANGES[change]
    found = max_share_ratio(draw_in_use, boxes=boxes, before=before, after=after, seed=1)
    assert found <= MAX_SHARE_RATIO


def test_the_draw_in_use_spreads_requests_better_than_the_rejected_draws():
    """Guards against a return to a rejected draw: the cube alone, or two candidates."""
    before, after = CHANGES["the only fast one slows"]

    def worst(rule):
        return max(
            max_share_ratio(rule, boxes=360, before=before, after=after, seed=seed)
            for seed in range(2)
        )

    ratio_in_use = worst(draw_in_use)
    assert ratio_in_use < worst(draw_two_by_speed)
    assert ratio_in_use < worst(draw_by_cube)


# Prefill workers: three are drawn by speed and probed; the earliest end gets the prompt.

PROMPT_S = 0.187
PROMPTS_PER_S = 35.0
PROBE_AGE_S = 0.01
SEED_COUNT = 12


def max_prompt_share_ratio(*, boxes, before, after, answered_share):
    """Return the highest ratio of a worker's share of prompts to its share by speed, over all runs.

    A share ``answered_share`` of the probes returns pace and load. A worker prefills one prompt
    after the other. A round trip lies between the probes and the arrival of the prompt, and
    other boxes send their prompts in that time.
    """
    counts = [0] * len(before)
    for seed in range(SEED_COUNT):
        rng = random.Random(seed)
        tracked_workers = [tracked(str(n), stage=Stage.PREFILL) for n in range(len(before))]
        views = [
            [tracked(one.worker.id, stage=Stage.PREFILL) for one in tracked_workers]
            for _ in range(boxes)
        ]
        ends_at = [[] for _ in before]
        arrivals = []
        now = -1.0
        while (now := now + rng.expovariate(PROMPTS_PER_S)) < 1.0:
            while arrivals and arrivals[0][0] <= now:
                arrived_at, chosen = arrivals.pop(0)
                factor = (before if arrived_at < 0.0 else after)[chosen]
                began_at = max([arrived_at, *ends_at[chosen][-1:]])
                ends_at[chosen].append(began_at + PROMPT_S * factor)
            reported = before if now < REPORT_AGE_S else after
            true = before if now < 0.0 else after
            view = views[rng.randrange(boxes)]
            speeds = {str(n): 1.0 / factor for n, factor in enumerate(reported)}
            ends = {}
            has_answer = False
            for one in sample_by_speed(view, speeds=speeds, count=3, rng=rng):
                number = int(one.worker.id)
                factor = reported[number]
                if rng.random() < answered_share:
                    has_answer = True
                    factor = true[number]
                    one.load_running = sum(at > now for at in ends_at[number])
                    one.load_at = now
                ends[one.worker.id] = prefill(one, factor=factor, now=now)
            if has_answer:
                chosen = int(earliest_end(ends))
            else:
                ends = {
                    one.worker.id: prefill(one, factor=reported[int(one.worker.id)], now=now)
                    for one in view
                }
                chosen = int(draw_by_end(ends, set(), rng))
            arrivals.append((now + PROBE_AGE_S, chosen))
            counts[chosen] += now >= 0.0
    speed = sum(1.0 / factor for factor in after)
    return max(
        count / sum(counts) * factor * speed for count, factor in zip(counts, after, strict=True)
    )


@pytest.mark.parametrize("boxes", [8, 87, 360])
@pytest.mark.parametrize("answered_share", [1.0, 0.5, 0.0])
@pytest.mark.parametrize("change", CHANGES)
def test_no_prefill_worker_exceeds_three_times_its_share_of_prompts(boxes, answered_share, change):
    """Guards against sending all prompts to the worker that was the fastest by outdated reports.

    Choosing the earliest of three by old reports alone, without any answered probe, gave a worker
    4.7 times its share.
    """
    before, after = CHANGES[change]
    found = max_prompt_share_ratio(
        boxes=boxes, before=before, after=after, answered_share=answered_share
    )
    assert found <= MAX_SHARE_RATIO
