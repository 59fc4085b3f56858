"""Plays a scenario once: bounded in time, ended in any case, with its record written."""

from __future__ import annotations

import asyncio
import os
import shutil
import signal
import tempfile
from collections.abc import Awaitable, Callable
from pathlib import Path

from deployment import Deployment

LIMIT_S = 110.0
IS_TROUBLED = os.environ.get("TROUBLE", "1") != "0"
LOGS_VARIABLE = "REVIEW_LOGS"


async def play(
    scenario: Callable[[Deployment], Awaitable[int]], *, record: Path, work_s: float
) -> int:
    """Return the exit status of a scenario, which gets a deployment that has not begun."""
    folder = Path(tempfile.mkdtemp(prefix="croftchute-review-"))
    deployment = Deployment(folder=folder, work_s=work_s)
    status = 2
    playing = asyncio.ensure_future(scenario(deployment))
    asyncio.get_running_loop().add_signal_handler(signal.SIGTERM, playing.cancel)
    try:
        async with asyncio.timeout(LIMIT_S):
            status = await playing
    except TimeoutError:
        deployment.note("could not run: out of time")
    except asyncio.CancelledError:
        deployment.note("could not run: told to end")
    finally:
        await deployment.end()
        lines = [*deployment.record, f"trouble {IS_TROUBLED} exit {status}"]
        record.write_text("\n".join(lines) + "\n")
        if kept := os.environ.get(LOGS_VARIABLE):
            shutil.copytree(folder, kept, dirs_exist_ok=True)
        shutil.rmtree(folder, ignore_errors=True)
    print("\n".join(lines[-6:]))
    return status
