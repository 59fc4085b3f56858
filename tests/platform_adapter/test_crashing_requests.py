"""An incident: one request ended fourteen workers of a service that has five.

Seen: workers of one service ended in groups, back after some seconds with new ids, and ended again;
meanwhile no caller of the service was answered. Each time a request with the same path, caller and
body had begun to run there a moment before.

How it came about: the request crashes each worker that begins to run it. A box sent it on to a
second worker, as it does with any broken answer; then the caller tried again at another box, which
had never heard of it, and so on. Up to twelve other streams were cut off with each worker.

Cause: what a failure told was kept about the worker alone. Nothing of it outlived the try or
reached another box, so that no box could tell a request that ends workers from one that met a bad
worker.

Proof: in the boxes' logs eight tries at five boxes, alike in route and size, stand at the ends of
thirteen workers, two for a try and never more; these tests bring the same about without any trouble
on links.
"""

from platform_fleet import ask, fleet, run, until
from stream_fleet import engines

CRASHES = b"crashes"
TRIES = 9
MOST_AFTER_THE_THIRD = 3
"""Tries that may reach workers after three have ended: news takes a moment from box to box."""


def ended(workers):
    return [worker for worker in workers if worker.has_crashed]


async def tell(box, other):
    """Send one box's present state to another, and wait until it is there."""
    name = box.state.box
    known = other.state.peers.peers_by_id.get(name)
    heard_at = known.heard_at if known else 0.0
    box.exchange.send_notices()
    await until(
        lambda: (peer := other.state.peers.peers_by_id.get(name)) and peer.heard_at > heard_at
    )


async def two_boxes(made, first):
    second = await made.add_box("box-2")
    await made.ready(second)
    first.state.peers.seeds = (("127.0.0.1", second.exchange.port),)
    second.state.peers.seeds = (("127.0.0.1", first.exchange.port),)
    await tell(first, second)
    await tell(second, first)
    return [first, second]


def test_a_request_that_ends_workers_is_not_run_without_an_end():
    async def body():
        async with fleet() as made:
            box, decode, _ = await engines(made, decodes=8, crashes_on=CRASHES)
            boxes = await two_boxes(made, box)
            for number in range(TRIES):
                here, there = boxes[number % 2], boxes[(number + 1) % 2]
                answer = await ask(here, "/resume/x", f"r{number}", body=CRASHES)
                assert answer.status in (502, 503)
                await tell(here, there)
            assert 3 <= len(ended(decode)) <= 3 + MOST_AFTER_THE_THIRD
            sound = await ask(boxes[0], "/resume/x", "sound", body=b"sound")
            assert sound.status == 200 and sound.is_whole

    run(body)


def test_a_plain_call_that_ends_workers_is_not_run_without_an_end():
    async def body():
        async with fleet() as made:
            workers = [await made.add_worker(f"w{n}", crashes_on=CRASHES) for n in range(8)]
            box = await made.add_box()
            await made.ready(box)
            boxes = await two_boxes(made, box)
            for number in range(TRIES):
                here, there = boxes[number % 2], boxes[(number + 1) % 2]
                answer = await ask(here, "/safe/x", f"r{number}", body=CRASHES)
                assert answer.status in (502, 503)
                await tell(here, there)
            assert 3 <= len(ended(workers)) <= 3 + MOST_AFTER_THE_THIRD
            sound = await ask(boxes[0], "/safe/x", "sound", body=b"sound")
            assert sound.status == 200

    run(body)
