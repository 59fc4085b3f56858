"""Few workers before many boxes: calls go where they end soonest, and not into a queue in vain."""

import heapq
import random

import pytest

from croftchute.systems.plain_queue import (
    BUSY_FOR_S,
    QueueLoad,
    WorkTime,
    is_busy,
    place,
)
from croftchute.systems.tracked_worker import TrackedWorker
from croftchute.tables.routing import Worker

SLOTS, QUEUE = 6, 24
TARGET_S, WORK_S, WAY_S = 0.41, 0.09, 0.002


class Workers:
    """Three workers of six slots that serve in the order of arrival and shed beyond 24 waiting."""

    def __init__(self, seed):
        self.rng = random.Random(seed)
        self.free_at = [[0.0] * SLOTS for _ in range(3)]
        self.ends = [[] for _ in range(3)]
        self.shed = 0

    def load(self, number, now):
        open_calls = sum(end > now for end in self.ends[number])
        return QueueLoad(
            running=min(SLOTS, open_calls), waiting=max(0, open_calls - SLOTS), slots=SLOTS
        )

    def send(self, number, now):
        """When the call ends; None if it is shed."""
        load = self.load(number, now)
        if load.waiting >= QUEUE:
            self.shed += 1
            return None
        begin = max(now, heapq.heappop(self.free_at[number]))
        end = begin + WORK_S * self.rng.lognormvariate(-0.125, 0.5)
        heapq.heappush(self.free_at[number], end)
        self.ends[number] = [e for e in self.ends[number] if e > now] + [end]
        return end


def play(rate, *, probes, seed=1, until=10.0):
    """Shares of the calls that ended in time, were refused, and were shed."""
    workers, rng = Workers(seed), random.Random(seed)
    now, in_time, refused, total = 0.0, 0, 0, 0
    while (now := now + rng.expovariate(rate)) < until:
        total += 1
        if probes:
            loads = {str(n): workers.load(n, now - WAY_S) for n in range(3)}
            chosen = place(
                loads,
                work_s=WORK_S,
                target_left_s=TARGET_S - WAY_S,
                time_left_s=4.0,
                is_last_try=False,
            )
            if chosen.is_refused:
                refused += 1
                continue
            number = int(chosen.worker_id)
        else:
            number = rng.randrange(3)
        end = workers.send(number, now)
        in_time += end is not None and end - now <= TARGET_S
    return in_time / total, refused / total, workers.shed / total


@pytest.mark.parametrize("seed", [1, 2, 3])
def test_at_the_full_rate_of_the_service_calls_are_in_time_and_none_is_shed(seed):
    """The fault: one of three workers queued for a second while the two others had free slots."""
    in_time, refused, shed = play(3 * SLOTS / WORK_S, probes=True, seed=seed)
    assert in_time >= 0.95
    assert shed < 0.01
    assert play(3 * SLOTS / WORK_S, probes=False, seed=seed)[0] < 0.95


@pytest.mark.parametrize("seed", [1, 2, 3])
def test_at_twice_the_rate_what_is_let_in_is_in_time(seed):
    """The fault: all waited in full queues, so that nearly all were late."""
    in_time, refused, shed = play(2 * 3 * SLOTS / WORK_S, probes=True, seed=seed)
    assert shed < 0.01
    assert in_time / (1.0 - refused) >= 0.95
    assert in_time > 2 * play(2 * 3 * SLOTS / WORK_S, probes=False, seed=seed)[0]


def test_a_slow_worker_gets_calls_only_where_they_still_end_soonest():
    loads = {
        "slow": QueueLoad(running=1, waiting=0, slots=6, pace=2.5),
        "queued": QueueLoad(running=6, waiting=2, slots=6),
    }
    found = place(loads, work_s=0.1, target_left_s=0.4, time_left_s=1.0, is_last_try=False)
    assert found.worker_id == "queued"


def test_a_caller_that_can_not_come_again_is_let_in_while_it_waits():
    loads = {"a": QueueLoad(running=6, waiting=24, slots=6)}
    late = {"work_s": 0.1, "target_left_s": 0.0, "is_last_try": True}
    assert not place(loads, time_left_s=1.0, **late).is_refused
    assert place(loads, time_left_s=0.3, **late).is_refused


def test_without_news_or_a_known_working_time_nothing_is_decided():
    options = {"target_left_s": 0.4, "time_left_s": 4.0, "is_last_try": False}
    assert place({}, work_s=0.1, **options) is None
    loads = {"a": QueueLoad(running=1, waiting=0, slots=6)}
    assert place(loads, work_s=0.0, **options) is None


def test_the_working_time_leaves_out_answers_beside_a_queue():
    time = WorkTime()
    time.note(0.09, waiting=0)
    time.note(2.0, waiting=9)
    assert time.usual_s == 0.09


def tracked(**known):
    worker = Worker(id="w", service="s", host="h", port=1, zone="z", slots=6)
    return TrackedWorker(worker=worker, listed_at=0.0, **known)


def test_a_service_is_busy_for_a_while_after_a_queue_or_a_rejection():
    assert not is_busy([tracked()], now=5.0)
    assert not is_busy([tracked(load_running=6, load_at=5.0)], now=5.0)
    assert is_busy([tracked(load_waiting=1, load_at=5.0)], now=5.0 + BUSY_FOR_S)
    assert not is_busy([tracked(load_waiting=1, load_at=5.0)], now=5.1 + BUSY_FOR_S)
    assert is_busy([tracked(), tracked(rejected_at=5.0)], now=5.5)
