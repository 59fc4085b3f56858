"""Keeping the routing table and the worker list as new as the store allows."""

from __future__ import annotations

import asyncio
from collections.abc import Callable

from croftchute.errors import DocumentError, StoreError
from croftchute.forwarding.decision_log import Decision
from croftchute.forwarding.state import ForwardingState
from croftchute.storage.watched import (
    Changes,
    HistoryGoneError,
    Listing,
    StoredItem,
    Vocabulary,
    WatchedStore,
)
from croftchute.tables.routing import RoutingTable

WATCH_WAIT_S = 10.0
"""Seconds that a watch waits for a change: few calls, and a third of the longest allowed."""

MIN_BACKOFF_S = 0.1
"""Seconds before a failed call is repeated at first."""

MAX_BACKOFF_S = 1.0
"""Seconds before a failed call is repeated at most: news must not be older by more."""

WORKERS_PAUSE_S = 0.25
"""Seconds between two watches of the workers: gathers changes; 0.8 broke a bound (finding 27)."""


class Dependency:
    """Whether something the process depends on answers; logs each loss and return once."""

    def __init__(self, *, name: str, state: ForwardingState) -> None:
        self.name = name
        self.state = state
        self.is_lost = False
        self.heard_at = state.clock()

    def answered(self) -> None:
        """It answered."""
        now = self.state.clock()
        if self.is_lost:
            silent_s = round(now - self.heard_at, 2)
            self.state.log.decide(
                Decision.DEPENDENCY_REGAINED, dependency=self.name, silent_s=silent_s
            )
        self.is_lost = False
        self.heard_at = now

    def failed(self, error: StoreError) -> None:
        """It did not answer, or refused."""
        if self.is_lost:
            return
        self.is_lost = True
        self.state.log.decide(
            Decision.DEPENDENCY_LOST,
            dependency=self.name,
            outcome=error.code.value,
            detail=error.message,
            last_heard_s=round(self.state.clock() - self.heard_at, 2),
        )


class StoreFollower:
    """Follows two prefixes of the store: the configuration and the worker list."""

    def __init__(
        self,
        *,
        state: ForwardingState,
        store: WatchedStore,
        vocabulary: Vocabulary,
        on_change: Callable[[], None],
    ) -> None:
        self.state = state
        self.store = store
        self.vocabulary = vocabulary
        self.on_change = on_change

    async def follow_config(self) -> None:
        """Keep the routing table new; never returns."""
        await self._follow(
            self.vocabulary.config_prefix, self._config_listed, self._config_changed, 0.0
        )

    async def follow_workers(self) -> None:
        """Keep the worker list new; never returns."""
        await self._follow(
            self.vocabulary.workers_prefix,
            self._workers_listed,
            self._workers_changed,
            WORKERS_PAUSE_S,
        )

    async def _follow(
        self,
        prefix: str,
        on_listing: Callable[[Listing], None],
        on_changes: Callable[[Changes], None],
        pause_s: float,
    ) -> None:
        dependency = Dependency(name=f"store:{prefix}", state=self.state)
        after: int | None = None
        backoff_s = MIN_BACKOFF_S
        while True:
            try:
                if after is None:
                    listing = await self.store.listing(prefix)
                    on_listing(listing)
                    after = listing.revision
                else:
                    changes = await self.store.changes(prefix, after=after, wait_s=WATCH_WAIT_S)
                    on_changes(changes)
                    after = max(after, changes.revision)
                    await asyncio.sleep(pause_s)
                dependency.answered()
                backoff_s = MIN_BACKOFF_S
                self.on_change()
            except HistoryGoneError as error:
                dependency.failed(error)
                after = None
            except StoreError as error:
                dependency.failed(error)
                await asyncio.sleep(backoff_s * self.state.rng.uniform(0.5, 1.0))
                backoff_s = min(MAX_BACKOFF_S, 2.0 * backoff_s)

    # The configuration.

    def _config_listed(self, listing: Listing) -> None:
        for item in listing.items:
            self.take_config(item, source="store")
        self.state.table_at = self.state.clock()

    def _config_changed(self, changes: Changes) -> None:
        for item in changes.written:
            self.take_config(item, source="store")
        self.state.table_at = self.state.clock()

    def take_config(self, item: StoredItem, *, source: str) -> None:
        """Put a configuration in force, if it is sound and newer than the present one."""
        if item.key != self.vocabulary.config_key:
            return
        try:
            table = self.vocabulary.routing_table(item)
        except DocumentError as error:
            self.state.log.decide(
                Decision.CONFIG_REJECTED, revision=item.revision, detail=error.message
            )
            return
        if adopt_table(self.state, table, source=source, revision=item.revision):
            self.state.table_item = item

    # The worker list.

    def _workers_listed(self, listing: Listing) -> None:
        self.take_listing(listing, source="store")

    def take_listing(self, listing: Listing, *, source: str) -> None:
        """Take in a whole worker list; those that it does not name are gone."""
        now = self.state.clock()
        ids = {self.vocabulary.worker_id(item.key) for item in listing.items}
        for item in listing.items:
            self._take_worker(item)
        gone = self.state.workers.keep_only(ids, now)
        self._log_gone(gone, revision=listing.revision, source=source)
        self._heard(listing.newest if source == "store" else listing.revision)

    def _workers_changed(self, changes: Changes) -> None:
        for item in changes.written:
            self._take_worker(item)
        ids = [self.vocabulary.worker_id(key) for key in changes.removed]
        gone = self.state.workers.remove(ids, self.state.clock())
        self._log_gone(gone, revision=changes.revision, source="watch")
        self._heard(changes.newest)

    def _log_gone(self, worker_ids: list[str], *, revision: int, source: str) -> None:
        for worker_id in worker_ids:
            self.state.log.decide(
                Decision.WORKER_GONE,
                outcome="lapsed" if self.state.workers.has_lapsed(worker_id) else "removed",
                worker=worker_id,
                revision=revision,
                source=source,
            )

    def _take_worker(self, item: StoredItem) -> None:
        try:
            worker = self.vocabulary.worker(item)
        except DocumentError as error:
            self.state.log.decide(
                Decision.CONFIG_REJECTED, revision=item.revision, detail=error.message
            )
            return
        if self.state.workers.upsert(worker, self.state.clock(), item):
            self.state.log.decide(
                Decision.WORKER_LISTED,
                worker=worker.id,
                service=worker.service,
                address=worker.address,
                zone=worker.zone,
                outcome=worker.state.value,
                stage=worker.stage.value if worker.stage else "",
                revision=item.revision,
            )

    def _heard(self, revision: int) -> None:
        workers = self.state.workers
        workers.revision = max(workers.revision, revision)
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
        revision=revision,
        source=source,
        routes=sum(len(routes) for routes in table.routes_by_host.values()),
    )
    return True
