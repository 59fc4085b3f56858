"""Messages and events that the owner of a shard sends."""

from __future__ import annotations

from croftchute.peers.messages import Granted, Reserve
from croftchute.tables.requests import Reservation
from croftchute.tables.upstreams import engine_hash
from croftchute.timeline.events import Event, Kind


def policy_failed_event(request: Reserve, failure: str) -> Event:
    """Build the event for a request that was placed without its policy, which failed."""
    return Event(
        kind=Kind.POLICY_FAILED,
        request_id=request.request_id,
        attempt=request.attempt,
        detail=failure,
    )


def build_granted(held: Reservation) -> Granted:
    """Build the message that grants a reservation to an entry box."""
    return Granted(
        request_id=held.request_id,
        attempt=held.attempt,
        shard=held.shard,
        prefill_hash=engine_hash(held.prefill_id),
        decode_hash=engine_hash(held.decode_id),
        expected_output=held.expected_output,
    )
