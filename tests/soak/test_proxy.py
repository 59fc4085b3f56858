"""What the soak's proxy does to a connection."""

import asyncio
import random

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


def test_a_paced_link_brings_every_byte_in_its_order():
    async def body(link, reader, writer):
        sent = bytes(range(256)) * 128
        link.set_fault(LinkFault.PACED, bytes_a_second=1e6)
        writer.write(sent)
        assert await reader.readexactly(len(sent)) == sent

    linked(body)


def test_connections_of_a_paced_link_share_its_pace(monkeypatch):
    waits = []

    async def note(self, size):
        waits.append((size, self.bytes_a_second))

    monkeypatch.setattr(FaultyLink, "_wait_for_turn", note)

    async def body(link, reader, writer):
        link.set_fault(LinkFault.PACED, bytes_a_second=1e6)
        other, second = await asyncio.open_connection("127.0.0.1", link.port)
        writer.write(b"a" * 100)
        second.write(b"b" * 100)
        assert await reader.readexactly(100) == b"a" * 100
        assert await other.readexactly(100) == b"b" * 100
        assert sum(size for size, _ in waits) == 400
        assert {pace for _, pace in waits} == {1e6}
        second.transport.abort()

    linked(body)


def test_each_turn_on_a_paced_link_comes_after_those_before_it():
    async def body(link, reader, writer):
        loop = asyncio.get_running_loop()
        link.bytes_a_second = 1e5
        before = loop.time()
        await asyncio.gather(*(link._wait_for_turn(1000) for _ in range(3)))
        assert link._free_at - before >= 3 * 1000 / 1e5

    linked(body)


def test_a_silenced_connection_brings_nothing_more_while_new_ones_work():
    async def body(link, reader, writer):
        writer.write(b"x")
        assert await reader.readexactly(1) == b"x"
        assert link.silence_open(1.0, random.Random(1)) == 1
        assert link.silence_open(1.0, random.Random(1)) == 0
        writer.write(b"y")
        other, second = await asyncio.open_connection("127.0.0.1", link.port)
        second.write(b"z")
        assert await other.readexactly(1) == b"z"
        with pytest.raises(TimeoutError):
            async with asyncio.timeout(0.1):
                await reader.readexactly(1)
        second.transport.abort()

    linked(body)


def test_a_link_tells_from_which_ports_its_target_saw_silenced_connections_come():
    seen = []

    async def note(reader, writer):
        seen.append(writer.get_extra_info("peername")[1])
        await echo(reader, writer)

    async def body():
        server = await asyncio.start_server(note, "127.0.0.1", 0)
        port = server.sockets[0].getsockname()[1]
        link = FaultyLink(name="l", target=Target(host="127.0.0.1", port=port))
        await link.start()
        for _ in range(2):
            reader, writer = await asyncio.open_connection("127.0.0.1", link.port)
            writer.write(b"x")
            assert await reader.readexactly(1) == b"x"
            if not link.silenced_ports:
                link.silence_open(1.0, random.Random(1))
        assert link.silenced_ports == {seen[0]}
        assert len(set(seen)) == 2
        link.stop()
        server.close()

    asyncio.run(body())


def test_the_end_of_a_silenced_connection_is_not_passed_on():
    async def body(link, reader, writer):
        writer.write(b"x")
        assert await reader.readexactly(1) == b"x"
        link.silence_open(1.0, random.Random(1))
        writer.write_eof()
        with pytest.raises(TimeoutError):
            async with asyncio.timeout(0.1):
                await reader.read()
        link.stop()
        with pytest.raises(ConnectionError):
            await reader.read()

    linked(body)


def test_a_share_of_none_silences_nothing():
    async def body(link, reader, writer):
        writer.write(b"x")
        assert await reader.readexactly(1) == b"x"
        assert link.silence_open(0.0, random.Random(1)) == 0
        writer.write(b"y")
        assert await reader.readexactly(1) == b"y"

    linked(body)


@pytest.mark.parametrize(
    ("fault", "failure"),
    [(LinkFault.HANGING, TimeoutError), (LinkFault.CLOSED, ConnectionRefusedError)],
)
def test_a_cut_keeps_new_connections_out_until_it_heals(fault, failure):
    async def body(link, reader, writer):
        await link.cut(fault)
        with pytest.raises(failure):
            async with asyncio.timeout(0.3):
                await asyncio.open_connection("127.0.0.1", link.port)
        await link.heal()
        again, writer_again = await asyncio.open_connection("127.0.0.1", link.port)
        writer_again.write(b"two")
        assert await again.readexactly(3) == b"two"
        writer_again.close()

    linked(body)
