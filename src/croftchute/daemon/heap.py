"""Has the C library return freed memory to the machine.

A block that the C library maps by itself is returned when it is freed. By default it maps only
larger and larger ones, the more such blocks were freed, and keeps all else for later use.
"""

from __future__ import annotations

import ctypes
from collections.abc import Callable
from dataclasses import dataclass

from croftchute.systems.memory_account import MemoryAccount

M_MMAP_THRESHOLD = -3
"""The parameter of ``mallopt``, from the GNU C library's manual."""

MAPPED_FROM_BYTES = 32_768
"""Smallest block that is mapped by itself; setting it at all keeps it from growing."""

FILLED_SHARE = 0.25
"""Share of the account's bound from which on its fall is worth returning memory."""

FALLEN_SHARE = 0.5
"""Share of the highest total at which it has fallen."""


def _function(name: str) -> Callable[..., int] | None:
    """A function of the C library; None if this one does not have it."""
    return getattr(ctypes.CDLL(None), name, None)


def map_large_blocks() -> bool:
    """Have large blocks mapped for good; return whether the C library can."""
    mallopt = _function("mallopt")
    return mallopt is not None and bool(mallopt(M_MMAP_THRESHOLD, MAPPED_FROM_BYTES))


def trim_heap() -> bool:
    """Return unused memory to the machine; return whether there was any."""
    malloc_trim = _function("malloc_trim")
    return malloc_trim is not None and bool(malloc_trim(0))


@dataclass(kw_only=True)
class HeapTrimmer:
    """Trims the heap each time that what is held for clients has fallen."""

    trims: int = 0
    _highest: int = 0

    def note(self, peak: int, account: MemoryAccount) -> None:
        """Take in the most bytes held since the last call, and trim if much fewer are held now."""
        self._highest = max(self._highest, peak)
        is_filled = self._highest >= FILLED_SHARE * account.bound
        if not is_filled or account.total > FALLEN_SHARE * self._highest:
            return
        self._highest = account.total
        self.trims += 1
        trim_heap()
