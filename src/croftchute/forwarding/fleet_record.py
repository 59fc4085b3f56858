"""The record of how many boxes there are, in the platform's store: read at the start, kept since.

Only the box that keeps the pool of the limits writes it, and only when the count changes: a few
calls after a start of the whole fleet, one for each box otherwise.
"""

from __future__ import annotations

import asyncio
from collections.abc import Callable

from croftchute.errors import StoreError
from croftchute.forwarding.decision_log import Decision
from croftchute.forwarding.state import ForwardingState
from croftchute.storage.watched import LeaseStore, StoredItem
from croftchute.systems.fleet_size import FleetSize

RECORD_KEY = "croftchute/boxes"

NO_LEASE = 0
"""The record outlives every box."""

READ_AGAIN_S = 0.1
"""Seconds between two tries to read the record in a box's first moments, in which it has no share
of any limit: some twenty answers of a sound store."""

CHECK_S = 1.0
"""Seconds between two looks at whether the record still fits: two notices of each peer."""


class FleetRecord:
    """Reads the record once limits are in force, and keeps it where the pool is kept."""

    def __init__(
        self,
        *,
        state: ForwardingState,
        store: LeaseStore,
        size: FleetSize,
        has_limits: Callable[[], bool],
        is_keeper: Callable[[], bool],
    ) -> None:
        self.state = state
        self.store = store
        self.size = size
        self.has_limits = has_limits
        self.is_keeper = is_keeper
        self._is_lost = False

    async def run(self) -> None:
        """Look after the record; never returns."""
        while True:
            try:
                await self.look()
                self._is_lost = False
            except StoreError as error:
                self._note_lost(error)
            await asyncio.sleep(self._pause_s())

    def _pause_s(self) -> float:
        """Until the next look: short while the record is wanted and could come."""
        knows_its_needs = self.state.table is not None and not self.has_limits()
        return CHECK_S if self.size.is_known or knows_its_needs or self._is_lost else READ_AGAIN_S

    async def look(self) -> None:
        """Read the record if it is not known, and write it if it is wrong."""
        if not self.has_limits():
            return
        if not self.size.is_known:
            await self._read()
        wanted = self._wanted()
        if wanted is None:
            return
        if self.is_keeper():
            await self._correct()
        elif wanted < self.size.boxes(0):
            self.size.recorded = wanted

    async def _read(self) -> StoredItem | None:
        item = await self.store.item(RECORD_KEY)
        found = self._parse(item)
        if found != self.size.recorded:
            self.size.recorded = found
            self._log("read")
        return item

    async def _correct(self) -> None:
        """Write what the record should say, unless another box did so meanwhile."""
        item = await self._read()
        wanted = self._wanted()
        if wanted is None:
            return
        revision = item.revision if item is not None else 0
        value = str(wanted).encode()
        if await self.store.put_if(RECORD_KEY, value, revision=revision, lease=NO_LEASE):
            self.size.recorded = wanted
            self._log("written")

    def _wanted(self) -> int | None:
        return self.size.to_record(self.state.peers.known_boxes, self.state.clock())

    def _parse(self, item: StoredItem | None) -> int:
        """The count in a record; one that is no number counts as none, and is written anew."""
        if item is None:
            return 0
        try:
            return max(0, int(item.value))
        except ValueError:
            self._log("not_a_number")
            return 0

    def _note_lost(self, error: StoreError) -> None:
        if not self._is_lost:
            self._log(error.code.value)
        self._is_lost = True

    def _log(self, outcome: str) -> None:
        self.state.log.decide(
            Decision.FLEET_SIZE,
            outcome=outcome,
            recorded=self.size.recorded,
            known=self.state.peers.known_boxes,
        )
