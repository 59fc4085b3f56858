"""Streams of the OpenAI interface whose callers read nothing."""

import json
import socket
import time

from croftchute.demo.fleet import MODEL
from croftchute.forwarding.http.client_memory import ReleaseCause

TOKENS = 3000
UNREAD_S = 0.5
WAIT_S = 60.0


def wait_until(holds):
    end = time.monotonic() + WAIT_S
    while not holds():
        assert time.monotonic() < end
        time.sleep(0.02)


def test_a_stream_that_its_caller_leaves_unread_is_broken_off(fleet):
    """The fault: it kept its place and its engine's for ever, and no account knew of its bytes."""
    box, *_ = fleet.boxes_by_id.values()
    box.relay.unread_s = UNREAD_S
    released = []
    box.memory.on_release = released.append
    fields = {"model": MODEL, "prompt": "hello", "max_tokens": TOKENS, "stream": True}
    body = json.dumps(fields | {"ignore_eos": True}).encode()
    with socket.socket() as sock:
        sock.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, 4096)
        sock.connect(("127.0.0.1", box.http.port))
        head = b"POST /v1/completions HTTP/1.1\r\nHost: h\r\nX-Caller: c\r\n"
        sock.sendall(head + b"Content-Length: %d\r\n\r\n" % len(body) + body)
        wait_until(lambda: released)
        wait_until(lambda: not len(box.board))
    assert [release.cause for release in released] == [ReleaseCause.TOO_SLOW]
    assert released[0].held_bytes > 0
    wait_until(lambda: box.memory.account.total == 0)
