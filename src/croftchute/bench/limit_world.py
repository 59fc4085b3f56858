"""Boxes that keep limits by lent shares, in virtual time: loss, repeats, pauses, cuts, restarts.

The world carries askings and answers between the deciding parts alone; no sockets, no threads.
"""

from __future__ import annotations

import heapq
import itertools
import random
from collections.abc import Callable, Sequence
from dataclasses import dataclass, field
from functools import partial

from croftchute.systems.allowance_pool import AllowancePool
from croftchute.systems.fleet_size import FleetSize
from croftchute.systems.lent_share import LentShare
from croftchute.systems.usage_bucket import LimitTerms
from croftchute.tables.allowances import UsageGrant, UsageWant
from croftchute.tables.organisations import LimitUnit, Organisation, UsageLimit

TERMS = LimitTerms(window_s=8.0, overage=0.1, slack=190_000.0)
"""The terms under which organisations' limits are judged in a fleet of 78 boxes."""

CREW = "crew"
"""The name of what is limited in a world."""

LATE_S = 0.06
"""Seconds after which an asking counts as unanswered."""

RENEWAL_S = 0.33
"""Seconds between two renewals of a lease."""


def crew_limit(rate: float = 100_000.0, burst: float = 100_000.0) -> UsageLimit:
    """The limit of one organisation, in tokens."""
    return UsageLimit(rate_per_s=rate, burst=burst, unit=LimitUnit.TOKENS, default_tokens=200)


@dataclass
class Box:
    """One box: its share, the pool that it keeps, and its clock, which may start anywhere."""

    id: str
    started_at: float
    skew: float
    share: LentShare
    pool: AllowancePool
    paused_until: float = 0.0

    def clock(self, now: float) -> float:
        """The box's own clock."""
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

    def __post_init__(self) -> None:
        self.rng = random.Random(self.seed)
        self.now = 0.0
        self.order = itertools.count()
        self.due: list[tuple[float, int, Callable[[], object]]] = []
        self.by_id: dict[str, Box] = {}
        self.taken: list[tuple[float, float]] = []
        self.taken_by_box: dict[str, float] = {}
        self.asked = self.refused = self.unanswered = self.messages = 0
        self.apart: Callable[[str, str], bool] = lambda a, b: False  # noqa: ARG005
        self.is_dead: set[str] = set()
        for n in range(self.boxes):
            self.start(f"b{n}")

    @property
    def known(self) -> dict[str, Organisation]:
        """What is limited, by name."""
        return {CREW: Organisation(name=CREW, limit=self.limit)}

    def start(self, box_id: str) -> None:
        """Begin a life of a box, with nothing remembered."""
        skew = self.rng.uniform(0, 1000)
        started_at = self.now + skew
        self.by_id[box_id] = Box(
            id=box_id,
            started_at=self.now,
            skew=skew,
            share=LentShare(own_id=box_id, group=0, started_at=started_at),
            pool=AllowancePool(terms=self.terms),
        )
        self.is_dead.discard(box_id)

    def at(self, when: float, act: Callable[[], object]) -> None:
        """Do something at some time."""
        heapq.heappush(self.due, (when, next(self.order), act))

    def run(self, until: float) -> None:
        """Let all happen that is due."""
        while self.due and self.due[0][0] <= until:
            self.now, _, act = heapq.heappop(self.due)
            act()
        self.now = until

    # Messages.

    def send(self, source: str, target: str, act: Callable[[], None]) -> None:
        """Deliver something later, perhaps twice, perhaps never."""
        self.messages += 1
        copies = 2 if self.rng.random() < self.repeats else 1
        for _ in range(copies):
            if self.rng.random() < self.loss or self.apart(source, target):
                continue
            delay_s = self.rng.uniform(*self.delay_s)
            self.at(self.now + delay_s, lambda: self.deliver(target, act))

    def deliver(self, target: str, act: Callable[[], None]) -> None:
        """A message arrives, unless its box is gone; a paused box reads it later."""
        if target in self.is_dead or target not in self.by_id:
            return
        box = self.by_id[target]
        if box.paused_until > self.now:
            self.at(box.paused_until, lambda: self.deliver(target, act))
            return
        act()

    def suspend(self, box_id: str, seconds: float, *, stands_still: bool = False) -> None:
        """Suspend a box's machine; ``stands_still`` is a clock that does not count that time."""
        box = self.by_id[box_id]
        box.paused_until = self.now + seconds
        if stands_still:
            box.skew -= seconds

    def live(self) -> list[str]:
        """Boxes that were not lost."""
        return [box_id for box_id in self.by_id if box_id not in self.is_dead]

    def ask(self, box_id: str, units: float = 0.0) -> None:
        """A box asks its pool, for a request if ``units`` are named."""
        box = self.by_id[box_id]
        if box_id in self.is_dead or box.paused_until > self.now:
            return
        seen = [other for other in self.live() if not self.apart(box_id, other)]
        share = self.size.share(len(seen) if self.counts_by_sight else self.boxes)
        lease = box.share.renew_lease(seen, share, box.clock(self.now))
        asked_at = self.now
        state = {"done": False}
        if units:
            self.asked += 1

        def at_pool() -> None:
            pool_box = self.by_id[lease.pool]
            at = pool_box.clock(self.now)
            pool_box.pool.lend(
                box_id, lease.share, echo=lease.echo, now=at, is_first=lease.is_first
            )
            want = UsageWant(name=CREW, units=units)
            grant = pool_box.pool.grant(want, self.known, at) if units else None
            if lease.pool == box_id:
                at_box(at, grant)
            else:
                self.send(lease.pool, box_id, lambda: at_box(at, grant))

        def at_box(stamp: float, grant: UsageGrant | None) -> None:
            if self.by_id[box_id] is not box:
                return
            box.share.note_reply(lease.pool, stamp, box.clock(self.now))
            is_late = self.now - asked_at > LATE_S
            if units and not state["done"] and not is_late:
                state["done"] = True
                if grant is not None and grant.units >= units:
                    self.taken.append((self.now, units))
                    self.taken_by_box[box_id] = self.taken_by_box.get(box_id, 0.0) + units
                else:
                    self.refused += 1

        def overdue() -> None:
            if not state["done"] and self.by_id[box_id] is box:
                if box.paused_until <= self.now:
                    box.share.note_timeout(lease.pool, box.clock(self.now))
                if units:
                    self.unanswered += 1

        if lease.pool == box_id:
            at_pool()
        else:
            self.send(box_id, lease.pool, at_pool)
        self.at(self.now + LATE_S, overdue)

    # Load.

    def keep_leases(self, until: float, every: float = RENEWAL_S) -> None:
        """Have all boxes renew their leases."""
        for box_id in list(self.by_id):
            when = self.rng.uniform(0, every)
            while when < until:
                self.at(when, partial(self.ask, box_id))
                when += every

    def load(
        self,
        begin: float,
        end: float,
        units_per_s: float,
        *,
        through: Sequence[str] | None = None,
        request: float = 4000.0,
    ) -> None:
        """Requests of one size at random times through some boxes, or all."""
        when = begin
        while when < end:
            when += self.rng.expovariate(units_per_s / request)
            self.at(when, lambda: self.ask(self.rng.choice(through or self.live()), request))

    def most_in_a_window(self) -> float:
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
