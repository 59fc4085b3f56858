"""The one thread that runs a box's systems: on inputs as they come, and on ticks."""

from __future__ import annotations

import queue
import threading
import time
from collections.abc import Callable

from loguru import logger

from croftchute.clock import ProcessClock
from croftchute.commands import Command

Job = Callable[[float], list[Command]]
Carry = Callable[[list[Command], float], None]

BATCH_MAX = 256


class Runner:
    """Runs jobs one after another; a job gets the time and returns commands to be carried out."""

    def __init__(self, *, clock: ProcessClock, tick_s: float, tick: Job, carry: Carry) -> None:
        self.clock = clock
        self.tick_s = tick_s
        self.cpu_s = 0.0
        self.jobs_run = 0
        self._tick = tick
        self._carry = carry
        self._jobs: queue.SimpleQueue[Job | None] = queue.SimpleQueue()
        self._thread = threading.Thread(target=self._run, daemon=True, name="runner")

    def start(self) -> None:
        """Begin to run."""
        self._thread.start()

    def submit(self, job: Job) -> None:
        """Have a job run soon; safe from any thread."""
        self._jobs.put(job)

    def stop(self) -> None:
        """End after the jobs that were submitted before."""
        self._jobs.put(None)
        self._thread.join(5.0)

    def _run(self) -> None:
        next_tick = 0.0
        while True:
            now = self.clock.now()
            if now >= next_tick:
                next_tick = now + self.tick_s
                self._do(self._tick, now)
            try:
                job = self._jobs.get(timeout=max(0.0, next_tick - self.clock.now()))
            except queue.Empty:
                continue
            if job is None:
                return
            self._do(job, self.clock.now())
            self.cpu_s = time.thread_time()

    def _do(self, job: Job, now: float) -> None:
        self.jobs_run += 1
        try:
            self._carry(job(now), now)
        except Exception:  # noqa: BLE001 - the runner must outlive a faulty job
            logger.exception("job_failed")
