"""Choosing which shards to ask, from lagging digests: the prefix's own shard, or a lighter one."""

from __future__ import annotations

import random
from collections.abc import Callable

from croftchute.tables.requests import Request
from croftchute.tables.upstreams import Shard, ShardDigest, Topology

MAX_SAMPLED_SHARDS = 4
MAX_CANDIDATES = 3
UNKNOWN_SHARD_WAIT_S = 0.05
AFFINITY_CREDIT_S = 0.05
PENDING_ASK_COST_S = 0.01
UNAVAILABLE_PENALTY_S = 1.0


class ShardChooser:
    """Digests by shard, and this box's own grants since each digest."""

    def __init__(self, *, rng: random.Random, reachable: Callable[[str], bool]) -> None:
        self.rng = rng
        self.reachable = reachable
        self.digests_by_shard: dict[str, ShardDigest] = {}
        self._asked_since: dict[str, int] = {}

    def learn(self, digest: ShardDigest) -> None:
        """Take in a digest; an older one than known is ignored."""
        known = self.digests_by_shard.get(digest.shard)
        if known is None or digest.at >= known.at:
            self.digests_by_shard[digest.shard] = digest
            self._asked_since[digest.shard] = 0

    def candidates(self, request: Request, topology: Topology, now: float) -> tuple[str, ...]:
        """Up to three shards to ask in turn, best first."""
        model = topology.models_by_id[request.model]
        shards = topology.shards_by_pool.get(model.pool, ())
        if not shards:
            return ()
        sample = self._sample(shards)
        home = self._home(request, shards)
        if home is not None and home not in sample:
            sample.append(home)
        scored = sorted(sample, key=lambda shard: (self._score(shard, home, request), shard.id))
        chosen = tuple(shard.id for shard in scored[:MAX_CANDIDATES])
        self._asked_since[chosen[0]] = self._asked_since.get(chosen[0], 0) + 1
        return chosen

    def _sample(self, shards: tuple[Shard, ...]) -> list[Shard]:
        if len(shards) <= MAX_SAMPLED_SHARDS:
            return list(shards)
        return self.rng.sample(shards, MAX_SAMPLED_SHARDS)

    def _home(self, request: Request, shards: tuple[Shard, ...]) -> Shard | None:
        """The shard that a prompt's first block belongs to, so that its prefix is reused."""
        if not request.prefix or len(shards) == 1:
            return None
        position = request.prefix[0] % len(shards)
        return shards[position]

    def _score(self, shard: Shard, home: Shard | None, request: Request) -> float:
        digest = self.digests_by_shard.get(shard.id)
        pending = PENDING_ASK_COST_S * self._asked_since.get(shard.id, 0)
        credit = AFFINITY_CREDIT_S if home is shard else 0.0
        unreachable = 0.0 if self.reachable(shard.id) else UNAVAILABLE_PENALTY_S
        if digest is None:
            return UNKNOWN_SHARD_WAIT_S + pending - credit + unreachable
        full = digest.free_slots <= 0 or digest.free_kv_tokens < request.prompt_tokens
        penalty = UNAVAILABLE_PENALTY_S if full else 0.0
        return digest.prefill_wait_s + pending + penalty - credit + unreachable
