"""What the owner of a shard tells other boxes of its load."""

from __future__ import annotations

from collections.abc import Mapping, Sequence

from croftchute.tables.upstreams import EngineFact, EngineLoad, ShardDigest

NO_PREFILL_WAIT_S = 60.0


def build_digest(
    shard_id: str, facts: Sequence[EngineFact], loads: Mapping[str, EngineLoad], now: float
) -> ShardDigest:
    """The shortest wait for prefill, the largest free decode memory, and all free slots."""
    waits = [
        max(0.0, loads[fact.id].prefill_free_at - now)
        for fact in facts
        if fact.prefills and loads[fact.id].usable(now)
    ]
    decoders = [fact for fact in facts if fact.decodes and loads[fact.id].usable(now)]
    room = [fact.kv_tokens - loads[fact.id].kv_committed for fact in decoders]
    slots = [fact.slots - loads[fact.id].running for fact in decoders]
    return ShardDigest(
        shard=shard_id,
        at=now,
        prefill_wait_s=min(waits, default=NO_PREFILL_WAIT_S),
        free_kv_tokens=max(0, round(max(room, default=0.0))),
        free_slots=max(0, sum(slots)),
    )
