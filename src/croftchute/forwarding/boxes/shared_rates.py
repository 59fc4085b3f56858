"""Rates that all boxes share, kept by pools: this box asks them, and is one for other boxes.

There is a group of limits for each kind of thing that is limited: organisations by the
configuration, and workers by their own word.
"""

from __future__ import annotations

import asyncio
import contextlib
import math
from collections.abc import Callable, Mapping, Sequence
from dataclasses import dataclass, replace
from typing import Protocol

from croftchute.forwarding.boxes.limits import GRANTED, Allowance, AllowanceOutcome
from croftchute.forwarding.decision_log import Decision
from croftchute.forwarding.state import ForwardingState
from croftchute.peers.messages import AllowanceAsk, AllowanceReply, Body
from croftchute.systems.allowance_pool import LEASE_S, AllowancePool, HasLimit
from croftchute.systems.fleet_size import FleetSize
from croftchute.systems.lent_share import LentShare
from croftchute.systems.prefetched_usage import PrefetchedUsage
from croftchute.systems.usage_bucket import LimitTerms
from croftchute.tables.allowances import UsageGrant, UsageReturn, UsageWant

ASK_INTERVAL_S = 0.33
"""Seconds between two askings at least, so that the lease goes on: a third of it."""

ANSWER_S = 0.06
"""Seconds until an asking is taken as lost: some ten times the way to another hall and back."""

ASK_TRIES = 4
"""Askings for one request: with two lost the pool is suspected, the last goes to the next one."""

WORTH_WAITING_S = 0.1
"""Longest wait for units that a request is held for: less than coming back would take it."""

DENIED_FOR_S = 0.2
"""Seconds for which a denial is repeated without asking: keeps callers that hammer cheap."""

SETTLED_SHARE = 0.5
"""Part of all limits from which on a pool is taken for the one that most boxes lend to."""

SETTLE_SPREAD_S = 0.15
"""Seconds over which held requests ask again, so that they do not do so together."""

POOL_NAMED_S = 10.0
"""Seconds of a life in which the pool on record is asked though it was not heard yet: by then most
boxes of a fleet of eighty know one another. It is asked no longer, as it may be gone for good."""

FIRST_ROUND_S = 0.05
"""Seconds between two askings while the share is not lent yet: the first brings the pool's clock,
without which no share can be lent, so that a limit that is new has its pool within two of them."""

NEW_LIMIT_S = 0.2
"""Seconds in which shares come together under the first limit after a while: boxes hear of it in
some 20 ms, and each needs two rounds of askings."""

MIN_PAUSE_S = 0.02
"""Shortest pause before a pool is asked again: it counts what shares bring in as often."""

HELD_SHARE_OF_TIME = 0.5
"""Share of the time that a caller still waits for which a request is held while boxes find their
pool. A refusal would cost the caller a way back and its target; what is left is enough to run."""

MAX_HELD_S = 1.5
"""Longest time for which a request is held there: by then shares have come together."""

MAX_NUMBER = (1 << 32) - 1
"""Numbers of askings that fit the wire; they begin again after that."""


@dataclass(kw_only=True, slots=True)
class _Denial:
    """What was denied lately, from how many units on, and until when it need not be asked for."""

    units: float
    until: float
    ready_at: float
    pool: str
    live_share: float


@dataclass(frozen=True, kw_only=True, slots=True)
class _PoolAnswer:
    """What a pool answered in time: the grant is None if nothing came."""

    pool: str
    grant: UsageGrant | None = None
    live_share: float = 0.0


class LimitSource(Protocol):
    """One kind of limits: which of them this box knows, and how strictly they are judged.

    ``asks_ahead``: boxes that use much ask for more than one request needs, and keep the rest.
    """

    terms: LimitTerms
    asks_ahead: bool

    def is_in_use(self) -> bool:
        """Whether there is such a limit at the moment; leases are kept up only then."""
        ...

    def known(self) -> Mapping[str, HasLimit]:
        """What is limited, by name."""
        ...

    def note_wanted(self, want: UsageWant) -> None:
        """Another box asks under a limit that it knows."""
        ...


class RateGroup:
    """The limits of one kind: their source, the pool kept here, and what this box has and lends.

    ``begun_at`` is when the pool was asked for the first time after a while without limits.
    """

    def __init__(self, *, number: int, source: LimitSource, state: ForwardingState) -> None:
        self.source = source
        self.pool = AllowancePool(terms=source.terms)
        self.share = LentShare(own_id=state.box, group=number, started_at=state.begun_at)
        self.asked_at = -math.inf
        self.begun_at = -math.inf
        self.returns: list[UsageReturn] = []
        self.prefetched_by_name: dict[str, PrefetchedUsage] = {}
        self.denials_by_name: dict[str, _Denial] = {}

    @property
    def converges_at(self) -> float:
        """When shares will have come together."""
        return max(self.share.converges_at, self.begun_at + NEW_LIMIT_S)

    def note_asked(self, now: float) -> None:
        """The pool is asked."""
        if now - self.asked_at > LEASE_S:
            self.begun_at = now
        self.asked_at = now

    def sweep(self, now: float) -> None:
        """Forget what is not used any more."""
        self.pool.sweep(self.source.known(), now)
        for name in [
            n for n, prefetched in self.prefetched_by_name.items() if prefetched.is_idle(now)
        ]:
            del self.prefetched_by_name[name]
        for name in [n for n, denial in self.denials_by_name.items() if denial.until <= now]:
            del self.denials_by_name[name]


