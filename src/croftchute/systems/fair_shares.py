"""Whether an organisation has more than its fair share of decode memory while that is short.

Each box counts what requests of each organisation asked for and got, and tells the others. Where
less was granted than asked, what was granted is divided by weighted max-min fairness: nobody gets
more than it asked, and what one leaves goes to the others.
"""

from __future__ import annotations

import heapq
from collections.abc import Iterable, Mapping
from dataclasses import dataclass, field
from itertools import accumulate

from croftchute.tables.peers import OrganisationUseNotice

HALF_LIFE_S = 4.0
"""Seconds after which use counts half: longer than a stream runs, shorter than a flood lasts."""

MIN_KEPT_TOKENS = 1.0
"""Tokens of use under which an organisation is forgotten: a minute after its last request."""

MAX_ORGANISATIONS_PER_NOTICE = 16
"""Organisations told of in one notice, those that asked for the most: bounds a datagram."""

SCARCE_RATIO = 0.9
"""Granted over asked under which room is short: some requests ask just before they get it."""

MAX_REPORTED_TOKENS = 1e9
"""Tokens of use beyond which what a peer tells is ignored: a thousand engines' memory."""

SHARE_TOLERANCE = 0.1
"""Share of its fair part by which an organisation may be over it: one request more or less."""


@dataclass(kw_only=True, slots=True)
class _DecayedUse:
    """Decayed sums of one organisation, as of a time."""

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
    """Tokens that organisations asked room for at one box and service, and those they got."""

    _use_by_name: dict[str, _DecayedUse] = field(default_factory=dict)

    def note_asked(self, name: str, tokens: int, now: float) -> None:
        """A request asks for room; each request counts once."""
        self._decayed(name, now).asked += tokens

    def note_granted(self, name: str, tokens: int, now: float, *, waited_s: float = 0.0) -> None:
        """A request got room; it counts as much as its asking does by now, ``waited_s`` later.

        An organisation whose requests all waited and got room would else have more than it asked.
        """
        self._decayed(name, now).granted += tokens * 0.5 ** (max(0.0, waited_s) / HALF_LIFE_S)

    def notices(self, now: float) -> tuple[OrganisationUseNotice, ...]:
        """What peers are told: the organisations that asked for the most."""
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
class ShareVerdict:
    """Whether an organisation is over its share: ``share`` and ``used`` of all that is granted."""

    is_over: bool = False
    is_scarce: bool = False
    share: float = 0.0
    used: float = 0.0


def share_verdict(
    name: str, uses: Iterable[OrganisationUseNotice], weights_by_name: Mapping[str, float]
) -> ShareVerdict:
    """Judge one organisation by the use that this box saw and its peers told.

    ``weights_by_name`` are the limits of organisations; one without a limit weighs as much as the
    mean of the others.

    >>> uses = [
    ...     OrganisationUseNotice(name="flood", asked_tokens=90.0, granted_tokens=40.0),
    ...     OrganisationUseNotice(name="quiet", asked_tokens=20.0, granted_tokens=10.0),
    ... ]
    >>> verdict = share_verdict("flood", uses, {"flood": 1.0, "quiet": 1.0})
    >>> verdict.is_over, round(verdict.share, 2), round(verdict.used, 2)
    (True, 0.6, 0.8)
    >>> share_verdict("quiet", uses, {}).is_over
    False
    """
    return share_verdicts(uses, weights_by_name).get(name, ShareVerdict())


def share_verdicts(
    uses: Iterable[OrganisationUseNotice], weights_by_name: Mapping[str, float]
) -> dict[str, ShareVerdict]:
    """Judge all organisations at once; those that are not named, or all, are within their shares.

    >>> share_verdicts([], {})
    {}
    """
    demand_by_name, granted_by_name = _totals(uses)
    granted = sum(granted_by_name.values())
    if granted <= 0.0 or granted >= SCARCE_RATIO * sum(demand_by_name.values()):
        return {}
    shares = fair_shares(demand_by_name, weights_by_name, granted)
    return {
        name: ShareVerdict(
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
    """What each gets of a capacity by weighted max-min fairness.

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
    # The smallest demand for its weight is met first: the others share what it leaves.
    names = sorted(demand_by_name, key=lambda n: demand_by_name[n] / weight_by_name[n])
    # Summed from the end: subtracting from the whole leaves 0 for a weight that is tiny beside it.
    remaining_weights = [*accumulate(weight_by_name[name] for name in reversed(names))]
    remaining = capacity
    for name, remaining_weight in zip(names, reversed(remaining_weights), strict=True):
        part = remaining * weight_by_name[name] / remaining_weight
        shares[name] = min(demand_by_name[name], part)
        remaining = max(0.0, remaining - shares[name])
    return shares


def _totals(uses: Iterable[OrganisationUseNotice]) -> tuple[dict[str, float], dict[str, float]]:
    """What each organisation asked and got, by all who tell of it; odd figures are left out.

    What it got counts as asked at least: the two come from notices that are rounded apart.
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
