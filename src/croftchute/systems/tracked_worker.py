"""What a router believes about one life of a worker, and how old each belief is.

Pure state: every function that decides takes the present time. Times are seconds of a
monotonic clock.
"""

from __future__ import annotations

from dataclasses import dataclass, field

from croftchute.storage.watched import StoredItem
from croftchute.systems.prefill_queue import PrefillQueue
from croftchute.tables.routing import Stage, Worker

REJECTION_HOLD_S = 3.0
"""Seconds after a rejection for which a worker counts as full: then it resets new connections too.
A request that may be sent once is kept away from it for that."""

FAILURE_HALF_LIFE_S = 2.0
"""Seconds in which a failure counts half: crashes and cuts last for a few."""

GONE_GRACE_S = 1.2
"""Seconds for which a worker that left the list, or said in an answer that it leaves, is a last
resort: it serves on for 2 s and more."""

LOAD_TTL_S = 0.3
"""Seconds for which a load told with an answer counts: requests of others end about as soon."""


@dataclass(kw_only=True, slots=True)
class TrackedWorker:
    """One life of a worker with everything believed about it, and the age of each belief.

    ``has_ended``: the worker has begun another life. ``is_unreadable``: its newest entry names no
    worker; what runs there goes on.
    """

    worker: Worker
    listed_at: float
    item: StoredItem | None = None
    gone_at: float | None = None
    is_mass_expired: bool = False
    in_flight: int = 0
    tokens_in_flight: int = 0
    failures: float = 0.0
    failed_at: float = 0.0
    latency_s: float = 0.0
    pause_s: float = 0.0
    rejected_at: float = -1e9
    load_running: int = 0
    load_waiting: int = 0
    load_at: float = -1e9
    in_flight_at_load: int = 0
    displaced: bool = False
    has_ended: bool = False
    is_unreadable: bool = False
    full_until: float = 0.0
    unreachable_until: float = 0.0
    changing_to: Stage | None = None
    changing_since: float = 0.0
    changing_until: float = 0.0
    queue: PrefillQueue = field(default_factory=PrefillQueue)
    sent_at_by_call: dict[object, float] = field(default_factory=dict)

    def has_rejected_recently(self, now: float) -> bool:
        """Whether it seems full."""
        return now - self.rejected_at < REJECTION_HOLD_S

    def failure_score(self, now: float) -> float:
        """Recent failures, each counting half as much after every half-life."""
        age = max(0.0, now - self.failed_at)
        return self.failures * 0.5 ** (age / FAILURE_HALF_LIFE_S)

    def oldest_call_age_s(self, now: float) -> float:
        """For how long this box's oldest open call there has been open; 0 if there is none."""
        return now - min(self.sent_at_by_call.values(), default=now)

    def can_serve(self, stage: Stage | None, now: float) -> bool:
        """Whether it does work of a stage at the moment, so far as its list entry goes."""
        if self.displaced or self.has_ended or self.is_unreadable or now < self.changing_until:
            return False
        return stage is None or self.worker.stage is None or self.worker.stage is stage

    def grace_s(self, mass_expiry_grace_s: float) -> float:
        """How long after its entry went the worker may still be given work."""
        return mass_expiry_grace_s if self.is_mass_expired else GONE_GRACE_S

    def other_boxes_running(self, now: float) -> float:
        """Requests of other boxes that the worker was running or queueing lately."""
        if now - self.load_at > LOAD_TTL_S:
            return 0.0
        known = self.load_running + self.load_waiting - self.in_flight_at_load
        return float(max(0, known))
