"""Limits of organisations over real boxes: refused at once, told when to come back, given back."""

import asyncio

import pytest
from platform_fleet import ask, bearer, config, fleet, organisation, run, until

from croftchute.systems.allowance_pool import LEASE_S
from croftchute.systems.lent_share import group_of
from croftchute.systems.rendezvous import rank_nodes
from croftchute.tables.allowances import UsageGrant

KEY = bearer("crew-key")


def limited(version=7, **changes):
    terms = {"RatePerS": 100, "Burst": 1000, "PlainTokens": 200} | changes
    crew = organisation("crew", "crew-key", **terms)
    return config(version, organisations=(crew, organisation("free", "free-key")))


def grow_old(*boxes):
    """Let boxes have lived for long: what an earlier life may have lent is back."""
    for box in boxes:
        for group in box.shared_rates.groups:
            group.share.started_at -= 60.0


def save_up(box, seconds):
    """Let the pools of a box have had its share for so long that what may be saved up is full."""
    for group in box.shared_rates.groups:
        group.pool.lend(box.state.box, 1.0, echo=box.state.clock(), now=box.state.clock())
        group.pool._unused_share_seconds = seconds


async def one_box(made):
    await made.add_worker("w1")
    box = await made.add_box()
    await made.ready(box)
    grow_old(box)
    save_up(box, 1e6)
    return box


def test_what_goes_beyond_the_limit_is_refused_at_once_with_a_time_to_come_back():
    async def body():
        async with fleet(config=limited()) as made:
            box = await one_box(made)
            statuses = [
                (await ask(box, "/safe/x", f"r{n}", extra=(KEY,), tokens="300,100")).status
                for n in range(4)
            ]
            assert statuses == [200, 200, 429, 429]
            began_at = box.state.clock()
            refused = await ask(box, "/once/x", "r9", extra=(KEY,), tokens="300,100")
            assert refused.status == 429
            assert box.state.clock() - began_at < 0.5
            assert 1.0 < float(refused.headers["retry-after"]) < 3.5
            assert made.workers_by_id["w1"].runs_of("r9") == 0

    run(body)


def test_a_request_in_the_first_second_of_a_box_waits_for_its_share_in_place_of_a_refusal():
    async def body():
        async with fleet(config=limited(RatePerS=20_000)) as made:
            await made.add_worker("w1")
            box = await made.add_box()
            await made.ready(box)
            assert box.state.clock() - box.state.begun_at < LEASE_S
            answer = await ask(box, "/safe/x", "r1", extra=(KEY,), tokens="300,100")
            assert answer.status == 200
            assert box.state.clock() - box.state.begun_at >= LEASE_S

    run(body)


def test_a_caller_with_little_time_is_refused_at_once_while_a_box_has_no_share():
    async def body():
        async with fleet(config=limited(RatePerS=20_000)) as made:
            await made.add_worker("w1")
            box = await made.add_box()
            await made.ready(box)
            box.state.begun_at += 60.0
            for group in box.shared_rates.groups:
                group.share.started_at += 60.0
            began_at = box.state.clock()
            answer = await ask(box, "/safe/x", "r1", extra=(KEY,), tokens="300,100", deadline=300)
            assert answer.status == 429
            assert box.state.clock() - began_at < 0.3

    run(body)


def test_a_life_counts_from_the_begin_of_its_process():
    async def body():
        async with fleet(config=limited()) as made:
            box = await made.add_box()
            shares = [group.share for group in box.shared_rates.groups]
            assert [share.started_at for share in shares] == [box.state.begun_at] * len(shares)

    run(body)


def test_organisations_without_a_limit_are_not_held_up_by_the_others():
    async def body():
        async with fleet(config=limited()) as made:
            box = await one_box(made)
            for n in range(5):
                await ask(box, "/safe/x", f"r{n}", extra=(KEY,), tokens="300,100")
            answer = await ask(box, "/safe/x", "f1", extra=(bearer("free-key"),))
            assert answer.status == 200

    run(body)


def test_what_did_not_run_is_given_back():
    async def body():
        async with fleet(config=limited()) as made:
            box = await one_box(made)
            made.workers_by_id["w1"].faults.is_full = True
            for n in range(6):
                answer = await ask(box, "/once/x", f"r{n}", extra=(KEY,), tokens="300,100")
                assert answer.status == 503
            made.workers_by_id["w1"].faults.is_full = False
            answer = await ask(box, "/once/x", "r9", extra=(KEY,), tokens="300,100")
            assert answer.status == 200

    run(body)


