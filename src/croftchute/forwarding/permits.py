"""Leave to call workers: what the paths of a request ask for before each call of a worker."""

from __future__ import annotations

from dataclasses import dataclass
from typing import Protocol

from croftchute.tables.routing import Worker


@dataclass(frozen=True, kw_only=True, slots=True)
class PermitRequest:
    """Calls that are to be made, and by what the places are given where they are scarce.

    ``patience_s`` is how long the calls may be held for a permit that comes soon; ``rank`` is how
    many ranks the request stands behind the most urgent ones of its service.
    """

    calls: int = 1
    patience_s: float = 0.0
    rank: int = 0
    request_id: str = ""


ONE_CALL = PermitRequest()


class CallPermits(Protocol):
    """Permits for calls of workers that name a limit for all boxes together."""

    async def acquire(self, worker: Worker, permit_request: PermitRequest = ONE_CALL) -> bool:
        """Whether the calls of a worker may be made now; a worker without a limit takes any.

        A worker that takes none for the moment is closed in the table until it takes one again.
        """
        ...

    def release(self, worker: Worker, calls: int = 1) -> None:
        """Calls that were not made after all."""
        ...


class UnlimitedPermits:
    """Permits without a limit, for what runs without other boxes."""

    async def acquire(self, worker: Worker, permit_request: PermitRequest = ONE_CALL) -> bool:
        """Every call may be made."""
        return True

    def release(self, worker: Worker, calls: int = 1) -> None:
        """Nothing was taken."""
