"""Finds out whether a worker that broke an answer off has crashed, and which requests it ran.

A broken answer alone is no proof: connections get reset, and faulty workers break an answer off and
go on. A worker whose process has ended refuses connections at once, or has restarted since.
"""

from __future__ import annotations

from croftchute.forwarding.decision_log import MAX_LOGGED_PARTS, Decision
from croftchute.forwarding.http.failures import ConnectFailedError, ConnectRefusedError
from croftchute.forwarding.state import ForwardingState
from croftchute.tables.crashes import request_number
from croftchute.tables.routing import Worker

CONNECT_PROBE_TIMEOUT_S = 1.5
"""Time-out of a probe connection in seconds: long enough to resend one lost packet. Until the probe
ends, a crash counts as likely, which only affects requests that have lost two workers already."""

MAX_LOGGED_DIGESTS = 16
"""Most digests in one log line: more than a worker with eight slots runs for one box."""

ALIVE, ENDED, UNKNOWN, RESTARTED = "lives", "ended", "unknown", "restarted"
"""Outcomes of a probe, as they are logged."""


def check_after_broken_answer(
    state: ForwardingState, worker: Worker, digest: str, *, parts: tuple[str, ...] = ()
) -> None:
    """Probe whether a worker has crashed after it broke off the answer to a request.

    ``parts`` are those of its prompt that may be to blame. Workers that announced that they leave
    are expected to end, so they aren't probed.
    """
    tracked = state.workers.tracked_by_id.get(worker.id)
    if tracked is None or state.workers.advice.is_leaving(worker.id):
        return
    now = state.clock()
    if tracked.has_ended:
        _note_suspected(state, worker, digest, parts)
        _record_outcome(state, worker, RESTARTED, broke_at=now)
        return
    if tracked.gone_at is not None:
        return
    _note_suspected(state, worker, digest, parts)
    if worker.id not in state.lives_looked_at:
        state.lives_looked_at.add(worker.id)
        state.spawn(_probe_process(state, worker))


def _note_suspected(
    state: ForwardingState, worker: Worker, digest: str, parts: tuple[str, ...]
) -> None:
    now = state.clock()
    state.crashes.note_suspected_crash(digest, worker.id, now)
    number = request_number(digest)
    state.parts.note_suspected_crash(parts, worker.id, request=number, now=now)


async def _probe_process(state: ForwardingState, worker: Worker) -> None:
    broke_at = state.clock()
    outcome = ALIVE
    try:
        connection = await state.pool.connect(worker.host, worker.port, CONNECT_PROBE_TIMEOUT_S)
        tracked = state.workers.tracked_by_id.get(worker.id)
        if tracked is None or tracked.has_ended:
            connection.abort()
            outcome = RESTARTED
        else:
            state.pool.keep(
                connection, worker.host, worker.port, owner=worker.id, now=state.clock()
            )
    except ConnectRefusedError:
        # A box whose links are all refused sees every worker as ended.
        outcome = ENDED if await state.confirm_links() else UNKNOWN
    except ConnectFailedError:
        outcome = UNKNOWN
    finally:
        state.lives_looked_at.discard(worker.id)
    _record_outcome(state, worker, outcome, broke_at=broke_at)


def _record_outcome(
    state: ForwardingState, worker: Worker, outcome: str, *, broke_at: float
) -> None:
    has_ended = outcome in (ENDED, RESTARTED)
    ended_at = broke_at if has_ended else None
    part_news = state.parts.resolve_suspicion(worker.id, ended_at=ended_at)
    digests = state.crashes.resolve_suspicion(worker.id, ended_at=ended_at)
    state.log.decide(
        Decision.WORKER_LOOKED_AT,
        outcome=outcome,
        worker=worker.id,
        took_ms=round((state.clock() - broke_at) * 1000, 1),
        digests=digests[:MAX_LOGGED_DIGESTS],
        requests=len(digests),
        parts=[notice.part for notice in part_news[:MAX_LOGGED_PARTS]],
    )
    state.on_part_news(part_news)
    if digests:
        state.on_crash_news(digests)
