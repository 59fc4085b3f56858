"""One run: a scenario at a load, with faults, under a router, from a seed."""

from __future__ import annotations

import random
from dataclasses import dataclass

from croftchute.bench.checker import violations
from croftchute.bench.faults import FAULTS, FaultContext
from croftchute.bench.fleet_router import FleetRouter
from croftchute.bench.loop import EventLoop
from croftchute.bench.routers import LeastLoadedRouter, NaiveRouter, Router
from croftchute.bench.scenarios import MODEL, SCENARIOS, Scenario
from croftchute.bench.workload import Arrival, arrivals
from croftchute.bench.world import Ticket, World
from croftchute.systems.sharding import build_topology
from croftchute.tables.requests import Request
from croftchute.tables.rows import changed

SETTLE_S = 2.5
DRAIN_S = 40.0
TTFT_S = 0.44
PER_TOKEN_S = 0.031
CANCEL_SHARE = 0.1
MICROSECONDS = 1e6


@dataclass(frozen=True, kw_only=True)
class RunSpec:
    """What to run."""

    scenario: str
    load: float
    faults: str
    router: str
    seed: int
    duration_s: float | None = None


@dataclass(frozen=True, kw_only=True)
class Row:
    """What came out; fractions are of offered requests unless said otherwise."""

    scenario: str
    load: float
    faults: str
    router: str
    seed: int
    offered: int
    goodput: float
    refused: float
    missed: float
    wasted_prefill: float
    ttft_p50: float
    ttft_p95: float
    ttft_p99: float
    per_token_p50: float
    per_token_p95: float
    per_token_p99: float
    control_bytes_per_box_s: float
    control_messages_per_box_s: float
    decision_us: float
    pauses: int
    leaked_reservations: int
    violations: int
    violation_kinds: str


def run(spec: RunSpec) -> Row:
    """Carry out one run in virtual time."""
    scenario = SCENARIOS[spec.scenario]
    return Experiment(scenario=scenario, spec=spec).row()


