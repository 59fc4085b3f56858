"""Counts clients that were refused or closed for a limit, and logs them once a second at most."""

from __future__ import annotations

import math
from collections import Counter

from loguru import logger

from croftchute.daemon.heap import HeapTrimmer
from croftchute.daemon.metrics import Metrics
from croftchute.forwarding.http.client_memory import Release
from croftchute.request_receiver import LockedMemory

REPORT_S = 1.0
"""Seconds between two lines, however many clients are closed."""


class ClientLog:
    """What was released since the last line."""

    def __init__(self, *, metrics: Metrics) -> None:
        self._metrics = metrics
        self._released: Counter[str] = Counter()
        self._largest_bytes = 0
        self._reported_at = -math.inf
        self._trimmer = HeapTrimmer()

    def note_release(self, release: Release) -> None:
        """Take in a client that was released; the memory's lock is held."""
        self._metrics.clients_released.inc({"cause": release.cause.value})
        self._released[release.cause.value] += 1
        self._largest_bytes = max(self._largest_bytes, release.held_bytes)

    def report(self, memory: LockedMemory, now: float) -> None:
        """Set the gauge, return freed memory, and log what happened since the last line."""
        if now - self._reported_at < REPORT_S:
            return
        self._reported_at = now
        account = memory.account
        self._metrics.client_bytes.set({}, account.total)
        with memory.lock:
            released, self._released = self._released, Counter()
            largest_bytes, self._largest_bytes = self._largest_bytes, 0
            peak = memory.take_peak()
        self._trimmer.note(peak, account)
        if released:
            logger.bind(
                released=dict(released),
                largest_bytes=largest_bytes,
                held_bytes=account.total,
                served_bytes=account.served,
                bound_bytes=account.bound,
                clients=len(account),
            ).info("clients_released")
