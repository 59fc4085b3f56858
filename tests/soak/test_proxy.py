"""What the soak's proxy does to a connection."""

import asyncio

import pytest

from croftchute.soak.proxy import FaultyLink, LinkFault, Target


async def echo(reader, writer):
    while data := await reader.read(100):
        writer.write(data)
    writer.close()


def linked(test):
    async def body():
        server = await asyncio.start_server(echo, "127.0.0.1", 0)
        port = server.sockets[0].getsockname()[1]
        link = FaultyLink(name="l", target=Target(host="127.0.0.1", port=port))
        await link.start()
        reader, writer = await asyncio.open_connection("127.0.0.1", link.port)
        try:
            async with asyncio.timeout(30):
                await test(link, reader, writer)
        finally:
            writer.transport.abort()
            link.stop()
            server.close()

    asyncio.run(body())


def test_bytes_pass_both_ways_and_an_end_is_passed_on():
    async def body(link, reader, writer):
        writer.write(b"one")
        assert await reader.readexactly(3) == b"one"
        writer.write_eof()
        assert await reader.read() == b""

    linked(body)


@pytest.mark.parametrize("fault", [LinkFault.SILENT, LinkFault.CUT_FORWARD, LinkFault.CUT_BACK])
def test_held_bytes_arrive_once_the_fault_is_over(fault):
    async def body(link, reader, writer):
        link.set_fault(fault)
        writer.write(b"two")
        with pytest.raises(TimeoutError):
            async with asyncio.timeout(0.1):
                await reader.readexactly(3)
        link.set_fault(LinkFault.NONE)
        assert await reader.readexactly(3) == b"two"

    linked(body)


def test_a_reset_strikes_open_and_new_connections():
    async def body(link, reader, writer):
        writer.write(b"x")
        await reader.readexactly(1)
        link.set_fault(LinkFault.RESET)
        with pytest.raises(ConnectionError):
            await reader.readexactly(1)
        other, second = await asyncio.open_connection("127.0.0.1", link.port)
        with pytest.raises((ConnectionError, asyncio.IncompleteReadError)):
            await other.readexactly(1)
        second.close()

    linked(body)
