"""The meeting point of a caller's thread and the runner, one for each open request."""

from __future__ import annotations

import queue
import threading

from croftchute.commands import DecideCall, RefuseRequest, StartAttempt

Decision = StartAttempt | RefuseRequest | DecideCall


class Exchange:
    """Decisions for one request, and what wakes its thread."""

    def __init__(self, *, request_id: str) -> None:
        self.request_id = request_id
        self.gone = threading.Event()
        self._decisions: queue.SimpleQueue[Decision | None] = queue.SimpleQueue()

    def decide(self, decision: Decision) -> None:
        """Hand a decision to the caller's thread."""
        self._decisions.put(decision)

    def wait(self, timeout_s: float) -> Decision | None:
        """The next decision; None if the caller left, nothing came in time, or on a wake-up."""
        try:
            return self._decisions.get(timeout=timeout_s)
        except queue.Empty:
            return None

    def wake(self) -> None:
        """Wake the caller's thread: one of its attempts has changed."""
        self._decisions.put(None)

    def leave(self) -> None:
        """The caller has left: wake its thread, which ends its attempts."""
        self.gone.set()
        self._decisions.put(None)


class ExchangeBoard:
    """All exchanges of a process, by request id or call token."""

    def __init__(self) -> None:
        self._exchange_by_id: dict[str, Exchange] = {}
        self._lock = threading.Lock()

    def __len__(self) -> int:
        return len(self._exchange_by_id)

    def open(self, request_id: str) -> Exchange:
        """A new exchange."""
        exchange = Exchange(request_id=request_id)
        with self._lock:
            self._exchange_by_id[request_id] = exchange
        return exchange

    def close(self, request_id: str) -> None:
        """Forget an exchange."""
        with self._lock:
            self._exchange_by_id.pop(request_id, None)

    def decide(self, request_id: str, decision: Decision) -> bool:
        """Hand on a decision; False if its request is no longer here."""
        exchange = self._exchange_by_id.get(request_id)
        if exchange is None:
            return False
        exchange.decide(decision)
        return True
