"""The router's table of workers: listed state, own requests and recent failures.

The table does no I/O and takes the current time as an argument. Times are seconds of a monotonic
clock.
"""

from __future__ import annotations

import math
from collections import Counter
from collections.abc import Collection
from dataclasses import dataclass, field

from croftchute.storage.position import era_of, revision_of
from croftchute.storage.watched import StoredItem
from croftchute.systems.removed_workers import RemovedWorkers
from croftchute.systems.software_history import SoftwareHistory
from croftchute.systems.tracked_worker import GONE_GRACE_S, TrackedWorker
from croftchute.systems.worker_advice import WorkerAdviceTable
from croftchute.systems.worker_limits import WorkerLimits
from croftchute.systems.worker_news import WorkerLife, WorkerNews, WorkerRecord
from croftchute.tables.routing import Stage, Worker, WorkerState

LATENCY_EWMA_WEIGHT = 0.3
"""Weight of the newest answer in a worker's moving average of latency, which follows a change
within a few answers."""

GAP_EWMA_WEIGHT = 0.1
"""Weight of the newest gap in a worker's moving average of gaps between stream chunks, which
follows a change within about ten gaps."""

MAX_FAILURE_SCORE = 8.0
"""Upper bound of a failure score, to limit recovery time: less than a tenth of the score is left
after four half-lives."""

MASS_EXPIRY_GRACE_S = 2.0
"""Seconds for which workers stay usable after their entries expired together. Live workers register
again within about two seconds."""

MASS_EXPIRY_RATIO = 0.5
"""Share of a service's entries that must disappear at once to count as a mass expiry."""

MIN_MASS_EXPIRY = 2
"""Fewest entries that count as a mass expiry; a single entry that disappears means that its worker
left."""

MAX_LIST_AGE_S = 5.0
"""Seconds since the store was last heard after which workers may have been listed unseen. A watch
is answered within two seconds."""

STAGE_CHANGE_DEDUP_S = 15.0
"""Seconds for which repeated reports of the same stage change count as one. A change is complete
within ten seconds, so a later report is a new change."""

MAX_REPORTED_REQUESTS = 1_000_000
"""Largest number of running or waiting requests accepted from a worker's load report; larger values
are ignored as invalid."""

UNREACHABLE_S = 1.5
"""Seconds for which a worker is avoided, where possible, after a connection to it failed. Each
attempt costs a caller the time of one connection, and network cuts and crashes last for some
seconds."""


@dataclass(frozen=True, kw_only=True, slots=True)
class _WorkersByAvailability:
    """The workers of a service: usable, last resort, in backoff, or at their own limit.

    Workers ``at_limit`` have reached the limit that they set for all boxes together.
    """

    listed: list[TrackedWorker] = field(default_factory=list)
    last_resorts: list[TrackedWorker] = field(default_factory=list)
    in_backoff: list[TrackedWorker] = field(default_factory=list)
    at_limit: list[TrackedWorker] = field(default_factory=list)


