"""At-most-once execution: a non-repeatable call runs only if two boxes have agreed to it.

Idempotency keys are divided into ranges, each with a first and a second box. The first box allows
a call after the second has stored its record under the same epoch. If a box has been replaced, the
other one rejects its epoch, so the protocol relies on neither clocks nor leases. A range whose
second box is missing allows no calls.
"""

from __future__ import annotations

from dataclasses import dataclass, replace

from croftchute.commands import Command, DecideCall, EmitEvent, SendPeer
from croftchute.errors import Code
from croftchute.peers.messages import Begin, Body, Finish, Mirror, Mirrored, Verdict
from croftchute.systems.dedupe_map import MAX_CLOCK_SKEW_S
from croftchute.tables.dedupe import (
    EMPTY_MAP,
    BoxIncarnation,
    Decision,
    Phase,
    RangeMap,
    RangeRow,
    Record,
    range_of,
)
from croftchute.timeline.events import Event, Kind

RESEND_INTERVAL_S = 0.1
VERDICT_TIMEOUT_S = 1.0
FINISH_TIMEOUT_S = 30.0
SYNC_INTERVAL_S = 0.5
MAX_RUNNING_S = 60.0
RECORD_TTL_S = 900.0
SWEEP_INTERVAL_S = 5.0
MAX_STORED_ANSWER_BYTES = 32768


@dataclass(frozen=True, kw_only=True, slots=True)
class PendingMessage:
    """A message from this entry box that the range's first box has not answered yet."""

    key: str
    body: Begin | Finish
    first_sent_at: float
    last_sent_at: float


