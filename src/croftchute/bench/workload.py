"""Seeded arrivals: sizes, callers, priorities and shared prefixes."""

from __future__ import annotations

import random
from collections.abc import Iterator
from dataclasses import dataclass
from functools import lru_cache

from croftchute.tables.requests import Request

DEADLINE_S = 60.0
PREFIX_BLOCKS = 8


@dataclass(frozen=True, kw_only=True)
class Mix:
    """Distributions of a workload; sizes in tokens, lognormal with these medians and sigmas."""

    prompt_median: float
    prompt_sigma: float
    prompt_max: int
    output_median: float
    output_sigma: float
    output_max: int
    callers: int
    prefixes: int
    prefix_share: float
    high_priority_share: float


@dataclass(frozen=True, kw_only=True)
class Arrival:
    """One request, how long its answer is, when its caller hangs up (or never), and its class."""

    request: Request
    output_tokens: int
    leaves_after_s: float | None


def arrivals(
    mix: Mix, *, rate: float, duration_s: float, cancel_share: float, model: str, seed: int
) -> Iterator[Arrival]:
    """Poisson arrivals at a rate for a time."""
    rng = random.Random(seed)
    now = 0.0
    number = 0
    while True:
        now += rng.expovariate(rate)
        if now > duration_s:
            return
        number += 1
        yield _arrival(mix, rng, now, f"{seed:04d}{number:08d}", model, cancel_share)


@lru_cache
def mean_sizes(mix: Mix, seed: int = 0, samples: int = 4000) -> tuple[float, float]:
    """Mean prompt and output tokens of a mix."""
    rng = random.Random(seed)
    made = [_arrival(mix, rng, 0.0, "x", "m", 0.0) for _ in range(samples)]
    prompts = sum(arrival.request.prompt_tokens for arrival in made) / samples
    outputs = sum(arrival.output_tokens for arrival in made) / samples
    return prompts, outputs


def _arrival(
    mix: Mix, rng: random.Random, now: float, name: str, model: str, cancel_share: float
) -> Arrival:
    prompt = _size(rng, mix.prompt_median, mix.prompt_sigma, mix.prompt_max)
    output = _size(rng, mix.output_median, mix.output_sigma, mix.output_max)
    prefix: tuple[int, ...] = ()
    if rng.random() < mix.prefix_share:
        group = min(mix.prefixes - 1, int(rng.paretovariate(1.0)) - 1)
        blocks = min(PREFIX_BLOCKS, prompt // 64)
        prefix = tuple(hash((group, n)) & 0xFFFFFFFF for n in range(blocks))
    caller = f"caller-{min(mix.callers, int(rng.paretovariate(0.8)))}"
    leaves = rng.uniform(0.0, 3.0) if rng.random() < cancel_share else None
    request = Request(
        id=name,
        caller=caller,
        model=model,
        prompt_tokens=prompt,
        max_tokens=mix.output_max,
        priority=8 if rng.random() < mix.high_priority_share else 3,
        arrived_at=now,
        deadline_at=now + DEADLINE_S,
        prefix=prefix,
    )
    return Arrival(request=request, output_tokens=output, leaves_after_s=leaves)


def _size(rng: random.Random, median: float, sigma: float, most: int) -> int:
    return max(4, min(most, round(rng.lognormvariate(0.0, sigma) * median)))
