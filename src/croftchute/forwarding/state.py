"""What one process knows and holds while it forwards: the tables, the pool, the budgets."""

from __future__ import annotations

import asyncio
import math
import random
import time
from collections.abc import Awaitable, Callable, Coroutine
from dataclasses import dataclass, field

from croftchute.forwarding.decision_log import Decision, DecisionLog
from croftchute.forwarding.dialect import CallerDialect, WorkerDialect
from croftchute.forwarding.http.connection_pool import ConnectionPool
from croftchute.forwarding.http.failures import (
    ConnectFailedError,
    ConnectionBrokenError,
    ExchangeError,
)
from croftchute.forwarding.http.silence import KNOWLEDGE, SilenceLimits
from croftchute.forwarding.http.transfer import Transfer
from croftchute.forwarding.origins import OriginDirectory, UnknownOrigins
from croftchute.forwarding.part_trials import NoTrials, PartTrials
from croftchute.forwarding.permits import CallPermits, UnlimitedPermits
from croftchute.forwarding.request_trials import NoRequestTrials, RequestTrials
from croftchute.forwarding.traffic_metrics import TrafficMetrics
from croftchute.router_settings import Conditions, DecisionWays
from croftchute.storage.position import era_of, told
from croftchute.storage.watched import StoredItem
from croftchute.systems.answer_times import AnswerTimes
from croftchute.systems.crash_records import CrashRecords
from croftchute.systems.failover_pace import FailoverPace
from croftchute.systems.fair_shares import OrganisationUse, ShareUsage, share_usage_by_name
from croftchute.systems.first_tries import FirstTryTimes
from croftchute.systems.fleet_size import FleetSize
from croftchute.systems.overload import Overload
from croftchute.systems.part_crashes import PartCrashes
from croftchute.systems.peer_table import PeerTable
from croftchute.systems.plain_queue import WorkTimesByService
from croftchute.systems.predicted_end import UsualTimes
from croftchute.systems.prefill_timing import PrefillTiming, fit_prefill_timing
from croftchute.systems.request_rank import RequestRanks
from croftchute.systems.retry_budget import RetryLimits, RetryWindow, rounding_of
from croftchute.systems.room_forecast import RoomHistory
from croftchute.systems.room_order import OrderMode, RoomView, RoomWaitsByRank
from croftchute.systems.size_lanes import lane_share
from croftchute.systems.stage_balance import DemandCounts, RecentDemand
from croftchute.systems.surplus_bytes import SurplusBytes
from croftchute.systems.tracked_worker import TrackedWorker
from croftchute.systems.worker_links import WorkerLinks
from croftchute.systems.worker_pace import WorkerPaces
from croftchute.systems.worker_table import WorkerTable
from croftchute.tables.crashes import PartNotice
from croftchute.tables.organisations import LimitUnit
from croftchute.tables.routing import IngressLimits, RoutingTable, Stage

LEARN_PEERS_S = 3.0
"""Seconds of a life in which a box knows few others yet."""

LAST_ANSWERS_S = 0.3
"""Seconds before the end of a stop in which nothing waits for a worker any more: time for some
hundred refusals to be written on a slow link."""

SURPLUS_REST_S = 3.0
"""Seconds for which a worker gets no work that sends far more than its answers."""

PACE_KEPT_S = 0.5
"""Seconds for which a pace that was worked out is used: as often as peers tell of their calls."""


ODD_ERA_LOG_S = 1.0
"""Seconds between two lines about eras of the store that can't be read."""

LANE_KEPT_S = 1.0
"""Seconds for which a lane's size is used: it follows averages of ten seconds."""

SHARES_KEPT_S = 0.25
"""Seconds for which the use of shares by organisations is cached: half of the time between two
notices."""

ROOM_VIEW_KEPT_S = 0.1
"""Seconds for which the view of all who wait is used: peers tell of theirs each 0.5 s."""


async def _links_hold() -> bool:
    """The links to the workers hold, where nobody probes them."""
    return True


@dataclass(frozen=True, kw_only=True, slots=True)
class _KnownLane:
    """The share of the decode workers in the lane, and when it was worked out."""

    share: float
    at: float


@dataclass(frozen=True, kw_only=True, slots=True)
class _KnownRoom:
    """A view of all who wait for room, and when it was put together."""

    view: RoomView
    at: float


