"""The order among requests for the same engines, by the priorities that a configuration states."""

from __future__ import annotations

from collections.abc import Iterable
from dataclasses import dataclass, field
from typing import Self

from croftchute.tables.routing import RouteKind, RoutingTable

DEFAULT_PRIORITY = 5
"""Priority of an organisation that states none: the middle of the scale of engines."""

MAX_RANKS = 10
"""Ranks that are told apart: as many as the engines' scale of priorities has."""

PriorityPair = tuple[int, int]


@dataclass(frozen=True, kw_only=True, slots=True)
class RequestRanks:
    """The ranks of the streams to one service; 0 is the most urgent.

    A rank is the place of a pair of priorities, the organisation's before the route's. Where all
    streaming routes have one priority, the operator states no order and ``is_ordered`` is false.
    """

    is_ordered: bool = False
    rank_by_priorities: dict[PriorityPair, int] = field(default_factory=dict)

    @classmethod
    def of_service(cls, table: RoutingTable, service: str) -> Self:
        """The ranks that a configuration gives to the streams to a service."""
        routes = {
            route.priority
            for group in table.routes_by_host.values()
            for route in group
            if route.kind is RouteKind.STREAM
            and any(target.service == service for target in route.targets)
        }
        return cls.of_priorities(routes, _organisation_priorities(table))

    @classmethod
    def of_priorities(cls, routes: Iterable[int], organisations: Iterable[int | None]) -> Self:
        """The ranks of all pairs of some priorities.

        >>> ranks = RequestRanks.of_priorities({0, 2}, {None, 1})
        >>> ranks.rank(1, 0), ranks.rank(1, 2), ranks.rank(None, 0), ranks.rank(None, 2)
        (0, 1, 2, 3)
        >>> RequestRanks.of_priorities({1}, {0, 1}).is_ordered
        False
        """
        by_route = sorted(set(routes))
        by_organisation = sorted({_priority_or_default(priority) for priority in organisations})
        pairs = [(first, second) for first in by_organisation for second in by_route]
        ranks = {pair: min(position, MAX_RANKS - 1) for position, pair in enumerate(pairs)}
        return cls(is_ordered=len(by_route) > 1, rank_by_priorities=ranks)

    @property
    def count(self) -> int:
        """How many ranks there are."""
        return 1 + max(self.rank_by_priorities.values(), default=0)

    def rank(self, organisation_priority: int | None, route_priority: int) -> int:
        """The rank of a request by both priorities; pairs of another configuration go last."""
        return self.rank_by_priorities.get(
            (_priority_or_default(organisation_priority), route_priority), self.count - 1
        )


def _priority_or_default(priority: int | None) -> int:
    return DEFAULT_PRIORITY if priority is None else priority


def _organisation_priorities(table: RoutingTable) -> set[int | None]:
    """The priorities of all organisations, and None for requests that belong to none."""
    if table.organisations is None:
        return {None}
    stated = {organisation.priority for organisation in table.organisations.by_name.values()}
    is_open = any(
        route.allows_anonymous for group in table.routes_by_host.values() for route in group
    )
    return stated | {None} if is_open or not stated else stated
