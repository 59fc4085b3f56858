"""Engines over HTTP: the OpenAI-compatible completion calls with ``kv_transfer_params``.

Source of the exchange: the disaggregated-serving examples in vLLM's documentation. The prefill
call asks for one token with ``do_remote_decode``; the parameters in its reply go into the decode
call. Cancel, load report, cache events and orders are the engine's ``/control`` calls, which the
operators' engines publish.
"""

from __future__ import annotations

import contextlib
import json
import socket
import threading
from typing import Any

import httptools
import msgspec
import urllib3

from croftchute.answer_bounds import ReceivedBytes
from croftchute.errors import Code, Ran, UpstreamError
from croftchute.retry_after import TURNED_AWAY, rest_seconds
from croftchute.systems.prefix_index import CacheEvent
from croftchute.tables.upstreams import EngineReport
from croftchute.upstreams.call_ender import EndablePoolManager
from croftchute.upstreams.engine import EngineCall, JsonObject, Order, TokenStream

CONNECT_S = 0.5

LOOK_S = 0.1
"""Seconds until a connection to an engine that broke an answer off must be refused: some round
trips between halls. Longer would hold a stream up that goes on elsewhere."""
CONTROL_READ_S = 1.0

STREAM_GAP_S = 5.0
"""Seconds without a sign of an engine after which another one is looked for."""

POOL_CONNECTIONS = 64
CHUNKED_HEAD = b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n"
HTTP_OK = 200
REFUSING = (409, 429, 503)
CONTROL_TIMEOUT = urllib3.Timeout(connect=CONNECT_S, read=CONTROL_READ_S)


class HttpTokenStream:
    """A decode call's response, whose body is taken off the socket and decoded by llhttp.

    The connection is not used again: urllib3 does not know what was read from it.
    """

    def __init__(self, *, response: urllib3.BaseHTTPResponse) -> None:
        self._response = response
        self._parts: list[bytes] = []
        self._complete = False
        self._lock = threading.Lock()
        connection = response.connection
        sock = getattr(connection, "sock", None)
        if sock is None:
            raise UpstreamError(Code.UPSTREAM_FAILED, "stream: no connection", ran=Ran.RAN)
        self._socket: socket.socket = sock
        self._socket.setblocking(False)
        self._received = ReceivedBytes()
        self._parser = httptools.HttpResponseParser(self)
        # The status line and headers were read by urllib3; the parser only has to know framing.
        self._parser.feed_data(CHUNKED_HEAD)

    @property
    def is_complete(self) -> bool:
        """Whether the last chunk has been decoded."""
        return self._complete

    def fileno(self) -> int:
        """The socket."""
        return self._socket.fileno()

    def leftover(self) -> bytes:
        """What urllib3's reader had buffered behind the headers."""
        reader = self._response._fp.fp  # type: ignore[attr-defined]
        return bytes(reader.peek()) if reader is not None else b""

    def decode_body(self, data: bytes) -> list[bytes]:
        """The chunks' contents."""
        try:
            self._parser.feed_data(data)
        except httptools.HttpParserError as error:
            raise UpstreamError(Code.UPSTREAM_FAILED, f"stream: {error}", ran=Ran.RAN) from None
        parts, self._parts = self._parts, []
        self._received.add(len(data), content=sum(map(len, parts)), skipped=0)
        if not self._complete and (excess := self._received.excess):
            message = f"stream without end: {excess}"
            raise UpstreamError(Code.UPSTREAM_FAILED, message, ran=Ran.RAN)
        return parts

    def on_body(self, body: bytes) -> None:
        """Called by the parser."""
        self._parts.append(body)

    def on_message_complete(self) -> None:
        """Called by the parser."""
        self._complete = True

    def close(self) -> None:
        """Break the connection."""
        with self._lock, contextlib.suppress(OSError):
            self._socket.shutdown(socket.SHUT_RDWR)

    def dispose(self) -> None:
        """Close the connection for good; nobody may read it any more."""
        self.close()
        self._response.close()


