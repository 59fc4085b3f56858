"""Settings of the forwarding daemon: a JSON document, checked at start and at each reload."""

from __future__ import annotations

import resource
from enum import Enum, auto
from pathlib import Path
from typing import Annotated

import msgspec

from croftchute.errors import Code, DocumentError, Fault
from croftchute.forwarding.http.parse_pacer import FREE_PIECES_PER_S
from croftchute.forwarding.http.request_bounds import MAX_FRAMING_BYTES
from croftchute.systems.memory_account import ACCOUNT_MEMORY_SHARE
from croftchute.systems.predicted_end import PlacementMode
from croftchute.systems.room_order import OrderMode
from croftchute.systems.service_capacity import SplitMode
from croftchute.systems.size_lanes import RoomMode
from croftchute.systems.timeouts import HoldMode, ReturnMode
from croftchute.systems.worker_links import CutOffMode
from croftchute.tables.organisations import LimitMode

FILE_DESCRIPTORS = 200
"""Descriptors of a process that are kept for files."""

MIN_CONNECTIONS = 4
"""Fewest connections that an address takes, however few descriptors there are."""

Port = Annotated[int, msgspec.Meta(ge=0, le=65535)]
Positive = Annotated[float, msgspec.Meta(gt=0)]
Text = Annotated[str, msgspec.Meta(min_length=1)]


HostAndPort = Annotated[str, msgspec.Meta(pattern=r"^[0-9A-Za-z.-]+:[0-9]{1,5}$")]


PeerKey = Annotated[str, msgspec.Meta(min_length=16)]


class Address(msgspec.Struct, frozen=True, kw_only=True):
    """An IP address and a port."""

    host: Text
    port: Port


def parse_address(text: str) -> Address:
    """Read HOST:PORT, which the settings' pattern has already checked.

    >>> parse_address("10.0.0.1:80").port
    80
    """
    host, _, port = text.rpartition(":")
    return Address(host=host, port=int(port))


class Listener(Enum):
    """An address that clients connect to."""

    CALLERS = auto()
    CONTROL = auto()
    HEALTH = auto()
    METRICS = auto()


LISTENER_SHARES = {
    Listener.CALLERS: 1 / 2,
    Listener.CONTROL: 1 / 8,
    Listener.HEALTH: 1 / 32,
    Listener.METRICS: 1 / 32,
}
"""Shares of the descriptors for sockets: the rest is for workers, the store and other boxes."""


class RetrySettings(msgspec.Struct, frozen=True, kw_only=True):
    """The retry budget that all boxes share."""

    ratio: Annotated[float, msgspec.Meta(ge=0)] = 0.1
    window_s: Positive = 10.0
    slack: Annotated[float, msgspec.Meta(ge=0)] = 10.0


class LimitSettings(msgspec.Struct, frozen=True, kw_only=True):
    """How strictly limits of organisations are judged."""

    window_s: Positive = 10.0
    overage: Annotated[float, msgspec.Meta(ge=0)] = 0.0
    slack: Annotated[float, msgspec.Meta(ge=0)] = 0.0


class DecisionWays(msgspec.Struct, frozen=True, kw_only=True, forbid_unknown_fields=True):
    """Which way each decision is made that has more than one; unknown names are refused."""

    limits: LimitMode = LimitMode.POOLED
    room: RoomMode = RoomMode.LANES
    split: SplitMode = SplitMode.AUTO
    returns: ReturnMode = ReturnMode.RETURNED_FIRST
    hold: HoldMode = HoldMode.LIKELY
    order: OrderMode = OrderMode.AUTO
    placement: PlacementMode = PlacementMode.AUTO
    cut_off: CutOffMode = CutOffMode.FORWARD


class Conditions(msgspec.Struct, frozen=True, kw_only=True):
    """What a deployment says of its load; other names pass.

    Under ``pressure`` callers and workers may read slowly, and the health path of a worker answers
    at once with its load, whatever waits there.
    """

    pressure: bool = False


