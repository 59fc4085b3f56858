"""Selection of workers by the predicted completion time of the request."""

from __future__ import annotations

import math
from collections.abc import Collection, Sequence
from dataclasses import dataclass, replace
from typing import Protocol

from croftchute.forwarding.permits import PermitRequest
from croftchute.forwarding.state import ForwardingState
from croftchute.forwarding.workers.load_and_pace import WORK_KIND_BY_STAGE, median_answer_s
from croftchute.forwarding.workers.load_probe import PROBE_TIMEOUT_S, probe_loads
from croftchute.systems import patience, predicted_end
from croftchute.systems.predicted_end import PlacementWay, UsualTimes
from croftchute.systems.prefill_queue import ReadingTimes
from croftchute.systems.service_capacity import OWN_READING_PACE
from croftchute.systems.worker_belief import WorkerBelief
from croftchute.systems.worker_choice import (
    SAMPLE,
    ChoiceInput,
    Surroundings,
    by_affinity,
    describe,
)
from croftchute.tables.paces import PaceEstimate, PredictedEnd, WorkKind
from croftchute.tables.routing import RequestFacts, Route, Stage

USUAL_TIMES_TTL_S = 0.5
"""Seconds for which computed usual times are reused; they are averages over seconds anyway."""


def selects_by_completion_time(state: ForwardingState, service: str) -> bool:
    """Whether workers of a service are selected by predicted completion time."""
    way = state.ways.placement
    if way is PlacementWay.AUTO:
        return state.tells_pace(service)
    return way is PlacementWay.BY_END


class SelectionRequest(Protocol):
    """The request for which a worker is selected."""

    state: ForwardingState
    service: str
    facts: RequestFacts
    route: Route


@dataclass(frozen=True, kw_only=True)
class CompletionTimeSelector:
    """Selects one worker for a request; ``avoid`` holds the ids of workers to skip."""

    request: SelectionRequest
    stage: Stage | None
    around: Surroundings
    avoid: Collection[str]

    @property
    def state(self) -> ForwardingState:
        """The state of the process."""
        return self.request.state

    @property
    def service(self) -> str:
        """The service whose workers are compared."""
        return self.request.service

    def select(self, candidates: Sequence[WorkerBelief]) -> tuple[WorkerBelief, ChoiceInput] | None:
        """Draw a plain or decode worker at random, weighted towards earlier completion.

        Of many candidates only a sample is compared, as in choices by cost.
        """
        left = self._without_avoided(candidates)
        if not left:
            return None
        rng = self.state.rng
        if len(left) > SAMPLE:
            affinity = self.request.facts.own_part if self.stage is Stage.DECODE else ""
            left = by_affinity(left, affinity)[:SAMPLE] if affinity else rng.sample(left, SAMPLE)
        ends = self._predict_ends(left)
        doubtful = {
            belief.worker.id
            for belief in left
            if predicted_end.is_doubtful(belief, self.around, self.state.clock())
        }
        return self._describe_choice(left, ends, predicted_end.draw_by_end(ends, doubtful, rng))

    async def select_prefill(
        self, candidates: Sequence[WorkerBelief], *, permit_request: PermitRequest | None
    ) -> tuple[WorkerBelief, ChoiceInput] | None:
        """Draw some prefill workers by speed, probe them, and return the earliest one.

        ``permit_request`` is used for the probes; None means that no probes are sent. Without any
        probe answer the worker is drawn as in :meth:`select`.
        """
        state = self.state
        left = predicted_end.without_doubtful(
            self._without_avoided(candidates),
            around=self.around,
            now=state.clock(),
            least=predicted_end.PREFILL_CANDIDATES,
        )
        speeds = {belief.worker.id: self._pace(belief).speed for belief in left}
        drawn = predicted_end.draw(
            left, speeds=speeds, count=predicted_end.PREFILL_CANDIDATES, rng=state.rng
        )
        table = state.table
        service = table.services_by_name.get(self.service) if table is not None else None
        loads_by_id = {}
        if permit_request is not None and service is not None and len(drawn) > 1:
            loads_by_id = await probe_loads(
                state, service, drawn, PROBE_TIMEOUT_S, permit_request=permit_request
            )
        if not loads_by_id:
            # With old data alone, too many boxes would pick the same one of the three workers.
            return self.select(left)
        ends = self._predict_ends(drawn)
        return self._describe_choice(drawn, ends, predicted_end.earliest(ends))

    def _without_avoided(self, candidates: Sequence[WorkerBelief]) -> list[WorkerBelief]:
        return [belief for belief in candidates if belief.worker.id not in self.avoid]

    def _describe_choice(
        self, compared: list[WorkerBelief], ends: dict[str, PredictedEnd], worker_id: str
    ) -> tuple[WorkerBelief, ChoiceInput]:
        best = next(belief for belief in compared if belief.worker.id == worker_id)
        now = self.state.clock()
        chosen = describe(best, self.around, now, candidates=len(compared))
        return best, replace(chosen, end=ends[worker_id])

    def _pace(self, belief: WorkerBelief) -> PaceEstimate:
        kind = WORK_KIND_BY_STAGE[self.stage]
        return self.state.paces.estimate(belief.worker.id, kind, self.state.clock())

    def _predict_ends(self, beliefs: list[WorkerBelief]) -> dict[str, PredictedEnd]:
        usual = usual_times(self.state, self.service)
        return {belief.worker.id: self._predict_end(belief, usual) for belief in beliefs}

    def _predict_end(self, belief: WorkerBelief, usual: UsualTimes) -> PredictedEnd:
        state, now, around, pace = self.state, self.state.clock(), self.around, self._pace(belief)
        if self.stage is Stage.PREFILL:
            tokens = self.request.facts.prompt_tokens
            reading = state.prefill_pace(self.service)
            return predicted_end.prefill_end(
                belief,
                prompt_tokens=tokens,
                usual=replace(usual, prompt_s=usual.prompt_s or reading.reading_s(tokens)),
                reading=reading,
                told_wait_s=state.peers.prefill_wait_s(belief.worker.id, now),
                around=around,
                pace=pace,
                now=now,
            )
        if self.stage is Stage.DECODE:
            return predicted_end.decode_end(
                belief,
                usual=usual,
                target_s=self.request.route.target_s,
                target_gap_s=self.request.route.target_gap_s,
                around=around,
                pace=pace,
                now=now,
            )
        usual_s = usual.answer_s or self.request.route.target_s
        return predicted_end.plain_end(belief, usual_s=usual_s, around=around, pace=pace, now=now)


