"""A stand-in for the users' workers, written from their pages: engines and plain services.

It keeps what it ran by request id, so that tests can tell what ran, how often and until when.
Faults are set from outside and apply to the next request that they fit.
"""

from __future__ import annotations

import asyncio
import contextlib
import itertools
import socket
import struct
from collections.abc import Callable
from dataclasses import dataclass, field
from urllib.parse import quote

import msgspec

from croftchute.standins.platform_wire import (
    Headers,
    Received,
    encode_head,
    limit_unread,
    requests,
    write_chunk,
    write_if_open,
    write_raw,
)
from croftchute.standins.worker_records import Arrival, EndlessAnswer, Run, WorkerFaults

STAMP = "3e1b.07.5a2.600.0.c9f2a4d1"
RESET_ON_CLOSE = struct.pack("ii", 1, 0)

MAX_SHOWN_CHARS = 24

CHUNK_BYTES = 16_384
"""Size of the chunks of a whole answer that comes in chunks."""

FLOOD_REPEATS = 200
"""Times that an answer without an end repeats its bytes in one write."""

SLOW_PATH = "/slow/"
"""Part of a path whose streams keep ``slow_gap_s`` between events in place of ``gap_s``."""


def shared_parts(request: Received) -> set[str]:
    """The ids of the parts of a request's prompt but for the last, which is its own."""
    parts = request.headers.get("x-croftchute-prompt-prefix", "").split(",")
    return {part.partition(":")[0] for part in parts[:-1]}


