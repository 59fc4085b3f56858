"""Answers whose status is none: they are broken, whoever sends them and whatever they answer.

Guards against a caller that gets such an answer, or that waits for one that has come.
"""

import asyncio
import contextlib

import pytest
from croftchute_platform.store import PlatformStore
from platform_fleet import ask, fleet, run, until
from stream_fleet import engines, prefer
from test_cut_off_from_workers import linked_boxes

from croftchute.errors import StoreError
from croftchute.forwarding.http.connection_pool import open_connection
from croftchute.forwarding.http.failures import ConnectionBrokenError
from croftchute.soak.proxy import LinkFault
from croftchute.steady_clock import steady_s

INVALID = ["000", "001", "099", "600", "700", "999"]
STAMP = b"X-Croftchute-Server-Stamp: 3e1b.07.5a2.600.0.c9f2a4d1\r\n"

OWN_FAILURE = 502
"""What a caller gets for a request that may have run, and whose answer was broken."""

each_invalid = pytest.mark.parametrize("status", INVALID)


@contextlib.asynccontextmanager
async def server(answer):
    """A server that answers each request, and keeps its connections open."""

    async def serve(reader, writer):
        with contextlib.suppress(ConnectionError, asyncio.IncompleteReadError):
            while True:
                await reader.readuntil(b"\r\n\r\n")
                writer.write(answer)

    made = await asyncio.start_server(serve, "127.0.0.1", 0)
    try:
        yield made.sockets[0].getsockname()[1]
    finally:
        made.close()


def answer_of(status, body=b"x", *lines):
    head = [b"HTTP/1.1 %b Odd" % status.encode(), b"Content-Length: %d" % len(body), *lines]
    return b"\r\n".join([*head, b"", b""]) + body


@each_invalid
def test_a_connection_takes_no_such_answer(status):
    async def body():
        async with server(answer_of(status)) as port:
            connection = await open_connection("127.0.0.1", port, 1.0)
            connection.send(b"GET / HTTP/1.1\r\n\r\n", expected=None)
            with pytest.raises(ConnectionBrokenError, match="status"):
                await connection.read_head()
            assert not connection.finish(0.0)

    run(body)


@pytest.mark.parametrize("status", ["100", "102", "199"])
def test_an_interim_answer_is_still_passed_over(status):
    async def body():
        interim = f"HTTP/1.1 {status} Interim\r\n\r\n".encode()
        async with server(interim + answer_of("200")) as port:
            connection = await open_connection("127.0.0.1", port, 1.0)
            connection.send(b"GET / HTTP/1.1\r\n\r\n", expected=None)
            assert (await connection.read_head()).status == 200
            assert await connection.read_body(100) == b"x"

    run(body)


@each_invalid
@pytest.mark.parametrize("path", ["/once/x", "/stream/x"])
def test_a_request_that_may_run_once_fails_and_no_such_answer_reaches_its_caller(status, path):
    async def body():
        async with fleet() as made:
            box, decode, _ = await engines(made, decodes=1)
            desk = await made.add_worker("w1")
            await made.ready(box)
            for worker in (*decode, desk):
                worker.faults.status_text = status
            # Long before the caller's time is over: the answer has come.
            async with asyncio.timeout(4.0):
                answer = await ask(box, path, deadline=5000)
            assert answer.status in (OWN_FAILURE, 503)
            assert "x-croftchute-server-stamp" not in answer.headers
            assert desk.runs_of("r1") + decode[0].runs_of("r1") <= 1

    run(body)


@each_invalid
@pytest.mark.parametrize(
    ("path", "bad", "good"), [("/safe/x", "w1", "w2"), ("/resume/x", "d0", "d1")]
)
def test_a_request_that_may_be_repeated_is_served_by_another_worker(status, path, bad, good):
    async def body():
        async with fleet() as made:
            box, _, _ = await engines(made, decodes=2)
            for name in ("w1", "w2"):
                await made.add_worker(name)
            await made.ready(box)
            made.workers_by_id[bad].faults.status_text = status
            for number in range(3):
                answer = await ask(box, path, f"r{number}", deadline=5000)
                assert answer.status == 200 and answer.is_whole
            assert made.workers_by_id[good].ran

    run(body)


@each_invalid
def test_a_stream_is_served_though_the_prefill_worker_answers_so(status):
    async def body():
        async with fleet() as made:
            box, _, prefill = await engines(made, decodes=1)
            prefill[0].faults.status_text = status
            for number in range(2):
                answer = await ask(box, "/resume/x", f"r{number}")
                assert answer.status == 200 and answer.is_whole
            assert prefill[0].received

    run(body)


@each_invalid
def test_control_calls_take_no_such_answer_for_an_absence_or_a_grant(status):
    """A decode worker that answers only calls for room so is passed over."""

    async def body():
        async with fleet() as made:
            box, decode, _ = await engines(made, decodes=2)
            decode[0].faults.control_status_text = status
            prefer(box, "d0")
            for number in range(2):
                answer = await ask(box, "/resume/x", f"r{number}")
                assert answer.status == 200 and answer.is_whole
            outcomes = box.state.metrics.requests.get_all()
            assert not [labels for labels, _ in outcomes if "status" in labels["outcome"]]

    run(body)


@each_invalid
def test_the_store_s_answer_is_no_answer(status):
    async def body():
        async with server(answer_of(status, b"{}")) as port:
            store = PlatformStore(
                host="127.0.0.1",
                port=port,
                clock=steady_s,
                observe=lambda transfer: None,
                note_odd_era=lambda *_: None,
            )
            with pytest.raises(StoreError, match="status"):
                await store.item("op/config")
            with pytest.raises(StoreError, match="status"):
                await store.grant_lease(1.0)

    run(body)


@each_invalid
def test_another_box_s_answer_does_not_reach_a_caller(status):
    async def body():
        async with fleet() as made:
            links = await linked_boxes(made, 2)
            try:

                async def answer_oddly(exchange):
                    marks = b"Croftchute-Forward: answered\r\n" + STAMP.rstrip(b"\r\n")
                    exchange._writer.write(answer_of(status, b"x", marks))
                    exchange.finish()

                made.boxes[1].control.handler = answer_oddly
                await links[0].cut(LinkFault.CLOSED)
                made.boxes[0].link_probe.request_round()
                await until(lambda: made.boxes[0].state.links.are_lost)
                async with asyncio.timeout(6.0):
                    answers = [await ask(made.boxes[0], path) for path in ("/once/x", "/safe/x")]
                assert {answer.status for answer in answers} <= {OWN_FAILURE, 503}
            finally:
                for each in links:
                    each.stop()

    run(body)
