"""A small deployment on loopback: the platform's store and workers as stand-ins, real machines.

The stand-ins of the store and of the workers are the project's own. Each machine reaches the store
over a front of its own, so that it is known who called it, when, and what it was told.
"""

from __future__ import annotations

import asyncio
import itertools
import os
import random
import time
from collections.abc import Callable, Sequence
from dataclasses import dataclass, field
from pathlib import Path
from typing import Any

from callers import Try, ask
from machines import Machine, choose_ports, end_all, own_network

from croftchute.forwarding.http.exchange import Exchange
from croftchute.forwarding.http.http_server import HttpIngress
from croftchute.standins.metadata_store import MetadataStore
from croftchute.standins.platform_worker import PlatformWorker
from croftchute.tables.routing import IngressLimits

HOST = "ficu95.example"
SERVICE = "desk-app"
PATH = "/lohu930/2f"
REGION = "dakar"
LOCALHOST = "127.0.0.1"
SHORT_BODY = b"x" * 600
LIST_WATCH = "/kv-watch?PathPrefix=servers"
LIST_READ = "/kv-range?PathPrefix=servers"


class Deployment:
    """The store, the workers of one plain service, the machines, and the record of a run."""

    def __init__(self, *, folder: Path, work_s: float) -> None:
        self.folder = folder
        self.work_s = work_s
        self.store = MetadataStore()
        self.fronts: list[HttpIngress] = []
        self.watched_at: dict[str, float] = {}
        self.told: list[tuple[float, str, int]] = []
        self.machines: list[Machine] = []
        self.workers: list[PlatformWorker] = []
        self.tries: list[Try] = []
        self.record: list[str] = []
        self.began_at = time.monotonic()
        self._numbers = itertools.count(1)
        self._asking: set[asyncio.Task[Try]] = set()

    def note(self, text: str) -> None:
        """Write a line into the record."""
        self.record.append(f"{time.monotonic() - self.began_at:8.3f} {text}")

    async def start_platform(self, *, zones: Sequence[str]) -> None:
        """Start the store with a configuration, and a worker of the service in each zone."""
        await self.store.start()
        self.store.put("op/config", config(11))
        for number, zone in enumerate(zones):
            worker = PlatformWorker(id=f"i-{os.getpid():x}{number}", work_s=self.work_s)
            await worker.start()
            self.workers.append(worker)
            self.store.put(f"servers/{worker.id}", worker.entry(SERVICE, zone))

    async def start_machines(self, zones: Sequence[str]) -> None:
        """Start a machine in each of the zones that are given, all within moments."""
        network = own_network()
        hosts = [f"{network}.{number}" for number in range(1, len(zones) + 1)]
        ports = choose_ports(hosts)
        seeds = [f"{host}:{ports.control}" for host in hosts[:3]]
        for number, (host, zone) in enumerate(zip(hosts, zones, strict=True), start=1):
            name = f"edge-{zone}-{number}"
            machine = Machine(
                name=name,
                zone=zone,
                host=host,
                ports=ports,
                store=f"{LOCALHOST}:{await self._open_front(name)}",
                seeds=seeds,
                zones=dict.fromkeys(zones, REGION),
                folder=self.folder,
            )
            self.machines.append(machine)
            await machine.start()
            self.note(f"started {name}")

    async def _open_front(self, machine: str) -> int:
        async def handle(exchange: Exchange) -> None:
            target = exchange.request.target
            if target.startswith(LIST_WATCH):
                self.watched_at[machine] = time.monotonic()
            await self.store._answer(exchange)
            if target.startswith((LIST_WATCH, LIST_READ)) and exchange.is_finished:
                self.told.append((time.monotonic(), machine, self.store.revision))

        front = HttpIngress(handler=handle, limits=IngressLimits)
        await front.listen(LOCALHOST, 0)
        self.fronts.append(front)
        return front.port

    async def wait_until(self, is_so: Callable[[], bool], *, within_s: float) -> bool:
        """Wait until all machines are ready and something else holds; False if it does not."""
        ends_at = time.monotonic() + within_s
        while time.monotonic() < ends_at:
            await asyncio.sleep(0.25)
            ready = [await machine.is_ready() for machine in self.machines]
            if all(ready) and is_so():
                return True
        return False

    def begin_calls(
        self, machines: Sequence[Machine], *, pause_s: float, deadline_s: float
    ) -> asyncio.Task[None]:
        """Send non-repeatable requests to machines, each on its own connection, until cancelled."""

        async def call() -> None:
            while True:
                self.call_once(random.choice(machines), deadline_s=deadline_s)
                await asyncio.sleep(pause_s)

        return asyncio.create_task(call())

    def call_once(
        self,
        machine: Machine,
        *,
        deadline_s: float,
        path: str = PATH,
        body: bytes = SHORT_BODY,
        extra: tuple[str, ...] = (),
    ) -> asyncio.Task[Try]:
        """Begin one try."""
        request_id = f"{os.getpid():08x}{next(self._numbers):08x}"
        attempt = Try(request_id=request_id, machine=machine.name, path=path)
        self.tries.append(attempt)
        asking = asyncio.create_task(
            ask(
                attempt,
                machine.host,
                machine.ports.front,
                virtual_host=HOST,
                deadline_s=deadline_s,
                body=body,
                extra=extra,
            )
        )
        self._asking.add(asking)
        asking.add_done_callback(self._asking.discard)
        return asking

    async def finish_calls(self, calling: asyncio.Task[None]) -> None:
        """Send no more, and wait for the answers to what was sent."""
        calling.cancel()
        await asyncio.gather(*list(self._asking), return_exceptions=True)

    def arrivals(self, worker: PlatformWorker, *, since: float) -> list[tuple[float, str]]:
        """Return when requests reached a worker, in seconds after a moment, and their ids."""
        shift = time.monotonic() - asyncio.get_running_loop().time()
        return [(each.at + shift - since, each.request_id) for each in worker.arrivals]

    def lost(self) -> list[Try]:
        """Return what ran at a worker and brought its client no success."""
        ran = {name for worker in self.workers for name in worker.ran}
        return [each for each in self.tries if each.request_id in ran and each.status != 200]

    def record_tries(self) -> None:
        """Write what was sent, and what came of it."""
        for each in self.tries:
            self.record.append(
                f"{each.sent_at - self.began_at:8.3f} sent {each.request_id} to {each.machine},"
                f" ended {each.ended_at - self.began_at:.3f} status {each.status}"
                f" whole {each.is_whole} {each.failure}"
            )
        for worker in self.workers:
            for run in worker.runs:
                shift = time.monotonic() - asyncio.get_running_loop().time()
                at = run.started_at + shift - self.began_at
                self.record.append(f"{at:8.3f} {worker.id} ran {run.request_id}")

    async def end(self) -> None:
        """End all processes that were started, and the stand-ins."""
        await end_all(self.machines)
        for worker in self.workers:
            worker.stop()


@dataclass(kw_only=True)
class Outcome:
    """How a run ended: 1 if the rule was broken, 0 if it held, 2 if the case couldn't run."""

    status: int = 2
    summary: list[str] = field(default_factory=list)


def config(version: int) -> dict[str, Any]:
    """The operator's configuration: one route, whose requests may run once, to a plain service."""
    route = {
        "Name": "roster-lookup",
        "Hostname": HOST,
        "PathPrefix": "/lohu930/",
        "Kind": "non_idempotent",
        "TimeoutMs": 4000,
        "TargetLatencyMs": 400,
        "Priority": 2,
        "Service": SERVICE,
        "MaxAttempts": 1,
    }
    service = {"Name": SERVICE, "MaxConnections": 600, "HealthPath": "/healthz"}
    limits = {
        "MaxHeaderBytes": 16384,
        "MaxBodyBytes": 4194304,
        "HeaderTimeoutMs": 3000,
        "IdleTimeoutMs": 15000,
    }
    return {"Version": version, "Routes": [route], "Services": [service], "Limits": limits}
