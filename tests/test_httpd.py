"""The server: what it counts as open, and how its connections end."""

import socket
import threading
import time

import pytest

from croftchute.httpd import HttpServer, read_body, reply

WAIT_S = 20.0
HEAD = b"POST / HTTP/1.1\r\nHost: h\r\nContent-Length: 4\r\n\r\n"


class App:
    """Answers when it is told to; a stream's head goes out before."""

    def __init__(self):
        self.may_end = threading.Event()

    def __call__(self, environ, start_response):
        body = read_body(environ)
        if environ["PATH_INFO"] == "/stream":
            start_response("200 OK", [("Content-Type", "text/plain")])
            return self._parts()
        return reply(start_response, 200, body)

    def _parts(self):
        yield b"first"
        self.may_end.wait(WAIT_S)
        yield b"last"


@pytest.fixture
def app():
    return App()


@pytest.fixture
def server(app):
    made = HttpServer(app=app, address="127.0.0.1", port=0, threads=2)
    made.start()
    yield made
    app.may_end.set()
    made.stop()


def connect(server):
    return socket.create_connection(("127.0.0.1", server.port), timeout=WAIT_S)


def read_until(sock, end):
    data = b""
    while not data.endswith(end):
        piece = sock.recv(65536)
        assert piece, f"ended after {data!r}"
        data += piece
    return data


def wait_until(holds):
    end = time.monotonic() + WAIT_S
    while not holds():
        assert time.monotonic() < end
        time.sleep(0.01)


def test_a_request_is_open_from_its_heads_first_byte_to_its_answers_end(server):
    with connect(server) as sock:
        assert server.open_requests == 0
        sock.sendall(HEAD[:1])
        wait_until(lambda: server.open_requests == 1)
        sock.sendall(HEAD[1:] + b"abc")
        assert server.open_requests == 1
        sock.sendall(b"d")
        read_until(sock, b"abcd")
        wait_until(lambda: server.open_requests == 0)


def test_a_connection_without_a_request_is_not_open(server):
    with connect(server):
        wait_until(lambda: server.connections == 1)
        assert server.open_requests == 0


def test_no_thread_waits_for_the_rest_of_a_request(server):
    """The fault: clients that stop short take all threads, and nobody else is answered."""
    socks = [connect(server) for _ in range(6)]
    for sock in socks[:3]:
        sock.sendall(HEAD)
    wait_until(lambda: server.open_requests == 3)
    assert server.pool.idle == 2
    with connect(server) as sock:
        sock.sendall(HEAD + b"abcd")
        read_until(sock, b"abcd")
    for sock in socks:
        sock.close()


def test_requests_that_wait_for_a_thread_are_open(server, app):
    socks = [connect(server) for _ in range(3)]
    for sock in socks:
        sock.sendall(HEAD.replace(b"/", b"/stream", 1) + b"abcd")
    # One in the queue alone may also be the first one, before a thread has taken it.
    wait_until(lambda: server.pool.idle == 0 and server.pool.qsize == 1)
    assert server.open_requests == 3
    app.may_end.set()
    for sock in socks:
        read_until(sock, b"0\r\n\r\n")
        sock.close()
    wait_until(lambda: server.open_requests == 0)


def test_an_answer_announces_that_its_connection_closes(server):
    with connect(server) as sock:
        sock.sendall(HEAD + b"abcd")
        assert b"Connection: close" not in read_until(sock, b"abcd")
        server.announce_close()
        sock.sendall(HEAD + b"abcd")
        assert b"Connection: close" in read_until(sock, b"abcd")
        assert sock.recv(1) == b""


def test_a_stream_whose_head_promised_more_is_followed_by_one_more_answer(server, app):
    with connect(server) as sock:
        sock.sendall(HEAD.replace(b"/", b"/stream", 1) + b"abcd")
        read_until(sock, b"first\r\n")
        server.announce_close()
        app.may_end.set()
        read_until(sock, b"0\r\n\r\n")
        sock.sendall(HEAD + b"abcd")
        assert b"Connection: close" in read_until(sock, b"abcd")
        assert sock.recv(1) == b""


def test_once_connections_end_a_stream_ends_its_own(server, app):
    with connect(server) as sock:
        sock.sendall(HEAD.replace(b"/", b"/stream", 1) + b"abcd")
        read_until(sock, b"first\r\n")
        server.end_connections()
        app.may_end.set()
        read_until(sock, b"0\r\n\r\n")
        assert sock.recv(1) == b""


def test_a_request_that_came_before_its_connection_ended_is_answered(server, app):
    with connect(server) as sock:
        sock.sendall(HEAD.replace(b"/", b"/stream", 1) + b"abcd")
        read_until(sock, b"first\r\n")
        server.end_connections()
        sock.sendall(HEAD + b"wxyz")
        app.may_end.set()
        answers = read_until(sock, b"wxyz")
        assert b"Connection: close" in answers
        assert sock.recv(1) == b""
