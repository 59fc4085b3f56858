"""Room at engines by rank, with real boxes before stand-in engines that have too little of it."""

from platform_fleet import ask, config, fleet, run, until
from rank_fleet import (
    begin,
    boxes_before_a_full_engine,
    holds_back,
    is_waiting,
    keep_lines,
    lines_of,
    open_request,
    ordered_config,
    ran_in_all,
    waiting,
)
from stream_fleet import engines

from croftchute.forwarding.workers.decode_reservation import DecodeReservation
from croftchute.systems.room_order import MIN_TOTAL_WAIT_S

ORDER_FIELDS = {"rank", "room_rank", "entry_rank", "entry_age_s"}


def test_an_urgent_stream_gets_room_before_less_urgent_ones_that_waited_longer():
    """Guards against room going to whoever asks next: the calm ones wait first, at another box."""

    async def body():
        async with fleet(config=ordered_config()) as made:
            (one, other), engine = await boxes_before_a_full_engine(made, 2)
            kept, asks = keep_lines(one), keep_lines(other)
            asking = [begin(one, "/calm/x", f"calm-{n}") for n in range(3)]
            await is_waiting(one, r1=3)
            asking.append(begin(other, "/urgent/x", "urgent"))
            await is_waiting(other, r0=1)
            await holds_back(one, 1)
            asks.clear()
            await until(lambda: len(lines_of(asks, "urgent", "hold_asked")) > 3)
            kept.clear()
            await until(lambda: len(lines_of(asks, "urgent", "hold_asked")) > 12)
            assert not any(line["event"] == "hold_asked" for line in kept)
            ran = await ran_in_all(engine, 4)
            assert ran[0] == "urgent"
            assert sorted(ran[1:]) == ["calm-0", "calm-1", "calm-2"]
            assert [(await task).status for task in asking] == [200] * 4

    run(body)


def test_a_box_without_peers_orders_its_own_requests():
    """Guards against an order that rests on news of peers: a cut-off box would have none."""

    async def body():
        async with fleet(config=ordered_config()) as made:
            (box,), engine = await boxes_before_a_full_engine(made)
            kept = keep_lines(box)
            asking = [begin(box, "/calm/x", "calm")]
            await is_waiting(box, r1=1)
            asking += [begin(box, "/urgent/x", f"urgent-{n}") for n in range(2)]
            await is_waiting(box, r0=2, r1=1)
            await holds_back(box, 1)
            ran = await ran_in_all(engine, 3)
            assert ran[-1] == "calm"
            assert [(await task).status for task in asking] == [200] * 3
            assert not box.state.peers.peers_by_id
            last = lines_of(kept, "urgent-0", "hold_asked")[-1]
            assert (last["rank"], last["room_rank"], last["outcome"]) == (0, 0, "granted")
            assert last.keys() >= ORDER_FIELDS

    run(body)


def test_streams_of_one_priority_are_served_as_before():
    """Guards against an order that nobody asked for: another pace of asks, other log lines."""

    async def body():
        async with fleet(config=ordered_config(urgent=1, calm=1)) as made:
            (box,), engine = await boxes_before_a_full_engine(made)
            kept = keep_lines(box)
            asking = [begin(box, "/calm/x", "first"), begin(box, "/urgent/x", "second")]
            await until(lambda: box.state.room("llm").counts(box.state.clock()).waited_s > 0.3)
            assert box.state.ranked_room_by_service == {}
            await ran_in_all(engine, 2)
            assert [(await task).status for task in asking] == [200] * 2
            engine.free_holds = 0
            box.state.room("llm").note_waited(600.0, box.state.clock())
            assert (await ask(box, "/calm/x", "third")).status == 503
            assert lines_of(kept, "third", "wait_ended")
            assert not any(ORDER_FIELDS & line.keys() for line in kept)
            assert box.state.metrics.room_refusals.get_all() == []

    run(body)


def test_a_change_of_priorities_takes_effect_while_requests_wait():
    """Guards against ranks kept from the configuration before, and requests lost by the change."""

    async def body():
        async with fleet(config=ordered_config()) as made:
            (box,), engine = await boxes_before_a_full_engine(made)
            asking = [begin(box, "/calm/x", "old-calm")]
            await is_waiting(box, r1=1)
            made.store.put("op/config", ordered_config(8, urgent=3, calm=1))
            await until(lambda: box.state.table.version == 8)
            asking.append(begin(box, "/urgent/x", "new-urgent"))
            await is_waiting(box, r1=2)
            asking.append(begin(box, "/calm/x", "new-calm"))
            await is_waiting(box, r0=1, r1=2)
            await holds_back(box, 1)
            ran = await ran_in_all(engine, 3)
            assert ran[0] == "new-calm"
            assert [(await task).status for task in asking] == [200] * 3

    run(body)


