"""The account of a kept log: each request's fate, and why service was lost."""

import json

from croftchute.account.log_lines import Fate, parse_lines, stories
from croftchute.account.tables import account, size_group


def line(event, request_id="r1", *, second=0.0, elapsed_ms=0.0, **fields):
    at = f"2026-12-02T10:00:{second:06.3f}+00:00"
    shown = {"at": at, "box": "b", "level": "INFO", "event": event, "request_id": request_id}
    return json.dumps(shown | {"elapsed_ms": elapsed_ms} | fields)


LOG = [
    "edge-1 | " + line("hold_asked", outcome="granted", tokens=12_000),
    line("prefill_ended", outcome="upstream_slow", elapsed_ms=630.0),
    line(
        "request_answered",
        second=1.1,
        elapsed_ms=1100.0,
        outcome="ok",
        route="survey",
        first_byte_ms=1000.0,
        target_ms=900.0,
    ),
    line("hold_asked", "r2", second=2.0, outcome="no_room", tokens=47_000),
    line(
        "request_refused",
        "r2",
        second=2.4,
        elapsed_ms=400.0,
        outcome="no_capacity",
        route="s",
        organisation="crew",
    ),
    line(
        "request_answered",
        "r3",
        second=3.0,
        outcome="ok",
        route="status",
        first_byte_ms=20.0,
        target_ms=120.0,
    ),
    line(
        "request_answered",
        "r4",
        second=3.0,
        outcome="status_500",
        route="status",
        organisation="crew",
    ),
    line("request_sent", "r5", second=3.0),
    "not a line of the log",
    '{"half": ',
]


def test_each_request_has_one_fate():
    found = stories(parse_lines(LOG))
    assert {story.id: story.fate for story in found.values()} == {
        "r1": Fate.LATE,
        "r2": Fate.REFUSED,
        "r3": Fate.IN_TIME,
        "r4": Fate.FAILED,
        "r5": Fate.OPEN,
    }
    assert found["r1"].tokens == 12_000
    assert found["r1"].counts == {"room granted": 1, "prefill_ended upstream_slow": 1}


def test_the_tables_add_up_and_name_causes():
    found = list(stories(parse_lines(LOG)).values())
    by_route, by_organisation, by_size, by_second, causes, steps = account(found)
    assert [(row[0], row[-1]) for row in by_organisation.rows] == [
        ("crew", "0.000"),
        ("none", "0.333"),
    ]
    assert sum(int(cell) for row in by_route.rows for cell in row[1:-1]) == len(found)
    assert [row[0] for row in by_size.rows] == ["10-20k", "45k and more"]
    assert len(by_second.rows) == 3
    assert causes.rows == (("refused: no_capacity", "1", "0.40", "0.40"),)
    assert ("45k and more", "room no_room", "1") in steps.rows


def test_sizes_fall_into_groups_without_gaps():
    assert [size_group(n) for n in (1, 9_999, 10_000, 44_999, 45_000)] == [
        "0-10k",
        "0-10k",
        "10-20k",
        "30-45k",
        "45k and more",
    ]


def test_an_empty_log_has_empty_tables():
    assert all(table.rows == () for table in account([]))
