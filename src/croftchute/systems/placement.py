"""Choice of engines within a shard, by predicted time to first token and free memory.

The functions do not change the owner's tables.
"""

from __future__ import annotations

from collections.abc import Iterable, Mapping
from math import sqrt

from croftchute.tables.rows import Row
from croftchute.tables.upstreams import EngineConfig, EngineLoad

MIN_SIGMAS = 0.5
MAX_EXTRA_SIGMAS = 1.5
COMMITTED_OUTPUT_SHARE = 0.8
MAX_RESULT_TTL_SHARE = 0.8
MAX_KV_FILL = 0.98
MAX_SHORTLIST = 4


class PlacementNeeds(Row, frozen=True, kw_only=True):
    """What a request needs; ``cached_by_engine`` counts prompt tokens that need no prefill."""

    prompt_tokens: int
    expected_output: float
    output_variance: float
    kv_bytes_per_token: float
    result_ttl_s: float
    cached_by_engine: Mapping[str, float]
    avoid: tuple[str, ...] = ()


class Placement(Row, frozen=True, kw_only=True):
    """A pair of engines and the predicted times of each stage on them."""

    prefill_id: str
    decode_id: str
    uncached_tokens: int
    prefill_start_at: float
    prefill_end_at: float
    transfer_end_at: float
    first_token_at: float
    service_s: float


class PrefillWindow(Row, frozen=True, kw_only=True):
    """The time during which a prefill engine would process a request's prompt."""

    engine_id: str
    uncached_tokens: int
    start_at: float
    end_at: float


def kv_tokens_to_commit(needs: PlacementNeeds) -> float:
    """Return the KV tokens to commit for a request: its prompt and most of its output."""
    return needs.prompt_tokens + COMMITTED_OUTPUT_SHARE * needs.expected_output


def has_kv_room(
    load: EngineLoad, engine: EngineConfig, needs: PlacementNeeds, *, waste_aversion: float
) -> bool:
    """Return whether a decode engine has a free slot and memory for the request's output."""
    if load.running >= engine.slots:
        return False
    sigmas = MIN_SIGMAS + MAX_EXTRA_SIGMAS * waste_aversion
    margin = sigmas * sqrt(load.kv_variance + needs.output_variance)
    committed = load.kv_committed + kv_tokens_to_commit(needs) + margin
    return committed <= engine.kv_tokens * MAX_KV_FILL


def prefill_windows(
    engines: Iterable[EngineConfig],
    loads: Mapping[str, EngineLoad],
    needs: PlacementNeeds,
    *,
    now: float,
) -> list[PrefillWindow]:
    """Return windows on the usable prefill engines, earliest end first, those to avoid last."""
    windows = []
    for engine in engines:
        load = loads[engine.id]
        if not engine.prefills or not load.accepts_work(now):
            continue
        uncached = max(1, round(needs.prompt_tokens - needs.cached_by_engine.get(engine.id, 0.0)))
        start = max(now, load.prefill_free_at)
        end = start + uncached / engine.prefill_tokens_per_s
        windows.append(
            PrefillWindow(engine_id=engine.id, uncached_tokens=uncached, start_at=start, end_at=end)
        )
    windows.sort(
        key=lambda window: (
            _is_last_resort(loads[window.engine_id], needs, now),
            window.end_at,
            window.engine_id,
        )
    )
    return windows


def decode_candidates(
    engines: Iterable[EngineConfig],
    loads: Mapping[str, EngineLoad],
    needs: PlacementNeeds,
    *,
    now: float,
    waste_aversion: float,
) -> list[EngineConfig]:
    """Return decode engines with free memory, least loaded first.

    Engines that the request should avoid are left out unless there is no other. An engine that
    recently failed a call is always left out, since a prefill for it may be wasted.
    """
    candidates = [
        engine
        for engine in engines
        if engine.decodes
        and loads[engine.id].accepts_work(now)
        and now >= loads[engine.id].suspect_until
        and has_kv_room(loads[engine.id], engine, needs, waste_aversion=waste_aversion)
    ]
    candidates.sort(key=lambda engine: (_load_share(loads[engine.id], engine), engine.id))
    preferred = [
        engine for engine in candidates if not _is_last_resort(loads[engine.id], needs, now)
    ]
    return preferred or candidates


def place_on_decode(
    window: PrefillWindow,
    engine: EngineConfig,
    load: EngineLoad,
    needs: PlacementNeeds,
    *,
    now: float,
) -> Placement | None:
    """Return the placement of a prefill on a decode engine.

    Return None if the prefill's KV cache might expire before its transfer ends.
    """
    transfer = 0.0
    if window.engine_id != engine.id:
        transfer = needs.prompt_tokens * needs.kv_bytes_per_token / engine.link_bytes_per_s
    transfer_end = max(window.end_at, load.ingress_free_at, now) + transfer
    if transfer_end - window.end_at > needs.result_ttl_s * MAX_RESULT_TTL_SHARE:
        return None
    return Placement(
        prefill_id=window.engine_id,
        decode_id=engine.id,
        uncached_tokens=window.uncached_tokens,
        prefill_start_at=window.start_at,
        prefill_end_at=window.end_at,
        transfer_end_at=transfer_end,
        first_token_at=transfer_end + engine.step_s,
        service_s=window.end_at - window.start_at + transfer + engine.step_s,
    )


def shortlist_placements(
    engines: list[EngineConfig],
    loads: Mapping[str, EngineLoad],
    needs: PlacementNeeds,
    *,
    now: float,
    waste_aversion: float,
) -> list[Placement]:
    """Return up to ``MAX_SHORTLIST`` placements, earliest first token first.

    Among equals the one with the least loaded decode engine comes first.
    """
    windows = prefill_windows(engines, loads, needs, now=now)
    if not windows:
        return []
    candidates = decode_candidates(engines, loads, needs, now=now, waste_aversion=waste_aversion)
    found = []
    for engine in candidates:
        placement = place_on_decode(windows[0], engine, loads[engine.id], needs, now=now)
        if placement is not None:
            found.append(placement)
    found.sort(key=lambda placement: placement.first_token_at)
    return found[:MAX_SHORTLIST]


def _is_last_resort(load: EngineLoad, needs: PlacementNeeds, now: float) -> bool:
    """Return whether an engine failed recently, or failed an attempt of this request."""
    return load.id in needs.avoid or now < load.suspect_until


def _load_share(load: EngineLoad, engine: EngineConfig) -> float:
    return max(load.kv_committed / engine.kv_tokens, load.running / engine.slots)
