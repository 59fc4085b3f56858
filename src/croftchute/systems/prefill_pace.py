"""How quickly prefill workers read, learnt from how long calls took.

A call takes a fixed time, the reading itself, and a wait behind other prompts. The calls that did
not wait lie on a line over the size of their prompts; its slope is the pace.
"""

from __future__ import annotations

from collections.abc import Sequence
from dataclasses import dataclass

DEFAULT_PACE = 20_000.0
"""Tokens a second that a prefill worker is taken to read until one was seen."""

MIN_SAMPLES = 6
"""Fewest calls to draw a line through."""

KEPT_SHARE = 0.5
"""Share of the calls taken not to have waited: a worker that is half busy lets half go at once."""

ROUNDS = 4
"""How often the line is drawn anew through the calls closest to it from below; it settles by 3."""

MAX_SLOPE_RATIO = 1.5
"""Most that the fitted pace may lie above the quickest call's: more is an accident of few sizes."""


@dataclass(frozen=True, kw_only=True, slots=True)
class PrefillSample:
    """One prefill call that was answered: tokens of its prompt, and the seconds it took."""

    tokens: int
    seconds: float


@dataclass(frozen=True, kw_only=True, slots=True)
class PrefillPace:
    """Seconds that a call takes beside its reading, and the tokens read a second."""

    fixed_s: float = 0.0
    pace: float = DEFAULT_PACE

    def reading_s(self, tokens: int) -> float:
        """How long a call takes that need not wait.

        >>> PrefillPace(fixed_s=0.1, pace=30_000).reading_s(3000)
        0.2
        """
        return self.fixed_s + tokens / self.pace


def fit_pace(samples: Sequence[PrefillSample]) -> PrefillPace:
    """The pace that some calls show.

    >>> calls = [PrefillSample(tokens=n * 1000, seconds=0.05 + n / 30) for n in range(1, 9)]
    >>> calls += [PrefillSample(tokens=n * 1000, seconds=0.35 + n / 30) for n in range(1, 5)]
    >>> found = fit_pace(calls)
    >>> round(found.fixed_s, 3), round(found.pace)
    (0.05, 30000)
    """
    useful = [sample for sample in samples if sample.tokens > 0 and sample.seconds > 0.0]
    quickest = max((sample.tokens / sample.seconds for sample in useful), default=0.0)
    if not useful:
        return PrefillPace()
    if len(useful) < MIN_SAMPLES:
        return PrefillPace(pace=quickest)
    kept = useful
    fitted = PrefillPace(pace=quickest)
    for _ in range(ROUNDS):
        fitted = _line(kept, quickest)
        ordered = sorted(useful, key=lambda s: s.seconds - fitted.reading_s(s.tokens))
        kept = ordered[: max(MIN_SAMPLES // 2, int(KEPT_SHARE * len(ordered)))]
    return fitted


def _line(samples: Sequence[PrefillSample], quickest: float) -> PrefillPace:
    """Least squares, held between the quickest call's pace and a multiple of it."""
    count = len(samples)
    mean_tokens = sum(sample.tokens for sample in samples) / count
    mean_s = sum(sample.seconds for sample in samples) / count
    spread = sum((sample.tokens - mean_tokens) ** 2 for sample in samples)
    common = sum((s.tokens - mean_tokens) * (s.seconds - mean_s) for s in samples)
    pace = spread / common if common > 0.0 else quickest
    pace = min(MAX_SLOPE_RATIO * quickest, max(quickest, pace))
    return PrefillPace(fixed_s=max(0.0, mean_s - mean_tokens / pace), pace=pace)
