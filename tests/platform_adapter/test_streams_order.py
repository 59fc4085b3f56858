"""Streams in an order by rank, over the network: what is left behind when they end."""

import asyncio

import pytest
from platform_fleet import (
    ask,
    bearer,
    config,
    fleet,
    organisation,
    request_bytes,
    route,
    run,
    until,
)
from stream_fleet import engines, ran

from croftchute.forwarding.http.failures import ConnectFailedError
from croftchute.forwarding.workers.decode_reservation import DecodeReservation
from croftchute.forwarding.workers.worker_call import WorkerCall

ROUTES = [
    route(
        "first", "/first/", "streaming", "llm", Priority=0, TargetGapMs=300, TargetLatencyMs=3000
    ),
    route("last", "/last/", "streaming", "llm", Priority=2, TargetGapMs=300, TargetLatencyMs=3000),
]


def ordered(**options):
    return fleet(config=config(routes=ROUTES, **options))


def use_of(box, name):
    entries = box.state.organisation_use("llm").notices(box.state.clock())
    return next(entry for entry in entries if entry.name == name)


@pytest.mark.parametrize("path", ["/first/x", "/last/x"])
def test_a_caller_that_leaves_while_it_waits_for_room_waits_no_longer(path):
    """Guards against a request that is told as waiting for good: it would hold all others back."""

    async def body():
        async with ordered() as made:
            box, decode, _ = await engines(made)
            for worker in decode:
                worker.faults.has_no_room = True
            room = box.state.ranked_room("llm")
            for rank in (0, 1):
                # Room comes soon, by what was seen: the request goes on waiting.
                for _ in range(200):
                    room.note_granted(rank, box.state.clock())
            _, writer = await asyncio.open_connection("127.0.0.1", box.ingress.port)
            writer.write(request_bytes(path, "r1"))
            await until(lambda: sum(room.waiting_by_rank().values()) == 1)
            writer.transport.abort()
            await until(lambda: room.waiting_by_rank() == {})

    run(body)


def test_refused_and_served_requests_wait_no_longer():
    """Guards against the same after any other end."""

    async def body():
        async with ordered() as made:
            box, decode, _ = await engines(made, decodes=2)
            answers = await asyncio.gather(
                *(ask(box, ("/first/x", "/last/x")[n % 2], f"r{n}") for n in range(40))
            )
            assert all(answer.status in (200, 503) for answer in answers)
            for worker in decode:
                worker.faults.has_no_room = True
            refused = await ask(box, "/last/x", "r99", deadline=1000)
            assert refused.status == 503 and b"no_capacity" in refused.body
            assert 0 < float(refused.headers["retry-after"]) <= 0.32
            assert box.state.ranked_room("llm").waiting_by_rank() == {}
            assert ran(decode, "r99") == 0

    run(body)


def test_a_stream_that_reserves_room_twice_counts_once_for_its_organisation(monkeypatch):
    """The fault: each time it asked for room again its tokens were counted anew."""
    opened, reserve = WorkerCall.open, DecodeReservation.reserve
    refused, reserved = [], []

    async def open_once_refused(self):
        if not self.send.is_prefill and not refused:
            refused.append(self.worker.id)
            raise ConnectFailedError("refused for the test")
        await opened(self)

    async def counted(self):
        reserved.append(self)
        return await reserve(self)

    monkeypatch.setattr(WorkerCall, "open", open_once_refused)
    monkeypatch.setattr(DecodeReservation, "reserve", counted)

    async def body():
        async with ordered(organisations=[organisation("acme", "key-a")]) as made:
            box, _, _ = await engines(made)
            answer = await ask(box, "/first/x", "r1", extra=[bearer("key-a")], tokens="10,20")
            assert answer.is_whole and len(reserved) == 2
            use = use_of(box, "acme")
            assert 0.0 < use.granted_tokens <= use.asked_tokens + 1e-9 <= 30.0 + 1e-6

    run(body)
