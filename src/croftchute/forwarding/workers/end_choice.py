"""Choices of workers by predicted end, from what the process knows of a service."""

from __future__ import annotations

import math
from collections.abc import Collection, Sequence
from dataclasses import dataclass, replace
from typing import Protocol

from croftchute.forwarding.permits import PermitWish
from croftchute.forwarding.state import ForwardingState
from croftchute.forwarding.workers.load_probe import PROBE_TIMEOUT_S, probe_loads
from croftchute.forwarding.workers.load_reader import KIND_BY_STAGE, usual_answer_s
from croftchute.systems import patience, predicted_end
from croftchute.systems.predicted_end import PlacementMode, UsualTimes
from croftchute.systems.prefill_queue import PrefillEstimate
from croftchute.systems.service_capacity import LOCAL_PREFILL_SPEED_RATIO
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

USUAL_KEPT_S = 0.5
"""Seconds for which the usual times of a service are used: they are means of seconds."""


def chooses_by_end(state: ForwardingState, service: str) -> bool:
    """Whether workers of a service are chosen by predicted end."""
    way = state.ways.placement
    if way is PlacementMode.AUTO:
        return state.tells_pace(service)
    return way is PlacementMode.BY_END


class PlacedRequest(Protocol):
    """The request for which a worker is chosen."""

    state: ForwardingState
    service: str
    facts: RequestFacts
    route: Route


@dataclass(frozen=True, kw_only=True)
class EndChoice:
    """One choice of a worker for a request; ``avoid`` are ids of workers that are passed over."""

    request: PlacedRequest
    stage: Stage | None
    around: Surroundings
    avoid: Collection[str]

    @property
    def state(self) -> ForwardingState:
        """What the process knows."""
        return self.request.state

    @property
    def service(self) -> str:
        """The service whose workers are compared."""
        return self.request.service

    def choose(self, candidates: Sequence[WorkerBelief]) -> tuple[WorkerBelief, ChoiceInput] | None:
        """A plain or decode worker, drawn at random with the sooner ones more often.

        Of many candidates some are looked at, as in choices by cost.
        """
        left = self._left(candidates)
        if not left:
            return None
        rng = self.state.rng
        if len(left) > SAMPLE:
            affinity = self.request.facts.own_part if self.stage is Stage.DECODE else ""
            left = by_affinity(left, affinity)[:SAMPLE] if affinity else rng.sample(left, SAMPLE)
        ends = self._ends(left)
        suspects = {
            belief.worker.id
            for belief in left
            if predicted_end.is_suspect(belief, self.around, self.state.clock())
        }
        return self._chosen(left, ends, predicted_end.draw_by_end(ends, suspects, rng))

    async def choose_prefill(
        self, candidates: Sequence[WorkerBelief], *, wish: PermitWish | None
    ) -> tuple[WorkerBelief, ChoiceInput] | None:
        """The soonest of some prefill workers drawn by speed and probed.

        ``wish`` is for permits of the probes; None asks for no probes. Without any answer to them
        a worker is drawn as others are.
        """
        state = self.state
        left = predicted_end.exclude_suspects(
            self._left(candidates),
            around=self.around,
            now=state.clock(),
            min_count=predicted_end.PREFILL_CANDIDATES,
        )
        speeds = {belief.worker.id: self._pace(belief).speed for belief in left}
        drawn = predicted_end.sample_by_speed(
            left, speeds=speeds, count=predicted_end.PREFILL_CANDIDATES, rng=state.rng
        )
        table = state.table
        service = table.services_by_name.get(self.service) if table is not None else None
        loads_by_id = {}
        if wish is not None and service is not None and len(drawn) > 1:
            loads_by_id = await probe_loads(state, service, drawn, PROBE_TIMEOUT_S, wish=wish)
        if not loads_by_id:
            # By old news alone the soonest of three is the same one for too many boxes.
            return self.choose(left)
        ends = self._ends(drawn)
        return self._chosen(drawn, ends, predicted_end.earliest_end(ends))

    def _left(self, candidates: Sequence[WorkerBelief]) -> list[WorkerBelief]:
        return [belief for belief in candidates if belief.worker.id not in self.avoid]

    def _chosen(
        self, compared: list[WorkerBelief], ends: dict[str, PredictedEnd], worker_id: str
    ) -> tuple[WorkerBelief, ChoiceInput]:
        best = next(belief for belief in compared if belief.worker.id == worker_id)
        now = self.state.clock()
        chosen = describe(best, self.around, now, candidates=len(compared))
        return best, replace(chosen, end=ends[worker_id])

    def _pace(self, belief: WorkerBelief) -> PaceEstimate:
        kind = KIND_BY_STAGE[self.stage]
        return self.state.paces.estimate(belief.worker.id, kind, self.state.clock())

    def _ends(self, beliefs: list[WorkerBelief]) -> dict[str, PredictedEnd]:
        usual = usual_times(self.state, self.service)
        return {belief.worker.id: self._end(belief, usual) for belief in beliefs}

    def _end(self, belief: WorkerBelief, usual: UsualTimes) -> PredictedEnd:
        state, now, around, pace = self.state, self.state.clock(), self.around, self._pace(belief)
        if self.stage is Stage.PREFILL:
            tokens = self.request.facts.prompt_tokens
            timing = state.prefill_pace(self.service)
            return predicted_end.predict_prefill_end(
                belief,
                prompt_tokens=tokens,
                usual=replace(usual, prompt_s=usual.prompt_s or timing.prefill_s(tokens)),
                timing=timing,
                reported_wait_s=state.peers.prefill_wait_s(belief.worker.id, now),
                around=around,
                pace=pace,
                now=now,
            )
        if self.stage is Stage.DECODE:
            return predicted_end.predict_decode_end(
                belief,
                usual=usual,
                target_s=self.request.route.target_s,
                target_gap_s=self.request.route.target_gap_s,
                around=around,
                pace=pace,
                now=now,
            )
        usual_s = usual.answer_s or self.request.route.target_s
        return predicted_end.predict_plain_end(
            belief, usual_s=usual_s, around=around, pace=pace, now=now
        )


