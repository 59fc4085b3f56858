"""The state that a router tracks for one instance of a worker.

Methods do no I/O and take the current time as an argument. Times are seconds of a monotonic clock.
"""

from __future__ import annotations

from dataclasses import dataclass, field

from croftchute.storage.watched import StoredItem
from croftchute.systems.prefill_queue import PrefillQueue
from croftchute.systems.worker_news import WorkerRecord
from croftchute.tables.routing import Stage, Worker

REJECTION_HOLD_S = 3.0
"""Seconds for which a worker counts as full after a rejection. During this time it also resets new
connections, so a request that may be sent only once is not sent to it."""

FAILURE_HALF_LIFE_S = 2.0
"""Half-life in seconds of a failure's weight: crashes and network cuts last for a few seconds."""

GONE_GRACE_S = 1.2
"""Seconds for which a worker that was removed from the list, or announced that it is leaving,
serves as a last resort. Such a worker accepts requests for at least 2 s."""

LATE_HOLD_PAUSE_S = 0.25
"""Seconds for which new requests do not ask a worker for room that has not answered such a call.
Its connection alone may be dead, so it is asked again over another one then."""

LOAD_TTL_S = 0.3
"""Seconds for which a reported load is used; most of the reported requests have ended by then."""


@dataclass(kw_only=True, slots=True)
class TrackedWorker:
    """One instance of a worker: its list entry, this box's requests there and its failures.

    ``record`` is the newest that is known of the worker, None if it was listed without an entry.
    ``has_ended``: the worker has restarted as another instance. ``is_unreadable``: the newest entry
    of the worker can't be parsed; requests that run there continue. ``late_holds`` is the number of
    calls for room that the worker has not answered in time and may answer yet, ``late_hold_at``
    when the latest of them became late.
    """

    worker: Worker
    listed_at: float
    item: StoredItem | None = None
    record: WorkerRecord | None = None
    gone_at: float | None = None
    is_mass_expired: bool = False
    in_flight: int = 0
    tokens_in_flight: int = 0
    failures: float = 0.0
    failed_at: float = 0.0
    latency_s: float = 0.0
    chunk_gap_s: float = 0.0
    rejected_at: float = -1e9
    load_running: int = 0
    load_waiting: int = 0
    load_at: float = -1e9
    in_flight_at_load: int = 0
    displaced: bool = False
    has_ended: bool = False
    is_unreadable: bool = False
    full_until: float = 0.0
    late_holds: int = 0
    late_hold_at: float = -1e9
    unreachable_until: float = 0.0
    changing_to: Stage | None = None
    changing_since: float = 0.0
    changing_until: float = 0.0
    queue: PrefillQueue = field(default_factory=PrefillQueue)
    sent_at_by_call: dict[object, float] = field(default_factory=dict)

    def has_rejected_recently(self, now: float) -> bool:
        """Return whether the worker counts as full after a rejection."""
        return now - self.rejected_at < REJECTION_HOLD_S

    def failure_score(self, now: float) -> float:
        """Return the sum of recent failures, decayed with a half-life."""
        age = max(0.0, now - self.failed_at)
        return self.failures * 0.5 ** (age / FAILURE_HALF_LIFE_S)

    def owes_room_answer(self, now: float) -> bool:
        """Return whether a call for room became late a moment ago and is not answered yet."""
        return self.late_holds > 0 and now - self.late_hold_at < LATE_HOLD_PAUSE_S

    def oldest_call_age_s(self, now: float) -> float:
        """Return the age of this box's oldest open call at the worker; 0 if there is none."""
        return now - min(self.sent_at_by_call.values(), default=now)

    def can_serve(self, stage: Stage | None, now: float) -> bool:
        """Return whether the worker is valid and serves the stage, or any if ``stage`` is None."""
        if self.displaced or self.has_ended or self.is_unreadable or now < self.changing_until:
            return False
        return stage is None or self.worker.stage is None or self.worker.stage is stage

    def grace_s(self, mass_expiry_grace_s: float) -> float:
        """Return for how long the worker may get work after its entry disappeared."""
        return mass_expiry_grace_s if self.is_mass_expired else GONE_GRACE_S

    def other_boxes_running(self, now: float) -> float:
        """Return the requests of other boxes in the worker's latest load report."""
        if now - self.load_at > LOAD_TTL_S:
            return 0.0
        known = self.load_running + self.load_waiting - self.in_flight_at_load
        return float(max(0, known))
