"""Choice of the shards to ask for a reservation, from digests that lag behind the real load.

The shard that a prompt's prefix maps to is preferred, unless others are clearly less loaded.
"""

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
    """The latest digest of each shard, and how often this box chose the shard since."""

    def __init__(self, *, rng: random.Random, is_reachable: Callable[[str], bool]) -> None:
        self.rng = rng
        self.is_reachable = is_reachable
        self.digests_by_shard: dict[str, ShardDigest] = {}
        self._asks_since_digest: dict[str, int] = {}

    def update_digest(self, digest: ShardDigest) -> None:
        """Store a digest unless a newer one is known."""
        known = self.digests_by_shard.get(digest.shard)
        if known is None or digest.at >= known.at:
            self.digests_by_shard[digest.shard] = digest
            self._asks_since_digest[digest.shard] = 0

    def candidates(self, request: Request, topology: Topology, now: float) -> tuple[str, ...]:
        """Return up to ``MAX_CANDIDATES`` shards to ask in turn, best first."""
        model = topology.models_by_id[request.model]
        shards = topology.shards_by_pool.get(model.pool, ())
        if not shards:
            return ()
        sample = self._sample(shards)
        affinity_shard = self._affinity_shard(request, shards)
        if affinity_shard is not None and affinity_shard not in sample:
            sample.append(affinity_shard)
        scored = sorted(
            sample,
            key=lambda shard: (self._expected_cost_s(shard, affinity_shard, request), shard.id),
        )
        chosen = tuple(shard.id for shard in scored[:MAX_CANDIDATES])
        self._asks_since_digest[chosen[0]] = self._asks_since_digest.get(chosen[0], 0) + 1
        return chosen

    def _sample(self, shards: tuple[Shard, ...]) -> list[Shard]:
        if len(shards) <= MAX_SAMPLED_SHARDS:
            return list(shards)
        return self.rng.sample(shards, MAX_SAMPLED_SHARDS)

    def _affinity_shard(self, request: Request, shards: tuple[Shard, ...]) -> Shard | None:
        """Return the shard that the prompt's first block maps to, where its prefix is reused."""
        if not request.prefix or len(shards) == 1:
            return None
        position = request.prefix[0] % len(shards)
        return shards[position]

    def _expected_cost_s(
        self, shard: Shard, affinity_shard: Shard | None, request: Request
    ) -> float:
        digest = self.digests_by_shard.get(shard.id)
        pending = PENDING_ASK_COST_S * self._asks_since_digest.get(shard.id, 0)
        credit = AFFINITY_CREDIT_S if affinity_shard is shard else 0.0
        unreachable = 0.0 if self.is_reachable(shard.id) else UNAVAILABLE_PENALTY_S
        if digest is None:
            return UNKNOWN_SHARD_WAIT_S + pending - credit + unreachable
        full = digest.free_slots <= 0 or digest.free_kv_tokens < request.prompt_tokens
        penalty = UNAVAILABLE_PENALTY_S if full else 0.0
        return digest.prefill_wait_s + pending + penalty - credit + unreachable
