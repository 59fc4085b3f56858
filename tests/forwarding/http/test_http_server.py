"""The callers' side of HTTP at the socket: what is read, refused, and how connections end."""

import asyncio

import pytest

from croftchute.forwarding.http.http_server import MIN_BODY_BYTES_PER_S, HttpIngress
from croftchute.tables.routing import IngressLimits

LIMITS = IngressLimits(
    max_header_bytes=512, max_body_bytes=1000, header_timeout_s=0.2, idle_timeout_s=0.3
)


async def echo(exchange):
    request = exchange.request
    exchange.send(200, [(b"x-method", request.method.encode())], request.body)


def serve(test, *, handler=echo, limits=LIMITS):
    async def body():
        async with asyncio.timeout(30):
            ingress = HttpIngress(handler=handler, limits=lambda: limits)
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
    length = 0
    for line in head.lower().split("\r\n"):
        if line.startswith("content-length:"):
            length = int(line.partition(":")[2])
    return int(head.split()[1]), head, await reader.readexactly(length)


@pytest.mark.parametrize(
    ("data", "body"),
    [
        (b"POST / HTTP/1.1\r\nHost: a\r\nContent-Length: 3\r\n\r\nabc", b"abc"),
        (
            b"POST / HTTP/1.1\r\nHost: a\r\nTransfer-Encoding: chunked\r\n\r\n"
            b"2\r\nab\r\n1\r\nc\r\n0\r\n\r\n",
            b"abc",
        ),
        (b"GET / HTTP/1.1\r\nHost: a\r\n\r\n", b""),
    ],
)
def test_a_body_is_read_however_it_is_framed_and_torn(data, body):
    async def test(reader, writer, ingress):
        for byte in data:
            writer.write(bytes([byte]))
            await writer.drain()
        assert (await answer_to(reader))[::2] == (200, body)

    serve(test, limits=IngressLimits())


@pytest.mark.parametrize(
    ("data", "status"),
    [
        (b"nonsense\r\n\r\n", 400),
        (b"POST / HTTP/1.1\r\nContent-Length: 3\r\nTransfer-Encoding: chunked\r\n\r\n", 400),
        (b"GET / HTTP/1.1\r\nX-Long: " + b"x" * 600 + b"\r\n\r\n", 431),
        (b"POST / HTTP/1.1\r\nContent-Length: 2000\r\n\r\n", 413),
        (
            b"POST / HTTP/1.1\r\nTransfer-Encoding: chunked\r\n\r\n" + b"3f0\r\n" + b"x" * 1008,
            413,
        ),
    ],
)
def test_what_may_not_be_sent_is_refused_and_the_connection_ends(data, status):
    async def test(reader, writer, ingress):
        writer.write(data)
        assert (await answer_to(reader))[0] == status
        assert await reader.read() == b""

    serve(test)


def test_headers_that_take_too_long_are_refused():
    async def test(reader, writer, ingress):
        writer.write(b"GET / HTTP/1.1\r\nHost")
        assert (await answer_to(reader))[0] == 408

    serve(test)


def test_a_body_that_keeps_coming_may_take_longer_than_a_connection_may_rest():
    """Its time ran from the end of the head, however fast it came: 4 MB take 7 s at 5 Mbit/s."""
    limits = IngressLimits(idle_timeout_s=2.0)
    parts = 6
    part = b"x" * (2 * MIN_BODY_BYTES_PER_S)

    async def test(reader, writer, ingress):
        head = b"POST / HTTP/1.1\r\nHost: a\r\nContent-Length: %d\r\n\r\n"
        writer.write(head % (parts * len(part)))
        for _ in range(parts):
            await asyncio.sleep(limits.idle_timeout_s / 4)
            writer.write(part)
        assert (await answer_to(reader))[::2] == (200, part * parts)

    serve(test, limits=limits)


def test_a_body_of_which_a_byte_comes_now_and_then_is_refused():
    async def test(reader, writer, ingress):
        writer.write(b"POST / HTTP/1.1\r\nHost: a\r\nContent-Length: 900\r\n\r\n")
        while not reader.at_eof():
            writer.write(b"x")
            try:
                async with asyncio.timeout(LIMITS.idle_timeout_s / 6):
                    assert (await answer_to(reader))[0] == 408
                return
            except TimeoutError:
                continue

    serve(test)


def test_an_idle_connection_is_closed_and_a_busy_one_is_not():
    async def slow(exchange):
        await asyncio.sleep(0.6)
        await echo(exchange)

    async def test(reader, writer, ingress):
        writer.write(b"GET / HTTP/1.1\r\nHost: a\r\n\r\n")
        assert (await answer_to(reader))[0] == 200
        assert await reader.read() == b""

    serve(test, handler=slow)


def test_a_connection_rests_as_long_as_the_limits_in_force_say():
    """Guards against closing on a caller who rests within a longer idle time that came later."""

    async def test(reader, writer, ingress):
        writer.write(b"GET / HTTP/1.1\r\nHost: a\r\n\r\n")
        assert (await answer_to(reader))[0] == 200
        longer = IngressLimits(idle_timeout_s=3 * LIMITS.idle_timeout_s)
        ingress.limits = lambda: longer
        await asyncio.sleep(2 * LIMITS.idle_timeout_s)
        writer.write(b"GET / HTTP/1.1\r\nHost: a\r\n\r\n")
        assert (await answer_to(reader))[0] == 200
        ingress.limits = lambda: LIMITS
        assert await reader.read() == b""

    serve(test)


