"""Bytes that workers send behind whole answers, which belong to no request.

A worker may repeat a short answer now and then. One that sends far more costs a connection and its
reading for each answer, and gets less work for a while.
"""

from __future__ import annotations

from dataclasses import dataclass, field

MAX_SURPLUS_BYTES = 65_536
"""Surplus bytes of a worker within the window from which on it rests: one full reading of a
socket."""

WINDOW_S = 10.0
"""Seconds over which surplus bytes add up."""

MAX_WORKERS = 4096
"""Workers that are counted at most; the one counted first is forgotten first."""


@dataclass(kw_only=True, slots=True)
class _Surplus:
    began_at: float
    size: int = 0


@dataclass(kw_only=True)
class SurplusBytes:
    """Surplus bytes by worker, within a window that begins with the first of them."""

    _surplus_by_id: dict[str, _Surplus] = field(default_factory=dict)

    def add(self, worker_id: str, size: int, now: float) -> bool:
        """Count bytes; return whether there have been too many of them lately."""
        surplus = self._surplus_by_id.get(worker_id)
        if surplus is None or now - surplus.began_at > WINDOW_S:
            self._surplus_by_id.pop(worker_id, None)
            if len(self._surplus_by_id) >= MAX_WORKERS:
                del self._surplus_by_id[next(iter(self._surplus_by_id))]
            surplus = self._surplus_by_id[worker_id] = _Surplus(began_at=now)
        surplus.size += size
        return surplus.size >= MAX_SURPLUS_BYTES
