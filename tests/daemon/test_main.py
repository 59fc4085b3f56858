"""The daemon as a process of its own."""

import json
import signal
import subprocess
import sys

import pytest
import urllib3

from croftchute.standins.platform import PlatformServer

COMMAND = [sys.executable, "-m", "croftchute.daemon.main"]


@pytest.fixture
def settings(tmp_path):
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
        "max_streams": 8,
    }
    path = tmp_path / "settings.json"
    path.write_text(json.dumps(values))
    yield path
    platform.stop()


def test_a_box_starts_says_it_is_not_ready_and_stops_cleanly(settings):
    process = subprocess.Popen([*COMMAND, str(settings)], stdout=subprocess.PIPE, text=True)
    try:
        lines = (json.loads(line)["record"] for line in process.stdout)
        started = next(line for line in lines if line["message"] == "box_started")
        port = started["extra"]["admin_port"]
        response = urllib3.request("GET", f"http://127.0.0.1:{port}/readyz", retries=False)
        assert (response.status, response.json()["reason"]) == (503, "no_config")
        metrics = urllib3.request("GET", f"http://127.0.0.1:{port}/metrics", retries=False)
        assert b"croftchute_open_requests" in metrics.data
        process.send_signal(signal.SIGTERM)
        stopped = next(line for line in lines if line["message"] == "box_stopped")
        assert stopped["extra"]["cut_off"] == 0
        assert process.wait(20) == 0
    finally:
        process.kill()
        process.stdout.close()
        process.wait()


def test_bad_settings_end_with_their_paths_and_a_status(tmp_path):
    path = tmp_path / "settings.json"
    path.write_text('{"box": "b"}')
    ended = subprocess.run([*COMMAND, str(path)], capture_output=True, text=True, check=False)
    assert ended.returncode == 2
    assert "$.hall" in ended.stderr
    assert "[settings_invalid]" in ended.stderr
