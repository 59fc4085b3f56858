"""A small fleet in one process: platform, engines, a plain service, and boxes in two halls."""

from __future__ import annotations

import json
import threading
import time
from collections.abc import Callable
from dataclasses import replace
from typing import Protocol

from croftchute.config.documents import (
    CallSpec,
    Document,
    EngineSpec,
    HallSpec,
    ModelSpec,
    PoolSpec,
    Role,
    ServiceSpec,
    TargetSpec,
    VersionSpec,
    WorkerSpec,
)
from croftchute.config.submit import Accepted, submit
from croftchute.daemon.box_process import BoxProcess
from croftchute.errors import Code, CroftchuteError
from croftchute.ids import new_request_id
from croftchute.settings import PeerAddress, PeerKeys, Settings
from croftchute.standins.engine import EngineShape
from croftchute.standins.engine_http import EngineServer
from croftchute.standins.platform import PlatformServer
from croftchute.standins.service import ServiceServer
from croftchute.storage.etcd import EtcdStore

LOOPBACK = "127.0.0.1"
MODEL = "demo-model"
POOL = "demo"
SERVICE = "desk"
KEY = "a-shared-key-of-the-demo"
STEP_S = 0.01
MAX_STREAMS = 64
ROLES = (Role.PREFILL, Role.DECODE, Role.DECODE)


class _Stoppable(Protocol):
    def stop(self) -> None: ...


class Fleet:
    """Stand-ins and boxes on free loopback ports."""

    def __init__(
        self,
        *,
        halls: tuple[str, ...] = ("north", "south"),
        boxes_per_hall: int = 2,
        roles: tuple[Role, ...] = ROLES,
        shape: EngineShape | None = None,
        settings_overrides: dict[str, float] | None = None,
    ) -> None:
        self.halls = halls
        self.shape = shape or EngineShape(step_s=STEP_S)
        self.platform = PlatformServer()
        self.store = EtcdStore(urls=[self.platform.url])
        self.engines_by_id: dict[str, EngineServer] = {}
        self.roles_by_engine: dict[str, Role] = {}
        self.services_by_hall = {hall: ServiceServer(id=f"{SERVICE}-{hall}") for hall in halls}
        for hall in halls:
            for n, role in enumerate(roles):
                name = f"{hall}-{role.value}-{n}"
                self.engines_by_id[name] = EngineServer(id=name, shape=self.shape)
                self.roles_by_engine[name] = role
        self.boxes_by_id: dict[str, BoxProcess] = {}
        self._overrides = dict(settings_overrides or {})
        for hall in halls:
            for n in range(boxes_per_hall):
                self.start_box(f"{hall}-box-{n}", hall)

    def start_box(self, name: str, hall: str) -> BoxProcess:
        """Start a box that knows the boxes started before it."""
        peers = [
            PeerAddress(
                box=box.settings.box,
                hall=box.settings.hall,
                address=LOOPBACK,
                peer_port=box.peers.port,
                admin_port=box.admin.port,
            )
            for box in self.boxes_by_id.values()
            if box.settings.box != name
        ]
        settings = Settings(
            box=name,
            hall=hall,
            address=LOOPBACK,
            http_port=0,
            admin_port=0,
            peer_port=0,
            store_urls=[self.platform.url],
            peer_keys=PeerKeys(keys=[KEY]),
            peers=peers,
            heartbeat_s=0.1,
            suspect_after_s=0.6,
            poll_s=0.1,
            tick_s=0.02,
            max_streams=MAX_STREAMS,
        )
        settings = replace(settings, **self._overrides)  # type: ignore[arg-type]
        box = BoxProcess(settings=settings)
        box.start()
        self.boxes_by_id[name] = box
        return box

    def document(self) -> Document:
        """A configuration that fits the stand-ins."""
        engines = [self._engine_spec(name) for name in self.engines_by_id]
        workers = [
            WorkerSpec(id=server.id, hall=hall, url=server.url)
            for hall, server in self.services_by_hall.items()
        ]
        calls = [
            CallSpec(method="POST", path="/confirm", repeatable=False),
            CallSpec(method="GET", path="/status", repeatable=True),
        ]
        model = ModelSpec(
            id=MODEL,
            versions=[VersionSpec(id="v1")],
            active_version="v1",
            kv_bytes_per_token=self.shape.kv_bytes_per_token,
            expected_output_tokens=24.0,
        )
        return Document(
            halls=[HallSpec(id=hall, region="region-1") for hall in self.halls],
            models=[model],
            pools=[PoolSpec(id=POOL, models=[MODEL], engines=engines)],
            services=[ServiceSpec(id=SERVICE, prefix="/desk", workers=workers, calls=calls)],
            targets=TargetSpec(ttft_s=1.0, per_token_s=0.05),
        )

    def submit(self, document: Document) -> Accepted:
        """Submit a configuration through the store."""
        return submit(self.store, document, change_id=new_request_id())

    def wait_in_force(self, revision: int, timeout_s: float = 10.0) -> None:
        """Wait until all boxes have a revision in force, know each other and can refuse repeats."""
        self.wait_until(
            lambda: all(_settled(box, revision) for box in self.boxes_by_id.values()),
            f"revision {revision} in force",
            timeout_s,
        )

    def wait_until(self, holds: Callable[[], bool], what: str, timeout_s: float = 10.0) -> None:
        """Wait until a condition holds; raises :class:`CroftchuteError` when it takes too long."""
        end = time.monotonic() + timeout_s
        while not holds():
            if time.monotonic() > end:
                raise CroftchuteError(Code.TIMED_OUT, f"{what}: not within {timeout_s} s")
            time.sleep(0.01)

    def http_ports(self) -> list[int]:
        """The callers' ports of all boxes."""
        return [box.http.port for box in self.boxes_by_id.values()]

    def list_boxes(self) -> None:
        """Write the platform's list of boxes."""
        rows = [
            {
                "id": box.settings.box,
                "hall": box.settings.hall,
                "address": LOOPBACK,
                "peer_port": box.peers.port,
                "admin_port": box.admin.port,
            }
            for box in self.boxes_by_id.values()
        ]
        self.platform.put("platform/boxes", json.dumps(rows).encode())

    def stop(self) -> None:
        """End boxes and stand-ins, all at the same time."""
        parts: list[_Stoppable] = [
            *self.boxes_by_id.values(),
            *self.engines_by_id.values(),
            *self.services_by_hall.values(),
            self.platform,
        ]
        enders = [threading.Thread(target=part.stop) for part in parts]
        for ender in enders:
            ender.start()
        for ender in enders:
            ender.join()

    def _engine_spec(self, name: str) -> EngineSpec:
        shape = self.shape
        return EngineSpec(
            id=name,
            hall=name.split("-")[0],
            url=self.engines_by_id[name].url,
            role=self.roles_by_engine[name],
            prefill_tokens_per_s=shape.prefill_tokens_per_s,
            kv_tokens=shape.kv_tokens,
            slots=shape.slots,
            link_bytes_per_s=shape.link_bytes_per_s,
            step_s=shape.step_s,
        )


def _settled(box: BoxProcess, revision: int) -> bool:
    dedupe = box.systems.dedupe
    if not dedupe.map.rows or box.topology.revision < revision:
        return False
    firsts = [row.index for row in dedupe.map.rows if row.first == dedupe.own]
    return all(dedupe.is_ready(index) for index in firsts)
