"""How quickly prefill workers read, learnt from how long calls took.

A call takes a fixed time, the reading itself, and a wait behind other prompts. The calls that did
not wait lie on a line over the size of their prompts; its slope is the pace.
"""

from __future__ import annotations

from collections.abc import Sequence
from dataclasses import dataclass

DEFAULT_TOKENS_PER_S = 20_000.0
"""Tokens a second that a prefill worker is taken to read until one was seen."""

MIN_SAMPLES = 6
"""Fewest calls to draw a line through."""

UNQUEUED_SHARE = 0.5
"""Share of the calls taken not to have waited: a worker that is half busy lets half go at once."""

FIT_ROUNDS = 4
"""How often the line is drawn anew through the calls closest to it from below; it settles by 3."""

MAX_SPEED_OVER_FASTEST = 1.5
"""Most that the fitted pace may lie above the fastest call's: more is an accident of few sizes."""


@dataclass(frozen=True, kw_only=True, slots=True)
class PrefillSample:
    """One prefill call that was answered: tokens of its prompt, and the seconds it took."""

    tokens: int
    seconds: float


@dataclass(frozen=True, kw_only=True, slots=True)
class PrefillTiming:
    """Seconds that a call takes beside its reading, and the tokens read a second."""

    overhead_s: float = 0.0
    tokens_per_s: float = DEFAULT_TOKENS_PER_S

    def prefill_s(self, tokens: int) -> float:
        """How long a call takes that need not wait.

        >>> PrefillTiming(overhead_s=0.1, tokens_per_s=30_000).prefill_s(3000)
        0.2
        """
        return self.overhead_s + tokens / self.tokens_per_s


def fit_prefill_timing(samples: Sequence[PrefillSample]) -> PrefillTiming:
    """The pace that some calls show.

    >>> calls = [PrefillSample(tokens=n * 1000, seconds=0.05 + n / 30) for n in range(1, 9)]
    >>> calls += [PrefillSample(tokens=n * 1000, seconds=0.35 + n / 30) for n in range(1, 5)]
    >>> found = fit_prefill_timing(calls)
    >>> round(found.overhead_s, 3), round(found.tokens_per_s)
    (0.05, 30000)
    """
    useful = [sample for sample in samples if sample.tokens > 0 and sample.seconds > 0.0]
    fastest = max((sample.tokens / sample.seconds for sample in useful), default=0.0)
    if not useful:
        return PrefillTiming()
    if len(useful) < MIN_SAMPLES:
        return PrefillTiming(tokens_per_s=fastest)
    kept = useful
    fitted = PrefillTiming(tokens_per_s=fastest)
    for _ in range(FIT_ROUNDS):
        fitted = _fit_line(kept, fastest)
        ordered = sorted(useful, key=lambda s: s.seconds - fitted.prefill_s(s.tokens))
        kept = ordered[: max(MIN_SAMPLES // 2, int(UNQUEUED_SHARE * len(ordered)))]
    return fitted


def _fit_line(samples: Sequence[PrefillSample], fastest: float) -> PrefillTiming:
    """Least squares, held between the fastest call's speed and a multiple of it."""
    count = len(samples)
    mean_tokens = sum(sample.tokens for sample in samples) / count
    mean_s = sum(sample.seconds for sample in samples) / count
    variance = sum((sample.tokens - mean_tokens) ** 2 for sample in samples)
    covariance = sum((s.tokens - mean_tokens) * (s.seconds - mean_s) for s in samples)
    tokens_per_s = variance / covariance if covariance > 0.0 else fastest
    tokens_per_s = min(MAX_SPEED_OVER_FASTEST * fastest, max(fastest, tokens_per_s))
    return PrefillTiming(
        overhead_s=max(0.0, mean_s - mean_tokens / tokens_per_s), tokens_per_s=tokens_per_s
    )
