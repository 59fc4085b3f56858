"""Callers of one process before a balancer that sends most new connections to one box.

The balancer is the users': it asks each box once a second whether it is ready, takes one out after
two misses and in again after one answer, and uses all boxes if fewer than half are in. A caller
whose connection is closed before an answer begins retries once, at another box.
"""

from __future__ import annotations

import asyncio
import itertools
import json
import os
import random
import sys
from collections import defaultdict
from collections.abc import Iterator
from dataclasses import asdict, dataclass, field

from croftchute.soak.keys import STANDING_KEY
from croftchute.standins.platform_caller import PlatformCaller, RequestKind, Try, is_ready

POLL_S = 1.0
"""Seconds between two questions of the balancer, and after which one counts as a miss."""

MISSES = 2
"""Misses after which a box gets no new connections."""


@dataclass(frozen=True, kw_only=True, slots=True)
class CrowdTarget:
    """Where a box takes callers and says whether it is ready."""

    host: str
    callers: int
    health: int


@dataclass(frozen=True, kw_only=True, slots=True)
class CrowdLoad:
    """The requests of one process: ``per_s`` of them, spread evenly for ``before_s`` seconds.

    For ``crowd_s`` seconds after that, ``crowd_share`` of the connections go to the first box that
    is in. ``plain_share`` of the requests are plain calls, the others streams. ``kept_share`` of
    the callers keep a connection for their later requests, as long as it is open. With
    ``clients``, connections are kept by each of so many clients for itself, and a client's next
    request needs a new connection while its own are busy.
    """

    targets: tuple[CrowdTarget, ...]
    virtual_host: str
    per_s: float
    before_s: float
    crowd_s: float
    crowd_share: float
    plain_share: float
    kept_share: float
    body_bytes: int
    deadline_s: float
    plain_deadline_s: float
    clients: int
    seed: int


@dataclass(frozen=True, kw_only=True, slots=True)
class CrowdTry:
    """What came of a request: times in seconds from the start, ``box`` is the number of its box.

    ``was_read`` says that the first try was answered, or left unanswered on an open connection;
    ``retried`` that a closed one was sent to another box, which served it if ``retry_served``.
    """

    at: float
    box: int
    was_read: bool
    served: bool
    status: int
    took_s: float
    is_kept: bool = False
    retried: bool = False
    retry_served: bool = False


@dataclass(kw_only=True)
class Balancer:
    """Which boxes get new connections, and since when each has been out."""

    targets: tuple[CrowdTarget, ...]
    misses: list[int] = field(default_factory=list)
    out_polls: list[int] = field(default_factory=list)
    polls: int = 0

    def __post_init__(self) -> None:
        self.misses = [0] * len(self.targets)
        self.out_polls = [0] * len(self.targets)

    async def run(self) -> None:
        """Ask the boxes; never returns."""
        while True:
            await asyncio.gather(self._poll(), asyncio.sleep(POLL_S))

    async def _poll(self) -> None:
        answers = await asyncio.gather(
            *(is_ready(target.host, target.health, POLL_S) for target in self.targets)
        )
        self.polls += 1
        for number, answer in enumerate(answers):
            self.misses[number] = 0 if answer else self.misses[number] + 1
            self.out_polls[number] += self.misses[number] >= MISSES

    @property
    def usable(self) -> list[int]:
        """The numbers of the boxes that get new connections."""
        found = [number for number, misses in enumerate(self.misses) if misses < MISSES]
        return found if 2 * len(found) >= len(self.targets) else list(range(len(self.targets)))


