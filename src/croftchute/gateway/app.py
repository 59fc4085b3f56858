"""The callers' HTTP interface as a WSGI application."""

from __future__ import annotations

import json
from collections.abc import Iterable, Iterator
from typing import Any, Protocol

from croftchute.config.documents import Document
from croftchute.errors import Code, CroftchuteError, Ran, RequestError, UpstreamError
from croftchute.gateway.bodies import (
    CHAT_PATH,
    error_body,
    parse_body,
    parsed_bytes,
    read_request,
    refuse,
    whole_answer,
)
from croftchute.gateway.calls import (
    CallDesk,
    CallRequest,
    Route,
    find_route,
    require_key,
    unknown_path,
)
from croftchute.gateway.completions import Box, Completion
from croftchute.gateway.exchange import ExchangeBoard
from croftchute.gateway.hangups import HangupWatcher, has_left
from croftchute.gateway.headers import IDEMPOTENCY_KEY, REQUEST_HEADER, Identity, identify
from croftchute.gateway.relay import CallerSink
from croftchute.httpd import (
    CHUNKED_KEY,
    CONNECTION_KEY,
    SOCKET_KEY,
    Environ,
    StartResponse,
    read_body,
    reply,
    reserve_memory,
)
from croftchute.ids import new_request_id
from croftchute.tables.crashes import request_digest
from croftchute.tables.requests import Request
from croftchute.tables.upstreams import Topology

COMPLETION_PATHS = ("/v1/completions", CHAT_PATH)
MODELS_PATH = "/v1/models"
STREAM_TYPE = "text/event-stream"

DRAINING_RETRY_S = 1.0
"""Seconds after which a caller refused by a draining box should try again: one reading of readiness
by the balancer, which sends it elsewhere by then."""


class GatewayBox(Box, Protocol):
    """What the application needs of its box."""

    board: ExchangeBoard
    hangups: HangupWatcher
    desk: CallDesk
    max_streams: int
    max_body_bytes: int

    @property
    def topology(self) -> Topology:
        """The configuration in force, as the systems read it."""
        ...

    @property
    def document(self) -> Document | None:
        """The configuration in force, as the operators wrote it."""
        ...

    def admits(self) -> bool:
        """Whether a call that was read may begin."""
        ...

    def observe(self, completion: Completion, request: Request, outcome: str) -> None:
        """Count a completion that is over."""
        ...


