"""Answers that have no end: the connection is closed by the bytes that came, not by time."""

import asyncio

import pytest
from hypothesis import given, settings
from hypothesis import strategies as st

from croftchute.answer_bounds import (
    MAX_FRAMING_BYTES,
    MAX_FRAMING_RATIO,
    MAX_HEADERS,
    MAX_SKIPPED_BYTES,
)
from croftchute.forwarding.http.connection_pool import open_connection
from croftchute.forwarding.http.failures import AnswerEndlessError
from croftchute.forwarding.http.http_client import RECEIVE_BYTES, RECEIVED, ClientConnection

EXPECTED = (b"x-id", b"r1")
HEAD = b"HTTP/1.1 200 OK\r\nX-Id: r1\r\n"
CHUNKED = HEAD + b"Transfer-Encoding: chunked\r\n\r\n"
OTHER = b"HTTP/1.1 200 OK\r\nX-Id: r0\r\nContent-Length: 1000\r\n\r\n" + b"o" * 1000

ENDLESS_BY_NAME = {
    "header lines": (HEAD, b"A: b\r\n" * 200),
    "a header line": (HEAD + b"A: ", b"b" * 1000),
    "a reason phrase": (b"HTTP/1.1 200 ", b"O" * 1000),
    "zeros in a chunk's size": (CHUNKED + b"2\r\nok\r\n", b"0" * 1000),
    "a chunk extension": (CHUNKED + b"2;", b"x" * 1000),
    "chunks of a byte with extensions": (CHUNKED, b"1;" + b"x" * 998 + b"\r\nA\r\n"),
    "interim answers": (b"", b"HTTP/1.1 100 Continue\r\n\r\n" * 40),
    "answers to other requests": (b"", OTHER),
    "trailer lines of an answer to another request": (
        b"HTTP/1.1 200 OK\r\nX-Id: r0\r\nTransfer-Encoding: chunked\r\n\r\n0\r\n",
        b"A: b\r\n" * 200,
    ),
}
TRAILERS_BY_NAME = {
    "trailer lines": b"A: b\r\n" * 200,
    "a trailer line": b"A" * 1000,
    "the value of a trailer": b"A: " + b"b" * 1000,
}
MAX_READ_BYTES = MAX_FRAMING_BYTES + MAX_SKIPPED_BYTES + MAX_FRAMING_RATIO * 1000 + RECEIVE_BYTES


class CountingConnection(ClientConnection):
    """A connection that counts what it reads."""

    read_bytes = 0

    def buffer_updated(self, nbytes):
        self.read_bytes += nbytes
        super().buffer_updated(nbytes)


async def exchange(first, repeated):
    """The connection, and the body or the error of an exchange with a server without an end."""

    async def serve(reader, writer):
        await reader.readuntil(b"\r\n\r\n")
        writer.write(first)
        try:
            while True:
                writer.write(repeated)
                await writer.drain()
        except ConnectionError:
            pass

    server = await asyncio.start_server(serve, "127.0.0.1", 0)
    port = server.sockets[0].getsockname()[1]
    connection = await open_connection("127.0.0.1", port, 5.0, kind=CountingConnection)
    connection.send(b"GET / HTTP/1.1\r\n\r\n", expected=EXPECTED)
    try:
        async with asyncio.timeout(10.0):
            await connection.read_head()
            return connection, await connection.read_body(MAX_READ_BYTES)
    except AnswerEndlessError as error:
        return connection, error
    finally:
        server.close()


@pytest.mark.parametrize("name", ENDLESS_BY_NAME)
def test_an_answer_without_end_is_cut_off_by_its_bytes(name):
    """Guards against memory and time that a server takes which sends no answer for ever."""

    async def body():
        connection, found = await exchange(*ENDLESS_BY_NAME[name])
        assert isinstance(found, AnswerEndlessError)
        assert connection.is_endless and connection.transport.is_closing()
        assert connection.read_bytes <= MAX_READ_BYTES
        assert len(connection._headers) <= MAX_HEADERS
        assert not connection.finish(0.0)

    asyncio.run(body())


@pytest.mark.parametrize("name", TRAILERS_BY_NAME)
def test_an_answer_whose_trailers_have_no_end_is_whole(name):
    """Guards against memory that trailers take, and against a whole answer that is not given."""

    async def body():
        first = CHUNKED + b"2\r\nok\r\n3\r\nay!\r\n0\r\n"
        connection, found = await exchange(first, TRAILERS_BY_NAME[name])
        assert found == b"okay!"
        assert connection.transport.is_closing() and not connection.finish(0.0)
        assert connection.read_bytes <= MAX_READ_BYTES
        assert len(connection._headers) <= MAX_HEADERS

    asyncio.run(body())


class FakeTransport(asyncio.Transport):
    """A transport that only remembers that it was closed."""

    is_closed = False

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


def receive(data, pieces):
    """Feed data to a new connection in pieces of some sizes in turn; return it and what it read."""
    connection = ClientConnection()
    connection.connection_made(FakeTransport())
    connection.send(b"request", expected=EXPECTED)
    start = turn = 0
    while start < len(data) and not connection.transport.is_closing():
        part = data[start : start + pieces[turn % len(pieces)]]
        RECEIVED[: len(part)] = part
        connection.buffer_updated(len(part))
        start += len(part)
        turn += 1
    return connection, start


PIECES = st.lists(st.integers(1, RECEIVE_BYTES), min_size=1, max_size=6)
PARTS = st.lists(
    st.tuples(
        st.sampled_from(
            [
                b"A: b\r\n",
                b"x",
                b"0",
                b"\r\n",
                b"1\r\nA\r\n",
                b"1;",
                b"0\r\n",
                b"HTTP/1.1 100 Continue\r\n\r\n",
                CHUNKED,
                OTHER,
            ]
        ),
        st.sampled_from([1, 2, 50, 20_000]),
    ),
    max_size=12,
)


@settings(deadline=None, max_examples=60)
@given(PARTS, PIECES)
def test_whatever_comes_is_bounded_by_its_content(parts, pieces):
    """Guards against mixtures of parts without end, in pieces of any size."""
    connection, read_bytes = receive(b"".join(part * times for part, times in parts), pieces)
    received = connection._received
    useful = received.content + received.skipped
    most = MAX_FRAMING_BYTES + (1 + MAX_FRAMING_RATIO) * useful + 3 * RECEIVE_BYTES
    if not connection.is_tainted and not connection._error:
        assert read_bytes <= most
    assert len(connection._headers) <= MAX_HEADERS


@settings(deadline=None, max_examples=60)
@given(
    st.lists(st.binary(min_size=1, max_size=3000), max_size=30),
    st.integers(0, 40),
    st.booleans(),
    PIECES,
)
def test_a_sound_answer_is_whole_in_pieces_of_any_size(chunks, headers, has_trailer, pieces):
    """Guards against bounds that sound servers reach."""
    extra = b"".join(b"X-%d: %b\r\n" % (number, b"v" * 300) for number in range(headers))
    body = b"".join(b"%x;n=1\r\n%b\r\n" % (len(chunk), chunk) for chunk in chunks)
    trailer = b"X-Sum: 1\r\n" if has_trailer else b""
    interim = b"HTTP/1.1 100 Continue\r\n\r\n"
    head = HEAD + extra + b"Transfer-Encoding: chunked\r\n\r\n"
    connection, _ = receive(interim + head + body + b"0\r\n" + trailer + b"\r\n", pieces)
    assert connection.is_complete and not connection.is_endless
    assert b"".join(connection._parts) == b"".join(chunks)
