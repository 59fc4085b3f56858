"""Order by rank among all requests that wait for decode memory, across all boxes.

There is no shared queue. Each box polls the engines for room, that is, free decode memory, on
behalf of its own requests, more often for urgent ranks. Boxes report to each other how many
requests of each rank wait, and how long. From these reports a box knows which ranks are short of
room.
"""

from __future__ import annotations

import math
from collections import Counter
from collections.abc import Iterable
from dataclasses import dataclass, field
from enum import StrEnum

from croftchute.systems.request_rank import MAX_RANKS
from croftchute.systems.room_forecast import RoomCounts, RoomHistory
from croftchute.tables.peers import RankRoomNotice

BASE_POLL_INTERVAL_S = 0.03
"""Poll interval of the most urgent rank, about the time between two streams that end at the engines
and so free memory."""

POLL_INTERVAL_RATIO = 3.0
"""Ratio of the poll intervals of two successive request ranks, which are two room ranks apart. Most
of the room that comes free goes to the more urgent one."""

MAX_POLL_INTERVAL_TARGET_SHARE = 0.1
"""Largest poll interval as a share of the target. The interval grows with the rank even if no
request of a more urgent rank waits; the limit lets every request poll several times before it is
late."""

MAX_POLL_INTERVAL_S = 0.5
"""Largest poll interval of any rank: a quarter of the shortest time that callers wait, 2 s."""

MIN_POLL_INTERVAL_S = 0.01
"""Smallest poll interval: a request that is about to be late does not poll in a busy loop."""

FINAL_POLL_LEAD_S = 0.15
"""Seconds before it would be late at which a request that holds back polls once. Without that, a
rank would get no room at all while a more urgent one is short of it."""

STARVED_MEAN_WAIT_S = 0.2
"""Mean wait of a rank above which less urgent requests hold back. It is a quarter of the shortest
targets in use, so that reading the prompt still fits into the rest."""

MIN_TOTAL_WAIT_S = 0.2
"""Least recent wait of a rank, summed over its requests, for its mean wait to count. It is above
zero, as a first poll that found no room is no sign of a shortage, and low, as a box of a large
fleet receives reports of few waiting requests."""


MAX_ROOM_RANKS = 4 * MAX_RANKS
"""Largest number of room ranks: two per request rank, for organisations within and over their
share, and the same again for late requests."""

MAX_REPORTED_VALUE = 100_000.0
"""Largest waited seconds, grants or waiting requests that a box accepts from a peer. A thousand
requests that wait at one box add up to some 3,000 s, as older waits are decayed."""

MIN_REPORTED_COUNT = 0.01
"""Waited seconds and grants below which a rank is dropped from reports. Otherwise ranks of an
earlier configuration would be reported for ever."""


class OrderMode(StrEnum):
    """How requests that wait for room are ordered.

    ``paced``: more urgent ranks poll more often. ``entry``: in addition, less urgent requests hold
    back while a more urgent rank waits too long at any box. ``unordered``: ranks are not used.
    ``auto``: ``entry`` if the configuration gives the streams of a service different priorities,
    else ``unordered``.
    """

    AUTO = "auto"
    PACED = "paced"
    ENTRY = "entry"
    UNORDERED = "unordered"


@dataclass(kw_only=True)
class RoomWaitsByRank:
    """Waits for room at the engines of one service, by room rank, as seen by one box."""

    _history_by_rank: dict[int, RoomHistory] = field(default_factory=dict)
    _waiting_by_rank: Counter[int] = field(default_factory=Counter)

    def begin_wait(self, rank: int) -> None:
        """Count a request that starts to wait."""
        self._waiting_by_rank[rank] += 1

    def end_wait(self, rank: int) -> None:
        """Stop counting a request that got room or was refused, or whose caller disconnected."""
        self._waiting_by_rank[rank] -= 1

    def note_waited(self, rank: int, seconds: float, now: float) -> None:
        """Add the time that a request waited without finding room."""
        self._history(rank).note_waited(seconds, now)

    def note_granted(self, rank: int, now: float) -> None:
        """Count a grant to a request that had waited."""
        self._history(rank).note_granted(now)

    def waiting_by_rank(self) -> dict[int, int]:
        """Return the number of requests that wait now, by rank."""
        return {rank: count for rank, count in self._waiting_by_rank.items() if count > 0}

    def notices(self, now: float) -> tuple[RankRoomNotice, ...]:
        """Return the reports to peers, most urgent rank first, and drop inactive ranks."""
        for rank, counts in self._counts_by_rank(now).items():
            is_quiet = max(counts.waited_s, counts.grants) < MIN_REPORTED_COUNT
            if is_quiet and self._waiting_by_rank[rank] <= 0:
                del self._history_by_rank[rank], self._waiting_by_rank[rank]
        return tuple(
            RankRoomNotice(
                rank=rank,
                waited_s=counts.waited_s,
                grants=counts.grants,
                waiting=max(0, self._waiting_by_rank[rank]),
            )
            for rank, counts in sorted(self._counts_by_rank(now).items())
        )

    def _counts_by_rank(self, now: float) -> dict[int, RoomCounts]:
        return {rank: history.counts(now) for rank, history in self._history_by_rank.items()}

    def _history(self, rank: int) -> RoomHistory:
        return self._history_by_rank.setdefault(rank, RoomHistory())


