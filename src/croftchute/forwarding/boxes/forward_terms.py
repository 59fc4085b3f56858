"""What boxes say to each other when one passes a request to another, in headers of their own."""

from __future__ import annotations

from dataclasses import dataclass
from enum import StrEnum

from croftchute.forwarding.http.exchange import IncomingRequest
from croftchute.forwarding.http.http_client import ResponseHead
from croftchute.forwarding.origins import BUILD, origin_header, read_origin
from croftchute.tables.origins import StreamOrigin
from croftchute.tables.routing import HeaderList

FORWARD = b"croftchute-forward"
"""Header of a request that a box passes on, and of each answer to one."""

ARRIVALS = b"croftchute-arrivals"
"""Header of a request that a box passes on; boxes of earlier versions neither send nor read it."""

ANSWERED = b"answered"
DECLINED = b"declined"


class DeclineReason(StrEnum):
    """Why a box does not take a request; it has not run there and never will."""

    CUT_OFF = "cut_off"
    BUSY = "busy"
    STOPPING = "stopping"
    OLDER_CONFIG = "older_config"


@dataclass(frozen=True, kw_only=True, slots=True)
class PriorCalls:
    """Calls of workers that count against the retry budget.

    ``is_prompt_read`` says that the free call, which only reads the prompt, has been used.
    """

    arrivals: int
    is_prompt_read: bool

    def encode(self) -> bytes:
        """Return the value of the header.

        >>> PriorCalls(arrivals=2, is_prompt_read=True).encode()
        b'2 1'
        """
        return f"{self.arrivals} {int(self.is_prompt_read)}".encode()


def _read_calls(value: bytes | None) -> PriorCalls | None:
    arrivals, _, prompts = (value or b"").partition(b" ")
    if not (arrivals.isdigit() and prompts.isdigit()):
        return None
    return PriorCalls(arrivals=int(arrivals), is_prompt_read=int(prompts) > 0)


@dataclass(frozen=True, kw_only=True, slots=True)
class ForwardTerms:
    """Terms of a passed request: its sender, and what the receiver must know beside the request.

    A receiver whose configuration is older than ``config_version`` must decline. ``attempts`` is
    the number of workers that may have received the request already. ``origin`` is where
    the stream began, None if its caller has no event yet or took it up itself. ``calls`` are what
    counts against the retry budget; None if the sender, of an earlier version, does not say.
    """

    box: str
    config_version: int
    attempts: int
    origin: StreamOrigin | None = None
    calls: PriorCalls | None = None

    def headers(self) -> HeaderList:
        """Return the headers of the request.

        >>> ForwardTerms(box="edge-1", config_version=7, attempts=0).headers()
        [(b'croftchute-forward', b'7 0 edge-1')]
        """
        terms = f"{self.config_version} {self.attempts} {self.box}".encode()
        headers = [(FORWARD, terms)]
        if self.calls is not None:
            headers.append((ARRIVALS, self.calls.encode()))
        return headers + ([] if self.origin is None else [origin_header(self.origin)])

    def prior_calls(self) -> PriorCalls:
        """Return the calls that count, by the attempts if the sender does not say.

        Its prompt may have been read before them.
        """
        if self.calls is not None:
            return self.calls
        return PriorCalls(arrivals=self.attempts, is_prompt_read=self.attempts > 0)


def read_terms(request: IncomingRequest) -> ForwardTerms | None:
    """Return the terms of a passed request; None if there are none, or they can't be read."""
    value = request.get(FORWARD)
    if value is None:
        return None
    version, _, rest = value.partition(b" ")
    attempts, _, box = rest.partition(b" ")
    if not (version.isdigit() and attempts.isdigit() and box):
        return None
    return ForwardTerms(
        box=box.decode("utf-8", "replace"),
        config_version=int(version),
        attempts=int(attempts),
        origin=read_origin(request.get(BUILD)),
        calls=_read_calls(request.get(ARRIVALS)),
    )


def without_terms(headers: HeaderList) -> HeaderList:
    """Return headers without those of this module."""
    return [pair for pair in headers if pair[0] not in (FORWARD, ARRIVALS, BUILD)]


def was_answered(head: ResponseHead) -> bool:
    """Return whether the other box took the request; if not, it has not run there."""
    return head.get(FORWARD) == ANSWERED
