"""The machines of a small deployment: the project's program as real processes on loopback."""

from __future__ import annotations

import asyncio
import json
import os
import random
import signal
import socket
import time
from dataclasses import dataclass, field
from pathlib import Path
from typing import Any

from platform_settings import BOUNDS, CONTRACTS, ROOT, deploy_role, render

FIRST_PORT = 20_000
LAST_PORT = 31_000
"""Range of the ports that are chosen: below those of outgoing connections."""

SETTINGS_VARIABLE = "CROFTCHUTE_CONFIG"
KEPT_VARIABLES = ("PATH", "HOME", "LANG")


@dataclass(frozen=True, kw_only=True)
class Ports:
    """Ports that are alike on all machines."""

    front: int
    ready: int
    control: int
    first: int

    @property
    def all(self) -> tuple[int, ...]:
        """All ports, those of the range for peers and of the metrics included."""
        return (self.front, self.ready, self.control, self.first)


def own_network() -> str:
    """Return the first three parts of loopback addresses of this run alone."""
    number = os.getpid()
    return f"127.{40 + (number >> 8) % 180}.{number & 255}"


def choose_ports(hosts: list[str]) -> Ports:
    """Return ports on which nobody listens at any of the hosts."""
    while True:
        numbers = random.sample(range(FIRST_PORT, LAST_PORT), 4)
        if all(_is_free(host, number) for host in hosts for number in numbers):
            return Ports(front=numbers[0], ready=numbers[1], control=numbers[2], first=numbers[3])


def _is_free(host: str, port: int) -> bool:
    for kind in (socket.SOCK_STREAM, socket.SOCK_DGRAM):
        with socket.socket(socket.AF_INET, kind) as probe:
            try:
                probe.bind((host, port))
            except OSError:
                return False
    return True


@dataclass(kw_only=True)
class Machine:
    """One machine: its settings file, and its process while there is one."""

    name: str
    zone: str
    host: str
    ports: Ports
    store: str
    seeds: list[str]
    zones: dict[str, str]
    folder: Path
    memory_mb: int = 150
    bounds: dict[str, Any] = field(default_factory=lambda: dict(BOUNDS))
    process: asyncio.subprocess.Process | None = None
    started_at: list[float] = field(default_factory=list)
    ended: list[int] = field(default_factory=list)

    @property
    def log_path(self) -> Path:
        """Where standard output and standard error go."""
        return self.folder / f"{self.name}.log"

    @property
    def settings_path(self) -> Path:
        """The rendered settings file."""
        return self.folder / f"{self.name}.settings"

    def fields(self) -> dict[str, Any]:
        """Return the settings as DEPLOY.md lists them."""
        return {
            "NodeName": self.name,
            "Role": "router",
            "MachineClass": "edge",
            "Serves": ["edge", "control"],
            "Ip": self.host,
            "Zone": self.zone,
            "Region": "dakar",
            "PortRange": [self.ports.first, self.ports.first + 15],
            "Seeds": self.seeds,
            "FirstStart": not self.started_at,
            "InTolerance": False,
            "Discovery": "platform",
            "Entry": "vip",
            "HeartbeatMs": 1200,
            "Contracts": CONTRACTS,
            "Zones": self.zones,
            "Listen": {
                "Front": f"{self.host}:{self.ports.front}",
                "Ready": f"{self.host}:{self.ports.ready}",
                "Control": f"{self.host}:{self.ports.control}",
            },
            "Limits": {
                "CpuShare": 0.537,
                "Cores": 2,
                "MemoryMb": self.memory_mb,
                "MaxFds": 4100,
                "LinkMbps": 1000.0,
                "DiskMb": 0,
            },
            "FaultTolerance": {"Machines": 2, "Zones": 1, "Regions": 0},
            "Bounds": self.bounds,
            "Platform": {
                "Address": self.store,
                "form": "kv",
                "writes_per_s": 400,
                "reads_per_s": 2000,
                "HistoryS": 20,
                "value_bytes": 1048576,
                "ttl_min_ms": 1000,
            },
        }

    async def start(self) -> None:
        """Render the settings and start the process as the deploy file says."""
        self.settings_path.write_text(render(self.fields()))
        self.started_at.append(time.monotonic())
        environment = {name: os.environ[name] for name in KEPT_VARIABLES if name in os.environ}
        environment[SETTINGS_VARIABLE] = str(self.settings_path)
        environment["PYTHONPATH"] = "target/deps"
        with self.log_path.open("ab") as log:
            self.process = await asyncio.create_subprocess_exec(
                *deploy_role()["run"].split(), cwd=ROOT, env=environment, stdout=log, stderr=log
            )

    async def wait_ended(self) -> int:
        """Wait until the process has ended; return its status and keep it."""
        assert self.process is not None
        code = await self.process.wait()
        self.ended.append(code)
        return code

    def send(self, number: signal.Signals) -> None:
        """Send a signal to this machine's own process."""
        if self.process is not None and self.process.returncode is None:
            self.process.send_signal(number)

    async def is_ready(self) -> bool:
        """Return whether the machine calls itself ready, as the platform asks."""
        try:
            async with asyncio.timeout(1.0):
                reader, writer = await asyncio.open_connection(self.host, self.ports.ready)
                writer.write(b"GET /ready HTTP/1.1\r\nHost: x\r\nConnection: close\r\n\r\n")
                line = await reader.readline()
                writer.close()
        except (OSError, TimeoutError):
            return False
        return line.split(b" ")[1:2] == [b"200"]

    def events(self, kind: str) -> list[dict[str, Any]]:
        """Return the lines of one kind in this machine's log."""
        found = []
        for line in self.log_path.read_bytes().splitlines():
            if b'"' + kind.encode() + b'"' in line:
                found.append(json.loads(line))
        return found


async def end_all(machines: list[Machine]) -> None:
    """End every process that the machines still run, by its own id."""
    for machine in machines:
        machine.send(signal.SIGCONT)
        machine.send(signal.SIGKILL)
    for machine in machines:
        if machine.process is not None:
            await machine.process.wait()