class HttpEngine:
    """Calls to any number of engines through pooled connections; safe for many threads."""

    def __init__(self) -> None:
        self._pool = EndablePoolManager(
            num_pools=512, maxsize=POOL_CONNECTIONS, retries=False, block=False
        )

        # Connections of streams are never given back, so this pool always opens a new one.
        self._streams = EndablePoolManager(num_pools=512, maxsize=1, retries=False, block=False)

    def prefill(self, call: EngineCall) -> JsonObject:
        """Compute a prompt's KV cache; returns ``kv_transfer_params``."""
        body = dict(call.body)
        body.update(stream=False, max_tokens=1)
        body["kv_transfer_params"] = {"do_remote_decode": True}
        response = self._post(call, body, preload=True)
        reply: JsonObject = msgspec.json.decode(response.data)
        params = reply.get("kv_transfer_params")
        if not isinstance(params, dict):
            message = "prefill reply has no kv_transfer_params"
            raise UpstreamError(Code.UPSTREAM_FAILED, message, ran=Ran.RAN)
        return params

    def decode(self, call: EngineCall) -> TokenStream:
        """Open the token stream of a decode call."""
        body = dict(call.body)
        body["stream"] = True
        if call.transfer:
            body["kv_transfer_params"] = call.transfer
        if call.resume_from:
            body["resume_from"] = call.resume_from
        response = self._post(call, body, preload=False)
        if response.headers.get("Transfer-Encoding", "").lower() != "chunked":
            message = "stream: the response is not chunked"
            raise UpstreamError(Code.UPSTREAM_FAILED, message, ran=Ran.RAN)
        return HttpTokenStream(response=response)

    def cancel(self, url: str, key: str) -> bool:
        """Free all an attempt holds; a refused connection means the engine is gone."""
        try:
            reply = self._control(url, "/control/cancel", {"key": key})
        except UpstreamError as error:
            if error.ran is Ran.NOT_RUN:
                return True
            raise
        return bool(reply.get("cancelled", False))

    def report(
        self, url: str, *, after_seq: int, now: float
    ) -> tuple[EngineReport, list[CacheEvent]]:
        """The load report and cache events; the engine gives the report's age, not its time."""
        reply = self._control(url, "/control/load", {"after_seq": after_seq})
        report = EngineReport(
            as_of=now - float(reply["age_s"]),
            running=int(reply["running"]),
            kv_used_tokens=int(reply["kv_used_tokens"]),
            prefill_backlog_tokens=int(reply["prefill_backlog_tokens"]),
            leaving=bool(reply.get("leaving", False)),
            request_ids=tuple(reply.get("requests", ())),
            loaded_versions=tuple(reply.get("versions", ())),
        )
        events = [
            CacheEvent(
                seq=int(row["seq"]), stored=tuple(row["stored"]), evicted=tuple(row["evicted"])
            )
            for row in reply.get("cache_events", ())
        ]
        return report, events

    def has_ended(self, url: str) -> bool:
        """Whether nobody listens any more; an engine that says nothing may live."""
        parts = urllib3.util.parse_url(url)
        try:
            with socket.create_connection((parts.host or "", parts.port or 80), LOOK_S):
                return False
        except ConnectionRefusedError:
            return True
        except OSError:
            return False

    def order(self, url: str, order: Order) -> bool:
        """Give a fenced order."""
        body = {"token": order.token, "kind": order.kind, "target": order.target}
        return bool(self._control(url, "/control/order", body).get("accepted", False))

    def _post(
        self, call: EngineCall, body: JsonObject, *, preload: bool
    ) -> urllib3.BaseHTTPResponse:
        headers = {
            "Content-Type": "application/json",
            "X-Request-Id": call.request_id,
            "X-Attempt": call.key,
            "X-Priority": str(call.priority),
        }
        if preload:
            # An engine may close a kept connection just as the call is sent on it, which looks
            # like an engine that failed and spends a retry.
            headers["Connection"] = "close"
        pool = self._pool if preload else self._streams
        timeout = urllib3.Timeout(connect=CONNECT_S, read=call.timeout_s)
        try:
            with call.ender.ends_call():
                response = pool.request(
                    "POST",
                    call.url + call.path,
                    body=msgspec.json.encode(body),
                    headers=headers,
                    timeout=timeout,
                    preload_content=preload,
                )
        except urllib3.exceptions.HTTPError as error:
            raise _failure(error) from None
        if response.status != HTTP_OK:
            raise _refusal(response)
        return response

    def _control(self, url: str, path: str, body: dict[str, Any]) -> JsonObject:
        try:
            response = self._pool.request(
                "POST", url + path, body=json.dumps(body), timeout=CONTROL_TIMEOUT
            )
        except urllib3.exceptions.HTTPError as error:
            raise _failure(error) from None
        if response.status != HTTP_OK:
            raise _refusal(response)
        reply: JsonObject = msgspec.json.decode(response.data)
        return reply


def rest_asked(response: urllib3.BaseHTTPResponse) -> float:
    """Seconds for which a server that turned a call away wants none; 0 if it does not say so."""
    if response.status not in TURNED_AWAY:
        return 0.0
    headers = response.headers
    return rest_seconds(headers.get("Retry-After", ""), headers.get("Date", ""))


def _failure(error: urllib3.exceptions.HTTPError) -> UpstreamError:
    unreached = (urllib3.exceptions.NewConnectionError, urllib3.exceptions.ConnectTimeoutError)
    if isinstance(error, unreached):
        return UpstreamError(Code.UPSTREAM_FAILED, f"connect: {error}", ran=Ran.NOT_RUN)
    code = (
        Code.UPSTREAM_SLOW
        if isinstance(error, urllib3.exceptions.ReadTimeoutError)
        else Code.UPSTREAM_FAILED
    )
    return UpstreamError(code, str(error), ran=Ran.UNKNOWN)


def _refusal(response: urllib3.BaseHTTPResponse) -> UpstreamError:
    refused = response.status in REFUSING
    text = response.data[:200].decode(errors="replace")
    return UpstreamError(
        Code.UPSTREAM_REFUSED if refused else Code.UPSTREAM_FAILED,
        f"HTTP {response.status}: {text}",
        ran=Ran.NOT_RUN if refused else Ran.UNKNOWN,
        retry_after=rest_asked(response),
    )
