"""Start, readiness, reload and stop of a box on the platform."""

import asyncio
import json
import os
import re
import signal
import socket
import subprocess
import sys
from pathlib import Path

import pytest
from platform_fleet import ask, fleet, read_answer, request_bytes, run, until

from croftchute.daemon import router_process
from croftchute.daemon.router_process import mass_expiry_grace_s
from croftchute.errors import DocumentError
from croftchute.forwarding.decision_log import Decision
from croftchute.forwarding.store.store_follower import WORKERS_PAUSE_S
from croftchute.router_settings import LimitSettings, parse_router_settings
from croftchute.systems.tracked_worker import GONE_GRACE_S

ROOT = Path(__file__).resolve().parents[2]
SETTINGS = {
    "box": "b",
    "hall": "h",
    "callers": "127.0.0.1:0",
    "health": "127.0.0.1:0",
    "store": "127.0.0.1:1",
    "control": "127.0.0.1:0",
    "notice_port": 0,
    "peer_keys": ["k" * 16],
}


async def health(box):
    reader, writer = await asyncio.open_connection("127.0.0.1", box.health.port)
    writer.write(b"GET /ready HTTP/1.1\r\nHost: x\r\n\r\n")
    answer = await read_answer(reader)
    writer.close()
    return answer.status


def test_a_box_is_ready_once_it_knows_routes_and_workers():
    async def body():
        async with fleet() as made:
            made.store.faults.refuses = True
            box = await made.add_box()
            assert await health(box) == 503
            assert (await ask(box, "/once/x")).status == 503
            made.store.faults.refuses = False
            await made.add_worker("w1")
            await made.ready(box)
            assert await health(box) == 200

    run(body)


def test_a_planned_stop_says_so_at_once_and_finishes_what_is_open():
    async def body():
        async with fleet() as made:
            await made.add_worker("w1", work_s=0.3)
            box = await made.add_box()
            await made.ready(box)
            reader, writer = await asyncio.open_connection("127.0.0.1", box.ingress.port)
            writer.write(request_bytes("/once/x", "r1"))
            await until(lambda: box.ingress.open_requests == 1)
            stopping = asyncio.create_task(box.stop())
            await until(lambda: box.is_stopping)
            assert await health(box) == 503
            answer = await read_answer(reader)
            assert answer.status == 200 and answer.headers["connection"] == "close"
            late = await ask(box, "/once/x", "r2")
            assert late.status == 200
            assert await stopping == 0
            writer.close()

    run(body)


def test_no_caller_is_taken_so_late_in_a_stop_that_it_may_not_be_cut_off():
    """A stream taken 3.1 s after SIGTERM was cut when the time of the stop was over."""
    asked_every_s, misses, latest_s = 1.0, 2, 3.0
    assert asked_every_s * misses < router_process.ENTRY_GRACE_S
    assert latest_s > router_process.ENTRY_GRACE_S + router_process.STOP_CHECK_S


def test_a_stop_takes_no_callers_once_its_grace_is_over(monkeypatch):
    monkeypatch.setattr(router_process, "ENTRY_GRACE_S", 0.0)

    async def body():
        async with fleet() as made:
            await made.add_worker("w1", work_s=0.5)
            box = await made.add_box()
            await made.ready(box)
            port = box.ingress.port
            reader, writer = await asyncio.open_connection("127.0.0.1", port)
            writer.write(request_bytes("/once/x", "r1"))
            await until(lambda: box.ingress.open_requests == 1)
            stopping = asyncio.create_task(box.stop())
            await until(lambda: box.is_stopping)
            await asyncio.sleep(0)
            with pytest.raises(OSError):
                await asyncio.open_connection("127.0.0.1", port)
            assert (await read_answer(reader)).status == 200
            assert await stopping == 0
            writer.close()

    run(body)


def test_a_stop_takes_no_longer_than_it_is_given_and_says_what_it_cut_off():
    async def body():
        async with fleet() as made:
            await made.add_worker("w1", work_s=60.0)
            box = await made.add_box()
            await made.ready(box)
            _, writer = await asyncio.open_connection("127.0.0.1", box.ingress.port)
            writer.write(request_bytes("/once/x", "r1", deadline=60000))
            await until(lambda: box.ingress.open_requests == 1)
            assert await box.stop() == 9
            writer.close()

    run(body)


