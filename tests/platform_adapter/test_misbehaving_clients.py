"""Crowds of clients that don't behave, before a box that is a process of its own.

The box has the memory of the smallest machines in use. A crowd may be refused or closed; the
process has to live within its memory and its descriptors, and an ordinary caller that tries again
has to be served, beside the crowd and after it.
"""

import asyncio
import socket

import pytest
from box_process import LISTENERS, PeakMeter, box_process, is_ready
from client_crowd import (
    BODY,
    MAX_BODY_BYTES,
    MAX_HEADER_BYTES,
    ONE_BYTE_CHUNK,
    Crowd,
    begun_head,
    cookies_and_targets,
    endless_chunk_extension,
    endless_header,
    endless_trailers,
    head_bytes,
    idle,
    one_byte_chunks,
    pipelined_bodies,
    pipelined_heads,
    short_body,
    short_body_after_continue,
    short_body_in_pieces,
    unfinished_head,
    unread_answer,
    unread_stream,
    whole_body,
)
from platform_fleet import config, fleet, read_answer, request_bytes, route

MEMORY_MB = 150
MAX_FDS = 4100
FEW_FDS = 400
ANSWER_BYTES = 2 << 20

FALLEN_BACK_BYTES = 4 * MAX_BODY_BYTES
"""What a box may have beyond what it had before, once a crowd has left: four largest requests."""

CROWD_BYTES_A_CALL = MAX_BODY_BYTES
"""Most bytes that the box may take from a crowd while one ordinary call waits for its answer."""

TEST_TIMEOUT_S = 120.0

LIMITS = {
    "MaxHeaderBytes": MAX_HEADER_BYTES,
    "MaxBodyBytes": MAX_BODY_BYTES,
    "HeaderTimeoutMs": 3000,
    "IdleTimeoutMs": 15000,
}

PRESSURE = pytest.mark.parametrize("pressure", [False, True], ids=["calm", "pressure"])


def run(test):
    async def limited():
        async with asyncio.timeout(TEST_TIMEOUT_S):
            await test()

    asyncio.run(limited())


def crowd_config():
    routes = [
        route("safe", "/safe/", "idempotent", "desk", TimeoutMs=60_000),
        route("once", "/once/", "non_idempotent", "desk", MaxAttempts=1, TimeoutMs=60_000),
        route("stream", "/stream/", "streaming", "llm", MaxAttempts=1, TimeoutMs=60_000),
    ]
    return config(routes=routes, limits=LIMITS)


class Site:
    """A box, its workers and an ordinary caller."""

    def __init__(self, *, made, box):
        self.made = made
        self.box = box
        self._calls = 0

    def answer_with(self, size):
        for name in ("w1", "w2"):
            self.made.workers_by_id[name].answer_bytes = size

    def work_for(self, seconds):
        for name in ("w1", "w2"):
            self.made.workers_by_id[name].work_s = seconds

    async def call(self):
        """One ordinary request, tried again until it is answered."""
        while True:
            self._calls += 1
            if await self._try(request_bytes("/safe/x", f"ordinary{self._calls}")):
                return
            await asyncio.sleep(0.05)

    async def _try(self, data):
        try:
            answer = await self.ask(data)
        except (ConnectionError, asyncio.IncompleteReadError):
            assert self.box.is_alive
            return False
        return answer.status == 200 and answer.is_whole

    async def ask(self, data, *, listener="callers"):
        port = self.box.port_by_listener[listener]
        reader, writer = await asyncio.open_connection("127.0.0.1", port)
        try:
            writer.write(data)
            return await read_answer(reader)
        finally:
            writer.close()

    async def falls_back_to(self, size):
        """Wait until the box has no more memory than that; the whole test's time-out ends it."""
        while self.box.resident_bytes() + self.box.queued_bytes() > size:
            assert self.box.is_alive
            await asyncio.sleep(0.1)

    def received_ids(self):
        return [
            request.id for worker in self.made.workers_by_id.values() for request in worker.received
        ]


