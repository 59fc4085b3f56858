"""Workers that begin another life under the name that they had, and entries that name none."""

import asyncio

from platform_fleet import ask, fleet, run, until
from stream_fleet import engines, numbers

from croftchute.forwarding.workers.worker_control import fetch_cached_parts, send_stage_order
from croftchute.standins.platform_worker import PlatformWorker
from croftchute.tables.routing import Stage


async def restart(made, worker, *, born_ms, service="llm", **options):
    """Begin another life at another port, without a word of the earlier one's end."""
    again = PlatformWorker(id=worker.id, stage=worker.stage, born_ms=born_ms, **options)
    await again.start()
    made.workers_by_id[f"{worker.id}-{born_ms}"] = again
    made.store.put(f"servers/{worker.id}", again.entry(service, "a"))
    return again


def tracked(box, worker_id):
    return box.state.workers.tracked_by_id[worker_id]


def test_a_new_life_inherits_nothing_that_was_believed_of_the_earlier_one():
    async def body():
        async with fleet() as made:
            worker = await made.add_worker("w1", born_ms=1000)
            box = await made.add_box()
            await made.ready(box)
            state, now = box.state, box.state.clock()
            state.workers.note_failure("w1@1000", 4.0, now)
            state.workers.note_unreachable("w1@1000", now)
            state.workers.note_displaced("w1@1000")
            again = await restart(made, worker, born_ms=2000, service="desk")
            await until(lambda: "w1@2000" in state.workers.tracked_by_id)
            new = tracked(box, "w1@2000")
            assert (new.failures, new.unreachable_until, new.displaced) == (0.0, 0.0, False)
            assert (new.in_flight, new.tokens_in_flight) == (0, 0)
            answer = await ask(box, "/safe/x", "r1")
            assert answer.status == 200 and again.ran == ["r1"] and worker.ran == []
            assert again.received[0].headers["x-croftchute-expect-instance"] == "w1"

    run(body)


def test_what_ran_at_the_earlier_life_goes_on_elsewhere_at_once():
    """Its machine went dark, so nothing tells that it will never answer."""

    async def body():
        async with fleet() as made:
            box, decode, _ = await engines(made, decodes=1, born_ms=1000)
            silent = decode[0]
            silent.faults.hangs_after_events = 2
            asking = asyncio.create_task(ask(box, "/resume/x", "r1", deadline=60000))
            await until(lambda: silent.ran == ["r1"])
            again = await restart(made, silent, born_ms=2000)
            answer = await asking
            assert answer.is_whole and numbers(answer) == [1, 2, 3, 4]
            assert again.finished == ["r1"]
            assert tracked(box, "d0@2000").in_flight == 0

    run(body)


def test_a_worker_that_restarts_while_the_prompt_is_read_gets_the_stream_in_its_new_life():
    """It was sent to the earlier life, whose software may be another."""

    async def body():
        async with fleet() as made:
            box, (decode,), (prefill,) = await engines(made, decodes=1, born_ms=1000)
            prefill.work_s = 0.4
            asking = asyncio.create_task(ask(box, "/resume/x", "r1", deadline=60000))
            await until(lambda: prefill.received)
            again = await restart(made, decode, born_ms=2000)
            await until(lambda: "d0@2000" in box.state.workers.tracked_by_id)
            answer = await asking
            assert answer.is_whole and numbers(answer) == [1, 2, 3, 4]
            assert (decode.ran, again.ran) == ([], ["r1"])

    run(body)


def test_late_news_of_the_earlier_life_change_nothing():
    async def body():
        async with fleet() as made:
            worker = await made.add_worker("w1", born_ms=1000)
            box = await made.add_box()
            await made.ready(box)
            old = tracked(box, "w1@1000").item
            await restart(made, worker, born_ms=2000, service="desk")
            await until(lambda: "w1@2000" in box.state.workers.tracked_by_id)
            box.follower._take_worker(old)
            usable = box.state.workers.usable("desk", box.state.clock())
            assert [found.worker.id for found in usable] == ["w1@2000"]

    run(body)


def test_a_life_whose_clock_went_back_is_a_new_one_all_the_same():
    async def body():
        async with fleet() as made:
            worker = await made.add_worker("w1", born_ms=2000)
            box = await made.add_box()
            await made.ready(box)
            await restart(made, worker, born_ms=1000, service="desk")
            await until(lambda: "w1@1000" in box.state.workers.tracked_by_id)
            usable = box.state.workers.usable("desk", box.state.clock())
            assert [found.worker.id for found in usable] == ["w1@1000"]

    run(body)


