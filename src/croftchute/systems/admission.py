"""Admission: the longest queueing that a request may be granted under load.

Higher priorities may fill the queue further than lower ones, and callers within their share
further than those above it, so under overload the refused are the least important work of the
heaviest callers. The limit is on predicted time, so an idle shard refuses nobody.
"""

from __future__ import annotations

MAX_PRIORITY = 9
MIN_PRIORITY_SHARE = 0.7
MAX_EXCESS_UNPENALISED = 2.0
MIN_FAIRNESS_SHARE = 0.4
USABLE_TARGET_SHARE = 0.98
WASTE_AVERSION_MARGIN = 0.05


def priority_share(priority: int) -> float:
    """The share of the target that a priority may use up.

    >>> priority_share(9)
    1.0
    """
    clipped = min(MAX_PRIORITY, max(0, priority))
    return MIN_PRIORITY_SHARE + (1.0 - MIN_PRIORITY_SHARE) * clipped / MAX_PRIORITY


def fairness_share(excess: float) -> float:
    """The share of the target that a caller may use up, given its use over its fair share.

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
    """Seconds a request may queue, given what its own work takes; negative if it is too long.

    The shares cut only the time left for queueing, and only as far as the shard is short of
    capacity (``pressure``, 0 to 1), so an idle shard refuses nobody who can meet the target,
    however much they have used.
    """
    margin = USABLE_TARGET_SHARE - WASTE_AVERSION_MARGIN * waste_aversion
    available_s = ttft_s * margin - service_s
    if available_s <= 0:
        return available_s
    share = priority_share(priority) * fairness_share(excess)
    return available_s * (1.0 - pressure * (1.0 - share))
