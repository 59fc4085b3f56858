"""Slopes measured on this machine: bytes, CPU and memory for each unit of state or work."""

from __future__ import annotations

import statistics
import time
import tracemalloc
from collections.abc import Callable
from dataclasses import replace

from croftchute.bench.scenarios import HALL_AT_TARGET, MODEL, HallShape, Scenario
from croftchute.commands import SendPeer
from croftchute.peers.codec import TAG_BYTES, Codec, Envelope
from croftchute.peers.messages import Body, Granted, Heartbeat, Mirror, Released, Reserve
from croftchute.systems.box import BoxSystems
from croftchute.systems.cancels import CancelTracker
from croftchute.systems.fairness import CallerUsageMeter
from croftchute.systems.owner import ShardOwner
from croftchute.systems.prefix_index import CacheEvent, PrefixIndex
from croftchute.systems.sharding import build_topology
from croftchute.tables.boxes import Box, BoxState
from croftchute.tables.dedupe import Phase, Record
from croftchute.tables.requests import OpenRequest, Request, RequestState
from croftchute.tables.upstreams import ShardDigest

UDP_HEADERS = 28
MICROSECONDS = 1e6
REPEATS = 5
NAME = "0190" + "0" * 28

Build = Callable[[int], object]


def microseconds(work: Callable[[], object], count: int) -> float:
    """Median CPU microseconds of one call."""
    samples = []
    for _ in range(REPEATS):
        started = time.thread_time()
        for _ in range(count):
            work()
        samples.append((time.thread_time() - started) / count * MICROSECONDS)
    return statistics.median(samples)


def bytes_each(build: Build, few: int = 500, many: int = 2500) -> float:
    """Memory of one more item: the slope between two sizes."""
    sizes = []
    for count in (few, many):
        tracemalloc.start()
        kept = build(count)
        sizes.append(tracemalloc.get_traced_memory()[0])
        tracemalloc.stop()
        del kept
    return (sizes[1] - sizes[0]) / (many - few)


def reserve_body(name: str = NAME, shard: str = "pool/0") -> Reserve:
    """A typical ask."""
    return Reserve(
        request_id=name,
        attempt=1,
        shard=shard,
        model=MODEL,
        caller="caller-12345",
        priority=5,
        prompt_tokens=1330,
        max_tokens=2000,
        resume_from=0,
        waited_s=0.0,
        time_left_s=60.0,
        prefix=tuple(range(2**31, 2**31 + 8)),
    )


def message_bodies() -> dict[str, Body]:
    """Typical messages by name."""
    digest = ShardDigest(
        shard="pool/17", at=1e9, prefill_wait_s=0.1, free_kv_tokens=50000, free_slots=90
    )
    return {
        "reserve": reserve_body(),
        "granted": Granted(
            request_id=NAME,
            attempt=1,
            shard="pool/17",
            prefill_hash=2**31,
            decode_hash=2**30,
            expected_output=360.0,
        ),
        "released": Released(
            request_id=NAME, attempt=1, shard="pool/17", output_tokens=360, confirmed=True
        ),
        "heartbeat": Heartbeat(
            incarnation=2**50,
            revision=12345,
            map_version=99,
            leaving=False,
            digests=(digest,),
        ),
        "mirror": Mirror(key=NAME, token=NAME, epoch=12, phase=Phase.GRANTED),
    }


def message_slopes() -> dict[str, dict[str, float]]:
    """Bytes on the wire and microseconds to write and read, by message."""
    codec = Codec(keys=["key-key-key-key-key"])
    slopes = {}
    for name, body in message_bodies().items():
        envelope = Envelope(sender="hall-1-17", stamp=2**60, bodies=(body,))
        datagram = codec.encode(envelope)
        slopes[name] = {
            "bytes": len(datagram) + UDP_HEADERS,
            "write_us": microseconds(lambda e=envelope: codec.encode(e), 300),  # type: ignore[misc]
            "read_us": microseconds(lambda d=datagram: codec.decode(d), 300),  # type: ignore[misc]
        }
    assert all(entry["bytes"] > TAG_BYTES for entry in slopes.values())
    return slopes


def shaped(prefill: int, decode: int, boxes: int = 72) -> Scenario:
    """The target hall with other numbers of engines."""
    hall = HallShape(name="hall-1", boxes=boxes, prefill=prefill, decode=decode)
    return replace(HALL_AT_TARGET, halls=(hall,))


