"""Callers that read slowly: what the box holds for them, its bounds, and who is ended."""

import asyncio
import socket
import struct

import msgspec
import pytest
from platform_fleet import ask, config, fleet, request_bytes, route, run, until
from stream_fleet import engines

from croftchute.router_settings import Conditions
from croftchute.systems.held_bytes import HeldBounds

MEMORY_MB = 64.0

EVENTS = 1500
EVENT_BYTES = 1000
"""A stream of 1.5 MB: many times what sockets and transports keep between worker and caller."""

UNREAD_S = 0.4
"""Seconds after which the stand-in worker cuts off a stream that is not read."""

SMALL_BUFFER = 4096
"""Bytes for the buffer of a socket, so that a slow caller is noticed early."""

LONG = {"events": EVENTS, "event_bytes": EVENT_BYTES, "unread_s": UNREAD_S}


class SlowCaller:
    """A caller on a connection with small buffers that reads only when it is told to."""

    def __init__(self, reader, writer):
        self.reader = reader
        self.writer = writer

    @classmethod
    async def connect(cls, box):
        raw = socket.socket()
        raw.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, SMALL_BUFFER)
        raw.setblocking(False)
        await asyncio.get_running_loop().sock_connect(raw, ("127.0.0.1", box.ingress.port))
        reader, writer = await asyncio.open_connection(sock=raw, limit=SMALL_BUFFER)
        port = raw.getsockname()[1]

        def at_box():
            found = [c.transport.get_extra_info("socket") for c in box.ingress.connections]
            return [s for s in found if s.getpeername()[1] == port]

        await until(at_box)
        at_box()[0].setsockopt(socket.SOL_SOCKET, socket.SO_SNDBUF, SMALL_BUFFER)
        return cls(reader, writer)

    @classmethod
    async def ask(cls, box, path, request_id="r1", **options):
        caller = await cls.connect(box)
        caller.writer.write(request_bytes(path, request_id, **options))
        return caller

    async def read_all(self):
        """All bytes until the chunked answer ends, or the connection does."""
        got = bytearray()
        try:
            while part := await self.reader.read(65536):
                got += part
                if got.endswith(b"\r\n0\r\n\r\n"):
                    return bytes(got), True
        except ConnectionError:
            pass
        return bytes(got), False

    def leave(self):
        self.writer.transport.abort()


def log_of(box, monkeypatch):
    """The lines that a box writes from now on."""
    lines = []
    write = box.state.log.decide

    def decide(kind, **inputs):
        lines.append((kind.value, inputs))
        write(kind, **inputs)

    monkeypatch.setattr(box.state.log, "decide", decide)
    return lines


def bounded(box, *, box_bytes, stream_bytes=4_000_000):
    box.held.count.bounds = HeldBounds(box_bytes=box_bytes, stream_bytes=stream_bytes)


def test_a_caller_that_reads_slowly_gets_its_whole_answer_after_the_worker_was_read_to_its_end():
    """The fault: the worker was not read while the caller paused, and cut the answer off."""

    async def body():
        async with fleet() as made:
            box, decode, _ = await engines(made, decodes=1, memory_mb=MEMORY_MB, **LONG)
            bounded(box, box_bytes=16_000_000)
            caller = await SlowCaller.ask(box, "/stream/x")
            await until(lambda: decode[0].finished)
            assert box.held.count.total > EVENTS * EVENT_BYTES // 2
            got, is_whole = await caller.read_all()
            assert is_whole and got.count(b"data: token-") == EVENTS
            assert decode[0].cut_off == []
            await until(lambda: box.held.count.total == 0 and box.held.count.open_streams == 0)

    run(body)


def test_without_a_known_memory_the_worker_is_left_unread_as_before(monkeypatch):
    """The fault: a box whose memory is not known changed what it holds, and how."""

    async def body():
        async with fleet() as made:
            box, decode, _ = await engines(made, decodes=1, **LONG)
            lines = log_of(box, monkeypatch)
            caller = await SlowCaller.ask(box, "/stream/x")
            await until(lambda: decode[0].cut_off)
            assert box.held.count.total == 0 and box.held.count.open_streams == 0
            (connection,) = box.ingress.connections
            assert connection.transport.get_write_buffer_limits() == (16384, 65536)
            assert connection.writer.is_held_up and not connection.writer.has_unsent
            _, is_whole = await caller.read_all()
            assert not is_whole
            assert not any(kind == "slow_caller_ended" for kind, _ in lines)

    run(body)


