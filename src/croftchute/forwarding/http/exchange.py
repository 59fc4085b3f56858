"""One request of a caller and the means to answer it."""

from __future__ import annotations

import contextlib
from collections.abc import Iterable
from dataclasses import dataclass, replace
from http import HTTPStatus
from typing import Protocol

from croftchute.forwarding.http.caller_writer import CallerWriter
from croftchute.tables.routing import HeaderList


@dataclass(frozen=True, kw_only=True, slots=True)
class Arrival:
    """How a request came: times on the ingress's clock, and its place on its connection."""

    connected_at: float
    begun_at: float
    read_at: float
    number: int


@dataclass(frozen=True, kw_only=True, slots=True)
class IncomingRequest:
    """A whole request as it was read; header names are in lower case."""

    method: str
    target: str
    headers: HeaderList
    body: bytes
    is_http_1_0: bool
    arrival: Arrival

    def get(self, name: bytes) -> bytes | None:
        """The first header of that name, which must be given in lower case."""
        for key, value in self.headers:
            if key == name:
                return value
        return None


MAX_JOINED_BYTES = 16_384
"""Longest body that is copied behind its head, so that both are sent at once."""


class AnswerChannel(Protocol):
    """The connection that a request came on, as far as its answer needs it."""

    is_lost: bool
    writer: CallerWriter

    def persistence_headers(self, request: IncomingRequest) -> HeaderList:
        """What an answer says of the connection's further use."""
        ...

    def close_soon(self) -> None:
        """Close once all is sent."""
        ...

    def abort(self) -> None:
        """Break off."""
        ...


class Exchange:
    """One request and the means to answer it; its answer bears ``added_headers`` in any case."""

    def __init__(self, *, connection: AnswerChannel, request: IncomingRequest) -> None:
        self.request = request
        self.added_headers: HeaderList = []
        self.is_started = False
        self.is_finished = False
        self._connection = connection
        self._writer = connection.writer
        self._is_chunked = False

    @property
    def caller_has_left(self) -> bool:
        """Whether the connection is gone."""
        return self._connection.is_lost

    def send(self, status: int, headers: Iterable[tuple[bytes, bytes]], body: bytes) -> None:
        """Answer with a whole body."""
        if self.is_started:
            return
        self.is_started = True
        self.is_finished = True
        lines = self._with_added_headers(headers)
        if status != HTTPStatus.NO_CONTENT and status != HTTPStatus.NOT_MODIFIED:
            lines.append((b"content-length", str(len(body)).encode()))
        lines += self._connection.persistence_headers(self.request)
        payload = b"" if self.request.method == "HEAD" else body
        head = encode_head(status, b"", lines)
        if len(payload) > MAX_JOINED_BYTES:
            self._writer.write(head)
            self._writer.write(payload)
        else:
            self._writer.write(head + payload)

    def start(self, status: int, reason: bytes, headers: Iterable[tuple[bytes, bytes]]) -> None:
        """Begin an answer whose length is not known."""
        self.is_started = True
        lines = self._with_added_headers(headers)
        if not self.request.is_http_1_0:
            self._is_chunked = True
            lines.append((b"transfer-encoding", b"chunked"))
        lines += self._connection.persistence_headers(self.request)
        self._writer.write(encode_head(status, reason, lines))

    def _with_added_headers(self, headers: Iterable[tuple[bytes, bytes]]) -> HeaderList:
        """The headers, with those that are added in place of others of their names."""
        names = {name for name, _ in self.added_headers}
        return [pair for pair in headers if pair[0] not in names] + self.added_headers

    def write(self, data: bytes) -> None:
        """Pass on some bytes; wait for :meth:`drained` behind it while the caller is slow."""
        if not data:
            return
        if self._is_chunked:
            data = b"%x\r\n%b\r\n" % (len(data), data)
        self._writer.write(data)

    @property
    def is_held_up(self) -> bool:
        """Whether the caller reads too slowly."""
        return self._writer.is_held_up

    async def drained(self) -> None:
        """Wait until the caller has read enough."""
        await self._writer.drained()

    @property
    def is_bounded(self) -> bool:
        """Whether the bytes held for the caller are counted and bounded."""
        return self._writer.is_bounded

    @property
    def is_cut_off(self) -> bool:
        """Whether the answer was ended because it held the most of all."""
        return self._writer.is_cut_off

    @property
    def has_unsent(self) -> bool:
        """Whether bytes of a bounded answer are held for the caller."""
        return self._writer.has_unsent

    async def flushed(self) -> None:
        """Wait until nothing of a bounded answer is held for the caller any more."""
        await self._writer.flushed()

    def note_unread(self, size: int) -> None:
        """Count bytes that were read from a worker and cannot be written for now."""
        self._writer.note_unread(size)

    def note_answer_bytes(self, size: int) -> None:
        """Count bytes of the answer that were read from a worker and are not written yet."""
        self._writer.note_answer_bytes(size)

    def release(self) -> None:
        """Let go of the request's bytes: what served it may stay until the collector comes by."""
        self.request = replace(self.request, headers=[], body=b"")

    def name(self, request_id: str) -> None:
        """Tell which request this is, for the log."""
        self._writer.request_id = request_id

    def finish(self) -> None:
        """Mark a started answer as whole."""
        self.is_finished = True
        if self._is_chunked:
            self._writer.write(b"0\r\n\r\n")
        else:
            self._connection.close_soon()

    def abort(self) -> None:
        """Break the connection off, so that a cut answer cannot look whole."""
        self.is_finished = True
        self._connection.abort()


def encode_head(status: int, reason: bytes, headers: Iterable[tuple[bytes, bytes]]) -> bytes:
    """The head of an answer as bytes.

    >>> encode_head(204, b"", [(b"a", b"b")])
    b'HTTP/1.1 204 No Content\\r\\na: b\\r\\n\\r\\n'
    """
    if not reason:
        with contextlib.suppress(ValueError):
            reason = HTTPStatus(status).phrase.encode()
    lines = [b"HTTP/1.1 %d %b\r\n" % (status, reason)]
    lines += [b"%b: %b\r\n" % pair for pair in headers]
    return b"".join(lines) + b"\r\n"
