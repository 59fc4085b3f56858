"""Without the order by rank, requests wait as they did before the order was added: the default."""

import asyncio

import pytest
from hypothesis import HealthCheck, given, settings
from hypothesis import strategies as st
from room_harness import FULL, GRANTED, NO_WORKER, RoomHarness, ScriptedReservation, organisation

from croftchute.errors import Code, Ran
from croftchute.forwarding.decision_log import Decision
from croftchute.forwarding.workers.queue_reporting import queue_log_fields
from croftchute.systems import timeouts
from croftchute.systems.room_forecast import RoomWait
from croftchute.systems.room_order import OrderMode
from croftchute.systems.timeouts import ReturnMode

UNORDERED = {"priorities": (0, 1, 2), "order": OrderMode.UNORDERED}
ONE_PRIORITY = {"priorities": (2,), "order": OrderMode.AUTO}
each_unordered_mode = pytest.mark.parametrize(
    "options", [UNORDERED, ONE_PRIORITY], ids=["unordered", "one"]
)

scripts = st.lists(st.sampled_from([FULL, FULL, FULL, NO_WORKER, GRANTED]), min_size=1, max_size=12)
waits = st.sampled_from([0.0, 0.2, 0.6, 3.0, 30.0])


class ReferenceReservation(ScriptedReservation):
    """Reference implementation: the wait for room before the order by rank was added."""

    async def reserve(self):
        run = self.run
        self.code = None
        self.detail = ""
        is_started = run.exchange.is_started
        poll_interval_s = timeouts.room_poll_interval_s(
            run.route,
            run.state.ways.returns,
            since_first_try_s=run.since_first_try_s,
            is_started=is_started,
        )
        asked_at = run.now
        has_waited = False
        while True:
            found = await self._ask_for_room()
            if found is not None:
                if not is_started:
                    run.state.demand(run.service).note_granted(run.now, is_large=run.is_large)
                if has_waited:
                    run.state.room(run.service).note_granted(run.now)
                return found
            may_come = run.full_workers or (is_started and self._does_backoff_end_soon())
            if not may_come or not self._may_wait(asked_at, is_started=is_started):
                return None
            await asyncio.sleep(poll_interval_s)
            has_waited = True
            run.state.room(run.service).note_waited(poll_interval_s, run.now)
            run.full_workers.clear()

    def _may_wait(self, asked_at, *, is_started):
        run = self.run
        if is_started:
            return run.now - asked_at < min(timeouts.RESUME_WAIT_S, run.time_left_s)
        if run.state.is_ending(run.now):
            return False
        mean_wait_s = run.state.mean_room_wait_s(run.service)
        timing = run.state.prefill_pace(run.service)
        wait = RoomWait(
            elapsed_s=run.now - run.started_at,
            time_left_s=run.time_left_s,
            reading_s=timing.prefill_s(run.facts.prompt_tokens),
            since_first_try_s=(
                run.since_first_try_s if run.state.ways.returns is ReturnMode.IN_TIME_FIRST else 0.0
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


def reference_refusal(run, room):
    """Return the code and Retry-After of a refusal before the order by rank was added."""
    code = room.code or Code.NO_UPSTREAM
    mean_wait_s = run.state.mean_room_wait_s(run.service) if run.full_workers else None
    retry_after_s = timeouts.retry_after(
        run.time_left_s, mean_wait_s=mean_wait_s, jitter=run.state.rng.random()
    )
    return code, retry_after_s


def outcome(harness, run, room, found):
    return {
        "found": found is not None,
        "asks": room.asks,
        "sleeps": harness.sleeps,
        "at": harness.now,
        "lines": [
            (kind, fields)
            for kind, fields in harness.log.lines
            if kind is not Decision.REQUEST_REFUSED
        ],
        "code": room.code,
        "detail": room.detail,
        "history": harness.state.room("llm").counts(harness.now),
        "granted": harness.state.demand("llm").counts(harness.now).granted,
    }


@each_unordered_mode
@settings(
    suppress_health_check=[HealthCheck.function_scoped_fixture], max_examples=60, deadline=None
)
@given(
    script=scripts, waited_s=waits, is_started=st.booleans(), deadline_s=st.sampled_from([1.0, 8.0])
)
def test_waits_logs_and_refusals_match_the_reference(
    monkeypatch, options, script, waited_s, is_started, deadline_s
):
    """Guards against an upgrade that changes the results of a deployment without an order.

    Runs the same script of poll results through the reference loop and the current one.
    """
    script = [*script, FULL]
    results = []
    for reservation_class in (ReferenceReservation, ScriptedReservation):
        with monkeypatch.context() as patch:
            harness = RoomHarness(patch, organisations=[organisation("o", priority=3)], **options)
            harness.state.room("llm").note_waited(waited_s, harness.now)
            run = harness.request(2, organisation="o", deadline_s=deadline_s)
            run.exchange.is_started = is_started
            room, found = harness.reserve(run, script, room=reservation_class(run=run))
            result = outcome(harness, run, room, found)
            if found is None and not is_started:
                if reservation_class is ReferenceReservation:
                    result["refusal"] = reference_refusal(run, room)
                else:
                    harness.refuse(run, room)
                    kind, fields = harness.log.lines[-1]
                    assert kind is Decision.REQUEST_REFUSED
                    result["refusal"] = Code(fields["outcome"]), fields["retry_after_s"]
            results.append(result)
    assert results[0] == results[1]


@each_unordered_mode
def test_no_state_of_an_order_is_kept_logged_or_reported(monkeypatch, options):
    """Guards against notices and log lines that grow although no order is in force."""
    harness = RoomHarness(monkeypatch, organisations=[organisation("o", rate_per_s=5.0)], **options)
    run = harness.request(2, organisation="o")
    room, found = harness.reserve(run, [FULL, FULL, GRANTED])
    assert found is not None and not run.is_held_back
    state = harness.state
    assert state.ranked_room_by_service == {} and state.use_by_service == {}
    assert queue_log_fields(run) == {}


@each_unordered_mode
def test_engines_get_priorities_instead_of_ranks(monkeypatch, options):
    """Guards against ranks in place of priorities at engines and permits. The priority is that of
    the organisation if it has one, else that of the route.
    """
    harness = RoomHarness(
        monkeypatch, organisations=[organisation("o", priority=7), organisation("p")], **options
    )
    assert harness.request(2, organisation="o").rank == 7
    assert harness.request(2, organisation="p").rank == 2
    assert harness.request(2).rank == 2


@each_unordered_mode
def test_the_refusal_by_a_full_service_is_unchanged(monkeypatch, options):
    """Guards against another status, code or header in the response."""
    harness = RoomHarness(monkeypatch, **options)
    harness.state.room("llm").note_waited(50.0, harness.now)
    run = harness.request(2, deadline_s=8.0)
    room, found = harness.reserve(run, [FULL])
    assert found is None
    run.refuse(room.code, Ran.NOT_RUN, room.detail)
    head = run.connection.sent
    assert head.startswith(b"HTTP/1.1 503") and b'"no_capacity"' in head
    # The limit is 0.32 of the remaining 8 s, less up to 10% of jitter.
    assert 2.304 <= float(head.split(b"retry-after: ")[1].split(b"\r\n")[0]) <= 2.56
