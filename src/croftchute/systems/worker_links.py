"""Decides whether this box has lost its links to all workers.

The evidence are rounds of probes over new connections, to workers of several services at once. A
crash or silence of single workers leaves others that answer. The table of links does no I/O and
takes the current time as an argument, in seconds of a monotonic clock.
"""

from __future__ import annotations

import math
from dataclasses import dataclass
from enum import StrEnum

MIN_WITNESSES = 2
"""Workers that must agree: one alone may have crashed, or be silent for a moment."""

UNCONNECTED_S = 0.5
"""Seconds for which connections to all probed workers must hang: longer than one lost packet."""

SILENT_S = 1.5
"""Seconds of silence without refusals: a sound worker may be silent for about a second."""

HEARD_S = 1.0
"""Seconds for which an answer on an old connection counts as a sign of a usable link."""

LOST_INTERVAL_S = 0.25
"""Seconds from round to round while the links are lost: bounds how late their return is noticed."""

SUSPECT_INTERVAL_S = 0.1
"""Seconds from round to round while they fail and the evidence does not suffice yet."""

SOUND_INTERVAL_S = 1.0
"""Least time in seconds from round to round while links are sound, however many calls fail."""

FLAP_WINDOW_S = 10.0
"""Seconds after a return within which another loss counts as flapping."""

MAX_GOOD_ROUNDS = 8
"""Most consecutive good rounds that a return takes: 2 s at the interval between rounds."""


class CutOffMode(StrEnum):
    """What a box does for its callers while it has lost its links to all workers.

    ``forward`` passes requests to boxes that reach workers, ``stand_back`` reports the box as not
    ready, so that the load balancer sends new connections elsewhere, and ``both`` does both.
    """

    FORWARD = "forward"
    STAND_BACK = "stand_back"
    BOTH = "both"

    @property
    def forwards(self) -> bool:
        """Whether requests are passed to other boxes."""
        return self is not CutOffMode.STAND_BACK

    @property
    def stands_back(self) -> bool:
        """Whether the box reports itself as not ready."""
        return self is not CutOffMode.FORWARD


class ProbeOutcome(StrEnum):
    """How one probe of a worker ended.

    ``refused``: the connection was refused, or reset before an answer. ``unconnected``: it was not
    established in time. ``silent``: it was established, and no answer came in time. ``connected``:
    it was established, and nothing could be asked.
    """

    ANSWERED = "answered"
    CONNECTED = "connected"
    REFUSED = "refused"
    UNCONNECTED = "unconnected"
    SILENT = "silent"


@dataclass(frozen=True, kw_only=True, slots=True)
class ProbeRound:
    """The outcomes of one round of probes that began at a time, one for each worker probed."""

    began_at: float
    outcomes: tuple[ProbeOutcome, ...]

    def count(self, outcome: ProbeOutcome) -> int:
        """Return how many probes ended in one way."""
        return self.outcomes.count(outcome)

    @property
    def _connected(self) -> int:
        """The number of workers that count as in reach because they accepted a connection.

        None do if others accepted connections and sent no answer.
        """
        return 0 if ProbeOutcome.SILENT in self.outcomes else self.count(ProbeOutcome.CONNECTED)

    @property
    def witnesses(self) -> int:
        """The number of workers whose outcome shows whether links hold."""
        return len(self.outcomes) - self.count(ProbeOutcome.CONNECTED) + self._connected

    @property
    def answered(self) -> int:
        """The number of workers that were found to be in reach."""
        return self.count(ProbeOutcome.ANSWERED) + self._connected


class LinkChange(StrEnum):
    """A change of the links to all workers."""

    LOST = "lost"
    RESTORED = "restored"


@dataclass(kw_only=True)
class WorkerLinks:
    """The state of this box's links to the workers, all of them together.

    ``is_verdict_near``: connections to all workers probed hang, so that the links will count as
    lost within ``UNCONNECTED_S`` unless a worker answers.
    """

    lost_at: float | None = None
    heard_at: float = -math.inf
    is_verdict_near: bool = False
    _failing_since: float | None = None
    _is_round_failed: bool = False
    _restored_at: float = -math.inf
    _rounds_needed: int = 1
    _good_rounds: int = 0

    @property
    def are_lost(self) -> bool:
        """Whether no worker can be reached over a new connection."""
        return self.lost_at is not None

    @property
    def are_suspect(self) -> bool:
        """Whether calls or probes have failed since the latest sign of a worker in reach."""
        return self._failing_since is not None

    def note_trouble(self, since: float) -> None:
        """Record that a call of a worker that began at some time failed."""
        if not self.are_lost and self.heard_at < since:
            known = self._failing_since
            self._failing_since = since if known is None else min(known, since)

    def note_heard(self, now: float) -> None:
        """Record bytes of an answer from any worker, on any connection."""
        self.heard_at = now

    def is_heard(self, now: float) -> bool:
        """Return whether an open connection to a worker brought bytes lately."""
        return now - self.heard_at < HEARD_S

    def next_round_s(self) -> float:
        """Return the time in seconds to wait before the next round."""
        if self.are_lost:
            return LOST_INTERVAL_S
        return SUSPECT_INTERVAL_S if self._is_round_failed else SOUND_INTERVAL_S

    def note_round(self, probes: ProbeRound, now: float) -> LinkChange | None:
        """Take in a round of probes; return what it changed, if anything."""
        if self.are_lost:
            return self._note_while_lost(probes, now) if probes.outcomes else None
        self.is_verdict_near = False
        self._is_round_failed = bool(probes.outcomes) and not probes.answered
        if not self._is_round_failed:
            self._failing_since = None
            return None
        if self._failing_since is None:
            self._failing_since = probes.began_at
        if not self._is_conclusive(probes, now):
            return None
        self._lose(now)
        return LinkChange.LOST

    def _is_conclusive(self, probes: ProbeRound, now: float) -> bool:
        """Return whether the links are lost, by a round in which no worker answered."""
        assert self._failing_since is not None
        witnesses = probes.witnesses
        if probes.count(ProbeOutcome.REFUSED) == witnesses >= MIN_WITNESSES:
            return True
        if self.heard_at >= self._failing_since:
            # Busy workers leave new connections waiting while they answer on open ones.
            self._failing_since = probes.began_at
            return False
        failing_s = now - self._failing_since
        is_any_silent = probes.count(ProbeOutcome.SILENT) > 0
        if witnesses >= MIN_WITNESSES and not is_any_silent:
            self.is_verdict_near = failing_s < UNCONNECTED_S
            return not self.is_verdict_near
        return failing_s >= SILENT_S

    def _lose(self, now: float) -> None:
        is_flapping = now - self._restored_at < FLAP_WINDOW_S
        doubled = min(MAX_GOOD_ROUNDS, 2 * self._rounds_needed)
        self._rounds_needed = doubled if is_flapping else 1
        self._good_rounds = 0
        self._failing_since = None
        self._is_round_failed = False
        self.lost_at = now

    def _note_while_lost(self, probes: ProbeRound, now: float) -> LinkChange | None:
        is_good = probes.answered >= min(MIN_WITNESSES, probes.witnesses)
        self._good_rounds = self._good_rounds + 1 if is_good else 0
        if self._good_rounds < self._rounds_needed:
            return None
        self.lost_at = None
        self._restored_at = now
        return LinkChange.RESTORED
