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
from croftchute.systems import predicted_end, timeouts
from croftchute.systems.predicted_end import PlacementMode, UsualTimes
from croftchute.systems.prefill_queue import PrefillEstimate
from croftchute.systems.service_capacity import LOCAL_PREFILL_SPEED_RATIO
from croftchute.systems.tracked_worker import TrackedWorker
from croftchute.systems.worker_choice import (
    MAX_CANDIDATES,
    ChoiceContext,
    ChoiceRecord,
    describe_choice,
    rank_by_affinity,
)
from croftchute.tables.paces import PaceEstimate, PredictedEnd, WorkKind
from croftchute.tables.routing import RequestFacts, Route, Stage

USUAL_TIMES_TTL_S = 0.5
"""Seconds for which computed usual times are reused; they are averages over seconds anyway."""


def selects_by_completion_time(state: ForwardingState, service: str) -> bool:
    """Whether workers of a service are selected by predicted completion time."""
    mode = state.ways.placement
    if mode is PlacementMode.AUTO:
        return state.tells_pace(service)
    return mode is PlacementMode.BY_END


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
    context: ChoiceContext
    avoid: Collection[str]

    @property
    def state(self) -> ForwardingState:
        """The state of the process."""
        return self.request.state

    @property
    def service(self) -> str:
        """The service whose workers are compared."""
        return self.request.service

    def select(
        self, candidates: Sequence[TrackedWorker]
    ) -> tuple[TrackedWorker, ChoiceRecord] | None:
        """Draw a plain or decode worker at random, weighted towards earlier completion.

        At most ``MAX_CANDIDATES`` workers are compared, as in a choice by cost.
        """
        eligible = self._without_avoided(candidates)
        if not eligible:
            return None
        rng = self.state.rng
        if len(eligible) > MAX_CANDIDATES:
            affinity = self.request.facts.last_prompt_part if self.stage is Stage.DECODE else ""
            eligible = (
                rank_by_affinity(eligible, affinity)[:MAX_CANDIDATES]
                if affinity
                else rng.sample(eligible, MAX_CANDIDATES)
            )
        ends = self._predict_ends(eligible)
        suspects = {
            tracked.worker.id
            for tracked in eligible
            if predicted_end.is_suspect(tracked, self.context, self.state.clock())
        }
        return self._describe_choice(eligible, ends, predicted_end.draw_by_end(ends, suspects, rng))

    async def select_prefill(
        self, candidates: Sequence[TrackedWorker], *, permit_request: PermitRequest | None
    ) -> tuple[TrackedWorker, ChoiceRecord] | None:
        """Sample prefill workers weighted by speed, probe their load, and return the earliest.

        The earliest is the one with the earliest predicted completion. ``permit_request`` is used
        for the probes; None means that no probes are sent. Without any probe answer the worker is
        drawn as in :meth:`select`.
        """
        state = self.state
        eligible = predicted_end.exclude_suspects(
            self._without_avoided(candidates),
            context=self.context,
            now=state.clock(),
            min_count=predicted_end.PREFILL_CANDIDATES,
        )
        speeds = {tracked.worker.id: self._pace(tracked).speed for tracked in eligible}
        drawn = predicted_end.sample_by_speed(
            eligible, speeds=speeds, count=predicted_end.PREFILL_CANDIDATES, rng=state.rng
        )
        table = state.table
        service = table.services_by_name.get(self.service) if table is not None else None
        loads_by_id = {}
        if permit_request is not None and service is not None and len(drawn) > 1:
            loads_by_id = await probe_loads(
                state, service, drawn, PROBE_TIMEOUT_S, permit_request=permit_request
            )
        if not loads_by_id:
            # On stale loads alone, too many boxes would pick the same one of the sampled workers.
            return self.select(eligible)
        ends = self._predict_ends(drawn)
        return self._describe_choice(drawn, ends, predicted_end.earliest_end(ends))

    def _without_avoided(self, candidates: Sequence[TrackedWorker]) -> list[TrackedWorker]:
        return [tracked for tracked in candidates if tracked.worker.id not in self.avoid]

    def _describe_choice(
        self, compared: list[TrackedWorker], ends: dict[str, PredictedEnd], worker_id: str
    ) -> tuple[TrackedWorker, ChoiceRecord]:
        best = next(tracked for tracked in compared if tracked.worker.id == worker_id)
        now = self.state.clock()
        chosen = describe_choice(best, self.context, now, candidates=len(compared))
        return best, replace(chosen, end=ends[worker_id])

    def _pace(self, tracked: TrackedWorker) -> PaceEstimate:
        kind = WORK_KIND_BY_STAGE[self.stage]
        return self.state.paces.estimate(tracked.worker.id, kind, self.state.clock())

    def _predict_ends(self, tracked_workers: list[TrackedWorker]) -> dict[str, PredictedEnd]:
        usual = usual_times(self.state, self.service)
        return {tracked.worker.id: self._predict_end(tracked, usual) for tracked in tracked_workers}

    def _predict_end(self, tracked: TrackedWorker, usual: UsualTimes) -> PredictedEnd:
        state, now, context, pace = (
            self.state,
            self.state.clock(),
            self.context,
            self._pace(tracked),
        )
        if self.stage is Stage.PREFILL:
            tokens = self.request.facts.prompt_tokens
            timing = state.prefill_pace(self.service)
            return predicted_end.predict_prefill_end(
                tracked,
                prompt_tokens=tokens,
                usual=replace(usual, prompt_s=usual.prompt_s or timing.prefill_s(tokens)),
                timing=timing,
                reported_wait_s=state.peers.prefill_wait_s(tracked.worker.id, now),
                context=context,
                pace=pace,
                now=now,
            )
        if self.stage is Stage.DECODE:
            return predicted_end.predict_decode_end(
                tracked,
                usual=usual,
                target_s=self.request.route.target_s,
                target_gap_s=self.request.route.target_gap_s,
                context=context,
                pace=pace,
                now=now,
            )
        usual_s = usual.answer_s or self.request.route.target_s
        return predicted_end.predict_plain_end(
            tracked, usual_s=usual_s, context=context, pace=pace, now=now
        )


