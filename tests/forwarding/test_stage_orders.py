"""Orders given in a batch: each under a lease that is surely held, none waiting for another."""

import asyncio

from platform_fleet import fleet, run

from croftchute.forwarding import stage_orders
from croftchute.forwarding.failures import AnswerLateError
from croftchute.forwarding.stage_orders import LEASE_KEY, Turn
from croftchute.systems.stage_balance import StageChange
from croftchute.tables.routing import Stage


async def ordered(made, answers, monkeypatch, *, lose_lease_after=None):
    """The workers that were sent an order, of three that are to change."""
    box = await made.add_box()
    for number in range(3):
        await made.add_worker(f"p{number}", service="llm", stage="prefill")
    await made.ready(box)
    token = made.store.put(LEASE_KEY, {})
    sent = []

    async def give(state, worker, stage, *, holder, token):
        sent.append(worker.id)
        if len(sent) == lose_lease_after:
            made.store.put(LEASE_KEY, {"holder": "another"})
        answer = answers.get(worker.id, 202)
        if isinstance(answer, Exception):
            raise answer
        return answer

    monkeypatch.setattr(stage_orders, "give_stage_order", give)
    changes = tuple(
        StageChange(worker=belief.worker, stage=Stage.DECODE, reason="test")
        for belief in box.state.workers.of_service("llm")
    )
    now = box.state.clock()
    orders = box.orders
    orders.turn = Turn(token=token, lease=1, since=now - 60.0)
    orders._renew_at = now + 60.0
    orders._next_try_at = now
    await asyncio.wait_for(orders._use_turn(orders.turn, changes), 30)
    return sorted(sent)


def test_an_order_that_is_not_answered_does_not_hold_up_the_others(monkeypatch):
    async def body():
        async with fleet() as made:
            late = {"p0": AnswerLateError("no head")}
            assert await ordered(made, late, monkeypatch) == ["p0", "p1", "p2"]

    run(body)


def test_no_order_follows_once_the_lease_is_lost(monkeypatch):
    async def body():
        async with fleet() as made:
            assert len(await ordered(made, {}, monkeypatch, lose_lease_after=1)) == 1

    run(body)
