"""Rows about other boxes of the forwarding fleet: who they are and what they last told."""

from __future__ import annotations

from dataclasses import dataclass

from croftchute.systems.prefill_timing import PrefillSample

NOT_OMITTED = -1.0
"""Stands for the age of an answer that did not come."""


@dataclass(frozen=True, kw_only=True, slots=True)
class WorkerNotice:
    """What one box has open at a worker, holds against it, and how long prompts wait there.

    ``changing_to`` is the stage that the worker is about to have, ``changing_s`` for how long it
    takes no work until then; empty and 0 while it changes nothing.
    """

    worker: str
    in_flight: int
    failures: float
    wait_s: float = 0.0
    changing_to: str = ""
    changing_s: float = 0.0


@dataclass(frozen=True, kw_only=True, slots=True)
class WorkerPaceNotice:
    """How long work takes at a worker over what is usual for its service; 0 if not known.

    ``told`` is the worker's own word of ``told_age_s`` ago, ``seen`` what ``seen_weight`` answers
    showed the sender.
    """

    worker: str
    told: float
    told_age_s: float
    seen: float
    seen_weight: float


@dataclass(frozen=True, kw_only=True, slots=True)
class LimitNotice:
    """The calls a second that a worker takes from all boxes, and how long ago it named that last.

    ``left_out_s`` is how long ago the first answer since then came that leaves it out; below 0 if
    none came.
    """

    worker: str
    per_s: float
    named_s: float
    left_out_s: float = NOT_OMITTED


@dataclass(frozen=True, kw_only=True, slots=True)
class RankRoomNotice:
    """What the requests of one rank waited for room at a box; ``waiting`` of them wait now.

    ``waited_s`` and ``grants``: see ``systems/room_forecast.py``.
    """

    rank: int
    waited_s: float
    grants: float
    waiting: int = 0


@dataclass(frozen=True, kw_only=True, slots=True)
class OrganisationUseNotice:
    """Tokens that an organisation asked room for at a box lately, and those that it got."""

    name: str
    asked_tokens: float
    granted_tokens: float


@dataclass(frozen=True, kw_only=True, slots=True)
class DemandNotice:
    """What was asked of a service at a box in its window, and the streams that ended there.

    ``room_waited_s`` and ``room_grants``: see ``systems/room_forecast.py``. ``ranks`` and ``uses``
    are empty where requests of the service are not ordered by rank.
    """

    service: str
    asks: int
    prompt_tokens: int
    output_tokens: int
    ended: int
    ended_tokens: int
    ended_s: float
    prefills: tuple[PrefillSample, ...] = ()
    room_waited_s: float = 0.0
    room_grants: float = 0.0
    large_asks: int = 0
    large_tokens: int = 0
    granted: int = 0
    large_granted: int = 0
    ranks: tuple[RankRoomNotice, ...] = ()
    uses: tuple[OrganisationUseNotice, ...] = ()


@dataclass(frozen=True, kw_only=True, slots=True)
class Peer:
    """Another box: where it takes notices and where its state can be fetched.

    ``link_mbps`` is the rate of its link in Mbit/s, 0 if it is not known.
    """

    id: str
    host: str
    notice_port: int
    control_port: int
    started_at: float
    heard_at: float
    config_version: int = 0
    workers_revision: int = 0
    is_leaving: bool = False
    hall: str = ""
    link_mbps: float = 0.0
    workers_by_id: dict[str, WorkerNotice] | None = None
    demand_by_service: dict[str, DemandNotice] | None = None
