"""How many requests a second a split of engines into stages serves, for a given kind of load.

A prompt is read by a prefill worker, or by the decode worker itself where prefill workers have no
time left; the latter takes longer and holds up the streams that run there. A stream holds decode
memory from its admission to its end. From the averages of what requests of a service are like, and
from the paces seen, follows how many of them a second each split can serve, and so the best one.
"""

from __future__ import annotations

from dataclasses import dataclass
from enum import StrEnum

PREFILL_USE = 0.85
"""Share of its time that a prefill worker can be busy at the most. Prompts arrive at random; above
this a queue of some prompts is the rule (single-server queue)."""

MIN_PREFILL_USE = 0.3
"""The same at the least, however long prompts take to read."""

READ_SHARE_OF_TARGET = 0.6
"""Share of the target within which a prompt should be read, its wait included: the rest is for
room, the move of the cache and the first event."""

MEMORY_USE = 0.9
"""Share of decode memory that holds can fill: a request of average size does not fit the rest."""

LOCAL_PREFILL_SPEED_RATIO = 0.5
"""Pace of a decode worker that reads a prompt itself, over that of a prefill worker (platform)."""


class SplitWay(StrEnum):
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
class RequestMix:
    """Averages over the requests of a service; ``token_s`` is the time of one output token."""

    prompt_tokens: float
    output_tokens: float
    token_s: float

    @property
    def decode_s(self) -> float:
        """How long a stream runs at a decode worker, in seconds."""
        return self.output_tokens * self.token_s

    @property
    def held_tokens(self) -> float:
        """Decode memory that a stream holds on average over its time, in tokens."""
        return self.prompt_tokens + self.output_tokens / 2.0


@dataclass(frozen=True, kw_only=True, slots=True)
class EnginePower:
    """What one engine can do: ``prefill_pace`` in tokens a second, memory in tokens.

    ``read_limit_s`` is the time in which a prompt should be read, wait included; 0 if none is set.
    """

    prefill_pace: float
    kv_tokens: int
    slots: int
    read_limit_s: float = 0.0

    def prefill_use(self, prompt_tokens: float) -> float:
        """The share of its time that a prefill worker may be busy with prompts of a mean length.

        So much that the mean wait at one server with random arrivals and like prompts,
        ``use * reading / (2 * (1 - use))``, still fits the limit.

        >>> power = EnginePower(prefill_pace=33_000, kv_tokens=26_000, slots=16, read_limit_s=0.55)
        >>> round(power.prefill_use(9_000), 2), power.prefill_use(3_000)
        (0.67, 0.85)
        """
        if self.read_limit_s <= 0.0:
            return PREFILL_USE
        reading_s = prompt_tokens / self.prefill_pace
        wait_s = max(0.0, self.read_limit_s - reading_s)
        use = 2.0 * wait_s / (reading_s + 2.0 * wait_s)
        return min(PREFILL_USE, max(MIN_PREFILL_USE, use))


@dataclass(frozen=True, kw_only=True, slots=True)
class Split:
    """So many workers of each stage, and the requests a second that they can serve."""

    prefills: int
    decodes: int
    rate: float


def served_rate(prefills: int, decodes: int, mix: RequestMix, power: EnginePower) -> float:
    """Requests a second that a split can serve; prompts that overflow are read at decode workers.

    >>> mix = RequestMix(prompt_tokens=3000, output_tokens=600, token_s=0.005)
    >>> power = EnginePower(prefill_pace=30_000, kv_tokens=40_000, slots=64)
    >>> [round(served_rate(p, 5 - p, mix, power), 1) for p in (0, 1, 2, 3)]
    [10.5, 12.0, 10.9, 7.3]
    """
    if decodes < 1:
        return 0.0
    by_memory = mix.held_tokens / (MEMORY_USE * power.kv_tokens)
    worker_s = mix.decode_s * max(by_memory, 1.0 / max(1, power.slots))
    prefill_s = mix.prompt_tokens / power.prefill_pace
    read_ahead = prefills * power.prefill_use(mix.prompt_tokens)
    by_decode = decodes / worker_s
    if by_decode * prefill_s <= read_ahead:
        return by_decode
    # Decode workers spend the time that their own reading takes, and run streams in the rest.
    own_s = prefill_s / LOCAL_PREFILL_SPEED_RATIO
    return (decodes + read_ahead / LOCAL_PREFILL_SPEED_RATIO) / (worker_s + own_s)


def best_split(workers: int, mix: RequestMix, power: EnginePower) -> Split:
    """The split of so many workers that serves the most, with as few prefill workers as do.

    Of two workers and more one is left to read prompts: without any, each prompt holds up streams.

    >>> mix = RequestMix(prompt_tokens=3000, output_tokens=600, token_s=0.005)
    >>> best_split(5, mix, EnginePower(prefill_pace=30_000, kv_tokens=40_000, slots=64)).prefills
    1
    """
    fewest = min(1, workers - 1)
    counts = range(fewest, max(workers, fewest + 1))
    splits = [split_of(prefills, workers - prefills, mix, power) for prefills in counts]
    return max(splits, key=lambda split: (split.rate, -split.prefills))


def split_of(prefills: int, decodes: int, mix: RequestMix, power: EnginePower) -> Split:
    """One split with its rate."""
    rate = served_rate(prefills, decodes, mix, power)
    return Split(prefills=prefills, decodes=decodes, rate=rate)
