"""Positions in the store's history: an era and a revision of it, in one number that orders.

A store that comes back from an older copy begins a new era: its revisions go back and are given out
again, so they say nothing beside those of another era. A position of a newer era is greater than
any of an older one. It goes wherever a revision would: into lists, notices, news of relays, and as
the token of stage orders, which thereby rises over eras without a clock.
"""

from __future__ import annotations

REVISION_BITS = 40
"""Bits of a position that hold the revision: 30 years of 1,000 changes a second."""

MAX_ERA = (1 << 23) - 1
"""Highest era that still makes a number of 63 bits, the most that messages and JSON carry."""

MAX_REVISION = (1 << REVISION_BITS) - 1


def position(era: int, revision: int) -> int:
    """The position of a revision of an era.

    >>> position(0, 57)
    57
    >>> position(4, 2) > position(3, 900)
    True
    """
    return era << REVISION_BITS | revision


def era_of(at: int) -> int:
    """The era of a position.

    >>> era_of(position(4, 2)), era_of(57)
    (4, 0)
    """
    return at >> REVISION_BITS


def told(at: int) -> str:
    """A position as it stands in logs.

    >>> told(position(4, 2))
    '4/2'
    """
    return f"{era_of(at)}/{revision_of(at)}"


def revision_of(at: int) -> int:
    """The revision of a position, as the store of its era counts.

    >>> revision_of(position(4, 2))
    2
    """
    return at & MAX_REVISION
