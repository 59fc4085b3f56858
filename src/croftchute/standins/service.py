"""A stand-in for a plain service: counts executions by request id."""

from __future__ import annotations

import json
import threading
from collections import Counter
from dataclasses import dataclass
from typing import Any

from croftchute.httpd import Environ, HttpServer, StartResponse, read_body, reply
from croftchute.standins.faults import break_off

THREADS = 16


@dataclass(kw_only=True)
class ServiceFaults:
    """Switches that tests set; all off at first."""

    lose_replies: int = 0
    late_s: float = 0.0
    refuse_before_run: int = 0


class ServiceServer:
    """A plain service that listens on loopback; ``runs_by_subject`` counts by request body."""

    def __init__(self, *, id: str, faults: ServiceFaults | None = None) -> None:
        self.id = id
        self.faults = faults or ServiceFaults()
        self.runs_by_subject: Counter[str] = Counter()
        self.runs_by_request: Counter[str] = Counter()
        self._lock = threading.Lock()
        self._wait = threading.Event()
        self._server = HttpServer(app=self._app, address="127.0.0.1", port=0, threads=THREADS)
        self._server.start()

    @property
    def url(self) -> str:
        """Where the service listens."""
        return f"http://127.0.0.1:{self._server.port}"

    def stop(self) -> None:
        """End the stand-in."""
        self._wait.set()
        self._server.stop()

    def _app(self, environ: Environ, start_response: StartResponse) -> Any:
        body = read_body(environ).decode()
        with self._lock:
            self.runs_by_subject[body] += 1
            self.runs_by_request[environ.get("HTTP_X_REQUEST_ID", "")] += 1
            number = self.runs_by_subject.total()
            lose = self.faults.lose_replies > 0
            self.faults.lose_replies -= int(lose)
        if lose:
            raise break_off(environ)
        if self.faults.late_s:
            self._wait.wait(self.faults.late_s)
        answer = {"service": self.id, "path": environ["PATH_INFO"], "number": number}
        return reply(start_response, 200, json.dumps(answer).encode())
