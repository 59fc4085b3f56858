"""How soon decode memory comes free, and whether a request should wait for it.

Requests that found all engines full wait and ask again. What they waited, and how often one of
them got room, give the mean time until room comes. A request waits only while the answer is likely
to come; otherwise its caller hears at once that it did not run, and when to come back.
"""

from __future__ import annotations

from dataclasses import dataclass

from croftchute.tables.routing import Route

HALF_LIFE_S = 2.0
"""Seconds after which what was seen counts half: surges begin and end within some."""

PRIOR_GRANTS = 1.0
"""Grants that count as seen from the start: the weight of ``PRIOR_WAIT_S``."""

PRIOR_WAIT_S = 0.3
"""Wait taken as usual until some were seen: an engine of a dozen streams of a second or two ends
one every tenth of a second, and several engines are asked."""

MAX_LATE_MEAN_WAIT_S = 0.4
"""Mean time until room up to which a request that is late already goes on waiting: a late answer
is worth a fifth of one in time, and a wait in vain costs by its length, so room must be near."""

CALLER_TIMEOUT_TARGETS = 4.0
"""Targets after which callers give a stream up that has not begun (platform)."""

CALLER_TIMEOUT_GAPS = 8.0
"""Longest good pauses after which they do."""

MIN_CALLER_TIMEOUT_S = 2.0
"""Seconds for which they wait in any case."""

MAX_LATE_WAIT_SHARE = 0.5
"""Share of the caller's patience after which waiting ends: reading and the first event fit the
rest with a margin for queues."""


@dataclass(frozen=True, kw_only=True, slots=True)
class RoomCounts:
    """Seconds waited for room and how often it came, each counting less the older it is."""

    waited_s: float = 0.0
    grants: float = 0.0

    def __add__(self, other: RoomCounts) -> RoomCounts:
        return RoomCounts(
            waited_s=self.waited_s + other.waited_s, grants=self.grants + other.grants
        )

    @property
    def mean_wait_s(self) -> float:
        """How long a request that finds no room waits on average until some comes.

        >>> RoomCounts().mean_wait_s
        0.3
        >>> RoomCounts(waited_s=7.7).mean_wait_s
        8.0
        """
        waited_s = PRIOR_WAIT_S * PRIOR_GRANTS + self.waited_s
        return round(waited_s / (PRIOR_GRANTS + self.grants), 3)


@dataclass(kw_only=True)
class RoomHistory:
    """What the requests of one box waited for room lately."""

    _counts: RoomCounts = RoomCounts()
    _updated_at: float = 0.0

    def note_waited(self, seconds: float, now: float) -> None:
        """A request waited, and has no room yet."""
        self._add(RoomCounts(waited_s=seconds), now)

    def note_granted(self, now: float) -> None:
        """A request that had waited got room."""
        self._add(RoomCounts(grants=1.0), now)

    def counts(self, now: float) -> RoomCounts:
        """What counts at present."""
        share = 0.5 ** (max(0.0, now - self._updated_at) / HALF_LIFE_S)
        return RoomCounts(
            waited_s=share * self._counts.waited_s, grants=share * self._counts.grants
        )

    def _add(self, counts: RoomCounts, now: float) -> None:
        self._counts = self.counts(now) + counts
        self._updated_at = now


@dataclass(frozen=True, kw_only=True, slots=True)
class RoomWait:
    """One request that finds no room: seconds since it came, to its deadline, and to read it.

    ``since_first_try_s`` is the time since its caller's first try, 0 if it is to be judged as a
    first one.
    """

    elapsed_s: float
    time_left_s: float
    reading_s: float
    since_first_try_s: float = 0.0

    def is_worthwhile(self, route: Route, *, mean_wait_s: float) -> bool:
        """Whether to go on waiting, given the mean time until room comes."""
        if mean_wait_s + self.reading_s > self.time_left_s:
            return False
        if self.since_first_try_s + self.elapsed_s + mean_wait_s + self.reading_s <= route.target_s:
            return True
        longest_s = MAX_LATE_WAIT_SHARE * caller_timeout_s(route)
        return mean_wait_s <= MAX_LATE_MEAN_WAIT_S and self.elapsed_s + mean_wait_s <= longest_s


def caller_timeout_s(route: Route) -> float:
    """Seconds for which callers of a route wait for the first event of a stream."""
    return max(
        MIN_CALLER_TIMEOUT_S,
        CALLER_TIMEOUT_TARGETS * route.target_s,
        CALLER_TIMEOUT_GAPS * route.target_gap_s,
    )
