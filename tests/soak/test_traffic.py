"""How the callers of the soak go on from one request to the next."""

import asyncio
import random
from types import SimpleNamespace

import pytest

from croftchute.soak import traffic
from croftchute.soak.traffic import Traffic
from croftchute.standins.platform_caller import RequestKind, Try

HEAD = b"HTTP/1.1 200 OK\r\ntransfer-encoding: chunked\r\n%b\r\n"


class Box:
    """Answers each request with an empty stream; keeps when each request came, by connection."""

    def __init__(self, extra=b""):
        self.extra = extra
        self.paths_by_connection = []

    async def serve(self, reader, writer):
        paths = []
        self.paths_by_connection.append(paths)
        try:
            while True:
                head = await reader.readuntil(b"\r\n\r\n")
                length = int(head.lower().partition(b"content-length:")[2].split(b"\r\n")[0])
                await reader.readexactly(length)
                paths.append(head.split(b" ")[1].decode())
                writer.write(HEAD % self.extra + b"0\r\n\r\n")
        except (asyncio.IncompleteReadError, ConnectionError):
            writer.close()


def called(box, monkeypatch, *, number, share, wanted):
    """Let one caller go on until it has asked so often; the pauses that it made."""
    pauses = []
    monkeypatch.setattr(traffic, "AT_ONCE_SHARE", share)
    monkeypatch.setattr(traffic, "MOVE_SHARE", 0.0)

    async def body():
        server = await asyncio.start_server(box.serve, "127.0.0.1", 0)
        port = server.sockets[0].getsockname()[1]
        callers = Traffic(
            world=SimpleNamespace(version=1),
            boxes=[SimpleNamespace(name="box-1", life=1)],
            links=[SimpleNamespace(host="127.0.0.1", port=port)],
            rng=random.Random(3),
        )

        async def note_chunk_gap(attempt, caller):
            pauses.append(attempt.path)

        callers._pause = note_chunk_gap
        task = asyncio.create_task(callers.keep_calling(number))
        async with asyncio.timeout(30):
            while len(callers.tries_by_id) < wanted:
                await asyncio.sleep(0.01)
        callers.is_over = True
        await task
        server.close()

    asyncio.run(body())
    return pauses


def test_a_caller_of_slow_streams_sends_the_next_at_once_on_its_connection(monkeypatch):
    box = Box()
    assert called(box, monkeypatch, number=0, share=1.0, wanted=5) == []
    (paths,) = box.paths_by_connection
    assert len(paths) >= 5
    assert all(path.startswith("/stream/slow/") for path in paths)


def test_a_share_of_callers_waits_after_a_stream(monkeypatch):
    box = Box()
    assert len(called(box, monkeypatch, number=0, share=0.0, wanted=5)) >= 5


def test_a_caller_whose_box_closes_does_not_go_on_at_once(monkeypatch):
    box = Box(extra=b"connection: close\r\n")
    assert len(called(box, monkeypatch, number=0, share=1.0, wanted=3)) >= 3
    assert all(len(paths) == 1 for paths in box.paths_by_connection)


@pytest.mark.parametrize(
    ("changes", "goes_on"),
    [
        ({}, True),
        ({"kind": RequestKind.RESUMABLE}, True),
        ({"kind": RequestKind.ONCE}, False),
        ({"is_whole": False}, False),
    ],
)
def test_only_a_whole_stream_is_followed_at_once(monkeypatch, changes, goes_on):
    monkeypatch.setattr(traffic, "AT_ONCE_SHARE", 1.0)
    fields = {
        "request_id": "r1",
        "kind": RequestKind.STREAM,
        "path": "/p",
        "body": b"",
        "box": "box-1",
        "sent_at": 0.0,
        "is_whole": True,
    }
    callers = Traffic(world=None, boxes=[], links=[], rng=random.Random(1))
    found = callers._goes_on_at_once(Try(**(fields | changes)), SimpleNamespace(is_kept=True))
    assert found == goes_on
