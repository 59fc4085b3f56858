"""Arrivals past the first over all boxes, by the size of the fleet, in virtual time.

Boxes with the product's budgets and ledgers serve requests whose calls are not answered, rejected
or broken off by drawn lots, while boxes are killed and halls are cut off. What arrives is counted
apart from the boxes and held against the users' bound. The other way counts as boxes did before
calls that no worker takes up were counted: by boxes heard, each life anew.
"""

from __future__ import annotations

import heapq
import itertools
import random
from bisect import bisect_left, bisect_right
from collections.abc import Iterator
from dataclasses import dataclass, field
from enum import StrEnum
from typing import Protocol

from croftchute.systems.arrival_ledger import ArrivalLedger
from croftchute.systems.fleet_size import FleetSize
from croftchute.systems.retry_budget import RetryLimits, RetryWindow, rounding_of

WINDOW_S = 10.0
RATIO = 0.2
HALLS = 3
SILENT_S = 0.6
"""Seconds for which a prefill worker is waited for."""

CALL_S = 0.1
"""Seconds that other calls take until their outcome is known."""

RESTART_S = 1.0
LONG_HEARD_S = 12.0
OLD_SAFETY_FACTOR = 0.7
MAX_ATTEMPTS = 2


class CountWay(StrEnum):
    """How boxes count."""

    LEDGER = "ledger"
    BY_BOXES_HEARD = "by boxes heard"


@dataclass(frozen=True, kw_only=True, slots=True)
class BudgetSpec:
    """One run: ``per_s`` requests over all boxes; shares are of calls that end in that way.

    ``kills`` are the times at which ``killed`` of the boxes are, ``cut`` when one hall is cut off.
    """

    boxes: int
    per_s: float
    slack: float
    way: CountWay = CountWay.LEDGER
    silent_prefill: float = 0.3
    rejected_prefill: float = 0.2
    rejected: float = 0.3
    broken: float = 0.1
    kills: tuple[float, ...] = (15.0, 20.0, 25.0)
    killed: float = 0.6
    cut: tuple[float, float] = (10.0, 34.0)
    seconds: float = 45.0
    seed: int = 1


@dataclass(frozen=True, kw_only=True, slots=True)
class BudgetResult:
    """Most arrivals past the first in a window, the bound there, and requests that were refused.

    ``needless`` are refusals for the budget while all boxes together had a tenth of the bound left.
    """

    requests: int
    excess: int
    most: int
    allowed: float
    worst_use: float
    refused: int
    needless: int


class BudgetBox(Protocol):
    """What one life of a box decides."""

    def begin_request(self, now: float) -> None:
        """Count a request."""
        ...

    def may_read_ahead(self, now: float) -> bool:
        """Return whether the prompt may be read by a prefill worker."""
        ...

    def note_prefill(self, outcome: str) -> None:
        """Take in how that call ended."""
        ...

    def may_send(self, now: float) -> bool:
        """Return whether the request may be sent to a decode worker."""
        ...

    def end_request(self) -> None:
        """Return what was not needed."""
        ...


@dataclass(kw_only=True)
class _Life:
    """One life of a box: its budget, and what it knows of the fleet."""

    name: str
    begun_at: float
    is_first: bool
    window: RetryWindow
    heard: int
    recorded: FleetSize


@dataclass(kw_only=True)
class _LedgerBox:
    """Counts as the product does."""

    life: _Life
    ledger: ArrivalLedger = field(default_factory=ArrivalLedger)

    def begin_request(self, now: float) -> None:
        self.life.window.note_request(now)

    def _claim(self, now: float, calls_behind: int) -> bool:
        life = self.life
        is_young = now - life.begun_at < WINDOW_S and not life.is_first
        share = 0.0 if is_young else life.recorded.share(life.heard)
        return self.ledger.claim(life.window, now, share=share, calls_behind=calls_behind)

    def may_read_ahead(self, now: float) -> bool:
        return self._claim(now, 1)

    def note_prefill(self, outcome: str) -> None:
        if outcome == "read":
            self.ledger.note_prompt_read()
            self.life.window.refund(self.ledger.take_surplus(upcoming=1))

    def may_send(self, now: float) -> bool:
        return self._claim(now, 0)

    def end_request(self) -> None:
        self.life.window.refund(self.ledger.take_surplus())