def predict_reading_times(
    end: PredictedEnd, decode: WorkerBelief, *, state: ForwardingState, prompt_tokens: int
) -> ReadingTimes:
    """Predict the prefill times at the prefill worker of ``end`` and at the decode worker."""
    service = decode.worker.service
    reading = state.prefill_pace(service)
    pace = state.paces.estimate(decode.worker.id, WorkKind.TOKEN, state.clock())
    own_s = reading.fixed_s + prompt_tokens / reading.pace / OWN_READING_PACE
    return ReadingTimes(
        wait_s=end.wait_s + end.overdue_s, ahead_s=end.served_s, own_s=own_s * pace.factor
    )


def usual_times(state: ForwardingState, service: str) -> UsualTimes:
    """Return the usual times of a service, from the reports of all known boxes."""
    now = state.clock()
    known = state.usual_times_by_service.get(service)
    if known is None or now - known.at >= USUAL_TIMES_TTL_S:
        known = _usual_times(state, service, now)
        state.usual_times_by_service[service] = known
    return known


def _usual_times(state: ForwardingState, service: str, now: float) -> UsualTimes:
    beliefs = state.workers.of_service(service)
    pauses = sorted(belief.pause_s for belief in beliefs if belief.pause_s > 0.0)
    counts = state.fleet_demand(service)
    reading = state.prefill_pace(service)
    mean_tokens = counts.prompt_tokens / counts.asks if counts.asks else 0.0
    prompt_s = reading.reading_s(math.ceil(mean_tokens)) if mean_tokens > 0.0 else 0.0
    full_prompts = patience.PREFILL_FULL_TOKENS / mean_tokens if mean_tokens > 0.0 else 0.0
    return UsualTimes(
        answer_s=median_answer_s([belief for belief in beliefs if belief.worker.stage is None]),
        stream_s=counts.ended_s / counts.ended if counts.ended else 0.0,
        pause_s=pauses[(len(pauses) - 1) // 2] if pauses else 0.0,
        prompt_s=prompt_s,
        full_prompts_s=full_prompts * prompt_s,
        at=now,
    )
