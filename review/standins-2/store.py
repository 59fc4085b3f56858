"""The platform's metadata store, as PROTOCOL.md describes its calls."""

from __future__ import annotations

import asyncio
import base64
import itertools
import json
from urllib.parse import parse_qs, urlsplit

from httpserver import Answer, HttpServer, Request

PAGE = 500


class Store:
    """Items by key, a history of changes, and leases; ``revision`` counts the changes."""

    def __init__(self) -> None:
        self.revision = 0
        self.oldest = 0
        self.items: dict[str, dict] = {}
        self.events: list[dict] = []
        self.lease_ends: dict[int, float] = {}
        self.ttl_by_lease: dict[int, float] = {}
        self._lease_numbers = itertools.count(7001)
        self._changed = asyncio.Event()
        self._is_hushed = False
        self._is_away = False
        self._cuts = 0
        self.era = 0
        self.server = HttpServer(self._answer)

    async def start(self) -> int:
        """Listen; return the port."""
        asyncio.get_running_loop().create_task(self._end_leases())
        return await self.server.start()

    def put(self, key: str, value: dict, lease: int = 0) -> None:
        """Write a JSON value, as the operator and the workers do."""
        self._put(key, base64.b64encode(json.dumps(value).encode()).decode(), lease)

    def remove(self, key: str) -> None:
        """Remove a key."""
        if self.items.pop(key, None) is not None:
            self.revision += 1
            self._note({"PrivateKey": key, "Revision": self.revision, "gone": True})

    def hush_watches(self) -> None:
        """Let watches hear nothing of what changes."""
        self._is_hushed = True

    def forget_history(self) -> None:
        """Drop the history, as a compaction does, and cut the watches."""
        self._is_hushed = False
        self.oldest = self.revision
        self.events.clear()
        self._cuts += 1
        self._note(None)

    def copy(self) -> tuple[int, dict[str, dict]]:
        """What the store holds now, for a drill."""
        return self.revision, {key: dict(item) for key, item in self.items.items()}

    def go_away(self) -> None:
        """Refuse all calls, and cut the watches."""
        self._is_away = True
        self._cuts += 1
        self._note(None)

    def come_back(self, copy: tuple[int, dict[str, dict]]) -> None:
        """Come back from an older copy: what was written since is gone, leases too."""
        self.revision, items = copy
        self.items = {key: item for key, item in items.items() if not item["lease"]}
        self.lease_ends.clear()
        self.events.clear()
        self.oldest = self.revision
        self.era += 1
        self._is_away = False

    def _put(self, key: str, value: str, lease: int) -> None:
        self.revision += 1
        made = self.items[key]["made"] if key in self.items else self.revision
        item = {"PrivateKey": key, "Value": value, "Revision": self.revision}
        self.items[key] = item | {"made": made, "lease": lease}
        self._note(self.items[key])

    def _note(self, event: dict | None) -> None:
        if event is not None:
            self.events.append(event)
        self._changed.set()
        self._changed = asyncio.Event()

    async def _end_leases(self) -> None:
        while True:
            await asyncio.sleep(0.05)
            now = asyncio.get_running_loop().time()
            for lease in [lease for lease, end in self.lease_ends.items() if end <= now]:
                self._end_lease(lease)

    def _end_lease(self, lease: int) -> None:
        self.lease_ends.pop(lease, None)
        for key in [key for key, item in self.items.items() if item["lease"] == lease]:
            self.remove(key)

    async def _answer(self, request: Request, _: asyncio.StreamWriter) -> Answer:
        url = urlsplit(request.target)
        query = {name: values[0] for name, values in parse_qs(url.query).items()}
        name, _, rest = url.path.strip("/").partition("/")
        content = json.loads(request.body) if request.body else {}
        headers = {"Content-Type": "application/json", "Store-Era": str(self.era)}
        if self._is_away:
            return Answer(503, b"{}", headers)
        match name:
            case "kv-key":
                item = self.items.get(query["PrivateKey"])
                found = (404, {}) if item is None else (200, item | {"at": self.revision})
            case "kv-range":
                found = 200, self._range(query["PathPrefix"], query.get("after", ""))
            case "kv-watch":
                found = await self._watch(query)
            case "kv-txn":
                found = self._transact(content)
            case "kv-lease":
                found = 200, self._grant(content["ttl_ms"])
            case "kv-keep":
                found = self._keep(int(rest))
            case "kv-lease-end":
                self._end_lease(int(rest))
                found = 200, {}
            case _:
                found = 404, {}
        headers["Store-Era"] = str(self.era)
        return Answer(found[0], json.dumps(found[1]).encode(), headers)

    def _range(self, prefix: str, after: str) -> dict:
        keys = sorted(key for key in self.items if key.startswith(prefix) and key > after)
        rows = [self.items[key] for key in keys[:PAGE]]
        return {"items": rows, "more": len(keys) > PAGE, "at": self.revision}

    async def _watch(self, query: dict[str, str]) -> tuple[int, dict]:
        prefix, after = query["PathPrefix"], int(query["after"])
        ends_at = asyncio.get_running_loop().time() + int(query["WaitMs"]) / 1000.0
        cuts = self._cuts
        while True:
            if cuts != self._cuts:
                raise ConnectionAbortedError("the watch is cut")
            if not self.oldest <= after <= self.revision:
                return 410, {}
            events = [
                event
                for event in self.events
                if event["Revision"] > after and event["PrivateKey"].startswith(prefix)
            ]
            if self._is_hushed:
                events = []
            left_s = ends_at - asyncio.get_running_loop().time()
            if events or left_s <= 0.0:
                at = after if self._is_hushed else self.revision
                return 200, {"events": events, "at": at}
            try:
                await asyncio.wait_for(self._changed.wait(), left_s)
            except TimeoutError:
                continue

    def _transact(self, content: dict) -> tuple[int, dict]:
        for row in content.get("ExpectRevision", []):
            item = self.items.get(row["PrivateKey"])
            if (item["Revision"] if item else 0) != row["Revision"]:
                return 412, {"items": [item] if item else []}
        if any(
            entry.get("lease") and entry["lease"] not in self.lease_ends
            for entry in content.get("put", [])
        ):
            return 404, {}
        for entry in content.get("put", []):
            self._put(entry["PrivateKey"], entry["Value"], entry.get("lease", 0))
        for key in content.get("Remove", []):
            self.remove(key)
        return 200, {"Revision": self.revision}

    def _grant(self, ttl_ms: int) -> dict:
        lease = next(self._lease_numbers)
        self.ttl_by_lease[lease] = ttl_ms / 1000.0
        self.lease_ends[lease] = asyncio.get_running_loop().time() + ttl_ms / 1000.0
        return {"lease": lease, "ttl_ms": ttl_ms}

    def _keep(self, lease: int) -> tuple[int, dict]:
        if lease not in self.lease_ends:
            return 404, {}
        self.lease_ends[lease] = asyncio.get_running_loop().time() + self.ttl_by_lease[lease]
        return 200, {"ttl_ms": int(self.ttl_by_lease[lease] * 1000)}
