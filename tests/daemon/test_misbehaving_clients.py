"""Crowds of clients that don't behave, before the daemon with the OpenAI interface.

A crowd may be refused or closed; the process has to live within its memory, and an ordinary caller
that tries again has to be answered beside the crowd.
"""

import contextlib
import json
import os
import resource
import socket
import subprocess
import sys
import threading
import time
from functools import partial
from pathlib import Path

import pytest

from croftchute.standins.platform import PlatformServer

COMMAND = [sys.executable, "-m", "croftchute.daemon.main"]
MEMORY_MB = 150
BYTES_PER_MB = 1_000_000
MAX_BODY_BYTES = 16 << 20
MAX_STREAMS = 2
CROWD = 60
FEW_FDS = 200
TRICKLE_S = 0.2
WAIT_S = 90.0
"""Seconds after which a call that is never answered fails its test."""

HEAD = b"POST /v1/completions HTTP/1.1\r\nHost: h\r\nX-Caller: c\r\n"
BODY_HEAD = HEAD + b"Content-Length: %d\r\n\r\n" % MAX_BODY_BYTES
PATHS = {"http": "/v1/models", "admin": "/healthz"}


class Daemon:
    """The daemon's process, its ports by interface, and what the operating system says of it."""

    def __init__(self, process, ports):
        self.process = process
        self.ports = ports

    @property
    def is_alive(self):
        return self.process.poll() is None

    def peak_mb(self):
        for line in Path(f"/proc/{self.process.pid}/status").read_text().splitlines():
            if line.startswith("VmHWM:"):
                return int(line.split()[1]) * 1024 / BYTES_PER_MB
        raise AssertionError("the process has ended")

    def open_descriptors(self):
        return len(os.listdir(f"/proc/{self.process.pid}/fd"))

    def call(self, interface):
        """An ordinary call, tried again until it is answered."""
        end = time.monotonic() + WAIT_S
        request = f"GET {PATHS[interface]} HTTP/1.1\r\nHost: h\r\nConnection: close\r\n\r\n"
        while time.monotonic() < end:
            assert self.is_alive
            with contextlib.suppress(OSError), connect(self.ports[interface], timeout=5.0) as sock:
                sock.sendall(request.encode())
                if sock.recv(12) == b"HTTP/1.1 200":
                    return
            time.sleep(0.1)
        raise AssertionError(f"no call of {interface} was answered")


@contextlib.contextmanager
def daemon(tmp_path, **changes):
    platform = PlatformServer()
    values = {
        "box": "b1",
        "hall": "h",
        "address": "127.0.0.1",
        "http_port": 0,
        "admin_port": 0,
        "peer_port": 0,
        "store_urls": [platform.url],
        "peer_keys": {"keys": ["0123456789abcdef"]},
        "max_streams": MAX_STREAMS,
        "max_body_bytes": MAX_BODY_BYTES,
        "memory_mb": MEMORY_MB,
    }
    max_fds = changes.pop("max_fds", 0)
    path = tmp_path / "settings.json"
    path.write_text(json.dumps(values | changes))
    limit = partial(resource.setrlimit, resource.RLIMIT_NOFILE, (max_fds, max_fds))
    process = subprocess.Popen(
        [*COMMAND, str(path)],
        stdout=subprocess.PIPE,
        text=True,
        preexec_fn=limit if max_fds else None,
    )
    try:
        lines = (json.loads(line)["record"] for line in process.stdout)
        started = next(line for line in lines if line["message"] == "box_started")
        reading = threading.Thread(target=lambda: [None for _ in lines], daemon=True)
        reading.start()
        ports = {name: started["extra"][f"{name}_port"] for name in PATHS}
        yield Daemon(process, ports)
    finally:
        process.kill()
        process.wait()
        reading.join()
        process.stdout.close()
        platform.stop()


def connect(port, timeout=None):
    return socket.create_connection(("127.0.0.1", port), timeout=timeout)


class Crowd:
    """Clients that send a beginning, then either nothing more, or a byte now and then."""

    def __init__(self, *, port, beginning, trickle=b"", count=CROWD):
        self.port = port
        self.beginning = beginning
        self.trickle = trickle
        self.count = count
        self.has_sent = threading.Event()
        self._is_over = threading.Event()
        self._sockets = []
        self._thread = threading.Thread(target=self._act, daemon=True)

    def __enter__(self):
        for _ in range(self.count):
            with contextlib.suppress(OSError):
                sock = connect(self.port, timeout=5.0)
                sock.setblocking(False)
                self._sockets.append([sock, memoryview(self.beginning)])
        self._thread.start()
        return self

    def __exit__(self, kind, error, trace):
        self._is_over.set()
        self._thread.join()
        for sock, _ in self._sockets:
            sock.close()

    def _act(self):
        while not self._is_over.is_set():
            self._send_some()
            if not any(left for _, left in self._sockets):
                self.has_sent.set()
            self._is_over.wait(0.01 if not self.has_sent.is_set() else TRICKLE_S)

    def _send_some(self):
        for client in self._sockets:
            sock, left = client
            try:
                if left:
                    client[1] = left[sock.send(left[: 1 << 18]) :]
                elif self.trickle:
                    sock.send(self.trickle)
            except BlockingIOError:
                continue
            except OSError:
                client[1] = memoryview(b"")


@pytest.mark.parametrize("interface", PATHS)
@pytest.mark.parametrize(
    ("beginning", "trickle"),
    [(HEAD, b"x"), (HEAD + b"Content-Length: 1000000\r\n\r\n", b"x")],
    ids=["head", "body"],
)
def test_clients_that_send_a_byte_now_and_then_are_closed(tmp_path, interface, beginning, trickle):
    """The fault: each holds a thread for as long as it likes, and nobody else is answered."""
    with daemon(tmp_path) as box:
        port = box.ports[interface]
        with Crowd(port=port, beginning=beginning, trickle=trickle):
            time.sleep(1.0)
            for name in PATHS:
                box.call(name)


@pytest.mark.parametrize("short", [True, False], ids=["one_byte_short", "whole"])
def test_large_bodies_are_held_within_the_memory(tmp_path, short):
    """The fault: each thread holds a body of legal size, and there are many threads."""
    body = bytes(MAX_BODY_BYTES - 1) + (b"" if short else b"x")
    with daemon(tmp_path, max_streams=CROWD) as box:
        with Crowd(port=box.ports["http"], beginning=BODY_HEAD + body) as crowd:
            assert crowd.has_sent.wait(WAIT_S) or not box.is_alive or short
            for name in PATHS:
                box.call(name)
        box.call("http")
        assert box.peak_mb() < MEMORY_MB


def test_a_single_largest_body_is_read_in_calm(tmp_path):
    with daemon(tmp_path) as box:
        with connect(box.ports["http"], timeout=WAIT_S) as sock:
            sock.sendall(BODY_HEAD + bytes(MAX_BODY_BYTES))
            # Without a configuration no caller is known, which is found once all was read.
            assert sock.recv(12) == b"HTTP/1.1 401"
        assert box.peak_mb() < MEMORY_MB


@pytest.mark.parametrize("interface", PATHS)
def test_a_full_table_of_descriptors_does_not_stop_the_daemon(tmp_path, interface):
    """The fault: idle connections take all descriptors."""
    with (
        daemon(tmp_path, max_fds=FEW_FDS) as box,
        Crowd(port=box.ports[interface], beginning=b"", count=2 * FEW_FDS),
    ):
        for name in PATHS:
            box.call(name)
        assert box.open_descriptors() < FEW_FDS
