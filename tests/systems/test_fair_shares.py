"""Fair shares of scarce room: a flood by one organisation does not displace the others."""

import math

import pytest
from hypothesis import given
from hypothesis import strategies as st
from pytest import approx

from croftchute.systems.fair_shares import (
    HALF_LIFE_S,
    MAX_ORGANISATIONS_PER_NOTICE,
    OrganisationUse,
    fair_shares,
    share_usage,
    share_usage_by_name,
)
from croftchute.tables.peers import OrganisationUseNotice

names = st.sampled_from("abcdefgh")
amounts = st.floats(1.0, 1e6)
demands = st.dictionaries(names, amounts, min_size=1)


def uses(**asked_and_granted):
    return [
        OrganisationUseNotice(name=name, asked_tokens=asked, granted_tokens=granted)
        for name, (asked, granted) in asked_and_granted.items()
    ]


@given(demands, st.dictionaries(names, amounts), amounts)
def test_shares_sum_to_the_capacity_and_stay_within_the_demand(demand, weights, capacity):
    shares = fair_shares(demand, weights, capacity)
    assert sum(shares.values()) == approx(min(capacity, sum(demand.values())))
    assert all(shares[name] <= demand[name] * (1 + 1e-9) for name in demand)


@given(demands, amounts)
def test_a_demand_below_an_equal_part_is_met_in_full(demand, capacity):
    shares = fair_shares(demand, {}, capacity)
    for name, asked in demand.items():
        if asked <= capacity / len(demand):
            assert shares[name] == approx(asked)


@given(demands, amounts, st.floats(1.0, 50.0))
def test_a_larger_flood_takes_no_more_from_those_below_an_equal_part(demand, capacity, times):
    flooded = dict(demand)
    first = min(demand)
    flooded[first] *= times
    before, after = (fair_shares(asked, {}, capacity) for asked in (demand, flooded))
    part = capacity / len(demand)
    assert all(after[name] >= min(before[name], part) * (1 - 1e-9) for name in demand)


def test_three_floods_at_six_times_their_usual_rate_are_over_and_the_others_are_not():
    """Without shares, whoever asks most gets most, and other organisations pay for the floods."""
    known = uses(
        **{f"flood{n}": (60_000, 30_000) for n in range(3)},
        **{f"quiet{n}": (10_000, 5_000) for n in range(13)},
    )
    assert all(share_usage(f"flood{n}", known, {}).is_over for n in range(3))
    assert not any(share_usage(f"quiet{n}", known, {}).is_over for n in range(13))


def test_a_large_limit_gives_a_large_share():
    known = uses(large=(50_000, 40_000), small=(50_000, 10_000))
    assert share_usage("large", known, {}).is_over
    assert not share_usage("large", known, {"large": 80.0, "small": 20.0}).is_over


def test_the_first_request_of_an_organisation_is_within_its_share():
    known = uses(flood=(90_000, 40_000), quiet=(3_000, 0))
    assert not share_usage("quiet", known, {}).is_over
    assert not share_usage("never seen", known, {}).is_over


def test_no_organisation_is_over_its_share_while_room_is_not_short():
    known = uses(flood=(90_000, 89_000), quiet=(1_000, 1_000))
    assert not share_usage("flood", known, {}).is_over


def test_reports_of_several_boxes_are_summed():
    apart = uses(a=(10_000, 9_000)) + uses(a=(10_000, 9_000)) + uses(b=(20_000, 2_000))
    assert share_usage("a", apart, {}).used == approx(0.9)


def test_old_use_decays_and_is_dropped():
    use = OrganisationUse()
    use.note_asked("a", 1_000, 0.0)
    assert use.notices(HALF_LIFE_S)[0].asked_tokens == approx(500)
    assert use.notices(100 * HALF_LIFE_S) == ()


