"""Reservations that an owner has granted on its engines, and their sums by engine."""

from __future__ import annotations

from collections import deque
from collections.abc import Iterable

from croftchute.systems.placement import Placement, PlacementNeeds, kv_tokens_to_commit
from croftchute.tables.requests import Reservation
from croftchute.tables.rows import changed
from croftchute.tables.upstreams import EngineConfig, EngineLoad, EngineReport

MAX_RECENT_GRANTS = 64
SUSPECT_DURATION_S = 0.5
UNREACHABLE_DURATION_S = 1.0
CLOSE_AT_KV_FILL = 0.97
REOPEN_AT_KV_FILL = 0.92
"""Share of used KV memory below which a full engine accepts work again; lower than
``CLOSE_AT_KV_FILL``, so that an engine does not alternate between the two states."""


class Ledger:
    """Reservations by attempt, and loads by engine.

    The sums in the loads always match the reservations.
    """

    def __init__(self) -> None:
        self.loads_by_engine: dict[str, EngineLoad] = {}
        self.reservations_by_key: dict[str, Reservation] = {}
        self.keys_by_entry_box: dict[str, set[str]] = {}
        self._recent_grants_by_engine: dict[str, deque[tuple[float, float]]] = {}

    def __repr__(self) -> str:
        engines, held = len(self.loads_by_engine), len(self.reservations_by_key)
        return f"Ledger(engines={engines}, reservations={held})"

    def set_engines(self, engines: Iterable[EngineConfig]) -> None:
        """Track exactly these engines, and drop reservations that use none of them."""
        wanted = {engine.id: engine for engine in engines}
        for reservation in list(self.reservations_by_key.values()):
            ends = (reservation.prefill_id, reservation.decode_id)
            if not any(engine in wanted for engine in ends if engine):
                self.remove(reservation.key)
        self.loads_by_engine = {
            engine_id: changed(
                self.loads_by_engine.get(engine_id, EngineLoad(id=engine_id)),
                leaving=engine.leaving,
            )
            for engine_id, engine in wanted.items()
        }

    def add(self, reservation: Reservation, placement: Placement | None, now: float) -> None:
        """Record a reservation; ``placement`` is None if an earlier owner granted it."""
        self.reservations_by_key[reservation.key] = reservation
        self.keys_by_entry_box.setdefault(reservation.entry_box, set()).add(reservation.key)
        self._adjust_decode_load(reservation, sign=1)
        if placement is None:
            return
        prefill = self.loads_by_engine[placement.prefill_id]
        self.loads_by_engine[placement.prefill_id] = changed(
            prefill, prefill_free_at=placement.prefill_end_at
        )
        cost = placement.prefill_end_at - placement.prefill_start_at
        recent = self._recent_grants_by_engine.setdefault(
            prefill.id, deque(maxlen=MAX_RECENT_GRANTS)
        )
        recent.append((now, cost))
        if placement.decode_id != placement.prefill_id:
            decode = self.loads_by_engine[placement.decode_id]
            self.loads_by_engine[placement.decode_id] = changed(
                decode, ingress_free_at=placement.transfer_end_at
            )

    def remove(self, key: str) -> Reservation | None:
        """Remove a reservation and free its slot and memory; return None if it is unknown."""
        reservation = self.reservations_by_key.pop(key, None)
        if reservation is None:
            return None
        keys = self.keys_by_entry_box.get(reservation.entry_box, set())
        keys.discard(key)
        if not keys:
            self.keys_by_entry_box.pop(reservation.entry_box, None)
        self._adjust_decode_load(reservation, sign=-1)
        return reservation

    def release_prefill_time(self, reservation: Reservation, now: float) -> None:
        """Shorten a prefill engine's predicted queue by work that will not be done."""
        load = self.loads_by_engine.get(reservation.prefill_id)
        if load is None or reservation.prefill_end_at <= now:
            return
        saved = reservation.prefill_end_at - max(now, reservation.prefill_start_at)
        free_at = max(now, load.prefill_free_at - saved)
        self.loads_by_engine[load.id] = changed(load, prefill_free_at=free_at)

    def apply_report(self, engine: EngineConfig, report: EngineReport) -> None:
        """Update an engine's load from its report.

        Grants made after the time that the report describes are added to it, because the engine
        had not received them yet.
        """
        load = self.loads_by_engine[engine.id]
        free_at = report.as_of + report.prefill_backlog_tokens / engine.prefill_tokens_per_s
        for granted_at, cost in self._recent_grants_by_engine.get(engine.id, ()):
            if granted_at > report.as_of:
                free_at = max(free_at, granted_at) + cost
        fill = report.kv_used_tokens / engine.kv_tokens
        is_kv_full = fill > (REOPEN_AT_KV_FILL if load.is_kv_full else CLOSE_AT_KV_FILL)
        self.loads_by_engine[engine.id] = changed(
            load,
            report=report,
            leaving=engine.leaving or report.leaving,
            is_kv_full=is_kv_full and engine.decodes,
            prefill_free_at=free_at,
        )

    def mark_suspect(self, engine_id: str, now: float) -> None:
        """Avoid an engine for ``SUSPECT_DURATION_S`` after a failed call.

        It then gets no decode work, and prefill work only if no other engine is usable.
        """
        load = self.loads_by_engine.get(engine_id)
        if load is not None:
            self.loads_by_engine[engine_id] = changed(load, suspect_until=now + SUSPECT_DURATION_S)

    def mark_unreachable(self, engine_id: str, now: float) -> None:
        """Send no new work to an engine for ``UNREACHABLE_DURATION_S``."""
        load = self.loads_by_engine.get(engine_id)
        if load is not None:
            self.loads_by_engine[engine_id] = changed(
                load, unreachable_until=now + UNREACHABLE_DURATION_S
            )

    def back_off(self, engine_id: str, backoff_s: float, now: float) -> None:
        """Send no new work to an engine for the ``backoff_s`` seconds that it asked for."""
        load = self.loads_by_engine.get(engine_id)
        if load is not None and backoff_s > 0.0:
            until = max(load.backoff_until, now + backoff_s)
            self.loads_by_engine[engine_id] = changed(load, backoff_until=until)

    def backoff_left_s(self, engine_ids: Iterable[str], now: float) -> float:
        """Return the seconds until the first of these engines accepts work again.

        The result is 0 unless all of them are backing off.
        """
        loads = (self.loads_by_engine.get(engine_id) for engine_id in engine_ids)
        left_s = [max(0.0, load.backoff_until - now) for load in loads if load is not None]
        return min(left_s, default=0.0)

    def confirm(self, keys: Iterable[str], now: float) -> None:
        """Record that the entry box has confirmed these reservations."""
        for key in keys:
            reservation = self.reservations_by_key.get(key)
            if reservation is not None:
                self.reservations_by_key[key] = changed(reservation, confirmed_at=now)

    def _adjust_decode_load(self, reservation: Reservation, *, sign: int) -> None:
        load = self.loads_by_engine.get(reservation.decode_id)
        if load is None:
            return
        self.loads_by_engine[load.id] = changed(
            load,
            kv_committed=load.kv_committed + sign * reservation.kv_committed,
            kv_variance=max(0.0, load.kv_variance + sign * reservation.kv_variance),
            running=load.running + sign,
        )


def kv_commitment(needs: PlacementNeeds) -> tuple[float, float]:
    """Return the KV tokens and the variance to commit for a request."""
    return kv_tokens_to_commit(needs), needs.output_variance
