"""Which boxes keep a stream's origin for others, so that any box can ask them.

All boxes rank the others alike for a stream, hall by hall. The box that began the stream tells the
first one of its own hall, which is in touch if the hall is cut off, and the first one of another
hall; halls are ranked too. A box that does not know where the stream began asks the first few of
each hall.
"""

from __future__ import annotations

import heapq
from collections.abc import Iterable, Mapping, Sequence

import xxhash

WITNESSES = 2
"""Boxes that are told of a stream: it can be continued unless all of them and the box that began it
fail within the stream's time."""

ASKED_PER_HALL = 3
"""Boxes of each hall that are asked, as boxes that start, stop or restart are not ranked alike by
all: the box that began the stream does not rank itself."""

RECORDERS_PER_HALL = 3
"""Boxes of each hall that write to the store where streams began: their calls stay within its rates
in any fleet, and no single failure ends them all."""

MULTIPLIER = 0x9E3779B97F4A7C15
"""Odd, so that no two nodes get one weight, and without a pattern in its bits."""

MASK = (1 << 64) - 1


class WitnessRanking:
    """The other boxes by hall, ready to be ranked for one stream after the other.

    >>> ranking = WitnessRanking(hall_by_box={"a1": "a", "a2": "a", "b1": "b"})
    >>> sorted(ranking.choose(12345678, "b"))[1]
    'b1'
    >>> ranking.likely(12345678)
    ['a1', 'a2', 'b1']
    """

    def __init__(self, *, hall_by_box: Mapping[str, str]) -> None:
        self._boxes_by_hall: dict[str, list[tuple[int, str]]] = {}
        for box, hall in hall_by_box.items():
            self._boxes_by_hall.setdefault(hall, []).append((_node(box), box))
        self._node_by_hall = {hall: _node(hall) for hall in self._boxes_by_hall}

    def choose(self, key: int, own_hall: str) -> list[str]:
        """Return the boxes to tell of a stream that began in a hall."""
        chosen = _best(key, self._boxes_by_hall.get(own_hall, []), 1)
        halls = [(node, hall) for hall, node in self._node_by_hall.items() if hall != own_hall]
        for hall in _best(key, halls, WITNESSES - len(chosen)):
            chosen += _best(key, self._boxes_by_hall[hall], 1)
        if len(chosen) < WITNESSES:
            others = [
                entry
                for entries in self._boxes_by_hall.values()
                for entry in entries
                if entry[1] not in chosen
            ]
            chosen += _best(key, others, WITNESSES - len(chosen))
        return chosen

    def likely(self, key: int) -> list[str]:
        """Return the boxes to ask about a stream, whichever box began it."""
        return sorted(
            box
            for entries in self._boxes_by_hall.values()
            for box in _best(key, entries, ASKED_PER_HALL)
        )


def recorders(boxes: Iterable[str]) -> list[str]:
    """Return the boxes of a hall that write for all of it where streams began.

    >>> recorders(["a1", "a2"])
    ['a1', 'a2']
    """
    return sorted(heapq.nsmallest(RECORDERS_PER_HALL, boxes, key=_node))


def _node(name: str) -> int:
    return int(xxhash.xxh3_64_intdigest(name.encode()))


def _best(key: int, entries: Sequence[tuple[int, str]], count: int) -> list[str]:
    weighted = [((node ^ key) * MULTIPLIER & MASK, box) for node, box in entries]
    return [box for _, box in heapq.nlargest(count, weighted)]
