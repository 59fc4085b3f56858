"""Limits of organisations kept by pools: this box asks them, and is one for other boxes."""

from __future__ import annotations

import asyncio
import math
from collections.abc import Callable, Mapping
from dataclasses import dataclass, field

from croftchute.forwarding.decision_log import Decision
from croftchute.forwarding.limits import GRANTED, Allowance, AllowanceOutcome
from croftchute.forwarding.state import ForwardingState
from croftchute.peers.messages import AllowanceAsk, AllowanceReply, Body
from croftchute.systems.allowance_pool import LEASE_S, AllowancePool
from croftchute.systems.fleet_size import FleetSize
from croftchute.systems.lent_share import GROUPS, LentShare, group_of
from croftchute.systems.usage_bucket import LimitTerms
from croftchute.systems.usage_purse import UsagePurse
from croftchute.tables.allowances import UsageGrant, UsageReturn, UsageWant
from croftchute.tables.organisations import Organisation, UsageLimit

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


@dataclass(kw_only=True)
class _Group:
    """One group of organisations: the pool kept here, and this box's share."""

    pool: AllowancePool
    share: LentShare
    asked_at: float = -math.inf
    returns: list[UsageReturn] = field(default_factory=list)


class PooledLimits:
    """Asks the pool of an organisation before each request, unless something is left here."""

    def __init__(
        self,
        *,
        state: ForwardingState,
        terms: LimitTerms,
        size: FleetSize,
        tell: Callable[[str, Body], None],
    ) -> None:
        self.state = state
        self.size = size
        self.tell = tell
        self.purses_by_name: dict[str, UsagePurse] = {}
        self.groups = [
            _Group(
                pool=AllowancePool(terms=terms),
                share=LentShare(own_id=state.box, group=number, started_at=state.begun_at),
            )
            for number in range(GROUPS)
        ]
        self._denials_by_name: dict[str, _Denial] = {}
        self._answers_by_number: dict[int, asyncio.Future[AllowanceReply]] = {}
        self._number = 0

    # For requests.

    async def admit(
        self, organisation: Organisation, units: float, *, patience_s: float
    ) -> Allowance:
        """Take units for a request, or say when to come back."""
        limit = organisation.limit
        if limit is None:
            return GRANTED
        now = self.state.clock()
        purse = self.purses_by_name.setdefault(organisation.name, UsagePurse())
        purse.note_use(units, now)
        taken = purse.take(units, now)
        missing = units - sum(lot.units for lot in taken)
        if missing <= 0.0:
            return GRANTED
        denial = self._denials_by_name.get(organisation.name)
        if denial is not None and now < denial.until and missing >= denial.units:
            purse.restore(taken)
            return self._denied(denial, now)
        allowance = await self._ask_until_answered(
            organisation.name, limit, missing, patience_s=patience_s
        )
        if not allowance.is_granted:
            purse.restore(taken)
        return allowance

    def give_back(self, organisation: str, units: float) -> None:
        """The units go back to the pool with the next asking."""
        self.groups[group_of(organisation)].returns.append(
            UsageReturn(organisation=organisation, units=units)
        )

    async def _ask_until_answered(
        self, name: str, limit: UsageLimit, units: float, *, patience_s: float
    ) -> Allowance:
        group = self.groups[group_of(name)]
        begun_at = self.state.clock()
        wait_ends_at = begun_at + WORTH_WAITING_S
        was_held = False
        for _ in range(ASK_TRIES):
            answer = await self._ask_for(group, name, limit, units)
            grant = answer.grant
            now = self.state.clock()
            if grant is None:
                continue
            if grant.units >= units:
                self.purses_by_name[name].put(grant.units - units, now)
                return GRANTED
            if answer.live_share < SETTLED_SHARE and not was_held:
                was_held = await self._hold(group, begun_at, patience_s)
                wait_ends_at = self.state.clock() + WORTH_WAITING_S
                if was_held:
                    continue
            if now + grant.wait_s > wait_ends_at:
                return self._note_denied(name, units, grant, answer)
            await asyncio.sleep(grant.wait_s)
        if grant is not None:
            return self._note_denied(name, units, grant, answer)
        return Allowance(outcome=AllowanceOutcome.UNKNOWN, pool=group.share.pool)

    async def _hold(self, group: _Group, begun_at: float, patience_s: float) -> bool:
        """Hold a request until shares will have come together; False if that takes too long.

        Each request is held once: asking again and again, all that wait would overload the pool.
        """
        now = self.state.clock()
        ends_at = group.share.settles_at + SETTLE_SPREAD_S * self.state.rng.random()
        longest_s = min(MAX_HELD_S, HELD_SHARE_OF_TIME * patience_s)
        if not now < ends_at <= begun_at + longest_s:
            return False
        await asyncio.sleep(ends_at - now)
        return True

    async def _ask_for(
        self, group: _Group, name: str, limit: UsageLimit, units: float
    ) -> _PoolAnswer:
        """The pool that was asked, and what it answered in time."""
        want = UsageWant(
            organisation=name,
            units=units,
            extra=self.purses_by_name[name].wanted_ahead(units, self.state.clock()),
            rate_per_s=limit.rate_per_s,
            burst=limit.burst,
        )
        number = self._next_number()
        answer = asyncio.get_running_loop().create_future()
        self._answers_by_number[number] = answer
        try:
            pool = self._ask(group, number, (want,))
            async with asyncio.timeout(ANSWER_S):
                reply = await answer
                return _PoolAnswer(pool=pool, grant=reply.grants[0], live_share=reply.live_share)
        except TimeoutError:
            if group.share.unanswered(pool, self.state.clock()):
                self.state.log.decide(
                    Decision.LIMIT_POOL_SILENT, pool=pool, group=group.share.group
                )
            return _PoolAnswer(pool=pool)
        finally:
            self._answers_by_number.pop(number, None)

    def _note_denied(
        self, name: str, units: float, grant: UsageGrant, answer: _PoolAnswer
    ) -> Allowance:
        now = self.state.clock()
        denial = _Denial(
            units=units,
            until=now + min(DENIED_FOR_S, grant.wait_s),
            ready_at=now + grant.wait_s,
            pool=answer.pool,
            live_share=answer.live_share,
        )
        self._denials_by_name[name] = denial
        return self._denied(denial, now)

    def _denied(self, denial: _Denial, now: float) -> Allowance:
        return Allowance(
            outcome=AllowanceOutcome.DENIED,
            wait_s=max(0.0, denial.ready_at - now),
            pool=denial.pool,
            live_share=denial.live_share,
        )

    # Askings and answers.

    def _ask(self, group: _Group, number: int, wants: tuple[UsageWant, ...]) -> str:
        """Ask the pool of a group, or give out of it if it is kept here; returns which it is."""
        now = self.state.clock()
        group.asked_at = now
        share = self.size.share(self.state.peers.known_boxes)
        lease = group.share.asked(self._candidates(now), share, now)
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
        return self._answer(sender, ask) if 0 <= ask.group < GROUPS else None

    def note_reply(self, sender: str, reply: AllowanceReply) -> None:
        """A pool answered; what comes too late for its request is not used."""
        if not 0 <= reply.group < GROUPS:
            return
        group = self.groups[reply.group]
        group.share.answered(sender, reply.stamp)
        if sender != self.state.box:
            self.size.note_told(reply.boxes)
        answer = self._answers_by_number.pop(reply.number, None)
        if answer is not None and not answer.done() and reply.grants:
            answer.set_result(reply)

    def _answer(self, sender: str, ask: AllowanceAsk) -> AllowanceReply:
        now = self.state.clock()
        pool = self.groups[ask.group].pool
        pool.lend(sender, ask.share, echo=ask.echo, now=now, is_first=ask.is_first)
        for returned in ask.returns:
            pool.take_back(returned)
        known = self._known()
        return AllowanceReply(
            number=ask.number,
            group=ask.group,
            stamp=now,
            boxes=self.size.boxes(self.state.peers.known_boxes) if self.size.is_known else 0,
            grants=tuple(pool.give(want, known, now) for want in ask.wants),
            live_share=pool.live_share(now),
        )

    # Beside the requests.

    def is_main_pool(self) -> bool:
        """Whether most boxes lend to the pool that is kept here, this one among them."""
        now = self.state.clock()
        return any(
            group.share.pool == self.state.box and group.pool.live_share(now) >= SETTLED_SHARE
            for group in self.groups
        )

    async def run(self) -> None:
        """Keep the leases up while some organisation has a limit; never returns."""
        while True:
            await asyncio.sleep(self._renewal_pause_s())
            if self.state.has_limits():
                self._renew(self.state.clock())

    def _renewal_pause_s(self) -> float:
        """Until the next renewal; the first share is lent as soon as it may be."""
        pause_s = ASK_INTERVAL_S * self.state.rng.uniform(0.8, 1.2)
        until_first_s = self.state.begun_at + LEASE_S - self.state.clock()
        return min(pause_s, until_first_s + MIN_PAUSE_S) if until_first_s > 0.0 else pause_s

    def _renew(self, now: float) -> None:
        for group in self.groups:
            if now - group.asked_at >= ASK_INTERVAL_S / 2 or not group.share.has_lent:
                self._ask(group, self._next_number(), ())
                group.share.unanswered(group.share.pool, now)
            group.pool.sweep(self._known(), now)
        for name in [n for n, purse in self.purses_by_name.items() if purse.is_idle(now)]:
            del self.purses_by_name[name]
        for name in [n for n, denial in self._denials_by_name.items() if denial.until <= now]:
            del self._denials_by_name[name]

    def _known(self) -> Mapping[str, Organisation]:
        table = self.state.table
        if table is None or table.organisations is None:
            return {}
        return table.organisations.by_name

    def _next_number(self) -> int:
        self._number = self._number + 1 if self._number < MAX_NUMBER else 1
        return self._number
