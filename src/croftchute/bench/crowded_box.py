"""Most new connections at one box: what it serves of what it reads, by rate and processor.

Real boxes on loopback before stand-ins of the store and the workers. The crowded box may be slowed
in two ways: its process is stopped for a part of each 40 ms, as a box with a share of a core is,
or each request costs it some milliseconds more of the processor, which does not depend on the
machine that this runs on.
"""

from __future__ import annotations

import argparse
import asyncio
import contextlib
import json
import os
import signal
import statistics
import sys
import tempfile
from collections.abc import AsyncIterator
from dataclasses import asdict, dataclass, replace
from pathlib import Path
from typing import Any

from croftchute.bench.crowd_callers import CrowdLoad, CrowdTarget, CrowdTry
from croftchute.soak.boxes import Alteration, SoakBox, lay_out, own_network
from croftchute.soak.world import HALLS, VIRTUAL_HOST, SoakWorld
from croftchute.standins.platform_caller import is_ready

PERIOD_S = 0.04
"""Seconds in which the crowded box runs once and is stopped once."""

CONTACT_S = 3.0
"""Seconds of crowding after which first tries are judged."""

READY_LIMIT_S = 30.0
LEARN_S = 3.0
TARGET_SHARE = 0.75


@dataclass(frozen=True, kw_only=True, slots=True)
class CrowdSpec:
    """One run; ``cpu_share`` is that of the crowded box, ``extra_ms`` its cost of each request.

    Streams are of ``events`` events, one each ``event_gap_s`` seconds.
    """

    boxes: int = 3
    per_s: float = 100.0
    crowd_share: float = 0.9
    before_s: float = 3.0
    crowd_s: float = 9.0
    cpu_share: float = 1.0
    extra_ms: float = 0.0
    plain_share: float = 0.0
    kept_share: float = 0.0
    body_bytes: int = 5000
    deadline_s: float = 6.0
    plain_deadline_s: float = 6.0
    clients: int = 0
    events: int = 3
    event_gap_s: float = 0.03
    decodes: int = 9
    prefills: int = 2
    caller_processes: int = 2
    seed: int = 1


@dataclass(frozen=True, kw_only=True, slots=True)
class CrowdResult:
    """What a run showed; shares are of first tries that the box has read.

    ``closed`` are connections to the crowded box that were closed unread, ``closed_served`` those
    of them whose retry was served; ``out_share`` is the part of the time for which the balancer
    had the box out, ``peak_mb`` the most memory that its process held.
    """

    read: int
    served_share: float
    before_share: float
    others_share: float
    closed: int
    closed_served: int
    median_s: float
    out_share: float
    peak_mb: float = 0.0

    @property
    def keeps_target(self) -> bool:
        """Whether first tries are served three quarters as often as just before."""
        return self.served_share >= TARGET_SHARE * self.before_share


async def run_crowd(spec: CrowdSpec, folder: Path) -> CrowdResult:
    """Play one crowd; settings and logs of the boxes are left in ``folder``."""
    async with _fleet(spec, folder) as boxes:
        squeezing = asyncio.create_task(_squeeze(boxes[0], spec.cpu_share))
        try:
            parts = await asyncio.gather(
                *(_run_callers(spec, boxes, number) for number in range(spec.caller_processes))
            )
        finally:
            squeezing.cancel()
            boxes[0].send_signal(signal.SIGCONT)
        peak_mb = _peak_mb(boxes[0])
    tries = [CrowdTry(**one) for part in parts for one in part["tries"]]
    polls = sum(part["polls"] for part in parts)
    out_polls = sum(part["out_polls"][0] for part in parts)
    found = judge(tries, spec, out_share=out_polls / max(1, polls))
    return replace(found, peak_mb=peak_mb)


def _peak_mb(box: SoakBox) -> float:
    """Return the most memory in MB that a box's process has held; 0 if it has ended."""
    if box.process is None or box.process.returncode is not None:
        return 0.0
    lines = Path(f"/proc/{box.process.pid}/status").read_text().splitlines()
    return next((int(line.split()[1]) / 1024 for line in lines if line.startswith("VmHWM")), 0.0)


def judge(tries: list[CrowdTry], spec: CrowdSpec, *, out_share: float) -> CrowdResult:
    """Return what the tries of a run show from ``CONTACT_S`` of crowding on."""
    begin = spec.before_s + CONTACT_S
    before = [one for one in tries if one.at < spec.before_s and one.was_read]
    late = [one for one in tries if one.at >= begin]
    crowded = [one for one in late if one.box == 0]
    read = [one for one in crowded if one.was_read]
    others = [one for one in late if one.box != 0 and one.was_read]
    closed = [one for one in crowded if not one.was_read]
    served = [one.took_s for one in read if one.served]
    return CrowdResult(
        read=len(read),
        served_share=_share([one.served for one in read]),
        before_share=_share([one.served for one in before]),
        others_share=_share([one.served for one in others]),
        closed=len(closed),
        closed_served=sum(one.retry_served for one in closed),
        median_s=statistics.median(served) if served else 0.0,
        out_share=out_share,
    )


def _share(outcomes: list[bool]) -> float:
    return sum(outcomes) / len(outcomes) if outcomes else 0.0


