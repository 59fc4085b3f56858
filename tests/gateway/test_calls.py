"""Calls that run at most once: when an answer counts as delivered."""

import contextlib
import socket
import time

import pytest

from croftchute.commands import DecideCall
from croftchute.config.documents import CallSpec, ServiceSpec
from croftchute.errors import Code, Ran, UpstreamError
from croftchute.gateway.calls import CallDesk, CallRequest, Route
from croftchute.gateway.exchange import Exchange
from croftchute.standins.service import ServiceFaults, ServiceServer
from croftchute.tables.dedupe import Decision, Phase
from croftchute.upstreams.service import HttpService, ServiceAnswer


class Pair:
    """Stands for the boxes that keep the records: lets all run, and notes what it is told."""

    def __init__(self, *, notes=True):
        self.notes = notes
        self.told = []
        self.exchange = Exchange(request_id="t1")

    def begin(self, key, token, minted, now):
        self.exchange.decide(decided(Decision.RUN, ""))
        return []

    def finish(self, body, now):
        self.told.append(body.phase)
        if self.notes:
            self.exchange.decide(decided(Decision.NOTED, body.phase))
        return []


class Desk:
    """A plain service that answers."""

    def call(self, call):
        return ServiceAnswer(status=200, body=b"yes", content_type="text/plain")


def decided(decision, code):
    return DecideCall(token="t1", decision=decision, code=code, answer=b"", status=0)


def make_call(pair, *, has_left=False):
    spec = CallSpec(method="POST", path="/confirm", repeatable=False)
    route = Route(
        service=ServiceSpec(id="desk", prefix="/desk", workers=[], calls=[spec]),
        call=spec,
        path="/confirm",
        urls=("http://one",),
    )
    request = CallRequest(
        route=route, body=b"", content_type="", token="t1", key="k1", own_key=True
    )
    desk = CallDesk(
        service=Desk(),
        submit=lambda job: job(0.0),
        begin=pair.begin,
        finish=pair.finish,
    )
    return desk.call(request, pair.exchange, lambda: has_left)


def test_an_answer_is_marked_as_delivered_before_it_is_handed_over():
    pair = Pair()
    assert make_call(pair).body == b"yes"
    assert pair.told == [Phase.DONE, Phase.DELIVERED]
    assert pair.exchange.wait(0.0) is None


def test_the_answer_of_a_caller_who_left_stays_stored():
    pair = Pair()
    make_call(pair, has_left=True)
    assert pair.told == [Phase.DONE]


def test_an_answer_goes_out_when_the_pair_is_silent(monkeypatch):
    monkeypatch.setattr("croftchute.gateway.calls.MARK_WAIT_S", 0.0)
    pair = Pair(notes=False)
    assert make_call(pair).body == b"yes"
    assert pair.told == [Phase.DONE, Phase.DELIVERED]


@pytest.mark.parametrize("phase", [Phase.DONE, Phase.UNKNOWN])
def test_only_the_mark_itself_ends_the_wait(phase):
    pair = Pair()
    pair.exchange.decide(decided(Decision.RUN, ""))
    pair.exchange.decide(decided(Decision.NOTED, phase))
    make_call(pair)
    assert pair.told[-1] == Phase.DELIVERED


class RestingDesk:
    """Two workers, of which the first turns all calls away and asks for rest."""

    def __init__(self, rest_s):
        self.rest_s = rest_s
        self.called = []

    def call(self, call):
        self.called.append(call.url)
        if call.url in self.rest_s:
            rest_s = self.rest_s[call.url]
            return ServiceAnswer(status=503, body=b"", content_type="", rest_s=rest_s)
        return ServiceAnswer(status=200, body=b"yes", content_type="text/plain")


def repeatable(desk, now, *urls, timeout_s=10.0):
    spec = CallSpec(method="GET", path="/status", repeatable=True)
    route = Route(
        service=ServiceSpec(
            id="desk", prefix="/desk", workers=[], calls=[spec], timeout_s=timeout_s
        ),
        call=spec,
        path="/status",
        urls=urls,
    )
    request = CallRequest(
        route=route, body=b"", content_type="", token="t1", key="k1", own_key=True
    )
    pair = Pair()
    made = CallDesk(
        service=desk, submit=lambda job: job(0.0), begin=pair.begin, finish=pair.finish, now=now
    )
    return lambda: made.call(request, pair.exchange, lambda: False)