class Deduplicator:
    """This box's roles in at-most-once execution: entry box, and first or second of ranges."""

    def __init__(self, *, box: str, incarnation: int) -> None:
        self.own = BoxIncarnation(box=box, incarnation=incarnation)
        self.map = EMPTY_MAP
        self.records_by_key: dict[str, Record] = {}
        self.held_epoch_by_range: dict[int, int] = {}
        self.ready_epoch_by_range: dict[int, int] = {}
        self._rows_by_index: dict[int, RangeRow] = {}
        self._pending_by_token: dict[str, PendingMessage] = {}
        self._sender_by_message: dict[tuple[str, str], str] = {}
        self._unsynced_by_range: dict[int, set[str]] = {}
        self._next_sync_at = 0.0
        self._next_sweep_at = 0.0
        self._ended_incarnations: set[BoxIncarnation] = set()
        self._listed_boxes: frozenset[str] = frozenset()

    def __repr__(self) -> str:
        held = len(self.records_by_key)
        return f"Deduplicator(box={self.own.box!r}, map={self.map.version}, records={held})"

    def box_restarted(self, box: str, incarnation: int) -> list[Command]:
        """Record that earlier incarnations of a restarted box have ended."""
        for row in self.map.rows:
            for member in (row.first, row.second):
                if member.box == box and member.incarnation < incarnation:
                    self._ended_incarnations.add(member)
        return []

    def has_ended(self, member: BoxIncarnation) -> bool:
        """Return whether it is certain that a member's process has ended."""
        if member.box == self.own.box:
            return member.incarnation < self.own.incarnation
        return member in self._ended_incarnations

    def holds_records(self, index: int) -> bool:
        """Return whether this box has all records of a range under the current epoch."""
        row = self._rows_by_index.get(index)
        return row is not None and self.held_epoch_by_range.get(index) == row.epoch

    def is_ready(self, index: int) -> bool:
        """Return whether this box, as first, knows that the second has all records too."""
        row = self._rows_by_index.get(index)
        return row is not None and self.ready_epoch_by_range.get(index) == row.epoch

    @property
    def own_ranges(self) -> list[int]:
        """Ranges that this box keeps as first or second, by the current map."""
        return [row.index for row in self.map.rows if self.own in (row.first, row.second)]

    def boxes_listed(self, boxes: frozenset[str]) -> None:
        """Apply the platform's list of boxes; a box that has left the list has ended."""
        for row in self.map.rows:
            for member in (row.first, row.second):
                if member.box in self._listed_boxes and member.box not in boxes:
                    self._ended_incarnations.add(member)
        self._listed_boxes = boxes

    def apply_map(self, range_map: RangeMap, now: float) -> list[Command]:
        """Apply a newer map; ranges that this box gains are synchronised before use."""
        if range_map.version <= self.map.version:
            return []
        self.map = range_map
        before = self._rows_by_index
        self._rows_by_index = {row.index: row for row in range_map.rows}
        for row in range_map.rows:
            earlier = before.get(row.index)
            if earlier is None or earlier.epoch != row.epoch:
                self._start_epoch(row, earlier)
        self._next_sync_at = now
        detail = f"version {range_map.version}, in {len(self.own_ranges)} pairs"
        event = Event(kind=Kind.DEDUPE_EPOCH, detail=detail)
        return [EmitEvent(event=event), *self.tick(now)]

    def begin_call(
        self, key: str, token: str, key_created_at: float | None, now: float
    ) -> list[Command]:
        """Ask, as entry box, whether a call may run; the reply is a :class:`DecideCall`.

        ``key_created_at`` is when the caller made the key, None if this box made it for this
        call: such a key cannot have run before.
        """
        row = self._rows_by_index.get(range_of(key))
        if key_created_at is not None and key_created_at > now + MAX_CLOCK_SKEW_S:
            return [_build_decision(token, Decision.REFUSE, Code.KEY_INVALID)]
        if row is None:
            return [_build_decision(token, Decision.REFUSE, Code.DEDUPE_UNAVAILABLE)]
        if key_created_at is not None and key_created_at < max(
            row.floor, now - RECORD_TTL_S + MAX_CLOCK_SKEW_S
        ):
            return self._send_begin(row, key, token, now, lookup_only=True)
        return self._send_begin(row, key, token, now, lookup_only=False)

    def finish_call(self, finish: Finish, now: float) -> list[Command]:
        """Send, as entry box, a call's outcome; it is resent until the first box confirms it."""
        row = self._rows_by_index.get(range_of(finish.key))
        if row is None:
            return []
        body = replace(finish, epoch=row.epoch)
        pending = PendingMessage(key=finish.key, body=body, first_sent_at=now, last_sent_at=now)
        self._pending_by_token[f"{finish.token}/{finish.phase}"] = pending
        return [SendPeer(box=row.first.box, body=body)]

    def receive(self, sender: str, body: Body, now: float) -> list[Command]:
        """Handle a message of the at-most-once protocol."""
        match body:
            case Begin():
                return self._begin_received(sender, body, now)
            case Mirror():
                return self._mirror_received(sender, body, now)
            case Mirrored():
                return self._mirrored_received(body, now)
            case Verdict():
                return self._verdict_received(body, now)
            case Finish():
                return self._finish_received(sender, body, now)
        return []

    def tick(self, now: float) -> list[Command]:
        """Resend unanswered messages, synchronise new second boxes, drop expired records."""
        commands = self._resend_unanswered(now)
        if now >= self._next_sync_at:
            self._next_sync_at = now + SYNC_INTERVAL_S
            commands += self._send_unsynced(now)
        if now >= self._next_sweep_at:
            self._next_sweep_at = now + SWEEP_INTERVAL_S
            self._drop_expired(now)
        return commands

    def _send_begin(
        self, row: RangeRow, key: str, token: str, now: float, *, lookup_only: bool
    ) -> list[Command]:
        # A negative epoch asks the first box only to look the key up, for keys that are too old
        # to be allowed to run.
        body = Begin(key=key, token=token, epoch=-row.epoch if lookup_only else row.epoch)
        self._pending_by_token[token] = PendingMessage(
            key=key, body=body, first_sent_at=now, last_sent_at=now
        )
        return [SendPeer(box=row.first.box, body=body)]

    def _begin_received(self, sender: str, body: Begin, now: float) -> list[Command]:
        row = self._rows_by_index.get(range_of(body.key))
        if row is None or row.first != self.own or abs(body.epoch) != row.epoch:
            return []
        if not self.is_ready(row.index):
            return []
        record = self.records_by_key.get(body.key)
        if record is not None:
            return [SendPeer(box=sender, body=self._verdict_from_record(record, body, now))]
        if body.epoch < 0:
            return [SendPeer(box=sender, body=_build_refusal(body, Code.OUTCOME_UNKNOWN))]
        self._sender_by_message[body.token, Phase.GRANTED] = sender
        mirror = Mirror(key=body.key, token=body.token, epoch=row.epoch, phase=Phase.GRANTED)
        return [SendPeer(box=row.second.box, body=mirror)]

    def _verdict_from_record(self, record: Record, body: Begin, now: float) -> Verdict:
        if record.token == body.token and record.phase is Phase.GRANTED:
            return Verdict(key=body.key, token=body.token, decision=Decision.RUN)
        if record.phase is Phase.DONE:
            return Verdict(
                key=body.key,
                token=body.token,
                decision=Decision.STORED,
                answer=record.answer,
                status=record.status,
            )
        if record.phase is Phase.DELIVERED:
            return _build_refusal(body, Code.ALREADY_ANSWERED)
        running = record.phase is Phase.GRANTED and now - record.at < MAX_RUNNING_S
        return _build_refusal(body, Code.IN_PROGRESS if running else Code.OUTCOME_UNKNOWN)

    def _mirror_received(self, sender: str, body: Mirror, now: float) -> list[Command]:
        index = int(body.key) if body.phase == Phase.SYNCED else range_of(body.key)
        row = self._rows_by_index.get(index)
        accepted = row is not None and row.second == self.own and row.epoch == body.epoch
        if accepted and body.phase == Phase.SYNCED:
            self.held_epoch_by_range[index] = body.epoch
        elif accepted:
            accepted = self._write_record(body, now)
        answer = Mirrored(
            key=body.key, token=body.token, epoch=body.epoch, phase=body.phase, accepted=accepted
        )
        return [SendPeer(box=sender, body=answer)]

    def _write_record(self, body: Mirror | Finish, now: float) -> bool:
        """Store a record; return false if another try holds the key.

        A record in a later phase is kept, and counts as stored.
        """
        held = self.records_by_key.get(body.key)
        phase = Phase(body.phase)
        if held is not None and held.token != body.token:
            return False
        if phase is Phase.ABANDONED:
            self.records_by_key.pop(body.key, None)
            return True
        if held is not None and _phase_rank(held.phase) > _phase_rank(phase):
            return True
        self.records_by_key[body.key] = Record(
            key=body.key,
            token=body.token,
            phase=phase,
            at=now,
            answer=b"" if phase is Phase.DELIVERED else body.answer,
            status=body.status,
        )
        return True

    def _mirrored_received(self, body: Mirrored, now: float) -> list[Command]:
        index = int(body.key) if body.phase == Phase.SYNCED else range_of(body.key)
        row = self._rows_by_index.get(index)
        if row is None or row.first != self.own or row.epoch != body.epoch or not body.accepted:
            return []
        if body.phase == Phase.SYNCED:
            self.ready_epoch_by_range[index] = row.epoch
            return []
        self._unsynced_by_range.get(index, set()).discard(body.key)
        sender_box = self._sender_by_message.pop((body.token, body.phase), None)
        if sender_box is None:
            return []
        if body.phase == Phase.GRANTED:
            return self._allow_call(sender_box, body, now)
        verdict = Verdict(key=body.key, token=body.token, decision=Decision.NOTED, code=body.phase)
        return [SendPeer(box=sender_box, body=verdict)]

    def _allow_call(self, sender_box: str, body: Mirrored, now: float) -> list[Command]:
        held = self.records_by_key.get(body.key)
        if held is not None and held.token != body.token:
            return []
        self.records_by_key[body.key] = Record(
            key=body.key, token=body.token, phase=Phase.GRANTED, at=now
        )
        verdict = Verdict(key=body.key, token=body.token, decision=Decision.RUN)
        event = Event(kind=Kind.CALL_ALLOWED, request_id=body.token, detail=f"epoch {body.epoch}")
        return [EmitEvent(event=event), SendPeer(box=sender_box, body=verdict)]

    def _finish_received(self, sender: str, body: Finish, now: float) -> list[Command]:
        row = self._rows_by_index.get(range_of(body.key))
        if row is None or row.first != self.own or row.epoch != body.epoch:
            return []
        if not self._write_record(body, now):
            return []
        self._sender_by_message[body.token, body.phase] = sender
        mirror = Mirror(
            key=body.key,
            token=body.token,
            epoch=row.epoch,
            phase=body.phase,
            answer=body.answer,
            status=body.status,
        )
        return [SendPeer(box=row.second.box, body=mirror)]

    def _verdict_received(self, body: Verdict, now: float) -> list[Command]:
        if body.decision == Decision.NOTED:
            pending = self._pending_by_token.pop(f"{body.token}/{body.code}", None)
        else:
            pending = self._pending_by_token.pop(body.token, None)
        if pending is None:
            return []
        return [
            DecideCall(
                token=body.token,
                decision=body.decision,
                code=body.code,
                answer=body.answer,
                status=body.status,
            )
        ]

    def _resend_unanswered(self, now: float) -> list[Command]:
        commands: list[Command] = []
        for name, pending in list(self._pending_by_token.items()):
            is_begin = isinstance(pending.body, Begin)
            if now - pending.first_sent_at > (VERDICT_TIMEOUT_S if is_begin else FINISH_TIMEOUT_S):
                del self._pending_by_token[name]
                if is_begin:
                    commands += self._abandon(pending, now)
                continue
            if now - pending.last_sent_at < RESEND_INTERVAL_S:
                continue
            row = self._rows_by_index[range_of(pending.key)]
            sign = -1 if pending.body.epoch < 0 else 1
            body = replace(pending.body, epoch=sign * row.epoch)
            self._pending_by_token[name] = replace(pending, body=body, last_sent_at=now)
            commands.append(SendPeer(box=row.first.box, body=body))
        return commands

    def _abandon(self, pending: PendingMessage, now: float) -> list[Command]:
        """Give up waiting for a verdict.

        The call will never run, so its key is released and may be tried again.
        """
        token = pending.body.token
        finish = Finish(
            key=pending.key, token=token, epoch=pending.body.epoch, phase=Phase.ABANDONED
        )
        decide = _build_decision(token, Decision.REFUSE, Code.DEDUPE_UNAVAILABLE)
        return [decide, *self.finish_call(finish, now)]

    def _start_epoch(self, row: RangeRow, earlier: RangeRow | None) -> None:
        """Start a new epoch of a range; only the surviving member of a pair keeps the records."""
        held = earlier is not None and self.held_epoch_by_range.get(row.index) == earlier.epoch
        keeps_records = held and earlier is not None and row.epoch == earlier.epoch + 1
        starts_empty = row.floor_epoch == row.epoch
        self.held_epoch_by_range.pop(row.index, None)
        self._unsynced_by_range.pop(row.index, None)
        own_keys = [key for key in self.records_by_key if range_of(key) == row.index]
        if row.first == self.own and keeps_records and not starts_empty:
            self.held_epoch_by_range[row.index] = row.epoch
            self._unsynced_by_range[row.index] = set(own_keys)
        else:
            for key in own_keys:
                del self.records_by_key[key]
        if row.first == self.own and starts_empty:
            self.held_epoch_by_range[row.index] = row.epoch
            self._unsynced_by_range[row.index] = set()

    def _send_unsynced(self, now: float) -> list[Command]:
        commands: list[Command] = []
        for index, keys in list(self._unsynced_by_range.items()):
            row = self._rows_by_index[index]
            if self.is_ready(index):
                del self._unsynced_by_range[index]
                continue
            for key in sorted(keys):
                commands += self._mirror_record(row, key)
            if not keys:
                marker = Mirror(key=str(index), token="", epoch=row.epoch, phase=Phase.SYNCED)
                commands.append(SendPeer(box=row.second.box, body=marker))
        return commands

    def _mirror_record(self, row: RangeRow, key: str) -> list[Command]:
        record = self.records_by_key.get(key)
        if record is None:
            self._unsynced_by_range[row.index].discard(key)
            return []
        mirror = Mirror(
            key=key,
            token=record.token,
            epoch=row.epoch,
            phase=record.phase,
            answer=record.answer,
            status=record.status,
        )
        return [SendPeer(box=row.second.box, body=mirror)]

    def _drop_expired(self, now: float) -> None:
        expired = [key for key, row in self.records_by_key.items() if now - row.at > RECORD_TTL_S]
        for key in expired:
            del self.records_by_key[key]


def _phase_rank(phase: Phase) -> int:
    return (Phase.GRANTED, Phase.UNKNOWN, Phase.DONE, Phase.DELIVERED).index(phase)


def _build_refusal(body: Begin, code: Code) -> Verdict:
    return Verdict(key=body.key, token=body.token, decision=Decision.REFUSE, code=code)


def _build_decision(token: str, decision: Decision, code: Code) -> Command:
    return DecideCall(token=token, decision=decision, code=code, answer=b"", status=0)