class RouterSettings(msgspec.Struct, frozen=True, kw_only=True):
    """Everything a forwarding box knows before it has met anyone; unknown fields pass."""

    box: Text
    hall: Text
    callers: HostAndPort
    health: HostAndPort
    store: HostAndPort
    control: HostAndPort
    notice_port: Port
    seeds: tuple[HostAndPort, ...] = ()
    peer_keys: Annotated[tuple[PeerKey, ...], msgspec.Meta(min_length=1, max_length=4)]
    metrics: HostAndPort | None = None
    retry: RetrySettings = RetrySettings()
    limits: LimitSettings = LimitSettings()
    ways: DecisionWays = DecisionWays()
    conditions: Conditions = Conditions()
    order_gap_s: Positive = 3.0
    boxes: Annotated[int, msgspec.Meta(ge=1)] = 12
    first_start: bool = False
    stop_limit_s: Positive = 8.0
    drain_s: Positive = 2.0
    contact_s: Positive = 3.0
    link_mbps: Annotated[float, msgspec.Meta(ge=0)] = 0.0
    memory_mb: Annotated[float, msgspec.Meta(ge=0)] = 0.0
    max_fds: Annotated[int, msgspec.Meta(ge=0)] = 0
    max_header_lines: Annotated[int, msgspec.Meta(ge=0)] = 0
    max_framing_bytes: Annotated[int, msgspec.Meta(ge=0)] = MAX_FRAMING_BYTES
    client_memory_share: Annotated[float, msgspec.Meta(gt=0, le=1)] = ACCOUNT_MEMORY_SHARE
    pieces_per_s: Positive = FREE_PIECES_PER_S
    reload_check_s: Positive = 2.0

    def max_connections(self, listener: Listener) -> int:
        """Most open connections at one of the box's addresses.

        >>> settings = RouterSettings(
        ...     box="b", hall="h", callers="a:1", health="a:2", store="a:3", control="a:4",
        ...     notice_port=5, peer_keys=("k" * 16,), max_fds=4100,
        ... )
        >>> [settings.max_connections(listener) for listener in Listener]
        [1950, 487, 121, 121]
        """
        sockets = max(0, self.descriptors - FILE_DESCRIPTORS)
        return max(MIN_CONNECTIONS, int(sockets * LISTENER_SHARES[listener]))

    @property
    def max_caller_connections(self) -> int:
        """Most open connections of callers."""
        return self.max_connections(Listener.CALLERS)

    @property
    def descriptors(self) -> int:
        """Descriptors of the process: as many as are set, or else as the machine allows."""
        return self.max_fds or resource.getrlimit(resource.RLIMIT_NOFILE)[0]

    @property
    def held_memory_mb(self) -> float:
        """The memory that bounds what is held for slow readers; 0 where nobody reads slowly."""
        return self.memory_mb if self.conditions.pressure else 0.0


def parse_router_settings(raw: bytes) -> RouterSettings:
    """Read and check settings; raises :class:`DocumentError` with the path of the fault.

    >>> parse_router_settings(b'{"box": 1}')
    Traceback (most recent call last):
    ...
    croftchute.errors.DocumentError: Expected `str`, got `int` - at `$.box`
    """
    try:
        return msgspec.json.decode(raw, type=RouterSettings)
    except msgspec.DecodeError as error:
        message = str(error)
        path = message.rpartition("at `")[2].rstrip("`") if "at `" in message else "$"
        fault = Fault(path=path, code=Code.SETTINGS_INVALID, message=message)
        raise DocumentError(Code.SETTINGS_INVALID, message, faults=(fault,)) from None


def read_router_settings(path: Path) -> RouterSettings:
    """Read settings from a file; a missing file is a :class:`DocumentError` too."""
    try:
        raw = path.read_bytes()
    except OSError as error:
        raise DocumentError(Code.SETTINGS_INVALID, f"cannot read {path}: {error}") from None
    return parse_router_settings(raw)
