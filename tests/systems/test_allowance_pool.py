"""What a pool gives out, by the shares that were lent to it."""

from limit_world import CREW, TERMS, crew_limit

from croftchute.systems.allowance_pool import AllowancePool
from croftchute.tables.allowances import UsageWant
from croftchute.tables.organisations import Organisation

BOXES = 40


def given_in(seconds, share):
    """What a flood gets of a pool to which forty boxes lend such a share each."""
    limit = crew_limit()
    known = {CREW: Organisation(name=CREW, limit=limit)}
    pool = AllowancePool(terms=TERMS)
    given, now = 0.0, 100.0
    while now < 100.0 + seconds:
        for box in range(BOXES):
            pool.lend(f"b{box}", share, echo=now, now=now)
        want = UsageWant(organisation=CREW, units=4000.0)
        while units := pool.give(want, known, now).units:
            given += units
        now += 0.25
    return given / (limit.rate_per_s * seconds)


def test_shares_that_make_up_the_limit_bring_it_in():
    assert 0.9 < given_in(20.0, 1.0 / BOXES) <= 1.0


def test_boxes_that_count_too_few_others_bring_in_no_more_than_the_limit():
    """After a power loss of a whole fleet boxes know few others for seconds."""
    assert given_in(20.0, 4.0 / BOXES) <= 1.0
