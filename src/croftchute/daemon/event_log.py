"""Events as log lines: those about the fleet at INFO, those about single requests at DEBUG."""

from __future__ import annotations

from loguru import logger

from croftchute.timeline.events import Event, Kind

FLEET_KINDS = frozenset(
    {
        Kind.BOX_LIVE,
        Kind.BOX_SUSPECT,
        Kind.SHARD_TAKEN,
        Kind.SHARD_LOST,
        Kind.CONFIG_APPLIED,
        Kind.UPSTREAM_LEAVING,
        Kind.UPSTREAM_FAILED,
        Kind.DEDUPE_EPOCH,
        Kind.STORE_DOWN,
        Kind.DRAIN_STARTED,
        Kind.DRAIN_ENDED,
        Kind.POLICY_FAILED,
    }
)
DEBUG_LEVELS = ("TRACE", "DEBUG")


class EventLog:
    """Writes events to the log; at INFO, a request's events cost nothing."""

    def __init__(self, *, level: str) -> None:
        self._writes_requests = level.upper() in DEBUG_LEVELS

    def write(self, event: Event) -> None:
        """Write an event, if its kind is wanted at the level."""
        is_fleet = event.kind in FLEET_KINDS
        if not is_fleet and not self._writes_requests:
            return
        line = logger.bind(
            request_id=event.request_id,
            upstream=event.upstream,
            attempt=event.attempt,
            detail=event.detail,
        )
        line.log("INFO" if is_fleet else "DEBUG", event.kind.value)
