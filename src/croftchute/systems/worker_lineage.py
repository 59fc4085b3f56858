"""Which instances of a worker came before the one that is listed now.

A store that comes back from an older copy begins a new era, and may name an instance that has ended
since. Its entry is newer by era than that of the instance which serves.
"""

from __future__ import annotations

from dataclasses import dataclass

from croftchute.storage.position import era_of, revision_of
from croftchute.tables.routing import Worker

MAX_EARLIER = 16
"""Most earlier instances of a worker that are remembered."""


@dataclass(frozen=True, kw_only=True, slots=True)
class WorkerLineage:
    """Where an instance of a worker was listed first, and the instances that it replaced.

    ``first_at`` is a position in the store's history, 0 if unknown; ``earlier`` are pairs of id and
    build, the latest last.
    """

    first_at: int = 0
    earlier: tuple[tuple[str, str], ...] = ()

    def extended(self, ended: Worker, worker: Worker, *, first_at: int) -> WorkerLineage:
        """Return the lineage of an instance that takes the place of ``ended``, whose this one is.

        >>> old = Worker(id="a@1", service="s", host="h", port=1, zone="z")
        >>> new = Worker(id="a@2", service="s", host="h", port=1, zone="z")
        >>> WorkerLineage(first_at=4).extended(old, new, first_at=9).earlier
        (('a@1', '?a@1'),)
        """
        known = dict.fromkeys((*self.earlier, _identity(ended)))
        known.pop(_identity(worker), None)
        return WorkerLineage(first_at=first_at, earlier=tuple(known)[-MAX_EARLIER:])

    def is_outdated(self, entry: Worker, at: int, *, current: Worker) -> bool:
        """Return whether an entry written at a position names an instance before ``current``.

        A new era gives out revisions again from that of the copy on, so a lower revision alone
        doesn't show that an entry came with the copy.
        """
        if era_of(at) <= era_of(self.first_at) or revision_of(at) >= revision_of(self.first_at):
            return False
        return _identity(entry) in self.earlier or _is_born_before(entry, current)


def _identity(worker: Worker) -> tuple[str, str]:
    return worker.id, worker.build


def _is_born_before(worker: Worker, other: Worker) -> bool:
    if worker.born_ms is None or other.born_ms is None:
        return False
    return worker.born_ms < other.born_ms
