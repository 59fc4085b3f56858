"""Virtual time: a heap of callbacks, run in order."""

from __future__ import annotations

import heapq
import itertools
from collections.abc import Callable

Callback = Callable[[], None]


class EventLoop:
    """Runs callbacks at virtual times; equal times run in the order they were set."""

    def __init__(self) -> None:
        self.now = 0.0
        self._heap: list[tuple[float, int, Callback]] = []
        self._order = itertools.count()

    def at(self, when: float, callback: Callback) -> None:
        """Run a callback at a time, not before now."""
        heapq.heappush(self._heap, (max(when, self.now), next(self._order), callback))

    def after(self, delay: float, callback: Callback) -> None:
        """Run a callback after a delay."""
        self.at(self.now + delay, callback)

    def run(self, until: float) -> None:
        """Run all callbacks up to a time."""
        while self._heap and self._heap[0][0] <= until:
            self.now, _, callback = heapq.heappop(self._heap)
            callback()
        self.now = max(self.now, until)
