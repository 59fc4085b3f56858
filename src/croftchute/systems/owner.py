"""The owner's side: grants, releases and checks reservations on the shards this box owns."""

from __future__ import annotations

from collections.abc import Callable, Iterable, Sequence
from dataclasses import dataclass

from croftchute.commands import Command, Emit, SendPeer
from croftchute.errors import Code
from croftchute.peers.messages import (
    Announced,
    Audit,
    Audited,
    Declined,
    Released,
    Reserve,
)
from croftchute.systems.admission import queue_limit
from croftchute.systems.cancels import Cancels
from croftchute.systems.fairness import ShareMeter
from croftchute.systems.ledger import Ledger, committed
from croftchute.systems.owner_messages import granted_message, policy_failed
from croftchute.systems.placement import Ask, Placement, shortlist
from croftchute.systems.prediction import OutputForecast, first_forecast
from croftchute.systems.prefix_index import CacheEvent, PrefixIndex
from croftchute.systems.pressure import Pressure
from croftchute.systems.shard_digest import digest_of
from croftchute.systems.unknown_attempts import UnknownAttempts
from croftchute.tables.requests import Reservation
from croftchute.tables.upstreams import (
    EngineFact,
    EngineReport,
    Shard,
    ShardDigest,
    Topology,
)
from croftchute.timeline.events import Event, Kind

AUDIT_AFTER_S = 5.0
AUDIT_EVERY_S = 1.0
EXPIRY_GRACE_S = 5.0
MIN_RETRY_AFTER_S = 0.5
ANY_CALLER = "*"


@dataclass(frozen=True, kw_only=True, slots=True)
class Ordered:
    """What a policy made of a shortlist; ``failure`` says why the built-in order was kept."""

    placements: Sequence[Placement]
    failure: str = ""


Orderer = Callable[[str, Reserve, Sequence[Placement]], Ordered]


