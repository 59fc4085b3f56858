"""Request and response headers of the callers' interface, and the identity they carry."""

from __future__ import annotations

from dataclasses import dataclass

from croftchute.errors import Code, RequestError
from croftchute.httpd import Environ
from croftchute.tables.upstreams import Topology

CALLER = "HTTP_X_CALLER"
PRIORITY = "HTTP_X_PRIORITY"
DEADLINE = "HTTP_X_DEADLINE_MS"
IDEMPOTENCY_KEY = "HTTP_IDEMPOTENCY_KEY"

RAN_HEADER = "X-Croftchute-Run"
CODE_HEADER = "X-Croftchute-Code"
REQUEST_HEADER = "X-Request-Id"

ANY_CALLER = "*"
DEFAULT_PRIORITY = 5
MAX_PRIORITY = 9
DEFAULT_DEADLINE_S = 120.0
MAX_DEADLINE_S = 900.0
MILLISECONDS = 1000.0


@dataclass(frozen=True, kw_only=True, slots=True)
class Identity:
    """Who calls, how important the call is, and how long it may take."""

    caller: str
    priority: int
    deadline_s: float
    key: str


def identify(environ: Environ, topology: Topology) -> Identity:
    """Read a request's headers; raises :class:`RequestError` for one that is not acceptable."""
    caller = str(environ.get(CALLER, ""))
    known = topology.weights_by_caller
    if caller not in known and not (ANY_CALLER in known and caller):
        raise RequestError(Code.CALLER_UNKNOWN, f"caller {caller!r} is unknown")
    priority = _number(environ, PRIORITY, DEFAULT_PRIORITY)
    if not 0 <= priority <= MAX_PRIORITY:
        raise RequestError(Code.BAD_REQUEST, f"priority {priority} is not 0 to {MAX_PRIORITY}")
    limits = topology.max_priority_by_caller
    highest = limits.get(caller, limits.get(ANY_CALLER, MAX_PRIORITY))
    deadline = _number(environ, DEADLINE, int(DEFAULT_DEADLINE_S * MILLISECONDS)) / MILLISECONDS
    if not 0 < deadline <= MAX_DEADLINE_S:
        raise RequestError(Code.BAD_REQUEST, f"deadline {deadline} s is not 0 to {MAX_DEADLINE_S}")
    return Identity(
        caller=caller,
        priority=min(priority, highest),
        deadline_s=deadline,
        key=str(environ.get(IDEMPOTENCY_KEY, "")),
    )


def _number(environ: Environ, header: str, default: int) -> int:
    raw = environ.get(header)
    if raw is None:
        return default
    try:
        return int(raw)
    except ValueError:
        name = header.removeprefix("HTTP_").replace("_", "-")
        raise RequestError(Code.BAD_REQUEST, f"{name}: {raw[:40]!r} is no number") from None
