"""Workers and a store whose answers have no end: callers are served, and the box goes on."""

import asyncio
import re

import pytest
from platform_fleet import ask, fleet, run, until
from stream_fleet import engines, prefer

from croftchute.standins.platform_worker import STAMP, PlatformWorker

HEAD = f"HTTP/1.1 200 OK\r\nX-Croftchute-Request-Id: ID\r\nX-Croftchute-Server-Stamp: {STAMP}\r\n"
CHUNKED = HEAD + "Transfer-Encoding: chunked\r\n\r\n"
ENDLESS_BY_NAME = {
    "header lines": (HEAD, "A: b\r\n" * 200),
    "a reason phrase": ("HTTP/1.1 200 ", "O" * 1000),
    "zeros in a chunk's size": (CHUNKED + "2\r\nok\r\n", "0" * 1000),
    "a chunk extension": (CHUNKED + "2;", "x" * 1000),
    "interim answers": ("", "HTTP/1.1 100 Continue\r\n\r\n" * 40),
}
LENGTH = re.compile(rb"content-length: *(\d+)", re.IGNORECASE)
REQUEST_ID = re.compile(rb"x-croftchute-request-id: *(\S+)", re.IGNORECASE)


class EndlessServer:
    """Answers calls of some path without an end, and grants all others, as holds are granted."""

    def __init__(self, *, name, path=""):
        self.first, self.repeated = ENDLESS_BY_NAME[name]
        self.path = path.encode()
        self.asked = 0

    async def start(self):
        self.server = await asyncio.start_server(self._serve, "127.0.0.1", 0)
        self.port = self.server.sockets[0].getsockname()[1]
        return self

    async def _serve(self, reader, writer):
        try:
            while True:
                request = await reader.readuntil(b"\r\n\r\n")
                length = LENGTH.search(request)
                await reader.readexactly(int(length.group(1)) if length else 0)
                if self.path in request.split(b"\r\n")[0]:
                    await self._flood(request, writer)
                writer.write(b"HTTP/1.1 200 OK\r\nContent-Length: 13\r\n\r\n" + b'{"Hold":"h1"}')
        except (ConnectionError, asyncio.IncompleteReadError):
            writer.close()

    async def _flood(self, request, writer):
        self.asked += 1
        found = REQUEST_ID.search(request)
        request_id = found.group(1).decode() if found else ""
        writer.write(self.first.replace("ID", request_id).encode())
        while True:
            writer.write(self.repeated.encode())
            await writer.drain()

    def close(self):
        self.server.close()


async def list_at(made, worker, port, service):
    """List a worker under the address of an endless server before it."""
    entry = worker.entry(service, "a") | {"Address": f"127.0.0.1:{port}"}
    made.store.put(f"servers/{worker.id}", entry)
    made.workers_by_id[worker.id] = worker


def move(store, port):
    """Have the next calls of a store go to another port."""
    store.port = port
    store.pool.close_owner("")


def outcomes(box):
    return re.findall(rb'sends_total{outcome="(\w+)"', box.state.metrics.text())


@pytest.mark.parametrize("name", ENDLESS_BY_NAME)
def test_a_call_that_may_be_repeated_is_served_by_another_worker(name):
    """Guards against callers that wait for an answer without end until their deadline."""

    async def body():
        async with fleet() as made:
            endless = await EndlessServer(name=name).start()
            await list_at(made, PlatformWorker(id="e1"), endless.port, "desk")
            await made.add_worker("w1")
            box = await made.add_box()
            await made.ready(box)
            prefer(box, "e1")
            answers = await asyncio.gather(
                *(ask(box, "/safe/x", f"r{number}") for number in range(4))
            )
            assert [answer.status for answer in answers] == [200] * 4
            assert endless.asked and b"endless" in outcomes(box)
            endless.close()

    run(body)


@pytest.mark.parametrize("name", ENDLESS_BY_NAME)
def test_a_call_that_may_run_once_is_never_said_not_to_have_run(name):
    """Guards against a promise for a request that a worker had when it began to send."""

    async def body():
        async with fleet() as made:
            endless = await EndlessServer(name=name).start()
            await list_at(made, PlatformWorker(id="e1"), endless.port, "desk")
            box = await made.add_box()
            await made.ready(box)
            assert (await ask(box, "/once/x")).status == 502
            assert endless.asked == 1
            endless.close()

    run(body)


@pytest.mark.parametrize("path", ["/hold-take", "/stream/", "/resume/"])
@pytest.mark.parametrize("name", ["header lines", "a chunk extension"])
def test_a_stream_is_begun_at_another_engine(name, path):
    """Guards against engines whose answers to holds, prompts or streams have no end."""

    async def body():
        async with fleet() as made:
            endless = await EndlessServer(name=name, path=path).start()
            await list_at(made, PlatformWorker(id="e1", stage="decode"), endless.port, "llm")
            box, _, _ = await engines(made)
            prefer(box, "e1")
            route = path if path == "/resume/" else "/stream/"
            answer = await ask(box, f"{route}x")
            assert endless.asked
            if path == "/stream/":
                assert answer.status == 502
            else:
                assert answer.status == 200 and answer.is_whole
            endless.close()

    run(body)


def test_a_prompt_whose_reading_is_answered_without_end_is_read_elsewhere():
    """Guards against a prefill worker whose answers have no end."""

    async def body():
        async with fleet() as made:
            endless = await EndlessServer(name="header lines", path="/stream/").start()
            await list_at(made, PlatformWorker(id="e1", stage="prefill"), endless.port, "llm")
            box, _, _ = await engines(made, prefills=0)
            answer = await ask(box, "/stream/x")
            assert endless.asked and answer.status == 200 and answer.is_whole
            endless.close()

    run(body)


@pytest.mark.parametrize("name", ENDLESS_BY_NAME)
def test_a_store_whose_answers_have_no_end_counts_as_not_answering(name):
    """Guards against a box that reads on at the store while its callers wait."""

    async def body():
        async with fleet() as made:
            await made.add_worker("w1")
            box = await made.add_box()
            await made.ready(box)
            store = box.follower.config.store
            sound_port = store.port
            endless = await EndlessServer(name=name).start()
            move(store, endless.port)
            followers = (box.follower.config, box.follower.workers)
            await until(lambda: all(follower._dependency.is_lost for follower in followers))
            assert (await ask(box, "/safe/x")).status == 200
            move(store, sound_port)
            await until(lambda: not any(follower._dependency.is_lost for follower in followers))
            endless.close()

    run(body)
