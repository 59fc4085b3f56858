"""Passes requests to boxes that reach workers, while this one does not.

Another box is asked only if nothing has run, or if the route allows another attempt. Every request
crosses one other box at most.
"""

from __future__ import annotations

import asyncio
import math
from collections import Counter
from dataclasses import dataclass, replace
from enum import Enum, auto

from croftchute.errors import Code, Ran
from croftchute.forwarding.boxes.forward_terms import (
    DeclineReason,
    ForwardTerms,
    PriorCalls,
    was_answered,
    without_terms,
)
from croftchute.forwarding.decision_log import Decision
from croftchute.forwarding.dialect import Verdict
from croftchute.forwarding.http.backpressure import wait_for_caller
from croftchute.forwarding.http.deadline import within
from croftchute.forwarding.http.event_stream import EventSplitter
from croftchute.forwarding.http.failures import (
    CallerSlowError,
    ConnectFailedError,
    ConnectionBrokenError,
    ExchangeError,
)
from croftchute.forwarding.http.http_client import ClientConnection, ResponseHead
from croftchute.forwarding.origins import BUILD, read_origin
from croftchute.forwarding.state import ForwardingState
from croftchute.forwarding.workers.answer_completion import finish_answer
from croftchute.forwarding.workers.request_run import RequestRun
from croftchute.forwarding.workers.withheld import Withheld
from croftchute.forwarding.workers.worker_call import MAX_ANSWER_BYTES
from croftchute.systems import timeouts
from croftchute.tables.peers import Peer
from croftchute.tables.routing import RouteKind

MAX_PEERS = 3
"""Most boxes that are asked for one request."""

ANSWER_MARGIN_S = 0.25
"""Seconds beyond the caller's deadline in which the other box's own refusal may arrive."""

UNCONNECTED_PAUSE_S = 2.0
"""Seconds for which a box is passed over after no connection to it could be opened."""

BUSY_PAUSE_S = 0.2
"""Seconds for which a box is passed over after it declined a request for another reason than lost
links."""


NOT_RUN_PROMISES = frozenset({408, 421, 429, 503})
"""Statuses that promise callers that nothing ran."""

NOT_RUN_STATUSES = NOT_RUN_PROMISES | {404}
"""Statuses of another box's refusal that say that no worker has run the request there."""


class _Ended(Enum):
    """How one attempt to have a request served by another box ended."""

    ANSWERED = auto()
    NOT_TAKEN = auto()
    BROKEN = auto()


@dataclass(kw_only=True, slots=True)
class _Progress:
    """What the caller received so far, and how many workers may have received the request."""

    last_event: int | None
    attempts: int
    may_have_run: bool
    detail: str = ""
    is_caller_slow: bool = False


