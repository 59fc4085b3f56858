"""The workers that named a limit for all boxes: what they got, and what was kept from them."""

from __future__ import annotations

from collections import Counter
from collections.abc import Iterable
from dataclasses import dataclass, field

from croftchute.account.log_lines import Line, seconds_of
from croftchute.account.tables import Table
from croftchute.forwarding.decision_log import Decision

WINDOW_S = 4.0
"""Seconds over which the calls of a worker are counted."""

SENDINGS = frozenset({Decision.REQUEST_SENT, Decision.PREFILL_SENT})


@dataclass(kw_only=True, slots=True)
class LimitStory:
    """One worker's limits, the sendings that it got while it named one, and the calls refused."""

    worker: str
    first_at: float
    named: list[float] = field(default_factory=list)
    ended_at: float | None = None
    sent_at: list[float] = field(default_factory=list)
    denied_by_outcome: Counter[str] = field(default_factory=Counter)

    @property
    def most_in_a_window(self) -> int:
        """The most sendings in a window; asks for room, lists and orders are not among them."""
        times = sorted(self.sent_at)
        return max((sum(at - WINDOW_S < other <= at for other in times) for at in times), default=0)


def limit_stories(lines: Iterable[Line]) -> dict[str, LimitStory]:
    """The stories of all workers that named a limit, over the logs of all boxes."""
    by_worker: dict[str, LimitStory] = {}
    for line in sorted(lines, key=seconds_of):
        worker = str(line.get("worker", ""))
        story = by_worker.get(worker)
        if line["event"] == Decision.WORKER_LIMITED:
            story = by_worker.setdefault(
                worker, LimitStory(worker=worker, first_at=seconds_of(line))
            )
            limit = float(line.get("limit_per_s", 0.0))
            if story.named[-1:] != [limit]:
                story.named.append(limit)
        elif story is None:
            continue
        elif line["event"] == Decision.WORKER_UNLIMITED:
            story.ended_at = seconds_of(line)
        elif line["event"] == Decision.PERMIT_DENIED:
            story.denied_by_outcome[str(line.get("outcome", ""))] += 1
        elif line["event"] in SENDINGS and line.get("limit_per_s") is not None:
            story.sent_at.append(seconds_of(line))
    return by_worker


def limited_workers(lines: Iterable[Line]) -> Table:
    """The table of all workers that named a limit."""
    found = sorted(limit_stories(lines).values(), key=lambda story: story.first_at)
    begun_at = found[0].first_at if found else 0.0
    rows = tuple(
        (
            story.worker,
            f"{story.first_at - begun_at:.2f}",
            "-" if story.ended_at is None else f"{story.ended_at - begun_at:.2f}",
            ", ".join(f"{limit:g}" for limit in story.named),
            str(len(story.sent_at)),
            str(story.most_in_a_window),
            str(story.denied_by_outcome["denied"]),
            str(story.denied_by_outcome["unknown"]),
        )
        for story in found
    )
    columns = ("worker", "from s", "to s", "named", "sent", "most in 4 s", "denied", "no pool")
    return Table(title="Workers that named a limit", columns=columns, rows=rows)
