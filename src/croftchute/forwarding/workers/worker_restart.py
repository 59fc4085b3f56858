"""What is done when a worker has begun another life under the name that it had."""

from __future__ import annotations

from croftchute.forwarding.decision_log import Decision
from croftchute.forwarding.state import ForwardingState
from croftchute.storage.position import told
from croftchute.tables.routing import Worker


def close_stale_connections(state: ForwardingState, worker: Worker, *, revision: int) -> None:
    """Close all connections to an earlier life: what ran there is known to have failed.

    Its process has ended, so no answer will come; those who wait for one go elsewhere now, and not
    after a time-out of seconds.
    """
    closed = state.pool.close_owner(worker.id)
    state.log.decide(
        Decision.WORKER_GONE,
        outcome="restarted",
        worker=worker.id,
        revision=told(revision),
        calls_ended=closed,
    )
