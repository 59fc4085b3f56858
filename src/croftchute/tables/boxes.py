"""Rows about boxes, in this box's hall and in others."""

from __future__ import annotations

from dataclasses import dataclass
from enum import StrEnum


class BoxState(StrEnum):
    """The state of a box as far as this box knows."""

    LIVE = "live"
    SUSPECT = "suspect"
    LEAVING = "leaving"
    GONE = "gone"


@dataclass(frozen=True, kw_only=True, slots=True)
class Box:
    """A box; ``incarnation`` increases at each start and is 0 before the first heartbeat."""

    id: str
    hall: str
    address: str
    peer_port: int
    admin_port: int
    incarnation: int = 0
    state: BoxState = BoxState.SUSPECT
    heard_at: float = 0.0
    revision: int = 0
