"""Settings of one box: a JSON file read once at start."""

from __future__ import annotations

import resource
from dataclasses import field
from pathlib import Path
from typing import Annotated

from pydantic import Field
from pydantic.dataclasses import dataclass

from croftchute.errors import Code, DocumentError, Fault
from croftchute.forwarding.http.request_bounds import max_header_lines
from croftchute.received_request import RequestLimits
from croftchute.validation import STRICT, load

MAX_STREAMS_DEFAULT = 450
MAX_BODY_BYTES_DEFAULT = 1 << 20
MAX_HEAD_BYTES = 1 << 16
MIN_CONNECTIONS = 16

Name = Annotated[str, Field(pattern=r"^[A-Za-z0-9][A-Za-z0-9_.-]{0,63}$")]
Port = Annotated[int, Field(ge=0, le=65535)]
Seconds = Annotated[float, Field(gt=0, le=3600)]


@dataclass(frozen=True, kw_only=True, config=STRICT)
class PeerAddress:
    """Where another box of this project listens for peers' datagrams and admin calls."""

    box: Name
    hall: Name
    address: str
    peer_port: Port
    admin_port: Port


@dataclass(frozen=True, kw_only=True, config=STRICT)
class PeerKeys:
    """Shared keys for peer traffic: the first signs, all of them verify (for rotation)."""

    keys: Annotated[list[Annotated[str, Field(min_length=16)]], Field(min_length=1, max_length=4)]


@dataclass(frozen=True, kw_only=True, config=STRICT)
class Settings:
    """Everything a box knows before it has met anyone."""

    box: Name
    hall: Name
    address: str
    http_port: Port
    admin_port: Port
    peer_port: Port
    store_urls: Annotated[list[str], Field(min_length=1)]
    peer_keys: PeerKeys
    peers: list[PeerAddress] = field(default_factory=list)
    tick_s: Seconds = 0.02
    heartbeat_s: Seconds = 1.0
    suspect_after_s: Seconds = 3.0
    poll_s: Seconds = 0.25
    max_streams: Annotated[int, Field(ge=1, le=4096)] = MAX_STREAMS_DEFAULT
    max_body_bytes: Annotated[int, Field(ge=1024, le=1 << 26)] = MAX_BODY_BYTES_DEFAULT
    max_header_lines: Annotated[int, Field(ge=0)] = 0
    read_timeout_s: Seconds = 10.0
    min_read_bytes_per_s: Annotated[int, Field(ge=1)] = 4096
    memory_mb: Annotated[float, Field(ge=0)] = 0.0
    max_connections: Annotated[int, Field(ge=0)] = 0
    drain_s: Seconds = 60.0
    log_level: str = "INFO"

    @property
    def max_caller_connections(self) -> int:
        """Most open connections of callers: half of the descriptors, if not set."""
        return self.max_connections or max(MIN_CONNECTIONS, _descriptors() // 2)

    @property
    def max_admin_connections(self) -> int:
        """Most open connections at the admin port: an eighth of the descriptors."""
        return max(MIN_CONNECTIONS, _descriptors() // 8)

    @property
    def request_limits(self) -> RequestLimits:
        """What callers may send, and how fast it has to come."""
        return RequestLimits(
            max_head_bytes=MAX_HEAD_BYTES,
            max_header_lines=self.max_header_lines or max_header_lines(MAX_HEAD_BYTES),
            max_body_bytes=self.max_body_bytes,
            timeout_s=self.read_timeout_s,
            min_bytes_per_s=self.min_read_bytes_per_s,
        )


def _descriptors() -> int:
    return resource.getrlimit(resource.RLIMIT_NOFILE)[0]


def parse_settings(raw: bytes | str) -> Settings:
    """Read and check settings; raises :class:`DocumentError` with all faults by path."""
    settings = load(Settings, raw, code=Code.SETTINGS_INVALID)
    faults = tuple(
        Fault(path=f"$.peers[{n}].box", code=Code.SETTINGS_INVALID, message="is this box itself")
        for n, peer in enumerate(settings.peers)
        if peer.box == settings.box
    )
    if faults:
        raise DocumentError(Code.SETTINGS_INVALID, faults[0].message, faults=faults)
    return settings


def read_settings(path: Path) -> Settings:
    """Read settings from a file; a missing file is a :class:`DocumentError` too."""
    try:
        raw = path.read_bytes()
    except OSError as error:
        raise DocumentError(Code.SETTINGS_INVALID, f"cannot read {path}: {error}") from None
    return parse_settings(raw)
