"""How long a prompt would wait at a prefill worker, and whether it is better read elsewhere.

A box sees only its own calls. What they tell of a worker's queue is how long they took beyond the
reading itself, how long those still open are overdue, and how much of its own is ahead. Peers tell
the same of theirs.
"""

from __future__ import annotations

from dataclasses import dataclass, field

from croftchute.systems.prefill_timing import PrefillTiming
from croftchute.systems.service_capacity import LOCAL_PREFILL_SPEED_RATIO

WAIT_HALF_LIFE_S = 0.5
"""Time in which a wait that was seen counts half: a queue of some prompts of 0.1 s drains so."""

REMOTE_PREFILL_SHARE_OF_TARGET = 0.4
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

    open_calls_by_request: dict[str, _OpenCall] = field(default_factory=dict)
    observed_wait_s: float = 0.0
    observed_at: float = 0.0

    def note_sent(
        self, request_id: str, tokens: int, now: float, *, expected_s: float = 0.0
    ) -> None:
        """A prompt goes to the worker."""
        self.open_calls_by_request[request_id] = _OpenCall(
            sent_at=now, tokens=tokens, expected_s=expected_s
        )

    def sent_since(self, at: float) -> int:
        """Open calls that were sent after some time."""
        return sum(call.sent_at > at for call in self.open_calls_by_request.values())

    def decayed_observed_wait_s(self, now: float) -> float:
        """What the wait of the last answered call says of now."""
        return decayed_wait_s(self.observed_wait_s, now - self.observed_at)

    def overdue_s(self, *, timing: PrefillTiming, now: float) -> float:
        """How long the latest of the open calls takes beyond what was predicted for it."""
        late_s = (
            now - call.sent_at - max(call.expected_s, timing.prefill_s(call.tokens))
            for call in self.open_calls_by_request.values()
        )
        return max(0.0, max(late_s, default=0.0))

    def note_answered(self, request_id: str, *, timing: PrefillTiming, now: float) -> None:
        """The worker has read the prompt."""
        call = self.open_calls_by_request.pop(request_id, None)
        if call is not None:
            self.observed_wait_s = max(0.0, now - call.sent_at - timing.prefill_s(call.tokens))
            self.observed_at = now

    def note_dropped(self, request_id: str) -> None:
        """The call ended without an answer."""
        self.open_calls_by_request.pop(request_id, None)

    def wait_s(self, *, timing: PrefillTiming, now: float) -> float:
        """How long one more prompt would wait, as far as this box can tell."""
        own_tokens = sum(call.tokens for call in self.open_calls_by_request.values())
        overdue_s = [
            now - call.sent_at - timing.prefill_s(call.tokens)
            for call in self.open_calls_by_request.values()
        ]
        return max(
            own_tokens / timing.tokens_per_s,
            decayed_wait_s(self.observed_wait_s, now - self.observed_at),
            *overdue_s,
            0.0,
        )


def decayed_wait_s(wait_s: float, age_s: float) -> float:
    """What a wait seen some time ago says of now.

    >>> decayed_wait_s(0.4, WAIT_HALF_LIFE_S)
    0.2
    """
    return wait_s * 0.5 ** (max(0.0, age_s) / WAIT_HALF_LIFE_S)


@dataclass(frozen=True, kw_only=True, slots=True)
class PrefillEstimate:
    """Predicted seconds until a prompt is read: ahead at a prefill worker, or where it decodes."""

    wait_s: float
    remote_s: float
    local_s: float

    @classmethod
    def predict(
        cls, *, prompt_tokens: int, timing: PrefillTiming, wait_s: float
    ) -> PrefillEstimate:
        """The times for one prompt, given the wait at the prefill worker and its pace."""
        prefill_s = prompt_tokens / timing.tokens_per_s
        return cls(
            wait_s=wait_s,
            remote_s=wait_s + timing.overhead_s + prefill_s,
            local_s=timing.overhead_s + prefill_s / LOCAL_PREFILL_SPEED_RATIO,
        )

    def prefers_remote(self, *, target_s: float) -> bool:
        """Whether the prompt should go to the prefill worker.

        >>> PrefillEstimate(wait_s=0.1, remote_s=0.2, local_s=0.15).prefers_remote(target_s=0.9)
        True
        >>> PrefillEstimate(wait_s=0.5, remote_s=0.6, local_s=0.2).prefers_remote(target_s=0.9)
        False
        """
        return self.remote_s <= max(self.local_s, REMOTE_PREFILL_SHARE_OF_TARGET * target_s)
