"""Requests that a stopping box takes late: each is answered, or refused before it is passed on.

Guards against LOST: requests that may run once were passed on, and cut when the stop was over.
"""

import asyncio
import contextlib

import msgspec
import pytest
from platform_fleet import ask, fleet, request_bytes, run, until

from croftchute.daemon import router_process

STOP_S = 4.0
ENTRY_S = 1.4


@pytest.fixture(autouse=True)
def short_entry(monkeypatch):
    monkeypatch.setattr(router_process, "ENTRY_GRACE_S", ENTRY_S)


async def begin_stop(box):
    """Begin a stop; return its task, whose result is 0 if nothing was cut off."""
    box.settings = msgspec.structs.replace(box.settings, stop_limit_s=STOP_S)
    stopping = asyncio.create_task(box.stop())
    await until(lambda: box.state.is_stopping)
    return stopping


@pytest.mark.parametrize("path", ["/once/x", "/safe/x"])
def test_a_request_that_outlasts_the_stop_is_not_passed_on(path):
    """The one before it took as long, and more than the stop has left."""

    async def body():
        async with fleet() as made:
            worker = await made.add_worker("w1", work_s=3.5)
            box = await made.add_box()
            await made.ready(box)
            assert (await ask(box, path, "before", deadline=8000)).status == 200
            stopping = await begin_stop(box)
            await asyncio.sleep(ENTRY_S - 0.2)
            late = asyncio.create_task(ask(box, path, "late", deadline=8000))
            assert await stopping == 0
            assert (await late).status == 503
            assert "late" not in worker.ran

    run(body)


def test_a_body_that_ends_late_in_a_stop_is_answered_or_refused():
    async def body():
        async with fleet() as made:
            worker = await made.add_worker("w1", work_s=1.5)
            box = await made.add_box()
            await made.ready(box)
            reader, writer = await asyncio.open_connection("127.0.0.1", box.ingress.port)
            data = request_bytes("/once/x", "slow", body=b"x" * 400, deadline=8000)
            data += b"x" * (400 - len(data.partition(b"\r\n\r\n")[2]))
            writer.write(data[:-25])
            stopping = await begin_stop(box)
            for _ in range(25):
                await asyncio.sleep(0.1)
                writer.write(b"x")
            answer = b""
            with contextlib.suppress(ConnectionError):
                answer = await asyncio.wait_for(reader.read(4096), 4.0)
            assert await stopping == 0
            assert b"200" in answer[:15] or b"503" in answer[:15]
            assert (b"503" in answer[:15]) == (worker.ran == [])

    run(body)
