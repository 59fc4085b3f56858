"""Trouble at the stand-in store: refusals, silence, lost answers, lapsed entries, older copies."""

from __future__ import annotations

import asyncio

from croftchute.soak.disturbances import STORE, Disturbances
from croftchute.soak.plan import FaultKind, PlannedFault
from croftchute.soak.restored import WRITTEN_AGAIN_S, rewrite
from croftchute.soak.world import SoakWorld
from croftchute.standins.metadata_store import StoreFaults

AWAY_S = 0.3
"""Seconds for which the store is away before it comes back from a copy."""

LAPSE_BACK_S = 1.5
"""Seconds over which workers whose entries lapsed write them again: within the users' two."""

MAX_LATE_S = 2.0
"""Seconds by which a write is late at most."""


class StoreTrouble:
    """Strikes the store of one run, and keeps a note of each time."""

    def __init__(self, *, world: SoakWorld, disturbances: Disturbances) -> None:
        self.world = world
        self.disturbances = disturbances

    @property
    def _now(self) -> float:
        return asyncio.get_running_loop().time()

    async def trouble(self, fault: PlannedFault) -> None:
        """The store does not answer as it should, in the way that the fault's kind names."""
        self.disturbances.note(STORE, self._now, self._now + fault.for_s)
        faults = self.world.store.faults
        match fault.kind:
            case FaultKind.STORE_REFUSES:
                faults.refuses = True
            case FaultKind.STORE_LIMITS:
                faults.is_rate_limited = True
            case FaultKind.STORE_SILENT:
                faults.is_silent = True
            case FaultKind.STORE_LOSES:
                faults.loses_answers = True
            case FaultKind.STORE_LATE:
                faults.late_s = min(MAX_LATE_S, fault.for_s)
        await asyncio.sleep(fault.for_s)
        self.world.store.faults = StoreFaults()

    async def forget_history(self, fault: PlannedFault) -> None:  # noqa: ARG002
        """The store forgets its history, as a compaction does."""
        self.disturbances.note(STORE, self._now, self._now)
        self.world.store.forget_history()

    async def lapse_entries(self, fault: PlannedFault) -> None:
        """The store is away, all entries lapse, and those that live come back one by one."""
        self.disturbances.note(STORE, self._now, self._now + fault.for_s + LAPSE_BACK_S)
        store = self.world.store
        store.faults.refuses = True
        await asyncio.sleep(fault.for_s)
        lapsed = self.world.live()
        for listed in lapsed:
            store.remove(f"servers/{listed.worker.id}")
        store.faults = StoreFaults()
        for listed in lapsed:
            await asyncio.sleep(LAPSE_BACK_S / len(lapsed))
            if listed.leaving_at is None:
                self.world.write_entry(listed)

    async def restore(self, fault: PlannedFault) -> None:
        """The store is away for a moment and comes back as it was some seconds before."""
        store = self.world.store
        older = store.copy()
        await asyncio.sleep(fault.for_s)
        self.disturbances.note(STORE, self._now, self._now + AWAY_S + WRITTEN_AGAIN_S)
        store.faults.refuses = True
        await asyncio.sleep(AWAY_S)
        store.restore(older)
        store.faults = StoreFaults()
        await rewrite(self.world, older)
