"""The etcd adapter's watch, on connections that fall silent or cannot go on."""

import base64
import json
import threading

import pytest

from croftchute.errors import StoreError
from croftchute.httpd import HttpServer
from croftchute.storage import etcd
from croftchute.storage.etcd import EtcdStore
from croftchute.storage.store import CompactedError

MAX_SILENCE_S = 60.0
CREATED = {"result": {"created": True}}
KEY = base64.b64encode(b"k").decode()
EVENT = {"result": {"events": [{"kv": {"key": KEY, "value": "", "mod_revision": "9"}}]}}


class App:
    """Sends some lines, then stays silent until it is told to end."""

    def __init__(self):
        self.lines = []
        self.may_end = threading.Event()

    def __call__(self, environ, start_response):
        start_response("200 OK", [("Content-Type", "application/json")])
        yield b"".join(json.dumps(line).encode() + b"\n" for line in self.lines)
        self.may_end.wait(20.0)


@pytest.fixture
def app():
    return App()


@pytest.fixture
def store(app):
    server = HttpServer(app=app, address="127.0.0.1", port=0, threads=2)
    server.start()
    yield EtcdStore(urls=[f"http://127.0.0.1:{server.port}"])
    app.may_end.set()
    server.stop()


def test_a_silent_watch_ends_by_itself(app, store, monkeypatch):
    assert etcd.WATCH_READ_S <= MAX_SILENCE_S
    monkeypatch.setattr(etcd, "WATCH_READ_S", 0.2)
    app.lines = [CREATED, EVENT]
    assert [entry.revision for entry in store.watch("k", after=3)] == [9]


def test_a_watch_from_before_the_stores_history_says_where_that_begins(app, store):
    app.lines = [CREATED, {"result": {"canceled": True, "compact_revision": "40"}}]
    with pytest.raises(CompactedError) as caught:
        list(store.watch("k", after=3))
    assert caught.value.oldest == 40


@pytest.mark.parametrize("line", [{"result": {"canceled": True}}, {"error": {"code": 14}}])
def test_a_watch_that_the_store_ends_is_a_failure(app, store, line):
    app.lines = [CREATED, line]
    with pytest.raises(StoreError):
        list(store.watch("k", after=3))
