"""Both boxes of a hall that read the store stand still while a worker leaves.

Ten boxes of one hall, one store, three workers of a plain service. The two boxes that read the
platform's list stand still; the others follow them. Then a worker says `draining`, serves on for
`DrainMs` and a little longer, and ends. The other eight boxes are in touch all the time: nothing is
done to them, each reaches the store, and the store is sound.
"""

from __future__ import annotations

import asyncio
import signal
import sys
import time
from collections import Counter
from pathlib import Path

HERE = Path(__file__).resolve().parent
sys.path[:0] = [str(HERE.parent / "common"), str(HERE.parents[1] / "src")]

from deployment import SERVICE, Deployment  # noqa: E402
from machines import Machine  # noqa: E402
from platform_settings import BOUNDS  # noqa: E402
from play import IS_TROUBLED, play  # noqa: E402

ZONE = "plateau"
MACHINES = 10
READERS = 2
"""Boxes that stand still: 0.2 of all, twice the usual share of `node_freeze`."""

FREEZE_S = 5.0
"""The usual length of `node_freeze`."""

DRAIN_S = BOUNDS["DrainMs"] / 1000.0
SERVES_LONGER_S = 1.5
"""How long the leaving worker serves beyond `DrainMs`: "a little longer"."""

WORK_S = 0.25
PAUSE_S = 0.04
DEADLINE_S = 4.0
READ_LATELY_S = 4.0
SETTLED_S = 10.0


def readers(deployment: Deployment) -> list[Machine]:
    """Return the machines that have watched the list lately."""
    now = time.monotonic()
    return [
        machine
        for machine in deployment.machines
        if now - deployment.watched_at.get(machine.name, 0.0) < READ_LATELY_S
    ]


async def scenario(deployment: Deployment) -> int:
    """Return 1 if a request reached the worker too late, 0 if none did."""
    await deployment.start_platform(zones=[ZONE] * 3)
    await deployment.start_machines([ZONE] * MACHINES)
    settled_at = time.monotonic() + SETTLED_S
    is_settled = await deployment.wait_until(
        lambda: time.monotonic() > settled_at and len(readers(deployment)) <= READERS,
        within_s=60.0,
    )
    if not is_settled:
        deployment.note("could not run: the machines are not ready, or too many read the store")
        return 2
    frozen = readers(deployment)
    calm = [machine for machine in deployment.machines if machine not in frozen]
    deployment.note(f"read the store: {[machine.name for machine in frozen]}")
    calling = deployment.begin_calls(calm, pause_s=PAUSE_S, deadline_s=DEADLINE_S)
    await asyncio.sleep(1.0)

    thaws_at = time.monotonic() + FREEZE_S
    if IS_TROUBLED:
        for machine in frozen:
            machine.send(signal.SIGSTOP)
            deployment.note(f"{machine.name} stands still")
    await asyncio.sleep(0.2)
    leaving = deployment.workers[0]
    deployment.store.put(f"servers/{leaving.id}", leaving.entry(SERVICE, ZONE, "draining"))
    acknowledged_at = time.monotonic()
    deployment.note(f"the store acknowledged {leaving.id} as draining")
    await asyncio.sleep(DRAIN_S + SERVES_LONGER_S)
    leaving.end()
    deployment.store.remove(f"servers/{leaving.id}")
    deployment.note(f"{leaving.id} ended")
    await asyncio.sleep(max(0.0, thaws_at - time.monotonic()))
    for machine in frozen:
        machine.send(signal.SIGCONT)
    deployment.note("all go on")
    await deployment.finish_calls(calling)

    deployment.record_tries()
    machine_by_id = {each.request_id: each.machine for each in deployment.tries}
    arrived = deployment.arrivals(leaving, since=acknowledged_at)
    late = [(after, name) for after, name in arrived if after > DRAIN_S]
    for after, name in late:
        deployment.record.append(
            f"reached {leaving.id} {after:.3f} s after the acknowledgement: {name}"
            f" from {machine_by_id[name]}"
        )
    statuses = Counter(each.status for each in deployment.tries)
    deployment.note(f"requests by status: {dict(statuses)}")
    deployment.note(f"ran and brought the client no success: {len(deployment.lost())}")
    deployment.note(f"reached the leaving worker more than {DRAIN_S} s later: {len(late)}")
    if not statuses[200]:
        return 2
    return 1 if late else 0


if __name__ == "__main__":
    sys.exit(asyncio.run(play(scenario, record=HERE / "record.txt", work_s=WORK_S)))
