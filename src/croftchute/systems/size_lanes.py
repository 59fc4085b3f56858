"""Which decode workers large requests have for themselves, so that they find room at all.

Room at a full engine comes free in the size of one ended stream. Smaller requests fit into that at
once, a large one needs several ends at one engine together, which others take first: without a
lane, requests over half of an engine's memory were served in 4 of 100 tries where small ones were
in 90. All boxes rank the workers alike, so the lane is the same at all of them.
"""

from __future__ import annotations

from collections.abc import Collection, Sequence
from enum import StrEnum

from croftchute.systems.rendezvous import rendezvous_weight
from croftchute.systems.stage_balance import DemandCounts
from croftchute.systems.tracked_worker import TrackedWorker

LARGE_SHARE = 0.5
"""Share of an engine's memory over which a request is large: two of them don't fit one engine."""

MAX_LANE_SHARE = 0.4
"""Share of the decode workers that the lane has at most."""

FAIR_RATIO = 0.75
"""How often large requests get room beside all others, from which on they need no lane."""

LANE_GAIN = 3.0
"""How much of its full size the lane gets for what lacks of the fair ratio: all of it where large
requests get room less than 0.42 times as often as others. In bursts that keeps them at 0.55."""

MIN_ASKS = 10
"""Fewest asks, large and others, to judge by."""

MIN_LARGE_ASKS = 3
"""Fewest large ones among these."""

LANE_KEY = "large requests"


class RoomWay(StrEnum):
    """How decode memory is shared between requests of different sizes."""

    LANES = "lanes"
    BLIND = "blind"


def is_large(tokens: int, kv_tokens: int) -> bool:
    """Whether a request that holds so many tokens has to have most of an engine.

    >>> is_large(14_000, 26_000), is_large(9_000, 26_000)
    (True, False)
    """
    return kv_tokens > 0 and tokens > LARGE_SHARE * kv_tokens


def lane_share(counts: DemandCounts, kv_tokens: int) -> float:
    """The share of the decode workers that large requests should have, by what was seen lately.

    None while large requests get room about as often as others; the less they do, the nearer to
    the share of the engines that their memory would take.

    >>> lane_share(DemandCounts(asks=100, prompt_tokens=980_000, large_asks=20,
    ...                         large_tokens=360_000, granted=75, large_granted=3), 26_000)
    0.4
    >>> lane_share(DemandCounts(asks=100, prompt_tokens=980_000, large_asks=20,
    ...                         large_tokens=360_000, granted=75, large_granted=13), 26_000)
    0.0
    """
    if counts.asks < MIN_ASKS or counts.large_asks < MIN_LARGE_ASKS or not counts.granted:
        return 0.0
    ratio = (counts.large_granted / counts.large_asks) / (counts.granted / counts.asks)
    lack = min(1.0, LANE_GAIN * max(0.0, FAIR_RATIO - ratio))
    others = max(0, counts.prompt_tokens - counts.large_tokens) / kv_tokens
    whole = counts.large_asks / (counts.large_asks + others)
    return min(MAX_LANE_SHARE, round(lack * whole, 3))


def by_lane(
    candidates: Sequence[TrackedWorker],
    *,
    is_large_request: bool,
    share: float,
    passed_over: Collection[str],
) -> list[TrackedWorker]:
    """The workers that a request may be put to: the lane's for large ones, the rest for others.

    A large request may also have the rest once the lane was asked in vain. A service too small for
    a lane of its own is left whole.
    """
    size = int(share * len(candidates) + 0.5)
    if not 0 < size < len(candidates):
        return list(candidates)
    ranked = sorted(candidates, key=lambda tracked: rendezvous_weight(LANE_KEY, tracked.worker.id))
    lane, rest = ranked[:size], ranked[size:]
    if not is_large_request:
        return rest
    left = [tracked for tracked in lane if tracked.worker.id not in passed_over]
    return left or rest
