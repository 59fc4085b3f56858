"""The order of all news of one worker, whichever source a box has them from.

A listing, a watch, a relay and another box's list say the same of a worker, but not in the order in
which it came about. Within an era of the store positions order news. A store that comes back from
an older copy begins a new era and may list lives that have ended; such entries are newer by their
position alone.
"""

from __future__ import annotations

from dataclasses import dataclass, replace

from croftchute.storage.position import era_of, revision_of
from croftchute.tables.routing import Worker

MAX_EARLIER = 16
"""Most earlier lives of a worker that are remembered."""


@dataclass(frozen=True, kw_only=True, slots=True)
class WorkerLife:
    """One life of a worker, from its start to its end.

    ``born_ms`` is the Unix time of its start in ms, None if it reports none.
    """

    id: str
    build: str
    born_ms: int | None = None

    @classmethod
    def of(cls, worker: Worker) -> WorkerLife:
        """Return the life that an entry names."""
        return cls(id=worker.id, build=worker.build, born_ms=worker.born_ms)

    def is_before(self, other: WorkerLife) -> bool:
        """Return whether this life began before another one of the same worker, if that is known.

        A worker that reports its start once does so in all later lives.

        >>> WorkerLife(id="a@1", build="v1", born_ms=1).is_before(
        ...     WorkerLife(id="a@2", build="v1", born_ms=2)
        ... )
        True
        """
        if other.born_ms is None:
            return False
        return self.born_ms is None or self.born_ms < other.born_ms


@dataclass(frozen=True, kw_only=True, slots=True)
class WorkerNews:
    """What a source says of a worker: the life that its entry names, or that no entry is left.

    ``at`` is the position of the entry, or up to which the source misses nothing if there is none.
    ``may_be_copied``: the entry may have come with an older copy of the store. ``copied_to`` is the
    highest revision that the box knows of the eras before the one that the copy replaced, as the
    copy may be of one of these.
    """

    at: int
    life: WorkerLife | None = None
    may_be_copied: bool = False
    copied_to: int = 0


@dataclass(frozen=True, kw_only=True, slots=True)
class WorkerRecord:
    """The newest that is known of a worker.

    ``life`` is the one listed last, by an entry at ``entry_at``, and ``first_at`` is where it was
    listed first. ``at`` is the position of the newest news, which is later than ``entry_at`` if the
    entry was removed. ``earlier`` are the lives that it replaced, the latest last.
    """

    life: WorkerLife
    entry_at: int
    first_at: int
    at: int
    is_removed: bool = False
    earlier: tuple[WorkerLife, ...] = ()

    @classmethod
    def first(cls, life: WorkerLife, at: int) -> WorkerRecord:
        """Return the record of a worker that is listed for the first time."""
        return cls(life=life, entry_at=at, first_at=at, at=at)

    def is_superseded_by(self, news: WorkerNews) -> bool:
        """Return whether news are at least as new as what is known.

        >>> record = WorkerRecord.first(WorkerLife(id="a", build="v1"), 7)
        >>> record.is_superseded_by(WorkerNews(at=6)), record.is_superseded_by(WorkerNews(at=8))
        (False, True)
        """
        if news.at == self.at and not self.is_removed:
            return True
        if news.at <= self.at:
            return False
        if news.life is None:
            return True
        if news.life == self.life:
            return not (self.is_removed and _came_with_copy(news, self.entry_at, is_there=True))
        if news.life.is_before(self.life):
            return not (news.may_be_copied or news.life in self.earlier)
        if news.life in self.earlier:
            return not _came_with_copy(news, self.first_at, is_there=False)
        return True

    def listed(self, news: WorkerNews, life: WorkerLife) -> WorkerRecord:
        """Return the record after an entry that supersedes this one."""
        if life == self.life:
            return replace(self, entry_at=news.at, at=news.at, is_removed=False)
        known = dict.fromkeys((*self.earlier, self.life))
        known.pop(life, None)
        earlier = tuple(known)[-MAX_EARLIER:]
        return WorkerRecord(
            life=life, entry_at=news.at, first_at=news.at, at=news.at, earlier=earlier
        )

    def removed(self, at: int) -> WorkerRecord:
        """Return the record after the entry was removed."""
        return replace(self, at=max(at, self.at), is_removed=True)


def _came_with_copy(news: WorkerNews, known_at: int, *, is_there: bool) -> bool:
    """Return whether an entry of a new era was written before it.

    The copy is older than the entry that is known at ``known_at``, or has it (``is_there``), which
    bounds the revisions in it. Entries that are written in the new era get higher ones.
    """
    if not news.may_be_copied or era_of(news.at) <= era_of(known_at):
        return False
    bound = revision_of(known_at) if is_there else revision_of(known_at) - 1
    return revision_of(news.at) <= max(bound, news.copied_to)