@dataclass(kw_only=True)
class _HeardBox:
    """Divides the slack by the boxes heard, and takes calls that are not answered for none."""

    life: _Life
    deliveries: int = 0

    def begin_request(self, now: float) -> None:
        self.life.window.note_request(now)

    def _spend(self, now: float) -> bool:
        window = self.life.window
        window.left(now, share=0.0)
        limits = window.limits
        share = limits.slack / self.life.heard
        allowed = OLD_SAFETY_FACTOR * (limits.ratio * len(window.request_times) + share)
        if len(window.retry_times) + 1 > allowed:
            return False
        window.retry_times.append(now)
        return True

    def may_read_ahead(self, now: float) -> bool:
        return self.deliveries == 0 or self._spend(now)

    def note_prefill(self, outcome: str) -> None:
        self.deliveries += outcome == "rejected"

    def may_send(self, now: float) -> bool:
        if self.deliveries > 0 and not self._spend(now):
            return False
        self.deliveries += 1
        return True

    def end_request(self) -> None:
        """Nothing is returned."""


@dataclass(kw_only=True)
class _Fleet:
    """All boxes, and what arrives at the workers."""

    spec: BudgetSpec
    rng: random.Random
    lives: list[_Life] = field(default_factory=list)
    requested_at: list[float] = field(default_factory=list)
    excess_at: list[float] = field(default_factory=list)
    refused_at: list[float] = field(default_factory=list)
    is_cut: bool = False

    def __post_init__(self) -> None:
        self.lives = [self._new_life(number, -1e9) for number in range(self.spec.boxes)]

    def _new_life(self, number: int, now: float) -> _Life:
        spec = self.spec
        name = f"edge-{number}"
        limits = RetryLimits(ratio=RATIO, window_s=WINDOW_S, slack=spec.slack)
        return _Life(
            name=name,
            begun_at=now,
            is_first=now < 0.0,
            window=RetryWindow(limits=limits, rounding=rounding_of(name)),
            heard=self._heard(number),
            recorded=FleetSize(recorded=spec.boxes),
        )

    def _heard(self, number: int) -> int:
        """How many boxes a box hears: in a cut those on its side of it."""
        if not self.is_cut:
            return self.spec.boxes
        in_cut = len(range(0, self.spec.boxes, HALLS))
        return in_cut if number % HALLS == 0 else self.spec.boxes - in_cut

    def kill(self, now: float) -> None:
        for number in self.rng.sample(
            range(self.spec.boxes), int(self.spec.killed * self.spec.boxes)
        ):
            self.lives[number] = self._new_life(number, now + RESTART_S)

    def cut(self, is_cut: bool) -> None:
        self.is_cut = is_cut
        for number, life in enumerate(self.lives):
            life.heard = self._heard(number)

    def request(self, now: float) -> Iterator[float]:
        """Serve one request; yields the seconds until each next step."""
        spec, rng = self.spec, self.rng
        self.requested_at.append(now)
        life = rng.choice(self.lives)
        if life.begun_at > now:
            return
        box: BudgetBox
        if spec.way is CountWay.LEDGER:
            box = _LedgerBox(life=life)
        else:
            box = _HeardBox(life=life)
        box.begin_request(now)
        counted = 0
        for _ in range(MAX_ATTEMPTS):
            if not box.may_read_ahead(now):
                break
            outcome = self._prefill_outcome()
            box.note_prefill(outcome)
            if outcome == "read":
                break
            counted = self._arrive(now, counted)
            wait_s = SILENT_S if outcome == "silent" else CALL_S
            now += wait_s
            yield wait_s
            if outcome == "silent":
                break
        for _ in range(MAX_ATTEMPTS):
            if not box.may_send(now):
                self.refused_at.append(now)
                break
            counted = self._arrive(now, counted)
            if rng.random() >= spec.rejected + spec.broken:
                break
            now += CALL_S
            yield CALL_S
        box.end_request()

    def _prefill_outcome(self) -> str:
        drawn = self.rng.random()
        if drawn < self.spec.silent_prefill:
            return "silent"
        return (
            "rejected" if drawn < self.spec.silent_prefill + self.spec.rejected_prefill else "read"
        )

    def _arrive(self, now: float, counted: int) -> int:
        if counted > 0:
            self.excess_at.append(now)
        return counted + 1


