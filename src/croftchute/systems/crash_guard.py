"""Stops requests that crash engines from being retried without end, at the box that receives them.

Engines have configured ids and don't report restarts, so a crash of the same engine some seconds
later counts as another instance.
"""

from __future__ import annotations

from croftchute.peers.messages import CrashNews
from croftchute.systems.crash_records import CrashRecords
from croftchute.tables.crashes import CrashNotice
from croftchute.tables.requests import AttemptEnd, Request

CRASH_DEDUP_S = 10.0
"""Length in seconds of the Unix time slots in which crashes of one engine count as one. Boxes see
the same crash within milliseconds, and an engine takes longer to restart, since it loads its model.
About one crash in a thousand falls on a slot boundary and may count twice."""

MAX_NOTICES = 64
"""Most crash notices in one message, about 2 KB."""

NOTICES_PER_HEARTBEAT = 6
"""Crash notices sent with a heartbeat: 0.2 KB, and only while there are such requests."""


class CrashGuard:
    """The crash records of a box, as used by its entry and its peers."""

    def __init__(self) -> None:
        self.records = CrashRecords()
        self._unsent_digests: list[str] = []

    def refusal_left_s(self, request: Request, now: float) -> float:
        """Return for how many seconds a request is still refused; 0 if it is not."""
        return self.records.refusal_left_s(request.digest, now) if request.digest else 0.0

    def note(self, request: Request, end: AttemptEnd, now: float) -> None:
        """Record how an attempt ended."""
        if not request.digest:
            return
        if end.ok:
            self.records.note_success(request.digest, now)
        elif end.engine_has_ended and end.sent:
            instance = f"{end.failed_engine}@{int(now // CRASH_DEDUP_S)}"
            notice = CrashNotice(digest=request.digest, life=instance, age_s=0.0)
            self.records.merge([notice], now)
            self._unsent_digests.append(request.digest)

    def apply_notices(self, message: CrashNews, now: float) -> None:
        """Apply another box's notices; forward those that cause a refusal here."""
        self._unsent_digests += self.records.merge(message.notices, now)

    def take_outgoing(self, now: float) -> list[CrashNews]:
        """Return the messages to send to other boxes at once."""
        digests, self._unsent_digests = self._unsent_digests, []
        notices = [notice for digest in digests for notice in self.records.notices(digest, now)]
        starts = range(0, len(notices), MAX_NOTICES)
        return [CrashNews(notices=tuple(notices[n : n + MAX_NOTICES])) for n in starts]

    def heartbeat_messages(self, now: float) -> list[CrashNews]:
        """Return what goes with a heartbeat, for boxes that missed earlier messages."""
        self.records.sweep(now)
        notices = self.records.next_notices(now, NOTICES_PER_HEARTBEAT)
        return [CrashNews(notices=tuple(notices))] if notices else []
