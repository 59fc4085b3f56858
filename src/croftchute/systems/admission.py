"""Admission: the longest time to first token that a request may be granted under load.

Higher priorities may fill the queue further than lower ones, and callers within their share
further than those above it, so under overload the refused are the least important work of the
heaviest callers. The limit is on predicted time, so an idle shard refuses nobody.
"""

from __future__ import annotations

MAX_PRIORITY = 9
LOWEST_PRIORITY_SHARE = 0.7
EXCESS_FREE = 2.0
EXCESS_FLOOR = 0.4
SAFETY_SHARE = 0.95
WASTE_MARGIN = 0.1


def priority_share(priority: int) -> float:
    """The share of the target that a priority may use up.

    >>> priority_share(9)
    1.0
    """
    clipped = min(MAX_PRIORITY, max(0, priority))
    return LOWEST_PRIORITY_SHARE + (1.0 - LOWEST_PRIORITY_SHARE) * clipped / MAX_PRIORITY


def fairness_share(excess: float) -> float:
    """The share of the target that a caller may use up, given its use over its fair share.

    >>> fairness_share(1.0), fairness_share(4.0)
    (1.0, 0.5)
    """
    if excess <= EXCESS_FREE:
        return 1.0
    return max(EXCESS_FLOOR, EXCESS_FREE / excess)


def ttft_limit(
    *, ttft_s: float, priority: int, excess: float, waste_aversion: float, time_left_s: float
) -> float:
    """Seconds from the request's arrival by which its first token has to be predicted."""
    margin = SAFETY_SHARE - WASTE_MARGIN * waste_aversion
    limit = ttft_s * margin * priority_share(priority) * fairness_share(excess)
    return min(limit, time_left_s)
