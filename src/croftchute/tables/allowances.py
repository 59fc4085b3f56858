"""Messages about shared limits: units that boxes request, are granted and return.

``name`` is the organisation or the worker that the limit belongs to. Units are what the limit
counts: requests, calls of the worker, or tokens.
"""

from __future__ import annotations

from dataclasses import dataclass

from croftchute.tables.organisations import LimitUnit, UsageLimit


@dataclass(frozen=True, kw_only=True, slots=True)
class UsageWant:
    """The units that one request needs, and the extra units that its box expects to use soon.

    The limit is included for a pool that doesn't know it yet; ``known_for_s`` is how long ago a
    worker reported it. ``kept_back`` are units that must remain for more urgent requests.
    """

    name: str
    units: float
    extra: float = 0.0
    rate_per_s: float = 0.0
    burst: float = 0.0
    known_for_s: float = 0.0
    kept_back: float = 0.0

    @property
    def limit(self) -> UsageLimit:
        """The limit as the requesting box knows it."""
        return UsageLimit(rate_per_s=self.rate_per_s, burst=self.burst, unit=LimitUnit.TOKENS)


@dataclass(frozen=True, kw_only=True, slots=True)
class UsageGrant:
    """The granted units; if 0, ``wait_s`` is the seconds until enough should have accrued."""

    name: str
    units: float
    wait_s: float = 0.0


@dataclass(frozen=True, kw_only=True, slots=True)
class UsageReturn:
    """Granted units that are returned because the request did not run."""

    name: str
    units: float