def test_a_notice_holds_the_largest_organisations():
    use = OrganisationUse()
    for number in range(1_000):
        use.note_asked(f"o{number}", 10 + number, 0.0)
    reported = use.notices(0.0)
    assert len(reported) == MAX_ORGANISATIONS_PER_NOTICE
    assert {entry.name for entry in reported} == {
        f"o{n}" for n in range(1_000 - MAX_ORGANISATIONS_PER_NOTICE, 1_000)
    }


@given(demands, st.dictionaries(names, st.floats(1e-12, 1e15)), amounts)
def test_weights_of_any_size_divide_the_capacity(demand, weights, capacity):
    """The remaining weight used to be found by subtraction. Next to a weight 16 digits larger it
    became 0, and the request failed with ZeroDivisionError.
    """
    shares = fair_shares(demand, weights, capacity)
    assert sum(shares.values()) == approx(min(capacity, sum(demand.values())))
    assert all(share >= 0.0 for share in shares.values())


def test_a_weight_that_is_tiny_next_to_another_does_not_divide_by_zero():
    """Guards against the division by zero with the values that first caused it."""
    assert fair_shares({"a": 5.0, "b": 5.0}, {"a": 1e16, "b": 1.0}, 4.0)["a"] == approx(4.0)


use_entries = st.lists(
    st.tuples(names, st.floats(0.0, 1e6), st.floats(0.0, 1e6)), min_size=1, max_size=30
)


def notices(rows):
    return [
        OrganisationUseNotice(name=name, asked_tokens=asked, granted_tokens=granted)
        for name, asked, granted in rows
    ]


@given(use_entries, st.dictionaries(names, st.floats(0.1, 1e5)))
def test_a_demand_below_its_weighted_part_is_never_over(rows, weights):
    """More granted than asked, as after a wait, used to exceed any share."""
    reported_uses = notices(rows)
    granted = sum(use.granted_tokens for use in reported_uses)
    known = [weights[name] for name in {use.name for use in reported_uses} if name in weights]
    default_weight = sum(known) / len(known) if known else 1.0
    weight_by_name = {use.name: weights.get(use.name, default_weight) for use in reported_uses}
    for name, usage in share_usage_by_name(reported_uses, weights).items():
        part = granted * weight_by_name[name] / sum(weight_by_name.values())
        wanted = sum(max(u.asked_tokens, u.granted_tokens) for u in reported_uses if u.name == name)
        assert not (wanted <= part and usage.is_over)
        assert usage == share_usage(name, reported_uses, weights)


@given(use_entries)
def test_shares_of_granted_tokens_sum_to_one(rows):
    """Guards against granted tokens that count for no organisation, or twice."""
    usages = share_usage_by_name(notices(rows), {})
    assert not usages or sum(usage.share for usage in usages.values()) == approx(1.0)
    assert not usages or sum(usage.used for usage in usages.values()) == approx(1.0)


@pytest.mark.parametrize("invalid", [math.nan, math.inf, -math.inf, -1.0, -1e300, 1e300])
def test_invalid_values_from_a_peer_are_ignored(invalid):
    """One NaN in a notice used to disable all shares, and a negative value was divided up."""
    known = uses(flood=(90_000, 40_000), quiet=(10_000, 5_000))
    for asked, granted in ((invalid, 1.0), (1.0, invalid), (invalid, invalid)):
        for name in ("flood", "quiet", "other"):
            reported = [*known, *uses(**{name: (asked, granted)})]
            assert share_usage_by_name(reported, {}) == share_usage_by_name(known, {})


def test_a_grant_decays_like_the_request_it_answers():
    """A request that waited 2 s used to count as granted 1.4 times what it had asked for."""
    use = OrganisationUse()
    use.note_asked("a", 1_000, 0.0)
    use.note_granted("a", 1_000, 2.0, waited_s=2.0)
    (entry,) = use.notices(2.0)
    assert entry.granted_tokens == approx(entry.asked_tokens)