def test_a_removed_entry_takes_the_present_life_away():
    async def body():
        async with fleet() as made:
            worker = await made.add_worker("w1", born_ms=1000)
            await made.add_worker("w2", born_ms=1000)
            box = await made.add_box()
            await made.ready(box)
            await restart(made, worker, born_ms=2000, service="desk")
            await until(lambda: "w1@2000" in box.state.workers.tracked_by_id)
            made.store.remove("servers/w1")
            await until(lambda: tracked(box, "w1@2000").gone_at is not None)
            usable = box.state.workers.usable("desk", box.state.clock())
            assert [found.worker.id for found in usable] == ["w2@1000"]

    run(body)


def test_an_entry_that_names_no_worker_keeps_new_requests_away_and_cuts_none():
    async def body():
        async with fleet() as made:
            spoiled = await made.add_worker("w1", work_s=0.3)
            sound = await made.add_worker("w2", zone="far")
            box = await made.add_box()
            await made.ready(box)
            asking = asyncio.create_task(ask(box, "/once/x", "r1"))
            await until(lambda: spoiled.ran == ["r1"])
            made.store.put("servers/w1", spoiled.entry("desk", "a") | {"Slots": "many"})
            await until(lambda: tracked(box, "w1").is_unreadable)
            for number in range(6):
                assert (await ask(box, "/once/x", f"n{number}")).status == 200
            assert len(sound.ran) == 6 and (await asking).status == 200
            made.store.put("servers/w1", spoiled.entry("desk", "a"))
            await until(lambda: not tracked(box, "w1").is_unreadable)
            made.store.remove("servers/w2")
            await until(lambda: tracked(box, "w2").gone_at is not None)
            assert (await ask(box, "/once/x", "back")).status == 200
            assert spoiled.ran == ["r1", "back"]

    run(body)


def test_a_flood_of_spoiled_entries_costs_a_line_a_second(capfd):
    async def body():
        async with fleet() as made:
            await made.add_worker("w1")
            box = await made.add_box()
            await made.ready(box)
            for number in range(500):
                made.store.put(f"servers/x{number}", {"Service": number})
            made.store.put("servers/w9", made.workers_by_id["w1"].entry("desk", "a"))
            await until(lambda: "w9" in box.state.workers.tracked_by_id)
            assert box.follower._unreadable == 500

    run(body)
    lines = [line for line in capfd.readouterr().out.splitlines() if "entry_refused" in line]
    assert 1 <= len(lines) <= 20


def test_a_request_that_ends_workers_is_refused_though_they_come_back_under_their_names():
    """Two workers take turns: three lives have ended, of two names."""

    async def body():
        async with fleet() as made:
            box, decode, _ = await engines(made, decodes=2, born_ms=1000, crashes_on=b"crashes")
            lives = list(decode)
            for number in range(8):
                await ask(box, "/resume/x", f"r{number}", body=b"crashes")
                await until(lambda: not box.state.lives_looked_at)
                for worker in [worker for worker in lives if worker.has_crashed]:
                    lives.remove(worker)
                    born_ms = worker.born_ms + 1000
                    again = await restart(made, worker, born_ms=born_ms, crashes_on=b"crashes")
                    lives.append(again)
                    life = f"{again.id}@{born_ms}"
                    await until(lambda: life in box.state.workers.tracked_by_id)  # noqa: B023
            ended = [worker for worker in made.workers_by_id.values() if worker.has_crashed]
            assert len(ended) == 3

    run(body)


def test_an_order_is_not_given_to_a_newer_life_that_answers_under_the_name():
    async def body():
        async with fleet() as made:
            worker = await made.add_worker("p0", service="llm", stage="prefill", born_ms=1)
            box = await made.add_box()
            await made.ready(box)
            listed = box.state.workers.tracked_by_id["p0@1"].worker
            worker.born_ms = 2
            status = await send_stage_order(
                box.state, listed, Stage.DECODE, holder="box-1", token=1
            )
            assert (status, worker.orders) == (421, [])

    run(body)


def test_another_worker_that_answers_an_ask_for_room_displaces_the_one_that_was_there():
    async def body():
        async with fleet() as made:
            worker = await made.add_worker("d0", service="llm", stage="decode")
            box = await made.add_box()
            await made.ready(box)
            worker.id = "another"
            listed = box.state.workers.tracked_by_id["d0"].worker
            await fetch_cached_parts(box.state, listed)
            assert box.state.workers.usable("llm", box.state.clock()) == []

    run(body)
