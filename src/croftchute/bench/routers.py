"""Routers under measurement behind one interface, and the two simple baselines."""

from __future__ import annotations

import random
from collections.abc import Callable
from dataclasses import dataclass
from typing import Protocol

from croftchute.bench.world import Running, Ticket, World
from croftchute.errors import Code, Ran
from croftchute.tables.requests import AttemptEnd, Plan, attempt_key
from croftchute.tables.upstreams import EngineConfig, EngineReport

MAX_TRIES = 3

Finish = Callable[[Ticket], None]


class Router(Protocol):
    """What the runner of an experiment asks of a router."""

    def arrive(self, ticket: Ticket) -> None:
        """A request came in at the ticket's box."""
        ...

    def leave(self, ticket: Ticket) -> None:
        """The caller of a ticket hung up."""
        ...

    def kill_box(self, box: str) -> None:
        """A box dies with all it holds."""
        ...

    def open_reservations(self) -> int:
        """Reservations held at the end."""
        ...

    def control_bytes(self) -> float:
        """Bytes sent between boxes so far."""
        ...


@dataclass(kw_only=True)
class _Open:
    ticket: Ticket
    attempt: int
    plan: Plan
    delivered: int = 0


class SimpleRouter:
    """No admission, no reservations: picks engines, lets their queues do the rest."""

    def __init__(self, *, world: World, finish: Finish, seed: int) -> None:
        self._world = world
        self._finish = finish
        self._rng = random.Random(seed)
        self._open_by_id: dict[str, _Open] = {}
        self._dead_boxes: set[str] = set()

    def arrive(self, ticket: Ticket) -> None:
        """Start the first attempt at once."""
        self._start(ticket, 1, 0)

    def leave(self, ticket: Ticket) -> None:
        """Cancel the running attempt."""
        row = self._open_by_id.pop(ticket.arrival.request.id, None)
        if row is not None:
            key = attempt_key(row.plan.request_id, row.plan.attempt)
            self._world.cancel(row.plan.prefill_id, key)
            self._world.cancel(row.plan.decode_id, key)

    def kill_box(self, box: str) -> None:
        """Forget the box's requests; nobody cancels them."""
        for request_id, row in list(self._open_by_id.items()):
            if row.ticket.box == box:
                row.ticket.entry_died = True
                del self._open_by_id[request_id]

    def open_reservations(self) -> int:
        """There are none."""
        return 0

    def control_bytes(self) -> float:
        """Boxes do not talk to each other."""
        return 0.0

    def pick(self, engines: list[EngineConfig], ticket: Ticket, *, prefill: bool) -> EngineConfig:
        """The engine for the next attempt."""
        raise NotImplementedError

    def _start(self, ticket: Ticket, attempt: int, delivered: int) -> None:
        facts = [f for f in self._world.facts_by_id.values() if f.hall == ticket.hall]
        alive = [f for f in facts if not self._world.is_dead(f.id)]
        prefills = [f for f in alive if f.prefills]
        decodes = [f for f in alive if f.decodes]
        if not prefills or not decodes:
            self._refuse(ticket, Ran.NOT_RUN if attempt == 1 else Ran.RAN)
            return
        request = ticket.arrival.request
        plan = Plan(
            request_id=request.id,
            attempt=attempt,
            shard="",
            owner="",
            prefill_id=self.pick(prefills, ticket, prefill=True).id,
            decode_id=self.pick(decodes, ticket, prefill=False).id,
            resume_from=delivered,
            prompt_tokens=request.prompt_tokens,
            expected_output=0.0,
        )
        row = _Open(ticket=ticket, attempt=attempt, plan=plan, delivered=delivered)
        self._open_by_id[request.id] = row
        self._world.start(Running(plan=plan, ticket=ticket, on_end=self._ended))

    def _ended(self, end: AttemptEnd) -> None:
        row = self._open_by_id.pop(end.request_id, None)
        if row is None:
            return
        if end.ok:
            row.ticket.answers += 1
            self._finish(row.ticket)
        elif row.attempt < MAX_TRIES:
            self._start(row.ticket, row.attempt + 1, row.delivered + end.output_tokens)
        else:
            self._refuse(row.ticket, Ran.RAN)

    def _refuse(self, ticket: Ticket, ran: Ran) -> None:
        ticket.refusals += 1
        ticket.ran = ran
        ticket.code = Code.UPSTREAM_FAILED.value
        self._finish(ticket)


class NaiveRouter(SimpleRouter):
    """Round robin."""

    def __init__(self, *, world: World, finish: Finish, seed: int) -> None:
        super().__init__(world=world, finish=finish, seed=seed)
        self._turns: dict[tuple[str, bool], int] = {}

    def pick(self, engines: list[EngineConfig], ticket: Ticket, *, prefill: bool) -> EngineConfig:
        """The next engine in turn."""
        name = (engines[0].hall, prefill)
        turn = self._turns.get(name, 0)
        self._turns[name] = turn + 1
        return engines[turn % len(engines)]


class LeastLoadedRouter(SimpleRouter):
    """The least loaded engine by its last report, plus what the same box sent since then."""

    REFRESH_S = 0.25

    def __init__(self, *, world: World, finish: Finish, seed: int) -> None:
        super().__init__(world=world, finish=finish, seed=seed)
        self._seen: dict[str, EngineReport] = {}
        self._sent: dict[tuple[str, str], int] = {}
        self._next_refresh = 0.0

    def pick(self, engines: list[EngineConfig], ticket: Ticket, *, prefill: bool) -> EngineConfig:
        """The engine with the least backlog or memory in use; ties at random."""
        self._refresh()
        box = ticket.box
        found = min(engines, key=lambda f: (self._load(f, box, prefill), self._rng.random()))
        name = (box, found.id)
        self._sent[name] = self._sent.get(name, 0) + ticket.arrival.request.prompt_tokens
        return found

    def _refresh(self) -> None:
        if self._world.loop.now < self._next_refresh:
            return
        self._next_refresh = self._world.loop.now + self.REFRESH_S
        self._sent.clear()
        for engine_id in self._world.facts_by_id:
            report = self._world.report(engine_id)
            if report is not None:
                self._seen[engine_id] = report

    def _load(self, fact: EngineConfig, box: str, prefill: bool) -> int:
        report = self._seen.get(fact.id)
        sent = self._sent.get((box, fact.id), 0)
        if report is None:
            return sent
        return sent + (report.prefill_backlog_tokens if prefill else report.kv_used_tokens)
