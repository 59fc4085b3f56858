"""The boxes of a soak: the real program as separate processes, started again when they end."""

from __future__ import annotations

import asyncio
import json
import os
import signal
import socket
import sys
from asyncio.subprocess import Process
from collections.abc import Callable, Sequence
from dataclasses import asdict, dataclass, field
from pathlib import Path

from croftchute.soak.keys import TERMS

ROOT = Path(__file__).resolve().parents[3]
PROGRAM = ROOT / "platform" / "start.py"
ALTERED_PROGRAM = Path(__file__).with_name("box_program.py")
SETTINGS_VARIABLE = "CROFTCHUTE_CONFIG"
ALTERATION_VARIABLE = "CROFTCHUTE_SOAK_ALTERATION"
RESTART_S = 0.3
LINK_HOSTS_FROM = 100
STOP_LIMIT_S = 8.0
DRAIN_S = 2.0
OWN_ENDS_ALLOWED = frozenset({0, 9})


@dataclass(frozen=True, kw_only=True, slots=True)
class BoxAddress:
    """Where a box listens; all its ports are on an address of its own."""

    host: str
    callers: int
    health: int
    control: int
    metrics: int
    notice: int


@dataclass(frozen=True, kw_only=True, slots=True)
class Alteration:
    """What is different in a box's process: a shifted clock, or a fault put in on purpose.

    With ``worker_host`` the box connects to that address in place of the workers' own, at the same
    port, where links lead that are its own; ``store_port`` is the port that is not a worker's.
    Each request costs the box ``request_ms`` more of the processor.
    """

    clock_offset_s: float = 0.0
    broken: str = ""
    worker_host: str = ""
    store_port: int = 0
    request_ms: float = 0.0

    def encode(self) -> str:
        """As the altered program reads it."""
        return json.dumps(asdict(self))


@dataclass(kw_only=True)
class SoakBox:
    """One box: its settings file, its present process, and how often it was started."""

    name: str
    hall: str
    address: BoxAddress
    folder: Path
    store_port: int
    seeds: tuple[str, ...]
    alteration: Alteration = Alteration()
    retry_slack: float = 50.0
    memory_mb: float = 0.0
    most_retry_slack: float = 0.0
    life: int = 0
    is_wanted: bool = True
    expects_end: bool = False
    unexpected_ends: list[int] = field(default_factory=list)
    process: Process | None = None

    @property
    def settings_path(self) -> Path:
        """The settings file."""
        return self.folder / f"{self.name}.json"

    @property
    def is_up(self) -> bool:
        """Whether the present process has said that it started; signals before that end it."""
        log = self.folder / f"{self.name}.log"
        return log.exists() and log.read_bytes().count(b'"started"') >= self.life

    def write_settings(self) -> None:
        """Write the settings as they are to be from now on, for lives after the present one too."""
        address = self.address
        self.most_retry_slack = max(self.most_retry_slack, self.retry_slack)
        settings = {
            "box": self.name,
            "hall": self.hall,
            "callers": f"{address.host}:{address.callers}",
            "health": f"{address.host}:{address.health}",
            "control": f"{address.host}:{address.control}",
            "metrics": f"{address.host}:{address.metrics}",
            "notice_port": address.notice,
            "store": f"127.0.0.1:{self.store_port}",
            "seeds": self.seeds,
            "peer_keys": ["soak-key-soak-key"],
            "retry": {"ratio": 0.2, "window_s": 10.0, "slack": self.retry_slack},
            "limits": {
                "window_s": TERMS.window_s,
                "overage": TERMS.overage,
                "slack": TERMS.slack,
            },
            "first_start": self.life == 0,
            "memory_mb": self.memory_mb,
            "stop_limit_s": STOP_LIMIT_S,
            "drain_s": DRAIN_S,
            "reload_check_s": 1.0,
        }
        self.settings_path.write_text(json.dumps(settings))

    async def keep_running(self, ended: Callable[[SoakBox], None]) -> None:
        """Start the process, and again whenever it ends; never returns while it is wanted."""
        while self.is_wanted:
            self.process = await self._start()
            code = await self.process.wait()
            if not self.expects_end:
                self.unexpected_ends.append(code)
            self.expects_end = False
            ended(self)
            self.write_settings()
            await asyncio.sleep(RESTART_S)

    def send_signal(self, number: signal.Signals) -> None:
        """Send a signal to the present process, if there is one."""
        if self.process is not None and self.process.returncode is None:
            self.process.send_signal(number)

    def end(self, number: signal.Signals) -> None:
        """Make the present process end."""
        self.expects_end = True
        self.send_signal(number)

    async def _start(self) -> Process:
        self.life += 1
        is_altered = self.alteration != Alteration()
        program = ALTERED_PROGRAM if is_altered else PROGRAM
        environment = os.environ | {
            SETTINGS_VARIABLE: str(self.settings_path),
            ALTERATION_VARIABLE: self.alteration.encode(),
        }
        with (self.folder / f"{self.name}.log").open("ab") as log:
            return await asyncio.create_subprocess_exec(
                sys.executable, str(program), env=environment, stdout=log, stderr=log
            )


def own_network(number: int) -> str:
    """The first three parts of loopback addresses that no other soak uses.

    >>> own_network(4242)
    '127.33.146'
    """
    return f"127.{17 + (number >> 8) % 200}.{number & 255}"


def free_ports(host: str, count: int) -> list[int]:
    """Ports that nobody listens on at an address."""
    sockets = [socket.socket() for _ in range(count)]
    try:
        for each in sockets:
            each.bind((host, 0))
        return [each.getsockname()[1] for each in sockets]
    finally:
        for each in sockets:
            each.close()


def own_link_hosts(addresses: Sequence[BoxAddress]) -> tuple[str, ...]:
    """Hosts for the links of each box to the workers, where no box listens."""
    hosts = []
    for address in addresses:
        network, _, number = address.host.rpartition(".")
        hosts.append(f"{network}.{LINK_HOSTS_FROM + int(number)}")
    return tuple(hosts)


def lay_out(network: str, count: int) -> list[BoxAddress]:
    """Addresses for some boxes; the port for notices is alike on all, as on the platform."""
    notice = free_ports(f"{network}.1", 1)[0]
    addresses = []
    for number in range(1, count + 1):
        host = f"{network}.{number}"
        callers, health, control, metrics = free_ports(host, 4)
        address = BoxAddress(
            host=host,
            callers=callers,
            health=health,
            control=control,
            metrics=metrics,
            notice=notice,
        )
        addresses.append(address)
    return addresses
