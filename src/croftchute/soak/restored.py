"""What the operator and the workers write again after the store came back from an older copy."""

from __future__ import annotations

import asyncio

from croftchute.soak.world import SoakWorld
from croftchute.standins.metadata_store import StoreCopy

WRITTEN_AGAIN_S = 2.0
"""Seconds over which they write: what the users' pages say of entries that lapsed."""

FOREIGN_PREFIXES = ("op/", "servers/")
"""Keys that are not the boxes' own."""


async def rewrite(world: SoakWorld, older: StoreCopy) -> None:
    """Have all writers write again one by one, and entries of those that ended go."""
    store = world.store
    keys = older.items_by_key.keys() | store.wanted_by_key.keys()
    foreign = sorted(key for key in keys if key.startswith(FOREIGN_PREFIXES))
    for key in foreign:
        await asyncio.sleep(WRITTEN_AGAIN_S / len(foreign))
        store.write_again(key)
