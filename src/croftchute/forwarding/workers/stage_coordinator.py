"""Orders workers to change their stage, from one box at a time.

The box holds a lease in the store, and its orders carry an increasing fencing token. Workers may
not check the token. So a box that has acquired the lease sends nothing for longer than an earlier
holder's orders can be in transit, and checks just before each order that it still holds the lease.
"""

from __future__ import annotations

import asyncio
from collections.abc import Callable
from dataclasses import dataclass

from croftchute.errors import StoreError
from croftchute.forwarding.decision_log import Decision
from croftchute.forwarding.http.failures import ConnectFailedError, ExchangeError
from croftchute.forwarding.state import ForwardingState
from croftchute.forwarding.workers.worker_control import send_stage_order
from croftchute.storage.watched import LeaseStore
from croftchute.systems.service_capacity import PREFILL_SHARE_OF_TARGET, EngineCapacity, SplitMode
from croftchute.systems.stage_balance import StageChange, plan_stage_changes
from croftchute.systems.stage_headroom import HeadroomPlanner
from croftchute.systems.tracked_worker import TrackedWorker
from croftchute.tables.routing import EngineTraits, RoutingTable, Service, Stage

CHECK_INTERVAL_S = 0.5
"""Seconds between two checks for needed stage changes."""

MAX_FIRST_TRY_DELAY_S = 4.0
"""Longest random delay in seconds before a box first tries for the lease, to spread the tries."""

LEASE_KEY = "croftchute/stage-orders"

SUCCESS_STATUSES = frozenset({200, 202})
"""Statuses of an order that the worker carries out or has already carried out."""

LEASE_TTL_S = 6.0
"""Seconds until an unrenewed lease expires: two lost renewals are tolerated."""

LEASE_RENEW_INTERVAL_S = 2.0
"""Seconds between renewals of the lease."""

QUIET_MARGIN_S = 1.5
"""Seconds added to the gap between two holders' orders: an order may be in transit that long."""

MAX_LEASE_CHECK_S = 0.3
"""Longest time that a check of the lease may take before orders are sent on its result."""

RETRY_DELAY_S = 3.0
"""Seconds between two tries for the lease, and before a retry after a failed call."""

BATCH_INTERVAL_S = 1.0
"""Seconds between two batches of orders: the worker list shows a change within about a second."""

MAX_BATCH_SIZE = 8
"""Most orders in one batch, which bounds the concurrent connections and calls of the box."""

MAX_ORDER_PENDING_S = 14.0
"""Seconds for which an order counts as pending. An unanswered order may be carried out 12 s later,
and the worker list shows it some seconds after that."""

MIN_NEED_S = 0.4
"""Seconds for which an urgent change, or one to decode, must have been needed."""

MIN_PREFILL_NEED_S = 5.0
"""Seconds for which other changes must have been needed. A crashed prefill worker is mostly back
within 5 s. With the ``headroom`` split this holds for changes to decode too, as a change that was
caused by a crash can't be undone soon."""

STATUS_ACCEPTED = 202
"""Status of an order that the worker has started on; it takes no work until it has changed."""

STAGE_CHANGE_MARGIN_S = 2.5
"""Seconds, added to the switch time, for which a changing worker gets no work unless the worker
list shows its new stage earlier. Its streams end first, and the list shows the change within a
second."""

MAX_NEED_GAP_S = 1.5
"""Longest time in seconds between two checks that find a need; after a longer one it is new."""


@dataclass(frozen=True, kw_only=True, slots=True)
class HeldLease:
    """A lease that lets this box alone give orders; ``token`` fences them."""

    token: int
    lease_id: int
    acquired_at: float


@dataclass(frozen=True, kw_only=True, slots=True)
class _PendingOrder:
    """An order that the worker list does not show yet and that may still be carried out."""

    stage: Stage
    sent_at: float


