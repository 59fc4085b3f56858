"""Finds the decode worker that still caches the prompt of a stream that a caller resumes.

A restarted box no longer knows where its streams ran, and a caller may resume at another box. The
workers know: each lists the prompt parts in its cache.
"""

from __future__ import annotations

import asyncio

from croftchute.errors import MessageError
from croftchute.forwarding.decision_log import Decision
from croftchute.forwarding.http.failures import ExchangeError
from croftchute.forwarding.workers.request_run import RequestRun
from croftchute.forwarding.workers.worker_control import fetch_cached_parts
from croftchute.systems.tracked_worker import TrackedWorker
from croftchute.systems.worker_choice import rank_by_affinity
from croftchute.tables.routing import Stage

MAX_WORKERS_QUERIED = 16
"""Most decode workers that are queried about one prompt, in its order of affinity. Listing its
cache delays a worker for a moment. A choice of a worker compares 12 that are not full."""


async def find_cached_worker(run: RequestRun) -> str | None:
    """Return the id of the decode worker that caches most of the prompt's own part, or None."""
    part = run.facts.last_prompt_part
    usable = run.usable(Stage.DECODE)
    if not part or run.engine is None:
        return None
    usable = rank_by_affinity(usable, part)[:MAX_WORKERS_QUERIED]
    answers = await asyncio.gather(
        *(_fetch_cached_tokens(run, tracked, part) for tracked in usable)
    )
    tokens, worker_id = max(
        zip(answers, (tracked.worker.id for tracked in usable), strict=True), default=(0, "")
    )
    run.log(
        Decision.KEEPER_ASKED,
        outcome="found" if tokens > 0 else "none keeps it",
        worker=worker_id if tokens > 0 else "",
        kept_tokens=tokens,
        workers_asked=len(usable),
    )
    return worker_id if tokens > 0 else None


async def _fetch_cached_tokens(run: RequestRun, tracked: TrackedWorker, part: str) -> int:
    """Return the tokens of a prompt part that a worker caches; 0 if it does not answer in time."""
    try:
        kept = await fetch_cached_parts(run.state, tracked.worker)
    except (ExchangeError, MessageError) as error:
        run.log(
            Decision.KEEPER_ASKED,
            outcome=error.code.value,
            worker=tracked.worker.id,
            detail=error.message,
        )
        return 0
    return kept.get(part, 0)
