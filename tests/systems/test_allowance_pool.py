"""What a pool grants for the shares that were lent to it."""

import random

from croftchute.bench.limit_world import CREW, TERMS, crew_limit
from croftchute.forwarding.boxes.worker_permits import KEPT_BACK_A_RANK, WORKER_TERMS, usage_limit
from croftchute.systems.allowance_pool import AllowancePool
from croftchute.tables.allowances import UsageWant
from croftchute.tables.organisations import Organisation

BOXES = 40


def granted_ratio(seconds, share):
    """Return the ratio of the limit granted under overload if forty boxes each lend ``share``."""
    limit = crew_limit()
    known = {CREW: Organisation(name=CREW, limit=limit)}
    pool = AllowancePool(terms=TERMS)
    given, now = 0.0, 100.0
    while now < 100.0 + seconds:
        for box in range(BOXES):
            pool.lend(f"b{box}", share, echo=now, now=now)
        want = UsageWant(name=CREW, units=4000.0)
        while units := pool.grant(want, known, now).units:
            given += units
        now += 0.25
    return given / (limit.rate_per_s * seconds)


def test_shares_that_sum_to_the_limit_grant_the_limit():
    assert 0.9 < granted_ratio(20.0, 1.0 / BOXES) <= 1.0


def test_boxes_that_count_too_few_others_do_not_exceed_the_limit():
    """After a power loss of the whole fleet, boxes know few others for some seconds."""
    assert granted_ratio(20.0, 4.0 / BOXES) <= 1.0


def granted_at_once(pool, now=100.0):
    """Return what an organisation is granted in one moment, in requests of 100 units."""
    known = {CREW: Organisation(name=CREW, limit=crew_limit())}
    want = UsageWant(name=CREW, units=100.0)
    given = 0.0
    while units := pool.grant(want, known, now).units:
        given += units
    return given


def lend_all(pool, *, is_first, now=100.0):
    for box in range(BOXES):
        pool.lend(f"b{box}", 1.0 / BOXES, echo=now, now=now, is_first=is_first)


def test_shares_of_just_started_boxes_add_the_start_credit():
    pool = AllowancePool(terms=TERMS)
    lend_all(pool, is_first=True)
    credit = TERMS.start_credit(crew_limit())
    assert credit - 100.0 <= granted_at_once(pool) <= credit


def test_shares_moved_from_another_pool_add_no_credit():
    pool = AllowancePool(terms=TERMS)
    lend_all(pool, is_first=False)
    assert granted_at_once(pool) == 0.0


def test_repeated_first_share_adds_no_more_credit():
    pool = AllowancePool(terms=TERMS)
    lend_all(pool, is_first=True)
    granted_at_once(pool)
    lend_all(pool, is_first=True)
    assert granted_at_once(pool) == 0.0
    now = 100.0
    while now < 110.0:
        now += 0.25
        lend_all(pool, is_first=True, now=now)
    saved = crew_limit().rate_per_s * 10.0
    assert granted_at_once(pool, now) <= min(saved, TERMS.capacity(crew_limit()))


def test_more_urgent_requests_get_scarce_units_first():
    limit = usage_limit(2.0)
    known = {CREW: Organisation(name=CREW, limit=limit)}
    pool = AllowancePool(terms=WORKER_TERMS)
    urgent = UsageWant(name=CREW, units=1.0)
    patient = UsageWant(name=CREW, units=1.0, kept_back=KEPT_BACK_A_RANK)
    given, asked = {urgent: 0, patient: 0}, {urgent: 0, patient: 0}
    rng, now = random.Random(1), 100.0
    while now < 160.0:
        pool.lend("b1", 1.0, echo=now, now=now)
        now += 0.1
        for want, per_s in ((patient, 8.0), (urgent, 1.0)):
            if rng.random() < per_s * 0.1:
                asked[want] += 1
                given[want] += bool(pool.grant(want, known, now).units)
    assert given[urgent] >= 0.8 * asked[urgent]
    assert given[patient] < 0.4 * asked[patient]
    assert given[urgent] + given[patient] >= 0.9 * 2.0 * 60.0
