"""Handling of a worker that has restarted under the same name."""

from __future__ import annotations

from croftchute.forwarding.decision_log import Decision
from croftchute.forwarding.state import ForwardingState
from croftchute.storage.position import told
from croftchute.tables.routing import Worker


def close_stale_connections(state: ForwardingState, worker: Worker, *, revision: int) -> None:
    """Close all connections to the worker's earlier process, which fails the calls on them.

    That process has ended, so no answer will come. Requests that wait for one fail over at once,
    instead of after a time-out of seconds.
    """
    closed = state.pool.close_owner(worker.id)
    state.log.decide(
        Decision.WORKER_GONE,
        outcome="restarted",
        worker=worker.id,
        revision=told(revision),
        calls_ended=closed,
    )
