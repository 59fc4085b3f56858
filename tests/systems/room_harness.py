"""Harness for one request that waits for decode memory at a box, in virtual time.

There is no network: a script gives the result of each poll for room. The rest is the router's code.
"""

import asyncio
import random

from croftchute_platform.headers import PlatformCallers, PlatformWorkers

from croftchute.daemon.router_state import make_state
from croftchute.errors import Code, Ran
from croftchute.forwarding.http.exchange import Arrival, Exchange, IncomingRequest
from croftchute.forwarding.workers.decode_reservation import DecodeReservation
from croftchute.forwarding.workers.request_run import RequestRun
from croftchute.router_settings import DecisionWays, RouterSettings
from croftchute.systems.room_order import OrderMode
from croftchute.tables.organisations import Organisation, Organisations, UsageLimit
from croftchute.tables.routing import (
    EngineTraits,
    RequestFacts,
    Route,
    RouteKind,
    RoutingTable,
    Service,
    WeightedService,
    by_host,
)

FULL, NO_WORKER, GRANTED = "full", "no worker", "granted"


class FakeConnection:
    """Caller's side of a connection; records the bytes sent."""

    is_lost = False
    is_held_up = False
    is_bounded = False
    is_cut_off = False
    has_unsent = False
    request_id = ""

    def __init__(self):
        self.sent = b""
        self.writer = self

    def write(self, data):
        self.sent += data

    async def drained(self):
        pass

    def persistence_headers(self, request):
        return []

    def close_soon(self):
        pass

    def abort(self):
        self.is_lost = True


class RecordingLog:
    """Decision log that records its lines."""

    def __init__(self):
        self.lines = []

    def decide(self, kind, **fields):
        self.lines.append((kind, fields))


def route(priority, *, target_s=0.9):
    return Route(
        name=f"r{priority}",
        host="h",
        prefix=f"/r{priority}/",
        kind=RouteKind.STREAM,
        timeout_s=14.0,
        target_s=target_s,
        targets=(WeightedService(service="llm", weight=1),),
        target_gap_s=0.3,
        priority=priority,
    )


def table(priorities, *, organisations=(), version=1):
    engine = EngineTraits(
        slots=8, kv_tokens=40_000, kv_bytes_per_token=1.0, handle_ttl_s=5.0, hold_ttl_s=2.0
    )
    return RoutingTable(
        version=version,
        routes_by_host=by_host([route(priority) for priority in priorities]),
        services_by_name={"llm": Service(name="llm", max_connections=10, engine=engine)},
        organisations=(
            Organisations(by_name={entry.name: entry for entry in organisations})
            if organisations
            else None
        ),
    )


def organisation(name, *, priority=None, rate_per_s=None, **limit):
    usage = UsageLimit(rate_per_s=rate_per_s, burst=1.0, **limit) if rate_per_s else None
    return Organisation(name=name, priority=priority, limit=usage)


class RoomHarness:
    """A box whose clock advances only while a request waits."""

    def __init__(
        self, monkeypatch, *, priorities=(0, 1, 2), order=OrderMode.AUTO, organisations=()
    ):
        self.now = 100.0
        self.sleeps = []
        settings = RouterSettings(
            box="b",
            hall="a",
            callers="127.0.0.1:0",
            health="127.0.0.1:0",
            control="127.0.0.1:0",
            notice_port=0,
            store="127.0.0.1:1",
            peer_keys=("k" * 16,),
            ways=DecisionWays(order=order),
        )
        self.state = make_state(settings, callers=PlatformCallers(), workers=PlatformWorkers())
        self.state.clock = lambda: self.now
        self.state.started_at = self.state.begun_at = self.now
        self.state.rng = random.Random(1)
        self.state.log = self.log = RecordingLog()
        self.state.table = table(priorities, organisations=organisations)
        self.on_sleep = lambda: None
        monkeypatch.setattr(asyncio, "sleep", self._sleep)

    async def _sleep(self, seconds):
        self.sleeps.append(round(seconds, 9))
        self.now += seconds
        self.on_sleep()

    def request(self, priority, *, organisation=None, deadline_s=None, prompt=5_000):
        connection = FakeConnection()
        incoming = IncomingRequest(
            method="POST",
            target="/x",
            headers=[],
            body=b"",
            is_http_1_0=False,
            arrival=Arrival(connected_at=self.now, begun_at=self.now, read_at=self.now, number=1),
        )
        known = None
        if organisation is not None:
            known = self.state.table.organisations.by_name[organisation]
        facts = RequestFacts(
            id="r",
            method="POST",
            target="/x",
            host="h",
            path="/x",
            headers=[],
            body=b"",
            time_left_s=deadline_s,
            prompt_tokens=prompt,
            output_tokens=600,
            organisation=organisation or "",
        )
        run = RequestRun(
            state=self.state,
            exchange=Exchange(connection=connection, request=incoming),
            facts=facts,
            route=route(priority),
            service="llm",
            started_at=self.now,
            organisation=known,
        )
        run.connection = connection
        return run

    def reserve(self, run, script, *, room=None):
        """Wait for room; the last result of the script repeats."""
        room = room or ScriptedReservation(run=run)
        room.script = list(script)
        found = asyncio.run(room.reserve())
        return room, found

    def refuse(self, run, room):
        """Refuse the request like a stream that found no room, and return the bytes sent."""
        run.refuse(room.code or Code.NO_UPSTREAM, Ran.NOT_RUN, room.detail)
        return run.connection.sent


class ScriptedReservation(DecodeReservation):
    """Reservation that polls no worker: a script gives the result of each poll."""

    asks = 0
    has_worker = True

    def _has_worker(self):
        return self.has_worker

    async def _ask_for_room(self):
        self.asks += 1
        outcome = self.script.pop(0) if len(self.script) > 1 else self.script[0]
        if outcome == GRANTED:
            return object(), object()
        if outcome == FULL:
            self.run.full_workers.add("w")
            self.code, self.detail = Code.NO_CAPACITY, "no room at w and others"
        return None
