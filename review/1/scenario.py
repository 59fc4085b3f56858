"""Handles lapse while decode workers send surplus answers late.

Three boxes, two prefill and two decode workers, one route of streams that may run once
(`MaxAttempts` 1, not resumable). The prefill workers' handles lapse at once, so a decode worker
answers 503 with `X-Croftchute-Not-Executed`, and the box sends the same request to it once more.
A share of those answers is followed by a surplus copy, late, in the slot of the next answer.
Clients repeat a request once, under a new id, if they were promised that it did not run.
"""

from __future__ import annotations

import asyncio
import os
import random
import sys
import time
from collections import Counter
from pathlib import Path
from typing import Any

HERE = Path(__file__).resolve().parent
sys.path[:0] = [str(HERE.parent / "common"), str(HERE.parents[1] / "src"), str(HERE)]

from callers import Try  # noqa: E402
from deployment import Deployment, config  # noqa: E402
from engines import Engine  # noqa: E402
from play import IS_TROUBLED, play  # noqa: E402

ZONES = ("plateau", "parcelles", "rufisque")
STAGES = ("prefill", "prefill", "decode", "decode")
SERVICE = "booking-llm"
GARBLED_SHARE = 0.06
"""Twice the share of answers that `garble` spoils in the site file (0.03)."""

SEND_S = 25.0
PAUSE_S = 0.1
DEADLINE_S = 14.0
LAST_RETRY_AFTER_S = 0.33 * DEADLINE_S
EVENTS = 12
GAP_S = 0.01
PREFILL_S = 0.09
PROMISES = (408, 421, 429, 503)
"""Statuses that promise that a request did not run and never will."""

ENGINE = {
    "Slots": 128,
    "KvCapacity": 66897,
    "KvTokenBytes": 18432,
    "LinkMbps": 350000.0,
    "HandleTtlS": 0.5,
    "SwitchS": 6.0,
    "HoldMs": 2000.0,
    "Models": [{"Name": "m"}],
}


def engine_config(version: int) -> dict[str, Any]:
    """The operator's configuration: one route of streams that may run once."""
    document = config(version)
    document["Routes"][0] |= {
        "Name": "slot-confirm",
        "Kind": "streaming",
        "TimeoutMs": 14000,
        "TargetLatencyMs": 900,
        "TargetGapMs": 300,
        "Priority": 1,
        "Service": SERVICE,
        "MaxAttempts": 1,
        "SessionAffinity": True,
        "Resumable": False,
    }
    document["Services"] = [{"Name": SERVICE, "MaxConnections": 620, "Engine": ENGINE}]
    return document


def prompt_headers(number: int) -> tuple[str, ...]:
    """The headers of a request: 200 shared tokens and 5,000 of its own."""
    return (
        "X-Croftchute-Model: m",
        "X-Croftchute-Token-Usage: 5200,71",
        f"X-Croftchute-Prompt-Prefix: 5c1e07a2:200,{number:08x}:5000",
    )


async def confirm_slot(deployment: Deployment, number: int) -> list[Try]:
    """One client's request: a try, and another one if the first was promised not to have run."""
    tries: list[Try] = []
    for _ in range(2):
        machine = random.choice(deployment.machines)
        extra = prompt_headers(number)
        tries.append(await deployment.call_once(machine, deadline_s=DEADLINE_S, extra=extra))
        if tries[-1].status not in PROMISES:
            break
        wanted_s = float(tries[-1].headers.get("retry-after", "0"))
        await asyncio.sleep(min(wanted_s, LAST_RETRY_AFTER_S))
    return tries


async def scenario(deployment: Deployment) -> int:
    """Return 1 if a request that was promised not to run has run, 0 if none has."""
    engines = [
        Engine(id=f"i-{os.getpid():x}{n}", stage=stage, events=EVENTS, gap_s=GAP_S)
        for n, stage in enumerate(STAGES)
    ]
    deployment.workers += engines
    await deployment.store.start()
    deployment.store.put("op/config", engine_config(11))
    for engine, zone in zip(engines, (*ZONES, ZONES[0]), strict=True):
        engine.work_s = PREFILL_S
        await engine.start()
        deployment.store.put(f"servers/{engine.id}", engine.entry(SERVICE, zone))
    await deployment.start_machines(ZONES)
    if not await deployment.wait_until(lambda: True, within_s=60.0):
        deployment.note("could not run: the machines are not ready")
        return 2
    await asyncio.sleep(4.0)
    if IS_TROUBLED:
        for engine in engines:
            engine.lapsed = True
            engine.garbled_share = GARBLED_SHARE
        deployment.note("from now on handles lapse, and surplus answers come")

    ends_at = time.monotonic() + SEND_S
    asking: list[asyncio.Task[list[Try]]] = []
    while time.monotonic() < ends_at:
        asking.append(asyncio.create_task(confirm_slot(deployment, len(asking))))
        await asyncio.sleep(PAUSE_S)
    requests = await asyncio.gather(*asking)
    await asyncio.sleep(1.0)
    return judge(deployment, engines, requests)


def judge(deployment: Deployment, engines: list[Engine], requests: list[list[Try]]) -> int:
    """Write what was seen, and return 1 if the rule was broken."""
    deployment.record_tries()
    lines = sorted(line for engine in engines for line in engine.log)
    deployment.record += [f"{at - deployment.began_at:8.3f} {text}" for at, text in lines]
    first_token_at = {name: at for engine in engines for name, at in engine.first_token_at.items()}
    broken = [
        each
        for each in deployment.tries
        if each.status in PROMISES and each.request_id in first_token_at
    ]
    for each in broken:
        after_s = first_token_at[each.request_id] - each.ended_at
        deployment.record.append(
            f"promised with {each.status} not to run, and ran {after_s:+.3f} s after that:"
            f" {each.request_id} from {each.machine}"
        )
    runs = Counter(name for engine in engines for name in engine.ran)

    twice = [tries for tries in requests if sum(runs[each.request_id] for each in tries) > 1]
    statuses = Counter(each.status for each in deployment.tries)
    deployment.note(f"tries by status: {dict(statuses)}")
    deployment.note(f"ids that ran more than once: {sum(count > 1 for count in runs.values())}")
    deployment.note(f"clients whose request ran twice, by their repeat: {len(twice)}")
    deployment.note(f"promised not to run, and ran: {len(broken)}")
    if not statuses[200]:
        return 2
    return 1 if broken else 0


if __name__ == "__main__":
    sys.exit(asyncio.run(play(scenario, record=HERE / "record.txt", work_s=0.0)))
