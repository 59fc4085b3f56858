"""News of the store from box to box: the answers, and the calls that ask for them.

Two GET calls on the control port. ``/news`` waits for what changes after a revision, and is
answered by boxes that read the store; with ``proof`` it is answered too whenever the store has
answered that box. ``/known`` tells all that a box knows of a prefix, for one that is behind and
does not hear it from the store.
"""

from __future__ import annotations

import math
from collections.abc import Callable
from dataclasses import dataclass
from http import HTTPStatus
from urllib.parse import parse_qs, quote, urlsplit

from croftchute.forwarding.http.deadline import within
from croftchute.forwarding.http.failures import ConnectionBrokenError
from croftchute.forwarding.http.transfer import SILENCE_S, TransferMeter, read_while_it_comes
from croftchute.forwarding.state import ForwardingState
from croftchute.forwarding.store.news_log import NewsLog, NotARelayError
from croftchute.forwarding.store.news_messages import (
    ToldChanges,
    decode_known,
    decode_news,
    encode_known,
    encode_news,
)
from croftchute.storage.watched import HistoryGoneError, Listing
from croftchute.systems.store_contact import StoreContact
from croftchute.tables.peers import Peer

NEWS_PATH = "/news"
KNOWN_PATH = "/known"

NEWS_WAIT_S = 3.0
"""Seconds that a call for news waits."""

NEWS_SILENCE_S = 0.5
"""Seconds without a byte after which a relay's answer is given up: two resendings of a lost
packet."""

NEWS_BODY_S = 1.4
"""Seconds in which the body of a relay's answer must come: ten copies of the longest configuration
on a link of 5 Mbit/s. What takes longer is read from the store."""

MARGIN_S = 0.5
"""Seconds given to a peer for the head of an answer beside the waiting: many round trips within a
hall. How long the body takes depends on its length and the links."""

MAX_ANSWER_BYTES = 8 << 20
"""Longest answer of a peer in bytes: a configuration of many routes, and all workers."""

Answer = tuple[HTTPStatus, bytes]


@dataclass(frozen=True, kw_only=True, slots=True)
class _Limits:
    """Seconds for an answer: to its head, between two parts of its body, and for all of that."""

    head_s: float
    silence_s: float = SILENCE_S
    body_s: float = math.inf


async def answer_news(
    log: NewsLog, target: str, state: ForwardingState, contact: StoreContact
) -> Answer:
    """What has changed after the revision that the call names, as soon as something has."""
    asked_at = state.clock()
    query = _query(target)
    try:
        after = int(query["after"])
    except (KeyError, ValueError):
        return HTTPStatus.BAD_REQUEST, b""
    try:
        if log.is_fresh(state.clock()):
            await log.wait_for_change(after, NEWS_WAIT_S, or_proof="proof" in query)
        if not log.is_fresh(state.clock()):
            return HTTPStatus.SERVICE_UNAVAILABLE, b""
        changes = log.since(after)
    except HistoryGoneError:
        return HTTPStatus.GONE, b""
    return HTTPStatus.OK, encode_news(changes, proven_s=contact.heard_at - asked_at)


def answer_known(listing: Listing) -> Answer:
    """All that this box knows of a prefix."""
    return HTTPStatus.OK, encode_known(listing)


def prefix_of(target: str) -> str:
    """The prefix that a call is about; empty if it names none.

    >>> prefix_of("/known?prefix=servers%2F")
    'servers/'
    """
    return _query(target).get("prefix", "")


async def ask_news(
    state: ForwardingState,
    peer: Peer,
    prefix: str,
    *,
    after: int,
    wants_proof: bool = False,
    on_head: Callable[[], None] = lambda: None,
) -> ToldChanges:
    """What a relay of the hall tells of a prefix; waits for a change for some time.

    ``on_head`` is called once the answer has begun. Raises ExchangeError, StoreError or
    MessageError.
    """
    target = f"{NEWS_PATH}?prefix={quote(prefix, safe='')}&after={after}"
    if wants_proof:
        target += "&proof=1"
    limits = _Limits(head_s=NEWS_WAIT_S + MARGIN_S, silence_s=NEWS_SILENCE_S, body_s=NEWS_BODY_S)
    return decode_news(await _call(state, peer, "news", target, limits, on_head))


async def ask_known(state: ForwardingState, peer: Peer, prefix: str) -> Listing:
    """All that a peer knows of a prefix; raises ExchangeError, StoreError or MessageError."""
    target = f"{KNOWN_PATH}?prefix={quote(prefix, safe='')}"
    return decode_known(await _call(state, peer, "known", target, _Limits(head_s=MARGIN_S)))


async def _call(
    state: ForwardingState,
    peer: Peer,
    name: str,
    target: str,
    limits: _Limits,
    on_head: Callable[[], None] = lambda: None,
) -> bytes:
    """The body of an answer; raises ExchangeError or StoreError."""
    meter = TransferMeter(call=name, source=peer.id, clock=state.clock, observe=state.note_transfer)
    with meter:
        status, body = await _exchange(state, peer, target, limits, meter, on_head)
    if status == HTTPStatus.GONE:
        raise HistoryGoneError(f"{peer.id} does not know so far back")
    if status == HTTPStatus.SERVICE_UNAVAILABLE:
        raise NotARelayError(f"{peer.id} does not read the store")
    if status != HTTPStatus.OK:
        raise ConnectionBrokenError(f"status {status}")
    return body


async def _exchange(
    state: ForwardingState,
    peer: Peer,
    target: str,
    limits: _Limits,
    meter: TransferMeter,
    on_head: Callable[[], None],
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
        head = await within(connection.read_head(), limits.head_s, "no head")
        meter.begin(connection, head.status)
        on_head()
        coming = read_while_it_comes(
            connection,
            max_bytes=MAX_ANSWER_BYTES,
            clock=state.clock,
            silence_s=limits.silence_s,
        )
        return head.status, await within(coming, limits.body_s, "no complete body")
    finally:
        state.pool.release(
            connection, peer.host, peer.control_port, owner=peer.id, now=state.clock()
        )


def _query(target: str) -> dict[str, str]:
    values_by_name = parse_qs(urlsplit(target).query)
    return {name: values[0] for name, values in values_by_name.items()}
