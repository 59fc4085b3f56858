"""What the router needs of an engine, whatever its protocol."""

from __future__ import annotations

from collections.abc import Iterator, Mapping
from dataclasses import dataclass, field
from typing import Any, Protocol

from croftchute.systems.prefix_index import CacheEvent
from croftchute.tables.upstreams import EngineReport

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


@dataclass(frozen=True, kw_only=True, slots=True)
class Order:
    """A fenced order: a statement of the wanted state, under a token that only rises."""

    token: int
    kind: str
    target: str


class TokenStream(Protocol):
    """The events of a decode call, as the bytes that came."""

    def chunks(self) -> Iterator[bytes]:
        """Whole server-sent events as they come; raises UpstreamError when they break off."""
        ...

    def close(self) -> None:
        """End the call from this side; safe from another thread."""
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

    def order(self, url: str, order: Order) -> bool:
        """Give a fenced order; False if the engine has seen a higher token."""
        ...
