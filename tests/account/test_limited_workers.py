"""What workers with a limit got and what was kept away from them, from the logs of all boxes."""

import json

from croftchute.account.limited_workers import limited_workers
from croftchute.account.log_lines import parse_lines


def line(event, second, worker="w0", **fields):
    at = f"2026-12-02T10:00:{second:06.3f}+00:00"
    return json.dumps({"at": at, "box": "edge-1", "event": event, "worker": worker} | fields)


LOG = [
    line("request_sent", 0.5, request_id="r0", limit_per_s=None),
    line("worker_limited", 1.0, limit_per_s=2.0),
    line("worker_limited", 1.1, limit_per_s=2.0, outcome="told by a peer"),
    *(line("request_sent", 2.0 + n, request_id=f"r{n}", limit_per_s=2.0) for n in range(6)),
    line("permit_denied", 3.0, outcome="denied"),
    line("permit_denied", 3.1, outcome="unknown"),
    line("worker_limited", 4.0, limit_per_s=0.5),
    line("request_sent", 4.5, worker="w1", request_id="r9", limit_per_s=None),
    line("worker_unlimited", 20.0),
]


def test_limits_sendings_and_denials_are_told_for_each_worker():
    table = limited_workers(parse_lines(LOG))
    assert table.rows == (("w0", "0.00", "19.00", "2, 0.5", "6", "4", "1", "1"),)


def test_without_limits_the_table_is_empty():
    assert limited_workers(parse_lines(LOG[:1])).rows == ()
