"""A stand-in for the users' metadata store, written from its pages: HTTP, revisions, leases.

Faults are set from outside: ``refuses`` answers 503, ``is_silent`` never answers, ``loses`` does
what is asked and does not answer, ``late_s`` does writes after a while and does not answer. It may
also come back from a copy of itself, which begins a new era.
"""

from __future__ import annotations

import asyncio
import base64
from dataclasses import dataclass, field, replace
from typing import Any
from urllib.parse import parse_qs, urlsplit

import msgspec

from croftchute.forwarding.http.exchange import Exchange
from croftchute.forwarding.http.http_server import HttpIngress
from croftchute.tables.routing import HeaderList, IngressLimits

JsonObject = dict[str, Any]
PAGE = 50
NEVER_S = 3600.0

FIRST_LEASE = 103_008_338_286_538
"""Number of the first lease: as long as those of the users' store, which begin anywhere."""


@dataclass(kw_only=True)
class StoreFaults:
    """What goes wrong with the store at the moment."""

    refuses: bool = False
    is_rate_limited: bool = False
    is_silent: bool = False
    loses_answers: bool = False
    late_s: float | None = None


@dataclass(kw_only=True)
class Item:
    """A value with its revisions and its lease."""

    value: str
    revision: int
    made: int
    lease: int = 0


@dataclass(frozen=True, kw_only=True, slots=True)
class StoreCopy:
    """What the store held at some moment."""

    revision: int
    items_by_key: dict[str, Item]
    lease_ends: dict[int, float]
    ttl_by_lease: dict[int, float]
    next_lease: int


