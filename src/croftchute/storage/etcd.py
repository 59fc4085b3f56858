"""The platform's service over the etcd v3 JSON gateway.

Source of the mapping: the etcd documentation, "gRPC gateway" (keys and values in base64, 64-bit
integers as decimal strings, ``/v3/kv/range``, ``/v3/kv/txn``, ``/v3/lease/grant``,
``/v3/lease/keepalive``, ``/v3/watch``).
"""

from __future__ import annotations

import base64
import json
from collections.abc import Iterator
from typing import Any

import urllib3

from croftchute.errors import Code, StoreError
from croftchute.storage.store import BOXES_KEY, CompactedError, Entry, ListedBox

CONNECT_S = 1.0
READ_S = 3.0

WATCH_READ_S = 60.0
"""Seconds without a byte after which a watch is given up and begun anew from where it was: a
connection that went silent (a dropped route, a stalled proxy) hides changes for no longer. Our own
choice: a new watch brings nothing twice, so that one a minute for each relay costs little."""

HTTP_OK = 200
HTTP_TOO_MANY = 429

Body = dict[str, Any]


class EtcdStore:
    """One client of the service; safe to use from several threads."""

    def __init__(self, *, urls: list[str], read_s: float = READ_S) -> None:
        self.urls = list(urls)
        self._pool = urllib3.PoolManager(
            retries=False, timeout=urllib3.Timeout(connect=CONNECT_S, read=read_s), maxsize=4
        )

    def __repr__(self) -> str:
        return f"EtcdStore(urls={self.urls!r})"

    def get(self, key: str) -> Entry:
        """The present value of a key."""
        reply = self._call("/v3/kv/range", {"key": _b64(key.encode())}, writes=False)
        rows = reply.get("kvs", [])
        if not rows:
            return Entry(key=key, value=b"", revision=0)
        return _entry(key, rows[0])

    def compare_and_swap(self, key: str, value: bytes, *, revision: int) -> Entry | None:
        """Write if the key's revision is still this one; None if another write came first."""
        encoded = _b64(key.encode())
        compare = {
            "key": encoded,
            "target": "MOD",
            "result": "EQUAL",
            "mod_revision": str(revision),
        }
        put = {"request_put": {"key": encoded, "value": _b64(value)}}
        reply = self._call("/v3/kv/txn", {"compare": [compare], "success": [put]}, writes=True)
        if not reply.get("succeeded", False):
            return None
        written = int(reply["header"]["revision"])
        return Entry(key=key, value=value, revision=written)

    def grant_lease(self, ttl_s: float) -> int:
        """A new lease."""
        reply = self._call("/v3/lease/grant", {"TTL": str(max(1, round(ttl_s)))}, writes=True)
        return int(reply["ID"])

    def keep_lease(self, lease: int) -> float:
        """Renew a lease; the seconds it has left."""
        reply = self._call("/v3/lease/keepalive", {"ID": str(lease)}, writes=True)
        return float(reply.get("result", {}).get("TTL", 0))

    def watch(self, key: str, *, after: int) -> Iterator[Entry]:
        """Writes of a key after a revision, as they come."""
        request = {"create_request": {"key": _b64(key.encode()), "start_revision": str(after + 1)}}
        timeout = urllib3.Timeout(connect=CONNECT_S, read=WATCH_READ_S)
        try:
            response = self._pool.request(
                "POST",
                self.urls[0] + "/v3/watch",
                body=json.dumps(request),
                preload_content=False,
                timeout=timeout,
            )
        except urllib3.exceptions.HTTPError as error:
            raise StoreError(Code.STORE_UNAVAILABLE, f"watch: {error}") from None
        try:
            yield from _watched(key, response)
        except urllib3.exceptions.ReadTimeoutError:
            return
        except urllib3.exceptions.HTTPError as error:
            raise StoreError(Code.STORE_UNAVAILABLE, f"watch: {error}") from None
        finally:
            response.close()

    def boxes(self) -> list[ListedBox]:
        """The platform's list of boxes."""
        entry = self.get(BOXES_KEY)
        return [ListedBox(**row) for row in json.loads(entry.value or b"[]")]

    def _call(self, path: str, body: Body, *, writes: bool) -> Body:
        failure: Exception | None = None
        for url in self.urls:
            try:
                response = self._pool.request("POST", url + path, body=json.dumps(body))
            except urllib3.exceptions.NewConnectionError as error:
                failure = error
                continue
            except urllib3.exceptions.HTTPError as error:
                message = f"{path}: {error}"
                raise StoreError(Code.STORE_UNAVAILABLE, message, maybe_applied=writes) from None
            return self._reply(path, response, writes=writes)
        raise StoreError(Code.STORE_UNAVAILABLE, f"{path}: {failure}")

    def _reply(self, path: str, response: urllib3.BaseHTTPResponse, *, writes: bool) -> Body:
        if response.status == HTTP_TOO_MANY:
            raise StoreError(Code.STORE_RATE_LIMITED, f"{path}: rate limited")
        if response.status != HTTP_OK:
            message = f"{path}: HTTP {response.status}"
            raise StoreError(Code.STORE_UNAVAILABLE, message, maybe_applied=writes)
        reply: Body = json.loads(response.data)
        return reply


def _watched(key: str, response: urllib3.BaseHTTPResponse) -> Iterator[Entry]:
    if response.status != HTTP_OK:
        raise StoreError(Code.STORE_UNAVAILABLE, f"watch: HTTP {response.status}")
    pending = b""
    for chunk in response.stream(None):
        pending += chunk
        *lines, pending = pending.split(b"\n")
        for line in filter(None, lines):
            yield from _events(key, json.loads(line))


def _events(key: str, message: Body) -> Iterator[Entry]:
    result = message.get("result", {})
    for event in result.get("events", []):
        yield _entry(key, event["kv"])
    if oldest := int(result.get("compact_revision", 0)):
        raise CompactedError(f"watch: history begins at {oldest}", oldest=oldest)
    if "error" in message or result.get("canceled", False):
        raise StoreError(Code.STORE_UNAVAILABLE, "watch: ended by the store")


def _b64(raw: bytes) -> str:
    return base64.b64encode(raw).decode()


def _entry(key: str, row: Body) -> Entry:
    value = base64.b64decode(row.get("value", ""))
    return Entry(key=key, value=value, revision=int(row["mod_revision"]))
