"""Simulation of callers that compete for decode memory through many boxes, in virtual time.

There is no network. Boxes report their waiting requests to each other as late and to as few peers
as real notices do. Engines grant room to whoever polls first.
"""

import heapq
import random
from collections import Counter
from dataclasses import dataclass, field

from croftchute.systems import room_order
from croftchute.systems.room_order import OrderMode, RoomView, RoomWaitsByRank

NOTICE_INTERVAL_S = 0.5
NOTICE_FANOUT = 10
NOTICE_LIFETIME_S = 1.5
UNORDERED_POLL_INTERVAL_S = 0.1


@dataclass
class SimulatedBox:
    room: RoomWaitsByRank = field(default_factory=RoomWaitsByRank)
    notices_by_box: dict = field(default_factory=dict)

    def view(self, now):
        fresh = [rows for at, rows in self.notices_by_box.values() if now - at <= NOTICE_LIFETIME_S]
        return RoomView.from_notices(
            [*self.room.notices(now), *(row for rows in fresh for row in rows)]
        )


@dataclass
class RoomSimulation:
    """A fleet whose engines hold ``capacity`` requests, each for ``run_s`` seconds on average."""

    boxes: int
    capacity: int
    run_s: float
    mode: OrderMode
    seed: int = 1
    has_peer_notices: bool = True

    def __post_init__(self):
        self.rng = random.Random(self.seed)
        self.fleet = [SimulatedBox() for _ in range(self.boxes)]
        self.free_slots = self.capacity
        self.events = []
        self.waits_by_rank = {}
        self.arrivals_by_rank = Counter()
        self.asks = 0

    def schedule(self, when, handler, *args):
        heapq.heappush(self.events, (when, self.rng.random(), handler, args))

    def run(self, rates_by_rank, *, until, max_wait_s_by_rank):
        """Run requests at a rate per second and rank; return the waits of those that got room."""
        self.max_wait_s_by_rank = max_wait_s_by_rank
        for number in range(self.boxes):
            self.schedule(self.rng.uniform(0, NOTICE_INTERVAL_S), self._send_notices, number)
        for rank, rate in rates_by_rank.items():
            now = 0.0
            while (now := now + self.rng.expovariate(rate)) < until:
                self.arrivals_by_rank[rank] += 1
                self.schedule(now, self._arrive, rank)
        while self.events:
            when, _, handler, args = heapq.heappop(self.events)
            if when > until:
                break
            handler(when, *args)
        return self.waits_by_rank

    def served_share(self, rank):
        return len(self.waits_by_rank.get(rank, [])) / self.arrivals_by_rank[rank]

    def _send_notices(self, now, number):
        if self.has_peer_notices:
            rows = self.fleet[number].room.notices(now)
            for peer in self.rng.sample(self.fleet, min(NOTICE_FANOUT, self.boxes)):
                peer.notices_by_box[number] = (now, rows)
        self.schedule(now + NOTICE_INTERVAL_S, self._send_notices, number)

    def _arrive(self, now, rank):
        rank = room_order.room_rank(rank, ranks=3, is_late=False)
        self._ask(now, self.rng.choice(self.fleet), rank, now, False)

    def _ask(self, now, box, rank, arrived_at, has_waited):
        view = box.view(now)
        left_s = self.max_wait_s_by_rank[rank // 2] - (now - arrived_at)
        is_final_poll = 0.0 < left_s <= room_order.FINAL_POLL_LEAD_S
        if is_final_poll or not view.holds_back(rank, self.mode):
            self.asks += 1
            if self.free_slots > 0:
                self.free_slots -= 1
                self.schedule(now + self.rng.expovariate(1 / self.run_s), self._end)
                self.waits_by_rank.setdefault(rank // 2, []).append(now - arrived_at)
                if has_waited:
                    box.room.note_granted(rank, now)
                    box.room.end_wait(rank)
                return
        if not has_waited:
            box.room.begin_wait(rank)
        if view.mean_wait_s(rank) > left_s or is_final_poll:
            box.room.end_wait(rank)
            return
        interval_s = (
            UNORDERED_POLL_INTERVAL_S
            if self.mode is OrderMode.UNORDERED
            else room_order.poll_interval_s(rank)
        )
        interval_s = min(interval_s, max(0.01, left_s - room_order.FINAL_POLL_LEAD_S / 2))
        box.room.note_waited(rank, interval_s, now)
        self.schedule(now + interval_s, self._ask, box, rank, arrived_at, True)

    def _end(self, now):
        self.free_slots += 1
