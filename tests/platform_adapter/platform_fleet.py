"""A small fleet for tests: the stand-in store and workers, and boxes with the adapter."""

from __future__ import annotations

import asyncio
import contextlib
from dataclasses import dataclass, field

from croftchute_platform.headers import PlatformCallers, PlatformWorkers
from croftchute_platform.store import PlatformStore, PlatformVocabulary

from croftchute.daemon.router_process import RouterProcess
from croftchute.daemon.router_state import make_state
from croftchute.router_settings import Conditions, RouterSettings
from croftchute.standins.metadata_store import MetadataStore
from croftchute.standins.platform_worker import PlatformWorker
from croftchute.systems.intake_queue import IntakeLimits

SHARED_LOOP = IntakeLimits(max_turn_s=1.0, burst_wait_s=10.0, crowded_after_s=10.0)
"""Limits of boxes that share one event loop with each other, the workers and the callers: how long
its turns take says nothing of a box. Boxes with a process of their own keep the usual limits."""

HOST = "shop.example"
ENGINE = {
    "Slots": 128,
    "KvCapacity": 66897,
    "KvTokenBytes": 18432,
    "HandleTtlS": 0.5,
    "HoldMs": 2000.0,
    "Models": [{"Name": "m"}],
}


def route(name, prefix, kind, service, **changes):
    return {
        "Name": name,
        "Hostname": HOST,
        "PathPrefix": prefix,
        "Kind": kind,
        "TimeoutMs": 8000,
        "TargetLatencyMs": 900,
        "Priority": 1,
        "Service": service,
        "MaxAttempts": 2,
    } | changes


def organisation(name, *keys, **changes):
    return {"Name": name, "ApiKeys": list(keys), "Unit": "token_stream"} | changes


def bearer(key):
    return f"Authorization: Bearer {key}"


def config(version=7, *, routes=None, limits=None, organisations=()):
    """The configuration of the tests: every kind of route, an engine service, a plain one."""
    return {
        "Version": version,
        "Routes": routes
        or [
            route("safe", "/safe/", "idempotent", "desk"),
            route("once", "/once/", "non_idempotent", "desk", MaxAttempts=1),
            route("resume", "/resume/", "streaming", "llm", Resumable=True, TargetGapMs=300),
            route("stream", "/stream/", "streaming", "llm", MaxAttempts=1, TargetGapMs=300),
        ],
        "Services": [
            {"Name": "llm", "MaxConnections": 600, "Engine": ENGINE},
            {"Name": "desk", "MaxConnections": 100},
        ],
        "Limits": limits
        or {
            "MaxHeaderBytes": 4096,
            "MaxBodyBytes": 65536,
            "HeaderTimeoutMs": 3000,
            "IdleTimeoutMs": 15000,
        },
    } | ({"Tenants": list(organisations)} if organisations else {})


@dataclass
class Answer:
    status: int
    headers: dict
    body: bytes
    is_whole: bool

    @property
    def events(self):
        return [part for part in self.body.split(b"\n\n") if part]


