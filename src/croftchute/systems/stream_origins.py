"""A bounded table of where streams began, by the digests of `croftchute.tables.origins`."""

from __future__ import annotations

from dataclasses import dataclass, field

KEPT_S = 600.0
"""Seconds for which an origin is kept, if there is room: longer than streams last."""

MAX_ORIGINS = 16384
"""Most origins kept, some 3 MB: a minute of 39 streams a second and of those that others tell, each
under two keys."""


@dataclass(frozen=True, kw_only=True, slots=True)
class _Entry:
    """An origin, or None if the box was told of two different ones."""

    origin: int | None
    noted_at: float


@dataclass(kw_only=True)
class StreamOrigins:
    """Origins by stream key, the oldest first."""

    _entries_by_key: dict[int, _Entry] = field(default_factory=dict)

    def __len__(self) -> int:
        return len(self._entries_by_key)

    def note(self, key: int, origin: int, now: float) -> None:
        """Keep an origin, 0 for one in doubt. Of two that differ neither is believed."""
        self._forget(now)
        known = self._entries_by_key.pop(key, None)
        is_disputed = known is not None and known.origin != origin
        kept = None if is_disputed else origin
        self._entries_by_key[key] = _Entry(origin=kept, noted_at=now)

    def find(self, key: int, now: float) -> int | None:
        """Return where a stream began, or None if that is not known."""
        entry = self._entries_by_key.get(key)
        if entry is None or now - entry.noted_at > KEPT_S:
            return None
        return entry.origin or None

    def _forget(self, now: float) -> None:
        """Drop what is too old, and the oldest if there are too many."""
        while self._entries_by_key:
            key = next(iter(self._entries_by_key))
            is_old = now - self._entries_by_key[key].noted_at > KEPT_S
            if not is_old and len(self._entries_by_key) < MAX_ORIGINS:
                return
            del self._entries_by_key[key]
