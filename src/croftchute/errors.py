"""Error codes, and the exceptions that carry them.

Every failure that leaves a function is a :class:`CroftchuteError` with a :class:`Code`.
"""

from __future__ import annotations

from dataclasses import dataclass
from enum import StrEnum


class Ran(StrEnum):
    """What is known about the execution of a request that got no whole answer."""

    NOT_RUN = "not_run"
    RAN = "ran"
    UNKNOWN = "unknown"


class Code(StrEnum):
    """Machine-readable reasons, used in HTTP bodies, logs, events and exit codes."""

    BAD_REQUEST = "bad_request"
    BODY_TOO_LARGE = "body_too_large"
    CALLER_UNKNOWN = "caller_unknown"
    MODEL_UNKNOWN = "model_unknown"
    PATH_UNKNOWN = "path_unknown"
    KEY_REQUIRED = "key_required"
    KEY_INVALID = "key_invalid"
    NO_CONFIG = "no_config"
    NO_CAPACITY = "no_capacity"
    NO_UPSTREAM = "no_upstream"
    PROMPT_TOO_LONG = "prompt_too_long"
    ENDS_WORKERS = "ends_workers"
    VERSION_GONE = "version_gone"
    VERSION_UNKNOWN = "version_unknown"
    TARGET_UNREACHABLE = "target_unreachable"
    DEADLINE_PASSED = "deadline_passed"
    OVER_SHARE = "over_share"
    OVER_LIMIT = "over_limit"
    LIMIT_UNKNOWN = "limit_unknown"
    POLICY_REFUSED = "policy_refused"
    DRAINING = "draining"
    NOT_OWNER = "not_owner"
    OWNER_SILENT = "owner_silent"
    CALLER_GONE = "caller_gone"
    UPSTREAM_FAILED = "upstream_failed"
    UPSTREAM_REFUSED = "upstream_refused"
    UPSTREAM_SLOW = "upstream_slow"
    RETRIES_EXHAUSTED = "retries_exhausted"
    IN_PROGRESS = "in_progress"
    ALREADY_ANSWERED = "already_answered"
    OUTCOME_UNKNOWN = "outcome_unknown"
    DEDUPE_UNAVAILABLE = "dedupe_unavailable"
    STORE_UNAVAILABLE = "store_unavailable"
    STORE_RATE_LIMITED = "store_rate_limited"
    CONFIG_CONFLICT = "config_conflict"
    CONFIG_INVALID = "config_invalid"
    POLICY_INVALID = "policy_invalid"
    SETTINGS_INVALID = "settings_invalid"
    MESSAGE_INVALID = "message_invalid"
    TIMED_OUT = "timed_out"
    PROMISE_BROKEN = "promise_broken"
    INTERNAL = "internal"


HTTP_STATUS: dict[Code, int] = {
    Code.BAD_REQUEST: 400,
    Code.BODY_TOO_LARGE: 413,
    Code.PROMPT_TOO_LONG: 413,
    Code.CALLER_UNKNOWN: 401,
    Code.MODEL_UNKNOWN: 404,
    Code.PATH_UNKNOWN: 404,
    Code.KEY_REQUIRED: 400,
    Code.KEY_INVALID: 400,
    Code.OVER_SHARE: 429,
    Code.OVER_LIMIT: 429,
    Code.NO_CAPACITY: 429,
    Code.TARGET_UNREACHABLE: 429,
    Code.POLICY_REFUSED: 403,
    Code.DEADLINE_PASSED: 504,
    Code.UPSTREAM_SLOW: 504,
    Code.UPSTREAM_FAILED: 502,
    Code.RETRIES_EXHAUSTED: 502,
    Code.CALLER_GONE: 499,
    Code.IN_PROGRESS: 409,
    Code.ALREADY_ANSWERED: 409,
    Code.OUTCOME_UNKNOWN: 409,
    Code.INTERNAL: 500,
}
"""HTTP status by code; a code that is not listed answers 503."""

EXIT_STATUS: dict[Code, int] = {
    Code.SETTINGS_INVALID: 2,
    Code.BAD_REQUEST: 2,
    Code.CONFIG_INVALID: 3,
    Code.POLICY_INVALID: 4,
    Code.CONFIG_CONFLICT: 5,
    Code.STORE_UNAVAILABLE: 6,
    Code.STORE_RATE_LIMITED: 6,
    Code.TIMED_OUT: 7,
    Code.PROMISE_BROKEN: 8,
}
"""Exit status of the command-line tool by code; a code that is not listed exits with 1."""


@dataclass(frozen=True, kw_only=True)
class Fault:
    """One thing wrong with a document, at a JSON path."""

    path: str
    code: Code
    message: str


class CroftchuteError(Exception):
    """A failure with a code; raised wherever a caller has to be told something.

    >>> CroftchuteError(Code.MODEL_UNKNOWN, "model 'x'").http_status
    404
    """

    def __init__(self, code: Code, message: str, *, faults: tuple[Fault, ...] = ()) -> None:
        super().__init__(message)
        self.code = code
        self.message = message
        self.faults = faults

    def __repr__(self) -> str:
        return f"{type(self).__name__}({self.code.value!r}, {self.message!r})"

    @property
    def http_status(self) -> int:
        """The HTTP status that goes with the code."""
        return HTTP_STATUS.get(self.code, 503)

    @property
    def exit_status(self) -> int:
        """The exit status of the command-line tool that goes with the code."""
        return EXIT_STATUS.get(self.code, 1)


class RequestError(CroftchuteError):
    """A request that is malformed or not permitted; it was not run."""


class DocumentError(CroftchuteError):
    """Settings or configuration with faults; ``faults`` lists all of them by path."""


class StoreError(CroftchuteError):
    """The platform's service did not do what was asked, or it is not known whether it did."""

    def __init__(self, code: Code, message: str, *, maybe_applied: bool = False) -> None:
        super().__init__(code, message)
        self.maybe_applied = maybe_applied


class ConflictError(CroftchuteError):
    """Another operator's change won; names the winning revision and the changed paths."""

    def __init__(self, message: str, *, revision: int, paths: tuple[str, ...]) -> None:
        super().__init__(Code.CONFIG_CONFLICT, message)
        self.revision = revision
        self.paths = paths


class UpstreamError(CroftchuteError):
    """An upstream call that failed; ``ran`` says what is known of its execution there."""

    def __init__(
        self,
        code: Code,
        message: str,
        *,
        ran: Ran,
        retry_after: float = 0.0,
        upstream: str = "",
    ) -> None:
        super().__init__(code, message)
        self.ran = ran
        self.retry_after = retry_after
        self.upstream = upstream


class MessageError(CroftchuteError):
    """A peer message that is malformed or not authentic."""

    def __init__(self, message: str) -> None:
        super().__init__(Code.MESSAGE_INVALID, message)


class PolicyError(CroftchuteError):
    """A policy program that does not parse, or failed or overran when called."""
