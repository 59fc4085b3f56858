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
class ForwardTerms:
    """Terms of a passed request: its sender, and what the receiver must know beside the request.

    A receiver whose configuration is older than ``config_version`` must decline. ``attempts`` is
    the number of workers that may have received the request already. ``origin`` is where
    the stream began, None if its caller has no event yet or took it up itself. ``arrivals`` are the
    calls of workers that count against the retry budget, and ``is_prompt_read`` says that the
    free call that only reads the prompt has been used.
    """

    box: str
    config_version: int
    attempts: int
    origin: StreamOrigin | None = None
    arrivals: int = 0
    is_prompt_read: bool = False

    def headers(self) -> HeaderList:
        """Return the headers of the request.

        >>> ForwardTerms(box="edge-1", config_version=7, attempts=0).headers()
        [(b'croftchute-forward', b'7 0 edge-1'), (b'croftchute-arrivals', b'0 0')]
        """
        terms = f"{self.config_version} {self.attempts} {self.box}".encode()
        arrivals = f"{self.arrivals} {int(self.is_prompt_read)}".encode()
        headers = [(FORWARD, terms), (ARRIVALS, arrivals)]
        return headers + ([] if self.origin is None else [origin_header(self.origin)])


def read_terms(request: IncomingRequest) -> ForwardTerms | None:
    """Return the terms of a passed request; None if there are none, or they can't be read."""
    value = request.get(FORWARD)
    if value is None:
        return None
    version, _, rest = value.partition(b" ")
    attempts, _, box = rest.partition(b" ")
    if not (version.isdigit() and attempts.isdigit() and box):
        return None
    arrivals, _, prompts = (request.get(ARRIVALS) or b"").partition(b" ")
    names_arrivals = arrivals.isdigit() and prompts.isdigit()
    return ForwardTerms(
        box=box.decode("utf-8", "replace"),
        config_version=int(version),
        attempts=int(attempts),
        origin=read_origin(request.get(BUILD)),
        arrivals=int(arrivals) if names_arrivals else int(attempts),
        # A box that does not say so may have read the prompt before its attempts.
        is_prompt_read=int(prompts) > 0 if names_arrivals else int(attempts) > 0,
    )


def without_terms(headers: HeaderList) -> HeaderList:
    """Return headers without those of this module."""
    return [pair for pair in headers if pair[0] not in (FORWARD, ARRIVALS, BUILD)]


def was_answered(head: ResponseHead) -> bool:
    """Return whether the other box took the request; if not, it has not run there."""
    return head.get(FORWARD) == ANSWERED
