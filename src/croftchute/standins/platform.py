"""A stand-in for the platform's service: the etcd v3 JSON gateway's mapping, and its faults."""

from __future__ import annotations

import base64
import json
import threading
import time
from collections import Counter, deque
from collections.abc import Iterator
from dataclasses import dataclass
from typing import Any

from croftchute.httpd import Environ, HttpServer, StartResponse, read_body, reply
from croftchute.standins.faults import break_off

THREADS = 32
WATCH_POLL_S = 0.2


@dataclass(kw_only=True)
class PlatformFaults:
    """Switches that tests set; all off at first."""

    down: bool = False
    slow_s: float = 0.0
    lose_write_replies: int = 0


@dataclass(kw_only=True)
class _Row:
    value: str
    revision: int


class PlatformServer:
    """A key-value service on loopback with compare-and-swap, leases, watches and rate limits."""

    def __init__(
        self,
        *,
        faults: PlatformFaults | None = None,
        writes_per_s: int = 100,
        reads_per_s: int = 2000,
    ) -> None:
        self.faults = faults or PlatformFaults()
        self.calls: Counter[str] = Counter()
        self._limits = {"write": writes_per_s, "read": reads_per_s}
        self._recent: dict[str, deque[float]] = {"write": deque(), "read": deque()}
        self._rows: dict[str, _Row] = {}
        self._revision = 0
        self._leases: dict[int, tuple[float, float]] = {}
        self._changed = threading.Condition()
        self._stopped = False
        self._server = HttpServer(app=self._app, address="127.0.0.1", port=0, threads=THREADS)
        self._server.start()

    @property
    def url(self) -> str:
        """Where the service listens."""
        return f"http://127.0.0.1:{self._server.port}"

    def put(self, key: str, value: bytes) -> int:
        """Write a key from the test's side."""
        with self._changed:
            return self._write(_b64(key.encode()), _b64(value))

    def stop(self) -> None:
        """End the stand-in."""
        with self._changed:
            self._stopped = True
            self._changed.notify_all()
        self._server.stop()

    def _app(self, environ: Environ, start_response: StartResponse) -> Any:
        if self.faults.down:
            raise break_off(environ)
        path = environ["PATH_INFO"]
        body = json.loads(read_body(environ) or b"{}")
        kind = "read" if path in ("/v3/kv/range", "/v3/watch") else "write"
        with self._changed:
            self.calls[kind] += 1
            if not self._within_limit(kind):
                return reply(start_response, 429, b"{}")
        if self.faults.slow_s:
            time.sleep(self.faults.slow_s)
        if path == "/v3/watch":
            start_response("200 OK", [("Content-Type", "application/json")])
            return self._watch(environ, body["create_request"])
        with self._changed:
            answer = self._answer(path, body)
        if kind == "write" and self.faults.lose_write_replies > 0:
            self.faults.lose_write_replies -= 1
            raise break_off(environ)
        return reply(start_response, 200, json.dumps(answer).encode())

    def _within_limit(self, kind: str) -> bool:
        now = time.monotonic()
        recent = self._recent[kind]
        while recent and recent[0] < now - 1.0:
            recent.popleft()
        if len(recent) >= self._limits[kind]:
            return False
        recent.append(now)
        return True

    def _answer(self, path: str, body: dict[str, Any]) -> dict[str, Any]:
        if path == "/v3/kv/range":
            row = self._rows.get(body["key"])
            return {"header": self._header(), "kvs": [self._kv(body["key"], row)] if row else []}
        if path == "/v3/kv/txn":
            return self._txn(body)
        if path == "/v3/lease/grant":
            ttl = float(body["TTL"])
            self._revision += 1
            self._leases[self._revision] = (time.monotonic() + ttl, ttl)
            return {"header": self._header(), "ID": str(self._revision), "TTL": str(int(ttl))}
        if path == "/v3/lease/keepalive":
            return {"result": {"ID": body["ID"], "TTL": str(self._keep(int(body["ID"])))}}
        return {}

    def _txn(self, body: dict[str, Any]) -> dict[str, Any]:
        for compare in body["compare"]:
            row = self._rows.get(compare["key"])
            if (row.revision if row else 0) != int(compare["mod_revision"]):
                return {"header": self._header(), "succeeded": False}
        for success in body["success"]:
            put = success["request_put"]
            self._write(put["key"], put["value"])
        return {"header": self._header(), "succeeded": True}

    def _write(self, key: str, value: str) -> int:
        self._revision += 1
        self._rows[key] = _Row(value=value, revision=self._revision)
        self._changed.notify_all()
        return self._revision

    def _keep(self, lease: int) -> int:
        end, ttl = self._leases.get(lease, (0.0, 0.0))
        if end < time.monotonic():
            self._leases.pop(lease, None)
            return 0
        self._leases[lease] = (time.monotonic() + ttl, ttl)
        return int(ttl)

    def _header(self) -> dict[str, str]:
        return {"revision": str(self._revision)}

    def _kv(self, key: str, row: _Row) -> dict[str, str]:
        return {"key": key, "value": row.value, "mod_revision": str(row.revision)}

    def _watch(self, environ: Environ, request: dict[str, Any]) -> Iterator[bytes]:
        key, after = request["key"], int(request.get("start_revision", 1)) - 1
        yield b'{"result":{"created":true}}\n'
        while True:
            with self._changed:
                row = self._rows.get(key)
                if self._stopped or self.faults.down:
                    raise break_off(environ)
                if row is None or row.revision <= after:
                    self._changed.wait(WATCH_POLL_S)
                    row = self._rows.get(key)
                fresh = row if row is not None and row.revision > after else None
            if fresh is not None:
                after = fresh.revision
                events = [{"type": "PUT", "kv": self._kv(key, fresh)}]
                yield json.dumps({"result": {"events": events}}).encode() + b"\n"


def _b64(raw: bytes) -> str:
    return base64.b64encode(raw).decode()
