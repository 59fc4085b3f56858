"""The digest of a request."""

import pytest

from croftchute.tables.routing import RequestFacts

SENT = {
    "id": "r1",
    "method": "POST",
    "target": "/safe/x",
    "host": "shop.example",
    "path": "/safe/x",
    "headers": [],
    "body": b"hello",
    "organisation": "crew",
}


def test_all_attempts_of_a_request_have_one_digest():
    first = RequestFacts(**SENT)
    again = RequestFacts(**SENT | {"id": "r2", "headers": [(b"x", b"y")], "time_left_s": 1.0})
    assert first.digest == again.digest


@pytest.mark.parametrize(
    "change",
    [
        {"organisation": "desk"},
        {"target": "/safe/y"},
        {"body": b"bye"},
        {"host": "other.example"},
        {"method": "PUT"},
    ],
    ids=lambda change: next(iter(change)),
)
def test_request_that_differs_has_another_digest(change):
    assert RequestFacts(**SENT).digest != RequestFacts(**SENT | change).digest
