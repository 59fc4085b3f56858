"""What stands around the boxes: the store, the workers, and a faulty link before each."""

from __future__ import annotations

import asyncio
import itertools
from collections.abc import Sequence
from dataclasses import dataclass, field
from typing import Any

from croftchute.soak.keys import organisations
from croftchute.soak.proxy import FaultyLink, LinkFault, Target
from croftchute.standins.metadata_store import MetadataStore
from croftchute.standins.platform_caller import RequestKind
from croftchute.standins.platform_worker import PlatformWorker

JsonObject = dict[str, Any]
VIRTUAL_HOST = "soak.example"
EVENTS = 16
EVENT_GAP_S = 0.1
WORK_S = 0.05
HANDLE_TTL_S = 0.5
HOLD_TTL_S = 2.0
TARGET_S = 0.9
TIMEOUT_S = 6.0

SLOW_EVENT_GAP_S = 0.25
"""Seconds between events of a slow stream: 4 s in all. One sent before a stop and another one
right behind it last longer than the stop; one sent within the first 3 s of a stop does not."""

FILLER_ROUTES = 4200
"""Routes that make a configuration long: about 0.8 MB of JSON, as in incident inc2."""

SOFTWARE_VERSIONS = 2
"""Software versions that workers have in turn: one that comes back may have another."""

IDLE_TIMEOUT_S = 4.0
"""Seconds for which callers' connections may rest, unless a fault changes it."""

PASSING_KINDS = (RequestKind.RESUMABLE, RequestKind.REPEATABLE)
"""Kinds of requests on routes that come and go with a fault."""

PASSING = "/passing/"
"""Prefix of the paths of those routes."""

MAX_ATTEMPTS = 2
DESK = "desk"
ENGINES = "engines"
HALLS = ("a", "b", "c")
LOCALHOST = "127.0.0.1"

ENGINE_TRAITS = {
    "Slots": 128,
    "KvCapacity": 66897,
    "KvTokenBytes": 18432,
    "HandleTtlS": HANDLE_TTL_S,
    "HoldMs": int(HOLD_TTL_S * 1000),
    "Models": [{"Name": "m"}],
}


@dataclass(kw_only=True)
class ListedWorker:
    """A worker, the link that leads to it, and the times at which it was listed and then left."""

    worker: PlatformWorker
    link: FaultyLink
    service: str
    hall: str
    listed_at: float = 0.0
    leaving_at: float | None = None
    revival: asyncio.Task[None] | None = None

    def entry(self, state: str = "ready") -> JsonObject:
        """What the worker writes of itself; callers reach it over the link."""
        entry = self.worker.entry(self.service, self.hall, state)
        return entry | {"Address": f"{self.link.host}:{self.link.port}"}


