"""How many requests a second a split of engines into stages serves, for a given kind of load.

A prompt is read by a prefill worker, or by the decode worker itself where prefill workers have no
time left; the latter takes longer and holds up the streams that run there. A stream holds decode
memory from its admission to its end. From the averages of what requests of a service are like, and
from the paces seen, follows how many of them a second each split can serve, and so the best one.
"""

from __future__ import annotations

from dataclasses import dataclass
from enum import StrEnum

MAX_PREFILL_UTILIZATION = 0.85
"""Share of its time that a prefill worker can be busy at the most. Prompts arrive at random; above
this a queue of some prompts is the rule (single-server queue)."""

MIN_PREFILL_UTILIZATION = 0.3
"""The same at the least, however long prompts take to read."""

PREFILL_SHARE_OF_TARGET = 0.6
"""Share of the target within which a prompt should be read, its wait included: the rest is for
room, the move of the cache and the first event."""

MAX_KV_UTILIZATION = 0.9
"""Share of decode memory that holds can fill: a request of average size does not fit the rest."""

LOCAL_PREFILL_SPEED_RATIO = 0.5
"""Pace of a decode worker that reads a prompt itself, over that of a prefill worker (platform)."""


class SplitMode(StrEnum):
    """How engines are split into stages.

    ``by_target`` and ``fixed_use`` serve the most requests, with prefill workers as busy as their
    prompts and the target allow, or a fixed share; ``headroom`` goes by the speeds of the engines
    and the present demand. ``auto`` is ``headroom`` for services whose workers report a pace, and
    ``fixed_use`` for others.
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
        """How long a stream runs at a decode worker, in seconds."""
        return self.output_tokens * self.output_token_s

    @property
    def mean_kv_tokens(self) -> float:
        """Decode memory that a stream holds on average over its time, in tokens."""
        return self.prompt_tokens + self.output_tokens / 2.0


@dataclass(frozen=True, kw_only=True, slots=True)
class EngineCapacity:
    """What one engine can do: ``prefill_tokens_per_s`` in tokens a second, memory in tokens.

    ``prefill_limit_s`` is the time in which a prompt should be read, wait included; 0 if none is
    set.
    """

    prefill_tokens_per_s: float
    kv_tokens: int
    slots: int
    prefill_limit_s: float = 0.0

    def max_prefill_utilization(self, prompt_tokens: float) -> float:
        """The share of its time that a prefill worker may be busy with prompts of a mean length.

        So much that the mean wait at one server with random arrivals and like prompts,
        ``use * reading / (2 * (1 - use))``, still fits the limit.

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
    """So many workers of each stage, and the requests a second that they can serve."""

    prefill_workers: int
    decode_workers: int
    requests_per_s: float


def max_request_rate(
    prefill_workers: int, decode_workers: int, averages: RequestAverages, capacity: EngineCapacity
) -> float:
    """Requests a second that a split can serve; prompts that overflow are read at decode workers.

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
    # Decode workers spend the time that their own reading takes, and run streams in the rest.
    local_prefill_s = prefill_s / LOCAL_PREFILL_SPEED_RATIO
    workers = decode_workers + prefill_capacity / LOCAL_PREFILL_SPEED_RATIO
    return workers / (decode_work_s + local_prefill_s)


def best_split(workers: int, averages: RequestAverages, capacity: EngineCapacity) -> StageSplit:
    """The split of so many workers that serves the most, with as few prefill workers as do.

    Of two workers and more one is left to read prompts: without any, each prompt holds up streams.

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
    """One split with its rate."""
    rate = max_request_rate(prefill_workers, decode_workers, averages, capacity)
    return StageSplit(
        prefill_workers=prefill_workers, decode_workers=decode_workers, requests_per_s=rate
    )
