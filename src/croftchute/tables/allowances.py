"""Rows about allowances: what boxes ask for, are given and give back under limits of all boxes.

A limit is an organisation's or a worker's, ``name`` says whose. Units are what it counts: requests,
calls of the worker, or tokens.
"""

from __future__ import annotations

from dataclasses import dataclass

from croftchute.tables.organisations import LimitUnit, UsageLimit


@dataclass(frozen=True, kw_only=True, slots=True)
class UsageWant:
    """Units that one request needs, and what more its box would use soon.

    The limit goes along for a pool that does not know it yet; ``known_for_s`` is how long ago a
    worker named it. ``kept_back`` are the units that are left for requests that are more urgent.
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
        """The limit as the asking box knows it."""
        return UsageLimit(rate_per_s=self.rate_per_s, burst=self.burst, unit=LimitUnit.TOKENS)


@dataclass(frozen=True, kw_only=True, slots=True)
class UsageGrant:
    """What was given; where it is 0, ``wait_s`` tells when there will be enough."""

    name: str
    units: float
    wait_s: float = 0.0


@dataclass(frozen=True, kw_only=True, slots=True)
class UsageReturn:
    """Units given back: what they were for did not run."""

    name: str
    units: float
