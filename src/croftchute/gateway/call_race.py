"""Repeatable calls to several workers, of which the first answer counts."""

from __future__ import annotations

import queue
import threading
from collections.abc import Callable, Sequence

from croftchute.errors import UpstreamError
from croftchute.retry_after import TURNED_AWAY
from croftchute.upstreams.call_ender import CallEnder
from croftchute.upstreams.service import ServiceAnswer

SERVER_ERROR = 500

MakeCall = Callable[[str, float, CallEnder], ServiceAnswer]
"""Calls the worker at a URL, within some seconds."""


class CallRace:
    """The calls of one request to some workers, one after the other.

    A worker that is silent for ``timeout_s`` keeps its call, and the next one is called beside it.
    Together they have as long as calls that time out one after the other.
    """

    def __init__(self, *, urls: Sequence[str], timeout_s: float, make_call: MakeCall) -> None:
        self.timeout_s = timeout_s
        self._urls = list(urls)
        self._make_call = make_call
        self._enders: list[CallEnder] = []
        self._open_calls = 0
        self._results: queue.SimpleQueue[ServiceAnswer | Exception] = queue.SimpleQueue()

    def answer(self) -> ServiceAnswer:
        """The first answer; raises the :class:`UpstreamError` of the last worker if none comes.

        A server error or a refusal is no answer while a silent worker may have one.
        """
        if len(self._urls) == 1:
            return self._make_call(self._urls[0], self.timeout_s, CallEnder())
        try:
            return self._first()
        finally:
            for ender in self._enders:
                ender.end()

    def _first(self) -> ServiceAnswer:
        errors: list[ServiceAnswer] = []
        failure: UpstreamError | None = None
        while self._urls or self._open_calls:
            result = self._next_result()
            if isinstance(result, UpstreamError):
                failure = result
            elif isinstance(result, Exception):
                raise result
            elif result is not None:
                if not _is_refused(result) or not self._open_calls:
                    return result
                errors.append(result)
        if errors:
            return errors[0]
        assert failure is not None
        raise failure

    def _next_result(self) -> ServiceAnswer | Exception | None:
        """What comes next of a worker; None if all are silent and there is another one."""
        if self._urls:
            self._call_next()
        try:
            result = self._results.get(timeout=self.timeout_s if self._urls else None)
        except queue.Empty:
            return None
        self._open_calls -= 1
        return result

    def _call_next(self) -> None:
        limit_s = self.timeout_s * len(self._urls)
        url, ender = self._urls.pop(0), CallEnder()
        self._enders.append(ender)
        self._open_calls += 1
        name = f"call-{url}"
        threading.Thread(
            target=self._call, args=(url, limit_s, ender), daemon=True, name=name
        ).start()

    def _call(self, url: str, limit_s: float, ender: CallEnder) -> None:
        try:
            self._results.put(self._make_call(url, limit_s, ender))
        except Exception as error:  # raised on the caller's thread
            self._results.put(error)


def _is_refused(answer: ServiceAnswer) -> bool:
    return answer.status >= SERVER_ERROR or answer.status in TURNED_AWAY