def test_requests_that_wait_are_served_when_the_order_ends_and_begins():
    """Guards against requests that hold back for ever, or stay counted, once the order is off."""

    async def body():
        async with fleet(config=ordered_config()) as made:
            (box,), engine = await boxes_before_a_full_engine(made)
            asking = [begin(box, "/urgent/x", "urgent"), begin(box, "/calm/x", "calm")]
            await is_waiting(box, r0=1, r1=1)
            made.store.put("op/config", ordered_config(8, urgent=1, calm=1))
            await until(lambda: box.state.table.version == 8)
            asking.append(begin(box, "/calm/x", "unordered"))
            await until(lambda: box.state.room("llm").counts(box.state.clock()).waited_s > 0.0)
            made.store.put("op/config", ordered_config(9))
            await until(lambda: box.state.table.version == 9)
            await ran_in_all(engine, 3)
            assert [(await task).status for task in asking] == [200] * 3
            assert waiting(box) == {}

    run(body)


def test_a_caller_that_leaves_while_it_waits_is_no_longer_told_as_waiting():
    """Guards against requests that hold back for one that nobody wants served any more."""

    async def body():
        async with fleet(config=ordered_config()) as made:
            (one, other), engine = await boxes_before_a_full_engine(made, 2)
            writer = await open_request(one, "/urgent/x", "urgent")
            asking = begin(other, "/calm/x", "calm")
            await holds_back(other, 1)
            writer.transport.abort()
            await until(lambda: waiting(one) == {})
            await until(lambda: not other.state.room_view("llm").waiting_by_rank.get(0))
            engine.free_holds = 1
            assert (await asking).status == 200
            assert engine.ran == ["calm"]

    run(body)


def test_a_request_that_is_held_back_is_refused_with_its_cause_in_line_and_metric():
    """Guards against refusals of which an operator can't tell whether the order caused them."""

    async def body():
        async with fleet(config=ordered_config()) as made:
            (one, other), _ = await boxes_before_a_full_engine(made, 2)
            kept = keep_lines(other)
            writer = await open_request(one, "/urgent/x", "urgent")
            await holds_back(other, 1)
            asking = begin(other, "/calm/x", "calm")
            await is_waiting(other, r1=1)
            other.state.ranked_room("llm").note_waited(1, 600.0, other.state.clock())
            assert (await asking).status == 503
            for event in ("wait_ended", "request_refused"):
                (line,) = lines_of(kept, "calm", event)
                assert (line["rank"], line["room_rank"], line["entry_rank"]) == (1, 2, 0)
                assert 0.0 <= line["entry_age_s"] <= 2.0
            assert line["detail"] == "more urgent requests wait for room"
            assert other.state.metrics.room_refusals.get_all() == [
                ({"cause": "held_back", "rank": "1", "service": "llm"}, 1)
            ]
            writer.transport.abort()

    run(body)


def test_a_request_that_no_engine_has_room_for_is_counted_under_that_cause():
    """Guards against a lack of memory that looks like the work of the order."""

    async def body():
        async with fleet(config=ordered_config()) as made:
            (box,), _ = await boxes_before_a_full_engine(made)
            asking = begin(box, "/urgent/x", "urgent")
            await is_waiting(box, r0=1)
            box.state.ranked_room("llm").note_waited(0, 600.0, box.state.clock())
            assert (await asking).status == 503
            assert box.state.metrics.room_refusals.get_all() == [
                ({"cause": "no_room", "rank": "0", "service": "llm"}, 1)
            ]

    run(body)


def test_a_request_that_got_room_is_no_longer_taken_for_held_back(monkeypatch):
    """Guards against a later refusal, for another reason, that is told as the work of the order."""
    reserve, held_back = DecodeReservation.reserve, []

    async def reserve_and_keep(self):
        found = await reserve(self)
        if found is not None:
            held_back.append((self.run.facts.id, self.run.is_held_back))
        return found

    monkeypatch.setattr(DecodeReservation, "reserve", reserve_and_keep)

    async def body():
        async with fleet(config=ordered_config()) as made:
            (one, other), engine = await boxes_before_a_full_engine(made, 2)
            writer = await open_request(one, "/urgent/x", "urgent")
            await holds_back(other, 1)
            asking = begin(other, "/calm/x", "calm")
            await is_waiting(other, r1=1)
            writer.transport.abort()
            await until(lambda: waiting(one) == {})
            engine.free_holds = 1
            assert (await asking).status == 200
            assert held_back == [("calm", False)]

    run(body)


def test_a_rank_that_waits_but_shortly_holds_nobody_back():
    """Guards against less urgent requests kept from room by a single ask that found none."""

    async def body():
        async with fleet(config=ordered_config()) as made:
            (box,), _ = await boxes_before_a_full_engine(made)
            room = box.state.ranked_room("llm")
            room.begin_wait(0)
            room.note_waited(0, MIN_TOTAL_WAIT_S / 2, box.state.clock())
            assert box.state.room_view("llm").starved_rank() is None
            assert box.state.room_view("llm").starved_report_age_s(box.state.clock()) is None

    run(body)


def test_the_usual_configuration_has_no_order():
    """Guards against an order where all streaming routes have one priority, as before."""

    async def body():
        async with fleet(config=config()) as made:
            box, _, _ = await engines(made)
            kept = keep_lines(box)
            assert (await ask(box, "/stream/x")).status == 200
            assert lines_of(kept, "r1", "hold_asked")
            assert not any(ORDER_FIELDS & line.keys() for line in kept)

    run(body)
