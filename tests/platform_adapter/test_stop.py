"""What a stopping box does with requests that come when it takes no callers any more."""

import asyncio
import contextlib
import json

import msgspec
import pytest
from platform_fleet import (
    ask,
    config,
    fleet,
    read_answer,
    read_chunks,
    request_bytes,
    route,
    run,
    until,
)

from croftchute.daemon import router_process
from croftchute.forwarding.decision_log import Decision


class Gate:
    """Holds the work of a stand-in worker up until it is opened."""

    def __init__(self, worker):
        self.opened = asyncio.Event()
        if worker.stage:
            worker._pause = self.wait
        else:
            worker._work = self.wait

    async def wait(self, request, reader):
        await self.opened.wait()
        return True


@contextlib.asynccontextmanager
async def one_box():
    """A box before a plain worker and a decode worker, and a connection to it.

    Connections may be idle for an hour, so that only the stop can end them in a test.
    """
    limits = config()["Limits"] | {"IdleTimeoutMs": 3_600_000}
    async with fleet(config=config(limits=limits)) as made:
        desk = await made.add_worker("w1")
        engine = await made.add_worker("d1", service="llm", stage="decode", gap_s=1.0)
        box = await made.add_box()
        await made.ready(box)
        reader, writer = await asyncio.open_connection("127.0.0.1", box.ingress.port)
        try:
            yield box, desk, engine, reader, writer
        finally:
            writer.close()


@contextlib.asynccontextmanager
async def stopped_entry(box):
    """A box whose stop takes no callers, in the time between two looks at what is open."""
    stopping = asyncio.create_task(box.stop())
    await until(lambda: box.is_stopping)
    try:
        yield
    finally:
        stopping.cancel()


async def answer_or_end(reader):
    """An answer, or nothing if the connection ended without one."""
    try:
        return await read_answer(reader)
    except (asyncio.IncompleteReadError, ConnectionError):
        return None


async def after_a_stream():
    """A stream that began before the stop ends during it; the caller sends the next request."""
    async with one_box() as (box, _, engine, reader, writer):
        gate = Gate(engine)
        writer.write(request_bytes("/stream/x", "r1"))
        head = await reader.readuntil(b"\r\n\r\n")
        assert b" 200 " in head and b"close" not in head.lower()
        async with stopped_entry(box):
            gate.opened.set()
            assert (await read_chunks(reader))[1]
            with contextlib.suppress(ConnectionError):
                writer.write(request_bytes("/stream/x", "r2"))
            answer = await answer_or_end(reader)
        return answer, engine.runs_of("r2")


async def behind_another_request():
    """A request that was read before the stop has its turn during it."""
    async with one_box() as (box, desk, _, reader, writer):
        gate = Gate(desk)
        writer.write(request_bytes("/once/x", "r1") + request_bytes("/once/x", "r2"))
        await until(lambda: desk.received and box.ingress.counts().queued_requests == 1)
        async with stopped_entry(box):
            gate.opened.set()
            assert (await read_answer(reader)).status == 200
            answer = await answer_or_end(reader)
        return answer, desk.runs_of("r2")


async def read_in_parts():
    """A request began to come before the stop and is whole during it."""
    async with one_box() as (box, desk, _, reader, writer):
        data = request_bytes("/once/x", "r2")
        writer.write(data[:40])
        await until(lambda: box.ingress.counts().reading == 1)
        async with stopped_entry(box):
            writer.write(data[40:])
            answer = await answer_or_end(reader)
        return answer, desk.runs_of("r2")


async def on_a_connection_let_in_late():
    """A connection came up though callers are no longer taken."""
    async with one_box() as (box, desk, _, _, _):
        box.ingress.stop_accepting = lambda: None
        async with stopped_entry(box):
            answer = await ask(box, "/once/x", "r2")
        return answer, desk.runs_of("r2")


WAYS = (after_a_stream, behind_another_request, read_in_parts, on_a_connection_let_in_late)


def test_no_request_reaches_a_worker_once_a_stop_takes_no_callers(monkeypatch):
    """A stream that was taken 4.4 s after SIGTERM was cut when the time of the stop was over."""
    monkeypatch.setattr(router_process, "ENTRY_GRACE_S", 0.0)
    monkeypatch.setattr(router_process, "STOP_CHECK_S", 3600.0)
    found = {}

    async def body():
        for way in WAYS:
            answer, runs = await way()
            found[way.__name__] = (answer.status if answer else None, runs)

    run(body)
    assert {way: ended for way, ended in found.items() if ended not in ((503, 0), (None, 0))} == {}


def test_a_connection_ends_with_the_stream_that_did_not_say_that_it_closes(monkeypatch):
    """No look at what is open comes in between, and the caller sends nothing."""
    monkeypatch.setattr(router_process, "ENTRY_GRACE_S", 0.0)
    monkeypatch.setattr(router_process, "STOP_CHECK_S", 3600.0)

    async def body():
        async with one_box() as (box, _, engine, reader, writer):
            gate = Gate(engine)
            writer.write(request_bytes("/stream/x", "r1"))
            await reader.readuntil(b"\r\n\r\n")
            async with stopped_entry(box):
                gate.opened.set()
                assert (await read_chunks(reader))[1]
                assert await reader.read() == b""

    run(body)