def test_a_body_is_asked_for_when_the_caller_waits():
    async def test(reader, writer, ingress):
        writer.write(
            b"POST / HTTP/1.1\r\nHost: a\r\nExpect: 100-continue\r\nContent-Length: 2\r\n\r\n"
        )
        assert await reader.readuntil(b"\r\n\r\n") == b"HTTP/1.1 100 Continue\r\n\r\n"
        writer.write(b"ok")
        assert (await answer_to(reader))[2] == b"ok"

    serve(test)


def test_requests_sent_ahead_are_answered_in_their_order():
    async def test(reader, writer, ingress):
        for number in range(20):
            writer.write(b"POST / HTTP/1.1\r\nHost: a\r\nContent-Length: 2\r\n\r\n%02d" % number)
        for number in range(20):
            assert (await answer_to(reader))[2] == b"%02d" % number

    serve(test)


def test_a_caller_that_leaves_ends_its_handler():
    ended = []

    async def wait(exchange):
        try:
            await asyncio.sleep(3600)
        except asyncio.CancelledError:
            ended.append(exchange.request.target)
            raise

    async def test(reader, writer, ingress):
        writer.write(b"GET /left HTTP/1.1\r\nHost: a\r\n\r\n")
        while not ingress.open_requests:
            await asyncio.sleep(0.01)
        writer.transport.abort()
        while not ended:
            await asyncio.sleep(0.01)
        assert ended == ["/left"]

    serve(test, handler=wait)


def test_a_handler_that_fails_ends_the_connection_and_never_answers_half():
    async def fail(exchange):
        exchange.start(200, b"", [])
        exchange.write(b"half")
        raise ValueError("broken on purpose")

    async def test(reader, writer, ingress):
        writer.write(b"GET / HTTP/1.1\r\nHost: a\r\n\r\n")
        data = b""
        with pytest.raises((ConnectionError, asyncio.IncompleteReadError)):
            while True:
                data += await reader.readexactly(1)
        assert not data.endswith(b"0\r\n\r\n")

    serve(test, handler=fail)


def test_a_caller_that_does_not_read_holds_the_writer_up():
    written = []

    async def flood(exchange):
        exchange.start(200, b"", [])
        for number in range(2000):
            exchange.write(b"x" * 10_000)
            await exchange.drained()
            written.append(number)

    async def test(reader, writer, ingress):
        writer.transport.pause_reading()
        writer.write(b"GET / HTTP/1.1\r\nHost: a\r\n\r\n")
        while not written:
            await asyncio.sleep(0.01)
        before = -1
        while len(written) != before:
            before = len(written)
            await asyncio.sleep(0.2)
        assert len(written) < 2000

    serve(test, handler=flood)


def test_a_request_tells_how_it_came_and_connections_are_counted_by_what_they_are_at():
    seen = []
    gate = asyncio.Event()

    async def hold(exchange):
        seen.append(exchange.request.arrival)
        await gate.wait()
        await echo(exchange)

    async def test(reader, writer, ingress):
        while not ingress.connections:
            await asyncio.sleep(0.01)
        assert ingress.counts().idle == 1
        writer.write(b"GET / HTTP/1.1\r\nHost: a\r\n\r\n" * 2 + b"GET / HTTP/1.1\r\n")
        while not seen or not ingress.counts().reading:
            await asyncio.sleep(0.01)
        counts = ingress.counts()
        assert (counts.idle, counts.reading, counts.serving, counts.queued_requests) == (0, 1, 1, 1)
        gate.set()
        for _ in range(2):
            assert (await answer_to(reader))[0] == 200
        assert [arrival.number for arrival in seen] == [1, 2]
        for arrival in seen:
            assert arrival.connected_at <= arrival.begun_at <= arrival.read_at

    serve(test, handler=hold, limits=IngressLimits())


async def turned_away(exchange):
    exchange.send(503, [], exchange.request.body)


@pytest.mark.parametrize("version", [b"1.0", b"1.1"])
def test_once_the_entry_is_over_a_request_is_turned_away_and_its_connection_ends(version):
    async def test(reader, writer, ingress):
        ingress.turn_away = turned_away
        ingress.is_stopping = True
        ingress.entry_ends_at = ingress.clock()
        writer.write(b"POST / HTTP/%b\r\nHost: a\r\nContent-Length: 2\r\n\r\nab" % version)
        status, head, body = await answer_to(reader)
        assert (status, body) == (503, b"ab")
        assert "connection: close" in head
        assert await reader.read() == b""

    serve(test)


def test_a_request_that_is_read_in_parts_is_not_cut_when_the_answer_before_it_ends():
    gate = asyncio.Event()

    async def stream(exchange):
        exchange.start(200, b"", [])
        await gate.wait()
        exchange.finish()

    async def test(reader, writer, ingress):
        ingress.turn_away = turned_away
        writer.write(b"GET / HTTP/1.1\r\nHost: a\r\n\r\nPOST / HTTP/1.1\r\nHost: a\r\n")
        head = await reader.readuntil(b"\r\n\r\n")
        assert b"close" not in head
        while not ingress.counts().reading:
            await asyncio.sleep(0.01)
        ingress.is_stopping = True
        ingress.entry_ends_at = ingress.clock()
        gate.set()
        assert await reader.readuntil(b"0\r\n\r\n")
        writer.write(b"Content-Length: 2\r\n\r\nab")
        assert (await answer_to(reader))[::2] == (503, b"ab")
        assert await reader.read() == b""

    serve(test, handler=stream, limits=IngressLimits())
