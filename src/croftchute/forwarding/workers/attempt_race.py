"""Waits for workers that have fallen silent, and meanwhile for a successor that goes on in time.

What a silent worker still runs is given up only once another worker goes on with the request. The
attempt that has something to say first is heeded, and all others are ended.
"""

from __future__ import annotations

import asyncio
import contextlib
from collections.abc import Callable
from typing import Any, Generic, Protocol, TypeVar

from croftchute.forwarding.workers.request_run import RequestRun


class RacingAttempt(Protocol):
    """One attempt of a request at one worker, whose answer is being waited for."""

    def listen(self) -> asyncio.Future[Any]:
        """Return what ends once the worker has sent something that counts, or has failed."""
        ...

    def patience_left_s(self) -> float:
        """Return the seconds until the worker counts as silent."""
        ...


A = TypeVar("A", bound=RacingAttempt)


class AttemptOwner(Protocol[A]):
    """The request that the attempts belong to."""

    def search_wait_s(self) -> float:
        """Return the seconds until a successor may be looked for, or until that is checked again.

        It is called once all open attempts are silent.
        """
        ...

    def begin_successor(self) -> asyncio.Task[A | None]:
        """Begin to send the request to another worker; the task returns None if none takes it."""
        ...

    def goes_on_at(self, attempt: A) -> bool:
        """Take what an attempt has listened for; return whether the request goes on there."""
        ...

    def drop(self, attempt: A) -> None:
        """End an attempt at its worker, as the request goes on at another one."""
        ...


class AttemptRace(Generic[A]):
    """A race of the open attempts of one request: ``attempts``, oldest first.

    ``may_leave`` returns whether another box is to be asked to serve the request.
    """

    def __init__(
        self, *, run: RequestRun, owner: AttemptOwner[A], may_leave: Callable[[], bool]
    ) -> None:
        self.run = run
        self.owner = owner
        self.may_leave = may_leave
        self.attempts: list[A] = []
        self._searching: asyncio.Task[A | None] | None = None

    @property
    def _is_open(self) -> bool:
        return bool(self.attempts) or self._searching is not None

    @property
    def has_others(self) -> bool:
        """Whether more than one attempt is open."""
        return len(self.attempts) > 1

    async def first_to_respond(self) -> A | None:
        """Return the attempt that the request goes on at, after all others have been ended.

        Return None if all of them have failed, and no successor takes the request at once. If the
        time of the request is over, or another box is to be asked, return None and leave
        ``attempts`` open.
        """
        run = self.run
        try:
            while self._is_open and run.time_left_s > 0.0 and not self.may_leave():
                await self._wait()
                self._take_successor()
                responder = self._take_responses()
                if responder is not None:
                    self.drop_all_but(responder)
                    return responder
            return None
        finally:
            await self._end_search()

    async def first_open_to_respond(self) -> A:
        """Return the open attempt that the request goes on at, without looking for a successor.

        Wait for ever once all of them have failed.
        """
        while True:
            responder = self._take_responses()
            if responder is not None:
                self.drop_all_but(responder)
                return responder
            if not self.attempts:
                self.run.outstanding = None
                await asyncio.Event().wait()
            waited = {attempt.listen() for attempt in self.attempts}
            await asyncio.wait(waited, return_when=asyncio.FIRST_COMPLETED)

    def drop_all_but(self, kept: A | None = None) -> None:
        """End all attempts but one."""
        for attempt in self.attempts:
            if attempt is not kept:
                self.owner.drop(attempt)
        self.attempts = [kept] if kept is not None else []

    async def _wait(self) -> None:
        """Wait until something has come of an attempt or of the search, or a search may begin."""
        wait_s = self.run.time_left_s
        waited: set[asyncio.Future[Any]] = {attempt.listen() for attempt in self.attempts}
        if self._searching is None:
            search_wait_s = self._search_wait_s()
            if search_wait_s <= 0.0:
                self._searching = self.owner.begin_successor()
            else:
                wait_s = min(wait_s, search_wait_s)
        if self._searching is not None:
            waited.add(self._searching)
        await asyncio.wait(waited, timeout=wait_s, return_when=asyncio.FIRST_COMPLETED)

    def _search_wait_s(self) -> float:
        patience_s = max(attempt.patience_left_s() for attempt in self.attempts)
        return patience_s if patience_s > 0.0 else self.owner.search_wait_s()

    def _take_responses(self) -> A | None:
        """Take what has come from the attempts, oldest first; return the one that goes on."""
        for attempt in list(self.attempts):
            if not attempt.listen().done():
                continue
            if self.owner.goes_on_at(attempt):
                return attempt
            self.attempts.remove(attempt)
        return None

    def _take_successor(self) -> None:
        if self._searching is None or not self._searching.done():
            return
        searching, self._searching = self._searching, None
        found = searching.result()
        if found is not None:
            self.attempts.append(found)

    async def _end_search(self) -> None:
        """End a search that is open, and an attempt that it has just begun."""
        if self._searching is None:
            return
        searching, self._searching = self._searching, None
        searching.cancel()
        await asyncio.wait({searching})
        with contextlib.suppress(asyncio.CancelledError):
            found = searching.result()
            if found is not None:
                self.owner.drop(found)
