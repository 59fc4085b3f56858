"""Which boxes keep a stream's origin for others, so that any box can ask them.

All boxes rank the others alike for a stream, hall by hall. The box that began the stream tells the
first one of its own hall, which is in touch if the hall is cut off, and the first one of all other
halls. A box that does not know where the stream began asks the first few of each hall.
"""

from __future__ import annotations

from collections.abc import Iterable, Mapping
from functools import lru_cache

import xxhash

WITNESSES = 2
"""Boxes that are told of a stream: it can be continued unless all of them and the box that began it
fail within the stream's time."""

ASKED_PER_HALL = 3
"""Boxes of each hall that are asked, as boxes that start, stop or restart are not ranked alike by
all: the box that began the stream does not rank itself."""

MULTIPLIER = 0x9E3779B97F4A7C15
MASK = (1 << 64) - 1


def choose_witnesses(key: bytes, hall_by_box: Mapping[str, str], own_hall: str) -> list[str]:
    """Return the boxes to tell of a stream, among the other boxes.

    >>> halls = {"a1": "a", "a2": "a", "b1": "b", "c1": "c"}
    >>> sorted(halls[box] for box in choose_witnesses(b"12345678", halls, "c"))[1]
    'c'
    """
    ranked = _rank(key, hall_by_box)
    near = [box for box in ranked if hall_by_box[box] == own_hall]
    far = [box for box in ranked if hall_by_box[box] != own_hall]
    first = near[:1] + far[:1]
    others = [box for box in ranked if box not in first]
    return (first + others)[:WITNESSES]


def likely_witnesses(key: bytes, hall_by_box: Mapping[str, str]) -> list[str]:
    """Return the boxes to ask about a stream, whichever box began it.

    >>> likely_witnesses(b"12345678", {"a1": "a", "b1": "b"})
    ['a1', 'b1']
    """
    boxes_by_hall: dict[str, list[str]] = {}
    for box in _rank(key, hall_by_box):
        boxes_by_hall.setdefault(hall_by_box[box], []).append(box)
    return sorted(box for boxes in boxes_by_hall.values() for box in boxes[:ASKED_PER_HALL])


def _rank(key: bytes, boxes: Iterable[str]) -> list[str]:
    number = int.from_bytes(key, "big")
    return sorted(
        boxes, key=lambda box: (((_node_hash(box) ^ number) * MULTIPLIER) & MASK, box), reverse=True
    )


@lru_cache(maxsize=4096)
def _node_hash(box: str) -> int:
    return int(xxhash.xxh3_64_intdigest(box.encode()))
