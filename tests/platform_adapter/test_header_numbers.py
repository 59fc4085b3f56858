"""Numbers in headers of callers and workers, read from any bytes that either may send."""

import math

import pytest
from croftchute_platform.headers import (
    DEADLINE,
    LAST_EVENT_ID,
    LENGTH_HINT,
    LOAD,
    MAX_DIGITS,
    TOKENS,
    PlatformCallers,
    PlatformWorkers,
    number,
    token_counts,
)
from hypothesis import given
from hypothesis import strategies as st

from croftchute.forwarding.dialect import WorkerLoad
from croftchute.forwarding.http.event_stream import event_number
from croftchute.forwarding.http.exchange import Arrival, IncomingRequest
from croftchute.forwarding.http.http_client import ResponseHead

LONGEST = b"9" * 16_000
"""A run of digits that fits a header of 16 KB; ``int`` raises ValueError beyond 4,300 of them."""


def load(value):
    headers = [] if value is None else [(LOAD, value)]
    return PlatformWorkers().load(ResponseHead(status=200, reason=b"", headers=headers))


def facts(*headers):
    request = IncomingRequest(
        method="POST",
        target="/x",
        headers=[(b"host", b"h"), *headers],
        body=b"",
        is_http_1_0=False,
        arrival=Arrival(connected_at=0.0, begun_at=0.0, read_at=0.0, number=1),
    )
    return PlatformCallers().read(request)


@given(st.binary(max_size=40) | st.integers(0, 10**30).map(lambda n: b"%d" % n))
def test_any_bytes_are_a_small_number_or_none(value):
    """Guards against an exception, and numbers that no float holds, from a header."""
    found = number(value)
    assert found is None or 0 <= found < 10**MAX_DIGITS


def test_leading_zeros_do_not_count_as_digits():
    """Guards against losing a number that is padded, and against the same limit of ``int``."""
    assert number(b"0" * 5_000 + b"12") == 12
    assert number(b"0" * 5_000) == 0


@pytest.mark.parametrize("value", [LONGEST, b"9" * 400, b"9" * (MAX_DIGITS + 1)])
def test_numbers_of_too_many_digits_are_as_if_not_sent(value):
    """Guards against a request that ends its connection without an answer by a long header.

    400 digits are read by ``int`` but fit no float: dividing such a deadline raised OverflowError.
    """
    assert facts((DEADLINE, value)).time_left_s is None
    assert facts((LAST_EVENT_ID, value)).resume_after is None
    assert facts((LENGTH_HINT, value)).expected_output is None
    assert token_counts(value + b"," + value) == (0, 0)
    assert facts((TOKENS, value + b",80")).output_tokens == 80


@pytest.mark.parametrize("value", [LONGEST, b"9" * 400])
def test_a_load_of_too_many_digits_is_as_if_not_told(value):
    """Guards against a worker's header that fails the request it answers."""
    assert load(value) is None
    assert load(value + b",2,3,100") is None
    assert load(b"1," + value) is None
    assert load(b"1,2,3," + value) == WorkerLoad(running=1, waiting=2)
    assert load(b"1,2," + value + b",250") == WorkerLoad(running=1, waiting=2, pace=2.5)


@pytest.mark.parametrize(
    "value, expected",
    [
        (b"1,2", WorkerLoad(running=1, waiting=2)),
        (b"1,2,64", WorkerLoad(running=1, waiting=2)),
        (b"1,2,64,100", WorkerLoad(running=1, waiting=2, pace=1.0)),
        (b" 1 , 2 , 64 , 60 ", WorkerLoad(running=1, waiting=2, pace=0.6)),
        (b"0,0,64,250,7", WorkerLoad(running=0, waiting=0, pace=2.5)),
        (b"1,2,,100", WorkerLoad(running=1, waiting=2, pace=1.0)),
        (b"1,2,64,", WorkerLoad(running=1, waiting=2)),
        (b"1,2,64,-100", WorkerLoad(running=1, waiting=2)),
        (b"1,2,64,2.5", WorkerLoad(running=1, waiting=2)),
        (b"1,2,64,nan", WorkerLoad(running=1, waiting=2)),
        (b"1,2,64,\xb2", WorkerLoad(running=1, waiting=2)),
        (None, None),
        (b"", None),
        (b"1", None),
        (b",", None),
        (b"-1,2,64,100", None),
        (b"1,x,64,100", None),
    ],
)
def test_a_load_of_three_or_four_figures(value, expected):
    """Guards against a pace that is read from another column, or a load lost for an odd pace."""
    assert load(value) == expected


@given(st.binary(max_size=60))
def test_any_load_header_is_read_or_ignored(value):
    """Guards against an exception from what a worker sends."""
    found = load(value)
    assert found is None or (found.running >= 0 and found.waiting >= 0)
    assert found is None or found.pace is None or math.isfinite(found.pace)


@pytest.mark.parametrize("value", [LONGEST, b"9" * (MAX_DIGITS + 1)])
def test_an_event_whose_id_has_too_many_digits_has_no_number(value):
    """Guards against a stream that ends in ValueError by a worker's event."""
    assert event_number(b"id: " + value + b"\ndata: x\n\n") is None
