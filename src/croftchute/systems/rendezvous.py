"""Rendezvous hashing: every box ranks the same nodes for a key alike, without coordination."""

from __future__ import annotations

from collections.abc import Iterable

import xxhash


def rendezvous_weight(key: str, node: str) -> int:
    """Return the rendezvous weight of a key at a node."""
    return int(xxhash.xxh3_64_intdigest(f"{key}|{node}".encode()))


def rank_nodes(key: str, nodes: Iterable[str]) -> list[str]:
    """Return the nodes for a key, best first.

    >>> rank_nodes("key", ["a", "b", "c"]) == rank_nodes("key", ["c", "a", "b"])
    True
    """
    return sorted(nodes, key=lambda node: (rendezvous_weight(key, node), node), reverse=True)
