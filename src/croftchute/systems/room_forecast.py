"""Forecast of the wait for decode memory, and whether a request should wait for it.

A request that finds all engines full polls until one has room. The time that requests waited and
the number of grants give the mean wait for room. A request waits only while its caller is likely to
get an answer; otherwise it is refused at once, with a Retry-After.
"""

from __future__ import annotations

from dataclasses import dataclass

from croftchute.tables.routing import Route

HALF_LIFE_S = 2.0
"""Half-life of observed waits and grants: load peaks start and end within some seconds."""

PRIOR_GRANTS = 1.0
"""Weight of ``PRIOR_WAIT_S`` in the mean wait, as a number of grants."""

PRIOR_WAIT_S = 0.3
"""Mean wait assumed until some are observed. An engine with a dozen streams of a second or two ends
one every tenth of a second, and several engines are polled."""

MAX_LATE_MEAN_WAIT_S = 0.4
"""Largest mean wait for room at which a late request goes on waiting. A late answer is worth a
fifth of one in time, and a wait that ends without room costs more the longer it is, so that only a
short one is worthwhile."""

CALLER_TIMEOUT_TARGETS = 4.0
"""Multiple of the target after which callers abandon a stream that has not started, as the platform
defines it."""

CALLER_TIMEOUT_GAPS = 8.0
"""Multiple of the target gap after which callers abandon it, if that is longer."""

MIN_CALLER_TIMEOUT_S = 2.0
"""Shortest time that callers of any route wait for a stream to start."""

MAX_LATE_WAIT_SHARE = 0.5
"""Share of the caller's timeout after which a late request stops waiting for room. Reading the
prompt and the first event fit into the rest, with a margin for queues."""


@dataclass(frozen=True, kw_only=True, slots=True)
class RoomCounts:
    """Seconds waited for room and number of grants, decayed with age."""

    waited_s: float = 0.0
    grants: float = 0.0

    def __add__(self, other: RoomCounts) -> RoomCounts:
        return RoomCounts(
            waited_s=self.waited_s + other.waited_s, grants=self.grants + other.grants
        )

    @property
    def mean_wait_s(self) -> float:
        """Mean wait for room of a request that found none.

        >>> RoomCounts().mean_wait_s
        0.3
        >>> RoomCounts(waited_s=7.7).mean_wait_s
        8.0
        """
        waited_s = PRIOR_WAIT_S * PRIOR_GRANTS + self.waited_s
        return round(waited_s / (PRIOR_GRANTS + self.grants), 3)


@dataclass(kw_only=True)
class RoomHistory:
    """Seconds waited for room and grants of the requests of one box, decayed with age."""

    _counts: RoomCounts = RoomCounts()
    _updated_at: float = 0.0

    def note_waited(self, seconds: float, now: float) -> None:
        """Add the time that a request waited without finding room."""
        self._add(RoomCounts(waited_s=seconds), now)

    def note_granted(self, now: float) -> None:
        """Count a grant to a request that had waited."""
        self._add(RoomCounts(grants=1.0), now)

    def counts(self, now: float) -> RoomCounts:
        """Return the counts, decayed to the present."""
        share = 0.5 ** (max(0.0, now - self._updated_at) / HALF_LIFE_S)
        return RoomCounts(
            waited_s=share * self._counts.waited_s, grants=share * self._counts.grants
        )

    def _add(self, counts: RoomCounts, now: float) -> None:
        self._counts = self.counts(now) + counts
        self._updated_at = now


@dataclass(frozen=True, kw_only=True, slots=True)
class RoomWait:
    """A request that finds no room: its age, its remaining time, and the time to read its prompt.

    ``since_first_try_s`` is the time since its caller's first try, or 0 if the request is to be
    treated as a first try.
    """

    elapsed_s: float
    time_left_s: float
    reading_s: float
    since_first_try_s: float = 0.0

    def is_worthwhile(self, route: Route, *, mean_wait_s: float) -> bool:
        """Return whether the request should go on waiting, given the mean wait for room."""
        if mean_wait_s + self.reading_s > self.time_left_s:
            return False
        if self.since_first_try_s + self.elapsed_s + mean_wait_s + self.reading_s <= route.target_s:
            return True
        longest_s = MAX_LATE_WAIT_SHARE * caller_timeout_s(route)
        return mean_wait_s <= MAX_LATE_MEAN_WAIT_S and self.elapsed_s + mean_wait_s <= longest_s


def caller_timeout_s(route: Route) -> float:
    """Return how long callers of a route wait for the first event of a stream."""
    return max(
        MIN_CALLER_TIMEOUT_S,
        CALLER_TIMEOUT_TARGETS * route.target_s,
        CALLER_TIMEOUT_GAPS * route.target_gap_s,
    )
