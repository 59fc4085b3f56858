"""Reservations on the shards that this box owns: how they are granted, audited and released."""

from __future__ import annotations

from collections.abc import Callable, Iterable, Sequence
from dataclasses import dataclass

from croftchute.commands import Command, EmitEvent, SendPeer
from croftchute.errors import Code
from croftchute.peers.messages import (
    Announced,
    Audit,
    Audited,
    Declined,
    Released,
    Reserve,
)
from croftchute.systems.admission import max_queue_s
from croftchute.systems.cancels import CancelTracker
from croftchute.systems.fairness import CallerUsageMeter
from croftchute.systems.ledger import Ledger, kv_commitment
from croftchute.systems.owner_messages import build_granted, policy_failed_event
from croftchute.systems.placement import Placement, PlacementNeeds, shortlist_placements
from croftchute.systems.prediction import OutputLengthForecast, initial_forecast
from croftchute.systems.prefix_index import CacheEvent, PrefixIndex
from croftchute.systems.pressure import Pressure
from croftchute.systems.shard_digest import build_digest
from croftchute.systems.unknown_attempts import UnknownAttempts
from croftchute.tables.requests import Reservation
from croftchute.tables.upstreams import (
    EngineConfig,
    EngineReport,
    Shard,
    ShardDigest,
    Topology,
)
from croftchute.timeline.events import Event, Kind

AUDIT_AFTER_S = 5.0
AUDIT_INTERVAL_S = 1.0
DEADLINE_GRACE_S = 5.0
MIN_RETRY_AFTER_S = 0.5
ANY_CALLER = "*"


@dataclass(frozen=True, kw_only=True, slots=True)
class PolicyOrder:
    """A policy's order of a shortlist; ``failure`` says why the built-in order was kept."""

    placements: Sequence[Placement]
    failure: str = ""


PolicyOrderer = Callable[[str, Reserve, Sequence[Placement]], PolicyOrder]


