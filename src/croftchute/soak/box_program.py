"""A box with something altered in it, for the soak: a shifted clock, or a fault put in on purpose.

The faults show that the soak's checks find what they are for.
"""

from __future__ import annotations

import asyncio
import json
import math
import os
import runpy
import sys
import time
from collections.abc import Callable
from pathlib import Path
from typing import Any

ROOT = Path(__file__).resolve().parents[3]
ALTERATION_VARIABLE = "CROFTCHUTE_SOAK_ALTERATION"
LOCALHOST = "127.0.0.1"

sys.path[:0] = [str(ROOT / "src"), str(ROOT / "platform")]

from croftchute_platform import headers  # noqa: E402
from croftchute_platform.eras import EraReader  # noqa: E402

from croftchute.daemon.router_process import RouterProcess  # noqa: E402
from croftchute.errors import Code, Ran  # noqa: E402
from croftchute.forwarding.boxes.crash_gossip import CrashGossip  # noqa: E402
from croftchute.forwarding.boxes.limits import GRANTED, Allowance, AllowanceOutcome  # noqa: E402
from croftchute.forwarding.boxes.pooled_limits import PooledLimits  # noqa: E402
from croftchute.forwarding.boxes.worker_permits import (  # noqa: E402
    MIN_CLOSED_S,
    WORKER_TERMS,
    WorkerPermits,
    usage_limit,
)
from croftchute.forwarding.callers.forwarder import Forwarder  # noqa: E402
from croftchute.forwarding.http.connection_intake import ConnectionIntake  # noqa: E402
from croftchute.forwarding.http.connection_pool import ConnectionPool  # noqa: E402
from croftchute.forwarding.http.exchange import Exchange  # noqa: E402
from croftchute.forwarding.http.failures import AnswerLateError  # noqa: E402
from croftchute.forwarding.http.http_client import ClientConnection  # noqa: E402
from croftchute.forwarding.http.silence import SilenceLimits  # noqa: E402
from croftchute.forwarding.permits import ONE_CALL, PermitRequest  # noqa: E402
from croftchute.forwarding.state import ForwardingState  # noqa: E402
from croftchute.forwarding.store import prefix_follower, store_follower  # noqa: E402
from croftchute.forwarding.store.crash_register import CrashRegister  # noqa: E402
from croftchute.forwarding.workers.attempt_race import AttemptRace  # noqa: E402
from croftchute.forwarding.workers.request_run import RequestRun  # noqa: E402
from croftchute.forwarding.workers.worker_call import WorkerCall  # noqa: E402
from croftchute.systems.crash_records import CrashRecords  # noqa: E402
from croftchute.systems.intake_queue import IntakeLimits  # noqa: E402
from croftchute.systems.memory_account import MemoryAccount  # noqa: E402
from croftchute.systems.part_crashes import PartCrashes  # noqa: E402
from croftchute.systems.tracked_worker import TrackedWorker  # noqa: E402
from croftchute.systems.usage_bucket import UsageBucket  # noqa: E402
from croftchute.systems.worker_advice import NO_ADVICE  # noqa: E402
from croftchute.systems.worker_table import WorkerTable  # noqa: E402
from croftchute.tables.organisations import (  # noqa: E402
    KeyClaim,
    Organisation,
    Organisations,
)
from croftchute.tables.routing import Route, RoutingTable, Stage, Worker  # noqa: E402

OLDER_AFTER_S = 2.5
FAR_FUTURE_S = 1e9

KEY_KEPT_S = 30.0
"""Seconds for which a key that was taken away opens a box."""

WHOLE_BODY_S = 1.5
"""Seconds for a whole body, however long it is: the bound that incident inc2 broke."""

END_MARGIN_S = 0.5
"""Seconds before the end of a stop's time at which a box that takes callers until then ends."""


def shift_clock(offset_s: float) -> None:
    """Let the box see a time of day that is off."""

    def started(self: ForwardingState) -> None:
        self.wall_clock = lambda: time.time() + offset_s

    ForwardingState.__post_init__ = started  # type: ignore[attr-defined]


def send_twice() -> None:
    """Send again what may have run, whatever its kind."""
    Route.may_repeat = property(lambda _: True)  # type: ignore[assignment,method-assign]
    RequestRun.claim_arrival = lambda self, **_: bool(self)  # type: ignore[method-assign]


