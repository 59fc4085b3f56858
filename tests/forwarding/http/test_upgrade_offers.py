"""Clients that offer another protocol: a server may ignore the offer, and then reads the body."""

import asyncio

import pytest

from croftchute.forwarding.http.http_server import CONTINUE, HttpIngress
from croftchute.tables.routing import IngressLimits

OFFER = b"Connection: Upgrade, HTTP2-Settings\r\nUpgrade: h2c\r\nHTTP2-Settings: AAMA\r\n"
POST = b"POST /x HTTP/1.1\r\nHost: a\r\n" + OFFER
BODY = b"slot 3; " * 40
WITH_LENGTH = POST + b"Content-Length: %d\r\n\r\n" % len(BODY) + BODY
IN_CHUNKS = (
    POST + b"Transfer-Encoding: chunked\r\n\r\n" + b"3\r\n" + BODY[:3] + b"\r\n"
    b"%x;a=b\r\n" % len(BODY[3:]) + BODY[3:] + b"\r\n0\r\nx: y\r\n\r\n"
)


class Echo:
    """Keeps what it was asked, and answers with the body."""

    def __init__(self):
        self.requests = []

    async def __call__(self, exchange):
        self.requests.append(exchange.request)
        exchange.send(200, [], exchange.request.body)


def serve(test, *, limits=None):
    handler = Echo()

    async def body():
        async with asyncio.timeout(30):
            found = limits or IngressLimits()
            ingress = HttpIngress(handler=handler, limits=lambda: found)
            await ingress.listen("127.0.0.1", 0)
            reader, writer = await asyncio.open_connection("127.0.0.1", ingress.port)
            try:
                await test(reader, writer)
            finally:
                writer.close()
                ingress.stop_accepting()

    asyncio.run(body())
    return handler.requests


async def answer_to(reader):
    head = (await reader.readuntil(b"\r\n\r\n")).decode()
    lines = dict(line.partition(": ")[::2] for line in head.lower().split("\r\n")[1:])
    body = await reader.readexactly(int(lines.get("content-length", "0")))
    return int(head.split()[1]), lines, body


async def send(writer, data, size):
    for begin in range(0, len(data), size):
        writer.write(data[begin : begin + size])
        await writer.drain()
        if size < len(data):
            await asyncio.sleep(0)


@pytest.mark.parametrize("data", [WITH_LENGTH, IN_CHUNKS], ids=["length", "chunks"])
@pytest.mark.parametrize("size", [1, 7, len(POST), 1 << 16])
def test_a_request_that_offers_another_protocol_is_run_once_with_its_body(data, size):
    """The fault: it was run with an empty body, and answered with 200."""

    async def test(reader, writer):
        await send(writer, data + data, size)
        for _ in range(2):
            status, lines, body = await answer_to(reader)
            assert (status, body) == (200, BODY)
            assert "upgrade" not in lines and lines.get("connection") != "close"

    requests = serve(test)
    assert [(found.method, found.target) for found in requests] == [("POST", "/x")] * 2
    assert [found.headers for found in requests] == [requests[0].headers] * 2
    assert (b"host", b"a") in requests[0].headers


def test_an_offer_without_a_body_is_answered_and_its_connection_is_kept():
    async def test(reader, writer):
        lines = b"Connection: Upgrade\r\nUpgrade: websocket\r\n\r\n"
        writer.write(b"GET /x HTTP/1.1\r\nHost: a\r\n" + lines + WITH_LENGTH)
        assert (await answer_to(reader))[2] == b""
        assert (await answer_to(reader))[2] == BODY

    assert [found.method for found in serve(test)] == ["GET", "POST"]


def test_a_connection_that_is_to_be_closed_is_closed_behind_the_answer():
    async def test(reader, writer):
        writer.write(WITH_LENGTH.replace(b"Connection: ", b"Connection: close, ", 1))
        status, lines, body = await answer_to(reader)
        assert (status, lines["connection"], body) == (200, "close", BODY)
        assert await reader.read() == b""

    serve(test)


def test_a_client_that_waits_to_send_its_body_is_told_to():
    async def test(reader, writer):
        writer.write(WITH_LENGTH[: -len(BODY) - 2] + b"Expect: 100-continue\r\n\r\n")
        assert await reader.readexactly(len(CONTINUE)) == CONTINUE
        writer.write(BODY)
        assert (await answer_to(reader))[2] == BODY

    serve(test)


def test_a_body_that_is_too_long_is_refused():
    async def test(reader, writer):
        writer.write(WITH_LENGTH)
        assert (await answer_to(reader))[0] == 413

    assert serve(test, limits=IngressLimits(max_body_bytes=10)) == []


def test_a_tunnel_is_refused_and_not_run():
    async def test(reader, writer):
        writer.write(b"CONNECT a:1 HTTP/1.1\r\nHost: a:1\r\n\r\nGET /x HTTP/1.1\r\n\r\n")
        assert (await answer_to(reader))[0] == 501
        assert await reader.read() == b""

    assert serve(test) == []
