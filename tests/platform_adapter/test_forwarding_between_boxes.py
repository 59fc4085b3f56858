"""Requests that a box without links to workers passes to another box.

Guards against requests that run twice or are called not run though they ran, against limits and
retries counted twice, and against boxes that pass work around or are flooded.
"""

import asyncio
import re
from collections import Counter

import msgspec
import pytest
from limit_fleet import (
    Callers,
    allowed,
    arrivals,
    boxes_that_know_one_another,
    most_in_a_window,
    told_boxes,
)
from platform_fleet import ask, bearer, config, fleet, organisation, run, until
from stream_fleet import began, prefer
from test_cut_off_from_workers import linked_boxes, outcomes_by_box
from worker_links import LinkedPool, link_box

from croftchute.forwarding.callers import forwarded_requests
from croftchute.soak.proxy import FaultyLink, LinkFault, Target
from croftchute.systems.worker_links import CutOffMode

DEADLINE = "x-croftchute-deadline-ms"


def runs_by_id(made):
    runs = Counter()
    for worker in made.workers_by_id.values():
        runs.update(worker.ran)
    return runs


def asked_in_vain(box):
    """How many requests a box passed to boxes that turned out to be cut off."""
    outcomes = box.state.metrics.forwards.get_all()
    return sum(count for labels, count in outcomes if labels["outcome"] == "cut_off")


def count_charges(boxes):
    """Return a list that gets the units that boxes take for requests, negative when given back."""
    balances = []
    for box in boxes:
        admit, give_back = box.usage_limits.admit, box.usage_limits.give_back

        async def counted(organisation, cost, *, patience_s, admit=admit):
            allowance = await admit(organisation, cost, patience_s=patience_s)
            if allowance.is_granted:
                balances.append(cost)
            return allowance

        def returned(name, cost, give_back=give_back):
            balances.append(-cost)
            give_back(name, cost)

        box.usage_limits.admit, box.usage_limits.give_back = counted, returned
    return balances


async def cut_first(made, links, fault=LinkFault.CLOSED):
    """Cut the first box off, and wait until it knows."""
    await links[0].cut(fault)
    made.boxes[0].link_probe.request_round()
    await until(lambda: made.boxes[0].state.links.are_lost)


async def link_to_peer(made, number):
    """Lead the first box's connections to another box over a link."""
    port = made.boxes[number].control.port
    link = FaultyLink(name=f"peer-{number}", target=Target(host="127.0.0.1", port=port))
    await link.start()
    pool = made.boxes[0].state.pool
    assert isinstance(pool, LinkedPool)
    pool.links_by_port[port] = link
    return link


def cut_off_fleet(body, *, boxes=2, **options):
    """Run a test with boxes of which the first has lost its links."""

    async def test():
        async with fleet(**options) as made:
            links = await linked_boxes(made, boxes)
            await cut_first(made, links)
            try:
                await body(made, links)
            finally:
                for each in links:
                    each.stop()

    run(test)


def test_the_time_left_the_last_event_and_the_whole_request_reach_the_worker():
    async def body(made, links):
        answer = await ask(
            made.boxes[0],
            "/resume/a?b=c",
            "r1",
            body=b"payload",
            deadline=4000,
            extra=(
                "Last-Event-Id: 2",
                began(made.boxes[0], "engine-4"),
                "X-Extra: kept",
                "Croftchute-Forward: 1 0 forged",
            ),
        )
        assert answer.status == 200 and answer.is_whole
        assert [event.split(b"\n")[0] for event in answer.events] == [b"id: 3", b"id: 4"]
        assert not [name for name in answer.headers if name.startswith("croftchute")]
        received = [
            each
            for worker in made.workers_by_id.values()
            for each in worker.received
            if each.id == "r1" and each.path.startswith("/resume") and worker.stage == "decode"
        ]
        assert [each.path for each in received] == ["/resume/a?b=c"]
        assert received[0].body == b"payload"
        assert received[0].headers["last-event-id"] == "2"
        assert received[0].headers["x-extra"] == "kept"
        assert 3000 < int(received[0].headers[DEADLINE]) <= 4000
        assert "croftchute-forward" not in received[0].headers

    cut_off_fleet(body)


