"""Requests at the box that received them: reservations, attempts, retries and refusals."""

from __future__ import annotations

import random
from collections.abc import Callable

from croftchute.commands import Command, EmitEvent, RefuseRequest, SendPeer, StartAttempt
from croftchute.errors import Code, Ran
from croftchute.peers.messages import (
    Announced,
    Audit,
    Audited,
    Declined,
    Granted,
    Released,
    Reserve,
)
from croftchute.systems.cancels import CancelTracker
from croftchute.systems.crash_guard import CrashGuard
from croftchute.systems.pool_retry_budget import PoolRetryBudget
from croftchute.systems.shard_choice import ShardChooser
from croftchute.tables.requests import (
    AttemptEnd,
    OpenRequest,
    Plan,
    Request,
    RequestState,
    Silence,
    attempt_key,
)
from croftchute.tables.rows import changed
from croftchute.tables.upstreams import Topology
from croftchute.timeline.events import Event, Kind

ASK_INTERVAL_S = 0.06
MAX_ASKS_PER_SHARD = 2
LAST_SHARD_ASK_INTERVAL_S = 0.4
"""Interval at which the last shard is asked again to resume an answer. An owner on a busy machine
took 0.3 to 0.5 s to reply."""

MAX_RESUME_WAIT_S = 2.0
"""Longest wait for a reservation that resumes an answer. Callers of streams tolerate a gap of this
length. The request is then given up, because the engines may be permanently unavailable."""

MAX_ATTEMPTS = 4
FINAL_DECLINE_CODES = (Code.DEADLINE_PASSED, Code.POLICY_REFUSED, Code.MODEL_UNKNOWN)


