"""Model the duration of prefill calls by linear regression on the number of prompt tokens.

The duration is the sum of a fixed overhead, the prefill itself and the wait behind other prompts.
For calls that did not wait, it is a linear function of the prompt size. The inverse of its slope is
the prefill speed in tokens per second.
"""

from __future__ import annotations

from collections.abc import Sequence
from dataclasses import dataclass

DEFAULT_TOKENS_PER_S = 20_000.0
"""Prefill speed that is assumed until a call has been observed."""

MIN_SAMPLES = 6
"""Minimum number of calls to fit a line to."""

UNQUEUED_SHARE = 0.5
"""Share of the calls that are assumed not to have waited. A worker that is busy half of the time
serves half of the calls at once."""

FIT_ITERATIONS = 4
"""Number of fits; each after the first uses the calls with the smallest residuals from the one
before. The fit converges within 3 rounds."""

MAX_SPEED_OVER_FASTEST = 1.5
"""Limit on the fitted speed, as a multiple of the fastest single call. A higher result
is an error of the fit, as prompts of similar size give."""


@dataclass(frozen=True, kw_only=True, slots=True)
class PrefillSample:
    """One completed prefill call: the tokens of its prompt and its duration in seconds."""

    tokens: int
    seconds: float


@dataclass(frozen=True, kw_only=True, slots=True)
class PrefillTiming:
    """Linear model of the time of a prefill call.

    ``overhead_s`` does not depend on the prompt; ``tokens_per_s`` is the speed of the prefill
    itself.
    """

    overhead_s: float = 0.0
    tokens_per_s: float = DEFAULT_TOKENS_PER_S

    def prefill_s(self, tokens: int) -> float:
        """Return the duration of a call that does not wait.

        >>> PrefillTiming(overhead_s=0.1, tokens_per_s=30_000).prefill_s(3000)
        0.2
        """
        return self.overhead_s + tokens / self.tokens_per_s


def fit_prefill_timing(samples: Sequence[PrefillSample]) -> PrefillTiming:
    """Return the timing that fits some completed calls.

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
    for _ in range(FIT_ITERATIONS):
        fitted = _fit_line(kept, fastest)
        ordered = sorted(useful, key=lambda s: s.seconds - fitted.prefill_s(s.tokens))
        kept = ordered[: max(MIN_SAMPLES // 2, int(UNQUEUED_SHARE * len(ordered)))]
    return fitted


def _fit_line(samples: Sequence[PrefillSample], fastest: float) -> PrefillTiming:
    """Fit by least squares; the speed is clamped to 1 to 1.5 times that of the fastest call."""
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
