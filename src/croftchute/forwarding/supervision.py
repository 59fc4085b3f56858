"""Keeps a process's tasks going: one that fails is logged and begun anew."""

from __future__ import annotations

import asyncio
from collections.abc import Callable, Coroutine
from dataclasses import dataclass

from croftchute.forwarding.decision_log import Decision, DecisionLog

MIN_PAUSE_S = 0.2
"""Seconds before a task that failed is begun anew at first: what it follows is seconds old at most
by then."""

MAX_PAUSE_S = 10.0
"""Seconds before that at most: a task that fails at once again costs little."""

SOUND_AFTER_S = 30.0
"""Seconds that a task must go on for before its next failure counts as a first one."""

MAX_DETAIL = 300
"""Most characters of an error in its line."""


@dataclass(frozen=True, kw_only=True, slots=True)
class Task:
    """Work that goes on for as long as the process, and its name in logs."""

    name: str
    work: Callable[[], Coroutine[None, None, None]]


async def keep_going(task: Task, *, log: DecisionLog, clock: Callable[[], float]) -> None:
    """Do a task's work, again and again if it fails or ends; never returns."""
    pause_s = MIN_PAUSE_S
    while True:
        began_at = clock()
        detail = "ended"
        try:
            await task.work()
        except Exception as error:
            detail = repr(error)[:MAX_DETAIL]
        if clock() - began_at > SOUND_AFTER_S:
            pause_s = MIN_PAUSE_S
        log.decide(
            Decision.TASK_FAILED,
            outcome="begun anew",
            task=task.name,
            detail=detail,
            after_s=round(clock() - began_at, 3),
            pause_s=pause_s,
        )
        await asyncio.sleep(pause_s)
        pause_s = min(MAX_PAUSE_S, 2.0 * pause_s)
