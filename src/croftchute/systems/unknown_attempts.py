"""Work that runs on an engine though its owner knows of no reservation for it."""

from __future__ import annotations

from collections.abc import Container

from croftchute.tables.upstreams import EngineReport

UNKNOWN_GRACE_S = 2.0


class UnknownAttempts:
    """When each unknown attempt was first seen, by engine and attempt.

    An attempt may be unknown for a moment after its shard has changed owners, until its entry box
    has announced it; after the grace nobody is left to do that.
    """

    def __init__(self) -> None:
        self._seen_by_engine: dict[str, dict[str, float]] = {}

    def overdue(
        self, engine_id: str, report: EngineReport, known: Container[str], now: float
    ) -> list[str]:
        """Attempts in a report that have been unknown for longer than the grace."""
        before = self._seen_by_engine.get(engine_id, {})
        seen = {key: before.get(key, now) for key in report.request_ids if key not in known}
        self._seen_by_engine[engine_id] = seen
        return [key for key, since in seen.items() if report.as_of - since > UNKNOWN_GRACE_S]
