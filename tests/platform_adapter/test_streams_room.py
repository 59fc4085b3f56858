"""Room at decode workers: asked for, waited for, refused, given back."""

import asyncio

import pytest
from platform_fleet import ask, fleet, request_bytes, run, until
from stream_fleet import engines, numbers, ran

from croftchute.forwarding.decision_log import Decision
from croftchute.forwarding.http.failures import AnswerLateError, ConnectFailedError
from croftchute.forwarding.workers.worker_call import WorkerCall
from croftchute.forwarding.workers.worker_control import acquire_hold
from croftchute.systems import timeouts


def test_a_prompt_that_no_engine_can_hold_is_refused_at_once():
    """It was asked for again and again, waited for, and asked back to be refused once more."""

    async def body():
        async with fleet() as made:
            box, decode, prefill = await engines(made)
            answer = await ask(box, "/stream/x", tokens="70000,80")
            assert answer.status == 503
            assert float(answer.headers["retry-after"]) == 60.0
            assert b"prompt_too_long" in answer.body
            assert [w.received for w in decode + prefill] == [[], [], []]

    run(body)


def test_full_decode_workers_refuse_before_any_prompt_is_read():
    async def body():
        async with fleet() as made:
            box, decode, prefill = await engines(made)
            for worker in decode:
                worker.faults.has_no_room = True
            answer = await ask(box, "/stream/x")
            assert answer.status == 503
            assert float(answer.headers["retry-after"]) > 0
            assert prefill[0].received == []
            assert ran(decode) == 0

    run(body)


def test_a_caller_that_leaves_while_its_prompt_is_read_leaves_no_hold_behind():
    async def body():
        async with fleet() as made:
            box, decode, prefill = await engines(made)
            prefill[0].work_s = 30.0
            reader, writer = await asyncio.open_connection("127.0.0.1", box.ingress.port)
            writer.write(request_bytes("/stream/x", "r1"))
            await until(lambda: prefill[0].received)
            assert any(worker.holds for worker in decode)
            writer.transport.abort()
            await until(lambda: prefill[0].dropped)
            await until(lambda: not any(worker.holds for worker in decode))
            assert ran(decode) == 0

    run(body)


def test_refusal_and_answer_of_many_streams_at_once_add_up():
    async def body():
        async with fleet() as made:
            box, decode, _ = await engines(made, decodes=3, events=3)
            answers = await asyncio.gather(
                *(ask(box, "/stream/x", f"r{number}") for number in range(60))
            )
            assert all(answer.status == 200 and answer.is_whole for answer in answers)
            for number in range(60):
                assert ran(decode, f"r{number}") == 1
            await until(lambda: not box.state.background)
            assert not any(worker.holds for worker in decode)

    run(body)


def test_a_begun_stream_waits_for_room_at_another_worker(monkeypatch):
    # Seven asks take longer than the usual 2 s where the machine is busy; how long a stream may
    # wait is not what is shown here.
    monkeypatch.setattr(timeouts, "RESUME_WAIT_S", 30.0)

    async def body():
        async with fleet() as made:
            box, decode, _ = await engines(made, decodes=1)
            decode[0].faults.hangs_after_events = 2
            good = await made.add_worker("good", service="llm", stage="decode", zone="far")
            good.faults.has_no_room = True
            await made.ready(box)
            asking = asyncio.create_task(ask(box, "/resume/x", "r1", deadline=8000))
            await until(lambda: len([r for r in good.received if r.path == "/hold-take"]) > 6)
            good.faults.has_no_room = False
            answer = await asking
            assert answer.is_whole and numbers(answer) == [1, 2, 3, 4]

    run(body)


def test_a_begun_stream_bears_an_ask_for_room_that_is_answered_late():
    """One answer after 80 ms ended its wait of two seconds, and the stream was broken off."""

    async def body():
        async with fleet() as made:
            box, decode, _ = await engines(made, decodes=1)
            decode[0].faults.hangs_after_events = 2
            good = await made.add_worker("good", service="llm", stage="decode", zone="far")
            answer_soundly, waits = good._answer, [2 * timeouts.HOLD_TIMEOUT_S, 0.0]

            async def answer(request, reader, writer):
                if request.path == "/hold-take":
                    await asyncio.sleep(waits.pop(0) if waits else 0.0)
                return await answer_soundly(request, reader, writer)

            good._answer = answer
            await made.ready(box)
            found = await ask(box, "/resume/x", "r1", deadline=8000)
            assert found.is_whole and numbers(found) == [1, 2, 3, 4]
            assert waits == []

    run(body)


def test_where_room_is_far_off_a_begun_stream_waits_and_a_new_request_is_refused_at_once(
    monkeypatch,
):
    monkeypatch.setattr(timeouts, "RESUME_WAIT_S", 30.0)

    async def body():
        async with fleet() as made:
            box, decode, _ = await engines(made, decodes=1)
            decode[0].faults.hangs_after_events = 2
            good = await made.add_worker("good", service="llm", stage="decode", zone="far")
            good.faults.has_no_room = True
            await made.ready(box)
            asking = asyncio.create_task(ask(box, "/resume/x", "r1", deadline=8000))
            await until(lambda: any(r.path == "/hold-take" for r in good.received))
            box.state.room("llm").note_waited(600.0, box.state.clock())
            decode[0].faults.has_no_room = True
            refused = await ask(box, "/stream/x", "r2")
            assert refused.status == 503
            asks = sum(r.path == "/hold-take" for r in good.received)
            await until(lambda: sum(r.path == "/hold-take" for r in good.received) > asks + 3)
            good.faults.has_no_room = False
            answer = await asking
            assert answer.is_whole and numbers(answer) == [1, 2, 3, 4]

    run(body)


def test_a_hold_at_a_worker_that_cannot_be_reached_any_more_is_dropped(monkeypatch):
    """The hold taken at the next worker took its place, and it stayed reserved till it lapsed."""
    opened = WorkerCall.open
    refused = []

    async def open_once_refused(self):
        if not self.send.is_prefill and not refused:
            refused.append(self.worker.id)
            raise ConnectFailedError("refused for the test")
        await opened(self)

    async def body():
        async with fleet() as made:
            box, _, _ = await engines(made)
            seen = []
            box.state.log.observer = seen.append
            answer = await ask(box, "/stream/x")
            assert answer.is_whole and refused
            await until(lambda: not box.state.background)
            assert seen.count(Decision.HOLD_DROPPED) == 1

    monkeypatch.setattr(WorkerCall, "open", open_once_refused)
    run(body)


def test_a_hold_that_is_granted_too_late_is_given_back():
    """It stayed reserved for nobody until it lapsed: the answer that names it was not read."""

    async def body():
        async with fleet() as made:
            box, decode, _ = await engines(made, decodes=1)
            granted = asyncio.Event()
            answer_soundly = decode[0]._answer

            async def answer(request, reader, writer):
                if request.path == "/hold-take":
                    await granted.wait()
                return await answer_soundly(request, reader, writer)

            decode[0]._answer = answer
            worker = box.state.workers.tracked_by_id[decode[0].id].worker
            with pytest.raises(AnswerLateError):
                await acquire_hold(box.state, worker, 100, 3600.0)
            granted.set()
            await until(lambda: not box.state.background)
            assert not decode[0].holds
            assert any(request.path.startswith("/hold-drop") for request in decode[0].received)

    run(body)