def test_beyond_the_bound_of_one_answer_its_worker_is_not_read_and_others_go_on():
    """The fault: one caller that does not read took memory without end."""

    async def body():
        async with fleet() as made:
            options = {"events": EVENTS, "event_bytes": EVENT_BYTES}
            box, decode, _ = await engines(made, decodes=1, memory_mb=MEMORY_MB, **options)
            bounded(box, box_bytes=16_000_000, stream_bytes=200_000)
            caller = await SlowCaller.ask(box, "/stream/x")
            await until(lambda: box.held.count.total >= 200_000)
            await asyncio.sleep(0.2)
            # At most one reading of the worker's socket comes on top of the bound.
            assert box.held.count.total <= 200_000 + 256 * 1024
            assert (await ask(box, "/stream/y", "r2")).is_whole
            got, is_whole = await caller.read_all()
            assert is_whole and got.count(b"data: token-") == EVENTS
            assert box.state.workers.tracked_by_id["d0"].failure_score(box.state.clock()) == 0.0

    run(body)


def test_beyond_the_boxs_bound_the_answer_that_holds_the_most_is_reset(monkeypatch):
    """The fault: the box ran out of memory, or the caller that came last paid for another."""

    async def body():
        async with fleet() as made:
            box, decode, _ = await engines(made, decodes=1, memory_mb=MEMORY_MB, **LONG)
            made.workers_by_id["d0"].unread_s = 5.0
            lines = log_of(box, monkeypatch)
            bounded(box, box_bytes=16_000_000)
            large = await SlowCaller.ask(box, "/stream/x", "large")
            await until(lambda: "large" in decode[0].finished)
            decode[0].events = 400
            small = await SlowCaller.ask(box, "/stream/x", "small")
            await until(lambda: "small" in decode[0].finished)
            held = box.held.count.total
            bounded(box, box_bytes=held + 50_000)
            decode[0].events = 300
            third = await SlowCaller.ask(box, "/stream/x", "third")
            await until(lambda: "third" in decode[0].finished)
            got, is_whole = await large.read_all()
            assert not is_whole and got.count(b"data: token-") < EVENTS
            for caller, events in ((small, 400), (third, 300)):
                got, is_whole = await caller.read_all()
                assert is_whole and got.count(b"data: token-") == events
            (facts,) = [facts for kind, facts in lines if kind == "slow_caller_ended"]
            assert facts["request_id"] == "large"
            assert facts["held_in_all"] > facts["box_bound"] == held + 50_000
            assert facts["held_bytes"] > 1_000_000 and facts["stream_bound"] > 0
            assert facts["age_s"] >= 0.0
            assert b"croftchute_slow_callers_ended_total 1" in box.state.metrics.text()
            assert [facts["request_id"] for kind, facts in lines if kind == "request_broken"] == [
                "large"
            ]

    run(body)


def test_whole_answers_count_while_they_wait_for_their_caller():
    """The fault: whole answers of megabytes to callers that do not read escaped the bound."""

    async def body():
        async with fleet() as made:
            worker = await made.add_worker("w1", answer_bytes=1_000_000)
            box = await made.add_box(memory_mb=MEMORY_MB)
            await made.ready(box)
            bounded(box, box_bytes=1_500_000)
            first = await SlowCaller.ask(box, "/safe/x", "r1")
            await until(lambda: box.held.count.total > 800_000)
            worker.answer_bytes = 900_000
            second = await SlowCaller.ask(box, "/safe/x", "r2")
            await until(lambda: box.held.count.open_streams == 1 and box.held.count.total > 700_000)
            assert box.held.count.total <= 1_500_000
            with pytest.raises(ConnectionError):
                while await first.reader.read(65536):
                    pass
            head = await second.reader.readuntil(b"\r\n\r\n")
            assert b"content-length: 900000" in head.lower()
            assert len(await second.reader.readexactly(900_000)) == 900_000
            await until(lambda: box.held.count.total == 0)

    run(body)


@pytest.mark.parametrize("way", ["reset", "half_closed", "closed"])
@pytest.mark.parametrize(("path", "service"), [("/stream/x", "llm"), ("/safe/x", "desk")])
def test_a_caller_that_leaves_frees_what_was_held_for_it_at_once(path, service, way):
    """The fault: bytes for callers that had left stayed until the transport gave them up."""

    async def body():
        async with fleet() as made:
            await made.add_worker("w1", answer_bytes=1_500_000)
            box, _, _ = await engines(made, decodes=1, memory_mb=MEMORY_MB, **LONG)
            bounded(box, box_bytes=16_000_000)
            caller = await SlowCaller.ask(box, path)
            await until(lambda: box.held.count.total > 1_000_000)
            left_at = box.state.clock()
            if way == "reset":
                linger = struct.pack("ii", 1, 0)
                raw = caller.writer.get_extra_info("socket")
                raw.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, linger)
                caller.leave()
            elif way == "half_closed":
                caller.writer.write_eof()
            else:
                caller.writer.close()
            await until(lambda: box.held.count.total == 0 and not box.ingress.connections)
            assert box.state.clock() - left_at < 0.5

    run(body)


