"""The data path measured for real: CPU for each forwarded token, threads and memory by streams.

Engines and callers run in processes of their own, so that this process's CPU time is the box's.
Per-token cost is a slope between short and long answers, which leaves the cost of a request out.
"""

from __future__ import annotations

import multiprocessing
import os
import statistics
import threading
import time
from dataclasses import dataclass
from multiprocessing.connection import Connection
from pathlib import Path
from typing import Any

import urllib3
from loguru import logger

from croftchute.config.documents import (
    Document,
    EngineSpec,
    HallSpec,
    ModelSpec,
    PoolSpec,
    Role,
    TargetSpec,
    VersionSpec,
)
from croftchute.config.submit import submit
from croftchute.daemon.box_process import BoxProcess
from croftchute.demo.load import ask
from croftchute.settings import PeerKeys, Settings
from croftchute.standins.engine import EngineShape
from croftchute.standins.engine_http import EngineServer
from croftchute.standins.platform import PlatformServer
from croftchute.storage.etcd import EtcdStore

MODEL = "m"
HALL = "h"
ENGINES = 6
SHAPE = EngineShape(
    prefill_tokens_per_s=1e6, step_s=0.02, slots=256, kv_tokens=10**7, link_bytes_per_s=1e12
)
SHORT, LONG = 10, 160
IDLE_S = 3.0
MICROSECONDS = 1e6
MEGABYTE = 1e6


@dataclass(frozen=True, kw_only=True)
class StreamCost:
    """What a number of concurrent streams costs a box."""

    streams: int
    cpu_us_per_token: float
    cpu_us_per_request: float
    threads: int
    rss_mb: float
    wrong: int


@dataclass(frozen=True, kw_only=True)
class Ports:
    """Where the stand-ins of another process listen."""

    platform: str
    engines: tuple[str, ...]


def measure(streams: list[int]) -> dict[str, Any]:
    """All figures of the data path."""
    context = multiprocessing.get_context("spawn")
    pipes = []
    for n in range(ENGINES):
        ours, theirs = context.Pipe()
        context.Process(target=_serve_standins, args=(theirs, n), daemon=True).start()
        pipes.append(ours)
    answers = [pipe.recv() for pipe in pipes]
    ports = Ports(platform=answers[0][1], engines=tuple(answer[0] for answer in answers))
    box = _start_box(ports)
    try:
        base = _rss_mb()
        with context.Pool(1) as pool:
            idle = _idle_share()
            costs = [_stream_cost(pool, box, count, idle) for count in streams]
            added = pool.apply(_added_ttft_s, (box.http.port, ports))
        return {
            "streams": [vars(cost) for cost in costs],
            "rss_idle_mb": base,
            "idle_core_share": idle,
            "added_ttft_ms": added * 1e3,
            "poll_us": _poll_us(box, ports),
        }
    finally:
        box.stop()
        for pipe in pipes:
            pipe.send(None)


def _serve_standins(pipe: Connection, number: int) -> None:
    """One engine that prefills and decodes, so that engines need not share a process."""
    logger.remove()
    engine = EngineServer(id=f"e{number}", shape=SHAPE, threads=300)
    platform = PlatformServer()
    pipe.send((engine.url, platform.url))
    pipe.recv()
    os._exit(0)


def _start_box(ports: Ports) -> BoxProcess:
    settings = Settings(
        box="b",
        hall=HALL,
        address="127.0.0.1",
        http_port=0,
        admin_port=0,
        peer_port=0,
        store_urls=[ports.platform],
        peer_keys=PeerKeys(keys=["forward-forward-forward"]),
        poll_s=1.0,
    )
    box = BoxProcess(settings=settings)
    box.start()
    accepted = submit(EtcdStore(urls=[ports.platform]), _document(ports), change_id="c")
    while box.topology.revision < accepted.revision:
        time.sleep(0.02)
    time.sleep(0.3)
    return box


def _document(ports: Ports) -> Document:
    sizes: dict[str, Any] = {
        "hall": HALL,
        "prefill_tokens_per_s": SHAPE.prefill_tokens_per_s,
        "kv_tokens": SHAPE.kv_tokens,
        "slots": SHAPE.slots,
        "link_bytes_per_s": SHAPE.link_bytes_per_s,
        "step_s": SHAPE.step_s,
    }
    engines = [
        EngineSpec(id=f"e{n}", url=url, role=Role.BOTH, **sizes)
        for n, url in enumerate(ports.engines)
    ]
    # A pool for each engine: stand-ins of different processes cannot fetch each other's caches.
    names = [f"{MODEL}{n}" for n in range(ENGINES)]
    versions = [VersionSpec(id="v")]
    return Document(
        halls=[HallSpec(id=HALL, region="r")],
        models=[ModelSpec(id=name, versions=versions, active_version="v") for name in names],
        pools=[
            PoolSpec(id=f"pool-{name}", models=[name], engines=[engine])
            for name, engine in zip(names, engines, strict=True)
        ],
        targets=TargetSpec(ttft_s=30.0, per_token_s=1.0),
    )


