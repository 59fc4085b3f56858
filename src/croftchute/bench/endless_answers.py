"""What a client takes for answers without end: growth of its memory, bytes read, processor time.

Each row is a process of its own that makes some exchanges at once with a server that never ends.
"""

from __future__ import annotations

import asyncio
import resource
import sys
import time
from functools import partial

from croftchute.forwarding.http.connection_pool import open_connection
from croftchute.forwarding.http.failures import ExchangeError
from croftchute.forwarding.http.http_client import ClientConnection
from croftchute.standins.worker_records import ENDLESS_ANSWERS, EndlessAnswer

AT_ONCE = (1, 20, 200)
TIMEOUT_S = 1.5
"""Seconds after which an exchange is given up."""

REPEATS = 500
MAX_BODY_BYTES = 16 << 20
HEAD = b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n"
KB_PER_MB = 1024
MB = 1e6


class CountingConnection(ClientConnection):
    """A connection that counts what all of its kind read."""

    read_bytes = 0

    def buffer_updated(self, nbytes: int) -> None:
        """Count, and parse."""
        CountingConnection.read_bytes += nbytes
        super().buffer_updated(nbytes)


async def serve(
    reader: asyncio.StreamReader, writer: asyncio.StreamWriter, answer: EndlessAnswer
) -> None:
    """Answer a request for ever."""
    try:
        await reader.readuntil(b"\r\n\r\n")
        writer.write((HEAD if answer.head else b"") + answer.first)
        while True:
            writer.write(answer.repeated * REPEATS)
            await writer.drain()
    except (ConnectionError, asyncio.IncompleteReadError):
        writer.close()


async def exchange(port: int) -> bool:
    """Make one exchange; return whether it ended by itself."""
    connection = await open_connection("127.0.0.1", port, 5.0, kind=CountingConnection)
    connection.send(b"GET / HTTP/1.1\r\n\r\n", expected=None)
    try:
        async with asyncio.timeout(TIMEOUT_S):
            await connection.read_head()
            await connection.read_body(MAX_BODY_BYTES)
    except TimeoutError:
        return False
    except ExchangeError:
        return True
    finally:
        connection.abort()
    return True


async def measure(port: int, at_once: int) -> None:
    """Make exchanges at once, and print what they took."""
    before = resource.getrusage(resource.RUSAGE_SELF)
    began_at = time.monotonic()
    ended = await asyncio.gather(*(exchange(port) for _ in range(at_once)))
    took_s = time.monotonic() - began_at
    after = resource.getrusage(resource.RUSAGE_SELF)
    grown_mb = (after.ru_maxrss - before.ru_maxrss) / KB_PER_MB
    cpu_s = after.ru_utime + after.ru_stime - before.ru_utime - before.ru_stime
    read_mb = CountingConnection.read_bytes / MB
    print(
        f"{grown_mb:8.0f} MB more {read_mb:8.1f} MB read {cpu_s:6.2f} s of processor"
        f" {took_s:6.2f} s, {sum(ended)} of {at_once} ended by themselves"
    )


async def main() -> None:
    """Measure each answer without an end, for each number of exchanges."""
    for answer in ENDLESS_ANSWERS:
        server = await asyncio.start_server(partial(serve, answer=answer), "127.0.0.1", 0)
        port = server.sockets[0].getsockname()[1]
        begins = ("a chunked body, then " if answer.head else "") + repr(
            answer.first + answer.repeated
        )
        print(begins)
        for at_once in AT_ONCE:
            client = await asyncio.create_subprocess_exec(
                sys.executable, "-m", __spec__.name, str(port), str(at_once)
            )
            await client.wait()
        server.close()


if __name__ == "__main__":
    asyncio.run(measure(int(sys.argv[1]), int(sys.argv[2])) if sys.argv[1:] else main())
