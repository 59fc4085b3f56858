"""Boxes that choose among workers by pace, in virtual time and without a network.

Three boxes draw a worker for each request at random, with probability in proportion to its speed to
the power of 3, and tell each other their notices every 0.5 s. One worker is slow for a while.
"""

import heapq
import random
from dataclasses import dataclass, field

from croftchute.systems.worker_pace import WorkerPaces
from croftchute.tables.paces import WorkKind

BOXES, RATE_PER_S = 3, 60.0
WORKERS = ("w0", "w1", "w2")
SLOW, SLOW_PACE = "w1", 5.0
SLOW_FROM_S, SLOW_FOR_S = 5.0, 4.0
USUAL_S = 0.05
NOTICE_S, DELAY_S = 0.5, 0.005
POWER = 3.0


@dataclass
class World:
    """``tells`` is whether responses report a pace; ``kind`` is the work that requests are."""

    seed: int
    tells: bool
    kind: WorkKind = WorkKind.ANSWER
    until: float = 16.0
    chosen: list = field(default_factory=list)
    first_slow_at: float | None = None

    def __post_init__(self):
        self.rng = random.Random(self.seed)
        self.boxes = [WorkerPaces() for _ in range(BOXES)]
        self.events = []

    def play(self):
        now = 0.0
        while (now := now + self.rng.expovariate(RATE_PER_S)) < self.until:
            self.at(now, self._arrive, self.rng.randrange(BOXES))
        for number in range(BOXES):
            self.at(self.rng.uniform(0.0, NOTICE_S), self._tell, number)
        while self.events:
            when, _, act, args = heapq.heappop(self.events)
            if when > self.until:
                break
            act(when, *args)
        return self

    def at(self, when, act, *args):
        heapq.heappush(self.events, (when, self.rng.random(), act, args))

    def share(self, begin, end):
        """The slow worker's part of the requests that arrive between two times."""
        chosen = [worker for when, worker in self.chosen if begin <= when < end]
        return chosen.count(SLOW) / len(chosen)

    def pace(self, worker, now):
        is_slow = worker == SLOW and SLOW_FROM_S <= now < SLOW_FROM_S + SLOW_FOR_S
        return SLOW_PACE if is_slow else 1.0

    def _arrive(self, now, number):
        paces = self.boxes[number]
        speeds = [paces.estimate(worker, self.kind, now).speed ** POWER for worker in WORKERS]
        worker = self.rng.choices(WORKERS, speeds)[0]
        self.chosen.append((now, worker))
        noise = self.rng.lognormvariate(0.0, 0.2)
        self.at(now + USUAL_S * noise * self.pace(worker, now), self._answer, number, worker, now)

    def _answer(self, now, number, worker, begun):
        paces, pace = self.boxes[number], self.pace(worker, now)
        if self.tells:
            paces.note_told(worker, pace, now)
        took = (now - begun) / USUAL_S
        paces.note_seen(worker, self.kind, took, now)
        shows = pace if self.tells else took
        if begun >= SLOW_FROM_S and shows > 2.0 and worker == SLOW and self.first_slow_at is None:
            self.first_slow_at = now

    def _tell(self, now, number):
        for notice in self.boxes[number].notices(now):
            for other, paces in enumerate(self.boxes):
                if other != number:
                    self.at(now + DELAY_S, self._hear, paces, notice)
        self.at(now + NOTICE_S * self.rng.uniform(0.8, 1.2), self._tell, number)

    def _hear(self, now, paces, notice):
        paces.hear(notice, self.kind, now)
