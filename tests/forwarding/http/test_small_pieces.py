"""Requests in many small pieces, and what a client sends around a request's content."""

import asyncio

import pytest

from croftchute.forwarding.http.client_memory import ClientMemory, ReleaseCause
from croftchute.forwarding.http.http_server import (
    CONTINUE,
    MAX_WAITING_REQUESTS,
    HttpIngress,
)
from croftchute.forwarding.http.parse_pacer import FREE_PIECES, ParsePacer, PieceAllowance
from croftchute.forwarding.http.request_bounds import (
    MAX_FRAMING_BYTES,
    PIECE_BYTES,
    RequestFraming,
    RequestHead,
)
from croftchute.steady_clock import steady_s
from croftchute.tables.routing import IngressLimits

HEAD = b"POST / HTTP/1.1\r\nHost: a\r\n"
CHUNKED = HEAD + b"Transfer-Encoding: chunked\r\n\r\n"
GET = b"GET / HTTP/1.1\r\nHost: a\r\n\r\n"


async def echo(exchange):
    lines = b",".join(name + b"=" + value for name, value in exchange.request.headers)
    exchange.send(200, [(b"x-lines", lines)], exchange.request.body)


def serve(test, *, handler=echo, limits=None, **options):
    async def body():
        async with asyncio.timeout(30):
            found = limits or IngressLimits()
            ingress = HttpIngress(handler=handler, limits=lambda: found, **options)
            await ingress.listen("127.0.0.1", 0)
            reader, writer = await asyncio.open_connection("127.0.0.1", ingress.port)
            try:
                await test(reader, writer, ingress)
            finally:
                writer.close()
                ingress.stop_accepting()

    asyncio.run(body())


async def answer_to(reader):
    head = (await reader.readuntil(b"\r\n\r\n")).decode()
    lines = dict(line.partition(": ")[::2] for line in head.lower().split("\r\n")[1:])
    body = await reader.readexactly(int(lines.get("content-length", "0")))
    return int(head.split()[1]), lines, body


def test_a_body_in_chunks_of_one_byte_is_read_whole():
    body = b"abcdefghij" * FREE_PIECES

    async def test(reader, writer, ingress):
        writer.write(
            CHUNKED + b"".join(b"1\r\n%c\r\n" % byte for byte in body) + b"0\r\n\r\n" + GET
        )
        assert (await answer_to(reader))[::2] == (200, body)
        assert (await answer_to(reader))[::2] == (200, b"")

    serve(test)


def test_another_client_is_served_while_one_is_paced():
    """Guards against an event loop that is at work on small pieces alone."""

    async def test(reader, writer, ingress):
        writer.write(CHUNKED + b"1\r\nx\r\n" * 200_000)
        while not ingress.pacer:
            await asyncio.sleep(0)
        others = await asyncio.open_connection("127.0.0.1", ingress.port)
        others[1].write(GET)
        assert (await answer_to(others[0]))[0] == 200
        assert ingress.pacer
        others[1].close()

    serve(test)


def test_a_client_that_leaves_while_it_is_paced_is_forgotten():
    async def test(reader, writer, ingress):
        writer.write(CHUNKED + b"1\r\nx\r\n" * 20_000)
        while not ingress.pacer:
            await asyncio.sleep(0)
        for connection in list(ingress.connections):
            connection.abort()
        while ingress.connections:
            await asyncio.sleep(0)
        assert not len(ingress.pacer) and ingress.memory.account.total == 0

    serve(test)


def test_how_many_pieces_a_connection_may_bring_a_second_is_a_setting():
    few, many = (PieceAllowance(now=0.0, per_s=per_s) for per_s in (10.0, 10_000.0))
    for allowance in (few, many):
        assert allowance.spend(FREE_PIECES, 0.0)
    assert not few.spend(11, 1.0)
    assert many.spend(FREE_PIECES, 1.0)


