"""Find attempts that an engine reports as running but that the engine's owner doesn't know."""

from __future__ import annotations

from collections.abc import Container

from croftchute.tables.upstreams import EngineReport

UNKNOWN_GRACE_S = 2.0
"""Seconds for which an engine may run an attempt that its owner doesn't know."""


class UnknownAttempts:
    """When each unknown attempt was first seen, by engine and attempt.

    After its shard has changed owners, an attempt may be unknown for a moment, until its entry box
    has announced it. An attempt that is still unknown after the grace period has no box left to
    announce it.
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
