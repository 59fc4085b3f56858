"""Assignment of engines to shards, and of shards to boxes, by rendezvous hashing.

Both assignments are bounded: no shard holds more than its even share of the engines of a role,
and no box owns more than its even share of shards. Every box computes the same result from the
same input.
"""

from __future__ import annotations

from collections.abc import Sequence
from math import ceil

from croftchute.config.documents import Document, EngineSpec, PoolSpec, Role, UpstreamState
from croftchute.systems.rendezvous import rank_nodes
from croftchute.tables.upstreams import EngineConfig, ModelConfig, Shard, Topology, engine_hash


def assign_evenly(keys: Sequence[str], nodes: Sequence[str]) -> dict[str, str]:
    """Assign each key to a node, at most an even share of keys (rounded up) to each.

    >>> sorted(assign_evenly(["a", "b", "c", "d"], ["x", "y"]).values())
    ['x', 'x', 'y', 'y']
    """
    if not nodes:
        return {}
    capacity = ceil(len(keys) / len(nodes))
    taken = dict.fromkeys(nodes, 0)
    node_by_key: dict[str, str] = {}
    for key in sorted(keys):
        node = next(node for node in rank_nodes(key, nodes) if taken[node] < capacity)
        taken[node] += 1
        node_by_key[key] = node
    return node_by_key


def shard_count(engines: Sequence[EngineSpec], engines_per_shard: int) -> int:
    """Return the number of shards for a pool's engines in one hall.

    It is limited so that each shard has an engine for prefill and one for decode.
    """
    both = sum(engine.role is Role.BOTH for engine in engines)
    prefill = sum(engine.role is Role.PREFILL for engine in engines) + both
    decode = sum(engine.role is Role.DECODE for engine in engines) + both
    wanted = max(1, round(len(engines) / engines_per_shard))
    return max(1, min(wanted, prefill, decode))


def pool_shards(pool: PoolSpec, hall: str) -> tuple[Shard, ...]:
    """Return the shards of one pool in one hall."""
    engines = [engine for engine in pool.engines if engine.hall == hall]
    if not engines:
        return ()
    names = [f"{pool.id}/{n}" for n in range(shard_count(engines, pool.shard_engines))]
    members: dict[str, list[str]] = {name: [] for name in names}
    for role in Role:
        ids = [engine.id for engine in engines if engine.role is role]
        for engine_id, name in assign_evenly(ids, names).items():
            members[name].append(engine_id)
    return tuple(
        Shard(id=name, pool=pool.id, index=n, engine_ids=tuple(sorted(members[name])))
        for n, name in enumerate(names)
    )


def build_topology(document: Document, *, revision: int, hall: str) -> Topology:
    """Convert a configuration to the form that the systems of one hall read."""
    shards_by_pool = {pool.id: pool_shards(pool, hall) for pool in document.pools}
    shards = [shard for shards in shards_by_pool.values() for shard in shards]
    engines = [engine for pool in document.pools for engine in pool.engines if engine.hall == hall]
    return Topology(
        revision=revision,
        hall=hall,
        engines_by_id={engine.id: _engine_config(engine) for engine in engines},
        engine_ids_by_hash={engine_hash(engine.id): engine.id for engine in engines},
        models_by_id=_model_configs(document),
        shards_by_id={shard.id: shard for shard in shards},
        shards_by_pool=shards_by_pool,
        weights_by_caller={caller.id: caller.weight for caller in document.callers},
        max_priority_by_caller={caller.id: caller.max_priority for caller in document.callers},
        ttft_s=document.targets.ttft_s,
        per_token_s=document.targets.per_token_s,
        goodput_weight=document.targets.goodput_weight,
        wasted_prefill_weight=document.targets.wasted_prefill_weight,
    )


def _engine_config(engine: EngineSpec) -> EngineConfig:
    return EngineConfig(
        id=engine.id,
        url=engine.url,
        hall=engine.hall,
        prefills=engine.role is not Role.DECODE,
        decodes=engine.role is not Role.PREFILL,
        leaving=engine.state is UpstreamState.LEAVING,
        prefill_tokens_per_s=engine.prefill_tokens_per_s,
        kv_tokens=engine.kv_tokens,
        slots=engine.slots,
        link_bytes_per_s=engine.link_bytes_per_s,
        step_s=engine.step_s,
    )


def _model_configs(document: Document) -> dict[str, ModelConfig]:
    pool_by_model = {model: pool for pool in document.pools for model in pool.models}
    return {
        model.id: ModelConfig(
            id=model.id,
            pool=pool_by_model[model.id].id,
            version=model.active_version,
            kv_bytes_per_token=model.kv_bytes_per_token,
            max_prompt_tokens=model.max_prompt_tokens,
            max_output_tokens=model.max_output_tokens,
            expected_output_tokens=model.expected_output_tokens,
            result_ttl_s=pool_by_model[model.id].result_ttl_s,
            policy=pool_by_model[model.id].policy,
        )
        for model in document.models
        if model.id in pool_by_model
    }
