"""Keeps requests that end engines from being run without an end; used by the entry of a box.

Engines are configured by id and tell no start of theirs, so an engine that ends again some seconds
later counts as another life of it.
"""

from __future__ import annotations

from croftchute.peers.messages import CrashNews
from croftchute.systems.crash_records import CrashRecords
from croftchute.tables.crashes import CrashNotice
from croftchute.tables.requests import AttemptEnd, Request

CRASH_DEDUP_S = 10.0
"""Seconds of Unix time in which ends of one engine count as one: boxes see the same end within
milliseconds, and an engine takes longer to load its model. One end in a thousand falls on the edge
between two and may count twice."""

MAX_NOTICES = 64
"""Most ends in one message, some 2 KB."""

NOTICES_PER_HEARTBEAT = 6
"""Ends told with a heartbeat: 0.2 KB, and only while such requests are about."""


class CrashGuard:
    """The crash records of a box, as its entry and its peers see them."""

    def __init__(self) -> None:
        self.records = CrashRecords()
        self._unsent_digests: list[str] = []

    def refusal_left_s(self, request: Request, now: float) -> float:
        """For how many seconds a request is refused; 0 if it is not."""
        return self.records.refusal_left_s(request.digest, now) if request.digest else 0.0

    def note(self, request: Request, end: AttemptEnd, now: float) -> None:
        """Take in how an attempt ended."""
        if not request.digest:
            return
        if end.ok:
            self.records.note_success(request.digest, now)
        elif end.engine_has_ended and end.sent:
            life = f"{end.failed_engine}@{int(now // CRASH_DEDUP_S)}"
            notice = CrashNotice(digest=request.digest, life=life, age_s=0.0)
            self.records.merge([notice], now)
            self._unsent_digests.append(request.digest)

    def apply_notices(self, news: CrashNews, now: float) -> None:
        """Take in what another box tells; what has a request refused here is told on."""
        self._unsent_digests += self.records.merge(news.notices, now)

    def take_outgoing(self, now: float) -> list[CrashNews]:
        """What is to be told at once to other boxes."""
        digests, self._unsent_digests = self._unsent_digests, []
        notices = [notice for digest in digests for notice in self.records.notices(digest, now)]
        starts = range(0, len(notices), MAX_NOTICES)
        return [CrashNews(notices=tuple(notices[n : n + MAX_NOTICES])) for n in starts]

    def heartbeat_messages(self, now: float) -> list[CrashNews]:
        """What goes with a heartbeat, for boxes that missed it or have just started."""
        self.records.sweep(now)
        notices = self.records.next_notices(now, NOTICES_PER_HEARTBEAT)
        return [CrashNews(notices=tuple(notices))] if notices else []
