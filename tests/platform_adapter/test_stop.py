"""What a stopping box does with requests that come when it takes no callers any more."""

import asyncio
import contextlib

from platform_fleet import ask, fleet, read_answer, read_chunks, request_bytes, run, until

from croftchute.daemon import router_process


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
    """A box before a plain worker and a decode worker, and a connection to it."""
    async with fleet() as made:
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
