"""Callers of the soak: each keeps its connection, asks one request after the other, may leave.

Some ask for one slow stream after another, and send the next one in the moment in which the last
byte of the one before has come, also while their box stops.
"""

from __future__ import annotations

import asyncio
import random
from collections.abc import Sequence
from dataclasses import dataclass, field

from croftchute.soak.boxes import SoakBox
from croftchute.soak.keys import STANDING, CallerKey, draw_key
from croftchute.soak.proxy import FaultyLink
from croftchute.soak.world import TIMEOUT_S, VIRTUAL_HOST, SoakWorld, added_path
from croftchute.standins.platform_caller import PlatformCaller, RequestKind, Try
from croftchute.standins.platform_worker import SLOW_PATH

PAUSE_S = 0.25
BURST_PAUSE_S = 0.03
FAILED_PAUSE_S = 0.2
LEAVE_SHARE = 0.08
MAX_LEAVE_S = 0.4
MOVE_SHARE = 0.1
RETURN_SHARE = 0.5
MAX_RETURN_S = 2.0
DEADLINES_S = (2.5, 4.0, TIMEOUT_S)
ADDED_SHARE = 0.15
PROBE_AFTER_S = 2.6

PROBE_AGAIN_S = 1.5
"""Seconds between further probes of the same version: slow links bring it late."""

AT_ONCE_SHARE = 0.5
"""Share of whole streams after which a caller sends its next request at once."""

STREAM_CALLER_EVERY = 4
"""One in so many callers asks for slow streams alone."""

MAX_TAKEN_UP = 2
"""Times that a caller takes up a stream that was cut off."""

SERVED = 200


