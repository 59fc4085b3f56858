"""Waiting for something for a limited time."""

from __future__ import annotations

import asyncio
from collections.abc import Awaitable
from typing import TypeVar

from croftchute.forwarding.http.failures import AnswerLateError

T = TypeVar("T")


async def within(work: Awaitable[T], timeout_s: float, what: str) -> T:
    """Wait for some time; raises :class:`AnswerLateError` after it."""
    try:
        async with asyncio.timeout(max(0.0, timeout_s)):
            return await work
    except TimeoutError:
        raise AnswerLateError(f"{what} within {timeout_s * 1000:.0f} ms") from None
