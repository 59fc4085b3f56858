"""Which engines to move from one stage to the other, so that the busier of both is least busy.

Exact for few engines, greedy for many. Pure; work and speeds are in engines of the usual speed.
"""

from __future__ import annotations

import math
from collections import Counter
from collections.abc import Sequence
from dataclasses import dataclass
from itertools import combinations

MAX_EXACT = 12
"""Engines up to which all choices are compared: 2,048 at most, some milliseconds."""

MAX_EXCHANGES = 8
"""Most exchanges that refine a greedy choice: bounds the time; one or two are the rule."""

DIGITS = 9
"""Decimal places in which values are compared: sums in another order differ below."""


def ratio(work: float, speed: float) -> float:
    """Work over speed; infinite where nothing is there to do it.

    >>> ratio(3.0, 2.0), ratio(1.0, 0.0), ratio(0.0, 0.0)
    (1.5, inf, 0.0)
    """
    if work <= 0.0:
        return 0.0
    return work / speed if speed > 0.0 else math.inf


@dataclass(frozen=True, kw_only=True, slots=True)
class Candidate:
    """An engine that may be moved: the speed its stage loses, and what the other one gains."""

    id: str
    hall: str
    tokens: int
    given: float
    gained: float


@dataclass(frozen=True, kw_only=True, slots=True)
class Side:
    """A stage: the speed at which it would be just at its aim, and the speed that it has."""

    asked: float
    speed: float


@dataclass(frozen=True, kw_only=True, slots=True)
class _Choice:
    """Some candidates, with the summed speeds."""

    chosen: tuple[Candidate, ...] = ()
    given: float = 0.0
    gained: float = 0.0

    def with_one(self, candidate: Candidate) -> _Choice:
        return _Choice(
            chosen=(*self.chosen, candidate),
            given=self.given + candidate.given,
            gained=self.gained + candidate.gained,
        )