class SharedRates:
    """Asks the pool of a limit before each use of it, unless something is left here."""

    def __init__(
        self,
        *,
        state: ForwardingState,
        sources: Sequence[LimitSource],
        size: FleetSize,
        tell: Callable[[str, Body], None],
    ) -> None:
        self.state = state
        self.size = size
        self.tell = tell
        self.groups = [
            RateGroup(number=number, source=source, state=state)
            for number, source in enumerate(sources)
        ]
        self._wake = asyncio.Event()
        self._answers_by_number: dict[int, asyncio.Future[AllowanceReply]] = {}
        self._number = 0

    # For requests.

    async def take(self, group: RateGroup, want: UsageWant, *, patience_s: float) -> Allowance:
        """Take what is wanted, or say when to come back."""
        now = self.state.clock()
        prefetched = group.prefetched_by_name.setdefault(want.name, PrefetchedUsage())
        prefetched.note_use(want.units, now)
        taken = prefetched.take(want.units, now)
        missing = want.units - sum(lot.units for lot in taken)
        if missing <= 0.0:
            return GRANTED
        denial = group.denials_by_name.get(want.name)
        if denial is not None and now < denial.until and missing >= denial.units:
            prefetched.restore(taken)
            return self._denied(denial, now)
        allowance = await self._ask_until_answered(
            group, replace(want, units=missing), patience_s=patience_s
        )
        if not allowance.is_granted:
            prefetched.restore(taken)
        return allowance

    def give_back(self, group: RateGroup, name: str, units: float) -> None:
        """The units go back to the pool with the next asking."""
        group.returns.append(UsageReturn(name=name, units=units))

    async def _ask_until_answered(
        self, group: RateGroup, want: UsageWant, *, patience_s: float
    ) -> Allowance:
        begun_at = self.state.clock()
        wait_ends_at = begun_at + min(WORTH_WAITING_S, patience_s)
        was_held = False
        for _ in range(ASK_TRIES):
            answer = await self._ask_for(group, want)
            grant = answer.grant
            now = self.state.clock()
            if grant is None:
                continue
            if grant.units >= want.units:
                group.prefetched_by_name[want.name].put(grant.units - want.units, now)
                return GRANTED
            if answer.live_share < SETTLED_SHARE and not was_held:
                was_held = await self._hold(group, begun_at, patience_s)
                wait_ends_at = self.state.clock() + WORTH_WAITING_S
                if was_held:
                    continue
            if now + grant.wait_s > wait_ends_at:
                return self._note_denied(group, want, grant, answer)
            await asyncio.sleep(grant.wait_s)
        if grant is not None:
            return self._note_denied(group, want, grant, answer)
        return Allowance(outcome=AllowanceOutcome.UNKNOWN, pool=group.share.pool)

    async def _hold(self, group: RateGroup, begun_at: float, patience_s: float) -> bool:
        """Hold a request until shares will have come together; False if that takes too long.

        Each request is held once: asking again and again, all that wait would overload the pool.
        """
        now = self.state.clock()
        ends_at = group.converges_at + SETTLE_SPREAD_S * self.state.rng.random()
        longest_s = min(MAX_HELD_S, HELD_SHARE_OF_TIME * patience_s)
        if not now < ends_at <= begun_at + longest_s:
            return False
        await asyncio.sleep(ends_at - now)
        return True

    async def _ask_for(self, group: RateGroup, want: UsageWant) -> _PoolAnswer:
        """The pool that was asked, and what it answered in time."""
        ahead = 0.0
        if group.source.asks_ahead:
            ahead = group.prefetched_by_name[want.name].units_to_prefetch(
                want.units, self.state.clock()
            )
        number = self._next_number()
        answer = asyncio.get_running_loop().create_future()
        self._answers_by_number[number] = answer
        try:
            pool = self._ask(group, number, (replace(want, extra=ahead),))
            async with asyncio.timeout(ANSWER_S):
                reply = await answer
                return _PoolAnswer(pool=pool, grant=reply.grants[0], live_share=reply.live_share)
        except TimeoutError:
            if group.share.note_timeout(pool, self.state.clock()):
                self.state.log.decide(
                    Decision.LIMIT_POOL_SILENT, pool=pool, group=group.share.group
                )
            return _PoolAnswer(pool=pool)
        finally:
            self._answers_by_number.pop(number, None)

    def _note_denied(
        self, group: RateGroup, want: UsageWant, grant: UsageGrant, answer: _PoolAnswer
    ) -> Allowance:
        now = self.state.clock()
        denial = _Denial(
            units=want.units,
            until=now + min(DENIED_FOR_S, grant.wait_s),
            ready_at=now + grant.wait_s,
            pool=answer.pool,
            live_share=answer.live_share,
        )
        group.denials_by_name[want.name] = denial
        return self._denied(denial, now)

    def _denied(self, denial: _Denial, now: float) -> Allowance:
        return Allowance(
            outcome=AllowanceOutcome.DENIED,
            wait_s=max(0.0, denial.ready_at - now),
            pool=denial.pool,
            live_share=denial.live_share,
        )

    # Askings and answers.

    def _ask(self, group: RateGroup, number: int, wants: tuple[UsageWant, ...]) -> str:
        """Ask the pool of a group, or give out of it if it is kept here; returns which it is."""
        now = self.state.clock()
        group.note_asked(now)
        share = self.size.share(self.state.peers.known_boxes)
        lease = group.share.renew_lease(self._candidates(now), share, now)
        returns, group.returns = tuple(group.returns), []
        ask = AllowanceAsk(
            number=number,
            group=group.share.group,
            share=lease.share,
            echo=lease.echo,
            wants=wants,
            returns=returns,
            is_first=lease.is_first,
        )
        if lease.pool == self.state.box:
            self.note_reply(lease.pool, self._answer(lease.pool, ask))
        else:
            self.tell(lease.pool, ask)
        return lease.pool

    def _candidates(self, now: float) -> list[str]:
        """Boxes that may keep the pool: those heard of, and the one on record until it is heard."""
        boxes = self.state.peers.reachable(now)
        recorded = self.size.pool
        is_young = now - self.state.begun_at < POOL_NAMED_S
        if recorded and is_young and recorded not in self.state.peers.peers_by_id:
            boxes.append(recorded)
        return boxes

    def note_ask(self, sender: str, ask: AllowanceAsk) -> AllowanceReply | None:
        """Another box asks the pool that is kept here; the answer, if there is such a pool."""
        return self._answer(sender, ask) if 0 <= ask.group < len(self.groups) else None

    def note_reply(self, sender: str, reply: AllowanceReply) -> None:
        """A pool answered; what comes too late for its request is not used."""
        if not 0 <= reply.group < len(self.groups):
            return
        group = self.groups[reply.group]
        group.share.note_reply(sender, reply.stamp, self.state.clock())
        if sender != self.state.box:
            self.size.note_reported(reply.boxes)
        answer = self._answers_by_number.pop(reply.number, None)
        if answer is not None and not answer.done() and reply.grants:
            answer.set_result(reply)

    def _answer(self, sender: str, ask: AllowanceAsk) -> AllowanceReply:
        now = self.state.clock()
        source = self.groups[ask.group].source
        for want in ask.wants:
            source.note_wanted(want)
        pool = self.groups[ask.group].pool
        pool.lend(sender, ask.share, echo=ask.echo, now=now, is_first=ask.is_first)
        for returned in ask.returns:
            pool.return_units(returned)
        known = source.known()
        return AllowanceReply(
            number=ask.number,
            group=ask.group,
            stamp=now,
            boxes=self.size.boxes(self.state.peers.known_boxes) if self.size.is_known else 0,
            grants=tuple(pool.grant(want, known, now) for want in ask.wants),
            live_share=pool.live_share(now),
        )

    # Beside the requests.

    def is_in_use(self) -> bool:
        """Whether there is any limit at the moment."""
        return any(group.source.is_in_use() for group in self.groups)

    def is_main_pool(self) -> bool:
        """Whether most boxes lend to a pool that is kept here, this one among them."""
        now = self.state.clock()
        return any(
            group.share.pool == self.state.box and group.pool.live_share(now) >= SETTLED_SHARE
            for group in self.groups
        )

    def begin_soon(self) -> None:
        """A limit is new: lend the share under it without waiting for the next renewal."""
        self._wake.set()

    async def run(self) -> None:
        """Keep the leases up while there is some limit; never returns."""
        while True:
            with contextlib.suppress(TimeoutError):
                async with asyncio.timeout(self._renewal_pause_s()):
                    await self._wake.wait()
            self._wake.clear()
            now = self.state.clock()
            for group in self.groups:
                if group.source.is_in_use():
                    self._renew(group, now)

    def _renewal_pause_s(self) -> float:
        """Until the next renewal; the first share is lent as soon as it may be."""
        pause_s = ASK_INTERVAL_S * self.state.rng.uniform(0.8, 1.2)
        until_first_s = self.state.begun_at + LEASE_S - self.state.clock()
        if until_first_s > 0.0:
            return min(pause_s, until_first_s + MIN_PAUSE_S)
        now = self.state.clock()
        is_waiting = any(g.source.is_in_use() and not g.share.is_lent(now) for g in self.groups)
        return min(pause_s, FIRST_ROUND_S) if is_waiting else pause_s

    def _renew(self, group: RateGroup, now: float) -> None:
        if now - group.asked_at >= ASK_INTERVAL_S / 2 or not group.share.is_lent(now):
            self._ask(group, self._next_number(), ())
            group.share.note_timeout(group.share.pool, now)
        group.sweep(now)

    def _next_number(self) -> int:
        self._number = self._number + 1 if self._number < MAX_NUMBER else 1
        return self._number
