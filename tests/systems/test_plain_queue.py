"""Few workers that serve many boxes: calls go where they end soonest, or are refused at once."""

import heapq
import random

import pytest

from croftchute.systems.plain_queue import (
    BUSY_WINDOW_S,
    MeanWorkTime,
    QueueLoad,
    choose_worker,
    is_busy,
)
from croftchute.systems.tracked_worker import TrackedWorker
from croftchute.tables.routing import Worker

SLOTS, MAX_WAITING = 6, 24
TARGET_S, WORK_S, ROUND_TRIP_S = 0.41, 0.09, 0.002


class SimulatedWorkers:
    """Three workers of six slots that serve in arrival order and reject calls beyond 24 waiting."""

    def __init__(self, seed):
        self.rng = random.Random(seed)
        self.free_at = [[0.0] * SLOTS for _ in range(3)]
        self.ends = [[] for _ in range(3)]
        self.rejected_calls = 0

    def load(self, number, now):
        open_calls = sum(end > now for end in self.ends[number])
        return QueueLoad(
            running=min(SLOTS, open_calls), waiting=max(0, open_calls - SLOTS), slots=SLOTS
        )

    def send(self, number, now):
        """Return when the call ends, or None if it is rejected."""
        load = self.load(number, now)
        if load.waiting >= MAX_WAITING:
            self.rejected_calls += 1
            return None
        begin = max(now, heapq.heappop(self.free_at[number]))
        end = begin + WORK_S * self.rng.lognormvariate(-0.125, 0.5)
        heapq.heappush(self.free_at[number], end)
        self.ends[number] = [e for e in self.ends[number] if e > now] + [end]
        return end


def simulate(rate, *, has_probes, seed=1, until=10.0):
    """Return the shares of calls that ended in time, were refused, and were rejected by workers."""
    workers, rng = SimulatedWorkers(seed), random.Random(seed)
    now, in_time, refused, total = 0.0, 0, 0, 0
    while (now := now + rng.expovariate(rate)) < until:
        total += 1
        if has_probes:
            loads = {str(n): workers.load(n, now - ROUND_TRIP_S) for n in range(3)}
            chosen = choose_worker(
                loads,
                work_s=WORK_S,
                target_left_s=TARGET_S - ROUND_TRIP_S,
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
    return in_time / total, refused / total, workers.rejected_calls / total


@pytest.mark.parametrize("seed", [1, 2, 3])
def test_calls_at_the_full_rate_of_the_service_are_in_time(seed):
    """One of three workers used to queue for a second while the other two had free slots."""
    in_time, refused, rejected = simulate(3 * SLOTS / WORK_S, has_probes=True, seed=seed)
    assert in_time >= 0.95
    assert rejected < 0.01
    assert simulate(3 * SLOTS / WORK_S, has_probes=False, seed=seed)[0] < 0.95


@pytest.mark.parametrize("seed", [1, 2, 3])
def test_admitted_calls_at_twice_the_rate_are_in_time(seed):
    """All calls used to wait in full queues, so that nearly all were late."""
    in_time, refused, rejected = simulate(2 * 3 * SLOTS / WORK_S, has_probes=True, seed=seed)
    assert rejected < 0.01
    assert in_time / (1.0 - refused) >= 0.95
    assert in_time > 2 * simulate(2 * 3 * SLOTS / WORK_S, has_probes=False, seed=seed)[0]


def test_a_slow_worker_gets_a_call_only_if_it_still_ends_soonest():
    loads = {
        "slow": QueueLoad(running=1, waiting=0, slots=6, pace=2.5),
        "queued": QueueLoad(running=6, waiting=2, slots=6),
    }
    found = choose_worker(loads, work_s=0.1, target_left_s=0.4, time_left_s=1.0, is_last_try=False)
    assert found.worker_id == "queued"


def test_a_caller_that_cannot_come_again_is_admitted_while_it_waits():
    loads = {"a": QueueLoad(running=6, waiting=24, slots=6)}
    late = {"work_s": 0.1, "target_left_s": 0.0, "is_last_try": True}
    assert not choose_worker(loads, time_left_s=1.0, **late).is_refused
    assert choose_worker(loads, time_left_s=0.3, **late).is_refused


def test_without_a_load_or_a_working_time_there_is_no_choice():
    options = {"target_left_s": 0.4, "time_left_s": 4.0, "is_last_try": False}
    assert choose_worker({}, work_s=0.1, **options) is None
    loads = {"a": QueueLoad(running=1, waiting=0, slots=6)}
    assert choose_worker(loads, work_s=0.0, **options) is None


def test_the_mean_working_time_ignores_answers_from_a_queue():
    time = MeanWorkTime()
    time.note(0.09, waiting=0)
    time.note(2.0, waiting=9)
    assert time.mean_s == 0.09


def tracked(**known):
    worker = Worker(id="w", service="s", host="h", port=1, zone="z", slots=6)
    return TrackedWorker(worker=worker, listed_at=0.0, **known)


def test_a_service_is_busy_for_a_while_after_a_queue_or_a_rejection():
    assert not is_busy([tracked()], now=5.0)
    assert not is_busy([tracked(load_running=6, load_at=5.0)], now=5.0)
    assert is_busy([tracked(load_waiting=1, load_at=5.0)], now=5.0 + BUSY_WINDOW_S)
    assert not is_busy([tracked(load_waiting=1, load_at=5.0)], now=5.1 + BUSY_WINDOW_S)
    assert is_busy([tracked(), tracked(rejected_at=5.0)], now=5.5)
