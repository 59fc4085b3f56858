"""Streams between workers of several software versions, by the events that callers received."""

from __future__ import annotations

from collections import defaultdict
from collections.abc import Iterator

from croftchute.soak.traffic import Traffic
from croftchute.soak.violation import Violation, broken
from croftchute.soak.world import SoakWorld
from croftchute.standins.platform_caller import RequestKind, Try

MIN_TAKEN_UP = 12
"""Streams taken up from which on their share is judged."""

MIN_SHARE = 0.5
"""Share of streams taken up that go on, of the share of new ones that begin."""

MIN_WORKERS = 2
"""Workers of a stream's version that must serve for it to be judged."""


def versions_mixed(traffic: Traffic) -> Iterator[Violation]:
    """Streams that hold events of two software versions, over all tries of their callers."""
    software_by_stream: dict[str, set[str]] = defaultdict(set)
    for attempt in traffic.tries_by_id.values():
        stream = attempt.resumes or attempt.request_id
        software_by_stream[stream] |= {software for _, software in attempt.events_received}
    for stream, software in software_by_stream.items():
        if len(software) > 1:
            first = traffic.tries_by_id[stream]
            yield broken("streams keep their software version", first, f"held {sorted(software)}")


def streams_lost(traffic: Traffic, world: SoakWorld) -> Iterator[Violation]:
    """Streams taken up that go on less than half as often as new ones begin."""
    tries = [
        attempt
        for attempt in traffic.tries_by_id.values()
        if attempt.kind is RequestKind.RESUMABLE and attempt.left_at is None
    ]
    new = [bool(attempt.events_received) for attempt in tries if not attempt.resumes]
    taken_up = [
        bool(attempt.events_received)
        for attempt in tries
        if attempt.resumes and _workers_serving(attempt, traffic, world) >= MIN_WORKERS
    ]
    if len(taken_up) < MIN_TAKEN_UP or not new:
        return
    begin_share = sum(new) / len(new)
    go_on_share = sum(taken_up) / len(taken_up)
    if go_on_share < MIN_SHARE * begin_share:
        yield Violation(
            promise="streams taken up go on",
            request_id="",
            detail=f"{sum(taken_up)} of {len(taken_up)} went on, {sum(new)} of {len(new)} began",
        )


def _workers_serving(attempt: Try, traffic: Traffic, world: SoakWorld) -> int:
    """Return how many workers of the version that began a stream were listed throughout a try."""
    _, software = traffic.tries_by_id[attempt.resumes].events_received[0]
    ended_at = attempt.ended_at or attempt.sent_at
    return sum(
        listed.listed_at <= attempt.sent_at
        and (listed.leaving_at is None or listed.leaving_at > ended_at)
        for listed in world.all_workers
        if listed.worker.stage == "decode" and listed.worker.software == software
    )