class PeerForwarding:
    """Passes requests to other boxes, spread over all that reach workers."""

    def __init__(self, *, state: ForwardingState) -> None:
        self.state = state
        self.open_by_peer: Counter[str] = Counter()
        self._paused_until_by_peer: dict[str, float] = {}

    async def forward(self, run: RequestRun) -> bool:
        """Have another box serve a request; False if none took it, and the caller has no answer."""
        try:
            return await self._forward(run)
        except asyncio.CancelledError:
            has_left = run.exchange.caller_has_left and not run.exchange.is_cut_off
            if has_left or run.outstanding is None:
                kind = Decision.CALLER_LEFT if has_left else Decision.REQUEST_BROKEN
                run.log(kind, peer=run.forwarded_to)
            raise

    async def _forward(self, run: RequestRun) -> bool:
        withheld = run.withheld
        last_event = withheld.last_event if withheld is not None else None
        attempts = run.prior_attempts + len(run.workers_sent_to)
        if run.outstanding is not None:
            # Each box may send it to one worker, so that what they used is known here.
            attempts = max(attempts, run.route.max_attempts - 1)
        progress = _Progress(
            last_event=run.facts.resume_after if last_event is None else last_event,
            attempts=attempts,
            may_have_run=withheld is not None and withheld.ran is not Ran.NOT_RUN,
        )
        asked: set[str] = set()
        while len(asked) < MAX_PEERS and run.time_left_s > 0.0:
            if run.outstanding is not None and not run.has_attempts_left:
                break
            peer = self._choose(asked, run.now, is_begun=progress.last_event is not None)
            if peer is None:
                break
            asked.add(peer.id)
            ended = await self._forward_to(run, peer, progress)
            if ended is _Ended.ANSWERED:
                return True
            if ended is _Ended.BROKEN and not self._may_repeat(run, progress):
                return self._give_up(run, progress)
        is_withheld_true = withheld is not None and withheld.ran is not Ran.NOT_RUN
        if progress.may_have_run and not is_withheld_true:
            return self._give_up(run, progress)
        return False

    def _choose(self, asked: set[str], now: float, *, is_begun: bool) -> Peer | None:
        """Choose the less busy of two random boxes; of equals, one in this box's hall.

        A stream that has begun goes to boxes that heed the software version that began it.
        """
        state = self.state
        candidates = [
            peer
            for peer in state.peers.forward_candidates(now)
            if (peer.continues_by_version or not is_begun)
            and peer.id not in asked
            and self._paused_until_by_peer.get(peer.id, -math.inf) <= now
        ]
        if not candidates:
            return None
        pair = state.rng.sample(candidates, min(2, len(candidates)))
        return min(pair, key=lambda peer: (self.open_by_peer[peer.id], peer.hall != state.zone))

    async def _forward_to(self, run: RequestRun, peer: Peer, progress: _Progress) -> _Ended:
        state = self.state
        sent_at = run.now
        self.open_by_peer[peer.id] += 1
        connection: ClientConnection | None = None
        owner = f"{peer.id}@{peer.started_at}"
        ended, outcome = _Ended.BROKEN, ""
        try:
            connection = await self._connect(run, peer, owner)
            self._send(run, peer, connection, progress)
            head = await within(
                connection.read_head(), run.time_left_s + ANSWER_MARGIN_S, "no head"
            )
            if was_answered(head) and self._is_for_caller(run, head, progress):
                run.forwarded_to = peer.id
                await self._relay(run, connection, head, progress)
                ended, outcome = _Ended.ANSWERED, "answered"
            else:
                body = await within(
                    connection.read_body(MAX_ANSWER_BYTES), run.time_left_s, "no body"
                )
                ended = _Ended.NOT_TAKEN
                if was_answered(head):
                    outcome = f"status_{head.status}"
                    if head.status not in NOT_RUN_STATUSES:
                        self._note_attempt(run, progress)
                else:
                    outcome = self._note_declined(peer, head, body, run.now)
        except ConnectFailedError as error:
            ended, outcome, progress.detail = _Ended.NOT_TAKEN, "unconnected", error.message
            self._paused_until_by_peer[peer.id] = run.now + UNCONNECTED_PAUSE_S
        except ExchangeError as error:
            outcome, progress.detail = "broken", error.message
            progress.is_caller_slow = isinstance(error, CallerSlowError)
            self._note_attempt(run, progress)
        except asyncio.CancelledError:
            self._note_attempt(run, progress)
            raise
        finally:
            self._close(peer, owner, connection, run.now)
        state.metrics.forwards.inc({"outcome": outcome})
        run.log(
            Decision.FORWARD_ENDED,
            outcome=outcome,
            peer=peer.id,
            took_ms=round((run.now - sent_at) * 1000, 1),
            detail=progress.detail,
        )
        return ended

    def _is_for_caller(self, run: RequestRun, head: ResponseHead, progress: _Progress) -> bool:
        """Whether the caller gets another box's answer, and no other worker is waited for.

        A refusal of that box says nothing of what has run here, and leaves silent workers the
        request. So does an error status while they have it.
        """
        speak = self.state.workers_speak
        if speak.is_signed(head):
            return run.outstanding is None or speak.verdict(head) is Verdict.ANSWERED
        promises_not_run = head.status in NOT_RUN_PROMISES
        return run.outstanding is None and not (progress.may_have_run and promises_not_run)

    def _note_attempt(self, run: RequestRun, progress: _Progress) -> None:
        """Count a worker that may have received the request through another box."""
        progress.may_have_run = True
        run.ledger.note_sent_elsewhere()
        if run.outstanding is None:
            progress.attempts = max(progress.attempts + 1, run.route.max_attempts - 1)
            return
        run.prior_attempts += 1
        progress.attempts += 1

    async def _connect(self, run: RequestRun, peer: Peer, owner: str) -> ClientConnection:
        may_repeat = run.route.may_repeat
        return await self.state.pool.acquire(
            peer.host,
            peer.control_port,
            owner=owner,
            now=run.now,
            timeout_s=min(timeouts.CONNECT_TIMEOUT_S, run.time_left_s),
            max_idle_s=math.inf if may_repeat else timeouts.MAX_UNREPEATABLE_IDLE_S,
        )

    def _send(
        self, run: RequestRun, peer: Peer, connection: ClientConnection, progress: _Progress
    ) -> None:
        state = self.state
        terms = ForwardTerms(
            box=state.box,
            config_version=state.table.version if state.table else 0,
            attempts=progress.attempts,
            origin=run.origin,
            calls=PriorCalls(
                arrivals=run.ledger.arrivals, is_prompt_read=run.ledger.is_prompt_read
            ),
        )
        request = run.exchange.request
        head = state.callers.encode_forwarded(
            replace(request, headers=without_terms(request.headers)),
            added=terms.headers(),
            time_left_s=run.time_left_s,
            resume_after=progress.last_event,
        )
        connection.send(
            head, body=request.body, expected=None, is_bodiless=request.method == "HEAD"
        )
        run.log(
            Decision.REQUEST_FORWARDED,
            peer=peer.id,
            hall=peer.hall,
            peer_age_s=round(run.now - peer.heard_at, 3),
            open=self.open_by_peer[peer.id],
            attempts=progress.attempts,
            resume_after=progress.last_event,
            config_version=terms.config_version,
            software=run.build or "",
        )

    def _note_declined(self, peer: Peer, head: ResponseHead, body: bytes, now: float) -> str:
        """Record why a box did not take a request; return the reason."""
        reason = body.decode("utf-8", "replace")[:40] or f"status_{head.status}"
        if reason == DeclineReason.CUT_OFF:
            self.state.peers.note_unreaching(peer.id)
        else:
            self._paused_until_by_peer[peer.id] = now + BUSY_PAUSE_S
        return reason

    def _close(
        self, peer: Peer, owner: str, connection: ClientConnection | None, now: float
    ) -> None:
        self.open_by_peer[peer.id] -= 1
        if not self.open_by_peer[peer.id]:
            del self.open_by_peer[peer.id]
        if connection is not None:
            self.state.pool.release(connection, peer.host, peer.control_port, owner=owner, now=now)

    async def _relay(
        self,
        run: RequestRun,
        connection: ClientConnection,
        head: ResponseHead,
        progress: _Progress,
    ) -> None:
        headers = without_terms(self.state.workers_speak.answer_headers(head))
        is_stream = run.route.kind is RouteKind.STREAM and head.get(b"transfer-encoding")
        if is_stream:
            run.close_outstanding()
            if not run.exchange.is_started:
                run.first_byte_at = run.now
                run.exchange.start(head.status, head.reason, headers)
            run.bind_origin(read_origin(head.get(BUILD)))
            await self._relay_events(run, connection, progress)
            run.exchange.finish()
        else:
            time_left_s = run.time_left_s + ANSWER_MARGIN_S
            body = await within(connection.read_body(MAX_ANSWER_BYTES), time_left_s, "no body")
            run.close_outstanding()
            if run.exchange.is_started:
                raise ConnectionBrokenError(f"status {head.status} in the middle of a stream")
            run.first_byte_at = run.now
            run.exchange.send(head.status, headers, body)
        await finish_answer(run, head.status, "")

    async def _relay_events(
        self, run: RequestRun, connection: ClientConnection, progress: _Progress
    ) -> None:
        """Write whole events only, so that another box can continue after any of them."""
        splitter = EventSplitter()
        exchange = run.exchange
        while True:
            part = await within(
                connection.read_part(), run.time_left_s + ANSWER_MARGIN_S, "no part of the stream"
            )
            if not part:
                break
            for event in splitter.feed(part):
                if event.number is not None:
                    progress.last_event = event.number
                exchange.write(event.data)
            if exchange.is_held_up:
                await wait_for_caller(connection, exchange, run.time_left_s)
        if splitter.leftover:
            raise ConnectionBrokenError("stream ended in the middle of an event")

    def _may_repeat(self, run: RequestRun, progress: _Progress) -> bool:
        """Whether another box may be asked after one may have run the request."""
        return (
            not progress.is_caller_slow
            and (run.origin is not None or not run.exchange.is_started)
            and run.route.may_repeat
            and progress.attempts < run.route.max_attempts
        )

    def _give_up(self, run: RequestRun, progress: _Progress) -> bool:
        """Refuse or abort; return False instead while workers of this box may still answer."""
        if run.outstanding is not None:
            return False
        if run.exchange.is_started:
            run.abort_answer(progress.detail)
            return True
        is_late = run.time_left_s <= 0.0
        code = Code.UPSTREAM_SLOW if is_late else Code.UPSTREAM_FAILED
        run.refuse_finally(Withheld(code=code, ran=Ran.UNKNOWN, detail=progress.detail))
        return True
