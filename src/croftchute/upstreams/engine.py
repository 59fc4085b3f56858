"""What the router needs of an engine, whatever its protocol."""

from __future__ import annotations

from collections.abc import Mapping
from dataclasses import dataclass, field
from typing import Any, Protocol

from croftchute.systems.prefix_index import CacheEvent
from croftchute.tables.upstreams import EngineReport
from croftchute.upstreams.call_ender import CallEnder

JsonObject = dict[str, Any]


@dataclass(frozen=True, kw_only=True, slots=True)
class EngineCall:
    """One call of an attempt; ``body`` is the caller's request as it came, parsed."""

    url: str
    path: str
    key: str
    request_id: str
    body: Mapping[str, Any]
    priority: int
    timeout_s: float
    resume_from: int = 0
    transfer: JsonObject = field(default_factory=dict)
    ender: CallEnder = field(default_factory=CallEnder)


@dataclass(frozen=True, kw_only=True, slots=True)
class Order:
    """A fenced order: a statement of the wanted state, under a token that only rises."""

    token: int
    kind: str
    target: str


class TokenStream(Protocol):
    """A decode call's response: a socket to read, and how to read it."""

    @property
    def is_complete(self) -> bool:
        """Whether the whole response has been decoded."""
        ...

    def fileno(self) -> int:
        """The socket, non-blocking, to be read by whoever passes the stream on."""
        ...

    def leftover(self) -> bytes:
        """Bytes that came together with the headers; call once, before reading."""
        ...

    def decode_body(self, data: bytes) -> list[bytes]:
        """The parts of the body in some bytes of the response; raises UpstreamError."""
        ...

    def close(self) -> None:
        """End the call from this side; safe from another thread."""
        ...

    def dispose(self) -> None:
        """Give the socket up; nobody may read it any more."""
        ...


class Engine(Protocol):
    """Calls to one engine; every one may raise :class:`croftchute.errors.UpstreamError`."""

    def prefill(self, call: EngineCall) -> JsonObject:
        """Compute a prompt's KV cache; returns the parameters that fetch it."""
        ...

    def decode(self, call: EngineCall) -> TokenStream:
        """Generate tokens from a computed prompt, beginning at ``resume_from``."""
        ...

    def cancel(self, url: str, key: str) -> bool:
        """Free all an attempt holds, also if its call comes later; True once it is certain."""
        ...

    def report(
        self, url: str, *, after_seq: int, now: float
    ) -> tuple[EngineReport, list[CacheEvent]]:
        """The load report and the cache events after a sequence number."""
        ...

    def has_ended(self, url: str) -> bool:
        """Whether the engine's process is gone: a dead port refuses connections at once."""
        ...

    def order(self, url: str, order: Order) -> bool:
        """Give a fenced order; False if the engine has seen a higher token."""
        ...
