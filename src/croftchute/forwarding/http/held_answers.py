"""The answers of a box that hold bytes for callers, and the end of the one that holds most."""

from __future__ import annotations

import itertools
from collections.abc import Callable
from typing import Protocol

from croftchute.systems.held_bytes import EndedStream, HeldBounds, HeldBytes

OnEnded = Callable[[str, EndedStream], None]
"""Told of an answer that was ended: the request's id, empty if it is not known, and the facts."""


class HeldAnswer(Protocol):
    """What writes one answer, as far as its bytes are counted."""

    request_id: str

    @property
    def size(self) -> int:
        """Bytes held for the answer now."""
        ...

    def cut_off(self) -> None:
        """Break the connection off, so that the answer cannot look whole."""
        ...


class HeldAnswers:
    """All answers of a box that have begun and are not with their callers yet.

    ``memory_mb`` is the memory of the box, 0 if it is not known: then answers are not bounded.
    """

    def __init__(
        self,
        *,
        memory_mb: float,
        clock: Callable[[], float],
        on_ended: OnEnded = lambda *_: None,
    ) -> None:
        self.clock = clock
        self.on_ended = on_ended
        self.count = HeldBytes(bounds=HeldBounds.from_memory_mb(memory_mb))
        self._answers_by_number: dict[int, HeldAnswer] = {}
        self._numbers = itertools.count(1)

    @property
    def is_bounded(self) -> bool:
        """Whether answers that begin now are bounded."""
        return self.count.bounds is not None

    def set_memory(self, memory_mb: float) -> None:
        """The settings were read again; what holds too much by the new bounds is ended."""
        self.count.bounds = HeldBounds.from_memory_mb(memory_mb)
        self._end_largest()

    def open(self, answer: HeldAnswer) -> int:
        """An answer begins; returns its number."""
        number = next(self._numbers)
        self._answers_by_number[number] = answer
        self.count.open(number, self.clock())
        return number

    def note(self, number: int, size: int) -> None:
        """So many bytes are held for an answer now; may end it, or another one."""
        self.count.set_size(number, size, self.clock())
        self._end_largest()

    def close(self, number: int) -> None:
        """The answer is with its caller, or the caller has left."""
        self.count.close(number)
        self._answers_by_number.pop(number, None)

    def _end_largest(self) -> None:
        if not self.count.exceeds_bound:
            return
        now = self.clock()
        for number, answer in self._answers_by_number.items():
            # A transport does not tell of each part that it has sent.
            self.count.set_size(number, answer.size, now)
        while (ended := self.count.end_largest(now)) is not None:
            answer = self._answers_by_number.pop(ended.stream)
            self.on_ended(answer.request_id, ended)
            answer.cut_off()
