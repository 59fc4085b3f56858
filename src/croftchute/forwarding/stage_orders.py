"""Giving stage orders: one box at a time, under a lease of the store and a rising token.

Workers may not check fencing tokens, so a box that has taken the lease stays quiet for longer
than an earlier holder's orders can be on their way, then makes sure that it still holds the lease,
and only then gives its order.
"""

from __future__ import annotations

import asyncio

from croftchute.errors import StoreError
from croftchute.forwarding.decision_log import Decision
from croftchute.forwarding.failures import ExchangeError
from croftchute.forwarding.state import ForwardingState
from croftchute.forwarding.worker_control import give_stage_order
from croftchute.storage.watched import LeaseStore
from croftchute.systems.stage_balance import StageChange, wanted_change

CHECK_S = 0.5
LEASE_KEY = "croftchute/stage-orders"
QUIET_MARGIN_S = 1.5
LEASE_MARGIN_S = 6.0
MAX_VERIFY_S = 0.3
COOL_DOWN_S = 3.0


class StageOrders:
    """Watches whether a stage change is wanted, and carries it out if this box gets the lease."""

    def __init__(self, *, state: ForwardingState, store: LeaseStore, holder_gap_s: float) -> None:
        self.state = state
        self.store = store
        self.quiet_s = holder_gap_s + QUIET_MARGIN_S

    async def run(self) -> None:
        """Look again and again; never returns."""
        while True:
            await asyncio.sleep(CHECK_S * self.state.rng.uniform(0.8, 1.2))
            change = self.wanted()
            if change is None:
                continue
            try:
                await self._carry_out(change)
            except (StoreError, ExchangeError) as error:
                self.state.log.decide(
                    Decision.STAGE_ORDER, outcome=error.code.value, detail=error.message
                )
            await asyncio.sleep(COOL_DOWN_S)

    def wanted(self) -> StageChange | None:
        """The change that some service needs most, as this box sees it."""
        table = self.state.table
        if table is None or self.state.is_stopping:
            return None
        for service in table.services_by_name.values():
            if service.engine is None:
                continue
            beliefs = [
                belief
                for belief in self.state.workers.beliefs_by_id.values()
                if belief.worker.service == service.name
            ]
            pressure = self.state.pressure(service.name)
            change = wanted_change(beliefs, pressure, self.state.clock())
            if change is not None:
                return change
        return None

    async def _carry_out(self, change: StageChange) -> None:
        token = await self._take_lease(change)
        if token is None:
            return
        await asyncio.sleep(self.quiet_s)
        if not self._still_fits(change):
            self._log("no_longer_fits", change, token)
            return
        verified_at = self.state.clock()
        item = await self.store.item(LEASE_KEY)
        verify_s = self.state.clock() - verified_at
        if item is None or item.revision != token or verify_s > MAX_VERIFY_S:
            self._log("lease_lost", change, token)
            return
        status = await give_stage_order(
            self.state, change.worker, change.stage, holder=self.state.box, token=token
        )
        self.state.pressure(change.worker.service).clear()
        self._log(f"status_{status}", change, token)

    async def _take_lease(self, change: StageChange) -> int | None:
        """The fencing token of this box's turn; None if another box has its turn."""
        if await self.store.item(LEASE_KEY) is not None:
            return None
        lease = await self.store.grant_lease(self.quiet_s + LEASE_MARGIN_S)
        value = self.state.box.encode()
        token = await self.store.put_if(LEASE_KEY, value, revision=0, lease=lease)
        if token is not None:
            self._log("lease_taken", change, token)
        return token

    def _still_fits(self, change: StageChange) -> bool:
        belief = self.state.workers.beliefs_by_id.get(change.worker.id)
        if belief is None or belief.gone_at is not None or self.state.is_stopping:
            return False
        is_same = belief.worker.stage is change.worker.stage
        return is_same and belief.worker.state is change.worker.state

    def _log(self, outcome: str, change: StageChange, token: int) -> None:
        self.state.log.decide(
            Decision.STAGE_ORDER,
            outcome=outcome,
            worker=change.worker.id,
            stage=change.stage.value,
            reason=change.reason,
            token=token,
            workers_age_s=round(self.state.clock() - self.state.workers.heard_at, 2),
        )
