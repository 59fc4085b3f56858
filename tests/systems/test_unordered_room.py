"""Off by default: without an order by rank, requests wait for room as before there was one."""

import asyncio

import pytest
from hypothesis import HealthCheck, given, settings
from hypothesis import strategies as st
from room_run import FOUND, FULL, NO_WORKER, Bench, ScriptedRoom, organisation

from croftchute.errors import Code, Ran
from croftchute.forwarding.decision_log import Decision
from croftchute.forwarding.workers.queue_reporting import queue_log_fields
from croftchute.systems import patience
from croftchute.systems.patience import ReturnWay
from croftchute.systems.room_forecast import RoomWait
from croftchute.systems.room_order import OrderWay

UNORDERED = {"priorities": (0, 1, 2), "order": OrderWay.UNORDERED}
ONE_PRIORITY = {"priorities": (2,), "order": OrderWay.AUTO}
either = pytest.mark.parametrize("ways", [UNORDERED, ONE_PRIORITY], ids=["unordered", "one"])

scripts = st.lists(st.sampled_from([FULL, FULL, FULL, NO_WORKER, FOUND]), min_size=1, max_size=12)
waits = st.sampled_from([0.0, 0.2, 0.6, 3.0, 30.0])


class RoomBefore(ScriptedRoom):
    """Waits as the code did before there was an order; kept here to compare with."""

    async def reserve(self):
        run = self.run
        self.code = None
        self.detail = ""
        is_begun = run.exchange.is_started
        pause_s = patience.room_poll(
            run.route, run.state.ways.returns, before_s=run.earlier_tries_s, is_begun=is_begun
        )
        asked_at = run.now
        has_waited = False
        while True:
            found = await self._ask_for_room()
            if found is not None:
                if not is_begun:
                    run.state.demand(run.service).note_granted(run.now, is_large=run.is_large)
                if has_waited:
                    run.state.room(run.service).note_granted(run.now)
                return found
            may_come = run.full_workers or (is_begun and self._does_rest_end_soon())
            if not may_come or not self._may_wait(asked_at, is_begun=is_begun):
                return None
            await asyncio.sleep(pause_s)
            has_waited = True
            run.state.room(run.service).note_waited(pause_s, run.now)
            run.full_workers.clear()

    def _may_wait(self, asked_at, *, is_begun):
        run = self.run
        if is_begun:
            return run.now - asked_at < min(patience.RESUME_WAIT_S, run.time_left_s)
        if run.state.is_ending(run.now):
            return False
        mean_wait_s = run.state.mean_room_wait_s(run.service)
        pace = run.state.prefill_pace(run.service)
        wait = RoomWait(
            elapsed_s=run.now - run.started_at,
            time_left_s=run.time_left_s,
            reading_s=pace.reading_s(run.facts.prompt_tokens),
            before_s=(
                run.earlier_tries_s if run.state.ways.returns is ReturnWay.IN_TIME_FIRST else 0.0
            ),
        )
        if wait.is_worthwhile(run.route, mean_wait_s=mean_wait_s):
            return True
        run.log(
            Decision.WAIT_ENDED,
            outcome="room is not expected in time",
            mean_wait_s=mean_wait_s,
            reading_s=round(wait.reading_s, 3),
            tokens=run.facts.prompt_tokens,
        )
        return False


def refuse_before(run, room):
    """Refuse with the Retry-After that was sent before there was an order."""
    code = room.code or Code.NO_UPSTREAM
    mean_wait_s = run.state.mean_room_wait_s(run.service) if run.full_workers else None
    retry_after_s = patience.retry_after(
        run.time_left_s, mean_wait_s=mean_wait_s, spread=run.state.rng.random()
    )
    return code, retry_after_s


def outcome(bench, run, room, found):
    return {
        "found": found is not None,
        "asks": room.asks,
        "sleeps": bench.sleeps,
        "at": bench.now,
        "lines": [
            (kind, fields)
            for kind, fields in bench.log.lines
            if kind is not Decision.REQUEST_REFUSED
        ],
        "code": room.code,
        "detail": room.detail,
        "history": bench.state.room("llm").counts(bench.now),
        "granted": bench.state.demand("llm").counts(bench.now).granted,
    }


@either
@settings(
    suppress_health_check=[HealthCheck.function_scoped_fixture], max_examples=60, deadline=None
)
@given(script=scripts, waited=waits, begun=st.booleans(), deadline_s=st.sampled_from([1.0, 8.0]))
def test_requests_wait_are_logged_and_refused_as_before(
    monkeypatch, ways, script, waited, begun, deadline_s
):
    """Guards against a deployment without an order whose outcomes change by an upgrade.

    The same script of answers is played to the loop of before and to that of today.
    """
    script = [*script, FULL]
    results = []
    for room_kind in (RoomBefore, ScriptedRoom):
        with monkeypatch.context() as patch:
            bench = Bench(patch, organisations=[organisation("o", priority=3)], **ways)
            bench.state.room("llm").note_waited(waited, bench.now)
            run = bench.request(2, organisation="o", deadline_s=deadline_s)
            run.exchange.is_started = begun
            room, found = bench.reserve(run, script, room=room_kind(run=run))
            result = outcome(bench, run, room, found)
            if found is None and not begun:
                if room_kind is RoomBefore:
                    result["refusal"] = refuse_before(run, room)
                else:
                    bench.refuse(run, room)
                    kind, fields = bench.log.lines[-1]
                    assert kind is Decision.REQUEST_REFUSED
                    result["refusal"] = Code(fields["outcome"]), fields["retry_after_s"]
            results.append(result)
    assert results[0] == results[1]


@either
def test_nothing_of_an_order_is_kept_logged_or_told(monkeypatch, ways):
    """Guards against notices and lines that grow where no order is in force."""
    bench = Bench(monkeypatch, organisations=[organisation("o", rate_per_s=5.0)], **ways)
    run = bench.request(2, organisation="o")
    room, found = bench.reserve(run, [FULL, FULL, FOUND])
    assert found is not None and not run.is_held_back
    state = bench.state
    assert state.ranked_room_by_service == {} and state.use_by_service == {}
    assert queue_log_fields(run) == {}


@either
def test_engines_get_the_priority_of_before(monkeypatch, ways):
    """Guards against ranks in the place of priorities at engines and permits: the organisation's
    priority if it has one, else the route's."""
    bench = Bench(
        monkeypatch, organisations=[organisation("o", priority=7), organisation("p")], **ways
    )
    assert bench.request(2, organisation="o").rank == 7
    assert bench.request(2, organisation="p").rank == 2
    assert bench.request(2).rank == 2


@either
def test_the_refusal_of_a_full_service_is_the_same(monkeypatch, ways):
    """Guards against another status, code or header of the answer itself."""
    bench = Bench(monkeypatch, **ways)
    bench.state.room("llm").note_waited(50.0, bench.now)
    run = bench.request(2, deadline_s=8.0)
    room, found = bench.reserve(run, [FULL])
    assert found is None
    run.refuse(room.code, Ran.NOT_RUN, room.detail)
    head = run.connection.sent
    assert head.startswith(b"HTTP/1.1 503") and b'"no_capacity"' in head
    # 0.32 of the time left, less a tenth at most.
    assert 2.304 <= float(head.split(b"retry-after: ")[1].split(b"\r\n")[0]) <= 2.56
