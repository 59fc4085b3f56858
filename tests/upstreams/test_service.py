"""Calls of plain services: what of an answer is taken for one."""

import socket
import threading

import pytest

from croftchute.errors import Code, Ran, UpstreamError
from croftchute.upstreams.service import HttpService, ServiceCall


def answer_once(status):
    """A server that answers one call; returns its URL."""
    listening = socket.create_server(("127.0.0.1", 0))

    def serve():
        with listening, listening.accept()[0] as connection:
            connection.recv(65536)
            connection.sendall(f"HTTP/1.1 {status} Odd\r\nContent-Length: 1\r\n\r\nx".encode())

    threading.Thread(target=serve, daemon=True).start()
    return f"http://127.0.0.1:{listening.getsockname()[1]}"


def call(status):
    made = ServiceCall(
        url=answer_once(status),
        method="POST",
        path="/x",
        body=b"{}",
        request_id="r1",
        content_type="application/json",
        timeout_s=5.0,
    )
    return HttpService().call(made)


@pytest.mark.parametrize("status", ["000", "099", "600", "999"])
def test_a_status_that_is_none_makes_a_broken_answer(status):
    """Guards against a caller that gets it, and against calling it not run."""
    with pytest.raises(UpstreamError) as caught:
        call(status)
    assert (caught.value.code, caught.value.ran) == (Code.UPSTREAM_FAILED, Ran.UNKNOWN)


@pytest.mark.parametrize("status", [200, 404, 599])
def test_a_status_is_passed_on(status):
    assert call(str(status)).status == status