def decision_us(engines: int, *, shard_engines: int, count: int = 300) -> float:
    """CPU of one grant and its release at an owner, among so many engines in the hall."""
    prefill = max(1, engines // 4)
    document = shaped(prefill, engines - prefill).document(shard_engines=shard_engines)
    topology = build_topology(document, revision=1, hall="hall-1")
    owner = ShardOwner(box="o", cancels=CancelTracker(), topology=topology)
    shard = topology.shards_by_id["pool/0"]
    owner.set_shards(topology, [shard], 0.0)
    clock = [0.0]

    def once() -> None:
        clock[0] += 0.2
        owner.reserve("e", reserve_body(), clock[0])
        body = Released(request_id=NAME, attempt=1, shard="pool/0", output_tokens=0, confirmed=True)
        owner.release("e", body, clock[0])

    return microseconds(once, count)


def entry_us(engines: int, count: int = 300) -> float:
    """CPU of an arrival at an entry box: choosing a shard and asking for a place."""
    prefill = max(1, engines // 4)
    document = shaped(prefill, engines - prefill).document(shard_engines=8)
    own = _box("b0", BoxState.LIVE)
    systems = BoxSystems(own=own, heartbeat_s=1.0, suspect_after_s=3.0, poll_s=1.0, seed=1)
    systems.apply_config(document, 1, 0.0)
    systems.owners_by_shard = dict.fromkeys(systems.owners_by_shard, "elsewhere")

    def once() -> None:
        systems.request_received(_request(NAME), 1.0)
        systems.caller_left(NAME, 1.0)

    return microseconds(once, count)


def heartbeat_us(peers: int) -> dict[str, float]:
    """CPU of hearing one heartbeat, and of one tick that sends them to all peers."""
    document = HALL_AT_TARGET.document(shard_engines=8)
    systems = BoxSystems(
        own=_box("b0", BoxState.LIVE), heartbeat_s=1e-9, suspect_after_s=1e9, poll_s=1e9, seed=1
    )
    systems.apply_config(document, 1, 0.0)
    body = message_bodies()["heartbeat"]
    assert isinstance(body, Heartbeat)
    body = replace(body, revision=1, map_version=0, hall="hall-1", address="10.0.0.1")
    for n in range(peers):
        systems.receive(f"b{n + 1}", body, 1.0)
    clock = [2.0]

    def tick() -> None:
        clock[0] += 1.0
        systems.tick(clock[0])

    hear = microseconds(lambda: systems.receive("b1", body, 1.5), 300)
    systems.owner.set_shards(systems.topology, [], 1.0)
    return {"hear_us": hear, "tick_us": microseconds(tick, 20)}


def idle_tick_us() -> float:
    """CPU of a tick in which nothing is due, with 400 open requests."""
    document = HALL_AT_TARGET.document(shard_engines=8)
    systems = BoxSystems(
        own=_box("b0", BoxState.LIVE), heartbeat_s=1e9, suspect_after_s=1e9, poll_s=1e9, seed=1
    )
    systems.apply_config(document, 1, 0.0)
    for n in range(400):
        commands = systems.request_received(_request(f"{n:032d}"), 0.0)
        assert commands is not None
    for command in list(systems.tick(0.01)):
        assert not isinstance(command, SendPeer) or command.body is not None
    return microseconds(lambda: systems.tick(0.02), 100)


def memory_slopes() -> dict[str, float]:
    """Bytes of memory for each row of state."""
    return {
        "reservation": bytes_each(_reservations, 100, 500),
        "open_request": bytes_each(_open_requests),
        "peer": bytes_each(
            lambda n: {f"box-{i}": _box(f"box-{i}", BoxState.LIVE) for i in range(n)}
        ),
        "caller": bytes_each(_meter),
        "prefix_block": bytes_each(_index),
        "dedupe_record": bytes_each(_records),
        "engine": bytes_each(_topology, 100, 460),
    }


def _box(name: str, state: BoxState) -> Box:
    return Box(
        id=name,
        hall="hall-1",
        address=f"10.0.0.{name}",
        peer_port=7000,
        admin_port=7001,
        incarnation=1,
        state=state,
    )


def _request(name: str) -> Request:
    return Request(
        id=name,
        caller="caller-12345",
        model=MODEL,
        prompt_tokens=1330,
        max_tokens=2000,
        priority=5,
        arrived_at=1.0,
        deadline_at=61.0,
        prefix=tuple(range(8)),
    )


def _reservations(count: int) -> object:
    document = HALL_AT_TARGET.document(shard_engines=100_000)
    topology = build_topology(document, revision=1, hall="hall-1")
    owner = ShardOwner(box="o", cancels=CancelTracker(), topology=topology)
    owner.set_shards(topology, topology.shards_by_id.values(), 0.0)
    for n in range(count):
        owner.reserve("e", reserve_body(f"{n:032d}"), n * 1.0)
    assert len(owner.ledger.reservations_by_key) == count
    return owner


def _open_requests(count: int) -> object:
    return {
        f"{n:032d}": OpenRequest(
            request=_request(f"{n:032d}"),
            state=RequestState.RUNNING,
            attempt=1,
            candidates=("pool/1", "pool/2"),
        )
        for n in range(count)
    }


def _meter(count: int) -> object:
    meter = CallerUsageMeter()
    for n in range(count):
        meter.charge(f"caller-{n}", 500.0, weight=1.0, now=0.0)
    return meter


def _index(count: int) -> object:
    index = PrefixIndex()
    index.apply(CacheEvent(seq=1, stored=tuple(range(2**60, 2**60 + count))))
    return index


def _records(count: int) -> object:
    return {
        f"{n:032d}": Record(
            key=f"{n:032d}", token=f"{n:032x}", phase=Phase.DELIVERED, at=float(n), status=200
        )
        for n in range(count)
    }


def _topology(count: int) -> object:
    document = shaped(count // 4, count - count // 4).document(shard_engines=8)
    return document, build_topology(document, revision=1, hall="hall-1")
