"""Most new connections of a hall or a region at one box, by the size of the fleet.

Virtual time. A box runs its requests by turns of an event loop, each turn one step of every request
under way, so that a turn is as long as there are requests. The product's queue of connections and
its decision to stand back are compared with a box that reads each connection as it comes.
"""

from __future__ import annotations

import heapq
import itertools
import random
from collections.abc import Callable
from dataclasses import dataclass, field
from enum import StrEnum

from croftchute.systems.intake_queue import IntakeQueue
from croftchute.systems.overload import Overload

STEPS = 12
"""Turns that a request takes from its connection to the end of its answer."""

STEP_S = 0.0008
"""Seconds of half of a core that each step takes: such a box serves 104 requests a second."""

HALLS = 4
DEADLINE_S = 6.0
BEFORE_S = 3.0
CROWD_S = 9.0
CONTACT_S = 3.0
CROWD_SHARE = 0.9
POLL_S = 1.0
MISSES = 2


class IntakeWay(StrEnum):
    """How a box takes connections in."""

    PACED = "paced"
    READ_ALL = "read all"


class Scope(StrEnum):
    """Whose new connections go to one box."""

    HALL = "hall"
    REGION = "region"


@dataclass(frozen=True, kw_only=True, slots=True)
class SizeSpec:
    """One run: ``per_s`` is of each box before the crowd, in which ``press`` times as many come."""

    boxes: int
    per_s: float
    scope: Scope
    way: IntakeWay = IntakeWay.PACED
    press: float = 1.5
    seed: int = 1


@dataclass(frozen=True, kw_only=True, slots=True)
class SizeResult:
    """Shares of first tries read that were served, before the crowd and late in it.

    ``unserved`` is the share of all requests late in the crowd that no try served; ``most_out`` the
    most boxes that the balancer had out at a time.
    """

    before: float
    late: float
    unserved: float
    most_out: int


@dataclass(kw_only=True, eq=False)
class _Request:
    sent_at: float
    is_late: bool
    is_before: bool
    tries: int = 0
    steps: int = STEPS
    first_read: bool = False
    first_served: bool = False
    is_served: bool = False


@dataclass(kw_only=True)
class _Box:
    number: int
    way: IntakeWay
    queue: IntakeQueue[_Request] = field(default_factory=IntakeQueue)
    overload: Overload = field(default_factory=Overload)
    open: list[_Request] = field(default_factory=list)
    turn_s: float = 0.0
    is_running: bool = False
    misses: int = 0

    @property
    def hall(self) -> int:
        return self.number % HALLS


