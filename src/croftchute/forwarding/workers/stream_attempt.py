"""One attempt of a stream at a decode worker: its answer, step by step."""

from __future__ import annotations

import asyncio
from dataclasses import dataclass
from enum import Enum, auto

from croftchute.forwarding.dialect import PrefillHandle, Verdict
from croftchute.forwarding.http.event_stream import EventSplitter, StreamEvent
from croftchute.forwarding.http.failures import ConnectionBrokenError
from croftchute.forwarding.http.http_client import ResponseHead
from croftchute.forwarding.workers.request_run import RequestRun
from croftchute.forwarding.workers.worker_call import WorkerCall
from croftchute.systems import timeouts


class StepKind(Enum):
    """What a worker has sent.

    ``HEAD``: the head of a success response. ``EVENTS``: bytes of events, of which some may be
    whole. ``COMPLETE``: the end of the stream. ``REJECTED``: that it did not run the request.
    ``FAILED``: an error status.
    """

    HEAD = auto()
    EVENTS = auto()
    COMPLETE = auto()
    REJECTED = auto()
    FAILED = auto()


@dataclass(frozen=True, kw_only=True, slots=True)
class StreamStep:
    """One step of an answer; ``body`` is that of an error status, ``verdict`` of a rejection."""

    kind: StepKind
    events: tuple[StreamEvent, ...] = ()
    verdict: Verdict | None = None
    body: bytes = b""


class StreamAttempt:
    """One attempt of a stream, from its send to its last step; end it with :meth:`close`.

    ``source`` is the handle of its prompt if another worker read it. ``is_successor``: the attempt
    was begun while another one was silent, and counts as going on only with its first event.
    """

    def __init__(
        self,
        *,
        run: RequestRun,
        call: WorkerCall,
        source: PrefillHandle | None,
        first_step_timeout_s: float,
        is_successor: bool,
    ) -> None:
        self.run = run
        self.call = call
        self.source = source
        self.is_successor = is_successor
        self.head: ResponseHead | None = None
        self.resumed_after = call.send.resume_after
        self.is_silent = False
        self._first_step_timeout_s = first_step_timeout_s
        self._splitter = EventSplitter()
        self._heard_at = run.now
        self._has_begun = False
        self._step: StreamStep | None = None
        self._listening: asyncio.Task[StreamStep] | None = None

    async def next_step(self) -> StreamStep:
        """Return what the worker sends next.

        Raise AnswerLateError if it is silent for too long, and ConnectionBrokenError if it fails.
        """
        step, self._step = self._step, None
        return step or await self._read_step(self.timeout_s)

    @property
    def timeout_s(self) -> float:
        """The seconds of silence after which a successor is looked for."""
        run = self.run
        if not self._has_begun:
            return min(self._first_step_timeout_s, run.time_left_s)
        return timeouts.gap_timeout_s(
            run.route, time_left_s=run.time_left_s, usual_gap_s=self.call.tracked.chunk_gap_s
        )

    def patience_left_s(self) -> float:
        """Return the seconds until the worker counts as silent."""
        return self._heard_at + self.timeout_s - self.run.now

    def listen(self) -> asyncio.Task[StreamStep]:
        """Return the task of the next step that counts, without a time-out but the deadline."""
        if self._listening is None:
            self._listening = asyncio.ensure_future(self._read_counted_step())
        return self._listening

    def take_step(self) -> StreamStep:
        """Return the step that :meth:`listen` ended with, or raise what it failed with.

        :meth:`next_step` returns the step once more.
        """
        assert self._listening is not None
        listening, self._listening = self._listening, None
        self._step = listening.result()
        return self._step

    def mark_resumed(self) -> None:
        """Restart the gap measurement: the router paused reading, so the worker caused no gap."""
        self._heard_at = self.run.now

    def close(self) -> None:
        """Return the connection, or close it if the worker is still at work."""
        if self._listening is not None:
            self._listening.cancel()
            self._listening = None
        self.call.close()

    async def _read_counted_step(self) -> StreamStep:
        while True:
            step = await self._read_step(self.run.time_left_s)
            if not self.is_successor or step.events:
                return step
            if step.kind not in (StepKind.HEAD, StepKind.EVENTS):
                return step

    async def _read_step(self, timeout_s: float) -> StreamStep:
        if self.head is None:
            return await self._read_head(timeout_s)
        chunk = await self.call.read_chunk(timeout_s)
        if not chunk:
            if self._splitter.leftover:
                raise ConnectionBrokenError("stream ended in the middle of an event")
            return StreamStep(kind=StepKind.COMPLETE)
        self._note_chunk()
        return StreamStep(kind=StepKind.EVENTS, events=tuple(self._splitter.feed(chunk)))

    async def _read_head(self, timeout_s: float) -> StreamStep:
        speak = self.run.state.workers_speak
        head = await self.call.read_head(timeout_s)
        verdict = speak.verdict(head)
        if verdict is Verdict.ANSWERED:
            if not speak.is_genuine(head):
                raise ConnectionBrokenError("success response lacks proof that the worker sent it")
            self._heard_at = self.run.now
            self.head = head
            return StreamStep(kind=StepKind.HEAD)
        body = await self.call.read_body(self.run.time_left_s)
        self.head = head
        kind = StepKind.FAILED if verdict is Verdict.FAILED else StepKind.REJECTED
        return StreamStep(kind=kind, verdict=verdict, body=body)

    def _note_chunk(self) -> None:
        now = self.run.now
        if self._has_begun and not self.is_silent:
            self.run.state.workers.note_chunk_gap(self.call.worker.id, now - self._heard_at)
        self._has_begun = True
        self._heard_at = now
