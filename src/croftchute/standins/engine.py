"""A stand-in for a model engine: the batch, its memory, its prefix cache and its faults."""

from __future__ import annotations

import itertools
import queue
import threading
import time
from collections import OrderedDict
from collections.abc import Sequence
from dataclasses import dataclass, field
from typing import Any

from croftchute.standins.tokens import digest_of, output_length, prompt_of, prompt_tokens

BLOCK_TOKENS = 64
TOMBSTONES = 4096


@dataclass(kw_only=True)
class EngineFaults:
    """Switches that tests set; all off at first."""

    stall_prefill: bool = False
    stall_decode: bool = False
    die_after_tokens: int = 0
    fail_prefills: int = 0
    refuse: bool = False
    drop_cancels: int = 0
    drop_cache_events: int = 0
    silent_reports: bool = False


@dataclass(kw_only=True)
class Generation:
    """One decode call in the batch; its texts go to ``out``, None ends them."""

    key: str
    digest: int
    next_index: int
    length: int
    kv_tokens: int
    start_at: float
    out: queue.SimpleQueue[int | None] = field(default_factory=queue.SimpleQueue)


@dataclass(frozen=True, kw_only=True)
class EngineShape:
    """Sizes and speeds of an engine stand-in."""

    prefill_tokens_per_s: float = 50000.0
    step_s: float = 0.01
    kv_tokens: int = 100000
    slots: int = 64
    link_bytes_per_s: float = 1e10
    kv_bytes_per_token: float = 100_000.0
    result_ttl_s: float = 4.0
    report_lag_s: float = 0.2
    cache_blocks: int = 1024
    checks_fence: bool = True


