import json

import pytest

from croftchute.errors import Code, DocumentError
from croftchute.settings import parse_settings

GOOD = {
    "box": "b1",
    "hall": "h",
    "address": "127.0.0.1",
    "http_port": 0,
    "admin_port": 0,
    "peer_port": 0,
    "store_urls": ["http://127.0.0.1:1"],
    "peer_keys": {"keys": ["0123456789abcdef"]},
}


def test_good_settings_are_read():
    assert parse_settings(json.dumps(GOOD)).box == "b1"


def test_every_fault_is_named_by_path():
    bad = GOOD | {"http_port": 99999, "colour": 1, "peer_keys": {"keys": ["short"]}}
    with pytest.raises(DocumentError) as caught:
        parse_settings(json.dumps(bad))
    paths = {fault.path for fault in caught.value.faults}
    assert paths == {"$.http_port", "$.colour", "$.peer_keys.keys[0]"}
    assert caught.value.exit_status == 2


def test_a_box_is_not_its_own_peer():
    peer = {"box": "b1", "hall": "h", "address": "a", "peer_port": 1, "admin_port": 1}
    with pytest.raises(DocumentError) as caught:
        parse_settings(json.dumps(GOOD | {"peers": [peer]}))
    assert caught.value.code is Code.SETTINGS_INVALID
