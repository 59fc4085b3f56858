"""Signals to the boxes of a soak, each with a note of what it disturbs."""

from __future__ import annotations

import asyncio
import signal

from croftchute.soak.boxes import SoakBox
from croftchute.soak.disturbances import Disturbances

KILL_AFTER_S = 8.5
START_S = 1.5


class BoxSignals:
    """Ends, stops and pauses boxes."""

    def __init__(self, *, disturbances: Disturbances) -> None:
        self.disturbances = disturbances

    def end(self, box: SoakBox, number: signal.Signals) -> None:
        """End the present process without a word."""
        now = asyncio.get_running_loop().time()
        self.disturbances.note(box.name, now, now + START_S)
        box.end(number)

    async def stop(self, box: SoakBox) -> None:
        """Tell the present process to stop, and end it if it has not done so in its time."""
        process = box.process
        now = asyncio.get_running_loop().time()
        end = now + KILL_AFTER_S + START_S
        self.disturbances.note(box.name, now, end, is_planned=True)
        box.end(signal.SIGTERM)
        await asyncio.sleep(KILL_AFTER_S)
        if process is not None and box.process is process and process.returncode is None:
            box.end(signal.SIGKILL)

    async def pause(self, box: SoakBox, for_s: float) -> None:
        """Let the present process stand still for some time."""
        now = asyncio.get_running_loop().time()
        self.disturbances.note(box.name, now, now + for_s + START_S)
        box.send_signal(signal.SIGSTOP)
        await asyncio.sleep(for_s)
        box.send_signal(signal.SIGCONT)
