"""The connections whose bytes are counted together, and the release of those above the bound."""

from __future__ import annotations

import itertools
import math
import os
from collections.abc import Callable
from dataclasses import dataclass
from enum import StrEnum
from typing import Protocol

from croftchute.systems.memory_account import (
    ACCOUNT_MEMORY_SHARE,
    BYTES_PER_MB,
    MemoryAccount,
    account_bound,
)

MACHINE_MEMORY_NAMES = ("SC_PHYS_PAGES", "SC_PAGE_SIZE")


RELEASE_PAUSE_S = 0.05
"""Seconds for which nobody is looked for after all that may be released were: each look takes time
for every connection."""


class ReleaseCause(StrEnum):
    """Why something of a client was given up: for the memory of others, or for a limit."""

    REQUEST_HALF_READ = "request_half_read"
    REQUEST_WAITING = "request_waiting"
    REQUEST_REFUSED = "request_refused"
    ANSWER_UNREAD = "answer_unread"
    IDLE = "idle"
    TOO_SLOW = "too_slow"
    HEAD_TOO_LARGE = "head_too_large"
    BODY_TOO_LARGE = "body_too_large"
    UNREADABLE = "unreadable"


@dataclass(frozen=True, kw_only=True, slots=True)
class Release:
    """A client that was released: its bytes and those of all clients, with it."""

    cause: ReleaseCause
    held_bytes: int
    held_in_all: int
    bound: int
    clients: int


class MemoryHolder(Protocol):
    """A connection, as far as its bytes are counted."""

    @property
    def held_bytes(self) -> int:
        """Bytes held for the connection now."""
        ...

    def release_memory(self) -> ReleaseCause | None:
        """Give up what no worker has seen, or an unread answer; None if there is neither."""
        ...


OnRelease = Callable[[Release], None]


def _ignore(release: Release) -> None:
    """Nobody counts clients that are released."""


def machine_memory_mb() -> float:
    """Memory of the machine in MB."""
    pages, page_bytes = (os.sysconf(name) for name in MACHINE_MEMORY_NAMES)
    return pages * page_bytes / BYTES_PER_MB


class ClientMemory:
    """The memory of the connections of all addresses of a box.

    ``memory_mb`` is the memory of the box in MB, 0 if it is not known: then it is the machine's.
    ``share`` of it is for clients.
    """

    def __init__(
        self,
        *,
        memory_mb: float,
        clock: Callable[[], float],
        on_release: OnRelease = _ignore,
        share: float = ACCOUNT_MEMORY_SHARE,
    ) -> None:
        self.clock = clock
        self.on_release = on_release
        self.account = MemoryAccount(bound=account_bound(memory_mb or machine_memory_mb(), share))
        self._peak = 0
        self._holders_by_number: dict[int, MemoryHolder] = {}
        self._numbers = itertools.count(1)
        self._is_releasing = False
        self._next_release_at = -math.inf

    def set_memory(self, memory_mb: float, share: float = ACCOUNT_MEMORY_SHARE) -> None:
        """The settings were read again."""
        self.account.bound = account_bound(memory_mb or machine_memory_mb(), share)
        self._release_excess()

    def open(self, holder: MemoryHolder) -> int:
        """Begin to count a connection; returns its number."""
        number = next(self._numbers)
        self._holders_by_number[number] = holder
        self.account.open(number, self.clock())
        return number

    def close(self, number: int) -> None:
        """The connection is gone."""
        self.account.close(number)
        self._holders_by_number.pop(number, None)

    def note(self, number: int, *, moved: int = 0) -> None:
        """Count a connection's bytes anew, after ``moved`` bytes came or were taken."""
        holder = self._holders_by_number.get(number)
        if holder is None:
            return
        account = self.account
        if moved:
            account.note_moved(number, moved, self.clock())
        account.set_size(number, holder.held_bytes)
        self._peak = max(self._peak, account.total)
        if account.exceeds_bound:
            self._release_excess()

    def take_peak(self) -> int:
        """Return the most bytes that were held since the last call."""
        peak, self._peak = self._peak, self.account.total
        return peak

    def begin_serving(self, size: int) -> bool:
        """Count a whole request that is to be served; False if there is no room for it."""
        if not self.account.admits(size):
            return False
        self.account.served += size
        return True

    def end_serving(self, size: int) -> None:
        """The request is over."""
        self.account.served -= size

    def extend_serving(self, present: int, size: int) -> bool:
        """Count more for a request of ``present`` bytes; False if there is no room for it."""
        if not self.account.admits_more(present, size):
            return False
        self.account.served += size
        return True

    def note_refused(self, size: int) -> None:
        """Report a whole request for which there was no room."""
        self.note_release(ReleaseCause.REQUEST_REFUSED, size)

    def release(self, number: int) -> bool:
        """Release a connection; return whether there was something to give up."""
        holder = self._holders_by_number.get(number)
        if holder is None:
            return False
        size = self.account.size(number)
        cause = holder.release_memory()
        if cause is not None:
            self.note_release(cause, size)
            self.account.set_size(number, holder.held_bytes)
        return cause is not None

    def _release_excess(self) -> None:
        """Release clients until the rest is well below the bound."""
        now = self.clock()
        if self._is_releasing or now < self._next_release_at:
            return
        self._is_releasing = True
        try:
            self._recount()
            if self.account.exceeds_bound:
                self._release_by_rank(now)
            if self.account.exceeds_bound:
                self._next_release_at = now + RELEASE_PAUSE_S
        finally:
            self._is_releasing = False

    def _recount(self) -> None:
        # A transport does not report each part that it has sent.
        for number, holder in self._holders_by_number.items():
            self.account.set_size(number, holder.held_bytes)

    def _release_by_rank(self, now: float) -> None:
        for number in self.account.by_rank(now):
            if self.account.is_low_enough:
                return
            self.release(number)

    def note_release(self, cause: ReleaseCause, size: int) -> None:
        """Report that ``size`` bytes of a client were given up."""
        account = self.account
        self.on_release(
            Release(
                cause=cause,
                held_bytes=size,
                held_in_all=account.total,
                bound=account.bound,
                clients=len(account),
            )
        )
