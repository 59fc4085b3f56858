"""Choose the engines to move between stages to minimize the overload of the split.

The overload is the larger ratio of utilization to target among both stages. Engines move from the
donor stage to the receiver stage. The search is exact for few engines and greedy for many. It has
no side effects. Work and speed are in engines of the usual speed.
"""

from __future__ import annotations

import math
from collections import Counter
from collections.abc import Sequence
from dataclasses import dataclass
from itertools import combinations

MAX_EXACT_ENGINES = 12
"""Maximum number of engines for exact search: up to 2,048 choices, in some milliseconds."""

MAX_EXCHANGES = 8
"""Maximum number of exchanges that refine a greedy choice. This bounds the time; one or two are
usual."""

OVERLOAD_DECIMALS = 9
"""Number of decimals in which overloads are compared. Further digits depend on the order of
summation."""


def work_over_speed(work: float, speed: float) -> float:
    """Return work over speed; infinite if there is work but no speed.

    >>> work_over_speed(3.0, 2.0), work_over_speed(1.0, 0.0), work_over_speed(0.0, 0.0)
    (1.5, inf, 0.0)
    """
    if work <= 0.0:
        return 0.0
    return work / speed if speed > 0.0 else math.inf


@dataclass(frozen=True, kw_only=True, slots=True)
class Candidate:
    """An engine that may move: the speed lost by its stage, and gained by the other one."""

    id: str
    hall: str
    tokens: int
    speed_lost: float
    speed_gained: float


@dataclass(frozen=True, kw_only=True, slots=True)
class StageSpeed:
    """The summed speed of a stage, and the speed at which it would exactly meet its target."""

    required_speed: float
    speed: float


@dataclass(frozen=True, kw_only=True, slots=True)
class _Choice:
    """Chosen candidates with their summed speeds."""

    chosen: tuple[Candidate, ...] = ()
    speed_lost: float = 0.0
    speed_gained: float = 0.0

    def with_candidate(self, candidate: Candidate) -> _Choice:
        return _Choice(
            chosen=(*self.chosen, candidate),
            speed_lost=self.speed_lost + candidate.speed_lost,
            speed_gained=self.speed_gained + candidate.speed_gained,
        )


