"""Trials of requests that are refused for what may have been a single event."""

from __future__ import annotations

from typing import Protocol


class RequestTrials(Protocol):
    """Grants one try at a time, of all boxes together, to show if a request crashes workers."""

    async def claim(self, digest: str) -> bool:
        """Return whether the caller may send the refused request to a worker."""
        ...


class NoRequestTrials:
    """Grants none, for code that runs without a store."""

    async def claim(self, digest: str) -> bool:  # noqa: ARG002
        """Grant no trial."""
        return False
