"""Which builds of each service were listed lately, and since when that is known without a gap."""

from __future__ import annotations

import math
from dataclasses import dataclass, field

from croftchute.tables.routing import Worker

KEPT_S = 600.0
"""Seconds for which a build is remembered after its last worker was listed."""


@dataclass(kw_only=True)
class SoftwareHistory:
    """The builds of workers that may have begun a stream.

    ``followed_since`` is the time from which no change of the worker list was missed.
    """

    followed_since: float = math.inf
    _seen_at_by_build: dict[tuple[str, str], float] = field(default_factory=dict)

    def note_followed(self, now: float) -> None:
        """Record that the list was read as a whole: what was listed before may be unknown."""
        self.followed_since = now

    def note_listed(self, worker: Worker, now: float) -> None:
        """Record that a worker is listed, or was until now.

        Prefill workers count: they may have been decode workers when a stream began.
        """
        self._seen_at_by_build[worker.service, worker.build] = now

    def only_build(self, service: str, now: float, *, within_s: float) -> str | None:
        """Return the one build listed within some seconds; None if there may be others."""
        builds = self.builds(service, now, within_s=within_s)
        is_complete = within_s <= min(KEPT_S, now - self.followed_since)
        return next(iter(builds)) if is_complete and len(builds) == 1 else None

    def builds(self, service: str, now: float, *, within_s: float) -> set[str]:
        """Return the builds of a service that are known to have been listed within some seconds."""
        return {
            build
            for (name, build), seen_at in self._seen_at_by_build.items()
            if name == service and now - seen_at <= within_s
        }

    def sweep(self, now: float) -> None:
        """Forget the builds that are too old to matter."""
        old = [key for key, at in self._seen_at_by_build.items() if now - at > KEPT_S]
        for key in old:
            del self._seen_at_by_build[key]
