"""News of the store from box to box: the answers, and the calls that ask for them.

Two GET calls on the control port. ``/news`` waits for what changes after a revision, and is
answered by boxes that read the store; ``/known`` tells all that a box knows of a prefix, for one
that is behind and does not hear it from the store.
"""

from __future__ import annotations

import base64
from http import HTTPStatus
from typing import Any
from urllib.parse import parse_qs, quote, urlsplit

import msgspec

from croftchute.errors import MessageError
from croftchute.forwarding.deadline import within
from croftchute.forwarding.failures import ConnectionBrokenError
from croftchute.forwarding.news_log import NewsLog, NotARelayError
from croftchute.forwarding.state import ForwardingState
from croftchute.forwarding.transfer import TransferMeter, read_while_it_comes
from croftchute.storage.watched import Changes, HistoryGoneError, Listing, StoredItem
from croftchute.tables.peers import Peer

NEWS_PATH = "/news"
KNOWN_PATH = "/known"

NEWS_WAIT_S = 3.0
"""Seconds that a call for news waits: a relay that falls silent is noticed some time after."""

MARGIN_S = 0.5
"""Seconds given to a peer for the head of an answer beside the waiting: many round trips within a
hall. How long the body takes depends on its length and the links."""

MAX_TOLD_BYTES = 16_384
"""Longest value in bytes that a relay passes on: twenty followers' copies of it then take a box's
link of 10 Mbit/s for a third of a second; a longer one they read from the store themselves."""

MAX_ANSWER_BYTES = 8 << 20
"""Longest answer of a peer in bytes: a configuration of many routes, and all workers."""

Answer = tuple[HTTPStatus, bytes]


async def answer_news(log: NewsLog, target: str, state: ForwardingState) -> Answer:
    """What has changed after the revision that the call names, as soon as something has."""
    try:
        after = int(_query(target)["after"])
    except (KeyError, ValueError):
        return HTTPStatus.BAD_REQUEST, b""
    try:
        if log.is_fresh(state.clock()):
            await log.wait_for_change(after, NEWS_WAIT_S)
        if not log.is_fresh(state.clock()):
            return HTTPStatus.SERVICE_UNAVAILABLE, b""
        changes = log.since(after)
    except HistoryGoneError:
        return HTTPStatus.GONE, b""
    told = [item for item in changes.written if len(item.value) <= MAX_TOLD_BYTES]
    untold = [item.key for item in changes.written if len(item.value) > MAX_TOLD_BYTES]
    answer = {
        "written": [_encoded(item) for item in told],
        "untold": untold,
        "removed": list(changes.removed),
        "revision": changes.revision,
        "newest": changes.newest,
    }
    return HTTPStatus.OK, msgspec.json.encode(answer)


def answer_known(listing: Listing) -> Answer:
    """All that this box knows of a prefix."""
    items = [_encoded(item) for item in listing.items]
    return HTTPStatus.OK, msgspec.json.encode({"items": items, "revision": listing.revision})


def prefix_of(target: str) -> str:
    """The prefix that a call is about; empty if it names none.

    >>> prefix_of("/known?prefix=servers%2F")
    'servers/'
    """
    return _query(target).get("prefix", "")


async def ask_news(state: ForwardingState, peer: Peer, prefix: str, *, after: int) -> Changes:
    """What a relay of the hall tells of a prefix; waits for a change for some time.

    Raises ExchangeError, StoreError or MessageError.
    """
    target = f"{NEWS_PATH}?prefix={quote(prefix, safe='')}&after={after}"
    answer = await _call(state, peer, "news", target, NEWS_WAIT_S + MARGIN_S)
    try:
        return Changes(
            written=tuple(_decoded(entry) for entry in answer["written"]),
            removed=tuple(answer["removed"]),
            revision=answer["revision"],
            newest=answer["newest"],
            untold=tuple(answer["untold"]),
        )
    except (KeyError, TypeError) as error:
        raise MessageError(f"not news: {error!r}") from None


async def ask_known(state: ForwardingState, peer: Peer, prefix: str) -> Listing:
    """All that a peer knows of a prefix; raises ExchangeError, StoreError or MessageError."""
    target = f"{KNOWN_PATH}?prefix={quote(prefix, safe='')}"
    answer = await _call(state, peer, "known", target, MARGIN_S)
    try:
        items = tuple(_decoded(entry) for entry in answer["items"])
        return Listing(items=items, revision=answer["revision"])
    except (KeyError, TypeError) as error:
        raise MessageError(f"not a listing: {error!r}") from None


async def _call(
    state: ForwardingState, peer: Peer, name: str, target: str, timeout_s: float
) -> dict[str, Any]:
    meter = TransferMeter(call=name, source=peer.id, clock=state.clock, observe=state.note_transfer)
    with meter:
        status, body = await _exchange(state, peer, target, timeout_s, meter)
    if status == HTTPStatus.GONE:
        raise HistoryGoneError(f"{peer.id} does not know so far back")
    if status == HTTPStatus.SERVICE_UNAVAILABLE:
        raise NotARelayError(f"{peer.id} does not read the store")
    if status != HTTPStatus.OK:
        raise ConnectionBrokenError(f"status {status}")
    try:
        answer: dict[str, Any] = msgspec.json.decode(body)
    except msgspec.DecodeError as error:
        raise MessageError(f"not an answer: {error}") from None
    return answer


async def _exchange(
    state: ForwardingState, peer: Peer, target: str, timeout_s: float, meter: TransferMeter
) -> tuple[int, bytes]:
    """Status and body of a call; raises ExchangeError."""
    connection = await state.pool.acquire(
        peer.host, peer.control_port, owner=peer.id, now=state.clock(), timeout_s=MARGIN_S
    )
    try:
        request = f"GET {target} HTTP/1.1\r\nHost: {peer.host}\r\n\r\n"
        connection.send(request.encode("ascii"), expected=None)
        head = await within(connection.read_head(), timeout_s, "no head")
        meter.begin(connection, head.status)
        body = await read_while_it_comes(connection, max_bytes=MAX_ANSWER_BYTES)
        return head.status, body
    finally:
        state.pool.release(
            connection, peer.host, peer.control_port, owner=peer.id, now=state.clock()
        )


def _query(target: str) -> dict[str, str]:
    values_by_name = parse_qs(urlsplit(target).query)
    return {name: values[0] for name, values in values_by_name.items()}


def _encoded(item: StoredItem) -> dict[str, object]:
    value = base64.b64encode(item.value).decode("ascii")
    return {"key": item.key, "value": value, "revision": item.revision}


def _decoded(entry: dict[str, Any]) -> StoredItem:
    try:
        return StoredItem(
            key=entry["key"], value=base64.b64decode(entry["value"]), revision=entry["revision"]
        )
    except (KeyError, ValueError, TypeError) as error:
        raise MessageError(f"not an item: {error}") from None
