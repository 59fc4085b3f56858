"""Reads ``Retry-After`` (RFC 9110): seconds or a date, from any bytes that a server may send."""

from __future__ import annotations

import re
from datetime import datetime
from email.utils import parsedate_to_datetime

TURNED_AWAY = frozenset({429, 503})
"""Statuses with which the header says when a server takes work again (RFC 9110, RFC 6585)."""

MAX_REST_S = 86_400.0
"""Longest rest in seconds that is told apart from more: no worker's life is as long as a day."""

_SECONDS = re.compile(r"[0-9]+(\.[0-9]+)?")


def rest_seconds(value: str, sent_at: str = "") -> float:
    """Seconds of rest that a ``Retry-After`` asks for; 0 if it is not one.

    A date is counted from the answer's own ``Date``, so that no clock of this box enters.

    >>> rest_seconds("3"), rest_seconds(" 0.25 ")
    (3.0, 0.25)
    >>> rest_seconds("-3"), rest_seconds("inf"), rest_seconds("soon")
    (0.0, 0.0, 0.0)
    >>> rest_seconds("Thu, 03 Dec 2026 10:00:05 GMT", "Thu, 03 Dec 2026 10:00:00 GMT")
    5.0
    >>> rest_seconds("9" * 400)
    86400.0
    """
    value = value.strip()
    if _SECONDS.fullmatch(value):
        return min(MAX_REST_S, float(value))
    until, now = _date(value), _date(sent_at)
    if until is None or now is None:
        return 0.0
    return min(MAX_REST_S, max(0.0, (until - now).total_seconds()))


def _date(value: str) -> datetime | None:
    """A date of HTTP with its zone; None if there is none."""
    try:
        found = parsedate_to_datetime(value)
    except (ValueError, TypeError, IndexError, OverflowError):
        return None
    return found if found.tzinfo is not None else None
