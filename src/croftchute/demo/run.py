"""``croftchute demo``: load, a killed engine, a drained engine, and a check of the promises."""

from __future__ import annotations

import contextlib
import json
import statistics
import sys
import threading
import uuid
from dataclasses import asdict, dataclass
from pathlib import Path

from loguru import logger

from croftchute.config.edits import mark_leaving
from croftchute.demo.fleet import MODEL, Fleet
from croftchute.demo.load import LoadResult, LoadSpec, confirm, run_load
from croftchute.errors import Code, CroftchuteError
from croftchute.ids import new_request_id
from croftchute.timeline.events import Kind
from croftchute.timeline.merge import as_text, merge, select
from croftchute.timeline.ring import StampedEvent

REQUESTS = 160
CONFIRMATIONS = 12
KILLED = "north-decode-1"
DRAINED = "south-decode-2"
OUTPUT = Path("build/demo.json")


@dataclass(frozen=True, kw_only=True)
class Promise:
    """One promise that was checked."""

    name: str
    checked: int
    broken: int


@dataclass(frozen=True, kw_only=True)
class Summary:
    """What the demonstration measured."""

    requests: int
    answered: int
    refused: int
    cancelled: int
    goodput: float
    ttft_p50_s: float
    ttft_p95_s: float
    per_token_p50_s: float
    per_token_p95_s: float
    prefilled_tokens: int
    wasted_prefill: float
    promises: tuple[Promise, ...]


def run_demo(*, seed: int, as_json: bool) -> None:
    """Run the demonstration; raises :class:`CroftchuteError` if a promise was broken."""
    logger.remove()
    logger.add(sys.stderr, level="WARNING")
    fleet = Fleet()
    try:
        summary, story = _run(fleet, seed)
    finally:
        fleet.stop()
    record = asdict(summary)
    OUTPUT.parent.mkdir(exist_ok=True)
    OUTPUT.write_text(json.dumps(record, indent=2) + "\n", encoding="utf-8")
    print(json.dumps(record, indent=2) if as_json else _table(summary))
    if not as_json:
        print("\none request that was moved to another engine, over all processes:")
        print(story)
    broken = [promise.name for promise in summary.promises if promise.broken]
    if broken:
        raise CroftchuteError(Code.PROMISE_BROKEN, f"broken: {', '.join(broken)}")


