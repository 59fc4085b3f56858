"""The admin port: health, readiness, status, events, metrics, and state shared with peers."""

from __future__ import annotations

import json
import threading
from collections.abc import Callable, Iterable, Iterator
from typing import Any, Protocol

from croftchute.daemon.metrics import Metrics
from croftchute.daemon.shared_state import SHARED_PATH, TAG_HEADER, SharedState, dump_shared
from croftchute.gateway.exchange import ExchangeBoard
from croftchute.httpd import Environ, StartResponse, reply
from croftchute.peers.codec import Codec
from croftchute.peers.socket import PeerSocket
from croftchute.systems.box import BoxSystems
from croftchute.timeline.ring import EventRing

TEXT = "text/plain; version=0.0.4"

MAX_SHARED_READERS = 2
"""Answers of shared state under way at once: half of the admin port's threads, so that readiness is
answered while slow peers read. A peer that is refused asks again, or another box, after 0.3 s
(FETCH_INTERVAL_S of systems.box)."""


class AdminBox(Protocol):
    """What the admin port shows of its box."""

    systems: BoxSystems
    board: ExchangeBoard
    metrics: Metrics
    peers: PeerSocket
    ring: EventRing
    codec: Codec
    shared: SharedState

    @property
    def ready(self) -> bool:
        """Whether the box should be sent requests."""
        ...


class AdminApp:
    """Routes the admin port's paths."""

    def __init__(self, *, box: AdminBox) -> None:
        self._box = box
        self._shared_slots = threading.BoundedSemaphore(MAX_SHARED_READERS)
        self._handlers: dict[str, Callable[[StartResponse], Iterable[bytes]]] = {
            "/healthz": self._health,
            "/readyz": self._readiness,
            "/status": self._status,
            "/timeline": self._timeline,
            "/metrics": self._metrics,
            SHARED_PATH: self._shared,
        }

    def __call__(self, environ: Environ, start_response: StartResponse) -> Iterable[bytes]:
        """Serve one HTTP request."""
        handler = self._handlers.get(environ["PATH_INFO"])
        if handler is None:
            return reply(start_response, 404, b'{"error": "path_unknown"}')
        return handler(start_response)

    def _health(self, start_response: StartResponse) -> Iterable[bytes]:
        return reply(start_response, 200, b'{"healthy": true}')

    def _readiness(self, start_response: StartResponse) -> Iterable[bytes]:
        ready = self._box.ready
        reason = "ok" if ready else ("no_config" if not self._box.shared.revision else "draining")
        body = json.dumps({"ready": ready, "reason": reason}).encode()
        return reply(start_response, 200 if ready else 503, body)

    def _status(self, start_response: StartResponse) -> Iterable[bytes]:
        return reply(start_response, 200, json.dumps(status_of(self._box)).encode())

    def _timeline(self, start_response: StartResponse) -> Iterable[bytes]:
        records = [stamped.as_record() for stamped in self._box.ring.events()]
        return reply(start_response, 200, json.dumps(records).encode())

    def _metrics(self, start_response: StartResponse) -> Iterable[bytes]:
        self._box.metrics.open.set({}, len(self._box.board))
        self._box.metrics.peer_bytes.set({}, self._box.peers.sent_bytes)
        return reply(start_response, 200, self._box.metrics.text(), content_type=TEXT)

    def _shared(self, start_response: StartResponse) -> Iterable[bytes]:
        if not self._shared_slots.acquire(blocking=False):
            return reply(start_response, 503, b'{"error": "busy"}')
        answer = _SlotAnswer(slots=self._shared_slots)
        try:
            body = dump_shared(self._box.shared)
            headers = {TAG_HEADER: self._box.codec.sign(body)}
            answer.parts = reply(start_response, 200, body, headers=headers)
        except BaseException:
            answer.close()
            raise
        return answer


class _SlotAnswer:
    """An answer that holds one of some slots until it was sent, or its reader is gone."""

    def __init__(self, *, slots: threading.BoundedSemaphore) -> None:
        self.parts: list[bytes] = []
        self._slots = slots

    def __iter__(self) -> Iterator[bytes]:
        return iter(self.parts)

    def close(self) -> None:
        """Called by the server at the end, whole or not."""
        self._slots.release()


def status_of(box: AdminBox) -> dict[str, Any]:
    """Boxes, shards and engines as this box sees them; ages in seconds."""
    systems = box.systems
    loads = systems.owner.ledger.loads_by_engine
    return {
        "box": systems.own.id,
        "hall": systems.own.hall,
        "state": systems.own.state.value,
        "revision": systems.topology.revision,
        "ranges_version": systems.dedupe.map.version,
        "ranges_ready": sum(systems.dedupe.is_ready(i) for i in systems.dedupe.own_ranges),
        "open_requests": len(box.board),
        "pending_cancels": len(systems.cancels.pending_by_target),
        "boxes": [
            {
                "id": peer.id,
                "hall": peer.hall,
                "address": peer.address,
                "admin_port": peer.admin_port,
                "state": peer.state.value,
                "revision": peer.revision,
                "heard_at": round(peer.heard_at, 3),
            }
            for peer in list(systems.membership.boxes_by_id.values())
        ],
        "owners": dict(systems.owners_by_shard),
        "engines": [
            {
                "id": load.id,
                "running": load.running,
                "kv_committed": round(load.kv_committed),
                "leaving": load.leaving,
                "closed": load.is_kv_full,
                "report_as_of": load.report.as_of if load.report else None,
                "kv_used_tokens": load.report.kv_used_tokens if load.report else None,
            }
            for load in list(loads.values())
        ],
    }
