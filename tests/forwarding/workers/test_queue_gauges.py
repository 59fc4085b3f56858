"""Gauges of waiting requests, mean waits and paces: bounded, and without outdated series."""

from platform_fleet import bearer, config, fleet, organisation, run, until
from rank_fleet import (
    begin,
    boxes_before_a_full_engine,
    is_waiting,
    ordered_config,
    ran_in_all,
    waiting,
)

from croftchute.forwarding.workers import queue_gauges
from croftchute.forwarding.workers.queue_gauges import update_queue_gauges


def updated_metrics(box):
    """Update the gauges; return the box's metrics."""
    update_queue_gauges(box.state, box.state.clock())
    return box.state.metrics


def by_rank(gauge):
    return {labels["room_rank"]: value for labels, value in gauge.get_all()}


def test_waiting_requests_are_shown_by_rank_until_served():
    """Guards against a gauge that keeps its last value, or lacks ranks without waiting requests."""

    async def body():
        async with fleet(config=ordered_config()) as made:
            (box,), engine = await boxes_before_a_full_engine(made)
            assert updated_metrics(box).room_waiting.get_all() == []
            asking = begin(box, "/calm/x", "calm")
            await is_waiting(box, r1=1)
            metrics = updated_metrics(box)
            assert by_rank(metrics.room_waiting) == {"0": 0, "2": 1}
            assert by_rank(metrics.room_wait).keys() == {"0", "2"}
            assert b'croftchute_room_waiting{room_rank="2",service="llm"} 1' in metrics.text()
            await ran_in_all(engine, 1)
            assert (await asking).status == 200
            assert by_rank(updated_metrics(box).room_waiting) == {"0": 0, "2": 0}

    run(body)


def test_series_of_a_service_end_when_it_is_no_longer_ordered():
    """Guards against series of ranks from a replaced configuration."""

    async def body():
        async with fleet(config=ordered_config()) as made:
            (box,), engine = await boxes_before_a_full_engine(made)
            asking = begin(box, "/calm/x", "calm")
            await is_waiting(box, r1=1)
            assert updated_metrics(box).room_wait.get_all()
            made.store.put("op/config", config(8))
            await until(lambda: box.state.table.version == 8)
            assert (
                updated_metrics(box).room_wait.get_all()
                == updated_metrics(box).room_waiting.get_all()
                == []
            )
            await ran_in_all(engine, 1)
            assert (await asking).status == 200

    run(body)


def test_paces_are_shown_for_a_bounded_number_of_listed_workers(monkeypatch):
    """Guards against unbounded series, and against series of removed workers."""
    monkeypatch.setattr(queue_gauges, "MAX_WORKER_PACES", 2)

    async def body():
        async with fleet() as made:
            for name in ("w1", "w2", "w3", "w4"):
                await made.add_worker(name)
            box = await made.add_box()
            await made.ready(box)
            assert updated_metrics(box).worker_pace.get_all() == []
            for name in ("gone", "w2", "w3", "w4"):
                box.state.paces.note_reported(name, 2.0, box.state.clock())
            shown = updated_metrics(box).worker_pace.get_all()
            assert [labels["worker"] for labels, _ in shown] == ["w2", "w3"]
            assert all(1.5 < value <= 2.0 for _, value in shown)
            box.state.paces.forget("w2")
            shown = updated_metrics(box).worker_pace.get_all()
            assert [labels["worker"] for labels, _ in shown] == ["w3", "w4"]

    run(body)


def test_daemon_updates_the_gauges_periodically():
    """Guards against gauges that the daemon never updates."""

    async def body():
        async with fleet() as made:
            await made.add_worker("w1")
            box = await made.add_box()
            await made.ready(box)
            box.state.paces.note_reported("w1", 2.0, box.state.clock())
            await until(lambda: box.state.metrics.worker_pace.get_all())

    run(body)


def test_request_over_its_share_is_counted_once_without_its_organisation():
    """Guards against a count for each ask for room, and against a series for each organisation."""
    flood = organisation("flood", "flood-key", RatePerS=1e6, Burst=1e9, PlainTokens=10)

    async def body():
        async with fleet(config=ordered_config(organisations=(flood,))) as made:
            (box,), engine = await boxes_before_a_full_engine(made)
            for group in box.shared_rates.groups:
                group.share.started_at -= 60.0
            use, now = box.state.organisation_use("llm"), box.state.clock()
            for name, asked, granted in (("flood", 9e5, 8e5), ("quiet", 5e5, 1e5)):
                use.note_asked(name, int(asked), now)
                use.note_granted(name, int(granted), now)
            asking = begin(box, "/urgent/x", "r1", extra=(bearer("flood-key"),))
            await until(lambda: waiting(box) == {1: 1})
            await until(lambda: len([r for r in engine.received if r.path == "/hold-take"]) > 2)
            assert box.state.metrics.over_share.get_all() == [({"service": "llm"}, 1)]
            await ran_in_all(engine, 1)
            assert (await asking).status == 200

    run(body)
