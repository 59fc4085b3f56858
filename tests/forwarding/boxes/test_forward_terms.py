"""What boxes of different releases say to each other when one passes a request to another."""

import pytest

from croftchute.forwarding.boxes.forward_terms import (
    ANSWERED,
    ARRIVALS,
    DECLINED,
    FORWARD,
    DeclineReason,
    ForwardTerms,
    PriorCalls,
    read_terms,
    was_answered,
    without_terms,
)
from croftchute.forwarding.http.exchange import Arrival, IncomingRequest
from croftchute.forwarding.http.http_client import ResponseHead
from croftchute.tables.origins import StreamOrigin

HOST = (b"host", b"shop.example")
TERMS = {
    ((b"croftchute-forward", b"7 0 edge-1"),): ForwardTerms(
        box="edge-1", config_version=7, attempts=0
    ),
    (
        (b"croftchute-forward", b"12 1 edge 2"),
        (b"croftchute-build", b"llm v%201"),
    ): ForwardTerms(
        box="edge 2",
        config_version=12,
        attempts=1,
        origin=StreamOrigin(service="llm", build="v 1"),
    ),
}


def request_with(headers):
    arrival = Arrival(connected_at=0.0, begun_at=0.0, read_at=0.0, number=1)
    return IncomingRequest(
        method="POST",
        target="/safe/x",
        headers=[HOST, *headers],
        body=b"",
        is_http_1_0=False,
        arrival=arrival,
    )


@pytest.mark.parametrize(("headers", "terms"), TERMS.items())
def test_terms_are_written_and_read_as_earlier_releases_do(headers, terms):
    """Guards against a rolling update in which boxes refuse what others pass to them."""
    assert terms.headers() == list(headers)
    assert read_terms(request_with(headers)) == terms
    assert without_terms(request_with(headers).headers) == [HOST]


def test_calls_that_count_are_passed_on():
    """Guards against arrivals past the first that neither of two boxes counts."""
    calls = PriorCalls(arrivals=2, is_prompt_read=True)
    terms = ForwardTerms(box="edge-1", config_version=7, attempts=1, calls=calls)
    request = request_with(terms.headers())
    assert read_terms(request) == terms and terms.prior_calls() == calls
    assert without_terms(request.headers) == [HOST]


@pytest.mark.parametrize("value", [b"", b"2", b"x 1", b"-1 0"])
def test_a_box_that_does_not_name_its_calls_is_taken_to_have_made_its_attempts(value):
    headers = [(FORWARD, b"7 1 edge-1"), (ARRIVALS, value)]
    terms = read_terms(request_with(headers))
    assert terms.prior_calls() == PriorCalls(arrivals=1, is_prompt_read=True)


@pytest.mark.parametrize("value", [b"", b"7", b"7 0", b"7 0 ", b"x 0 edge-1", b"7 -1 edge-1"])
def test_a_request_whose_terms_cannot_be_read_was_passed_by_no_box(value):
    assert read_terms(request_with([(FORWARD, value)])) is None


def test_answers_to_passed_requests_are_marked_as_earlier_releases_do():
    """Guards against an answer that another release takes for a declined request."""
    assert (ANSWERED, DECLINED) == (b"answered", b"declined")
    for mark in (ANSWERED, DECLINED, b""):
        head = ResponseHead(status=200, reason=b"OK", headers=[(b"croftchute-forward", mark)])
        assert was_answered(head) is (mark == b"answered")


def test_reasons_to_decline_are_those_of_earlier_releases():
    """Guards against a box that is cut off and is taken for one that is only busy."""
    assert {reason.value for reason in DeclineReason} == {
        "cut_off",
        "busy",
        "stopping",
        "older_config",
    }
