"""Permits that a request acquires before it calls a worker with a rate limit."""

from __future__ import annotations

from dataclasses import dataclass
from typing import Protocol

from croftchute.tables.routing import Worker


@dataclass(frozen=True, kw_only=True, slots=True)
class PermitRequest:
    """The number of calls to permit, and how the request queues if permits are scarce.

    ``max_wait_s`` is how long the request waits for a permit. ``rank`` is how many ranks the
    request is behind the most urgent ones of its service.
    """

    calls: int = 1
    max_wait_s: float = 0.0
    rank: int = 0
    request_id: str = ""


ONE_CALL = PermitRequest()


class CallPermits(Protocol):
    """Permits for calls of workers that state one rate limit for all boxes together."""

    async def acquire(self, worker: Worker, permit_request: PermitRequest = ONE_CALL) -> bool:
        """Return whether the calls may be made now; without a limit they always may.

        A worker whose limit is reached is blocked in the worker table until it takes calls again.
        """
        ...

    def release(self, worker: Worker, calls: int = 1) -> None:
        """Return the permits of calls that were not made."""
        ...


class UnlimitedPermits:
    """Permits without a limit, for code that runs without other boxes."""

    async def acquire(self, worker: Worker, permit_request: PermitRequest = ONE_CALL) -> bool:
        """Permit every call."""
        return True

    def release(self, worker: Worker, calls: int = 1) -> None:
        """Do nothing: no permit is counted."""
