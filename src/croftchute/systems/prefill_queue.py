"""How long a prompt would wait at a prefill worker, and whether it is better read elsewhere.

A box sees only its own calls. What they tell of a worker's queue is how long they took beyond the
reading itself, how long those still open are overdue, and how much of its own is ahead. Peers tell
the same of theirs.
"""

from __future__ import annotations

from dataclasses import dataclass, field

from croftchute.systems.prefill_timing import PrefillTiming
from croftchute.systems.service_capacity import OWN_READING_PACE

WAIT_HALF_LIFE_S = 0.5
"""Time in which a wait that was seen counts half: a queue of some prompts of 0.1 s drains so."""

READ_AHEAD_SHARE_OF_TARGET = 0.4
"""Share of the target up to which reading ahead is taken even where the decode worker would be
quicker: its own reading holds up its streams."""


@dataclass(frozen=True, kw_only=True, slots=True)
class _OpenCall:
    """One call of this box that the worker has not answered.

    ``expected_s`` is how long it was predicted to take when it was sent; 0 if it was not.
    """

    sent_at: float
    tokens: int
    expected_s: float = 0.0


@dataclass(kw_only=True, slots=True)
class PrefillQueue:
    """What this box knows of one prefill worker's queue."""

    open_by_request: dict[str, _OpenCall] = field(default_factory=dict)
    seen_wait_s: float = 0.0
    seen_at: float = 0.0

    def sent(self, request_id: str, tokens: int, now: float, *, expected_s: float = 0.0) -> None:
        """A prompt goes to the worker."""
        self.open_by_request[request_id] = _OpenCall(
            sent_at=now, tokens=tokens, expected_s=expected_s
        )

    def sent_since(self, at: float) -> int:
        """Open calls that were sent after some time."""
        return sum(call.sent_at > at for call in self.open_by_request.values())

    def seen_wait_left_s(self, now: float) -> float:
        """What the wait of the last answered call says of now."""
        return faded(self.seen_wait_s, now - self.seen_at)

    def overdue_s(self, *, timing: PrefillTiming, now: float) -> float:
        """How long the latest of the open calls takes beyond what was predicted for it."""
        late = (
            now - call.sent_at - max(call.expected_s, timing.prefill_s(call.tokens))
            for call in self.open_by_request.values()
        )
        return max(0.0, max(late, default=0.0))

    def answered(self, request_id: str, *, timing: PrefillTiming, now: float) -> None:
        """The worker has read the prompt."""
        call = self.open_by_request.pop(request_id, None)
        if call is not None:
            self.seen_wait_s = max(0.0, now - call.sent_at - timing.prefill_s(call.tokens))
            self.seen_at = now

    def dropped(self, request_id: str) -> None:
        """The call ended without an answer."""
        self.open_by_request.pop(request_id, None)

    def wait_s(self, *, timing: PrefillTiming, now: float) -> float:
        """How long one more prompt would wait, as far as this box can tell."""
        own_tokens = sum(call.tokens for call in self.open_by_request.values())
        overdue_s = [
            now - call.sent_at - timing.prefill_s(call.tokens)
            for call in self.open_by_request.values()
        ]
        return max(
            own_tokens / timing.tokens_per_s,
            faded(self.seen_wait_s, now - self.seen_at),
            *overdue_s,
            0.0,
        )


def faded(wait_s: float, age_s: float) -> float:
    """What a wait seen some time ago says of now.

    >>> faded(0.4, WAIT_HALF_LIFE_S)
    0.2
    """
    return wait_s * 0.5 ** (max(0.0, age_s) / WAIT_HALF_LIFE_S)


@dataclass(frozen=True, kw_only=True, slots=True)
class ReadingTimes:
    """Predicted seconds until a prompt is read: ahead at a prefill worker, or where it decodes."""

    wait_s: float
    ahead_s: float
    own_s: float

    @classmethod
    def predict(cls, *, prompt_tokens: int, timing: PrefillTiming, wait_s: float) -> ReadingTimes:
        """The times for one prompt, given the wait at the prefill worker and its pace."""
        read_s = prompt_tokens / timing.tokens_per_s
        return cls(
            wait_s=wait_s,
            ahead_s=wait_s + timing.overhead_s + read_s,
            own_s=timing.overhead_s + read_s / OWN_READING_PACE,
        )

    def is_better_ahead(self, *, target_s: float) -> bool:
        """Whether the prompt should go to the prefill worker.

        >>> ReadingTimes(wait_s=0.1, ahead_s=0.2, own_s=0.15).is_better_ahead(target_s=0.9)
        True
        >>> ReadingTimes(wait_s=0.5, ahead_s=0.6, own_s=0.2).is_better_ahead(target_s=0.9)
        False
        """
        return self.ahead_s <= max(self.own_s, READ_AHEAD_SHARE_OF_TARGET * target_s)
