"""Stage orders: sent only while the lease is held, and not repeated while one is pending."""

import asyncio
from dataclasses import replace

from platform_fleet import fleet, run

from croftchute.forwarding.http.failures import AnswerLateError
from croftchute.forwarding.workers import stage_coordinator
from croftchute.forwarding.workers.stage_coordinator import LEASE_KEY, HeldLease
from croftchute.router_settings import DecisionWays
from croftchute.systems.service_capacity import EngineCapacity, SplitMode
from croftchute.systems.stage_balance import StageChange, plan_stage_changes
from croftchute.tables.routing import Stage


async def send_one_order(made, monkeypatch, *, answer=202, has_lost_lease=False):
    """Send one order from a box; return its coordinator and the ids of the ordered workers.

    ``answer`` is the status or the error of the order. With ``has_lost_lease`` the lease belongs to
    another holder before the order is sent.
    """
    box = await made.add_box()
    await made.add_worker("p0", service="llm", stage="prefill")
    await made.ready(box)
    token = made.store.put(LEASE_KEY, {})
    sent = []

    async def fake_send(state, worker, stage, *, holder, token):
        sent.append(worker.id)
        if isinstance(answer, Exception):
            raise answer
        return answer

    monkeypatch.setattr(stage_coordinator, "send_stage_order", fake_send)
    if has_lost_lease:
        made.store.put(LEASE_KEY, {"holder": "another"})
    worker = box.state.workers.tracked_by_id["p0"].worker
    change = StageChange(worker=worker, stage=Stage.DECODE, reason="test")
    now = box.state.clock()
    orders = box.orders
    orders.held_lease = HeldLease(token=token, lease_id=1, acquired_at=now - 60.0)
    orders._renew_at = now + 60.0
    orders._next_try_at = now
    await asyncio.wait_for(orders._use_lease(orders.held_lease, [change]), 30)
    return orders, sent


def test_unanswered_order_stays_pending(monkeypatch):
    """Guards against a second order 3 s later, while the first could still be carried out."""

    async def body():
        async with fleet() as made:
            late = AnswerLateError("no head")
            orders, sent = await send_one_order(made, monkeypatch, answer=late)
            assert sent == ["p0"]
            assert orders._pending_stages() == {"p0": Stage.DECODE}

    run(body)


def test_no_order_is_sent_after_the_lease_is_lost(monkeypatch):
    async def body():
        async with fleet() as made:
            orders, sent = await send_one_order(made, monkeypatch, has_lost_lease=True)
            assert sent == [] and orders.held_lease is None

    run(body)


def test_refused_order_is_not_pending(monkeypatch):
    async def body():
        async with fleet() as made:
            orders, sent = await send_one_order(made, monkeypatch, answer=409)
            assert sent == ["p0"] and orders._pending_stages() == {}

    run(body)


def test_order_is_done_when_the_worker_list_shows_it(monkeypatch):
    async def body():
        async with fleet() as made:
            orders, _ = await send_one_order(made, monkeypatch)
            assert orders._pending_stages() == {"p0": Stage.DECODE}
            tracked = orders.state.workers.tracked_by_id["p0"]
            tracked.worker = replace(tracked.worker, stage=Stage.DECODE)
            assert orders._pending_stages() == {}

    run(body)


def test_only_a_worker_that_accepted_its_order_gets_no_work(monkeypatch):
    """An unanswered order may take effect much later or never, so its worker still gets work."""

    async def body():
        for answer, is_passed_over in ((202, True), (AnswerLateError("no head"), False)):
            async with fleet() as made:
                orders, _ = await send_one_order(made, monkeypatch, answer=answer)
                tracked = orders.state.workers.tracked_by_id["p0"]
                assert (tracked.changing_until > orders.state.clock()) is is_passed_over

    run(body)


