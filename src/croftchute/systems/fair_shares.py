"""Fair shares of decode memory among organisations while it is short.

Each box counts the tokens of decode memory that the requests of each organisation asked for and
were granted, and reports both to its peers. If less was granted than asked, the granted tokens are
divided by weighted max-min fairness: no organisation gets more than it asked for, and what one
leaves unused goes to the others.
"""

from __future__ import annotations

import heapq
from collections.abc import Iterable, Mapping
from dataclasses import dataclass, field
from itertools import accumulate

from croftchute.tables.peers import OrganisationUseNotice

HALF_LIFE_S = 4.0
"""Half-life of counted use: longer than a stream, shorter than a flood of requests."""

MIN_KEPT_TOKENS = 1.0
"""Tokens of use below which an organisation is dropped, about a minute after its last request."""

MAX_ORGANISATIONS_PER_NOTICE = 16
"""Largest number of organisations in one notice, those that asked for the most. It bounds the size
of a datagram."""

SCARCE_RATIO = 0.9
"""Ratio of granted to asked tokens below which room counts as scarce. It is below 1 because some
requests have asked and will get room in a moment."""

MAX_REPORTED_TOKENS = 1e9
"""Largest use in tokens that a box accepts from a peer: the memory of a thousand engines of a
million tokens each."""

SHARE_TOLERANCE = 0.1
"""Relative excess over its share that an organisation may have: about one request."""


@dataclass(kw_only=True, slots=True)
class _DecayedUse:
    """Decayed sums of one organisation, as of ``updated_at``."""

    asked: float = 0.0
    granted: float = 0.0
    updated_at: float = 0.0

    def decay(self, now: float) -> None:
        remaining = 0.5 ** (max(0.0, now - self.updated_at) / HALF_LIFE_S)
        self.asked *= remaining
        self.granted *= remaining
        self.updated_at = now


@dataclass(kw_only=True)
class OrganisationUse:
    """Tokens that organisations asked for and were granted at one box and service."""

    _use_by_name: dict[str, _DecayedUse] = field(default_factory=dict)

    def note_asked(self, name: str, tokens: int, now: float) -> None:
        """Count a request that asks for room; each request counts once."""
        self._decayed(name, now).asked += tokens

    def note_granted(self, name: str, tokens: int, now: float, *, waited_s: float = 0.0) -> None:
        """Count a grant to a request that has waited for ``waited_s``.

        The tokens are decayed like those of the request, counted before the wait. Otherwise an
        organisation whose requests all waited and got room would have more granted than asked.
        """
        self._decayed(name, now).granted += tokens * 0.5 ** (max(0.0, waited_s) / HALF_LIFE_S)

    def notices(self, now: float) -> tuple[OrganisationUseNotice, ...]:
        """Return the reports to peers on the organisations that asked for the most."""
        for name in list(self._use_by_name):
            if self._decayed(name, now).asked < MIN_KEPT_TOKENS:
                del self._use_by_name[name]
        largest = heapq.nlargest(
            MAX_ORGANISATIONS_PER_NOTICE, self._use_by_name.items(), key=lambda e: e[1].asked
        )
        return tuple(
            OrganisationUseNotice(name=name, asked_tokens=use.asked, granted_tokens=use.granted)
            for name, use in largest
        )

    def _decayed(self, name: str, now: float) -> _DecayedUse:
        use = self._use_by_name.setdefault(name, _DecayedUse(updated_at=now))
        use.decay(now)
        return use


@dataclass(frozen=True, kw_only=True, slots=True)
class ShareUsage:
    """Whether an organisation is over its share.

    ``share`` and ``used`` are its fair and its actual fraction of all granted tokens.
    """

    is_over: bool = False
    is_scarce: bool = False
    share: float = 0.0
    used: float = 0.0


