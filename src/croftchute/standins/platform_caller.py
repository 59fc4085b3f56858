"""A stand-in for the users' callers, written from their pages: kept connections, checked answers.

A caller keeps its connection for many requests, whatever the box's health says, until the box
closes it. Each try carries its own id.
"""

from __future__ import annotations

import asyncio
import contextlib
import re
from dataclasses import dataclass, field
from enum import StrEnum

REQUEST_ID = "x-croftchute-request-id"
STAMP = "x-croftchute-server-stamp"
RETRY_AFTER = "retry-after"
MAX_LINE_BYTES = 1 << 20
EVENT = re.compile(rb"id: (\d+)\ndata: token-(\d+) of (\S+)(?: by (\S+?)\.*)?\n\n")
ANSWER = re.compile(rb"answer of \S+ to (\S+)")


class RequestKind(StrEnum):
    """What may be done with a request."""

    REPEATABLE = "repeatable"
    ONCE = "once"
    RESUMABLE = "resumable"
    STREAM = "stream"

    @property
    def runs_once(self) -> bool:
        """Whether a request may run at most once."""
        return self in (RequestKind.ONCE, RequestKind.STREAM)

    @property
    def is_stream(self) -> bool:
        """Whether the answer is a series of events."""
        return self in (RequestKind.RESUMABLE, RequestKind.STREAM)


@dataclass(kw_only=True)
class Try:
    """One try of a caller and what came of it; times are those of the loop's clock.

    ``resumes`` is the try that brought the first event of a stream that this one takes up behind
    ``last_event``; empty and 0 for others. ``parts`` are the ids of the parts of its prompt.
    ``deadline_s`` is how long the caller waits.
    """

    request_id: str
    kind: RequestKind
    path: str
    body: bytes
    box: str
    sent_at: float
    key: str = ""
    resumes: str = ""
    last_event: int = 0
    parts: tuple[str, ...] = ()
    deadline_s: float = 0.0
    is_sent: bool = False
    left_at: float | None = None
    ended_at: float | None = None
    status: int = 0
    headers: dict[str, str] = field(default_factory=dict)
    answer: bytes = b""
    is_whole: bool = False
    is_malformed: bool = False
    failure: str = ""

    @property
    def retry_after_s(self) -> float | None:
        """When the box told to come back, if it did."""
        text = self.headers.get(RETRY_AFTER)
        return float(text) if text else None

    @property
    def events_received(self) -> list[tuple[int, str]]:
        """The numbers of the events that came, each with the software version that sent it."""
        if not self.kind.is_stream:
            return []
        return [
            (int(number), software.decode())
            for number, _, _, software in EVENT.findall(self.answer)
        ]


