"""Reads the chunks of a streamed answer, with a time-out where the request can fail over."""

from __future__ import annotations

from collections.abc import Callable

from croftchute.forwarding.http.failures import AnswerLateError
from croftchute.forwarding.workers.request_run import RequestRun
from croftchute.forwarding.workers.worker_call import WorkerCall
from croftchute.systems import timeouts


class ChunkReader:
    """Reads the chunks of one attempt, each within a time-out.

    If no other worker can continue the stream, a time-out is no failure: the read goes on, and is
    checked again after each further time-out, as another worker may have become available.
    """

    def __init__(
        self,
        *,
        run: RequestRun,
        call: WorkerCall,
        first_chunk_timeout_s: float,
        can_fail_over: Callable[[], bool],
    ) -> None:
        self.run = run
        self.call = call
        self.first_chunk_timeout_s = first_chunk_timeout_s
        self.can_fail_over = can_fail_over
        self._last_chunk_at: float | None = None

    async def read(self) -> bytes:
        """Return the next chunk, empty at the end.

        Raise AnswerLateError or ConnectionBrokenError if the worker is late or fails.
        """
        run = self.run
        while True:
            try:
                chunk = await self.call.read_chunk(self._timeout_s())
            except AnswerLateError:
                if run.time_left_s <= 0.0 or self.can_fail_over():
                    raise
                continue
            if chunk:
                self._record_chunk()
            return chunk

    def mark_resumed(self) -> None:
        """Restart the gap measurement: the router paused reading, so the worker caused no gap."""
        if self._last_chunk_at is not None:
            self._last_chunk_at = self.run.now

    def _timeout_s(self) -> float:
        run = self.run
        if self._last_chunk_at is None:
            return min(self.first_chunk_timeout_s, run.time_left_s)
        return timeouts.gap_timeout_s(
            run.route, time_left_s=run.time_left_s, usual_gap_s=self.call.tracked.chunk_gap_s
        )

    def _record_chunk(self) -> None:
        now = self.run.now
        if self._last_chunk_at is not None:
            self.run.state.workers.note_chunk_gap(self.call.worker.id, now - self._last_chunk_at)
        self._last_chunk_at = now
