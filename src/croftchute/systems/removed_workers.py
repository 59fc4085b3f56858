"""Worker entries that were removed, and may come back with an older copy of the store.

The copy still has the entry of a worker whose removal it does not know. The worker is leaving all
the same, until the removal is written again.
"""

from __future__ import annotations

from dataclasses import dataclass

from croftchute.storage.position import era_of
from croftchute.storage.watched import StoredItem
from croftchute.systems.worker_news import WorkerNews, WorkerRecord
from croftchute.tables.routing import Worker

REMOVED_TTL_S = 30.0
"""Seconds for which a removed entry is not believed again. Writers repeat within a few seconds what
a copy of the store has lost, and a worker that was removed serves on for some seconds."""

MAX_REMOVED = 4096
"""Most removed entries that are remembered: nearly twice the workers that docs/CAPACITY.md
derives."""


@dataclass(kw_only=True, slots=True)
class _Removed:
    record: WorkerRecord
    at: float
    came_back: tuple[Worker, StoredItem] | None = None


class RemovedWorkers:
    """The entries that were removed on purpose, by their name in the list, the oldest first."""

    def __init__(self) -> None:
        self._removed_by_name: dict[str, _Removed] = {}

    def note_removed(self, name: str, record: WorkerRecord, now: float) -> None:
        """Remember a worker whose entry is gone."""
        self._removed_by_name.pop(name, None)
        if len(self._removed_by_name) >= MAX_REMOVED:
            del self._removed_by_name[next(iter(self._removed_by_name))]
        self._removed_by_name[name] = _Removed(record=record, at=now)

    def note_missing(self, name: str) -> None:
        """An entry that came back is gone again."""
        removed = self._removed_by_name.get(name)
        if removed is not None:
            removed.came_back = None

    def names_returned(self) -> list[str]:
        """Return the names of the entries that came back and are not believed."""
        return [name for name, found in self._removed_by_name.items() if found.came_back]

    def record_of(self, name: str) -> WorkerRecord | None:
        """Return what is known of a worker that was removed lately."""
        removed = self._removed_by_name.get(name)
        return removed.record if removed is not None else None

    def withholds(self, worker: Worker, item: StoredItem, news: WorkerNews, now: float) -> bool:
        """Return whether an entry is older than the removal of its worker."""
        removed = self._removed_by_name.get(worker.list_name)
        if removed is None:
            return False
        if now - removed.at > REMOVED_TTL_S or removed.record.is_superseded_by(news):
            del self._removed_by_name[worker.list_name]
            return False
        if era_of(news.at) > era_of(removed.record.at):
            removed.came_back = (worker, item)
        return True

    def take_expired(self, now: float) -> list[tuple[Worker, StoredItem]]:
        """Forget what was removed long ago; return the entries among it that are listed."""
        old = [
            name
            for name, removed in self._removed_by_name.items()
            if now - removed.at > REMOVED_TTL_S
        ]
        found = [self._removed_by_name.pop(name).came_back for name in old]
        return [each for each in found if each is not None]
