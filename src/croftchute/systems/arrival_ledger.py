"""Counts the arrivals of one request at workers against the retries taken for them.

The first arrival is free, and so is the first call that only reads the prompt if a worker takes it
up. Whether it does is known from its answer alone. Until then the call counts, and a retry is set
aside for the call behind it.
"""

from __future__ import annotations

from dataclasses import dataclass, field


@dataclass(kw_only=True)
class ArrivalLedger:
    """Arrivals of a request that count, and the retries that are paid for them.

    ``arrivals`` includes those at workers that other boxes sent the request to, which have paid
    for all but the first. ``is_prompt_read`` says that the free call has been used.
    """

    arrivals: int = 0
    is_prompt_read: bool = False
    prior_paid: int = 0
    paid_at: list[float] = field(default_factory=list)

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
        return max(0, self.arrivals + upcoming - 1 - self._paid)

    def note_paid(self, paid_at: list[float]) -> None:
        """Record retries that were taken, by the times at which they were."""
        self.paid_at += paid_at

    def note_sent(self) -> None:
        """Record a call that is sent, before it is."""
        self.arrivals += 1

    def note_unsent(self) -> None:
        """Record that a call was not sent after all."""
        self.arrivals -= 1

    def note_sent_elsewhere(self) -> None:
        """Record a call that another box may have sent, and has paid for."""
        self.arrivals += 1
        self.prior_paid = max(self.prior_paid, self.arrivals - 1 - len(self.paid_at))

    def note_prompt_read(self) -> None:
        """Record that a worker took up the call that was sent last, which only reads the prompt."""
        if not self.is_prompt_read:
            self.is_prompt_read = True
            self.arrivals -= 1

    def take_surplus(self) -> list[float]:
        """Return the times of retries that no arrival needed, which are not held any more."""
        surplus = min(len(self.paid_at), self._paid - max(0, self.arrivals - 1))
        if surplus <= 0:
            return []
        taken, self.paid_at = self.paid_at[-surplus:], self.paid_at[:-surplus]
        return taken

    @property
    def _paid(self) -> int:
        return self.prior_paid + len(self.paid_at)