@pytest.mark.parametrize("path", ["/once/a", "/stream/a"])
def test_a_request_that_may_run_once_is_not_sent_again_when_the_link_to_the_box_breaks(path):
    async def body(made, links):
        peer_links = [await link_to_peer(made, 1), await link_to_peer(made, 2)]
        for worker in made.workers_by_id.values():
            worker.work_s = 0.4 if worker.stage != "prefill" else 0.0
        asking = asyncio.create_task(ask(made.boxes[0], path, "r1"))
        await until(lambda: runs_by_id(made)["r1"])
        for link in peer_links:
            link.reset_all()
        answer = await asking
        assert answer.status == 502
        await asyncio.sleep(0.6)
        assert runs_by_id(made)["r1"] == 1
        for link in peer_links:
            link.stop()

    cut_off_fleet(body, boxes=3)


def test_a_repeatable_request_goes_to_another_box_when_the_link_to_the_first_breaks():
    async def body(made, links):
        peer_links = [await link_to_peer(made, 1), await link_to_peer(made, 2)]
        for worker in made.workers_by_id.values():
            worker.work_s = 0.2
        asking = asyncio.create_task(ask(made.boxes[0], "/safe/a", "r1"))
        await until(lambda: runs_by_id(made)["r1"])
        for link in peer_links:
            link.reset_all()
        answer = await asking
        assert answer.status == 200
        assert runs_by_id(made)["r1"] == 2
        repeats = sum(len(box.state.budget("desk").retry_times) for box in made.boxes)
        assert repeats == 1
        for link in peer_links:
            link.stop()

    cut_off_fleet(body, boxes=3)


def test_a_resumable_stream_goes_on_through_another_box_with_each_event_once():
    async def body(made, links):
        peer_links = [await link_to_peer(made, 1), await link_to_peer(made, 2)]
        for worker in made.workers_by_id.values():
            worker.gap_s = 0.15
            worker.events = 8
        asking = asyncio.create_task(ask(made.boxes[0], "/resume/a", "r1"))
        await until(lambda: runs_by_id(made)["r1"])
        await asyncio.sleep(0.4)
        for link in peer_links:
            link.reset_all()
        answer = await asking
        assert answer.status == 200 and answer.is_whole
        numbers = [int(number) for number in re.findall(rb"id: (\d+)\n", answer.body)]
        assert numbers == list(range(1, 9))
        for link in peer_links:
            link.stop()

    cut_off_fleet(body, boxes=3)


def test_a_box_that_cannot_be_reached_costs_no_request():
    async def body(made, links):
        peer_link = await link_to_peer(made, 1)
        await peer_link.cut(LinkFault.CLOSED)
        for number in range(12):
            answer = await ask(made.boxes[0], "/once/a", f"r{number}")
            assert answer.status == 200
        assert set(runs_by_id(made).values()) == {1}, runs_by_id(made)
        peer_link.stop()

    cut_off_fleet(body, boxes=3)


@pytest.mark.parametrize("path", ["/safe/a", "/stream/a"])
def test_a_caller_that_leaves_frees_the_worker_behind_the_other_box(path):
    async def body(made, links):
        for worker in made.workers_by_id.values():
            worker.work_s = 5.0 if worker.stage != "prefill" else 0.0
        asking = asyncio.create_task(ask(made.boxes[0], path, "r1"))
        await until(lambda: runs_by_id(made)["r1"])
        asking.cancel()
        loop = asyncio.get_running_loop()
        left_at = loop.time()
        await until(
            lambda: all(
                entry.ended_at is not None
                for worker in made.workers_by_id.values()
                for entry in worker.runs
            )
        )
        assert loop.time() - left_at < 0.5
        await until(lambda: made.boxes[1].forwarded.open == 0)
        assert not made.boxes[0].forwarder.peers.open_by_peer

    cut_off_fleet(body)


def test_a_limit_of_an_organisation_counts_a_request_once():
    crew = organisation("crew", "crew-key", RatePerS=1000, Burst=10000, PlainTokens=200)

    async def body(made, links):
        asked = [[], []]
        for box, units in zip(made.boxes, asked, strict=True):
            admit = box.usage_limits.admit

            async def counted(organisation, cost, *, patience_s, admit=admit, units=units):
                units.append(cost)
                return await admit(organisation, cost, patience_s=patience_s)

            box.usage_limits.admit = counted
        await ask(made.boxes[0], "/safe/x", "r1", extra=(bearer("crew-key"),), tokens="300,100")
        assert [len(units) for units in asked] == [0, 1]

    cut_off_fleet(body, config=config(organisations=(crew,)))


