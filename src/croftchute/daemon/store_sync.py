"""Keeping up with the platform's store: one read at start, a watch at relays, slow polls else."""

from __future__ import annotations

import json
import random
import threading
from collections.abc import Callable

from croftchute.config.checks import parse_document
from croftchute.errors import CroftchuteError, StoreError
from croftchute.storage.store import CONFIG_KEY, RANGES_KEY, Entry, ListedBox, Store
from croftchute.tables.dedupe import RangeMap, RangeRow, dump_rows, parse_rows

RELAY_POLL_S = 2.0
BOXES_POLL_S = 20.0
RETRY_S = 0.5
MAX_RETRY_S = 5.0

OnConfig = Callable[[Entry], None]
OnRanges = Callable[[RangeMap], None]
OnBoxes = Callable[[list[ListedBox]], None]
OnTrouble = Callable[[str], None]


class StoreSync:
    """Threads that read the store; what they find goes to the callbacks."""

    def __init__(
        self,
        *,
        store: Store,
        is_relay: Callable[[], bool],
        on_config: OnConfig,
        on_ranges: OnRanges,
        on_boxes: OnBoxes,
        on_trouble: OnTrouble,
        seed: int,
    ) -> None:
        self._store = store
        self._is_relay = is_relay
        self._on_config = on_config
        self._on_ranges = on_ranges
        self._on_boxes = on_boxes
        self._on_trouble = on_trouble
        self._rng = random.Random(seed)
        self._stopped = threading.Event()
        self._revision = 0
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

    def _poll(self) -> None:
        next_boxes = 0.0
        waited = 0.0
        wait = 0.0
        started = False
        while not self._stopped.wait(wait):
            waited += wait
            wait = RELAY_POLL_S
            try:
                if not started:
                    self._take(self._store.get(CONFIG_KEY))
                if not started or self._is_relay():
                    self._on_ranges(self.read_ranges())
                if waited >= next_boxes:
                    self._on_boxes(self._store.boxes())
                    next_boxes = waited + BOXES_POLL_S * self._rng.uniform(0.8, 1.2)
                started = True
            except StoreError as error:
                self._on_trouble(error.message)
                wait = RETRY_S if not started else RELAY_POLL_S
            except (ValueError, KeyError, TypeError, json.JSONDecodeError) as error:
                self._on_trouble(f"store holds something unreadable: {error}")

    def _watch(self) -> None:
        wait = RETRY_S
        while not self._stopped.wait(wait):
            if not self._is_relay():
                wait = RETRY_S
                continue
            try:
                self._take(self._store.get(CONFIG_KEY))
                for entry in self._store.watch(CONFIG_KEY, after=self._revision):
                    self._take(entry)
                    wait = RETRY_S
            except StoreError as error:
                self._on_trouble(error.message)
                wait = min(MAX_RETRY_S, wait * 2)

    def _take(self, entry: Entry) -> None:
        if entry.revision <= self._revision:
            return
        try:
            parse_document(entry.value)
        except CroftchuteError as error:
            self._on_trouble(f"configuration {entry.revision} is faulty: {error.message}")
            return
        self._revision = entry.revision
        self._on_config(entry)
