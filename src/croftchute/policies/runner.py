"""Execution of policies at placement; the built-in order stays if one fails or takes too long."""

from __future__ import annotations

from collections.abc import Callable, Sequence

from croftchute.config.documents import Document
from croftchute.errors import PolicyError
from croftchute.peers.messages import Reserve
from croftchute.policies.starlark_policy import CompiledPolicy, compile_policy
from croftchute.systems.owner import PolicyOrder
from croftchute.systems.placement import Placement

MAX_RUN_S = 0.002
MAX_CONSECUTIVE_FAILURES = 5
SUSPENSION_S = 10.0


class PolicyRunner:
    """The active policies; one that keeps failing is suspended for ``SUSPENSION_S``.

    ``clock`` returns seconds. It is used only to detect overruns and to end suspensions.
    """

    def __init__(self, *, clock: Callable[[], float]) -> None:
        self.clock = clock
        self.consecutive_failures_by_policy: dict[str, int] = {}
        self._compiled_by_name: dict[str, CompiledPolicy] = {}
        self._suspended_until: dict[str, float] = {}

    def load(self, document: Document) -> None:
        """Compile and activate the policies of a validated document."""
        self._compiled_by_name = {
            policy.id: compile_policy(policy.id, policy.source) for policy in document.policies
        }
        self.consecutive_failures_by_policy.clear()
        self._suspended_until.clear()

    def order_placements(
        self, policy: str, request: Reserve, placements: Sequence[Placement]
    ) -> PolicyOrder:
        """Return the placements in the policy's order, or unchanged if the policy fails."""
        compiled = self._compiled_by_name.get(policy)
        started = self.clock()
        if compiled is None or started < self._suspended_until.get(policy, 0.0):
            return PolicyOrder(placements=placements, failure=f"{policy}: suspended")
        by_id = {_candidate_id(placement): placement for placement in placements}
        try:
            ids = compiled.order(
                _request_record(request), [_candidate_record(p, placements) for p in placements]
            )
        except PolicyError as error:
            return self._record_failure(policy, placements, error.message)
        if self.clock() - started > MAX_RUN_S:
            return self._record_failure(
                policy, placements, f"{policy}: took longer than {MAX_RUN_S} s"
            )
        self.consecutive_failures_by_policy[policy] = 0
        return PolicyOrder(placements=[by_id[id] for id in ids])

    def _record_failure(
        self, policy: str, placements: Sequence[Placement], failure: str
    ) -> PolicyOrder:
        count = self.consecutive_failures_by_policy.get(policy, 0) + 1
        self.consecutive_failures_by_policy[policy] = count
        if count >= MAX_CONSECUTIVE_FAILURES:
            self._suspended_until[policy] = self.clock() + SUSPENSION_S
            self.consecutive_failures_by_policy[policy] = 0
        return PolicyOrder(placements=placements, failure=failure)


def _candidate_id(placement: Placement) -> str:
    return f"{placement.prefill_id}>{placement.decode_id}"


def _candidate_record(
    placement: Placement, placements: Sequence[Placement]
) -> dict[str, str | float]:
    earliest = placements[0].first_token_at
    return {
        "id": _candidate_id(placement),
        "prefill": placement.prefill_id,
        "decode": placement.decode_id,
        "uncached_tokens": placement.uncached_tokens,
        "later_s": placement.first_token_at - earliest,
    }


def _request_record(request: Reserve) -> dict[str, str | int | float]:
    return {
        "caller": request.caller,
        "model": request.model,
        "priority": request.priority,
        "prompt_tokens": request.prompt_tokens,
        "max_tokens": request.max_tokens,
        "waited_s": request.waited_s,
    }
