"""Fetching from a peer what it knows and what does not come here by itself.

One loop for each prefix, beside the notices: a long configuration on a slow link holds up neither
the notices of this box nor its list of workers. It sleeps until a notice tells of something newer.
"""

from __future__ import annotations

import asyncio
from collections.abc import Callable

from croftchute.errors import CroftchuteError
from croftchute.forwarding.decision_log import Decision
from croftchute.forwarding.state import ForwardingState
from croftchute.forwarding.store.hall_news import ask_known
from croftchute.forwarding.store.store_follower import StoreFollower
from croftchute.peers.messages import BoxNotice
from croftchute.storage.position import told
from croftchute.storage.watched import Listing
from croftchute.tables.peers import Peer

RETRY_S = 0.5
"""Seconds between two fetches, as often as peers tell: one may fail, or bring too little."""

FETCH_AFTER_S = 0.6
"""Seconds that the store, or the relay, is given to tell what a peer knows already."""


class CatchUp:
    """Keeps one prefix no older than what the live peers know of it."""

    def __init__(
        self,
        *,
        prefix: str,
        state: ForwardingState,
        is_newer: Callable[[BoxNotice], bool],
        newer_peer: Callable[[float], Peer | None],
        take: Callable[[Listing, Peer], None],
        on_change: Callable[[], None],
    ) -> None:
        self.prefix = prefix
        self.state = state
        self._is_newer = is_newer
        self._newer_peer = newer_peer
        self._take = take
        self._on_change = on_change
        self._behind_since: float | None = None
        self._is_behind = asyncio.Event()

    def note_notice(self, notice: BoxNotice, now: float) -> None:
        """A peer told how things stand there: the time to catch up runs from here."""
        if self._behind_since is None and self._is_newer(notice):
            self._behind_since = now
            self._is_behind.set()

    async def run(self) -> None:
        """Fetch whenever peers have known more for some time; never returns."""
        while True:
            await self._is_behind.wait()
            await asyncio.sleep(self._wait_s(self.state.clock()))
            await self.check()

    async def check(self) -> None:
        """Fetch from a peer that still knows more, if there is one."""
        peer = self._newer_peer(self.state.clock())
        if peer is None:
            self._behind_since = None
            self._is_behind.clear()
            return
        await self._fetch(peer)
        if self._newer_peer(self.state.clock()) is not None:
            await asyncio.sleep(RETRY_S * self.state.rng.uniform(0.8, 1.2))

    def _wait_s(self, now: float) -> float:
        """How long the store, or the relay, still has to tell by itself."""
        if self._behind_since is None or self.state.table is None:
            return 0.0
        return max(0.0, self._behind_since + FETCH_AFTER_S - now)

    async def _fetch(self, peer: Peer) -> None:
        state = self.state
        try:
            listing = await ask_known(state, peer, self.prefix)
        except CroftchuteError as error:
            state.log.decide(
                Decision.PEER_FETCH,
                prefix=self.prefix,
                peer=peer.id,
                outcome="failed",
                detail=error.message,
            )
            return
        self._take(listing, peer)
        self._on_change()
        state.log.decide(
            Decision.PEER_FETCH,
            prefix=self.prefix,
            peer=peer.id,
            outcome="adopted",
            config_version=state.table.version if state.table else 0,
            workers_revision=told(state.workers.revision),
        )


def catch_ups(state: ForwardingState, follower: StoreFollower) -> tuple[CatchUp, CatchUp]:
    """Those of the configuration and of the worker list."""

    def tells_newer_config(notice: BoxNotice) -> bool:
        return notice.config_version > (state.table.version if state.table else 0)

    def tells_newer_list(notice: BoxNotice) -> bool:
        return notice.workers_revision > state.workers.known_to

    def with_newer_config(now: float) -> Peer | None:
        peer, _ = state.peers.newest(now, state.rng)
        version = state.table.version if state.table else 0
        return peer if peer is not None and peer.config_version > version else None

    def with_newer_list(now: float) -> Peer | None:
        _, peer = state.peers.newest(now, state.rng)
        return peer if peer is not None and peer.workers_revision > state.workers.known_to else None

    def take_config(listing: Listing, peer: Peer) -> None:
        for item in listing.items:
            follower.take_config(item, source=peer.id)

    def take_workers(listing: Listing, peer: Peer) -> None:
        # A removal leaves no entry: a list whose newest change is known here may lack others.
        if listing.revision > state.workers.known_to:
            follower.take_listing(listing, source=peer.id)

    config = CatchUp(
        prefix=follower.config.prefix,
        state=state,
        newer_peer=with_newer_config,
        take=take_config,
        is_newer=tells_newer_config,
        on_change=follower.on_change,
    )
    workers = CatchUp(
        prefix=follower.workers.prefix,
        state=state,
        newer_peer=with_newer_list,
        take=take_workers,
        is_newer=tells_newer_list,
        on_change=follower.on_change,
    )
    return config, workers
