"""Polling engines and cancelling attempts for the systems, on threads of their own."""

from __future__ import annotations

from collections.abc import Callable
from concurrent.futures import ThreadPoolExecutor

from loguru import logger

from croftchute.clock import ProcessClock
from croftchute.commands import CancelAttempt, PollEngine
from croftchute.daemon.runner import Job
from croftchute.errors import Ran, UpstreamError
from croftchute.systems.box import BoxSystems
from croftchute.upstreams.engine import Engine

POLL_THREADS = 4
CANCEL_THREADS = 4


class EngineIo:
    """Carries out polls and cancels; what comes of them goes back to the systems as jobs."""

    def __init__(
        self,
        *,
        engine: Engine,
        systems: BoxSystems,
        clock: ProcessClock,
        submit: Callable[[Job], None],
        url_of: Callable[[str], str],
    ) -> None:
        self._engine = engine
        self._systems = systems
        self._clock = clock
        self._submit = submit
        self._url_of = url_of
        self._seq_by_engine: dict[str, int] = {}
        self._polling: set[str] = set()
        self._polls = ThreadPoolExecutor(POLL_THREADS, thread_name_prefix="poll")
        self._cancels = ThreadPoolExecutor(CANCEL_THREADS, thread_name_prefix="cancel")

    def poll(self, command: PollEngine) -> None:
        """Begin a poll, unless the last one of the engine is still under way."""
        if command.engine_id not in self._polling:
            self._polling.add(command.engine_id)
            self._polls.submit(self._poll, command.engine_id)

    def cancel(self, command: CancelAttempt) -> None:
        """Begin a cancel; the systems repeat it if it fails."""
        self._cancels.submit(self._cancel, command)

    def stop(self) -> None:
        """Begin nothing more."""
        for pool in (self._polls, self._cancels):
            pool.shutdown(wait=False, cancel_futures=True)

    def _poll(self, engine_id: str) -> None:
        try:
            after = self._seq_by_engine.get(engine_id, 0)
            now = self._clock.now()
            report, events = self._engine.report(self._url_of(engine_id), after_seq=after, now=now)
        except UpstreamError as error:
            # An engine that is slow to report may still serve; one that refuses is gone.
            if error.ran is Ran.NOT_RUN:
                self._submit(lambda now: self._systems.engine_unreachable(engine_id, now))
            return
        except (ValueError, KeyError, TypeError) as error:
            logger.bind(upstream=engine_id, detail=str(error)).warning("report_unreadable")
            return
        finally:
            self._polling.discard(engine_id)
        if events:
            self._seq_by_engine[engine_id] = events[-1].seq
        self._submit(lambda now: self._systems.engine_reported(engine_id, report, events, now))

    def _cancel(self, command: CancelAttempt) -> None:
        url = self._url_of(command.engine_id)
        try:
            done = not url or self._engine.cancel(url, command.key)
        except UpstreamError:
            return
        if done:
            self._submit(lambda _: self._systems.cancel_confirmed(command.engine_id, command.key))
