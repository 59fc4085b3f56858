"""Reading the admin ports of many boxes."""

from __future__ import annotations

import json
from dataclasses import dataclass
from typing import Any

import urllib3

from croftchute.errors import Code, CroftchuteError
from croftchute.timeline.ring import StampedEvent, from_record

TIMEOUT_S = 2.0
HTTP_OK = 200

_POOL = urllib3.PoolManager(retries=False, timeout=TIMEOUT_S)


@dataclass(frozen=True, kw_only=True, slots=True)
class BoxAddress:
    """The admin port of a box."""

    address: str
    port: int

    @property
    def url(self) -> str:
        """The admin port's root."""
        return f"http://{self.address}:{self.port}"


def parse_boxes(text: str) -> list[BoxAddress]:
    """Addresses from ``host:port,host:port``.

    >>> parse_boxes("127.0.0.1:9000")[0].url
    'http://127.0.0.1:9000'
    """
    found = []
    parts = text if isinstance(text, (list, tuple)) else str(text).split(",")
    for part in parts:
        host, _, port = str(part).strip().rpartition(":")
        if not host or not port.isdigit():
            raise CroftchuteError(Code.BAD_REQUEST, f"{part!r} is no host:port")
        found.append(BoxAddress(address=host, port=int(port)))
    return found


def find_boxes(text: str) -> list[BoxAddress]:
    """The boxes named, and all live boxes that these know of."""
    named = parse_boxes(text)
    known = {(box.address, box.port): box for box in named}
    answered = 0
    for box in named:
        try:
            status = fetch_status(box)
        except CroftchuteError:
            del known[(box.address, box.port)]
            continue
        answered += 1
        for row in status["boxes"]:
            if row["state"] in ("live", "leaving"):
                peer = BoxAddress(address=row["address"], port=row["admin_port"])
                known.setdefault((peer.address, peer.port), peer)
    if not answered:
        raise CroftchuteError(Code.TIMED_OUT, f"none of {text} answers")
    return list(known.values())


def fetch_status(box: BoxAddress) -> dict[str, Any]:
    """A box's status."""
    status: dict[str, Any] = json.loads(_get(box, "/status"))
    return status


def fetch_timelines(boxes: list[BoxAddress]) -> list[StampedEvent]:
    """The events of all boxes that answer."""
    events: list[StampedEvent] = []
    for box in boxes:
        try:
            events += [from_record(record) for record in json.loads(_get(box, "/timeline"))]
        except CroftchuteError:
            continue
    return events


def _get(box: BoxAddress, path: str) -> bytes:
    try:
        response = _POOL.request("GET", box.url + path)
    except urllib3.exceptions.HTTPError as error:
        raise CroftchuteError(Code.TIMED_OUT, f"{box.url}: {error}") from None
    if response.status != HTTP_OK:
        raise CroftchuteError(Code.TIMED_OUT, f"{box.url}: HTTP {response.status}")
    return response.data
