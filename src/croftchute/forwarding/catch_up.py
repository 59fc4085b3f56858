"""Fetching from a peer what it knows and what does not come here by itself.

One loop for each prefix, beside the notices: a long configuration on a slow link holds up neither
the notices of this box nor its list of workers.
"""

from __future__ import annotations

import asyncio
from collections.abc import Callable

from croftchute.errors import CroftchuteError
from croftchute.forwarding.decision_log import Decision
from croftchute.forwarding.hall_news import ask_known
from croftchute.forwarding.state import ForwardingState
from croftchute.forwarding.store_follower import StoreFollower
from croftchute.storage.watched import Listing
from croftchute.tables.peers import Peer

CHECK_S = 0.5
"""Seconds between two looks at what peers know: as often as they tell."""

FETCH_AFTER_S = 0.6
"""Seconds that the store, or the relay, is given to tell what a peer knows already."""


class CatchUp:
    """Keeps one prefix no older than what the live peers know of it."""

    def __init__(
        self,
        *,
        prefix: str,
        state: ForwardingState,
        newer_peer: Callable[[float], Peer | None],
        take: Callable[[Listing, Peer], None],
        on_change: Callable[[], None],
    ) -> None:
        self.prefix = prefix
        self.state = state
        self._newer_peer = newer_peer
        self._take = take
        self._on_change = on_change
        self._behind_since: float | None = None

    async def run(self) -> None:
        """Look and fetch; never returns."""
        while True:
            await self.check()
            await asyncio.sleep(CHECK_S * self.state.rng.uniform(0.8, 1.2))

    async def check(self) -> None:
        """Fetch, if a peer has known more for some time."""
        now = self.state.clock()
        peer = self._newer_peer(now)
        if peer is None:
            self._behind_since = None
            return
        if self._behind_since is None:
            self._behind_since = now
        is_new = self.state.table is None
        if is_new or now - self._behind_since >= FETCH_AFTER_S:
            await self._fetch(peer)

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
            workers_revision=state.workers.revision,
        )


def catch_ups(state: ForwardingState, follower: StoreFollower) -> tuple[CatchUp, CatchUp]:
    """Those of the configuration and of the worker list."""

    def with_newer_config(now: float) -> Peer | None:
        peer, _ = state.peers.newest(now, state.rng)
        version = state.table.version if state.table else 0
        return peer if peer is not None and peer.config_version > version else None

    def with_newer_list(now: float) -> Peer | None:
        _, peer = state.peers.newest(now, state.rng)
        return peer if peer is not None and peer.workers_revision > state.workers.revision else None

    def take_config(listing: Listing, peer: Peer) -> None:
        for item in listing.items:
            follower.take_config(item, source=peer.id)

    def take_workers(listing: Listing, peer: Peer) -> None:
        if listing.revision > state.workers.revision:
            follower.take_listing(listing, source=peer.id)

    config = CatchUp(
        prefix=follower.config.prefix,
        state=state,
        newer_peer=with_newer_config,
        take=take_config,
        on_change=follower.on_change,
    )
    workers = CatchUp(
        prefix=follower.workers.prefix,
        state=state,
        newer_peer=with_newer_list,
        take=take_workers,
        on_change=follower.on_change,
    )
    return config, workers