def test_a_request_counts_once_for_the_retry_budget_also_if_the_cut_is_found_by_it():
    async def test():
        async with fleet() as made:
            links = await linked_boxes(made, 2)
            await links[0].cut(LinkFault.CLOSED)
            for number in range(6):
                await ask(made.boxes[0], "/safe/a", f"r{number}")
            answer = await ask(made.boxes[0], "/safe/a", "last")
            assert answer.status == 200
            counted = sum(len(box.state.budget("desk").request_times) for box in made.boxes)
            assert counted <= 7
            for each in links:
                each.stop()

    run(test)


def test_refused_links_are_no_ends_of_workers():
    async def test():
        async with fleet() as made:
            links = await linked_boxes(made, 3)
            for worker in made.workers_by_id.values():
                worker.work_s = 1.0
            asking = [
                asyncio.create_task(ask(made.boxes[0], "/safe/a", f"r{number}", body=b"same"))
                for number in range(6)
            ]
            await until(lambda: len(runs_by_id(made)) == 6)
            await links[0].cut(LinkFault.CLOSED)
            await asyncio.gather(*asking)
            await asyncio.sleep(0.5)
            for box in made.boxes:
                assert not any(
                    box.state.crashes.crash_count(d) for d in box.state.crashes.by_digest
                )
                assert box.state.workers.tracked_by_id
            for worker in made.workers_by_id.values():
                worker.work_s = 0.0
            answer = await ask(made.boxes[0], "/safe/a", "again", body=b"same")
            assert answer.status == 200
            for each in links:
                each.stop()

    run(test)


def test_workers_that_are_gone_for_everybody_have_each_caller_refused_at_once():
    async def test():
        async with fleet() as made:
            links = await linked_boxes(made, 3)
            for each in links:
                await each.cut(LinkFault.HANGING)
            for box in made.boxes:
                box.link_probe.request_round()
            await until(lambda: all(box.state.links.are_lost for box in made.boxes))
            await until(
                lambda: not any(
                    box.state.peers.forward_candidates(box.state.clock()) for box in made.boxes
                )
            )
            await asyncio.sleep(1.0)
            before = [asked_in_vain(box) for box in made.boxes]
            loop = asyncio.get_running_loop()
            for path in ("/safe/a", "/once/a", "/stream/a", "/resume/a"):
                began_at = loop.time()
                answers = await asyncio.gather(
                    *(ask(box, path, f"{path}-{box.state.box}") for box in made.boxes)
                )
                assert loop.time() - began_at < 0.2
                assert [answer.status for answer in answers] == [503] * 3
                assert all(float(answer.headers["retry-after"]) > 0 for answer in answers)
            assert [asked_in_vain(box) for box in made.boxes] == before
            for each in links:
                await each.heal()
            await until(lambda: not any(box.state.links.are_lost for box in made.boxes))
            found = await outcomes_by_box(made, rounds=2, prefix="healed")
            assert all(counts["served"] == counts.total() for counts in found), found
            for each in links:
                each.stop()

    run(test)


def test_a_box_that_turns_out_to_be_cut_off_declines_and_no_request_goes_round():
    async def body(made, links):
        await links[1].cut(LinkFault.CLOSED)
        answers = [await ask(made.boxes[0], "/once/a", f"r{number}") for number in range(8)]
        assert answers[-1].status == 200
        assert set(runs_by_id(made).values()) == {1}, runs_by_id(made)
        refused = {f"r{n}" for n, answer in enumerate(answers) if answer.status == 503}
        assert not refused & set(runs_by_id(made))
        accepted = made.boxes[0].state.metrics.forwards_received.get_all()
        assert accepted == []

    cut_off_fleet(body, boxes=3)


def test_a_box_with_an_older_configuration_declines():
    async def body(made, links):
        made.boxes[1].state.table = None
        answer = await ask(made.boxes[0], "/once/a", "r1")
        assert answer.status == 503
        assert not runs_by_id(made)
        declined = made.boxes[1].state.metrics.forwards_received.get({"outcome": "older_config"})
        assert declined == 1

    cut_off_fleet(body)


