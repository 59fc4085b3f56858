"""Log and metrics of answers that were aborted because they buffered the most bytes."""

from __future__ import annotations

from croftchute.forwarding.decision_log import Decision
from croftchute.forwarding.state import ForwardingState
from croftchute.systems.held_bytes import EndedStream


def log_ended_stream(state: ForwardingState, request_id: str, ended: EndedStream) -> None:
    """Log and count one aborted answer; all sizes are in bytes."""
    state.metrics.slow_callers.inc({})
    state.log.decide(
        Decision.SLOW_CALLER_ENDED,
        request_id=request_id,
        outcome="connection reset",
        held_bytes=ended.held_bytes,
        held_in_all=ended.held_in_all,
        box_bound=ended.box_bound,
        stream_bound=ended.stream_bound,
        open_answers=ended.open_streams,
        age_s=round(ended.age_s, 3),
    )
