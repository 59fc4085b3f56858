"""Rows about requests at their entry box, and about reservations at the owner."""

from __future__ import annotations

from enum import StrEnum

from croftchute.errors import Code
from croftchute.tables.rows import Row


class RequestState(StrEnum):
    """Where a request stands at its entry box."""

    CHOOSING = "choosing"
    RUNNING = "running"


class Request(Row, frozen=True, kw_only=True):
    """A completion request; ``prefix`` holds hashes of its leading token blocks.

    ``digest`` is what all tries of it have in common; empty if it is not told from others.
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
    """A request in progress; ``delivered`` counts output tokens the caller has.

    ``resume_wait_ends_at`` is until when an answer that has begun waits for a place to go on at.
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

    @property
    def is_last_shard_for_resume(self) -> bool:
        """Whether an answer that has begun is lost unless the shard that was asked has a place.

        Its caller cannot ask elsewhere without losing what it has, so its owner is asked until the
        deadline; a request that has not begun is refused soon, and its caller told to come back.
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


class AttemptEnd(Row, frozen=True, kw_only=True):
    """How an attempt ended; ``sent`` says whether any engine may have begun it.

    ``engine_has_ended``: the process of the failed engine is gone, and did not just break off.
    ``rest_s``: for how long that engine wants no work; 0 if it did not say so.
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
    """Engine time, link time and memory that an owner has set aside for one attempt."""

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
        """Names the attempt, also towards engines."""
        return attempt_key(self.request_id, self.attempt)


def attempt_key(request_id: str, attempt: int) -> str:
    """The name of one attempt of a request.

    >>> attempt_key("ab12", 2)
    'ab12-2'
    """
    return f"{request_id}-{attempt}"
