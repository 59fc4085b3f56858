"""How one request waits for decode memory: when it asks, and what others learn of its wait."""

from __future__ import annotations

import math
from typing import Protocol

from croftchute.forwarding.workers.queue_reporting import count_over_share
from croftchute.forwarding.workers.request_run import RequestRun
from croftchute.systems import room_order
from croftchute.systems.room_forecast import RoomHistory


class RoomWaitPolicy(Protocol):
    """One request's wait; always end it with :meth:`close`."""

    def may_ask(self, now: float) -> bool:
        """Whether the request asks for room now, or leaves what there is to others."""
        ...

    def may_ask_finally(self) -> bool:
        """Whether a request that is about to be refused asks once more."""
        ...

    def pause_s(self, now: float) -> float:
        """Seconds until the request looks again."""
        ...

    def waited(self, seconds: float, now: float) -> None:
        """The request waited, and has no room yet."""
        ...

    def granted(self, now: float) -> None:
        """The request got room."""
        ...

    def close(self) -> None:
        """The request waits no longer, whatever came of it."""
        ...


class PollingWait:
    """Asks again at one interval, whoever else waits."""

    def __init__(self, *, history: RoomHistory, poll_s: float) -> None:
        self.history = history
        self.poll_s = poll_s
        self._has_waited = False

    def may_ask(self, now: float) -> bool:
        """It always does."""
        return True

    def may_ask_finally(self) -> bool:
        """It has asked each time."""
        return False

    def pause_s(self, now: float) -> float:
        """The same each time."""
        return self.poll_s

    def waited(self, seconds: float, now: float) -> None:
        """Counts for the forecast of all requests of the service."""
        self._has_waited = True
        self.history.note_waited(seconds, now)

    def granted(self, now: float) -> None:
        """Counts only after a wait: room that is there at once tells nothing of waits."""
        if self._has_waited:
            self.history.note_granted(now)

    def close(self) -> None:
        """Nothing is held."""


class RequestUsage:
    """What one request asks for and gets, counted for its organisation once.

    A request that no worker took in the end asks for room again.
    """

    def __init__(self, *, run: RequestRun) -> None:
        self.run = run
        self._organisation = run.facts.organisation
        self._tokens = run.facts.prompt_tokens + run.facts.likely_output
        self._asked_at: float | None = None
        self._has_room = False

    def asked(self, now: float) -> None:
        """The request asks for room."""
        if self._organisation and self._asked_at is None:
            self._asked_at = now
            use = self.run.state.organisation_use(self.run.service)
            use.note_asked(self._organisation, self._tokens, now)

    def granted(self, now: float) -> None:
        """The request got room."""
        if self._asked_at is not None and not self._has_room:
            self._has_room = True
            use = self.run.state.organisation_use(self.run.service)
            use.note_granted(self._organisation, self._tokens, now, waited_s=now - self._asked_at)


class RankedWait:
    """Asks the more often the more urgent it is, and leaves room to more urgent requests."""

    def __init__(self, *, run: RequestRun, usage: RequestUsage) -> None:
        self.run = run
        self.usage = usage
        self.room = run.state.ranked_room(run.service)
        self._rank: int | None = None
        self._had_last_chance = False
        self._has_asked = False
        usage.asked(run.now)

    def may_ask(self, now: float) -> bool:
        """Whether no more urgent rank waits too long; once, before it is late, all the same."""
        run = self.run
        count_over_share(run)
        way = run.state.room_order(run.service)
        if not run.state.room_view(run.service).holds_back(run.room_rank, way):
            self._has_asked = True
            return True
        is_last_chance = 0.0 < run.target_left_s <= room_order.LAST_CHANCE_S
        may_ask = is_last_chance and not self._had_last_chance
        self._had_last_chance |= is_last_chance
        return may_ask

    def may_ask_finally(self) -> bool:
        """Whether it held back all the time: no rank is shut out by the waits of another."""
        may_ask = not (self._has_asked or self._had_last_chance)
        self._had_last_chance = True
        return may_ask

    def pause_s(self, now: float) -> float:
        """By the rank, and not beyond the moment at which it would be late."""
        run = self.run
        self._count_as_waiting(run.room_rank)
        # One that is late already leaves room to others.
        target_s = run.route.target_s if run.target_left_s > 0.0 else math.inf
        pause_s = room_order.pause_s(run.room_rank, target_s=target_s)
        left_s = run.target_left_s - room_order.LAST_CHANCE_S / 2
        if left_s <= 0.0:
            return pause_s
        return min(pause_s, max(room_order.SHORTEST_PAUSE_S, left_s))

    def waited(self, seconds: float, now: float) -> None:
        """Counts for the forecast of its rank, and of all less urgent ones."""
        if self._rank is not None:
            self.room.note_waited(self._rank, seconds, now)

    def granted(self, now: float) -> None:
        """Counts for the forecast only after a wait."""
        if self._rank is not None:
            self.room.note_granted(self._rank, now)
        self.usage.granted(now)

    def close(self) -> None:
        """It is not among those that wait any more."""
        self._count_as_waiting(None)

    def _count_as_waiting(self, rank: int | None) -> None:
        """Count the request among those that wait with a rank, which may change meanwhile."""
        if rank == self._rank:
            return
        if self._rank is not None:
            self.room.end(self._rank)
        if rank is not None:
            self.room.begin(rank)
        self._rank = rank
