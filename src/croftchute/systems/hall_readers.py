"""Which boxes of a hall read the store for the others of the hall.

Every call of the store is paid for, so a few boxes of each hall watch it and the others follow one
of these. Nobody is elected: each box ranks the live boxes of its hall by a hash, which all boxes
compute alike, and the first ones read. Boxes that see different peers for a moment rank them
differently; then a few more of them read, and nothing else comes of it.
"""

from __future__ import annotations

import hashlib
from collections.abc import Iterable, Sequence
from dataclasses import dataclass, field

from croftchute.tables.peers import Peer

READERS = 2
"""Boxes of a hall that read the store: one may be gone, slow or cut off from it."""

MOST_READERS = 4
"""Boxes that a follower asks, one after the other, before it reads the store itself."""

MIN_HALL = 6
"""Boxes of a hall from which on some of them follow: in smaller halls too few calls are saved."""

LIVE_S = 15.0
"""Seconds since its last notice for which a box counts as alive here: boxes of a hall hear each
other every two to three seconds in a hall of forty."""

PASSED_OVER_S = 4.0
"""Seconds for which a reader that did not answer, or has lost the store, is not asked again."""

ASKED_S = 15.0
"""Seconds for which a box that was asked for news reads the store, even if it ranks itself low."""


def ranked(hall: str, box_ids: Iterable[str]) -> list[str]:
    """The boxes of a hall in the order in which they are to read the store.

    >>> ranked("north", ["a", "b", "c"]) == ranked("north", ["c", "a", "b"])
    True
    """
    return sorted(box_ids, key=lambda box_id: _digest(f"{hall}/{box_id}"))


@dataclass(kw_only=True)
class HallReaders:
    """What one box makes of its hall: whether it reads the store, or whom it follows."""

    own_id: str
    hall: str
    _passed_over_until: dict[str, float] = field(default_factory=dict)
    _asked_until: float = 0.0

    def to_follow(self, mates: Sequence[Peer], now: float) -> Peer | None:
        """The box to ask for news; None if this box should read the store itself.

        ``mates`` are the other live boxes of the hall.
        """
        if len(mates) + 1 < MIN_HALL or now < self._asked_until:
            return None
        mates_by_id = {mate.id: mate for mate in mates}
        order = ranked(self.hall, [*mates_by_id, self.own_id])
        if self.own_id in order[:READERS]:
            return None
        asked = self._turned(order[:READERS]) + order[READERS:MOST_READERS]
        usable = [box for box in asked if now >= self._passed_over_until.get(box, 0.0)]
        return next((mates_by_id[box] for box in usable if box in mates_by_id), None)

    def pass_over(self, box_id: str, now: float) -> None:
        """A box gave no news: ask others for a while."""
        self._passed_over_until = {
            box: until for box, until in self._passed_over_until.items() if until > now
        }
        self._passed_over_until[box_id] = now + PASSED_OVER_S

    def note_asked(self, now: float) -> None:
        """Another box takes this one for a reader: read the store for a while."""
        self._asked_until = now + ASKED_S

    def is_asked(self, now: float) -> bool:
        """Whether another box asked for news lately."""
        return now < self._asked_until

    def _turned(self, readers: list[str]) -> list[str]:
        """The readers in this box's own order, so that each gets its share of the followers."""
        turn = int.from_bytes(_digest(self.own_id)) % len(readers)
        return readers[turn:] + readers[:turn]


def _digest(text: str) -> bytes:
    return hashlib.blake2b(text.encode(), digest_size=8).digest()
