"""The operators' configuration document: its types.

One JSON document holds everything; its revision is the store's modification revision.
Times are seconds, rates are per second, sizes are tokens unless the name says bytes.
"""

from __future__ import annotations

from dataclasses import field
from enum import StrEnum
from typing import Annotated

from pydantic import Field
from pydantic.dataclasses import dataclass

from croftchute.settings import Name
from croftchute.validation import STRICT

Positive = Annotated[float, Field(gt=0)]
Share = Annotated[float, Field(ge=0, le=1)]
Count = Annotated[int, Field(ge=1)]


class Role(StrEnum):
    """What an engine does for its pool."""

    PREFILL = "prefill"
    DECODE = "decode"
    BOTH = "both"


class UpstreamState(StrEnum):
    """What the operator wants of an upstream."""

    SERVING = "serving"
    LEAVING = "leaving"


@dataclass(frozen=True, kw_only=True, config=STRICT)
class EngineSpec:
    """One engine: where it is and what it can hold."""

    id: Name
    hall: Name
    url: str
    role: Role
    state: UpstreamState = UpstreamState.SERVING
    prefill_tokens_per_s: Positive = 20000.0
    kv_tokens: Count = 100000
    slots: Count = 32
    link_bytes_per_s: Positive = 5e9
    step_s: Positive = 0.02
    checks_fence: bool = True


@dataclass(frozen=True, kw_only=True, config=STRICT)
class VersionSpec:
    """A version of a model's weights, and the adapters that go with it."""

    id: Name
    adapters: list[Name] = field(default_factory=list)


@dataclass(frozen=True, kw_only=True, config=STRICT)
class ModelSpec:
    """A model that callers may name."""

    id: Name
    versions: Annotated[list[VersionSpec], Field(min_length=1)]
    active_version: Name
    kv_bytes_per_token: Positive = 100_000.0
    max_prompt_tokens: Count = 65536
    max_output_tokens: Count = 4096
    expected_output_tokens: Positive = 200.0


@dataclass(frozen=True, kw_only=True, config=STRICT)
class PoolSpec:
    """Engines that serve the same models, split by role."""

    id: Name
    models: Annotated[list[Name], Field(min_length=1)]
    engines: list[EngineSpec] = field(default_factory=list)
    hall_weights: dict[str, Share] = field(default_factory=dict)
    policy: Name | None = None
    shard_engines: Count = 8
    result_ttl_s: Positive = 4.0


@dataclass(frozen=True, kw_only=True, config=STRICT)
class WorkerSpec:
    """One worker of a plain service."""

    id: Name
    hall: Name
    url: str
    state: UpstreamState = UpstreamState.SERVING


@dataclass(frozen=True, kw_only=True, config=STRICT)
class CallSpec:
    """One call of a plain service, and whether it may be repeated."""

    method: Annotated[str, Field(pattern=r"^(GET|POST|PUT|PATCH|DELETE)$")]
    path: Annotated[str, Field(pattern=r"^/[A-Za-z0-9_./-]*$")]
    repeatable: bool


@dataclass(frozen=True, kw_only=True, config=STRICT)
class ServiceSpec:
    """A plain service that stands beside the engines."""

    id: Name
    prefix: Annotated[str, Field(pattern=r"^/[A-Za-z0-9_-]+$")]
    workers: list[WorkerSpec] = field(default_factory=list)
    calls: list[CallSpec] = field(default_factory=list)
    timeout_s: Positive = 10.0


@dataclass(frozen=True, kw_only=True, config=STRICT)
class CallerSpec:
    """Limits of one caller; ``*`` stands for callers that are not listed."""

    id: str
    weight: Positive = 1.0
    max_priority: Annotated[int, Field(ge=0, le=9)] = 9


@dataclass(frozen=True, kw_only=True, config=STRICT)
class TargetSpec:
    """Targets, and the weights between the two measures."""

    ttft_s: Positive = 0.44
    per_token_s: Positive = 0.031
    goodput_weight: Positive = 1.0
    wasted_prefill_weight: Positive = 1.0


@dataclass(frozen=True, kw_only=True, config=STRICT)
class PolicySpec:
    """A routing policy: a Starlark program that defines ``order(request, candidates)``."""

    id: Name
    source: str


@dataclass(frozen=True, kw_only=True, config=STRICT)
class HallSpec:
    """A hall and its one-way latency to others, in seconds."""

    id: Name
    region: Name
    latency_s: dict[str, float] = field(default_factory=dict)


@dataclass(frozen=True, kw_only=True, config=STRICT)
class Document:
    """The whole configuration; ``change_id`` tells one submission from another."""

    change_id: str = ""
    halls: Annotated[list[HallSpec], Field(min_length=1)]
    models: list[ModelSpec] = field(default_factory=list)
    pools: list[PoolSpec] = field(default_factory=list)
    services: list[ServiceSpec] = field(default_factory=list)
    callers: list[CallerSpec] = field(default_factory=lambda: [CallerSpec(id="*")])
    targets: TargetSpec = field(default_factory=TargetSpec)
    policies: list[PolicySpec] = field(default_factory=list)
