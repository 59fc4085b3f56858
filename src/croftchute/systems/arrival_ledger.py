"""Counts the arrivals of one request at workers against the retries taken for them.

The first arrival is free, and so is the first call that only reads the prompt if a worker takes it
up. Whether it does is known from its answer alone. Until then the call counts, and a retry is set
aside for the call behind it.
"""

from __future__ import annotations

from dataclasses import dataclass, field

from croftchute.systems.retry_budget import RetryWindow


@dataclass(kw_only=True)
class ArrivalLedger:
    """Arrivals of a request that count, and the retries that were taken for them.

    ``arrivals`` includes those at workers that other boxes sent the request to, which have taken
    ``prior_paid`` retries for them. ``is_prompt_read`` says that the free call has been used.
    ``spent_at`` are the times of this box's retries that calls have used, ``set_aside_at`` of those
    that none has used yet.
    """

    arrivals: int = 0
    is_prompt_read: bool = False
    prior_paid: int = 0
    spent_at: list[float] = field(default_factory=list)
    set_aside_at: list[float] = field(default_factory=list)

    @classmethod
    def of_passed(cls, *, arrivals: int, is_prompt_read: bool) -> ArrivalLedger:
        """Return the ledger of a request that another box has passed on."""
        return cls(
            arrivals=arrivals, is_prompt_read=is_prompt_read, prior_paid=max(0, arrivals - 1)
        )

    def missing(self, upcoming: int) -> int:
        """Return how many retries must be taken before so many further arrivals.

        >>> new, repeated = ArrivalLedger(), ArrivalLedger(arrivals=2)
        >>> new.missing(1), new.missing(2), repeated.missing(1)
        (0, 1, 2)
        """
        return max(0, self.arrivals + upcoming - 1 - self._used - len(self.set_aside_at))

    def claim(
        self, window: RetryWindow, now: float, *, share: float, calls_behind: int = 0
    ) -> bool:
        """Count a call that is about to be sent; return False if the budget has no retry for it.

        Retries are set aside for ``calls_behind`` further calls. ``share`` is the part of the
        budget's constant that is this box's own. A retry that was set aside earlier is dated anew,
        as workers count the call from when it reaches them.
        """
        missing = self.missing(1 + calls_behind)
        if missing and not window.spend(now, share=share, count=missing):
            return False
        taken = [now] * missing
        for _ in range(max(0, self.arrivals - self._used)):
            if not self.set_aside_at:
                taken.pop()
            elif not window.renew(self.set_aside_at.pop(), now, share=share):
                window.refund(taken)
                return False
            self.spent_at.append(now)
        self.set_aside_at += taken
        self.arrivals += 1
        return True

    def note_unsent(self) -> None:
        """Record that a call was not sent after all."""
        self.arrivals -= 1
        self._release()

    def note_sent_elsewhere(self) -> None:
        """Record a call that another box may have sent, and has paid for."""
        self.arrivals += 1
        self.prior_paid = max(self.prior_paid, self.arrivals - 1 - len(self.spent_at))

    def note_prompt_read(self) -> None:
        """Record that a worker took up the call that was sent last, which only reads the prompt."""
        if not self.is_prompt_read:
            self.is_prompt_read = True
            self.arrivals -= 1
            self._release()

    def take_surplus(self, *, upcoming: int = 0) -> list[float]:
        """Return the times of retries that no arrival needs, which are not held any more.

        ``upcoming`` is the number of calls that are still to be sent.
        """
        kept = max(0, self.arrivals + upcoming - 1 - self._used)
        surplus, self.set_aside_at = self.set_aside_at[kept:], self.set_aside_at[:kept]
        return surplus

    @property
    def _used(self) -> int:
        return self.prior_paid + len(self.spent_at)

    def _release(self) -> None:
        """Set aside what the call that was counted last has used, as it does not count."""
        if self.spent_at and self._used > max(0, self.arrivals - 1):
            self.set_aside_at.append(self.spent_at.pop())
