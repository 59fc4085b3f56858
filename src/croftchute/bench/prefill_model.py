"""A fake prefill engine in virtual time: a queue by priority, a prefix cache, its events."""

from __future__ import annotations

import random
from collections import OrderedDict
from collections.abc import Callable
from dataclasses import dataclass, field

from croftchute.bench.loop import EventLoop
from croftchute.systems.prefix_index import BLOCK_TOKENS, CacheEvent
from croftchute.tables.upstreams import EngineConfig

CACHE_BLOCKS = 4096
EVENT_GAP_SHARE = 0.02

Done = Callable[[bool], None]


@dataclass(kw_only=True)
class PrefillJob:
    """One prefill; ``computed`` counts the tokens that were really worked on."""

    key: str
    tokens: int
    prefix: tuple[int, ...]
    priority: int
    done: Done
    uncached: int = 0
    computed: int = 0
    started_at: float = -1.0


@dataclass(kw_only=True)
class PrefillEngine:
    """Works on one prompt at a time, highest priority first."""

    fact: EngineConfig
    loop: EventLoop
    rng: random.Random
    dead: bool = False
    stalled_until: float = 0.0
    computed_tokens: int = 0
    events: list[CacheEvent] = field(default_factory=list)
    _queue: list[PrefillJob] = field(default_factory=list)
    _current: PrefillJob | None = None
    _cache: OrderedDict[int, None] = field(default_factory=OrderedDict)
    _seq: int = 0

    def submit(self, job: PrefillJob) -> None:
        """Queue a prefill; a dead engine fails it."""
        if self.dead:
            job.done(False)
            return
        self._queue.append(job)
        self._queue.sort(key=lambda queued: -queued.priority)
        self._next()

    def backlog(self) -> int:
        """Tokens still to be computed for the jobs that run and wait."""
        waiting = sum(max(1, job.tokens - self._cached_tokens(job.prefix)) for job in self._queue)
        current = self._current
        if current is None:
            return waiting
        spent = max(0.0, self.loop.now - current.started_at) * self.fact.prefill_tokens_per_s
        return waiting + max(0, round(current.uncached - spent))

    def holds(self, key: str) -> bool:
        """Whether an attempt waits or runs here."""
        current = self._current
        waiting = any(job.key == key for job in self._queue)
        return waiting or (current is not None and current.key == key)

    def cancel(self, key: str) -> None:
        """Drop an attempt that waits or runs."""
        for job in list(self._queue):
            if job.key == key:
                self._queue.remove(job)
        current = self._current
        if current is not None and current.key == key:
            spent = (self.loop.now - current.started_at) * self.fact.prefill_tokens_per_s
            current.computed = min(current.uncached, max(0, round(spent)))
            self.computed_tokens += current.computed
            self._current = None
            self._next()

    def die(self) -> None:
        """Lose everything."""
        self.dead = True
        jobs = ([self._current] if self._current else []) + self._queue
        self._queue, self._current = [], None
        for job in jobs:
            job.done(False)

    def take_events(self, after: int) -> list[CacheEvent]:
        """Cache events after a sequence number; some are lost."""
        kept = [event for event in self.events if event.seq > after]
        return [event for event in kept if self.rng.random() > EVENT_GAP_SHARE]

    def _next(self) -> None:
        if self._current is not None or not self._queue or self.dead:
            return
        job = self._queue.pop(0)
        self._current = job
        job.started_at = max(self.loop.now, self.stalled_until)
        job.uncached = max(1, job.tokens - self._cached_tokens(job.prefix))
        end = job.started_at + job.uncached / self.fact.prefill_tokens_per_s
        self.loop.at(end, lambda: self._finish(job))

    def _finish(self, job: PrefillJob) -> None:
        if self._current is not job:
            return
        self._current = None
        job.computed = job.uncached
        self.computed_tokens += job.uncached
        self._remember(job.prefix)
        self._next()
        job.done(True)

    def _cached_tokens(self, prefix: tuple[int, ...]) -> int:
        hits = 0
        for block in prefix:
            if block not in self._cache:
                break
            hits += 1
        return hits * BLOCK_TOKENS

    def _remember(self, prefix: tuple[int, ...]) -> None:
        if not prefix:
            return
        for block in prefix:
            self._cache[block] = None
            self._cache.move_to_end(block)
        evicted = []
        while len(self._cache) > CACHE_BLOCKS:
            evicted.append(self._cache.popitem(last=False)[0])
        self._seq += 1
        self.events.append(CacheEvent(seq=self._seq, stored=prefix, evicted=tuple(evicted)))
        del self.events[:-64]
