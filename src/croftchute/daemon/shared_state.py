"""What all boxes share: the configuration and the range map, as one signed body between peers."""

from __future__ import annotations

import base64
import json
from dataclasses import dataclass

import urllib3

from croftchute.config.checks import parse_document
from croftchute.config.documents import Document
from croftchute.errors import Code, MessageError, StoreError
from croftchute.peers.codec import Codec
from croftchute.tables.dedupe import EMPTY_MAP, RangeMap, dump_rows, parse_rows

SHARED_PATH = "/shared"
TAG_HEADER = "X-Croftchute-Tag"
TIMEOUT_S = 2.0
HTTP_OK = 200


@dataclass(frozen=True, kw_only=True)
class SharedState:
    """A configuration with its revision, and a range map with its version."""

    revision: int = 0
    raw: bytes = b""
    document: Document | None = None
    ranges: RangeMap = EMPTY_MAP


def dump_shared(state: SharedState) -> bytes:
    """The body that a peer is given."""
    body = {
        "revision": state.revision,
        "document": base64.b64encode(state.raw).decode(),
        "version": state.ranges.version,
        "rows": base64.b64encode(dump_rows(state.ranges.rows)).decode(),
    }
    return json.dumps(body).encode()


def parse_shared(body: bytes) -> SharedState:
    """Read what :func:`dump_shared` wrote; raises :class:`CroftchuteError` if it is faulty."""
    try:
        fields = json.loads(body)
        raw = base64.b64decode(fields["document"])
        rows = parse_rows(base64.b64decode(fields["rows"]))
        revision, version = int(fields["revision"]), int(fields["version"])
    except (ValueError, KeyError, TypeError) as error:
        raise MessageError(f"shared state: {error}") from None
    return SharedState(
        revision=revision,
        raw=raw,
        document=parse_document(raw) if revision else None,
        ranges=RangeMap(version=version, rows=rows),
    )


def fetch_shared(pool: urllib3.PoolManager, url: str, codec: Codec) -> SharedState:
    """Get a peer's shared state; raises :class:`CroftchuteError` unless it is authentic."""
    try:
        response = pool.request("GET", url + SHARED_PATH, timeout=TIMEOUT_S, retries=False)
    except urllib3.exceptions.HTTPError as error:
        raise StoreError(Code.STORE_UNAVAILABLE, f"{url}: {error}") from None
    if response.status != HTTP_OK:
        raise StoreError(Code.STORE_UNAVAILABLE, f"{url}: HTTP {response.status}")
    if not codec.verify(response.data, response.headers.get(TAG_HEADER, "")):
        raise MessageError(f"{url}: the tag fits none of the keys")
    return parse_shared(response.data)