def test_settings_are_reloaded_and_faulty_ones_are_not(tmp_path):
    async def body():
        async with fleet() as made:
            await made.add_worker("w1")
            box = await made.add_box()
            await made.ready(box)
            seen = []
            box.state.log.observer = seen.append
            path = tmp_path / "settings.json"
            box.settings_path = path
            path.write_text(json.dumps(SETTINGS | {"retry": {"slack": 99.0}}))
            box.reload("signal")
            assert seen[-1] is Decision.RELOADED
            assert box.state.retry_limits.slack == 99.0
            path.write_text("{")
            box.reload("signal")
            assert seen[-1] is Decision.RELOAD_FAILED
            assert box.state.retry_limits.slack == 99.0

    run(body)


def test_metrics_are_told_as_text():
    async def body():
        async with fleet() as made:
            await made.add_worker("w1")
            box = await made.add_box()
            await made.ready(box)
            await ask(box, "/once/x")
            text = box.state.metrics.text().decode()
            assert 'croftchute_requests_total{outcome="ok",route="once"} 1' in text
            assert "croftchute_answer_seconds_bucket" in text
            assert "croftchute_decisions_total" in text
            assert "croftchute_store_calls_total" in text

    run(body)


@pytest.mark.parametrize(
    ("change", "path"),
    [
        ({"box": 3}, "$.box"),
        ({"callers": "nowhere"}, "$.callers"),
        ({"notice_port": 70000}, "$.notice_port"),
        ({"retry": {"ratio": -1}}, "$.retry.ratio"),
        ({"peer_keys": ["short"]}, "$.peer_keys"),
        ({"memory_mb": -1}, "$.memory_mb"),
    ],
)
def test_faulty_settings_name_the_path(change, path):
    with pytest.raises(DocumentError) as caught:
        parse_router_settings(json.dumps(SETTINGS | change).encode())
    assert caught.value.faults[0].path.startswith(path)


def test_unknown_fields_of_settings_pass():
    assert parse_router_settings(json.dumps(SETTINGS | {"new": 1}).encode()).box == "b"


@pytest.mark.parametrize("text", ["{", "{}", None])
def test_a_start_with_faulty_settings_ends_with_a_line_and_a_status(tmp_path, text):
    path = tmp_path / "settings.json"
    if text is not None:
        path.write_text(text)
    ended = subprocess.run(
        [sys.executable, str(ROOT / "platform" / "start.py")],
        env={**os.environ, "CROFTCHUTE_CONFIG": str(path)},
        capture_output=True,
        check=False,
    )
    assert ended.returncode == 2
    line = json.loads(ended.stdout.splitlines()[-1])
    assert line["event"] == "start_failed" and line["detail"]


QUOTA_SECTION = re.compile(r"\{\{#Bounds\.QuotaWindowS\}\}(.*)\{\{/Bounds\.QuotaWindowS\}\}")
QUOTA_VALUES = {
    "{{Bounds.QuotaWindowS}}": "8",
    "{{Bounds.QuotaOverage}}": "0.1",
    "{{Bounds.QuotaSlack}}": "190000",
}


