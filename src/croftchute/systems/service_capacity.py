"""Estimate the request rate that a split of engines into stages can serve.

A prompt is prefilled by a prefill worker, or by its decode worker when the prefill workers are
fully utilized. A prefill at the decode worker takes longer and delays the streams there. A stream
holds KV memory from its admission to its end. The averages of a service's requests and the measured
speeds give the request rate of each split, and so the best split.
"""

from __future__ import annotations

from dataclasses import dataclass
from enum import StrEnum

MAX_PREFILL_UTILIZATION = 0.85
"""Highest share of its time that a prefill worker can be busy. Prompts arrive at random:
above this share, several of them usually wait (single-server queue)."""

MIN_PREFILL_UTILIZATION = 0.3
"""Lower limit of the planned utilization of a prefill worker, however long its prompts take."""

PREFILL_SHARE_OF_TARGET = 0.6
"""Share of the first-token target within which a prompt should wait and be prefilled. The rest
is for admission, the transfer of the KV cache and the first event."""

MAX_KV_UTILIZATION = 0.9
"""Highest share of KV memory that streams can fill: a request of average size does not fit into
the rest."""

LOCAL_PREFILL_SPEED_RATIO = 0.5
"""Prefill speed of a decode worker, relative to a prefill worker, as specified by the
platform."""


class SplitMode(StrEnum):
    """How engines are split into stages.

    ``by_target`` and ``fixed_use`` maximize the request rate. ``fixed_use`` plans prefill workers
    at a fixed utilization; ``by_target`` lowers it where long prompts would miss the first-token
    target. ``headroom`` compares the speed of the engines with the present demand. ``auto`` is
    ``headroom`` for services whose workers report a pace, and ``fixed_use`` for others.
    """

    AUTO = "auto"
    BY_TARGET = "by_target"
    FIXED_USE = "fixed_use"
    HEADROOM = "headroom"


@dataclass(frozen=True, kw_only=True, slots=True)
class RequestAverages:
    """Averages over the requests of a service.

    ``output_token_s`` is the time of one output token.
    """

    prompt_tokens: float
    output_tokens: float
    output_token_s: float

    @property
    def decode_s(self) -> float:
        """Return the mean time of a stream at a decode worker, in seconds."""
        return self.output_tokens * self.output_token_s

    @property
    def mean_kv_tokens(self) -> float:
        """Return the KV memory that a stream holds on average over its lifetime, in tokens."""
        return self.prompt_tokens + self.output_tokens / 2.0


@dataclass(frozen=True, kw_only=True, slots=True)
class EngineCapacity:
    """Capacity of one engine; ``kv_tokens`` is its KV memory in tokens.

    ``prefill_limit_s`` is the time in which a prompt should be prefilled, wait included; 0 sets no
    limit.
    """

    prefill_tokens_per_s: float
    kv_tokens: int
    slots: int
    prefill_limit_s: float = 0.0

    def max_prefill_utilization(self, prompt_tokens: float) -> float:
        """Return the share of its time that a prefill worker may be busy, for a mean prompt length.

        This is the highest utilization whose mean wait still fits the limit. The mean wait is that
        of a single server with random arrivals and prompts of one size, ``utilization * prefill_s /
        (2 * (1 - utilization))``.

        >>> capacity = EngineCapacity(
        ...     prefill_tokens_per_s=33_000, kv_tokens=26_000, slots=16, prefill_limit_s=0.55
        ... )
        >>> round(capacity.max_prefill_utilization(9_000), 2)
        0.67
        >>> capacity.max_prefill_utilization(3_000)
        0.85
        """
        if self.prefill_limit_s <= 0.0:
            return MAX_PREFILL_UTILIZATION
        prefill_s = prompt_tokens / self.prefill_tokens_per_s
        wait_s = max(0.0, self.prefill_limit_s - prefill_s)
        utilization = 2.0 * wait_s / (prefill_s + 2.0 * wait_s)
        return min(MAX_PREFILL_UTILIZATION, max(MIN_PREFILL_UTILIZATION, utilization))


@dataclass(frozen=True, kw_only=True, slots=True)
class StageSplit:
    """Numbers of workers in each stage, and the request rate that they can serve."""

    prefill_workers: int
    decode_workers: int
    requests_per_s: float


def max_request_rate(
    prefill_workers: int, decode_workers: int, averages: RequestAverages, capacity: EngineCapacity
) -> float:
    """Return the request rate that a split can serve, in requests per second.

    Prompts that exceed the capacity of the prefill workers are prefilled at decode workers.

    >>> averages = RequestAverages(prompt_tokens=3000, output_tokens=600, output_token_s=0.005)
    >>> capacity = EngineCapacity(prefill_tokens_per_s=30_000, kv_tokens=40_000, slots=64)
    >>> [round(max_request_rate(p, 5 - p, averages, capacity), 1) for p in (0, 1, 2, 3)]
    [10.5, 12.0, 10.9, 7.3]
    """
    if decode_workers < 1:
        return 0.0
    kv_share = averages.mean_kv_tokens / (MAX_KV_UTILIZATION * capacity.kv_tokens)
    decode_work_s = averages.decode_s * max(kv_share, 1.0 / max(1, capacity.slots))
    prefill_s = averages.prompt_tokens / capacity.prefill_tokens_per_s
    prefill_capacity = prefill_workers * capacity.max_prefill_utilization(averages.prompt_tokens)
    decode_rate = decode_workers / decode_work_s
    if decode_rate * prefill_s <= prefill_capacity:
        return decode_rate
    # Decode workers spend part of their time on local prefills and run streams in the rest.
    local_prefill_s = prefill_s / LOCAL_PREFILL_SPEED_RATIO
    return (decode_workers + prefill_capacity / LOCAL_PREFILL_SPEED_RATIO) / (
        decode_work_s + local_prefill_s
    )


def best_split(workers: int, averages: RequestAverages, capacity: EngineCapacity) -> StageSplit:
    """Return the split with the highest request rate; on a tie, the fewest prefill workers.

    Of two or more workers, at least one is a prefill worker. Without it, each prompt would delay
    the streams of a decode worker.

    >>> averages = RequestAverages(prompt_tokens=3000, output_tokens=600, output_token_s=0.005)
    >>> capacity = EngineCapacity(prefill_tokens_per_s=30_000, kv_tokens=40_000, slots=64)
    >>> best_split(5, averages, capacity).prefill_workers
    1
    """
    min_prefills = min(1, workers - 1)
    counts = range(min_prefills, max(workers, min_prefills + 1))
    splits = [
        evaluate_split(prefills, workers - prefills, averages, capacity) for prefills in counts
    ]
    return max(splits, key=lambda split: (split.requests_per_s, -split.prefill_workers))


def evaluate_split(
    prefill_workers: int, decode_workers: int, averages: RequestAverages, capacity: EngineCapacity
) -> StageSplit:
    """Return a split together with its request rate."""
    rate = max_request_rate(prefill_workers, decode_workers, averages, capacity)
    return StageSplit(
        prefill_workers=prefill_workers, decode_workers=decode_workers, requests_per_s=rate
    )
