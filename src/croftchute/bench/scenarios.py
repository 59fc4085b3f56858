"""Scenarios: the two users of the brief today, and one hall of the target size."""

from __future__ import annotations

from dataclasses import dataclass

from croftchute.bench.workload import Mix, mean_sizes
from croftchute.config.documents import (
    Document,
    EngineSpec,
    HallSpec,
    ModelSpec,
    PoolSpec,
    Role,
    TargetSpec,
    VersionSpec,
)

MODEL = "model"
POOL = "pool"
USABLE_SHARE = 0.97


@dataclass(frozen=True, kw_only=True)
class HallShape:
    """Boxes and engines by role of one hall."""

    name: str
    boxes: int
    prefill: int = 0
    decode: int = 0
    both: int = 0


@dataclass(frozen=True, kw_only=True)
class Scenario:
    """Everything about a run but its load, faults, router and seed."""

    name: str
    halls: tuple[HallShape, ...]
    mix: Mix
    prefill_tokens_per_s: float
    kv_tokens: int
    slots: int
    step_s: float
    link_bytes_per_s: float
    kv_bytes_per_token: float
    result_ttl_s: float
    goodput_weight: float
    wasted_prefill_weight: float
    latency_s: float
    duration_s: float
    warmup_s: float

    @property
    def capacity(self) -> float:
        """Requests a second that prefill, decode steps and decode memory could carry at best."""
        return sum(self.hall_capacity(hall) for hall in self.halls)

    def hall_capacity(self, hall: HallShape) -> float:
        """The same for one hall."""
        prompt, output = mean_sizes(self.mix)
        prefills, decodes = hall.prefill + hall.both, hall.decode + hall.both
        by_prefill = prefills * self.prefill_tokens_per_s / prompt
        by_memory = self.kv_tokens * USABLE_SHARE / (prompt + output / 2)
        batch = min(self.slots, by_memory)
        step = self.step_s * (0.4 + 0.6 * batch / self.slots)
        by_decode = decodes * batch / step / output
        return min(by_prefill, by_decode)

    def document(self, *, shard_engines: int) -> Document:
        """The configuration of the scenario's fleet."""
        engines = [
            EngineSpec(
                id=f"{hall.name}-{role.value}-{n}",
                hall=hall.name,
                url="http://127.0.0.1:1",
                role=role,
                prefill_tokens_per_s=self.prefill_tokens_per_s,
                kv_tokens=self.kv_tokens,
                slots=self.slots,
                link_bytes_per_s=self.link_bytes_per_s,
                step_s=self.step_s,
            )
            for hall in self.halls
            for role, count in _roles(hall)
            for n in range(count)
        ]
        _, output = mean_sizes(self.mix)
        model = ModelSpec(
            id=MODEL,
            versions=[VersionSpec(id="v1")],
            active_version="v1",
            kv_bytes_per_token=self.kv_bytes_per_token,
            max_output_tokens=self.mix.output_max,
            expected_output_tokens=round(output),
        )
        pool = PoolSpec(
            id=POOL,
            models=[MODEL],
            engines=engines,
            shard_engines=shard_engines,
            result_ttl_s=self.result_ttl_s,
        )
        targets = TargetSpec(
            goodput_weight=self.goodput_weight, wasted_prefill_weight=self.wasted_prefill_weight
        )
        halls = [HallSpec(id=hall.name, region="region-1") for hall in self.halls]
        return Document(halls=halls, models=[model], pools=[pool], targets=targets)


def _roles(hall: HallShape) -> list[tuple[Role, int]]:
    return [(Role.PREFILL, hall.prefill), (Role.DECODE, hall.decode), (Role.BOTH, hall.both)]


_DESK = Mix(
    prompt_median=550.0,
    prompt_sigma=0.7,
    prompt_max=4000,
    output_median=110.0,
    output_sigma=0.6,
    output_max=600,
    callers=40,
    prefixes=12,
    prefix_share=0.6,
    high_priority_share=0.3,
)

_FLEET = Mix(
    prompt_median=900.0,
    prompt_sigma=0.9,
    prompt_max=16000,
    output_median=310.0,
    output_sigma=0.55,
    output_max=2000,
    callers=5400,
    prefixes=400,
    prefix_share=0.5,
    high_priority_share=0.3,
)

DAKAR = Scenario(
    name="dakar",
    halls=(
        HallShape(name="plateau", boxes=3, prefill=1, decode=1),
        HallShape(name="parcelles", boxes=2, prefill=1, decode=1),
        HallShape(name="rufisque", boxes=2, both=1),
    ),
    mix=_DESK,
    prefill_tokens_per_s=7000.0,
    kv_tokens=22000,
    slots=32,
    step_s=0.028,
    link_bytes_per_s=2.0e9,
    kv_bytes_per_token=160_000.0,
    result_ttl_s=4.0,
    goodput_weight=4.0,
    wasted_prefill_weight=1.0,
    latency_s=0.0005,
    duration_s=120.0,
    warmup_s=10.0,
)

OBERBAYERN = Scenario(
    name="oberbayern",
    halls=tuple(
        HallShape(name=name, boxes=2 + (name == "halle-a"), prefill=1, decode=2)
        for name in ("halle-a", "halle-b", "halle-c")
    ),
    mix=_DESK,
    prefill_tokens_per_s=12000.0,
    kv_tokens=22000,
    slots=32,
    step_s=0.028,
    link_bytes_per_s=2.0e9,
    kv_bytes_per_token=160_000.0,
    result_ttl_s=4.0,
    goodput_weight=1.0,
    wasted_prefill_weight=4.0,
    latency_s=0.0005,
    duration_s=120.0,
    warmup_s=10.0,
)

HALL_AT_TARGET = Scenario(
    name="hall-at-target",
    halls=(HallShape(name="hall-1", boxes=72, prefill=115, decode=345),),
    mix=_FLEET,
    prefill_tokens_per_s=36000.0,
    kv_tokens=110000,
    slots=96,
    step_s=0.029,
    link_bytes_per_s=5.0e9,
    kv_bytes_per_token=75_000.0,
    result_ttl_s=4.0,
    goodput_weight=2.0,
    wasted_prefill_weight=1.0,
    latency_s=0.0005,
    duration_s=24.0,
    warmup_s=14.0,
)

SCENARIOS = {scenario.name: scenario for scenario in (DAKAR, OBERBAYERN, HALL_AT_TARGET)}
