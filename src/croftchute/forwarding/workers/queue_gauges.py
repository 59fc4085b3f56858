"""Gauges of requests that queue for decode memory and of workers' paces."""

from __future__ import annotations

from collections.abc import Iterator

from croftchute.forwarding.state import ForwardingState
from croftchute.forwarding.traffic_metrics import replace_values
from croftchute.forwarding.workers.load_and_pace import WORK_KIND_BY_STAGE
from croftchute.systems.room_order import OrderMode

MAX_WORKER_PACES = 64
"""Most workers whose pace is exported, which bounds the series of a box. They are the first by id,
the same at all boxes: a selection by pace would start and end series all the time."""

Series = tuple[dict[str, str], float]


def update_queue_gauges(state: ForwardingState, now: float) -> None:
    """Set the gauges of waiting requests, their mean wait and each worker's pace."""
    metrics = state.metrics
    services = list(_queued_services(state))
    replace_values(metrics.room_waiting, _waiting(state, services))
    replace_values(metrics.room_wait, _mean_waits(state, services))
    replace_values(metrics.worker_pace, _paces(state, now))


def _queued_services(state: ForwardingState) -> Iterator[str]:
    """Yield the configured services whose streams have queued by rank at this box."""
    configured = state.table.services_by_name if state.table is not None else {}
    for service in state.ranked_room_by_service:
        if service in configured and state.room_order(service) is not OrderMode.UNORDERED:
            yield service


def _waiting(state: ForwardingState, services: list[str]) -> Iterator[Series]:
    """Yield the waiting requests of this box by rank; 0 for configured ranks without any."""
    for service in services:
        waiting = state.ranked_room(service).waiting_by_rank()
        for rank in sorted({*range(0, 2 * state.request_ranks(service).count, 2), *waiting}):
            yield _labels(service, rank), waiting.get(rank, 0)


def _mean_waits(state: ForwardingState, services: list[str]) -> Iterator[Series]:
    """Yield the mean wait in seconds, by rank, that requests at this box decide by."""
    for service in services:
        view = state.room_view(service)
        for rank in range(0, 2 * state.request_ranks(service).count, 2):
            yield _labels(service, rank), view.mean_wait_s(rank)


def _paces(state: ForwardingState, now: float) -> Iterator[Series]:
    """Yield the known paces of listed workers; 1 is the usual pace."""
    tracked_by_id = state.workers.tracked_by_id
    known = sorted(worker_id for worker_id in tracked_by_id if state.paces.is_known(worker_id))
    for worker_id in known[:MAX_WORKER_PACES]:
        kind = WORK_KIND_BY_STAGE[tracked_by_id[worker_id].worker.stage]
        estimate = state.paces.estimate(worker_id, kind, now)
        yield {"worker": worker_id}, round(estimate.factor, 3)


def _labels(service: str, rank: int) -> dict[str, str]:
    return {"service": service, "room_rank": str(rank)}