def keep_draining() -> None:
    """Go on giving work to workers that are leaving."""

    def usable(
        self: WorkerTable,
        service: str,
        now: float,
        *,
        stage: Stage | None = None,
        build: str | None = None,
    ) -> list[TrackedWorker]:
        known = [b for b in self.tracked_by_id.values() if now - b.listed_at < FAR_FUTURE_S]
        return [
            tracked
            for tracked in known
            if tracked.worker.service == service
            and (stage is None or tracked.worker.stage in (None, stage))
            and build in (None, tracked.worker.build)
        ]

    WorkerTable.usable = usable  # type: ignore[method-assign]


def lower_revision() -> None:
    """Go back to an older configuration some time after a newer one was put in force."""
    known: list[RoutingTable] = []

    adopt_soundly = store_follower.adopt_table

    def adopt(state: ForwardingState, table: RoutingTable, *, source: str, revision: int) -> bool:
        is_adopted = adopt_soundly(state, table, source=source, revision=revision)
        if is_adopted:
            known.append(table)
        if is_adopted and len(known) > 1:
            state.spawn(go_back(state, known[0]))
        return is_adopted

    async def go_back(state: ForwardingState, older: RoutingTable) -> None:
        await asyncio.sleep(OLDER_AFTER_S)
        state.table = older

    store_follower.adopt_table = adopt


def hold_memory() -> None:
    """Let workers go on with requests whose callers have left."""
    ended = WorkerCall.close

    def close(self: WorkerCall) -> None:
        if sys.exc_info()[0] is not None and self.connection is not None:
            KEPT.append(self.connection)
            self.connection = None
        ended(self)

    WorkerCall.close = close  # type: ignore[method-assign]


def say_not_run() -> None:
    """Promise that nothing ran, whatever is known."""
    refuse = RequestRun.refuse

    def promise(
        self: RequestRun,
        code: Code,
        ran: Ran,
        detail: str,
        *,
        expected_wait_s: float | None = None,
    ) -> None:
        words = f"{code} {ran} {detail}"
        refuse(self, Code.NO_CAPACITY, Ran.NOT_RUN, words, expected_wait_s=expected_wait_s)

    RequestRun.refuse = promise  # type: ignore[method-assign]


def cut_long_bodies() -> None:
    """Give a body whose length is told a fixed time as a whole, though its bytes still come."""
    read_soundly = ClientConnection.read_part
    ends_by_exchange: dict[tuple[ClientConnection, int], float] = {}

    async def read_part(self: ClientConnection) -> bytes:
        if self.head is None or self.head.get(b"content-length") is None:
            return await read_soundly(self)
        now = asyncio.get_running_loop().time()
        end = ends_by_exchange.setdefault((self, self.uses), now + WHOLE_BODY_S)
        try:
            async with asyncio.timeout(max(0.0, end - now)):
                part = await read_soundly(self)
        except TimeoutError:
            raise AnswerLateError("no whole body") from None
        if not part:
            del ends_by_exchange[self, self.uses]
        return part

    ClientConnection.read_part = read_part  # type: ignore[method-assign]


def late_entry() -> None:
    """Take callers, on new and on kept connections, until a stop ends."""

    async def stop(self: RouterProcess) -> int:
        self.is_stopping = True
        self.state.stop_began_at = self.state.clock()
        self.follower.stop_telling()
        await asyncio.sleep(self.settings.stop_limit_s - END_MARGIN_S)
        for task in self._tasks:
            task.cancel()
        self.state.log.writer.flush()
        return 9 if self.ingress.open_requests else 0

    RouterProcess.stop = stop  # type: ignore[method-assign]


def keep_keys() -> None:
    """Let in whoever held a key once, some time after it was taken away."""
    holder = Organisations.holder
    seen: dict[bytes, tuple[Organisation, float]] = {}

    def remembered(self: Organisations, claim: KeyClaim) -> Organisation | None:
        found = holder(self, claim)
        if found is not None:
            seen[claim.digest] = (found, time.monotonic())
            return found
        known, at = seen.get(claim.digest, (None, 0.0))
        return known if time.monotonic() - at < KEY_KEPT_S else None

    Organisations.holder = remembered  # type: ignore[method-assign]