class Owner:
    """The shards that this box owns: it alone grants places on their engines."""

    def __init__(self, *, box: str, cancels: Cancels, topology: Topology) -> None:
        self.box = box
        self.cancels = cancels
        self.topology = topology
        self.ledger = Ledger()
        self.owned_since: dict[str, float] = {}
        self.meters_by_shard: dict[str, ShareMeter] = {}
        self.pressure_by_shard: dict[str, Pressure] = {}
        self.indices_by_engine: dict[str, PrefixIndex] = {}
        self.forecasts_by_model: dict[str, OutputForecast] = {}
        self._facts_by_shard: dict[str, list[EngineFact]] = {}
        self._unknown_attempts = UnknownAttempts()
        self._next_audit_at = 0.0

    def __repr__(self) -> str:
        return f"Owner(box={self.box!r}, shards={sorted(self.owned_since)!r})"

    def set_shards(self, topology: Topology, shards: Iterable[Shard], now: float) -> list[Command]:
        """Own exactly these shards from now on."""
        self.topology = topology
        wanted = {shard.id: shard for shard in shards}
        commands: list[Command] = []
        for shard_id in sorted(set(self.owned_since) - set(wanted)):
            del self.owned_since[shard_id]
            self.meters_by_shard.pop(shard_id, None)
            self.pressure_by_shard.pop(shard_id, None)
            commands.append(Emit(event=Event(kind=Kind.SHARD_LOST, detail=shard_id)))
        for shard_id in sorted(set(wanted) - set(self.owned_since)):
            self.owned_since[shard_id] = now
            self.meters_by_shard[shard_id] = ShareMeter()
            self.pressure_by_shard[shard_id] = Pressure()
            commands.append(Emit(event=Event(kind=Kind.SHARD_TAKEN, detail=shard_id)))
        self._facts_by_shard = {
            shard.id: [topology.engines_by_id[engine] for engine in shard.engine_ids]
            for shard in wanted.values()
        }
        facts = [fact for group in self._facts_by_shard.values() for fact in group]
        self.ledger.keep(facts)
        kept = {fact.id: self.indices_by_engine.get(fact.id, PrefixIndex()) for fact in facts}
        self.indices_by_engine = kept
        return commands

    def engine_ids(self) -> list[str]:
        """Engines of all owned shards."""
        return list(self.ledger.loads_by_engine)

    def reserve(
        self, sender: str, ask: Reserve, now: float, order: Orderer | None = None
    ) -> list[Command]:
        """Grant or decline a place; asked again, it answers again without a second grant."""
        held = self.ledger.reservations_by_key.get(f"{ask.request_id}-{ask.attempt}")
        if held is not None:
            return [SendPeer(box=sender, body=granted_message(held))]
        if ask.shard not in self.owned_since:
            return [self._decline(sender, ask, Code.NOT_OWNER, 0.0)]
        model = self.topology.models_by_id.get(ask.model)
        if model is None:
            return [self._decline(sender, ask, Code.MODEL_UNKNOWN, 0.0)]
        need = self._need(ask)
        facts = self._facts_by_shard[ask.shard]
        found = shortlist(
            facts,
            self.ledger.loads_by_engine,
            need,
            now=now,
            waste_aversion=self.topology.waste_aversion,
        )
        pressure = self.pressure_by_shard[ask.shard]
        if not found:
            pressure.note(declined=True)
            return [self._decline(sender, ask, Code.NO_CAPACITY, self._retry_after(ask, now))]
        commands: list[Command] = []
        if order is not None and model.policy is not None:
            ordered = order(model.policy, ask, found)
            found = list(ordered.placements)
            if ordered.failure:
                commands.append(Emit(event=policy_failed(ask, ordered.failure)))
        if not found:
            return [self._decline(sender, ask, Code.POLICY_REFUSED, MIN_RETRY_AFTER_S)]
        placement = found[0]
        refusal = self._refusal(ask, placement, now)
        if refusal is not None:
            decline = self._decline(sender, ask, refusal, self._retry_after(ask, now))
            return [*commands, decline]
        return commands + self._grant(sender, ask, need, placement, now)

    def release(self, sender: str, body: Released, now: float) -> list[Command]:
        """Free what an attempt held; cancel it on its engines unless that is confirmed."""
        key = f"{body.request_id}-{body.attempt}"
        reservation = self.ledger.remove(key)
        if body.failed_engine:
            self.ledger.suspect(body.failed_engine, now)
            self.ledger.rest(body.failed_engine, body.rest_s, now)
        if reservation is None:
            return []
        self.ledger.give_back_prefill(reservation, now)
        if body.output_tokens > 0 and not body.failed_engine and body.confirmed:
            self._learn(reservation, body.output_tokens)
        event = Event(
            kind=Kind.RESERVE_RELEASED,
            request_id=body.request_id,
            attempt=body.attempt,
            upstream=reservation.decode_id,
            detail=f"by {sender}",
        )
        commands: list[Command] = [Emit(event=event)]
        if not body.confirmed:
            commands += self._cancel(reservation, now)
        return commands

    def announced(self, sender: str, body: Announced, now: float) -> list[Command]:
        """Take over a reservation that an earlier owner granted."""
        key = f"{body.request_id}-{body.attempt}"
        if body.shard not in self.owned_since or key in self.ledger.reservations_by_key:
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

    def audited(self, body: Audited, now: float) -> list[Command]:
        """Confirm what an entry box still has open and free what it does not."""
        still_open = set(body.open)
        self.ledger.touch(still_open, now)
        commands: list[Command] = []
        for key in body.asked:
            if key not in still_open:
                commands += self._drop(key, "closed at entry", now)
        return commands

    def entry_gone(self, box: str, now: float) -> list[Command]:
        """An entry box died or was restarted: nobody waits for its requests any more."""
        commands: list[Command] = []
        for key in sorted(self.ledger.keys_by_entry.get(box, ())):
            commands += self._drop(key, f"entry box {box} gone", now)
        return commands

    def report(
        self, engine_id: str, report: EngineReport, events: Iterable[CacheEvent], now: float
    ) -> list[Command]:
        """Take in an engine's load report and its cache events."""
        fact = self.topology.engines_by_id.get(engine_id)
        if fact is None or engine_id not in self.ledger.loads_by_engine:
            return []
        self.ledger.report(fact, report)
        index = self.indices_by_engine[engine_id]
        for event in events:
            index.apply(event)
        return self._orphans(engine_id, report, now)

    def failed(self, engine_id: str, now: float) -> list[Command]:
        """An engine cannot be reached: no new work for a while."""
        self.ledger.unreachable(engine_id, now)
        return [Emit(event=Event(kind=Kind.UPSTREAM_FAILED, upstream=engine_id))]

    def tick(self, now: float) -> list[Command]:
        """Ask entry boxes about old reservations and drop those past their deadline."""
        if now < self._next_audit_at:
            return []
        self._next_audit_at = now + AUDIT_EVERY_S
        due: dict[tuple[str, str], list[str]] = {}
        commands: list[Command] = []
        for key, held in list(self.ledger.reservations_by_key.items()):
            if now > held.deadline_at + EXPIRY_GRACE_S:
                commands += self._drop(key, "deadline passed", now)
            elif now - held.confirmed_at > AUDIT_AFTER_S:
                due.setdefault((held.entry_box, held.shard), []).append(key)
        for (box, shard), keys in due.items():
            commands.append(SendPeer(box=box, body=Audit(shard=shard, keys=tuple(keys))))
        return commands

    def digests(self, now: float) -> tuple[ShardDigest, ...]:
        """What other boxes need to know of the owned shards."""
        return tuple(self._digest(shard, now) for shard in self.owned_since)

    def _digest(self, shard_id: str, now: float) -> ShardDigest:
        facts = self._facts_by_shard[shard_id]
        return digest_of(shard_id, facts, self.ledger.loads_by_engine, now)

    def _need(self, ask: Reserve) -> Ask:
        model = self.topology.models_by_id[ask.model]
        forecast = self.forecasts_by_model.get(ask.model)
        if forecast is None:
            forecast = first_forecast(model.expected_output_tokens)
            self.forecasts_by_model[ask.model] = forecast
        mean, variance = forecast.expect(ask.max_tokens)
        cached = {
            fact.id: self.indices_by_engine[fact.id].cached_tokens(ask.prefix)
            for fact in self._facts_by_shard[ask.shard]
            if fact.prefills and ask.prefix
        }
        return Ask(
            prompt_tokens=ask.prompt_tokens + ask.resume_from,
            expected_output=max(1.0, mean - ask.resume_from),
            output_variance=variance,
            kv_bytes_per_token=model.kv_bytes_per_token,
            result_ttl_s=model.result_ttl_s,
            cached_by_engine=cached,
            avoid=ask.avoid,
        )

    def _refusal(self, ask: Reserve, placement: Placement, now: float) -> Code | None:
        wait = placement.first_token_at - now
        if wait > ask.time_left_s:
            return Code.DEADLINE_PASSED
        if ask.attempt > 1:
            # It was admitted once; the retry budget limits these, not the target.
            return None
        pressure = self.pressure_by_shard[ask.shard]
        service = placement.service_s
        queued = ask.waited_s + wait - service
        if queued > self._queue_limit(ask, service, excess=0.0, pressure=0.0):
            pressure.note(declined=True)
            return Code.TARGET_UNREACHABLE
        pressure.note(declined=False)
        excess = self.meters_by_shard[ask.shard].excess(ask.caller, now)
        if queued <= self._queue_limit(ask, service, excess=excess, pressure=pressure.level):
            return None
        return Code.OVER_SHARE

    def _queue_limit(
        self, ask: Reserve, service_s: float, *, excess: float, pressure: float
    ) -> float:
        return queue_limit(
            ttft_s=self.topology.ttft_s,
            service_s=service_s,
            priority=ask.priority,
            excess=excess,
            pressure=pressure,
            waste_aversion=self.topology.waste_aversion,
        )

    def _grant(
        self, sender: str, ask: Reserve, need: Ask, placement: Placement, now: float
    ) -> list[Command]:
        kv_committed, kv_variance = committed(need)
        reservation = Reservation(
            request_id=ask.request_id,
            attempt=ask.attempt,
            entry_box=sender,
            shard=ask.shard,
            caller=ask.caller,
            priority=ask.priority,
            prefill_id=placement.prefill_id,
            decode_id=placement.decode_id,
            prompt_tokens=ask.prompt_tokens,
            uncached_tokens=placement.uncached_tokens,
            expected_output=need.expected_output,
            kv_committed=kv_committed,
            kv_variance=kv_variance,
            prefill_start_at=placement.prefill_start_at,
            prefill_end_at=placement.prefill_end_at,
            transfer_end_at=placement.transfer_end_at,
            granted_at=now,
            deadline_at=now + ask.time_left_s,
            confirmed_at=now,
        )
        self.ledger.add(reservation, placement, now)
        weights = self.topology.weights_by_caller
        weight = weights.get(ask.caller, weights.get(ANY_CALLER, 1.0))
        cost = placement.uncached_tokens + need.expected_output
        self.meters_by_shard[ask.shard].charge(ask.caller, cost, weight=weight, now=now)
        wait = placement.first_token_at - now
        event = Event(
            kind=Kind.RESERVE_GRANTED,
            request_id=ask.request_id,
            attempt=ask.attempt,
            upstream=placement.decode_id,
            detail=f"prefill {placement.prefill_id} predicted {wait:.3f}s",
        )
        return [Emit(event=event), SendPeer(box=sender, body=granted_message(reservation))]

    def _decline(self, sender: str, ask: Reserve, code: Code, retry_after_s: float) -> Command:
        body = Declined(
            request_id=ask.request_id,
            attempt=ask.attempt,
            shard=ask.shard,
            code=code,
            retry_after_s=retry_after_s,
        )
        return SendPeer(box=sender, body=body)

    def _retry_after(self, ask: Reserve, now: float) -> float:
        rest_s = self.ledger.rest_left_s(self.topology.shards_by_id[ask.shard].engine_ids, now)
        if rest_s > 0.0:
            return rest_s
        wait = self._digest(ask.shard, now).prefill_wait_s
        return max(MIN_RETRY_AFTER_S, min(wait, 10.0))

    def _learn(self, reservation: Reservation, tokens: int) -> None:
        for model, forecast in self.forecasts_by_model.items():
            if self.topology.models_by_id[model].pool == reservation.shard.rpartition("/")[0]:
                self.forecasts_by_model[model] = forecast.learn(tokens)

    def _drop(self, key: str, reason: str, now: float) -> list[Command]:
        reservation = self.ledger.remove(key)
        if reservation is None:
            return []
        self.ledger.give_back_prefill(reservation, now)
        event = Event(
            kind=Kind.ORPHAN_FOUND,
            request_id=reservation.request_id,
            attempt=reservation.attempt,
            upstream=reservation.decode_id,
            detail=reason,
        )
        return [Emit(event=event), *self._cancel(reservation, now)]

    def _cancel(self, reservation: Reservation, now: float) -> list[Command]:
        commands = self.cancels.add(reservation.prefill_id, reservation.key, now)
        if reservation.decode_id != reservation.prefill_id:
            commands += self.cancels.add(reservation.decode_id, reservation.key, now)
        return commands

    def _orphans(self, engine_id: str, report: EngineReport, now: float) -> list[Command]:
        """Cancel work that nobody answers for."""
        commands: list[Command] = []
        held = self.ledger.reservations_by_key
        for key in self._unknown_attempts.overdue(engine_id, report, held, now):
            event = Event(kind=Kind.ORPHAN_FOUND, upstream=engine_id, detail=key)
            commands.append(Emit(event=event))
            commands += self.cancels.add(engine_id, key, now)
        return commands
