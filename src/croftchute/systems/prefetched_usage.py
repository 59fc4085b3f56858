"""Units that a box has obtained for an organisation in advance; they expire after a second."""

from __future__ import annotations

import math
from collections import deque
from dataclasses import dataclass, field

LOT_TTL_S = 1.0
"""Seconds for which prefetched units may be used. Units used much later than granted could exceed
the limit in the later window."""

PREFETCH_S = 0.25
"""Seconds of an organisation's present use that a box prefetches, so that it asks less often."""

MIN_PREFETCH_RATE_PER_S = 4.0
"""Requests per second at this box from which units are prefetched; below it, most would expire
unused."""

USE_TAU_S = 1.0
"""Time constant of the moving average of use, in seconds."""

IDLE_S = 5.0
"""Seconds without a request after which an organisation's entry may be deleted."""


@dataclass(frozen=True, kw_only=True, slots=True)
class UnitLot:
    """Units that were granted together."""

    units: float
    expires_at: float


@dataclass(kw_only=True, slots=True)
class PrefetchedUsage:
    """Prefetched units, and the recent use in units and requests per second."""

    lots: deque[UnitLot] = field(default_factory=deque)
    units_per_s: float = 0.0
    requests_per_s: float = 0.0
    used_at: float = -math.inf

    def note_use(self, units: float, now: float) -> None:
        """Add a request to the moving averages."""
        kept = math.exp(-max(0.0, now - self.used_at) / USE_TAU_S)
        self.units_per_s = self.units_per_s * kept + units / USE_TAU_S
        self.requests_per_s = self.requests_per_s * kept + 1.0 / USE_TAU_S
        self.used_at = now

    def units_to_prefetch(self, units: float, now: float) -> float:
        """Return how much to ask for beyond a request's own units."""
        if self.requests_per_s < MIN_PREFETCH_RATE_PER_S:
            return 0.0
        return max(0.0, self.units_per_s * PREFETCH_S - units)

    def put(self, units: float, now: float) -> None:
        """Store prefetched units."""
        if units > 0.0:
            self.lots.append(UnitLot(units=units, expires_at=now + LOT_TTL_S))

    def take(self, units: float, now: float) -> tuple[UnitLot, ...]:
        """Take up to ``units`` unexpired units, the oldest first.

        >>> prefetched = PrefetchedUsage()
        >>> prefetched.put(5.0, now=0.0)
        >>> [lot.units for lot in prefetched.take(3.0, now=0.5)]
        [3.0]
        >>> [lot.units for lot in prefetched.take(3.0, now=0.5)], prefetched.take(1.0, now=0.5)
        ([2.0], ())
        """
        taken = []
        while units > 0.0 and self.lots:
            lot = self.lots.popleft()
            if lot.expires_at <= now:
                continue
            used = min(lot.units, units)
            taken.append(UnitLot(units=used, expires_at=lot.expires_at))
            if lot.units > used:
                remainder = UnitLot(units=lot.units - used, expires_at=lot.expires_at)
                self.lots.appendleft(remainder)
            units -= used
        return tuple(taken)

    def restore(self, lots: tuple[UnitLot, ...]) -> None:
        """Put back units that were taken and not used; their expiry stays."""
        self.lots.extendleft(reversed(lots))

    def is_idle(self, now: float) -> bool:
        """Return whether the organisation has sent no request for ``IDLE_S`` seconds."""
        return now - self.used_at > IDLE_S