class RequestEntry:
    """The open requests that this box received from callers.

    ``open_by_id`` holds each request with its only or oldest attempt, ``successors_by_id`` what is
    begun beside an attempt whose engine is silent: at most one search, and attempts under way.
    """

    def __init__(
        self,
        *,
        box: str,
        topology: Topology,
        cancels: CancelTracker,
        chooser: ShardChooser,
        owner_of: Callable[[str], str],
        rng: random.Random,
    ) -> None:
        self.box = box
        self.topology = topology
        self.cancels = cancels
        self.chooser = chooser
        self.owner_of = owner_of
        self.rng = rng
        self.open_by_id: dict[str, OpenRequest] = {}
        self.successors_by_id: dict[str, tuple[OpenRequest, ...]] = {}
        self.choosing_ids: set[str] = set()
        self.retry_budget_by_pool: dict[str, PoolRetryBudget] = {}
        self.crashes = CrashGuard()
        self.stale_grants = 0

    def __repr__(self) -> str:
        return f"RequestEntry(box={self.box!r}, open={len(self.open_by_id)})"

    def request_received(self, request: Request, now: float) -> list[Command]:
        """Ask a shard for a reservation, or refuse the request at once."""
        event = Event(kind=Kind.REQUEST_ARRIVED, request_id=request.id, detail=request.model)
        commands: list[Command] = [EmitEvent(event=event)]
        refused_s = self.crashes.refusal_left_s(request, now)
        if refused_s > 0.0:
            return commands + self._refuse(request.id, Code.ENDS_WORKERS, Ran.NOT_RUN, refused_s)
        model = self.topology.models_by_id.get(request.model)
        if model is None:
            code = Code.MODEL_UNKNOWN if self.topology.revision else Code.NO_CONFIG
            return commands + self._refuse(request.id, code, Ran.NOT_RUN, 1.0)
        self._retry_budget(model.pool).deposit()
        candidates = self.chooser.candidates(request, self.topology, now)
        if not candidates:
            return commands + self._refuse(request.id, Code.NO_UPSTREAM, Ran.NOT_RUN, 1.0)
        row = OpenRequest(
            request=request, state=RequestState.CHOOSING, attempt=1, candidates=candidates
        )
        return commands + self._ask_next_shard(row, now)

    def reservation_granted(self, sender: str, body: Granted, now: float) -> list[Command]:
        """Start the attempt, or release the reservation if the grant came too late."""
        row = self._find(body.request_id, body.attempt)
        is_expected = (
            row is not None and row.state is RequestState.CHOOSING and row.asked_shard == body.shard
        )
        if row is None or not is_expected:
            if row is not None and row.plan is not None and row.plan.shard == body.shard:
                return []
            self.stale_grants += 1
            return [self._release(sender, body.request_id, body.attempt, body.shard)]
        prefill_id = self.topology.engine_ids_by_hash.get(body.prefill_hash)
        decode_id = self.topology.engine_ids_by_hash.get(body.decode_hash)
        if prefill_id is None or decode_id is None:
            return self._release_unknown_engines(row, body, now)
        if row.is_successor and not self._begin_successor(row, (prefill_id, decode_id)):
            self._drop_successor(row)
            return [self._return_unused(sender, body)]
        plan = Plan(
            request_id=body.request_id,
            attempt=body.attempt,
            shard=body.shard,
            owner=sender,
            prefill_id=prefill_id,
            decode_id=decode_id,
            resume_from=row.delivered,
            prompt_tokens=row.request.prompt_tokens,
            expected_output=body.expected_output,
        )
        self._store(changed(row, state=RequestState.RUNNING, plan=plan))
        event = Event(
            kind=Kind.ATTEMPT_STARTED,
            request_id=body.request_id,
            attempt=body.attempt,
            upstream=decode_id,
            detail=f"prefill {prefill_id}",
        )
        return [EmitEvent(event=event), StartAttempt(plan=plan)]

    def reservation_declined(self, body: Declined, now: float) -> list[Command]:
        """Ask the next shard after a decline, or give the request up."""
        row = self._find(body.request_id, body.attempt)
        if row is None or row.state is not RequestState.CHOOSING or row.asked_shard != body.shard:
            return []
        event = Event(
            kind=Kind.RESERVE_DECLINED,
            request_id=body.request_id,
            attempt=body.attempt,
            detail=f"{body.shard} {body.code.value}",
        )
        commands: list[Command] = [EmitEvent(event=event)]
        row = changed(row, retry_after_s=max(body.retry_after_s, 0.5))
        if body.code in FINAL_DECLINE_CODES:
            return commands + self._give_up(row, body.code, now)
        if row.candidates:
            return commands + self._ask_next_shard(row, now)
        if row.attempt > 1 and now < row.resume_wait_ends_at:
            return commands + self._schedule_next_ask(row, now)
        return commands + self._give_up(row, body.code, now)

    def record_delivered(self, request_id: str, delivered: int) -> None:
        """Store how many output tokens the caller has, so that a retry resumes after them."""
        row = self.open_by_id.get(request_id)
        if row is not None:
            self.open_by_id[request_id] = changed(row, delivered=delivered)

    def attempt_ended(self, end: AttemptEnd, now: float) -> list[Command]:
        """Finish, retry or give up a request whose attempt has ended."""
        row = self._find(end.request_id, end.attempt)
        if row is None or row.plan is None:
            return []
        event = Event(
            kind=Kind.ATTEMPT_ENDED,
            request_id=end.request_id,
            attempt=end.attempt,
            upstream=row.plan.decode_id,
            detail="ok" if end.ok else f"{end.code.value} {end.failed_engine}",
        )
        commands: list[Command] = [EmitEvent(event=event)]
        commands += self._release_plan(row, end, now)
        self.crashes.note(row.request, end, now)
        if end.ok:
            commands += self._end_successors(row, now)
            return commands + self._close(row, Kind.REQUEST_ANSWERED)
        delivered = row.delivered + end.output_tokens
        row = changed(row, delivered=delivered, plan=None, is_silent=False)
        if row.is_successor:
            self._drop_successor(row)
            return commands
        commands += self.attempt_resumed(end.request_id)
        if self._promote_successor(row):
            return commands
        if not self._may_retry(row, end, now):
            ran = Ran.NOT_RUN if not end.sent and row.attempt == 1 else Ran.RAN
            return commands + self._give_up(row, end.code, now, ran=ran)
        return commands + self._retry(row, end, now)

    def attempts_silent(self, silence: Silence, now: float) -> list[Command]:
        """Look for an engine that goes on beside the silent ones; called again while they are.

        The silent ones keep the request whatever comes of it, until its deadline.
        """
        row = self.open_by_id.get(silence.request_id)
        if row is None or row.plan is None:
            return []
        if now >= row.request.deadline_at:
            commands = self._end_successors(row, now) + self._cancel_plan(row, now)
            return commands + self._give_up(row, Code.UPSTREAM_SLOW, now, ran=Ran.RAN)
        commands = self._note_silence(row, silence)
        is_searching = any(other.plan is None for other in self._successors(silence.request_id))
        if is_searching or not self._may_begin_another(row, now):
            return commands
        candidates = self.chooser.candidates(row.request, self.topology, now)
        if not candidates:
            return commands
        number = row.last_attempt + 1
        self._store(changed(row, last_attempt=number, is_silent=True))
        successor = OpenRequest(
            request=row.request,
            state=RequestState.CHOOSING,
            attempt=number,
            candidates=candidates,
            delivered=silence.delivered,
            avoid=silence.engine_ids,
            is_successor=True,
        )
        return commands + self._ask_next_shard(successor, now)

    def attempt_resumed(self, request_id: str) -> list[Command]:
        """End the search for a successor, if there is one."""
        first = self.open_by_id.get(request_id)
        if first is not None and first.is_silent:
            self._store(changed(first, is_silent=False))
        for row in self.successors_by_id.get(request_id, ()):
            if row.plan is None:
                self._drop_successor(row)
                return [self._release_asked(row)]
        return []

    def caller_left(self, request_id: str, now: float) -> list[Command]:
        """Cancel the attempts of a request whose caller has disconnected."""
        row = self.open_by_id.get(request_id)
        if row is None:
            return []
        commands: list[Command] = self._end_successors(row, now)
        commands += self._close(row, Kind.CALLER_GONE)
        if row.plan is not None:
            commands += self._cancel_plan(row, now)
        elif row.asked_shard:
            commands.append(self._release_asked(row))
        return commands

    def answer_audit(self, sender: str, body: Audit) -> list[Command]:
        """Reply to an owner's audit with the attempts that are open at this box."""
        still_open = tuple(key for key in body.keys if self._is_open(key, body.shard))
        return [
            SendPeer(box=sender, body=Audited(shard=body.shard, asked=body.keys, open=still_open))
        ]

    def announce_attempts(self, shard: str, owner: str, now: float) -> list[Command]:
        """Announce to a shard's new owner all attempts that this box runs on the shard."""
        commands: list[Command] = []
        for row in self._all_rows():
            if row.plan is None or row.plan.shard != shard:
                continue
            body = Announced(
                request_id=row.request.id,
                attempt=row.attempt,
                shard=shard,
                caller=row.request.caller,
                priority=row.request.priority,
                prefill_id=row.plan.prefill_id,
                decode_id=row.plan.decode_id,
                prompt_tokens=row.plan.prompt_tokens,
                expected_output=row.plan.expected_output,
                time_left_s=max(0.0, row.request.deadline_at - now),
            )
            commands.append(SendPeer(box=owner, body=body))
        return commands

    def tick(self, now: float) -> list[Command]:
        """Ask silent owners again, then the next shard; give up requests past their deadline."""
        commands: list[Command] = []
        for row in self._searching_rows():
            if now > row.request.deadline_at:
                commands += self._give_up(row, Code.DEADLINE_PASSED, now)
            elif now - row.asked_at < _ask_interval_s(row):
                continue
            elif row.asks < MAX_ASKS_PER_SHARD or row.is_last_shard_for_resume:
                commands += self._send_reserve(changed(row, asks=row.asks + 1), now)
            else:
                commands.append(self._release_asked(row))
                if row.candidates:
                    commands += self._ask_next_shard(row, now)
                else:
                    commands += self._give_up(row, Code.OWNER_SILENT, now)
        return commands

    def _release_unknown_engines(
        self, row: OpenRequest, body: Granted, now: float
    ) -> list[Command]:
        """Release a grant that names unknown engines, and ask the next shard.

        The owner then has a newer configuration than this box.
        """
        commands = [self._release_asked(row)]
        declined = Declined(
            request_id=body.request_id,
            attempt=body.attempt,
            shard=body.shard,
            code=Code.NO_UPSTREAM,
            retry_after_s=1.0,
        )
        return commands + self.reservation_declined(declined, now)

    def _ask_next_shard(self, row: OpenRequest, now: float) -> list[Command]:
        shard, *others = row.candidates
        row = changed(row, candidates=tuple(others), asked_shard=shard, asks=1)
        return self._send_reserve(row, now)

    def _schedule_next_ask(self, row: OpenRequest, now: float) -> list[Command]:
        """Wait before the last shard is asked again to resume an answer.

        Engines that failed earlier attempts are allowed again, as they may have recovered.
        """
        asks = max(row.asks, MAX_ASKS_PER_SHARD)
        self._store(changed(row, asked_at=now, asks=asks, avoid=()))
        return []

    def _send_reserve(self, row: OpenRequest, now: float) -> list[Command]:
        row = changed(row, asked_at=now)
        request = row.request
        self._store(row)
        body = Reserve(
            request_id=request.id,
            attempt=row.attempt,
            shard=row.asked_shard,
            model=request.model,
            caller=request.caller,
            priority=request.priority,
            prompt_tokens=request.prompt_tokens,
            max_tokens=request.max_tokens,
            resume_from=row.delivered,
            waited_s=now - request.arrived_at,
            time_left_s=max(0.0, request.deadline_at - now),
            prefix=request.prefix,
            avoid=row.avoid,
        )
        return [SendPeer(box=self.owner_of(row.asked_shard), body=body)]

    def _may_retry(self, row: OpenRequest, end: AttemptEnd, now: float) -> bool:
        if not end.retryable or not self._may_begin_another(row, now):
            return False
        return self._withdraw_retry(row)

    def _may_begin_another(self, row: OpenRequest, now: float) -> bool:
        """Return whether a further attempt may be begun, as far as this box knows."""
        if row.begun >= MAX_ATTEMPTS or now >= row.request.deadline_at:
            return False
        if self.crashes.refusal_left_s(row.request, now) > 0.0:
            return False
        model = self.topology.models_by_id.get(row.request.model)
        return model is not None and self._retry_budget(model.pool).has_retry

    def _note_silence(self, row: OpenRequest, silence: Silence) -> list[Command]:
        """Log the beginning of a silence."""
        if row.is_silent:
            return []
        self._store(changed(row, is_silent=True))
        event = Event(
            kind=Kind.ATTEMPT_SILENT,
            request_id=silence.request_id,
            attempt=row.attempt,
            upstream=silence.engine_ids[0],
            detail=f"{silence.delivered} delivered",
        )
        return [EmitEvent(event=event)]

    def _withdraw_retry(self, row: OpenRequest) -> bool:
        model = self.topology.models_by_id.get(row.request.model)
        return model is not None and self._retry_budget(model.pool).try_withdraw()

    def _begin_successor(self, row: OpenRequest, engine_ids: tuple[str, str]) -> bool:
        """Count an attempt beside silent ones; false if it may not begin on these engines.

        An owner grants an engine that is to be avoided if it has no other.
        """
        first = self.open_by_id.get(row.request.id)
        if first is None or any(engine_id in row.avoid for engine_id in engine_ids):
            return False
        if not self._withdraw_retry(row):
            return False
        self._store(changed(first, begun=first.begun + 1))
        return True

    def _promote_successor(self, row: OpenRequest) -> bool:
        """Leave a request to the oldest of the attempts that were begun beside an ended one."""
        successors = self._successors(row.request.id)
        if not successors:
            return False
        oldest = successors[0]
        self._drop_successor(oldest)
        self._store(
            changed(
                oldest,
                begun=row.begun,
                last_attempt=row.last_attempt,
                delivered=max(oldest.delivered, row.delivered),
                is_successor=False,
            )
        )
        return True

    def _retry(self, row: OpenRequest, end: AttemptEnd, now: float) -> list[Command]:
        avoid = row.avoid + ((end.failed_engine,) if end.failed_engine else ())
        number = row.last_attempt + 1
        row = changed(
            row,
            state=RequestState.CHOOSING,
            attempt=number,
            last_attempt=number,
            begun=row.begun + 1,
            avoid=avoid,
        )
        candidates = self.chooser.candidates(row.request, self.topology, now)
        if not candidates:
            return self._give_up(row, end.code, now, ran=Ran.RAN)
        resume_wait_ends_at = now + MAX_RESUME_WAIT_S
        return self._ask_next_shard(
            changed(row, candidates=candidates, resume_wait_ends_at=resume_wait_ends_at), now
        )

    def _release_plan(self, row: OpenRequest, end: AttemptEnd, now: float) -> list[Command]:
        assert row.plan is not None
        commands: list[Command] = []
        if not end.ok:
            commands += self._cancel_engines(row.plan, now)
        body = Released(
            request_id=end.request_id,
            attempt=end.attempt,
            shard=row.plan.shard,
            output_tokens=end.output_tokens,
            confirmed=end.ok,
            failed_engine=end.failed_engine,
            rest_s=end.rest_s,
        )
        return [*commands, SendPeer(box=self.owner_of(row.plan.shard), body=body)]

    def _end_successors(self, ended: OpenRequest, now: float) -> list[Command]:
        """End all attempts of a request but one, and the search for a further one."""
        commands = self.attempt_resumed(ended.request.id)
        rows = (self.open_by_id.get(ended.request.id), *self._successors(ended.request.id))
        for row in rows:
            if row is not None and row.plan is not None and row.attempt != ended.attempt:
                commands += self._cancel_plan(row, now)
        return commands

    def _cancel_plan(self, row: OpenRequest, now: float) -> list[Command]:
        assert row.plan is not None
        release = self._release(
            self.owner_of(row.plan.shard), row.request.id, row.attempt, row.plan.shard
        )
        return [*self._cancel_engines(row.plan, now), release]

    def _cancel_engines(self, plan: Plan, now: float) -> list[Command]:
        key = attempt_key(plan.request_id, plan.attempt)
        commands = self.cancels.start(plan.prefill_id, key, now)
        if plan.decode_id != plan.prefill_id:
            commands += self.cancels.start(plan.decode_id, key, now)
        return commands

    def _give_up(
        self, row: OpenRequest, code: Code, now: float, *, ran: Ran | None = None
    ) -> list[Command]:
        if row.is_successor:
            self._drop_successor(row)
            return []
        if ran is None:
            ran = Ran.NOT_RUN if row.attempt == 1 else Ran.RAN
        self._forget(row)
        return self._refuse(row.request.id, code, ran, row.retry_after_s)

    def _refuse(self, request_id: str, code: Code, ran: Ran, retry_after_s: float) -> list[Command]:
        event = Event(
            kind=Kind.REQUEST_REFUSED, request_id=request_id, detail=f"{code.value} {ran.value}"
        )
        refusal = RefuseRequest(
            request_id=request_id, code=code, ran=ran, retry_after_s=retry_after_s
        )
        return [EmitEvent(event=event), refusal]

    def _close(self, row: OpenRequest, kind: Kind) -> list[Command]:
        self._forget(row)
        return [EmitEvent(event=Event(kind=kind, request_id=row.request.id, attempt=row.attempt))]

    def _forget(self, row: OpenRequest) -> None:
        self.open_by_id.pop(row.request.id, None)
        self.successors_by_id.pop(row.request.id, None)
        self.choosing_ids.discard(row.request.id)

    def _find(self, request_id: str, attempt: int) -> OpenRequest | None:
        rows = (self.open_by_id.get(request_id), *self._successors(request_id))
        return next((row for row in rows if row is not None and row.attempt == attempt), None)

    def _successors(self, request_id: str) -> tuple[OpenRequest, ...]:
        return self.successors_by_id.get(request_id, ())

    def _all_rows(self) -> list[OpenRequest]:
        successors = self.successors_by_id.values()
        return [*self.open_by_id.values(), *(row for rows in successors for row in rows)]

    def _searching_rows(self) -> list[OpenRequest]:
        """Return the rows of attempts that wait for a reservation."""
        successors = self.successors_by_id.values()
        rows = [self.open_by_id[request_id] for request_id in self.choosing_ids]
        return rows + [row for rows in successors for row in rows if row.plan is None]

    def _store(self, row: OpenRequest) -> None:
        request_id = row.request.id
        if row.is_successor:
            others = [r for r in self._successors(request_id) if r.attempt != row.attempt]
            self.successors_by_id[request_id] = (*others, row)
            return
        self.open_by_id[request_id] = row
        if row.state is RequestState.CHOOSING:
            self.choosing_ids.add(request_id)
        else:
            self.choosing_ids.discard(request_id)

    def _drop_successor(self, row: OpenRequest) -> None:
        request_id = row.request.id
        others = tuple(r for r in self._successors(request_id) if r.attempt != row.attempt)
        if others:
            self.successors_by_id[request_id] = others
        else:
            self.successors_by_id.pop(request_id, None)

    def _release_asked(self, row: OpenRequest) -> Command:
        owner = self.owner_of(row.asked_shard)
        return self._release(owner, row.request.id, row.attempt, row.asked_shard)

    def _release(self, owner: str, request_id: str, attempt: int, shard: str) -> Command:
        body = Released(
            request_id=request_id, attempt=attempt, shard=shard, output_tokens=0, confirmed=False
        )
        return SendPeer(box=owner, body=body)

    def _return_unused(self, sender: str, body: Granted) -> Command:
        """Give a reservation back of which no engine knows, so that none has to be cancelled."""
        released = Released(
            request_id=body.request_id,
            attempt=body.attempt,
            shard=body.shard,
            output_tokens=0,
            confirmed=True,
        )
        return SendPeer(box=sender, body=released)

    def _is_open(self, key: str, shard: str) -> bool:
        request_id, _, attempt = key.rpartition("-")
        row = self._find(request_id, int(attempt)) if attempt.isdecimal() else None
        return row is not None and row.asked_shard == shard

    def _retry_budget(self, pool: str) -> PoolRetryBudget:
        return self.retry_budget_by_pool.setdefault(pool, PoolRetryBudget())


def _ask_interval_s(row: OpenRequest) -> float:
    uses_long_interval = row.asks >= MAX_ASKS_PER_SHARD and row.is_last_shard_for_resume
    return LAST_SHARD_ASK_INTERVAL_S if uses_long_interval else ASK_INTERVAL_S
