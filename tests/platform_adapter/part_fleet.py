"""Boxes before engines that crash under a part of a prompt, and callers with and without it."""

import asyncio
import random
from dataclasses import dataclass, field

from limit_fleet import boxes_that_know_one_another
from platform_fleet import ask, config, route, until

from croftchute.tables.routing import Stage

CONTACT_S = 3.0
BAD = "bad0"
FIRST = "f1e5"
BACK_S = 0.8
TARGET_S = 0.9


def parts_header(parts):
    return "X-Croftchute-Prompt-Prefix: " + ",".join(f"{part}:10" for part in parts)


def part_config():
    """The tests' configuration, with memory enough that none of the streams lacks room."""
    routes = [
        route("resume", "/resume/", "streaming", "llm", Resumable=True, TargetGapMs=300),
        route("safe", "/safe/", "idempotent", "desk"),
    ]
    return config(routes=routes)


@dataclass
class Tried:
    """One request as its caller saw it: its first try, and whether any try was served whole."""

    parts: tuple
    at: float
    status: int = 0
    has_begun: bool = False
    is_whole: bool = False
    headers: dict = field(default_factory=dict)


@dataclass
class PartFleet:
    """A fleet whose workers crash under some parts and are back a moment later.

    Decode workers crash under ``bad``, workers of both stages as they read ``bad_to_read`` ahead.
    """

    made: object
    boxes: list
    bad: frozenset = frozenset({BAD})
    bad_to_read: frozenset = frozenset()
    crashed_at: list = field(default_factory=list)
    tried: list = field(default_factory=list)
    back_s: float = BACK_S
    options: dict = field(default_factory=dict)
    names: int = 0
    requests: int = 0
    rng: random.Random = field(default_factory=lambda: random.Random(7))

    async def add_engine(self, stage="decode"):
        self.names += 1
        bad = self.bad if stage == "decode" else frozenset()
        worker = await self.made.add_worker(
            f"{stage}-{self.names}",
            service="llm",
            stage=stage,
            crashes_on_parts=bad,
            crashes_on_reading_parts=self.bad_to_read,
            **self.options,
        )
        worker.on_crash = lambda: self._crashed(worker)
        return worker

    def _crashed(self, worker):
        self.crashed_at.append(asyncio.get_running_loop().time())
        asyncio.get_running_loop().create_task(self._come_back(worker))

    async def _come_back(self, worker):
        """The entry lapses, and another worker takes the place of the one that crashed."""
        await asyncio.sleep(self.back_s)
        self.made.store.remove(f"servers/{worker.id}")
        await self.add_engine(worker.stage)

    async def kill(self, worker):
        """End a worker for no reason that lies in requests."""
        worker.end()
        await self._come_back(worker)

    @property
    def decode(self):
        """The decode workers that live."""
        workers = self.made.workers_by_id.values()
        return [one for one in workers if one.stage == "decode" and one._server.is_serving()]

    async def settle(self, decodes=9):
        """Wait until all workers are back, and the boxes know them and no others."""
        await until(lambda: len(self.decode) == decodes)
        for box in self.boxes:
            await until(lambda box=box: self._known(box) == {one.id for one in self.decode})

    def _known(self, box):
        now = box.state.clock()
        usable = box.state.workers.usable("llm", now, stage=Stage.DECODE)
        return {tracked.worker.list_name for tracked in usable}

    async def send(self, parts, *, box=None, tries=1, body=b"hello"):
        """One request at some box with parts of its own behind those given."""
        self.requests += 1
        name = f"r{self.requests}"
        box = box or self.rng.choice(self.boxes)
        tried = Tried(parts=tuple(parts), at=asyncio.get_running_loop().time())
        self.tried.append(tried)
        extra = (parts_header([*parts, f"0{self.requests:x}"]),)
        for number in range(tries):
            try:
                answer = await ask(
                    box, f"/resume/{name}", f"{name}-{number}", extra=extra, body=body
                )
            except (OSError, EOFError):
                continue
            if number == 0:
                tried.status, tried.headers = answer.status, answer.headers
                tried.has_begun = answer.status == 200 and bool(answer.events)
            if answer.status == 200 and answer.is_whole:
                tried.is_whole = True
                return tried
            box = self.rng.choice(self.boxes)
        return tried

    async def stream(self, make_parts, per_s, for_s, **options):
        """Requests at a steady pace; ``make_parts`` is called for each. Waits for all answers."""
        loop = asyncio.get_running_loop()
        end = loop.time() + for_s
        sent = []
        while loop.time() < end:
            sent.append(loop.create_task(self.send(make_parts(), **options)))
            await asyncio.sleep(self.rng.uniform(0.5, 1.5) / per_s)
        return list(await asyncio.gather(*sent))

    def reached(self, bad, after):
        """Requests with a part that workers of any stage received after a time."""
        loop_ids = set()
        for worker in self.made.workers_by_id.values():
            for request in worker.received:
                parts = request.headers.get("x-croftchute-prompt-prefix", "").split(",")
                shared = {part.partition(":")[0] for part in parts[:-1]}
                if bad in shared and request.path.startswith("/resume/") and request.at > after:
                    loop_ids.add(request.id)
        return loop_ids

    @property
    def known_at(self):
        """From when on boxes in touch must know of a part under which five workers crashed."""
        return self.crashed_at[4] + CONTACT_S if len(self.crashed_at) >= 5 else float("inf")


async def part_fleet(
    made, *, boxes=3, decodes=9, prefills=1, bad=frozenset({BAD}), bad_to_read=(), **options
):
    """Boxes that know one another, before engines that crash under the bad parts."""
    options = {"events": 20, "gap_s": 0.04} | options
    fleet = PartFleet(
        made=made,
        boxes=[],
        bad=frozenset(bad),
        bad_to_read=frozenset(bad_to_read),
        options=options,
    )
    for _ in range(decodes):
        await fleet.add_engine()
    for _ in range(prefills):
        await fleet.add_engine("prefill")
    fleet.boxes = await boxes_that_know_one_another(made, boxes)
    return fleet


def begun_share(tried):
    return sum(one.has_begun for one in tried) / len(tried)