@dataclass(kw_only=True)
class WorkerTable:
    """All known worker instances by id.

    ``revision`` is the store's revision of the newest change; ``known_to`` is the revision up to
    which no change is missing, that of a removal among them; ``heard_at`` is when the store last
    sent a listing or changes. ``copied_to`` is the highest revision known of the eras before the
    last one, and ``listed_to`` that of the first listing of the present one.
    ``mass_expiry_grace_s`` is how long workers stay usable after their entries expired together, as
    happens after a store outage: live workers register again within about two seconds.
    """

    revision: int = 0
    known_to: int = 0
    copied_to: int = 0
    listed_to: int = 0
    heard_at: float = 0.0
    mass_expiry_grace_s: float = MASS_EXPIRY_GRACE_S
    tracked_by_id: dict[str, TrackedWorker] = field(default_factory=dict)
    advice: WorkerAdviceTable = field(default_factory=WorkerAdviceTable)
    limits: WorkerLimits = field(default_factory=WorkerLimits)
    history: SoftwareHistory = field(default_factory=SoftwareHistory)
    removed: RemovedWorkers = field(default_factory=RemovedWorkers)
    _tracked_by_service: dict[str, dict[str, TrackedWorker]] = field(default_factory=dict)
    _current_by_name: dict[str, TrackedWorker] = field(default_factory=dict)
    _ended: list[Worker] = field(default_factory=list)

    def upsert(self, worker: Worker, now: float, item: StoredItem | None = None) -> bool:
        """Add or update a listed worker; return True if anything but its age changed.

        News older than those known of the worker are ignored, from whichever source they come.
        """
        current = self._current_by_name.get(worker.list_name)
        record = None
        if item is not None:
            news = self._news_of(worker, item)
            if self.removed.withholds(worker, item, news, now):
                return False
            if not self._is_new(news, current):
                return False
            record = _record_after(news, WorkerLife.of(worker), current)
        return self._list(worker, now, item, record)

    def _news_of(self, worker: Worker, item: StoredItem) -> WorkerNews:
        is_first_listing = era_of(item.revision) > era_of(self.revision)
        if is_first_listing:
            self.listed_to = max(self.listed_to, item.revision)
        return WorkerNews(
            at=item.revision,
            life=WorkerLife.of(worker),
            may_be_copied=is_first_listing or item.revision <= self.listed_to,
            copied_to=self.copied_to,
        )

    def _is_new(self, news: WorkerNews, current: TrackedWorker | None) -> bool:
        """Return whether news of an entry are newer than all that is known of the worker.

        Up to ``known_to`` no entry is missing: one that is not listed was removed.
        """
        is_listed = current is not None and current.gone_at is None
        if not is_listed and news.at <= self.known_to:
            return False
        if current is None or current.record is None:
            return True
        return current.record.is_superseded_by(news)

    def _list(
        self,
        worker: Worker,
        now: float,
        item: StoredItem | None,
        record: WorkerRecord | None,
    ) -> bool:
        """Take in an entry; return True if anything but its age changed."""
        current = self._current_by_name.get(worker.list_name)
        self.history.note_listed(worker, now)
        if current is not None and current.worker.build != worker.build:
            # What a worker of other software under this id wanted does not hold for this one.
            self.advice.forget(worker.id)
            self.limits.by_id.pop(worker.id, None)
        if worker.state is WorkerState.DRAINING:
            # The entry doesn't say since when, so the worker may no longer accept last-resort work.
            self.advice.note_leaving(worker.id, now, known_for_s=math.inf)
        if current is not None and current.worker.id != worker.id:
            self._mark_restarted(current, now)
        tracked = self.tracked_by_id.get(worker.id)
        if tracked is not None and tracked.worker.build != worker.build:
            self._replace(tracked, worker, now, item, record)
            return True
        if tracked is None:
            self._add(TrackedWorker(worker=worker, listed_at=now, item=item, record=record))
            return True
        self._current_by_name[worker.list_name] = tracked
        tracked.item = item
        tracked.record = record
        is_changed = (
            tracked.worker != worker or tracked.gone_at is not None or tracked.is_unreadable
        )
        if tracked.worker.service != worker.service:
            del self._tracked_by_service[tracked.worker.service][worker.id]
            self._tracked_by_service.setdefault(worker.service, {})[worker.id] = tracked
        if tracked.worker.stage is not worker.stage:
            tracked.changing_to = None
            tracked.changing_until = 0.0
        tracked.worker = worker
        tracked.listed_at = now
        tracked.gone_at = None
        tracked.has_ended = False
        tracked.is_unreadable = False
        tracked.is_mass_expired = False
        if is_changed and tracked.displaced:
            tracked.displaced = False
            tracked.failures = 0.0
        return is_changed

    def note_unreadable(self, name: str, item: StoredItem) -> bool:
        """Stop sending new work to a worker whose newest entry can't be parsed.

        A later valid entry makes it usable again. Returns True if the worker was in use until now.
        """
        current = self._current_by_name.get(name)
        if current is None or (current.item is not None and item.revision < current.item.revision):
            return False
        current.item = item
        was_readable = not current.is_unreadable
        current.is_unreadable = True
        return was_readable and current.gone_at is None

    def take_ended(self) -> list[Worker]:
        """Return the instances that were replaced by a restart since the last call."""
        ended, self._ended = self._ended, []
        return ended

    def note_known(self, revision: int, *, known_to: int) -> None:
        """Record up to where the news that were taken in reach."""
        if era_of(revision) > era_of(self.revision):
            self.copied_to = max(self.copied_to, revision_of(self.known_to))
        self.revision = max(self.revision, revision)
        self.known_to = max(self.known_to, self.revision, known_to)

    def remove(
        self,
        names: Collection[str],
        now: float,
        *,
        at: int | None = None,
        is_mass_expiry: bool = False,
    ) -> list[str]:
        """Mark workers as removed from the list; they are forgotten after a grace period.

        ``at`` is the position up to which the source of the removals misses nothing; entries that
        were written later stay.

        If two or more entries, and at least half of a service's, disappear at once, or with
        ``is_mass_expiry``, they are taken as expired and not as removed on purpose. Returns the ids
        of the removed instances.
        """
        for name in names:
            self.removed.note_missing(name)
        known = (self._current_by_name.get(name) for name in names)
        gone = [
            tracked
            for tracked in known
            if tracked is not None and tracked.gone_at is None and _is_removed(tracked, at)
        ]
        gone_by_service = Counter(tracked.worker.service for tracked in gone)
        expired_services = {
            service for service, n in gone_by_service.items() if self._is_mass_expiry(service, n)
        }
        for tracked in gone:
            tracked.gone_at = now
            tracked.is_mass_expired = is_mass_expiry or tracked.worker.service in expired_services
            if not tracked.is_mass_expired and tracked.record is not None:
                tracked.record = tracked.record.removed(tracked.record.at if at is None else at)
                self.removed.note_removed(tracked.worker.list_name, tracked.record, now)
        return [tracked.worker.id for tracked in gone]

    def keep_only(
        self,
        names: set[str],
        now: float,
        *,
        at: int | None = None,
        is_mass_expiry: bool = False,
    ) -> list[str]:
        """Mark all workers that a complete listing did not contain as removed; return their ids.

        ``is_mass_expiry``: the store was restored from an older copy, so live workers register
        again.
        """
        self.history.note_followed(now)
        known = [*self._current_by_name, *self.removed.names_returned()]
        unnamed = [name for name in known if name not in names]
        return self.remove(unnamed, now, at=at, is_mass_expiry=is_mass_expiry)

    def is_mass_expired(self, worker_id: str) -> bool:
        """Return whether a worker's entry expired together with others of its service."""
        tracked = self.tracked_by_id.get(worker_id)
        return tracked is not None and tracked.is_mass_expired

    def sweep(self, now: float) -> list[str]:
        """Forget workers that left the list some time ago and run none of this box's requests."""
        old = [
            worker_id
            for worker_id, tracked in self.tracked_by_id.items()
            if tracked.gone_at is not None
            and now - tracked.gone_at > tracked.grace_s(self.mass_expiry_grace_s)
            and tracked.in_flight == 0
        ]
        for worker_id in old:
            tracked = self.tracked_by_id.pop(worker_id)
            self.history.note_listed(tracked.worker, now)
            del self._tracked_by_service[tracked.worker.service][worker_id]
            if self._current_by_name.get(tracked.worker.list_name) is tracked:
                del self._current_by_name[tracked.worker.list_name]
        for worker, item in self.removed.take_expired(now):
            record = WorkerRecord.first(WorkerLife.of(worker), item.revision)
            self._list(worker, now, item, record)
        self.history.sweep(now)
        self.advice.sweep(now, listed=self.tracked_by_id)
        return old

    def usable(
        self, service: str, now: float, *, stage: Stage | None = None, build: str | None = None
    ) -> list[TrackedWorker]:
        """Return the workers that new work may go to, of any build or of ``build`` alone.

        Workers that are leaving, were just removed or are in backoff are returned only if no other
        is left. Workers whose entries expired together count as listed; otherwise all boxes would
        send their work to the first one that registers again.
        """
        by_availability = self._by_availability(service, now, stage, build)
        if by_availability.listed or by_availability.last_resorts:
            return by_availability.listed or by_availability.last_resorts
        # A stream needs two requests but a backoff allows one, so engines in backoff get none.
        return [
            tracked
            for tracked in by_availability.in_backoff
            if tracked.worker.stage is None
            and self.advice.may_send_in_backoff(tracked.worker.id, now)
        ]

    def has_build(self, service: str, now: float, *, stage: Stage | None, build: str) -> bool:
        """Return whether any worker of a build may get work now or after a backoff."""
        found = self._by_availability(service, now, stage, build)
        return bool(found.listed or found.last_resorts or found.in_backoff or found.at_limit)

    def only_build(self, service: str, now: float, *, within_s: float) -> str | None:
        """Return the one build of a service listed within some seconds; None if not certain."""
        self._note_listed(service, now)
        is_current = now - self.heard_at <= MAX_LIST_AGE_S
        return self.history.only_build(service, now, within_s=within_s) if is_current else None

    def builds_seen(self, service: str, now: float, *, within_s: float) -> set[str]:
        """Return the builds of a service listed within some seconds, as far as is known."""
        self._note_listed(service, now)
        return self.history.builds(service, now, within_s=within_s)

    def has_changed_build(self, tracked: TrackedWorker) -> bool:
        """Return whether a worker has restarted as another instance with other software."""
        current = self._current_by_name.get(tracked.worker.list_name)
        is_same = current is not None and current.worker.build == tracked.worker.build
        return tracked.has_ended and not is_same

    def _note_listed(self, service: str, now: float) -> None:
        for tracked in self.of_service(service):
            self.history.note_listed(tracked.worker, now)

    def backoff_left_s(
        self, service: str, now: float, *, stage: Stage | None = None, build: str | None = None
    ) -> float:
        """Return the seconds until the first worker accepts work again; 0 if one does now.

        A worker that has reached its own limit counts as unavailable until it accepts another call.
        """
        by_availability = self._by_availability(service, now, stage, build)
        if by_availability.listed or by_availability.last_resorts:
            return 0.0
        waits = [
            self.advice.backoff_left_s(tracked.worker.id, now)
            for tracked in by_availability.in_backoff
        ]
        waits += [
            self.limits.blocked_s(tracked.worker.id, now) for tracked in by_availability.at_limit
        ]
        return min(waits, default=0.0)

    def _by_availability(
        self, service: str, now: float, stage: Stage | None, build: str | None
    ) -> _WorkersByAvailability:
        found = _WorkersByAvailability()
        leaving_by_id = self.advice.leaving_by_id
        in_backoff = self.advice.in_backoff(now)
        has_limits = bool(self.limits.by_id)
        for worker_id, tracked in self._tracked_by_service.get(service, {}).items():
            if not tracked.can_serve(stage, now):
                continue
            if build is not None and tracked.worker.build != build:
                continue
            if has_limits and self.limits.blocked_s(worker_id, now) > 0.0:
                found.at_limit.append(tracked)
            elif worker_id in leaving_by_id:
                leaving_s = now - leaving_by_id[worker_id].since
                if leaving_s <= min(GONE_GRACE_S, self.mass_expiry_grace_s):
                    found.last_resorts.append(tracked)
            elif tracked.worker.state is not WorkerState.READY:
                continue
            elif worker_id in in_backoff:
                found.in_backoff.append(tracked)
            elif tracked.gone_at is None:
                found.listed.append(tracked)
            elif now - tracked.gone_at <= tracked.grace_s(self.mass_expiry_grace_s):
                (found.listed if tracked.is_mass_expired else found.last_resorts).append(tracked)
        return found

    def _add(self, tracked: TrackedWorker) -> None:
        worker = tracked.worker
        self.tracked_by_id[worker.id] = tracked
        self._tracked_by_service.setdefault(worker.service, {})[worker.id] = tracked
        self._current_by_name[worker.list_name] = tracked

    def _replace(
        self,
        tracked: TrackedWorker,
        worker: Worker,
        now: float,
        item: StoredItem | None,
        record: WorkerRecord | None,
    ) -> None:
        """Track a worker that is back under its id with other software as another worker.

        The calls that are still open count until they end, as they are counted by id.
        """
        self._mark_restarted(tracked, now)
        self.history.note_listed(tracked.worker, now)
        del self._tracked_by_service[tracked.worker.service][worker.id]
        self._add(
            TrackedWorker(
                worker=worker,
                listed_at=now,
                item=item,
                record=record,
                in_flight=tracked.in_flight,
                tokens_in_flight=tracked.tokens_in_flight,
            )
        )

    def _mark_restarted(self, tracked: TrackedWorker, now: float) -> None:
        """Mark an instance as ended because its worker has restarted."""
        if tracked.gone_at is None:
            tracked.gone_at = now
        tracked.has_ended = True
        self._ended.append(tracked.worker)

    def _is_mass_expiry(self, service: str, gone: int) -> bool:
        listed = sum(
            tracked.gone_at is None for tracked in self._tracked_by_service[service].values()
        )
        return gone >= MIN_MASS_EXPIRY and gone >= MASS_EXPIRY_RATIO * listed

    def of_service(self, service: str) -> list[TrackedWorker]:
        """Return all workers of a service, whatever their state."""
        return list(self._tracked_by_service.get(service, {}).values())

    def note_sent(self, worker_id: str, tokens: int) -> None:
        """Count a request that is about to be sent to a worker."""
        tracked = self.tracked_by_id.get(worker_id)
        if tracked is not None:
            tracked.in_flight += 1
            tracked.tokens_in_flight += tokens

    def note_request_ended(self, worker_id: str, tokens: int) -> None:
        """Stop counting a request that has ended at a worker."""
        tracked = self.tracked_by_id.get(worker_id)
        if tracked is not None:
            tracked.in_flight -= 1
            tracked.tokens_in_flight -= tokens

    def note_answer(self, worker_id: str, latency_s: float, now: float) -> None:
        """Record an answer that came in time: update the latency and halve the failure score."""
        tracked = self.tracked_by_id.get(worker_id)
        if tracked is None:
            return
        tracked.failures = tracked.failure_score(now) / 2.0
        tracked.failed_at = now
        if tracked.latency_s == 0.0:
            tracked.latency_s = latency_s
        tracked.latency_s += LATENCY_EWMA_WEIGHT * (latency_s - tracked.latency_s)

    def note_chunk_gap(self, worker_id: str, gap_s: float) -> None:
        """Record the time between two chunks of a stream."""
        tracked = self.tracked_by_id.get(worker_id)
        if tracked is None:
            return
        if tracked.chunk_gap_s == 0.0:
            tracked.chunk_gap_s = gap_s
        tracked.chunk_gap_s += GAP_EWMA_WEIGHT * (gap_s - tracked.chunk_gap_s)

    def note_rejected(self, worker_id: str, now: float) -> None:
        """Record that a worker rejected a request without running it: it is full or leaving."""
        tracked = self.tracked_by_id.get(worker_id)
        if tracked is not None:
            tracked.rejected_at = now

    def note_failure(self, worker_id: str, weight: float, now: float) -> float:
        """Add to a worker's failure score and return the new score."""
        tracked = self.tracked_by_id.get(worker_id)
        if tracked is None:
            return 0.0
        tracked.failures = min(MAX_FAILURE_SCORE, tracked.failure_score(now) + weight)
        tracked.failed_at = now
        return tracked.failures

    def note_load(
        self, worker_id: str, running: int, waiting: int, now: float, *, sent_since: int = 0
    ) -> None:
        """Record the load that a worker reported with an answer.

        ``sent_since`` is the number of this box's open requests that the report may not include.
        """
        tracked = self.tracked_by_id.get(worker_id)
        if tracked is not None and max(running, waiting) <= MAX_REPORTED_REQUESTS:
            tracked.load_running = running
            tracked.load_waiting = waiting
            tracked.load_at = now
            tracked.in_flight_at_load = tracked.in_flight - sent_since

    def note_late_hold(self, worker_id: str, now: float) -> None:
        """Count a call for room that the worker has not answered in time."""
        tracked = self.tracked_by_id.get(worker_id)
        if tracked is not None:
            tracked.late_holds += 1
            tracked.late_hold_at = now

    def note_late_hold_ended(self, worker_id: str) -> None:
        """Stop counting a late call for room, which was answered or has failed."""
        tracked = self.tracked_by_id.get(worker_id)
        if tracked is not None:
            tracked.late_holds = max(0, tracked.late_holds - 1)

    def note_full(self, worker_id: str, until: float) -> None:
        """Record that a worker has no room until the given time."""
        tracked = self.tracked_by_id.get(worker_id)
        if tracked is not None:
            tracked.full_until = until

    def forgive_failures(self) -> None:
        """Forget all failures: the box's own links caused them."""
        for tracked in self.tracked_by_id.values():
            tracked.failures = 0.0
            tracked.unreachable_until = 0.0

    def note_unreachable(self, worker_id: str, now: float) -> None:
        """Avoid a worker for a while after a connection to it failed."""
        tracked = self.tracked_by_id.get(worker_id)
        if tracked is not None:
            tracked.unreachable_until = now + UNREACHABLE_S

    def note_changing(self, worker_id: str, stage: Stage, now: float, *, for_s: float) -> bool:
        """Record a stage change, during which a worker takes no work; return True if new.

        Boxes pass the report on to each other, so the same change comes back later and is ignored
        then.
        """
        tracked = self.tracked_by_id.get(worker_id)
        if tracked is None or tracked.worker.stage is stage:
            return False
        is_known = (
            tracked.changing_to is stage and now - tracked.changing_since < STAGE_CHANGE_DEDUP_S
        )
        if is_known:
            return False
        tracked.changing_to = stage
        tracked.changing_since = now
        tracked.changing_until = now + for_s
        return True

    def note_displaced(self, worker_id: str) -> None:
        """Record that another worker answered at this worker's address."""
        tracked = self.tracked_by_id.get(worker_id)
        if tracked is not None:
            tracked.displaced = True


def _record_after(
    news: WorkerNews, life: WorkerLife, current: TrackedWorker | None
) -> WorkerRecord:
    """Return what is known of a worker after news of an entry that are newer."""
    if current is None or current.record is None:
        return WorkerRecord.first(life, news.at)
    return current.record.listed(news, life)


def _is_removed(tracked: TrackedWorker, at: int | None) -> bool:
    """Return whether a removal that a source knows at a position is of the known entry."""
    if at is None or tracked.record is None:
        return True
    return tracked.record.is_superseded_by(WorkerNews(at=at))
