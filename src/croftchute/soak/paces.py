"""By when a version must be known over a link that is slow: its pace counted, nothing else."""

from __future__ import annotations

from collections.abc import Mapping

from croftchute.soak.disturbances import Pace

COPIES_BEFORE = 1.0
"""Copies of a long version that a box may have under way on its link as another one is accepted."""

PACE_MARGIN = 1.2
"""Time on the link in multiples of that of the versions alone: the list of workers goes there
too, and each answer has a head."""


def transfer_allowance_s(
    pace: Pace,
    version: int,
    *,
    accepted_at_by_version: Mapping[int, float],
    size_by_version: Mapping[int, int],
    until: float,
) -> float:
    """Seconds after a version was accepted in which a slow link brings it to a box that reads on.

    The link brings each version accepted up to ``until`` once, in their order, and
    ``COPIES_BEFORE`` copies besides.

    >>> pace = Pace(box="b", start=0.0, end=9.0, bytes_a_second=100.0)
    >>> transfer_allowance_s(
    ...     pace, 2, accepted_at_by_version={1: 0.0, 2: 1.0, 3: 9.0},
    ...     size_by_version={1: 200, 2: 100, 3: 100}, until=8.0,
    ... )
    5.0
    """
    free_at = pace.start
    largest_s = 0.0
    for other, accepted_at in sorted(accepted_at_by_version.items()):
        transfer_s = PACE_MARGIN * size_by_version[other] / pace.bytes_a_second
        if accepted_at > until or accepted_at < pace.start - transfer_s:
            continue
        free_at = max(free_at, accepted_at) + transfer_s
        largest_s = max(largest_s, transfer_s)
    waited_s = max(0.0, free_at - accepted_at_by_version[version])
    return round(waited_s + COPIES_BEFORE * largest_s, 6)