@pytest.mark.parametrize("path", ["/stream/x", "/safe/x"])
def test_the_callers_deadline_ends_an_answer_that_it_does_not_read(path, monkeypatch):
    """The fault: once the worker was read to its end, nothing ended the caller's request."""

    async def body():
        async with fleet() as made:
            await made.add_worker("w1", answer_bytes=1_500_000)
            box, decode, _ = await engines(made, decodes=1, memory_mb=MEMORY_MB, **LONG)
            lines = log_of(box, monkeypatch)
            bounded(box, box_bytes=16_000_000)
            begun_at = box.state.clock()
            caller = await SlowCaller.ask(box, path, deadline=800)
            await until(lambda: box.held.count.total > 1_000_000)
            await until(lambda: box.held.count.open_streams == 0)
            assert 0.7 < box.state.clock() - begun_at < 1.5
            _, is_whole = await caller.read_all()
            assert not is_whole
            kinds = [kind for kind, _ in lines]
            assert "request_broken" in kinds and "request_answered" not in kinds

    run(body)


def test_a_caller_that_is_slow_beyond_its_bound_is_not_held_against_the_worker(monkeypatch):
    """The fault: the worker counted as late because the caller did not read in its time."""

    async def body():
        async with fleet() as made:
            options = {"events": EVENTS, "event_bytes": EVENT_BYTES}
            box, decode, _ = await engines(made, decodes=1, memory_mb=MEMORY_MB, **options)
            lines = log_of(box, monkeypatch)
            bounded(box, box_bytes=16_000_000, stream_bytes=100_000)
            caller = await SlowCaller.ask(box, "/stream/x", deadline=600)
            await until(lambda: any(kind == "request_broken" for kind, _ in lines))
            _, is_whole = await caller.read_all()
            assert not is_whole
            outcomes = [facts["outcome"] for kind, facts in lines if kind == "attempt_ended"]
            assert outcomes == ["caller_slow"]
            tracked = box.state.workers.tracked_by_id["d0"]
            assert tracked.failure_score(box.state.clock()) == 0.0

    run(body)


def test_a_stream_without_chunks_is_closed_once_all_of_it_was_read():
    """The fault: for HTTP/1.0 the connection closed before what was held had been sent."""

    async def body():
        routes = [route("stream", "/stream/", "streaming", "llm", MaxAttempts=1)]
        async with fleet(config=config(routes=routes)) as made:
            box, decode, _ = await engines(made, decodes=1, memory_mb=MEMORY_MB, **LONG)
            bounded(box, box_bytes=16_000_000)
            caller = await SlowCaller.connect(box)
            caller.writer.write(request_bytes("/stream/x").replace(b" HTTP/1.1", b" HTTP/1.0", 1))
            await until(lambda: decode[0].finished)
            got = await caller.reader.read()
            assert got.count(b"data: token-") == EVENTS
            await until(lambda: box.held.count.open_streams == 0)

    run(body)


def test_a_reload_brings_the_bounds_into_force_for_the_next_request(tmp_path):
    """The fault: a change of the memory took effect only after a restart."""

    async def body():
        async with fleet() as made:
            box, decode, _ = await engines(made, decodes=1, **LONG)
            caller = await SlowCaller.connect(box)
            box.settings_path = tmp_path / "box.json"

            def reload(memory_mb):
                changed = msgspec.structs.replace(
                    box.settings, memory_mb=memory_mb, conditions=Conditions(pressure=True)
                )
                box.settings_path.write_bytes(msgspec.json.encode(changed))
                box.reload("signal")

            reload(MEMORY_MB)
            assert box.held.count.bounds == HeldBounds(box_bytes=16_000_000)
            bounded(box, box_bytes=16_000_000)
            caller.writer.write(request_bytes("/stream/x"))
            await until(lambda: decode[0].finished)
            _, is_whole = await caller.read_all()
            assert is_whole
            reload(0.0)
            assert box.held.count.bounds is None
            assert (await ask(box, "/stream/y", "r2")).is_whole
            assert box.held.count.total == 0 and box.held.count.open_streams == 0

    run(body)


def test_a_deployment_where_nobody_reads_slowly_has_no_bounds():
    """The memory of a box is told everywhere; its bounds change how answers are passed on."""

    async def body():
        async with fleet() as made:
            box = await made.add_box(memory_mb=MEMORY_MB)
            quiet = msgspec.structs.replace(box.settings, conditions=Conditions())
            assert box.settings.held_memory_mb == MEMORY_MB
            assert quiet.held_memory_mb == 0.0

    run(body)
