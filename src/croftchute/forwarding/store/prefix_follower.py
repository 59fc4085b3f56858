"""Follows one prefix of the store: at the store itself, or through a relay of the hall."""

from __future__ import annotations

import asyncio
import math
from collections.abc import Callable, Coroutine
from dataclasses import dataclass, replace
from typing import Any, TypeVar

from croftchute.errors import MessageError, StoreError
from croftchute.forwarding.decision_log import Decision
from croftchute.forwarding.http.failures import AnswerLateError, ExchangeError
from croftchute.forwarding.http.transfer import LONG_BODY_BYTES
from croftchute.forwarding.state import ForwardingState
from croftchute.forwarding.store.hall_news import ask_known, ask_news
from croftchute.forwarding.store.news_log import NewsLog
from croftchute.forwarding.store.news_messages import ToldChanges
from croftchute.storage.position import era_of, told
from croftchute.storage.watched import (
    Changes,
    HistoryGoneError,
    Listing,
    SharedStore,
    StoredItem,
)
from croftchute.systems.hall_relays import MAX_PROOF_AGE_S, MIN_PROOF_AGE_S, HallRelays
from croftchute.systems.store_contact import WATCH_PERIOD_S, StoreContact
from croftchute.tables.peers import Peer

WATCH_MARGIN_S = 0.8
"""Seconds for the head of a watch's answer beside the waiting: two hundred times the usual."""

FRESH_MARGIN_S = 1.5
"""Seconds beside the waiting after which the store must have answered a relay."""

LOST_STORE_WAIT_S = 2.0
"""Mean seconds before a box that follows others calls the store again once a call has failed: all
boxes of a fleet would otherwise call a store that is down. News come from peers meanwhile."""

SPREAD_S = 0.2
"""Seconds over which the followers of a relay that failed begin to read the store."""

START_S = 3.0
"""Seconds after the start in which changes are gathered for longer: the workers of a fleet that
starts register one by one, peers are not known yet, and new boxes are not sent callers at once."""

START_PAUSE_S = 1.0
"""Seconds between two watches in that time."""

SLOW_TRANSFER_S = 0.5
"""Seconds that the body of a watch's answer takes from which on newer versions may have been
written meanwhile: the next watch would bring each of them at full length, a listing the newest."""

MIN_BACKOFF_S = 0.1
"""Seconds before a failed call is repeated at first."""

MAX_BACKOFF_S = 1.0
"""Seconds before a failed call is repeated at most: news must not be older by more."""

T = TypeVar("T")


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


@dataclass(frozen=True, kw_only=True, slots=True)
class PrefixHandlers:
    """What is done with the news of a prefix, and when the store has answered."""

    on_listing: Callable[[Listing], None]
    on_changes: Callable[[Changes], None]
    on_heard: Callable[[], None]
    on_store_answer: Callable[[], None]