def test_connections_that_are_paced_are_counted():
    """Guards against pacing that operators see nowhere."""
    body = b"x" * 3 * FREE_PIECES

    async def test(reader, writer, ingress):
        writer.write(HEAD + b"Content-Length: 1\r\n\r\nx")
        await answer_to(reader)
        assert ingress.pacer.take_begun() == 0
        writer.write(CHUNKED + b"".join(b"1\r\n%c\r\n" % byte for byte in body) + b"0\r\n\r\n")
        await answer_to(reader)
        assert ingress.pacer.take_begun() > 0
        assert ingress.pacer.take_begun() == 0

    serve(test)


def test_the_time_that_a_client_is_paced_is_not_its_own():
    """Guards against refusing a client as slow whose bytes wait in this process."""
    limits = IngressLimits(header_timeout_s=0.1, idle_timeout_s=0.1)

    class SlowPacer(ParsePacer):
        def _schedule(self, after_s):
            super()._schedule(max(after_s, 0.03))

    body = b"x" * 3 * FREE_PIECES

    async def test(reader, writer, ingress):
        ingress.pacer = SlowPacer(clock=ingress.clock)
        writer.write(CHUNKED + b"".join(b"1\r\n%c\r\n" % byte for byte in body) + b"0\r\n\r\n")
        assert (await answer_to(reader))[::2] == (200, body)

    serve(test, limits=limits)


def test_fields_behind_a_chunked_body_are_dropped():
    """Guards against a request that is passed on with lines that its head did not have."""

    async def test(reader, writer, ingress):
        writer.write(CHUNKED + b"1\r\nx\r\n0\r\nx-late: 1\r\nhost: b\r\n\r\n")
        status, lines, body = await answer_to(reader)
        assert (status, body) == (200, b"x")
        assert lines["x-lines"] == "host=a,transfer-encoding=chunked"

    serve(test)


@pytest.mark.parametrize(
    ("begun", "endless"),
    [
        (HEAD + b"x: ", b"y" * 1000),
        (HEAD, b"x: y\r\n" * 100),
        (b"GET /", b"t" * 1000),
        (CHUNKED + b"1;x=", b"y" * 1000),
        (CHUNKED + b"1\r\nx\r\n0\r\n", b"x: y\r\n" * 100),
        (CHUNKED + b"1\r\nx\r\n0\r\nx: ", b"y" * 1000),
    ],
)
def test_what_has_no_end_around_a_request_is_refused(begun, endless):
    """Guards against bytes that the parser keeps, or drops, for ever."""

    async def test(reader, writer, ingress):
        writer.write(begun)
        sent = 0
        while not reader.at_eof() and not ingress_refuses(ingress):
            writer.write(endless)
            sent += len(endless)
            await asyncio.sleep(0)
            assert sent < 100 * MAX_FRAMING_BYTES
        assert (await answer_to(reader))[0] == 431

    def ingress_refuses(ingress):
        return ingress.connections and all(each.is_closing for each in ingress.connections)

    serve(test)


def test_chunk_extensions_without_proportion_are_refused():
    async def test(reader, writer, ingress):
        writer.write(CHUNKED)
        for _ in range(200):
            writer.write(b"1;" + b"x" * 1000 + b"\r\ny\r\n")
        assert (await answer_to(reader))[0] == 431

    serve(test)


@pytest.mark.parametrize(("extension_bytes", "status"), [(100, 200), (10_000, 431)])
def test_the_bound_on_framing_is_a_setting(extension_bytes, status):
    async def test(reader, writer, ingress):
        writer.write(CHUNKED + b"1;" + b"x" * extension_bytes + b"\r\ny\r\n0\r\n\r\n")
        assert (await answer_to(reader))[0] == status

    serve(test, framing_bytes=1000)