def test_a_box_takes_no_more_than_its_bound_and_the_rest_is_refused_at_once(monkeypatch):
    monkeypatch.setattr(forwarded_requests, "MIN_OPEN", 3)

    async def body(made, links):
        for worker in made.workers_by_id.values():
            worker.work_s = 0.5
        answers = await asyncio.gather(
            *(ask(made.boxes[0], "/once/a", f"r{number}") for number in range(9))
        )
        statuses = Counter(answer.status for answer in answers)
        assert statuses == {200: 3, 503: 6}
        assert len(runs_by_id(made)) == 3
        assert all("retry-after" in each.headers for each in answers if each.status == 503)

    cut_off_fleet(body)


def test_load_is_spread_over_all_boxes_that_reach_workers():
    async def body(made, links):
        for worker in made.workers_by_id.values():
            worker.work_s = 0.1
        answers = await asyncio.gather(
            *(ask(made.boxes[0], "/once/a", f"r{number}") for number in range(40))
        )
        assert {answer.status for answer in answers} == {200}
        served = [
            box.state.metrics.forwards_received.get({"outcome": "served"}) for box in made.boxes[1:]
        ]
        assert min(served) >= 8, served

    cut_off_fleet(body, boxes=4)


def test_a_refusal_of_the_other_box_reaches_the_caller_with_its_time():
    async def body(made, links):
        for worker in made.workers_by_id.values():
            worker.faults.has_no_room = True
        answer = await ask(made.boxes[0], "/stream/a", "r1", deadline=2000)
        assert answer.status == 503
        assert b"no_capacity" in answer.body
        assert float(answer.headers["retry-after"]) > 0
        assert made.boxes[0].state.links.are_lost

    cut_off_fleet(body)


def test_a_stopping_box_finishes_what_others_passed_to_it_and_takes_nothing_more():
    async def body(made, links):
        for worker in made.workers_by_id.values():
            worker.work_s = 1.0
        asking = asyncio.create_task(ask(made.boxes[0], "/once/a", "r1"))
        await until(lambda: made.boxes[1].forwarded.open == 1)
        stopping = asyncio.create_task(made.boxes[1].stop())
        await asyncio.sleep(0.1)
        late = await ask(made.boxes[0], "/once/a", "r2")
        assert late.status == 503 and runs_by_id(made)["r2"] == 0
        assert (await asking).status == 200
        assert await stopping == 0

    cut_off_fleet(body)


def test_a_box_of_an_earlier_version_is_passed_nothing_and_both_go_on_serving():
    async def test():
        async with fleet() as made:
            links = await linked_boxes(made, 3)
            made.boxes[1].exchange._reaches_workers = lambda: False
            await until(lambda: not made.boxes[0].state.peers.peers_by_id["box-1"].reaches_workers)
            await cut_first(made, links)
            found = await outcomes_by_box(made, rounds=4)
            assert all(counts["served"] == counts.total() for counts in found), found
            assert made.boxes[1].state.metrics.forwards_received.get_all() == []
            for each in links:
                each.stop()

    run(test)


def test_a_worker_that_is_silent_for_a_second_cuts_nothing_off():
    async def test():
        async with fleet() as made:
            worker = await made.add_worker("only")
            boxes = [await made.add_box(f"box-{number}") for number in range(2)]
            for box in boxes:
                box.state.peers.seeds = tuple(("127.0.0.1", b.exchange.port) for b in boxes)
                await made.ready(box)
            links = [await link_box(box, [worker]) for box in boxes]
            await ask(boxes[0], "/safe/a", "first")
            for each in links:
                await each.cut(LinkFault.SILENT)
            asking = [
                asyncio.create_task(ask(box, "/once/a", f"r-{box.state.box}")) for box in boxes
            ]
            await asyncio.sleep(1.0)
            assert not any(box.state.links.are_lost for box in boxes)
            for each in links:
                await each.heal()
            assert [answer.status for answer in await asyncio.gather(*asking)] == [200, 200]
            for each in links:
                each.stop()

    run(test)


@pytest.mark.parametrize(
    ("mode", "is_ready", "status"),
    [
        (CutOffMode.FORWARD, True, 200),
        (CutOffMode.STAND_BACK, False, 503),
        (CutOffMode.BOTH, False, 200),
    ],
)
def test_the_setting_decides_what_a_box_in_a_cut_does(mode, is_ready, status):
    async def body(made, links):
        box = made.boxes[0]
        box.state.ways = msgspec.structs.replace(box.state.ways, cut_off=mode)
        assert box.is_ready is is_ready
        assert (await ask(box, "/once/a", "r1")).status == status
        await links[0].heal()
        await until(lambda: not box.state.links.are_lost)
        assert box.is_ready
        assert (await ask(box, "/once/a", "r2")).status == 200

    cut_off_fleet(body)


