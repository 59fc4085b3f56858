"""Passing token streams on: one thread moves the bytes of all streams between sockets.

A thread for each stream spent most of its time on handing the interpreter over; here one wake-up
serves all streams that have something, and the callers' threads sleep until their streams end.
"""

from __future__ import annotations

import contextlib
import os
import select
import socket
import threading
import time
from collections.abc import Callable
from typing import Protocol

from croftchute.errors import Code, Ran, UpstreamError
from croftchute.upstreams.engine import TokenStream

READ_BYTES = 65536
SWEEP_S = 0.5
EVENT_END = b"\n\n"
DONE_EVENT = b"data: [DONE]\n\n"
FAILED = select.EPOLLHUP | select.EPOLLERR

Clock = Callable[[], float]


class AnswerClient(Protocol):
    """A caller's connection, as far as the bytes of its answer are counted."""

    def note_unsent(self, size: int) -> None:
        """Count what waits for the caller; raises OSError if the connection was given up."""
        ...

    def give_up_answer(self) -> None:
        """Break the connection off, so that the answer cannot look whole."""
        ...


class CallerSink:
    """A caller's socket, behind response headers that have been sent.

    ``client`` counts the bytes that wait for the caller; None if nobody does.
    """

    def __init__(
        self, *, sock: socket.socket, chunked: bool, client: AnswerClient | None = None
    ) -> None:
        self.fd = sock.fileno()
        self.sent_bytes = 0
        self._chunked = chunked
        self._client = client
        self._unsent = b""

    @property
    def is_blocked(self) -> bool:
        """Whether some bytes still wait for room."""
        return bool(self._unsent)

    def send(self, data: bytes) -> None:
        """Send body bytes as far as there is room; raises OSError if the caller is gone."""
        if data and self._chunked:
            data = b"%x\r\n%b\r\n" % (len(data), data)
        was_blocked = self.is_blocked
        data = self._unsent + data
        while data:
            try:
                sent = os.write(self.fd, data)
            except BlockingIOError:
                break
            self.sent_bytes += sent
            data = data[sent:]
        self._unsent = data
        if self._client is not None and (was_blocked or self.is_blocked):
            self._client.note_unsent(len(data))

    def give_up(self) -> None:
        """Break the connection off, as the caller takes nothing."""
        if self._client is not None:
            self._client.give_up_answer()


class RelayedStream:
    """One stream on its way: events are held until the caller's thread says where to.

    ``changed`` is called when the first events come, at the end, and where it was asked for.
    """

    def __init__(
        self,
        *,
        stream: TokenStream,
        mark: bytes,
        now: float,
        changed: Callable[[], None] | None = None,
    ) -> None:
        self.stream = stream
        self.fd = stream.fileno()
        self.delivered = 0
        self.first_at = 0.0
        self.last_at = now
        self.is_over = False
        self.has_spoken = False
        self.changed = changed
        self.lock = threading.Lock()
        self.sink: CallerSink | None = None
        self.unread_since = now
        self.sent_before = 0
        self._mark = mark
        self._pending = b""
        self._held: list[bytes] = []
        self._whole = False
        self._ended = False
        self._error: UpstreamError | None = None
        self._tells_next = True
        self._over = threading.Event()

    def take_held(self) -> bytes:
        """The events that came and were not sent anywhere."""
        with self.lock:
            held, self._held = self._held, []
        return b"".join(held)

    def tell_next(self) -> None:
        """Have ``changed`` called when the next events come."""
        self._tells_next = True

    def outcome(self) -> UpstreamError | None:
        """Wait for the end of the stream; why it broke off, or None if it is whole."""
        self._over.wait()
        return self._error

    def take(self, data: bytes, now: float) -> None:
        """Take in bytes of the response; call with the lock held."""
        for body in self.stream.decode_body(data):
            self._pending = self._pending + body if self._pending else body
        whole = self._cut()
        if whole:
            self._pass_on(whole, now)
        if self.stream.is_complete and not self.is_over:
            self._ended = True
            self._finish_if_sent()

    def attach(self, sink: CallerSink) -> None:
        """Send what is held and all that follows to a caller; call with the lock held."""
        self.sink = sink
        held, self._held = self._held, []
        if held:
            self._send(b"".join(held))

    def flush(self) -> None:
        """Send what had no room before; call with the lock held."""
        self._send(b"")
        self._finish_if_sent()

    def finish(self, error: UpstreamError | None) -> None:
        """The stream is over."""
        self._error = self._error or error
        self.is_over = True
        self._over.set()
        self._tell()

    def _tell(self) -> None:
        if self.changed is not None:
            self.changed()

    def _finish_if_sent(self) -> None:
        """The end counts only when the caller has everything, or its thread will take it."""
        blocked = self.sink is not None and self.sink.is_blocked
        if self._ended and not blocked:
            self.finish(None if self._whole else _broken("stream ended early"))

    def _cut(self) -> bytes:
        pending = self._pending
        if not pending:
            return b""
        if pending.endswith(EVENT_END):
            self._pending = b""
            return pending
        whole, end, self._pending = pending.rpartition(EVENT_END)
        return whole + end

    def _pass_on(self, events: bytes, now: float) -> None:
        done = events.endswith(DONE_EVENT)
        if self._mark not in events and events != DONE_EVENT:
            self.finish(_broken("another request's events came"))
            return
        self.last_at = now
        if not self.delivered:
            self.first_at = now
        self.delivered += events.count(EVENT_END) - done
        self._whole = done
        if self.sink is None:
            self._held.append(events)
        else:
            self._send(events)
        self.has_spoken = True
        if self._tells_next:
            self._tells_next = False
            self._tell()

    def _send(self, data: bytes) -> None:
        assert self.sink is not None
        try:
            self.sink.send(data)
        except OSError:
            error = UpstreamError(Code.CALLER_GONE, "the caller left", ran=Ran.RAN)
            self.finish(error)