class StageCoordinator:
    """Competes for the lease, and while holding it orders the stage changes that are needed."""

    def __init__(
        self,
        *,
        state: ForwardingState,
        store: LeaseStore,
        holder_gap_s: float,
        may_acquire_lease: Callable[[], bool],
    ) -> None:
        self.state = state
        self.store = store
        self.may_acquire_lease = may_acquire_lease
        self.quiet_period_s = holder_gap_s + QUIET_MARGIN_S
        self.held_lease: HeldLease | None = None
        self._next_try_at = 0.0
        self._renew_at = 0.0
        self._pending_orders: dict[str, _PendingOrder] = {}
        self._need_seen_by_change: dict[tuple[str, Stage], tuple[float, float]] = {}
        self._planner_by_service: dict[str, HeadroomPlanner] = {}

    async def run(self) -> None:
        """Check for needed changes periodically; never return."""
        self._next_try_at = (
            self.state.clock() + self.state.rng.uniform(0.25, 1.0) * MAX_FIRST_TRY_DELAY_S
        )
        is_first = True
        while True:
            await asyncio.sleep(CHECK_INTERVAL_S * self.state.rng.uniform(0.8, 1.2))
            if self.state.is_stopping:
                continue
            # Finding the changes takes 0.6 ms, so boxes that could not order them skip it.
            may_order = self.held_lease is not None or self.may_acquire_lease()
            changes = self.find_changes() if may_order else []
            try:
                if self.held_lease is None:
                    is_first = await self._try_acquire_lease(
                        is_first=is_first, is_needed=bool(changes)
                    )
                else:
                    await self._use_lease(self.held_lease, changes)
            except (StoreError, ExchangeError) as error:
                self._next_try_at = self.state.clock() + RETRY_DELAY_S
                self.state.log.decide(
                    Decision.STAGE_ORDER, outcome=error.code.value, detail=error.message
                )

    def find_changes(self) -> list[StageChange]:
        """Return the changes that the first service in need requires, one batch at most."""
        table = self.state.table
        if table is None:
            return []
        for service in table.services_by_name.values():
            if service.engine is None:
                continue
            changes = self._find_service_changes(table, service, service.engine)
            if changes and self._is_sustained(changes[0]):
                return changes[:MAX_BATCH_SIZE]
        return []

    def _find_service_changes(
        self, table: RoutingTable, service: Service, traits: EngineTraits
    ) -> list[StageChange]:
        """Return the changes that one service needs now."""
        tracked_workers = self._remaining_workers(service.name)
        counts = self.state.fleet_demand(service.name)
        timing = self.state.prefill_pace(service.name)
        pending_stages = self._pending_stages() | self._stages_in_backoff(tracked_workers)
        if self.split_mode(service.name) is SplitMode.HEADROOM:
            now = self.state.clock()
            planner = self._planner_by_service.setdefault(service.name, HeadroomPlanner())
            return planner.plan_changes(
                tracked_workers,
                counts,
                scale=self.state.boxes / (1 + self.state.peers.fresh_boxes(now)),
                timing=timing,
                traits=traits,
                paces=self.state.paces,
                pending_stages=_announced_stages(tracked_workers, now) | pending_stages,
                now=now,
            )
        capacity = EngineCapacity(
            prefill_tokens_per_s=timing.tokens_per_s,
            kv_tokens=traits.kv_tokens,
            slots=traits.slots,
            prefill_limit_s=self._prefill_limit_s(table, service.name),
        )
        return plan_stage_changes(tracked_workers, counts, capacity, pending_stages=pending_stages)

    def split_mode(self, service: str) -> SplitMode:
        """Return how the service's engines are currently split between stages; never ``auto``."""
        mode = self.state.ways.split
        if mode is not SplitMode.AUTO:
            return mode
        return SplitMode.HEADROOM if self.state.tells_pace(service) else SplitMode.FIXED_USE

    def _remaining_workers(self, service: str) -> list[TrackedWorker]:
        """Return the workers of a service that have not announced that they leave."""
        workers = self.state.workers
        return [
            tracked
            for tracked in workers.of_service(service)
            if not workers.advice.is_leaving(tracked.worker.id)
        ]

    def _stages_in_backoff(self, tracked_workers: list[TrackedWorker]) -> dict[str, Stage]:
        """Return the stages of workers in backoff; they count as they are but get no orders."""
        now = self.state.clock()
        advice = self.state.workers.advice
        return {
            tracked.worker.id: tracked.worker.stage
            for tracked in tracked_workers
            if tracked.worker.stage is not None
            and advice.backoff_left_s(tracked.worker.id, now) > 0.0
        }

    def _prefill_limit_s(self, table: RoutingTable, service: str) -> float:
        """Return the prefill time that a service aims for; 0 if its split ignores it."""
        targets = table.stream_targets(service)
        if self.split_mode(service) is not SplitMode.BY_TARGET or not targets:
            return 0.0
        return PREFILL_SHARE_OF_TARGET * min(targets)

    def _pending_stages(self) -> dict[str, Stage]:
        """Return the ordered stages of workers with pending orders; drop orders that are done."""
        now = self.state.clock()
        tracked_by_id = self.state.workers.tracked_by_id
        for worker_id, order in list(self._pending_orders.items()):
            tracked = tracked_by_id.get(worker_id)
            is_done = tracked is None or tracked.worker.stage is order.stage
            if is_done or now - order.sent_at > MAX_ORDER_PENDING_S:
                del self._pending_orders[worker_id]
        return {worker_id: order.stage for worker_id, order in self._pending_orders.items()}

    def _is_sustained(self, change: StageChange) -> bool:
        """Whether a change has been needed for long enough; most crashed workers restart soon."""
        key = (change.worker.service, change.stage)
        now = self.state.clock()
        first, last = self._need_seen_by_change.get(key, (now, now))
        if now - last > MAX_NEED_GAP_S:
            first = now
        self._need_seen_by_change[key] = (first, now)
        return now - first >= self._min_need_s(change)

    def _min_need_s(self, change: StageChange) -> float:
        """Return the seconds for which a change must have been needed."""
        uses_headroom = self.split_mode(change.worker.service) is SplitMode.HEADROOM
        if change.is_urgent or (change.stage is Stage.DECODE and not uses_headroom):
            return MIN_NEED_S
        return MIN_PREFILL_NEED_S

    async def _try_acquire_lease(self, *, is_first: bool, is_needed: bool) -> bool:
        """Try to acquire a free lease, once after the start and later when changes are needed.

        Each try is a call of the store, so only boxes that read the store try. Return the new value
        of ``is_first``.
        """
        now = self.state.clock()
        if now < self._next_try_at or not (is_first or is_needed) or not self.may_acquire_lease():
            return is_first
        self._next_try_at = now + RETRY_DELAY_S
        if await self.store.item(LEASE_KEY) is not None:
            return False
        lease_id = await self.store.grant_lease(LEASE_TTL_S)
        value = self.state.box.encode()
        token = await self.store.put_if(LEASE_KEY, value, revision=0, lease=lease_id)
        if token is not None:
            self.held_lease = HeldLease(
                token=token, lease_id=lease_id, acquired_at=self.state.clock()
            )
            self._renew_at = self.held_lease.acquired_at + LEASE_RENEW_INTERVAL_S
            self.state.log.decide(Decision.STAGE_ORDER, outcome="lease_taken", token=token)
        return False

    async def _use_lease(self, held_lease: HeldLease, changes: list[StageChange]) -> None:
        if self.state.links.are_lost:
            # Orders would not arrive, so the lease is left to expire for a box that can give them.
            return
        now = self.state.clock()
        if now >= self._renew_at:
            self._renew_at = now + LEASE_RENEW_INTERVAL_S
            if not await self.store.keep_lease(held_lease.lease_id):
                self._drop_lease(held_lease)
                return
        if (
            not changes
            or now - held_lease.acquired_at < self.quiet_period_s
            or now < self._next_try_at
        ):
            return
        self._next_try_at = now + BATCH_INTERVAL_S
        await self._send_orders(held_lease, changes)

    async def _send_orders(self, held_lease: HeldLease, changes: list[StageChange]) -> None:
        """Send the orders if the lease is certainly still held."""
        now = self.state.clock()
        item = await self.store.item(LEASE_KEY)
        if item is None or item.revision != held_lease.token:
            self._drop_lease(held_lease)
            return
        if self.state.clock() - now > MAX_LEASE_CHECK_S:
            self._log("verified_too_late", changes[0], held_lease)
            return
        await asyncio.gather(*(self._send_order(held_lease, change) for change in changes))

    async def _send_order(self, held_lease: HeldLease, change: StageChange) -> None:
        """Send one order, and keep it as pending unless the worker refused it."""
        worker_id = change.worker.id
        order = _PendingOrder(stage=change.stage, sent_at=self.state.clock())
        self._pending_orders[worker_id] = order
        try:
            status = await send_stage_order(
                self.state,
                change.worker,
                change.stage,
                holder=self.state.box,
                token=held_lease.token,
            )
            outcome = f"status_{status}"
            if status not in SUCCESS_STATUSES:
                del self._pending_orders[worker_id]
            if status == STATUS_ACCEPTED:
                self._record_stage_change(change)
        except ConnectFailedError as error:
            del self._pending_orders[worker_id]
            outcome = error.code.value
        except ExchangeError as error:
            # The order may still be carried out, so it stays pending.
            outcome = error.code.value
        planner = self._planner_by_service.get(change.worker.service)
        if planner is not None and worker_id in self._pending_orders:
            planner.note_ordered(worker_id, change.stage, order.sent_at)
        self._log(outcome, change, held_lease)

    def _record_stage_change(self, change: StageChange) -> None:
        """Give the worker no work until it has changed; peers are told in notices."""
        table = self.state.table
        service = table.services_by_name.get(change.worker.service) if table is not None else None
        if service is None or service.engine is None:
            return
        for_s = service.engine.switch_s + STAGE_CHANGE_MARGIN_S
        now = self.state.clock()
        self.state.workers.note_changing(change.worker.id, change.stage, now, for_s=for_s)

    def note_restored(self) -> None:
        """Drop the lease: the store was restored from an older copy, which does not know it."""
        if self.held_lease is not None:
            self._drop_lease(self.held_lease)

    def _drop_lease(self, held_lease: HeldLease) -> None:
        self.held_lease = None
        self.state.log.decide(Decision.STAGE_ORDER, outcome="lease_lost", token=held_lease.token)

    def _log(self, outcome: str, change: StageChange, held_lease: HeldLease) -> None:
        self.state.log.decide(
            Decision.STAGE_ORDER,
            outcome=outcome,
            worker=change.worker.id,
            stage=change.stage.value,
            reason=change.reason,
            token=held_lease.token,
            held_s=round(self.state.clock() - held_lease.acquired_at, 1),
            workers_age_s=round(self.state.clock() - self.state.workers.heard_at, 2),
        )


def _announced_stages(tracked_workers: list[TrackedWorker], now: float) -> dict[str, Stage]:
    """Return the stages that other boxes ordered workers to change to, from their notices."""
    return {
        tracked.worker.id: tracked.changing_to
        for tracked in tracked_workers
        if tracked.changing_to is not None and now < tracked.changing_until
    }
