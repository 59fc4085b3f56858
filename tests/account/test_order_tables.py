"""The tables of the order for room, from lines as boxes write them."""

import json

import pytest

from croftchute.account.log_lines import halls, parse_lines, stories
from croftchute.account.order_tables import order_tables
from croftchute.cli.commands import Commands


def line(event, request_id="", *, box="edge-1", second=0.0, elapsed_ms=0.0, **fields):
    at = f"2026-12-02T10:00:{second:06.3f}+00:00"
    told = {"request_id": request_id, "elapsed_ms": elapsed_ms} if request_id else {}
    return json.dumps({"at": at, "box": box, "level": "INFO", "event": event} | told | fields)


def answered(request_id, second, *, first_byte_ms, **fields):
    return line(
        "request_answered",
        request_id,
        second=second,
        outcome="ok",
        first_byte_ms=first_byte_ms,
        target_ms=900.0,
        **fields,
    )


LOG = [
    line("started", hall="north"),
    line("started", box="edge-2", hall="south"),
    line("hold_asked", "a", second=0.1, elapsed_ms=100.0, outcome="no_room", rank=0, tokens=9),
    line("hold_asked", "a", second=0.3, elapsed_ms=300.0, outcome="granted", rank=0, tokens=9),
    line("hold_asked", "a", second=0.9, elapsed_ms=900.0, outcome="granted", rank=0, tokens=9),
    answered("a", 2.0, first_byte_ms=500.0, elapsed_ms=2000.0, route="urgent"),
    line("hold_asked", "b", second=1.1, elapsed_ms=100.0, outcome="granted", rank=10, tokens=9),
    answered("b", 3.0, first_byte_ms=1000.0, elapsed_ms=2000.0, route="calm"),
    line("wait_ended", "c", box="edge-2", second=1.5, elapsed_ms=500.0, rank=10),
    line(
        "request_refused",
        "c",
        box="edge-2",
        second=1.5,
        elapsed_ms=500.0,
        outcome="no_capacity",
        rank=10,
        route="calm",
    ),
    line("permit_denied", "d", box="edge-3", second=2.0, rank=4, outcome="denied"),
    answered("d", 2.1, box="edge-3", first_byte_ms=1.0, route="plain"),
]


def tables():
    lines = list(parse_lines(LOG))
    return order_tables(list(stories(lines).values()), halls(lines))


def test_ranks_show_in_their_order_with_fates_and_the_wait_for_the_first_hold():
    """Guards against ranks sorted as text, later holds counted as waits, and ranks of permits."""
    assert tables()[0].rows == (
        ("0", "1", "1", "0", "0", "1.000", "0.30"),
        ("10", "2", "0", "1", "1", "0.000", "0.30"),
    )


def test_halls_are_those_that_boxes_started_in():
    """Guards against requests lost from the table as the start of their box is not in the log."""
    rows = {row[0]: row[1:-1] for row in tables()[1].rows}
    assert rows.keys() == {"north", "south", "hall not logged"}
    assert sum(int(cell) for row in rows.values() for cell in row) == 4
    assert rows["south"][3] == "1"


def test_seconds_are_told_apart_by_route():
    """Guards against a second in which one route fails behind the success of another."""
    assert [row[0] for row in tables()[2].rows] == ["   0 urgent", "   1 calm", "   2 plain"]


def test_a_log_without_an_order_has_an_empty_table_of_ranks():
    """Guards against rows for streams that waited in no order."""
    lines = list(parse_lines([line("hold_asked", "a", outcome="granted", tokens=9)]))
    assert order_tables(list(stories(lines).values()), {})[0].rows == ()


def test_the_command_prints_the_tables_after_those_it_had(tmp_path, capsys):
    """Guards against tables that no command prints, or that displace the ones before."""
    log = tmp_path / "log"
    log.write_text("\n".join(LOG))
    Commands().account(str(log))
    printed = capsys.readouterr().out
    titles = ["Requests by route", "Workers that named a limit", "Ordered streams by rank"]
    places = [printed.index(title) for title in [*titles, "Requests by hall"]]
    assert places == sorted(places)


@pytest.mark.parametrize("raw", ["", '{"at": "x", "event": "started"}'])
def test_a_start_without_a_hall_names_none(raw):
    """Guards against logs of boxes that told less."""
    assert halls(parse_lines([raw])) == {}