def test_a_limit_counts_a_request_once_also_if_the_cut_is_found_by_it():
    crew = organisation("crew", "crew-key", RatePerS=1000, Burst=10000, PlainTokens=200)

    async def test():
        async with fleet(config=config(organisations=(crew,))) as made:
            links = await linked_boxes(made, 2)
            balances = count_charges(made.boxes)
            await links[0].cut(LinkFault.HANGING)
            sent = [
                ask(made.boxes[0], "/safe/x", f"r{number}", extra=(bearer("crew-key"),))
                for number in range(4)
            ]
            answers = await asyncio.gather(*sent)
            served = sum(answer.status == 200 for answer in answers)
            assert served >= 1
            assert sum(balances) == 30 * served
            for each in links:
                each.stop()

    run(test)


def lose_links(box):
    """Let a box believe for good that it has lost its links to all workers."""
    box.state.links.lost_at = box.state.clock()
    box.state.links.note_round = lambda probes, now: None


@pytest.mark.parametrize("served_by", ["own_worker", "other_box"])
def test_a_limit_counts_a_request_once_that_a_silent_worker_kept_as_boxes_were_asked(
    served_by, monkeypatch
):
    """Guards against answers that no organisation is charged for, and against two charges."""
    crew = organisation("crew", "crew-key", RatePerS=1000, Burst=10000, PlainTokens=200)
    key = (bearer("crew-key"),)

    async def test():
        async with fleet(config=config(organisations=(crew,))) as made:
            own = await made.add_worker("w1", work_s=0.1)
            await made.add_worker("w2", zone="far")
            first, other = await boxes_that_know_one_another(made, 2)
            await until(lambda: first.state.peers.forward_candidates(first.state.clock()))
            while (await ask(first, "/safe/x", "before", extra=key)).status != 200:
                await asyncio.sleep(0.1)
            prefer(first, "w1")
            prefer(other, "w2")
            balances = count_charges(made.boxes)
            asking = asyncio.create_task(ask(first, "/safe/x", extra=key))
            await until(lambda: own.runs_of("r1"))
            own.pause()
            lose_links(first)
            if served_by == "own_worker":
                monkeypatch.setattr(forwarded_requests, "MIN_OPEN", 0)
                monkeypatch.setattr(forwarded_requests, "MAX_PER_OWN", 0)
                await until(lambda: first.state.metrics.forwards.get_all())
                own.resume()
            answer = await asking
            own.resume()
            worker = "w1" if served_by == "own_worker" else "w2"
            assert answer.status == 200 and answer.body == f"answer of {worker} to r1".encode()
            await until(lambda: not first.ingress.open_requests and not other.forwarded.open)
            assert sum(balances) == 30

    run(test)


def test_the_limit_of_a_worker_holds_and_each_call_takes_one_permit():
    async def test():
        async with fleet() as made:
            limited = await made.add_worker("w0")
            other = await made.add_worker("w1")
            limited.faults.limit = "2"
            boxes = await boxes_that_know_one_another(made, 3)
            links = await link_box(boxes[0], [limited, other])
            await until(lambda: boxes[0].state.can_forward)
            await links.cut(LinkFault.CLOSED)
            boxes[0].link_probe.request_round()
            await until(lambda: boxes[0].state.links.are_lost)
            taken = []
            for box in boxes:
                acquire = box.state.permits.acquire

                async def counted(worker, *args, acquire=acquire):
                    is_granted = await acquire(worker, *args)
                    if is_granted and worker.id == limited.id:
                        taken.append(worker.id)
                    return is_granted

                box.state.permits.acquire = counted
            callers = Callers(boxes, "/once/x")
            await callers.call_for(5.0)
            assert set(callers.statuses()) == {200}
            times = arrivals(limited, since=told_boxes(limited))
            assert most_in_a_window(times) <= allowed(2.0)
            limited_sends = len(limited.ran)
            assert len(taken) <= limited_sends
            assert boxes[0].state.metrics.forwards.get({"outcome": "answered"}) > 0
            assert all(count == 1 for count in runs_by_id(made).values())
            links.stop()

    run(test)
