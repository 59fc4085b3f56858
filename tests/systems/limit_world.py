"""Boxes that keep limits by lent shares, in virtual time: loss, repeats, pauses, cuts, restarts.

The world carries askings and answers between the deciding parts alone; no sockets, no threads.
"""

from __future__ import annotations

import heapq
import itertools
import random
from dataclasses import dataclass, field

from croftchute.systems.allowance_pool import AllowancePool
from croftchute.systems.fleet_size import FleetSize
from croftchute.systems.lent_share import LentShare
from croftchute.systems.usage_bucket import LimitTerms
from croftchute.tables.allowances import UsageWant
from croftchute.tables.organisations import LimitUnit, Organisation, UsageLimit

TERMS = LimitTerms(window_s=8.0, overage=0.1, slack=190_000.0)
CREW = "crew"


def crew_limit(rate=100_000.0, burst=100_000.0):
    return UsageLimit(rate_per_s=rate, burst=burst, unit=LimitUnit.TOKENS, plain_tokens=200)


@dataclass
class Box:
    """One box: its share, the pool that it keeps, and its clock, which may start anywhere."""

    id: str
    started_at: float
    skew: float
    share: LentShare = None
    pool: AllowancePool = None
    paused_until: float = 0.0

    def clock(self, now):
        return now + self.skew


@dataclass
class LimitWorld:
    """A fleet under one organisation's limit; ``taken`` is what was used, and when.

    Boxes count all there are, or with ``counts_by_sight`` only those that they see, as boxes do
    that were just started; ``size`` is what the store has on record.
    """

    seed: int
    boxes: int
    limit: UsageLimit = field(default_factory=crew_limit)
    loss: float = 0.0
    repeats: float = 0.0
    delay_s: tuple[float, float] = (0.001, 0.005)
    size: FleetSize = field(default_factory=lambda: FleetSize(recorded=0))
    counts_by_sight: bool = False
    terms: LimitTerms = TERMS

    def __post_init__(self):
        self.rng = random.Random(self.seed)
        self.now = 0.0
        self.order = itertools.count()
        self.due = []
        self.by_id = {}
        self.taken = []
        self.asked = self.refused = self.unanswered = 0
        self.apart = lambda a, b: False
        self.is_dead = set()
        for n in range(self.boxes):
            self.start(f"b{n}")

    @property
    def known(self):
        return {CREW: Organisation(name=CREW, limit=self.limit)}

    def start(self, box_id):
        """Begin a life of a box, with nothing remembered."""
        skew = self.rng.uniform(0, 1000)
        box = Box(id=box_id, started_at=self.now, skew=skew)
        box.share = LentShare(own_id=box_id, group=0, started_at=box.clock(self.now))
        box.pool = AllowancePool(terms=self.terms)
        self.by_id[box_id] = box
        self.is_dead.discard(box_id)

    def at(self, when, act):
        heapq.heappush(self.due, (when, next(self.order), act))

    def run(self, until):
        while self.due and self.due[0][0] <= until:
            self.now, _, act = heapq.heappop(self.due)
            act()
        self.now = until

    # Messages.

    def send(self, source, target, act):
        """Deliver something later, perhaps twice, perhaps never."""
        copies = 2 if self.rng.random() < self.repeats else 1
        for _ in range(copies):
            if self.rng.random() < self.loss or self.apart(source, target):
                continue
            delay_s = self.rng.uniform(*self.delay_s)
            self.at(self.now + delay_s, lambda: self.deliver(target, act))

    def deliver(self, target, act):
        if target in self.is_dead or target not in self.by_id:
            return
        box = self.by_id[target]
        if box.paused_until > self.now:
            self.at(box.paused_until, lambda: self.deliver(target, act))
            return
        act()

    def suspend(self, box_id, seconds, *, stands_still=False):
        """Suspend a box's machine; ``stands_still`` is a clock that does not count that time."""
        box = self.by_id[box_id]
        box.paused_until = self.now + seconds
        if stands_still:
            box.skew -= seconds

    def live(self):
        return [box_id for box_id in self.by_id if box_id not in self.is_dead]

    def ask(self, box_id, units=0.0):
        """A box asks its pool, for a request if ``units`` are named."""
        box = self.by_id[box_id]
        if box_id in self.is_dead or box.paused_until > self.now:
            return
        seen = [other for other in self.live() if not self.apart(box_id, other)]
        share = self.size.share(len(seen) if self.counts_by_sight else self.boxes)
        lease = box.share.asked(seen, share, box.clock(self.now))
        asked_at = self.now
        state = {"done": False}
        if units:
            self.asked += 1

        def at_pool():
            pool_box = self.by_id[lease.pool]
            at = pool_box.clock(self.now)
            pool_box.pool.lend(
                box_id, lease.share, echo=lease.echo, now=at, is_first=lease.is_first
            )
            want = UsageWant(name=CREW, units=units)
            grant = pool_box.pool.give(want, self.known, at) if units else None
            if lease.pool == box_id:
                at_box(at, grant)
            else:
                self.send(lease.pool, box_id, lambda: at_box(at, grant))

        def at_box(stamp, grant):
            if self.by_id[box_id] is not box:
                return
            box.share.answered(lease.pool, stamp, box.clock(self.now))
            is_late = self.now - asked_at > 0.06
            if units and not state["done"] and not is_late:
                state["done"] = True
                if grant.units >= units:
                    self.taken.append((self.now, units))
                else:
                    self.refused += 1

        def overdue():
            if not state["done"] and self.by_id[box_id] is box:
                if box.paused_until <= self.now:
                    box.share.unanswered(lease.pool, box.clock(self.now))
                if units:
                    self.unanswered += 1

        if lease.pool == box_id:
            at_pool()
        else:
            self.send(box_id, lease.pool, at_pool)
        self.at(self.now + 0.06, overdue)

    # Load.

    def keep_leases(self, until, every=0.33, *, begin=0.0):
        for box_id in list(self.by_id):
            when = begin + self.rng.uniform(0, every)
            while when < until:
                self.at(when, lambda box_id=box_id: self.ask(box_id))
                when += every

    def load(self, begin, end, units_per_s, *, through=None, request=4000.0):
        """Requests of one size at random times through some boxes, or all."""
        when = begin
        while when < end:
            when += self.rng.expovariate(units_per_s / request)
            self.at(when, lambda: self.ask(self.rng.choice(through or self.live()), request))

    def most_in_a_window(self):
        """The most that was used in any window of the terms."""
        most = total = 0.0
        first = 0
        for when, units in self.taken:
            total += units
            while self.taken[first][0] <= when - self.terms.window_s:
                total -= self.taken[first][1]
                first += 1
            most = max(most, total)
        return most
