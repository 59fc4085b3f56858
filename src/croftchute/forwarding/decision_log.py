"""One JSON line on standard output for each decision; bounded, and never blocking."""

from __future__ import annotations

import asyncio
import contextlib
import os
from collections import deque
from collections.abc import Callable
from enum import StrEnum
from typing import TYPE_CHECKING

import msgspec
from loguru import logger

if TYPE_CHECKING:
    from loguru import Message

MAX_BUFFERED_BYTES = 256 * 1024
MAX_LINES_PER_SECOND = 400

MAX_LOGGED_CHARS = 64
"""Longest part that is logged of a text that a worker or a caller made up."""

MAX_LOGGED_PARTS = 16
"""Most parts of a prompt in one log line."""


class Decision(StrEnum):
    """What was decided, or what the process came to believe."""

    STARTED = "started"
    SUSPENDED = "suspended"
    LOOP_DELAYED = "loop_delayed"
    STOPPING = "stopping"
    STOPPED = "stopped"
    TAKEN_WHILE_STOPPING = "taken_while_stopping"
    RELOADED = "reloaded"
    RELOAD_FAILED = "reload_failed"
    TASK_FAILED = "task_failed"
    DEPENDENCY_LOST = "dependency_lost"
    DEPENDENCY_REGAINED = "dependency_regained"
    STORE_RESTORED = "store_restored"
    CONFIG_IN_FORCE = "config_in_force"
    CONFIG_REJECTED = "config_rejected"
    ENTRY_REFUSED = "entry_refused"
    WORKER_LISTED = "worker_listed"
    WORKER_GONE = "worker_gone"
    WORKER_SUSPECTED = "worker_suspected"
    WORKER_CHANGING = "worker_changing"
    WORKER_DISPLACED = "worker_displaced"
    WORKER_LEAVING = "worker_leaving"
    WORKER_RESTS = "worker_rests"
    WORKER_LIMITED = "worker_limited"
    WORKER_UNLIMITED = "worker_unlimited"
    WORKER_LOOKED_AT = "worker_looked_at"
    CRASH_HEARD = "crash_heard"
    CRASH_STORED = "crash_stored"
    REQUEST_TRIED = "request_tried"
    PART_REFUSED = "part_refused"
    PART_FREED = "part_freed"
    PART_TRIED = "part_tried"
    PART_STORED = "part_stored"
    LINKS_LOST = "links_lost"
    LINKS_RESTORED = "links_restored"
    READY_CHANGED = "ready_changed"
    CONNECTIONS_SHED = "connections_shed"
    CLIENTS_RELEASED = "clients_released"
    PREFILL_SENT = "prefill_sent"
    PREFILL_ENDED = "prefill_ended"
    READ_AT_DECODE = "read_at_decode"
    REQUEST_SENT = "request_sent"
    ATTEMPT_ENDED = "attempt_ended"
    WORKER_SILENT = "worker_silent"
    WORKER_SURPLUS = "worker_surplus"
    SILENCE_ENDED = "silence_ended"
    STREAM_RESUMED = "stream_resumed"
    ORIGIN_LOOKED_UP = "origin_looked_up"
    ORIGINS_STORED = "origins_stored"
    LIMIT_DENIED = "limit_denied"
    PERMIT_DENIED = "permit_denied"
    LIMIT_POOL_SILENT = "limit_pool_silent"
    REPEAT_DENIED = "repeat_denied"
    REQUEST_FORWARDED = "request_forwarded"
    FORWARD_ENDED = "forward_ended"
    FORWARD_ACCEPTED = "forward_accepted"
    FORWARD_DECLINED = "forward_declined"
    REQUEST_ANSWERED = "request_answered"
    REQUEST_REFUSED = "request_refused"
    REQUEST_BROKEN = "request_broken"
    CALLER_LEFT = "caller_left"
    SLOW_CALLER_ENDED = "slow_caller_ended"
    KEEPER_ASKED = "keeper_asked"
    HOLD_ASKED = "hold_asked"
    WAIT_ENDED = "wait_ended"
    HOLD_DROPPED = "hold_dropped"
    HANDLE_FREED = "handle_freed"
    STAGE_ORDER = "stage_order"
    PEER_LISTED = "peer_listed"
    PEER_GONE = "peer_gone"
    PEER_FETCH = "peer_fetch"
    NEWS_SOURCE = "news_source"
    FLEET_SIZE = "fleet_size"
    TRANSFER_ENDED = "transfer_ended"


