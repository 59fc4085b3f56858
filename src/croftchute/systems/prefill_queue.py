"""Estimate how long a prompt would wait at a prefill worker, and where it should be prefilled.

A box sees only its own calls. It estimates the wait at a worker from three values: the wait of the
last answered call, the time by which open calls are overdue, and the number of tokens in its own
open calls. Peers report the same about their calls.
"""

from __future__ import annotations

from dataclasses import dataclass, field

from croftchute.systems.prefill_timing import PrefillTiming
from croftchute.systems.service_capacity import LOCAL_PREFILL_SPEED_RATIO

WAIT_HALF_LIFE_S = 0.5
"""Half-life of an observed wait. A queue of some prompts of 0.1 s each drains in about this
time."""

REMOTE_PREFILL_SHARE_OF_TARGET = 0.4
"""Share of the first-token target within which a remote prefill is preferred, even where the
decode worker would be faster. A prefill at the decode worker delays the streams there."""


@dataclass(frozen=True, kw_only=True, slots=True)
class _OpenCall:
    """One call of this box that the worker has not answered.

    ``expected_s`` is the duration predicted when the call was sent; 0 without a prediction.
    """

    sent_at: float
    tokens: int
    expected_s: float = 0.0


@dataclass(kw_only=True, slots=True)
class PrefillQueue:
    """Estimate of the queue of one prefill worker, from the calls of this box."""

    open_calls_by_request: dict[str, _OpenCall] = field(default_factory=dict)
    observed_wait_s: float = 0.0
    observed_at: float = 0.0

    def note_sent(
        self, request_id: str, tokens: int, now: float, *, expected_s: float = 0.0
    ) -> None:
        """Record that a prompt is sent to the worker."""
        self.open_calls_by_request[request_id] = _OpenCall(
            sent_at=now, tokens=tokens, expected_s=expected_s
        )

    def sent_since(self, at: float) -> int:
        """Return the number of open calls sent after a time."""
        return sum(call.sent_at > at for call in self.open_calls_by_request.values())

    def decayed_observed_wait_s(self, now: float) -> float:
        """Return the wait of the last answered call, decayed by its age."""
        return decayed_wait_s(self.observed_wait_s, now - self.observed_at)

    def overdue_s(self, *, timing: PrefillTiming, now: float) -> float:
        """Return how late the most overdue open call is, compared with its prediction."""
        late_s = (
            now - call.sent_at - max(call.expected_s, timing.prefill_s(call.tokens))
            for call in self.open_calls_by_request.values()
        )
        return max(0.0, max(late_s, default=0.0))

    def note_answered(self, request_id: str, *, timing: PrefillTiming, now: float) -> None:
        """Record that the worker has prefilled the prompt, and how long the prompt waited."""
        call = self.open_calls_by_request.pop(request_id, None)
        if call is not None:
            self.observed_wait_s = max(0.0, now - call.sent_at - timing.prefill_s(call.tokens))
            self.observed_at = now

    def note_dropped(self, request_id: str) -> None:
        """Record that the call ended without an answer."""
        self.open_calls_by_request.pop(request_id, None)

    def wait_s(self, *, timing: PrefillTiming, now: float) -> float:
        """Return the expected wait of one more prompt, estimated from the calls of this box."""
        own_tokens = sum(call.tokens for call in self.open_calls_by_request.values())
        late_s = [
            now - call.sent_at - timing.prefill_s(call.tokens)
            for call in self.open_calls_by_request.values()
        ]
        return max(
            own_tokens / timing.tokens_per_s,
            decayed_wait_s(self.observed_wait_s, now - self.observed_at),
            *late_s,
            0.0,
        )


def decayed_wait_s(wait_s: float, age_s: float) -> float:
    """Return an observed wait, decayed by its age.

    >>> decayed_wait_s(0.4, WAIT_HALF_LIFE_S)
    0.2
    """
    return wait_s * 0.5 ** (max(0.0, age_s) / WAIT_HALF_LIFE_S)


@dataclass(frozen=True, kw_only=True, slots=True)
class PrefillEstimate:
    """Predicted seconds until a prompt is prefilled, at a prefill worker or at its decode worker.

    ``remote_s`` is for the prefill worker and includes ``wait_s``; ``local_s`` is for the decode
    worker.
    """

    wait_s: float
    remote_s: float
    local_s: float

    @classmethod
    def predict(
        cls, *, prompt_tokens: int, timing: PrefillTiming, wait_s: float
    ) -> PrefillEstimate:
        """Estimate both times from the wait at the prefill worker and its timing."""
        prefill_s = prompt_tokens / timing.tokens_per_s
        return cls(
            wait_s=wait_s,
            remote_s=wait_s + timing.overhead_s + prefill_s,
            local_s=timing.overhead_s + prefill_s / LOCAL_PREFILL_SPEED_RATIO,
        )

    def prefers_remote(self, *, target_s: float) -> bool:
        """Return whether the prompt should go to the prefill worker.

        >>> PrefillEstimate(wait_s=0.1, remote_s=0.2, local_s=0.15).prefers_remote(target_s=0.9)
        True
        >>> PrefillEstimate(wait_s=0.5, remote_s=0.6, local_s=0.2).prefers_remote(target_s=0.9)
        False
        """
        return self.remote_s <= max(self.local_s, REMOTE_PREFILL_SHARE_OF_TARGET * target_s)
