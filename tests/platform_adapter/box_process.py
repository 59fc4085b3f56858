"""A box that is a process of its own, and what the operating system says of it."""

import asyncio
import contextlib
import json
import os
import resource
import signal
import sys
from functools import partial

from platform_fleet import read_answer

from croftchute.soak.boxes import PROGRAM, SETTINGS_VARIABLE, free_ports
from croftchute.systems.held_bytes import BYTES_PER_MB

LISTENERS = ("callers", "health", "control", "metrics")
TCP_TABLE = "/proc/net/tcp"
LOCAL_ADDRESS, QUEUES, INODE = 1, 4, 9


class BoxProcess:
    """The process, its ports by listener, and its settings."""

    def __init__(self, *, process, port_by_listener, folder):
        self.process = process
        self.port_by_listener = port_by_listener
        self.folder = folder

    @property
    def port(self):
        return self.port_by_listener["callers"]

    @property
    def is_alive(self):
        return self.process.returncode is None

    def decisions(self, event):
        whole, _, _ = (self.folder / "box.log").read_bytes().rpartition(b"\n")
        # Errors of the event loop are no decisions.
        lines = [json.loads(line) for line in whole.splitlines() if line.startswith(b"{")]
        return [line for line in lines if line["event"] == event]

    def resident_bytes(self):
        return self._status_bytes("VmRSS:")

    def peak_bytes(self):
        """The most memory that the process had so far, without what waits in the kernel."""
        return self._status_bytes("VmHWM:")

    def forget_peak(self):
        """Begin to measure the peak anew."""
        with open(f"/proc/{self.process.pid}/clear_refs", "w") as file:
            file.write("5")

    def queued_bytes(self):
        """Bytes in the kernel that came for the box, or that its peers did not take yet."""
        inodes = self._socket_inodes()
        ports = set(self.port_by_listener.values())
        total = 0
        with open(TCP_TABLE) as table:
            next(table)
            for line in table:
                fields = line.split()
                local_port = int(fields[LOCAL_ADDRESS].rpartition(":")[2], 16)
                if fields[INODE] in inodes or local_port in ports:
                    sending, _, receiving = fields[QUEUES].partition(":")
                    total += int(sending, 16) + int(receiving, 16)
        return total

    def open_descriptors(self):
        return len(os.listdir(f"/proc/{self.process.pid}/fd"))

    def _socket_inodes(self):
        folder = f"/proc/{self.process.pid}/fd"
        inodes = set()
        for name in os.listdir(folder):
            with contextlib.suppress(OSError):
                target = os.readlink(f"{folder}/{name}")
                if target.startswith("socket:["):
                    inodes.add(target[len("socket:[") : -1])
        return inodes

    def _status_bytes(self, field):
        with open(f"/proc/{self.process.pid}/status") as lines:
            for line in lines:
                if line.startswith(field):
                    return int(line.split()[1]) * 1024
        raise AssertionError(f"{field} is missing")


def limit_descriptors(count):
    resource.setrlimit(resource.RLIMIT_NOFILE, (count, count))


async def start_box(made, folder, *, memory_mb, max_fds, changes):
    """Start a process on ports that were free a moment ago."""
    *ports, notice = free_ports("127.0.0.1", len(LISTENERS) + 1)
    port_by_listener = dict(zip(LISTENERS, ports, strict=True))
    addresses = {name: f"127.0.0.1:{port}" for name, port in port_by_listener.items()}
    settings = addresses | {
        "box": "box-1",
        "hall": "a",
        "notice_port": notice,
        "store": f"127.0.0.1:{made.store.ingress.port}",
        "peer_keys": ["k" * 16],
        "boxes": 1,
        "memory_mb": memory_mb,
        "max_fds": max_fds,
    }
    path = folder / "box.json"
    path.write_text(json.dumps(settings | changes))
    with (folder / "box.log").open("ab") as log:
        process = await asyncio.create_subprocess_exec(
            sys.executable,
            str(PROGRAM),
            env=os.environ | {SETTINGS_VARIABLE: str(path)},
            stdout=log,
            stderr=log,
            preexec_fn=partial(limit_descriptors, max_fds) if max_fds else None,
        )
    return BoxProcess(process=process, port_by_listener=port_by_listener, folder=folder)


@contextlib.asynccontextmanager
async def box_process(made, folder, *, memory_mb, max_fds=0, **changes):
    """A box before the fleet's store and workers; its table of descriptors has ``max_fds``.

    It is started again if another process has taken one of its ports.
    """
    box = await start_box(made, folder, memory_mb=memory_mb, max_fds=max_fds, changes=changes)
    try:
        while not await is_ready(box.port_by_listener["health"]):
            if not box.is_alive and b"Address already in use" in (folder / "box.log").read_bytes():
                (folder / "box.log").write_bytes(b"")
                terms = {"memory_mb": memory_mb, "max_fds": max_fds, "changes": changes}
                box = await start_box(made, folder, **terms)
            await asyncio.sleep(0.05)
        yield box
    finally:
        with contextlib.suppress(ProcessLookupError):
            box.process.send_signal(signal.SIGKILL)
        await box.process.wait()


async def is_ready(port):
    try:
        reader, writer = await asyncio.open_connection("127.0.0.1", port)
    except ConnectionError:
        return False
    try:
        writer.write(b"GET /ready HTTP/1.1\r\nHost: box\r\n\r\n")
        return (await read_answer(reader)).status == 200
    except (ConnectionError, asyncio.IncompleteReadError):
        return False
    finally:
        writer.close()


class PeakMeter:
    """The most memory and descriptors that a box had while this was entered.

    Bytes that wait in the kernel count, as they do on the platform.
    """

    INTERVAL_S = 0.05

    def __init__(self, *, box):
        self.box = box
        self.memory_bytes = 0
        self.descriptors = 0
        self._task = None

    @property
    def memory_mb(self):
        return self.memory_bytes / BYTES_PER_MB

    async def __aenter__(self):
        self.box.forget_peak()
        self._task = asyncio.create_task(self._measure())
        return self

    async def __aexit__(self, kind, error, trace):
        self._task.cancel()
        if self.box.is_alive:
            self._read()

    async def _measure(self):
        while self.box.is_alive:
            self._read()
            await asyncio.sleep(self.INTERVAL_S)

    def _read(self):
        queued = self.box.queued_bytes()
        seen = max(self.box.peak_bytes(), self.box.resident_bytes() + queued)
        self.memory_bytes = max(self.memory_bytes, seen)
        self.descriptors = max(self.descriptors, self.box.open_descriptors())
