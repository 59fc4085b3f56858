"""What an engine's refusals and ends tell."""

import socket
import threading
from http.server import BaseHTTPRequestHandler, HTTPServer

import pytest

from croftchute.errors import Ran, UpstreamError
from croftchute.upstreams.engine import EngineCall
from croftchute.upstreams.http_engine import HttpEngine


def test_a_dead_port_is_an_end_and_one_that_listens_is_not():
    with socket.create_server(("127.0.0.1", 0)) as server:
        url = f"http://127.0.0.1:{server.getsockname()[1]}"
        assert not HttpEngine().has_ended(url)
    assert HttpEngine().has_ended(url)


class Refusing(BaseHTTPRequestHandler):
    """Turns every call away, with a ``Retry-After`` as its server has it."""

    def do_POST(self):  # noqa: N802 - the name is the library's
        self.rfile.read(int(self.headers["Content-Length"]))
        self.send_response(503)
        self.send_header("Retry-After", self.server.retry_after)
        self.send_header("Content-Length", "0")
        self.end_headers()

    def log_message(self, *args):
        """Write nothing."""


@pytest.mark.parametrize(
    "value, rest_s", [("2.5", 2.5), ("soon", 0.0), ("-1", 0.0), ("", 0.0), ("1e9", 0.0)]
)
def test_a_refusal_tells_when_the_engine_takes_work_again_whatever_it_sends(value, rest_s):
    with HTTPServer(("127.0.0.1", 0), Refusing) as server:
        server.retry_after = value
        thread = threading.Thread(target=server.handle_request)
        thread.start()
        url = f"http://127.0.0.1:{server.server_port}"
        call = EngineCall(
            url=url, path="/v1/x", key="k", request_id="r", body={}, priority=1, timeout_s=5.0
        )
        with pytest.raises(UpstreamError) as refused:
            HttpEngine().prefill(call)
        thread.join()
    assert (refused.value.ran, refused.value.retry_after) == (Ran.NOT_RUN, rest_s)