def _run(fleet: Fleet, seed: int) -> tuple[Summary, str]:
    accepted = fleet.submit(fleet.document())
    fleet.wait_in_force(accepted.revision)
    ports = fleet.http_ports()
    first = LoadSpec(seed=seed, model=MODEL, requests=REQUESTS)
    killer = threading.Timer(0.5, fleet.engines_by_id[KILLED].kill)
    killer.start()
    result = run_load(first, ports)
    killer.join()
    drained = fleet.submit(mark_leaving(fleet.document(), DRAINED))
    fleet.wait_in_force(drained.revision)
    engine = fleet.engines_by_id[DRAINED].engine
    started_before = len(engine.started_keys)
    second = LoadSpec(seed=seed + 1, model=MODEL, requests=REQUESTS // 4)
    result.outcomes += run_load(second, ports).outcomes
    started_after = len(engine.started_keys) - started_before
    repeats = _confirm_all(fleet, ports)
    with contextlib.suppress(CroftchuteError):
        fleet.wait_until(lambda: not _held(fleet), "engine memory free", 5.0)
    events = merge(event for box in fleet.boxes_by_id.values() for event in box.ring.events())
    promises = _promises(fleet, result, started_after, repeats, drained.revision, events)
    return _summary(fleet, result, promises), _story(events)


def _confirm_all(fleet: Fleet, ports: list[int]) -> int:
    """Send each confirmation through two boxes; how many subjects ran more than once."""
    keys = [str(uuid.UUID(new_request_id())) for _ in range(CONFIRMATIONS)]
    for n, key in enumerate(keys):
        for turn in range(2):
            confirm(ports[(n + turn) % len(ports)], f"slot {n}", key=key)
    runs: dict[str, int] = {}
    for service in fleet.services_by_hall.values():
        for subject, count in service.runs_by_subject.items():
            runs[subject] = runs.get(subject, 0) + count
    missing = CONFIRMATIONS - len(runs)
    return missing + sum(count > 1 for count in runs.values())


def _held(fleet: Fleet) -> int:
    """Attempts that hold engine memory, and reservations that are open."""
    engines = [s.engine for s in fleet.engines_by_id.values() if not s.engine.dead.is_set()]
    ledgers = [box.systems.owner.ledger for box in fleet.boxes_by_id.values()]
    held = sum(len(engine.held_keys) for engine in engines)
    return held + sum(len(ledger.reservations_by_key) for ledger in ledgers)


def _promises(
    fleet: Fleet,
    result: LoadResult,
    started_after: int,
    repeats: int,
    revision: int,
    events: list[StampedEvent],
) -> tuple[Promise, ...]:
    started = {
        key.rpartition("-")[0]
        for s in fleet.engines_by_id.values()
        for key in s.engine.started_keys
    }
    refused = [o for o in result.outcomes if o.status not in (0, 200)]
    false_refusals = [o for o in refused if o.ran == "not_run" and o.request_id in started]
    ends: dict[str, int] = {}
    for stamped in events:
        if stamped.event.kind is Kind.REQUEST_ANSWERED:
            ends[stamped.event.request_id] = ends.get(stamped.event.request_id, 0) + 1
    late = [box for box in fleet.boxes_by_id.values() if box.topology.revision != revision]
    cancelled = [o for o in result.outcomes if o.cancelled]
    return (
        Promise(
            name="memory freed for callers who left", checked=len(cancelled), broken=_held(fleet)
        ),
        Promise(name="answered once", checked=len(ends), broken=sum(n > 1 for n in ends.values())),
        Promise(name="whole own answer", checked=len(result.outcomes), broken=len(result.wrong)),
        Promise(name="not run is true", checked=len(refused), broken=len(false_refusals)),
        Promise(name="at most once", checked=CONFIRMATIONS, broken=repeats),
        Promise(name="no new work on leaving engine", checked=1, broken=started_after),
        Promise(name="configuration in force", checked=len(fleet.boxes_by_id), broken=len(late)),
    )


def _summary(fleet: Fleet, result: LoadResult, promises: tuple[Promise, ...]) -> Summary:
    targets = fleet.document().targets
    answered = result.answered
    streams = [o for o in answered if o.ttft_s > 0]
    good = [
        o for o in streams if o.ttft_s <= targets.ttft_s and o.per_token_s <= targets.per_token_s
    ]
    ttft = sorted(o.ttft_s for o in streams)
    per_token = sorted(o.per_token_s for o in streams)
    engines = [server.engine for server in fleet.engines_by_id.values()]
    prefilled = sum(engine.prefilled_tokens for engine in engines)
    wasted = sum(engine.wasted_tokens for engine in engines)
    return Summary(
        requests=len(result.outcomes),
        answered=len(answered),
        refused=sum(o.status not in (0, 200) for o in result.outcomes),
        cancelled=sum(o.cancelled for o in result.outcomes),
        goodput=len(good) / max(1, len(streams)),
        ttft_p50_s=statistics.median(ttft),
        ttft_p95_s=ttft[int(len(ttft) * 0.95)],
        per_token_p50_s=statistics.median(per_token),
        per_token_p95_s=per_token[int(len(per_token) * 0.95)],
        prefilled_tokens=prefilled,
        wasted_prefill=wasted / max(1, prefilled),
        promises=promises,
    )


def _story(events: list[StampedEvent]) -> str:
    """The time line of a request that needed a second attempt, or of the last one."""
    moved = [e for e in events if e.event.kind is Kind.ATTEMPT_STARTED and e.event.attempt > 1]
    started = [e for e in events if e.event.kind is Kind.ATTEMPT_STARTED]
    chosen = (moved or started)[-1].event.request_id
    return as_text(select(events, request_id=chosen))


def _table(summary: Summary) -> str:
    rows = [
        ("requests", str(summary.requests)),
        ("answered", str(summary.answered)),
        ("refused", str(summary.refused)),
        ("callers who left", str(summary.cancelled)),
        ("goodput of streams", f"{summary.goodput:.1%}"),
        ("TTFT p50 / p95", f"{summary.ttft_p50_s:.3f} s / {summary.ttft_p95_s:.3f} s"),
        (
            "per token p50 / p95",
            f"{summary.per_token_p50_s * 1e3:.1f} ms / {summary.per_token_p95_s * 1e3:.1f} ms",
        ),
        ("wasted prefill", f"{summary.wasted_prefill:.1%} of {summary.prefilled_tokens} tokens"),
    ]
    rows += [
        (f"promise: {p.name}", f"{p.checked} checked, {p.broken} broken") for p in summary.promises
    ]
    return "\n".join(f"{name:<44} {value}" for name, value in rows)
