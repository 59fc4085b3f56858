import json

import pytest
from loguru import logger

from croftchute.daemon.event_log import EventLog
from croftchute.timeline.events import Event, Kind


@pytest.mark.parametrize(
    ("level", "expected"), [("INFO", ["box_live"]), ("DEBUG", ["box_live", "first_token"])]
)
def test_request_events_are_written_only_at_debug(level, expected):
    lines = []
    handler = logger.add(lines.append, serialize=True, level=level)
    log = EventLog(level=level)
    log.write(Event(kind=Kind.BOX_LIVE, detail="b1 live"))
    log.write(Event(kind=Kind.FIRST_TOKEN, request_id="r"))
    logger.remove(handler)
    records = [json.loads(line)["record"] for line in lines]
    assert [record["message"] for record in records] == expected
    assert records[0]["extra"]["detail"] == "b1 live"
