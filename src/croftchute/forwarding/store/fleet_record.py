"""The record of how many boxes there are, in the platform's store: read at the start, kept since.

It also names the main pool of the limits, the box that most others lend their shares to. After a
start of a whole fleet of 78 the middle box counts 60 after six seconds, and some pairs hear of each
other after twenty only; with the name all turn to the same pool at once.

One box writes the record, and only when something in it changes: a few calls after a start of the
whole fleet. It is the main pool while limits are in force. Without any it is kept all the same: a
worker may name a limit at any moment, also while the store is away.
"""

from __future__ import annotations

import asyncio
from collections.abc import Callable
from dataclasses import replace

import msgspec

from croftchute.errors import StoreError
from croftchute.forwarding.decision_log import Decision
from croftchute.forwarding.state import ForwardingState
from croftchute.storage.position import told
from croftchute.storage.watched import LeaseStore, StoredItem
from croftchute.systems.fleet_size import FleetSize
from croftchute.tables.fleet import FleetEntry

RECORD_KEY = "croftchute/fleet"

NO_LEASE = 0
"""The record outlives every box."""

READ_AGAIN_S = 0.1
"""Seconds between two tries to read the record in a box's first moments, in which it has no share
of any limit: some twenty answers of a sound store."""

CHECK_S = 1.0
"""Seconds between two looks at whether the record still fits: two notices of each peer."""


class FleetRecord:
    """Reads the record once limits may be in force, and keeps it at one box.

    ``address`` tells where this box takes notices, ``is_main_pool`` whether most boxes lend to it
    at the moment, and ``is_keeper`` whether it writes the record: the main pool, if not told.
    """

    def __init__(
        self,
        *,
        state: ForwardingState,
        store: LeaseStore,
        size: FleetSize,
        address: Callable[[], tuple[str, int]],
        has_limits: Callable[[], bool],
        is_main_pool: Callable[[], bool],
        is_keeper: Callable[[], bool] | None = None,
    ) -> None:
        self.state = state
        self.store = store
        self.size = size
        self.address = address
        self.has_limits = has_limits
        self.is_main_pool = is_main_pool
        self.is_keeper = is_keeper or is_main_pool
        self._on_record = FleetEntry(boxes=0)
        self._is_lost = False
        self._is_restored = False

    def note_restored(self) -> None:
        """The store came back from an older copy: its record may be older than what is known."""
        self._is_restored = True

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
        wanted = self._wanted_count()
        if self.is_keeper():
            if self._is_restored:
                await self._write_again()
            if wanted is not None or self._should_name_itself():
                await self._correct()
        elif wanted is not None and wanted < self.size.boxes(0):
            self.size.recorded = wanted

    async def _read(self) -> StoredItem | None:
        item = await self.store.item(RECORD_KEY)
        found = self._parse(item)
        if (found.boxes, found.pool) != (self.size.recorded, self.size.pool):
            self._take(found)
            self._log("read")
        return item

    async def _correct(self) -> None:
        """Write what the record should say, unless another box did so meanwhile."""
        item = await self._read()
        wanted = self._wanted_count()
        if wanted is None and not self._should_name_itself():
            return
        entry = self._entry(wanted if wanted is not None else self.size.boxes(0))
        if await self._put(entry, item):
            self._take(entry)
            self._log("written")

    async def _write_again(self) -> None:
        """Write what was on record here; boxes that start meanwhile would read the older one."""
        item = await self.store.item(RECORD_KEY)
        entry = self._entry(self.size.boxes(0))
        if await self._put(entry, item):
            self._is_restored = False
            self._log("written again")

    def _should_name_itself(self) -> bool:
        return self.is_main_pool() and self.size.pool != self.state.box

    def _entry(self, boxes: int) -> FleetEntry:
        """The record with a count: this box is its pool if it is the main one, else as before."""
        if not self.is_main_pool():
            return replace(self._on_record, boxes=boxes)
        host, port = self.address()
        return FleetEntry(boxes=boxes, pool=self.state.box, host=host, port=port)

    async def _put(self, entry: FleetEntry, present: StoredItem | None) -> bool:
        """Write an entry over the present one, unless that has changed."""
        revision = present.revision if present is not None else 0
        value = msgspec.json.encode(entry)
        written = await self.store.put_if(RECORD_KEY, value, revision=revision, lease=NO_LEASE)
        return written is not None

    def _take(self, entry: FleetEntry) -> None:
        self._on_record = entry
        self.size.recorded = entry.boxes
        self.size.pool = entry.pool
        if entry.pool:
            self.state.peers.note_address(entry.pool, entry.host, entry.port)

    def _wanted_count(self) -> int | None:
        return self.size.to_record(self.state.peers.known_boxes, self.state.clock())

    def _parse(self, item: StoredItem | None) -> FleetEntry:
        """What is on record; what can't be read counts as nothing, and is written anew."""
        if item is None:
            return FleetEntry(boxes=0)
        try:
            return msgspec.json.decode(item.value, type=FleetEntry)
        except msgspec.DecodeError as error:
            self.state.log.decide(
                Decision.FLEET_SIZE,
                outcome="unreadable",
                revision=told(item.revision),
                detail=str(error),
            )
            return FleetEntry(boxes=0)

    def _note_lost(self, error: StoreError) -> None:
        if not self._is_lost:
            self._log(error.code.value)
        self._is_lost = True

    def _log(self, outcome: str) -> None:
        self.state.log.decide(
            Decision.FLEET_SIZE,
            outcome=outcome,
            recorded=self.size.recorded,
            pool=self.size.pool,
            known=self.state.peers.known_boxes,
        )
