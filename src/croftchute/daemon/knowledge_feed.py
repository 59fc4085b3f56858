"""What a box learns from the store and from peers, and how it takes it in."""

from __future__ import annotations

import threading
from dataclasses import replace
from typing import Protocol

import urllib3
from loguru import logger

from croftchute.commands import Command, ProposeRangeMap
from croftchute.config.checks import parse_document
from croftchute.daemon.runner import Job
from croftchute.daemon.shared_state import SharedState, fetch_shared
from croftchute.daemon.store_sync import StoreSync
from croftchute.errors import CroftchuteError
from croftchute.peers.codec import Codec
from croftchute.policies.runner import PolicyRunner
from croftchute.settings import Settings
from croftchute.storage.store import Entry, ListedBox
from croftchute.systems.box import BoxSystems
from croftchute.tables.boxes import Box
from croftchute.tables.dedupe import RangeMap
from croftchute.timeline.events import Event, Kind


class KnowledgeHolder(Protocol):
    """The box that knowledge is for: its systems, and what they share with its other parts."""

    systems: BoxSystems
    codec: Codec
    settings: Settings
    stopping: threading.Event
    shared: SharedState
    sync: StoreSync
    policies: PolicyRunner

    def submit(self, job: Job) -> None:
        """Have something done by the thread that runs the systems."""
        ...

    def note(self, event: Event) -> None:
        """Put an event on the time line."""
        ...


class KnowledgeFeed:
    """Hands configurations, range maps and box lists to the box's systems, newest only."""

    def __init__(self, *, box: KnowledgeHolder) -> None:
        self._box = box
        self._pool = urllib3.PoolManager(retries=False, maxsize=4)
        self._fetching = threading.Lock()

    def fetch(self, box_id: str) -> None:
        """Fetch what a peer knows of configuration and ranges, unless a fetch is under way.

        It is ordered again as long as peers tell of something newer, so nothing is missed; a
        second copy over the same link would only make both late.
        """
        box = self._box.systems.membership.boxes_by_id.get(box_id)
        if box is None or not self._fetching.acquire(blocking=False):
            return
        try:
            self._fetch_from(f"http://{box.address}:{box.admin_port}")
        finally:
            self._fetching.release()

    def _fetch_from(self, url: str) -> bool:
        try:
            state = fetch_shared(self._pool, url, self._box.codec)
        except CroftchuteError as error:
            logger.bind(detail=error.message).warning("fetch_failed")
            return False
        if state.revision:
            self._config_found(state.revision, state.raw)
        self.ranges_found(state.ranges)
        return state.revision > 0

    def ask_settings_peers(self) -> None:
        """Ask the peers of the settings in turn, until one has a configuration."""
        for peer in self._box.settings.peers:
            if self._box.stopping.is_set() or self._box.shared.revision:
                return
            with self._fetching:
                is_found = self._fetch_from(f"http://{peer.address}:{peer.admin_port}")
            if is_found:
                return

    def propose(self, command: ProposeRangeMap) -> None:
        """Propose a range map to the store; take in what came of it."""
        found = self._box.sync.propose(command.version, command.rows)
        if found is not None:
            self.ranges_found(found)

    def config_from_store(self, entry: Entry) -> None:
        """Take in a configuration that the store holds."""
        self._config_found(entry.revision, entry.value)

    def _config_found(self, revision: int, raw: bytes) -> None:
        document = parse_document(raw)

        def apply(now: float) -> list[Command]:
            if revision <= self._box.shared.revision:
                return []
            self._box.shared = replace(
                self._box.shared, revision=revision, raw=raw, document=document
            )
            self._box.policies.load(document)
            return self._box.systems.apply_config(document, revision, now)

        self._box.submit(apply)

    def ranges_found(self, ranges: RangeMap) -> None:
        """Take in a range map, if it is newer."""

        def apply(now: float) -> list[Command]:
            if ranges.version <= self._box.shared.ranges.version:
                return []
            self._box.shared = replace(self._box.shared, ranges=ranges)
            return self._box.systems.apply_range_map(ranges, now)

        self._box.submit(apply)

    def boxes_listed(self, listed: list[ListedBox]) -> None:
        """Take in the platform's list of boxes."""
        boxes = [
            Box(
                id=row.id,
                hall=row.hall,
                address=row.address,
                peer_port=row.peer_port,
                admin_port=row.admin_port,
            )
            for row in listed
        ]
        names = frozenset(row.id for row in listed)

        def apply(_: float) -> list[Command]:
            self._box.systems.add_boxes(boxes)
            self._box.systems.dedupe.boxes_listed(names)
            return []

        self._box.submit(apply)

    def store_trouble(self, message: str) -> None:
        """Put a failure of the store on the time line."""
        self._box.note(Event(kind=Kind.STORE_DOWN, detail=message[:200]))
