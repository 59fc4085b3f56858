"""Clients that hold much or many connections, before a server and its receiver."""

import socket
import time

import pytest

from croftchute.forwarding.http.client_memory import ReleaseCause
from croftchute.httpd import HttpServer, read_body, reply, reserve_memory
from croftchute.received_request import RequestLimits
from croftchute.request_receiver import LockedMemory, RequestReceiver

WAIT_S = 20.0
HEAD = b"POST / HTTP/1.1\r\nHost: h\r\n"
BODY_BYTES = 500_000
ANSWER_BYTES = 8_000_000
BOUND_MB = 4.0
"""The bound is a quarter of it, two bodies."""

LARGE_MB = 80.0
"""The bound is two answers and a half."""

SMALL_WINDOW_BYTES = 4096

LIMITS = RequestLimits(max_body_bytes=BODY_BYTES, max_header_lines=50, timeout_s=WAIT_S)


def app(environ, start_response):
    try:
        body = read_body(environ)
        if environ["PATH_INFO"] == "/costly":
            reserve_memory(environ, int(body))
    except Exception as error:  # noqa: BLE001 - the code is what the tests look at
        return reply(start_response, 503, error.code.value.encode())
    if environ["PATH_INFO"] == "/large":
        return reply(start_response, 200, b"x" * ANSWER_BYTES)
    return reply(start_response, 200, b"%d bytes" % len(body))


class Served:
    """A server with what it released."""

    def __init__(self, *, memory_mb=BOUND_MB, **changes):
        self.releases = []
        self.memory = LockedMemory(
            memory_mb=memory_mb, clock=time.monotonic, on_release=self.releases.append
        )
        values = {"limits": LIMITS, "max_connections": 8, "threads": 2} | changes
        self.server = HttpServer(app=app, address="127.0.0.1", port=0, memory=self.memory, **values)
        self.server.start()

    def causes(self):
        return [release.cause for release in self.releases]

    def connect(self):
        return socket.create_connection(("127.0.0.1", self.server.port), timeout=WAIT_S)

    def ask_without_reading(self):
        sock = socket.socket()
        sock.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, SMALL_WINDOW_BYTES)
        sock.settimeout(WAIT_S)
        sock.connect(("127.0.0.1", self.server.port))
        sock.sendall(request_of(0, b"/large"))
        return sock

    def ask(self, request):
        with self.connect() as sock:
            sock.sendall(request)
            return answer(sock)


@pytest.fixture
def serve():
    made = []

    def start(**changes):
        made.append(Served(**changes))
        return made[-1]

    yield start
    for served in made:
        served.server.stop()


def answer(sock):
    """The status and body of an answer."""
    data = b""
    while b"\r\n\r\n" not in data:
        piece = sock.recv(65536)
        if not piece:
            return None, data
        data += piece
    head, _, body = data.partition(b"\r\n\r\n")
    length = int(head.lower().split(b"content-length: ")[1].split(b"\r\n")[0])
    while len(body) < length:
        body += sock.recv(65536)
    return int(head.split()[1]), body


def wait_until(holds):
    end = time.monotonic() + WAIT_S
    while not holds():
        assert time.monotonic() < end
        time.sleep(0.01)


def request_of(size, path=b"/"):
    head = HEAD.replace(b"/", path, 1) + b"Content-Length: %d\r\n\r\n" % size
    return head + b"1" * size


def test_bodies_half_read_are_released_at_the_bound(serve):
    served = serve()
    socks = [served.connect() for _ in range(6)]
    for sock in socks:
        sock.sendall(request_of(BODY_BYTES)[:-1])
        wait_until(lambda: served.memory.account.total > 0)
    wait_until(lambda: len(served.causes()) >= 4)
    assert set(served.causes()) == {ReleaseCause.REQUEST_HALF_READ}
    assert served.memory.account.total <= served.memory.account.bound
    assert served.ask(request_of(10)) == (200, b"10 bytes")
    for sock in socks:
        sock.close()
    wait_until(lambda: served.memory.account.total == 0)


def test_a_single_largest_request_is_served(serve):
    served = serve()
    for _ in range(3):
        expected = (200, b"%d bytes" % BODY_BYTES)
        assert served.ask(request_of(BODY_BYTES)) == expected
    assert not served.releases
    wait_until(lambda: served.memory.account.served == 0)


def test_a_request_whose_values_take_too_much_is_refused(serve):
    served = serve()
    body = b"3000000"
    request = HEAD.replace(b"/", b"/costly", 1) + b"Content-Length: %d\r\n\r\n" % len(body) + body
    assert served.ask(request) == (503, b"no_capacity")
    assert served.causes() == [ReleaseCause.REQUEST_REFUSED]
    wait_until(lambda: served.memory.account.served == 0)


def test_too_many_header_lines_are_refused_and_counted(serve):
    served = serve()
    assert served.ask(HEAD + b"a:\r\n" * 50)[0] == 431
    assert served.causes() == [ReleaseCause.HEAD_TOO_LARGE]


