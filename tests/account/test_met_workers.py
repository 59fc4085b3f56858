"""Which lives of workers a request met, told from the logs of all boxes."""

import json

from croftchute.account.log_lines import parse_lines
from croftchute.account.met_workers import meetings, met_workers


def line(event, second, request_id="r1", box="edge-1", **fields):
    at = f"2026-12-02T10:00:{second:06.3f}+00:00"
    return json.dumps({"at": at, "box": box, "event": event, "request_id": request_id} | fields)


LOG = [
    line("prefill_sent", 1.0, worker="p1", wish=""),
    line("prefill_ended", 1.1, worker="p1", outcome="ok"),
    line("request_sent", 1.2, worker="d1@7", wish="leaving"),
    line("attempt_ended", 1.5, worker="d1@7", outcome="upstream_failed", digest="abc"),
    line("worker_looked_at", 1.6, "", worker="d1@7", outcome="ended", digests=["abc", "other"]),
    line("request_sent", 1.7, worker="d2"),
    line("attempt_ended", 1.9, worker="d2", outcome="upstream_failed", digest="abc"),
    line("worker_looked_at", 2.0, "", worker="d2", outcome="lives", digests=["abc"]),
    line("request_sent", 1.0, "r2", worker="d1@7"),
    line("request_sent", 2.5, worker="d3"),
    "no line",
]


def test_each_sending_is_told_with_its_end():
    found = meetings(list(parse_lines(LOG)), "r1")
    assert [(m.call, m.worker, m.outcome, m.has_ended) for m in found] == [
        ("prompt", "p1", "ok", False),
        ("request", "d1@7", "upstream_failed", True),
        ("request", "d2", "upstream_failed", False),
        ("request", "d3", "no end logged", False),
    ]


def test_the_table_names_the_wish_that_a_worker_had_told():
    table = met_workers(parse_lines(LOG), "r1")
    assert table.rows[1] == (
        "0.200",
        "edge-1",
        "request",
        "d1@7",
        "leaving",
        "upstream_failed",
        "yes",
    )


def test_a_request_that_met_nobody_has_an_empty_table():
    assert met_workers(parse_lines(LOG), "r9").rows == ()