@dataclass(frozen=True, kw_only=True, slots=True)
class _KnownShares:
    """Use of their shares by organisations, and when it was computed."""

    usage_by_name: dict[str, ShareUsage]
    at: float


@dataclass(frozen=True, kw_only=True, slots=True)
class _KnownPace:
    """A pace, and when it was worked out."""

    pace: PrefillTiming
    at: float


@dataclass(kw_only=True)
class ForwardingState:
    """Shared by all requests of a process; only its event loop touches it.

    ``begun_at`` is when the process began: an earlier life of the box was over by then. Loading the
    program takes a small box the better part of a second until ``started_at``. ``is_first_start``
    says that no box of the system has run before. ``on_crash_news`` is called with the digests of
    requests under which this box saw a worker end, ``on_part_news`` after it saw anything that may
    change which parts of prompts are refused, ``on_limit_news`` when a worker names another limit
    than before, ``on_restored`` when the store has come back from an older copy.
    ``on_link_trouble`` is called with the start of a call of a worker that failed in a way that a
    lost link would cause; ``confirm_links`` probes workers and returns whether a failure to reach
    one is the worker's own.
    """

    box: str
    zone: str
    clock: Callable[[], float]
    callers: CallerDialect
    workers_speak: WorkerDialect
    log: DecisionLog
    metrics: TrafficMetrics
    retry_limits: RetryLimits
    rng: random.Random
    default_boxes: int
    peers: PeerTable
    started_at: float
    begun_at: float
    is_first_start: bool = False
    fleet_size: FleetSize = field(default_factory=FleetSize)
    wall_clock: Callable[[], float] = time.time
    table: RoutingTable | None = None
    table_at: float = 0.0
    table_item: StoredItem | None = None
    workers: WorkerTable = field(default_factory=WorkerTable)
    links: WorkerLinks = field(default_factory=WorkerLinks)
    overload: Overload = field(default_factory=Overload)
    on_link_trouble: Callable[[float], None] = lambda _: None
    confirm_links: Callable[[], Awaitable[bool]] = _links_hold
    paces: WorkerPaces = field(default_factory=WorkerPaces)
    pool: ConnectionPool = field(default_factory=ConnectionPool)
    knowledge_limits: SilenceLimits = KNOWLEDGE
    budgets_by_service: dict[str, RetryWindow] = field(default_factory=dict)
    failover_paces_by_service: dict[str, FailoverPace] = field(default_factory=dict)
    demand_by_service: dict[str, RecentDemand] = field(default_factory=dict)
    room_by_service: dict[str, RoomHistory] = field(default_factory=dict)
    ranked_room_by_service: dict[str, RoomWaitsByRank] = field(default_factory=dict)
    ways: DecisionWays = DecisionWays()
    conditions: Conditions = Conditions()
    work_times: WorkTimesByService = field(default_factory=WorkTimesByService)
    first_tries: FirstTryTimes = field(default_factory=FirstTryTimes)
    crashes: CrashRecords = field(default_factory=CrashRecords)
    lives_looked_at: set[str] = field(default_factory=set)
    on_crash_news: Callable[[list[str]], None] = lambda _: None
    parts: PartCrashes = field(default_factory=PartCrashes)
    on_part_news: Callable[[list[PartNotice]], None] = lambda _: None
    part_trials: PartTrials = field(default_factory=NoTrials)
    request_trials: RequestTrials = field(default_factory=NoRequestTrials)
    permits: CallPermits = field(default_factory=UnlimitedPermits)
    origins: OriginDirectory = field(default_factory=UnknownOrigins)
    on_limit_news: Callable[[], None] = lambda: None
    store_era: int | None = None
    on_restored: list[Callable[[], None]] = field(default_factory=list)
    stop_began_at: float | None = None
    stop_ends_at: float = math.inf
    _ranks_of: RoutingTable | None = None
    _most_urgent_by_service: dict[str, int] = field(default_factory=dict)
    _request_ranks_by_service: dict[str, RequestRanks] = field(default_factory=dict)
    _room_view_by_service: dict[str, _KnownRoom] = field(default_factory=dict)
    use_by_service: dict[str, OrganisationUse] = field(default_factory=dict)
    _shares_by_service: dict[str, _KnownShares] = field(default_factory=dict)
    _mean_tokens_by_service: dict[str, tuple[float, float]] = field(default_factory=dict)
    usual_times_by_service: dict[str, UsualTimes] = field(default_factory=dict)
    _tells_pace_by_service: dict[str, tuple[bool, float]] = field(default_factory=dict)
    _odd_era_logged_at: float = -math.inf
    _lane_by_service: dict[str, _KnownLane] = field(default_factory=dict)
    _pace_by_service: dict[str, _KnownPace] = field(default_factory=dict)
    answer_times: AnswerTimes = field(default_factory=AnswerTimes)
    surplus: SurplusBytes = field(default_factory=SurplusBytes)
    background: set[asyncio.Task[None]] = field(default_factory=set)

    def note_surplus(self, worker_id: str, size: int) -> None:
        """A worker sent bytes behind a whole answer: one that sends many rests, if others serve."""
        now = self.clock()
        tracked = self.workers.tracked_by_id.get(worker_id)
        if tracked is None or not self.surplus.add(worker_id, size, now):
            return
        resting = self.workers.advice.in_backoff(now)
        others = self.workers.usable(tracked.worker.service, now, stage=tracked.worker.stage)
        if worker_id in resting or all(other is tracked for other in others):
            return
        self.workers.advice.note_backoff(worker_id, SURPLUS_REST_S, now)
        self.log.decide(Decision.WORKER_SURPLUS, worker=worker_id, for_s=SURPLUS_REST_S)

    def stop_left_s(self, now: float) -> float:
        """Return the seconds until the end of a stop that has begun, else infinity."""
        return max(0.0, self.stop_ends_at - now)

    @property
    def is_stopping(self) -> bool:
        """Whether the process was asked to end."""
        return self.stop_began_at is not None

    def is_ending(self, now: float) -> bool:
        """Whether what waits for a worker is to be answered now: the process ends shortly."""
        return now >= self.stop_ends_at - LAST_ANSWERS_S

    def note_link_trouble(self, error: ExchangeError, *, since: float) -> None:
        """A call of a worker that began at ``since`` failed: other workers may be out of reach too.

        A late answer is no sign of that if other answers came meanwhile.
        """
        is_link_failure = isinstance(error, ConnectFailedError | ConnectionBrokenError)
        if is_link_failure or self.links.heard_at < since:
            self.on_link_trouble(since)

    @property
    def can_forward(self) -> bool:
        """Whether requests may be passed to another box that reaches workers."""
        return self.ways.cut_off.forwards and bool(self.peers.forward_candidates(self.clock()))

    @property
    def boxes(self) -> int:
        """How many boxes share the budgets: the record, or those that are known if they are more.

        The settings' figure is the least until peers had time to tell.
        """
        known = self.fleet_size.boxes(self.peers.known_boxes)
        return max(known, self.default_boxes) if self._is_learning_peers else known

    @property
    def _is_learning_peers(self) -> bool:
        """Whether the process began so lately that peers had no time to report."""
        return self.clock() - self.started_at < LEARN_PEERS_S

    @property
    def retry_share(self) -> float:
        """This box's part of the constant of each retry budget.

        An earlier life of the box may have spent its part until the process began. None of it is
        left before a whole window has passed, unless no box has run before. A box that still does
        not know the size of the fleet after its first seconds has no part: it may hear few others.
        """
        is_young = self.clock() - self.begun_at < self.retry_limits.window_s
        if is_young and not self.is_first_start:
            return 0.0
        if not (self.fleet_size.is_known or self._is_learning_peers):
            return 0.0
        return 1.0 / self.boxes

    def fleet_demand(self, service: str) -> DemandCounts:
        """What was asked of a service lately, of this box and of the peers that it hears."""
        now = self.clock()
        return self.demand(service).counts(now) + self.peers.demand(service, now)

    def lane_share(self, service: str, kv_tokens: int) -> float:
        """The share of a service's decode workers that large requests have for themselves."""
        now = self.clock()
        known = self._lane_by_service.get(service)
        if known is None or now - known.at >= LANE_KEPT_S:
            share = lane_share(self.fleet_demand(service), kv_tokens)
            known = _KnownLane(share=share, at=now)
            self._lane_by_service[service] = known
        return known.share

    def demand(self, service: str) -> RecentDemand:
        """What was asked of a service at this box."""
        return self.demand_by_service.setdefault(service, RecentDemand())

    def failover_pace(self, service: str) -> FailoverPace:
        """How many requests of a service may look for another worker at a time, at this box."""
        return self.failover_paces_by_service.setdefault(service, FailoverPace())

    def room(self, service: str) -> RoomHistory:
        """What requests waited for room at the engines of a service, at this box."""
        return self.room_by_service.setdefault(service, RoomHistory())

    def mean_room_wait_s(self, service: str) -> float:
        """The mean time until room comes, by what this box and its peers saw lately."""
        now = self.clock()
        return (self.room(service).counts(now) + self.peers.room(service, now)).mean_wait_s

    def prefill_pace(self, service: str) -> PrefillTiming:
        """How quickly the prefill workers of a service read, by the latest calls of all boxes."""
        now = self.clock()
        known = self._pace_by_service.get(service)
        if known is not None and now - known.at < PACE_KEPT_S:
            return known.pace
        samples = [*self.demand(service).prefills, *self.peers.prefills(service, now)]
        found = fit_prefill_timing(samples) if samples or known is None else known.pace
        self._pace_by_service[service] = _KnownPace(pace=found, at=now)
        return found

    def own_prefill_wait_s(self, tracked: TrackedWorker) -> float:
        """How long a prompt would wait at a prefill worker, by this box's own calls."""
        if tracked.worker.stage is not Stage.PREFILL:
            return 0.0
        timing = self.prefill_pace(tracked.worker.service)
        return tracked.queue.wait_s(timing=timing, now=self.clock())

    def prefill_wait_s(self, tracked: TrackedWorker) -> float:
        """The same by what all boxes know."""
        reported_s = self.peers.prefill_wait_s(tracked.worker.id, self.clock())
        return max(reported_s, self.own_prefill_wait_s(tracked))

    def note_position(self, at: int) -> None:
        """Something is known as of a position of the store; a newer era ends what hung on it."""
        era = era_of(at)
        if self.store_era is not None and era <= self.store_era:
            return
        previous, self.store_era = self.store_era, era
        self.metrics.store_era.set({}, era)
        if previous is None:
            return
        self.log.decide(
            Decision.STORE_RESTORED,
            era=era,
            previous=previous,
            revision=told(at),
            workers_era=era_of(self.workers.revision),
            workers_age_s=round(self.clock() - self.workers.heard_at, 2),
        )
        for end_era in self.on_restored:
            end_era()

    def note_odd_era(self, value: str) -> None:
        """The store named an era that can't be one; a line a second at most."""
        now = self.clock()
        if now < self._odd_era_logged_at + ODD_ERA_LOG_S:
            return
        self._odd_era_logged_at = now
        self.log.decide(Decision.STORE_RESTORED, outcome="unreadable era", detail=value)

    def note_transfer(self, transfer: Transfer) -> None:
        """Count an answer of the store or of a peer; a long or cut one gets a line."""
        self.metrics.observe_transfer(transfer)
        if transfer.is_notable:
            self.log.decide(
                Decision.TRANSFER_ENDED,
                outcome=transfer.outcome if transfer.is_whole else "cut_off",
                call=transfer.call,
                source=transfer.source,
                bytes=transfer.size,
                took_ms=round(transfer.seconds * 1000, 1),
                error="" if transfer.is_whole else transfer.outcome,
            )

    def spawn(self, work: Coroutine[None, None, None]) -> None:
        """Do something beside the requests."""
        task = asyncio.get_running_loop().create_task(work)
        self.background.add(task)
        task.add_done_callback(self.background.discard)

    def has_limits(self) -> bool:
        """Whether some organisation has a limit."""
        organisations = self.table.organisations if self.table is not None else None
        return organisations is not None and organisations.has_limits

    def most_urgent(self, service: str) -> int:
        """The first rank among the routes to a service, worked out once for each configuration."""
        table = self.table
        if table is None:
            return 0
        self._renew_ranks(table)
        return self._most_urgent_by_service.get(service, 0)

    def request_ranks(self, service: str) -> RequestRanks:
        """The ranks of the streams to a service, worked out once for each configuration."""
        table = self.table
        if table is None:
            return RequestRanks()
        self._renew_ranks(table)
        ranks = self._request_ranks_by_service.get(service)
        if ranks is None:
            ranks = RequestRanks.from_table(table, service)
            self._request_ranks_by_service[service] = ranks
        return ranks

    def room_order(self, service: str) -> OrderMode:
        """How requests of a service that wait for room are ordered; never ``auto``."""
        way = self.ways.order
        if way is not OrderMode.AUTO:
            return way
        is_ordered = self.request_ranks(service).is_ordered
        return OrderMode.ENTRY if is_ordered else OrderMode.UNORDERED

    def ranked_room(self, service: str) -> RoomWaitsByRank:
        """What requests of each rank waited for room at this box."""
        return self.ranked_room_by_service.setdefault(service, RoomWaitsByRank())

    def room_view(self, service: str) -> RoomView:
        """What this box and its peers know of all who wait for room."""
        now = self.clock()
        known = self._room_view_by_service.get(service)
        if known is None or now - known.at >= ROOM_VIEW_KEPT_S:
            own = self.ranked_room(service).notices(now)
            view = RoomView.from_notices(own, self.peers.ranks(service, now), now=now)
            known = _KnownRoom(view=view, at=now)
            self._room_view_by_service[service] = known
        return known.view

    def tells_pace(self, service: str) -> bool:
        """Whether workers of a service tell how long their work takes."""
        now = self.clock()
        known = self._tells_pace_by_service.get(service)
        if known is None or now - known[1] >= LANE_KEPT_S:
            ids = [tracked.worker.id for tracked in self.workers.of_service(service)]
            known = (self.paces.any_reported(ids, now), now)
            self._tells_pace_by_service[service] = known
        return known[0]

    def mean_request_tokens(self, service: str) -> float:
        """The mean size of the streams asked of a service lately, in tokens; 0 if none was."""
        now = self.clock()
        known = self._mean_tokens_by_service.get(service)
        if known is None or now - known[1] >= LANE_KEPT_S:
            counts = self.fleet_demand(service)
            tokens = counts.prompt_tokens + counts.output_tokens
            known = (tokens / counts.asks if counts.asks else 0.0, now)
            self._mean_tokens_by_service[service] = known
        return known[0]

    def organisation_use(self, service: str) -> OrganisationUse:
        """What requests of each organisation asked for and got at this box."""
        return self.use_by_service.setdefault(service, OrganisationUse())

    def share_usage(self, service: str, organisation: str) -> ShareUsage:
        """Whether an organisation has more than its share of a service's decode memory."""
        now = self.clock()
        known = self._shares_by_service.get(service)
        if known is None or now - known.at >= SHARES_KEPT_S:
            uses = [*self.organisation_use(service).notices(now), *self.peers.uses(service, now)]
            weights = self._weights(service, {use.name for use in uses})
            known = _KnownShares(usage_by_name=share_usage_by_name(uses, weights), at=now)
            self._shares_by_service[service] = known
        return known.usage_by_name.get(organisation, ShareUsage())

    def _weights(self, service: str, names: set[str]) -> dict[str, float]:
        """The limits of organisations that have one, in tokens a second.

        One that counts requests is taken as so many requests of mean size.
        """
        organisations = self.table.organisations if self.table is not None else None
        if organisations is None:
            return {}
        tokens_by_unit = {
            LimitUnit.TOKENS: 1.0,
            LimitUnit.REQUESTS: self.mean_request_tokens(service),
        }
        return {
            name: limit.rate_per_s * tokens_by_unit[limit.unit]
            for name in names
            if (organisation := organisations.by_name.get(name)) is not None
            and (limit := organisation.limit) is not None
        }

    def _renew_ranks(self, table: RoutingTable) -> None:
        if self._ranks_of is not table:
            self._ranks_of = table
            self._most_urgent_by_service = table.top_priority_by_service()
            self._request_ranks_by_service = {}

    def limits(self) -> IngressLimits:
        """The limits in force; defaults until a configuration is known."""
        return self.table.limits if self.table is not None else IngressLimits()

    def budget(self, service: str) -> RetryWindow:
        """The retry budget of a service."""
        window = self.budgets_by_service.get(service)
        if window is None:
            window = RetryWindow(limits=self.retry_limits, rounding=rounding_of(self.box))
            self.budgets_by_service[service] = window
        return window
