"""The state of a forwarding box that has heard nothing yet, made from its settings."""

from __future__ import annotations

import random

from croftchute.forwarding.decision_log import DecisionLog, LineWriter
from croftchute.forwarding.dialect import CallerDialect, WorkerDialect
from croftchute.forwarding.state import ForwardingState
from croftchute.forwarding.traffic_metrics import TrafficMetrics
from croftchute.router_settings import RouterSettings, parse_address
from croftchute.steady_clock import steady_s
from croftchute.systems.peer_table import PeerTable
from croftchute.systems.retry_budget import RetryLimits
from croftchute.systems.usage_bucket import LimitTerms
from croftchute.systems.worker_table import MASS_EXPIRY_GRACE_S, WorkerTable

STDOUT = 1

LAPSED_SHARE_OF_DRAIN = 0.7
"""Share of the time until new work is barred for which lapsed workers are used."""


def make_state(
    settings: RouterSettings,
    *,
    callers: CallerDialect,
    workers: WorkerDialect,
    begun_at: float | None = None,
) -> ForwardingState:
    """The state of a process that has heard nothing yet; ``begun_at`` as in the state, or now."""
    clock = steady_s
    metrics = TrafficMetrics()
    log = DecisionLog(box=settings.box, writer=LineWriter(descriptor=STDOUT, now=clock))
    log.observer = lambda kind: metrics.decisions.inc({"kind": kind.value})
    return ForwardingState(
        box=settings.box,
        zone=settings.hall,
        clock=clock,
        callers=callers,
        workers_speak=workers,
        log=log,
        metrics=metrics,
        retry_limits=retry_limits(settings),
        rng=random.Random(random.SystemRandom().getrandbits(64)),
        default_boxes=settings.boxes,
        peers=peer_table(settings),
        ways=settings.ways,
        conditions=settings.conditions,
        started_at=clock(),
        begun_at=clock() if begun_at is None else begun_at,
        is_first_start=settings.first_start,
        workers=WorkerTable(mass_expiry_grace_s=mass_expiry_grace_s(settings)),
    )


def mass_expiry_grace_s(settings: RouterSettings) -> float:
    """How long workers whose entries lapsed are used: well within the time that bars new work."""
    return min(MASS_EXPIRY_GRACE_S, LAPSED_SHARE_OF_DRAIN * settings.drain_s)


def peer_table(settings: RouterSettings) -> PeerTable:
    """The peers as the settings name them: seeds, at the port that is alike on all boxes."""
    own = parse_address(settings.control).host
    hosts = [parse_address(seed).host for seed in settings.seeds]
    seeds = tuple((host, settings.notice_port) for host in hosts if host != own)
    return PeerTable(own_id=settings.box, hall=settings.hall, seeds=seeds)


def retry_limits(settings: RouterSettings) -> RetryLimits:
    """The retry budget as the settings have it."""
    retry = settings.retry
    return RetryLimits(ratio=retry.ratio, window_s=retry.window_s, slack=retry.slack)


def limit_terms(settings: RouterSettings) -> LimitTerms:
    """How strictly limits of organisations are judged, as the settings have it."""
    limits = settings.limits
    return LimitTerms(window_s=limits.window_s, overage=limits.overage, slack=limits.slack)
