"""Routes, services and workers, from the configuration and the worker list."""

from __future__ import annotations

from dataclasses import dataclass, field
from enum import StrEnum

from croftchute.tables.crashes import part_key, request_digest
from croftchute.tables.organisations import NO_KEY, KeyClaim, Organisations


class RouteKind(StrEnum):
    """How often a request of a route may run, and whether its answer is a stream."""

    REPEATABLE = "repeatable"
    ONCE = "once"
    STREAM = "stream"


class Stage(StrEnum):
    """The part of the work that an engine does."""

    PREFILL = "prefill"
    DECODE = "decode"


class WorkerState(StrEnum):
    """A worker's state in the worker list."""

    READY = "ready"
    DRAINING = "draining"
    GONE = "gone"


@dataclass(frozen=True, kw_only=True, slots=True)
class WeightedService:
    """One service of a route, and its share of the route's requests."""

    service: str
    weight: float


@dataclass(frozen=True, kw_only=True, slots=True)
class Route:
    """Where requests for one host and path prefix go; times are in seconds."""

    name: str
    host: str
    prefix: str
    kind: RouteKind
    timeout_s: float
    target_s: float
    targets: tuple[WeightedService, ...]
    max_attempts: int = 1
    priority: int = 5
    is_resumable: bool = False
    target_gap_s: float = 0.0
    allows_anonymous: bool = False

    @property
    def may_repeat(self) -> bool:
        """Whether a request may run more than once."""
        return self.kind is RouteKind.REPEATABLE or self.is_resumable


@dataclass(frozen=True, kw_only=True, slots=True)
class EngineTraits:
    """What all engines of a service have in common; sizes are in tokens unless named otherwise.

    ``switch_s`` is how long an engine that changes its stage is unavailable once its streams have
    ended.
    """

    slots: int
    kv_tokens: int
    kv_bytes_per_token: float
    handle_ttl_s: float
    hold_ttl_s: float = 0.0
    switch_s: float = 0.0
    models: tuple[str, ...] = ()


@dataclass(frozen=True, kw_only=True, slots=True)
class Service:
    """A set of interchangeable workers; ``engine`` is None for plain services.

    ``health_path`` is the path of the workers' health endpoint; empty if there is none.
    """

    name: str
    max_connections: int
    engine: EngineTraits | None = None
    health_path: str = ""


@dataclass(frozen=True, kw_only=True, slots=True)
class IngressLimits:
    """What a caller may send, and how long it may take or stay idle."""

    max_header_bytes: int = 16384
    max_body_bytes: int = 4 << 20
    header_timeout_s: float = 3.0
    idle_timeout_s: float = 15.0


@dataclass(frozen=True, kw_only=True, slots=True)
class RoutingTable:
    """One version of the routes, services, limits and organisations; replaced as a whole.

    ``organisations`` is None if the configuration has none; then no request needs a key.
    """

    version: int
    routes_by_host: dict[str, tuple[Route, ...]] = field(default_factory=dict)
    services_by_name: dict[str, Service] = field(default_factory=dict)
    limits: IngressLimits = field(default_factory=IngressLimits)
    organisations: Organisations | None = None

    def match(self, host: str, path: str) -> Route | None:
        """Return the host's route with the longest prefix of the path, or None.

        >>> RoutingTable(version=1).match("a.example", "/x/") is None
        True
        """
        for route in self.routes_by_host.get(host, ()):
            if path.startswith(route.prefix):
                return route
        return None

    def top_priority_by_service(self) -> dict[str, int]:
        """Return the most urgent priority among the routes to each service."""
        found: dict[str, int] = {}
        for routes in self.routes_by_host.values():
            for route in routes:
                for target in route.targets:
                    known = found.get(target.service, route.priority)
                    found[target.service] = min(known, route.priority)
        return found

    def stream_targets(self, service: str) -> list[float]:
        """Return the time targets, in seconds, of the streaming routes to a service."""
        return [
            route.target_s
            for routes in self.routes_by_host.values()
            for route in routes
            if route.kind is RouteKind.STREAM
            and any(target.service == service for target in route.targets)
        ]


def by_host(routes: list[Route]) -> dict[str, tuple[Route, ...]]:
    """Return the routes grouped by host, those with the longest prefix first."""
    grouped: dict[str, list[Route]] = {}
    for route in routes:
        grouped.setdefault(route.host, []).append(route)
    return {
        host: tuple(sorted(group, key=lambda route: -len(route.prefix)))
        for host, group in grouped.items()
    }


@dataclass(frozen=True, kw_only=True, slots=True)
class Worker:
    """One instance of a worker as the worker list describes it.

    ``id`` names this instance, the same at all boxes. A worker that restarts under its name is
    another instance, and nothing known of the earlier one applies to it. ``name`` is the worker's
    name on the wire and in the list; if empty, ``id`` is. ``born_ms`` is the Unix time of its start
    in ms, None if it reports none. ``software`` is the version of its software, empty if unknown.
    """

    id: str
    service: str
    host: str
    port: int
    zone: str
    state: WorkerState = WorkerState.READY
    slots: int = 1
    stage: Stage | None = None
    model_versions: dict[str, int] = field(default_factory=dict)
    name: str = ""
    born_ms: int | None = None
    software: str = ""

    @property
    def list_name(self) -> str:
        """The worker's name in the worker list and in its own messages."""
        return self.name or self.id

    @property
    def build(self) -> str:
        """What identifies the worker's software; a worker of unknown version equals no other."""
        return self.software or f"?{self.id}"

    @property
    def address(self) -> str:
        """Where the worker listens, as HOST:PORT."""
        return f"{self.host}:{self.port}"


HeaderList = list[tuple[bytes, bytes]]


@dataclass(frozen=True, kw_only=True, slots=True)
class RequestFacts:
    """What the parser of a callers' interface extracted from one request.

    ``headers`` are those to forward: without hop-by-hop headers and those that the router sets
    itself. ``time_left_s`` is None if the caller sets no deadline; ``resume_after`` is the last
    event that the caller already has, and ``resumes`` the id of its try that brought the first one,
    empty if it names none. ``organisation`` is the router's lookup by key, empty if the
    request needs none; ``declared_tokens`` is None if the caller declares no tokens.
    """

    id: str
    method: str
    target: str
    host: str
    path: str
    headers: HeaderList
    body: bytes
    time_left_s: float | None = None
    resume_after: int | None = None
    resumes: str = ""
    model: str = ""
    prompt_tokens: int = 0
    output_tokens: int = 0
    expected_output: int | None = None
    prompt_parts: tuple[str, ...] = ()
    key: KeyClaim = NO_KEY
    organisation: str = ""
    declared_tokens: int | None = None

    @property
    def digest(self) -> str:
        """The digest shared by all attempts of the request; computed only when needed."""
        return request_digest(
            caller=self.organisation,
            method=self.method,
            host=self.host,
            target=self.target,
            body=self.body,
        )

    @property
    def last_prompt_part(self) -> str:
        """The id of the prompt's last part, which is specific to the request, or empty."""
        return self.prompt_parts[-1].partition(":")[0] if self.prompt_parts else ""

    @property
    def shared_parts(self) -> tuple[str, ...]:
        """The keys of the parts that other prompts may share: all but the last, each once."""
        ids = (part.partition(":")[0].strip() for part in self.prompt_parts[:-1])
        return tuple(dict.fromkeys(part_key(part) for part in ids if part))

    @property
    def planned_output_tokens(self) -> int:
        """The output tokens to plan for: the caller's estimate, or else its maximum."""
        return self.output_tokens if self.expected_output is None else self.expected_output
