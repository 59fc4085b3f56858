"""How long to wait for what: times after which another worker is worth its price."""

from __future__ import annotations

from croftchute.tables.routing import Route

REPEAT_SHARE_OF_TARGET = 0.6
FIRST_EVENT_SHARE_OF_TARGET = 0.6
TYPICAL_MULTIPLE = 3.0
PREFILL_BASE_S = 0.15
PREFILL_S_PER_TOKEN = 6e-5
GAP_MULTIPLE = 3.0
MIN_GAP_S = 0.6
CONNECT_S = 0.25
REFUSAL_SHARE_OF_TARGET = 0.25
RETRY_AFTER_SHARE = 0.25
MIN_RETRY_AFTER_S = 0.1
MAX_RETRY_AFTER_S = 1.0


def answer_patience(route: Route, *, typical_s: float, time_left_s: float) -> float:
    """How long a worker may take before a repeatable request is put to another one."""
    wanted = max(REPEAT_SHARE_OF_TARGET * route.target_s, TYPICAL_MULTIPLE * typical_s)
    return min(wanted, time_left_s)


def first_event_patience(route: Route, *, time_left_s: float) -> float:
    """How long a decode worker may take to its first event, if the stream may be resumed."""
    return min(FIRST_EVENT_SHARE_OF_TARGET * route.target_s, time_left_s)


def prefill_patience(tokens: int, *, time_left_s: float) -> float:
    """How long a prefill call may take; a decode worker can read the prompt itself."""
    return min(PREFILL_BASE_S + PREFILL_S_PER_TOKEN * tokens, time_left_s)


def gap_patience(route: Route, *, time_left_s: float) -> float:
    """How long a stream that may be resumed may pause before it is moved."""
    return min(max(MIN_GAP_S, GAP_MULTIPLE * route.target_gap_s), time_left_s)


def retry_after(time_left_s: float) -> float:
    """When a refused caller should come back: soon enough that its deadline allows it.

    >>> retry_after(1.5)
    0.375
    """
    wanted = RETRY_AFTER_SHARE * time_left_s
    return round(min(MAX_RETRY_AFTER_S, max(MIN_RETRY_AFTER_S, wanted)), 3)