@dataclass(kw_only=True)
class Crowd:
    """Sends the requests of a load, and keeps what came of them."""

    load: CrowdLoad
    balancer: Balancer
    rng: random.Random
    tries: list[CrowdTry] = field(default_factory=list)
    begun_at: float = 0.0
    idle_by_client: dict[int, list[tuple[int, PlatformCaller]]] = field(
        default_factory=lambda: defaultdict(list)
    )
    numbers: Iterator[int] = field(default_factory=itertools.count)

    async def run(self) -> None:
        """Send all requests and wait for their answers."""
        loop = asyncio.get_running_loop()
        self.begun_at = loop.time()
        end = self.load.before_s + self.load.crowd_s
        sent, due = [], 0.0
        while due < end:
            due += self.rng.expovariate(self.load.per_s)
            await asyncio.sleep(max(0.0, self.begun_at + due - loop.time()))
            sent.append(loop.create_task(self._request()))
        await asyncio.gather(*sent)

    def _choose_box(self, at: float) -> int:
        usable = self.balancer.usable
        is_crowded = at >= self.load.before_s and self.rng.random() < self.load.crowd_share
        return usable[0] if is_crowded else self.rng.choice(usable)

    async def _request(self) -> None:
        at = asyncio.get_running_loop().time() - self.begun_at
        kind = RequestKind.RESUMABLE
        if self.rng.random() < self.load.plain_share:
            kind = RequestKind.REPEATABLE
        keeps = self.rng.random() < self.load.kept_share
        idle = self.idle_by_client[self.rng.randrange(max(1, self.load.clients))]
        kept = idle.pop() if keeps and idle else None
        box = self._choose_box(at) if kept is None else kept[0]
        caller = self._caller(box) if kept is None else kept[1]
        attempt = await self._send(caller, kind, box)
        was_closed = attempt.status == 0 and attempt.left_at is None
        retry: Try | None = None
        if was_closed and len(self.load.targets) > 1:
            others = [number for number in self.balancer.usable if number != box]
            other = self.rng.choice(others or [box])
            retry = await self._send(self._caller(other), kind, other)
        if keeps and caller.is_kept:
            idle.append((box, caller))
        else:
            caller.close()
        self.tries.append(
            CrowdTry(
                at=at,
                box=box,
                was_read=not was_closed,
                served=_is_served(attempt),
                status=attempt.status,
                took_s=asyncio.get_running_loop().time() - self.begun_at - at,
                is_kept=kept is not None,
                retried=retry is not None,
                retry_served=retry is not None and _is_served(retry),
            )
        )

    def _caller(self, box: int) -> PlatformCaller:
        target = self.load.targets[box]
        return PlatformCaller(
            box=str(box),
            host=target.host,
            port=target.callers,
            virtual_host=self.load.virtual_host,
        )

    async def _send(self, caller: PlatformCaller, kind: RequestKind, box: int) -> Try:
        request_id = f"c{os.getpid()}-{next(self.numbers)}"
        attempt = Try(
            request_id=request_id,
            kind=kind,
            path=f"/{kind.value}/{request_id}",
            body=b"x" * self.load.body_bytes,
            box=str(box),
            sent_at=asyncio.get_running_loop().time(),
            key=STANDING_KEY,
        )
        is_plain = kind is RequestKind.REPEATABLE
        deadline_s = self.load.plain_deadline_s if is_plain else self.load.deadline_s
        await caller.send(attempt, deadline_s=deadline_s)
        return attempt


def _is_served(attempt: Try) -> bool:
    return attempt.status == 200 and attempt.is_whole


async def _main(load: CrowdLoad) -> dict[str, object]:
    balancer = Balancer(targets=load.targets)
    polling = asyncio.create_task(balancer.run())
    crowd = Crowd(load=load, balancer=balancer, rng=random.Random(load.seed))
    await crowd.run()
    polling.cancel()
    return {
        "tries": [asdict(one) for one in crowd.tries],
        "polls": balancer.polls,
        "out_polls": balancer.out_polls,
    }


def main() -> None:
    """Read a load from the standard input, and write what came of it to the standard output."""
    read = json.load(sys.stdin)
    targets = tuple(CrowdTarget(**target) for target in read.pop("targets"))
    print(json.dumps(asyncio.run(_main(CrowdLoad(targets=targets, **read)))))


if __name__ == "__main__":
    main()
