"""What tests of the order for room share: urgent and calm routes, engines without room, lines."""

from __future__ import annotations

import asyncio
from functools import partial

from limit_fleet import boxes_that_know_one_another
from platform_fleet import ask, config, request_bytes, route, until

LONG = {"TimeoutMs": 40_000, "TargetLatencyMs": 20_000, "TargetGapMs": 300, "MaxAttempts": 1}
"""Times of a route that no wait of these tests comes near, also on a busy machine."""


def ordered_config(version=7, *, urgent=0, calm=2, **options):
    """Two streaming routes to one service, with their priorities (0 goes first)."""
    routes = [
        route("urgent", "/urgent/", "streaming", "llm", Priority=urgent, **LONG),
        route("calm", "/calm/", "streaming", "llm", Priority=calm, **LONG),
    ]
    return config(version, routes=routes, **options)


async def boxes_before_a_full_engine(made, count=1):
    """Boxes that hear one another, and the one decode worker, which grants no hold."""
    engine = await made.add_worker("d0", service="llm", stage="decode")
    engine.free_holds = 0
    await made.add_worker("p0", service="llm", stage="prefill")
    return await boxes_that_know_one_another(made, count), engine


def begin(box, path, request_id, **options):
    """A request whose answer is waited for later."""
    return asyncio.create_task(ask(box, path, request_id, deadline=40_000, **options))


async def open_request(box, path, request_id):
    """A request on a connection that the test closes itself."""
    _, writer = await asyncio.open_connection("127.0.0.1", box.ingress.port)
    writer.write(request_bytes(path, request_id, deadline=40_000))
    return writer


def waiting(box):
    """Requests that wait at a box for a hold, by room rank."""
    return box.state.ranked_room("llm").waiting_by_rank()


async def is_waiting(box, **count_by_rank):
    """Wait until so many requests of each rank wait at a box in time, given as ``r0=1``."""
    wanted = {2 * int(name[1:]): count for name, count in count_by_rank.items()}
    await until(lambda: waiting(box) == wanted)


async def holds_back(box, rank):
    """Wait until a box knows that a request of a rank leaves room to more urgent ones."""
    way = box.state.room_order("llm")
    await until(lambda: box.state.room_view("llm").holds_back(rank, way))


async def ran_in_all(engine, count):
    """Free one hold at a time until so many requests ran; their ids in order."""
    for ran in range(1, count + 1):
        engine.free_holds = 1
        await until(partial(_has_run, engine, ran))
    return list(engine.ran)


def _has_run(engine, count):
    return len(engine.ran) >= count


def keep_lines(box):
    """Keep what a box logs from now on, as dicts with ``event``."""
    kept = []
    decide = box.state.log.decide

    def keep(kind, **fields):
        kept.append({"event": kind.value} | fields)
        decide(kind, **fields)

    box.state.log.decide = keep
    return kept


def lines_of(kept, request_id, event):
    return [line for line in kept if (line.get("request_id"), line["event"]) == (request_id, event)]
