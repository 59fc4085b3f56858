"""The admin port beside slow readers, and how a box fetches from the admin ports of others."""

import socket
import threading
import time
from types import SimpleNamespace

import pytest
import urllib3

from croftchute.daemon.admin import AdminApp
from croftchute.daemon.box_process import ADMIN_THREADS
from croftchute.daemon.knowledge_feed import KnowledgeFeed
from croftchute.daemon.shared_state import SharedState
from croftchute.httpd import HttpServer, reply
from croftchute.peers.codec import Codec

WAIT_S = 20.0
LONG_DOCUMENT = bytes(24 << 20)
"""More than the buffers of a connection on loopback take."""

SMALL_BUFFER = 4096


@pytest.fixture
def serve():
    servers = []

    def start(app, threads):
        servers.append(HttpServer(app=app, address="127.0.0.1", port=0, threads=threads))
        servers[-1].start()
        return servers[-1]

    yield start
    for server in servers:
        server.stop()


def slow_reader(port):
    """A connection that asked for the shared state, and reads no more than the status line."""
    sock = socket.socket()
    sock.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, SMALL_BUFFER)
    sock.settimeout(WAIT_S)
    sock.connect(("127.0.0.1", port))
    sock.sendall(b"GET /shared HTTP/1.1\r\nHost: h\r\n\r\n")
    return sock


def status(sock):
    line = sock.recv(12, socket.MSG_WAITALL)
    return int(line.split()[1])


def wait_until(holds):
    end = time.monotonic() + WAIT_S
    while not holds():
        assert time.monotonic() < end
        time.sleep(0.01)


def test_readiness_is_answered_beside_slow_readers_of_the_shared_state(serve):
    box = SimpleNamespace(
        ready=True,
        shared=SharedState(revision=1, raw=LONG_DOCUMENT),
        codec=Codec(keys=["0123456789abcdef"]),
    )
    port = serve(AdminApp(box=box), ADMIN_THREADS).port
    readers = [slow_reader(port) for _ in range(ADMIN_THREADS)]
    statuses = [status(reader) for reader in readers]
    ready = urllib3.request(
        "GET", f"http://127.0.0.1:{port}/readyz", retries=False, timeout=WAIT_S / 4
    )
    assert ready.status == 200
    assert sorted(statuses) == [200, 200, 503, 503]
    for reader in readers:
        reader.close()

    def is_given():
        with slow_reader(port) as reader:
            return status(reader) == 200

    wait_until(is_given)


class SlowPeer:
    """A peer that keeps those who ask it waiting."""

    def __init__(self):
        self.asked = threading.Semaphore(0)
        self.asks = 0
        self.may_answer = threading.Event()

    def __call__(self, environ, start_response):
        self.asks += 1
        self.asked.release()
        self.may_answer.wait(WAIT_S)
        return reply(start_response, 503, b"{}")


def test_a_box_fetches_from_one_peer_at_a_time(serve, monkeypatch):
    monkeypatch.setattr("croftchute.daemon.shared_state.TIMEOUT_S", WAIT_S)
    app = SlowPeer()
    port = serve(app, 4).port
    address = SimpleNamespace(address="127.0.0.1", admin_port=port)
    membership = SimpleNamespace(boxes_by_id={"b2": address, "b3": address})
    box = SimpleNamespace(
        systems=SimpleNamespace(membership=membership), codec=Codec(keys=["0123456789abcdef"])
    )
    feed = KnowledgeFeed(box=box)
    first = threading.Thread(target=feed.fetch, args=("b2",), daemon=True)
    first.start()
    assert app.asked.acquire(timeout=WAIT_S)
    others = [
        threading.Thread(target=feed.fetch, args=(name,), daemon=True) for name in ("b2", "b3")
    ]
    for other in others:
        other.start()
    for other in others:
        other.join(WAIT_S / 4)
    assert app.asks == 1
    assert not any(other.is_alive() for other in others)
    app.may_answer.set()
    first.join(WAIT_S)
    feed.fetch("b3")
    assert app.asks == 2
