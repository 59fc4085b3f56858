"""Simulate boxes that choose among workers by pace, in virtual time and without a network.

Three boxes draw a worker for each request at random, with a probability in proportion to its speed
to the power of 3. They exchange notices every 0.5 s. One worker is slow for a while.
"""

import heapq
import random
from dataclasses import dataclass, field

from croftchute.systems.worker_pace import WorkerPaces
from croftchute.tables.paces import WorkKind

BOXES, RATE_PER_S = 3, 60.0
WORKERS = ("w0", "w1", "w2")
SLOW_WORKER, SLOW_PACE = "w1", 5.0
SLOW_START_S, SLOW_DURATION_S = 5.0, 4.0
USUAL_WORK_S = 0.05
NOTICE_INTERVAL_S, NETWORK_DELAY_S = 0.5, 0.005
DRAW_EXPONENT = 3.0


@dataclass
class PaceSimulation:
    """Requests to three boxes, in virtual time.

    ``reports_pace`` is whether responses report a pace; ``kind`` is the kind of work of the
    requests.
    """

    seed: int
    reports_pace: bool
    kind: WorkKind = WorkKind.ANSWER
    end_at: float = 16.0
    chosen: list = field(default_factory=list)
    first_slow_at: float | None = None

    def __post_init__(self):
        self.rng = random.Random(self.seed)
        self.boxes = [WorkerPaces() for _ in range(BOXES)]
        self.events = []

    def run(self):
        now = 0.0
        while (now := now + self.rng.expovariate(RATE_PER_S)) < self.end_at:
            self.schedule(now, self._arrive, self.rng.randrange(BOXES))
        for number in range(BOXES):
            self.schedule(self.rng.uniform(0.0, NOTICE_INTERVAL_S), self._send_notices, number)
        while self.events:
            when, _, action, args = heapq.heappop(self.events)
            if when > self.end_at:
                break
            action(when, *args)
        return self

    def schedule(self, when, action, *args):
        heapq.heappush(self.events, (when, self.rng.random(), action, args))

    def share(self, start, end):
        """Return the share of the slow worker among the requests between two times."""
        chosen = [worker for when, worker in self.chosen if start <= when < end]
        return chosen.count(SLOW_WORKER) / len(chosen)

    def pace(self, worker, now):
        is_slow = worker == SLOW_WORKER and SLOW_START_S <= now < SLOW_START_S + SLOW_DURATION_S
        return SLOW_PACE if is_slow else 1.0

    def _arrive(self, now, number):
        paces = self.boxes[number]
        speeds = [
            paces.estimate(worker, self.kind, now).speed ** DRAW_EXPONENT for worker in WORKERS
        ]
        worker = self.rng.choices(WORKERS, speeds)[0]
        self.chosen.append((now, worker))
        noise = self.rng.lognormvariate(0.0, 0.2)
        self.schedule(
            now + USUAL_WORK_S * noise * self.pace(worker, now), self._complete, number, worker, now
        )

    def _complete(self, now, number, worker, sent_at):
        paces, pace = self.boxes[number], self.pace(worker, now)
        if self.reports_pace:
            paces.note_reported(worker, pace, now)
        ratio = (now - sent_at) / USUAL_WORK_S
        paces.note_observed(worker, self.kind, ratio, now)
        shown_pace = pace if self.reports_pace else ratio
        if (
            sent_at >= SLOW_START_S
            and shown_pace > 2.0
            and worker == SLOW_WORKER
            and self.first_slow_at is None
        ):
            self.first_slow_at = now

    def _send_notices(self, now, number):
        for notice in self.boxes[number].notices(now):
            for other, paces in enumerate(self.boxes):
                if other != number:
                    self.schedule(now + NETWORK_DELAY_S, self._apply_notice, paces, notice)
        self.schedule(
            now + NOTICE_INTERVAL_S * self.rng.uniform(0.8, 1.2), self._send_notices, number
        )

    def _apply_notice(self, now, paces, notice):
        paces.apply_notice(notice, self.kind, now)
