"""News of the store from box to box: the answers, and the calls that ask for them.

Two GET calls on the control port. ``/news`` waits for what changes after a revision, and is
answered by boxes that read the store; ``/known`` tells all that a box knows of a prefix, for one
that is behind and does not hear it from the store.
"""

from __future__ import annotations

from http import HTTPStatus
from urllib.parse import parse_qs, quote, urlsplit

from croftchute.forwarding.http.deadline import within
from croftchute.forwarding.http.failures import ConnectionBrokenError
from croftchute.forwarding.http.transfer import TransferMeter, read_while_it_comes
from croftchute.forwarding.state import ForwardingState
from croftchute.forwarding.store.news_log import NewsLog, NotARelayError
from croftchute.forwarding.store.news_messages import (
    decode_known,
    decode_news,
    encode_known,
    encode_news,
)
from croftchute.storage.watched import Changes, HistoryGoneError, Listing
from croftchute.tables.peers import Peer

NEWS_PATH = "/news"
KNOWN_PATH = "/known"

NEWS_WAIT_S = 3.0
"""Seconds that a call for news waits: a relay that falls silent is noticed some time after."""

MARGIN_S = 0.5
"""Seconds given to a peer for the head of an answer beside the waiting: many round trips within a
hall. How long the body takes depends on its length and the links."""

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
    return HTTPStatus.OK, encode_news(changes)


def answer_known(listing: Listing) -> Answer:
    """All that this box knows of a prefix."""
    return HTTPStatus.OK, encode_known(listing)


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
    return decode_news(await _call(state, peer, "news", target, NEWS_WAIT_S + MARGIN_S))


async def ask_known(state: ForwardingState, peer: Peer, prefix: str) -> Listing:
    """All that a peer knows of a prefix; raises ExchangeError, StoreError or MessageError."""
    target = f"{KNOWN_PATH}?prefix={quote(prefix, safe='')}"
    return decode_known(await _call(state, peer, "known", target, MARGIN_S))


async def _call(
    state: ForwardingState, peer: Peer, name: str, target: str, timeout_s: float
) -> bytes:
    """The body of an answer; raises ExchangeError or StoreError."""
    meter = TransferMeter(call=name, source=peer.id, clock=state.clock, observe=state.note_transfer)
    with meter:
        status, body = await _exchange(state, peer, target, timeout_s, meter)
    if status == HTTPStatus.GONE:
        raise HistoryGoneError(f"{peer.id} does not know so far back")
    if status == HTTPStatus.SERVICE_UNAVAILABLE:
        raise NotARelayError(f"{peer.id} does not read the store")
    if status != HTTPStatus.OK:
        raise ConnectionBrokenError(f"status {status}")
    return body


async def _exchange(
    state: ForwardingState, peer: Peer, target: str, timeout_s: float, meter: TransferMeter
) -> tuple[int, bytes]:
    """Status and body of a call; raises ExchangeError."""
    connection = await state.pool.acquire(
        peer.host,
        peer.control_port,
        owner=peer.id,
        now=state.clock(),
        timeout_s=MARGIN_S,
        limits=state.knowledge_limits,
    )
    try:
        request = f"GET {target} HTTP/1.1\r\nHost: {peer.host}\r\n\r\n"
        connection.send(request.encode("ascii"), expected=None)
        head = await within(connection.read_head(), timeout_s, "no head")
        meter.begin(connection, head.status)
        body = await read_while_it_comes(connection, max_bytes=MAX_ANSWER_BYTES, clock=state.clock)
        return head.status, body
    finally:
        state.pool.release(
            connection, peer.host, peer.control_port, owner=peer.id, now=state.clock()
        )


def _query(target: str) -> dict[str, str]:
    values_by_name = parse_qs(urlsplit(target).query)
    return {name: values[0] for name, values in values_by_name.items()}
