"""Plain calls through the adapter: what runs where, how often, and what the caller hears."""

import asyncio

import pytest
from platform_fleet import ask, config, fleet, read_answer, request_bytes, route, run, until


def test_a_call_is_answered_unchanged_with_the_workers_proof():
    async def body():
        async with fleet() as made:
            worker = await made.add_worker("w1")
            box = await made.add_box()
            await made.ready(box)
            answer = await ask(box, "/once/x?q=1", "r1")
            assert answer.status == 200
            assert answer.body == b"answer of w1 to r1"
            assert "x-croftchute-server-stamp" in answer.headers
            got = worker.received[-1]
            assert (got.method, got.path, got.body) == ("POST", "/once/x?q=1", b"hello")
            assert got.headers["x-croftchute-expect-instance"] == "w1"
            assert 0 < int(got.headers["x-croftchute-deadline-ms"]) <= 5000

    run(body)


def test_headers_that_the_router_sets_are_not_taken_from_callers():
    async def body():
        async with fleet() as made:
            worker = await made.add_worker("w1")
            box = await made.add_box()
            await made.ready(box)
            forged = (
                "X-Croftchute-Stage: prefill",
                "X-Croftchute-Expect-Instance: nobody",
                "X-Croftchute-Kv-Source: 10.0.0.1:1/x",
                "Connection: X-Private",
                "X-Private: 1",
                "X-Kept: yes",
            )
            answer = await ask(box, "/safe/x", extra=forged)
            assert answer.status == 200
            headers = worker.received[-1].headers
            assert "x-croftchute-stage" not in headers
            assert "x-croftchute-kv-source" not in headers
            assert "x-private" not in headers
            assert headers["x-kept"] == "yes"
            assert headers["x-croftchute-expect-instance"] == "w1"

    run(body)


@pytest.mark.parametrize(
    "fault", ["resets_before_answer", "cuts_body", "lacks_stamp", "is_full", "status_500"]
)
def test_a_repeatable_call_is_put_to_another_worker(fault):
    async def body():
        async with fleet() as made:
            bad = await made.add_worker("bad")
            good = await made.add_worker("good", zone="far")
            box = await made.add_box()
            await made.ready(box)
            if fault == "status_500":
                bad.faults.status = 500
            else:
                setattr(bad.faults, fault, True)
            answer = await ask(box, "/safe/x", "r1")
            assert (answer.status, answer.body) == (200, b"answer of good to r1")
            assert bad.received and good.runs_of("r1") == 1

    run(body)


@pytest.mark.parametrize(
    ("fault", "status"),
    [("resets_before_answer", 502), ("cuts_body", 502), ("lacks_stamp", 502)],
)
def test_a_call_that_may_have_run_is_not_sent_again_and_not_called_not_run(fault, status):
    async def body():
        async with fleet() as made:
            workers = [await made.add_worker(name) for name in ("w1", "w2")]
            box = await made.add_box()
            await made.ready(box)
            for worker in workers:
                setattr(worker.faults, fault, True)
            answer = await ask(box, "/once/x", "r1")
            assert answer.status == status
            assert "x-croftchute-server-stamp" not in answer.headers
            assert "retry-after" not in answer.headers
            assert sum(worker.runs_of("r1") for worker in workers) == 1

    run(body)


def test_a_call_that_did_not_run_is_told_so_with_a_time_to_come_back():
    async def body():
        async with fleet() as made:
            worker = await made.add_worker("w1")
            box = await made.add_box()
            await made.ready(box)
            worker.faults.is_full = True
            answer = await ask(box, "/once/x", "r1")
            assert answer.status == 503
            assert float(answer.headers["retry-after"]) > 0
            assert worker.ran == []

    run(body)


def test_a_once_only_call_goes_to_no_more_workers_than_its_route_allows():
    async def body():
        async with fleet() as made:
            workers = [await made.add_worker(name) for name in ("w1", "w2", "w3")]
            box = await made.add_box()
            await made.ready(box)
            for worker in workers:
                worker.faults.is_full = True
            await ask(box, "/once/x", "r1")
            assert sum(len(worker.received) for worker in workers) == 1

    run(body)


def test_a_worker_that_cannot_be_reached_costs_no_attempt():
    async def body():
        async with fleet() as made:
            dead = await made.add_worker("dead")
            await made.add_worker("good", zone="far")
            box = await made.add_box()
            await made.ready(box)
            dead.stop()
            answer = await ask(box, "/once/x", "r1")
            assert (answer.status, answer.body) == (200, b"answer of good to r1")

    run(body)


def test_a_workers_own_failure_comes_back_unchanged():
    async def body():
        async with fleet() as made:
            worker = await made.add_worker("w1")
            box = await made.add_box()
            await made.ready(box)
            worker.faults.status = 500
            answer = await ask(box, "/once/x", "r1")
            assert answer.status == 500
            assert answer.headers["x-croftchute-server-stamp"]
            assert worker.runs_of("r1") == 1

    run(body)


