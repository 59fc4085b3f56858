"""Giving stage orders: one box at a time, under a lease of the store and a rising token.

Workers may not check fencing tokens, so a box that has taken the lease stays quiet for longer
than an earlier holder's orders can be on their way, and makes sure that it still holds the lease
just before each order.
"""

from __future__ import annotations

import asyncio
from dataclasses import dataclass

from croftchute.errors import StoreError
from croftchute.forwarding.decision_log import Decision
from croftchute.forwarding.failures import ExchangeError
from croftchute.forwarding.state import ForwardingState
from croftchute.forwarding.worker_control import give_stage_order
from croftchute.storage.watched import LeaseStore
from croftchute.systems.stage_balance import StageChange, wanted_change
from croftchute.tables.routing import Stage

CHECK_S = 0.5
FIRST_TRY_S = 4.0
LEASE_KEY = "croftchute/stage-orders"
LEASE_TTL_S = 6.0
RENEW_S = 2.0
QUIET_MARGIN_S = 1.5
MAX_VERIFY_S = 0.3
COOL_DOWN_S = 3.0
SETTLE_S = 10.0
LASTS_S = 0.4
PREFILL_LASTS_S = 5.0
MAX_LAPSE_S = 1.5


@dataclass(frozen=True, kw_only=True, slots=True)
class Turn:
    """The time in which this box alone may give orders; ``token`` fences them."""

    token: int
    lease: int
    since: float


class StageOrders:
    """Holds the lease if it gets it, and carries out the stage changes that are wanted."""

    def __init__(self, *, state: ForwardingState, store: LeaseStore, holder_gap_s: float) -> None:
        self.state = state
        self.store = store
        self.quiet_s = holder_gap_s + QUIET_MARGIN_S
        self.turn: Turn | None = None
        self._next_try_at = 0.0
        self._renew_at = 0.0
        self._ordered_at: dict[str, float] = {}
        self._wanted_since: dict[tuple[str, Stage], tuple[float, float]] = {}

    async def run(self) -> None:
        """Look again and again; never returns."""
        self._next_try_at = self.state.clock() + self.state.rng.uniform(0.25, 1.0) * FIRST_TRY_S
        is_first = True
        while True:
            await asyncio.sleep(CHECK_S * self.state.rng.uniform(0.8, 1.2))
            if self.state.is_stopping:
                continue
            change = self.wanted()
            try:
                if self.turn is None:
                    is_first = await self._try_for_turn(
                        is_first=is_first, is_needed=change is not None
                    )
                else:
                    await self._use_turn(self.turn, change)
            except (StoreError, ExchangeError) as error:
                self._next_try_at = self.state.clock() + COOL_DOWN_S
                self.state.log.decide(
                    Decision.STAGE_ORDER, outcome=error.code.value, detail=error.message
                )

    def wanted(self) -> StageChange | None:
        """The change that some service needs most, as this box sees it."""
        table = self.state.table
        if table is None:
            return None
        for service in table.services_by_name.values():
            if service.engine is None or self._is_settling(service.name):
                continue
            change = wanted_change(
                self.state.workers.of_service(service.name),
                self.state.fleet_demand(service.name),
                prefill_pace=self.state.demand(service.name).prefill_pace,
            )
            if change is not None and self._has_lasted(change):
                return change
        return None

    def _has_lasted(self, change: StageChange) -> bool:
        """Whether the same need has been seen for a while: workers that crash come back."""
        key = (change.worker.service, change.stage)
        now = self.state.clock()
        first, last = self._wanted_since.get(key, (now, now))
        if now - last > MAX_LAPSE_S:
            first = now
        self._wanted_since[key] = (first, now)
        wait_s = LASTS_S if change.stage is Stage.DECODE else PREFILL_LASTS_S
        return now - first >= wait_s

    def _is_settling(self, service: str) -> bool:
        """Whether an order given to the service may not have shown its effect yet."""
        ordered_at = self._ordered_at.get(service)
        return ordered_at is not None and self.state.clock() - ordered_at < SETTLE_S

    async def _try_for_turn(self, *, is_first: bool, is_needed: bool) -> bool:
        """Take the lease if nobody has it: once after the start, later when it is needed."""
        now = self.state.clock()
        if now < self._next_try_at or not (is_first or is_needed):
            return is_first
        self._next_try_at = now + COOL_DOWN_S
        if await self.store.item(LEASE_KEY) is not None:
            return False
        lease = await self.store.grant_lease(LEASE_TTL_S)
        value = self.state.box.encode()
        token = await self.store.put_if(LEASE_KEY, value, revision=0, lease=lease)
        if token is not None:
            self.turn = Turn(token=token, lease=lease, since=self.state.clock())
            self._renew_at = self.turn.since + RENEW_S
            self.state.log.decide(Decision.STAGE_ORDER, outcome="lease_taken", token=token)
        return False

    async def _use_turn(self, turn: Turn, change: StageChange | None) -> None:
        now = self.state.clock()
        if now >= self._renew_at:
            self._renew_at = now + RENEW_S
            if not await self.store.keep_lease(turn.lease):
                self._give_up_turn(turn)
                return
        if change is None or now - turn.since < self.quiet_s or now < self._next_try_at:
            return
        self._next_try_at = now + COOL_DOWN_S
        await self._order(turn, change)

    async def _order(self, turn: Turn, change: StageChange) -> None:
        """Give an order, if the lease is surely still held."""
        now = self.state.clock()
        item = await self.store.item(LEASE_KEY)
        if item is None or item.revision != turn.token:
            self._give_up_turn(turn)
            return
        if self.state.clock() - now > MAX_VERIFY_S:
            self._log("verified_too_late", change, turn)
            return
        try:
            status = await give_stage_order(
                self.state, change.worker, change.stage, holder=self.state.box, token=turn.token
            )
            outcome = f"status_{status}"
        except ExchangeError as error:
            # It may still be carried out: another order waits as if it had been answered.
            outcome = error.code.value
        self._ordered_at[change.worker.service] = self.state.clock()
        self.state.demand(change.worker.service).clear()
        self._log(outcome, change, turn)

    def _give_up_turn(self, turn: Turn) -> None:
        self.turn = None
        self.state.log.decide(Decision.STAGE_ORDER, outcome="lease_lost", token=turn.token)

    def _log(self, outcome: str, change: StageChange, turn: Turn) -> None:
        self.state.log.decide(
            Decision.STAGE_ORDER,
            outcome=outcome,
            worker=change.worker.id,
            stage=change.stage.value,
            reason=change.reason,
            token=turn.token,
            held_s=round(self.state.clock() - turn.since, 1),
            workers_age_s=round(self.state.clock() - self.state.workers.heard_at, 2),
        )