class Experiment:
    """The parts of one run."""

    def __init__(self, *, scenario: Scenario, spec: RunSpec) -> None:
        self.scenario = scenario
        self.spec = spec
        self.loop = EventLoop()
        self.duration_s = spec.duration_s or scenario.duration_s
        document = scenario.document(shard_engines=8)
        facts = {
            fact.id: fact
            for hall in scenario.halls
            for fact in build_topology(document, revision=1, hall=hall.name).engines_by_id.values()
        }
        self.world = World(
            loop=self.loop,
            facts_by_id=facts,
            kv_bytes_per_token=scenario.kv_bytes_per_token,
            result_ttl_s=scenario.result_ttl_s,
            latency_s=scenario.latency_s,
            seed=spec.seed,
        )
        self.router = self._router()
        self.dead_boxes: set[str] = set()
        self._rng = random.Random(spec.seed)

    def row(self) -> Row:
        """Run to the end and measure."""
        rate = self.scenario.capacity * self.spec.load
        cancels = CANCEL_SHARE if "cancels" in self.spec.faults else 0.0
        stream = arrivals(
            self.scenario.mix,
            rate=rate,
            duration_s=self.duration_s,
            cancel_share=cancels,
            model=MODEL,
            seed=self.spec.seed,
        )
        for arrival in stream:
            self._schedule(arrival)
        context = FaultContext(
            loop=self.loop,
            world=self.world,
            router=self.router,
            scenario=self.scenario,
            rng=random.Random(self.spec.seed + 1),
            start_s=SETTLE_S + self.scenario.warmup_s,
            end_s=SETTLE_S + self.duration_s,
            kill_box=self._kill_box,
        )
        for name in self.spec.faults.split("+"):
            FAULTS[name](context)
        self.loop.run(SETTLE_S + self.duration_s + DRAIN_S)
        return self._measure(context)

    def _finish(self, ticket: Ticket) -> None:
        ticket.ended_at = self.loop.now

    def _router(self) -> Router:
        finish = self._finish
        if self.spec.router == "naive":
            return NaiveRouter(world=self.world, finish=finish, seed=self.spec.seed)
        if self.spec.router == "least-loaded":
            return LeastLoadedRouter(world=self.world, finish=finish, seed=self.spec.seed)
        return FleetRouter(
            world=self.world,
            scenario=self.scenario,
            finish=finish,
            seed=self.spec.seed,
            exact=self.spec.router == "oracle",
        )

    def _schedule(self, arrival: Arrival) -> None:
        self.loop.at(arrival.request.arrived_at + SETTLE_S, lambda: self._arrive(arrival))

    def _arrive(self, arrival: Arrival) -> None:
        hall = self._pick_hall()
        request = arrival.request
        moved = Arrival(
            request=_at(request, self.loop.now),
            output_tokens=arrival.output_tokens,
            leaves_after_s=arrival.leaves_after_s,
        )
        ticket = Ticket(arrival=moved, box=self._pick_box(hall), hall=hall)
        self.world.ticket_by_id[request.id] = ticket
        if arrival.leaves_after_s is not None:
            self.loop.after(arrival.leaves_after_s, lambda: self._leave(ticket))
        self.router.arrive(ticket)

    def _leave(self, ticket: Ticket) -> None:
        if ticket.answers or ticket.refusals or ticket.entry_died:
            return
        ticket.left = True
        ticket.ended_at = self.loop.now
        self.router.leave(ticket)

    def _pick_hall(self) -> str:
        weights = [self.scenario.hall_capacity(hall) for hall in self.scenario.halls]
        return self._rng.choices(self.scenario.halls, weights)[0].name

    def _pick_box(self, hall: str) -> str:
        if isinstance(self.router, FleetRouter):
            return self._rng.choice(self.router.box_ids(hall))
        count = next(shape.boxes for shape in self.scenario.halls if shape.name == hall)
        names = [f"{hall}-{n}" for n in range(count) if f"{hall}-{n}" not in self.dead_boxes]
        return self._rng.choice(names)

    def _kill_box(self, box: str) -> None:
        self.dead_boxes.add(box)
        self.router.kill_box(box)

    def _measure(self, context: FaultContext) -> Row:
        begin = SETTLE_S + self.scenario.warmup_s
        tickets = [
            ticket
            for ticket in self.world.ticket_by_id.values()
            if ticket.arrival.request.arrived_at >= begin and not ticket.left
        ]
        answered = [ticket for ticket in tickets if ticket.answers and ticket.first_token_at]
        good = [ticket for ticket in answered if _is_good(ticket)]
        refused = [ticket for ticket in tickets if ticket.refusals]
        computed = sum(engine.computed_tokens for engine in self.world.prefill_by_id.values())
        ttft = sorted(_ttft(ticket) for ticket in answered)
        per_token = sorted(_per_token(ticket) for ticket in answered)
        offered = max(1, len(tickets))
        kinds = violations(self.world, context)
        boxes = sum(hall.boxes for hall in self.scenario.halls)
        span = SETTLE_S + self.duration_s + DRAIN_S
        router = self.router
        decisions = router.decision_s if isinstance(router, FleetRouter) else []
        messages = router.messages if isinstance(router, FleetRouter) else 0
        # Traffic for requests comes in duration_s only; heartbeats go on for the whole span.
        return Row(
            scenario=self.spec.scenario,
            load=self.spec.load,
            faults=self.spec.faults,
            router=self.spec.router,
            seed=self.spec.seed,
            offered=len(tickets),
            goodput=len(good) / offered,
            refused=len(refused) / offered,
            missed=(len(tickets) - len(good) - len(refused)) / offered,
            wasted_prefill=self.world.wasted_tokens / max(1, computed),
            ttft_p50=_quantile(ttft, 0.5),
            ttft_p95=_quantile(ttft, 0.95),
            ttft_p99=_quantile(ttft, 0.99),
            per_token_p50=_quantile(per_token, 0.5),
            per_token_p95=_quantile(per_token, 0.95),
            per_token_p99=_quantile(per_token, 0.99),
            control_bytes_per_box_s=router.control_bytes() / boxes / span,
            control_messages_per_box_s=messages / boxes / span,
            decision_us=_quantile(sorted(decisions), 0.5) * MICROSECONDS,
            pauses=sum(engine.pauses for engine in self.world.decode_by_id.values()),
            leaked_reservations=router.open_reservations(),
            violations=sum(kinds.values()),
            violation_kinds=" ".join(f"{k}={n}" for k, n in sorted(kinds.items()) if n),
        )


def _at(request: Request, now: float) -> Request:
    return changed(request, arrived_at=now, deadline_at=now + 60.0)


def _ttft(ticket: Ticket) -> float:
    return (ticket.first_token_at or 0.0) - ticket.arrival.request.arrived_at


def _per_token(ticket: Ticket) -> float:
    if ticket.tokens < 2 or ticket.ended_at is None or ticket.first_token_at is None:
        return 0.0
    return (ticket.ended_at - ticket.first_token_at) / (ticket.tokens - 1)


def _is_good(ticket: Ticket) -> bool:
    return _ttft(ticket) <= TTFT_S and _per_token(ticket) <= PER_TOKEN_S


def _quantile(values: list[float], share: float) -> float:
    if not values:
        return 0.0
    return values[min(len(values) - 1, int(len(values) * share))]
