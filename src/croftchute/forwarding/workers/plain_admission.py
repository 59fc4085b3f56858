"""Admission of plain calls while their service has a queue, based on freshly probed loads."""

from __future__ import annotations

from dataclasses import dataclass, replace

from croftchute.errors import Code, Ran
from croftchute.forwarding.state import ForwardingState
from croftchute.forwarding.workers.load_probe import PROBE_TIMEOUT_S, probe_loads
from croftchute.forwarding.workers.request_run import RequestRun
from croftchute.systems import plain_queue
from croftchute.systems.plain_queue import PlainChoice, QueueLoad
from croftchute.systems.tracked_worker import TrackedWorker
from croftchute.systems.worker_choice import ChoiceRecord
from croftchute.tables.paces import PaceSource, PredictedEnd
from croftchute.tables.routing import Service

MAX_PROBES = 3
"""Most workers probed for one call. A plain service has a few, and each probe costs a call."""


@dataclass(frozen=True, kw_only=True, slots=True)
class Admission:
    """The worker chosen for a call; ``found`` is None if the call would be late at all workers."""

    choice: PlainChoice
    found: tuple[TrackedWorker, ChoiceRecord] | None


async def admit(run: RequestRun) -> Admission | None:
    """Admit or refuse a plain call; None if there is no queue or no load is known."""
    service = _probed_service(run)
    if service is None or run.connect_failures:
        return None
    workers = [tracked for tracked in run.candidates(None) if tracked.worker.id not in run.avoid]
    if len(workers) < 2 or not plain_queue.is_busy(workers, run.now):
        return None
    asked = run.state.rng.sample(workers, min(MAX_PROBES, len(workers)))
    await probe_loads(
        run.state, service, asked, PROBE_TIMEOUT_S, permit_request=run.permit_request()
    )
    loads_by_id = {
        tracked.worker.id: load
        for tracked in asked
        if (load := _fresh_load(run.state, tracked)) is not None
    }
    work_s = run.state.work_times.mean_s(run.service)
    choice = plain_queue.choose_worker(
        loads_by_id,
        work_s=work_s,
        target_left_s=run.route.target_s - run.since_first_try_s - (run.now - run.started_at),
        time_left_s=run.time_left_s,
        is_last_try=run.deliveries > 0
        or plain_queue.is_returning_caller(run.route, run.since_first_try_s),
    )
    if choice is None:
        return None
    if choice.is_refused:
        return Admission(choice=choice, found=None)
    tracked = next(tracked for tracked in asked if tracked.worker.id == choice.worker_id)
    end = _predicted_end(choice, loads_by_id[choice.worker_id], work_s)
    described = replace(run.describe_choice(tracked, candidates=len(loads_by_id)), end=end)
    return Admission(choice=choice, found=(tracked, described))


def refuse_late(run: RequestRun, admission: Admission) -> None:
    """Refuse a call, not yet sent, that would be late at every probed worker."""
    detail = f"would complete in {admission.choice.end_s:.2f} s at {admission.choice.worker_id}"
    run.refuse(Code.NO_CAPACITY, Ran.NOT_RUN, f"{detail}, and later at other workers")


def _probed_service(run: RequestRun) -> Service | None:
    """Return the service if it is a plain one whose workers report their load to probes."""
    state = run.state
    table = state.table
    service = table.services_by_name.get(run.service) if table is not None else None
    if service is None or service.engine is not None or not service.health_path:
        return None
    return service if state.conditions.pressure or state.tells_pace(run.service) else None


def _fresh_load(state: ForwardingState, tracked: TrackedWorker) -> QueueLoad | None:
    """Return the load that a worker reported within the time-out of a probe, or None."""
    now = state.clock()
    if now - tracked.load_at > PROBE_TIMEOUT_S:
        return None
    pace = state.paces.reported_pace(tracked.worker.id, now)
    return QueueLoad(
        running=tracked.load_running,
        waiting=tracked.load_waiting,
        slots=tracked.worker.slots,
        pace=1.0 if pace is None else pace,
    )


def _predicted_end(choice: PlainChoice, load: QueueLoad, work_s: float) -> PredictedEnd:
    worker_work_s = load.pace * work_s
    return PredictedEnd(
        wait_s=max(0.0, choice.end_s - worker_work_s),
        work_s=worker_work_s,
        pace=load.pace,
        pace_source=PaceSource.REPORTED,
        pace_age_s=0.0,
    )
