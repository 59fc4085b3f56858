"""A virtual-time simulation of boxes, workers and requests that crash workers.

Boxes exchange notices as over the network. A new crash is sent at once to ten boxes drawn at random
and forwarded by each box that refuses a request because of it; six crashes go with each periodic
notice, twice per second. Datagrams are lost now and then and don't cross a cut. Workers that crash
return after some seconds as another instance.
"""

from __future__ import annotations

import heapq
import itertools
import random
from dataclasses import dataclass, field

from croftchute.forwarding.boxes.crash_gossip import NOTICES_EACH_TIME
from croftchute.systems.crash_records import CrashRecords
from croftchute.systems.peer_table import FANOUT

DELAY_S = 0.003
LOSS_RATE = 0.02
NOTICE_INTERVAL_S = 0.5
TIME_TO_CRASH_S = 0.1
"""Seconds from a request's arrival at a worker to the worker's crash."""

RESTART_DELAY_S = 4.0
ATTEMPTS = 2
NOTICE_DEADLINE_S = 3.0
"""Seconds after which a connected box must know of a crash, and a new box counts as connected."""

STREAM_S = 3.0


@dataclass
class SimulatedBox:
    name: int
    hall: int
    records: CrashRecords = field(default_factory=CrashRecords)
    joined_at: float = 0.0


@dataclass
class HealthyRequest:
    """A request that crashes nothing; its box retries it once, and its caller repeats it once."""

    digest: str
    box: int
    attempts: int = 1
    tries: int = 1


