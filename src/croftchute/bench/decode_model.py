"""A fake decode engine in virtual time: a continuous batch whose step slows as it grows.

All running sequences advance together, so progress is one number: ``_steps`` counts the steps
made, a sequence ends when it has made as many as it has tokens. Memory grows by one token for
each sequence and step; when it is full, the newest sequence is paused until there is room.
"""

from __future__ import annotations

import heapq
from collections.abc import Callable
from dataclasses import dataclass, field

from croftchute.bench.loop import EventLoop
from croftchute.tables.upstreams import EngineConfig

STEP_BASE_SHARE = 0.4
WAITING_MAX = 16

OnFirst = Callable[[], None]
OnEnd = Callable[[bool, int], None]


@dataclass(kw_only=True)
class Sequence:
    """One decode; ``on_end`` gets whether it is whole and how many tokens it gave."""

    key: str
    prompt_tokens: int
    output_tokens: int
    on_first: OnFirst
    on_end: OnEnd
    made: float = 0.0
    joined_at_step: float = 0.0
    first_given: bool = False


@dataclass(kw_only=True)
class DecodeEngine:
    """The batch of one engine; ``fact.step_s`` is the step time with all slots in use."""

    fact: EngineConfig
    loop: EventLoop
    dead: bool = False
    stalled_until: float = 0.0
    link_free_at: float = 0.0
    pauses: int = 0
    _running: dict[str, Sequence] = field(default_factory=dict)
    _waiting: list[Sequence] = field(default_factory=list)
    _steps: float = 0.0
    _at: float = 0.0
    _kv_fixed: float = 0.0
    _ends: list[tuple[float, str]] = field(default_factory=list)
    _version: int = 0

    @property
    def running(self) -> int:
        """Sequences in the batch."""
        return len(self._running)

    @property
    def keys(self) -> list[str]:
        """Attempts in the batch or waiting."""
        return [*self._running, *(sequence.key for sequence in self._waiting)]

    def kv_used(self) -> float:
        """Tokens in memory now."""
        self._advance()
        return self._kv_fixed + len(self._running) * self._steps

    def holds(self, key: str) -> bool:
        """Whether an attempt is in the batch or waits for it."""
        return key in self._running or any(sequence.key == key for sequence in self._waiting)

    def submit(self, sequence: Sequence) -> bool:
        """Add a sequence to the batch, or to the queue before it; False if that is full too."""
        if self.dead:
            return False
        self._advance()
        if self._has_room(sequence):
            self._join(sequence)
        elif len(self._waiting) < WAITING_MAX:
            self._waiting.append(sequence)
        else:
            return False
        self._plan()
        return True

    def cancel(self, key: str) -> int:
        """Free what an attempt holds; returns how many tokens it had given."""
        self._advance()
        made = int(self._made(self._running[key])) if key in self._running else 0
        self._waiting = [sequence for sequence in self._waiting if sequence.key != key]
        if key in self._running:
            self._leave(self._running[key])
        self._refill()
        self._plan()
        return made

    def die(self) -> None:
        """Lose everything."""
        self._advance()
        self.dead = True
        sequences = [*self._running.values(), *self._waiting]
        made = {s.key: self._made(s) for s in self._running.values()}
        self._running.clear()
        self._waiting.clear()
        for sequence in sequences:
            sequence.on_end(False, int(made.get(sequence.key, sequence.made)))

    def stall(self, until: float) -> None:
        """Make no progress until a time."""
        self._advance()
        self.stalled_until = until
        self._plan()

    def _step_s(self) -> float:
        base = self.fact.step_s * STEP_BASE_SHARE
        slope = self.fact.step_s * (1.0 - STEP_BASE_SHARE) / self.fact.slots
        return base + slope * len(self._running)

    def _advance(self) -> None:
        now = self.loop.now
        start = min(now, max(self._at, self.stalled_until))
        if self._running:
            self._steps += (now - start) / self._step_s()
        self._at = now

    def _made(self, sequence: Sequence) -> float:
        return sequence.made + self._steps - sequence.joined_at_step

    def _has_room(self, sequence: Sequence) -> bool:
        used = self._kv_fixed + len(self._running) * self._steps
        needed = sequence.prompt_tokens + sequence.made
        return len(self._running) < self.fact.slots and used + needed <= self.fact.kv_tokens

    def _join(self, sequence: Sequence) -> None:
        sequence.joined_at_step = self._steps
        self._running[sequence.key] = sequence
        self._kv_fixed += sequence.prompt_tokens + sequence.made - self._steps
        end = self._steps + sequence.output_tokens - sequence.made
        heapq.heappush(self._ends, (end, sequence.key))

    def _leave(self, sequence: Sequence) -> None:
        del self._running[sequence.key]
        self._kv_fixed -= sequence.prompt_tokens + sequence.made - sequence.joined_at_step
        if not self._running:
            self._kv_fixed = 0.0

    def _refill(self) -> None:
        while self._waiting and self._has_room(self._waiting[0]):
            self._join(self._waiting.pop(0))

    def _plan(self) -> None:
        """Set a callback for the next end, first token or full memory, whichever comes first."""
        self._version += 1
        if not self._running or self.dead:
            return
        steps = self._steps_to_next()
        start = max(self.loop.now, self.stalled_until)
        version = self._version
        self.loop.at(start + steps * self._step_s(), lambda: self._wake(version))

    def _steps_to_next(self) -> float:
        while self._ends:
            end, key = self._ends[0]
            sequence = self._running.get(key)
            if sequence is not None and self._end_of(sequence) == end:
                break
            heapq.heappop(self._ends)
        steps = self._ends[0][0] - self._steps
        room = self.fact.kv_tokens - self._kv_fixed - len(self._running) * self._steps
        steps = min(steps, max(0.0, room / len(self._running)))
        for sequence in self._fresh():
            steps = min(steps, 1.0 - self._made(sequence))
        return max(1e-6, steps)

    def _end_of(self, sequence: Sequence) -> float:
        return sequence.joined_at_step + sequence.output_tokens - sequence.made

    def _fresh(self) -> list[Sequence]:
        newest = list(self._running.values())[-8:]
        return [sequence for sequence in newest if not sequence.first_given]

    def _wake(self, version: int) -> None:
        if version != self._version or self.dead:
            return
        self._advance()
        for sequence in self._fresh():
            if self._made(sequence) >= 1.0 - 1e-3:
                sequence.first_given = True
                sequence.on_first()
        self._end_finished()
        self._pause_overflow()
        self._refill()
        self._plan()

    def _end_finished(self) -> None:
        while self._ends and self._ends[0][0] <= self._steps + 1e-3:
            end, key = heapq.heappop(self._ends)
            sequence = self._running.get(key)
            if sequence is None or self._end_of(sequence) != end:
                continue
            self._leave(sequence)
            if not sequence.first_given:
                sequence.first_given = True
                sequence.on_first()
            sequence.on_end(True, sequence.output_tokens)

    def _pause_overflow(self) -> None:
        while len(self._running) > 1:
            used = self._kv_fixed + len(self._running) * self._steps
            if used < self.fact.kv_tokens - 1e-3:
                return
            newest = next(reversed(self._running.values()))
            made = self._made(newest)
            self._leave(newest)
            newest.made = made
            self.pauses += 1
            self._waiting.insert(0, newest)