def test_a_client_that_stops_short_gets_408(serve):
    served = serve(limits=RequestLimits(timeout_s=0.2))
    assert served.ask(HEAD)[0] == 408
    assert served.causes() == [ReleaseCause.TOO_SLOW]
    with served.connect() as sock:
        assert sock.recv(1) == b""
    wait_until(lambda: served.server.connections == 0)


def test_the_connection_that_waits_longest_makes_room_for_a_new_one(serve):
    served = serve()
    socks = [served.connect() for _ in range(8)]
    wait_until(lambda: served.server.connections == 8)
    socks[0].sendall(HEAD)
    wait_until(lambda: served.server.open_requests == 1)
    assert served.ask(request_of(1)) == (200, b"1 bytes")
    assert socks[1].recv(1) == b""
    socks[0].sendall(b"Content-Length: 1\r\n\r\na")
    assert answer(socks[0]) == (200, b"1 bytes")
    for sock in socks:
        sock.close()


def test_a_connection_whose_first_bytes_were_not_read_yet_does_not_make_room():
    """The fault: it was taken for an idle one, and the client lost the request that it had sent."""
    memory = LockedMemory(memory_mb=BOUND_MB, clock=time.monotonic, on_release=lambda _: None)
    receiver = RequestReceiver(
        memory=memory, limits=LIMITS, max_connections=2, clock=time.monotonic
    )
    pairs = [socket.socketpair() for _ in range(3)]
    for ours, _ in pairs:
        ours.setblocking(False)
    begun, idle = (receiver.add(ours, lambda: None) for ours, _ in pairs[:2])
    pairs[0][1].sendall(HEAD)
    assert receiver.add(pairs[2][0], lambda: None) is not None
    assert (begun.is_released, idle.is_released) == (False, True)
    receiver.stop()
    for pair in pairs:
        for sock in pair:
            sock.close()


def test_requests_behind_one_another_are_answered_in_order(serve):
    served = serve()
    with served.connect() as sock:
        sock.sendall(request_of(1) + request_of(2) + request_of(3))
        received = b""
        while received.count(b" bytes") < 3:
            received += sock.recv(65536)
    assert received.index(b"1 bytes") < received.index(b"2 bytes") < received.index(b"3 bytes")


def test_a_request_in_pieces_of_a_byte_is_served(serve):
    served = serve()
    with served.connect() as sock:
        sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
        for byte in request_of(40):
            sock.send(bytes([byte]))
        assert answer(sock) == (200, b"40 bytes")


def test_a_client_that_waits_for_100_continue_gets_it_once(serve):
    served = serve()
    with served.connect() as sock:
        sock.sendall(HEAD + b"Expect: 100-continue\r\nContent-Length: 1\r\n\r\n")
        assert sock.recv(65536) == b"HTTP/1.1 100 Continue\r\n\r\n"
        sock.sendall(b"a")
        assert answer(sock) == (200, b"1 bytes")


@pytest.mark.parametrize("line", [b"Transfer-Encoding: chunked", b"Content-Length: 1, 1"])
def test_a_body_of_unclear_length_is_refused_and_not_taken_for_a_request(serve, line):
    """The fault: a body in chunks was handled as an empty one, and read as the next request."""
    served = serve()
    with served.connect() as sock:
        sock.sendall(HEAD + line + b"\r\n\r\n" + HEAD + b"\r\n")
        received = b""
        while piece := sock.recv(65536):
            received += piece
    assert received.count(b"HTTP/1.1") == 1
    assert b" 200 " not in received


def test_answers_that_nobody_reads_are_given_up_at_the_bound(serve):
    """The fault: they were not counted, and each held a thread."""
    served = serve(memory_mb=LARGE_MB, threads=4)
    socks = [served.ask_without_reading() for _ in range(4)]
    wait_until(lambda: len(served.causes()) >= 2)
    assert set(served.causes()) == {ReleaseCause.ANSWER_UNREAD}
    assert served.memory.account.total <= served.memory.account.bound
    assert served.ask(request_of(10)) == (200, b"10 bytes")
    for sock in socks:
        sock.close()
    wait_until(lambda: served.memory.account.total == 0)


def test_a_client_that_reads_its_answer_too_slowly_is_closed(serve):
    """The fault: a pause in the reading was bounded, but not the whole of it."""
    limits = RequestLimits(timeout_s=0.5, min_bytes_per_s=10 * ANSWER_BYTES)
    served = serve(memory_mb=LARGE_MB, limits=limits)
    socks = [served.ask_without_reading() for _ in range(2)]
    with pytest.raises(ConnectionError):
        while True:
            for sock in socks:
                assert sock.recv(SMALL_WINDOW_BYTES)
            time.sleep(0.05)
    wait_until(lambda: len(served.causes()) >= 2)
    assert set(served.causes()) == {ReleaseCause.TOO_SLOW}
    assert served.ask(request_of(10)) == (200, b"10 bytes")


def test_a_client_that_reads_slowly_and_steadily_gets_the_whole_answer(serve):
    served = serve(memory_mb=LARGE_MB)
    sock = served.ask_without_reading()
    received = 0
    while received < ANSWER_BYTES:
        piece = sock.recv(65536)
        assert piece
        received += len(piece)
        time.sleep(0.001)
    assert not served.releases