@pytest.mark.parametrize(
    "unit, rate, burst, served", [("token_stream", 1, 1000, 5), ("", 0.01, 6, 6)]
)
def test_requests_count_by_the_unit_of_the_limit(unit, rate, burst, served):
    async def body():
        async with fleet(config=limited(Unit=unit, RatePerS=rate, Burst=burst)) as made:
            box = await one_box(made)
            statuses = [
                (await ask(box, "/safe/x", f"r{n}", extra=(KEY,), tokens="150,50")).status
                for n in range(8)
            ]
            assert statuses == [200] * served + [429] * (8 - served)

    run(body)


def test_two_boxes_share_one_pool_and_its_limit():
    async def body():
        async with fleet(config=limited()) as made:
            await made.add_worker("w1")
            first = await made.add_box("box-1")
            second = await made.add_box("box-2", seeds=(f"127.0.0.1:{first.exchange.port}",))
            for box in (first, second):
                await made.ready(box)
            second.state.peers.seeds = (("127.0.0.1", first.exchange.port),)
            second.exchange.send_notices()
            await until(lambda: first.state.peers.peers_by_id and second.state.peers.peers_by_id)
            grow_old(first, second)
            group = group_of("crew")
            shares = [box.shared_rates.groups[group].share for box in (first, second)]
            await until(lambda: shares[0].pool == shares[1].pool != "")
            pool = first if shares[0].pool == "box-1" else second
            await until(lambda: len(pool.shared_rates.groups[group].pool.lenders_by_box) == 2)
            pool.shared_rates.groups[group].pool._unused_share_seconds = 60.0
            statuses = []
            for n in range(8):
                box = (first, second)[n % 2]
                answer = await ask(box, "/safe/x", f"r{n}", extra=(KEY,), tokens="300,100")
                statuses.append(answer.status)
            assert 2 <= statuses.count(200) <= 3
            assert statuses[:2] == [200, 200]
            assert statuses[-1] == 429

    run(body)


def test_a_request_that_others_outrun_again_and_again_is_over_the_limit_and_no_unknown_case():
    async def body():
        async with fleet(config=limited()) as made:
            box = await one_box(made)
            pool = box.shared_rates.groups[0].pool
            pool.grant = lambda want, known, now: UsageGrant(name=want.name, units=0.0, wait_s=0.01)
            answer = await ask(box, "/safe/x", "r1", extra=(KEY,), tokens="300,100")
            assert answer.status == 429

    run(body)


def test_a_box_that_knows_nobody_asks_the_pool_on_record():
    async def body():
        async with fleet(config=limited(RatePerS=20_000)) as made:
            await made.add_worker("w1")
            pool_id, other_id = rank_nodes(f"limits-{group_of('crew')}", ("box-1", "box-2"))
            pool = await made.add_box(pool_id)
            await made.ready(pool)
            grow_old(pool)
            await until(lambda: pool.fleet_size.pool == pool_id)
            other = await made.add_box(other_id)
            await made.ready(other)
            assert not other.state.peers.peers_by_id
            answer = await ask(other, "/safe/x", "r1", extra=(KEY,), tokens="300,100")
            assert answer.status == 200
            assert other.shared_rates.groups[0].share.pool == pool_id
            grow_old(other)
            lenders = pool.shared_rates.groups[0].pool.lenders_by_box
            await until(lambda: {pool_id, other_id} <= set(lenders))

    run(body)


def test_a_caller_that_hammers_does_not_ask_the_pool_each_time():
    async def body():
        async with fleet(config=limited()) as made:
            box = await one_box(made)
            for n in range(3):
                await ask(box, "/safe/x", f"r{n}", extra=(KEY,), tokens="300,100")
            before = box.shared_rates._number
            answers = await asyncio.gather(
                *(ask(box, "/safe/x", f"h{n}", extra=(KEY,), tokens="300,100") for n in range(30))
            )
            assert {answer.status for answer in answers} == {429}
            assert box.shared_rates._number - before < 15

    run(body)
