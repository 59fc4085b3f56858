"""Gauges of the order for room and of the paces of workers, set anew at each sweep."""

from __future__ import annotations

from collections.abc import Iterator

from croftchute.forwarding.state import ForwardingState
from croftchute.forwarding.traffic_metrics import replace_values
from croftchute.forwarding.workers.load_and_pace import WORK_KIND_BY_STAGE
from croftchute.systems.room_order import OrderWay

MAX_WORKER_PACES = 64
"""Workers whose pace is shown: bounds the series of a box. The first by id, the same at all boxes,
as a choice by pace would end and begin series all the time."""

Series = tuple[dict[str, str], float]


def update_queue_gauges(state: ForwardingState, now: float) -> None:
    """Set the gauges of waiting requests, their mean wait, and the pace of each worker."""
    metrics = state.metrics
    ordered = list(_queued_services(state))
    replace_values(metrics.room_waiting, _waiting(state, ordered))
    replace_values(metrics.room_wait, _mean_waits(state, ordered))
    replace_values(metrics.worker_pace, _paces(state, now))


def _queued_services(state: ForwardingState) -> Iterator[str]:
    """Services of the configuration in force whose streams have waited in an order here."""
    configured = state.table.services_by_name if state.table is not None else {}
    for service in state.ranked_room_by_service:
        if service in configured and state.room_order(service) is not OrderWay.UNORDERED:
            yield service


def _waiting(state: ForwardingState, services: list[str]) -> Iterator[Series]:
    """Requests that wait at this box; 0 for ranks of the configuration of which none does."""
    for service in services:
        waiting = state.ranked_room(service).waiting()
        for rank in sorted({*range(0, 2 * state.request_ranks(service).count, 2), *waiting}):
            yield _labels(service, rank), waiting.get(rank, 0)


def _mean_waits(state: ForwardingState, services: list[str]) -> Iterator[Series]:
    """The mean wait in seconds by which requests of each rank decide, as known at this box."""
    for service in services:
        view = state.room_view(service)
        for rank in range(0, 2 * state.request_ranks(service).count, 2):
            yield _labels(service, rank), view.mean_wait_s(rank)


def _paces(state: ForwardingState, now: float) -> Iterator[Series]:
    """The paces of listed workers of which something was heard; 1 is usual."""
    beliefs_by_id = state.workers.beliefs_by_id
    known = sorted(worker_id for worker_id in beliefs_by_id if state.paces.is_known(worker_id))
    for worker_id in known[:MAX_WORKER_PACES]:
        kind = WORK_KIND_BY_STAGE[beliefs_by_id[worker_id].worker.stage]
        estimate = state.paces.estimate(worker_id, kind, now)
        yield {"worker": worker_id}, round(estimate.factor, 3)


def _labels(service: str, rank: int) -> dict[str, str]:
    return {"service": service, "room_rank": str(rank)}
