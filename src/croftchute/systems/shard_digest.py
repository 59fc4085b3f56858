"""Summary of a shard's load that its owner sends to other boxes."""

from __future__ import annotations

from collections.abc import Mapping, Sequence

from croftchute.tables.upstreams import EngineConfig, EngineLoad, ShardDigest

NO_PREFILL_ENGINE_WAIT_S = 60.0


def build_digest(
    shard_id: str, engines: Sequence[EngineConfig], loads: Mapping[str, EngineLoad], now: float
) -> ShardDigest:
    """Return a shard's shortest prefill wait, largest free decode memory and sum of free slots."""
    waits = [
        max(0.0, loads[engine.id].prefill_free_at - now)
        for engine in engines
        if engine.prefills and loads[engine.id].accepts_work(now)
    ]
    decoders = [
        engine for engine in engines if engine.decodes and loads[engine.id].accepts_work(now)
    ]
    free_kv = [engine.kv_tokens - loads[engine.id].kv_committed for engine in decoders]
    slots = [engine.slots - loads[engine.id].running for engine in decoders]
    return ShardDigest(
        shard=shard_id,
        at=now,
        prefill_wait_s=min(waits, default=NO_PREFILL_ENGINE_WAIT_S),
        free_kv_tokens=max(0, round(max(free_kv, default=0.0))),
        free_slots=max(0, sum(slots)),
    )