def pass_keys_on() -> None:
    """Hand callers' keys on to workers."""
    headers.SET_BY_THE_ROUTER = headers.SET_BY_THE_ROUTER - {headers.AUTHORIZATION}


def new_credit() -> None:
    """Give each box the whole of every limit, and a full bucket at its start."""

    async def admit(
        self: PooledLimits,
        organisation: Organisation,
        units: float,
        *,
        patience_s: float,  # noqa: ARG001
    ) -> Allowance:
        limit = organisation.limit
        if limit is None:
            return GRANTED
        now = self.state.clock()
        full = UsageBucket(level=limit.burst, filled_to=now)
        bucket = BUCKETS.setdefault(organisation.name, full)
        bucket.fill(now, limit=limit, capacity=limit.burst)
        if bucket.take(units, extra=0.0, capacity=limit.burst):
            return GRANTED
        return Allowance(outcome=AllowanceOutcome.DENIED, wait_s=1.0)

    PooledLimits.admit = admit  # type: ignore[method-assign]


def run_crashing() -> None:
    """Run requests that end workers without an end."""
    CrashRecords.refusal_left_s = lambda self, digest, now: 0.0  # type: ignore[method-assign]  # noqa: ARG005


def run_crashing_parts() -> None:
    """Refuse no request for the parts of its prompt."""
    PartCrashes.refusal_of = lambda self, parts: None  # type: ignore[method-assign]  # noqa: ARG005


def crashes_untold() -> None:
    """Keep what is known of such requests to the box itself."""
    CrashGossip.tell = lambda self, digests: None  # type: ignore[method-assign]  # noqa: ARG005
    CrashGossip.next_notices = lambda self: ()  # type: ignore[method-assign]  # noqa: ARG005
    CrashRegister.note = lambda self, names: None  # type: ignore[method-assign]  # noqa: ARG005


def wishes_unheard() -> None:
    """Read nothing of what answers say that their workers want."""
    headers.read_wish = lambda head: NO_ADVICE  # noqa: ARG005


def limits_alone() -> None:
    """Have each box keep the limits that workers name by itself, as if it were the only one."""
    buckets: dict[str, UsageBucket] = {}

    async def acquire(
        self: WorkerPermits,
        worker: Worker,
        permit_request: PermitRequest = ONE_CALL,
    ) -> bool:
        now = self.state.clock()
        per_s = self.state.workers.limits.limit_of(worker.id, now)
        if per_s is None:
            return True
        limit = usage_limit(per_s)
        capacity = WORKER_TERMS.capacity(limit)
        bucket = buckets.setdefault(worker.id, UsageBucket(level=capacity, filled_to=now))
        bucket.fill(now, limit=limit, capacity=capacity)
        if bucket.take(float(permit_request.calls), extra=0.0, capacity=capacity):
            return True
        self.state.workers.limits.by_id[worker.id].blocked_until = now + MIN_CLOSED_S
        return False

    WorkerPermits.acquire = acquire  # type: ignore[method-assign]


def eras_ignored() -> None:
    """Take all revisions of the store for those of one era."""
    EraReader.read = lambda self, head: self.newest  # type: ignore[method-assign]  # noqa: ARG005


def connect_over_own_links(worker_host: str, store_port: int) -> None:
    """Lead connections to workers over links that belong to this box alone."""
    connect_directly = ConnectionPool.connect

    async def connect(
        self: ConnectionPool,
        host: str,
        port: int,
        timeout_s: float,
        *,
        limits: SilenceLimits | None = None,
    ) -> ClientConnection:
        is_worker = host == LOCALHOST and port != store_port
        return await connect_directly(
            self, worker_host if is_worker else host, port, timeout_s, limits=limits
        )

    ConnectionPool.connect = connect  # type: ignore[method-assign]


def slow_down_requests(request_s: float) -> None:
    """Have each request of a caller cost the box some seconds more of the processor."""
    serve = Forwarder.handle

    async def handle(self: Forwarder, exchange: Exchange) -> None:
        end = time.process_time() + request_s
        while time.process_time() < end:
            pass
        await serve(self, exchange)

    Forwarder.handle = handle  # type: ignore[method-assign]


