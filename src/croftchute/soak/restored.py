"""What the operator and the workers write again after the store came back from an older copy."""

from __future__ import annotations

import asyncio

from croftchute.soak.world import SoakWorld
from croftchute.standins.metadata_store import StoreCopy

WRITTEN_AGAIN_S = 2.0
"""Seconds over which they write: what the users' pages say of entries that lapsed."""

HEARTBEAT_S = 1.2
"""Seconds between two heartbeats of a worker, as the users' settings have it."""

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


async def keep_beating(world: SoakWorld) -> None:
    """Have the workers write their entries again and again; never returns.

    Their revisions rise thereby, so that those after a return are below those that boxes knew.
    """
    while True:
        await asyncio.sleep(HEARTBEAT_S)
        for listed in world.live():
            key = f"servers/{listed.worker.id}"
            if world.store.holds(key, listed.entry()):
                world.write_entry(listed)
