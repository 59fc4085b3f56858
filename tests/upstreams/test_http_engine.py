"""Whether an engine that broke off has ended."""

import socket

from croftchute.upstreams.http_engine import HttpEngine


def test_a_dead_port_is_an_end_and_one_that_listens_is_not():
    with socket.create_server(("127.0.0.1", 0)) as server:
        url = f"http://127.0.0.1:{server.getsockname()[1]}"
        assert not HttpEngine().has_ended(url)
    assert HttpEngine().has_ended(url)