@dataclass(frozen=True, kw_only=True, slots=True)
class StageSearch:
    """One choice: ``spare`` is the most speed that the giving stage may lose.

    Among choices of the same value the one with fewest engines is taken, then the one that leaves
    decode workers most evenly over halls, then the one with fewest tokens in progress.
    """

    candidates: Sequence[Candidate]
    giver: Side
    taker: Side
    spare: float
    decodes_by_hall: Counter[str]
    is_to_decode: bool

    def best(self, *, most: int, is_exact: bool) -> list[str]:
        """Ids of the engines to move, at most so many; empty if none lowers the value."""
        choice = self._exact(most) if is_exact else self._greedy(most)
        return [candidate.id for candidate in choice.chosen]

    def value(self, choice: _Choice) -> float:
        """How far the busier stage is above its aim once the engines have moved."""
        giver, taker = self._values(choice)
        return round(max(giver, taker), DIGITS)

    def _values(self, choice: _Choice) -> tuple[float, float]:
        return (
            ratio(self.giver.asked, self.giver.speed - choice.given),
            ratio(self.taker.asked, self.taker.speed + choice.gained),
        )

    def _fits(self, choice: _Choice) -> bool:
        return choice.given <= self.spare + 10**-DIGITS

    def _exact(self, most: int) -> _Choice:
        best = _Choice()
        best_value, best_order = self.value(best), self._order(best)
        for number in range(1, min(most, len(self.candidates)) + 1):
            for chosen in combinations(self.candidates, number):
                choice = _Choice(
                    chosen=chosen,
                    given=sum(candidate.given for candidate in chosen),
                    gained=sum(candidate.gained for candidate in chosen),
                )
                value = self.value(choice)
                if value > best_value or not self._fits(choice):
                    continue
                order = self._order(choice)
                if (value, order) < (best_value, best_order):
                    best, best_value, best_order = choice, value, order
        return best

    def _greedy(self, most: int) -> _Choice:
        """The better of two: the largest gain each time, and the largest that leaves room for more.

        The first alone can take one engine that is too large where two smaller ones fit.
        """
        direct = self._added(_Choice(), most, may_cross=True)
        careful = self._added(_Choice(), most, may_cross=False)
        careful = self._added(careful, most, may_cross=True)
        choices = [self._exchanged(choice, most) for choice in (direct, careful)]
        return min(choices, key=lambda choice: (self.value(choice), self._order(choice)))

    def _added(self, choice: _Choice, most: int, *, may_cross: bool) -> _Choice:
        """Add the best engine while that lowers the value.

        Unless it ``may_cross``, the giving stage stays the less busy one.
        """
        while len(choice.chosen) < most:
            options = []
            for candidate in self._unlike(choice):
                longer = choice.with_one(candidate)
                giver, taker = self._values(longer)
                if self._fits(longer) and (may_cross or giver <= taker):
                    options.append((round(max(giver, taker), DIGITS), candidate.id, longer))
            if not options:
                break
            value, _, longer = min(options, key=lambda option: option[:2])
            if value >= self.value(choice):
                break
            choice = longer
        return choice

    def _unlike(self, choice: _Choice) -> list[Candidate]:
        """Of the engines not chosen, the first of each speed by hall and tokens in progress.

        Speeds are rounded, so that these are few however many engines there are.
        """
        sign = 1 if self.is_to_decode else -1
        halls = self.decodes_by_hall.copy()
        for candidate in choice.chosen:
            halls[candidate.hall] += sign
        chosen_ids = {candidate.id for candidate in choice.chosen}
        first_by_speed: dict[tuple[float, float], tuple[tuple[int, int, str], Candidate]] = {}
        for candidate in self.candidates:
            if candidate.id in chosen_ids:
                continue
            speed = (candidate.given, candidate.gained)
            rank = (sign * halls[candidate.hall], candidate.tokens, candidate.id)
            if speed not in first_by_speed or rank < first_by_speed[speed][0]:
                first_by_speed[speed] = (rank, candidate)
        return [candidate for _, candidate in first_by_speed.values()]

    def _exchanged(self, choice: _Choice, most: int) -> _Choice:
        """Exchange one or two engines for one or two others, while that lowers the value."""
        for _ in range(MAX_EXCHANGES):
            better = self._best_exchange(choice, most)
            if better is None:
                break
            choice = better
        return choice

    def _best_exchange(self, choice: _Choice, most: int) -> _Choice | None:
        out_by_speed = {(c.given, c.gained): c for c in choice.chosen}
        leaving, coming = list(out_by_speed.values()), self._unlike(choice)
        best_value = self.value(choice)
        best: tuple[tuple[Candidate, ...], tuple[Candidate, ...]] | None = None
        for outs, ins in ((1, 1), (1, 2), (2, 1)):
            if len(choice.chosen) - outs + ins > most:
                continue
            for gone in combinations(leaving, outs):
                given = choice.given - sum(c.given for c in gone)
                gained = choice.gained - sum(c.gained for c in gone)
                for new in combinations(coming, ins):
                    changed = _Choice(
                        given=given + sum(c.given for c in new),
                        gained=gained + sum(c.gained for c in new),
                    )
                    value = self.value(changed)
                    if value < best_value and self._fits(changed):
                        best_value, best = value, (gone, new)
        if best is None:
            return None
        gone, new = best
        exchanged = _Choice()
        for candidate in (*(c for c in choice.chosen if c not in gone), *new):
            exchanged = exchanged.with_one(candidate)
        return exchanged

    def _order(self, choice: _Choice) -> tuple[int, int, int, tuple[str, ...]]:
        """What decides between choices of the same value."""
        sign = 1 if self.is_to_decode else -1
        halls = self.decodes_by_hall.copy()
        for candidate in choice.chosen:
            halls[candidate.hall] += sign
        return (
            len(choice.chosen),
            sum(count * count for count in halls.values()),
            sum(candidate.tokens for candidate in choice.chosen),
            tuple(candidate.id for candidate in choice.chosen),
        )