class EngineStandin:
    """The engine without its HTTP surface; one thread steps the batch."""

    def __init__(self, *, id: str, shape: EngineShape, faults: EngineFaults | None = None) -> None:
        self.id = id
        self.shape = shape
        self.faults = faults or EngineFaults()
        self.dead = threading.Event()
        self.prefilled_tokens = 0
        self.wasted_tokens = 0
        self.started_keys: list[str] = []
        self.orders: list[tuple[int, str, str]] = []
        self.leaving = False
        self.versions: list[str] = []
        self._lock = threading.Lock()
        self._prefill_lock = threading.Lock()
        self._wake = threading.Event()
        self._running: dict[str, Generation] = {}
        self._results: dict[str, tuple[float, int]] = {}
        self._tombstones: OrderedDict[str, None] = OrderedDict()
        self._backlog = 0
        self._cache: OrderedDict[int, None] = OrderedDict()
        self._events: list[dict[str, Any]] = []
        self._seq = itertools.count(1)
        self._order_token = 0
        self._snapshot: dict[str, Any] = {}
        self._thread = threading.Thread(target=self._step_forever, daemon=True, name=f"engine-{id}")
        self._thread.start()

    @property
    def kv_used(self) -> int:
        """Tokens held in memory now."""
        with self._lock:
            return self._kv_used()

    @property
    def held_keys(self) -> list[str]:
        """Attempts that hold memory now."""
        with self._lock:
            return [*self._running, *self._results]

    def prefill(self, key: str, body: dict[str, Any], prefix: Sequence[int] = ()) -> dict[str, Any]:
        """Compute a prompt; returns the parameters that fetch the result, {} if refused."""
        prompt = prompt_of(body)
        tokens = prompt_tokens(prompt)
        blocks = prefix or prompt_blocks(prompt)
        with self._lock:
            if key in self._tombstones or self.faults.refuse:
                return {}
            self._backlog += tokens
        try:
            with self._prefill_lock:
                uncached = self._uncached(tokens, blocks)
                self._work(uncached / self.shape.prefill_tokens_per_s)
        finally:
            with self._lock:
                self._backlog -= tokens
        with self._lock:
            self.prefilled_tokens += uncached
            if key in self._tombstones or self.dead.is_set():
                self.wasted_tokens += uncached
                return {}
            self._results[key] = (time.monotonic() + self.shape.result_ttl_s, tokens)
            self._remember(blocks)
        return {"remote_engine_id": self.id, "remote_key": key, "tokens": tokens}

    def take_result(self, key: str) -> int | None:
        """Give a prefill result to a decode engine; None if it has expired."""
        with self._lock:
            expires, tokens = self._results.pop(key, (0.0, 0))
        return tokens if expires > time.monotonic() else None

    def admit(
        self, key: str, body: dict[str, Any], resume_from: int, tokens: int, transfer_s: float
    ) -> Generation | None:
        """Put a sequence into the batch; None if there is no room or it was cancelled."""
        digest = digest_of(prompt_of(body))
        with self._lock:
            full = len(self._running) >= self.shape.slots
            held = self._kv_used() + tokens > self.shape.kv_tokens
            if full or held or key in self._tombstones or self.faults.refuse:
                return None
            sequence = Generation(
                key=key,
                digest=digest,
                next_index=resume_from,
                length=output_length(body, digest),
                kv_tokens=tokens + resume_from,
                start_at=time.monotonic() + transfer_s,
            )
            self._running[key] = sequence
            self.started_keys.append(key)
        self._wake.set()
        return sequence

    def cancel(self, key: str) -> bool:
        """Free all that an attempt holds, and refuse it from now on."""
        with self._lock:
            if self.faults.drop_cancels > 0:
                self.faults.drop_cancels -= 1
                return False
            self._tombstones[key] = None
            while len(self._tombstones) > TOMBSTONES:
                self._tombstones.popitem(last=False)
            held = self._results.pop(key, None)
            self.wasted_tokens += held[1] if held else 0
            sequence = self._running.pop(key, None)
        if sequence is not None:
            sequence.out.put(None)
        return True

    def finish(self, key: str) -> None:
        """A decode call ended at its caller's side."""
        with self._lock:
            self._running.pop(key, None)

    def report(self, after_seq: int) -> dict[str, Any]:
        """The lagging load report with the cache events that are known."""
        with self._lock:
            snapshot = dict(self._snapshot) or self._measure()
            events = [event for event in self._events if event["seq"] > after_seq]
        snapshot["age_s"] = time.monotonic() - snapshot.pop("measured_at")
        snapshot["cache_events"] = events
        return snapshot

    def order(self, token: int, kind: str, target: str) -> bool:
        """Carry out a fenced order, unless a higher token has been seen."""
        with self._lock:
            if self.shape.checks_fence and token < self._order_token:
                return False
            self._order_token = max(self._order_token, token)
            self.orders.append((token, kind, target))
            if kind == "load" and target not in self.versions:
                self.versions.append(target)
            if kind == "unload" and target in self.versions:
                self.versions.remove(target)
        return True

    def die(self) -> None:
        """End at once: every stream breaks off and nothing is answered any more."""
        self.dead.set()
        with self._lock:
            sequences = list(self._running.values())
            self._running.clear()
            self._results.clear()
        for sequence in sequences:
            sequence.out.put(None)
        self._wake.set()

    def _work(self, seconds: float) -> None:
        end = time.monotonic() + seconds
        while (self.faults.stall_prefill or time.monotonic() < end) and not self.dead.is_set():
            self.dead.wait(min(0.05, max(0.0005, end - time.monotonic())))

    def _uncached(self, tokens: int, blocks: Sequence[int]) -> int:
        with self._lock:
            hits = len(list(itertools.takewhile(self._cache.__contains__, blocks)))
        return max(1, tokens - hits * BLOCK_TOKENS)

    def _remember(self, blocks: Sequence[int]) -> None:
        for block in blocks:
            self._cache[block] = None
            self._cache.move_to_end(block)
        evicted = []
        while len(self._cache) > self.shape.cache_blocks:
            evicted.append(self._cache.popitem(last=False)[0])
        if not blocks:
            return
        event = {"seq": next(self._seq), "stored": list(blocks), "evicted": evicted}
        if self.faults.drop_cache_events > 0:
            self.faults.drop_cache_events -= 1
            return
        self._events.append(event)
        del self._events[:-256]

    def _kv_used(self) -> int:
        running = sum(sequence.kv_tokens for sequence in self._running.values())
        return running + sum(tokens for _, tokens in self._results.values())

    def _measure(self) -> dict[str, Any]:
        return {
            "measured_at": time.monotonic(),
            "running": len(self._running),
            "kv_used_tokens": self._kv_used(),
            "prefill_backlog_tokens": self._backlog,
            "leaving": self.leaving,
            "requests": [*self._running, *self._results],
            "versions": list(self.versions),
        }

    def _step_forever(self) -> None:
        next_report = 0.0
        while not self.dead.is_set():
            now = time.monotonic()
            self._step(now)
            if now >= next_report:
                next_report = now + self.shape.report_lag_s
                with self._lock:
                    self._snapshot = self._measure()
            rest = self.shape.step_s - (time.monotonic() - now)
            if self._running:
                self.dead.wait(max(0.0005, rest))
            else:
                self._wake.wait(self.shape.report_lag_s)
                self._wake.clear()

    def _step(self, now: float) -> None:
        with self._lock:
            self._expire_results(now)
            if self.faults.stall_decode:
                return
            for sequence in list(self._running.values()):
                if sequence.start_at > now or sequence.next_index >= sequence.length:
                    continue
                sequence.out.put(sequence.next_index)
                sequence.next_index += 1
                sequence.kv_tokens += 1
                if sequence.next_index >= sequence.length:
                    del self._running[sequence.key]

    def _expire_results(self, now: float) -> None:
        for key, (expires, tokens) in list(self._results.items()):
            if expires <= now:
                del self._results[key]
                self.wasted_tokens += tokens


def prompt_blocks(prompt: Any) -> list[int]:
    """Hashes of a prompt's whole leading blocks; the router computes the same."""
    from croftchute.gateway.prompts import prefix_blocks

    return list(prefix_blocks(prompt))
