"""A retry budget: retries may be at most a share of requests, so that outages do not grow."""

from __future__ import annotations

RETRIES_PER_REQUEST = 0.1
MAX_SAVED_RETRIES = 20.0


class RetryBudget:
    """Earns a share of a retry with each request, spends one with each retry."""

    def __init__(
        self, *, share: float = RETRIES_PER_REQUEST, saved: float = MAX_SAVED_RETRIES
    ) -> None:
        self.share = share
        self.saved = saved

    def __repr__(self) -> str:
        return f"RetryBudget(saved={self.saved:.1f})"

    def earn(self) -> None:
        """Count a new request."""
        self.saved = min(MAX_SAVED_RETRIES, self.saved + self.share)

    def spend(self) -> bool:
        """Take one retry out of the budget, if there is one."""
        if self.saved < 1.0:
            return False
        self.saved -= 1.0
        return True
