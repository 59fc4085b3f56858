"""What tests of workers' limits share: callers at many boxes, and what reached a worker."""

from __future__ import annotations

import asyncio
from dataclasses import dataclass, field

from platform_fleet import ask, until

WINDOW_S = 4.0
"""Seconds over which a worker's limit is judged (the users' bound)."""

SLACK = 5
"""Requests that may come on top (the users' bound)."""

OVERAGE = 1.5
"""Times the limit that may come (the users' bound)."""

TOLD_S = 0.5
"""Seconds after a box passed on an answer that names a limit from which on it counts."""


def allowed(per_s):
    """Most requests in a window."""
    return OVERAGE * per_s * WINDOW_S + SLACK


def most_in_a_window(times):
    """The most of some moments that fall in one window."""
    times = sorted(times)
    return max((sum(t <= u <= t + WINDOW_S for u in times) for t in times), default=0)


def arrivals(worker, *, since=0.0):
    """When calls of any kind reached a worker."""
    return [request.at for request in worker.received if request.at >= since]


@dataclass
class Callers:
    """Callers that go on asking at all of some boxes; their answers, and when each was there."""

    boxes: list
    path: str
    pause_s: float = 0.05
    extra: tuple = ()
    answers: list = field(default_factory=list)

    async def call_for(self, seconds):
        loop = asyncio.get_running_loop()
        ends_at = loop.time() + seconds
        asking = []
        number = 0
        while loop.time() < ends_at:
            for box in self.boxes:
                number += 1
                asking.append(asyncio.create_task(self._ask(box, f"{box.settings.box}-{number}")))
            await asyncio.sleep(self.pause_s)
        await asyncio.gather(*asking)

    async def _ask(self, box, request_id):
        loop = asyncio.get_running_loop()
        began_at = loop.time()
        answer = await ask(box, self.path, request_id, extra=self.extra)
        self.answers.append((answer, loop.time() - began_at))

    def statuses(self):
        return [answer.status for answer, _ in self.answers]


async def boxes_that_know_one_another(made, count):
    """Boxes that have heard one another, and have lived for long."""
    boxes = [await made.add_box("box-1")]
    for n in range(1, count):
        seed = f"127.0.0.1:{boxes[0].exchange.port}"
        boxes.append(await made.add_box(f"box-{n + 1}", seeds=(seed,)))
    for box in boxes:
        await made.ready(box)
        box.state.peers.seeds = tuple(("127.0.0.1", b.exchange.port) for b in boxes if b is not box)
        box.exchange.send_notices()
    await until(lambda: all(len(box.state.peers.peers_by_id) == count - 1 for box in boxes))
    return boxes


def told_boxes(worker):
    """When a worker's limit can be known: half a second after its first answer that names it."""
    return min(arrivals(worker)) + TOLD_S
