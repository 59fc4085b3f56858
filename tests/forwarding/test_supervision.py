"""Tasks that fail are begun anew, at a bounded pace."""

import asyncio

from croftchute.forwarding import supervision
from croftchute.forwarding.supervision import MAX_PAUSE_S, Task, keep_going


class Log:
    def __init__(self):
        self.lines = []

    def decide(self, kind, *, outcome="", **inputs):
        self.lines.append((kind, inputs))


def test_a_task_that_fails_is_begun_anew_and_logged(monkeypatch):
    pauses = []

    async def sleep(seconds):
        pauses.append(seconds)
        if len(pauses) == 12:
            raise asyncio.CancelledError

    async def fail():
        raise KeyError("Address")

    async def body():
        log = Log()
        monkeypatch.setattr(supervision.asyncio, "sleep", sleep)
        task = asyncio.create_task(
            keep_going(Task(name="workers", work=fail), log=log, clock=lambda: 0.0)
        )
        await asyncio.wait([task])
        assert len(log.lines) == 12
        assert log.lines[0][1]["task"] == "workers"
        assert "Address" in log.lines[0][1]["detail"]
        assert pauses == sorted(pauses) and pauses[-1] == MAX_PAUSE_S

    asyncio.run(body())


def test_a_task_that_is_cancelled_ends():
    async def body():
        async def wait():
            await asyncio.Event().wait()

        work = keep_going(Task(name="notices", work=wait), log=Log(), clock=lambda: 0.0)
        task = asyncio.create_task(work)
        await asyncio.sleep(0)
        task.cancel()
        await asyncio.wait([task])
        assert task.cancelled()

    asyncio.run(body())