def play(spec: BudgetSpec) -> BudgetResult:
    """Play one run and hold what arrived against the bound."""
    rng = random.Random(spec.seed)
    fleet = _Fleet(spec=spec, rng=rng)
    order = itertools.count()
    events: list[tuple[float, int, str, Iterator[float] | None]] = []

    def schedule(at: float, kind: str, work: Iterator[float] | None = None) -> None:
        heapq.heappush(events, (at, next(order), kind, work))

    schedule(0.0, "request")
    for at in spec.kills:
        schedule(at, "kill")
    for at in spec.cut:
        schedule(at, "cut")
    while events:
        now, _, kind, work = heapq.heappop(events)
        if kind == "kill":
            fleet.kill(now)
        elif kind == "cut":
            fleet.cut(not fleet.is_cut)
        else:
            if kind == "request":
                work = fleet.request(now)
                if now < spec.seconds:
                    schedule(now + rng.expovariate(spec.per_s), "request")
            assert work is not None
            wait_s = next(work, None)
            if wait_s is not None:
                schedule(now + wait_s, "step", work)
    return _judge(fleet)


def _judge(fleet: _Fleet) -> BudgetResult:
    """Hold the arrivals of each window against the users' bound."""
    requests, excess = fleet.requested_at, sorted(fleet.excess_at)

    def between(times: list[float], end: float) -> int:
        return bisect_right(times, end) - bisect_left(times, end - WINDOW_S)

    def bound(end: float) -> float:
        most = max(between(requests, end - shift) for shift in (0.0, WINDOW_S / 2, WINDOW_S))
        return RATIO * most + fleet.spec.slack

    worst = max(excess, key=lambda at: between(excess, at) / bound(at), default=0.0)
    needless = sum(between(excess, at) < 0.9 * bound(at) for at in fleet.refused_at)
    return BudgetResult(
        requests=len(requests),
        excess=len(excess),
        most=between(excess, worst),
        allowed=bound(worst),
        worst_use=between(excess, worst) / bound(worst),
        refused=len(fleet.refused_at),
        needless=needless,
    )


def slack_of(boxes: int) -> float:
    """Return the constant for a fleet, as the users' deployments have it by their size.

    >>> slack_of(8), slack_of(60)
    (56.0, 160.0)
    """
    return 40.0 + 2.0 * boxes


SIZES = (8, 60, 200, 450)
RATES = (0.3, 1.0, 4.0)
"""Requests a second and box."""


def main() -> None:
    """Print a table by way, size and rate."""
    print(
        "| boxes | a second and box | counted | requests | most past the first in 10 s | allowed"
        " | refused for the budget | of these with a tenth left over all boxes |\n"
        "|---|---|---|---|---|---|---|---|"
    )
    for boxes, rate in itertools.product(SIZES, RATES):
        for way in (CountWay.BY_BOXES_HEARD, CountWay.LEDGER):
            spec = BudgetSpec(boxes=boxes, per_s=rate * boxes, slack=slack_of(boxes), way=way)
            found = play(spec)
            print(
                f"| {boxes} | {rate:g} | {way.value} | {found.requests} | {found.most}"
                f" | {found.allowed:.0f} | {found.refused} | {found.needless} |",
                flush=True,
            )


if __name__ == "__main__":
    main()