@dataclass(frozen=True, kw_only=True, slots=True)
class RoomView:
    """What one box knows of all requests that wait for room at the engines of a service.

    ``reported_at_by_rank`` is the time of the latest report of waiting requests of a rank.
    """

    counts_by_rank: dict[int, RoomCounts]
    waiting_by_rank: dict[int, int]
    reported_at_by_rank: dict[int, float] = field(default_factory=dict)

    @classmethod
    def from_notices(
        cls,
        own: Iterable[RankRoomNotice],
        from_peers: Iterable[tuple[RankRoomNotice, float]] = (),
        *,
        now: float = 0.0,
    ) -> RoomView:
        """Return the view from this box's own counts and the reports of its peers.

        Each report of a peer comes with the time when it was received. Invalid values are ignored.
        """
        sums_by_rank: dict[int, list[float]] = {}
        waiting_by_rank: dict[int, int] = {}
        reported_at_by_rank: dict[int, float] = {}
        for notice, reported_at in [*((notice, now) for notice in own), *from_peers]:
            rank, waited_s, grants = notice.rank, notice.waited_s, notice.grants
            waiting = notice.waiting
            if not (
                0 <= rank < MAX_ROOM_RANKS
                and 0.0 <= waited_s <= MAX_REPORTED_VALUE
                and 0.0 <= grants <= MAX_REPORTED_VALUE
                and 0 <= waiting <= MAX_REPORTED_VALUE
            ):
                continue
            sums = sums_by_rank.setdefault(rank, [0.0, 0.0])
            sums[0] += waited_s
            sums[1] += grants
            waiting_by_rank[rank] = waiting_by_rank.get(rank, 0) + waiting
            if waiting > 0:
                reported_at_by_rank[rank] = max(
                    reported_at, reported_at_by_rank.get(rank, reported_at)
                )
        counts_by_rank = {
            rank: RoomCounts(waited_s=waited_s, grants=grants)
            for rank, (waited_s, grants) in sums_by_rank.items()
        }
        return cls(
            counts_by_rank=counts_by_rank,
            waiting_by_rank=waiting_by_rank,
            reported_at_by_rank=reported_at_by_rank,
        )

    def mean_wait_s(self, rank: int) -> float:
        """Return the mean wait of a rank for room, at least that of every more urgent rank.

        >>> view = RoomView(
        ...     counts_by_rank={0: RoomCounts(waited_s=1.7, grants=1.0), 1: RoomCounts(grants=9.0)},
        ...     waiting_by_rank={},
        ... )
        >>> view.mean_wait_s(0), view.mean_wait_s(1)
        (1.0, 1.0)
        """
        own = self.counts_by_rank.get(rank, RoomCounts())
        urgent = (counts for other, counts in self.counts_by_rank.items() if other < rank)
        return max([own.mean_wait_s, *(c.mean_wait_s for c in urgent if c.waited_s > 0.0)])

    def starved_rank(self) -> int | None:
        """Return the most urgent rank that waits too long, or None if no rank does.

        Requests of less urgent ranks hold back. Log lines have it as ``entry_rank``.

        >>> RoomView(counts_by_rank={2: RoomCounts(waited_s=4.0, grants=3.0)},
        ...          waiting_by_rank={2: 1}).starved_rank()
        2
        """
        starved_ranks = [
            rank
            for rank, counts in self.counts_by_rank.items()
            if self.waiting_by_rank.get(rank, 0) > 0
            and counts.waited_s >= MIN_TOTAL_WAIT_S
            and counts.mean_wait_s > STARVED_MEAN_WAIT_S
        ]
        return min(starved_ranks, default=None)

    def starved_report_age_s(self, now: float) -> float | None:
        """Return the age in seconds of the latest report that the starved rank waits, or None.

        >>> notice = RankRoomNotice(rank=2, waited_s=4.0, grants=3.0, waiting=1)
        >>> RoomView.from_notices([], [(notice, 7.5), (notice, 7.0)]).starved_report_age_s(8.0)
        0.5
        """
        starved = self.starved_rank()
        if starved is None or starved not in self.reported_at_by_rank:
            return None
        return max(0.0, now - self.reported_at_by_rank[starved])

    def holds_back(self, rank: int, mode: OrderMode) -> bool:
        """Return whether requests of a rank do not poll, so that more urgent ones get the room."""
        if mode is not OrderMode.ENTRY:
            return False
        starved = self.starved_rank()
        return starved is not None and rank > starved


def poll_interval_s(rank: int, *, target_s: float = math.inf) -> float:
    """Return the seconds until a request of a room rank polls for room again.

    >>> [round(poll_interval_s(rank), 2) for rank in range(0, 8, 2)]
    [0.03, 0.09, 0.27, 0.5]
    >>> round(poll_interval_s(6, target_s=0.8), 2)
    0.08
    """
    longest_s = min(MAX_POLL_INTERVAL_S, MAX_POLL_INTERVAL_TARGET_SHARE * target_s)
    return max(
        BASE_POLL_INTERVAL_S,
        min(longest_s, BASE_POLL_INTERVAL_S * POLL_INTERVAL_RATIO ** (rank / 2)),
    )


def room_rank(rank: int, *, ranks: int, is_late: bool, is_over_share: bool = False) -> int:
    """Return the room rank of a request: two per request rank, the second if over its share.

    Late requests go behind all others, as a late answer is worth only a fraction of one in time. A
    request of an organisation over its share goes behind its own rank only. While room is short,
    most large organisations are over an equal share, and the urgent requests of most callers would
    otherwise go last.

    The result is below ``MAX_ROOM_RANKS``. ``rank`` may be any number: if a new configuration ends
    the order by rank, requests that arrived before have their priority as rank.

    >>> room_rank(0, ranks=3, is_late=True) > room_rank(2, ranks=3, is_late=False)
    True
    >>> room_rank(1, ranks=3, is_late=False, is_over_share=True)
    3
    """
    room_rank_value = 2 * (rank + (ranks if is_late else 0)) + is_over_share
    return max(0, min(room_rank_value, MAX_ROOM_RANKS - 1))
