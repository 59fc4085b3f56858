"""Workers of a plain service, as PROTOCOL.md describes them."""

from __future__ import annotations

import asyncio
import secrets
from collections.abc import Callable
from dataclasses import dataclass

from httpserver import Answer, HttpServer, Request
from store import Store

WORK_S = 0.02


@dataclass(frozen=True)
class Arrival:
    """A request that reached a worker; ``ran`` is False if the worker did not run it."""

    at: float
    worker: str
    request_id: str
    target: str
    ran: bool


class PlainWorker:
    """One worker with its entry in the store; ``on_arrival`` hears of each request."""

    def __init__(
        self,
        *,
        service: str,
        zone: str,
        store: Store,
        clock: Callable[[], float],
        on_arrival: Callable[[Arrival], None],
        work_s: float = WORK_S,
    ) -> None:
        self.id = f"i-{secrets.token_hex(4)}"
        self.service, self.zone, self.store = service, zone, store
        self.clock, self.on_arrival, self.work_s = clock, on_arrival, work_s
        self.runs = 0
        self.is_leaving = False
        self.server = HttpServer(self._answer)

    async def start(self, port: int = 0) -> None:
        """Listen and enter the list."""
        await self.server.start(port=port)
        self.write_entry("ready")

    def write_entry(self, state: str) -> None:
        """Write the entry."""
        self.is_leaving = state == "draining"
        entry = {
            "Service": self.service,
            "Address": f"127.0.0.1:{self.server.port}",
            "Zone": self.zone,
            "Version": "v1",
            "Slots": 6,
            "State": state,
            "ColdLeftMs": 0,
            "Sequence": 1,
        }
        self.store.put(f"servers/{self.id}", entry)

    def remove_entry(self) -> None:
        """Leave the list; the worker serves on until it is stopped."""
        self.is_leaving = True
        self.store.remove(f"servers/{self.id}")

    async def _answer(self, request: Request, _: asyncio.StreamWriter) -> Answer:
        if request.target == "/health":
            return Answer(200, headers={"X-Croftchute-Instance-Id": self.id})
        request_id = request.headers.get("x-croftchute-request-id", "")
        expected = request.headers.get("x-croftchute-expect-instance", self.id)
        ran = expected == self.id
        self.on_arrival(
            Arrival(
                at=self.clock(),
                worker=self.id,
                request_id=request_id,
                target=request.target,
                ran=ran,
            )
        )
        if not ran:
            headers = {"X-Croftchute-Not-Executed": "1", "X-Croftchute-Request-Id": request_id}
            return Answer(421, headers=self._farewell() | headers)
        self.runs += 1
        await asyncio.sleep(self.work_s)
        headers = {
            "X-Croftchute-Request-Id": request_id,
            "X-Croftchute-Server-Stamp": f"{self.id}.{self.runs}",
        }
        return Answer(200, f"{self.id} {request_id}".encode(), self._farewell() | headers)

    def _farewell(self) -> dict[str, str]:
        """PROTOCOL.md: a leaving worker puts `Connection: close` in its answers."""
        return {"Connection": "close"} if self.is_leaving else {}


def configuration(version: int, routes: list[dict], services: list[str]) -> dict:
    """The operator's configuration of plain services, with the limits of the sheets."""
    return {
        "Version": version,
        "Routes": routes,
        "Services": [
            {"Name": name, "MaxConnections": 110, "HealthPath": "/health"} for name in services
        ],
        "Limits": {
            "MaxHeaderBytes": 16384,
            "MaxBodyBytes": 4194304,
            "HeaderTimeoutMs": 3000,
            "IdleTimeoutMs": 15000,
        },
    }


def route(name: str, prefix: str, service: str, kind: str) -> dict:
    """A route with the times of the look-ups of the sheets."""
    return {
        "Name": name,
        "Hostname": "desk.example",
        "PathPrefix": prefix,
        "Service": service,
        "Kind": kind,
        "TimeoutMs": 1500,
        "TargetLatencyMs": 400,
        "MaxAttempts": 2 if kind == "idempotent" else 1,
        "Priority": 2,
    }
