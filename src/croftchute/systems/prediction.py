"""Forecast of output lengths: mean and variance by model, learned from completed requests."""

from __future__ import annotations

from dataclasses import dataclass, replace

SMOOTHING_FACTOR = 0.02


@dataclass(frozen=True, kw_only=True, slots=True)
class OutputLengthForecast:
    """Exponentially weighted mean and variance of output lengths, in tokens."""

    mean: float
    variance: float

    def updated(self, tokens: int) -> OutputLengthForecast:
        """Return the forecast after one more output of ``tokens`` tokens."""
        error = tokens - self.mean
        mean = self.mean + SMOOTHING_FACTOR * error
        variance = (1.0 - SMOOTHING_FACTOR) * (self.variance + SMOOTHING_FACTOR * error * error)
        return replace(self, mean=mean, variance=variance)

    def capped_at(self, max_tokens: int) -> tuple[float, float]:
        """Return mean and variance for a request limited to ``max_tokens``."""
        if max_tokens <= self.mean:
            return float(max_tokens), 0.0
        return self.mean, self.variance


def initial_forecast(expected_tokens: float) -> OutputLengthForecast:
    """Return the forecast before any output is known; its deviation is half the mean."""
    return OutputLengthForecast(mean=expected_tokens, variance=(expected_tokens * 0.5) ** 2)