@dataclass(kw_only=True)
class MetadataStore:
    """The store's content and its calls; every change raises one revision.

    ``era_header`` stands in all answers as it is, so that odd ones can be sent.
    ``wanted_by_key`` is what operators and workers wrote last, whatever became of it.
    ``calls`` are the names of all calls, ``read_keys`` the keys that were read one by one.
    """

    faults: StoreFaults = field(default_factory=StoreFaults)
    revision: int = 0
    era: int = 0
    era_header: str | None = None
    items_by_key: dict[str, Item] = field(default_factory=dict)
    wanted_by_key: dict[str, str] = field(default_factory=dict)
    history: list[tuple[int, JsonObject]] = field(default_factory=list)
    oldest_known: int = 0
    calls: list[str] = field(default_factory=list)
    read_keys: list[str] = field(default_factory=list)
    lease_ends: dict[int, float] = field(default_factory=dict)
    ttl_by_lease: dict[int, float] = field(default_factory=dict)

    def __post_init__(self) -> None:
        self._changed = asyncio.Event()
        self._next_lease = FIRST_LEASE
        self.ingress = HttpIngress(handler=self._answer, limits=IngressLimits)

    async def start(self) -> int:
        """Listen on some port; returns it."""
        await self.ingress.listen("127.0.0.1", 0)
        return self.ingress.port

    # What operators and workers do.

    def put(self, key: str, value: JsonObject, *, lease: int = 0) -> int:
        """Write a JSON value."""
        encoded = base64.b64encode(msgspec.json.encode(value)).decode()
        self.wanted_by_key[key] = encoded
        return self._put(key, encoded, lease)

    def holds(self, key: str, value: JsonObject) -> bool:
        """Whether a key has this JSON value."""
        item = self.items_by_key.get(key)
        return item is not None and msgspec.json.decode(base64.b64decode(item.value)) == value

    def write_again(self, key: str) -> None:
        """Bring a key to what its writer made of it last, if a restored copy has it otherwise."""
        wanted = self.wanted_by_key.get(key)
        present = self.items_by_key.get(key)
        if wanted is None:
            self.remove(key)
        elif present is None or present.value != wanted:
            self._put(key, wanted, 0)

    def remove(self, key: str) -> None:
        """Remove a key."""
        self.wanted_by_key.pop(key, None)
        if self.items_by_key.pop(key, None) is not None:
            self.revision += 1
            self._note({"PrivateKey": key, "Revision": self.revision, "gone": True})

    def forget_history(self) -> None:
        """Drop the history, as a compaction does."""
        self.oldest_known = self.revision
        self.history.clear()
        self._wake()

    def copy(self) -> StoreCopy:
        """What the store holds now, for :meth:`restore`."""
        return StoreCopy(
            revision=self.revision,
            items_by_key={key: replace(item) for key, item in self.items_by_key.items()},
            lease_ends=dict(self.lease_ends),
            ttl_by_lease=dict(self.ttl_by_lease),
            next_lease=self._next_lease,
        )

    def restore(self, copy: StoreCopy) -> None:
        """Come back from an older copy: what was written since is gone, numbers go back."""
        self.era += 1
        self.revision = copy.revision
        self.items_by_key = {key: replace(item) for key, item in copy.items_by_key.items()}
        self.lease_ends = dict(copy.lease_ends)
        self.ttl_by_lease = dict(copy.ttl_by_lease)
        self._next_lease = copy.next_lease
        self.oldest_known = copy.revision
        self.history.clear()
        self._wake()

    def end_lease(self, lease: int) -> None:
        """End a lease; its keys go with it."""
        self.lease_ends.pop(lease, None)
        for key in [key for key, item in self.items_by_key.items() if item.lease == lease]:
            self.remove(key)

    def expire(self, now: float) -> None:
        """End the leases whose time is over."""
        for lease in [lease for lease, end in self.lease_ends.items() if end <= now]:
            self.end_lease(lease)

    # Its calls.

    async def _answer(self, exchange: Exchange) -> None:
        request = exchange.request
        url = urlsplit(request.target)
        query = {key: values[0] for key, values in parse_qs(url.query).items()}
        name = url.path.strip("/").split("/")[0]
        self.calls.append(name)
        if self.faults.is_silent:
            await asyncio.sleep(NEVER_S)
        if self.faults.refuses or self.faults.is_rate_limited:
            exchange.send(429 if self.faults.is_rate_limited else 503, self._era(), b"")
            return
        self.expire(asyncio.get_running_loop().time())
        content = msgspec.json.decode(request.body) if request.body else {}
        is_write = name in ("kv-txn", "kv-lease")
        if is_write and self.faults.late_s is not None:
            await asyncio.sleep(self.faults.late_s)
        status, answer = await self._do(name, url.path, query, content)
        if is_write and (self.faults.loses_answers or self.faults.late_s is not None):
            await asyncio.sleep(NEVER_S)
        exchange.send(status, self._era(), msgspec.json.encode(answer))

    def _era(self) -> HeaderList:
        value = str(self.era) if self.era_header is None else self.era_header
        return [(b"store-era", value.encode("latin-1"))]

    async def _do(
        self, name: str, path: str, query: dict[str, str], content: JsonObject
    ) -> tuple[int, JsonObject]:
        match name:
            case "kv-key":
                return self._key(query["PrivateKey"])
            case "kv-range":
                return 200, self._range(query["PathPrefix"], query.get("after", ""))
            case "kv-watch":
                return await self._watch(query)
            case "kv-txn":
                return self._transact(content)
            case "kv-lease":
                return 200, self._grant(content["ttl_ms"] / 1000.0)
            case "kv-keep":
                return self._keep(int(path.rpartition("/")[2]))
        return 404, {}

    def _key(self, key: str) -> tuple[int, JsonObject]:
        self.read_keys.append(key)
        item = self.items_by_key.get(key)
        if item is None:
            return 404, {}
        return 200, self._row(key, item) | {"at": self.revision}

    def _range(self, prefix: str, after: str) -> JsonObject:
        keys = sorted(k for k in self.items_by_key if k.startswith(prefix) and k > after)
        rows = [self._row(key, self.items_by_key[key]) for key in keys[:PAGE]]
        return {"items": rows, "more": len(keys) > PAGE, "at": self.revision}

    async def _watch(self, query: dict[str, str]) -> tuple[int, JsonObject]:
        prefix, after = query["PathPrefix"], int(query["after"])
        end = asyncio.get_running_loop().time() + int(query["WaitMs"]) / 1000.0
        while True:
            if not self.oldest_known <= after <= self.revision:
                return 410, {}
            events = [
                event
                for revision, event in self.history
                if revision > after and event["PrivateKey"].startswith(prefix)
            ]
            left = end - asyncio.get_running_loop().time()
            if events or left <= 0.0:
                return 200, {"events": events, "at": self.revision}
            try:
                async with asyncio.timeout(left):
                    await self._changed.wait()
            except TimeoutError:
                continue

    def _transact(self, content: JsonObject) -> tuple[int, JsonObject]:
        for row in content.get("ExpectRevision", []):
            item = self.items_by_key.get(row["PrivateKey"])
            if (item.revision if item else 0) != row["Revision"]:
                rows = [self._row(row["PrivateKey"], item)] if item else []
                return 412, {"items": rows}
        for entry in content.get("put", []):
            lease = entry.get("lease", 0)
            if lease and lease not in self.lease_ends:
                return 404, {}
        for entry in content.get("put", []):
            self._put(entry["PrivateKey"], entry["Value"], entry.get("lease", 0))
        for key in content.get("Remove", []):
            self.remove(key)
        return 200, {"Revision": self.revision}

    def _grant(self, ttl_s: float) -> JsonObject:
        lease = self._next_lease
        self._next_lease += 1
        self.ttl_by_lease[lease] = ttl_s
        self.lease_ends[lease] = asyncio.get_running_loop().time() + ttl_s
        return {"lease": lease, "ttl_ms": int(ttl_s * 1000)}

    def _keep(self, lease: int) -> tuple[int, JsonObject]:
        if lease not in self.lease_ends:
            return 404, {}
        ttl_s = self.ttl_by_lease[lease]
        self.lease_ends[lease] = asyncio.get_running_loop().time() + ttl_s
        return 200, {"ttl_ms": int(ttl_s * 1000)}

    def _put(self, key: str, value: str, lease: int) -> int:
        self.revision += 1
        before = self.items_by_key.get(key)
        made = before.made if before else self.revision
        item = Item(value=value, revision=self.revision, made=made, lease=lease)
        self.items_by_key[key] = item
        self._note(self._row(key, item))
        return self.revision

    def _row(self, key: str, item: Item) -> JsonObject:
        return {
            "PrivateKey": key,
            "Value": item.value,
            "Revision": item.revision,
            "made": item.made,
            "lease": item.lease,
        }

    def _note(self, event: JsonObject) -> None:
        self.history.append((self.revision, event))
        self._wake()

    def _wake(self) -> None:
        self._changed.set()
        self._changed = asyncio.Event()
