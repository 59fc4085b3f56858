"""Rendezvous hashing: every box ranks the same places for a key alike, with nothing agreed."""

from __future__ import annotations

from collections.abc import Iterable

import xxhash


def rendezvous_weight(key: str, place: str) -> int:
    """The rendezvous weight of a key at a place."""
    return int(xxhash.xxh3_64_intdigest(f"{key}|{place}".encode()))


def rank_nodes(key: str, places: Iterable[str]) -> list[str]:
    """Places for a key, best first.

    >>> rank_nodes("key", ["a", "b", "c"]) == rank_nodes("key", ["c", "a", "b"])
    True
    """
    return sorted(places, key=lambda place: (rendezvous_weight(key, place), place), reverse=True)