@dataclass(kw_only=True)
class Traffic:
    """All tries of a run, and the callers that make them."""

    world: SoakWorld
    boxes: Sequence[SoakBox]
    links: Sequence[FaultyLink]
    rng: random.Random
    is_burst: bool = False
    is_over: bool = False
    tries_by_id: dict[str, Try] = field(default_factory=dict)
    lives_by_id: dict[str, tuple[int, int]] = field(default_factory=dict)
    keys_by_id: dict[str, CallerKey] = field(default_factory=dict)
    key_rng: random.Random = field(default_factory=lambda: random.Random(0))
    resume_rng: random.Random = field(default_factory=lambda: random.Random(0))

    async def keep_calling(self, number: int) -> None:
        """One caller; ends once the run is over."""
        caller: PlatformCaller | None = None
        while not self.is_over:
            if caller is None or self.rng.random() < MOVE_SHARE:
                if caller is not None:
                    caller.close()
                caller = self.caller(self.rng.randrange(len(self.boxes)))
            if number % STREAM_CALLER_EVERY == 0:
                attempt = await self._ask_slow(caller)
            else:
                attempt = await self.ask(caller, *self._draw_request())
                await self._take_up(attempt)
            if not self._goes_on_at_once(attempt, caller):
                await self._pause(attempt, caller)
        if caller is not None:
            caller.close()

    async def ask(
        self,
        caller: PlatformCaller,
        kind: RequestKind,
        path: str = "",
        *,
        body: bytes = b"",
        may_leave: bool = True,
        deadline_s: float | None = None,
        key: CallerKey | None = None,
        begun: Try | None = None,
        last_event: int = 0,
        parts: tuple[str, ...] = (),
    ) -> Try:
        """Make one try on a caller's connection, by some key, and keep what came of it.

        With ``begun`` it takes up the stream whose first event that try brought.
        """
        number = len(self.tries_by_id)
        if key is None:
            key = draw_key(self.key_rng, self.world.version)
        attempt = Try(
            request_id=f"r{number:06d}",
            kind=kind,
            path=path or f"/{kind.value}/{number}",
            body=body or f"body of {number}".encode(),
            box=caller.box,
            sent_at=asyncio.get_running_loop().time(),
            key=key.key,
            resumes=begun.request_id if begun is not None else "",
            last_event=last_event,
            parts=parts,
        )
        self.keys_by_id[attempt.request_id] = key
        self.tries_by_id[attempt.request_id] = attempt
        leaves = may_leave and self.rng.random() < LEAVE_SHARE
        leave_after_s = self.rng.uniform(0.0, MAX_LEAVE_S) if leaves else None
        box = next(box for box in self.boxes if box.name == caller.box)
        life = box.life
        if deadline_s is None:
            deadline_s = self.rng.choice(DEADLINES_S)
        await caller.send(attempt, deadline_s=deadline_s, leave_after_s=leave_after_s)
        self.lives_by_id[attempt.request_id] = (life, box.life)
        return attempt

    async def _take_up(self, attempt: Try) -> None:
        """Ask some boxes for the rest of a stream that was cut off, until it is whole."""
        begun = attempt
        for _ in range(MAX_TAKEN_UP):
            received = attempt.events_received
            is_cut = not attempt.is_whole and attempt.left_at is None
            if attempt.kind is not RequestKind.RESUMABLE or not received or not is_cut:
                return
            caller = self.caller(self.resume_rng.randrange(len(self.boxes)))
            attempt = await self.ask(
                caller,
                attempt.kind,
                attempt.path,
                body=attempt.body,
                may_leave=False,
                deadline_s=TIMEOUT_S,
                key=self.keys_by_id[begun.request_id],
                begun=begun,
                last_event=received[-1][0],
            )
            caller.close()

    async def probe_versions(self) -> None:
        """Ask every box for the route that the newest configuration added, again and again."""
        probed, next_at = 0, 0.0
        while not self.is_over:
            await asyncio.sleep(PAUSE_S)
            version = self.world.version
            accepted_at = self.world.accepted_at_by_version[version]
            now = asyncio.get_running_loop().time()
            is_due = now - accepted_at >= PROBE_AFTER_S and (version != probed or now >= next_at)
            if not is_due:
                continue
            probed, next_at = version, now + PROBE_AGAIN_S
            await asyncio.gather(*(self._probe(index, version) for index in range(len(self.boxes))))

    async def wave(self, count: int) -> list[Try]:
        """Some requests of each kind, one caller each, after all faults have ended."""
        kinds = list(RequestKind)
        callers = [self.caller(number % len(self.boxes)) for number in range(count)]
        return await asyncio.gather(
            *(
                self.ask(caller, kinds[number % len(kinds)], may_leave=False, key=STANDING)
                for number, caller in enumerate(callers)
            )
        )

    async def _probe(self, index: int, version: int) -> None:
        caller = self.caller(index)
        path = f"{added_path(version)}probe"
        await self.ask(caller, RequestKind.REPEATABLE, path, may_leave=False, key=STANDING)
        caller.close()

    async def _ask_slow(self, caller: PlatformCaller) -> Try:
        """Ask for a slow stream, with all the time that its route allows."""
        path = f"/{RequestKind.STREAM.value}{SLOW_PATH}{len(self.tries_by_id)}"
        return await self.ask(
            caller,
            RequestKind.STREAM,
            path,
            may_leave=False,
            deadline_s=TIMEOUT_S,
            key=STANDING,
        )

    def _goes_on_at_once(self, attempt: Try, caller: PlatformCaller) -> bool:
        """Whether the next request goes out before anything else is done."""
        is_whole_stream = attempt.is_whole and attempt.kind.is_stream and caller.is_kept
        return is_whole_stream and self.rng.random() < AT_ONCE_SHARE

    async def _pause(self, attempt: Try, caller: PlatformCaller) -> None:
        pause_s = BURST_PAUSE_S if self.is_burst else PAUSE_S
        if attempt.failure and not attempt.status:
            pause_s = FAILED_PAUSE_S
        retry_after_s = attempt.retry_after_s
        if retry_after_s is not None and self.rng.random() < RETURN_SHARE:
            pause_s = min(MAX_RETURN_S, retry_after_s)
        await asyncio.sleep(pause_s * self.rng.uniform(0.5, 1.5))

    def caller(self, index: int) -> PlatformCaller:
        """A caller at one of the boxes, with a connection of its own."""
        link = self.links[index]
        return PlatformCaller(
            box=self.boxes[index].name,
            host=link.host,
            port=link.port,
            virtual_host=VIRTUAL_HOST,
        )

    def _draw_request(self) -> tuple[RequestKind, str]:
        """A kind, and a path where it is one of those that the configuration was given later."""
        if self.rng.random() < ADDED_SHARE:
            version = self.rng.randint(1, self.world.version)
            return RequestKind.REPEATABLE, f"{added_path(version)}{len(self.tries_by_id)}"
        return self.rng.choice(list(RequestKind)), ""