def share_usage(
    name: str, uses: Iterable[OrganisationUseNotice], weights_by_name: Mapping[str, float]
) -> ShareUsage:
    """Return how one organisation compares with its share, by the use of this box and its peers.

    ``weights_by_name`` holds the limits of organisations. An organisation without a limit has the
    mean weight of the others.

    >>> uses = [
    ...     OrganisationUseNotice(name="flood", asked_tokens=90.0, granted_tokens=40.0),
    ...     OrganisationUseNotice(name="quiet", asked_tokens=20.0, granted_tokens=10.0),
    ... ]
    >>> usage = share_usage("flood", uses, {"flood": 1.0, "quiet": 1.0})
    >>> usage.is_over, round(usage.share, 2), round(usage.used, 2)
    (True, 0.6, 0.8)
    >>> share_usage("quiet", uses, {}).is_over
    False
    """
    return share_usage_by_name(uses, weights_by_name).get(name, ShareUsage())


def share_usage_by_name(
    uses: Iterable[OrganisationUseNotice], weights_by_name: Mapping[str, float]
) -> dict[str, ShareUsage]:
    """Return how all organisations compare with their shares.

    The result is empty while room is not scarce.

    >>> share_usage_by_name([], {})
    {}
    """
    demand_by_name, granted_by_name = _totals(uses)
    granted = sum(granted_by_name.values())
    if granted <= 0.0 or granted >= SCARCE_RATIO * sum(demand_by_name.values()):
        return {}
    shares = fair_shares(demand_by_name, weights_by_name, granted)
    return {
        name: ShareUsage(
            is_over=granted_by_name[name] > (1.0 + SHARE_TOLERANCE) * share,
            is_scarce=True,
            share=share / granted,
            used=granted_by_name[name] / granted,
        )
        for name, share in shares.items()
    }


def fair_shares(
    demand_by_name: Mapping[str, float], weights_by_name: Mapping[str, float], capacity: float
) -> dict[str, float]:
    """Divide a capacity by weighted max-min fairness.

    >>> fair_shares({"a": 2.0, "b": 8.0, "c": 10.0}, {"a": 1, "b": 1, "c": 2}, 11.0)
    {'a': 2.0, 'c': 6.0, 'b': 3.0}
    """
    known_weights = [
        weight for name in demand_by_name if (weight := weights_by_name.get(name, 0.0)) > 0.0
    ]
    default_weight = sum(known_weights) / len(known_weights) if known_weights else 1.0
    weight_by_name = {
        name: weights_by_name.get(name, 0.0) or default_weight for name in demand_by_name
    }
    shares: dict[str, float] = {}
    # Meets the smallest demand per weight first; the others share what it leaves.
    names = sorted(demand_by_name, key=lambda n: demand_by_name[n] / weight_by_name[n])
    # Sums from the end: subtracting from the total yields 0 for a weight tiny next to another.
    remaining_weights = [*accumulate(weight_by_name[name] for name in reversed(names))]
    remaining = capacity
    for name, remaining_weight in zip(names, reversed(remaining_weights), strict=True):
        part = remaining * weight_by_name[name] / remaining_weight
        shares[name] = min(demand_by_name[name], part)
        remaining = max(0.0, remaining - shares[name])
    return shares


def _totals(uses: Iterable[OrganisationUseNotice]) -> tuple[dict[str, float], dict[str, float]]:
    """Return the tokens asked and granted per organisation, ignoring invalid reports.

    Granted tokens count as asked at least, since the two come from notices that are rounded
    separately.
    """
    asked_by_name: dict[str, float] = {}
    granted_by_name: dict[str, float] = {}
    for use in uses:
        asked, granted = use.asked_tokens, use.granted_tokens
        if 0.0 <= asked <= MAX_REPORTED_TOKENS and 0.0 <= granted <= MAX_REPORTED_TOKENS:
            name = use.name
            asked_by_name[name] = asked_by_name.get(name, 0.0) + max(asked, granted)
            granted_by_name[name] = granted_by_name.get(name, 0.0) + granted
    return asked_by_name, granted_by_name