def estimate_prefill(
    end: PredictedEnd, decode: TrackedWorker, *, state: ForwardingState, prompt_tokens: int
) -> PrefillEstimate:
    """Estimate the prefill times at the prefill worker of ``end`` and at the decode worker."""
    service = decode.worker.service
    timing = state.prefill_pace(service)
    pace = state.paces.estimate(decode.worker.id, WorkKind.TOKEN, state.clock())
    local_s = timing.overhead_s + prompt_tokens / timing.tokens_per_s / LOCAL_PREFILL_SPEED_RATIO
    return PrefillEstimate(
        wait_s=end.wait_s + end.overdue_s, remote_s=end.completion_s, local_s=local_s * pace.factor
    )


def usual_times(state: ForwardingState, service: str) -> UsualTimes:
    """Return the usual times of a service, from the reports of all known boxes."""
    now = state.clock()
    cached = state.usual_times_by_service.get(service)
    if cached is None or now - cached.at >= USUAL_TIMES_TTL_S:
        cached = _compute_usual_times(state, service, now)
        state.usual_times_by_service[service] = cached
    return cached


def _compute_usual_times(state: ForwardingState, service: str, now: float) -> UsualTimes:
    tracked_workers = state.workers.of_service(service)
    gaps = sorted(tracked.chunk_gap_s for tracked in tracked_workers if tracked.chunk_gap_s > 0.0)
    counts = state.fleet_demand(service)
    timing = state.prefill_pace(service)
    mean_tokens = counts.prompt_tokens / counts.asks if counts.asks else 0.0
    prompt_s = timing.prefill_s(math.ceil(mean_tokens)) if mean_tokens > 0.0 else 0.0
    full_prompts = timeouts.PREFILL_FULL_TOKENS / mean_tokens if mean_tokens > 0.0 else 0.0
    return UsualTimes(
        answer_s=median_answer_s(
            [tracked for tracked in tracked_workers if tracked.worker.stage is None]
        ),
        stream_s=counts.ended_s / counts.ended if counts.ended else 0.0,
        token_gap_s=gaps[(len(gaps) - 1) // 2] if gaps else 0.0,
        prompt_s=prompt_s,
        full_queue_s=full_prompts * prompt_s,
        at=now,
    )
