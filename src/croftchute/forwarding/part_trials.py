"""Trials of requests whose prompts have parts that are refused."""

from __future__ import annotations

from typing import Protocol

from croftchute.systems.part_crashes import PartRefusal


class PartTrials(Protocol):
    """Grants one request at a time, of all boxes together, to show if a part still crashes."""

    async def claim(self, refusal: PartRefusal) -> bool:
        """Return whether the caller may send one request with the refused parts to workers."""
        ...


class NoTrials:
    """Grants none, for code that runs without a store."""

    async def claim(self, refusal: PartRefusal) -> bool:  # noqa: ARG002
        """Grant no trial."""
        return False
