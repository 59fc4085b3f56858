"""How a request waits for decode memory: when it asks, and which statistics it updates."""

from __future__ import annotations

import math
from typing import Protocol

from croftchute.forwarding.workers.queue_reporting import count_over_share
from croftchute.forwarding.workers.request_run import RequestRun
from croftchute.systems import room_order
from croftchute.systems.room_forecast import RoomHistory


class RoomWaitPolicy(Protocol):
    """The wait of one request; always end it with :meth:`close`."""

    def may_ask(self, now: float) -> bool:
        """Whether the request asks for room now instead of yielding to others."""
        ...

    def may_ask_finally(self) -> bool:
        """Whether a request that is about to be refused asks one last time."""
        ...

    def poll_interval_s(self, now: float) -> float:
        """Return the seconds until the request checks for room again."""
        ...

    def waited(self, seconds: float, now: float) -> None:
        """Record a wait after which the request still has no room."""
        ...

    def granted(self, now: float) -> None:
        """Record that the request got room."""
        ...

    def close(self) -> None:
        """Record that the request no longer waits, with or without room."""
        ...


class PollingWait:
    """Asks at a fixed interval, regardless of other waiting requests."""

    def __init__(self, *, history: RoomHistory, interval_s: float) -> None:
        self.history = history
        self.interval_s = interval_s
        self._has_waited = False

    def may_ask(self, now: float) -> bool:
        """Always ask."""
        return True

    def may_ask_finally(self) -> bool:
        """Return False: the request has asked every time."""
        return False

    def poll_interval_s(self, now: float) -> float:
        """Return the fixed interval."""
        return self.interval_s

    def waited(self, seconds: float, now: float) -> None:
        """Add the wait to the forecast for all requests of the service."""
        self._has_waited = True
        self.history.note_waited(seconds, now)

    def granted(self, now: float) -> None:
        """Add a grant to the forecast after a wait; an immediate one says nothing about waits."""
        if self._has_waited:
            self.history.note_granted(now)

    def close(self) -> None:
        """Do nothing: the wait is not counted by rank."""


class RequestUsage:
    """Counts the tokens that a request asks for and is granted, once for its organisation.

    A request asks for room again if the worker that granted it did not accept the request. Only the
    first ask and the first grant count.
    """

    def __init__(self, *, run: RequestRun) -> None:
        self.run = run
        self._organisation = run.facts.organisation
        self._tokens = run.facts.prompt_tokens + run.facts.planned_output_tokens
        self._asked_at: float | None = None
        self._has_room = False

    def asked(self, now: float) -> None:
        """Count the request's tokens as asked for."""
        if self._organisation and self._asked_at is None:
            self._asked_at = now
            use = self.run.state.organisation_use(self.run.service)
            use.note_asked(self._organisation, self._tokens, now)

    def granted(self, now: float) -> None:
        """Count the request's tokens as granted."""
        if self._asked_at is not None and not self._has_room:
            self._has_room = True
            use = self.run.state.organisation_use(self.run.service)
            use.note_granted(self._organisation, self._tokens, now, waited_s=now - self._asked_at)


class RankedWait:
    """Yields to more urgent requests, and asks more often the more urgent the request is."""

    def __init__(self, *, run: RequestRun, usage: RequestUsage) -> None:
        self.run = run
        self.usage = usage
        self.room = run.state.ranked_room(run.service)
        self._rank: int | None = None
        self._has_used_final_poll = False
        self._has_asked = False
        usage.asked(run.now)

    def may_ask(self, now: float) -> bool:
        """Whether no more urgent rank holds this request back.

        Shortly before its target the request asks once even if it is held back.
        """
        run = self.run
        count_over_share(run)
        mode = run.state.room_order(run.service)
        if not run.state.room_view(run.service).holds_back(run.room_rank, mode):
            self._has_asked = True
            return True
        is_final_poll = 0.0 < run.target_left_s <= room_order.FINAL_POLL_LEAD_S
        may_ask = is_final_poll and not self._has_used_final_poll
        self._has_used_final_poll |= is_final_poll
        return may_ask

    def may_ask_finally(self) -> bool:
        """Whether the request has not asked yet, so that more urgent ranks cannot starve it."""
        may_ask = not (self._has_asked or self._has_used_final_poll)
        self._has_used_final_poll = True
        return may_ask

    def poll_interval_s(self, now: float) -> float:
        """Return the poll interval of the request's rank, shortened to poll before its target."""
        run = self.run
        self._count_as_waiting(run.room_rank)
        # A late request yields room to others, so its target does not shorten the interval.
        target_s = run.route.target_s if run.target_left_s > 0.0 else math.inf
        poll_interval_s = room_order.poll_interval_s(run.room_rank, target_s=target_s)
        left_s = run.target_left_s - room_order.FINAL_POLL_LEAD_S / 2
        if left_s <= 0.0:
            return poll_interval_s
        return min(poll_interval_s, max(room_order.MIN_POLL_INTERVAL_S, left_s))

    def waited(self, seconds: float, now: float) -> None:
        """Add the wait to the forecast for its rank and all less urgent ones."""
        if self._rank is not None:
            self.room.note_waited(self._rank, seconds, now)

    def granted(self, now: float) -> None:
        """Add the grant to the forecast, if the request has waited."""
        if self._rank is not None:
            self.room.note_granted(self._rank, now)
        self.usage.granted(now)

    def close(self) -> None:
        """Remove the request from those that wait."""
        self._count_as_waiting(None)

    def _count_as_waiting(self, rank: int | None) -> None:
        """Count the request as waiting by ``rank``, which may change during the wait."""
        if rank == self._rank:
            return
        if self._rank is not None:
            self.room.end_wait(self._rank)
        if rank is not None:
            self.room.begin_wait(rank)
        self._rank = rank