def _idle_share() -> float:
    """CPU of the box while it serves nobody, as a share of one core."""
    before = time.process_time()
    time.sleep(IDLE_S)
    return (time.process_time() - before) / IDLE_S


def _stream_cost(pool: Any, box: BoxProcess, streams: int, idle: float) -> StreamCost:
    peak = _Peak()
    used = {}
    wrong = 0
    for length in (SHORT, LONG):
        started, before = time.monotonic(), time.process_time()
        wrong += pool.apply(_open_streams, (box.http.port, streams, length))
        elapsed = time.monotonic() - started
        used[length] = time.process_time() - before - idle * elapsed
    peak.stop()
    per_token = (used[LONG] - used[SHORT]) / (streams * (LONG - SHORT))
    per_request = used[SHORT] / streams - SHORT * per_token
    return StreamCost(
        streams=streams,
        cpu_us_per_token=per_token * MICROSECONDS,
        cpu_us_per_request=per_request * MICROSECONDS,
        threads=peak.threads,
        rss_mb=peak.rss_mb,
        wrong=wrong,
    )


class _Peak:
    """The most threads and memory seen while it runs."""

    def __init__(self) -> None:
        self.threads = 0
        self.rss_mb = 0.0
        self._stopped = threading.Event()
        self._thread = threading.Thread(target=self._watch, daemon=True)
        self._thread.start()

    def stop(self) -> None:
        self._stopped.set()
        self._thread.join()

    def _watch(self) -> None:
        while not self._stopped.wait(0.5):
            self.threads = max(self.threads, threading.active_count())
            self.rss_mb = max(self.rss_mb, _rss_mb())


def _open_streams(port: int, streams: int, length: int) -> int:
    """Runs in the callers' process: all streams at once; how many were wrong or refused."""
    failed: list[str] = []

    def one(n: int) -> None:
        body = {
            "model": f"{MODEL}{n % ENGINES}",
            "prompt": f"stream {n}",
            "max_tokens": length,
            "ignore_eos": True,
            "stream": True,
        }
        outcome = ask(port, body, caller="c")
        if outcome.wrong or outcome.tokens != length:
            failed.append(outcome.wrong or outcome.detail)

    threads = [threading.Thread(target=one, args=(n,)) for n in range(streams)]
    for thread in threads:
        thread.start()
    for thread in threads:
        thread.join()
    return len(failed)


def _added_ttft_s(port: int, ports: Ports) -> float:
    """Runs in the callers' process: median time to first token through the box less without."""
    pool = urllib3.PoolManager(retries=False, timeout=10)
    body = {
        "model": f"{MODEL}0",
        "prompt": "x",
        "max_tokens": 1,
        "ignore_eos": True,
        "stream": True,
    }

    def direct(n: int) -> None:
        headers = {"X-Attempt": f"direct-{n}", "X-Request-Id": f"direct-{n}"}
        asked = body | {"kv_transfer_params": {"do_remote_decode": True}}
        reply = pool.request(
            "POST", ports.engines[0] + "/v1/completions", json=asked, headers=headers
        )
        asked = body | {"kv_transfer_params": reply.json()["kv_transfer_params"]}
        pool.request("POST", ports.engines[0] + "/v1/completions", json=asked, headers=headers)

    def routed(_: int) -> None:
        url = f"http://127.0.0.1:{port}/v1/completions"
        pool.request("POST", url, json=body, headers={"X-Caller": "c"}).read()

    medians = []
    for call in (direct, routed):
        samples = []
        for n in range(120):
            started = time.perf_counter()
            call(n)
            samples.append(time.perf_counter() - started)
        medians.append(statistics.median(samples))
    return medians[1] - medians[0]


def _poll_us(box: BoxProcess, ports: Ports) -> float:
    """CPU of one load report, fetched and read."""
    count = 200
    before = time.thread_time()
    for _ in range(count):
        box.engine.report(ports.engines[0], after_seq=0, now=0.0)
    return (time.thread_time() - before) / count * MICROSECONDS


def _rss_mb() -> float:
    pages = int(Path("/proc/self/statm").read_text(encoding="ascii").split()[1])
    return pages * os.sysconf("SC_PAGE_SIZE") / MEGABYTE