@contextlib.asynccontextmanager
async def _fleet(spec: CrowdSpec, folder: Path) -> AsyncIterator[list[SoakBox]]:
    """Boxes that know one another, the crowded one first, before the store and the workers."""
    world = SoakWorld()
    await world.start(desks=3, engines=spec.decodes + spec.prefills)
    for listed in world.workers_by_id.values():
        listed.worker.events, listed.worker.gap_s = spec.events, spec.event_gap_s
        listed.worker.work_s = 0.0 if listed.worker.stage == "decode" else 0.02
    addresses = lay_out(own_network(os.getpid()), spec.boxes)
    seeds = tuple(f"{address.host}:{address.control}" for address in addresses[:3])
    boxes = [
        SoakBox(
            name=f"box-{number}",
            hall=HALLS[0],
            address=address,
            folder=folder,
            store_port=world.store.ingress.port,
            seeds=seeds,
            alteration=Alteration(request_ms=spec.extra_ms if number == 0 else 0.0),
        )
        for number, address in enumerate(addresses)
    ]
    for box in boxes:
        box.write_settings()
    running = [asyncio.create_task(box.keep_running(lambda _: None)) for box in boxes]
    try:
        await _wait_ready(boxes)
        await asyncio.sleep(LEARN_S)
        yield boxes
    finally:
        for box in boxes:
            box.is_wanted = False
            box.end(signal.SIGKILL)
        await asyncio.gather(*running)


async def _wait_ready(boxes: list[SoakBox]) -> None:
    async with asyncio.timeout(READY_LIMIT_S):
        for box in boxes:
            while not await is_ready(box.address.host, box.address.health, 1.0):
                await asyncio.sleep(0.1)


async def _squeeze(box: SoakBox, share: float) -> None:
    """Leave a box a share of its processor; never returns."""
    if share >= 1.0:
        return
    while True:
        box.send_signal(signal.SIGSTOP)
        await asyncio.sleep(PERIOD_S * (1.0 - share))
        box.send_signal(signal.SIGCONT)
        await asyncio.sleep(PERIOD_S * share)


async def _run_callers(spec: CrowdSpec, boxes: list[SoakBox], number: int) -> dict[str, Any]:
    """Run one process of callers; return what it wrote."""
    targets = tuple(
        CrowdTarget(host=a.host, callers=a.callers, health=a.health)
        for a in (box.address for box in boxes)
    )
    load = CrowdLoad(
        targets=targets,
        virtual_host=VIRTUAL_HOST,
        per_s=spec.per_s / spec.caller_processes,
        before_s=spec.before_s,
        crowd_s=spec.crowd_s,
        crowd_share=spec.crowd_share,
        plain_share=spec.plain_share,
        kept_share=spec.kept_share,
        body_bytes=spec.body_bytes,
        deadline_s=spec.deadline_s,
        plain_deadline_s=spec.plain_deadline_s,
        clients=spec.clients,
        seed=spec.seed + number,
    )
    process = await asyncio.create_subprocess_exec(
        sys.executable,
        "-m",
        "croftchute.bench.crowd_callers",
        stdin=asyncio.subprocess.PIPE,
        stdout=asyncio.subprocess.PIPE,
    )
    written, _ = await process.communicate(json.dumps(asdict(load)).encode())
    found: dict[str, Any] = json.loads(written)
    return found


ROWS = (
    *(CrowdSpec(per_s=rate) for rate in (100.0, 160.0, 220.0, 260.0)),
    *(CrowdSpec(per_s=rate, cpu_share=0.5) for rate in (60.0, 100.0, 160.0)),
    CrowdSpec(per_s=320.0, plain_share=1.0),
    CrowdSpec(per_s=160.0, plain_share=0.63, kept_share=0.5),
    CrowdSpec(per_s=160.0, plain_share=0.63, body_bytes=60_000),
    CrowdSpec(per_s=160.0, boxes=8, plain_share=0.63, cpu_share=0.5),
    *(
        CrowdSpec(
            per_s=rate,
            cpu_share=cpu_share,
            plain_share=0.63,
            kept_share=0.83,
            clients=200,
            events=71,
            event_gap_s=0.01,
            deadline_s=14.0,
            plain_deadline_s=1.6,
        )
        for cpu_share, rates in (
            (0.516, (45.0, 90.0, 170.0, 260.0)),
            (0.125, (45.0, 90.0, 170.0)),
        )
        for rate in rates
    ),
    CrowdSpec(per_s=260.0, boxes=1, crowd_share=1.0),
)
"""The runs of ``make bench``: a core and half of one, streams, plain calls, a box that is alone.
Those of clients that keep connections have long streams, from a hall's rate to a busy region's. An
eighth of a core shows a box far past its rate before the stand-ins' one process is busy."""


def main() -> None:
    """Play the runs of the bench, or one that the command line names, and print a table."""
    parser = argparse.ArgumentParser(description=__doc__)
    for name, value in asdict(CrowdSpec()).items():
        parser.add_argument(f"--{name}", type=type(value))
    given = {name: value for name, value in vars(parser.parse_args()).items() if value is not None}
    print(
        "| boxes | a second | share of a core | extra ms | plain | kept | clients | events | body"
        " | read | served of read | before | others | closed unread, served elsewhere | median s"
        " | out | peak MB |\n"
        "|---|---|---|---|---|---|---|---|---|---|---|---|---|---|---|---|---|"
    )
    for spec in (CrowdSpec(**given),) if given else ROWS:
        with tempfile.TemporaryDirectory() as folder:
            found = asyncio.run(run_crowd(spec, Path(folder)))
        print(
            f"| {spec.boxes} | {spec.per_s:g} | {spec.cpu_share:g} | {spec.extra_ms:g}"
            f" | {spec.plain_share:g} | {spec.kept_share:g} | {spec.clients} | {spec.events}"
            f" | {spec.body_bytes} | {found.read}"
            f" | {found.served_share:.2f} | {found.before_share:.2f} | {found.others_share:.2f}"
            f" | {found.closed}, {found.closed_served} | {found.median_s:.2f}"
            f" | {found.out_share:.2f} | {found.peak_mb:.0f} |",
            flush=True,
        )


if __name__ == "__main__":
    main()