@dataclass(frozen=True, kw_only=True, slots=True)
class StageSearch:
    """Search for the engines to move from the donor stage to the receiver stage.

    ``max_speed_lost`` is the highest summed speed that the donor stage may lose. Among choices of
    equal overload the search takes the one with the fewest engines, then the one that spreads
    decode workers most evenly over halls, then the one with the fewest tokens in progress.
    """

    candidates: Sequence[Candidate]
    donor: StageSpeed
    receiver: StageSpeed
    max_speed_lost: float
    decodes_by_hall: Counter[str]
    adds_decode_workers: bool

    def best_ids(self, *, max_count: int, is_exact: bool) -> list[str]:
        """Return the ids of at most ``max_count`` engines to move; empty if no move helps."""
        choice = self._search_exact(max_count) if is_exact else self._search_greedy(max_count)
        return [candidate.id for candidate in choice.chosen]

    def overload(self, choice: _Choice) -> float:
        """Return the larger ratio of utilization to target among both stages after the moves."""
        donor, receiver = self._overloads(choice)
        return round(max(donor, receiver), OVERLOAD_DECIMALS)

    def _overloads(self, choice: _Choice) -> tuple[float, float]:
        return (
            work_over_speed(self.donor.required_speed, self.donor.speed - choice.speed_lost),
            work_over_speed(
                self.receiver.required_speed, self.receiver.speed + choice.speed_gained
            ),
        )

    def _fits(self, choice: _Choice) -> bool:
        return choice.speed_lost <= self.max_speed_lost + 10**-OVERLOAD_DECIMALS

    def _search_exact(self, max_count: int) -> _Choice:
        best = _Choice()
        best_overload, best_tie_break = self.overload(best), self._tie_break(best)
        for number in range(1, min(max_count, len(self.candidates)) + 1):
            for chosen in combinations(self.candidates, number):
                choice = _Choice(
                    chosen=chosen,
                    speed_lost=sum(candidate.speed_lost for candidate in chosen),
                    speed_gained=sum(candidate.speed_gained for candidate in chosen),
                )
                overload = self.overload(choice)
                if overload > best_overload or not self._fits(choice):
                    continue
                tie_break = self._tie_break(choice)
                if (overload, tie_break) < (best_overload, best_tie_break):
                    best, best_overload, best_tie_break = choice, overload, tie_break
        return best

    def _search_greedy(self, max_count: int) -> _Choice:
        """Return the better of two greedy choices.

        One takes the engine with the largest gain in each step. It can take one fast engine where
        two slower ones would be better. The other therefore first takes only engines that keep the
        donor stage no more overloaded than the receiver.
        """
        direct = self._extend(_Choice(), max_count, may_overload_donor=True)
        careful = self._extend(_Choice(), max_count, may_overload_donor=False)
        careful = self._extend(careful, max_count, may_overload_donor=True)
        choices = [self._refine(choice, max_count) for choice in (direct, careful)]
        return min(choices, key=lambda choice: (self.overload(choice), self._tie_break(choice)))

    def _extend(self, choice: _Choice, max_count: int, *, may_overload_donor: bool) -> _Choice:
        """Add the best engine while that lowers the overload.

        Unless ``may_overload_donor`` is set, the donor stage stays no more overloaded than the
        receiver.
        """
        while len(choice.chosen) < max_count:
            options = []
            for candidate in self._distinct_candidates(choice):
                longer = choice.with_candidate(candidate)
                donor, receiver = self._overloads(longer)
                if self._fits(longer) and (may_overload_donor or donor <= receiver):
                    options.append(
                        (round(max(donor, receiver), OVERLOAD_DECIMALS), candidate.id, longer)
                    )
            if not options:
                break
            overload, _, longer = min(options, key=lambda option: option[:2])
            if overload >= self.overload(choice):
                break
            choice = longer
        return choice

    def _distinct_candidates(self, choice: _Choice) -> list[Candidate]:
        """Return the best remaining engine of each speed, by hall and tokens in progress.

        Speeds are rounded, so that there are few distinct ones even among many engines.
        """
        sign = 1 if self.adds_decode_workers else -1
        halls = self.decodes_by_hall.copy()
        for candidate in choice.chosen:
            halls[candidate.hall] += sign
        chosen_ids = {candidate.id for candidate in choice.chosen}
        first_by_speed: dict[tuple[float, float], tuple[tuple[int, int, str], Candidate]] = {}
        for candidate in self.candidates:
            if candidate.id in chosen_ids:
                continue
            speed = (candidate.speed_lost, candidate.speed_gained)
            rank = (sign * halls[candidate.hall], candidate.tokens, candidate.id)
            if speed not in first_by_speed or rank < first_by_speed[speed][0]:
                first_by_speed[speed] = (rank, candidate)
        return [candidate for _, candidate in first_by_speed.values()]

    def _refine(self, choice: _Choice, max_count: int) -> _Choice:
        """Exchange one or two engines for one or two others while that lowers the overload."""
        for _ in range(MAX_EXCHANGES):
            better = self._best_exchange(choice, max_count)
            if better is None:
                break
            choice = better
        return choice

    def _best_exchange(self, choice: _Choice, max_count: int) -> _Choice | None:
        out_by_speed = {(c.speed_lost, c.speed_gained): c for c in choice.chosen}
        leaving, coming = list(out_by_speed.values()), self._distinct_candidates(choice)
        best_overload = self.overload(choice)
        best: tuple[tuple[Candidate, ...], tuple[Candidate, ...]] | None = None
        for removed_count, added_count in ((1, 1), (1, 2), (2, 1)):
            if len(choice.chosen) - removed_count + added_count > max_count:
                continue
            for removed in combinations(leaving, removed_count):
                speed_lost = choice.speed_lost - sum(c.speed_lost for c in removed)
                speed_gained = choice.speed_gained - sum(c.speed_gained for c in removed)
                for added in combinations(coming, added_count):
                    changed = _Choice(
                        speed_lost=speed_lost + sum(c.speed_lost for c in added),
                        speed_gained=speed_gained + sum(c.speed_gained for c in added),
                    )
                    overload = self.overload(changed)
                    if overload < best_overload and self._fits(changed):
                        best_overload, best = overload, (removed, added)
        if best is None:
            return None
        removed, added = best
        exchanged = _Choice()
        for candidate in (*(c for c in choice.chosen if c not in removed), *added):
            exchanged = exchanged.with_candidate(candidate)
        return exchanged

    def _tie_break(self, choice: _Choice) -> tuple[int, int, int, tuple[str, ...]]:
        """Return the key that decides between choices of equal overload."""
        sign = 1 if self.adds_decode_workers else -1
        halls = self.decodes_by_hall.copy()
        for candidate in choice.chosen:
            halls[candidate.hall] += sign
        return (
            len(choice.chosen),
            sum(count * count for count in halls.values()),
            sum(candidate.tokens for candidate in choice.chosen),
            tuple(candidate.id for candidate in choice.chosen),
        )
