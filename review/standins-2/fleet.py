"""Boxes as separate processes, started by the line of the deploy file, as a small fleet."""

from __future__ import annotations

import asyncio
import json
import os
import shutil
import signal
import socket
import subprocess
import tempfile
import time
import tomllib
import traceback
from collections.abc import Awaitable, Callable
from pathlib import Path

ROOT = Path(__file__).resolve().parents[2]
BOUNDS = {
    "SeedLagS": 3,
    "ContactMs": 3000,
    "DrainMs": 2000,
    "GraceS": 8,
    "LossSlackMs": 200,
    "ConfigApplyMs": 2000,
    "RetryRatio": 0.2,
    "RetryWindowS": 10,
    "RetrySlack": 56,
    "RecoveryS": 12,
    "LeaseMs": 3000,
    "ThawMs": 300,
}
"""The bounds of ASPF Fibre Booking Assistant Acceptance in SYSTEM.md, as far as cases need them."""

RESTART_S = 0.3
"""Seconds after which a process that ended is started again: "after a short delay"."""


class Record:
    """The file ``record.txt`` of a case: a line for each event, with the time since the start."""

    def __init__(self, path: Path) -> None:
        self._file = path.open("w")
        self._begun_at = time.monotonic()

    @property
    def now(self) -> float:
        """Seconds since the start."""
        return time.monotonic() - self._begun_at

    def note(self, text: str) -> None:
        """Write a line."""
        self._file.write(f"{self.now:8.3f} {text}\n")
        self._file.flush()


def free_port(host: str, kind: int = socket.SOCK_STREAM) -> int:
    """A free port below those of outgoing connections."""
    for port in range(20000 + os.getpid() % 6000, 32700):
        with socket.socket(socket.AF_INET, kind) as probe:
            try:
                probe.bind((host, port))
            except OSError:
                continue
            if (host, port) not in _taken:
                _taken.add((host, port))
                return port
    raise OSError("no free port")


_taken: set[tuple[str, int]] = set()


def play(run: Callable[[Record], Awaitable[int]], folder: Path) -> int:
    """Run a case with its record; return 2 if it could not run or was told to end."""
    record = Record(folder / "record.txt")
    try:
        return asyncio.run(_until_told_to_end(run, record))
    except (Exception, asyncio.CancelledError):
        record.note(traceback.format_exc())
        return 2


async def _until_told_to_end(run: Callable[[Record], Awaitable[int]], record: Record) -> int:
    playing = asyncio.ensure_future(run(record))
    asyncio.get_running_loop().add_signal_handler(signal.SIGTERM, playing.cancel)
    return await playing


class Box:
    """One box: its settings file and its present process."""

    def __init__(
        self, *, name: str, hall: str, host: str, folder: Path, store_port: int, notice_port: int
    ) -> None:
        self.name, self.hall, self.host, self.folder = name, hall, host, folder
        self.store_port, self.notice_port = store_port, notice_port
        self.callers, self.health, self.control, self.metrics = (free_port(host) for _ in range(4))
        self.seeds: list[str] = []
        self.process: subprocess.Popen | None = None
        self.started_at = 0.0

    @property
    def log(self) -> Path:
        """What the process writes to standard output, over all its lives."""
        return self.folder / f"{self.name}.log"

    def start(self, *, first: bool) -> None:
        """Start the process with the run line of the deploy file."""
        settings = {
            "box": self.name,
            "hall": self.hall,
            "callers": f"{self.host}:{self.callers}",
            "health": f"{self.host}:{self.health}",
            "metrics": f"{self.host}:{self.metrics}",
            "control": f"{self.host}:{self.control}",
            "notice_port": self.notice_port,
            "peer_keys": ["croftchute-on-the-users-platform"],
            "seeds": self.seeds,
            "store": f"127.0.0.1:{self.store_port}",
            "retry": {
                "ratio": BOUNDS["RetryRatio"],
                "window_s": BOUNDS["RetryWindowS"],
                "slack": BOUNDS["RetrySlack"],
            },
            "first_start": first,
            "stop_limit_s": BOUNDS["GraceS"],
            "contact_s": BOUNDS["ContactMs"] / 1000.0,
            "drain_s": BOUNDS["DrainMs"] / 1000.0,
            "link_mbps": 1000.0,
            "memory_mb": 150,
            "max_fds": 4100,
            "conditions": {},
            "order_gap_s": BOUNDS["LeaseMs"] / 1000.0,
        }
        path = self.folder / f"{self.name}.json"
        path.write_text(json.dumps(settings))
        deploy = tomllib.loads((ROOT / "deploy" / "system.toml").read_text())
        command = deploy["roles"]["router"]["run"].split()
        environment = {
            name: os.environ[name] for name in ("PATH", "HOME", "LANG") if name in os.environ
        }
        environment |= {
            "CROFTCHUTE_CONFIG": str(path),
            "PYTHONPATH": str(ROOT / "target" / "deps"),
            "PYTHONDONTWRITEBYTECODE": "1",
        }
        with self.log.open("ab") as log:
            self.process = subprocess.Popen(
                command, cwd=ROOT, env=environment, stdout=log, stderr=log, stdin=subprocess.DEVNULL
            )
        self.started_at = time.monotonic()

    def kill(self) -> None:
        """End the process at once."""
        if self.process is not None and self.process.poll() is None:
            self.process.send_signal(signal.SIGKILL)
            self.process.wait()

    def terminate(self) -> None:
        """Send SIGTERM."""
        if self.process is not None and self.process.poll() is None:
            self.process.send_signal(signal.SIGTERM)


class Fleet:
    """Boxes of several halls in a temporary folder; ends all of them."""

    def __init__(self, halls: list[str], store_ports: list[int]) -> None:
        self.folder = Path(tempfile.mkdtemp(prefix="croftchute-case-"))
        network = f"127.{40 + os.getpid() % 80}.{os.getpid() // 80 % 250}"
        hosts = [f"{network}.{number + 1}" for number in range(len(halls))]
        notice_port = free_port(hosts[0], socket.SOCK_DGRAM)
        self.boxes = [
            Box(
                name=f"edge-{hall}-{number + 1}",
                hall=hall,
                host=hosts[number],
                folder=self.folder,
                store_port=store_ports[number],
                notice_port=notice_port,
            )
            for number, hall in enumerate(halls)
        ]
        seeds = [f"{box.host}:{box.control}" for box in self.boxes[:3]]
        for box in self.boxes:
            box.seeds = seeds

    async def start(self, count: int = 0) -> None:
        """Start all boxes, or the first ones, and wait until they are ready."""
        boxes = self.boxes[: count or len(self.boxes)]
        for box in boxes:
            box.start(first=True)
        await asyncio.gather(*(until_ready(box) for box in boxes))

    def end(self) -> None:
        """End all boxes and remove the folder."""
        for box in self.boxes:
            box.kill()
        if "KEEP" not in os.environ:
            shutil.rmtree(self.folder, ignore_errors=True)


async def is_ready(box: Box) -> bool:
    """Ask a box as the platform's balancer does."""
    from httpserver import call

    status, _, _ = await call(box.host, box.health, "GET", "/ready", {"Host": "b"}, timeout_s=1.0)
    return status == 200


async def until_ready(box: Box, timeout_s: float = 20.0) -> None:
    """Wait until a box is ready; raises TimeoutError."""
    async with asyncio.timeout(timeout_s):
        while not await is_ready(box):
            await asyncio.sleep(0.05)
