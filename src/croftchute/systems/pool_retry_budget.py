"""Retry budget of a pool.

Retries are limited to a share of the requests, so that they do not amplify an outage.
"""

from __future__ import annotations

RETRIES_PER_REQUEST = 0.1
MAX_SAVED_RETRIES = 20.0


class PoolRetryBudget:
    """Token bucket that gains a share of a retry per request and loses one per retry."""

    def __init__(
        self,
        *,
        retries_per_request: float = RETRIES_PER_REQUEST,
        saved_retries: float = MAX_SAVED_RETRIES,
    ) -> None:
        self.retries_per_request = retries_per_request
        self.saved_retries = saved_retries

    def __repr__(self) -> str:
        return f"PoolRetryBudget(saved={self.saved_retries:.1f})"

    def deposit(self) -> None:
        """Add the share of a retry that a new request earns."""
        self.saved_retries = min(MAX_SAVED_RETRIES, self.saved_retries + self.retries_per_request)

    @property
    def has_retry(self) -> bool:
        """Whether a retry is left."""
        return self.saved_retries >= 1.0

    def try_withdraw(self) -> bool:
        """Take one retry out of the budget; return false if less than one is left."""
        if not self.has_retry:
            return False
        self.saved_retries -= 1.0
        return True
