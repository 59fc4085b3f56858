"""Answers that callers leave unread: what the kernel keeps of them."""

import array
import asyncio
import fcntl
import termios

from croftchute.forwarding.http.connection_pool import open_connection
from croftchute.forwarding.http.http_client import RECEIVE_WINDOW_BYTES

ANSWER_BYTES = 8_000_000
GET = b"GET / HTTP/1.1\r\nHost: a\r\n\r\n"


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