class PrefixFollower:
    """One prefix: reads a listing once, then each change in its order, from whoever tells it.

    A box that follows a relay reads the store itself once it is not proven any more that it knows
    what the store says. A relay proves it whenever the store has answered it, in the answers to
    calls for one of the prefixes; the other goes by that, as a relay whose watch fails says so at
    once.
    """

    def __init__(
        self,
        *,
        prefix: str,
        pause_s: float,
        state: ForwardingState,
        store: SharedStore,
        relays: HallRelays,
        contact: StoreContact,
        handlers: PrefixHandlers,
        has_one_key: bool = False,
    ) -> None:
        self.prefix = prefix
        self.pause_s = pause_s
        self.state = state
        self.store = store
        self.relays = relays
        self.contact = contact
        self.handlers = handlers
        self.has_one_key = has_one_key
        self.log = NewsLog()
        self._dependency = Dependency(name=f"store:{prefix}", state=state)
        self._after: int | None = None
        self._backoff_s = MIN_BACKOFF_S
        self._relay_id = ""
        self._coming_since: float | None = None
        self._may_be_behind = False
        self._has_long_value = False
        self._known_at = -math.inf
        self._max_proof_age_s = MAX_PROOF_AGE_S
        self._read_by = -math.inf
        self._has_failed = False
        self._is_answer_coming = False

    async def run(self) -> None:
        """Follow the prefix; never returns."""
        while True:
            relay = self._relay()
            if relay is None or self._proof_left_s(relay) <= 0.0:
                await self._read_store()
            else:
                await self._ask_relay(relay)

    def _proof_left_s(self, relay: Peer) -> float:
        """Return the seconds for which it is proven that this box knows what the store says."""
        known_at = max(self._known_at, self.relays.known_at(relay.id))
        return known_at + self._max_proof_age_s - self.state.clock()

    def _relay(self) -> Peer | None:
        """Whom to ask; None for the store. A whole listing comes from the store alone."""
        if self._after is None:
            return None
        now = self.state.clock()
        return self.relays.relay_to_ask(self._hall_peers(now), now)

    def _hall_peers(self, now: float) -> list[Peer]:
        return self.state.peers.hall_peers(self.relays.hall, now)

    async def _read_store(self) -> None:
        self._note_source("", outcome="reads the store")
        self.relays.leave_relay(self.prefix)
        await self._wait_to_read()
        begun_at = self.state.clock()
        has_changes = True
        pause_s = 0.0
        try:
            if self._after is None:
                listing = await self.store.listing(self.prefix, on_progress=self._note_part)
                self._after = listing.revision
                self._note_length(listing.items)
                self.log.note_listing(listing)
                self.handlers.on_listing(listing)
            elif self._may_be_behind:
                await self._read_newest(self._after)
            else:
                has_changes = await self._watch(self._after)
                pause_s = self._pause_s
            self._dependency.answered()
            self._has_failed = False
            self._note_store_answer(begun_at, has_changes=has_changes)
            self._note_fresh()
            self._backoff_s = MIN_BACKOFF_S
            self.handlers.on_heard()
        except HistoryGoneError as error:
            self._dependency.failed(error)
            self.contact.note_failure(self.prefix)
            self._after = None
        except StoreError as error:
            self._dependency.failed(error)
            self.contact.note_failure(self.prefix)
            self.log.note_lost()
            self._has_failed = True
            self._may_be_behind = self._has_long_value
            await self._back_off()
            return
        await asyncio.sleep(pause_s)

    async def _wait_to_read(self) -> None:
        """Pause before the store is read, so that not all boxes of the hall do so at once."""
        now = self.state.clock()
        if self._has_failed and not self.relays.is_reader(self._hall_peers(now), now):
            await asyncio.sleep(LOST_STORE_WAIT_S * self.state.rng.uniform(0.5, 1.5))
            return
        longest_s = min(SPREAD_S, self._read_by - now)
        self._read_by = -math.inf
        if longest_s > 0.0:
            await asyncio.sleep(longest_s * self.state.rng.random())

    def _note_store_answer(self, begun_at: float, *, has_changes: bool) -> None:
        """Record what an answer of the store proves, here and for the boxes that follow this."""
        proven_at = self.contact.note_answer(
            self.prefix, begun_at=begun_at, now=self.state.clock(), has_changes=has_changes
        )
        self._known_at = max(self._known_at, proven_at)
        self._max_proof_age_s = self.state.rng.uniform(MIN_PROOF_AGE_S, MAX_PROOF_AGE_S)
        self.handlers.on_store_answer()

    async def _back_off(self) -> None:
        """Pause before the store is called again; longer each time until it answers."""
        await asyncio.sleep(self._backoff_s * self.state.rng.uniform(0.5, 1.0))
        self._backoff_s = min(MAX_BACKOFF_S, 2.0 * self._backoff_s)

    async def _watch(self, after: int) -> bool:
        """Wait for changes and take them in; return whether there were any."""
        self._coming_since = None
        now = self.state.clock()
        wait_s = self.contact.begin_watch(
            self.prefix, now, is_followed=self.relays.has_relay_duty(now)
        )
        changes = await self.store.changes(
            self.prefix,
            after=after,
            wait_s=wait_s,
            margin_s=WATCH_MARGIN_S,
            on_progress=self._note_part,
        )
        self._may_be_behind = self.has_one_key and self._was_slow()
        self._take(changes, after)
        return bool(changes.written or changes.removed)

    @property
    def _pause_s(self) -> float:
        """Seconds between two watches, in which changes gather."""
        is_new = self.state.clock() - self.state.started_at < START_S
        return START_PAUSE_S if is_new and self.pause_s else self.pause_s

    async def _read_newest(self, after: int) -> None:
        """Pass over the versions between the last one read and the newest one."""
        listing = await self.store.listing(self.prefix, on_progress=self._note_part)
        written = tuple(item for item in listing.items if item.revision > after)
        self._may_be_behind = bool(written)
        changes = Changes(
            written=written, removed=(), revision=listing.revision, newest=listing.newest
        )
        self._take(changes, after)

    def _note_part(self) -> None:
        """A part of the store's answer has come.

        Only a long value makes a relay fresh by that: of a list that comes slowly its followers
        are to hear elsewhere.
        """
        if self._coming_since is None:
            self._coming_since = self.state.clock()
        if self.has_one_key:
            self._note_fresh()

    def _was_slow(self) -> bool:
        since = self._coming_since
        return since is not None and self.state.clock() - since > SLOW_TRANSFER_S

    def _note_fresh(self) -> None:
        if not self.state.is_stopping:
            self.log.note_reading(self.state.clock() + WATCH_PERIOD_S + FRESH_MARGIN_S)

    async def _ask_relay(self, relay: Peer) -> None:
        self.log.note_lost()
        self._note_source(relay.id, outcome="follows a box of the hall")
        after = self._after or 0
        try:
            if era_of(relay.workers_revision) > era_of(after):
                await self._while_proven(relay, self._begin_anew_at(relay, after))
                return
            asked_at = self.state.clock()
            told = await self._while_proven(relay, self._ask_news(relay, after))
        except (ExchangeError, MessageError, StoreError) as error:
            # A relay that began later than this box does not know so far back: others, or the
            # store, still do, and a whole listing is not needed.
            self._read_by = self.state.clock() + max(0.0, self._proof_left_s(relay))
            self.relays.leave_relay(self.prefix)
            self.relays.skip_relay(relay.id, self.state.clock())
            self._note_source("", outcome=error.code.value, detail=error.message)
            return
        try:
            changes = await self._with_untold(told.changes)
        except StoreError as error:
            self._dependency.failed(error)
            await self._back_off()
            return
        self._backoff_s = MIN_BACKOFF_S
        self._take(changes, after)
        if told.proven_s is not None:
            known_at = min(asked_at + told.proven_s, self.state.clock())
            self.relays.note_proof(relay.id, known_at)
        self.handlers.on_heard()

    async def _ask_news(self, relay: Peer, after: int) -> ToldChanges:
        return await ask_news(
            self.state,
            relay,
            self.prefix,
            after=after,
            wants_proof=self.relays.needs_proof(self.prefix, relay.id),
            on_head=self._note_answer_coming,
        )

    def _note_answer_coming(self) -> None:
        """A long value that has begun to come is not given up for its length."""
        self._is_answer_coming = self.has_one_key

    async def _while_proven(self, relay: Peer, work: Coroutine[Any, Any, T]) -> T:
        """Wait for a relay while it is proven that this box knows what the store says.

        Raise AnswerLateError once it is not, whatever the relay's connection looks like.
        """
        self._is_answer_coming = False
        asking = asyncio.ensure_future(work)
        try:
            while not asking.done():
                left_s = self._proof_left_s(relay)
                if left_s <= 0.0 and not self._is_answer_coming:
                    raise AnswerLateError("no proof that the relay hears the store")
                await asyncio.wait({asking}, timeout=left_s if left_s > 0.0 else None)
            return asking.result()
        finally:
            if not asking.done():
                asking.cancel()
                await asyncio.wait({asking})

    async def _begin_anew_at(self, relay: Peer, after: int) -> None:
        """Take the whole of the prefix from a relay that has read a newer era of the store.

        All boxes of a hall would otherwise list from the store at once.
        """
        listing = await ask_known(self.state, relay, self.prefix)
        if era_of(listing.revision) <= era_of(after):
            raise HistoryGoneError(f"{relay.id} has not read this prefix in the newer era")
        self._after = listing.revision
        self._note_length(listing.items)
        self.handlers.on_listing(listing)
        self.handlers.on_heard()

    async def _with_untold(self, changes: Changes) -> Changes:
        """The same with the values that the relay did not pass on, as the store has them now."""
        found = [await self.store.item(key) for key in changes.untold]
        read = tuple(item for item in found if item is not None)
        return replace(changes, written=changes.written + read, untold=())

    def _note_length(self, items: tuple[StoredItem, ...]) -> None:
        """Whether a watch that failed had better not be asked for all versions since then."""
        if items and self.has_one_key:
            self._has_long_value = len(items[-1].value) >= LONG_BODY_BYTES

    def _take(self, changes: Changes, after: int) -> None:
        self._note_length(changes.written)
        self.log.note_changes(changes)
        self.handlers.on_changes(changes)
        self._after = max(after, changes.revision)

    def _note_source(self, relay_id: str, *, outcome: str, detail: str = "") -> None:
        """Write a line when the news begin to come from elsewhere."""
        if relay_id == self._relay_id:
            return
        previous, self._relay_id = self._relay_id, relay_id
        self.state.log.decide(
            Decision.NEWS_SOURCE,
            outcome=outcome,
            prefix=self.prefix,
            relay=relay_id,
            previous=previous,
            detail=detail,
            revision=told(self._after or 0),
        )
