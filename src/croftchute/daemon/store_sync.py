"""Keeping up with the platform's store: one read at start, a watch at relays, slow polls else.

A watch begins after the newest revision that the box holds, from the store or from a peer, so that
nothing is read twice; each kind of document is read again by itself when its reading fails.
"""

from __future__ import annotations

import math
import random
import threading
import time
from collections.abc import Callable

from croftchute.config.checks import parse_document
from croftchute.errors import CroftchuteError, StoreError
from croftchute.storage.store import (
    CONFIG_KEY,
    RANGES_KEY,
    CompactedError,
    Entry,
    ListedBox,
    Store,
)
from croftchute.tables.dedupe import RangeMap, RangeRow, dump_rows, parse_rows

RELAY_POLL_S = 2.0
"""Seconds between two readings of the ranges by a relay."""

BOXES_POLL_S = 20.0
"""Seconds between two readings of the platform's list, about."""

RETRY_S = 0.5
"""Seconds to the first try after a failure; each further one doubles them."""

MAX_RETRY_S = 5.0
"""Seconds between two tries at most: a store that is back is noticed within a third of the 16 s in
which a configuration has to be in force (the target in docs/DEVELOPERS.md)."""

MAX_DOUBLINGS = 10
"""Doublings after which waits are at their bound whatever the constants; keeps a power finite."""

UNREADABLE = (ValueError, KeyError, TypeError, AttributeError)
"""What reading a document of an unexpected form raises; no reason to stop reading others."""

OnConfig = Callable[[Entry], None]
OnRanges = Callable[[RangeMap], None]
OnBoxes = Callable[[list[ListedBox]], None]
OnTrouble = Callable[[str], None]


def next_wait_s(wait_s: float, *, lasted_s: float) -> float:
    """How long to wait before the next watch; one that held for some time was no failure."""
    return RETRY_S if lasted_s >= MAX_RETRY_S else min(MAX_RETRY_S, 2 * wait_s)


class PolledPart:
    """One kind of document: when it is due, and whether it was ever read."""

    def __init__(
        self, *, read: Callable[[], None], pause_s: Callable[[], float], on_trouble: OnTrouble
    ) -> None:
        self.due_at = 0.0
        self.is_read = False
        self._read = read
        self._pause_s = pause_s
        self._on_trouble = on_trouble
        self._failures = 0

    def turn(self, now: float) -> None:
        """Read if it is due; a failure is reported and tried again, later each time."""
        if now < self.due_at:
            return
        try:
            self._read()
        except StoreError as error:
            self._failed(now, error.message)
        except UNREADABLE as error:
            self._failed(now, f"store holds something unreadable: {error!r}")
        else:
            self.is_read = True
            self._failures = 0
            self.due_at = now + self._pause_s()

    def _failed(self, now: float, message: str) -> None:
        self.due_at = now + min(MAX_RETRY_S, RETRY_S * 2.0**self._failures)
        self._failures = min(self._failures + 1, MAX_DOUBLINGS)
        self._on_trouble(message)


class StoreSync:
    """Threads that read the store; what they find goes to the callbacks."""

    def __init__(
        self,
        *,
        store: Store,
        is_relay: Callable[[], bool],
        held_revision: Callable[[], int],
        on_config: OnConfig,
        on_ranges: OnRanges,
        on_boxes: OnBoxes,
        on_trouble: OnTrouble,
        seed: int,
    ) -> None:
        self._store = store
        self._is_relay = is_relay
        self._held_revision = held_revision
        self._on_config = on_config
        self._on_ranges = on_ranges
        self._on_boxes = on_boxes
        self._on_trouble = on_trouble
        self._rng = random.Random(seed)
        self._stopped = threading.Event()
        self._revision = 0
        self._seen_revision = 0
        self._config = self._part(self._read_config, lambda: math.inf)
        self._ranges = self._part(self._read_needed_ranges, lambda: RELAY_POLL_S)
        boxes = self._part(self._read_boxes, lambda: BOXES_POLL_S * self._rng.uniform(0.8, 1.2))
        self._parts = (self._config, self._ranges, boxes)
        self._threads = [
            threading.Thread(target=self._poll, daemon=True, name="store-poll"),
            threading.Thread(target=self._watch, daemon=True, name="store-watch"),
        ]

    def start(self) -> None:
        """Begin to read."""
        for thread in self._threads:
            thread.start()

    def stop(self) -> None:
        """End the threads at their next turn."""
        self._stopped.set()

    def propose(self, version: int, rows: tuple[RangeRow, ...]) -> RangeMap | None:
        """Try to replace a version of the range map; what the store holds afterwards.

        The revision that was read is the condition of the write, so a lost answer is resolved
        by the next read and no write is ever repeated blindly.
        """
        try:
            self._store.compare_and_swap(RANGES_KEY, dump_rows(rows), revision=version)
            return self.read_ranges()
        except StoreError as error:
            self._on_trouble(error.message)
            return None

    def read_ranges(self) -> RangeMap:
        """The range map in the store."""
        entry = self._store.get(RANGES_KEY)
        rows = parse_rows(entry.value) if entry.revision else ()
        return RangeMap(version=entry.revision, rows=rows)

    def _part(self, read: Callable[[], None], pause_s: Callable[[], float]) -> PolledPart:
        return PolledPart(read=read, pause_s=pause_s, on_trouble=self._on_trouble)

    def _poll(self) -> None:
        wait = 0.0
        while not self._stopped.wait(wait):
            for part in self._parts:
                part.turn(time.monotonic())
            wait = max(0.0, min(part.due_at for part in self._parts) - time.monotonic())

    def _read_config(self) -> None:
        self._take(self._store.get(CONFIG_KEY))

    def _read_needed_ranges(self) -> None:
        if self._is_relay() or not self._ranges.is_read:
            self._on_ranges(self.read_ranges())

    def _read_boxes(self) -> None:
        self._on_boxes(self._store.boxes())

    def _watch(self) -> None:
        wait = RETRY_S
        while not self._stopped.wait(wait):
            after = max(self._seen_revision, self._held_revision())
            if not self._is_relay() or not (after or self._config.is_read):
                wait = RETRY_S
                continue
            begun_at = time.monotonic()
            self._watch_once(after)
            wait = next_wait_s(wait, lasted_s=time.monotonic() - begun_at)

    def _watch_once(self, after: int) -> None:
        try:
            self._take_watched(after)
        except StoreError as error:
            self._on_trouble(error.message)
        except UNREADABLE as error:
            self._on_trouble(f"store sent something unreadable: {error!r}")

    def _take_watched(self, after: int) -> None:
        try:
            for entry in self._store.watch(CONFIG_KEY, after=after):
                self._take(entry)
                if self._stopped.is_set():
                    return
        except CompactedError as error:
            self._read_config()
            self._seen_revision = max(self._seen_revision, error.oldest - 1)

    def _take(self, entry: Entry) -> None:
        self._seen_revision = max(self._seen_revision, entry.revision)
        if entry.revision <= self._revision:
            return
        try:
            parse_document(entry.value)
        except CroftchuteError as error:
            self._on_trouble(f"configuration {entry.revision} is faulty: {error.message}")
            return
        self._revision = entry.revision
        self._on_config(entry)
