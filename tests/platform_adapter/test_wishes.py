"""What a worker's answer says that it wants, read from any bytes that a worker may send."""

import pytest
from croftchute_platform.wishes import read_wish
from hypothesis import given
from hypothesis import strategies as st

from croftchute.forwarding.http.http_client import ResponseHead
from croftchute.retry_after import MAX_REST_S
from croftchute.systems.worker_advice import NO_ADVICE, WorkerAdvice

SENT = (b"date", b"Thu, 03 Dec 2026 10:00:00 GMT")


def head(status, *headers):
    return ResponseHead(status=status, reason=b"", headers=list(headers))


def retry_after(*values):
    return [(b"retry-after", value) for value in values]


@pytest.mark.parametrize("status", [200, 404, 500, 503, 204])
def test_every_answer_of_a_worker_that_leaves_says_so(status):
    assert read_wish(head(status, (b"server-leaving", b"1"))).is_leaving


@pytest.mark.parametrize("value", [b"0", b"", b"-1", b"true", b"10", b"\xff", b"1.0"])
def test_any_other_value_says_nothing_of_leaving(value):
    assert read_wish(head(200, (b"server-leaving", value))) is NO_ADVICE


def test_leaving_that_is_said_twice_is_said():
    said_twice = [(b"server-leaving", b"0"), (b"server-leaving", b"1")]
    assert read_wish(head(200, *said_twice)).is_leaving


@pytest.mark.parametrize(
    "value, rest_s",
    [
        (b"3", 3.0),
        (b" 0.5", 0.5),
        (b"0", 0.0),
        (b"-2", 0.0),
        (b"nan", 0.0),
        (b"1e3", 0.0),
        (b"3 s", 0.0),
        (b"\xb2", 0.0),
        (b"9" * 400, MAX_REST_S),
        (b"999999999", MAX_REST_S),
        (b"Thu, 03 Dec 2026 10:00:07 GMT", 7.0),
        (b"Thu, 03 Dec 2026 09:59:00 GMT", 0.0),
        (b"Thu, 03 Dec 99999 10:00:00 GMT", 0.0),
    ],
)
def test_a_refusal_asks_for_rest(value, rest_s):
    assert read_wish(head(503, SENT, *retry_after(value))).backoff_s == rest_s
    assert read_wish(head(429, SENT, *retry_after(value))).backoff_s == rest_s


def test_a_date_without_the_answers_own_date_says_nothing():
    assert read_wish(head(503, *retry_after(SENT[1]))) is NO_ADVICE


def test_of_two_times_the_longer_one_counts():
    assert read_wish(head(503, *retry_after(b"1", b"4", b"x"))).backoff_s == 4.0


@pytest.mark.parametrize("status", [200, 302, 500, 502])
def test_only_a_refusal_asks_for_rest(status):
    assert read_wish(head(status, *retry_after(b"3"))) is NO_ADVICE


def test_another_worker_at_the_address_speaks_for_itself():
    answer = head(421, (b"server-leaving", b"1"), *retry_after(b"3"))
    assert read_wish(answer) is NO_ADVICE


@given(
    status=st.sampled_from([200, 421, 429, 503]),
    leaving=st.binary(max_size=40),
    rest=st.binary(max_size=40),
    date=st.binary(max_size=40),
)
def test_no_bytes_are_too_odd(status, leaving, rest, date):
    answer = head(status, (b"server-leaving", leaving), (b"date", date), *retry_after(rest))
    wish = read_wish(answer)
    assert isinstance(wish, WorkerAdvice)
    assert 0.0 <= wish.backoff_s <= MAX_REST_S


def limits(*values):
    return [(b"server-limit", value) for value in values]


@pytest.mark.parametrize(
    "values, per_s",
    [
        ([b"1.5"], 1.5),
        ([b" 2 "], 2.0),
        ([b"0"], 0.0),
        ([b"0.1"], 0.1),
        ([b"3", b"2"], 2.0),
        ([b"3, 2.5"], 2.5),
        ([b"4", b"many"], 4.0),
        ([b"1000000"], 1e6),
    ],
)
@pytest.mark.parametrize("status", [200, 404, 500, 503])
def test_every_answer_may_name_a_limit_and_of_two_the_lower_holds(status, values, per_s):
    wish = read_wish(head(status, *limits(*values)))
    assert (wish.limit_per_s, wish.has_invalid_limit) == (per_s, False)


@pytest.mark.parametrize("value", [b"", b"-1", b"nan", b"inf", b"1e9", b"two", b"\xb2", b"9" * 400])
def test_a_limit_that_can_not_be_read_is_none_and_does_not_count_as_left_out(value):
    wish = read_wish(head(200, *limits(value)))
    assert (wish.limit_per_s, wish.has_invalid_limit) == (None, True)


def test_another_worker_at_the_address_names_no_limit_for_the_one_that_was_asked():
    assert read_wish(head(421, *limits(b"1"))) is NO_ADVICE
