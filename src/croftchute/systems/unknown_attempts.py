"""Find work that runs on an engine without a reservation known to the engine's owner."""

from __future__ import annotations

from collections.abc import Container

from croftchute.tables.upstreams import EngineReport

UNKNOWN_GRACE_S = 2.0
"""Seconds for which an attempt may run unknown to the owner."""


class UnknownAttempts:
    """When each unknown attempt was first seen, by engine and attempt.

    After its shard has changed owners, an attempt may be unknown for a moment, until its entry box
    has announced it. After the grace period no box is left to do that.
    """

    def __init__(self) -> None:
        self._seen_by_engine: dict[str, dict[str, float]] = {}

    def overdue(
        self, engine_id: str, report: EngineReport, known: Container[str], now: float
    ) -> list[str]:
        """Return the attempts in a report that have been unknown beyond the grace period."""
        before = self._seen_by_engine.get(engine_id, {})
        seen = {key: before.get(key, now) for key in report.request_ids if key not in known}
        self._seen_by_engine[engine_id] = seen
        return [key for key, since in seen.items() if report.as_of - since > UNKNOWN_GRACE_S]