def any_version() -> None:
    """Continue streams at workers of any software version."""

    async def find_origin(self: RequestRun) -> bool:
        return self.build is None

    def usable(self: RequestRun, stage: Stage | None) -> list[TrackedWorker]:
        return self.state.workers.usable(self.service, self.now, stage=stage)

    RequestRun.usable = usable  # type: ignore[method-assign]
    RequestRun.lacks_build = property(lambda _: False)  # type: ignore[assignment,method-assign]
    RequestRun.find_origin = find_origin  # type: ignore[method-assign]


def keep_to_own_workers() -> None:
    """Pass no request to another box, and refuse it when no worker is in reach."""
    ForwardingState.can_forward = property(lambda _: False)  # type: ignore[assignment,method-assign]


def leave_silent_workers() -> None:
    """End an attempt as soon as its worker is silent, before another worker has the request."""

    async def first_to_respond(self: AttemptRace[Any]) -> None:
        self.drop_all_but()

    AttemptRace.first_to_respond = first_to_respond  # type: ignore[method-assign]


def reuse_connections() -> None:
    """Send an id again on a connection that has carried it."""
    ClientConnection.has_sent = lambda *_: False  # type: ignore[method-assign]


def trust_relays() -> None:
    """Go by what a relay told for as long as its connection lives."""
    prefix_follower.PrefixFollower._proof_left_s = lambda *_: math.inf  # type: ignore[method-assign]


BUCKETS: dict[str, UsageBucket] = {}
KEPT: list[object] = []


def read_all_connections() -> None:
    """Read each new connection as it comes, however many requests are under way."""

    def listen(self: ConnectionIntake, host: str, port: int) -> None:
        self.queue.limits = IntakeLimits(
            max_turn_s=math.inf, burst_wait_s=math.inf, crowded_after_s=math.inf
        )
        begin_to_listen(self, host, port)

    def read_all(self: ConnectionIntake) -> None:
        accept_some(self)
        for connection in self.queue.take_all():
            self._begin(connection)

    begin_to_listen, accept_some = ConnectionIntake.listen, ConnectionIntake._accept
    ConnectionIntake.listen = listen  # type: ignore[method-assign]
    ConnectionIntake._accept = read_all  # type: ignore[method-assign]


def count_no_arrivals() -> None:
    """Send to further workers without a retry from the budget."""

    RequestRun.claim_arrival = (  # type: ignore[method-assign]
        lambda self, **_: not self.crashes_workers
    )


def hold_for_clients() -> None:
    """Hold for clients whatever they send."""
    MemoryAccount.exceeds_bound = False  # type: ignore[assignment,method-assign]
    MemoryAccount.admits = lambda *_: True  # type: ignore[method-assign]


BROKEN: dict[str, Callable[[], None]] = {
    "send_twice": send_twice,
    "keep_draining": keep_draining,
    "lower_revision": lower_revision,
    "hold_memory": hold_memory,
    "say_not_run": say_not_run,
    "cut_long_bodies": cut_long_bodies,
    "late_entry": late_entry,
    "keep_keys": keep_keys,
    "pass_keys_on": pass_keys_on,
    "new_credit": new_credit,
    "run_crashing": run_crashing,
    "crashes_untold": crashes_untold,
    "run_crashing_parts": run_crashing_parts,
    "wishes_unheard": wishes_unheard,
    "eras_ignored": eras_ignored,
    "limits_alone": limits_alone,
    "keep_to_own_workers": keep_to_own_workers,
    "any_version": any_version,
    "leave_silent_workers": leave_silent_workers,
    "reuse_connections": reuse_connections,
    "trust_relays": trust_relays,
    "read_all_connections": read_all_connections,
    "count_no_arrivals": count_no_arrivals,
    "hold_for_clients": hold_for_clients,
}


def main() -> None:
    """Alter what is asked for, then run the real program."""
    alteration = json.loads(os.environ[ALTERATION_VARIABLE])
    if alteration["clock_offset_s"]:
        shift_clock(alteration["clock_offset_s"])
    if alteration["worker_host"]:
        connect_over_own_links(alteration["worker_host"], alteration["store_port"])
    if alteration["request_ms"]:
        slow_down_requests(alteration["request_ms"] / 1000.0)
    if alteration["broken"]:
        BROKEN[alteration["broken"]]()
    runpy.run_path(str(ROOT / "platform" / "start.py"), run_name="__main__")


if __name__ == "__main__":
    main()
