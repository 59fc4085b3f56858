"""Waiting for something for a limited time."""

from __future__ import annotations

import asyncio
from collections.abc import Awaitable
from typing import TypeVar

from croftchute.forwarding.http.failures import AnswerLateError

T = TypeVar("T")


TICK_S = 0.01
"""Seconds of waiting after which it is looked at how late the event loop is."""

MAX_BUSY_S = 2.0
"""Longest time in seconds that a busy event loop adds to a wait."""


async def within_idle(work: asyncio.Future[T], timeout_s: float, what: str) -> T:
    """Wait for some time in which this process is not busy; raises :class:`AnswerLateError`.

    A short time-out tells how quick the other side is only while the event loop has time to read
    its answer. What a tick takes longer than planned is therefore not counted, ``MAX_BUSY_S`` at
    most. ``work`` goes on after the time-out.
    """
    loop = asyncio.get_running_loop()
    ends_at = loop.time() + timeout_s + MAX_BUSY_S
    left_s = timeout_s
    while left_s > 0.0 and loop.time() < ends_at:
        tick_s = min(TICK_S, left_s)
        done, _ = await asyncio.wait({work}, timeout=tick_s)
        if done:
            return work.result()
        left_s -= tick_s
    raise AnswerLateError(f"{what} within {timeout_s * 1000:.0f} ms")


async def within(work: Awaitable[T], timeout_s: float, what: str) -> T:
    """Wait for some time; raises :class:`AnswerLateError` after it."""
    try:
        async with asyncio.timeout(max(0.0, timeout_s)):
            return await work
    except TimeoutError:
        raise AnswerLateError(f"{what} within {timeout_s * 1000:.0f} ms") from None
