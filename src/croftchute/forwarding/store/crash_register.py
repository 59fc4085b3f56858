"""What the platform's store keeps of requests that crash workers."""

from __future__ import annotations

import asyncio
from dataclasses import replace

import msgspec

from croftchute.errors import StoreError
from croftchute.forwarding.boxes.crash_gossip import CrashGossip
from croftchute.forwarding.decision_log import Decision
from croftchute.forwarding.state import ForwardingState
from croftchute.forwarding.store.crash_entries import STORE, CrashEntries
from croftchute.storage.watched import SharedStore, StoredItem
from croftchute.systems.crash_records import BASE_REFUSAL_S, MAX_REFUSAL_S
from croftchute.tables.crashes import CrashEntry, CrashNotice

PREFIX = "croftchute/crashes/"

CLAIM_TIMEOUT_S = 0.5
"""Seconds that a request waits for its trial to be granted; the store answers in milliseconds."""

NOTHING_STORED = CrashEntry(ended_at_by_life={})


class CrashRegister(CrashEntries):
    """Keeps the box's crash records and the store's entries of refused requests alike."""

    prefix = PREFIX
    stored = Decision.CRASH_STORED

    def __init__(self, *, state: ForwardingState, store: SharedStore, gossip: CrashGossip) -> None:
        super().__init__(state=state, store=store)
        self.gossip = gossip

    def names_in_force(self) -> list[str]:
        """Return the digests of the requests that are refused."""
        now = self.state.clock()
        crashes = self.state.crashes
        return [digest for digest in crashes.by_digest if crashes.refusal_left_s(digest, now) > 0.0]

    def lease_s(self) -> float:
        """Return the length of the first refusal."""
        return BASE_REFUSAL_S

    async def claim(self, digest: str) -> bool:
        """Return whether this box may send a refused request to a worker now."""
        try:
            async with asyncio.timeout(CLAIM_TIMEOUT_S):
                outcome = await self._claim(digest)
        except (StoreError, TimeoutError):
            outcome = "no_store"
        self.state.metrics.request_trials.inc({"outcome": outcome})
        self.state.log.decide(
            Decision.REQUEST_TRIED,
            outcome=outcome,
            digest=digest,
            workers_crashed=self.state.crashes.crash_count(digest),
        )
        return outcome == "granted"

    async def _claim(self, digest: str) -> str:
        item = await self.store.item(PREFIX + digest)
        if item is not None:
            self.take(item)
        now = self.state.clock()
        if not self.state.crashes.may_try(digest, now):
            return "changed"
        tried_at = self.state.wall_clock()
        value = msgspec.json.encode(replace(self._known(digest, item), tried_at=tried_at))
        if not await self._write(digest, item, value):
            return "claimed_elsewhere"
        self.state.crashes.note_trial(digest, now)
        return "granted"

    def value_to_write(self, name: str, item: StoredItem | None) -> bytes | None:
        """Return the crashes under a request if it is refused and the store lacks some of them.

        Of one that is refused no longer the store is told why, if it holds the crashes.
        """
        crashes = self.state.crashes
        record = crashes.by_digest.get(name)
        if record is None:
            return None
        stored = self._read(item) if item is not None else NOTHING_STORED
        known = self._known(name, item)
        if crashes.refusal_left_s(name, self.state.clock()) > 0.0:
            is_news = known.ended_at_by_life.keys() != stored.ended_at_by_life.keys()
        else:
            is_news = bool(stored.ended_at_by_life) and known.succeeded_at > stored.succeeded_at
        return msgspec.json.encode(known) if is_news else None

    def take(self, item: StoredItem) -> None:
        """Take in the crashes under a request, its success, and when it was tried."""
        digest = item.key.removeprefix(PREFIX)
        entry = self._read(item)
        wall_now, now = self.state.wall_clock(), self.state.clock()
        times_by_life = entry.ended_at_by_life | (
            {"": entry.succeeded_at} if entry.succeeded_at else {}
        )
        notices = [
            CrashNotice(digest=digest, life=life, age_s=min(max(0.0, wall_now - at), MAX_REFUSAL_S))
            for life, at in times_by_life.items()
        ]
        change = self.state.crashes.merge_and_compare(notices, now)
        if entry.tried_at:
            self.state.crashes.note_trial(digest, min(now, now - wall_now + entry.tried_at))
        self.gossip.log_change(change, source=STORE)

    def _known(self, digest: str, item: StoredItem | None) -> CrashEntry:
        """Return what is known of a request, here and in the store."""
        stored = self._read(item) if item is not None else NOTHING_STORED
        record = self.state.crashes.by_digest.get(digest)
        if record is None:
            return stored
        lag_s = self.state.wall_clock() - self.state.clock()
        known = {life: at + lag_s for life, at in record.ended_at_by_life.items()}
        return CrashEntry(
            ended_at_by_life=known | stored.ended_at_by_life,
            succeeded_at=max(stored.succeeded_at, record.succeeded_at + lag_s, 0.0),
            tried_at=max(stored.tried_at, record.tried_at + lag_s, 0.0),
        )

    def _read(self, item: StoredItem) -> CrashEntry:
        """Return an entry; one that can't be read counts as empty."""
        try:
            return msgspec.json.decode(item.value, type=CrashEntry)
        except msgspec.DecodeError as error:
            name = item.key.removeprefix(PREFIX)
            self._log("unreadable", name, detail=str(error), revision=item.revision)
            return NOTHING_STORED
