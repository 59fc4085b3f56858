"""Limits on the bytes that a box buffers for callers that read slowly.

A worker cuts off an answer that is left unread for some seconds. The box therefore reads on and
holds what the caller has not read yet. Each answer has a bound: at the bound its worker is not read
any further. All answers together have a bound as well: above it the answer that holds the most
bytes is ended.
"""

from __future__ import annotations

import math
from dataclasses import dataclass

BYTES_PER_MB = 1_000_000
"""Bytes in a megabyte of the settings: the decimal one, which is smaller than 2**20."""

HELD_MEMORY_SHARE = 0.25
"""Share of a box's memory for held bytes: on the smallest boxes the program itself needs most of
it."""

MAX_STREAM_BYTES = 256 * 1024
"""Most bytes held for one answer: several times a stream of 630 tokens with its framing."""


@dataclass(frozen=True, kw_only=True, slots=True)
class HeldBounds:
    """Bounds in bytes for all callers of a box together, and for one answer."""

    box_bytes: int
    stream_bytes: int = MAX_STREAM_BYTES

    @classmethod
    def from_memory_mb(cls, memory_mb: float) -> HeldBounds | None:
        """Return the bounds of a box with ``memory_mb`` MB, or None if the value is unusable.

        >>> HeldBounds.from_memory_mb(136.0)
        HeldBounds(box_bytes=34000000, stream_bytes=262144)
        >>> HeldBounds.from_memory_mb(0.0) is None
        True
        """
        if not math.isfinite(memory_mb) or memory_mb <= 0.0:
            return None
        return cls(box_bytes=int(memory_mb * BYTES_PER_MB * HELD_MEMORY_SHARE))


@dataclass(frozen=True, kw_only=True, slots=True)
class EndedStream:
    """An answer that has been ended, with the values that led to it.

    ``held_bytes`` and ``held_in_all`` include the answer. ``box_bound`` and ``stream_bound`` are
    the bounds in bytes at that time. ``age_s`` is how long the answer has had held bytes without a
    break.
    """

    stream: int
    held_bytes: int
    held_in_all: int
    box_bound: int
    stream_bound: int
    open_streams: int
    age_s: float


@dataclass(kw_only=True, slots=True)
class _StreamUsage:
    """Bytes held for one answer, and the time since which it has had any without a break."""

    size: int
    held_since: float


class HeldBytes:
    """Count of the bytes held per answer and in total.

    ``stream`` is the number of an answer in all methods.

    Without bounds no answer is ended.
    """

    def __init__(self, *, bounds: HeldBounds | None) -> None:
        self.bounds = bounds
        self.total = 0
        self._by_stream: dict[int, _StreamUsage] = {}

    @property
    def open_streams(self) -> int:
        """Number of open answers."""
        return len(self._by_stream)

    @property
    def stream_bound(self) -> int:
        """Most bytes to hold for one answer, given the number of open answers."""
        bounds = self.bounds
        if bounds is None:
            return MAX_STREAM_BYTES
        return min(bounds.stream_bytes, bounds.box_bytes // max(1, self.open_streams))

    def size(self, stream: int) -> int:
        """Return the bytes held for an answer; 0 if it is not open."""
        usage = self._by_stream.get(stream)
        return usage.size if usage is not None else 0

    def open(self, stream: int, now: float) -> None:
        """Start counting an answer, with nothing held for it yet."""
        self._by_stream.setdefault(stream, _StreamUsage(size=0, held_since=now))

    def close(self, stream: int) -> None:
        """Stop counting an answer that has ended or whose caller has left."""
        usage = self._by_stream.pop(stream, None)
        if usage is not None:
            self.total -= usage.size

    def set_size(self, stream: int, size: int, now: float) -> None:
        """Set the bytes held for an answer; ignored if the answer is not open."""
        usage = self._by_stream.get(stream)
        if usage is None or size < 0:
            return
        if usage.size == 0:
            usage.held_since = now
        self.total += size - usage.size
        usage.size = size

    @property
    def exceeds_bound(self) -> bool:
        """Whether all answers together hold more than the box's bound."""
        return self.bounds is not None and self.total > self.bounds.box_bytes

    def end_largest(self, now: float) -> EndedStream | None:
        """Close and return the largest answer, or None if the box's bound is not exceeded.

        Of equal answers it closes the one that was opened first. The answer that grew last is among
        the candidates, so ending one is enough unless the bounds were lowered.
        """
        bounds = self.bounds
        if bounds is None or not self.exceeds_bound:
            return None
        stream, usage = max(self._by_stream.items(), key=lambda item: item[1].size)
        ended = EndedStream(
            stream=stream,
            held_bytes=usage.size,
            held_in_all=self.total,
            box_bound=bounds.box_bytes,
            stream_bound=self.stream_bound,
            open_streams=self.open_streams,
            age_s=now - usage.held_since,
        )
        self.close(stream)
        return ended