@pytest.mark.parametrize(("lines", "status"), [(7, 200), (8, 431)])
def test_header_lines_are_bounded_by_number(lines, status):
    async def test(reader, writer, ingress):
        writer.write(b"GET / HTTP/1.1\r\nHost: a\r\n" + b"a:\r\n" * lines + b"\r\n")
        assert (await answer_to(reader))[0] == status

    serve(test, header_lines=8)


@pytest.mark.parametrize(
    ("request_bytes", "status", "cause"),
    [
        (b"GET / HTTP/1.1\r\n" + b"a:\r\n" * 10, 431, ReleaseCause.HEAD_TOO_LARGE),
        (HEAD + b"Content-Length: 99999999999\r\n\r\n", 413, ReleaseCause.BODY_TOO_LARGE),
        (b"no request\r\n\r\n", 400, ReleaseCause.UNREADABLE),
        (HEAD, 408, ReleaseCause.TOO_SLOW),
    ],
    ids=["head", "body", "syntax", "time"],
)
def test_a_request_that_is_refused_for_a_limit_of_its_own_is_reported(request_bytes, status, cause):
    """Guards against refusals that operators see nowhere."""

    async def test(reader, writer, ingress):
        ingress.memory.on_release = released.append
        writer.write(request_bytes)
        assert (await answer_to(reader))[0] == status
        assert [release.cause for release in released] == [cause]

    released = []
    serve(test, header_lines=8, limits=IngressLimits(header_timeout_s=0.2))


def test_as_many_shortest_lines_as_a_head_may_have_are_read():
    limits = IngressLimits()
    count = (limits.max_header_bytes - 40) // len(b"a:\r\n")

    async def count_lines(exchange):
        exchange.send(200, [], b"%d" % len(exchange.request.headers))

    async def test(reader, writer, ingress):
        writer.write(b"GET / HTTP/1.1\r\nHost: a\r\n" + b"a:\r\n" * count + b"\r\n")
        assert (await answer_to(reader))[::2] == (200, b"%d" % (count + 1))

    serve(test, handler=count_lines, limits=limits)


@pytest.mark.parametrize("byte", [b"\0", b"\n"])
def test_bytes_that_part_packed_lines_cannot_stand_in_a_line(byte):
    """Guards against one line that is read as two."""

    async def test(reader, writer, ingress):
        writer.write(b"GET / HTTP/1.1\r\nHost: a\r\nx: 1" + byte + b"evil: 2\r\n\r\n")
        status, lines, _ = await answer_to(reader)
        assert status == 400 or "evil=2" not in lines["x-lines"]

    serve(test)


def test_the_body_of_a_request_is_asked_for_once_the_answers_before_it_have_ended():
    """Guards against an interim answer in the middle of an answer's body."""
    gate = asyncio.Event()

    async def wait(exchange):
        if exchange.request.method == "GET":
            exchange.start(200, b"", [])
            exchange.write(b"first")
            await gate.wait()
            exchange.write(b"second")
            exchange.finish()
        else:
            await echo(exchange)

    async def test(reader, writer, ingress):
        writer.write(GET + HEAD + b"Expect: 100-continue\r\nContent-Length: 2\r\n\r\n")
        await reader.readuntil(b"first\r\n")
        while not ingress.counts().reading:
            await asyncio.sleep(0.01)
        gate.set()
        assert await reader.readuntil(b"0\r\n\r\n") == b"6\r\nsecond\r\n0\r\n\r\n"
        assert await reader.readuntil(b"\r\n\r\n") == CONTINUE
        writer.write(b"ok")
        assert (await answer_to(reader))[::2] == (200, b"ok")

    serve(test, handler=wait)


def test_a_body_that_is_too_long_is_not_asked_for():
    async def test(reader, writer, ingress):
        writer.write(HEAD + b"Expect: 100-continue\r\nContent-Length: 99999999\r\n\r\n")
        assert (await answer_to(reader))[0] == 413

    serve(test)


