"""The promises, checked over what happened in a run."""

from __future__ import annotations

from collections import Counter
from typing import Protocol

from croftchute.bench.world import Ticket, World
from croftchute.errors import Ran

DRAIN_LIMIT_S = 2.0


class Drained(Protocol):
    """What the checker needs to know of the faults."""

    drained: list[tuple[float, str]]


def violations(world: World, context: Drained) -> Counter[str]:
    """How often each promise was broken, by its name."""
    found: Counter[str] = Counter()
    for ticket in world.ticket_by_id.values():
        _check_ticket(ticket, found)
    _check_memory(world, found)
    for marked_at, engine in context.drained:
        late = [
            at for at, name in world.starts if name == engine and at > marked_at + DRAIN_LIMIT_S
        ]
        found["work-on-leaving"] += len(late)
    return found


def _check_ticket(ticket: Ticket, found: Counter[str]) -> None:
    ends = ticket.answers + ticket.refusals
    found["answered-twice"] += int(ends > 1)
    if ticket.left or ticket.entry_died:
        found["answered-after-leaving"] += int(ticket.left and ticket.answers > 0)
        return
    found["never-answered"] += int(ends == 0)
    if ticket.answers and ticket.tokens != ticket.arrival.output_tokens:
        found["not-whole"] += 1
    if ticket.ran is Ran.NOT_RUN and ticket.engine_starts > 0:
        found["false-not-run"] += 1


def _check_memory(world: World, found: Counter[str]) -> None:
    """After the run's quiet end nothing may be held for anybody."""
    for key in world.held_keys():
        request_id = key.rpartition("-")[0]
        ticket = world.ticket_by_id[request_id]
        gone = ticket.left or ticket.entry_died or ticket.refusals > 0
        found["memory-for-nobody"] += int(gone)
        found["still-running"] += int(not gone)
