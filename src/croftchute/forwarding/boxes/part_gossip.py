"""Tells other boxes under which parts of prompts workers crashed, and hears it from them.

News go out at once. A box passes on what adds to crashes that others have seen, and all that it
knows of parts when it begins to refuse them. Some go with each notice, for boxes that were cut off
or have just started. They travel in a field that boxes of an earlier release pass over.
"""

from __future__ import annotations

from collections.abc import Callable, Sequence

from croftchute.forwarding.boxes.peer_exchange import PeerExchange
from croftchute.forwarding.decision_log import MAX_LOGGED_PARTS, Decision
from croftchute.forwarding.state import ForwardingState
from croftchute.peers.messages import CrashNews
from croftchute.systems.part_crashes import PartRefusal
from croftchute.tables.crashes import PartNotice

MAX_NOTICES = 64
"""Most crashes in one datagram, some 2 KB."""

NOTICES_EACH_TIME = 6
"""Crashes told with a notice, some 0.2 KB: a part with as many as it takes to refuse it."""

OWN = "own"


class PartGossip:
    """Spreads the box's records of parts, takes in those of others, and notes what they change.

    ``on_refused`` is called with the parts that are refused from now on, and ``on_freed`` with the
    refusals that are over; the flag says whether this box saw itself what changed that.
    """

    def __init__(self, *, state: ForwardingState, exchange: PeerExchange) -> None:
        self.state = state
        self.exchange = exchange
        self.on_refused: Callable[[PartRefusal, bool], None] = lambda *_: None
        self.on_freed: Callable[[PartRefusal, bool], None] = lambda *_: None
        self._known: tuple[PartRefusal, ...] = ()

    def note_own(self, news: Sequence[PartNotice]) -> None:
        """Tell what this box saw of crashes and of answers that were written."""
        self._send(news)
        self._note_changes(OWN)

    def hear(self, sender: str, news: CrashNews) -> None:
        """Take in what a box tells."""
        self.take(news.parts, source=sender)

    def take(self, notices: Sequence[PartNotice], *, source: str) -> None:
        """Take in what a box or the store tells, and pass on what others should know at once."""
        self._send(self.state.parts.merge(notices, self.state.clock()))
        self._note_changes(source)

    def next_notices(self) -> tuple[PartNotice, ...]:
        """What goes with the next notice."""
        parts = self.state.parts
        return tuple(parts.next_notices(self.state.clock(), NOTICES_EACH_TIME))

    def sweep(self, now: float) -> None:
        """Forget what is too old to matter."""
        self.state.parts.sweep(now)
        self._note_changes(OWN)

    def _note_changes(self, source: str) -> None:
        """Log what is refused from now on and what no longer is, and spread the former."""
        refusals = self.state.parts.refusals
        if refusals == self._known:
            return
        known_by_parts = {refusal.parts: refusal for refusal in self._known}
        present = {refusal.parts for refusal in refusals}
        previous, self._known = self._known, refusals
        self.state.crashes.note_explained(self.state.parts.explained_lives)
        self.state.metrics.refused_parts.set({}, len(refusals))
        now = self.state.clock()
        for refusal in refusals:
            known = known_by_parts.get(refusal.parts)
            if known is not None and known.crashes >= refusal.crashes:
                continue
            self._log(Decision.PART_REFUSED, refusal, source)
            if known is None:
                self._send(
                    [
                        notice
                        for part in sorted(refusal.parts)
                        for notice in self.state.parts.notices(part, now)
                    ]
                )
            self.on_refused(refusal, source == OWN)
        for refusal in previous:
            if refusal.parts not in present:
                self._log(Decision.PART_FREED, refusal, source)
                self.on_freed(refusal, source == OWN)

    def _log(self, kind: Decision, refusal: PartRefusal, source: str) -> None:
        self.state.log.decide(
            kind,
            outcome="refused" if kind is Decision.PART_REFUSED else "freed",
            parts=sorted(refusal.parts)[:MAX_LOGGED_PARTS],
            workers_crashed=refusal.crashes,
            source=source,
            trial_in_s=round(refusal.left_s(self.state.clock()), 1),
        )

    def _send(self, notices: Sequence[PartNotice]) -> None:
        for start in range(0, len(notices), MAX_NOTICES):
            part = tuple(notices[start : start + MAX_NOTICES])
            self.exchange.spread(CrashNews(parts=part))
