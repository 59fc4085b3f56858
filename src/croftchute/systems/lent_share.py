"""Choose the pool to which a box lends its share of all limits, and track the lease.

For each group of organisations, every box ranks the live boxes by the same hash and lends to the
first one. While boxes know different sets of live boxes, they lend to different pools, each of
which grants only the shares lent to it. No share counts twice, because a box lends to another pool
only after its lease at the previous one has expired.
"""

from __future__ import annotations

import math
from collections.abc import Sequence
from dataclasses import dataclass, field

from croftchute.systems.allowance_pool import LEASE_S
from croftchute.systems.rendezvous import rank_nodes

GROUP_COUNT = 1
"""Number of groups of organisations, each with a pool of its own. More groups spread the requests
over more boxes but multiply the renewals: with four, 78 boxes sent more datagrams for renewals than
for notices."""

SUSPECTED_S = 8.0
"""Seconds for which a pool that did not answer is not asked. A stopped box remains in the table of
peers for a minute, and each request to it would delay a caller by a quarter of a second."""

STARTUP_SUSPECTED_S = 0.3
"""Seconds for which such a pool is not asked during the first ``STARTUP_S`` seconds after a start.
It is shorter because after a power loss of all boxes the pool may only be starting more slowly."""

MIN_UNANSWERED = 3
"""Unanswered requests in a row after which a pool is suspected; two may be lost on the network."""

MIN_SILENCE_S = 0.15
"""Least seconds without an answer before a pool is suspected: with many requests open at once, the
count of unanswered ones alone is not enough."""


CONVERGENCE_S = 1.2
"""Seconds until all shares are lent again after a start or the loss of a pool: the previous lease
must expire, and the next renewal comes part of an interval later."""

STARTUP_S = 3.0
"""Seconds after a start in which other boxes may still be starting too."""


def group_of(organisation: str) -> int:
    """Return the group that an organisation belongs to.

    >>> 0 <= group_of("crew") < GROUP_COUNT
    True
    """
    return int(rank_nodes(organisation, GROUP_NAMES)[0])


GROUP_NAMES = tuple(str(number) for number in range(GROUP_COUNT))

WORKERS_GROUP = GROUP_COUNT
"""The group of the limits that workers set, after those of organisations. It has its own pool,
whose leases are renewed only while some worker has a limit."""


@dataclass(frozen=True, kw_only=True, slots=True)
class Lease:
    """What a box sends to a pool with a request: the share lent and the pool's last time stamp.

    ``echo`` returns the stamp to the pool, whose clock decides when the lease expires. ``share`` is
    0 if none is lent. ``is_first`` marks the first share that the box lends after its
    start.
    """

    pool: str
    share: float
    echo: float
    is_first: bool = False


@dataclass(kw_only=True)
class LentShare:
    """The share of one box for one group; times are those of the box's monotonic clock.

    Nothing is lent in the first second after ``started_at``, because the box may have lent its
    share before a restart.
    """

    own_id: str
    group: int
    started_at: float
    pool: str = ""
    has_lent: bool = False
    _lent_until: float = -math.inf
    _echo: float = 0.0
    _echo_heard_at: float = -math.inf
    _unanswered: int = 0
    _silence_noted_at: float = -math.inf
    _silent_since: float | None = None
    _suspected_until: dict[str, float] = field(default_factory=dict)

    def _switch_pool(self, wanted: str, now: float) -> None:
        """Switch to the wanted pool once the share is no longer lent to another one."""
        if wanted == self.pool:
            return
        if not self.pool or now >= self._lent_until:
            self.pool = wanted
            self._echo = 0.0
            self._reset_silence()

    def renew_lease(self, boxes: Sequence[str], share: float, now: float) -> Lease:
        """Return the pool to ask now and the share lent to it with the request."""
        wanted = self._first_ranked(boxes, now)
        self._switch_pool(wanted, now)
        if wanted != self.pool:
            return Lease(pool=self._current_pool_or(wanted, now), share=0.0, echo=0.0)
        self._unanswered += 1
        if self._silent_since is None:
            self._silent_since = now
        # The pool rejects a stamp older than a lease, as after a time in which no limit was set.
        is_echo_valid = now - self._echo_heard_at < LEASE_S
        echo = now if self.pool == self.own_id else self._echo if is_echo_valid else 0.0
        if echo <= 0.0 or now - self.started_at < LEASE_S:
            return Lease(pool=self.pool, share=0.0, echo=0.0)
        self._lent_until = now + LEASE_S
        is_first = share > 0.0 and not self.has_lent
        self.has_lent = self.has_lent or is_first
        return Lease(pool=self.pool, share=share, echo=echo, is_first=is_first)

    @property
    def converges_at(self) -> float:
        """When all shares should be lent again after a start or after a pool stopped answering."""
        return max(self.started_at, self._silence_noted_at) + CONVERGENCE_S

    def is_lent(self, now: float) -> bool:
        """Return whether the share is lent now."""
        return now < self._lent_until

    def note_reply(self, pool: str, stamp: float, now: float) -> None:
        """Record an answer of a pool; ``stamp`` is the pool's clock."""
        self._suspected_until.pop(pool, None)
        if pool == self.pool:
            self._echo = max(self._echo, stamp)
            self._echo_heard_at = now
            self._reset_silence()

    def note_timeout(self, pool: str, now: float) -> bool:
        """Record an unanswered request; return True if the pool becomes suspected."""
        silent_since = self._silent_since
        if pool != self.pool or silent_since is None:
            return False
        if self._unanswered < MIN_UNANSWERED or now - silent_since < MIN_SILENCE_S:
            return False
        self._silence_noted_at = now
        is_starting = now - self.started_at < STARTUP_S
        self._suspected_until[pool] = now + (STARTUP_SUSPECTED_S if is_starting else SUSPECTED_S)
        return True

    def _reset_silence(self) -> None:
        self._unanswered = 0
        self._silent_since = None

    def _current_pool_or(self, wanted: str, now: float) -> str:
        """Return the pool that the share is lent to, or ``wanted`` if that pool is suspected."""
        return wanted if self._is_suspected(self.pool, now) else self.pool

    def _first_ranked(self, boxes: Sequence[str], now: float) -> str:
        unsuspected = [box for box in boxes if not self._is_suspected(box, now)]
        return rank_nodes(f"limits-{self.group}", {*unsuspected, self.own_id})[0]

    def _is_suspected(self, box: str, now: float) -> bool:
        return self._suspected_until.get(box, 0.0) > now
