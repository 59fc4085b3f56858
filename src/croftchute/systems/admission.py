"""Admission control: the longest time that a request may queue under load.

The target is the time to first token. A request of a higher priority may use more of it than one
of a lower priority, and a caller within its fair share more than a caller above it. Under overload
the router therefore refuses low-priority requests of the heaviest callers first. The limit applies
to the predicted time in the queue, so an idle shard refuses nobody.
"""

from __future__ import annotations

MAX_PRIORITY = 9
MIN_PRIORITY_SHARE = 0.7
MAX_EXCESS_UNPENALISED = 2.0
MIN_FAIRNESS_SHARE = 0.4
USABLE_TARGET_SHARE = 0.98
WASTE_AVERSION_MARGIN = 0.05


def priority_share(priority: int) -> float:
    """Return the share of the time-to-first-token target for requests of this priority.

    >>> priority_share(9)
    1.0
    """
    clipped = min(MAX_PRIORITY, max(0, priority))
    return MIN_PRIORITY_SHARE + (1.0 - MIN_PRIORITY_SHARE) * clipped / MAX_PRIORITY


def fairness_share(excess: float) -> float:
    """Return the share of the time-to-first-token target for a caller's requests.

    ``excess`` is the caller's use divided by its fair share.

    >>> fairness_share(1.0), fairness_share(4.0)
    (1.0, 0.5)
    """
    if excess <= MAX_EXCESS_UNPENALISED:
        return 1.0
    return max(MIN_FAIRNESS_SHARE, MAX_EXCESS_UNPENALISED / excess)


def max_queue_s(
    *,
    ttft_s: float,
    service_s: float,
    priority: int,
    excess: float,
    pressure: float,
    waste_aversion: float,
) -> float:
    """Return how many seconds a request may queue; negative if its own work takes too long.

    ``service_s`` is the time that the request's own work takes. Priority and fairness reduce
    only the time left for queueing, and only in proportion to the shard's lack of capacity
    (``pressure``, 0 to 1). An idle shard thus refuses no request that can meet the target,
    however much its caller has used.
    """
    margin = USABLE_TARGET_SHARE - WASTE_AVERSION_MARGIN * waste_aversion
    available_s = ttft_s * margin - service_s
    if available_s <= 0:
        return available_s
    share = priority_share(priority) * fairness_share(excess)
    return available_s * (1.0 - pressure * (1.0 - share))