@pytest.mark.parametrize("has_quotas", [True, False])
def test_the_template_makes_settings_that_are_read(has_quotas):
    """Each gap of the template is filled with the example of the platform's page.

    A section stands where the platform gives its field, and is left out where it does not.
    """
    text = (ROOT / "platform" / "settings.json.template").read_text()
    assert len(QUOTA_SECTION.findall(text)) == 1
    text = QUOTA_SECTION.sub(r"\1" if has_quotas else "", text)
    values = {
        "{{NodeName|json}}": '"edge-plateau-1"',
        "{{Zone|json}}": '"plateau"',
        "{{Ip}}": "10.1.0.38",
        "{{Listen.Front|json}}": '"10.1.0.38:8149"',
        "{{Listen.Ready|json}}": '"10.1.0.38:8141"',
        "{{Listen.Control|json}}": '"10.1.0.38:8144"',
        "{{PortRange.0}}": "7380",
        "{{Seeds|json}}": '["10.1.0.38:8144", "10.2.0.40:8144"]',
        "{{Platform.Address|json}}": '"10.200.1.7:8142"',
        "{{Bounds.RetryRatio}}": "0.2",
        "{{Bounds.RetryWindowS}}": "10",
        "{{Bounds.RetrySlack}}": "56",
        "{{Bounds.GraceS}}": "8",
        "{{Bounds.LeaseMs}}": "3000",
        "{{Bounds.DrainMs}}": "2000",
        "{{Bounds.ContactMs}}": "2500",
        "{{Limits.LinkMbps}}": "1000.0",
        "{{Limits.MemoryMb}}": "136.0",
        "{{Limits.MaxFds}}": "4100",
        "{{FirstStart|json}}": "false",
        '{{#Contracts}}"{{.}}": true{{,}}{{/Contracts}}': '"base": true, "pressure": true',
    } | (QUOTA_VALUES if has_quotas else {})
    for gap, value in values.items():
        assert gap in text
        text = text.replace(gap, value)
    assert "{{" not in text
    settings = parse_router_settings(text.encode())
    assert settings.order_gap_s == 3.0
    assert settings.drain_s == 2.0
    assert settings.contact_s == 2.5
    assert settings.memory_mb == 136.0
    assert settings.max_caller_connections == 1950
    assert not settings.first_start
    assert settings.conditions.pressure
    assert settings.retry.slack == 56.0
    assert settings.limits == (
        LimitSettings(window_s=8.0, overage=0.1, slack=190_000.0) if has_quotas else LimitSettings()
    )


def test_the_program_of_the_deploy_file_serves_and_ends_on_sigterm(tmp_path):
    """The real process: ready, an answer, metrics, a planned stop with status 0, JSON lines."""

    async def body():
        async with fleet() as made:
            await made.add_worker("w1")
            ports = free_ports(4)
            path = tmp_path / "settings.json"
            values = SETTINGS | {
                "callers": f"127.0.0.1:{ports[0]}",
                "health": f"127.0.0.1:{ports[1]}",
                "control": f"127.0.0.1:{ports[2]}",
                "metrics": f"127.0.0.1:{ports[3]}",
                "store": f"127.0.0.1:{made.store.ingress.port}",
            }
            path.write_text(json.dumps(values))
            process = await asyncio.create_subprocess_exec(
                sys.executable,
                str(ROOT / "platform" / "start.py"),
                env={**os.environ, "CROFTCHUTE_CONFIG": str(path)},
                stdout=asyncio.subprocess.PIPE,
            )
            lines = []
            while not lines or lines[-1]["event"] != "ready_changed":
                lines.append(json.loads(await process.stdout.readline()))
            reader, writer = await asyncio.open_connection("127.0.0.1", ports[0])
            writer.write(request_bytes("/once/x", "r1"))
            assert (await read_answer(reader)).status == 200
            writer.close()
            reader, writer = await asyncio.open_connection("127.0.0.1", ports[3])
            writer.write(b"GET /metrics HTTP/1.1\r\nHost: x\r\n\r\n")
            assert b"croftchute_requests_total" in (await read_answer(reader)).body
            writer.close()
            path.write_text("{")
            process.send_signal(signal.SIGHUP)
            while lines[-1]["event"] != "reload_failed":
                lines.append(json.loads(await process.stdout.readline()))
            process.send_signal(signal.SIGTERM)
            rest = await process.stdout.read()
            assert await process.wait() == 0
            events = [json.loads(line)["event"] for line in rest.splitlines()]
            assert "stopping" in events
            assert events[-1] == "stopped"

    run(body)


def free_ports(count):
    sockets = [socket.socket() for _ in range(count)]
    for one in sockets:
        one.bind(("127.0.0.1", 0))
    ports = [one.getsockname()[1] for one in sockets]
    for one in sockets:
        one.close()
    return ports


@pytest.mark.parametrize("drain_s", [2.0, 3.0])
def test_workers_off_the_list_are_given_up_well_before_new_work_is_barred(drain_s):
    """What is told late and what is borne afterwards add up: they came to 2.5 s of 2.0."""
    settings = parse_router_settings(json.dumps(SETTINGS | {"drain_s": drain_s}).encode())
    longest = max(mass_expiry_grace_s(settings), GONE_GRACE_S)
    assert WORKERS_PAUSE_S + longest + 0.3 <= drain_s
