"""Rows about requests at their entry box, and about reservations at the owner."""

from __future__ import annotations

from enum import StrEnum

from croftchute.errors import Code
from croftchute.tables.rows import Row


class RequestState(StrEnum):
    """The state of an open request at its entry box."""

    CHOOSING = "choosing"
    RUNNING = "running"


class Request(Row, frozen=True, kw_only=True):
    """A completion request; ``prefix`` holds hashes of its leading token blocks.

    ``digest`` is the same for all tries of the request; empty if the request has none.
    """

    id: str
    caller: str
    model: str
    prompt_tokens: int
    max_tokens: int
    priority: int
    arrived_at: float
    deadline_at: float
    prefix: tuple[int, ...] = ()
    digest: str = ""


class OpenRequest(Row, frozen=True, kw_only=True):
    """A request in progress; ``delivered`` counts the output tokens that the caller has.

    An answer that has begun waits until ``resume_wait_ends_at`` for a reservation to resume it.

    A row with ``is_successor`` is of an attempt that is begun beside a silent one. ``begun`` counts
    the attempts of the request, ``last_attempt`` is the highest number that one was given, and
    ``is_silent`` is set while the engines of all of them are silent.
    """

    request: Request
    state: RequestState
    attempt: int
    candidates: tuple[str, ...]
    asked_shard: str = ""
    asked_at: float = 0.0
    asks: int = 0
    delivered: int = 0
    avoid: tuple[str, ...] = ()
    plan: Plan | None = None
    retry_after_s: float = 1.0
    resume_wait_ends_at: float = 0.0
    begun: int = 1
    last_attempt: int = 1
    is_successor: bool = False
    is_silent: bool = False

    @property
    def is_last_shard_for_resume(self) -> bool:
        """Whether an answer that has begun can resume only on the shard that was asked last.

        If it were refused, its caller would lose the part it has by retrying elsewhere. A silent
        owner is therefore asked until the deadline. A request that has no output yet is refused
        early, and its caller is told to retry.
        """
        return self.attempt > 1 and not self.candidates


class Plan(Row, frozen=True, kw_only=True):
    """Where one attempt runs: the engine for prefill and the engine for decode."""

    request_id: str
    attempt: int
    shard: str
    owner: str
    prefill_id: str
    decode_id: str
    resume_from: int
    prompt_tokens: int
    expected_output: float


class Silence(Row, frozen=True, kw_only=True):
    """All attempts of a request wait for ``engine_ids``, which have sent nothing for long.

    ``delivered`` counts the output tokens that its caller has.
    """

    request_id: str
    delivered: int
    engine_ids: tuple[str, ...]


class AttemptEnd(Row, frozen=True, kw_only=True):
    """How an attempt ended; ``sent`` is true if an engine may have started it.

    ``engine_has_ended`` is true if the failed engine's process has ended, rather than only the
    connection. ``rest_s`` is the backoff that this engine asked for; 0 if it asked for none.
    """

    request_id: str
    attempt: int
    ok: bool
    output_tokens: int
    sent: bool
    code: Code = Code.UPSTREAM_FAILED
    failed_engine: str = ""
    retryable: bool = True
    engine_has_ended: bool = False
    rest_s: float = 0.0


class Reservation(Row, frozen=True, kw_only=True):
    """Engine time, link time and memory that an owner has reserved for one attempt."""

    request_id: str
    attempt: int
    entry_box: str
    shard: str
    caller: str
    priority: int
    prefill_id: str
    decode_id: str
    prompt_tokens: int
    uncached_tokens: int
    expected_output: float
    kv_committed: float
    kv_variance: float
    prefill_start_at: float
    prefill_end_at: float
    transfer_end_at: float
    granted_at: float
    deadline_at: float
    confirmed_at: float

    @property
    def key(self) -> str:
        """Key of the attempt, also used in calls to engines."""
        return attempt_key(self.request_id, self.attempt)


def attempt_key(request_id: str, attempt: int) -> str:
    """Return the key of one attempt of a request.

    >>> attempt_key("ab12", 2)
    'ab12-2'
    """
    return f"{request_id}-{attempt}"