def site_test(tmp_path, test, *, max_fds=MAX_FDS, pressure=False):
    """Run a test before a box that has served each kind of request once."""

    async def body():
        async with fleet(config=crowd_config()) as made:
            for name in ("w1", "w2"):
                await made.add_worker(name)
            options = {"events": 40, "event_bytes": ANSWER_BYTES // 40}
            await made.add_worker("d0", service="llm", stage="decode", **options)
            conditions = {"pressure": pressure}
            terms = {"memory_mb": MEMORY_MB, "max_fds": max_fds, "conditions": conditions}
            async with box_process(made, tmp_path, **terms) as box:
                site = Site(made=made, box=box)
                await site.call()
                await site.ask(head_bytes("/safe/x", "calm", length=MAX_BODY_BYTES) + BODY)
                await test(site)

    run(body)


async def meet(site, crowd, *, settles=True):
    """Bring a crowd, have an ordinary caller served beside it and after it, and check the box."""
    box = site.box
    before = box.resident_bytes()
    async with PeakMeter(box=box) as peak:
        async with crowd:
            if settles:
                await crowd.settle()
            await site.call()
        await site.call()
    assert box.is_alive
    assert peak.memory_mb < MEMORY_MB
    assert peak.descriptors < MAX_FDS
    await site.falls_back_to(before + FALLEN_BACK_BYTES)


CROWDS = {
    "short_bodies": (40, [short_body]),
    "short_bodies_in_pieces": (40, [short_body_in_pieces]),
    "short_bodies_after_continue": (40, [short_body_after_continue]),
    "pipelined_bodies": (12, [pipelined_bodies]),
    "pipelined_heads": (60, [pipelined_heads]),
    "endless_trailers": (120, [endless_trailers]),
    "endless_headers": (40, [endless_header]),
    "endless_chunk_extensions": (40, [endless_chunk_extension]),
    "unfinished_heads": (400, [unfinished_head]),
    "cookies_and_targets": (400, [cookies_and_targets]),
}


@pytest.mark.parametrize("kind", CROWDS)
def test_a_crowd_of_one_kind_is_held_within_the_memory(tmp_path, kind):
    """The fault: the process takes what all clients send, and is ended for its memory."""
    count, kinds = CROWDS[kind]

    async def test(site):
        await meet(site, Crowd(port=site.box.port, kinds=kinds, count=count))

    site_test(tmp_path, test)


def test_whole_bodies_at_once_are_held_within_the_memory(tmp_path):
    """The fault: whole requests and their copies to slow workers have no bound together.

    What was refused has not run, and nothing runs twice that may not.
    """

    async def test(site):
        site.work_for(1.0)
        await meet(site, Crowd(port=site.box.port, kinds=[whole_body], count=60))
        ran = site.received_ids()
        crowd = [name for name in ran if name.startswith("crowd")]
        assert len(crowd) == len(set(crowd))

    site_test(tmp_path, test)


def test_a_whole_body_that_is_refused_has_not_run(tmp_path):
    """The fault it guards against: a refusal for lack of memory, of a request that a worker has."""

    async def post(site, name):
        data = head_bytes("/once/x", name, length=MAX_BODY_BYTES) + BODY
        try:
            return name, (await site.ask(data)).status
        except (ConnectionError, asyncio.IncompleteReadError):
            return name, None

    async def test(site):
        site.work_for(1.0)
        async with PeakMeter(box=site.box) as peak:
            outcomes = await asyncio.gather(*(post(site, f"whole{n}") for n in range(40)))
            await site.call()
        ran = site.received_ids()
        assert all(status in (200, 503, 408, None) for _, status in outcomes)
        assert any(status == 200 for _, status in outcomes)
        refused = {name for name, status in outcomes if status in (503, 408)}
        assert not refused & set(ran)
        assert {name for name, status in outcomes if status == 200} <= set(ran)
        assert peak.memory_mb < MEMORY_MB

    site_test(tmp_path, test)


@PRESSURE
@pytest.mark.parametrize("framing", ["length", "chunks", "connection_end", "stream"])
def test_answers_that_nobody_reads_are_held_within_the_memory(tmp_path, framing, pressure):
    """The fault: what workers answer is held for callers that don't read, without a bound."""

    async def test(site):
        site.answer_with(ANSWER_BYTES)
        for name in ("w1", "w2"):
            faults = site.made.workers_by_id[name].faults
            faults.is_unframed = framing == "connection_end"
            faults.sends_chunks = framing == "chunks"
        kind = unread_stream if framing == "stream" else unread_answer
        await meet(site, Crowd(port=site.box.port, kinds=[kind], count=80))

    site_test(tmp_path, test, pressure=pressure)


def test_ordinary_callers_are_served_beside_chunks_of_one_byte(tmp_path):
    """The fault: the box is at work on small pieces alone, and ordinary callers wait for ever.

    What the box takes from the crowd meanwhile is bounded, as its time for a byte there is.
    """

    async def test(site):
        box = site.box
        before = box.resident_bytes()
        async with PeakMeter(box=box) as peak:
            async with Crowd(port=box.port, kinds=[one_byte_chunks], count=24) as crowd:
                await asyncio.sleep(1.0)
                began_at = crowd.taken_bytes()
                for _ in range(10):
                    taken_before = crowd.taken_bytes()
                    await site.call()
                    assert crowd.taken_bytes() - taken_before < CROWD_BYTES_A_CALL
                # The box goes on reading the crowd: the check above isn't empty.
                while crowd.taken_bytes() <= began_at:
                    await asyncio.sleep(0.05)
            await site.call()
        assert peak.memory_mb < MEMORY_MB
        await site.falls_back_to(before + FALLEN_BACK_BYTES)

    site_test(tmp_path, test)


MIXTURE = [
    short_body,
    short_body_in_pieces,
    whole_body,
    pipelined_bodies,
    unread_answer,
    unread_stream,
    pipelined_heads,
    endless_trailers,
    cookies_and_targets,
    one_byte_chunks,
]


@PRESSURE
def test_several_kinds_together_and_a_second_crowd_are_held_within_the_memory(tmp_path, pressure):
    """The fault: each kind has a bound of its own, and together they pass the memory."""

    async def test(site):
        site.answer_with(ANSWER_BYTES)
        site.work_for(0.2)
        for number in range(2):
            crowd = Crowd(port=site.box.port, kinds=MIXTURE, count=80, name=f"crowd{number}")
            await meet(site, crowd, settles=False)

    site_test(tmp_path, test, pressure=pressure)


@pytest.mark.parametrize("kind", [short_body, endless_trailers, pipelined_heads])
@pytest.mark.parametrize("listener", LISTENERS[1:])
def test_crowds_at_the_other_addresses_are_held_within_the_memory(tmp_path, listener, kind):
    """The fault: only the callers' address has bounds."""

    async def test(site):
        port = site.box.port_by_listener[listener]
        await meet(site, Crowd(port=port, kinds=[kind], count=60))
        assert await is_ready(site.box.port_by_listener["health"])

    site_test(tmp_path, test)


@pytest.mark.parametrize("kind", [idle, begun_head])
@pytest.mark.parametrize("listener", LISTENERS)
def test_a_full_table_of_descriptors_does_not_stop_the_box(tmp_path, listener, kind):
    """The fault: clients take all descriptors, and no worker, store or box can be reached."""

    async def test(site):
        port = site.box.port_by_listener[listener]
        async with PeakMeter(box=site.box) as peak:
            async with Crowd(port=port, kinds=[kind], count=2 * FEW_FDS):
                await site.call()
                site.made.store.put("servers/w3", site.made.workers_by_id["w1"].entry("desk", "a"))
                await site.made.add_worker("w4")
                while not any(
                    line["worker"] == "w4" for line in site.box.decisions("worker_listed")
                ):
                    await asyncio.sleep(0.1)
                await site.call()
            await site.call()
        assert site.box.is_alive
        assert peak.descriptors < FEW_FDS

    site_test(tmp_path, test, max_fds=FEW_FDS)


def chunks_of_one_byte():
    return head_bytes("/safe/x", "chunks") + ONE_BYTE_CHUNK * MAX_BODY_BYTES + b"0\r\n\r\n"


def most_header_lines():
    """As many of the shortest lines as the limit on a head's bytes admits."""
    bare = head_bytes("/safe/x", "lines", length=0)
    count = (MAX_HEADER_BYTES - len(bare)) // len("a:\r\n") - 1
    return head_bytes("/safe/x", "lines", length=0, extra=["a:"] * count)


def longest_target():
    bare = head_bytes("/safe/x", "target", length=0)
    return head_bytes("/safe/" + "x" * (MAX_HEADER_BYTES - len(bare)), "target", length=0)


LARGEST = {
    "body": lambda: head_bytes("/safe/x", "largest", length=MAX_BODY_BYTES) + BODY,
    "chunked_body": lambda: head_bytes("/safe/x", "chunked")
    + b"%x\r\n%b\r\n0\r\n\r\n" % (MAX_BODY_BYTES, BODY),
    "chunks_of_one_byte": chunks_of_one_byte,
    "header_lines": most_header_lines,
    "target": longest_target,
}


@pytest.mark.parametrize("request_kind", LARGEST)
def test_a_single_request_inside_the_limits_is_served_in_calm(tmp_path, request_kind):
    """The fault it guards against: a bound that a request inside the pages' limits meets."""

    async def test(site):
        async with PeakMeter(box=site.box) as peak:
            answer = await site.ask(LARGEST[request_kind]())
        assert answer.status == 200
        assert peak.memory_mb < MEMORY_MB

    site_test(tmp_path, test)


def test_a_client_that_reads_a_largest_answer_slowly_is_served(tmp_path):
    """The fault it guards against: a bound on unread answers that closes slow honest callers."""

    async def test(site):
        site.answer_with(ANSWER_BYTES)
        loop = asyncio.get_running_loop()
        raw = socket.socket()
        raw.setblocking(False)
        await loop.sock_connect(raw, ("127.0.0.1", site.box.port))
        await loop.sock_sendall(raw, request_bytes("/safe/x", "slow", deadline=60_000))
        got = 0
        while got < ANSWER_BYTES:
            part = await loop.sock_recv(raw, 32768)
            assert part
            got += len(part)
            await asyncio.sleep(0.02)
        raw.close()

    site_test(tmp_path, test)