class ShardOwner:
    """The shards that this box owns; no other box grants reservations on their engines."""

    def __init__(self, *, box: str, cancels: CancelTracker, topology: Topology) -> None:
        self.box = box
        self.cancels = cancels
        self.topology = topology
        self.ledger = Ledger()
        self.taken_at_by_shard: dict[str, float] = {}
        self.meters_by_shard: dict[str, CallerUsageMeter] = {}
        self.pressure_by_shard: dict[str, Pressure] = {}
        self.prefix_index_by_engine: dict[str, PrefixIndex] = {}
        self.forecasts_by_model: dict[str, OutputLengthForecast] = {}
        self._engines_by_shard: dict[str, list[EngineConfig]] = {}
        self._unknown_attempts = UnknownAttempts()
        self._next_audit_at = 0.0

    def __repr__(self) -> str:
        return f"ShardOwner(box={self.box!r}, shards={sorted(self.taken_at_by_shard)!r})"

    def set_shards(self, topology: Topology, shards: Iterable[Shard], now: float) -> list[Command]:
        """Own exactly these shards from now on; return the events of the change."""
        self.topology = topology
        wanted = {shard.id: shard for shard in shards}
        commands: list[Command] = []
        for shard_id in sorted(set(self.taken_at_by_shard) - set(wanted)):
            del self.taken_at_by_shard[shard_id]
            self.meters_by_shard.pop(shard_id, None)
            self.pressure_by_shard.pop(shard_id, None)
            commands.append(EmitEvent(event=Event(kind=Kind.SHARD_LOST, detail=shard_id)))
        for shard_id in sorted(set(wanted) - set(self.taken_at_by_shard)):
            self.taken_at_by_shard[shard_id] = now
            self.meters_by_shard[shard_id] = CallerUsageMeter()
            self.pressure_by_shard[shard_id] = Pressure()
            commands.append(EmitEvent(event=Event(kind=Kind.SHARD_TAKEN, detail=shard_id)))
        self._engines_by_shard = {
            shard.id: [topology.engines_by_id[engine] for engine in shard.engine_ids]
            for shard in wanted.values()
        }
        engines = [engine for group in self._engines_by_shard.values() for engine in group]
        self.ledger.set_engines(engines)
        kept = {
            engine.id: self.prefix_index_by_engine.get(engine.id, PrefixIndex())
            for engine in engines
        }
        self.prefix_index_by_engine = kept
        return commands

    def engine_ids(self) -> list[str]:
        """Return the engines of all owned shards."""
        return list(self.ledger.loads_by_engine)

    def reserve(
        self,
        sender: str,
        request: Reserve,
        now: float,
        order_placements: PolicyOrderer | None = None,
    ) -> list[Command]:
        """Grant or decline a reservation.

        The request is idempotent: a repeated one gets the same grant again.
        """
        held = self.ledger.reservations_by_key.get(f"{request.request_id}-{request.attempt}")
        if held is not None:
            return [SendPeer(box=sender, body=build_granted(held))]
        if request.shard not in self.taken_at_by_shard:
            return [self._decline(sender, request, Code.NOT_OWNER, 0.0)]
        model = self.topology.models_by_id.get(request.model)
        if model is None:
            return [self._decline(sender, request, Code.MODEL_UNKNOWN, 0.0)]
        needs = self._placement_needs(request)
        engines = self._engines_by_shard[request.shard]
        placements = shortlist_placements(
            engines,
            self.ledger.loads_by_engine,
            needs,
            now=now,
            waste_aversion=self.topology.waste_aversion,
        )
        pressure = self.pressure_by_shard[request.shard]
        if not placements:
            pressure.count_request(declined=True)
            return [
                self._decline(sender, request, Code.NO_CAPACITY, self._retry_after_s(request, now))
            ]
        commands: list[Command] = []
        if order_placements is not None and model.policy is not None:
            ordered = order_placements(model.policy, request, placements)
            placements = list(ordered.placements)
            if ordered.failure:
                commands.append(EmitEvent(event=policy_failed_event(request, ordered.failure)))
        if not placements:
            return [self._decline(sender, request, Code.POLICY_REFUSED, MIN_RETRY_AFTER_S)]
        placement = placements[0]
        refusal = self._refusal_code(request, placement, now)
        if refusal is not None:
            decline = self._decline(sender, request, refusal, self._retry_after_s(request, now))
            return [*commands, decline]
        return commands + self._grant(sender, request, needs, placement, now)

    def release(self, sender: str, body: Released, now: float) -> list[Command]:
        """Free an attempt's reservation; cancel it on its engines unless its end is confirmed."""
        key = f"{body.request_id}-{body.attempt}"
        reservation = self.ledger.remove(key)
        if body.failed_engine:
            self.ledger.mark_suspect(body.failed_engine, now)
            self.ledger.back_off(body.failed_engine, body.rest_s, now)
        if reservation is None:
            return []
        self.ledger.release_prefill_time(reservation, now)
        if body.output_tokens > 0 and not body.failed_engine and body.confirmed:
            self._update_forecasts(reservation, body.output_tokens)
        event = Event(
            kind=Kind.RESERVE_RELEASED,
            request_id=body.request_id,
            attempt=body.attempt,
            upstream=reservation.decode_id,
            detail=f"by {sender}",
        )
        commands: list[Command] = [EmitEvent(event=event)]
        if not body.confirmed:
            commands += self._cancel(reservation, now)
        return commands

    def adopt_reservation(self, sender: str, body: Announced, now: float) -> list[Command]:
        """Take over a reservation that an earlier owner of the shard granted."""
        key = f"{body.request_id}-{body.attempt}"
        if body.shard not in self.taken_at_by_shard or key in self.ledger.reservations_by_key:
            return []
        reservation = Reservation(
            request_id=body.request_id,
            attempt=body.attempt,
            entry_box=sender,
            shard=body.shard,
            caller=body.caller,
            priority=body.priority,
            prefill_id=body.prefill_id,
            decode_id=body.decode_id,
            prompt_tokens=body.prompt_tokens,
            uncached_tokens=0,
            expected_output=body.expected_output,
            kv_committed=body.prompt_tokens + body.expected_output,
            kv_variance=0.0,
            prefill_start_at=now,
            prefill_end_at=now,
            transfer_end_at=now,
            granted_at=now,
            deadline_at=now + body.time_left_s,
            confirmed_at=now,
        )
        self.ledger.add(reservation, None, now)
        return []

    def audit_answered(self, body: Audited, now: float) -> list[Command]:
        """Confirm the reservations that an entry box still has open; cancel those it closed."""
        still_open = set(body.open)
        self.ledger.confirm(still_open, now)
        commands: list[Command] = []
        for key in body.asked:
            if key not in still_open:
                commands += self._drop_orphan(key, "closed at entry", now)
        return commands

    def entry_box_gone(self, box: str, now: float) -> list[Command]:
        """Cancel all reservations of an entry box that is suspected or was restarted."""
        commands: list[Command] = []
        for key in sorted(self.ledger.keys_by_entry_box.get(box, ())):
            commands += self._drop_orphan(key, f"entry box {box} gone", now)
        return commands

    def engine_reported(
        self, engine_id: str, report: EngineReport, events: Iterable[CacheEvent], now: float
    ) -> list[Command]:
        """Apply an engine's load report and cache events; cancel attempts unknown here."""
        engine = self.topology.engines_by_id.get(engine_id)
        if engine is None or engine_id not in self.ledger.loads_by_engine:
            return []
        self.ledger.apply_report(engine, report)
        index = self.prefix_index_by_engine[engine_id]
        for event in events:
            index.apply(event)
        return self._cancel_unknown_attempts(engine_id, report, now)

    def engine_unreachable(self, engine_id: str, now: float) -> list[Command]:
        """Send no new work for a while to an engine that could not be reached."""
        self.ledger.mark_unreachable(engine_id, now)
        return [EmitEvent(event=Event(kind=Kind.UPSTREAM_FAILED, upstream=engine_id))]

    def tick(self, now: float) -> list[Command]:
        """Audit old reservations at their entry boxes; drop those past their deadline."""
        if now < self._next_audit_at:
            return []
        self._next_audit_at = now + AUDIT_INTERVAL_S
        due: dict[tuple[str, str], list[str]] = {}
        commands: list[Command] = []
        for key, held in list(self.ledger.reservations_by_key.items()):
            if now > held.deadline_at + DEADLINE_GRACE_S:
                commands += self._drop_orphan(key, "deadline passed", now)
            elif now - held.confirmed_at > AUDIT_AFTER_S:
                due.setdefault((held.entry_box, held.shard), []).append(key)
        for (box, shard), keys in due.items():
            commands.append(SendPeer(box=box, body=Audit(shard=shard, keys=tuple(keys))))
        return commands

    def digests(self, now: float) -> tuple[ShardDigest, ...]:
        """Return digests of the owned shards for other boxes."""
        return tuple(self._digest(shard, now) for shard in self.taken_at_by_shard)

    def _digest(self, shard_id: str, now: float) -> ShardDigest:
        engines = self._engines_by_shard[shard_id]
        return build_digest(shard_id, engines, self.ledger.loads_by_engine, now)

    def _placement_needs(self, request: Reserve) -> PlacementNeeds:
        model = self.topology.models_by_id[request.model]
        forecast = self.forecasts_by_model.get(request.model)
        if forecast is None:
            forecast = initial_forecast(model.expected_output_tokens)
            self.forecasts_by_model[request.model] = forecast
        mean, variance = forecast.capped_at(request.max_tokens)
        cached = {
            engine.id: self.prefix_index_by_engine[engine.id].cached_tokens(request.prefix)
            for engine in self._engines_by_shard[request.shard]
            if engine.prefills and request.prefix
        }
        return PlacementNeeds(
            prompt_tokens=request.prompt_tokens + request.resume_from,
            expected_output=max(1.0, mean - request.resume_from),
            output_variance=variance,
            kv_bytes_per_token=model.kv_bytes_per_token,
            result_ttl_s=model.result_ttl_s,
            cached_by_engine=cached,
            avoid=request.avoid,
        )

    def _refusal_code(self, request: Reserve, placement: Placement, now: float) -> Code | None:
        wait = placement.first_token_at - now
        if wait > request.time_left_s:
            return Code.DEADLINE_PASSED
        if request.attempt > 1:
            # The request was admitted before. Retries are limited by the retry budget instead.
            return None
        pressure = self.pressure_by_shard[request.shard]
        service = placement.service_s
        queued = request.waited_s + wait - service
        if queued > self._max_queue_s(request, service, excess=0.0, pressure=0.0):
            pressure.count_request(declined=True)
            return Code.TARGET_UNREACHABLE
        pressure.count_request(declined=False)
        excess = self.meters_by_shard[request.shard].excess(request.caller, now)
        if queued <= self._max_queue_s(request, service, excess=excess, pressure=pressure.level):
            return None
        return Code.OVER_SHARE

    def _max_queue_s(
        self, request: Reserve, service_s: float, *, excess: float, pressure: float
    ) -> float:
        return max_queue_s(
            ttft_s=self.topology.ttft_s,
            service_s=service_s,
            priority=request.priority,
            excess=excess,
            pressure=pressure,
            waste_aversion=self.topology.waste_aversion,
        )

    def _grant(
        self, sender: str, request: Reserve, needs: PlacementNeeds, placement: Placement, now: float
    ) -> list[Command]:
        kv_committed, kv_variance = kv_commitment(needs)
        reservation = Reservation(
            request_id=request.request_id,
            attempt=request.attempt,
            entry_box=sender,
            shard=request.shard,
            caller=request.caller,
            priority=request.priority,
            prefill_id=placement.prefill_id,
            decode_id=placement.decode_id,
            prompt_tokens=request.prompt_tokens,
            uncached_tokens=placement.uncached_tokens,
            expected_output=needs.expected_output,
            kv_committed=kv_committed,
            kv_variance=kv_variance,
            prefill_start_at=placement.prefill_start_at,
            prefill_end_at=placement.prefill_end_at,
            transfer_end_at=placement.transfer_end_at,
            granted_at=now,
            deadline_at=now + request.time_left_s,
            confirmed_at=now,
        )
        self.ledger.add(reservation, placement, now)
        weights = self.topology.weights_by_caller
        weight = weights.get(request.caller, weights.get(ANY_CALLER, 1.0))
        cost = placement.uncached_tokens + needs.expected_output
        self.meters_by_shard[request.shard].charge(request.caller, cost, weight=weight, now=now)
        wait = placement.first_token_at - now
        event = Event(
            kind=Kind.RESERVE_GRANTED,
            request_id=request.request_id,
            attempt=request.attempt,
            upstream=placement.decode_id,
            detail=f"prefill {placement.prefill_id} predicted {wait:.3f}s",
        )
        return [EmitEvent(event=event), SendPeer(box=sender, body=build_granted(reservation))]

    def _decline(self, sender: str, request: Reserve, code: Code, retry_after_s: float) -> Command:
        body = Declined(
            request_id=request.request_id,
            attempt=request.attempt,
            shard=request.shard,
            code=code,
            retry_after_s=retry_after_s,
        )
        return SendPeer(box=sender, body=body)

    def _retry_after_s(self, request: Reserve, now: float) -> float:
        backoff_s = self.ledger.backoff_left_s(
            self.topology.shards_by_id[request.shard].engine_ids, now
        )
        if backoff_s > 0.0:
            return backoff_s
        wait = self._digest(request.shard, now).prefill_wait_s
        return max(MIN_RETRY_AFTER_S, min(wait, 10.0))

    def _update_forecasts(self, reservation: Reservation, tokens: int) -> None:
        for model, forecast in self.forecasts_by_model.items():
            if self.topology.models_by_id[model].pool == reservation.shard.rpartition("/")[0]:
                self.forecasts_by_model[model] = forecast.updated(tokens)

    def _drop_orphan(self, key: str, reason: str, now: float) -> list[Command]:
        reservation = self.ledger.remove(key)
        if reservation is None:
            return []
        self.ledger.release_prefill_time(reservation, now)
        event = Event(
            kind=Kind.ORPHAN_FOUND,
            request_id=reservation.request_id,
            attempt=reservation.attempt,
            upstream=reservation.decode_id,
            detail=reason,
        )
        return [EmitEvent(event=event), *self._cancel(reservation, now)]

    def _cancel(self, reservation: Reservation, now: float) -> list[Command]:
        commands = self.cancels.start(reservation.prefill_id, reservation.key, now)
        if reservation.decode_id != reservation.prefill_id:
            commands += self.cancels.start(reservation.decode_id, reservation.key, now)
        return commands

    def _cancel_unknown_attempts(
        self, engine_id: str, report: EngineReport, now: float
    ) -> list[Command]:
        """Cancel an engine's attempts that have had no reservation for the grace period."""
        commands: list[Command] = []
        held = self.ledger.reservations_by_key
        for key in self._unknown_attempts.overdue(engine_id, report, held, now):
            event = Event(kind=Kind.ORPHAN_FOUND, upstream=engine_id, detail=key)
            commands.append(EmitEvent(event=event))
            commands += self.cancels.start(engine_id, key, now)
        return commands
