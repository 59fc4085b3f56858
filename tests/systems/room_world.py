"""Callers that compete for decode memory through many boxes, in virtual time and without a network.

Boxes tell each other what waits, as late and as partially as notices do; engines grant room to
whoever asks first.
"""

import heapq
import random
from collections import Counter
from dataclasses import dataclass, field

from croftchute.systems import room_order
from croftchute.systems.room_order import OrderMode, RoomView, RoomWaitsByRank

NOTICE_S = 0.5
FANOUT = 10
HEARD_S = 1.5
POLL_S = 0.1


@dataclass
class Box:
    room: RoomWaitsByRank = field(default_factory=RoomWaitsByRank)
    heard_by_box: dict = field(default_factory=dict)

    def view(self, now):
        heard = [rows for at, rows in self.heard_by_box.values() if now - at <= HEARD_S]
        return RoomView.of([*self.room.notices(now), *(row for rows in heard for row in rows)])


@dataclass
class World:
    """``places`` requests fit the engines together; each runs for ``run_s`` on average."""

    boxes: int
    places: int
    run_s: float
    way: OrderMode
    seed: int = 1
    has_news: bool = True

    def __post_init__(self):
        self.rng = random.Random(self.seed)
        self.fleet = [Box() for _ in range(self.boxes)]
        self.free = self.places
        self.events = []
        self.waits_by_rank = {}
        self.asked_by_rank = Counter()
        self.asks = 0

    def at(self, when, act, *args):
        heapq.heappush(self.events, (when, self.rng.random(), act, args))

    def play(self, rates_by_rank, *, until, patience_by_rank):
        """Requests of each rank at a rate a second; returns the waits of those that got room."""
        self.patience_by_rank = patience_by_rank
        for number in range(self.boxes):
            self.at(self.rng.uniform(0, NOTICE_S), self._tell, number)
        for rank, rate in rates_by_rank.items():
            now = 0.0
            while (now := now + self.rng.expovariate(rate)) < until:
                self.asked_by_rank[rank] += 1
                self.at(now, self._arrive, rank)
        while self.events:
            when, _, act, args = heapq.heappop(self.events)
            if when > until:
                break
            act(when, *args)
        return self.waits_by_rank

    def served(self, rank):
        return len(self.waits_by_rank.get(rank, [])) / self.asked_by_rank[rank]

    def _tell(self, now, number):
        if self.has_news:
            rows = self.fleet[number].room.notices(now)
            for peer in self.rng.sample(self.fleet, min(FANOUT, self.boxes)):
                peer.heard_by_box[number] = (now, rows)
        self.at(now + NOTICE_S, self._tell, number)

    def _arrive(self, now, rank):
        rank = room_order.room_rank(rank, ranks=3, is_late=False)
        self._ask(now, self.rng.choice(self.fleet), rank, now, False)

    def _ask(self, now, box, rank, came_at, has_waited):
        view = box.view(now)
        left_s = self.patience_by_rank[rank // 2] - (now - came_at)
        is_last_chance = 0.0 < left_s <= room_order.FINAL_POLL_LEAD_S
        if is_last_chance or not view.holds_back(rank, self.way):
            self.asks += 1
            if self.free > 0:
                self.free -= 1
                self.at(now + self.rng.expovariate(1 / self.run_s), self._end)
                self.waits_by_rank.setdefault(rank // 2, []).append(now - came_at)
                if has_waited:
                    box.room.note_granted(rank, now)
                    box.room.end_wait(rank)
                return
        if not has_waited:
            box.room.begin_wait(rank)
        if view.mean_wait_s(rank) > left_s or is_last_chance:
            box.room.end_wait(rank)
            return
        pause_s = POLL_S if self.way is OrderMode.UNORDERED else room_order.poll_interval_s(rank)
        pause_s = min(pause_s, max(0.01, left_s - room_order.FINAL_POLL_LEAD_S / 2))
        box.room.note_waited(rank, pause_s, now)
        self.at(now + pause_s, self._ask, box, rank, came_at, True)

    def _end(self, now):
        self.free += 1