@pytest.mark.parametrize(
    "way", [behind_another_request, read_in_parts, on_a_connection_let_in_late]
)
def test_a_refusal_of_a_stopping_box_says_that_nothing_ran_and_that_the_connection_ends(
    monkeypatch, way
):
    monkeypatch.setattr(router_process, "ENTRY_GRACE_S", 0.0)
    monkeypatch.setattr(router_process, "STOP_CHECK_S", 3600.0)

    async def body():
        answer, runs = await way()
        assert (answer.status, runs) == (503, 0)
        assert json.loads(answer.body) == {"code": "draining", "ran": "not_run"}
        assert answer.headers["x-croftchute-request-id"] == "r2"
        assert 0.0 < float(answer.headers["retry-after"]) < 1.0
        assert answer.headers["connection"] == "close"

    run(body)


def test_all_that_wait_on_a_connection_are_refused_in_their_order_and_counted(monkeypatch):
    monkeypatch.setattr(router_process, "ENTRY_GRACE_S", 0.0)
    monkeypatch.setattr(router_process, "STOP_CHECK_S", 3600.0)

    async def body():
        async with one_box() as (box, desk, _, reader, writer):
            gate = Gate(desk)
            writer.write(b"".join(request_bytes("/once/x", f"r{n}") for n in range(4)))
            await until(lambda: desk.received and box.ingress.counts().queued_requests == 3)
            seen = []
            box.state.log.decide = lambda kind, **facts: seen.append((kind, facts))
            async with stopped_entry(box):
                gate.opened.set()
                answers = [await read_answer(reader) for _ in range(4)]
                assert await reader.read() == b""
            assert [answer.status for answer in answers] == [200, 503, 503, 503]
            closes = ["connection" in answer.headers for answer in answers]
            assert closes == [False, False, False, True]
            ids = [answer.headers["x-croftchute-request-id"] for answer in answers]
            assert ids == ["r0", "r1", "r2", "r3"]
            assert desk.ran == ["r0"]
            refused = [facts for kind, facts in seen if kind is Decision.REQUEST_REFUSED]
            assert [facts["outcome"] for facts in refused] == ["draining"] * 3
            assert [facts["stop"]["number_on_connection"] for facts in refused] == [2, 3, 4]
            text = box.state.metrics.text().decode()
            assert 'croftchute_requests_total{outcome="draining",route=""} 3' in text

    run(body)


def test_a_kept_connection_is_served_while_a_stop_still_takes_callers(monkeypatch):
    monkeypatch.setattr(router_process, "ENTRY_GRACE_S", 3600.0)

    async def body():
        async with one_box() as (box, _, engine, reader, writer):
            gate = Gate(engine)
            writer.write(request_bytes("/stream/x", "r1"))
            await reader.readuntil(b"\r\n\r\n")
            seen = []
            box.state.log.observer = seen.append
            async with stopped_entry(box):
                gate.opened.set()
                assert (await read_chunks(reader))[1]
                writer.write(request_bytes("/stream/x", "r2"))
                answer = await read_answer(reader)
                assert (answer.status, answer.is_whole) == (200, True)
                assert answer.headers["connection"] == "close"
                assert await reader.read() == b""
            assert engine.runs_of("r2") == 1
            assert Decision.TAKEN_WHILE_STOPPING in seen

    run(body)


def test_peers_are_answered_on_their_connection_throughout_a_stop(monkeypatch):
    monkeypatch.setattr(router_process, "ENTRY_GRACE_S", 0.0)
    monkeypatch.setattr(router_process, "STOP_CHECK_S", 3600.0)

    async def body():
        async with one_box() as (box, _, _, _, _):
            reader, writer = await asyncio.open_connection("127.0.0.1", box.control.port)
            async with stopped_entry(box):
                for _ in range(3):
                    writer.write(b"GET /known?prefix=op%2Fconfig HTTP/1.1\r\nHost: x\r\n\r\n")
                    answer = await read_answer(reader)
                    assert answer.status == 200
                    assert "connection" not in answer.headers
            writer.close()

    run(body)


def test_a_stream_that_waits_for_room_is_refused_before_the_stop_ends(monkeypatch):
    """It got no answer at all when the process ended, though no worker was ever asked to run it."""

    async def body():
        routes = [
            route("stream", "/stream/", "streaming", "llm", MaxAttempts=1, TargetLatencyMs=60_000)
        ]
        async with fleet(config=config(routes=routes)) as made:
            engine = await made.add_worker("d1", service="llm", stage="decode")
            engine.faults.has_no_room = True
            box = await made.add_box()
            await made.ready(box)
            asking = asyncio.create_task(ask(box, "/stream/x", "r1", deadline=120_000))
            await until(lambda: any(r.path == "/hold-take" for r in engine.received))
            box.settings = msgspec.structs.replace(
                box.settings, stop_limit_s=router_process.STOP_MARGIN_S + 1.0
            )
            assert await box.stop() == 0
            answer = await asking
            assert answer.status == 503 and float(answer.headers["retry-after"]) > 0.0
            assert engine.runs_of("r1") == 0

    run(body)
