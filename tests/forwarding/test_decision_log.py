"""The log never blocks and never grows without bound."""

import json
import os

from croftchute.forwarding.decision_log import (
    MAX_LINES_PER_SECOND,
    Decision,
    DecisionLog,
    LineWriter,
)


class Clock:
    def __init__(self):
        self.now = 0.0

    def __call__(self):
        return self.now


def piped(max_bytes=1 << 20):
    reading, writing = os.pipe()
    clock = Clock()
    return reading, LineWriter(descriptor=writing, now=clock, max_bytes=max_bytes), clock


def test_a_reader_that_has_stopped_costs_lines_but_never_time():
    reading, writer, clock = piped(max_bytes=4096)
    for number in range(20_000):
        clock.now = number
        writer.write(b"x" * 99 + b"\n")
    assert writer.dropped > 0
    taken = os.read(reading, 1 << 20)
    writer.flush()
    taken += os.read(reading, 1 << 20)
    assert set(taken.split(b"\n")) <= {b"x" * 99, b""}


def test_more_lines_than_the_bound_are_counted_not_written():
    reading, writer, _ = piped()
    for _ in range(MAX_LINES_PER_SECOND + 50):
        writer.write(b"{}\n")
    writer.write(b"vital\n", is_vital=True)
    assert writer.dropped == 50
    assert os.read(reading, 1 << 16).endswith(b"vital\n")


def test_a_closed_reader_is_borne():
    reading, writer, _ = piped()
    os.close(reading)
    writer.write(b"{}\n")
    assert writer.dropped == 1


def test_a_line_holds_box_event_request_inputs_and_outcome():
    reading, writer, _ = piped()
    log = DecisionLog(box="b1", writer=writer)
    log.decide(Decision.REQUEST_SENT, request_id="r1", outcome="sent", worker="w1", age_s=0.5)
    line = json.loads(os.read(reading, 4096))
    assert line.pop("at")
    assert line == {
        "box": "b1",
        "level": "INFO",
        "event": "request_sent",
        "request_id": "r1",
        "outcome": "sent",
        "worker": "w1",
        "age_s": 0.5,
    }