def test_a_worker_that_asked_for_rest_is_passed_over():
    desk = RestingDesk({"http://one": 3.0})
    clock = [10.0]
    call = repeatable(desk, lambda: clock[0], "http://one", "http://two")
    statuses = [call().status for _ in range(6)]
    assert statuses.count(503) == 1
    assert desk.called.count("http://one") == 1
    clock[0] = 13.0
    assert [call().status for _ in range(2)].count(503) == 1


def test_where_all_workers_rest_the_caller_is_told_when_to_come_back():
    desk = RestingDesk({"http://one": 3.0})
    call = repeatable(desk, lambda: 10.0, "http://one")
    assert call().status == 503
    with pytest.raises(UpstreamError) as refused:
        call()
    assert (refused.value.ran, refused.value.retry_after) == (Ran.NOT_RUN, 3.0)
    assert desk.called == ["http://one"]


class SilentDesk:
    """Workers by URL: seconds until they answer, with a status each; the calls that were ended."""

    def __init__(self, **answers):
        self.answers = {f"http://{name}": answer for name, answer in answers.items()}
        self.called = []
        self.ended = []

    def call(self, call):
        self.called.append(call.url)
        after_s, status = self.answers[call.url]
        ours, other = socket.socketpair()
        call.ender.connected(ours)
        other.settimeout(min(after_s, call.timeout_s))
        with ours, other, contextlib.suppress(TimeoutError):
            other.recv(1)
            self.ended.append(call.url)
            raise UpstreamError(Code.UPSTREAM_FAILED, "ended", ran=Ran.UNKNOWN)
        if after_s > call.timeout_s:
            raise UpstreamError(Code.UPSTREAM_SLOW, "no answer", ran=Ran.UNKNOWN)
        return ServiceAnswer(status=status, body=call.url.encode(), content_type="text/plain")


def ask_silent(desk):
    """Make a repeatable call, to the workers in their order; return the answer."""
    *others, last = desk.answers
    return repeatable(desk, lambda: 10.0, last, *others, timeout_s=0.2)()


def test_a_silent_worker_keeps_its_call_beside_other_silent_ones():
    """Guards against refusing a call whose workers are silent for longer than the time-out."""
    desk = SilentDesk(one=(0.5, 200), two=(9.0, 200), three=(9.0, 200))
    assert ask_silent(desk).body == b"http://one"
    assert desk.called == ["http://one", "http://two", "http://three"]


def test_another_worker_answers_where_one_is_stuck_whose_call_is_ended():
    """Guards against waiting for a stuck worker, and against leaving its call open."""
    desk = SilentDesk(one=(9.0, 200), two=(0.01, 200))
    assert ask_silent(desk).body == b"http://two"
    while not desk.ended:
        time.sleep(0.01)
    assert desk.ended == ["http://one"]


@pytest.mark.parametrize("status", [429, 500, 503])
def test_a_refusal_is_no_answer_while_a_silent_worker_may_answer(status):
    """Guards against an error in place of the answer that a silent worker is about to give."""
    assert ask_silent(SilentDesk(one=(0.35, 200), two=(0.01, status))).status == 200


def test_the_last_answer_counts_where_no_other_may_come():
    assert ask_silent(SilentDesk(one=(9.0, 200), two=(0.01, 503))).status == 503


def test_workers_that_are_silent_for_good_are_given_up_as_soon_as_one_after_the_other():
    """Guards against a caller that waits for workers that are stuck for good."""
    began_at = time.monotonic()
    with pytest.raises(UpstreamError) as refused:
        ask_silent(SilentDesk(one=(9.0, 200), two=(9.0, 200)))
    assert refused.value.code is Code.UPSTREAM_SLOW
    assert 0.35 < time.monotonic() - began_at < 2.0


def test_silent_services_over_http_keep_their_calls():
    """Guards against refusing a call that its workers answer after the time-out of one of them."""
    servers = [ServiceServer(id=name, faults=ServiceFaults(late_s=0.3)) for name in ("a", "b")]
    urls = [server.url for server in servers]
    try:
        answer = repeatable(HttpService(), lambda: 10.0, *urls, timeout_s=0.2)()
    finally:
        for server in servers:
            server.stop()
    assert answer.status == 200
