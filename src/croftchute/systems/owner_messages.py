"""Messages and events that the owner of a shard makes of its rows."""

from __future__ import annotations

from croftchute.peers.messages import Granted, Reserve
from croftchute.tables.requests import Reservation
from croftchute.tables.upstreams import engine_hash
from croftchute.timeline.events import Event, Kind


def policy_failed_event(ask: Reserve, failure: str) -> Event:
    """The event that tells that a policy was passed over for a request."""
    return Event(
        kind=Kind.POLICY_FAILED,
        request_id=ask.request_id,
        attempt=ask.attempt,
        detail=failure,
    )


def build_granted(held: Reservation) -> Granted:
    """The message that tells an entry box of a reservation."""
    return Granted(
        request_id=held.request_id,
        attempt=held.attempt,
        shard=held.shard,
        prefill_hash=engine_hash(held.prefill_id),
        decode_hash=engine_hash(held.decode_id),
        expected_output=held.expected_output,
    )
