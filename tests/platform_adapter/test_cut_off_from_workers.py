"""Boxes that lose their links to all workers while clients, the store and peers still reach them.

Guards against RECOVER: such boxes answered none of their clients for as long as the cut lasted.
"""

import asyncio
from collections import Counter

import pytest
from platform_fleet import ask, fleet, run, until
from worker_links import CUTS, link_box

from croftchute.soak.proxy import LinkFault

CONTACT_S = 3.0
ROUNDS = 15
ROUND_S = 0.1
SIX_BOXES_ROUND_S = 2.0 * ROUND_S
"""As many requests a second over six boxes as over three: one process runs all of them."""

PATHS = ("/safe/a", "/once/a", "/stream/a", "/resume/a")

MIN_SHARE_SERVED = 2 / 3
"""Share of the others' success rate that boxes in the cut must reach."""

MAX_FAILED = 10
"""First tries that may fail at boxes in the cut, beside one in fifty."""


async def linked_boxes(made, count, halls="abc"):
    """Boxes in halls of their own, each with its own links to three plain workers and engines."""
    for number in range(3):
        await made.add_worker(f"desk-{number}", work_s=0.01)
    for stage in ("prefill", "decode", "decode"):
        number = len(made.workers_by_id)
        await made.add_worker(f"engine-{number}", service="llm", stage=stage, gap_s=0.02)
    links = []
    for number in range(count):
        box = await made.add_box(f"box-{number}", zone=halls[number % len(halls)])
        links.append(await link_box(box, made.workers_by_id.values()))
    addresses = [("127.0.0.1", box.exchange.port) for box in made.boxes]
    for box in made.boxes:
        box.state.peers.seeds = tuple(addresses)
        await made.ready(box)
        await until(lambda box=box: len(box.state.peers.peers_by_id) == count - 1)
    return links


async def outcomes_by_box(made, *, rounds, paths=PATHS, prefix="r", round_s=ROUND_S):
    """Send one request of each path to each box in each round; count statuses by box."""
    found = [Counter() for _ in made.boxes]

    async def send(number, path, request_id):
        try:
            answer = await ask(made.boxes[number], path, request_id)
            is_served = answer.status == 200 and answer.is_whole
            found[number]["served" if is_served else str(answer.status)] += 1
        except (OSError, asyncio.IncompleteReadError) as error:
            found[number][type(error).__name__] += 1

    sending = []
    for step in range(rounds):
        for number in range(len(made.boxes)):
            for path in paths:
                name = f"{prefix}-{step}-{number}-{path.split('/')[1]}"
                sending.append(asyncio.create_task(send(number, path, name)))
        await asyncio.sleep(round_s)
    await asyncio.gather(*sending)
    return found


def assert_served(found, cut_off):
    """First tries at the boxes in the cut are served as RECOVER asks."""
    inside = sum((found[number] for number in cut_off), Counter())
    others = sum(
        (counts for number, counts in enumerate(found) if number not in cut_off), Counter()
    )
    rate = inside["served"] / inside.total()
    other_rate = others["served"] / others.total()
    failed = inside.total() - inside["served"]
    assert other_rate > 0.9, others
    is_served_less = rate < MIN_SHARE_SERVED * other_rate
    assert not is_served_less or failed <= MAX_FAILED + inside.total() / 50, (inside, others)


def assert_ran_as_promised(made):
    """No request that may run once ran twice."""
    runs = Counter()
    for worker in made.workers_by_id.values():
        runs.update(entry.request_id for entry in worker.runs)
    twice = [
        name for name, count in runs.items() if count > 1 and name.endswith(("once", "stream"))
    ]
    assert twice == []


@pytest.mark.parametrize("cut_off", [(0,), (0, 1)], ids=["one_box", "two_of_three"])
@pytest.mark.parametrize("fault", CUTS, ids=lambda fault: fault.value)
def test_boxes_without_links_to_workers_serve_like_the_others(fault, cut_off):
    async def body():
        async with fleet() as made:
            links = await linked_boxes(made, 3)
            try:
                before = await outcomes_by_box(made, rounds=3, prefix="before")
                assert all(counts["served"] == counts.total() for counts in before), before
                for number in cut_off:
                    await links[number].cut(fault)
                await outcomes_by_box(made, rounds=int(CONTACT_S / ROUND_S), prefix="early")
                found = await outcomes_by_box(made, rounds=ROUNDS, prefix="late")
                assert_served(found, cut_off)
                assert_ran_as_promised(made)
                for number in cut_off:
                    await links[number].heal()
                await asyncio.sleep(CONTACT_S)
                after = await outcomes_by_box(made, rounds=3, prefix="after")
                assert all(counts["served"] == counts.total() for counts in after), after
            finally:
                for each in links:
                    each.stop()

    run(body)


@pytest.mark.parametrize("cut_off", [(0, 1, 2), (0, 1, 2, 3)], ids=["whole_hall", "most_boxes"])
@pytest.mark.parametrize("fault", [LinkFault.HANGING, LinkFault.CLOSED], ids=lambda f: f.value)
def test_a_whole_hall_or_most_boxes_in_a_cut_serve_like_the_others(fault, cut_off):
    async def body():
        async with fleet() as made:
            links = await linked_boxes(made, 6, halls="aaabbc")
            try:
                for number in cut_off:
                    await links[number].cut(fault)
                early = int(CONTACT_S / SIX_BOXES_ROUND_S)
                await outcomes_by_box(made, rounds=early, prefix="early", round_s=SIX_BOXES_ROUND_S)
                found = await outcomes_by_box(
                    made, rounds=ROUNDS, prefix="late", round_s=SIX_BOXES_ROUND_S
                )
                assert_served(found, cut_off)
                assert_ran_as_promised(made)
            finally:
                for each in links:
                    each.stop()

    run(body)
