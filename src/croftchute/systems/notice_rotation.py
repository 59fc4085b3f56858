"""Chooses which records go with each periodic notice, so that all of them come round."""

from __future__ import annotations

from collections.abc import Callable, Sequence
from dataclasses import dataclass
from typing import TypeVar

Notice = TypeVar("Notice")


@dataclass(kw_only=True)
class NoticeRotation:
    """Gives one important record each time, and the next few of all records.

    >>> rotation = NoticeRotation()
    >>> [rotation.choose(["b"], ["a", "b", "c"], lambda name: [name], 2) for _ in range(3)]
    [['b', 'a'], ['b', 'c'], ['b', 'a']]
    """

    _next_important: int = 0
    _next_record: int = 0

    def choose(
        self,
        important: Sequence[str],
        names: Sequence[str],
        notices_of: Callable[[str], list[Notice]],
        most: int,
    ) -> list[Notice]:
        """Return the notices of some records, which are told whole.

        ``most`` is how many notices there should be. The next record is told even if it does not
        fit: it would never be told otherwise, nor those behind it.
        """
        found: list[Notice] = []
        told = ""
        if important:
            told = important[self._next_important % len(important)]
            self._next_important += 1
            found = notices_of(told)
        others = 0
        for _ in names:
            name = names[self._next_record % len(names)]
            notices = notices_of(name) if name != told else []
            if others and len(found) + len(notices) > most:
                break
            found += notices
            others += name != told
            self._next_record += 1
        return found
