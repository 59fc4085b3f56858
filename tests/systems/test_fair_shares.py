"""Fair shares of scarce room: a flood by one organisation is its own trouble."""

from hypothesis import given
from hypothesis import strategies as st
from pytest import approx

from croftchute.systems.fair_shares import (
    HALF_LIFE_S,
    MOST_TOLD,
    OrganisationUse,
    fair_shares,
    share_verdict,
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
def test_shares_add_up_and_nobody_gets_more_than_it_asked(demand, weights, capacity):
    shares = fair_shares(demand, weights, capacity)
    assert sum(shares.values()) == approx(min(capacity, sum(demand.values())))
    assert all(shares[name] <= demand[name] * (1 + 1e-9) for name in demand)


@given(demands, amounts)
def test_who_asks_for_less_than_its_part_gets_all_of_it(demand, capacity):
    shares = fair_shares(demand, {}, capacity)
    for name, asked in demand.items():
        if asked <= capacity / len(demand):
            assert shares[name] == approx(asked)


@given(demands, amounts, st.floats(1.0, 50.0))
def test_a_larger_flood_takes_nothing_more_from_others_below_their_part(demand, capacity, times):
    flooded = dict(demand)
    first = min(demand)
    flooded[first] *= times
    before, after = (fair_shares(asked, {}, capacity) for asked in (demand, flooded))
    part = capacity / len(demand)
    assert all(after[name] >= min(before[name], part) * (1 - 1e-9) for name in demand)


def test_three_floods_at_six_times_their_usual_are_over_and_the_quiet_are_not():
    """The fault: whoever asks most gets most, so quiet organisations paid for the floods."""
    known = uses(
        **{f"flood{n}": (60_000, 30_000) for n in range(3)},
        **{f"quiet{n}": (10_000, 5_000) for n in range(13)},
    )
    assert all(share_verdict(f"flood{n}", known, {}).is_over for n in range(3))
    assert not any(share_verdict(f"quiet{n}", known, {}).is_over for n in range(13))


def test_a_large_limit_is_a_large_share():
    known = uses(large=(50_000, 40_000), small=(50_000, 10_000))
    assert share_verdict("large", known, {}).is_over
    assert not share_verdict("large", known, {"large": 80.0, "small": 20.0}).is_over


def test_the_first_request_of_a_quiet_organisation_is_within_its_share():
    known = uses(flood=(90_000, 40_000), quiet=(3_000, 0))
    assert not share_verdict("quiet", known, {}).is_over
    assert not share_verdict("never seen", known, {}).is_over


def test_nobody_is_over_while_room_is_not_short():
    known = uses(flood=(90_000, 89_000), quiet=(1_000, 1_000))
    assert not share_verdict("flood", known, {}).is_over


def test_what_several_boxes_tell_is_summed():
    apart = uses(a=(10_000, 9_000)) + uses(a=(10_000, 9_000)) + uses(b=(20_000, 2_000))
    assert share_verdict("a", apart, {}).used == approx(0.9)


def test_old_use_fades_and_is_forgotten():
    use = OrganisationUse()
    use.note_asked("a", 1_000, 0.0)
    assert use.notices(HALF_LIFE_S)[0].asked_tokens == approx(500)
    assert use.notices(100 * HALF_LIFE_S) == ()


def test_a_notice_tells_of_the_largest_of_many():
    use = OrganisationUse()
    for number in range(1_000):
        use.note_asked(f"o{number}", 10 + number, 0.0)
    told = use.notices(0.0)
    assert len(told) == MOST_TOLD
    assert {entry.name for entry in told} == {f"o{n}" for n in range(1_000 - MOST_TOLD, 1_000)}
