import os
import queue
import socket
import threading

import httptools
import pytest

from croftchute.clock import ProcessClock
from croftchute.errors import Code, Ran, UpstreamError
from croftchute.gateway.relay import SWEEP_S, CallerSink, Relay

HEAD = b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n"
DONE = b"data: [DONE]\n\n"


class FakeStream:
    """An engine's response on one end of a socket pair."""

    def __init__(self):
        self.engine, self.socket = socket.socketpair()
        self.socket.setblocking(False)
        self.is_complete = False
        self._parts = []
        self._parser = httptools.HttpResponseParser(self)
        self._parser.feed_data(HEAD)

    def fileno(self):
        return self.socket.fileno()

    def leftover(self):
        return b""

    def decode_body(self, data):
        try:
            self._parser.feed_data(data)
        except httptools.HttpParserError as error:
            raise UpstreamError(Code.UPSTREAM_FAILED, str(error), ran=Ran.RAN) from None
        parts, self._parts = self._parts, []
        return parts

    def on_body(self, body):
        self._parts.append(body)

    def on_message_complete(self):
        self.is_complete = True

    def give(self, *bodies):
        for body in bodies:
            self.engine.sendall(b"%x\r\n%b\r\n" % (len(body), body))

    def end(self):
        self.engine.sendall(b"0\r\n\r\n")


@pytest.fixture
def relay():
    made = Relay(clock=ProcessClock().now, gap_s=60.0, unread_s=60.0)
    made.start()
    yield made
    made.stop()


class Client:
    def __init__(self):
        self.unsent = []
        self.is_given_up = False

    def note_unsent(self, size):
        self.unsent.append(size)

    def give_up_answer(self):
        self.is_given_up = True


def event(n):
    return b"data: mark %d\n\n" % n


def test_events_cut_anywhere_come_whole_and_are_counted(relay):
    stream = FakeStream()
    relayed = relay.open(stream, b"mark")
    whole = event(1) + event(2) + DONE
    stream.give(*(whole[n : n + 5] for n in range(0, len(whole), 5)))
    stream.end()
    assert relayed.outcome() is None
    assert relayed.take_held() == whole
    assert relayed.delivered == 2


def test_a_stream_that_cannot_be_read_ends_alone(relay):
    bad, good = FakeStream(), FakeStream()
    first, second = relay.open(bad, b"mark"), relay.open(good, b"mark")
    bad.engine.sendall(b"no chunk at all\r\n")
    assert first.outcome().code is Code.UPSTREAM_FAILED
    good.give(event(1), DONE)
    good.end()
    assert second.outcome() is None


def test_events_of_another_request_are_not_passed_on(relay):
    stream = FakeStream()
    relayed = relay.open(stream, b"mark")
    stream.give(b"data: other 1\n\n")
    assert relayed.outcome().code is Code.UPSTREAM_FAILED
    assert relayed.take_held() == b""


def test_an_end_without_the_last_event_is_no_whole_answer(relay):
    stream = FakeStream()
    relayed = relay.open(stream, b"mark")
    stream.give(event(1))
    stream.end()
    assert relayed.outcome() is not None


def test_a_caller_who_reads_slowly_gets_everything(relay):
    stream = FakeStream()
    ours, callers = socket.socketpair()
    ours.setblocking(False)
    ours.setsockopt(socket.SOL_SOCKET, socket.SO_SNDBUF, 4096)
    relayed = relay.open(stream, b"mark")
    relay.send_to(relayed, CallerSink(sock=ours, chunked=False))
    whole = b"".join(event(n) for n in range(20000)) + DONE
    feeder = threading.Thread(target=lambda: (stream.give(whole), stream.end()))
    feeder.start()
    got = b""
    while len(got) < len(whole):
        got += os.read(callers.fileno(), 3000)
    feeder.join()
    assert got == whole
    assert relayed.outcome() is None


def test_a_caller_who_is_gone_ends_the_stream(relay):
    stream = FakeStream()
    ours, callers = socket.socketpair()
    ours.setblocking(False)
    relayed = relay.open(stream, b"mark")
    relay.send_to(relayed, CallerSink(sock=ours, chunked=True))
    callers.close()
    stream.give(event(1))
    assert relayed.outcome().code is Code.CALLER_GONE


def test_a_caller_that_reads_nothing_is_given_up_and_counted_until_then():
    """The fault: it kept its stream, and the engine's place, for ever."""
    made = Relay(clock=ProcessClock().now, gap_s=60.0, unread_s=0.3)
    made.start()
    stream, client = FakeStream(), Client()
    ours, callers = socket.socketpair()
    ours.setblocking(False)
    ours.setsockopt(socket.SOL_SOCKET, socket.SO_SNDBUF, 4096)
    try:
        relayed = made.open(stream, b"mark")
        sink = CallerSink(sock=ours, chunked=True, client=client)
        made.send_to(relayed, sink)
        whole = b"".join(event(n) for n in range(20000))
        threading.Thread(target=stream.give, args=[whole], daemon=True).start()
        assert relayed.outcome().code is Code.CALLER_GONE
        assert client.unsent and client.unsent[-1] > 0 and client.is_given_up
    finally:
        made.stop()
        callers.close()


def test_a_stream_without_events_for_too_long_is_given_up():
    made = Relay(clock=ProcessClock().now, gap_s=0.01, unread_s=60.0)
    made.start()
    try:
        assert made.open(FakeStream(), b"mark").outcome().code is Code.UPSTREAM_SLOW
    finally:
        made.stop()


@pytest.fixture
def impatient_relay():
    made = Relay(clock=ProcessClock().now, gap_s=0.01, unread_s=60.0)
    made.start()
    yield made
    made.stop()


def test_a_silent_stream_that_is_watched_stays_open(impatient_relay):
    """Guards against ending a stream before its caller's thread knows how it may go on."""
    stream, changed = FakeStream(), threading.Event()
    relayed = impatient_relay.open(stream, b"mark", changed.set)
    assert not changed.wait(3 * SWEEP_S)
    assert not relayed.is_over
    stream.give(event(1))
    assert changed.wait(5.0)
    assert relayed.has_spoken


def test_a_watched_stream_tells_of_its_first_events_of_later_ones_on_demand_and_of_its_end(relay):
    stream, changes = FakeStream(), queue.SimpleQueue()
    relayed = relay.open(stream, b"mark", lambda: changes.put(relayed.delivered))
    stream.give(event(1))
    assert changes.get(timeout=5.0) == 1
    stream.give(event(2))
    while relayed.delivered < 2:
        threading.Event().wait(0.01)
    relayed.tell_next()
    stream.give(event(3))
    assert changes.get(timeout=5.0) == 3
    stream.give(DONE)
    stream.end()
    assert changes.get(timeout=5.0) == 3
    assert relayed.outcome() is None


def test_nothing_of_a_superseded_stream_reaches_its_caller(relay):
    """Guards against events of two engines that both go on with one answer."""
    stream = FakeStream()
    ours, callers = socket.socketpair()
    ours.setblocking(False)
    relayed = relay.open(stream, b"mark", lambda: None)
    relay.send_to(relayed, CallerSink(sock=ours, chunked=False))
    stream.give(event(1))
    assert callers.recv(100) == event(1)
    assert not relay.supersede(relayed, 0)
    assert not relayed.is_over
    assert relay.supersede(relayed, 1)
    stream.give(event(2))
    ours.shutdown(socket.SHUT_WR)
    assert callers.recv(100) == b""
    assert relayed.delivered == 1
