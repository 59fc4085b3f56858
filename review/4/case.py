"""A box that joins while another one is cut from the store uses a worker that has left."""

from __future__ import annotations

import asyncio
import os
import sys
from pathlib import Path

HERE = Path(__file__).resolve().parent
sys.path.insert(0, str(HERE.parent / "standins-2"))

from fleet import BOUNDS, Fleet, Record, play, until_ready  # noqa: E402
from httpserver import call  # noqa: E402
from link import Link  # noqa: E402
from store import Store  # noqa: E402
from worker import Arrival, PlainWorker, configuration, route  # noqa: E402

TROUBLE = os.environ.get("TROUBLE", "1") != "0"
HALLS = ["parcelles", "rufisque", "plateau", "plateau"]
"""The zones of the boxes; the last one is added during the trouble."""
ZONES = ["parcelles", "rufisque", "plateau", "rufisque"]
"""The zones of the workers; the third one leaves during the trouble."""
CUT_S = 7.4
"""How long one box is cut from the store: `core_cut` of the standard days."""
HUSH_S = 1.0
"""How long watches hear nothing before the history is dropped: `platform_compact`."""
SERVES_ON_S = 16.0
"""How long the worker serves on once its entry is gone: "at times many seconds"."""
INTERVAL_S = 0.04
DEADLINE_MS = 1500


async def run(record: Record) -> int:
    """Play the case; return the exit status."""
    store = Store()
    store_port = await store.start()
    links = [Link("127.0.0.1", store_port) for _ in HALLS]
    for link in links:
        await link.start()
    arrivals: list[Arrival] = []
    workers = [
        PlainWorker(
            service="desk-app",
            zone=ZONES[number],
            store=store,
            clock=lambda: record.now,
            on_arrival=arrivals.append,
        )
        for number in range(4)
    ]
    for worker in workers:
        await worker.start()
    leaves_first, leaves = workers[3], workers[2]
    routes = [route("slot-status", "/status/", "desk-app", "idempotent")]
    store.put("op/config", configuration(1, routes, ["desk-app"]))
    fleet = Fleet(HALLS, [link.port for link in links])
    cut_off, added = fleet.boxes[2], fleet.boxes[3]
    sent: dict[str, tuple[float, str]] = {}
    answers: dict[str, tuple[float, int]] = {}
    tasks: set[asyncio.Task] = set()

    async def ask(box, number: int) -> None:
        request_id = f"{box.name}-{number:05d}"
        sent[request_id] = (record.now, box.name)
        headers = {
            "Host": "desk.example",
            "X-Croftchute-Request-Id": request_id,
            "X-Croftchute-Deadline-Ms": str(DEADLINE_MS),
        }
        target = f"/status/{request_id}"
        status, _, _ = await call(
            box.host, box.callers, "GET", target, headers, timeout_s=DEADLINE_MS / 1000.0
        )
        answers[request_id] = (record.now, status)

    asked = fleet.boxes[:2]

    async def traffic() -> None:
        number = 0
        while True:
            number += 1
            task = asyncio.create_task(ask(asked[number % len(asked)], number))
            tasks.add(task)
            task.add_done_callback(tasks.discard)
            await asyncio.sleep(INTERVAL_S)

    sending = None
    try:
        await fleet.start(3)
        record.note(f"boxes ready: {[box.name for box in fleet.boxes[:3]]}")
        await asyncio.sleep(BOUNDS["ContactMs"] / 1000.0 + 1.0)
        sending = asyncio.create_task(traffic())
        leaves_first.write_entry("draining")
        record.note(f"planned: {leaves_first.id} drains")
        await asyncio.sleep(BOUNDS["DrainMs"] / 1000.0 + 0.5)
        leaves_first.remove_entry()
        await leaves_first.server.stop()
        record.note(f"planned: {leaves_first.id} has left, revision {store.revision}")
        await asyncio.sleep(1.5)
        if TROUBLE:
            links[2].cut()
            record.note(f"core_cut: {cut_off.name} is partitioned from the store")
        cut_at = record.now
        await asyncio.sleep(0.5)
        if TROUBLE:
            store.hush_watches()
            record.note("platform_compact: watches hear nothing for a second")
        await asyncio.sleep(HUSH_S / 2)
        leaves.remove_entry()
        gone_at = record.now
        record.note(f"planned: the entry of {leaves.id} goes, revision {store.revision}")
        await asyncio.sleep(HUSH_S / 2)
        if TROUBLE:
            store.forget_history()
            record.note("the history is dropped, and the watches are cut")
        await asyncio.sleep(1.5)
        added.start(first=False)
        added_at = record.now
        record.note(f"planned (add_nodes): {added.name} joins")
        await until_ready(added)
        record.note("it is ready")
        asked.append(added)
        await asyncio.sleep(max(0.0, cut_at + CUT_S - record.now))
        links[2].heal()
        calm_at = record.now
        record.note("the cut is over")
        await asyncio.sleep(max(0.0, gone_at + SERVES_ON_S - record.now))
        sending.cancel()
        await asyncio.gather(*tasks, return_exceptions=True)
        await leaves.server.stop()
        record.note(f"planned: {leaves.id} has ended")
    finally:
        if sending is not None:
            sending.cancel()
        fleet.end()
        for worker in workers:
            await worker.server.stop()

    for arrival in arrivals:
        record.note(
            f"arrival at {arrival.at:.3f} worker {arrival.worker} request {arrival.request_id}"
            f" ran {arrival.ran}"
        )
    for request_id, (at, status) in sorted(answers.items(), key=lambda pair: pair[1]):
        record.note(f"answer at {at:.3f} request {request_id} status {status}")
    contact_s = BOUNDS["ContactMs"] / 1000.0
    drain_s = BOUNDS["DrainMs"] / 1000.0
    in_touch_at = max(calm_at, added_at) + contact_s
    late = [
        arrival
        for arrival in arrivals
        if arrival.worker == leaves.id
        and arrival.ran
        and arrival.at > gone_at + drain_s
        and sent[arrival.request_id][0] > in_touch_at
    ]
    served = sum(status == 200 for _, status in answers.values())
    record.note(f"{len(answers)} requests answered or ended, {served} with 200")
    record.note(f"{leaves.id} was gone from the list at {gone_at:.3f}")
    record.note(f"all machines were in touch from {in_touch_at:.3f} on")
    record.note(f"{len(late)} requests of machines in touch reached it over {drain_s} s later")
    if late:
        record.note(f"first at {late[0].at:.3f}, last at {late[-1].at:.3f}")
    if served < len(answers) / 2:
        record.note("too few requests were served: the case could not run")
        return 2
    return 1 if late else 0


if __name__ == "__main__":
    sys.exit(play(run, HERE))
