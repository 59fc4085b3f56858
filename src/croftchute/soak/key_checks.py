"""The promises about keys and limits, checked by what callers and workers saw."""

from __future__ import annotations

from collections.abc import Callable, Iterator, Mapping
from dataclasses import dataclass

from croftchute.soak.keys import CLERKS, CLERKS_LIMIT, TERMS, CallerKey, KeyUse
from croftchute.soak.violation import Violation, broken
from croftchute.soak.world import ListedWorker
from croftchute.standins.platform_caller import Try
from croftchute.standins.worker_records import Run

DENIED = 401
TENANT = "x-croftchute-tenant"
AUTHORIZATION = "authorization"

RunsById = Mapping[str, list[tuple[ListedWorker, Run]]]


@dataclass(frozen=True, kw_only=True)
class KeyChecks:
    """What to look through: tries, the keys that they bore, and their runs.

    ``is_due`` tells whether a version was to be in force at a box when a try was sent: the box was
    undisturbed, and time enough had gone.
    """

    tries: Mapping[str, Try]
    keys_by_id: Mapping[str, CallerKey]
    runs_by_id: RunsById
    accepted_at_by_version: Mapping[int, float]
    is_due: Callable[[Try, int], bool]

    def always(self, workers: list[ListedWorker]) -> Iterator[Violation]:
        """Rules that hold without a time."""
        yield from self._unknown_attempts()
        yield from self._what_workers_saw(workers)
        yield from self._limits()

    def in_time(self) -> Iterator[Violation]:
        """Rules that hold where boxes were undisturbed."""
        for request_id, attempt in self.tries.items():
            key = self.keys_by_id.get(request_id)
            if key is None:
                continue
            is_gone = key.gone_version is not None and self._was_due(attempt, key.gone_version)
            if is_gone and request_id in self.runs_by_id:
                yield broken("keys taken away open nothing", attempt, f"{key.key} ran")
            if attempt.status == DENIED and self._was_in_force(attempt, key):
                yield broken("keys in force are not refused", attempt, key.key)

    def _unknown_attempts(self) -> Iterator[Violation]:
        for request_id, attempt in self.tries.items():
            key = self.keys_by_id.get(request_id)
            if key is None:
                continue
            if key.use is KeyUse.UNKNOWN and request_id in self.runs_by_id:
                yield broken("nothing runs for a key that nobody held", attempt, key.key)
            if key.use in (KeyUse.STANDING, KeyUse.LIMITED) and attempt.status == DENIED:
                yield broken("keys in force are not refused", attempt, key.key)

    def _what_workers_saw(self, workers: list[ListedWorker]) -> Iterator[Violation]:
        for listed in workers:
            for received in listed.worker.received:
                attempt = self.tries.get(received.id)
                key = self.keys_by_id.get(received.id)
                if attempt is None or key is None:
                    continue
                if AUTHORIZATION in received.headers:
                    yield broken("workers see no keys", attempt, listed.worker.id)
                named = received.headers.get(TENANT, "")
                if named != key.organisation:
                    yield broken("workers see the organisation", attempt, f"named {named!r}")

    def _limits(self) -> Iterator[Violation]:
        """Requests that were sent and ran in any window, over all boxes."""
        spans = []
        for request_id, runs in self.runs_by_id.items():
            key = self.keys_by_id.get(request_id)
            attempt = self.tries.get(request_id)
            if attempt is not None and key is not None and key.organisation == CLERKS:
                spans.append((min(run.started_at for _, run in runs), attempt.sent_at))
        spans.sort()
        allowed = TERMS.allowed(CLERKS_LIMIT)
        for ended_at, _ in spans:
            begin = ended_at - TERMS.window_s
            within = sum(begin < sent_at and ran_at <= ended_at for ran_at, sent_at in spans)
            if within > allowed:
                detail = f"{within} in {TERMS.window_s} s, {allowed:.0f} are allowed"
                yield Violation(promise="limits over all boxes", request_id="", detail=detail)
                return

    def _was_due(self, attempt: Try, version: int) -> bool:
        return version in self.accepted_at_by_version and self.is_due(attempt, version)

    def _was_in_force(self, attempt: Try, key: CallerKey) -> bool:
        """Whether a rotating key was in force at the try's box beyond doubt."""
        if key.use is not KeyUse.ROTATING or key.gone_version is None:
            return False
        gone_at = self.accepted_at_by_version.get(key.gone_version)
        ended_at = attempt.ended_at or attempt.sent_at
        return self._was_due(attempt, key.version) and (gone_at is None or ended_at < gone_at)
