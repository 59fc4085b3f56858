"""Calls that run at most once: when an answer counts as delivered."""

import pytest

from croftchute.commands import DecideCall
from croftchute.config.documents import CallSpec, ServiceSpec
from croftchute.errors import Ran, UpstreamError
from croftchute.gateway.calls import CallDesk, CallRequest, Route
from croftchute.gateway.exchange import Exchange
from croftchute.tables.dedupe import Decision, Phase
from croftchute.upstreams.service import ServiceAnswer


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


def repeatable(desk, now, *urls):
    spec = CallSpec(method="GET", path="/status", repeatable=True)
    route = Route(
        service=ServiceSpec(id="desk", prefix="/desk", workers=[], calls=[spec]),
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