def test_leaving_workers_and_workers_in_backoff_get_no_order(monkeypatch):
    monkeypatch.setattr(stage_coordinator, "MIN_NEED_S", 0.0)

    async def body():
        async with fleet() as made:
            box = await made.add_box()
            for name in ("p0", "p1", "p2"):
                await made.add_worker(name, service="llm", stage="prefill")
            await made.ready(box)
            advice = box.state.workers.advice
            advice.note_leaving("p0", box.state.clock())
            advice.note_backoff("p1", 60.0, box.state.clock())
            # No decode worker is listed, so a change to decode is needed. The first call records
            # the need.
            box.orders.find_changes()
            assert [change.worker.id for change in box.orders.find_changes()] == ["p2"]

    run(body)


async def box_with_demand(made, monkeypatch, split):
    """Return a box with 3 prefill workers, 1 decode worker and a demand for long answers."""
    monkeypatch.setattr(stage_coordinator, "MIN_NEED_S", 0.0)
    monkeypatch.setattr(stage_coordinator, "MIN_PREFILL_NEED_S", 0.0)
    box = await made.add_box()
    for name in ("p0", "p1", "p2"):
        await made.add_worker(name, service="llm", stage="prefill")
    await made.add_worker("d0", service="llm", stage="decode")
    await made.ready(box)
    box.state.ways = DecisionWays(split=split)
    now = box.state.clock()
    demand = box.state.demand("llm")
    for _ in range(20):
        demand.note_ask(now, prompt_tokens=10, output_tokens=60)
        demand.note_ended(now, output_tokens=60, seconds=0.3)
    return box


def test_services_without_reported_pace_use_the_fixed_split(monkeypatch):
    """Without a reported pace the default, ``auto``, decides as ``fixed_use`` does."""

    async def body():
        async with fleet() as made:
            box = await box_with_demand(made, monkeypatch, SplitMode.AUTO)
            assert DecisionWays().split is SplitMode.AUTO
            state, orders = box.state, box.orders
            found = orders.find_changes()
            state.ways = DecisionWays(split=SplitMode.FIXED_USE)
            assert found and orders.find_changes() == found
            engine = state.table.services_by_name["llm"].engine
            capacity = EngineCapacity(
                prefill_tokens_per_s=state.prefill_pace("llm").tokens_per_s,
                kv_tokens=engine.kv_tokens,
                slots=engine.slots,
            )
            tracked_workers = state.workers.of_service("llm")
            assert found == plan_stage_changes(
                tracked_workers, state.fleet_demand("llm"), capacity, pending_stages={}
            )

    run(body)


def test_services_with_reported_pace_are_split_by_headroom(monkeypatch):
    """At the same demand the headroom split finds no stage over its target and orders nothing."""

    async def body():
        for split in (SplitMode.AUTO, SplitMode.HEADROOM):
            async with fleet() as made:
                box = await box_with_demand(made, monkeypatch, split)
                box.state.paces.note_reported("d0", 1.0, box.state.clock())
                box.state._tells_pace_by_service.clear()
                assert box.orders.split_mode("llm") is SplitMode.HEADROOM
                assert box.orders.find_changes() == []

    run(body)


def test_headroom_orders_wait_for_crashed_workers_to_return(monkeypatch):
    """Guards against an order 0.4 s after a crash, which could not be undone for 20 s."""

    async def body():
        async with fleet() as made:
            box = await made.add_box()
            await made.add_worker("p0", service="llm", stage="prefill")
            await made.ready(box)
            worker = box.state.workers.tracked_by_id["p0"].worker
            change = StageChange(worker=worker, stage=Stage.DECODE, reason="test")
            urgent = replace(change, is_urgent=True)
            found = []
            for split in (SplitMode.FIXED_USE, SplitMode.HEADROOM):
                box.state.ways = DecisionWays(split=split)
                found.append([box.orders._min_need_s(each) for each in (change, urgent)])
            assert found == [[0.4, 0.4], [5.0, 0.4]]

    run(body)
