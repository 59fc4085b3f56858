"""Who gets decode memory that comes free: an order by rank among all who wait, over all boxes.

Nobody owns the queue. Each box asks engines for its own requests, the urgent ones more often, and
tells others what requests of each rank wait. From that it knows which ranks wait in vain.
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
"""Seconds between two asks for room of the most urgent rank: about as often as streams end."""

POLL_INTERVAL_RATIO = 3.0
"""How many times as long the next rank of requests pauses, two ranks for room: room that comes free
mostly goes to the first."""

MAX_POLL_INTERVAL_TARGET_SHARE = 0.1
"""Share of the target for which a request pauses at the most: it asks some times before it is
late, however many ranks there are that nobody waits with."""

MAX_POLL_INTERVAL_S = 0.5
"""Longest pause of any rank: a fraction of any caller's patience."""

MIN_POLL_INTERVAL_S = 0.01
"""Shortest pause: a request that is about to be late does not ask again and again at once."""

FINAL_POLL_LEAD_S = 0.15
"""Seconds before a request would be late at which it asks once although it holds back, so that no
rank is shut out for as long as a more urgent one is short of room."""

ENTRY_WAIT_THRESHOLD_S = 0.2
"""Mean wait of a more urgent rank from which on others hold back: a fourth of the shortest targets
in use, so that reading the prompt still fits the rest."""

MIN_TOTAL_WAIT_S = 0.2
"""Seconds that requests of a rank must have waited lately, in all, for that mean to count: a first
ask that found no room shows no shortage. In a large fleet a box hears of few that wait."""


MAX_ROOM_RANKS = 4 * MAX_RANKS
"""Ranks for room: two for each rank, by the share of the organisation, and again for late ones."""

MAX_REPORTED_VALUE = 100_000.0
"""Seconds waited, grants and waiting requests beyond which what a peer tells is ignored: a thousand
requests that wait at one box add up to 3,000 s."""

MIN_REPORTED_COUNT = 0.01
"""Seconds waited and grants under which a rank is told no longer: a configuration may have no such
rank any more."""


class OrderMode(StrEnum):
    """How requests that wait for room are ordered.

    ``paced``: the more urgent ask more often. ``entry``: beside that, others hold back while a
    more urgent rank waits too long anywhere. ``auto`` is ``entry`` where the configuration gives
    streams of a service different priorities.
    """

    AUTO = "auto"
    PACED = "paced"
    ENTRY = "entry"
    UNORDERED = "unordered"


@dataclass(kw_only=True)
class RoomWaitsByRank:
    """What the requests of one box waited for room at the engines of a service, by rank."""

    _history_by_rank: dict[int, RoomHistory] = field(default_factory=dict)
    _waiting_by_rank: Counter[int] = field(default_factory=Counter)

    def begin_wait(self, rank: int) -> None:
        """A request begins to wait."""
        self._waiting_by_rank[rank] += 1

    def end_wait(self, rank: int) -> None:
        """A request waits no longer: it got room, was refused, or its caller left."""
        self._waiting_by_rank[rank] -= 1

    def note_waited(self, rank: int, seconds: float, now: float) -> None:
        """A request waited, and has no room yet."""
        self._history(rank).note_waited(seconds, now)

    def note_granted(self, rank: int, now: float) -> None:
        """A request that had waited got room."""
        self._history(rank).note_granted(now)

    def waiting_by_rank(self) -> dict[int, int]:
        """Requests that wait at the moment, by rank."""
        return {rank: count for rank, count in self._waiting_by_rank.items() if count > 0}

    def notices(self, now: float) -> tuple[RankRoomNotice, ...]:
        """What peers are told, the most urgent rank first; ranks that went quiet are forgotten."""
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
    """What one box knows of all who wait for room at the engines of a service.

    ``reported_at_by_rank`` is when the newest news came that requests of a rank wait.
    """

    counts_by_rank: dict[int, RoomCounts]
    waiting_by_rank: dict[int, int]
    reported_at_by_rank: dict[int, float] = field(default_factory=dict)

    @classmethod
    def of(
        cls,
        own: Iterable[RankRoomNotice],
        from_peers: Iterable[tuple[RankRoomNotice, float]] = (),
        *,
        now: float = 0.0,
    ) -> RoomView:
        """The view from what this box saw and what its peers told, each with when it was heard.

        Figures that can't be are left out.
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
        """How long a request of a rank waits for room on average, never less than urgent ones do.

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

    def entry_rank(self) -> int | None:
        """The most urgent rank that waits, and too long: requests behind it hold back. None if all
        wait but shortly.

        >>> RoomView(counts_by_rank={2: RoomCounts(waited_s=4.0, grants=3.0)},
        ...          waiting_by_rank={2: 1}).entry_rank()
        2
        """
        starved_ranks = [
            rank
            for rank, counts in self.counts_by_rank.items()
            if self.waiting_by_rank.get(rank, 0) > 0
            and counts.waited_s >= MIN_TOTAL_WAIT_S
            and counts.mean_wait_s > ENTRY_WAIT_THRESHOLD_S
        ]
        return min(starved_ranks, default=None)

    def entry_age_s(self, now: float) -> float | None:
        """Age in seconds of the newest news that the entry rank waits; None if there is none.

        >>> notice = RankRoomNotice(rank=2, waited_s=4.0, grants=3.0, waiting=1)
        >>> RoomView.of([], [(notice, 7.5), (notice, 7.0)]).entry_age_s(8.0)
        0.5
        """
        entry = self.entry_rank()
        if entry is None or entry not in self.reported_at_by_rank:
            return None
        return max(0.0, now - self.reported_at_by_rank[entry])

    def holds_back(self, rank: int, mode: OrderMode) -> bool:
        """Whether a request of a rank leaves room that comes free to more urgent ones."""
        if mode is not OrderMode.ENTRY:
            return False
        entry = self.entry_rank()
        return entry is not None and rank > entry


def poll_interval_s(rank: int, *, target_s: float = math.inf) -> float:
    """Seconds until a request of a rank for room, with some target, asks again.

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
    """The rank for room: two for each rank of a request, the second for those over their share.

    Late requests go behind all others, as a late answer is worth a fraction. An excess goes behind
    no more than its own rank: while room is short most large organisations are over an equal share,
    and the urgent requests of most callers would else go last.

    It is held to ``MAX_ROOM_RANKS``: a request that comes while the configuration ends the order
    has its priority as rank, which may be any number.

    >>> room_rank(0, ranks=3, is_late=True) > room_rank(2, ranks=3, is_late=False)
    True
    >>> room_rank(1, ranks=3, is_late=False, is_over_share=True)
    3
    """
    room_rank_value = 2 * (rank + (ranks if is_late else 0)) + is_over_share
    return max(0, min(room_rank_value, MAX_ROOM_RANKS - 1))
