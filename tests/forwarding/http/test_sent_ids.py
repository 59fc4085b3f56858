"""Ids of requests on a connection, and the answers that they tell apart."""

import asyncio
import socket

import pytest
from hypothesis import given, settings
from hypothesis import strategies as st

from croftchute.forwarding.http import sent_ids
from croftchute.forwarding.http.connection_pool import ConnectionPool
from croftchute.forwarding.http.failures import ConnectFailedError, ExchangeError
from croftchute.forwarding.http.http_client import RECEIVED, ClientConnection
from croftchute.forwarding.http.sent_ids import SentIds

ID = b"x-id"
MAX_BYTES = 1 << 16


class FakeTransport(asyncio.Transport):
    """A transport that sends nothing."""

    def __init__(self, sock):
        super().__init__({"socket": sock})
        self.is_closed = False

    def write(self, data):
        pass

    def get_write_buffer_size(self):
        return 0

    def is_closing(self):
        return self.is_closed

    def abort(self):
        self.is_closed = True

    def pause_reading(self):
        pass

    def resume_reading(self):
        pass


class Worker(ConnectionPool):
    """A pool whose connections lead to a scripted worker: tests feed them its answers."""

    def __init__(self, sock):
        super().__init__()
        self.sock = sock
        self.answers_by_connection = {}

    async def connect(self, host, port, timeout_s, *, limits=None):
        connection = ClientConnection()
        connection.connection_made(FakeTransport(self.sock))
        self.answers_by_connection[connection] = []
        return connection


def answer(status, request_id, mark, body):
    lines = [b"HTTP/1.1 %d Status" % status, ID + b": " + request_id, b"x-mark: %d" % mark]
    lines += [b"Content-Length: %d" % len(body), b"", body]
    return b"\r\n".join(lines)


def feed(connection, data, piece):
    for start in range(0, len(data), piece):
        if connection.transport.is_closing():
            return
        part = data[start : start + piece]
        RECEIVED[: len(part)] = part
        connection.buffer_updated(len(part))


def run(coroutine):
    return asyncio.run(coroutine)


async def acquire(pool, request_id):
    return await pool.acquire("w", 1, owner="w", now=0.0, timeout_s=1.0, request_id=request_id)


@pytest.fixture
def sock():
    with socket.socket() as made:
        yield made


def test_an_id_is_never_sent_twice_on_one_connection(sock):
    """Guards against a late copy of an answer that stands for the answer to a second sending."""

    async def body():
        pool = Worker(sock)
        first = await acquire(pool, b"r1")
        first.send(b"request", expected=(ID, b"r1"))
        feed(first, answer(503, b"r1", 1, b""), 1000)
        assert (await first.read_head()).status == 503
        pool.release(first, "w", 1, owner="w", now=0.0)
        second = await acquire(pool, b"r1")
        assert second is not first
        with pytest.raises(ConnectFailedError):
            first.send(b"request", expected=(ID, b"r1"))
        other = await acquire(pool, b"r2")
        assert other is first, "another request goes on using the connection"
        assert pool.opened == 2

    run(body())


def test_a_connection_ends_rather_than_forget_an_id(sock, monkeypatch):
    """Guards against a copy of an answer that comes after very many other exchanges."""
    monkeypatch.setattr(sent_ids, "MAX_SENT_IDS", 3)

    async def body():
        pool = Worker(sock)
        for number in range(3):
            connection = await acquire(pool, b"r%d" % number)
            connection.send(b"request", expected=(ID, b"r%d" % number))
            feed(connection, answer(200, b"r%d" % number, 1, b"ok"), 1000)
            await connection.read_body(MAX_BYTES)
            pool.release(connection, "w", 1, owner="w", now=0.0)
        assert connection.transport.is_closing()
        assert pool.opened == 1

    run(body())


def test_an_answer_to_a_request_is_no_answer_to_an_own_call(sock):
    """Guards against a late copy of an answer that stands for one to a call without an id."""

    async def body():
        connection = await acquire(Worker(sock), b"")
        connection.send(b"call", expected=(ID, b""))
        feed(connection, answer(503, b"r1", 1, b"busy"), 7)
        feed(connection, b"HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok", 7)
        assert (await connection.read_head()).status == 200
        assert await connection.read_body(MAX_BYTES) == b"ok"
        assert connection.skipped_answers == 1

    run(body())


@given(st.lists(st.binary(min_size=1, max_size=3), max_size=60))
def test_sent_ids_hold_what_was_added(added):
    sent = SentIds()
    for each in added:
        sent.add(each)
    assert all(each in sent for each in added)
    assert len(sent) == len(added)


SENDINGS = st.lists(
    st.tuples(
        st.sampled_from([b"r1", b"r2", b"r3"]),
        st.sampled_from([200, 503]),
        st.lists(st.integers(0, 5), max_size=2),
        st.booleans(),
        st.lists(st.integers(0, 5), max_size=2),
        st.integers(1, 90),
        st.binary(max_size=40),
    ),
    max_size=12,
)
"""Sendings: id, status, copies of earlier answers ahead of the one that is due, whether these come
while the connection is idle, copies behind it, bytes in a piece, body."""


@settings(deadline=None)
@given(SENDINGS)
def test_the_answer_to_a_sending_is_never_that_to_another_one(sendings):
    """Guards against copies before, with or after the answer that is due, in pieces of any size."""

    async def body(sock):
        pool = Worker(sock)
        for mark, (request_id, status, ahead, is_early, behind, piece, content) in enumerate(
            sendings
        ):
            connection = await acquire(pool, request_id)
            given_before = pool.answers_by_connection[connection]
            copies = b"".join(given_before[n % len(given_before)] for n in ahead if given_before)
            due = answer(status, request_id, mark, content)
            given_before.append(due)
            if is_early:
                feed(connection, copies, piece)
                copies = b""
            try:
                connection.send(b"request", expected=(ID, request_id))
                copies_behind = b"".join(given_before[n % len(given_before)] for n in behind)
                feed(connection, copies + due + copies_behind, piece)
                head = await connection.read_head()
                assert head.get(b"x-mark") == b"%d" % mark
                assert await connection.read_body(MAX_BYTES) == content
            except ExchangeError:
                assert is_early
            pool.release(connection, "w", 1, owner="w", now=0.0)

    with socket.socket() as sock:
        run(body(sock))