def test_a_failure_status_that_promises_not_run_is_not_passed_on_unless_it_is_so():
    async def body():
        async with fleet() as made:
            worker = await made.add_worker("w1")
            box = await made.add_box()
            await made.ready(box)
            worker.faults.status = 503
            answer = await ask(box, "/once/x", "r1")
            assert answer.status == 502
            assert "x-croftchute-server-stamp" not in answer.headers

    run(body)


def test_an_answer_to_another_request_is_passed_over():
    async def body():
        async with fleet() as made:
            worker = await made.add_worker("w1")
            box = await made.add_box()
            await made.ready(box)
            worker.faults.sends_surplus_first = True
            answer = await ask(box, "/once/x", "r1")
            assert answer.body == b"answer of w1 to r1"

    run(body)


@pytest.mark.parametrize("is_cut", [False, True])
def test_an_answer_without_a_length_is_whole_only_if_it_ended_in_order(is_cut):
    async def body():
        async with fleet() as made:
            worker = await made.add_worker("w1")
            box = await made.add_box()
            await made.ready(box)
            worker.faults.is_unframed = True
            worker.faults.cuts_body = is_cut
            answer = await ask(box, "/once/x", "r1")
            assert answer.status == (502 if is_cut else 200)

    run(body)


def test_another_worker_at_the_address_is_noticed_and_not_asked_again():
    async def body():
        async with fleet() as made:
            worker = await made.add_worker("w1")
            await made.add_worker("w2", zone="far")
            box = await made.add_box()
            await made.ready(box)
            worker.id = "somebody-else"
            answer = await ask(box, "/safe/x", "r1")
            assert answer.body == b"answer of w2 to r1"
            assert box.state.workers.tracked_by_id["w1"].displaced

    run(body)


def test_a_caller_that_leaves_ends_the_work_at_the_worker():
    async def body():
        async with fleet() as made:
            worker = await made.add_worker("w1", work_s=30.0)
            box = await made.add_box()
            await made.ready(box)
            reader, writer = await asyncio.open_connection("127.0.0.1", box.ingress.port)
            writer.write(request_bytes("/safe/x", "r1"))
            await until(lambda: worker.ran == ["r1"])
            writer.transport.abort()
            await until(lambda: worker.dropped == ["r1"])
            assert box.state.workers.tracked_by_id["w1"].in_flight == 0

    run(body)


def test_a_request_that_is_too_late_gets_its_answer_at_the_routes_time_out():
    async def body():
        routes = [route("once", "/once/", "non_idempotent", "desk", TimeoutMs=200)]
        async with fleet(config=config(routes=routes)) as made:
            worker = await made.add_worker("w1")
            box = await made.add_box()
            await made.ready(box)
            worker.faults.is_silent = True
            answer = await ask(box, "/once/x", "r1")
            assert answer.status == 504
            await until(lambda: worker.dropped == ["r1"])

    run(body)


def test_connections_to_workers_are_kept():
    async def body():
        async with fleet() as made:
            worker = await made.add_worker("w1")
            box = await made.add_box()
            await made.ready(box)
            for number in range(5):
                await ask(box, "/once/x", f"r{number}")
            assert worker.connections == 1

    run(body)


def test_a_caller_may_keep_its_connection_and_send_ahead():
    async def body():
        async with fleet() as made:
            await made.add_worker("w1")
            box = await made.add_box()
            await made.ready(box)
            reader, writer = await asyncio.open_connection("127.0.0.1", box.ingress.port)
            writer.write(request_bytes("/once/x", "r1") + request_bytes("/once/x", "r2"))
            first, second = await read_answer(reader), await read_answer(reader)
            assert first.body.endswith(b"r1") and second.body.endswith(b"r2")
            writer.close()

    run(body)


def test_a_path_without_a_route_is_404_and_no_configuration_is_503():
    async def body():
        async with fleet() as made:
            await made.add_worker("w1")
            box = await made.add_box()
            early = await ask(box, "/once/x", "r0")
            assert early.status in (200, 503)
            await made.ready(box)
            assert (await ask(box, "/none/x", "r1")).status == 404

    run(body)


def test_the_retry_budget_ends_repeats():
    async def body():
        async with fleet() as made:
            workers = [await made.add_worker(name) for name in ("w1", "w2")]
            box = await made.add_box()
            await made.ready(box)
            for worker in workers:
                worker.faults.status = 500
            for number in range(60):
                await ask(box, "/safe/x", f"r{number}")
            arrivals = sum(len(worker.received) for worker in workers)
            limits = box.state.retry_limits
            assert 60 < arrivals <= 60 + limits.ratio * 60 + limits.slack

    run(body)
