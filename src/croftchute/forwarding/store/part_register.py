"""What the platform's store keeps of refused parts of prompts, and trials of requests with them.

A trial is claimed by writing its time into the entry under a condition, so that one box at a time
may send a request with the parts, whatever boxes know of each other.
"""

from __future__ import annotations

import asyncio

import msgspec

from croftchute.errors import StoreError
from croftchute.forwarding.boxes.part_gossip import PartGossip
from croftchute.forwarding.decision_log import MAX_LOGGED_PARTS, Decision
from croftchute.forwarding.state import ForwardingState
from croftchute.forwarding.store.crash_entries import STORE, CrashEntries
from croftchute.storage.watched import SharedStore, StoredItem
from croftchute.systems.crash_records import BASE_REFUSAL_S, MAX_REFUSAL_S
from croftchute.systems.part_crashes import PartRefusal
from croftchute.tables.crashes import PartEntry, PartNotice, StoredPartCrash

PREFIX = "croftchute/part-crashes/"

WRITERS = 3.0
"""Boxes that write what they have heard from others, on average: the one that saw the last crash
writes too, but may be gone."""

RENEW_S = BASE_REFUSAL_S / 2.0
"""Seconds after which an entry in force is written again, before its lease is over."""

CLAIM_TIMEOUT_S = 0.5
"""Seconds that a request waits for its trial to be granted; the store answers in milliseconds."""


class PartRegister(CrashEntries):
    """Keeps the refused parts and the store's entries of them alike, and claims trials there."""

    prefix = PREFIX
    stored = Decision.PART_STORED

    def __init__(self, *, state: ForwardingState, store: SharedStore, gossip: PartGossip) -> None:
        super().__init__(state=state, store=store)
        self.gossip = gossip
        self._matched_at_by_name: dict[str, float] = {}

    def note_refused(self, refusal: PartRefusal, is_own: bool) -> None:
        """Have refused parts written; of the boxes that only heard of them, a few do."""
        self._matched_at_by_name[refusal.name] = self.state.clock()
        if is_own or self.state.rng.random() * self.state.boxes < WRITERS:
            self.note([refusal.name])

    def note_freed(self, refusal: PartRefusal, is_own: bool) -> None:
        """Have the store told that parts are refused no longer, if this box saw why."""
        self._matched_at_by_name.pop(refusal.name, None)
        if is_own:
            self.note([refusal.name])

    def renew(self, now: float) -> None:
        """Have entries written again before they lapse; a few boxes do."""
        for name, matched_at in list(self._matched_at_by_name.items()):
            if now >= matched_at + RENEW_S:
                self._matched_at_by_name[name] = now
                if self.state.rng.random() * self.state.boxes < WRITERS:
                    self.note([name])

    def names_in_force(self) -> list[str]:
        """Return the names of the refusals."""
        return [refusal.name for refusal in self.state.parts.refusals]

    def lease_s(self) -> float:
        """Return the length of the first long refusal, the most that the store grants."""
        return BASE_REFUSAL_S

    async def claim(self, refusal: PartRefusal) -> bool:
        """Return whether this box may send one request with refused parts to workers now."""
        try:
            async with asyncio.timeout(CLAIM_TIMEOUT_S):
                outcome = await self._claim(refusal)
        except (StoreError, TimeoutError):
            outcome = "no_store"
        self.state.metrics.part_trials.inc({"outcome": outcome})
        self.state.log.decide(
            Decision.PART_TRIED,
            outcome=outcome,
            parts=sorted(refusal.parts)[:MAX_LOGGED_PARTS],
            workers_crashed=refusal.crashes,
        )
        return outcome == "granted"

    async def _claim(self, refusal: PartRefusal) -> str:
        name = refusal.name
        item = await self.store.item(PREFIX + name)
        if item is not None:
            self.take(item)
        now = self.state.clock()
        present = self.state.parts.refusal_of(refusal.parts)
        if present is None or present.name != name:
            return "changed"
        if now < present.trial_at:
            return "too_early"
        value = self._encode(present.parts, tried_at=(now,), item=item)
        if not await self._write(name, item, value):
            return "claimed_elsewhere"
        self.state.parts.note_trials(present.parts, [now])
        return "granted"

    def value_to_write(self, name: str, item: StoredItem | None) -> bytes | None:
        """Return all that is known of the parts of an entry if they are refused or were.

        It is written also if the store has the same, so that its lease begins anew.
        """
        refusals = [one for one in self.state.parts.refusals if one.name == name]
        if refusals:
            return self._encode(refusals[0].parts, tried_at=(), item=item)
        if item is None:
            return None
        entry = self._read(item)
        if entry is None:
            return None
        value = self._encode(frozenset(entry.parts), tried_at=(), item=item)
        return value if self._decode(value) != entry else None

    def take(self, item: StoredItem) -> None:
        """Take in the crashes under some parts, and when they were tried."""
        entry = self._read(item)
        if entry is None:
            return
        wall_now = self.state.wall_clock()
        notices = [
            PartNotice(
                part=part,
                life=life,
                request=crash.request,
                age_s=min(max(0.0, wall_now - crash.at), MAX_REFUSAL_S),
                is_cleared=part in crash.cleared,
            )
            for part in entry.parts
            for life, crash in entry.crash_by_life.items()
        ]
        lag_s = wall_now - self.state.clock()
        self.gossip.take(notices, source=STORE)
        self.state.parts.note_trials(entry.parts, [at - lag_s for at in entry.tried_at])

    def _encode(
        self, parts: frozenset[str], *, tried_at: tuple[float, ...], item: StoredItem | None
    ) -> bytes:
        """Return an entry for some parts: what is known here, and the trials in the store."""
        lag_s = self.state.wall_clock() - self.state.clock()
        crash_by_life: dict[str, StoredPartCrash] = {}
        tried = {round(at + lag_s, 3) for at in tried_at}
        for part in sorted(parts):
            record = self.state.parts.by_part.get(part)
            if record is None:
                continue
            for life, crash in record.crash_by_life.items():
                known = crash_by_life.get(life)
                cleared = known.cleared if known is not None else ()
                crash_by_life[life] = StoredPartCrash(
                    at=round(crash.at + lag_s, 3),
                    request=crash.request,
                    cleared=(*cleared, part) if crash.is_cleared else cleared,
                )
        stored = self._read(item) if item is not None else None
        if stored is not None:
            tried.update(stored.tried_at)
        entry = PartEntry(
            parts=tuple(sorted(parts)),
            crash_by_life=crash_by_life,
            tried_at=tuple(sorted(tried)),
        )
        return msgspec.json.encode(entry)

    def _read(self, item: StoredItem) -> PartEntry | None:
        entry = self._decode(item.value)
        if entry is None:
            name = item.key.removeprefix(PREFIX)
            self._log("unreadable", name, revision=item.revision)
        return entry

    def _decode(self, value: bytes) -> PartEntry | None:
        try:
            return msgspec.json.decode(value, type=PartEntry)
        except msgspec.DecodeError:
            return None
