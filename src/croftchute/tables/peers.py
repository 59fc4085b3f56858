"""What boxes report to each other in notices, and what a box knows about each of its peers."""

from __future__ import annotations

from dataclasses import dataclass

from croftchute.systems.prefill_timing import PrefillSample

NOT_OMITTED = -1.0
"""The value of ``left_out_s`` if no answer has omitted the limit."""


@dataclass(frozen=True, kw_only=True, slots=True)
class WorkerNotice:
    """One box's open requests and failure score at a worker, and how long prompts wait there.

    ``changing_to`` is the stage that the worker is changing to, ``changing_s`` for how long it
    takes no work until then; empty and 0 if it is not changing.
    """

    worker: str
    in_flight: int
    failures: float
    wait_s: float = 0.0
    changing_to: str = ""
    changing_s: float = 0.0


@dataclass(frozen=True, kw_only=True, slots=True)
class WorkerPaceNotice:
    """A worker's processing time divided by the usual one of its service; 0 if unknown.

    ``told`` is the worker's own report, ``told_age_s`` old; ``seen`` is what the sender measured,
    over answers of total weight ``seen_weight``.
    """

    worker: str
    told: float
    told_age_s: float
    seen: float
    seen_weight: float


@dataclass(frozen=True, kw_only=True, slots=True)
class LimitNotice:
    """The calls per second that a worker accepts from all boxes; ``named_s`` is the report's age.

    ``left_out_s`` is the age of the first later answer without the limit; negative if there is
    none.
    """

    worker: str
    per_s: float
    named_s: float
    left_out_s: float = NOT_OMITTED


@dataclass(frozen=True, kw_only=True, slots=True)
class RankRoomNotice:
    """How long requests of one rank waited for room at a box, and how many are waiting now.

    ``waited_s`` and ``grants``: see ``systems/room_forecast.py``.
    """

    rank: int
    waited_s: float
    grants: float
    waiting: int = 0


@dataclass(frozen=True, kw_only=True, slots=True)
class OrganisationUseNotice:
    """Tokens that an organisation recently requested room for at a box, and those granted."""

    name: str
    asked_tokens: float
    granted_tokens: float


@dataclass(frozen=True, kw_only=True, slots=True)
class DemandNotice:
    """The demand for a service at a box in its window, and the streams that ended there.

    ``room_waited_s`` and ``room_grants``: see ``systems/room_forecast.py``. ``ranks`` and ``uses``
    are empty if requests of the service are not ordered by rank.
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
    """Another box: where it receives notices and where its state can be fetched.

    ``link_mbps`` is the rate of its link in Mbit/s; 0 if unknown. ``reaches_workers`` also says
    that it accepts requests from boxes that do not. ``continues_by_version`` says that it continues
    a stream at workers of the software version alone that its sender names. ``stands_back`` says
    that it gets more connections than it can serve, and is not ready for that.
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
    reaches_workers: bool = False
    continues_by_version: bool = False
    stands_back: bool = False
    workers_by_id: dict[str, WorkerNotice] | None = None
    demand_by_service: dict[str, DemandNotice] | None = None