@dataclass(kw_only=True)
class PlatformWorker:
    """One worker; ``stage`` is empty for plain services.

    ``free_holds`` is how many more holds it grants; None for any number. Without room it rejects
    a request whose hold has lapsed.
    It ends when it begins to run a request whose body is ``crashes_on``, or to read the prompt of
    one ahead whose body is ``crashes_on_reading``. It also ends when it begins to write an answer,
    or once it has written ``crash_after_events`` events, to a prompt that has one of
    ``crashes_on_parts`` before its last part, and when it begins to read one ahead that has one of
    ``crashes_on_reading_parts`` there. ``load`` is what its answers tell as the load,
    but for those to prefill calls; empty has plain answers tell a fixed one, and others none.
    ``prompts_read`` are the requests of prefill calls that it has taken up and answered.
    ``software`` is the version that its entry and its events show.
    ``event_bytes`` is the size of an event's data and ``answer_bytes`` that of a whole answer, if
    not 0. A stream that is not read for ``unread_s`` seconds is cut off, if that is not 0.
    """

    id: str
    stage: str = ""
    software: str = "v1"
    events: int = 4
    gap_s: float = 0.0
    slow_gap_s: float = 0.0
    event_bytes: int = 0
    answer_bytes: int = 0
    unread_s: float = 0.0
    work_s: float = 0.0
    load: str = ""
    health_path: str = "/healthz"
    faults: WorkerFaults = field(default_factory=WorkerFaults)
    port: int = 0
    received: list[Received] = field(default_factory=list)
    ran: list[str] = field(default_factory=list)
    runs: list[Run] = field(default_factory=list)
    arrivals: list[Arrival] = field(default_factory=list)
    refusals: list[Arrival] = field(default_factory=list)
    handle_ttl_s: float = 3600.0
    prompts_read: list[str] = field(default_factory=list)
    cut_off: list[str] = field(default_factory=list)
    dropped: list[str] = field(default_factory=list)
    finished: list[str] = field(default_factory=list)
    holds: set[str] = field(default_factory=set)
    free_holds: int | None = None
    handles: set[str] = field(default_factory=set)
    kept: dict[str, int] = field(default_factory=dict)
    orders: list[dict[str, object]] = field(default_factory=list)
    connections: int = 0
    born_ms: int | None = None
    crashes_on: bytes | None = None
    crashes_on_reading: bytes | None = None
    crashes_on_parts: frozenset[str] = frozenset()
    crashes_on_reading_parts: frozenset[str] = frozenset()
    crash_after_events: int = 0
    has_crashed: bool = False
    crashed_under: Arrival | None = None
    on_crash: Callable[[], None] = lambda: None

    def __post_init__(self) -> None:
        self._numbers = itertools.count(1)
        self._server: asyncio.Server | None = None
        self._dead_port: socket.socket | None = None
        self._writers: set[asyncio.StreamWriter] = set()
        self._is_running = asyncio.Event()
        self._is_running.set()

    async def start(self) -> int:
        """Listen on some port; returns it."""
        self._server = await asyncio.start_server(self._serve, "127.0.0.1", 0)
        self.port = self._server.sockets[0].getsockname()[1]
        return self.port

    def _reset(self, writer: asyncio.StreamWriter) -> bool:
        """Reset a connection; what was written before still arrives."""
        raw = writer.get_extra_info("socket")
        raw.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, RESET_ON_CLOSE)
        writer.transport.abort()
        return False

    def stop(self) -> None:
        """End at once: the port is dead, connections are reset."""
        if self._server is not None:
            self._server.close()
        if self._dead_port is not None:
            self._dead_port.close()
        self.reset_connections()

    def end(self) -> None:
        """Stop, and keep the port dead: another program that took it would seem to be alive."""
        self.stop()
        self._dead_port = socket.socket()
        self._dead_port.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
        self._dead_port.bind(("127.0.0.1", self.port))

    @property
    def is_paused(self) -> bool:
        """Whether the worker stands still."""
        return not self._is_running.is_set()

    def pause(self) -> None:
        """Stand still like a stopped process: the kernel takes what comes, and nothing is done."""
        self._is_running.clear()

    def resume(self) -> None:
        """Go on after a pause: what came meanwhile is read, closed connections are noticed."""
        self._is_running.set()

    def reset_connections(self) -> None:
        """Reset all connections, as a process that ends does; the port goes on being served."""
        for writer in list(self._writers):
            writer.transport.abort()

    def entry(self, service: str, zone: str, state: str = "ready") -> dict[str, object]:
        """What the worker writes of itself into the store."""
        entry: dict[str, object] = {
            "Service": service,
            "Address": f"127.0.0.1:{self.port}",
            "Zone": zone,
            "Version": self.software,
            "Slots": 8,
            "State": state,
            "ColdLeftMs": 0,
            "Sequence": 1,
        }
        if self.born_ms is not None:
            entry["born"] = self.born_ms
        if self.stage:
            entry |= {"Stage": self.stage, "Models": [{"Name": "m", "Version": 1, "Adapters": []}]}
        return entry

    @property
    def _shown_software(self) -> str:
        """The version as events show it, for callers to see what they hold."""
        return quote(self.software[:MAX_SHOWN_CHARS], safe="") or "none"

    def runs_of(self, request_id: str) -> int:
        """How often a request has run here."""
        return self.ran.count(request_id)

    async def _serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        self.connections += 1
        self._writers.add(writer)
        with contextlib.suppress(ConnectionError, asyncio.IncompleteReadError):
            async for request in requests(reader):
                await self._is_running.wait()
                self.received.append(request)
                if not await self._answer(request, reader, writer):
                    break
        self._writers.discard(writer)
        writer.close()

    async def _answer(
        self, request: Received, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> bool:
        expected = request.headers.get("x-croftchute-expect-instance")
        is_hold = request.path == "/hold-take"
        if expected is not None and expected != self.id and not is_hold:
            self._send(writer, request, 421, {"X-Croftchute-Instance-Id": self.id})
            return True
        if self.faults.endless is not None:
            return await self._flood(request, writer, self.faults.endless)
        if request.path == "/hold-take":
            return self._take_hold(request, writer)
        if request.path.startswith("/hold-drop/"):
            self.holds.discard(request.path.rpartition("/")[2])
            self._send(writer, request, 200, {})
            return True
        if request.path.startswith("/kv-handle/"):
            self.handles.discard(request.path.rpartition("/")[2])
            self._send(writer, request, 200, {})
            return True
        if request.path == "/report":
            report = {"Sequence": 5} | ({} if self.born_ms is None else {"born": self.born_ms})
            self._send(writer, request, 200, {}, msgspec.json.encode(report))
            return True
        if request.path == "/kv-list":
            held = [["", part, tokens, "m"] for part, tokens in self.kept.items()]
            self._send(writer, request, 200, {}, msgspec.json.encode({"epoch": 1, "held": held}))
            return True
        if request.method == "GET" and request.path == self.health_path:
            await asyncio.sleep(self.faults.health_wait_s)
            self._send(writer, request, self.faults.health_status, self._load())
            return True
        if request.path == "/order":
            self.orders.append(msgspec.json.decode(request.body))
            self._send(writer, request, 202, {})
            return True
        return await self._run(request, reader, writer)

    async def _flood(
        self, request: Received, writer: asyncio.StreamWriter, answer: EndlessAnswer
    ) -> bool:
        """Answer without an end, until the caller closes."""
        is_run = bool(request.id) and request.headers.get("x-croftchute-stage") != "prefill"
        run = self._begin_run(request, writer) if is_run else None
        if run is not None:
            run.ends_empty = answer.ends_empty
        try:
            if answer.head:
                headers = {"X-Croftchute-Server-Stamp": STAMP, "Transfer-Encoding": "chunked"}
                writer.write(encode_head(200, request, headers))
            writer.write(answer.first)
            while not writer.transport.is_closing():
                writer.write(answer.repeated * FLOOD_REPEATS)
                await writer.drain()
        finally:
            if run is not None:
                run.ended_at = asyncio.get_running_loop().time()
        return False

    def _take_hold(self, request: Received, writer: asyncio.StreamWriter) -> bool:
        if self.faults.has_no_room or self.free_holds == 0:
            self._send(writer, request, 503, self._rest() | self._load())
            return True
        if self.free_holds is not None:
            self.free_holds -= 1
        hold = f"hold-{next(self._numbers)}"
        self.holds.add(hold)
        ttl_s = msgspec.json.decode(request.body)["ttl_ms"] / 1000.0
        asyncio.get_running_loop().call_later(ttl_s, self.holds.discard, hold)
        self._send(writer, request, 200, {}, msgspec.json.encode({"Hold": hold}))
        return True

    async def _run(
        self, request: Received, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> bool:
        faults = self.faults
        now = asyncio.get_running_loop().time()
        self.arrivals.append(Arrival(request_id=request.id, at=now))
        if faults.is_full:
            if faults.rest_s:
                refusal = Arrival(request_id=request.id, at=now, rest_s=faults.rest_s)
                self.refusals.append(refusal)
            self._send(writer, request, 503, self._not_run() | self._rest())
            return True
        is_prefill = request.headers.get("x-croftchute-stage") == "prefill"
        if is_prefill != (self.stage == "prefill"):
            self._send(writer, request, 421, {"X-Croftchute-Instance-Id": self.id})
            return True
        source = request.headers.get("x-croftchute-kv-source", "")
        if source and faults.handles_lapse:
            self._send(writer, request, 503, self._not_run())
            return True
        hold = request.headers.get("x-croftchute-kv-hold", "")
        if faults.has_no_room and hold and hold not in self.holds:
            self._send(writer, request, 503, self._not_run())
            return True
        self.holds.discard(hold)
        run = self._begin_run(request, writer) if not is_prefill else None
        if request.body == (self.crashes_on_reading if is_prefill else self.crashes_on):
            return self._crash(request)
        if is_prefill and shared_parts(request) & self.crashes_on_reading_parts:
            return self._crash(request)
        try:
            return await self._answer_run(request, reader, writer, is_prefill=is_prefill)
        finally:
            if run is not None:
                run.ended_at = asyncio.get_running_loop().time()

    def _crash(self, request: Received) -> bool:
        self.has_crashed = True
        now = asyncio.get_running_loop().time()
        self.crashed_under = Arrival(request_id=request.id, at=now)
        self.on_crash()
        self.end()
        return False

    def _begin_run(self, request: Received, writer: asyncio.StreamWriter) -> Run:
        self.ran.append(request.id)
        run = Run(
            request_id=request.id,
            path=request.path,
            body=request.body,
            started_at=asyncio.get_running_loop().time(),
            peer_port=writer.get_extra_info("peername")[1],
        )
        self.runs.append(run)
        return run

    async def _answer_run(
        self,
        request: Received,
        reader: asyncio.StreamReader,
        writer: asyncio.StreamWriter,
        *,
        is_prefill: bool,
    ) -> bool:
        faults = self.faults
        if faults.is_silent:
            await self._wait_for_close(request, reader)
            return False
        if faults.resets_before_answer:
            return self._reset(writer)
        if not await self._work(request, reader):
            return False
        if is_prefill:
            handle = f"handle-{next(self._numbers)}"
            self.handles.add(handle)
            self.prompts_read.append(request.id)
            loop = asyncio.get_running_loop()
            loop.call_later(self.handle_ttl_s, self.handles.discard, handle)
            body = msgspec.json.encode({"KvHandle": handle, "Tokens": 10, "Version": 1})
            self._send(writer, request, 200, {}, body)
            return True
        if self.crash_after_events == 0 and shared_parts(request) & self.crashes_on_parts:
            return self._crash(request)
        if self.stage:
            return await self._stream(request, reader, writer)
        return self._whole(request, writer)

    async def _work(self, request: Received, reader: asyncio.StreamReader) -> bool:
        """Work for a while; False if the caller's connection was closed meanwhile."""
        return await self._spend(self.work_s, request, reader)

    async def _spend(self, seconds: float, request: Received, reader: asyncio.StreamReader) -> bool:
        """Be busy for some time, and for a pause of the worker; False if the connection closed."""
        if seconds <= 0.0 and not self.is_paused:
            return True
        closing = asyncio.ensure_future(self._wait_for_close(request, reader))
        try:
            await asyncio.wait({closing}, timeout=seconds)
            await self._is_running.wait()
            # A connection that was closed during a pause is noticed at its end.
            await asyncio.sleep(0)
            return not closing.done()
        finally:
            closing.cancel()
            await asyncio.wait({closing})

    async def _wait_for_close(self, request: Received, reader: asyncio.StreamReader) -> None:
        with contextlib.suppress(ConnectionError):
            await reader.read(1)
        await self._is_running.wait()
        self.dropped.append(request.id)

    def _whole(self, request: Received, writer: asyncio.StreamWriter) -> bool:
        faults = self.faults
        if faults.sends_surplus_first:
            faults.sends_surplus_first = False
            other = Received(
                method="GET",
                path="/",
                headers={"x-croftchute-request-id": "another"},
                body=b"",
            )
            self._send(writer, other, 200, {}, b"of another request")
        status = faults.status or 200
        body = f"answer of {self.id} to {request.id}".encode().ljust(self.answer_bytes, b".")
        headers = {} if faults.lacks_stamp else {"X-Croftchute-Server-Stamp": STAMP}
        headers |= self._load() or {"X-Croftchute-Server-Load": "1,0,8"}
        if faults.is_unframed:
            head = encode_head(status, request, headers)
            writer.write(head + body)
            if faults.cuts_body:
                self._reset(writer)
            else:
                writer.close()
            return False
        if faults.cuts_body:
            writer.write(encode_head(status, request, headers | {"Content-Length": str(len(body))}))
            writer.write(body[: len(body) // 2])
            writer.close()
            return False
        if faults.sends_chunks:
            headers |= {"Transfer-Encoding": "chunked"}
            writer.write(encode_head(status, request, headers))
            for begin in range(0, len(body), CHUNK_BYTES):
                write_chunk(writer, body[begin : begin + CHUNK_BYTES])
            writer.write(b"0\r\n\r\n")
        else:
            self._send(writer, request, status, headers, body)
        self.finished.append(request.id)
        return True

    async def _stream(
        self, request: Received, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> bool:
        faults = self.faults
        headers = {"Content-Type": "text/event-stream", "X-Croftchute-Server-Stamp": STAMP}
        if not faults.is_unframed:
            headers["Transfer-Encoding"] = "chunked"
        write = write_raw if faults.is_unframed else write_chunk
        if self.unread_s:
            limit_unread(writer)
        headers |= self._load() | self._wishes()
        writer.write(encode_head(self._status(faults.status or 200, request), request, headers))
        first = int(request.headers.get("last-event-id", "0")) + 1
        software = self._shown_software
        is_crashing = bool(shared_parts(request) & self.crashes_on_parts)
        for sent, number in enumerate(range(first, self.events + 1)):
            if is_crashing and sent == self.crash_after_events:
                return self._crash(request)
            if faults.resets_after_events == sent:
                await writer.drain()
                return self._reset(writer)
            if faults.hangs_after_events == sent:
                await self._wait_for_close(request, reader)
                return False
            data = f"token-{number} of {request.id} by {software}"
            data = data.ljust(self.event_bytes, ".")
            event = f"id: {number}\ndata: {data}\n\n".encode()
            if faults.ends_inside_event == sent:
                write(writer, event[:6])
                writer.close()
                return False
            write(writer, event)
            if faults.repeats_event == sent:
                write(writer, event)
            if not await self._pause(request, reader) or not await self._is_read(request, writer):
                return False
        self.finished.append(request.id)
        if faults.is_unframed:
            writer.close()
            return False
        writer.write(b"0\r\n\r\n")
        return True

    async def _pause(self, request: Received, reader: asyncio.StreamReader) -> bool:
        gap_s = self.slow_gap_s if SLOW_PATH in request.path else self.gap_s
        return await self._spend(gap_s, request, reader)

    async def _is_read(self, request: Received, writer: asyncio.StreamWriter) -> bool:
        """Whether the stream is read; it is cut off if nothing of it is for too long."""
        if not self.unread_s:
            return True
        try:
            async with asyncio.timeout(self.unread_s):
                await writer.drain()
        except TimeoutError:
            self.cut_off.append(request.id)
            return self._reset(writer)
        return True

    def _status(self, status: int, request: Received) -> int | str:
        """The status of an answer, or what stands in its place."""
        if request.path == "/hold-take":
            return self.faults.control_status_text or status
        return (self.faults.status_text if request.id else "") or status

    def _rest(self) -> Headers:
        return {"Retry-After": f"{self.faults.rest_s:g}"} if self.faults.rest_s else {}

    def _load(self) -> Headers:
        return {"X-Croftchute-Server-Load": self.load} if self.load else {}

    def _not_run(self) -> Headers:
        return {"X-Croftchute-Not-Executed": "1"} | self._load()

    def _wishes(self) -> Headers:
        told = {"Server-Leaving": "1"} if self.faults.is_leaving else {}
        return told | ({"Server-Limit": self.faults.limit} if self.faults.limit else {})

    def _send(
        self,
        writer: asyncio.StreamWriter,
        request: Received,
        status: int,
        headers: Headers,
        body: bytes = b"",
    ) -> None:
        headers = headers | self._wishes() | {"Content-Length": str(len(body))}
        answer = encode_head(self._status(status, request), request, headers) + body
        writer.write(answer)
        copy_after_s = self.faults.copies_answers_s
        if request.id and copy_after_s is not None:
            asyncio.get_running_loop().call_later(copy_after_s, write_if_open, writer, answer)
