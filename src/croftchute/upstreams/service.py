"""Plain services that stand beside the engines."""

from __future__ import annotations

from dataclasses import dataclass, field
from typing import Protocol

import urllib3

from croftchute.answer_bounds import FIRST_STATUS, LAST_STATUS
from croftchute.errors import Code, Ran, UpstreamError
from croftchute.upstreams.call_ender import CallEnder, EndablePoolManager
from croftchute.upstreams.http_engine import rest_asked

CONNECT_S = 0.5
MAX_ANSWER = 1 << 20


@dataclass(frozen=True, kw_only=True, slots=True)
class ServiceCall:
    """One call to one worker of a plain service."""

    url: str
    method: str
    path: str
    body: bytes
    request_id: str
    content_type: str
    timeout_s: float
    ender: CallEnder = field(default_factory=CallEnder)


@dataclass(frozen=True, kw_only=True, slots=True)
class ServiceAnswer:
    """A worker's whole answer; ``rest_s`` is for how long it wants no other call, if it says so."""

    status: int
    body: bytes
    content_type: str
    rest_s: float = 0.0


class Service(Protocol):
    """Calls to plain services; raises UpstreamError with what is known of the execution."""

    def call(self, call: ServiceCall) -> ServiceAnswer:
        """Make one call, once."""
        ...


class HttpService:
    """Plain services over HTTP; never repeats a call by itself."""

    def __init__(self) -> None:
        self._pool = EndablePoolManager(retries=False, maxsize=16)

    def call(self, call: ServiceCall) -> ServiceAnswer:
        """Make one call, once."""
        try:
            with call.ender.ends_call():
                response = self._pool.request(
                    call.method,
                    call.url + call.path,
                    body=call.body or None,
                    headers={
                        "X-Request-Id": call.request_id,
                        "Content-Type": call.content_type,
                        # A kept connection may be closed just as the call is sent, which would
                        # leave open whether it ran.
                        "Connection": "close",
                    },
                    timeout=urllib3.Timeout(connect=CONNECT_S, read=call.timeout_s),
                    redirect=False,
                )
        except (
            urllib3.exceptions.NewConnectionError,
            urllib3.exceptions.ConnectTimeoutError,
        ) as error:
            raise UpstreamError(
                Code.UPSTREAM_FAILED, f"connect: {error}", ran=Ran.NOT_RUN
            ) from None
        except urllib3.exceptions.ReadTimeoutError as error:
            raise UpstreamError(Code.UPSTREAM_SLOW, str(error), ran=Ran.UNKNOWN) from None
        except urllib3.exceptions.HTTPError as error:
            raise UpstreamError(Code.UPSTREAM_FAILED, str(error), ran=Ran.UNKNOWN) from None
        if not FIRST_STATUS <= response.status <= LAST_STATUS:
            message = f"not an answer: status {response.status:03}"
            raise UpstreamError(Code.UPSTREAM_FAILED, message, ran=Ran.UNKNOWN)
        if len(response.data) > MAX_ANSWER:
            message = f"answer of {len(response.data)} bytes is too long"
            raise UpstreamError(Code.UPSTREAM_FAILED, message, ran=Ran.RAN)
        content_type = response.headers.get("Content-Type", "application/json")
        return ServiceAnswer(
            status=response.status,
            body=response.data,
            content_type=content_type,
            rest_s=rest_asked(response),
        )
