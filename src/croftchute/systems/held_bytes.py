"""The bytes that a box holds for callers that read slowly, their bounds, and who exceeds them.

An answer that is left unread is cut off by its worker after some seconds, so the box reads on and
holds what the caller has not read. Each answer has a bound, beyond which its worker is not read;
all together have another, beyond which the answer that holds the most is ended.
"""

from __future__ import annotations

import math
from dataclasses import dataclass

BYTES_PER_MB = 1_000_000
"""Bytes in a megabyte of the settings: the smaller of the two usual meanings."""

HELD_MEMORY_SHARE = 0.25
"""Share of a box's memory for held bytes: the program itself needs most of the smallest boxes'."""

MAX_STREAM_BYTES = 256 * 1024
"""Most bytes held for one answer: several times a stream of 630 tokens with its framing."""


@dataclass(frozen=True, kw_only=True, slots=True)
class HeldBounds:
    """The most bytes held for all callers together, and for one answer."""

    box_bytes: int
    stream_bytes: int = MAX_STREAM_BYTES

    @classmethod
    def of_memory(cls, memory_mb: float) -> HeldBounds | None:
        """The bounds of a box with some memory in MB; None if the figure tells nothing.

        >>> HeldBounds.of_memory(136.0)
        HeldBounds(box_bytes=34000000, stream_bytes=262144)
        >>> HeldBounds.of_memory(0.0) is None
        True
        """
        if not math.isfinite(memory_mb) or memory_mb <= 0.0:
            return None
        return cls(box_bytes=int(memory_mb * BYTES_PER_MB * HELD_MEMORY_SHARE))


@dataclass(frozen=True, kw_only=True, slots=True)
class EndedStream:
    """An answer that is to be ended, and what decided it.

    ``held_bytes`` and ``held_in_all`` are in bytes and include the answer; ``box_bound`` and
    ``stream_bound`` are the bounds at that time; ``age_s`` is for how long the answer has had
    held bytes.
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
    """What is held for one answer, and since when there has been anything."""

    size: int
    since: float


class HeldBytes:
    """The bytes held by answer, which are known by numbers, and in all.

    Without bounds nothing is ended.
    """

    def __init__(self, *, bounds: HeldBounds | None) -> None:
        self.bounds = bounds
        self.total = 0
        self._by_stream: dict[int, _StreamUsage] = {}

    @property
    def open_streams(self) -> int:
        """How many answers are open."""
        return len(self._by_stream)

    @property
    def stream_bound(self) -> int:
        """The most bytes to hold for one answer while as many are open as now."""
        bounds = self.bounds
        if bounds is None:
            return MAX_STREAM_BYTES
        return min(bounds.stream_bytes, bounds.box_bytes // max(1, self.open_streams))

    def held(self, stream: int) -> int:
        """The bytes held for an answer; 0 if it is not open."""
        usage = self._by_stream.get(stream)
        return usage.size if usage is not None else 0

    def open(self, stream: int, now: float) -> None:
        """An answer has begun; nothing is held for it yet."""
        self._by_stream.setdefault(stream, _StreamUsage(size=0, since=now))

    def close(self, stream: int) -> None:
        """An answer has ended, or its caller has left: nothing is held for it any more."""
        usage = self._by_stream.pop(stream, None)
        if usage is not None:
            self.total -= usage.size

    def set_size(self, stream: int, size: int, now: float) -> None:
        """So many bytes are held for an answer now; no change for one that is not open."""
        usage = self._by_stream.get(stream)
        if usage is None or size < 0:
            return
        if usage.size == 0:
            usage.since = now
        self.total += size - usage.size
        usage.size = size

    @property
    def exceeds_bound(self) -> bool:
        """Whether all answers together hold more than the box's bound."""
        return self.bounds is not None and self.total > self.bounds.box_bytes

    def end_largest(self, now: float) -> EndedStream | None:
        """Close the answer that holds the most if the box's bound is exceeded, else None.

        Of equals it is the one that was opened first. As the answer that grew last is among the
        candidates, ending one is enough unless the bounds were lowered.
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
            age_s=now - usage.since,
        )
        self.close(stream)
        return ended