@dataclass
class Fleet:
    store: MetadataStore
    boxes: list = field(default_factory=list)
    workers_by_id: dict = field(default_factory=dict)

    async def add_worker(self, name, *, service="desk", zone="a", state="ready", **options):
        worker = PlatformWorker(id=name, **options)
        await worker.start()
        self.workers_by_id[name] = worker
        self.store.put(f"servers/{name}", worker.entry(service, zone, state))
        return worker

    async def add_box(self, name="box-1", *, zone="a", store_port=None, seeds=(), memory_mb=0.0):
        port = store_port or self.store.ingress.port
        settings = RouterSettings(
            box=name,
            hall=zone,
            callers="127.0.0.1:0",
            health="127.0.0.1:0",
            control="127.0.0.1:0",
            notice_port=0,
            store=f"127.0.0.1:{port}",
            seeds=tuple(seeds),
            peer_keys=("k" * 16,),
            order_gap_s=0.1,
            boxes=1,
            first_start=True,
            memory_mb=memory_mb,
            conditions=Conditions(pressure=memory_mb > 0.0),
        )
        state = make_state(settings, callers=PlatformCallers(), workers=PlatformWorkers())
        store = PlatformStore(
            host="127.0.0.1",
            port=port,
            clock=state.clock,
            observe=state.note_transfer,
            note_odd_era=state.note_odd_era,
        )
        box = RouterProcess(
            settings=settings,
            settings_path=None,
            state=state,
            store=store,
            vocabulary=PlatformVocabulary(),
        )
        box.ingress.intake.queue.limits = SHARED_LOOP
        await box.start()
        self.boxes.append(box)
        return box

    async def ready(self, box, workers=None):
        """Wait until a box knows the configuration and as many workers as there are."""
        wanted = len(self.workers_by_id) if workers is None else workers
        await until(
            lambda: box.is_ready and len(box.state.workers.tracked_by_id) >= wanted,
        )

    async def close(self):
        for box in self.boxes:
            for task in box._tasks:
                task.cancel()
            box.ingress.stop_accepting()
            for connection in list(box.ingress.connections):
                connection.abort()
            box.state.pool.close()
        for worker in self.workers_by_id.values():
            worker.stop()


async def until(condition):
    """Wait for something that will come; the whole test's time-out ends a wait in vain."""
    while not condition():
        await asyncio.sleep(0.005)


@contextlib.asynccontextmanager
async def fleet(**options):
    store = MetadataStore()
    await store.start()
    store.put("op/config", options.get("config") or config())
    made = Fleet(store=store)
    try:
        yield made
    finally:
        await made.close()


def run(test):
    """Run an async test body; it is ended after a minute if something never comes."""

    async def limited():
        async with asyncio.timeout(60):
            await test()

    asyncio.run(limited())


def request_bytes(
    path,
    request_id="r1",
    *,
    method="POST",
    body=b"hello",
    extra=(),
    deadline=5000,
    tokens="10,20",
):
    lines = [
        f"{method} {path} HTTP/1.1",
        f"Host: {HOST}",
        f"X-Croftchute-Request-Id: {request_id}",
        f"X-Croftchute-Deadline-Ms: {deadline}",
        "X-Croftchute-Model: m",
        f"X-Croftchute-Token-Usage: {tokens}",
        *extra,
    ]
    if body:
        lines.append(f"Content-Length: {len(body)}")
    return "\r\n".join([*lines, "", ""]).encode() + body


async def ask(box, path, request_id="r1", *, source="127.0.0.1", **options):
    """One request on a connection of its own, from an address of the loopback range."""
    reader, writer = await asyncio.open_connection(
        "127.0.0.1", box.ingress.port, local_addr=(source, 0)
    )
    try:
        writer.write(request_bytes(path, request_id, **options))
        return await read_answer(reader)
    finally:
        writer.close()


async def read_answer(reader):
    head = await reader.readuntil(b"\r\n\r\n")
    first, *rest = head.decode("latin-1").rstrip().split("\r\n")
    headers = {}
    for line in rest:
        name, _, value = line.partition(":")
        headers[name.lower()] = value.strip()
    status = int(first.split()[1])
    if headers.get("transfer-encoding") == "chunked":
        body, is_whole = await read_chunks(reader)
    else:
        body = await reader.readexactly(int(headers.get("content-length", "0")))
        is_whole = True
    return Answer(status, headers, body, is_whole)


async def read_chunks(reader):
    parts = []
    try:
        while True:
            size = int(await reader.readuntil(b"\r\n"), 16)
            data = await reader.readexactly(size + 2)
            if size == 0:
                return b"".join(parts), True
            parts.append(data[:-2])
    except (asyncio.IncompleteReadError, ConnectionError):
        return b"".join(parts), False
