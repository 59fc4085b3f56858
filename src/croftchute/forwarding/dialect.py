"""What the forwarding core needs of the protocols that callers and workers speak."""

from __future__ import annotations

from dataclasses import dataclass
from enum import StrEnum
from typing import Protocol

from croftchute.errors import Code, Ran
from croftchute.forwarding.http.exchange import IncomingRequest
from croftchute.forwarding.http.http_client import ResponseHead
from croftchute.systems.worker_advice import WorkerAdvice
from croftchute.tables.routing import HeaderList, RequestFacts, Stage, Worker


class Verdict(StrEnum):
    """What the head of a worker's answer says of the request."""

    ANSWERED = "answered"
    FAILED = "failed"
    NOT_RUN = "not_run"
    WRONG_WORKER = "wrong_worker"


@dataclass(frozen=True, kw_only=True, slots=True)
class WorkerLoad:
    """The load that a worker tells with an answer; ``pace`` is None if it tells none.

    The pace is the time that work takes there over the usual: 2.5 takes two and a half times as
    long.
    """

    running: int
    waiting: int
    pace: float | None = None


@dataclass(frozen=True, kw_only=True, slots=True)
class PrefillHandle:
    """A prompt's KV cache, kept for a short time by the worker that read the prompt."""

    id: str
    tokens: int
    worker: Worker


@dataclass(frozen=True, kw_only=True, slots=True)
class Hold:
    """A slot and memory that a decode worker keeps free for one request for a short time."""

    id: str
    worker: Worker


@dataclass(frozen=True, kw_only=True, slots=True)
class Send:
    """One sending of a request to a worker; ``time_left_s`` is what the worker may take."""

    worker: Worker
    time_left_s: float
    priority: int
    is_prefill: bool = False
    source: PrefillHandle | None = None
    hold: Hold | None = None
    resume_after: int | None = None


@dataclass(frozen=True, kw_only=True, slots=True)
class Refusal:
    """The router's own final answer to a request that it gives up."""

    code: Code
    ran: Ran
    detail: str
    retry_after_s: float | None = None


@dataclass(frozen=True, kw_only=True, slots=True)
class OwnAnswer:
    """A whole answer made by the router itself."""

    status: int
    headers: HeaderList
    body: bytes


@dataclass(frozen=True, kw_only=True, slots=True)
class WorkerReport:
    """A worker's account of itself: the orders that it has taken, and when its life began."""

    orders_taken: int | None = None
    born_ms: int | None = None


class CallerDialect(Protocol):
    """How callers tell the facts of a request, and how they are refused."""

    def read(self, request: IncomingRequest) -> RequestFacts:
        """The facts of a request; raises :class:`croftchute.errors.RequestError`."""
        ...

    def refuse(self, refusal: Refusal, request_id: str) -> OwnAnswer:
        """The answer that tells a refusal."""
        ...

    def encode_forwarded(
        self,
        request: IncomingRequest,
        *,
        added: HeaderList,
        time_left_s: float,
        resume_after: int | None,
    ) -> bytes:
        """The head of a caller's request as it goes to another box, with some headers added.

        The body follows it as it came.
        """
        ...


class WorkerDialect(Protocol):
    """How requests are put to workers, and what their answers mean."""

    def encode(self, facts: RequestFacts, send: Send) -> bytes:
        """The head of a request as it goes to a worker; the body follows it as it came."""
        ...

    def expected(self, facts: RequestFacts) -> tuple[bytes, bytes]:
        """The header, and its value, by which the answer to a request is told from others."""
        ...

    @property
    def expected_of_own_call(self) -> tuple[bytes, bytes]:
        """The same for a call of the router's own, which is no caller's request."""
        ...

    def verdict(self, head: ResponseHead) -> Verdict:
        """What an answer's head says of the request."""
        ...

    def load(self, head: ResponseHead) -> WorkerLoad | None:
        """The load told in an answer's head, if any."""
        ...

    def wish(self, head: ResponseHead) -> WorkerAdvice:
        """What an answer's head says that its worker wants, whatever was asked of it."""
        ...

    def answer_headers(self, head: ResponseHead) -> HeaderList:
        """The headers of a worker's answer that are the caller's to see."""
        ...

    def is_genuine(self, head: ResponseHead) -> bool:
        """Whether an answer bears what proves that a worker gave it; failures need not."""
        ...

    def is_signed(self, head: ResponseHead) -> bool:
        """Whether an answer bears a worker's proof, so that it is no box's own."""
        ...

    def handle(self, body: bytes, worker: Worker) -> PrefillHandle:
        """What a prefill call answered; raises :class:`croftchute.errors.MessageError`."""
        ...

    def take_hold(self, worker: Worker, tokens: int, ttl_s: float) -> bytes:
        """The request for a hold."""
        ...

    def hold(self, body: bytes, worker: Worker) -> Hold:
        """What a request for a hold answered; raises MessageError."""
        ...

    def drop_hold(self, hold: Hold) -> bytes:
        """The request that gives a hold back."""
        ...

    def ask_health(self, worker: Worker, path: str) -> bytes:
        """The request for a worker's health; answers of some services tell the load."""
        ...

    def ask_report(self, worker: Worker) -> bytes:
        """The request for a worker's own account of itself."""
        ...

    def ask_kept(self, worker: Worker) -> bytes:
        """The request for the prompt parts that a worker keeps."""
        ...

    def kept(self, body: bytes) -> dict[str, int]:
        """Tokens that a worker keeps by prompt part; raises MessageError."""
        ...

    def report(self, body: bytes) -> WorkerReport:
        """A worker's account of itself; what can't be read of it is left out."""
        ...

    def stage_order(
        self, worker: Worker, stage: Stage, *, holder: str, token: int, sequence: int | None
    ) -> bytes:
        """The order to change a stage, under a fencing token."""
        ...

    def release(self, handle: PrefillHandle) -> bytes:
        """The request that frees a handle which nobody will use."""
        ...
