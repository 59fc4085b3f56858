"""Event kinds and the event record of the time line; never holds prompt or answer text."""

from __future__ import annotations

from enum import StrEnum

from croftchute.tables.rows import Row


class Kind(StrEnum):
    """What happened."""

    REQUEST_ARRIVED = "request_arrived"
    RESERVE_ASKED = "reserve_asked"
    RESERVE_GRANTED = "reserve_granted"
    RESERVE_DECLINED = "reserve_declined"
    RESERVE_RELEASED = "reserve_released"
    ATTEMPT_STARTED = "attempt_started"
    PREFILL_DONE = "prefill_done"
    FIRST_TOKEN = "first_token"
    ATTEMPT_SILENT = "attempt_silent"
    ATTEMPT_ENDED = "attempt_ended"
    REQUEST_ANSWERED = "request_answered"
    REQUEST_REFUSED = "request_refused"
    CALLER_GONE = "caller_gone"
    CANCEL_SENT = "cancel_sent"
    CANCEL_CONFIRMED = "cancel_confirmed"
    ORPHAN_FOUND = "orphan_found"
    POLICY_FAILED = "policy_failed"
    BOX_LIVE = "box_live"
    BOX_SUSPECT = "box_suspect"
    SHARD_TAKEN = "shard_taken"
    SHARD_LOST = "shard_lost"
    CONFIG_APPLIED = "config_applied"
    UPSTREAM_LEAVING = "upstream_leaving"
    UPSTREAM_FAILED = "upstream_failed"
    CALL_ALLOWED = "call_allowed"
    CALL_REFUSED = "call_refused"
    CALL_FINISHED = "call_finished"
    DEDUPE_EPOCH = "dedupe_epoch"
    STORE_DOWN = "store_down"
    DRAIN_STARTED = "drain_started"
    DRAIN_ENDED = "drain_ended"


class Event(Row, frozen=True, kw_only=True):
    """One event; ``detail`` says why, in codes and numbers."""

    kind: Kind
    request_id: str = ""
    upstream: str = ""
    attempt: int = 0
    detail: str = ""
