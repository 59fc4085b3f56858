"""What boxes tell each other of the store, over HTTP: typed messages in MessagePack.

Long values travel deflated: a configuration of four thousand routes, 1 MB as the store sends it, is
62 KB so, an eighth of a second on a link of 5 Mbit/s in place of 1.7 s.
"""

from __future__ import annotations

import zlib
from dataclasses import dataclass
from functools import lru_cache
from typing import TypeVar

import msgspec

from croftchute.errors import MessageError
from croftchute.storage.watched import Changes, Listing, StoredItem

PACKED_FROM_BYTES = 1024
"""Length of a value from which on it is deflated: an entry of a worker is shorter."""

PACK_LEVEL = 1
"""The quickest: 3 ms for a configuration of 773 KB, and within 4% of the size at level 6."""

MAX_VALUE_BYTES = 16 << 20
"""Longest value in bytes that is taken from a peer: sixteen times what the store holds."""

MAX_TOLD_BYTES = 131_072
"""Longest value, as it travels, that a relay passes on to its followers: ten copies take 2 s on a
link of 5 Mbit/s. A longer one each box reads from the store itself."""

KEPT_PACKED = 2
"""Deflated values kept for the next box that asks: the present and the previous configuration."""


class ToldItem(msgspec.Struct, frozen=True, kw_only=True):
    """A key of the store; ``value`` is deflated if ``is_packed``."""

    key: str
    value: bytes
    revision: int
    is_packed: bool = False


class News(msgspec.Struct, frozen=True, kw_only=True):
    """Changes of a prefix; ``untold`` are keys whose values are to be read from the store.

    ``proven_s`` is when the store last answered the relay, in seconds after the call came there;
    negative if before, None from boxes that do not tell it.
    """

    written: tuple[ToldItem, ...]
    untold: tuple[str, ...]
    removed: tuple[str, ...]
    revision: int
    newest: int
    proven_s: float | None = None


@dataclass(frozen=True, kw_only=True, slots=True)
class ToldChanges:
    """Changes as a relay tells them, and ``proven_s`` as in :class:`News`."""

    changes: Changes
    proven_s: float | None


class Known(msgspec.Struct, frozen=True, kw_only=True):
    """All that a box knows of a prefix."""

    items: tuple[ToldItem, ...]
    revision: int


M = TypeVar("M", News, Known)


def encode_news(changes: Changes, *, proven_s: float | None = None) -> bytes:
    """Changes for a follower; what is too long to be passed on is only named."""
    told = [_told(item) for item in changes.written]
    news = News(
        written=tuple(item for item in told if len(item.value) <= MAX_TOLD_BYTES),
        untold=tuple(item.key for item in told if len(item.value) > MAX_TOLD_BYTES),
        removed=changes.removed,
        revision=changes.revision,
        newest=changes.newest,
        proven_s=proven_s,
    )
    return msgspec.msgpack.encode(news)


def decode_news(body: bytes) -> ToldChanges:
    """The same back; raises MessageError."""
    news = _decode(body, News)
    changes = Changes(
        written=tuple(_item(told) for told in news.written),
        removed=news.removed,
        revision=news.revision,
        newest=news.newest,
        untold=news.untold,
    )
    return ToldChanges(changes=changes, proven_s=news.proven_s)


def encode_known(listing: Listing) -> bytes:
    """A listing for a box that is behind.

    >>> item = StoredItem(key="a", value=b"x" * 5000, revision=3)
    >>> body = encode_known(Listing(items=(item,), revision=3))
    >>> len(body) < 200, decode_known(body).items == (item,)
    (True, True)
    """
    items = tuple(_told(item) for item in listing.items)
    return msgspec.msgpack.encode(Known(items=items, revision=listing.revision))


def decode_known(body: bytes) -> Listing:
    """The same back; raises MessageError."""
    known = _decode(body, Known)
    return Listing(items=tuple(_item(told) for told in known.items), revision=known.revision)


def _decode(body: bytes, kind: type[M]) -> M:
    try:
        return msgspec.msgpack.decode(body, type=kind)
    except msgspec.DecodeError as error:
        raise MessageError(f"not {kind.__name__.lower()}: {error}") from None


def _told(item: StoredItem) -> ToldItem:
    if len(item.value) < PACKED_FROM_BYTES:
        return ToldItem(key=item.key, value=item.value, revision=item.revision)
    return ToldItem(key=item.key, value=_packed(item.value), revision=item.revision, is_packed=True)


@lru_cache(maxsize=KEPT_PACKED)
def _packed(value: bytes) -> bytes:
    return zlib.compress(value, PACK_LEVEL)


def _item(told: ToldItem) -> StoredItem:
    value = _unpacked(told.value) if told.is_packed else told.value
    return StoredItem(key=told.key, value=value, revision=told.revision)


def _unpacked(packed: bytes) -> bytes:
    reader = zlib.decompressobj()
    try:
        value = reader.decompress(packed, MAX_VALUE_BYTES)
    except zlib.error as error:
        raise MessageError(f"not a deflated value: {error}") from None
    if not reader.eof:
        raise MessageError(f"a deflated value that is cut, or over {MAX_VALUE_BYTES} bytes")
    return value
