"""Decode workers reserved for large requests (a lane), so that these find room at all.

Memory at a full engine comes free one ended stream at a time. A small request fits into that at
once. A large one needs several streams at the same engine to end together, and small requests take
the memory before that. Without a lane, requests over half of an engine's memory were served in 4 of
100 tries, small ones in 90 of 100. All boxes rank the workers by the same hash, so they agree on
the lane.
"""

from __future__ import annotations

from collections.abc import Collection, Sequence
from enum import StrEnum

from croftchute.systems.rendezvous import rendezvous_weight
from croftchute.systems.stage_balance import DemandCounts
from croftchute.systems.tracked_worker import TrackedWorker

MIN_LARGE_REQUEST_SHARE = 0.5
"""Share of an engine's memory above which a request is large: two of them do not fit one engine."""

MAX_LANE_SHARE = 0.4
"""Largest share of the decode workers that the lane may have."""

FAIR_GRANT_RATIO = 0.75
"""Ratio of the grant rate of large requests to that of all above which they need no lane."""

LANE_GAIN = 3.0
"""Factor from the shortfall of the grant ratio to the fraction of the full lane that is reserved.
The lane has its full size where the ratio is below 0.42. In bursts this keeps the ratio at 0.55."""

MIN_REQUESTS = 10
"""Fewest requests, large and others, to judge by."""

MIN_LARGE_REQUESTS = 3
"""Fewest large requests to judge by."""

LANE_HASH_KEY = "large requests"
"""Key of the rendezvous hash that ranks the workers for the lane; the same at all boxes."""


class RoomMode(StrEnum):
    """How decode memory is shared between requests of different sizes.

    ``lanes`` reserves workers for large requests, ``blind`` ignores the size.
    """

    LANES = "lanes"
    BLIND = "blind"


def is_large(tokens: int, kv_tokens: int) -> bool:
    """Return whether a request needs more than half of an engine's ``kv_tokens`` of memory.

    >>> is_large(14_000, 26_000), is_large(9_000, 26_000)
    (True, False)
    """
    return kv_tokens > 0 and tokens > MIN_LARGE_REQUEST_SHARE * kv_tokens


def lane_share(counts: DemandCounts, kv_tokens: int) -> float:
    """Return the share of the decode workers to reserve for large requests.

    It is 0 while large requests get room about as often as others. The less often they do, the
    closer it comes to the share of the engines that their memory would take.

    >>> lane_share(DemandCounts(asks=100, prompt_tokens=980_000, large_asks=20,
    ...                         large_tokens=360_000, granted=75, large_granted=3), 26_000)
    0.4
    >>> lane_share(DemandCounts(asks=100, prompt_tokens=980_000, large_asks=20,
    ...                         large_tokens=360_000, granted=75, large_granted=13), 26_000)
    0.0
    """
    if counts.asks < MIN_REQUESTS or counts.large_asks < MIN_LARGE_REQUESTS or not counts.granted:
        return 0.0
    ratio = (counts.large_granted / counts.large_asks) / (counts.granted / counts.asks)
    shortfall = min(1.0, LANE_GAIN * max(0.0, FAIR_GRANT_RATIO - ratio))
    others = max(0, counts.prompt_tokens - counts.large_tokens) / kv_tokens
    full_share = counts.large_asks / (counts.large_asks + others)
    return min(MAX_LANE_SHARE, round(shortfall * full_share, 3))


def lane_candidates(
    candidates: Sequence[TrackedWorker],
    *,
    is_large_request: bool,
    share: float,
    rejected_ids: Collection[str],
) -> list[TrackedWorker]:
    """Return the workers that may serve a request: the lane for large ones, the rest for others.

    A large request may also use the rest once every worker of the lane has rejected it. A service
    too small for a lane is not divided.
    """
    size = int(share * len(candidates) + 0.5)
    if not 0 < size < len(candidates):
        return list(candidates)
    ranked = sorted(
        candidates, key=lambda tracked: rendezvous_weight(LANE_HASH_KEY, tracked.worker.id)
    )
    lane, rest = ranked[:size], ranked[size:]
    if not is_large_request:
        return rest
    untried = [tracked for tracked in lane if tracked.worker.id not in rejected_ids]
    return untried or rest
