import pytest

from croftchute.received_request import ReceivedRequest, RequestLimits

HEAD = b"POST / HTTP/1.1\r\nHost: h\r\n"
LIMITS = RequestLimits(max_head_bytes=1000, max_header_lines=10, max_body_bytes=100)


def received(*pieces, limits=LIMITS):
    request = ReceivedRequest(limits=limits, now=0.0)
    for piece in pieces:
        request.add(piece, 0.0)
    return request


def one_by_one(data):
    return [bytes([byte]) for byte in data]


def test_a_request_is_whole_with_its_last_byte_in_whatever_pieces():
    data = HEAD + b"Content-Length: 3\r\n\r\nabc"
    for size in range(1, len(data)):
        request = received(data[:size], data[size:-1])
        assert not request.is_whole
    request = received(*one_by_one(data))
    assert request.is_whole
    whole = request.take(0.0)
    assert (whole.head, whole.body, whole.is_last) == (data[:-3], b"abc", False)
    assert request.size == 0


def test_what_came_behind_a_request_belongs_to_the_next():
    request = received(HEAD + b"Content-Length: 1\r\n\r\na" + HEAD + b"\r\n" + HEAD)
    assert request.take(0.0).body == b"a"
    assert request.is_whole
    assert request.take(0.0).head == HEAD + b"\r\n"
    assert not request.is_whole
    assert request.size == len(HEAD)


@pytest.mark.parametrize(
    "lines",
    [
        b"Content-Length: 1\r\nContent-Length: 2\r\n",
        b"Content-Length: +1\r\n",
        b"Content-Length: 1, 1\r\n",
        b"Content-Length: 101\r\n",
        b"Transfer-Encoding: chunked\r\n",
        b"Content-Length: 1\r\nTransfer-Encoding : chunked\r\n",
    ],
)
def test_a_body_whose_end_is_unclear_or_too_far_is_not_read(lines):
    """The fault this guards against: the rest of a body is taken for a request."""
    request = received(HEAD + lines + b"\r\nGET /x HTTP/1.1\r\n\r\n")
    whole = request.take(0.0)
    assert whole.is_last and not whole.body


def test_lengths_that_agree_are_one():
    request = received(HEAD + b"content-length:1\r\nContent-Length: 1 \r\n\r\na")
    assert request.take(0.0).body == b"a"


def test_too_many_lines_are_found_before_the_heads_end():
    assert not received(HEAD + b"a:\r\n" * 8).has_too_many_lines
    assert received(HEAD + b"a:\r\n" * 9).has_too_many_lines


def test_lines_of_a_body_are_no_header_lines():
    assert not received(HEAD + b"Content-Length: 50\r\n\r\n" + b"\n" * 50).has_too_many_lines


def test_a_head_without_end_is_given_up_at_its_bound():
    request = received(HEAD + bytes(1000))
    assert request.is_whole and request.take(0.0).is_last


def test_a_client_that_waits_is_told_once_that_it_may_send_its_body():
    expectation = b"Expect: 100-Continue\r\n"
    request = received(HEAD + expectation + b"Content-Length: 1\r\n\r\n")
    assert request.take_expectation()
    assert not request.take_expectation()
    request.add(b"a", 0.0)
    assert expectation not in request.take(0.0).head


def test_a_client_whose_body_is_too_long_is_not_told_to_send_it():
    request = received(HEAD + b"Expect: 100-continue\r\nContent-Length: 101\r\n\r\n")
    assert not request.take_expectation()


def test_the_time_for_a_request_grows_with_its_bytes_but_not_the_longest_pause():
    limits = RequestLimits(timeout_s=10.0, min_bytes_per_s=100)
    request = ReceivedRequest(limits=limits, now=0.0)
    assert request.left_s(4.0) == 6.0
    request.add(b"x", 5.0)
    assert request.left_s(14.0) == 1.0
    for at in range(6, 15):
        request.add(b"x", float(at))
    # A byte a second is too slow: ten of them allow a tenth of a second more.
    assert request.left_s(15.0) == pytest.approx(0.1)
    request.add(bytes(1000), 15.0)
    assert request.left_s(15.0) == pytest.approx(10.0)


def test_header_lines_cost_more_than_their_bytes():
    many = received(HEAD + b"a:\r\n" * 8 + b"\r\n").take(0.0)
    few = received(HEAD + b"a:" + b"b" * 28 + b"\r\n\r\n").take(0.0)
    assert many.size == few.size
    assert many.served_bytes > few.served_bytes