class CrashSimulation:
    def __init__(self, *, boxes, workers, halls=3, seed=1, healthy_per_s=0.0):
        self.rng = random.Random(seed)
        self.boxes = [SimulatedBox(name=n, hall=n % halls) for n in range(boxes)]
        self.instances = {n: f"w{n}-0" for n in range(workers)}
        self.alive = list(self.instances)
        self.running = {n: {} for n in range(workers)}
        self.now = 0.0
        self.cut_halls = set()
        self.healthy_per_s = healthy_per_s
        self.arrivals = {}
        self.ended_at = {}
        self.refused = {}
        self.healthy_sent = 0
        self.healthy_refused = 0
        self.bytes_sent = 0
        self._queue = []
        self._numbers = itertools.count()
        for box in self.boxes:
            self.at(self.rng.random() * NOTICE_INTERVAL_S, self._notice, box)
        if healthy_per_s:
            self.at(0.0, self._send_healthy)

    def at(self, after_s, action, *args):
        heapq.heappush(self._queue, (self.now + after_s, next(self._numbers), action, args))

    def run(self, until):
        while self._queue and self._queue[0][0] <= until:
            self.now, _, action, args = heapq.heappop(self._queue)
            action(*args)
        self.now = until

    # Boxes.

    def can_reach(self, one, other):
        return one.hall == other.hall or not {one.hall, other.hall} & self.cut_halls

    def send_notices(self, box, notices):
        if not notices:
            return
        sent = tuple(notices)
        for other in self.rng.sample(self.boxes, min(FANOUT, len(self.boxes))):
            if other is box or self.rng.random() < LOSS_RATE or not self.can_reach(box, other):
                continue
            self.bytes_sent += 40 * len(notices)
            self.at(DELAY_S, self._receive, other, sent)

    def _receive(self, box, notices):
        for digest in box.records.merge(notices, self.now):
            self.send_notices(box, box.records.notices(digest, self.now))

    def _notice(self, box):
        self.send_notices(box, box.records.next_notices(self.now, NOTICES_EACH_TIME))
        self.at(NOTICE_INTERVAL_S * self.rng.uniform(0.8, 1.2), self._notice, box)

    def restart(self, box):
        """Restart a box, which reads the refused requests from the store."""
        kept = [
            notice
            for other in self.boxes
            for digest in other.records.by_digest
            if other.records.refusal_left_s(digest, self.now)
            for notice in other.records.notices(digest, self.now)
        ]
        box.records = CrashRecords()
        box.joined_at = self.now
        box.records.merge(kept, self.now)

    # Requests that crash workers.

    def send_bad(self, digest, box=None):
        box = box or self.rng.choice(self.boxes)
        self._attempt_bad(digest, box, ATTEMPTS)

    def _attempt_bad(self, digest, box, left):
        if box.records.refusal_left_s(digest, self.now):
            self.refused[digest] = self.refused.get(digest, 0) + 1
            return
        if not self.alive:
            return
        worker = self.rng.choice(self.alive)
        is_connected = self.now - box.joined_at > NOTICE_DEADLINE_S
        self.arrivals.setdefault(digest, []).append((self.now, is_connected))
        self.running[worker][digest] = (box, None)
        self.at(TIME_TO_CRASH_S, self._end, worker, self.instances[worker], digest, box, left - 1)

    def _end(self, worker, instance, digest, box, left):
        if self.instances[worker] == instance and worker in self.alive:
            self.ended_at.setdefault(digest, []).append(self.now)
            self.crash(worker)
        if left:
            self.at(DELAY_S, self._attempt_bad, digest, box, left)

    def crash(self, worker):
        """Crash a worker and break off all its requests; each box then finds its port closed."""
        self.alive.remove(worker)
        instance, runs = self.instances[worker], self.running[worker]
        self.running[worker] = {}
        for digest, (box, healthy) in runs.items():
            box.records.note_suspected_crash(digest, instance, self.now)
            self.at(DELAY_S, self._resolve_suspicion, box, instance, digest)
            if healthy is not None:
                self.at(2 * DELAY_S, self._retry, healthy)
        self.at(RESTART_DELAY_S, self._start, worker)

    def _resolve_suspicion(self, box, instance, digest):
        for digest_to_send in box.records.resolve_suspicion(instance, ended_at=self.now):
            self.send_notices(box, box.records.notices(digest_to_send, self.now))

    def _start(self, worker):
        self.instances[worker] = f"w{worker}-{next(self._numbers)}"
        self.alive.append(worker)

    # Healthy requests.

    def _send_healthy(self):
        healthy = HealthyRequest(
            digest=f"s{next(self._numbers)}", box=self.rng.randrange(len(self.boxes))
        )
        self.healthy_sent += 1
        self._start_attempt(healthy)
        self.at(self.rng.expovariate(self.healthy_per_s), self._send_healthy)

    def _start_attempt(self, healthy):
        box = self.boxes[healthy.box]
        if box.records.refusal_left_s(healthy.digest, self.now):
            self.healthy_refused += 1
            return
        if not self.alive:
            return
        worker = self.rng.choice(self.alive)
        self.running[worker][healthy.digest] = (box, healthy)
        self.at(self.rng.expovariate(1 / STREAM_S), self._finish, worker, healthy)

    def _finish(self, worker, healthy):
        if self.running[worker].pop(healthy.digest, None) is not None:
            self.boxes[healthy.box].records.note_success(healthy.digest, self.now)

    def _retry(self, healthy):
        if healthy.attempts < ATTEMPTS:
            healthy.attempts += 1
            self._start_attempt(healthy)
        elif healthy.tries < 2:
            healthy.tries, healthy.attempts = 2, 1
            healthy.box = self.rng.randrange(len(self.boxes))
            self.at(0.3, self._start_attempt, healthy)

    # Results.

    def late_arrivals(self, digest):
        """Count arrivals at workers after the time by which all boxes must know the refusal.

        Arrivals from boxes that started less than the notice deadline before don't count.
        """
        ended = sorted(self.ended_at.get(digest, []))
        if len(ended) < 3:
            return 0
        known_at = ended[2] + NOTICE_DEADLINE_S
        return sum(at > known_at and is_connected for at, is_connected in self.arrivals[digest])