class LineWriter:
    """Writes lines to a descriptor; what does not fit in the buffer is counted and dropped."""

    def __init__(
        self, *, descriptor: int, now: Callable[[], float], max_bytes: int = MAX_BUFFERED_BYTES
    ) -> None:
        self.descriptor = descriptor
        self.now = now
        self.max_bytes = max_bytes
        self.dropped = 0
        self._lines: deque[bytes] = deque()
        self._buffered = 0
        self._window_start = 0.0
        self._window_lines = 0
        with contextlib.suppress(OSError):
            os.set_blocking(descriptor, False)

    def write(self, line: bytes, *, is_vital: bool = False) -> None:
        """Write a line now, or keep it until the descriptor takes more."""
        if not is_vital and self._is_over_rate():
            self.dropped += 1
            return
        if self._buffered + len(line) > self.max_bytes:
            self.dropped += 1
            return
        self._lines.append(line)
        self._buffered += len(line)
        self.flush()

    def flush(self) -> None:
        """Write as much as the descriptor takes."""
        while self._lines:
            line = self._lines[0]
            try:
                written = os.write(self.descriptor, line)
            except BlockingIOError:
                return
            except OSError:
                self.dropped += len(self._lines)
                self._lines.clear()
                self._buffered = 0
                return
            self._buffered -= written
            if written < len(line):
                self._lines[0] = line[written:]
                return
            self._lines.popleft()

    def _is_over_rate(self) -> bool:
        now = self.now()
        if now - self._window_start >= 1.0:
            self._window_start = now
            self._window_lines = 0
        self._window_lines += 1
        return self._window_lines > MAX_LINES_PER_SECOND


class DecisionLog:
    """Decisions as JSON lines: time, box, kind, request, what decided it, and the outcome."""

    def __init__(self, *, box: str, writer: LineWriter) -> None:
        self.box = box
        self.writer = writer
        self.observer: Callable[[Decision], None] = lambda _: None
        logger.remove()
        self._sink = logger.add(self._put, format="{message}", level="INFO", catch=True)
        self._reported_drops = 0

    def decide(
        self, kind: Decision, *, request_id: str = "", outcome: str = "", **inputs: object
    ) -> None:
        """Write one line; ``inputs`` are the facts that decided, with their age or version."""
        self.observer(kind)
        fields = {"request_id": request_id} if request_id else {}
        if outcome:
            fields["outcome"] = outcome
        logger.bind(fields=fields | inputs, is_vital=not request_id).info(kind.value)

    async def keep_flushing(self, interval_s: float) -> None:
        """Write what was kept back, and say how many lines were dropped."""
        while True:
            await asyncio.sleep(interval_s)
            self.writer.flush()
            if self.writer.dropped > self._reported_drops:
                self._reported_drops = self.writer.dropped
                logger.bind(fields={"dropped_in_all": self.writer.dropped}, is_vital=True).warning(
                    "log_lines_dropped"
                )

    def _put(self, message: Message) -> None:
        record = message.record
        extra = record["extra"]
        line = {
            "at": record["time"].isoformat(timespec="milliseconds"),
            "box": self.box,
            "level": record["level"].name,
            "event": record["message"],
            **extra.get("fields", {}),
        }
        self.writer.write(msgspec.json.encode(line) + b"\n", is_vital=extra.get("is_vital", False))
