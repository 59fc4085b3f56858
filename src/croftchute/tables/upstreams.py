"""Rows about engines: their configuration, their reports and their committed load."""

from __future__ import annotations

from dataclasses import dataclass, field

import xxhash

from croftchute.tables.rows import Row


def engine_hash(engine_id: str) -> int:
    """Return the short id of an engine in messages.

    The validation of a configuration rejects engines whose hashes collide.
    """
    return int(xxhash.xxh32_intdigest(engine_id.encode()))


class EngineReport(Row, frozen=True, kw_only=True):
    """A load report as the engine published it, valid at the time ``as_of``."""

    as_of: float
    running: int
    kv_used_tokens: int
    prefill_backlog_tokens: int
    leaving: bool = False
    request_ids: tuple[str, ...] = ()
    loaded_versions: tuple[str, ...] = ()


class EngineLoad(Row, frozen=True, kw_only=True):
    """An owner's view of one engine's load; times are absolute seconds, sizes are tokens."""

    id: str
    prefill_free_at: float = 0.0
    ingress_free_at: float = 0.0
    kv_committed: float = 0.0
    kv_variance: float = 0.0
    running: int = 0
    prefilling: int = 0
    leaving: bool = False
    suspect_until: float = 0.0
    unreachable_until: float = 0.0
    backoff_until: float = 0.0
    is_kv_full: bool = False
    report: EngineReport | None = None

    def accepts_work(self, now: float) -> bool:
        """Return whether new work may go to the engine."""
        if self.leaving or self.is_kv_full:
            return False
        return now >= self.unreachable_until and now >= self.backoff_until


@dataclass(frozen=True, kw_only=True, slots=True)
class ShardDigest:
    """Summary of a shard's load that its owner sends to other boxes."""

    shard: str
    at: float
    prefill_wait_s: float
    free_kv_tokens: int
    free_slots: int


@dataclass(frozen=True, kw_only=True, slots=True)
class EngineConfig:
    """The configuration of one engine, in the form that the systems read."""

    id: str
    url: str
    hall: str
    prefills: bool
    decodes: bool
    leaving: bool
    prefill_tokens_per_s: float
    kv_tokens: int
    slots: int
    link_bytes_per_s: float
    step_s: float


@dataclass(frozen=True, kw_only=True, slots=True)
class Shard:
    """A set of engines of one pool in one hall, owned by a single box."""

    id: str
    pool: str
    index: int
    engine_ids: tuple[str, ...]


@dataclass(frozen=True, kw_only=True, slots=True)
class ModelConfig:
    """The configuration of one model, in the form that the systems read."""

    id: str
    pool: str
    version: str
    kv_bytes_per_token: float
    max_prompt_tokens: int
    max_output_tokens: int
    expected_output_tokens: float
    result_ttl_s: float
    policy: str | None


@dataclass(frozen=True, kw_only=True)
class Topology:
    """The configuration with the engines and shards of one hall, rebuilt for each revision."""

    revision: int
    hall: str
    engines_by_id: dict[str, EngineConfig] = field(default_factory=dict)
    engine_ids_by_hash: dict[int, str] = field(default_factory=dict)
    models_by_id: dict[str, ModelConfig] = field(default_factory=dict)
    shards_by_id: dict[str, Shard] = field(default_factory=dict)
    shards_by_pool: dict[str, tuple[Shard, ...]] = field(default_factory=dict)
    weights_by_caller: dict[str, float] = field(default_factory=dict)
    max_priority_by_caller: dict[str, int] = field(default_factory=dict)
    ttft_s: float = 0.44
    per_token_s: float = 0.031
    goodput_weight: float = 1.0
    wasted_prefill_weight: float = 1.0

    @property
    def waste_aversion(self) -> float:
        """Weight of wasted prefill relative to goodput, from 0 to 1."""
        return self.wasted_prefill_weight / (self.goodput_weight + self.wasted_prefill_weight)
