"""Limits of organisations, kept by the pools that all boxes share."""

from __future__ import annotations

from collections.abc import Mapping

from croftchute.forwarding.boxes.limits import GRANTED, Allowance
from croftchute.forwarding.boxes.shared_rates import RateGroup, SharedRates
from croftchute.forwarding.state import ForwardingState
from croftchute.systems.usage_bucket import LimitTerms
from croftchute.tables.allowances import UsageWant
from croftchute.tables.organisations import Organisation


class OrganisationSource:
    """The limits that the configuration in force sets."""

    asks_ahead = True

    def __init__(self, *, state: ForwardingState, terms: LimitTerms) -> None:
        self.state = state
        self.terms = terms

    def is_in_use(self) -> bool:
        """Whether some organisation has a limit."""
        return self.state.has_limits()

    def known(self) -> Mapping[str, Organisation]:
        """All organisations by name."""
        table = self.state.table
        if table is None or table.organisations is None:
            return {}
        return table.organisations.by_name

    def note_wanted(self, want: UsageWant) -> None:
        """Only the configuration counts."""


class PooledLimits:
    """Asks the pool of an organisation before each request, unless something is left here."""

    def __init__(self, *, rates: SharedRates, group: RateGroup) -> None:
        self.state = rates.state
        self.rates = rates
        self.group = group

    async def admit(
        self, organisation: Organisation, units: float, *, patience_s: float
    ) -> Allowance:
        """Take units for a request, or say when to come back."""
        limit = organisation.limit
        if limit is None:
            return GRANTED
        want = UsageWant(
            name=organisation.name, units=units, rate_per_s=limit.rate_per_s, burst=limit.burst
        )
        return await self.rates.take(self.group, want, patience_s=patience_s)

    def give_back(self, organisation: str, units: float) -> None:
        """The units go back to the pool with the next asking."""
        self.rates.give_back(self.group, organisation, units)