@dataclass(kw_only=True)
class SoakWorld:
    """The platform as the boxes see it."""

    store: MetadataStore = field(default_factory=MetadataStore)
    workers_by_id: dict[str, ListedWorker] = field(default_factory=dict)
    all_workers: list[ListedWorker] = field(default_factory=list)
    version: int = 0
    accepted_at_by_version: dict[int, float] = field(default_factory=dict)
    size_by_version: dict[int, int] = field(default_factory=dict)
    routes: list[JsonObject] = field(default_factory=list)
    fillers: list[JsonObject] = field(default_factory=list)
    idle_timeout_s: float = IDLE_TIMEOUT_S
    max_body_bytes: int = 65_536
    passing_timeouts_s: dict[int, float] = field(default_factory=dict)
    link_hosts: tuple[str, ...] = ()
    _box_links_by_host: dict[str, list[FaultyLink]] = field(default_factory=dict)
    _cut_by_host: dict[str, LinkFault] = field(default_factory=dict)

    def __post_init__(self) -> None:
        self._numbers = itertools.count(1)
        self.routes = [
            _route("once", "/once/", "non_idempotent", DESK),
            _route("repeatable", "/repeatable/", "idempotent", DESK),
            _route("resumable", "/resumable/", "streaming", ENGINES, Resumable=True),
            _route("stream", "/stream/", "streaming", ENGINES),
        ]

    async def start(self, *, desks: int, engines: int) -> None:
        """Start the store and the workers, and write the first configuration."""
        await self.store.start()
        self.accept_config()
        for _ in range(desks):
            await self.add_worker(DESK)
        for number in range(engines):
            await self.add_worker(ENGINES, stage="prefill" if number < 2 else "decode")

    async def add_worker(
        self,
        service: str,
        *,
        stage: str = "",
        link: FaultyLink | None = None,
        name: str = "",
        born_ms: int | None = None,
    ) -> ListedWorker:
        """Start a worker and list it; ``link`` is an address, ``name`` an id that it takes over."""
        number = next(self._numbers)
        worker = PlatformWorker(
            id=name or f"{service}-{number}",
            software=f"v{1 + number % SOFTWARE_VERSIONS}",
            born_ms=born_ms,
            stage=stage,
            events=EVENTS,
            gap_s=EVENT_GAP_S if stage == "decode" else 0.0,
            work_s=WORK_S,
            handle_ttl_s=HANDLE_TTL_S,
            slow_gap_s=SLOW_EVENT_GAP_S if stage == "decode" else 0.0,
        )
        target = Target(host=LOCALHOST, port=await worker.start())
        if link is None:
            link = FaultyLink(name=worker.id, target=target)
            await link.start()
            await self._add_box_links(link)
        else:
            link.target = target
        listed = ListedWorker(
            worker=worker,
            link=link,
            service=service,
            hall=HALLS[number % len(HALLS)],
            listed_at=asyncio.get_running_loop().time(),
        )
        self.workers_by_id[worker.id] = listed
        self.all_workers.append(listed)
        self.write_entry(listed)
        return listed

    async def _add_box_links(self, link: FaultyLink) -> None:
        """Lead each box to a worker's link over one of its own, at the same port."""
        for host in self.link_hosts:
            target = Target(host=link.host, port=link.port)
            own = FaultyLink(
                name=f"{host} to {link.name}", target=target, host=host, port=link.port
            )
            await own.start()
            link.followers.append(own)
            self._box_links_by_host.setdefault(host, []).append(own)
            if (cut := self._cut_by_host.get(host)) is not None:
                await own.cut(cut)

    async def cut_links(self, hosts: Sequence[str], fault: LinkFault) -> None:
        """Cut some boxes off from all workers, also from those that are added meanwhile."""
        for host in hosts:
            self._cut_by_host[host] = fault
        for host in hosts:
            for link in list(self._box_links_by_host.get(host, ())):
                await link.cut(fault)

    async def heal_links(self, hosts: Sequence[str]) -> None:
        """End the cuts of some boxes."""
        for host in hosts:
            self._cut_by_host.pop(host, None)
        for host in hosts:
            for link in list(self._box_links_by_host.get(host, ())):
                await link.heal()

    def write_entry(self, listed: ListedWorker, state: str = "ready") -> None:
        """Write a worker's entry."""
        self.store.put(f"servers/{listed.worker.id}", listed.entry(state))

    def remove_entry(self, listed: ListedWorker) -> None:
        """Take a worker off the list."""
        if listed.leaving_at is None:
            listed.leaving_at = asyncio.get_running_loop().time()
        self.store.remove(f"servers/{listed.worker.id}")

    def accept_config(self) -> int:
        """Accept a configuration with one more route; returns its version."""
        self.version += 1
        added = _route(f"added-{self.version}", added_path(self.version), "idempotent", DESK)
        self.routes.append(added)
        passing = [
            _route(
                f"passing-{number}-{kind.value}",
                passing_path(number, kind),
                "streaming" if kind.is_stream else "idempotent",
                ENGINES if kind.is_stream else DESK,
                TimeoutMs=int(timeout_s * 1000),
                Resumable=kind.is_stream,
            )
            for number, timeout_s in self.passing_timeouts_s.items()
            for kind in PASSING_KINDS
        ]
        document = {
            "Version": self.version,
            "Routes": self.routes + passing + self.fillers,
            "Services": [
                {"Name": ENGINES, "MaxConnections": 600, "Engine": ENGINE_TRAITS},
                {"Name": DESK, "MaxConnections": 100},
            ],
            "Limits": {
                "MaxHeaderBytes": 16384,
                "MaxBodyBytes": self.max_body_bytes,
                "HeaderTimeoutMs": 3000,
                "IdleTimeoutMs": int(self.idle_timeout_s * 1000),
            },
            "Tenants": organisations(self.version),
        }
        self.store.put("op/config", document)
        self.size_by_version[self.version] = len(self.store.items_by_key["op/config"].value)
        self.accepted_at_by_version[self.version] = asyncio.get_running_loop().time()
        return self.version

    def lengthen_config(self) -> int:
        """Accept a configuration of thousands of routes; those after it keep them."""
        self.fillers = [
            _route(f"filler-{number}", f"/filler/{number}/", "idempotent", DESK)
            for number in range(FILLER_ROUTES)
        ]
        return self.accept_config()

    def shorten_config(self) -> int:
        """Accept a configuration without the routes that made it long."""
        self.fillers = []
        return self.accept_config()

    def live(self, service: str | None = None) -> list[ListedWorker]:
        """Workers that are listed and not leaving, in the order of their ids."""
        return [
            listed
            for _, listed in sorted(self.workers_by_id.items())
            if listed.leaving_at is None and service in (None, listed.service)
        ]

    def stop(self) -> None:
        """End the workers and their links."""
        for listed in self.all_workers:
            listed.worker.stop()
            listed.link.stop()
        for links in self._box_links_by_host.values():
            for link in links:
                link.stop()


def added_path(version: int) -> str:
    """The path of the route that a version added."""
    return f"/added/{version}/"


def passing_path(number: int, kind: RequestKind) -> str:
    """The path of a route that comes and goes with a fault."""
    return f"{PASSING}{number}/{kind.value}/"


def _route(name: str, prefix: str, kind: str, service: str, **changes: object) -> JsonObject:
    return {
        "Name": name,
        "Hostname": VIRTUAL_HOST,
        "PathPrefix": prefix,
        "Kind": kind,
        "TimeoutMs": int(TIMEOUT_S * 1000),
        "TargetLatencyMs": int(TARGET_S * 1000),
        "TargetGapMs": 300,
        "Priority": 1,
        "Service": service,
        "MaxAttempts": MAX_ATTEMPTS,
    } | changes
