"""Rows about boxes: peers of this one, in its own hall and in others."""

from __future__ import annotations

from dataclasses import dataclass
from enum import StrEnum


class BoxState(StrEnum):
    """What a box is thought to be doing."""

    LIVE = "live"
    SUSPECT = "suspect"
    LEAVING = "leaving"
    GONE = "gone"


@dataclass(frozen=True, kw_only=True, slots=True)
class Box:
    """A box; its incarnation is new at each start, 0 before the first heartbeat."""

    id: str
    hall: str
    address: str
    peer_port: int
    admin_port: int
    incarnation: int = 0
    state: BoxState = BoxState.SUSPECT
    heard_at: float = 0.0
    revision: int = 0
