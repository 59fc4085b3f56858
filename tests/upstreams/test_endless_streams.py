"""Streams of engines whose chunks have no end."""

import socket
import threading

import pytest

from croftchute.answer_bounds import MAX_FRAMING_BYTES
from croftchute.errors import UpstreamError
from croftchute.upstreams.call_ender import CallEnder
from croftchute.upstreams.engine import EngineCall
from croftchute.upstreams.http_engine import CHUNKED_HEAD, HttpEngine

PIECE_BYTES = 16_384


def answer_once(listener, repeated):
    connection, _ = listener.accept()
    with connection:
        connection.recv(65536)
        try:
            connection.sendall(CHUNKED_HEAD + b"2\r\nok\r\n")
            while True:
                connection.sendall(repeated * 1000)
        except OSError:
            return


def receive(stream):
    stream._socket.setblocking(True)
    return stream._socket.recv(PIECE_BYTES)


@pytest.mark.parametrize("repeated", [b"0", b"1;" + b"x" * 99, b"0\r\nA: b\r\n"])
def test_a_stream_without_end_is_given_up_by_its_bytes(repeated):
    """Guards against an engine whose chunk sizes, extensions or trailers never end."""
    with socket.create_server(("127.0.0.1", 0)) as listener:
        thread = threading.Thread(target=answer_once, args=(listener, repeated), daemon=True)
        thread.start()
        url = f"http://127.0.0.1:{listener.getsockname()[1]}"
        call = EngineCall(
            url=url,
            path="/v1/completions",
            body={},
            request_id="r1",
            key="r1-1",
            priority=0,
            timeout_s=5.0,
            ender=CallEnder(),
        )
        stream = HttpEngine().decode(call)
        data = stream.leftover()
        read_bytes = len(data)
        with pytest.raises(UpstreamError):
            while not stream.is_complete:
                stream.decode_body(data)
                data = receive(stream)
                read_bytes += len(data)
                assert read_bytes < 2 * MAX_FRAMING_BYTES
        stream.dispose()
