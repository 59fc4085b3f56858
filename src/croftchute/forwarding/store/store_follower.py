"""Keeping the routing table and the worker list as new as the store allows."""

from __future__ import annotations

import math
from collections.abc import Callable
from http import HTTPStatus

from croftchute.errors import DocumentError
from croftchute.forwarding.decision_log import MAX_LOGGED_CHARS, Decision
from croftchute.forwarding.state import ForwardingState
from croftchute.forwarding.store.hall_news import Answer, answer_known, answer_news, prefix_of
from croftchute.forwarding.store.prefix_follower import PrefixFollower, PrefixHandlers
from croftchute.forwarding.workers.worker_restart import close_stale_connections
from croftchute.storage.position import era_of, position, told
from croftchute.storage.watched import Changes, Listing, SharedStore, StoredItem, Vocabulary
from croftchute.systems.hall_relays import HallRelays
from croftchute.systems.store_contact import StoreContact
from croftchute.tables.routing import RoutingTable

WORKERS_PAUSE_S = 0.25
"""Seconds between two watches of the workers: gathers changes; 0.8 broke a bound (finding 27)."""

UNREADABLE_LOG_S = 1.0
"""Seconds between two lines about entries that name no worker in use: a writer that spoils 1,000
entries a second costs a line a second."""

MAX_KEY_LOGGED = 100
MAX_DETAIL_LOGGED = 200
"""Most characters of a foreign key and of what is wrong with it in one line."""


