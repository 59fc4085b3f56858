"""Ranks of requests: derived from the configured priorities, and absent without any."""

from hypothesis import given
from hypothesis import strategies as st

from croftchute.systems.request_rank import MAX_RANKS, RequestRanks
from croftchute.tables.organisations import Organisation, Organisations
from croftchute.tables.routing import Route, RouteKind, RoutingTable, WeightedService, by_host

priorities = st.sets(st.integers(0, 9), min_size=1, max_size=5)


def route(name, priority, *, kind=RouteKind.STREAM, service="llm"):
    return Route(
        name=name,
        host="h",
        prefix=f"/{name}/",
        kind=kind,
        timeout_s=14.0,
        target_s=0.8,
        targets=(WeightedService(service=service, weight=1),),
        priority=priority,
    )


def table(*routes, organisations=None):
    return RoutingTable(
        version=1, routes_by_host=by_host(list(routes)), organisations=organisations
    )


@given(priorities, priorities)
def test_ranks_sort_by_organisation_before_route(organisations, routes):
    ranks = RequestRanks.from_priorities(routes, organisations)
    pairs = sorted((first, second) for first in organisations for second in routes)
    found = [ranks.rank(*pair) for pair in pairs]
    assert found == sorted(found)
    assert all(0 <= rank < MAX_RANKS for rank in found)


def test_priorities_of_other_services_and_of_plain_calls_define_no_order():
    """Guards against an order in a deployment whose streams all have the same priority."""
    known = table(
        route("a", 1),
        route("b", 1),
        route("c", 2, kind=RouteKind.ONCE),
        route("d", 3, service="other"),
    )
    assert not RequestRanks.from_table(known, "llm").is_ordered


def test_streams_of_different_priorities_are_ordered():
    ranks = RequestRanks.from_table(table(route("a", 0), route("b", 2)), "llm")
    assert ranks.is_ordered
    assert ranks.rank(None, 0) < ranks.rank(None, 2)


def test_organisations_without_a_priority_rank_between_the_others():
    organisations = Organisations(
        by_name={
            name: Organisation(name=name, priority=priority)
            for name, priority in (("first", 0), ("some", None), ("last", 9))
        }
    )
    ranks = RequestRanks.from_table(
        table(route("a", 0), route("b", 1), organisations=organisations), "llm"
    )
    assert ranks.rank(0, 1) < ranks.rank(None, 0) < ranks.rank(None, 1) < ranks.rank(9, 0)


def test_priorities_that_the_configuration_lacks_rank_last():
    """A request may have arrived under the previous configuration."""
    ranks = RequestRanks.from_table(table(route("a", 0), route("b", 1)), "llm")
    assert ranks.rank(None, 7) == ranks.count - 1