def reading_times(
    end: PredictedEnd, decode: WorkerBelief, *, state: ForwardingState, prompt_tokens: int
) -> PrefillEstimate:
    """Until when a prompt is read ahead by the worker of an end, or by its decode worker."""
    service = decode.worker.service
    timing = state.prefill_pace(service)
    pace = state.paces.estimate(decode.worker.id, WorkKind.TOKEN, state.clock())
    local_s = timing.overhead_s + prompt_tokens / timing.tokens_per_s / LOCAL_PREFILL_SPEED_RATIO
    return PrefillEstimate(
        wait_s=end.wait_s + end.overdue_s, remote_s=end.completion_s, local_s=local_s * pace.factor
    )


def usual_times(state: ForwardingState, service: str) -> UsualTimes:
    """What is usual at the workers of a service, by the news of all boxes heard."""
    now = state.clock()
    known = state.usual_times_by_service.get(service)
    if known is None or now - known.at >= USUAL_KEPT_S:
        known = _usual_times(state, service, now)
        state.usual_times_by_service[service] = known
    return known


def _usual_times(state: ForwardingState, service: str, now: float) -> UsualTimes:
    beliefs = state.workers.of_service(service)
    gaps = sorted(belief.pause_s for belief in beliefs if belief.pause_s > 0.0)
    counts = state.fleet_demand(service)
    timing = state.prefill_pace(service)
    mean_tokens = counts.prompt_tokens / counts.asks if counts.asks else 0.0
    prompt_s = timing.prefill_s(math.ceil(mean_tokens)) if mean_tokens > 0.0 else 0.0
    full_prompts = patience.PREFILL_FULL_TOKENS / mean_tokens if mean_tokens > 0.0 else 0.0
    return UsualTimes(
        answer_s=usual_answer_s([belief for belief in beliefs if belief.worker.stage is None]),
        stream_s=counts.ended_s / counts.ended if counts.ended else 0.0,
        token_gap_s=gaps[(len(gaps) - 1) // 2] if gaps else 0.0,
        prompt_s=prompt_s,
        full_queue_s=full_prompts * prompt_s,
        at=now,
    )
