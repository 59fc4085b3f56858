"""Hundreds of callers that hardly read, before a box that is a process of its own."""

import asyncio
import contextlib
import json
import os
import signal
import socket
import sys
from pathlib import Path

from platform_fleet import Answer, config, fleet, read_answer, request_bytes, route, run

from croftchute.soak.boxes import PROGRAM, SETTINGS_VARIABLE, free_ports
from croftchute.systems.held_bytes import BYTES_PER_MB, HELD_MEMORY_SHARE

SLOW_CALLERS = 200
MEMORY_MB = 64.0
HELD_BOUND = MEMORY_MB * HELD_MEMORY_SHARE * BYTES_PER_MB

SLOW_CALLERS_PER_S = 60.0
"""More of them at once would have to wait for the stand-in workers, which share a process."""

EVENTS = 100
EVENT_BYTES = 6000
"""Streams of 600 KB: those of all slow callers are 120 MB, seven times the box's bound."""

SLOW_S = 10.0
"""Seconds for which the slow callers read one byte a second."""

SETTLED_S = 6.0
"""Seconds after which the box has taken in what its bounds allow."""

OTHER_BYTES = 10 * BYTES_PER_MB
"""Allowance for 50 KB of state, parsers and connections for each of 200 open requests."""

FLAT_BYTES = 3 * BYTES_PER_MB
"""Allowance for growth once the box has settled; without bounds it grows while workers send."""

IN_TIME_S = 2.0
"""Seconds for a whole answer of an ordinary caller on a machine that is in use by others."""

DEADLINE_MS = 15_000


@contextlib.asynccontextmanager
async def box_process(made, folder: Path):
    """A box as a process of its own; gives its process and the port for callers."""
    callers, health, control, notice = free_ports("127.0.0.1", 4)
    settings = {
        "box": "box-1",
        "hall": "a",
        "callers": f"127.0.0.1:{callers}",
        "health": f"127.0.0.1:{health}",
        "control": f"127.0.0.1:{control}",
        "notice_port": notice,
        "store": f"127.0.0.1:{made.store.ingress.port}",
        "peer_keys": ["k" * 16],
        "boxes": 1,
        "memory_mb": MEMORY_MB,
    }
    path = folder / "box.json"
    path.write_text(json.dumps(settings))
    with (folder / "box.log").open("ab") as log:
        process = await asyncio.create_subprocess_exec(
            sys.executable,
            str(PROGRAM),
            env=os.environ | {SETTINGS_VARIABLE: str(path)},
            stdout=log,
            stderr=log,
        )
    try:
        while not await is_ready(health):
            await asyncio.sleep(0.05)
        yield process, callers
    finally:
        with contextlib.suppress(ProcessLookupError):
            process.send_signal(signal.SIGKILL)
        await process.wait()


async def is_ready(port):
    try:
        reader, writer = await asyncio.open_connection("127.0.0.1", port)
    except ConnectionError:
        return False
    writer.write(b"GET /ready HTTP/1.1\r\nHost: box\r\n\r\n")
    answer = await read_answer(reader)
    writer.close()
    return answer.status == 200


def resident_bytes(process):
    for line in Path(f"/proc/{process.pid}/status").read_text().splitlines():
        if line.startswith("VmRSS:"):
            return int(line.split()[1]) * 1024
    raise AssertionError("no resident memory is told")


def decisions(folder, event):
    whole, _, _ = (folder / "box.log").read_bytes().rpartition(b"\n")
    lines = [json.loads(line) for line in whole.splitlines()]
    return [line for line in lines if line["event"] == event]


async def slow_caller(port, number):
    raw = socket.socket()
    raw.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, 4096)
    raw.setblocking(False)
    loop = asyncio.get_running_loop()
    await loop.sock_connect(raw, ("127.0.0.1", port))
    await loop.sock_sendall(raw, request_bytes("/stream/x", f"slow{number}", deadline=DEADLINE_MS))
    return raw


async def bring_slow_callers(port, sockets):
    for number in range(SLOW_CALLERS):
        sockets.append(await slow_caller(port, number))
        await asyncio.sleep(1.0 / SLOW_CALLERS_PER_S)


async def read_slowly(sockets):
    """Read a byte a second from each; returns how many bytes came."""
    got = 0
    while True:
        for raw in sockets:
            with contextlib.suppress(OSError):
                got += len(raw.recv(1))
        await asyncio.sleep(1.0)


async def ordinary_caller(port, path, request_id) -> tuple[Answer, float]:
    loop = asyncio.get_running_loop()
    begun_at = loop.time()
    reader, writer = await asyncio.open_connection("127.0.0.1", port)
    try:
        writer.write(request_bytes(path, request_id))
        return await read_answer(reader), loop.time() - begun_at
    finally:
        writer.close()


def test_memory_stays_flat_under_two_hundred_callers_that_read_a_byte_a_second(tmp_path):
    """The fault: what is held for such callers takes a box's memory, and all others are lost."""

    async def body():
        routes = [
            route("safe", "/safe/", "idempotent", "desk"),
            route("stream", "/stream/", "streaming", "llm", TimeoutMs=DEADLINE_MS),
        ]
        async with fleet(config=config(routes=routes)) as made:
            await made.add_worker("w1")
            for name in ("d0", "d1"):
                options = {"events": EVENTS, "event_bytes": EVENT_BYTES, "unread_s": 60.0}
                await made.add_worker(name, service="llm", stage="decode", **options)
            async with box_process(made, tmp_path) as (process, port):
                for number in range(20):
                    await ordinary_caller(port, "/stream/x", f"warm{number}")
                before = resident_bytes(process)
                loop = asyncio.get_running_loop()
                begun_at = loop.time()
                slow = []
                coming = loop.create_task(bring_slow_callers(port, slow))
                reading = loop.create_task(read_slowly(slow))
                sizes = []
                ordinary = []
                while (passed_s := loop.time() - begun_at) < SLOW_S:
                    sizes.append((passed_s, resident_bytes(process) - before))
                    path = "/stream/x" if len(ordinary) % 2 else "/safe/x"
                    ordinary.append(await ordinary_caller(port, path, f"o{len(ordinary)}"))
                    await asyncio.sleep(0.05)
                await coming
                reading.cancel()
                for raw in slow:
                    raw.close()
                ran = sum(
                    worker.runs_of(f"slow{n}")
                    for n in range(SLOW_CALLERS)
                    for worker in made.workers_by_id.values()
                )
                ended = decisions(tmp_path, "slow_caller_ended")
                assert ran == SLOW_CALLERS
                assert all(answer.status == 200 and answer.is_whole for answer, _ in ordinary)
                assert max(seconds for _, seconds in ordinary) < IN_TIME_S
                assert max(size for _, size in sizes) < HELD_BOUND + OTHER_BYTES
                settled = [size for passed_s, size in sizes if passed_s >= SETTLED_S]
                assert max(settled) - settled[0] < FLAT_BYTES
                slow_ids = {f"slow{number}" for number in range(SLOW_CALLERS)}
                assert {line["request_id"] for line in ended} <= slow_ids

    run(body)
