"""Engines that stand still for longer than the gap that makes a box look for another one."""

import json
import socket
import threading
import time

import pytest
import urllib3

from croftchute.config.documents import Role
from croftchute.demo.fleet import MODEL, POOL, Fleet
from croftchute.demo.load import ask
from croftchute.gateway.headers import DEADLINE
from croftchute.systems.pool_retry_budget import PoolRetryBudget

GAP_S = 0.3
STANDSTILL_S = 7 * GAP_S
BODY = {"model": MODEL, "prompt": "hello " * 60, "max_tokens": 60, "ignore_eos": True}
STREAM = BODY | {"stream": True}
BOTH = pytest.mark.parametrize("body", [STREAM, BODY], ids=["stream", "whole_answer"])


@pytest.fixture
def hall(monkeypatch):
    """One hall with two prefill and two decode engines, and boxes with a short gap."""
    monkeypatch.setattr("croftchute.upstreams.http_engine.STREAM_GAP_S", GAP_S)
    roles = (Role.PREFILL, Role.PREFILL, Role.DECODE, Role.DECODE)
    made = Fleet(halls=("north",), roles=roles)
    try:
        made.wait_in_force(made.submit(made.document()).revision)
        for box in made.boxes_by_id.values():
            box.relay.gap_s = GAP_S
        yield made
    finally:
        for server in made.engines_by_id.values():
            server.engine.faults.stall_prefill = server.engine.faults.stall_decode = False
        made.stop()


class Caller:
    """One caller in a thread."""

    def __init__(self, fleet, body):
        self.outcome = None
        self._thread = threading.Thread(target=self._ask, args=(fleet.http_ports()[0], body))
        self._thread.start()

    def _ask(self, port, body):
        self.outcome = ask(port, body, caller="c")

    def whole(self):
        """Wait for the end; whether the answer was whole, and no event missing or doubled."""
        self._thread.join()
        outcome = self.outcome
        return (outcome.status, outcome.wrong, outcome.tokens) == (200, "", BODY["max_tokens"])


def engines(fleet, stage):
    return [s.engine for name, s in fleet.engines_by_id.items() if stage in name]


def running(fleet):
    """The decode engines that hold an attempt."""
    return [engine for engine in engines(fleet, "decode") if engine.held_keys]


def started(fleet):
    return [key for engine in engines(fleet, "decode") for key in engine.started_keys]


def held(fleet):
    return [
        key for stage in ("prefill", "decode") for e in engines(fleet, stage) for key in e.held_keys
    ]


def wait_midway(fleet):
    """Wait until a stream has come some way; returns its engine."""
    fleet.wait_until(lambda: running(fleet), "a stream under way")
    time.sleep(0.2)
    (engine,) = running(fleet)
    return engine


def spend_budget(fleet):
    for box in fleet.boxes_by_id.values():
        box.systems.entry.retry_budget_by_pool[POOL] = PoolRetryBudget(saved_retries=0.0)


def stall(fleet, stage, *, on):
    for engine in engines(fleet, stage):
        setattr(engine.faults, f"stall_{stage}", on)


def assert_free(fleet):
    fleet.wait_until(lambda: not held(fleet), "memory free", 3.0)
    for box in fleet.boxes_by_id.values():
        entry, ledger = box.systems.entry, box.systems.owner.ledger
        fleet.wait_until(lambda e=entry: not e.open_by_id, "no open request", 3.0)
        fleet.wait_until(lambda led=ledger: not led.reservations_by_key, "no reservation", 3.0)


@BOTH
def test_a_silent_engine_keeps_its_stream_while_no_other_has_room(hall, body):
    """Guards against ending a sound stream at the gap, before an engine is found to go on."""
    caller = Caller(hall, body)
    engine = wait_midway(hall)
    for other in engines(hall, "decode"):
        other.faults.refuse = other is not engine
    engine.faults.stall_decode = True
    time.sleep(STANDSTILL_S)
    engine.faults.stall_decode = False
    assert caller.whole()
    assert_free(hall)


@BOTH
def test_a_silent_engine_keeps_its_stream_while_the_retry_budget_is_spent(hall, body):
    """Guards against ending a sound stream before the retry budget is looked at."""
    caller = Caller(hall, body)
    engine = wait_midway(hall)
    spend_budget(hall)
    engine.faults.stall_decode = True
    time.sleep(STANDSTILL_S)
    engine.faults.stall_decode = False
    assert caller.whole()
    assert len(started(hall)) == 1
    assert_free(hall)


@BOTH
def test_a_silent_engine_keeps_its_stream_after_the_last_attempt(hall, body, monkeypatch):
    """Guards against ending a sound stream for which no further attempt is allowed."""
    monkeypatch.setattr("croftchute.systems.entry.MAX_ATTEMPTS", 1)
    caller = Caller(hall, body)
    engine = wait_midway(hall)
    engine.faults.stall_decode = True
    time.sleep(STANDSTILL_S)
    engine.faults.stall_decode = False
    assert caller.whole()
    assert len(started(hall)) == 1
    assert_free(hall)


