"""Tables of the order for room: by rank, by hall, and by second and route."""

from __future__ import annotations

from collections.abc import Mapping, Sequence

from croftchute.account.log_lines import Fate, RequestStory
from croftchute.account.tables import Table, fate_table


def order_tables(
    stories: Sequence[RequestStory], hall_by_box: Mapping[str, str]
) -> tuple[Table, Table, Table]:
    """Requests by rank, by the hall of their box, and by second and route."""
    begun_at = min((story.began_at for story in stories), default=0.0)
    return (
        by_rank(stories),
        fate_table(
            "Requests by hall", stories, lambda s: hall_by_box.get(s.box, "hall not logged")
        ),
        fate_table(
            "Requests by second and route",
            stories,
            lambda s: f"{int(s.began_at - begun_at):4d} {s.route or 'route not logged'}",
        ),
    )


def by_rank(stories: Sequence[RequestStory]) -> Table:
    """Streams that waited in an order for room, the most urgent rank first.

    The mean wait is the time from a request's arrival to its first hold, or to its refusal if it
    got none, in seconds.
    """
    stories_by_rank: dict[int, list[RequestStory]] = {}
    for story in stories:
        if story.rank is not None:
            stories_by_rank.setdefault(story.rank, []).append(story)
    rows = tuple(_row(rank, told) for rank, told in sorted(stories_by_rank.items()))
    columns = ("rank", "requests", "in time", "late", "refused", "share in time", "mean wait s")
    return Table(title="Ordered streams by rank", columns=columns, rows=rows)


def _row(rank: int, stories: Sequence[RequestStory]) -> tuple[str, ...]:
    fates = [story.fate for story in stories]
    counts = [fates.count(fate) for fate in (Fate.IN_TIME, Fate.LATE, Fate.REFUSED)]
    waits = [wait_s for story in stories if (wait_s := _wait_s(story)) is not None]
    return (
        str(rank),
        str(len(stories)),
        *(str(count) for count in counts),
        f"{counts[0] / len(stories):.3f}",
        f"{sum(waits) / len(waits):.2f}" if waits else "-",
    )


def _wait_s(story: RequestStory) -> float | None:
    """Seconds until the first hold, or the refusal; None if the log tells of neither."""
    if story.room_s is not None:
        return story.room_s
    return story.lasted_s if story.fate is Fate.REFUSED else None