class Relay:
    """The thread, and the streams that it serves.

    A stream without an event for ``gap_s`` seconds is given up, and so is one of whose events the
    caller has taken nothing for ``unread_s`` seconds.
    """

    def __init__(self, *, clock: Clock, gap_s: float, unread_s: float) -> None:
        self.clock = clock
        self.gap_s = gap_s
        self.unread_s = unread_s
        self.cpu_s = 0.0
        self._poll = select.epoll()
        self._stream_by_fd: dict[int, RelayedStream] = {}
        self._blocked_by_fd: dict[int, RelayedStream] = {}
        self._stopped = threading.Event()
        self._thread = threading.Thread(target=self._run, daemon=True, name="relay")

    def start(self) -> None:
        """Begin to serve."""
        self._thread.start()

    def stop(self) -> None:
        """End the thread."""
        self._stopped.set()
        self._thread.join(2 * SWEEP_S)

    def open(
        self, stream: TokenStream, mark: bytes, changed: Callable[[], None] | None = None
    ) -> RelayedStream:
        """Begin to read a stream; every event has to carry ``mark``.

        A stream with ``changed`` is watched by its caller's thread, which ends it if need be. Any
        other is given up after ``gap_s`` without an event.
        """
        relayed = RelayedStream(stream=stream, mark=mark, now=self.clock(), changed=changed)
        with relayed.lock:
            relayed.take(stream.leftover(), self.clock())
            if not relayed.is_over:
                self._stream_by_fd[relayed.fd] = relayed
                self._poll.register(relayed.fd, select.EPOLLIN)
        return relayed

    def send_to(self, relayed: RelayedStream, sink: CallerSink) -> None:
        """Send a stream's events to a caller from now on."""
        with relayed.lock:
            relayed.attach(sink)
            if not relayed.is_over:
                self._watch_room(relayed)

    def supersede(self, relayed: RelayedStream, delivered: int) -> bool:
        """End a stream if it has delivered just so many events; whether it did so.

        Nothing of it is sent to the caller afterwards, so that another one may go on behind them.
        """
        with relayed.lock:
            if relayed.is_over or relayed.delivered != delivered:
                return False
            self._forget(relayed)
            relayed.finish(UpstreamError(Code.UPSTREAM_SLOW, "another one goes on", ran=Ran.RAN))
            return True

    def close(self, relayed: RelayedStream) -> None:
        """Forget a stream, before its socket is closed."""
        with relayed.lock:
            self._forget(relayed)
            relayed.finish(_broken("closed"))

    def _run(self) -> None:
        next_sweep = self.clock() + SWEEP_S
        while not self._stopped.is_set():
            ready = self._poll.poll(SWEEP_S)
            now = self.clock()
            for fd, events in ready:
                relayed = self._stream_by_fd.get(fd)
                if relayed is not None:
                    self._readable(relayed, now)
                elif fd in self._blocked_by_fd:
                    self._writable(self._blocked_by_fd[fd], events)
            if now >= next_sweep:
                next_sweep = now + SWEEP_S
                self.cpu_s = time.thread_time()
                self._sweep(now)

    def _readable(self, relayed: RelayedStream, now: float) -> None:
        with relayed.lock:
            if relayed.is_over:
                return
            try:
                data = os.read(relayed.fd, READ_BYTES)
            except BlockingIOError:
                return
            except OSError as error:
                relayed.finish(_broken(str(error)))
                self._forget(relayed)
                return
            if data:
                self._take(relayed, data, now)
            else:
                relayed.finish(_broken("connection closed"))
            sink = relayed.sink
            if relayed.is_over or (sink is not None and sink.is_blocked):
                self._watch_room(relayed)

    def _take(self, relayed: RelayedStream, data: bytes, now: float) -> None:
        """Take in bytes; a response that cannot be read ends its own stream only."""
        try:
            relayed.take(data, now)
        except UpstreamError as error:
            relayed.finish(error)

    def _writable(self, relayed: RelayedStream, events: int) -> None:
        with relayed.lock:
            if events & FAILED:
                error = UpstreamError(Code.CALLER_GONE, "the caller left", ran=Ran.RAN)
                relayed.finish(error)
            else:
                relayed.flush()
            self._watch_room(relayed)

    def _watch_room(self, relayed: RelayedStream) -> None:
        """Read on only while the caller has room."""
        if relayed.is_over:
            self._forget(relayed)
            return
        if relayed.sink is None:
            return
        fd = relayed.sink.fd
        with contextlib.suppress(OSError, ValueError):
            if relayed.sink.is_blocked and fd not in self._blocked_by_fd:
                self._blocked_by_fd[fd] = relayed
                self._poll.modify(relayed.fd, 0)
                self._poll.register(fd, select.EPOLLOUT)
            elif not relayed.sink.is_blocked and fd in self._blocked_by_fd:
                del self._blocked_by_fd[fd]
                self._poll.unregister(fd)
                self._poll.modify(relayed.fd, select.EPOLLIN)

    def _forget(self, relayed: RelayedStream) -> None:
        if self._stream_by_fd.get(relayed.fd) is relayed:
            del self._stream_by_fd[relayed.fd]
            with contextlib.suppress(OSError, ValueError):
                self._poll.unregister(relayed.fd)
        sink = relayed.sink
        if sink is not None and self._blocked_by_fd.get(sink.fd) is relayed:
            del self._blocked_by_fd[sink.fd]
            with contextlib.suppress(OSError, ValueError):
                self._poll.unregister(sink.fd)

    def _sweep(self, now: float) -> None:
        for relayed in list(self._stream_by_fd.values()):
            blocked = relayed.sink is not None and relayed.sink.is_blocked
            if blocked and self._is_left_unread(relayed, now):
                self._give_up_unread(relayed)
                continue
            is_watched = relayed.changed is not None
            if now - relayed.last_at > self.gap_s and not blocked and not is_watched:
                message = f"no event for {self.gap_s} s"
                with relayed.lock:
                    relayed.finish(UpstreamError(Code.UPSTREAM_SLOW, message, ran=Ran.RAN))
                    self._forget(relayed)

    def _give_up_unread(self, relayed: RelayedStream) -> None:
        with relayed.lock:
            if relayed.sink is not None:
                relayed.sink.give_up()
            error = UpstreamError(Code.CALLER_GONE, "the caller reads nothing", ran=Ran.RAN)
            relayed.finish(error)
            self._forget(relayed)

    def _is_left_unread(self, relayed: RelayedStream, now: float) -> bool:
        """Whether the caller has taken nothing of a stream that waits for it for too long."""
        assert relayed.sink is not None
        if relayed.sink.sent_bytes != relayed.sent_before:
            relayed.sent_before = relayed.sink.sent_bytes
            relayed.unread_since = now
        return now - relayed.unread_since > self.unread_s


def _broken(reason: str) -> UpstreamError:
    return UpstreamError(Code.UPSTREAM_FAILED, f"stream: {reason}", ran=Ran.RAN)