@BOTH
def test_streams_outlast_a_silence_of_all_engines(hall, body):
    """Guards against using up all attempts on engines that are silent at the same time."""
    callers = [Caller(hall, body | {"prompt": f"{n} " + BODY["prompt"]}) for n in range(4)]
    hall.wait_until(lambda: len(started(hall)) == 4, "streams under way")
    stall(hall, "decode", on=True)
    time.sleep(STANDSTILL_S)
    stall(hall, "decode", on=False)
    assert [caller.whole() for caller in callers] == [True] * 4
    assert_free(hall)


@BOTH
def test_another_engine_goes_on_where_one_is_stuck(hall, body):
    """Guards against waiting for a stuck engine, and against leaving its work behind."""
    caller = Caller(hall, body)
    engine = wait_midway(hall)
    engine.faults.stall_decode = True
    began_at = time.monotonic()
    assert caller.whole()
    assert time.monotonic() - began_at < 5 * GAP_S
    assert engine.faults.stall_decode
    assert_free(hall)


def test_the_engine_that_speaks_first_is_heeded(hall):
    """Guards against two engines that both go on with one answer."""
    callers = [Caller(hall, STREAM | {"prompt": f"{n} " + BODY["prompt"]}) for n in range(6)]
    hall.wait_until(lambda: len(started(hall)) == 6, "streams under way")
    for _ in range(4):
        stall(hall, "decode", on=True)
        time.sleep(1.05 * GAP_S)
        stall(hall, "decode", on=False)
        time.sleep(0.05)
    assert [caller.whole() for caller in callers] == [True] * 6
    assert_free(hall)


@BOTH
@pytest.mark.parametrize("stage", ["prefill", "decode"])
def test_a_request_outlasts_a_silence_before_its_first_event(hall, body, stage):
    """Guards against giving up the calls of a sound request whose engines are silent."""
    stall(hall, stage, on=True)
    spend_budget(hall)
    caller = Caller(hall, body)
    time.sleep(STANDSTILL_S)
    stall(hall, stage, on=False)
    assert caller.whole()
    assert_free(hall)


@BOTH
@pytest.mark.parametrize("stage", ["prefill", "decode"])
def test_a_request_begins_elsewhere_where_its_first_engine_is_stuck(hall, body, stage):
    """Guards against waiting for a stuck engine before the first event."""
    stuck = engines(hall, stage)[0]
    setattr(stuck.faults, f"stall_{stage}", True)
    began_at = time.monotonic()
    callers = [Caller(hall, body | {"prompt": f"{n} " + BODY["prompt"]}) for n in range(4)]
    assert [caller.whole() for caller in callers] == [True] * 4
    assert time.monotonic() - began_at < 10 * GAP_S
    setattr(stuck.faults, f"stall_{stage}", False)
    assert_free(hall)


@pytest.mark.parametrize("stage", ["prefill", "decode"])
def test_a_stuck_engine_is_left_at_the_deadline(hall, stage):
    """Guards against a caller that waits for engines that are stuck for good."""
    stall(hall, stage, on=True)
    began_at = time.monotonic()
    response = urllib3.PoolManager(retries=False, timeout=10.0).request(
        "POST",
        f"http://127.0.0.1:{hall.http_ports()[0]}/v1/completions",
        body=json.dumps(BODY),
        headers={"X-Caller": "c", _header_name(DEADLINE): "1500"},
    )
    assert (response.status, response.headers["X-Croftchute-Run"]) != (200, "not_run")
    assert response.status == 504
    assert 1.4 < time.monotonic() - began_at < 3.5
    stall(hall, stage, on=False)
    assert_free(hall)


@pytest.mark.parametrize("stage", ["prefill", "decode"])
def test_the_attempts_of_a_caller_who_leaves_are_ended(hall, stage):
    """Guards against threads and memory that are kept for a caller who is gone."""
    stall(hall, stage, on=True)
    raw = json.dumps(STREAM).encode()
    with socket.create_connection(("127.0.0.1", hall.http_ports()[0])) as caller:
        head = (
            f"POST /v1/completions HTTP/1.1\r\nHost: h\r\nX-Caller: c\r\nContent-Length: {len(raw)}"
        )
        caller.sendall(head.encode() + b"\r\n\r\n" + raw)
        time.sleep(4 * GAP_S)
        assert attempt_threads() or stage == "decode"
    hall.wait_until(lambda: not any(len(b.board) for b in hall.boxes_by_id.values()), "closed", 2.0)
    hall.wait_until(lambda: not attempt_threads(), "threads ended", 2.0)
    stall(hall, stage, on=False)
    assert_free(hall)


def attempt_threads():
    return [thread for thread in threading.enumerate() if thread.name.startswith("Attempt(")]


def _header_name(environ_key):
    return environ_key.removeprefix("HTTP_").replace("_", "-")