def test_no_more_whole_requests_wait_than_a_few():
    gate = asyncio.Event()

    async def wait(exchange):
        await gate.wait()
        await echo(exchange)

    async def test(reader, writer, ingress):
        body = b"x" * 10_000
        count = 3 * MAX_WAITING_REQUESTS
        writer.write((HEAD + b"Content-Length: %d\r\n\r\n" % len(body) + body) * count)
        while ingress.counts().queued_requests < MAX_WAITING_REQUESTS:
            await asyncio.sleep(0.01)
        await asyncio.sleep(0.05)
        assert ingress.counts().queued_requests == MAX_WAITING_REQUESTS
        gate.set()
        for _ in range(count):
            assert (await answer_to(reader))[::2] == (200, body)

    serve(test, handler=wait)


def test_a_request_without_room_is_refused_and_the_next_one_on_its_connection_is_served():
    """The refusal says when to come back, and nothing has run."""
    served = []

    async def note(exchange):
        served.append(exchange.request.target)
        await echo(exchange)

    async def test(reader, writer, ingress):
        ingress.memory = ClientMemory(memory_mb=2.0, clock=ingress.clock)
        ingress.memory.account.served = ingress.memory.account.bound
        writer.write(HEAD + b"Content-Length: 100000\r\n\r\n" + b"x" * 100_000 + GET)
        status, lines, _ = await answer_to(reader)
        assert status == 503 and float(lines["retry-after"]) > 0.0
        assert (await answer_to(reader))[0] == 200
        assert len(served) == 1

    serve(test, handler=note)


def test_a_client_that_stopped_is_released_for_one_that_moves():
    limits = IngressLimits()

    async def test(reader, writer, ingress):
        writer.write(HEAD + b"Content-Length: 400000\r\n\r\n" + b"x" * 399_999)
        while ingress.memory.account.total < 400_000:
            await asyncio.sleep(0.01)
        others = await asyncio.open_connection("127.0.0.1", ingress.port)
        others[1].write(HEAD + b"Content-Length: 200000\r\n\r\n" + b"x" * 200_000)
        assert (await answer_to(others[0]))[0] == 200
        status, lines, _ = await answer_to(reader)
        assert status == 503 and lines["connection"] == "close"
        others[1].close()

    memory = ClientMemory(memory_mb=2.0, clock=steady_s)
    serve(test, limits=limits, memory=memory)


def test_an_answer_that_nobody_reads_is_given_up_after_the_idle_time():
    """Guards against answers that a connection holds for ever once they are whole."""

    async def large(exchange):
        exchange.send(200, [], b"x" * 8_000_000)

    async def test(reader, writer, ingress):
        writer.transport.pause_reading()
        writer.write(GET)
        while not any(each.writer.size for each in ingress.connections):
            await asyncio.sleep(0.01)
        while ingress.connections:
            await asyncio.sleep(0.01)
        assert ingress.memory.account.total == 0

    serve(test, handler=large, limits=IngressLimits(idle_timeout_s=0.2))


def test_a_large_answer_is_whole_and_held_in_part():
    body = bytes(range(256)) * 20_000

    async def large(exchange):
        exchange.send(200, [], body)

    async def test(reader, writer, ingress):
        writer.write(GET)
        assert (await answer_to(reader))[::2] == (200, body)
        writer.write(GET.replace(b"Host", b"Connection: close\r\nHost"))
        assert (await answer_to(reader))[::2] == (200, body)
        assert await reader.read() == b""

    serve(test, handler=large)


def test_framing_in_proportion_to_the_content_is_allowed():
    framing = RequestFraming()
    framing.is_head = False
    for _ in range(1000):
        framing.add(PIECE_BYTES, content=PIECE_BYTES // 6)
    assert not framing.is_excessive(16384)


def test_packed_lines_come_back_as_they_were():
    head = RequestHead()
    lines = [(b"a", b""), (b"b", b"x\ty"), (b"a", b"\xff")]
    for name, value in lines:
        head.add(name, value)
    assert head.headers() == lines and head.lines == 3
    assert RequestHead().headers() == []