class PlatformCaller:
    """One client: a connection at a time to one box."""

    def __init__(self, *, box: str, host: str, port: int, virtual_host: str) -> None:
        self.box = box
        self.host = host
        self.port = port
        self.virtual_host = virtual_host
        self._reader: asyncio.StreamReader | None = None
        self._writer: asyncio.StreamWriter | None = None

    async def send(
        self, attempt: Try, *, deadline_s: float, leave_after_s: float | None = None
    ) -> None:
        """Make one try; what came of it is written into ``attempt``."""
        loop = asyncio.get_running_loop()
        attempt.deadline_s = deadline_s
        try:
            limit_s = deadline_s if leave_after_s is None else min(deadline_s, leave_after_s)
            async with asyncio.timeout(limit_s):
                await self._exchange(attempt, deadline_s)
        except TimeoutError:
            attempt.left_at = loop.time()
            self.close()
        except (OSError, asyncio.IncompleteReadError) as error:
            attempt.failure = type(error).__name__
            self.close()
        except ValueError as error:
            attempt.is_malformed = True
            attempt.failure = repr(error)
            self.close()
        attempt.ended_at = loop.time()

    @property
    def is_kept(self) -> bool:
        """Whether the connection is open for a next request, as far as the caller knows."""
        return self._writer is not None

    def close(self) -> None:
        """Close the connection."""
        if self._writer is not None:
            self._writer.transport.abort()
        self._reader = self._writer = None

    async def _exchange(self, attempt: Try, deadline_s: float) -> None:
        if self._writer is None:
            self._reader, self._writer = await asyncio.open_connection(
                self.host, self.port, limit=MAX_LINE_BYTES
            )
        assert self._reader is not None
        attempt.sent_at = asyncio.get_running_loop().time()
        attempt.is_sent = True
        self._writer.write(self._encode(attempt, deadline_s))
        await self._writer.drain()
        await self._read_head(attempt, self._reader)
        if "chunked" in attempt.headers.get("transfer-encoding", ""):
            await self._read_chunks(attempt, self._reader)
        else:
            length = int(attempt.headers.get("content-length", "0"))
            attempt.answer = await self._reader.readexactly(length)
        attempt.is_whole = True
        if "close" in attempt.headers.get("connection", ""):
            self.close()

    async def _read_head(self, attempt: Try, reader: asyncio.StreamReader) -> None:
        head = await reader.readuntil(b"\r\n\r\n")
        first, *rest = head.decode("latin-1").rstrip("\r\n").split("\r\n")
        version, status, *_ = first.split(" ")
        if version != "HTTP/1.1":
            raise ValueError(f"not an answer: {first!r}")
        for line in rest:
            name, _, value = line.partition(":")
            attempt.headers[name.lower()] = value.strip()
        attempt.status = int(status)

    async def _read_chunks(self, attempt: Try, reader: asyncio.StreamReader) -> None:
        while True:
            size = int(await reader.readuntil(b"\r\n"), 16)
            data = await reader.readexactly(size + 2)
            if size == 0:
                return
            attempt.answer += data[:-2]

    def _encode(self, attempt: Try, deadline_s: float) -> bytes:
        lines = [
            f"POST {attempt.path} HTTP/1.1",
            f"Host: {self.virtual_host}",
            f"X-Croftchute-Request-Id: {attempt.request_id}",
            f"X-Croftchute-Deadline-Ms: {int(deadline_s * 1000)}",
            f"Content-Length: {len(attempt.body)}",
        ]
        if attempt.key:
            lines.append(f"Authorization: Bearer {attempt.key}")
        if attempt.resumes:
            lines += [f"Last-Event-Id: {attempt.last_event}", f"Resumes: {attempt.resumes}"]
        if attempt.kind.is_stream:
            lines += ["X-Croftchute-Model: m", "X-Croftchute-Token-Usage: 100,20"]
        if attempt.parts:
            parts = ",".join(f"{part}:10" for part in attempt.parts)
            lines.append(f"X-Croftchute-Prompt-Prefix: {parts}")
        return "\r\n".join([*lines, "", ""]).encode() + attempt.body


def fault_of(attempt: Try, events: int) -> str:
    """What is wrong with an answer, as its caller can see; empty if nothing is."""
    if attempt.is_malformed:
        return f"bytes that are no answer: {attempt.failure}"
    if attempt.status == 0:
        return ""
    named = attempt.headers.get(REQUEST_ID)
    if named is not None and named != attempt.request_id:
        return f"the answer names request {named}"
    if not 200 <= attempt.status < 300:
        return ""
    if STAMP not in attempt.headers:
        return "a success without the worker's stamp"
    if attempt.kind.is_stream:
        return _stream_fault(attempt, events)
    found = ANSWER.fullmatch(attempt.answer)
    if attempt.is_whole and (found is None or found[1].decode() != attempt.request_id):
        return f"not the answer to this request: {attempt.answer[:80]!r}"
    return ""


def _stream_fault(attempt: Try, events: int) -> str:
    numbers = []
    for number, token, request_id, _ in EVENT.findall(attempt.answer):
        if request_id.decode() != attempt.request_id or number != token:
            return f"an event of another request: {request_id!r}"
        numbers.append(int(number))
    had = attempt.last_event
    if numbers != list(range(had + 1, had + len(numbers) + 1)):
        return f"events out of order: {numbers}"
    rest = EVENT.sub(b"", attempt.answer)
    if attempt.is_whole and (had + len(numbers) != events or rest):
        return f"ended as whole after {had + len(numbers)} of {events} events"
    return ""


async def is_ready(host: str, port: int, timeout_s: float) -> bool:
    """Whether a box calls itself ready."""
    with contextlib.suppress(OSError, TimeoutError, asyncio.IncompleteReadError):
        async with asyncio.timeout(timeout_s):
            reader, writer = await asyncio.open_connection(host, port)
            try:
                writer.write(b"GET /ready HTTP/1.1\r\nHost: box\r\nConnection: close\r\n\r\n")
                return (await reader.readline()).split(b" ")[1] == b"200"
            finally:
                writer.close()
    return False