class StoreFollower:
    """Follows two prefixes of the store: the configuration and the worker list."""

    def __init__(
        self,
        *,
        state: ForwardingState,
        store: SharedStore,
        vocabulary: Vocabulary,
        on_change: Callable[[], None],
        link_mbps: float = 0.0,
    ) -> None:
        self.state = state
        self.vocabulary = vocabulary
        self.on_change = on_change
        self.relays = HallRelays(own_id=state.box, hall=state.zone, own_mbps=link_mbps)
        self.contact = StoreContact()
        self._store = store
        self._unreadable = 0
        self._unreadable_logged_at = -math.inf
        self.config = self._follow(
            vocabulary.config_prefix,
            0.0,
            self._config_listed,
            self._config_changed,
            has_one_key=True,
        )
        self.workers = self._follow(
            vocabulary.workers_prefix, WORKERS_PAUSE_S, self._workers_listed, self._workers_changed
        )

    def _follow(
        self,
        prefix: str,
        pause_s: float,
        on_listing: Callable[[Listing], None],
        on_changes: Callable[[Changes], None],
        *,
        has_one_key: bool = False,
    ) -> PrefixFollower:
        handlers = PrefixHandlers(
            on_listing=on_listing,
            on_changes=on_changes,
            on_heard=self.on_change,
            on_store_answer=self._tell_proof,
        )
        return PrefixFollower(
            prefix=prefix,
            pause_s=pause_s,
            state=self.state,
            store=self._store,
            relays=self.relays,
            contact=self.contact,
            handlers=handlers,
            has_one_key=has_one_key,
        )

    def _tell_proof(self) -> None:
        """Tell the boxes that follow this one that the store has answered it."""
        self.config.log.note_proof()
        self.workers.log.note_proof()

    @property
    def is_relay(self) -> bool:
        """Whether this box reads the store itself, for others or for want of a relay."""
        now = self.state.clock()
        hall_peers = self.state.peers.hall_peers(self.state.zone, now)
        return self.relays.relay_to_ask(hall_peers, now) is None

    # What other boxes ask.

    async def answer_news(self, target: str) -> Answer:
        """What a box that follows this one wants to know."""
        self.relays.note_asked(self.state.clock())
        follower = self._follower(target)
        if follower is None:
            return HTTPStatus.NOT_FOUND, b""
        return await answer_news(follower.log, target, self.state, self.contact)

    def answer_known(self, target: str) -> Answer:
        """What a box that is behind wants to know."""
        follower = self._follower(target)
        if follower is None:
            return HTTPStatus.NOT_FOUND, b""
        is_config = follower is self.config
        return answer_known(self._known_config() if is_config else self._known_workers())

    def stop_telling(self) -> None:
        """Send the boxes that follow this one elsewhere."""
        self.config.log.note_lost()
        self.workers.log.note_lost()

    def _follower(self, target: str) -> PrefixFollower | None:
        prefix = prefix_of(target)
        followers = (self.config, self.workers)
        return next((found for found in followers if found.prefix == prefix), None)

    def _known_config(self) -> Listing:
        item = self.state.table_item
        items = (item,) if item is not None else ()
        return Listing(items=items, revision=item.revision if item is not None else 0)

    def _known_workers(self) -> Listing:
        workers = self.state.workers
        items = tuple(
            tracked.item
            for tracked in workers.tracked_by_id.values()
            if tracked.gone_at is None and tracked.item is not None
        )
        return Listing(items=items, revision=workers.revision)

    # The configuration.

    def _config_listed(self, listing: Listing) -> None:
        self.state.note_position(listing.revision)
        for item in listing.items:
            self.take_config(item, source="store")
        self.state.table_at = self.state.clock()

    def _config_changed(self, changes: Changes) -> None:
        for item in changes.written:
            self.take_config(item, source="store")
        self.state.table_at = self.state.clock()

    def take_config(self, item: StoredItem, *, source: str) -> None:
        """Put a configuration in force, if it is sound and newer than the present one."""
        if item.key != self.vocabulary.config_key or item == self.state.table_item:
            return
        try:
            table = self.vocabulary.routing_table(item)
        except DocumentError as error:
            self.state.log.decide(
                Decision.CONFIG_REJECTED, revision=told(item.revision), detail=error.message
            )
            return
        is_adopted = adopt_table(self.state, table, source=source, revision=item.revision)
        if is_adopted or self._is_written_again(table, item):
            self.state.table_item = item

    def _is_written_again(self, table: RoutingTable, item: StoredItem) -> bool:
        """Whether the version in force stands at a later position: it is passed on from there."""
        in_force, present = self.state.table, self.state.table_item
        if in_force is None or present is None or in_force.version != table.version:
            return False
        return item.revision > present.revision

    # The worker list.

    def _workers_listed(self, listing: Listing) -> None:
        self.take_listing(listing, source="store")

    def take_listing(self, listing: Listing, *, source: str) -> None:
        """Take in a whole worker list; those that it does not name are gone."""
        now = self.state.clock()
        workers = self.state.workers
        is_restored = era_of(listing.revision) > era_of(workers.revision) and workers.revision > 0
        self.state.note_position(listing.revision)
        names = {self.vocabulary.worker_name(item.key) for item in listing.items}
        for item in listing.items:
            self._take_worker(item)
        gone = workers.keep_only(names, now, at=listing.revision, is_mass_expiry=is_restored)
        self._log_gone(gone, revision=listing.revision, source=source)
        # Pages are read one by one: an entry may be newer than a removal that is missing here.
        newest = min(listing.newest, listing.revision) if source == "store" else listing.revision
        # A list that names nobody is of its era all the same.
        self._heard(max(newest, position(era_of(listing.revision), 0)), known_to=listing.revision)

    def _workers_changed(self, changes: Changes) -> None:
        for item in changes.written:
            self._take_worker(item)
        names = [self.vocabulary.worker_name(key) for key in changes.removed]
        gone = self.state.workers.remove(names, self.state.clock(), at=changes.revision)
        self._log_gone(gone, revision=changes.revision, source="watch")
        self._heard(changes.newest, known_to=changes.revision)

    def _log_gone(self, worker_ids: list[str], *, revision: int, source: str) -> None:
        for worker_id in worker_ids:
            self.state.log.decide(
                Decision.WORKER_GONE,
                outcome="lapsed" if self.state.workers.is_mass_expired(worker_id) else "removed",
                worker=worker_id,
                revision=told(revision),
                source=source,
            )

    def _take_worker(self, item: StoredItem) -> None:
        try:
            worker = self.vocabulary.worker(item)
        except DocumentError as error:
            self._take_unreadable(item, error)
            return
        is_changed = self.state.workers.upsert(worker, self.state.clock(), item)
        for ended in self.state.workers.take_ended():
            close_stale_connections(self.state, ended, revision=item.revision)
        if is_changed:
            self.state.log.decide(
                Decision.WORKER_LISTED,
                worker=worker.id,
                service=worker.service,
                address=worker.address,
                zone=worker.zone,
                outcome=worker.state.value,
                stage=worker.stage.value if worker.stage else "",
                software=worker.software[:MAX_LOGGED_CHARS],
                revision=told(item.revision),
            )

    def _take_unreadable(self, item: StoredItem, error: DocumentError) -> None:
        """An entry that names no worker: one that was in use gets a line, others one a second."""
        now = self.state.clock()
        self._unreadable += 1
        name = self.vocabulary.worker_name(item.key)
        was_in_use = self.state.workers.note_unreadable(name, item)
        if not was_in_use and now < self._unreadable_logged_at + UNREADABLE_LOG_S:
            return
        self._unreadable_logged_at = now
        self.state.log.decide(
            Decision.ENTRY_REFUSED,
            outcome="withheld" if was_in_use else "passed over",
            key=item.key[:MAX_KEY_LOGGED],
            revision=told(item.revision),
            detail=error.message[:MAX_DETAIL_LOGGED],
            refused_in_all=self._unreadable,
        )

    def _heard(self, revision: int, *, known_to: int) -> None:
        workers = self.state.workers
        workers.note_known(revision, known_to=known_to)
        workers.heard_at = self.state.clock()


def adopt_table(state: ForwardingState, table: RoutingTable, *, source: str, revision: int) -> bool:
    """Put a configuration in force, if it is newer than the present one."""
    present = state.table
    if present is not None and table.version <= present.version:
        return False
    state.table = table
    state.table_at = state.clock()
    state.metrics.config_version.set({}, table.version)
    state.log.decide(
        Decision.CONFIG_IN_FORCE,
        outcome="adopted",
        version=table.version,
        previous=present.version if present is not None else 0,
        revision=told(revision),
        source=source,
        routes=sum(len(routes) for routes in table.routes_by_host.values()),
    )
    return True
