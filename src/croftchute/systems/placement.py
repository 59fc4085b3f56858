"""Choosing engines within a shard: when would the first token come, and is there memory.

All of it is arithmetic on the owner's rows; nothing here changes them.
"""

from __future__ import annotations

from collections.abc import Iterable, Mapping
from math import sqrt

from croftchute.tables.rows import Row
from croftchute.tables.upstreams import EngineFact, EngineLoad

MIN_SIGMAS = 0.5
MAX_EXTRA_SIGMAS = 1.5
COMMITTED_OUTPUT_SHARE = 0.8
MAX_RESULT_TTL_SHARE = 0.8
MAX_KV_FILL = 0.98
MAX_SHORTLIST = 4


class Ask(Row, frozen=True, kw_only=True):
    """What a request needs; ``cached_by_engine`` holds prompt tokens not to be computed."""

    prompt_tokens: int
    expected_output: float
    output_variance: float
    kv_bytes_per_token: float
    result_ttl_s: float
    cached_by_engine: Mapping[str, float]
    avoid: tuple[str, ...] = ()


class Placement(Row, frozen=True, kw_only=True):
    """A pair of engines and the times at which the work would pass through them."""

    prefill_id: str
    decode_id: str
    uncached_tokens: int
    prefill_start_at: float
    prefill_end_at: float
    transfer_end_at: float
    first_token_at: float
    service_s: float


class PrefillSlot(Row, frozen=True, kw_only=True):
    """A time slot at a prefill engine."""

    engine_id: str
    uncached_tokens: int
    start_at: float
    end_at: float


def memory_share(ask: Ask) -> float:
    """KV tokens to commit for a request: its prompt and most of its expected growth."""
    return ask.prompt_tokens + COMMITTED_OUTPUT_SHARE * ask.expected_output


def has_memory(load: EngineLoad, fact: EngineFact, ask: Ask, *, waste_aversion: float) -> bool:
    """Whether a decode engine has a free slot and room for the request's likely growth."""
    if load.running >= fact.slots:
        return False
    sigmas = MIN_SIGMAS + MAX_EXTRA_SIGMAS * waste_aversion
    spread = sigmas * sqrt(load.kv_variance + ask.output_variance)
    committed = load.kv_committed + memory_share(ask) + spread
    return committed <= fact.kv_tokens * MAX_KV_FILL


def prefill_slots(
    facts: Iterable[EngineFact], loads: Mapping[str, EngineLoad], ask: Ask, *, now: float
) -> list[PrefillSlot]:
    """Slots at the usable prefill engines, earliest end first, those to avoid last."""
    slots = []
    for fact in facts:
        load = loads[fact.id]
        if not fact.prefills or not load.usable(now):
            continue
        uncached = max(1, round(ask.prompt_tokens - ask.cached_by_engine.get(fact.id, 0.0)))
        start = max(now, load.prefill_free_at)
        end = start + uncached / fact.prefill_tokens_per_s
        slots.append(
            PrefillSlot(engine_id=fact.id, uncached_tokens=uncached, start_at=start, end_at=end)
        )
    slots.sort(
        key=lambda slot: (
            _is_last_resort(loads[slot.engine_id], ask, now),
            slot.end_at,
            slot.engine_id,
        )
    )
    return slots


def decode_choices(
    facts: Iterable[EngineFact],
    loads: Mapping[str, EngineLoad],
    ask: Ask,
    *,
    now: float,
    waste_aversion: float,
) -> list[EngineFact]:
    """Decode engines with room, emptiest first; those to avoid only if there is no other.

    One that failed a call lately gets nothing, since a prefill for it may be wasted.
    """
    choices = [
        fact
        for fact in facts
        if fact.decodes
        and loads[fact.id].usable(now)
        and now >= loads[fact.id].suspect_until
        and has_memory(loads[fact.id], fact, ask, waste_aversion=waste_aversion)
    ]
    choices.sort(key=lambda fact: (_fill(loads[fact.id], fact), fact.id))
    preferred = [fact for fact in choices if not _is_last_resort(loads[fact.id], ask, now)]
    return preferred or choices


def place(
    slot: PrefillSlot, fact: EngineFact, load: EngineLoad, ask: Ask, *, now: float
) -> Placement | None:
    """The placement of a prefill slot on a decode engine; None if the result would expire."""
    transfer = 0.0
    if slot.engine_id != fact.id:
        transfer = ask.prompt_tokens * ask.kv_bytes_per_token / fact.link_bytes_per_s
    transfer_end = max(slot.end_at, load.ingress_free_at, now) + transfer
    if transfer_end - slot.end_at > ask.result_ttl_s * MAX_RESULT_TTL_SHARE:
        return None
    return Placement(
        prefill_id=slot.engine_id,
        decode_id=fact.id,
        uncached_tokens=slot.uncached_tokens,
        prefill_start_at=slot.start_at,
        prefill_end_at=slot.end_at,
        transfer_end_at=transfer_end,
        first_token_at=transfer_end + fact.step_s,
        service_s=slot.end_at - slot.start_at + transfer + fact.step_s,
    )


def shortlist(
    facts: list[EngineFact],
    loads: Mapping[str, EngineLoad],
    ask: Ask,
    *,
    now: float,
    waste_aversion: float,
) -> list[Placement]:
    """A few placements, earliest first token first; among equals, emptiest decode engine first."""
    slots = prefill_slots(facts, loads, ask, now=now)
    if not slots:
        return []
    choices = decode_choices(facts, loads, ask, now=now, waste_aversion=waste_aversion)
    found = []
    for fact in choices:
        placement = place(slots[0], fact, loads[fact.id], ask, now=now)
        if placement is not None:
            found.append(placement)
    found.sort(key=lambda placement: placement.first_token_at)
    return found[:MAX_SHORTLIST]


def _is_last_resort(load: EngineLoad, ask: Ask, now: float) -> bool:
    """Whether an engine failed lately, or failed this very request."""
    return load.id in ask.avoid or now < load.suspect_until


def _fill(load: EngineLoad, fact: EngineFact) -> float:
    return max(load.kv_committed / fact.kv_tokens, load.running / fact.slots)
