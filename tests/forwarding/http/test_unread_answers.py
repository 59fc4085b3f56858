"""Answers left unread: what the kernel keeps of them, and which of them is given up."""

import array
import asyncio
import fcntl
import socket
import termios

from croftchute.forwarding.http.client_memory import ClientMemory, ReleaseCause
from croftchute.forwarding.http.connection_pool import open_connection
from croftchute.forwarding.http.http_client import RECEIVE_WINDOW_BYTES
from croftchute.forwarding.http.http_server import HttpIngress
from croftchute.tables.routing import IngressLimits

ANSWER_BYTES = 8_000_000
GET = b"GET / HTTP/1.1\r\nHost: a\r\n\r\n"
SMALL_WINDOW_BYTES = 4096


def run(test):
    async def limited():
        async with asyncio.timeout(30):
            await test()

    asyncio.run(limited())


def kernel_bytes(transport):
    """Bytes that have come and were not read from the kernel."""
    waiting = array.array("i", [0])
    fcntl.ioctl(transport.get_extra_info("socket").fileno(), termios.FIONREAD, waiting)
    return waiting[0]


async def settled(measure):
    """The value of a measure once it has stopped growing."""
    before = -1
    while (now := measure()) != before:
        before = now
        await asyncio.sleep(0.1)
    return now


def test_the_kernel_keeps_little_of_an_answer_that_is_not_read():
    """The fault: it kept up to 6 MB for each worker that waits for a slow caller."""

    async def answer(reader, writer):
        writer.write(b"HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n" % ANSWER_BYTES)
        writer.write(b"x" * ANSWER_BYTES)

    async def test():
        server = await asyncio.start_server(answer, "127.0.0.1", 0)
        port = server.sockets[0].getsockname()[1]
        connection = await open_connection("127.0.0.1", port, 5.0)
        connection.send(GET, expected=None)
        await connection.read_head()
        size = 0
        # The kernel widens its window for a reader that keeps up.
        while size < ANSWER_BYTES // 2:
            size += len(await connection.read_part())
        connection.pause_reading()
        kept = await settled(lambda: kernel_bytes(connection.transport))
        assert kept <= RECEIVE_WINDOW_BYTES
        connection.resume_reading()
        while size < ANSWER_BYTES:
            size += len(await connection.read_part())
        connection.abort()
        server.close()

    run(test)


async def ask_without_reading(port):
    raw = socket.socket()
    raw.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, SMALL_WINDOW_BYTES)
    raw.setblocking(False)
    loop = asyncio.get_running_loop()
    await loop.sock_connect(raw, ("127.0.0.1", port))
    await loop.sock_sendall(raw, GET)
    return raw


def test_at_the_bound_an_answer_that_stands_still_is_given_up_and_not_the_newest():
    """The fault: an answer that had just come was given up, for it was a little larger."""
    size = ANSWER_BYTES
    now = 0.0
    released = []
    memory = ClientMemory(
        memory_mb=5 * 4 * size / 1_000_000, clock=lambda: now, on_release=released.append
    )

    async def handle(exchange):
        exchange.send(200, [], b"x" * size)

    async def test():
        nonlocal now, size
        ingress = HttpIngress(handler=handle, limits=IngressLimits, memory=memory)
        await ingress.listen("127.0.0.1", 0)
        still = []
        while (held := await settled(lambda: memory.account.total)) + size < memory.account.bound:
            still.append(await ask_without_reading(ingress.port))
            while memory.account.total <= held:
                await asyncio.sleep(0.01)
        assert len(still) >= 4 and released == []
        now = 10.0
        size = memory.account.bound - held + size // 4
        reader, writer = await asyncio.open_connection("127.0.0.1", ingress.port)
        writer.write(GET)
        await reader.readuntil(b"\r\n\r\n")
        assert len(await reader.readexactly(size)) == size
        assert {release.cause for release in released} == {ReleaseCause.ANSWER_UNREAD}
        writer.close()
        for raw in still:
            raw.close()
        ingress.stop_accepting()

    run(test)