class GatewayApp:
    """Routes a caller's request to a completion, a plain service or the list of models."""

    def __init__(self, *, box: GatewayBox) -> None:
        self._box = box

    def __call__(self, environ: Environ, start_response: StartResponse) -> Iterable[bytes]:
        """Serve one HTTP request."""
        request_id = new_request_id()
        try:
            raw = self._body(environ)
            self._check_entry(environ)
            return self._route(environ, start_response, request_id, raw)
        except RequestError as error:
            return refuse(start_response, error, ran=Ran.NOT_RUN, request_id=request_id)
        except UpstreamError as error:
            return refuse(
                start_response,
                error,
                ran=error.ran,
                request_id=request_id,
                retry_after_s=error.retry_after,
            )

    def _check_entry(self, environ: Environ) -> None:
        """Refuse a call of any kind that was not begun before the box stopped taking them.

        Nothing ran here; another try with the caller's key may have run elsewhere.
        """
        if self._box.admits():
            return
        route = self._find_route(environ)
        is_once = route is not None and not route.call.repeatable
        ran = Ran.UNKNOWN if is_once and environ.get(IDEMPOTENCY_KEY) else Ran.NOT_RUN
        message = "this box is being stopped"
        raise UpstreamError(Code.DRAINING, message, ran=ran, retry_after=DRAINING_RETRY_S)

    def _find_route(self, environ: Environ) -> Route | None:
        document = self._box.document
        if document is None:
            return None
        hall = self._box.topology.hall
        return find_route(document, hall, environ["REQUEST_METHOD"], environ["PATH_INFO"])

    def _route(
        self, environ: Environ, start_response: StartResponse, request_id: str, raw: bytes
    ) -> Iterable[bytes]:
        method, path = environ["REQUEST_METHOD"], environ["PATH_INFO"]
        if path == MODELS_PATH and method == "GET":
            return self._models(start_response)
        identity = identify(environ, self._box.topology)
        if path in COMPLETION_PATHS and method == "POST":
            return self._completion(environ, start_response, request_id, identity, raw)
        route = self._find_route(environ)
        if route is None:
            raise unknown_path(method, path)
        return self._call(environ, start_response, request_id, identity, raw, route)

    def _body(self, environ: Environ) -> bytes:
        limit = self._box.max_body_bytes
        try:
            length = int(environ.get("CONTENT_LENGTH") or 0)
        except ValueError:
            raise RequestError(Code.BAD_REQUEST, "Content-Length is no number") from None
        if length > limit:
            message = f"body of {length} bytes, {limit} are allowed"
            raise RequestError(Code.BODY_TOO_LARGE, message)
        return read_body(environ)

    def _models(self, start_response: StartResponse) -> Iterable[bytes]:
        models = [
            {"id": model.id, "object": "model", "owned_by": model.pool}
            for model in self._box.topology.models_by_id.values()
        ]
        body = json.dumps({"object": "list", "data": models}).encode()
        return reply(start_response, 200, body)

    def _completion(
        self,
        environ: Environ,
        start_response: StartResponse,
        request_id: str,
        identity: Identity,
        raw: bytes,
    ) -> Iterable[bytes]:
        reserve_memory(environ, parsed_bytes(raw))
        body = parse_body(raw)
        request = read_request(
            body,
            path=environ["PATH_INFO"],
            request_id=request_id,
            identity=identity,
            topology=self._box.topology,
            now=self._box.clock.now(),
            digest=request_digest(
                caller=identity.caller,
                method=environ["REQUEST_METHOD"],
                host="",
                target=environ["PATH_INFO"],
                body=raw,
            ),
        )
        if len(self._box.board) >= self._box.max_streams:
            message = f"{self._box.max_streams} requests are open here"
            raise UpstreamError(Code.NO_CAPACITY, message, ran=Ran.NOT_RUN, retry_after=1.0)
        streaming = bool(body.get("stream", False))
        sink = CallerSink(
            sock=environ[SOCKET_KEY],
            chunked=environ[CHUNKED_KEY],
            client=environ[CONNECTION_KEY].received,
        )
        events = self._events(environ, request, body, sink if streaming else None)
        if not body.get("stream", False):
            chat = environ["PATH_INFO"] == CHAT_PATH
            answer = whole_answer(events, chat=chat, prompt_tokens=request.prompt_tokens)
            return reply(start_response, 200, answer, headers={REQUEST_HEADER: request_id})
        # The status line waits for the first event, so that a refusal has its own status.
        first = next(events)
        headers = [("Content-Type", STREAM_TYPE), (REQUEST_HEADER, request_id)]
        start_response("200 OK", headers)
        return _Stream(first=first, rest=events, request_id=request_id)

    def _events(
        self, environ: Environ, request: Request, body: dict[str, Any], sink: CallerSink | None
    ) -> Iterator[bytes]:
        box = self._box
        exchange = box.board.open(request.id)
        completion = Completion(
            box=box,
            exchange=exchange,
            request=request,
            path=environ["PATH_INFO"],
            body=body,
            sink=sink,
        )

        def gone() -> None:
            exchange.leave()
            box.submit(lambda now: box.left(request.id, now))

        handle = box.hangups.add(environ[SOCKET_KEY], gone)
        outcome = Code.CALLER_GONE.value
        try:
            yield from completion.events()
            outcome = "ok"
        except CroftchuteError as error:
            outcome = error.code.value
            raise
        finally:
            box.hangups.remove(handle)
            box.board.close(request.id)
            box.observe(completion, request, outcome)

    def _call(
        self,
        environ: Environ,
        start_response: StartResponse,
        request_id: str,
        identity: Identity,
        raw: bytes,
        route: Route,
    ) -> Iterable[bytes]:
        key, own_key = require_key(route.call, identity.key, new_request_id)
        request = CallRequest(
            route=route,
            body=raw,
            content_type=environ.get("CONTENT_TYPE") or "application/json",
            token=request_id,
            key=key,
            own_key=own_key,
        )
        exchange = self._box.board.open(request_id)
        try:
            answer = self._box.desk.call(request, exchange, lambda: has_left(environ[SOCKET_KEY]))
        finally:
            self._box.board.close(request_id)
        return reply(
            start_response,
            answer.status,
            answer.body,
            content_type=answer.content_type,
            headers={REQUEST_HEADER: request_id},
        )


class _Stream:
    """The rest of a stream; a failure becomes a last event, since the status has been sent."""

    def __init__(self, *, first: bytes, rest: Iterator[bytes], request_id: str) -> None:
        self._first = first
        self._rest = rest
        self._request_id = request_id

    def __iter__(self) -> Iterator[bytes]:
        yield self._first
        try:
            yield from self._rest
        except UpstreamError as error:
            body = error_body(error, error.ran, self._request_id)
            yield b"event: error\ndata: " + body + b"\n\n"

    def close(self) -> None:
        """The response is over, whole or not."""
        close = getattr(self._rest, "close", None)
        if close is not None:
            close()
