"""Ranks of requests for the same engines, derived from the configured priorities."""

from __future__ import annotations

from collections.abc import Iterable
from dataclasses import dataclass, field
from typing import Self

from croftchute.tables.routing import RouteKind, RoutingTable

DEFAULT_PRIORITY = 5
"""Priority of an organisation without one: the middle of the engines' scale of ten."""

MAX_RANKS = 10
"""Largest number of ranks: the engines' scale has ten priorities."""

PriorityPair = tuple[int, int]


@dataclass(frozen=True, kw_only=True, slots=True)
class RequestRanks:
    """Ranks of the streams to one service; 0 is the most urgent.

    A rank is the position of a pair of priorities, sorted by the organisation's priority, then by
    the route's. If all streaming routes have the same priority, the operator has configured no
    order and ``is_ordered`` is false.
    """

    is_ordered: bool = False
    rank_by_priorities: dict[PriorityPair, int] = field(default_factory=dict)

    @classmethod
    def from_table(cls, table: RoutingTable, service: str) -> Self:
        """Return the ranks that a configuration gives to the streams to a service."""
        routes = {
            route.priority
            for group in table.routes_by_host.values()
            for route in group
            if route.kind is RouteKind.STREAM
            and any(target.service == service for target in route.targets)
        }
        return cls.from_priorities(routes, _organisation_priorities(table))

    @classmethod
    def from_priorities(cls, routes: Iterable[int], organisations: Iterable[int | None]) -> Self:
        """Return the ranks of all pairs of route and organisation priorities.

        >>> ranks = RequestRanks.from_priorities({0, 2}, {None, 1})
        >>> ranks.rank(1, 0), ranks.rank(1, 2), ranks.rank(None, 0), ranks.rank(None, 2)
        (0, 1, 2, 3)
        >>> RequestRanks.from_priorities({1}, {0, 1}).is_ordered
        False
        """
        by_route = sorted(set(routes))
        by_organisation = sorted({_priority_or_default(priority) for priority in organisations})
        pairs = [(first, second) for first in by_organisation for second in by_route]
        ranks = {pair: min(position, MAX_RANKS - 1) for position, pair in enumerate(pairs)}
        return cls(is_ordered=len(by_route) > 1, rank_by_priorities=ranks)

    @property
    def count(self) -> int:
        """Number of ranks."""
        return 1 + max(self.rank_by_priorities.values(), default=0)

    def rank(self, organisation_priority: int | None, route_priority: int) -> int:
        """Return the rank of a request; pairs that the configuration lacks go last."""
        return self.rank_by_priorities.get(
            (_priority_or_default(organisation_priority), route_priority), self.count - 1
        )


def _priority_or_default(priority: int | None) -> int:
    return DEFAULT_PRIORITY if priority is None else priority


def _organisation_priorities(table: RoutingTable) -> set[int | None]:
    """Return the priorities of all organisations, with None for requests that have none."""
    if table.organisations is None:
        return {None}
    stated = {organisation.priority for organisation in table.organisations.by_name.values()}
    is_open = any(
        route.allows_anonymous for group in table.routes_by_host.values() for route in group
    )
    return stated | {None} if is_open or not stated else stated
