"""Cancellation of attempts on engines, resent until it is confirmed or has timed out."""

from __future__ import annotations

from dataclasses import dataclass, replace

from croftchute.commands import CancelAttempt, Command, EmitEvent
from croftchute.timeline.events import Event, Kind

FIRST_RETRY_DELAY_S = 0.2
MAX_RETRY_DELAY_S = 2.0
CANCEL_TIMEOUT_S = 120.0


@dataclass(frozen=True, kw_only=True, slots=True)
class PendingCancel:
    """A cancellation that the engine has not confirmed."""

    engine_id: str
    key: str
    started_at: float
    next_send_at: float
    sends: int = 0


class CancelTracker:
    """Unconfirmed cancellations by engine and attempt, resent with exponential backoff."""

    def __init__(self) -> None:
        self.pending_by_target: dict[tuple[str, str], PendingCancel] = {}

    def start(self, engine_id: str, key: str, now: float) -> list[Command]:
        """Start to cancel an attempt at an engine.

        Does nothing if that is already pending, or if the engine id is empty.
        """
        target = (engine_id, key)
        if not engine_id or target in self.pending_by_target:
            return []
        self.pending_by_target[target] = PendingCancel(
            engine_id=engine_id, key=key, started_at=now, next_send_at=now
        )
        return self.tick(now)

    def confirm(self, engine_id: str, key: str) -> list[Command]:
        """Stop resending: the engine has confirmed that it holds nothing for the attempt."""
        if self.pending_by_target.pop((engine_id, key), None) is None:
            return []
        event = Event(kind=Kind.CANCEL_CONFIRMED, upstream=engine_id, request_id=key)
        return [EmitEvent(event=event)]

    def tick(self, now: float) -> list[Command]:
        """Send the cancellations that are due; drop those past ``CANCEL_TIMEOUT_S``."""
        commands: list[Command] = []
        for target, cancel in list(self.pending_by_target.items()):
            if now - cancel.started_at > CANCEL_TIMEOUT_S:
                del self.pending_by_target[target]
                continue
            if now < cancel.next_send_at:
                continue
            wait = min(MAX_RETRY_DELAY_S, FIRST_RETRY_DELAY_S * (2**cancel.sends))
            self.pending_by_target[target] = replace(
                cancel, next_send_at=now + wait, sends=cancel.sends + 1
            )
            commands.append(CancelAttempt(engine_id=cancel.engine_id, key=cancel.key))
        return commands
