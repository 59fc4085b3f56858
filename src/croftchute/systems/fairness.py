"""Weighted fair shares among callers, with O(1) state for each active caller.

State of idle callers is dropped.
"""

from __future__ import annotations

from math import exp

USE_HALF_LIFE_S = 10.0
DECAY_PER_S = 0.6931471805599453 / USE_HALF_LIFE_S
MIN_KEPT_USE = 1.0
MAX_METERED_CALLERS = 4096


class CallerUsageMeter:
    """Exponentially decayed use by caller, in tokens; a shard's owner keeps one per shard."""

    def __init__(self) -> None:
        self._use_by_caller: dict[str, tuple[float, float]] = {}
        self._total_use = 0.0
        self._total_use_at = 0.0
        self._total_weight = 0.0

    def __len__(self) -> int:
        return len(self._use_by_caller)

    def charge(self, caller: str, tokens: float, *, weight: float, now: float) -> None:
        """Add ``tokens`` to a caller's use."""
        if caller not in self._use_by_caller:
            if len(self._use_by_caller) >= MAX_METERED_CALLERS:
                self.sweep(now)
            self._total_weight += weight
        self._use_by_caller[caller] = (self.use(caller, now) + tokens / weight, now)
        self._total_use = (
            self._total_use * exp(-DECAY_PER_S * max(0.0, now - self._total_use_at)) + tokens
        )
        self._total_use_at = now

    def use(self, caller: str, now: float) -> float:
        """Return a caller's decayed use, divided by its weight."""
        entry = self._use_by_caller.get(caller)
        if entry is None:
            return 0.0
        amount, at = entry
        return amount * exp(-DECAY_PER_S * max(0.0, now - at))

    def excess(self, caller: str, now: float) -> float:
        """Return a caller's use divided by its fair share; 1 means exactly its share."""
        if self._total_use <= 0.0 or self._total_weight <= 0.0:
            return 0.0
        total = self._total_use * exp(-DECAY_PER_S * max(0.0, now - self._total_use_at))
        fair = total / self._total_weight
        return self.use(caller, now) / fair if fair > 0 else 0.0

    def sweep(self, now: float) -> None:
        """Drop the callers whose use has decayed below ``MIN_KEPT_USE``."""
        kept = {
            caller: entry
            for caller, entry in self._use_by_caller.items()
            if self.use(caller, now) >= MIN_KEPT_USE
        }
        dropped = len(self._use_by_caller) - len(kept)
        if self._use_by_caller:
            self._total_weight *= len(kept) / len(self._use_by_caller)
        self._use_by_caller = kept if dropped else self._use_by_caller