class _Fleet:
    def __init__(self, spec: SizeSpec) -> None:
        self.spec = spec
        self.rng = random.Random(spec.seed)
        self.boxes = [_Box(number=number, way=spec.way) for number in range(spec.boxes)]
        self.requests: list[_Request] = []
        self.most_out = 0
        self._events: list[tuple[float, int, Callable[[float], None]]] = []
        self._order = itertools.count()

    def at(self, when: float, work: Callable[[float], None]) -> None:
        heapq.heappush(self._events, (when, next(self._order), work))

    def run(self) -> None:
        self.at(0.0, self._send)
        self.at(POLL_S, self._poll)
        while self._events:
            now, _, work = heapq.heappop(self._events)
            work(now)

    def _send(self, now: float) -> None:
        spec = self.spec
        is_crowded = now >= BEFORE_S
        end = BEFORE_S + CROWD_S
        rate = spec.per_s * spec.boxes * (spec.press if is_crowded else 1.0)
        if now < end:
            self.at(now + self.rng.expovariate(rate), self._send)
            request = _Request(
                sent_at=now,
                is_late=now >= BEFORE_S + CONTACT_S,
                is_before=now < BEFORE_S,
            )
            self.requests.append(request)
            self._connect(request, self._choose(now), now)

    def _choose(self, now: float) -> _Box:
        usable = self._usable()
        hall = self.rng.randrange(HALLS)
        in_scope = self.spec.scope is Scope.REGION or hall == 0
        if now >= BEFORE_S and in_scope and self.rng.random() < CROWD_SHARE:
            return next(box for box in usable if box.hall == 0)
        return self.rng.choice([box for box in usable if box.hall == hall])

    def _usable(self) -> list[_Box]:
        usable = []
        for hall in range(HALLS):
            boxes = [box for box in self.boxes if box.hall == hall]
            ready = [box for box in boxes if box.misses < MISSES]
            usable += ready if 2 * len(ready) >= len(boxes) else boxes
        return usable

    def _connect(self, request: _Request, box: _Box, now: float) -> None:
        request.tries += 1
        if box.way is IntakeWay.READ_ALL:
            self._read(request, box)
        elif not box.queue.add(request, now):
            self._shed(request, box, now)
        self._start(box, now)

    def _read(self, request: _Request, box: _Box) -> None:
        request.first_read = request.tries == 1
        request.steps = STEPS
        box.open.append(request)

    def _shed(self, request: _Request, box: _Box, now: float) -> None:
        box.overload.note_shed(now)
        if request.tries == 1:
            others = [other for other in self._usable() if other is not box]
            self._connect(request, self.rng.choice(others or [box]), now)

    def _start(self, box: _Box, now: float) -> None:
        if not box.is_running:
            box.is_running = True
            box.turn_s = 0.0
            self.at(now, lambda at: self._turn(box, at))

    def _turn(self, box: _Box, now: float) -> None:
        request_to_read = box.queue.take_next(now, turn_s=box.turn_s)
        if request_to_read is not None:
            self._read(request_to_read, box)
        for request in box.queue.take_expired(now):
            self._shed(request, box, now)
        if not box.open and not box.queue:
            box.is_running = False
            return
        box.turn_s = max(STEP_S, STEP_S * len(box.open))
        still_open = []
        for request in box.open:
            request.steps -= 1
            has_left = now > request.sent_at + DEADLINE_S
            if request.steps == 0 and not has_left:
                request.is_served = True
                request.first_served = request.tries == 1
            elif not has_left:
                still_open.append(request)
        box.open = still_open
        self.at(now + box.turn_s, lambda at: self._turn(box, at))

    def _poll(self, now: float) -> None:
        for box in self.boxes:
            hall = [other for other in self.boxes if other.hall == box.hall]
            box.overload.decide(
                now,
                hall_boxes=len(hall),
                others_out=sum(
                    other.overload.is_standing_back for other in hall if other is not box
                ),
            )
            answers = box.turn_s < POLL_S and not box.overload.is_standing_back
            box.misses = 0 if answers else box.misses + 1
        out = sum(box.misses >= MISSES for box in self.boxes)
        self.most_out = max(self.most_out, out)
        if now < BEFORE_S + CROWD_S:
            self.at(now + POLL_S, self._poll)


def play(spec: SizeSpec) -> SizeResult:
    """Play one crowd and return what was served."""
    fleet = _Fleet(spec)
    fleet.run()
    before = [one.first_served for one in fleet.requests if one.is_before and one.first_read]
    late = [one for one in fleet.requests if one.is_late]
    read = [one.first_served for one in late if one.first_read]
    return SizeResult(
        before=_share(before),
        late=_share(read),
        unserved=1.0 - _share([one.is_served for one in late]),
        most_out=fleet.most_out,
    )


def _share(outcomes: list[bool]) -> float:
    return sum(outcomes) / len(outcomes) if outcomes else 0.0


SIZES = (8, 60, 200, 450)
RATES = (1.0, 2.0, 4.0)


def main() -> None:
    """Print a table by size, rate, scope and way."""
    print(
        "| boxes | a second and box | crowd of a | taken in | served of read before | late"
        " | unserved late, of all | most boxes out |\n|---|---|---|---|---|---|---|---|"
    )
    for boxes, rate, scope in itertools.product(SIZES, RATES, Scope):
        for way in (IntakeWay.READ_ALL, IntakeWay.PACED):
            found = play(SizeSpec(boxes=boxes, per_s=rate, scope=scope, way=way))
            print(
                f"| {boxes} | {rate:g} | {scope.value} | {way.value} | {found.before:.2f}"
                f" | {found.late:.2f} | {found.unserved:.3f} | {found.most_out} |",
                flush=True,
            )


if __name__ == "__main__":
    main()
